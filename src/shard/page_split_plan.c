/**
 * @file
 * How the contents of a page that is too long are divided among pages that are short enough: first
 * its run records, in the order of machines, then its completions.
 */
#include "page_split_plan.h"

#include "completions_internal.h"

bool node_supports_multi_page(const struct shard *shard, const char *label)
{
    const struct node_record *node = g_hash_table_lookup(shard->replica->nodes, label);
    return node && node->supported_version >= NODE_VERSION_JOB_DAG;
}

/* ---- one of the pages ---- */

static void split_page_free(gpointer data)
{
    struct split_page *split_page = data;
    g_array_unref(split_page->records);
    g_string_free(split_page->completions, TRUE);
    g_free(split_page);
}

/** Adds an empty page to the plan. */
static struct split_page *split_page_new(GPtrArray *pages, bool legacy_format)
{
    struct split_page *split_page = g_new0(struct split_page, 1);
    split_page->records = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    split_page->completions = g_string_new(NULL);
    split_page->legacy_format = legacy_format;
    g_ptr_array_add(pages, split_page);
    return split_page;
}

/** The bytes of its texts, with those that its completions may come to take. Sorts the records. */
static gsize split_page_bytes(struct split_page *split_page)
{
    gsize min_bytes;
    record_page_encoded_bytes(split_page->records, split_page->legacy_format, &min_bytes);
    return min_bytes + MAX(split_page->reserved_bytes, split_page->completions->len);
}

static bool split_page_fits(const struct shard *shard, struct split_page *split_page)
{
    return split_page_bytes(split_page) <= shard_max_page_bytes(shard);
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

/** Takes a group out of a page again. One by one, as measuring the page has sorted its records. */
static void remove_record_group(struct split_page *split_page,
                                const struct record_page_entry *group, guint count)
{
    for (guint i = 0; i < split_page->records->len;) {
        const struct record_page_entry *record =
            &g_array_index(split_page->records, struct record_page_entry, i);
        if (group_contains(group, count, record))
            g_array_remove_index_fast(split_page->records, i);
        else
            i++;
    }
}

/** Adds records that have to be on one page to the last page, or to a new one if they do not fit
 * there. Returns false if they do not fit on an empty one either. */
static bool add_record_group(struct shard *shard, GPtrArray *pages,
                             const struct record_page_entry *group, guint count)
{
    struct split_page *split_page = pages->pdata[pages->len - 1];
    guint previous_count = split_page->records->len;
    g_array_append_vals(split_page->records, group, count);
    if (split_page_fits(shard, split_page))
        return true;
    remove_record_group(split_page, group, count);
    if (!previous_count)
        return false;
    split_page = split_page_new(pages, split_page->legacy_format);
    g_array_append_vals(split_page->records, group, count);
    return split_page_fits(shard, split_page);
}

/** Whether a record must not move, as a node of version 0 owns its machine. Such a node has noted
 * at the beginning of its epoch which page the machine's records are on, and takes them off that
 * page only: a record moved to another page would stay there, and be on two. It stays where it is
 * until its owner has adopted it, which is soon. */
static bool must_stay_on_page(const struct shard *shard, const struct record_page_entry *record)
{
    const char *owner = shard_map_get_owner(shard->replica, record->machine.text);
    return owner && !node_supports_multi_page(shard, owner);
}

/** Puts the records that must stay on the first page, and returns the others in order. */
static GArray *collect_movable_records(struct shard *shard, const struct record_page *page,
                                       bool legacy_format, struct split_page *first_page)
{
    GArray *movable = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    for (guint i = 0; i < page->run_records->len; i++) {
        struct record_page_entry record =
            shard_page_record_in_replica(shard, page->run_records->pdata[i]);
        bool stays = legacy_format && must_stay_on_page(shard, &record);
        g_array_append_val(stays ? first_page->records : movable, record);
    }
    g_array_sort(movable, compare_by_machine);
    return movable;
}

/** How many records from a position on have to be on one page: in the legacy format all of a
 * machine, as nodes of version 0 expect them on one. */
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

/** Divides the run records of a page; returns false if they do not fit. */
static bool split_records(struct shard *shard, const struct record_page *page, bool legacy_format,
                          GPtrArray *pages)
{
    struct split_page *first_page = pages->pdata[0];
    GArray *movable = collect_movable_records(shard, page, legacy_format, first_page);
    bool fits = split_page_fits(shard, first_page);
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

/** The state of dividing a page's completions. */
struct completion_split {
    struct shard *shard;
    /** struct split_page */
    GPtrArray *pages;
    /** "JOB UNIT" -> GByteArray: bits that other pages of the node hold. */
    GHashTable *covered;
    bool legacy_format;
    /** All that was divided so far fits. */
    bool fits;
};

/** Notes a unit that another page holds; a completions_callback. */
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

/** Notes the completions of all other pages of the node that are not too long themselves. */
static void collect_covered_units(struct completion_split *split, const struct record_page *page)
{
    GHashTableIter iter;
    struct record_page *other;
    g_hash_table_iter_init(&iter, split->shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
        bool counts = other != page && strcmp(other->label, page->label) == 0 &&
                      !shard_page_is_too_long(split->shard, other);
        if (counts && other->encoded_completions)
            completions_decode(other->encoded_completions, add_covered_unit, split);
    }
}

/** Whether other pages hold all bits of a unit. */
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

/** The first page with so many free bytes, or a new one. */
static struct split_page *page_with_free_bytes(struct completion_split *split, gsize bytes)
{
    for (guint i = 0; i < split->pages->len; i++) {
        struct split_page *split_page = split->pages->pdata[i];
        if (split_page_bytes(split_page) + bytes <= shard_max_page_bytes(split->shard))
            return split_page;
    }
    return split_page_new(split->pages, split->legacy_format);
}

/** Puts a unit on a page, with the bytes that it may come to take; a completions_callback. */
static void split_completion_unit(void *ctx, job_id job, uint32_t unit_number,
                                  const GByteArray *bits)
{
    struct completion_split *split = ctx;
    struct job *live_job = shard_find_live_job(split->shard, job);
    if (!live_job || unit_number * COMPLETION_UNIT_TASKS >= live_job->task_count ||
        is_covered(split, job, unit_number, bits))
        return;
    guint bitmap_bytes = MAX(shard_completion_unit_bytes(live_job, unit_number), bits->len);
    gsize unit_bytes = completions_max_bytes(job, unit_number, bitmap_bytes, split->legacy_format);
    struct split_page *target = page_with_free_bytes(split, unit_bytes);
    target->reserved_bytes += unit_bytes;
    completions_encode(target->completions, job, unit_number, bits, split->legacy_format);
    if (!split_page_fits(split->shard, target))
        split->fits = false;
}

/** Divides the completions of a page; returns false if they do not fit. */
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
    GPtrArray *pages = g_ptr_array_new_with_free_func(split_page_free);
    split_page_new(pages, legacy_format);
    bool fits = split_records(shard, page, legacy_format, pages);
    if (fits && page->encoded_completions)
        fits = split_completions(shard, page, legacy_format, pages);
    if (!fits)
        g_clear_pointer(&pages, g_ptr_array_unref);
    return pages;
}
