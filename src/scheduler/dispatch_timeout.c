#include "dispatch_timeout.h"

#include "log.h"

enum {
    SWEEP_MS = 5000,
    DISPATCH_TIMEOUT_S = 20, /* a deal that is neither on record nor given back */
};

/* The part of a task's expected time that a deal may wait beyond DISPATCH_TIMEOUT_S. */
static const double DISPATCH_TIMEOUT_SHARE = 0.1;

/* A task that is neither recorded nor given back for long would wait for ever, whatever became of
 * it: a new epoch makes all that was dealt void. */
static void raise_epoch_for_timeouts(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    GHashTableIter it, dispatch_iter;
    struct ledger_job *job;
    struct pending_dispatch *dispatch;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_record = replica_get_job(leader->replica, job->id.text);
        /* The switch rule may keep a task back for a twentieth of its time. */
        double timeout_s =
            DISPATCH_TIMEOUT_S + (job_record && job_record->spec
                                      ? job_record->spec->expected_run_s * DISPATCH_TIMEOUT_SHARE
                                      : 0);
        g_hash_table_iter_init(&dispatch_iter, job->dispatches);
        while (g_hash_table_iter_next(&dispatch_iter, NULL, (gpointer *)&dispatch))
            if ((double)time_ms_since(now, dispatch->dispatched_at) > timeout_s * 1000 &&
                (double)time_ms_since(now, leader->last_outage_at) > timeout_s * 1000) {
                LOG_INFO("deal_stuck", "job=%s machine=%s", job->id.text,
                         dispatch->machine->id.text);
                membership_raise_epoch(leader->membership, "a deal is stuck");
                return;
            }
    }
}

void dispatch_timeout_check(struct leader *leader)
{
    if (time_ms_since(loop_now(leader->loop), leader->last_dispatch_check_at) <= SWEEP_MS)
        return;
    leader->last_dispatch_check_at = loop_now(leader->loop);
    raise_epoch_for_timeouts(leader);
}
