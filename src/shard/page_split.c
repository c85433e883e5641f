/* Pages from when the state service allowed longer values: they can be read, but not written any
 * more. Their records go to pages that are short enough, before anything else is done with them.
 * docs/safety.md argues why each step by itself is safe. */
#include "run_records_internal.h"

#include "log.h"

enum { RETRY_MS = 200 };

/* One of the pages that a long one is split into. */
struct piece {
    GArray *records; /* struct page_rec */
    GString *done;
    gsize reserved; /* for marks, at most */
    bool plain;
};

struct split {
    struct shard *shard;
    uint64_t generation;
};

bool shard_label_long(const struct shard *shard, const char *label)
{
    GHashTableIter it;
    struct page *page;
    g_hash_table_iter_init(&it, shard->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (shard_page_long(shard, page) && strcmp(page->label, label) == 0)
            return true;
    return false;
}

static bool node_understands(const struct shard *shard, const char *label)
{
    const struct node_record *node_record = g_hash_table_lookup(shard->view->nodes, label);
    return node_record && node_record->version >= NODE_VERSION_PIPELINES;
}

/* A node splits its own pages. For one that is away the first of the map does it that understands
 * what this is about. */
static bool mine_to_split(const struct shard *shard, const struct page *page)
{
    const char *first = NULL;
    for (guint i = 0; i < shard->view->map->len; i++) {
        const char *label = g_array_index(shard->view->map, struct map_entry, i).label;
        if (strcmp(label, page->label) == 0)
            return strcmp(label, shard->settings->label) == 0;
        if (!first && node_understands(shard, label))
            first = label;
    }
    return first && strcmp(first, shard->settings->label) == 0;
}

static struct page *next_long(const struct shard *shard)
{
    GHashTableIter it;
    struct page *page, *found = NULL;
    g_hash_table_iter_init(&it, shard->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (shard_page_long(shard, page) && mine_to_split(shard, page) &&
            (!found || strcmp(page->key, found->key) < 0))
            found = page;
    return found;
}

bool shard_split_due(struct shard *shard)
{
    return !time_before(loop_now(shard->loop), shard->split_at) && next_long(shard);
}

static void piece_free(gpointer q)
{
    struct piece *piece = q;
    g_array_unref(piece->records);
    g_string_free(piece->done, TRUE);
    g_free(piece);
}

static struct piece *piece_new(GPtrArray *pieces, bool plain)
{
    struct piece *piece = g_new0(struct piece, 1);
    piece->records = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    piece->done = g_string_new(NULL);
    piece->plain = plain;
    g_ptr_array_add(pieces, piece);
    return piece;
}

static gsize piece_bytes(struct piece *piece)
{
    gsize least;
    page_length(piece->records, piece->plain, &least);
    return least + MAX(piece->reserved, piece->done->len);
}

static gint by_host(gconstpointer a, gconstpointer b)
{
    const struct page_rec *record = a, *y = b;
    int host = strcmp(record->host.s, y->host.s), job = strcmp(record->job.s, y->job.s);
    return host ? host : job ? job : record->index < y->index ? -1 : record->index > y->index;
}

/* Puts so many records together on a piece; false when they do not fit even on an empty one. */
static bool cut_group(struct shard *shard, GPtrArray *pieces, const struct page_rec *group, guint n)
{
    struct piece *piece = pieces->pdata[pieces->len - 1];
    guint before = piece->records->len;
    g_array_append_vals(piece->records, group, n);
    if (piece_bytes(piece) <= shard_text_bytes(shard))
        return true;
    /* The measure sorts them, so they are taken out again one by one. */
    for (guint i = 0; i < piece->records->len;) {
        bool out = false;
        for (guint k = 0; k < n && !out; k++)
            out = by_host(&g_array_index(piece->records, struct page_rec, i), &group[k]) == 0;
        if (out)
            g_array_remove_index_fast(piece->records, i);
        else
            i++;
    }
    if (!before)
        return false;
    piece = piece_new(pieces, piece->plain);
    g_array_append_vals(piece->records, group, n);
    return piece_bytes(piece) <= shard_text_bytes(shard);
}

/* A node of version 0 that owns a machine now has noted, when its epoch began, on which page the
 * machine's records are, and takes them off that page only: moved to another they would stay there,
 * and be on two. So they stay where they are until it has taken them over, which is soon. */
static bool has_to_stay(const struct shard *shard, const struct page_rec *record)
{
    const char *owner = map_owner(shard->view, record->host.s);
    return owner && !node_understands(shard, owner);
}

/* Machines stay whole while a node may read it that knows of one page a machine. */
static bool cut_records(struct shard *shard, const struct page *page, bool plain, GPtrArray *pieces)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    struct piece *first = pieces->pdata[0];
    for (guint i = 0; i < page->tasks->len; i++) {
        struct placed *placed = page->tasks->pdata[i];
        struct page_rec record = {placed->host->id, placed->job->id, placed->attempt, placed->index,
                                  view_about(shard->view, placed->host->id.s)};
        g_array_append_val(plain && has_to_stay(shard, &record) ? first->records : all, record);
    }
    g_array_sort(all, by_host);
    bool fits = piece_bytes(first) <= shard_text_bytes(shard);
    for (guint i = 0, n; i < all->len && fits; i += n) {
        const struct page_rec *record = &g_array_index(all, struct page_rec, i);
        for (n = 1; plain && i + n < all->len && host_eq(record->host, record[n].host);)
            n++;
        fits = cut_group(shard, pieces, record, n);
    }
    g_array_unref(all);
    return fits;
}

struct cut_marks {
    struct shard *shard;
    GPtrArray *pieces;
    GHashTable *said; /* "JOB UNIT" -> bits, by other pages of the node */
    bool plain, fits;
};

static void said_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct cut_marks *marks = ctx;
    char *key = g_strdup_printf("%s %u", job.s, unit);
    GByteArray *all = g_hash_table_lookup(marks->said, key);
    if (!all) {
        all = g_byte_array_new();
        g_hash_table_insert(marks->said, g_strdup(key), all);
    }
    bits_merge(all, bits);
    g_free(key);
}

