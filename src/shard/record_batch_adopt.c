/**
 * @file
 * Adopting run records of machines that this node owns now from pages of other nodes. The same
 * transaction that writes a record to an own page removes it from the other node's page.
 */
#include "page_split_internal.h"
#include "record_batch_internal.h"

bool shard_source_page_is_usable(struct shard *shard, const struct record_page *page,
                                 bool legacy_format)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    if (!legacy_format && shard_node_has_oversized_page(shard, page->label))
        return false;
    if (!shard_page_is_oversized(shard, page))
        return true;
    const struct node_record *node = g_hash_table_lookup(shard->replica->nodes, page->label);
    return legacy_format && node && node->supported_version < NODE_VERSION_JOB_DAG &&
           !limits->is_lowered;
}

struct record_page *shard_find_source_page(struct shard *shard, const struct machine *machine,
                                           const struct task_run *run)
{
    if (!run->record.is_foreign || run->phase == TASK_RUN_RELEASED)
        return NULL;
    struct run_record *run_record = shard_find_run_record(shard, machine, run);
    bool is_foreign = run_record && !shard_is_own_page(shard, run_record->page);
    return is_foreign ? run_record->page : NULL;
}

/* ---- adopting ---- */

/** Removes the record of a run from a draft. */
static void draft_remove_record(struct page_draft *draft, const struct machine *machine,
                                const struct task_run *run)
{
    for (guint i = 0; i < draft->records->len; i++) {
        const struct record_page_entry *record =
            &g_array_index(draft->records, struct record_page_entry, i);
        if (machine_id_equal(record->machine, machine->id) && job_id_equal(record->job, run->job) &&
            record->task_index == run->index) {
            g_array_remove_index(draft->records, i);
            return;
        }
    }
}

/** Removes all adopted records of a machine from the batch. */
static void undo_adoption(struct record_batch *batch, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (!run->record.is_foreign)
            continue;
        struct page_draft *draft =
            run->record.is_in_txn ? record_batch_find_draft(batch, run->record.next_page) : NULL;
        if (draft)
            draft_remove_record(draft, machine, run);
        run->record.is_in_txn = false;
    }
}

/** Adopts the record of one run. If the end of the run is proven and its completion, if any, is
 * durable or recorded by this transaction, the record is only removed from the other node's page.
 * Returns false if no draft has enough free bytes. */
static bool adopt_run(struct record_batch *batch, struct machine *machine, struct task_run *run)
{
    run->record.next_page = -1;
    if (run->phase == TASK_RUN_ENDED &&
        shard_completion_is_written(batch->shard, run, record_batch_writes_page, batch)) {
        run->record.is_in_txn = true;
        machine->record.is_in_txn = true;
        return true;
    }
    return record_batch_try_add_run(batch, machine, run, shard_max_page_bytes(batch->shard));
}

void record_batch_adopt_machine(struct record_batch *batch, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        struct record_page *source = shard_find_source_page(batch->shard, machine, run);
        if (!source || !g_ptr_array_find(batch->source_pages, source, NULL))
            continue;
        bool was_adopted = adopt_run(batch, machine, run);
        batch->has_more = batch->has_more || !run->record.is_in_txn;
        if (!was_adopted && batch->legacy_format) {
            undo_adoption(batch, machine);
            return;
        }
    }
}

/* ---- the pages of other nodes ---- */

/** Whether the transaction adopts a record of another node's page. */
static bool is_adopted(struct shard *shard, const struct run_record *run_record)
{
    struct machine *machine = shard_find_machine(shard, run_record->machine->id.text);
    if (!machine)
        return false;
    const struct task_run *run =
        shard_run_find(machine, run_record->job->id, run_record->task_index, run_record->attempt);
    return run && run->record.is_in_txn && run->record.is_foreign;
}

void record_batch_write_source(struct record_batch *batch, struct record_page *page)
{
    struct shard *shard = batch->shard;
    GArray *remaining = g_array_new(FALSE, FALSE, sizeof(struct record_page_entry));
    for (guint i = 0; i < page->run_records->len; i++) {
        struct run_record *run_record = page->run_records->pdata[i];
        if (is_adopted(shard, run_record))
            continue;
        struct record_page_entry record = shard_make_page_entry_from_replica(shard, run_record);
        g_array_append_val(remaining, record);
    }
    if (remaining->len < page->run_records->len || replica_page_holds_copy(shard->replica, page)) {
        GString *text = record_page_encode(remaining, batch->legacy_format);
        record_txn_put_page(batch->txn, page->key, page->mod_revision, text->str,
                            page->encoded_completions ? page->encoded_completions : "");
        g_string_free(text, TRUE);
    }
    g_array_unref(remaining);
}
