/* Pages from when the state service allowed longer values: they can be read, but not written any
 * more. Their records go to pages that are short enough, before anything else is done with them.
 * docs/safety.md argues why each step by itself is safe. */
#include "run_records_internal.h"

#include "log.h"

enum { RETRY_DELAY_MS = 200 };

/* One of the pages that a long one is split into. */
struct split_page {
    GArray *records; /* struct record_page_entry */
    GString *completions;
    gsize reserved_bytes; /* for marks, at most */
    bool legacy_format;
};

struct split_request {
    struct shard *shard;
    uint64_t generation;
};

bool shard_label_has_long_page(const struct shard *shard, const char *label)
{
    GHashTableIter iter;
    struct record_page *page;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_too_long(shard, page) && strcmp(page->label, label) == 0)
            return true;
    return false;
}

static bool node_supports_multi_page(const struct shard *shard, const char *label)
{
    const struct node_record *node = g_hash_table_lookup(shard->replica->nodes, label);
    return node && node->understood_version >= NODE_VERSION_JOB_DAG;
}

/* A node splits its own pages. For one that is away the first of the map does it that understands
 * what this is about. */
static bool is_split_by_this_node(const struct shard *shard, const struct record_page *page)
{
    const char *first_capable = NULL;
    for (guint i = 0; i < shard->replica->shard_map->len; i++) {
        const char *label =
            g_array_index(shard->replica->shard_map, struct shard_map_entry, i).label;
        if (strcmp(label, page->label) == 0)
            return strcmp(label, shard->settings->label) == 0;
        if (!first_capable && node_supports_multi_page(shard, label))
            first_capable = label;
    }
    return first_capable && strcmp(first_capable, shard->settings->label) == 0;
}

static struct record_page *next_long_page(const struct shard *shard)
{
    GHashTableIter iter;
    struct record_page *page, *found = NULL;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_too_long(shard, page) && is_split_by_this_node(shard, page) &&
            (!found || strcmp(page->key, found->key) < 0))
            found = page;
    return found;
}

bool shard_split_due(struct shard *shard)
{
    return !time_before(loop_now(shard->loop), shard->records.split_retry_at) &&
           next_long_page(shard);
}

static void split_page_free(gpointer data)
{
    struct split_page *split_page = data;
    g_array_unref(split_page->records);
    g_string_free(split_page->completions, TRUE);
    g_free(split_page);
}

static struct split_page *split_page_new(GPtrArray *pages, bool legacy_format)
{
    struct split_page *split_page = g_new0(struct split_page, 1);
    split_page->records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    split_page->completions = g_string_new(NULL);
    split_page->legacy_format = legacy_format;
    g_ptr_array_add(pages, split_page);
    return split_page;
}

static gsize split_page_bytes(struct split_page *split_page)
{
    gsize min_bytes;
    record_page_encoded_bytes(split_page->records, split_page->legacy_format, &min_bytes);
    return min_bytes + MAX(split_page->reserved_bytes, split_page->completions->len);
}

static gint compare_by_machine(gconstpointer left_item, gconstpointer right_item)
{
    const struct record_page_entry *left = left_item, *right = right_item;
    int machine_order = strcmp(left->machine.text, right->machine.text),
        job_order = strcmp(left->job.text, right->job.text);
    return machine_order                          ? machine_order
           : job_order                            ? job_order
           : left->task_index < right->task_index ? -1
                                                  : left->task_index > right->task_index;
}

/* Puts so many records together on a piece; false when they do not fit even on an empty one. */
static bool add_record_group(struct shard *shard, GPtrArray *pages,
                             const struct record_page_entry *group, guint count)
{
    struct split_page *split_page = pages->pdata[pages->len - 1];
    guint previous_count = split_page->records->len;
    g_array_append_vals(split_page->records, group, count);
    if (split_page_bytes(split_page) <= shard_max_page_bytes(shard))
        return true;
    /* The measure sorts them, so they are taken out again one by one. */
    for (guint i = 0; i < split_page->records->len;) {
        bool belongs_to_group = false;
        for (guint k = 0; k < count && !belongs_to_group; k++)
            belongs_to_group =
                compare_by_machine(&g_array_index(split_page->records, struct record_page_entry, i),
                                   &group[k]) == 0;
        if (belongs_to_group)
            g_array_remove_index_fast(split_page->records, i);
        else
            i++;
    }
    if (!previous_count)
        return false;
    split_page = split_page_new(pages, split_page->legacy_format);
    g_array_append_vals(split_page->records, group, count);
    return split_page_bytes(split_page) <= shard_max_page_bytes(shard);
}

