/* Chooses which pages a transaction writes: a survey of what waits to be written, and what of it
 * comes first. */
#include "record_batch_internal.h"

enum {
    START_WEIGHT =
        1, /* a start that waits for a page, beside an end that has waited a second less */
    COMPLETION_WEIGHT = 1, /* and a mark */
    MAX_SOURCE_PAGES = 4,  /* pages of others that one transaction takes machines over from */
};

/* Parts of a page's length: */
enum {
    ROOMY_PAGE_SHARE = 4, /* a page with so much room may take what is new */
    ENOUGH_FOR_STARTS_SHARE =
        5, /* pages that are written anyway with so much room are enough for that */
    ENOUGH_FOR_ADOPTION_SHARE = 2, /* and with so much, when machines are taken over as well */
};

/* What there is to be written. */
struct write_demand {
    mono_time now;
    double *page_weights;    /* by number: how much is waited for them */
    bool has_unplaced;       /* starts, and marks for any page */
    GPtrArray *source_pages; /* struct record_page: of other nodes, that records are to be taken
                                over from */
};

/* Runs of jobs that were cancelled before their record was written: nothing was started. */
static void drop_placed_runs_of_over_jobs(struct shard *shard, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len;) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_PLACED && !shard_find_live_job(shard, run->job))
            shard_run_remove(shard, machine, i);
        else
            i++;
    }
}

/* What one task waits for. */
static void add_run_demand(struct record_batch *batch, struct write_demand *demand,
                           struct machine *machine, const struct task_run *run)
{
    struct shard *shard = batch->shard;
    struct record_page *source_page = shard_source_page_of_run(shard, machine, run);
    int required_page = batch->legacy_format ? shard_page_of_machine(machine) : -1;
    if (source_page && !g_ptr_array_find(demand->source_pages, source_page, NULL) &&
        shard_source_page_is_usable(shard, source_page, batch->legacy_format))
        g_ptr_array_add(demand->source_pages, source_page);
    if (run->phase == TASK_RUN_ENDED && run->record.page >= 0)
        demand->page_weights[run->record.page] +=
            1 + (double)time_ms_since(demand->now, run->end.at) / 1000;
    if (source_page && required_page >= 0)
        demand->page_weights[required_page] += START_WEIGHT;
    if (run->phase == TASK_RUN_PLACED && required_page >= 0)
        demand->page_weights[required_page] += START_WEIGHT;
    demand->has_unplaced =
        demand->has_unplaced || (run->phase == TASK_RUN_PLACED && required_page < 0);
}

/* What all tasks and marks wait for. */
static void collect_demand(struct record_batch *batch, struct write_demand *want)
{
    struct shard *shard = batch->shard;
    GHashTableIter it;
    struct machine *machine;
    want->now = loop_now(shard->loop);
    want->page_weights = g_new0(double, shard->records.pages->len + 1);
    want->source_pages = g_ptr_array_new();
    want->has_unplaced = false;
    g_hash_table_iter_init(&it, shard->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        drop_placed_runs_of_over_jobs(shard, machine);
        for (guint i = 0; i < machine->runs->len; i++)
            add_run_demand(batch, want, machine, machine->runs->pdata[i]);
    }
    want->has_unplaced =
        shard_completions_add_demand(shard, want->page_weights, COMPLETION_WEIGHT) ||
        want->has_unplaced;
}

/* A number that no page has, or that of one that is empty. */
static int find_unused_page(struct shard *shard, const struct record_batch *batch)
{
    int number = 0;
    while (number < (int)shard->records.pages->len &&
           (!shard_own_page_is_empty(shard, number) || record_batch_find_draft(batch, number)))
        number++;
    shard_get_own_page(shard, number);
    return number;
}

/* The page with the most room; a new one if they are all quite full. */
static int choose_page_for_more(struct shard *shard, const struct record_batch *batch)
{
    gsize max_bytes = shard_max_page_bytes(shard) / ROOMY_PAGE_SHARE;
    int best = -1;
    for (guint i = 0; i < shard->records.pages->len; i++) {
        gsize free_bytes =
            record_batch_find_draft(batch, (int)i) ? 0 : shard_page_free_bytes(shard, (int)i);
        if (free_bytes >= max_bytes) {
            max_bytes = free_bytes + 1;
            best = (int)i;
        }
    }
    return best >= 0 ? best : find_unused_page(shard, batch);
}

/* The page for which most is waited, and that is not among those to be written; -1: none. */
static int most_demanded_page(struct record_batch *batch, const struct write_demand *demand,
                              guint page_count)
{
    int best = -1;
    for (guint i = 0; i < page_count; i++)
        if (demand->page_weights[i] > 0 &&
            (best < 0 || demand->page_weights[i] > demand->page_weights[best]) &&
            !record_batch_find_draft(batch, (int)i) &&
            !shard_own_page_is_too_long(batch->shard, (int)i))
            best = (int)i;
    return best;
}

/* From which pages of other nodes machines are taken over: most of them, another first each time.
 */
static void choose_sources(struct record_batch *batch, const struct write_demand *demand,
                           guint max_pages)
{
    struct shard *shard = batch->shard;
    guint wanted = demand->source_pages->len;
    guint chosen = MIN(MIN(wanted, MAX_SOURCE_PAGES), max_pages);
    for (guint i = 0; i < chosen; i++)
        g_ptr_array_add(
            batch->source_pages,
            demand->source_pages->pdata[(i + shard->records.first_source_page) % wanted]);
    batch->has_more = chosen < wanted;
    shard->records.first_source_page++;
}

/* Which pages are written: most of them. */
static void choose_drafts(struct record_batch *batch, const struct write_demand *demand,
                          guint max_pages)
{
    struct shard *shard = batch->shard;
    guint page_count = shard->records.pages->len;
    bool adopts_records = batch->source_pages->len > 0;
    bool takes_new_records = demand->has_unplaced || adopts_records;
    gsize free_bytes = 0;
    gsize enough_bytes = shard_max_page_bytes(shard) /
                         (adopts_records ? ENOUGH_FOR_ADOPTION_SHARE : ENOUGH_FOR_STARTS_SHARE);
    int number;
    while (batch->drafts->len < max_pages - (takes_new_records && free_bytes < enough_bytes) &&
           (number = most_demanded_page(batch, demand, page_count)) >= 0) {
        page_draft_open(batch, number);
        free_bytes += shard_page_free_bytes(shard, number);
    }
    batch->has_more = batch->has_more || most_demanded_page(batch, demand, page_count) >= 0;
    if (takes_new_records && free_bytes < enough_bytes)
        page_draft_open(batch, choose_page_for_more(shard, batch));
}

void record_batch_select_pages(struct record_batch *batch)
{
    const struct kv_limits *limits = kv_client_limits(batch->shard->kv);
    guint max_writes = (guint)limits->max_txn_operations;
    guint max_drafts = (guint)MAX(limits->max_txn_operations / 2, 1);
    max_drafts = MIN(max_drafts, (guint)MAX(MAX_BATCH_BYTES / limits->max_value_bytes, 1));
    struct write_demand demand;
    collect_demand(batch, &demand);
    choose_sources(batch, &demand, max_writes - max_drafts - 1);
    choose_drafts(batch, &demand, max_drafts);
    batch->spare_writes =
        limits->max_txn_operations - (int)(batch->drafts->len + batch->source_pages->len);
    g_free(demand.page_weights);
    g_ptr_array_unref(demand.source_pages);
}
