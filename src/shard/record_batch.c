/* Makes the transaction: new records find room on the pages that it writes. */
#include "record_batch_internal.h"

enum {
    COMPARES_PER_WRITE = 4, /* that a transaction may have, for each write that it may */
    COMPLETIONS_SHARE = 8,  /* of a page: that part is left free of new records, for marks */
};

struct record_batch *record_batch_new(struct shard *shard)
{
    struct record_batch *batch = g_new0(struct record_batch, 1);
    *batch = (struct record_batch){.shard = shard,
                                   .generation = shard->generation,
                                   .legacy_format = shard_uses_legacy_format(shard),
                                   .machine_ids = g_ptr_array_new_with_free_func(g_free),
                                   .txn = shard_txn_new(shard),
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

/* A start may be recorded while its job is as it was seen. */
static bool add_job_compare(struct record_batch *batch, const struct job *job)
{
    if (job->has_pending_dependencies)
        return false; /* nothing starts before what it needs is durably done */
    if (g_hash_table_contains(batch->compared_jobs, job->id.text))
        return true;
    guint max_compares =
        COMPARES_PER_WRITE * (guint)kv_client_limits(batch->shard->kv)->max_txn_operations;
    /* Conditions on pages, and on machines that may be described or forgotten. */
    guint reserved_compares = batch->drafts->len + batch->source_pages->len +
                              (guint)MAX(batch->spare_writes - (int)txn_write_count(batch->txn), 0);
    if (txn_compare_count(batch->txn) + reserved_compares + 1 > max_compares)
        return false;
    char *key = key_job(job->id);
    txn_compare(batch->txn, key, job->mod_revision);
    g_free(key);
    g_hash_table_add(batch->compared_jobs, g_strdup(job->id.text));
    return true;
}

/* Drafts with what has to stay. */
static void refill_drafts(struct record_batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct page_draft *draft = batch->drafts->pdata[i];
        g_array_set_size(draft->records, 0);
        g_hash_table_remove_all(draft->jobs);
        page_draft_keep_existing(batch, draft);
    }
}

/* A page is not written with this transaction: some marks are to leave it first. */
static void withdraw_draft(struct record_batch *batch, guint position)
{
    int page_number = ((struct page_draft *)batch->drafts->pdata[position])->number;
    shard_completions_move(batch->shard, page_number);
    batch->has_more = true;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, batch->shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (run->record.page == page_number)
                run->record.is_in_txn = false;
        }
    g_ptr_array_remove_index(batch->drafts, position);
}

/* Withdraws the first draft that is too long already; false: there is none. */
static bool withdraw_long_draft(struct record_batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++)
        if (((struct page_draft *)batch->drafts->pdata[i])->is_too_long) {
            withdraw_draft(batch, i);
            return true;
        }
    return false;
}

/* Fills the drafts with what has to stay. Without one that was withdrawn, other pages may have to
 * keep records of tasks that are over: so all are filled once more. */
static void build_drafts(struct record_batch *batch)
{
    do
        refill_drafts(batch);
    while (withdraw_long_draft(batch));
}

/* Finds room for a record on a page that is written, best where its job is already. */
static struct page_draft *add_to_draft(struct record_batch *batch,
                                       const struct record_page_entry *record, gsize max_bytes)
{
    for (int same_job = 1; same_job >= 0; same_job--)
        for (guint i = 0; i < batch->drafts->len; i++) {
            struct page_draft *draft = batch->drafts->pdata[i];
            if ((same_job == 0 || page_draft_has_job(draft, record->job)) &&
                page_draft_try_add(draft, record, max_bytes))
                return draft;
        }
    return NULL;
}

/* The page on which a machine's records are, or come to be with this transaction; -1: any. */
static int required_page_of_machine(const struct record_batch *batch, const struct machine *machine)
{
    if (!batch->legacy_format)
        return -1;
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->record.is_in_txn && run->record.next_page >= 0)
            return run->record.next_page;
    }
    return shard_page_of_machine(machine);
}

bool record_batch_put_run(struct record_batch *batch, struct machine *machine, struct task_run *run,
                          gsize max_bytes)
{
    struct record_page_entry record = shard_page_record_of(machine, run);
    int required_page = required_page_of_machine(batch, machine);
    struct page_draft *draft =
        required_page >= 0 ? record_batch_find_draft(batch, required_page) : NULL;
    if (required_page >= 0 && (!draft || !page_draft_try_add(draft, &record, max_bytes)))
        return false;
    if (required_page < 0)
        draft = add_to_draft(batch, &record, max_bytes);
    if (!draft)
        return false;
    run->record.next_page = draft->number;
    run->record.is_in_txn = machine->record.is_in_txn = draft->is_changed = true;
    return true;
}

/* Records a machine's new tasks, as far as there is room. */
static void add_placed_runs(struct record_batch *batch, struct machine *machine)
{
    struct shard *shard = batch->shard;
    gsize max_bytes = shard_max_page_bytes(shard) - shard_max_page_bytes(shard) / COMPLETIONS_SHARE;
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        struct job *job =
            run->phase == TASK_RUN_PLACED ? shard_find_live_job(shard, run->job) : NULL;
        if (!job)
            continue;
        record_batch_describe_machine(batch, machine);
        if ((machine->record.mod_revision.value ||
             machine->record.change == MACHINE_RECORD_WRITTEN ||
             machine->record.inventory_number >= 0 || shard_machine_page_description(machine)) &&
            add_job_compare(batch, job) && record_batch_put_run(batch, machine, run, max_bytes))
            run->record.may_be_recorded = true;
        else
            batch->has_more = true;
    }
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

/* Machines that the transaction is about. */
static void list_machine(struct record_batch *batch, struct machine *machine)
{
    if (machine->record.is_in_txn)
        g_ptr_array_add(batch->machine_ids, g_strdup(machine->id.text));
}

void record_batch_fill(struct record_batch *batch)
{
    record_batch_select_pages(batch);
    int page_numbers[batch->drafts->len + 1];
    for (guint i = 0; i < batch->drafts->len; i++)
        page_numbers[i] = ((struct page_draft *)batch->drafts->pdata[i])->number;
    batch->has_more =
        !shard_completions_place(batch->shard, page_numbers, batch->drafts->len) || batch->has_more;
    build_drafts(batch);
    for_each_machine(batch, record_batch_adopt_machine);
    for_each_machine(batch, add_placed_runs);
    for_each_machine(batch, record_batch_finish_machine);
    for_each_machine(batch, list_machine);
    for (guint i = 0; i < batch->drafts->len; i++)
        if (((struct page_draft *)batch->drafts->pdata[i])->is_changed)
            page_draft_write(batch, batch->drafts->pdata[i]);
    for (guint i = 0; i < batch->source_pages->len; i++)
        record_batch_write_source(batch, batch->source_pages->pdata[i]);
}
