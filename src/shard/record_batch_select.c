/**
 * @file
 * Selecting the pages of a batch: collects the changes that are pending for each page, and selects
 * the pages with the highest weight.
 */
#include "record_batch_internal.h"

/** The weights of pending changes, relative to the end of a run that has not waited yet. That
 * weight grows by 1 for each second that the end waits, because the run keeps its resources
 * allocated until its end is recorded. */
enum {
    END_WEIGHT = 1,
    /** A new run to record, or a record to adopt. */
    START_WEIGHT = 1,
    COMPLETION_WEIGHT = 1,
};

enum {
    /** The maximum number of pages of other nodes that one transaction adopts records from. */
    MAX_SOURCE_PAGES = 4,
};

/** Divisors of the maximum size of a page, which give numbers of free bytes. */
enum {
    /** A page needs this much free space to be selected for new records. */
    NEW_RECORDS_FREE_DIVISOR = 4,
    /** If the pages selected for other reasons have this much free space in total, no page is added
     * for the records of new runs. */
    STARTS_FREE_DIVISOR = 5,
    /** The same, if the batch adopts records as well. */
    ADOPTION_FREE_DIVISOR = 2,
};

/** The changes that are pending. */
struct write_demand {
    mono_time now;
    /** The total weight of the changes that are pending for each page, indexed by page number. */
    double *page_weights;
    /** There are new runs or completions that can be recorded on any page. */
    bool has_unassigned;
    /** struct record_page: the pages of other nodes that have records to adopt. */
    GPtrArray *source_pages;
};

/* ---- pending changes ---- */

/** Removes runs whose job was cancelled before they were recorded. They were never started. */
static void drop_placed_runs_of_finished_jobs(struct shard *shard, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len;) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_PLACED && !shard_find_active_job(shard, run->job))
            shard_run_remove(shard, machine, i);
        else
            i++;
    }
}

/** Adds a page of another node that has a record to adopt. */
static void add_source_demand(struct record_batch *batch, struct write_demand *demand,
                              struct record_page *source_page)
{
    if (!g_ptr_array_find(demand->source_pages, source_page, NULL) &&
        shard_source_page_is_usable(batch->shard, source_page, batch->legacy_format))
        g_ptr_array_add(demand->source_pages, source_page);
}

/** Adds the pending changes of one run. */
static void add_run_demand(struct record_batch *batch, struct write_demand *demand,
                           struct machine *machine, const struct task_run *run)
{
    struct record_page *source_page = shard_find_source_page(batch->shard, machine, run);
    int required_page = batch->legacy_format ? shard_find_page_of_machine(machine) : -1;
    if (source_page)
        add_source_demand(batch, demand, source_page);
    if (run->phase == TASK_RUN_ENDED && run->record.page >= 0)
        demand->page_weights[run->record.page] +=
            END_WEIGHT + (double)time_ms_since(demand->now, run->end.ended_at) / 1000;
    if (source_page && required_page >= 0)
        demand->page_weights[required_page] += START_WEIGHT;
    if (run->phase == TASK_RUN_PLACED && required_page >= 0)
        demand->page_weights[required_page] += START_WEIGHT;
    if (run->phase == TASK_RUN_PLACED && required_page < 0)
        demand->has_unassigned = true;
}

/** Adds the pages that hold records which another page lists: own pages, and those of nodes that
 * are away. Writing such a page drops the copies. */
static void add_copy_demand(struct record_batch *batch, struct write_demand *demand)
{
    struct shard *shard = batch->shard;
    GHashTableIter iter;
    struct record_page *page;
    if (!replica_has_record_copies(shard->replica))
        return;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page)) {
        if (!replica_page_holds_copy(shard->replica, page))
            continue;
        if (!shard_map_has_label(shard->replica, page->label))
            add_source_demand(batch, demand, page);
        else if (shard_is_own_page(shard, page) && page->number < (int)shard->records.pages->len)
            demand->page_weights[page->number] += START_WEIGHT;
    }
}

/** Collects the pending changes of all runs and completions. */
static void collect_demand(struct record_batch *batch, struct write_demand *demand)
{
    struct shard *shard = batch->shard;
    *demand = (struct write_demand){.now = loop_now(shard->loop),
                                    .page_weights = g_new0(double, shard->records.pages->len + 1),
                                    .source_pages = g_ptr_array_new()};
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        drop_placed_runs_of_finished_jobs(shard, machine);
        for (guint i = 0; i < machine->runs->len; i++)
            add_run_demand(batch, demand, machine, machine->runs->pdata[i]);
    }
    add_copy_demand(batch, demand);
    if (shard_completions_add_demand(shard, demand->page_weights, COMPLETION_WEIGHT))
        demand->has_unassigned = true;
}

/* ---- pages for new records ---- */

