#include "job_queue.h"

#include "dispatch_timeout.h"
#include "feature_switch.h"
#include "job_completion.h"
#include "log.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"
#include "shard_status_receiver.h"

enum {
    SETTLE_MS = 1500, /* after a new epoch: for the digests to come in */
    TICK_MS = 200,
    PASS_MS = 8,
    DEALS_A_PASS = 64, /* then other events have their turn */
};

static void on_view(struct leader *leader, const GArray *changes);
static void tick(void *arg);
static void pass(void *arg);

void leader_pass_soon(struct leader *leader)
{
    if (!leader->pass.place)
        timer_start(leader->loop, &leader->pass, PASS_MS);
}

static void receive(struct actor *self, const struct message *message)
{
    struct leader *leader = (struct leader *)self;
    if (message->kind == MSG_VIEW)
        on_view(leader, message->body);
    else if (message->kind == MSG_FLEET)
        leader_pass_soon(leader);
}

struct leader *leader_new(const struct leader_setup *setup)
{
    const struct settings *settings = setup->settings;
    struct leader *leader = g_new0(struct leader, 1);
    leader->actor = (struct actor){"leader", receive};
    leader->loop = setup->loop;
    leader->store = setup->store;
    leader->view = setup->view;
    leader->members = setup->members;
    leader->bus = setup->bus;
    leader->settings = settings;
    leader->policy = setup->policy;
    leader->features = setup->features;
    leader->duties = setup->duties;
    const struct fleet_setup fleet_setup = {.loop = setup->loop,
                                            .net = setup->net,
                                            .store = setup->store,
                                            .view = setup->view,
                                            .members = setup->members,
                                            .duties = setup->duties,
                                            .shard = setup->shard,
                                            .settings = settings,
                                            .features = setup->features,
                                            .listener = &leader->actor};
    leader->fleet = fleet_new(&fleet_setup);
    leader_ledger_init(leader);
    leader->run_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader_shards_init(leader);
    leader->service_lack = g_new0(int64_t, settings->zones->len);
    leader->zone_cpus = g_new0(double, settings->zones->len);
    leader->zone_silent_until = g_new0(mono_time, settings->zones->len);
    leader->zone_tasks = g_new0(uint32_t, settings->zones->len);
    leader->move_backoffs = g_new0(struct move_backoff, settings->zones->len);
    leader->open_hosts = g_ptr_array_new();
    leader->unplaceable = g_array_new(FALSE, FALSE, sizeof(struct lack));
    leader->n_teams = (int)settings->teams->len;
    leader->teams = g_new0(struct leader_team, leader->n_teams);
    for (int i = 0; i < leader->n_teams; i++) {
        leader->teams[i].team = &g_array_index(settings->teams, struct team, i);
        leader->teams[i].ready = g_ptr_array_new();
    }
    timer_init(&leader->tick, tick, leader);
    timer_init(&leader->pass, pass, leader);
    view_listen(leader->view, &leader->actor);
    bus_handle(leader->bus, "digest", leader_on_digest, leader);
    return leader;
}

void leader_free(struct leader *leader)
{
    timer_stop(leader->loop, &leader->tick);
    timer_stop(leader->loop, &leader->pass);
    fleet_free(leader->fleet);
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->hosts);
    g_hash_table_unref(leader->shards);
    g_hash_table_unref(leader->run_times);
    for (int i = 0; i < leader->n_teams; i++)
        g_ptr_array_unref(leader->teams[i].ready);
    g_free(leader->teams);
    g_free(leader->service_lack);
    g_free(leader->zone_cpus);
    g_free(leader->zone_silent_until);
    g_free(leader->zone_tasks);
    g_free(leader->move_backoffs);
    g_ptr_array_unref(leader->open_hosts);
    g_array_unref(leader->unplaceable);
    g_free(leader);
}

void leader_start(struct leader *leader)
{
    timer_start(leader->loop, &leader->tick, TICK_MS);
}

/* Whether the ledger is that of the present epoch, and the digests are in or had their time. */
static bool ready_to_deal(struct leader *leader)
{
    if (!membership_leads(leader->members) || leader->epoch.v != leader->view->epoch.v ||
        !leader->view->types)
        return false;
    if (time_ms_since(loop_now(leader->loop), leader->epoch_at) > SETTLE_MS)
        return true;
    GHashTableIter it;
    struct leader_shard *shard;
    g_hash_table_iter_init(&it, leader->shards);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&shard))
        if (!shard->digested)
            return false;
    return true;
}

