/* What became of a transaction: machines and tasks follow it when it was done, and the view when it
 * was not or when nobody knows. */
#include "record_batch_internal.h"

#include "agent_session_internal.h"
#include "log.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

/* How long starts and ends wait for their records: it shows when writes are scarce. */
static void count_write_wait(struct shard *shard, const struct task_run *run)
{
    mono_time now = loop_now(shard->loop);
    if (run->phase == TASK_RUN_PLACED) {
        shard->records.write_waits.starts++;
        shard->records.write_waits.start_wait_ms += (double)time_ms_since(now, run->placed_at);
    } else if (run->phase == TASK_RUN_ENDED && run->record.next_page < 0) {
        shard->records.write_waits.ends++;
        shard->records.write_waits.end_wait_ms += (double)time_ms_since(now, run->end.at);
    }
}

void shard_log_write_waits(struct shard *shard)
{
    if (log_debug_enabled() && shard->records.write_waits.writes)
        LOG_DEBUG("records", "writes=%u starts=%u wait_ms=%.0f ends=%u wait_ms=%.0f pages=%u",
                  shard->records.write_waits.writes, shard->records.write_waits.starts,
                  shard->records.write_waits.start_wait_ms /
                      MAX(shard->records.write_waits.starts, 1),
                  shard->records.write_waits.ends,
                  shard->records.write_waits.end_wait_ms / MAX(shard->records.write_waits.ends, 1),
                  shard->records.pages->len);
    memset(&shard->records.write_waits, 0, sizeof shard->records.write_waits);
}

/* The record of a task is as the transaction has it. Whether it has come off the records so. */
static bool commit_run(struct shard *shard, struct machine *machine, struct task_run *run)
{
    run->record.is_in_txn = false;
    run->record.page = run->record.next_page;
    run->record.is_foreign = false;
    count_write_wait(shard, run);
    if (run->phase == TASK_RUN_PLACED) {
        run->phase = TASK_RUN_RECORDED;
        shard_run_stop_if_job_over(shard, run);
        return false;
    }
    if (run->phase != TASK_RUN_ENDED || run->record.page >= 0)
        return false;
    shard_run_release_resources(shard, machine, run);
    run->phase = TASK_RUN_RELEASED;
    return true;
}

/* The records of a machine's tasks. What comes off them is forgotten, unless its worker still
 * reports it. */
static void commit_runs(struct shard *shard, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len;) {
        struct task_run *run = machine->runs->pdata[i];
        bool was_released = run->record.is_in_txn && commit_run(shard, machine, run);
        if (was_released && run->reported.visibility != RUN_REPORTED)
            g_ptr_array_remove_index_fast(machine->runs, i);
        else
            i++;
    }
}

/* A machine is on record as the transaction has it. Frees it when nothing of it is left. */
static void commit_machine(struct shard *shard, struct machine *machine,
                           const struct txn_outcome *outcome)
{
    if (machine->record.change == MACHINE_RECORD_REMOVED)
        machine->record.mod_revision = (revision){0};
    else if (machine->record.change == MACHINE_RECORD_WRITTEN)
        machine->record.mod_revision = outcome->at_revision;
    machine->record.change = MACHINE_RECORD_UNCHANGED;
    commit_runs(shard, machine);
    if (machine->is_gone && !machine->record.mod_revision.value &&
        !shard_machine_has_runs(machine)) {
        g_hash_table_remove(shard->machines, machine->id.text);
    } else if (machine->is_gone) {
        /* It went while this was being written; what was just recorded went with it. */
        shard_end_all_runs(shard, machine, RUN_END_MACHINE_RETURNED);
        shard_mark_dirty(shard);
    } else {
        shard_push_commands(shard, machine);
    }
}

void record_batch_close(struct record_batch *batch)
{
    struct shard *shard = batch->shard;
    shard->records.txn_in_flight = false;
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine)
            machine->record.is_in_txn = false;
    }
}

/* The transaction was carried out. */
static void commit_batch(struct record_batch *batch, const struct txn_outcome *outcome)
{
    struct shard *shard = batch->shard;
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct page_draft *draft = batch->drafts->pdata[i];
        if (draft->is_changed)
            shard_get_own_page(shard, draft->number)->mod_revision = outcome->at_revision;
    }
    shard_completions_mark_durable(shard, record_batch_writes_page, batch);
    record_batch_close(batch);
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine)
            commit_machine(shard, machine, outcome);
    }
    shard->records.is_dirty = shard->records.is_dirty || batch->has_more;
    record_batch_free(batch);
    shard_place_tasks(shard);
    shard_request_flush(shard);
}

/* Nothing of a machine counts as in a transaction any more: the view shows what came on record. */
static void rollback_machine(struct machine *machine)
{
    machine->record.has_unrecorded_images =
        machine->record.has_unrecorded_images || machine->record.change == MACHINE_RECORD_WRITTEN;
    machine->record.change = MACHINE_RECORD_UNCHANGED;
    for (guint i = 0; i < machine->runs->len; i++)
        ((struct task_run *)machine->runs->pdata[i])->record.is_in_txn = false;
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void reconcile_batch(void *arg, bool ok)
{
    struct record_batch *batch = arg;
    struct shard *shard = batch->shard;
    bool is_same_generation = batch->generation == shard->generation;
    shard->records.is_dirty = true;
    record_batch_close(batch);
    for (guint i = 0; is_same_generation && i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine)
            rollback_machine(machine);
    }
    if (is_same_generation && ok)
        shard_records_reconcile(shard);
    for (guint i = 0; is_same_generation && i < batch->machine_ids->len; i++) {
        struct machine *machine = shard_find_machine(shard, batch->machine_ids->pdata[i]);
        if (machine)
            shard_push_commands(shard, machine);
    }
    shard_schedule_flush(shard, ok);
    record_batch_free(batch);
}

void record_batch_handle_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct record_batch *batch = arg;
    struct shard *shard = batch->shard;
    if (batch->generation != shard->generation) {
        /* The map has changed meanwhile: the records were taken from the view then. */
        reconcile_batch(batch, true);
        return;
    }
    switch (outcome->status) {
    case TXN_COMMITTED:
        commit_batch(batch, outcome);
        return;
    case TXN_CONFLICT:
        LOG_DEBUG("record_conflict", "hosts=%u first=%s", batch->machine_ids->len,
                  outcome->failed_keys->len ? (char *)outcome->failed_keys->pdata[0] : "");
        replica_await_revision(shard->replica, outcome->at_revision, reconcile_batch, batch);
        return;
    case TXN_UNKNOWN:
        LOG_INFO("record_unknown", "hosts=%u", batch->machine_ids->len);
        replica_read_barrier(shard->replica, reconcile_batch, batch);
        return;
    default:
        reconcile_batch(batch, false);
    }
}
