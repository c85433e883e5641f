/** Implementation of the leader actor: replica events, timers and the scheduling pass. */
#include "leader.h"

#include "autoscaler.h"
#include "dispatch_timeout.h"
#include "feature_switch.h"
#include "job_completion.h"
#include "job_queue.h"
#include "log.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"
#include "shard_messages.h"
#include "shard_status_receiver.h"

enum {
    /**
     * How long a new epoch waits for the first status reports of all shards before it dispatches.
     */
    FIRST_STATUS_TIMEOUT_MS = 1500,
    TICK_INTERVAL_MS = 200,
    /** Delay before a requested pass, so that one pass handles several events. */
    PASS_DELAY_MS = 8,
    /** Limits the length of a pass, so that other events are handled in between. */
    MAX_DISPATCHES_PER_PASS = 64,
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
    if (message->kind == MSG_REPLICA_EVENTS)
        on_replica_events(leader, message->body);
    else if (message->kind == MSG_CLOUD_PROVIDER)
        leader_request_pass(leader);
}

static struct cloud_provider *new_cloud_provider(const struct leader_setup *setup,
                                                 struct actor *listener)
{
    const struct cloud_provider_setup cloud_setup = {
        .loop = setup->loop,
        .http_client = setup->http_client,
        .kv = setup->kv,
        .replica = setup->replica,
        .membership = setup->membership,
        .role_manager = setup->role_manager,
        .shard = setup->shard,
        .settings = setup->settings,
        .features = setup->features,
        .listener = listener,
    };
    return cloud_provider_new(&cloud_setup);
}

/** Allocates the arrays that have one element per zone, and the lists of the scheduling pass. */
static void allocate_arrays(struct leader *leader)
{
    guint zone_count = leader->settings->zones->len;
    leader->autoscaler.service_shortfall_tasks = g_new0(int64_t, zone_count);
    leader->autoscaler.zone_avoid_until = g_new0(mono_time, zone_count);
    leader->pass.zone_cpus = g_new0(double, zone_count);
    leader->pass.zone_task_counts = g_new0(uint32_t, zone_count);
    leader->pass.schedulable_machines = g_ptr_array_new();
    leader->pass.unschedulable_requests =
        g_array_new(FALSE, FALSE, sizeof(struct unschedulable_request));
    leader->relocation_backoffs = g_new0(struct relocation_backoff, zone_count);
}

static void free_arrays(struct leader *leader)
{
    g_free(leader->autoscaler.service_shortfall_tasks);
    g_free(leader->autoscaler.zone_avoid_until);
    g_free(leader->pass.zone_cpus);
    g_free(leader->pass.zone_task_counts);
    g_ptr_array_unref(leader->pass.schedulable_machines);
    g_array_unref(leader->pass.unschedulable_requests);
    g_free(leader->relocation_backoffs);
}

struct leader *leader_new(const struct leader_setup *setup)
{
    struct leader *leader = g_new0(struct leader, 1);
    leader->actor = (struct actor){"leader", handle_message};
    leader->loop = setup->loop;
    leader->kv = setup->kv;
    leader->replica = setup->replica;
    leader->membership = setup->membership;
    leader->node_rpc = setup->node_rpc;
    leader->settings = setup->settings;
    leader->policy = setup->policy;
    leader->features = setup->features;
    leader->role_manager = setup->role_manager;
    leader->cloud = new_cloud_provider(setup, &leader->actor);
    leader->run_times.by_job = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    quota_ledger_init(leader);
    shard_dispatcher_init(leader);
    allocate_arrays(leader);
    timer_init(&leader->tick_timer, on_tick, leader);
    timer_init(&leader->pass_timer, run_scheduling_pass, leader);
    replica_add_listener(leader->replica, &leader->actor);
    node_rpc_register(leader->node_rpc, SHARD_MESSAGE_STATUS, shard_status_receiver_handle, leader);
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
    free_arrays(leader);
    g_free(leader);
}

void leader_start(struct leader *leader)
{
    timer_start(leader->loop, &leader->tick_timer, TICK_INTERVAL_MS);
}

/**
 * Returns whether this node is the leader, the ledger matches the current epoch, the machine types
 * are known, and all shards have reported or the time for their first reports is over.
 */
