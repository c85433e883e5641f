#include "job_queue.h"

#include "autoscaler.h"
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
    PASS_DELAY_MS = 8,
    MAX_DISPATCHES_PER_PASS = 64, /* then other events have their turn */
};

static void on_replica_events(struct leader *leader, const GArray *events);
static void on_tick(void *arg);
static void run_scheduling_pass(void *arg);

void leader_request_pass(struct leader *leader)
{
    if (!leader->pass_timer.queue_position)
        timer_start(leader->loop, &leader->pass_timer, PASS_DELAY_MS);
}

static void handle_message(struct actor *self, const struct message *message)
{
    struct leader *leader = (struct leader *)self;
    if (message->kind == MSG_REPLICA)
        on_replica_events(leader, message->body);
    else if (message->kind == MSG_CLOUD_PROVIDER)
        leader_request_pass(leader);
}

struct leader *leader_new(const struct leader_setup *setup)
{
    const struct settings *settings = setup->settings;
    struct leader *leader = g_new0(struct leader, 1);
    leader->actor = (struct actor){"leader", handle_message};
    leader->loop = setup->loop;
    leader->kv = setup->store;
    leader->replica = setup->view;
    leader->membership = setup->members;
    leader->node_rpc = setup->bus;
    leader->settings = settings;
    leader->policy = setup->policy;
    leader->features = setup->features;
    leader->role_manager = setup->duties;
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
    leader->cloud = cloud_provider_new(&fleet_setup);
    quota_ledger_init(leader);
    leader->run_times.by_job = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    shard_dispatcher_init(leader);
    leader->autoscaler.service_shortfall_tasks = g_new0(int64_t, settings->zones->len);
    leader->pass.zone_cpus = g_new0(double, settings->zones->len);
    leader->autoscaler.zone_silent_until = g_new0(mono_time, settings->zones->len);
    leader->pass.zone_task_counts = g_new0(uint32_t, settings->zones->len);
    leader->relocation_backoffs = g_new0(struct relocation_backoff, settings->zones->len);
    leader->pass.schedulable_machines = g_ptr_array_new();
    leader->pass.unschedulable_requests = g_array_new(FALSE, FALSE, sizeof(struct unschedulable));
    timer_init(&leader->tick_timer, on_tick, leader);
    timer_init(&leader->pass_timer, run_scheduling_pass, leader);
    replica_add_listener(leader->replica, &leader->actor);
    node_rpc_register(leader->node_rpc, "digest", shard_status_receiver_handle, leader);
    return leader;
}

void leader_free(struct leader *leader)
{
    timer_stop(leader->loop, &leader->tick_timer);
    timer_stop(leader->loop, &leader->pass_timer);
    cloud_provider_free(leader->cloud);
    quota_ledger_clear(leader);
    g_hash_table_unref(leader->shard_channels);
    g_hash_table_unref(leader->run_times.by_job);
    g_free(leader->autoscaler.service_shortfall_tasks);
    g_free(leader->pass.zone_cpus);
    g_free(leader->autoscaler.zone_silent_until);
    g_free(leader->pass.zone_task_counts);
    g_free(leader->relocation_backoffs);
    g_ptr_array_unref(leader->pass.schedulable_machines);
    g_array_unref(leader->pass.unschedulable_requests);
    g_free(leader);
}

void leader_start(struct leader *leader)
{
    timer_start(leader->loop, &leader->tick_timer, TICK_MS);
}

/* Whether the ledger is that of the present epoch, and the digests are in or had their time. */
static bool is_ready_to_dispatch(struct leader *leader)
{
    if (!membership_is_leader(leader->membership) ||
        leader->epoch.value != leader->replica->shard_map_epoch.value ||
        !leader->replica->machine_types)
        return false;
    if (time_ms_since(loop_now(leader->loop), leader->epoch_began_at) > SETTLE_MS)
        return true;
    GHashTableIter it;
    struct shard_channel *channel;
    g_hash_table_iter_init(&it, leader->shard_channels);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&channel))
        if (!channel->has_full_status)
            return false;
    return true;
}

/* Deals, scales the fleet and sends what that came to. What the budget leaves is for the next pass.
 */
static void run_scheduling_pass(void *arg)
{
    struct leader *leader = arg;
    if (!is_ready_to_dispatch(leader))
        return;
    int budget = MAX_DISPATCHES_PER_PASS;
    leader->pass.first_team_index = (leader->pass.first_team_index + 1) % leader->ledger.team_count;
    placement_begin_pass(leader);
    if (job_queue_collect_ready(leader))
        for (int rank = 0; rank < RANK_COUNT && budget > 0; rank++)
            budget -= job_queue_dispatch_rank(leader, rank, budget);
    autoscaler_run(leader);
    shard_dispatcher_queue_returns(leader);
    cloud_provider_step(leader->cloud);
    shard_dispatcher_flush(leader);
    if (budget <= 0)
        leader_request_pass(leader);
}

