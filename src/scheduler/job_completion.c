#include "job_completion.h"

#include "quota_ledger.h"

enum { MOST_CANCELLING = 4 }; /* ends of cancelled jobs that are being stored at a time */

/* The end of a job that is being stored. */
struct finish {
    struct leader *leader;
    job_id job;
    bool cancelled;
};

/* The view shows what became of it: if it was not stored, it is tried again. */
static void finish_seen(void *arg, bool ok)
{
    struct finish *finish = arg;
    (void)ok;
    finish->leader->cancelling -= finish->cancelled;
    struct leader_job *job = leader_job_get(finish->leader, finish->job.s);
    if (job)
        job->finishing = false;
    leader_pass_soon(finish->leader);
    g_free(finish);
}

static void finish_answered(void *arg, const struct txn_outcome *outcome)
{
    struct finish *finish = arg;
    if (outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT)
        view_await(finish->leader->view, outcome->at, finish_seen, finish);
    else
        view_barrier(finish->leader->view, finish_seen, finish);
}

/* Stores how the job ended, unless it has changed or the lead is lost meanwhile. */
static void finish(struct leader *leader, struct leader_job *job, struct job *job_view,
                   enum job_state final)
{
    struct txn *txn = txn_new();
    char *key = key_job(job->id);
    txn_when(txn, key, job_view->stamp);
    txn_when(txn, KEY_LEADER, leader->view->leader_stamp);
    txn_set(txn, key, job_final_value(final, job_view->tasks, loop_wall(leader->loop)),
            (lease_id){0});
    g_free(key);
    job->finishing = true;
    struct finish *f = g_new(struct finish, 1);
    *f = (struct finish){leader, job->id, job_view->state == JOB_CANCELLED};
    leader->cancelling += f->cancelled;
    store_txn(leader->store, f->cancelled ? LANE_NORMAL : LANE_URGENT, txn, finish_answered, f);
}

void leader_consider_end(struct leader *leader, struct leader_job *job)
{
    struct job *job_view = view_job(leader->view, job->id.s);
    if (!job_view || !job_view->known || job->finishing || !job_view->spec ||
        !membership_leads(leader->members))
        return;
    if (job_view->state == JOB_LIVE && job_view->n_done == job_view->tasks)
        finish(leader, job, job_view, JOB_DONE);
    /* Many may be cancelled with one. All nodes know that already: it can wait behind other writes.
     */
    else if (job_view->state == JOB_CANCELLED && !job_view->placed &&
             !g_hash_table_size(job->entries) && leader->cancelling < MOST_CANCELLING)
        finish(leader, job, job_view, JOB_CANCELLED);
}

bool leader_job_over(struct leader *leader, struct leader_job *job)
{
    struct job *job_view = view_job(leader->view, job->id.s);
    return (!job_view || !job_view->spec) && !g_hash_table_size(job->entries) && !job->finishing;
}
