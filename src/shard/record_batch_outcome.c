/**
 * @file
 * Handling the outcome of a batch's transaction. If it was committed, the state of machines and
 * runs is updated to match the transaction; otherwise, to match the replica.
 *
 * - Committed: records are where the transaction put them, and the records of ended runs are
 *   removed.
 * - Conflict, a compare failed: everything is read again from the replica, at the revision of the
 *   conflict or later.
 * - Unknown: the transaction is fenced off, and then everything is read again.
 * - Lease expired or refused: nothing was written, and all records are where they were.
 * - Any of these in a later epoch: nothing is done, as everything was read again when the epoch
 *   changed.
 */
#include "agent_session_internal.h"
#include "record_batch_internal.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

#include "log.h"

/* ---- statistics ---- */

/** Adds up how long run starts and run ends have waited to be recorded: long waits show that the
 * write rate is a bottleneck. */
static void count_write_wait(struct shard *shard, const struct task_run *run)
{
    struct write_waits *waits = &shard->records.write_waits;
    mono_time now = loop_now(shard->loop);
    if (run->phase == TASK_RUN_PLACED) {
        waits->start_count++;
        waits->start_wait_ms += (double)time_ms_since(now, run->placed_at);
    } else if (run->phase == TASK_RUN_ENDED && run->record.next_page < 0) {
        waits->end_count++;
        waits->end_wait_ms += (double)time_ms_since(now, run->end.ended_at);
    }
}

void shard_log_write_waits(struct shard *shard)
{
    struct write_waits *waits = &shard->records.write_waits;
    if (log_debug_enabled() && waits->write_count)
        LOG_DEBUG("record_write_waits",
                  "writes=%u starts=%u start_wait_ms=%.0f ends=%u end_wait_ms=%.0f pages=%u",
                  waits->write_count, waits->start_count,
                  waits->start_wait_ms / MAX(waits->start_count, 1), waits->end_count,
                  waits->end_wait_ms / MAX(waits->end_count, 1), shard->records.pages->len);
    memset(waits, 0, sizeof *waits);
}

/* ---- committed ---- */

/** What happens to a run when the transaction is committed. */
enum run_commit_result {
    RUN_COMMIT_KEPT,
    /** Its record was removed: the attempt has ended for good, and its resources are released. */
    RUN_COMMIT_RELEASED,
};

/** Updates a run to match the committed transaction. */
static enum run_commit_result commit_run(struct shard *shard, struct machine *machine,
                                         struct task_run *run)
{
    run->record.is_in_txn = false;
    run->record.page = run->record.next_page;
    run->record.is_foreign = false;
    count_write_wait(shard, run);
    if (run->phase == TASK_RUN_PLACED) {
        run->phase = TASK_RUN_RECORDED;
        shard_run_request_stop_if_job_finished(shard, run);
        return RUN_COMMIT_KEPT;
    }
    if (run->phase != TASK_RUN_ENDED || run->record.page >= 0)
        return RUN_COMMIT_KEPT;
    shard_run_release_resources(shard, machine, run);
    run->phase = TASK_RUN_RELEASED;
    return RUN_COMMIT_RELEASED;
}

/** Updates the runs of a machine to match the committed transaction. Frees released runs, unless
 * the machine's agent still reports them. */
static void commit_runs(struct shard *shard, struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len;) {
        struct task_run *run = machine->runs->pdata[i];
        enum run_commit_result result =
            run->record.is_in_txn ? commit_run(shard, machine, run) : RUN_COMMIT_KEPT;
        if (result == RUN_COMMIT_RELEASED && run->reported.visibility != RUN_REPORTED)
            g_ptr_array_remove_index_fast(machine->runs, i);
        else
            i++;
    }
}

/** Updates the state of a machine's own record to match the committed transaction. */
static void commit_machine_record(struct machine *machine, revision committed_at)
{
    switch (machine->record.pending_change) {
    case MACHINE_RECORD_UNCHANGED:
        break;
    case MACHINE_RECORD_WRITTEN:
        machine->record.mod_revision = committed_at;
        break;
    case MACHINE_RECORD_REMOVED:
        machine->record.mod_revision = (revision){0};
        break;
    }
    machine->record.pending_change = MACHINE_RECORD_UNCHANGED;
}

/** Updates a machine and its runs to match the committed transaction, and sends its agent commands
 * for the recorded runs. Frees a machine that was returned and has no records any more. */