/* Somebody else may lead now: nothing that is on its way to shards counts any more. */
static void stop_leading(struct leader *leader)
{
    if (!leader->is_leading)
        return;
    LOG_INFO("leadership_lost", "epoch=%" G_GUINT64_FORMAT, leader->epoch.value);
    leader->is_leading = false;
    leader->generation++;
}

/* Machines are known anew from the view and the digests. */
static void start_leading(struct leader *leader)
{
    leader->is_leading = true;
    g_hash_table_remove_all(leader->ledger.machines);
    cloud_provider_reset(leader->cloud);
    leader->autoscaler.peak_cpus = 0;
}

/* Takes a change of the view over into the ledger. */
static void apply_event(struct leader *leader, const struct replica_event *event, bool was_rebuilt)
{
    struct job *job_record;
    switch (event->kind) {
    case REPLICA_EVENT_RUN_RECORDED:
        quota_ledger_add_allocation(leader, event->job, event->task_index, event->attempt,
                                    event->machine);
        break;
    case REPLICA_EVENT_RUN_REMOVED:
        quota_ledger_remove_allocation(leader, event->job, event->task_index, event->attempt);
        break;
    case REPLICA_EVENT_JOB:
        job_record = replica_get_job(leader->replica, event->job.text);
        if (job_record && job_record->is_known && job_record->spec)
            quota_ledger_update_inherited(leader, quota_ledger_ensure_job(leader, event->job),
                                          job_record);
        break;
    case REPLICA_EVENT_RELOADED:
        /* A task may have been placed and freed again unseen, and its deal would stay open. */
        if (!was_rebuilt)
            membership_raise_epoch(leader->membership, "changes were lost");
        break;
    default:
        break;
    }
}

/* What follows for a job of which something has changed: it may have ended. */
static void update_job_state(struct leader *leader, struct ledger_job *job)
{
    struct job *job_record = replica_get_job(leader->replica, job->id.text);
    /* What was dealt of a job that is over is settled by the shards, which see the same. */
    if (job_record && job_record->state != JOB_ACTIVE)
        for (uint32_t k = 0; g_hash_table_size(job->dispatches) && k < job_record->task_count; k++)
            quota_ledger_drop_dispatch(leader, job, k);
    job_completion_check(leader, job);
    job_id id = job->id;
    if (job_completion_is_over(leader, job))
        quota_ledger_remove_job(leader, id);
}

/* Whether the change is one of a job or of its tasks. */
static bool is_job_event(const struct replica_event *event)
{
    return event->kind == REPLICA_EVENT_JOB || event->kind == REPLICA_EVENT_RUN_RECORDED ||
           event->kind == REPLICA_EVENT_RUN_REMOVED;
}

static void on_replica_events(struct leader *leader, const GArray *events)
{
    /* An outage may keep the lead from acting for a while. As long as nobody else takes it, which
     * would raise the epoch, the ledger is kept up: what was dealt is still with the shards. */
    if (!membership_is_recorded_leader(leader->membership)) {
        stop_leading(leader);
        return;
    }
    bool was_rebuilt =
        !leader->is_leading || leader->epoch.value != leader->replica->shard_map_epoch.value;
    if (!leader->is_leading)
        start_leading(leader);
    if (was_rebuilt)
        quota_ledger_rebuild(leader);
    for (guint i = 0; i < events->len; i++) {
        const struct replica_event *event = &g_array_index(events, struct replica_event, i);
        apply_event(leader, event, was_rebuilt);
        struct ledger_job *job =
            is_job_event(event) ? quota_ledger_find_job(leader, event->job.text) : NULL;
        if (job)
            update_job_state(leader, job);
    }
    leader_request_pass(leader);
}

/* Ends that could not be stored before, the sweep, and a pass. */
static void on_tick(void *arg)
{
    struct leader *leader = arg;
    timer_start(leader->loop, &leader->tick_timer, TICK_MS);
    if (!leader->is_leading || !membership_is_leader(leader->membership) ||
        kv_client_is_unavailable(leader->kv)) {
        leader->last_outage_at = loop_now(leader->loop);
        return;
    }
    GHashTableIter it;
    struct ledger_job *job;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job))
        job_completion_check(leader, job);
    dispatch_timeout_check(leader);
    feature_switch_update(leader);
    if (is_ready_to_dispatch(leader))
        run_scheduling_pass(leader);
    else
        cloud_provider_step(leader->cloud);
}