/* A node of version 0 that owns a machine now has noted, when its epoch began, on which page the
 * machine's records are, and takes them off that page only: moved to another they would stay there,
 * and be on two. So they stay where they are until it has taken them over, which is soon. */
static bool must_stay_on_page(const struct shard *shard, const struct record_page_entry *record)
{
    const char *owner = shard_map_get_owner(shard->replica, record->machine.text);
    return owner && !node_supports_multi_page(shard, owner);
}

/* Machines stay whole while a node may read it that knows of one page a machine. */
static bool split_records(struct shard *shard, const struct record_page *page, bool legacy_format,
                          GPtrArray *pages)
{
    GArray *movable = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    struct split_page *first_page = pages->pdata[0];
    for (guint i = 0; i < page->run_records->len; i++) {
        struct run_record *run_record = page->run_records->pdata[i];
        struct record_page_entry record = {
            run_record->machine->id, run_record->job->id, run_record->attempt,
            run_record->task_index,
            replica_get_machine_description(shard->replica, run_record->machine->id.text)};
        g_array_append_val(legacy_format && must_stay_on_page(shard, &record) ? first_page->records
                                                                              : movable,
                           record);
    }
    g_array_sort(movable, compare_by_machine);
    bool fits = split_page_bytes(first_page) <= shard_max_page_bytes(shard);
    for (guint i = 0, group_size; i < movable->len && fits; i += group_size) {
        const struct record_page_entry *record =
            &g_array_index(movable, struct record_page_entry, i);
        for (group_size = 1; legacy_format && i + group_size < movable->len &&
                             machine_id_equal(record->machine, record[group_size].machine);)
            group_size++;
        fits = add_record_group(shard, pages, record, group_size);
    }
    g_array_unref(movable);
    return fits;
}

struct completion_split {
    struct shard *shard;
    GPtrArray *pages;
    GHashTable *covered; /* "JOB UNIT" -> bits, by other pages of the node */
    bool legacy_format, fits;
};

static void add_covered_unit(void *ctx, job_id job, uint32_t unit_number, const GByteArray *bits)
{
    struct completion_split *splitter = ctx;
    char *key = g_strdup_printf("%s %u", job.text, unit_number);
    GByteArray *covered = g_hash_table_lookup(splitter->covered, key);
    if (!covered) {
        covered = g_byte_array_new();
        g_hash_table_insert(splitter->covered, g_strdup(key), covered);
    }
    bitmap_merge(covered, bits);
    g_free(key);
}

static bool is_covered(struct completion_split *splitter, job_id job, uint32_t unit_number,
                       const GByteArray *bits)
{
    char *key = g_strdup_printf("%s %u", job.text, unit_number);
    GByteArray *covered = g_hash_table_lookup(splitter->covered, key);
    bool is_complete = covered != NULL;
    for (guint i = 0; i < bits->len && is_complete; i++)
        is_complete =
            !bits->data[i] || (i < covered->len && (bits->data[i] & ~covered->data[i]) == 0);
    g_free(key);
    return is_complete;
}

/* Marks of jobs that are not over, with the room that they may come to take. */
static void split_completion_unit(void *ctx, job_id job, uint32_t unit_number,
                                  const GByteArray *bits)
{
    struct completion_split *splitter = ctx;
    struct job *live_job = shard_find_live_job(splitter->shard, job);
    if (!live_job || unit_number * COMPLETION_UNIT_TASKS >= live_job->task_count ||
        is_covered(splitter, job, unit_number, bits))
        return;
    gsize cost = completions_max_bytes(
        job, unit_number, MAX(shard_completion_unit_bytes(live_job, unit_number), bits->len),
        splitter->legacy_format);
    struct split_page *target = NULL;
    for (guint i = 0; i < splitter->pages->len && !target; i++) {
        struct split_page *split_page = splitter->pages->pdata[i];
        if (split_page_bytes(split_page) + cost <= shard_max_page_bytes(splitter->shard))
            target = split_page;
    }
    if (!target)
        target = split_page_new(splitter->pages, splitter->legacy_format);
    target->reserved_bytes += cost;
    completions_encode(target->completions, job, unit_number, bits, splitter->legacy_format);
    splitter->fits =
        splitter->fits && split_page_bytes(target) <= shard_max_page_bytes(splitter->shard);
}

