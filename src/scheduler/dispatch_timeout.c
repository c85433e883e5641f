/** Detects dispatches that have timed out, and raises the epoch to invalidate them. */
#include "dispatch_timeout.h"

#include "log.h"

enum {
    CHECK_INTERVAL_MS = 5000,
    DISPATCH_TIMEOUT_S = 20,
};

/**
 * Additional dispatch timeout as a fraction of the task's expected run time. The shard's admission
 * control (arq.h) may delay a task by up to a twentieth of its run time.
 */
static const double TIMEOUT_RUN_TIME_FRACTION = 0.1;

static double dispatch_timeout_ms(struct leader *leader, const struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    double run_time_s = job_record && job_record->spec ? job_record->spec->expected_run_s : 0;
    return (DISPATCH_TIMEOUT_S + run_time_s * TIMEOUT_RUN_TIME_FRACTION) * 1000;
}

/** Returns a dispatch of the job that has timed out, or NULL if there is none. */
static const struct pending_dispatch *find_timed_out_dispatch(struct leader *leader,
                                                              const struct ledger_job *job)
{
    mono_time now = loop_now(leader->loop);
    double timeout_ms = dispatch_timeout_ms(leader, job);
    /* The shards may have been delayed by the same outage as the leader. */
    if ((double)time_ms_since(now, leader->last_outage_at) <= timeout_ms)
        return NULL;
    GHashTableIter it;
    const struct pending_dispatch *dispatch;
    g_hash_table_iter_init(&it, job->dispatches);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&dispatch))
        if ((double)time_ms_since(now, dispatch->dispatched_at) > timeout_ms)
            return dispatch;
    return NULL;
}

/** Raises the epoch if a dispatch has timed out, because its task would never run otherwise. */
static void raise_epoch_on_timeout(struct leader *leader)
{
    GHashTableIter it;
    const struct ledger_job *job;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        const struct pending_dispatch *dispatch = find_timed_out_dispatch(leader, job);
        if (!dispatch)
            continue;
        LOG_INFO("dispatch_timeout", "job=%s machine=%s", job->id.text, dispatch->machine->id.text);
        membership_raise_epoch(leader->membership, "dispatch timeout");
        return;
    }
}

void dispatch_timeout_check(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    if (time_ms_since(now, leader->last_dispatch_check_at) <= CHECK_INTERVAL_MS)
        return;
    leader->last_dispatch_check_at = now;
    raise_epoch_on_timeout(leader);
}