static bool is_said(struct cut_marks *marks, job_id job, uint32_t unit, const GByteArray *bits)
{
    char *key = g_strdup_printf("%s %u", job.s, unit);
    GByteArray *all = g_hash_table_lookup(marks->said, key);
    bool said = all != NULL;
    for (guint i = 0; i < bits->len && said; i++)
        said = !bits->data[i] || (i < all->len && (bits->data[i] & ~all->data[i]) == 0);
    g_free(key);
    return said;
}

/* Marks of jobs that are not over, with the room that they may come to take. */
static void cut_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct cut_marks *marks = ctx;
    struct job *j = shard_live_job(marks->shard, job);
    if (!j || unit * MARK_TASKS >= j->tasks || is_said(marks, job, unit, bits))
        return;
    gsize cost = page_done_cost(job, unit, MAX(shard_unit_size(j, unit), bits->len), marks->plain);
    struct piece *at = NULL;
    for (guint i = 0; i < marks->pieces->len && !at; i++) {
        struct piece *piece = marks->pieces->pdata[i];
        if (piece_bytes(piece) + cost <= shard_text_bytes(marks->shard))
            at = piece;
    }
    if (!at)
        at = piece_new(marks->pieces, marks->plain);
    at->reserved += cost;
    page_write_done(at->done, job, unit, bits, marks->plain);
    marks->fits = marks->fits && piece_bytes(at) <= shard_text_bytes(marks->shard);
}