/* NULL when it cannot be done while nodes of version 0 may read it. */
static GPtrArray *split_contents(struct shard *shard, const struct record_page *page,
                                 bool legacy_format)
{
    GPtrArray *pages = g_ptr_array_new_with_free_func(split_page_free);
    split_page_new(pages, legacy_format);
    struct completion_split splitter = {shard, pages, NULL, legacy_format, true};
    splitter.fits = split_records(shard, page, legacy_format, pages);
    splitter.covered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_byte_array_unref);
    GHashTableIter iter;
    struct record_page *other;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other))
        if (other != page && strcmp(other->label, page->label) == 0 &&
            !shard_page_is_too_long(shard, other))
            completions_decode(other->completions_text ? other->completions_text : "",
                               add_covered_unit, &splitter);
    if (splitter.fits && page->completions_text)
        completions_decode(page->completions_text, split_completion_unit, &splitter);
    g_hash_table_unref(splitter.covered);
    if (!splitter.fits)
        g_clear_pointer(&pages, g_ptr_array_unref);
    return pages;
}

/* ---- transactions ---- */

static void finish_split(void *arg, bool ok)
{
    struct split_request *request = arg;
    shard_finish_write(request->shard, request->generation, ok);
    g_free(request);
}

static void handle_split_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct split_request *request = arg;
    if (outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT)
        replica_await_revision(request->shard->replica, outcome->at_revision, finish_split,
                               request);
    else if (outcome->status == TXN_UNKNOWN)
        replica_read_barrier(request->shard->replica, finish_split, request);
    else
        finish_split(request, false);
}

/* A page of the same node that does not exist. Copies go behind the long page in the order of keys,
 * in which a node reads them that has just been started: it has to find each record where it is the
 * last time that it reads it. */
static char *unused_page_key(struct shard *shard, const struct record_page *page, int *page_number,
                             bool after_page)
{
    for (;; ++*page_number) {
        char *key = key_record_page(page->label, *page_number);
        if (!g_hash_table_contains(shard->replica->pages, key) &&
            (!after_page || strcmp(key, page->key) > 0)) {
            ++*page_number;
            return key;
        }
        g_free(key);
    }
}

static void set_split_page(struct txn *txn, const char *key, revision mod_revision,
                           struct split_page *split_page)
{
    GString *text = record_page_encode(split_page->records, split_page->legacy_format);
    shard_txn_set_page(txn, key, mod_revision, text->str, split_page->completions->str);
    g_string_free(text, TRUE);
}

/* In one transaction if that is allowed so many writes. If not, and all nodes understand it, copies
 * of some records are made first, which changes nothing: the long page stays as it is, and until it
 * has been written nobody touches these copies. */
bool shard_split(struct shard *shard)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    struct record_page *page = next_long_page(shard);
    bool legacy_format = shard_uses_legacy_format(shard);
    GPtrArray *pages = split_contents(shard, page, legacy_format);
    guint max_writes = (guint)limits->max_txn_operations;
    if (legacy_format && !limits->rate_limit_lowered)
        max_writes = MAX(max_writes, (guint)shard->settings->kv_limits.max_txn_operations);
    bool copies_first = pages && pages->len > max_writes;
    if (!pages || (copies_first && legacy_format)) {
        g_clear_pointer(&pages, g_ptr_array_unref);
        shard->records.split_retry_at = time_add_ms(loop_now(shard->loop), RETRY_DELAY_MS);
        return false; /* until all nodes understand it */
    }
    struct txn *txn = shard_txn_new(shard);
    int page_number = 0;
    for (guint i = 1; i < MIN(pages->len, copies_first ? max_writes + 1 : max_writes); i++) {
        char *key = unused_page_key(shard, page, &page_number, copies_first);
        set_split_page(txn, key, (revision){0}, pages->pdata[i]);
        g_free(key);
    }
    if (copies_first)
        txn_compare(txn, page->key, page->mod_revision);
    else
        set_split_page(txn, page->key, page->mod_revision, pages->pdata[0]);
    LOG_INFO("page_split", "page=%s bytes=%zu pieces=%u copies=%d", page->key, page->size_bytes,
             pages->len, copies_first);
    struct split_request *request = g_new(struct split_request, 1);
    *request = (struct split_request){shard, shard->generation};
    shard->records.write_budget -= txn_write_count(txn);
    shard->records.txn_in_flight = true;
    kv_client_commit(shard->kv, KV_LANE_URGENT, txn, handle_split_outcome, request);
    g_ptr_array_unref(pages);
    return true;
}