static void commit_machine(struct shard *shard, struct machine *machine, revision committed_at)
{
    commit_machine_record(machine, committed_at);
    commit_runs(shard, machine);
    if (!machine->is_returned) {
        shard_push_commands(shard, machine);
    } else if (!machine->record.mod_revision.value && !shard_machine_has_runs(machine)) {
        g_hash_table_remove(shard->machines, machine->id.text);
    } else {
        /* The machine was returned while the transaction was in flight, so the runs that were just
         * recorded have ended. */
        shard_end_all_runs(shard, machine, RUN_END_MACHINE_RETURNED);
        shard_mark_dirty(shard);
    }
}

/** Returns the machine at a position in the batch's list, or NULL if the shard no longer has it. */
static struct machine *find_batch_machine(const struct record_batch *batch, guint position)
{
    return shard_find_machine(batch->shard, batch->machine_ids->pdata[position]);
}

void record_batch_close(struct record_batch *batch)
{
    batch->shard->records.txn_in_flight = false;
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = find_batch_machine(batch, i);
        if (machine)
            machine->record.is_in_txn = false;
    }
}

/** Stores the new mod revisions of the pages that the transaction wrote. */
static void commit_pages(struct record_batch *batch, revision committed_at)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct page_draft *draft = batch->drafts->pdata[i];
        if (draft->is_changed)
            shard_get_own_page(batch->shard, draft->number)->mod_revision = committed_at;
    }
}

static void commit_batch(struct record_batch *batch, revision committed_at)
{
    struct shard *shard = batch->shard;
    commit_pages(batch, committed_at);
    shard_completions_mark_durable(shard, record_batch_writes_page, batch);
    record_batch_close(batch);
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = find_batch_machine(batch, i);
        if (machine)
            commit_machine(shard, machine, committed_at);
    }
    shard->records.is_dirty = shard->records.is_dirty || batch->has_more;
    record_batch_free(batch);
    shard_place_tasks(shard);
    shard_request_flush(shard);
}

/* ---- not committed, or unknown ---- */

/** Resets the changes that the transaction would have made to a machine and its runs. */
static void rollback_machine(struct machine *machine)
{
    if (machine->record.pending_change == MACHINE_RECORD_WRITTEN)
        machine->record.has_unrecorded_images = true;
    machine->record.pending_change = MACHINE_RECORD_UNCHANGED;
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        run->record.is_in_txn = false;
    }
}

static void rollback_machines(struct record_batch *batch)
{
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = find_batch_machine(batch, i);
        if (machine)
            rollback_machine(machine);
    }
}

static void push_commands(struct record_batch *batch)
{
    for (guint i = 0; i < batch->machine_ids->len; i++) {
        struct machine *machine = find_batch_machine(batch, i);
        if (machine)
            shard_push_commands(batch->shard, machine);
    }
}

/** Ends a batch that was not committed, whose outcome is unknown, or that was created in an earlier
 * epoch.
 * @param ok the replica has reached the outcome of the transaction, and shows what is recorded. */
static void reconcile_batch(void *arg, bool ok)
{
    struct record_batch *batch = arg;
    struct shard *shard = batch->shard;
    shard->records.is_dirty = true;
    record_batch_close(batch);
    if (batch->generation == shard->generation) {
        rollback_machines(batch);
        if (ok)
            shard_records_reconcile(shard);
        push_commands(batch);
    }
    shard_schedule_flush(shard, ok);
    record_batch_free(batch);
}

static void log_outcome(const struct record_batch *batch, const struct txn_outcome *outcome)
{
    if (outcome->status == TXN_CONFLICT)
        LOG_DEBUG("record_txn_conflict", "machines=%u first=%s", batch->machine_ids->len,
                  outcome->failed_keys->len ? (char *)outcome->failed_keys->pdata[0] : "");
    else if (outcome->status == TXN_UNKNOWN)
        LOG_INFO("record_txn_unknown", "machines=%u", batch->machine_ids->len);
}

void record_batch_handle_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct record_batch *batch = arg;
    struct shard *shard = batch->shard;
    if (batch->generation != shard->generation) {
        reconcile_batch(batch, true);
        return;
    }
    if (outcome->status == TXN_COMMITTED) {
        commit_batch(batch, outcome->at_revision);
        return;
    }
    log_outcome(batch, outcome);
    record_txn_await_outcome(shard, outcome, reconcile_batch, batch);
}
