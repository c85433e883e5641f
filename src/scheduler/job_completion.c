/** Writes the final state of jobs to the key-value store. */
#include "job_completion.h"

#include "invariant.h"
#include "quota_ledger.h"

enum {
    /** Limits the transactions in flight that record the end of cancelled jobs. */
    MAX_CANCELLED_ENDS_IN_FLIGHT = 4,
};

/** A transaction in flight that records the end of a job. */
struct job_end_write {
    struct leader *leader;
    job_id job;
    bool is_cancelled;
};

/**
 * Called once the replica shows whether the end was recorded. If it was not, job_completion_check
 * retries.
 */
static void on_end_outcome_known(void *arg, bool is_caught_up)
{
    (void)is_caught_up;
    struct job_end_write *end_write = arg;
    end_write->leader->cancelled_ends_in_flight -= end_write->is_cancelled;
    struct ledger_job *job = quota_ledger_find_job(end_write->leader, end_write->job.text);
    if (job)
        job->is_end_in_flight = false;
    leader_request_pass(end_write->leader);
    g_free(end_write);
}

/** Waits until the replica shows the outcome, because it is unknown after an error. */
static void on_end_committed(void *arg, const struct txn_outcome *outcome)
{
    struct job_end_write *end_write = arg;
    replica_await_txn_outcome(end_write->leader->replica, outcome, on_end_outcome_known, end_write);
}

static void log_job_end(const struct leader *leader, const struct job *job_record)
{
    struct decision_basis basis = replica_get_decision_basis(leader->replica, leader->epoch.value);
    decision_log_record(DECISION_JOB_END, &basis,
                        "job=%s job_revision=%" G_GUINT64_FORMAT " why=%s", job_record->id.text,
                        job_record->mod_revision.value,
                        job_record->state == JOB_CANCELLED ? "cancelled" : "completed");
}

/** Records the end of a job, unless the job or the leader has changed in the meantime. */
static void write_job_end(struct leader *leader, struct ledger_job *job,
                          const struct job *job_record, enum job_state final_state)
{
    struct txn *txn = txn_new();
    char *key = key_job(job->id);
    txn_compare(txn, key, job_record->mod_revision);
    txn_compare(txn, KEY_LEADER, leader->replica->leader_mod_revision);
    wall_time ended_at = loop_wall_time(leader->loop);
    txn_put(txn, key, job_encode_final(final_state, job_record->task_count, ended_at),
            (lease_id){0});
    g_free(key);
    job->is_end_in_flight = true;
    log_job_end(leader, job_record);
    struct job_end_write *end_write = g_new(struct job_end_write, 1);
    *end_write = (struct job_end_write){leader, job->id, job_record->state == JOB_CANCELLED};
    leader->cancelled_ends_in_flight += end_write->is_cancelled;
    enum kv_priority priority = end_write->is_cancelled ? KV_PRIORITY_NORMAL : KV_PRIORITY_URGENT;
    kv_client_commit(leader->kv, priority, txn, on_end_committed, end_write);
}

bool job_completion_is_decidable(const struct leader *leader, const struct job *job_record)
{
    return invariant_check(INVARIANT_ONE_REVISION,
                           replica_shows_job_with_records(leader->replica, job_record),
                           "job=%s job_revision=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
                           job_record->id.text, job_record->mod_revision.value,
                           leader->replica->applied_revision.value);
}

void job_completion_check(struct leader *leader, struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    if (!job_record || !job_record->is_loaded || job->is_end_in_flight || !job_record->spec ||
        !membership_is_leader(leader->membership) ||
        !job_completion_is_decidable(leader, job_record))
        return;
    bool is_completed = job_record->completed_count == job_record->task_count;
    bool has_run_records = job_record->run_records || g_hash_table_size(job->allocations);
    if (job_record->state == JOB_ACTIVE && is_completed)
        write_job_end(leader, job, job_record, JOB_DONE);
    /* One cancellation may end many jobs. Every node already knows that they are cancelled, so
     * recording their ends has a lower priority than other writes. */
    else if (job_record->state == JOB_CANCELLED && !has_run_records &&
             leader->cancelled_ends_in_flight < MAX_CANCELLED_ENDS_IN_FLIGHT)
        write_job_end(leader, job, job_record, JOB_CANCELLED);
}

bool job_completion_may_drop_job(struct leader *leader, const struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    return (!job_record || !job_record->spec) && !g_hash_table_size(job->allocations) &&
           !job->is_end_in_flight;
}