/* Deals, scales the fleet and sends what that came to. What the budget leaves is for the next pass.
 */
static void pass(void *arg)
{
    struct leader *leader = arg;
    if (!ready_to_deal(leader))
        return;
    int budget = DEALS_A_PASS;
    leader->first_team = (leader->first_team + 1) % leader->n_teams;
    leader_survey(leader);
    if (leader_collect_ready(leader))
        for (int rank = 0; rank < RANKS && budget > 0; rank++)
            budget -= leader_deal_rank(leader, rank, budget);
    leader_scale(leader);
    leader_tell_returns(leader);
    fleet_step(leader->fleet);
    leader_send_all(leader);
    if (budget <= 0)
        leader_pass_soon(leader);
}

/* Somebody else may lead now: nothing that is on its way to shards counts any more. */
static void stop_leading(struct leader *leader)
{
    if (!leader->leading)
        return;
    LOG_INFO("not_leading", "epoch=%" G_GUINT64_FORMAT, leader->epoch.v);
    leader->leading = false;
    leader->generation++;
}

/* Machines are known anew from the view and the digests. */
static void start_leading(struct leader *leader)
{
    leader->leading = true;
    g_hash_table_remove_all(leader->hosts);
    fleet_reset(leader->fleet);
    leader->demand_peak = 0;
}

/* Takes a change of the view over into the ledger. */
static void apply_change(struct leader *leader, const struct change *change, bool rebuilt)
{
    struct job *job_view;
    switch (change->kind) {
    case CHANGE_PLACED:
        leader_entry_add(leader, change->job, change->index, change->attempt, change->host);
        break;
    case CHANGE_FREED:
        leader_entry_remove(leader, change->job, change->index, change->attempt);
        break;
    case CHANGE_JOB:
        job_view = view_job(leader->view, change->job.s);
        if (job_view && job_view->known && job_view->spec)
            leader_job_take_lent(leader, leader_job_make(leader, change->job), job_view);
        break;
    case CHANGE_RELOADED:
        /* A task may have been placed and freed again unseen, and its deal would stay open. */
        if (!rebuilt)
            membership_raise(leader->members, "changes were lost");
        break;
    default:
        break;
    }
}

/* What follows for a job of which something has changed: it may have ended. */
static void settle_job(struct leader *leader, struct leader_job *job)
{
    struct job *job_view = view_job(leader->view, job->id.s);
    /* What was dealt of a job that is over is settled by the shards, which see the same. */
    if (job_view && job_view->state != JOB_LIVE)
        for (uint32_t k = 0; g_hash_table_size(job->deals) && k < job_view->tasks; k++)
            leader_deal_drop(leader, job, k);
    leader_consider_end(leader, job);
    job_id id = job->id;
    if (leader_job_over(leader, job))
        g_hash_table_remove(leader->jobs, id.s);
}

/* Whether the change is one of a job or of its tasks. */
static bool is_of_job(const struct change *change)
{
    return change->kind == CHANGE_JOB || change->kind == CHANGE_PLACED ||
           change->kind == CHANGE_FREED;
}

static void on_view(struct leader *leader, const GArray *changes)
{
    /* An outage may keep the lead from acting for a while. As long as nobody else takes it, which
     * would raise the epoch, the ledger is kept up: what was dealt is still with the shards. */
    if (!membership_holds_lead(leader->members)) {
        stop_leading(leader);
        return;
    }
    bool rebuilt = !leader->leading || leader->epoch.v != leader->view->epoch.v;
    if (!leader->leading)
        start_leading(leader);
    if (rebuilt)
        leader_ledger_rebuild(leader);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *change = &g_array_index(changes, struct change, i);
        apply_change(leader, change, rebuilt);
        struct leader_job *job = is_of_job(change) ? leader_job_get(leader, change->job.s) : NULL;
        if (job)
            settle_job(leader, job);
    }
    leader_pass_soon(leader);
}

/* Ends that could not be stored before, the sweep, and a pass. */
static void tick(void *arg)
{
    struct leader *leader = arg;
    timer_start(leader->loop, &leader->tick, TICK_MS);
    if (!leader->leading || !membership_leads(leader->members) || store_troubled(leader->store)) {
        leader->idle_at = loop_now(leader->loop);
        return;
    }
    GHashTableIter it;
    struct leader_job *job;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job))
        leader_consider_end(leader, job);
    leader_sweep(leader);
    leader_switch(leader);
    if (ready_to_deal(leader))
        pass(leader);
    else
        fleet_step(leader->fleet);
}
