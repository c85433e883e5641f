/**
 * @file
 * Planning how the contents of an oversized page are distributed over pages within the size limit:
 * first its run records, in the order of machines, then its completions.
 */
#include "page_split_plan.h"

#include "completions_internal.h"

bool node_supports_machine_on_multiple_pages(const struct shard *shard, const char *label)
{
    const struct node_record *node = g_hash_table_lookup(shard->replica->nodes, label);
    return node && node->supported_version >= NODE_VERSION_JOB_DAG;
}

/* ---- planned pages ---- */

static void planned_page_free(gpointer data)
{
    struct planned_page *planned_page = data;
    g_array_unref(planned_page->records);
    g_string_free(planned_page->completions, TRUE);
    g_free(planned_page);
}

/** Adds an empty page to the plan. */
static struct planned_page *planned_page_new(GPtrArray *pages, bool legacy_format)
{
    struct planned_page *planned_page = g_new0(struct planned_page, 1);
    planned_page->records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    planned_page->completions = g_string_new(NULL);
    planned_page->legacy_format = legacy_format;
    g_ptr_array_add(pages, planned_page);
    return planned_page;
}

/** Returns the length of the page's strings, including the bytes that its completions may still
 * grow by. Sorts the records. */
static gsize planned_page_bytes(struct planned_page *planned_page)
{
    gsize min_bytes;
    record_page_encoded_bytes(planned_page->records, planned_page->legacy_format, &min_bytes);
    return min_bytes + MAX(planned_page->reserved_bytes, planned_page->completions->len);
}

static bool planned_page_fits(const struct shard *shard, struct planned_page *planned_page)
{
    return planned_page_bytes(planned_page) <= shard_max_page_bytes(shard);
}

/* ---- run records ---- */

/** Orders records by machine, job and task. */
static gint compare_by_machine(gconstpointer left_item, gconstpointer right_item)
{
    const struct record_page_entry *left = left_item, *right = right_item;
    int machine_order = strcmp(left->machine.text, right->machine.text);
    if (machine_order)
        return machine_order;
    int job_order = strcmp(left->job.text, right->job.text);
    if (job_order)
        return job_order;
    return (left->task_index > right->task_index) - (left->task_index < right->task_index);
}

static bool group_contains(const struct record_page_entry *group, guint count,
                           const struct record_page_entry *record)
{
    for (guint i = 0; i < count; i++)
        if (compare_by_machine(record, &group[i]) == 0)
            return true;
    return false;
}

/** Removes a group of records from a page. They are searched for one by one because computing the
 * page's length has sorted its records. */
static void remove_record_group(struct planned_page *planned_page,
                                const struct record_page_entry *group, guint count)
{
    for (guint i = 0; i < planned_page->records->len;) {
        const struct record_page_entry *record =
            &g_array_index(planned_page->records, struct record_page_entry, i);
        if (group_contains(group, count, record))
            g_array_remove_index_fast(planned_page->records, i);
        else
            i++;
    }
}

/** Adds records that have to be on one page to the last page, or to a new one if they do not fit
 * there. Returns false if they do not fit on an empty page either. */
static bool add_record_group(struct shard *shard, GPtrArray *pages,
                             const struct record_page_entry *group, guint count)
{
    struct planned_page *planned_page = pages->pdata[pages->len - 1];
    guint previous_count = planned_page->records->len;
    g_array_append_vals(planned_page->records, group, count);
    if (planned_page_fits(shard, planned_page))
        return true;
    remove_record_group(planned_page, group, count);
    if (!previous_count)
        return false;
    planned_page = planned_page_new(pages, planned_page->legacy_format);
    g_array_append_vals(planned_page->records, group, count);
    return planned_page_fits(shard, planned_page);
}

/** Whether a record must stay on its page because a node of version 0 owns its machine. At the
 * start of an epoch, such a node notes which page has the machine's records, and removes them from
 * that page only. If the record were moved, it would remain on the other page and be stored twice.
 * It stays until its owner adopts it, which happens soon. */
static bool is_pinned_to_page(const struct shard *shard, const struct record_page_entry *record)
{
    const char *owner = shard_map_get_owner(shard->replica, record->machine.text);
    return owner && !node_supports_machine_on_multiple_pages(shard, owner);
}

/** Adds the records that must stay to the first page, and returns the others in the order of
 * machines. */
static GArray *collect_movable_records(struct shard *shard, const struct record_page *page,
                                       bool legacy_format, struct planned_page *first_page)
{
    GArray *movable = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    for (guint i = 0; i < page->run_records->len; i++) {
        struct record_page_entry record =
            shard_make_page_entry_from_replica(shard, page->run_records->pdata[i]);
        bool stays = legacy_format && is_pinned_to_page(shard, &record);
        g_array_append_val(stays ? first_page->records : movable, record);
    }
    g_array_sort(movable, compare_by_machine);
    return movable;
}

/** Returns how many records, from a position on, have to be on the same page. In the legacy format
 * these are all records of a machine, because nodes of version 0 expect them on one page. */
static guint group_size_at(const GArray *records, guint position, bool legacy_format)
{
    const struct record_page_entry *first =
        &g_array_index(records, struct record_page_entry, position);
    guint size = 1;
    while (legacy_format && position + size < records->len &&
           machine_id_equal(first->machine, first[size].machine))
        size++;
    return size;
}