static bool is_ready_to_dispatch(struct leader *leader)
{
    if (!membership_is_leader(leader->membership) ||
        leader->epoch.value != leader->replica->shard_map_epoch.value ||
        leader->ledger.is_outdated || !leader->replica->machine_types)
        return false;
    if (time_ms_since(loop_now(leader->loop), leader->epoch_began_at) > FIRST_STATUS_TIMEOUT_MS)
        return true;
    GHashTableIter it;
    struct shard_channel *channel;
    g_hash_table_iter_init(&it, leader->shard_channels);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&channel))
        if (!channel->has_full_status)
            return false;
    return true;
}

/**
 * Dispatches tasks in order of rank, runs the autoscaler, and sends the resulting messages. If the
 * dispatch budget is used up, another pass is requested for the remaining tasks.
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

/**
 * Stops acting as the leader. Another node may lead now, so responses to outstanding requests are
 * ignored.
 */
static void stop_leading(struct leader *leader)
{
    if (!leader->is_leading)
        return;
    LOG_INFO("leadership_lost", "epoch=%" G_GUINT64_FORMAT, leader->epoch.value);
    leader->is_leading = false;
    leader->generation++;
}

/**
 * Starts acting as the leader. Clears the machines, which are loaded again from the replica and the
 * status reports.
 */
static void start_leading(struct leader *leader)
{
    leader->is_leading = true;
    g_hash_table_remove_all(leader->ledger.machines);
    cloud_provider_reset(leader->cloud);
    leader->autoscaler.peak_cpus = 0;
}

/**
 * Updates the ledger after a change of the replica. was_rebuilt tells that the ledger has just been
 * rebuilt from the replica.
 */
static void apply_event(struct leader *leader, const struct replica_event *event, bool was_rebuilt)
{
    struct job *job_record;
    switch (event->kind) {
    case REPLICA_EVENT_RUN_RECORD_ADDED:
        quota_ledger_add_allocation(leader, event->job, event->task_index, event->attempt,
                                    event->machine);
        break;
    case REPLICA_EVENT_RUN_RECORD_REMOVED:
        quota_ledger_remove_allocation(leader, event->job, event->task_index, event->attempt);
        break;
    case REPLICA_EVENT_JOB:
        job_record = replica_get_job(leader->replica, event->job.text);
        if (job_record && job_record->is_loaded && job_record->spec)
            quota_ledger_update_priority(leader, quota_ledger_ensure_job(leader, event->job),
                                         job_record);
        break;
    case REPLICA_EVENT_RELOADED:
        /* A run record may have been written and removed again without events, which would leave
         * its dispatch pending forever, and the events of a task's records are not in the order of
         * its attempts. The ledger is valid again when a new epoch has voided all dispatches. */
        if (!was_rebuilt) {
            leader->ledger.is_outdated = true;
            membership_raise_epoch(leader->membership, "replica changes may have been missed");
        }
        break;
    default:
        break;
    }
}

/**
 * Handles a change of a job or of its tasks: drops the dispatches of a job that is no longer
 * active, records the end of the job when it is due, and removes a finished job from the ledger.
 */
static void update_job_state(struct leader *leader, struct ledger_job *job)
{
    const struct job *job_record = replica_get_job(leader->replica, job->id.text);
    /* The shards observe the same change and drop these dispatches as well. */
    if (job_record && job_record->state != JOB_ACTIVE &&
        job_completion_is_decidable(leader, job_record))
        for (uint32_t i = 0; g_hash_table_size(job->dispatches) && i < job_record->task_count; i++)
            quota_ledger_remove_dispatch(leader, job, i);
    job_completion_check(leader, job);
    if (job_completion_may_drop_job(leader, job))
        quota_ledger_remove_job(leader, job->id);
}

/** Returns whether the event concerns a job or one of its tasks. */
static bool is_job_event(const struct replica_event *event)
{
    return event->kind == REPLICA_EVENT_JOB || event->kind == REPLICA_EVENT_RUN_RECORD_ADDED ||
           event->kind == REPLICA_EVENT_RUN_RECORD_REMOVED;
}

static void on_replica_events(struct leader *leader, const GArray *events)
{
    /* The leader may be unable to act during an outage. The ledger stays valid and is kept up to
     * date until another node becomes the leader, which raises the epoch: tasks that were
     * dispatched are still held by the shards. */
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

/** Retries work that failed before, checks for timeouts, and runs a scheduling pass. */
static void on_tick(void *arg)
{
    struct leader *leader = arg;
    timer_start(leader->loop, &leader->tick_timer, TICK_INTERVAL_MS);
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
