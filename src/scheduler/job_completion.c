#include "job_completion.h"

#include "quota_ledger.h"

enum {
    MAX_CANCELLED_ENDS_IN_FLIGHT = 4
}; /* ends of cancelled jobs that are being stored at a time */

/* The end of a job that is being stored. */
struct job_end_write {
    struct leader *leader;
    job_id job;
    bool is_cancelled;
};

/* The view shows what became of it: if it was not stored, it is tried again. */
static void on_end_visible(void *arg, bool ok)
{
    struct job_end_write *pending = arg;
    (void)ok;
    pending->leader->cancelled_ends_in_flight -= pending->is_cancelled;
    struct ledger_job *job = quota_ledger_find_job(pending->leader, pending->job.text);
    if (job)
        job->is_end_in_flight = false;
    leader_request_pass(pending->leader);
    g_free(pending);
}

static void on_end_written(void *arg, const struct txn_outcome *outcome)
{
    struct job_end_write *pending = arg;
    if (outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT)
        replica_await_revision(pending->leader->replica, outcome->at_revision, on_end_visible,
                               pending);
    else
        replica_read_barrier(pending->leader->replica, on_end_visible, pending);
}

/* Stores how the job ended, unless it has changed or the lead is lost meanwhile. */
static void write_job_end(struct leader *leader, struct ledger_job *job, struct job *job_record,
                          enum job_state final)
{
    struct txn *txn = txn_new();
    char *key = key_job(job->id);
    txn_compare(txn, key, job_record->mod_revision);
    txn_compare(txn, KEY_LEADER, leader->replica->leader_mod_revision);
    txn_put(txn, key, job_encode_final(final, job_record->task_count, loop_wall_time(leader->loop)),
            (lease_id){0});
    g_free(key);
    job->is_end_in_flight = true;
    struct job_end_write *pending = g_new(struct job_end_write, 1);
    *pending = (struct job_end_write){leader, job->id, job_record->state == JOB_CANCELLED};
    leader->cancelled_ends_in_flight += pending->is_cancelled;
    kv_client_commit(leader->kv, pending->is_cancelled ? KV_LANE_NORMAL : KV_LANE_URGENT, txn,
                     on_end_written, pending);
}

void job_completion_check(struct leader *leader, struct ledger_job *job)
{
    struct job *job_record = replica_get_job(leader->replica, job->id.text);
    if (!job_record || !job_record->is_known || job->is_end_in_flight || !job_record->spec ||
        !membership_is_leader(leader->membership))
        return;
    if (job_record->state == JOB_ACTIVE && job_record->completed_count == job_record->task_count)
        write_job_end(leader, job, job_record, JOB_DONE);
    /* Many may be cancelled with one. All nodes know that already: it can wait behind other writes.
     */
    else if (job_record->state == JOB_CANCELLED && !job_record->run_records &&
             !g_hash_table_size(job->allocations) &&
             leader->cancelled_ends_in_flight < MAX_CANCELLED_ENDS_IN_FLIGHT)
        write_job_end(leader, job, job_record, JOB_CANCELLED);
}

bool job_completion_is_over(struct leader *leader, struct ledger_job *job)
{
    struct job *job_record = replica_get_job(leader->replica, job->id.text);
    return (!job_record || !job_record->spec) && !g_hash_table_size(job->allocations) &&
           !job->is_end_in_flight;
}
