#include "dispatch_timeout.h"

#include "log.h"

enum {
    SWEEP_MS = 5000,
    STUCK_S = 20, /* a deal that is neither on record nor given back */
};

/* The part of a task's expected time that a deal may wait beyond STUCK_S. */
static const double STUCK_SHARE = 0.1;

/* A task that is neither recorded nor given back for long would wait for ever, whatever became of
 * it: a new epoch makes all that was dealt void. */
static void raise_for_stuck_deals(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    GHashTableIter it, deals;
    struct leader_job *job;
    struct deal *deal;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_view = view_job(leader->view, job->id.s);
        /* The switch rule may keep a task back for a twentieth of its time. */
        double most =
            STUCK_S + (job_view && job_view->spec ? job_view->spec->expected_s * STUCK_SHARE : 0);
        g_hash_table_iter_init(&deals, job->deals);
        while (g_hash_table_iter_next(&deals, NULL, (gpointer *)&deal))
            if ((double)time_ms_since(now, deal->since) > most * 1000 &&
                (double)time_ms_since(now, leader->idle_at) > most * 1000) {
                LOG_INFO("deal_stuck", "job=%s machine=%s", job->id.s, deal->host->id.s);
                membership_raise(leader->members, "a deal is stuck");
                return;
            }
    }
}

void leader_sweep(struct leader *leader)
{
    if (time_ms_since(loop_now(leader->loop), leader->swept_at) <= SWEEP_MS)
        return;
    leader->swept_at = loop_now(leader->loop);
    raise_for_stuck_deals(leader);
}