/** Returns the number of the first page that is empty and not in the batch, or that does not exist
 * yet. */
static int find_unused_page(struct shard *shard, const struct record_batch *batch)
{
    int number = 0;
    while (number < (int)shard->records.pages->len &&
           (!shard_own_page_is_empty(shard, number) || record_batch_find_draft(batch, number)))
        number++;
    shard_get_own_page(shard, number);
    return number;
}

/** Returns the number of the page with the most free bytes that is not in the batch, or of an
 * unused page if none has enough. */
static int choose_page_for_new_records(struct shard *shard, const struct record_batch *batch)
{
    gsize wanted_bytes = shard_max_page_bytes(shard) / NEW_RECORDS_FREE_DIVISOR;
    int best = -1;
    for (guint i = 0; i < shard->records.pages->len; i++) {
        gsize free_bytes =
            record_batch_find_draft(batch, (int)i) ? 0 : shard_page_free_bytes(shard, (int)i);
        if (free_bytes >= wanted_bytes) {
            wanted_bytes = free_bytes + 1;
            best = (int)i;
        }
    }
    return best >= 0 ? best : find_unused_page(shard, batch);
}

/* ---- selection ---- */

/** Returns the number of the page with the highest weight that can be written and is not in the
 * batch yet; -1: there is none.
 * @param page_count the number of pages with a known weight. */
static int find_highest_weight_page(struct record_batch *batch, const struct write_demand *demand,
                                    guint page_count)
{
    int best = -1;
    for (guint i = 0; i < page_count; i++)
        if (demand->page_weights[i] > 0 &&
            (best < 0 || demand->page_weights[i] > demand->page_weights[best]) &&
            !record_batch_find_draft(batch, (int)i) &&
            !shard_own_page_is_oversized(batch->shard, (int)i))
            best = (int)i;
    return best;
}

/** Selects the pages of other nodes to adopt records from. Each batch begins with a different page,
 * so that none is starved. */
static void select_source_pages(struct record_batch *batch, const struct write_demand *demand,
                                guint max_pages)
{
    struct shard *shard = batch->shard;
    guint candidate_count = demand->source_pages->len;
    guint selected_count = MIN(MIN(candidate_count, MAX_SOURCE_PAGES), max_pages);
    for (guint i = 0; i < selected_count; i++) {
        guint position = (i + shard->records.first_source_page) % candidate_count;
        g_ptr_array_add(batch->source_pages, demand->source_pages->pdata[position]);
    }
    batch->has_more = selected_count < candidate_count;
    shard->records.first_source_page++;
}

/** Selects the own pages to write and adds their drafts. */
static void select_own_pages(struct record_batch *batch, const struct write_demand *demand,
                             guint max_pages)
{
    struct shard *shard = batch->shard;
    guint page_count = shard->records.pages->len;
    bool adopts_records = batch->source_pages->len > 0;
    bool accepts_new_records = demand->has_unassigned || adopts_records;
    gsize free_bytes = 0;
    gsize enough_bytes = shard_max_page_bytes(shard) /
                         (adopts_records ? ADOPTION_FREE_DIVISOR : STARTS_FREE_DIVISOR);
    for (;;) {
        bool needs_one_more = accepts_new_records && free_bytes < enough_bytes;
        if (batch->drafts->len >= max_pages - needs_one_more)
            break;
        int number = find_highest_weight_page(batch, demand, page_count);
        if (number < 0)
            break;
        record_batch_add_draft(batch, number);
        free_bytes += shard_page_free_bytes(shard, number);
    }
    if (find_highest_weight_page(batch, demand, page_count) >= 0)
        batch->has_more = true;
    if (accepts_new_records && free_bytes < enough_bytes)
        record_batch_add_draft(batch, choose_page_for_new_records(shard, batch));
}

/** Returns the maximum number of own pages that a transaction writes: at most half of its writes,
 * so that the other half is left for pages of other nodes and for the machines' own records. */
static guint max_draft_count(const struct kv_limits *limits)
{
    guint by_writes = (guint)MAX(limits->max_txn_operations / 2, 1);
    guint by_bytes = (guint)MAX(MAX_BATCH_BYTES / limits->max_value_bytes, 1);
    return MIN(by_writes, by_bytes);
}

void record_batch_select_pages(struct record_batch *batch)
{
    const struct kv_limits *limits = kv_client_limits(batch->shard->kv);
    guint max_drafts = max_draft_count(limits);
    struct write_demand demand;
    collect_demand(batch, &demand);
    select_source_pages(batch, &demand, (guint)limits->max_txn_operations - max_drafts - 1);
    select_own_pages(batch, &demand, max_drafts);
    batch->max_machine_writes =
        limits->max_txn_operations - (int)(batch->drafts->len + batch->source_pages->len);
    g_free(demand.page_weights);
    g_ptr_array_unref(demand.source_pages);
}
