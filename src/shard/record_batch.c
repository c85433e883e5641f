/**
 * @file
 * Building the transaction of a batch: fills the drafts of pages, and adds the records of new runs
 * to them.
 */
#include "record_batch_internal.h"

enum {
    /** The maximum number of compares of a transaction, for each write that it may have. */
    COMPARES_PER_WRITE = 4,
    /** A page's bytes divided by this are kept free of the records of new runs, for completions. */
    COMPLETIONS_RESERVE_DIVISOR = 8,
};

struct record_batch *record_batch_new(struct shard *shard)
{
    struct record_batch *batch = g_new0(struct record_batch, 1);
    *batch = (struct record_batch){.shard = shard,
                                   .generation = shard->generation,
                                   .legacy_format = shard_uses_legacy_format(shard),
                                   .machine_ids = g_ptr_array_new_with_free_func(g_free),
                                   .txn = record_txn_new(shard),
                                   .compared_jobs =
                                       g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                                   .drafts = g_ptr_array_new_with_free_func(page_draft_free),
                                   .source_pages = g_ptr_array_new()};
    return batch;
}

void record_batch_free(struct record_batch *batch)
{
    g_ptr_array_unref(batch->machine_ids);
    g_hash_table_unref(batch->compared_jobs);
    g_ptr_array_unref(batch->drafts);
    g_ptr_array_unref(batch->source_pages);
    g_free(batch);
}

static struct page_draft *draft_at(const struct record_batch *batch, guint position)
{
    return batch->drafts->pdata[position];
}

static void for_each_machine(struct record_batch *batch,
                             void (*step)(struct record_batch *batch, struct machine *machine))
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, batch->shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        step(batch, machine);
}

/* ---- contents that stay on the pages ---- */

/** Notes that the transaction does not record the end of any run on the page after all. */
static void exclude_run_ends_on_page(struct shard *shard, int page_number)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (run->record.page == page_number)
                run->record.is_in_txn = false;
        }
}

/** Removes a draft from the batch because the page would exceed the size limit. Some of its
 * completions have to move to other pages first, which a later batch does. */
static void drop_draft(struct record_batch *batch, guint position)
{
    int page_number = draft_at(batch, position)->number;
    shard_completions_move_unit(batch->shard, page_number);
    batch->has_more = true;
    exclude_run_ends_on_page(batch->shard, page_number);
    g_ptr_array_remove_index(batch->drafts, position);
}

/** Removes the first oversized draft from the batch; returns false if there is none. */
static bool drop_oversized_draft(struct record_batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++)
        if (draft_at(batch, i)->is_oversized) {
            drop_draft(batch, i);
            return true;
        }
    return false;
}

/** Fills all drafts with the contents that have to stay on their pages. If a draft is dropped, this
 * transaction does not record its completions, so other pages may have to keep the records of those
 * runs: all drafts are filled again. */
static void build_drafts(struct record_batch *batch)
{
    do {
        for (guint i = 0; i < batch->drafts->len; i++)
            page_draft_keep_existing(batch, draft_at(batch, i));
    } while (drop_oversized_draft(batch));
}

/* ---- records of new runs ---- */

/** Counts the compares that the transaction still has to get besides those of jobs: one for each
 * page, and one for each machine's own record that it may yet write or delete. */
static guint reserved_compare_count(const struct record_batch *batch)
{
    int spare_writes = batch->max_machine_writes - (int)txn_write_count(batch->txn);
    return batch->drafts->len + batch->source_pages->len + (guint)MAX(spare_writes, 0);
}

/** Adds a compare of the job of a run that is going to be recorded, so that the transaction fails
 * if the job was cancelled in the meantime. Returns false if the transaction can have no more
 * compares, or if the job has dependencies that this node has not seen done (docs/safety.md, "Too
 * early is impossible"). */
static bool add_job_compare(struct record_batch *batch, const struct job *job)
{
    if (job->has_pending_dependencies)
        return false;
    if (g_hash_table_contains(batch->compared_jobs, job->id.text))
        return true;
    const struct kv_limits *limits = kv_client_limits(batch->shard->kv);
    guint max_compares = COMPARES_PER_WRITE * (guint)limits->max_txn_operations;
    if (txn_compare_count(batch->txn) + reserved_compare_count(batch) + 1 > max_compares)
        return false;
    record_txn_compare_job(batch->txn, job);
    g_hash_table_add(batch->compared_jobs, g_strdup(job->id.text));
    return true;
}