/* NULL when it cannot be done while nodes of version 0 may read it. */
static GPtrArray *cut(struct shard *shard, const struct page *page, bool plain)
{
    GPtrArray *pieces = g_ptr_array_new_with_free_func(piece_free);
    piece_new(pieces, plain);
    struct cut_marks marks = {shard, pieces, NULL, plain, true};
    marks.fits = cut_records(shard, page, plain, pieces);
    marks.said =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_byte_array_unref);
    GHashTableIter it;
    struct page *other;
    g_hash_table_iter_init(&it, shard->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other))
        if (other != page && strcmp(other->label, page->label) == 0 &&
            !shard_page_long(shard, other))
            page_read_done(other->done ? other->done : "", said_unit, &marks);
    if (marks.fits && page->done)
        page_read_done(page->done, cut_unit, &marks);
    g_hash_table_unref(marks.said);
    if (!marks.fits)
        g_clear_pointer(&pieces, g_ptr_array_unref);
    return pieces;
}

/* ---- transactions ---- */

static void split_over(void *arg, bool ok)
{
    struct split *split = arg;
    shard_write_over(split->shard, split->generation, ok);
    g_free(split);
}

static void split_answered(void *arg, const struct txn_outcome *outcome)
{
    struct split *split = arg;
    if (outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT)
        view_await(split->shard->view, outcome->at, split_over, split);
    else if (outcome->result == TXN_UNKNOWN)
        view_barrier(split->shard->view, split_over, split);
    else
        split_over(split, false);
}

/* A page of the same node that does not exist. Copies go behind the long page in the order of keys,
 * in which a node reads them that has just been started: it has to find each record where it is the
 * last time that it reads it. */
static char *unused_key(struct shard *shard, const struct page *page, int *number, bool behind)
{
    for (;; ++*number) {
        char *key = key_page(page->label, *number);
        if (!g_hash_table_contains(shard->view->pages, key) &&
            (!behind || strcmp(key, page->key) > 0)) {
            ++*number;
            return key;
        }
        g_free(key);
    }
}

static void set_piece(struct txn *txn, const char *key, revision stamp, struct piece *piece)
{
    GString *text = page_write(piece->records, piece->plain);
    shard_page_set(txn, key, stamp, text->str, piece->done->str);
    g_string_free(text, TRUE);
}

/* In one transaction if that is allowed so many writes. If not, and all nodes understand it, copies
 * of some records are made first, which changes nothing: the long page stays as it is, and until it
 * has been written nobody touches these copies. */
bool shard_split(struct shard *shard)
{
    const struct store_limits *limits = store_limits(shard->store);
    struct page *page = next_long(shard);
    bool plain = shard_plain(shard);
    GPtrArray *pieces = cut(shard, page, plain);
    guint most = (guint)limits->txn_ops;
    if (plain && !limits->lowered)
        most = MAX(most, (guint)shard->settings->state.txn_ops);
    bool copies = pieces && pieces->len > most;
    if (!pieces || (copies && plain)) {
        g_clear_pointer(&pieces, g_ptr_array_unref);
        shard->split_at = time_add_ms(loop_now(shard->loop), RETRY_MS);
        return false; /* until all nodes understand it */
    }
    struct txn *txn = shard_txn(shard);
    int number = 0;
    for (guint i = 1; i < MIN(pieces->len, copies ? most + 1 : most); i++) {
        char *key = unused_key(shard, page, &number, copies);
        set_piece(txn, key, (revision){0}, pieces->pdata[i]);
        g_free(key);
    }
    if (copies)
        txn_when(txn, page->key, page->stamp);
    else
        set_piece(txn, page->key, page->stamp, pieces->pdata[0]);
    LOG_INFO("page_split", "page=%s bytes=%zu pieces=%u copies=%d", page->key, page->bytes,
             pieces->len, copies);
    struct split *split = g_new(struct split, 1);
    *split = (struct split){shard, shard->generation};
    shard->write_level -= txn_writes(txn);
    shard->txn_out = true;
    store_txn(shard->store, LANE_URGENT, txn, split_answered, split);
    g_ptr_array_unref(pieces);
    return true;
}
