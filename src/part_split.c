/* Pages from when the state service allowed longer values: they can be read, but not written any
 * more. Their records go to pages that are short enough, before anything else is done with them.
 * docs/safety.md argues why each step by itself is safe. */
#include "part_state.h"

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
    struct part *part;
    uint64_t generation;
};

bool part_label_long(const struct part *p, const char *label)
{
    GHashTableIter it;
    struct page *g;
    g_hash_table_iter_init(&it, p->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&g))
        if (part_page_long(p, g) && strcmp(g->label, label) == 0)
            return true;
    return false;
}

static bool node_understands(const struct part *p, const char *label)
{
    const struct node_record *n = g_hash_table_lookup(p->view->nodes, label);
    return n && n->version >= NODE_VERSION;
}

/* A node splits its own pages. For one that is away the first of the map does it that understands
 * what this is about. */
static bool mine_to_split(const struct part *p, const struct page *g)
{
    const char *first = NULL;
    for (guint i = 0; i < p->view->map->len; i++) {
        const char *label = g_array_index(p->view->map, struct map_entry, i).label;
        if (strcmp(label, g->label) == 0)
            return strcmp(label, p->settings->label) == 0;
        if (!first && node_understands(p, label))
            first = label;
    }
    return first && strcmp(first, p->settings->label) == 0;
}

static struct page *next_long(const struct part *p)
{
    GHashTableIter it;
    struct page *g, *found = NULL;
    g_hash_table_iter_init(&it, p->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&g))
        if (part_page_long(p, g) && mine_to_split(p, g) &&
            (!found || strcmp(g->key, found->key) < 0))
            found = g;
    return found;
}

bool part_split_due(struct part *p)
{
    return !time_before(loop_now(p->loop), p->split_at) && next_long(p);
}

static void piece_free(gpointer q)
{
    struct piece *x = q;
    g_array_unref(x->records);
    g_string_free(x->done, TRUE);
    g_free(x);
}

static struct piece *piece_new(GPtrArray *pieces, bool plain)
{
    struct piece *x = g_new0(struct piece, 1);
    x->records = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    x->done = g_string_new(NULL);
    x->plain = plain;
    g_ptr_array_add(pieces, x);
    return x;
}

static gsize piece_bytes(struct piece *x)
{
    gsize least;
    page_length(x->records, x->plain, &least);
    return least + MAX(x->reserved, x->done->len);
}

static gint by_host(gconstpointer a, gconstpointer b)
{
    const struct page_rec *x = a, *y = b;
    int host = strcmp(x->host.s, y->host.s), job = strcmp(x->job.s, y->job.s);
    return host ? host : job ? job : x->index < y->index ? -1 : x->index > y->index;
}

/* Puts so many records together on a piece; false when they do not fit even on an empty one. */
static bool cut_group(struct part *p, GPtrArray *pieces, const struct page_rec *group, guint n)
{
    struct piece *x = pieces->pdata[pieces->len - 1];
    guint before = x->records->len;
    g_array_append_vals(x->records, group, n);
    if (piece_bytes(x) <= part_text_bytes(p))
        return true;
    /* The measure sorts them, so they are taken out again one by one. */
    for (guint i = 0; i < x->records->len;) {
        bool out = false;
        for (guint k = 0; k < n && !out; k++)
            out = by_host(&g_array_index(x->records, struct page_rec, i), &group[k]) == 0;
        if (out)
            g_array_remove_index_fast(x->records, i);
        else
            i++;
    }
    if (!before)
        return false;
    x = piece_new(pieces, x->plain);
    g_array_append_vals(x->records, group, n);
    return piece_bytes(x) <= part_text_bytes(p);
}

/* A node of version 0 that owns a machine now has noted, when its epoch began, on which page the
 * machine's records are, and takes them off that page only: moved to another they would stay there,
 * and be on two. So they stay where they are until it has taken them over, which is soon. */
static bool has_to_stay(const struct part *p, const struct page_rec *r)
{
    const char *owner = map_owner(p->view, r->host.s);
    return owner && !node_understands(p, owner);
}

/* Machines stay whole while a node may read it that knows of one page a machine. */
static bool cut_records(struct part *p, const struct page *g, bool plain, GPtrArray *pieces)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    struct piece *first = pieces->pdata[0];
    for (guint i = 0; i < g->tasks->len; i++) {
        struct placed *t = g->tasks->pdata[i];
        struct page_rec r = {t->host->id, t->job->id, t->attempt, t->index,
                             view_about(p->view, t->host->id.s)};
        g_array_append_val(plain && has_to_stay(p, &r) ? first->records : all, r);
    }
    g_array_sort(all, by_host);
    bool fits = piece_bytes(first) <= part_text_bytes(p);
    for (guint i = 0, n; i < all->len && fits; i += n) {
        const struct page_rec *r = &g_array_index(all, struct page_rec, i);
        for (n = 1; plain && i + n < all->len && host_eq(r->host, r[n].host);)
            n++;
        fits = cut_group(p, pieces, r, n);
    }
    g_array_unref(all);
    return fits;
}

struct cut_marks {
    struct part *part;
    GPtrArray *pieces;
    GHashTable *said; /* "JOB UNIT" -> bits, by other pages of the node */
    bool plain, fits;
};

static void said_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct cut_marks *c = ctx;
    char *key = g_strdup_printf("%s %u", job.s, unit);
    GByteArray *all = g_hash_table_lookup(c->said, key);
    if (!all) {
        all = g_byte_array_new();
        g_hash_table_insert(c->said, g_strdup(key), all);
    }
    bits_merge(all, bits);
    g_free(key);
}

