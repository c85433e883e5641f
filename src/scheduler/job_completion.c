/** Recording the end of jobs in the key-value store. */
#include "job_completion.h"

#include "quota_ledger.h"

enum {
    /** Ends of cancelled jobs that are recorded at a time. */
    MAX_CANCELLED_ENDS_IN_FLIGHT = 4,
};

/** A transaction that records the end of a job. */
struct job_end_write {
    struct leader *leader;
    job_id job;
    bool is_cancelled;
};

/** The replica shows by now whether the end was recorded; if not, job_completion_check retries. */
static void on_end_visible(void *arg, bool is_caught_up)
{
    (void)is_caught_up;
    struct job_end_write *pending = arg;
    pending->leader->cancelled_ends_in_flight -= pending->is_cancelled;
    struct ledger_job *job = quota_ledger_find_job(pending->leader, pending->job.text);
    if (job)
        job->is_end_in_flight = false;
    leader_request_pass(pending->leader);
    g_free(pending);
}

/** Waits until the replica shows the outcome, which is unknown after an error. */
static void on_end_written(void *arg, const struct txn_outcome *outcome)
{
    struct job_end_write *pending = arg;
    replica_await_txn_outcome(pending->leader->replica, outcome, on_end_visible, pending);
}

/** Records the end of a job, on condition that neither the job nor the leader has changed. */
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
    struct job_end_write *pending = g_new(struct job_end_write, 1);
    *pending = (struct job_end_write){leader, job->id, job_record->state == JOB_CANCELLED};
    leader->cancelled_ends_in_flight += pending->is_cancelled;
    enum kv_priority lane = pending->is_cancelled ? KV_PRIORITY_NORMAL : KV_PRIORITY_URGENT;
    kv_client_commit(leader->kv, lane, txn, on_end_written, pending);
}

void job_completion_check(struct leader *leader, struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    if (!job_record || !job_record->is_loaded || job->is_end_in_flight || !job_record->spec ||
        !membership_is_leader(leader->membership))
        return;
    bool is_completed = job_record->completed_count == job_record->task_count;
    bool has_run_records = job_record->run_records || g_hash_table_size(job->allocations);
    if (job_record->state == JOB_ACTIVE && is_completed)
        write_job_end(leader, job, job_record, JOB_DONE);
    /* One cancellation may end many jobs. All nodes know of it already, so that recording the ends
     * can wait for other writes. */
    else if (job_record->state == JOB_CANCELLED && !has_run_records &&
             leader->cancelled_ends_in_flight < MAX_CANCELLED_ENDS_IN_FLIGHT)
        write_job_end(leader, job, job_record, JOB_CANCELLED);
}

bool job_completion_is_over(struct leader *leader, const struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    return (!job_record || !job_record->spec) && !g_hash_table_size(job->allocations) &&
           !job->is_end_in_flight;
}