/** Distributes the run records of a page; returns false if they do not fit. */
static bool split_records(struct shard *shard, const struct record_page *page, bool legacy_format,
                          GPtrArray *pages)
{
    struct planned_page *first_page = pages->pdata[0];
    GArray *movable = collect_movable_records(shard, page, legacy_format, first_page);
    bool fits = planned_page_fits(shard, first_page);
    for (guint i = 0; i < movable->len && fits;) {
        guint size = group_size_at(movable, i, legacy_format);
        fits = add_record_group(shard, pages, &g_array_index(movable, struct record_page_entry, i),
                                size);
        i += size;
    }
    g_array_unref(movable);
    return fits;
}

/* ---- completions ---- */

/** The state of distributing a page's completions. */
struct completion_split {
    struct shard *shard;
    /** struct planned_page */
    GPtrArray *pages;
    /** "JOB UNIT" -> GByteArray: the bits that other pages of the node store. */
    GHashTable *covered;
    bool legacy_format;
    /** Everything that was distributed so far fits. */
    bool fits;
};

/** Notes a unit that another page stores; a completions_callback. */
static void add_covered_unit(void *ctx, job_id job, uint32_t unit_number, const GByteArray *bits)
{
    struct completion_split *split = ctx;
    char *key = completion_unit_key(job, unit_number);
    GByteArray *covered = g_hash_table_lookup(split->covered, key);
    if (!covered) {
        covered = g_byte_array_new();
        g_hash_table_insert(split->covered, g_strdup(key), covered);
    }
    bitmap_merge(covered, bits);
    g_free(key);
}

/** Collects the completions on all other pages of the node that are not oversized themselves. */
static void collect_covered_units(struct completion_split *split, const struct record_page *page)
{
    GHashTableIter iter;
    struct record_page *other;
    g_hash_table_iter_init(&iter, split->shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
        bool is_relevant = other != page && strcmp(other->label, page->label) == 0 &&
                           !shard_page_is_oversized(split->shard, other);
        if (is_relevant && other->encoded_completions)
            completions_decode(other->encoded_completions, add_covered_unit, split);
    }
}

/** Whether other pages store all bits of a unit. */
static bool is_covered(struct completion_split *split, job_id job, uint32_t unit_number,
                       const GByteArray *bits)
{
    char *key = completion_unit_key(job, unit_number);
    GByteArray *covered = g_hash_table_lookup(split->covered, key);
    g_free(key);
    if (!covered)
        return false;
    for (guint i = 0; i < bits->len; i++) {
        guint8 covered_bits = i < covered->len ? covered->data[i] : 0;
        if (bits->data[i] & ~covered_bits)
            return false;
    }
    return true;
}

/** Returns the first page with that many free bytes, or a new one. */
static struct planned_page *page_with_free_bytes(struct completion_split *split, gsize bytes)
{
    for (guint i = 0; i < split->pages->len; i++) {
        struct planned_page *planned_page = split->pages->pdata[i];
        if (planned_page_bytes(planned_page) + bytes <= shard_max_page_bytes(split->shard))
            return planned_page;
    }
    return planned_page_new(split->pages, split->legacy_format);
}

/** Adds a unit to a page, and reserves the bytes that it may grow to; a completions_callback. */
static void split_completion_unit(void *ctx, job_id job, uint32_t unit_number,
                                  const GByteArray *bits)
{
    struct completion_split *split = ctx;
    struct job *active_job = shard_find_active_job(split->shard, job);
    if (!active_job || unit_number * COMPLETION_UNIT_TASKS >= active_job->task_count ||
        is_covered(split, job, unit_number, bits))
        return;
    guint bitmap_bytes = MAX(shard_completion_unit_bytes(active_job, unit_number), bits->len);
    gsize unit_bytes = completions_max_bytes(job, unit_number, bitmap_bytes, split->legacy_format);
    struct planned_page *target = page_with_free_bytes(split, unit_bytes);
    target->reserved_bytes += unit_bytes;
    completions_encode(target->completions, job, unit_number, bits, split->legacy_format);
    if (!planned_page_fits(split->shard, target))
        split->fits = false;
}

/** Distributes the completions of a page; returns false if they do not fit. */
static bool split_completions(struct shard *shard, const struct record_page *page,
                              bool legacy_format, GPtrArray *pages)
{
    struct completion_split split = {
        .shard = shard,
        .pages = pages,
        .covered = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_byte_array_unref),
        .legacy_format = legacy_format,
        .fits = true,
    };
    collect_covered_units(&split, page);
    completions_decode(page->encoded_completions, split_completion_unit, &split);
    g_hash_table_unref(split.covered);
    return split.fits;
}

GPtrArray *page_split_plan(struct shard *shard, const struct record_page *page, bool legacy_format)
{
    GPtrArray *pages = g_ptr_array_new_with_free_func(planned_page_free);
    planned_page_new(pages, legacy_format);
    bool fits = split_records(shard, page, legacy_format, pages);
    if (fits && page->encoded_completions)
        fits = split_completions(shard, page, legacy_format, pages);
    if (!fits)
        g_clear_pointer(&pages, g_ptr_array_unref);
    return pages;
}