static bool is_said(struct cut_marks *c, job_id job, uint32_t unit, const GByteArray *bits)
{
    char *key = g_strdup_printf("%s %u", job.s, unit);
    GByteArray *all = g_hash_table_lookup(c->said, key);
    bool said = all != NULL;
    for (guint i = 0; i < bits->len && said; i++)
        said = !bits->data[i] || (i < all->len && (bits->data[i] & ~all->data[i]) == 0);
    g_free(key);
    return said;
}

/* Marks of jobs that are not over, with the room that they may come to take. */
static void cut_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct cut_marks *c = ctx;
    struct job *j = part_live_job(c->part, job);
    if (!j || unit * MARK_TASKS >= j->tasks || is_said(c, job, unit, bits))
        return;
    gsize cost = page_done_cost(job, unit, MAX(part_unit_size(j, unit), bits->len), c->plain);
    struct piece *at = NULL;
    for (guint i = 0; i < c->pieces->len && !at; i++) {
        struct piece *x = c->pieces->pdata[i];
        if (piece_bytes(x) + cost <= part_text_bytes(c->part))
            at = x;
    }
    if (!at)
        at = piece_new(c->pieces, c->plain);
    at->reserved += cost;
    page_write_done(at->done, job, unit, bits, c->plain);
    c->fits = c->fits && piece_bytes(at) <= part_text_bytes(c->part);
}

/* NULL when it cannot be done while nodes of version 0 may read it. */
static GPtrArray *cut(struct part *p, const struct page *g, bool plain)
{
    GPtrArray *pieces = g_ptr_array_new_with_free_func(piece_free);
    piece_new(pieces, plain);
    struct cut_marks c = {p, pieces, NULL, plain, true};
    c.fits = cut_records(p, g, plain, pieces);
    c.said =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_byte_array_unref);
    GHashTableIter it;
    struct page *other;
    g_hash_table_iter_init(&it, p->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other))
        if (other != g && strcmp(other->label, g->label) == 0 && !part_page_long(p, other))
            page_read_done(other->done ? other->done : "", said_unit, &c);
    if (c.fits && g->done)
        page_read_done(g->done, cut_unit, &c);
    g_hash_table_unref(c.said);
    if (!c.fits)
        g_clear_pointer(&pieces, g_ptr_array_unref);
    return pieces;
}

/* ---- transactions ---- */

static void split_over(void *arg, bool ok)
{
    struct split *s = arg;
    part_write_over(s->part, s->generation, ok);
    g_free(s);
}

static void split_answered(void *arg, const struct txn_outcome *o)
{
    struct split *s = arg;
    if (o->result == TXN_DONE || o->result == TXN_CONFLICT)
        view_await(s->part->view, o->at, split_over, s);
    else if (o->result == TXN_UNKNOWN)
        view_barrier(s->part->view, split_over, s);
    else
        split_over(s, false);
}

/* A page of the same node that does not exist. Copies go behind the long page in the order of keys,
 * in which a node reads them that has just been started: it has to find each record where it is the
 * last time that it reads it. */
static char *unused_key(struct part *p, const struct page *g, int *number, bool behind)
{
    for (;; ++*number) {
        char *key = key_page(g->label, *number);
        if (!g_hash_table_contains(p->view->pages, key) && (!behind || strcmp(key, g->key) > 0)) {
            ++*number;
            return key;
        }
        g_free(key);
    }
}

static void set_piece(struct txn *t, const char *key, revision stamp, struct piece *x)
{
    GString *text = page_write(x->records, x->plain);
    part_page_set(t, key, stamp, text->str, x->done->str);
    g_string_free(text, TRUE);
}

/* In one transaction if that is allowed so many writes. If not, and all nodes understand it, copies
 * of some records are made first, which changes nothing: the long page stays as it is, and until it
 * has been written nobody touches these copies. */
bool part_split(struct part *p)
{
    const struct store_limits *l = store_limits(p->store);
    struct page *g = next_long(p);
    bool plain = part_plain(p);
    GPtrArray *pieces = cut(p, g, plain);
    guint most = (guint)l->txn_ops;
    if (plain && !l->lowered)
        most = MAX(most, (guint)p->settings->state.txn_ops);
    bool copies = pieces && pieces->len > most;
    if (!pieces || (copies && plain)) {
        g_clear_pointer(&pieces, g_ptr_array_unref);
        p->split_at = time_add_ms(loop_now(p->loop), RETRY_MS);
        return false; /* until all nodes understand it */
    }
    struct txn *t = part_txn(p);
    int number = 0;
    for (guint i = 1; i < MIN(pieces->len, copies ? most + 1 : most); i++) {
        char *key = unused_key(p, g, &number, copies);
        set_piece(t, key, (revision){0}, pieces->pdata[i]);
        g_free(key);
    }
    if (copies)
        txn_when(t, g->key, g->stamp);
    else
        set_piece(t, g->key, g->stamp, pieces->pdata[0]);
    LOG_INFO("page_split", "page=%s bytes=%zu pieces=%u copies=%d", g->key, g->bytes, pieces->len,
             copies);
    struct split *s = g_new(struct split, 1);
    *s = (struct split){p, p->generation};
    p->write_level -= txn_writes(t);
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, t, split_answered, s);
    g_ptr_array_unref(pieces);
    return true;
}