/** Adds a record to the first draft with enough free bytes, preferably one that has records of the
 * same job. Returns that draft, or NULL. */
static struct page_draft *add_to_any_draft(struct record_batch *batch,
                                           const struct record_page_entry *record, gsize max_bytes)
{
    for (int same_job = 1; same_job >= 0; same_job--)
        for (guint i = 0; i < batch->drafts->len; i++) {
            struct page_draft *draft = draft_at(batch, i);
            if ((same_job == 0 || page_draft_has_job(draft, record->job)) &&
                page_draft_try_add(draft, record, max_bytes))
                return draft;
        }
    return NULL;
}

/** Returns the number of the page that all records of the machine have to be on in the legacy
 * format: the one that has any of them, or will have with this transaction. -1: any page. */
static int required_page_of_machine(const struct record_batch *batch, const struct machine *machine)
{
    if (!batch->legacy_format)
        return -1;
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->record.is_in_txn && run->record.next_page >= 0)
            return run->record.next_page;
    }
    return shard_find_page_of_machine(machine);
}

/** Adds a record to the draft of a page and returns the draft; NULL: there is no such draft, or it
 * is full. */
static struct page_draft *add_to_draft_of_page(struct record_batch *batch, int page_number,
                                               const struct record_page_entry *record,
                                               gsize max_bytes)
{
    struct page_draft *draft = record_batch_find_draft(batch, page_number);
    return draft && page_draft_try_add(draft, record, max_bytes) ? draft : NULL;
}

bool record_batch_try_add_run(struct record_batch *batch, struct machine *machine,
                              struct task_run *run, gsize max_bytes)
{
    struct record_page_entry record = shard_make_page_entry(machine, run);
    int required_page = required_page_of_machine(batch, machine);
    struct page_draft *draft = required_page >= 0
                                   ? add_to_draft_of_page(batch, required_page, &record, max_bytes)
                                   : add_to_any_draft(batch, &record, max_bytes);
    if (!draft)
        return false;
    draft->is_changed = true;
    machine->record.is_in_txn = true;
    run->record.is_in_txn = true;
    run->record.next_page = draft->number;
    return true;
}

/** Adds the records of a machine's placed runs, as far as they fit. */
static void add_placed_runs(struct record_batch *batch, struct machine *machine)
{
    struct shard *shard = batch->shard;
    gsize max_bytes =
        shard_max_page_bytes(shard) - shard_max_page_bytes(shard) / COMPLETIONS_RESERVE_DIVISOR;
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        struct job *job =
            run->phase == TASK_RUN_PLACED ? shard_find_active_job(shard, run->job) : NULL;
        if (!job)
            continue;
        record_batch_try_write_machine(batch, machine);
        if (record_batch_is_machine_described(machine) && add_job_compare(batch, job) &&
            record_batch_try_add_run(batch, machine, run, max_bytes))
            run->record.may_be_recorded = true;
        else
            batch->has_more = true;
    }
}

/* ---- the whole batch ---- */

/** Assigns unassigned completions to the pages that the batch writes. */
static void assign_completions(struct record_batch *batch)
{
    int page_numbers[batch->drafts->len + 1];
    for (guint i = 0; i < batch->drafts->len; i++)
        page_numbers[i] = draft_at(batch, i)->number;
    if (!shard_completions_assign_pages(batch->shard, page_numbers, batch->drafts->len))
        batch->has_more = true;
}

/** Adds the machine to the batch's list if the transaction changes a record of it. */
static void add_changed_machine_id(struct record_batch *batch, struct machine *machine)
{
    if (machine->record.is_in_txn)
        g_ptr_array_add(batch->machine_ids, g_strdup(machine->id.text));
}

static void write_pages(struct record_batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++)
        if (draft_at(batch, i)->is_changed)
            page_draft_write(batch, draft_at(batch, i));
    for (guint i = 0; i < batch->source_pages->len; i++)
        record_batch_write_source(batch, batch->source_pages->pdata[i]);
}

void record_batch_fill(struct record_batch *batch)
{
    record_batch_select_pages(batch);
    assign_completions(batch);
    build_drafts(batch);
    for_each_machine(batch, record_batch_adopt_machine);
    for_each_machine(batch, add_placed_runs);
    for_each_machine(batch, record_batch_finalize_machine);
    for_each_machine(batch, add_changed_machine_id);
    write_pages(batch);
}
