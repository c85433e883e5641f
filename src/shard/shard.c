/**
 * @file
 * The shard's actor: construction, replica events and periodic checks.
 */
#include "shard_internal.h"

#include "agent_fencing_internal.h"
#include "agent_session_internal.h"
#include "completions_internal.h"
#include "machine_returns_internal.h"
#include "record_batch_internal.h"
#include "run_records_internal.h"
#include "shard_epoch_internal.h"
#include "shard_messages_internal.h"
#include "task_end_internal.h"
#include "task_placement_internal.h"

enum {
    TICK_MS = 250,
    /** Fixed part of the time without a heartbeat after which an agent is probed. */
    PROBE_SILENCE_MARGIN_MS = 1000,
    /** Delay after a transaction of records that was refused or has no known outcome. */
    FLUSH_RETRY_MIN_DELAY_MS = 120,
    FLUSH_RETRY_MAX_DELAY_MS = 240,
};

/** Milliseconds without a heartbeat, per second of the heartbeat interval, after which an agent is
 * probed; PROBE_SILENCE_MARGIN_MS is added. */
static const double PROBE_SILENCE_MS_PER_INTERVAL_S = 1250;

/* ---- replica events ---- */

/** Stops the runs of a job if the job is finished. */
static void stop_runs_if_job_finished(struct shard *shard, job_id id)
{
    if (!shard_job_is_finished(shard, id))
        return;
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        bool has_run = false;
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (job_id_equal(run->job, id) && run->phase != TASK_RUN_RELEASED) {
                shard_run_request_stop_if_job_finished(shard, run);
                has_run = true;
            }
        }
        if (has_run)
            shard_push_commands(shard, machine);
    }
}

/** Takes over the revision of a machine's record that another node has written. */
static void update_machine_revision(struct shard *shard, const char *machine_name)
{
    struct machine *machine = shard_find_machine(shard, machine_name);
    const struct machine_record *stored = replica_get_machine(shard->replica, machine_name);
    if (machine && !machine->record.is_in_txn && stored &&
        stored->mod_revision.value > machine->record.mod_revision.value)
        machine->record.mod_revision = stored->mod_revision;
}

static void update_returning(struct shard *shard, const char *machine_name)
{
    struct machine *machine = shard_find_machine(shard, machine_name);
    if (machine)
        machine->is_returning = shard_machine_is_returning(shard, machine_name);
}

static void update_capacities(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        shard_machine_update_capacity(shard, machine);
}

static void handle_replica_event(struct shard *shard, const struct replica_event *event)
{
    switch (event->kind) {
    case REPLICA_EVENT_JOB:
        stop_runs_if_job_finished(shard, event->job);
        /* Tasks of the job may be waiting for it in the first queue. */
        if (shard->placement.queues[0].length)
            shard->placement.capacity_changed = true;
        break;
    case REPLICA_EVENT_MACHINE:
        update_machine_revision(shard, event->machine.text);
        break;
    case REPLICA_EVENT_MACHINE_RETURN:
        update_returning(shard, event->machine.text);
        break;
    case REPLICA_EVENT_PAGE:
        shard_handle_page_changed(shard, event->page_key);
        break;
    case REPLICA_EVENT_MACHINE_TYPES:
        update_capacities(shard);
        break;
    default:
        break;
    }
}

static void handle_replica_events(struct shard *shard, const GArray *events)
{
    if (shard->epoch.value != shard->replica->shard_map_epoch.value)
        shard_begin_epoch(shard);
    for (guint i = 0; i < events->len; i++)
        handle_replica_event(shard, &g_array_index(events, struct replica_event, i));
    shard_place_tasks(shard);
    shard_request_flush(shard);
}

static void handle_message(struct actor *self, const struct message *message)
{
    struct shard *shard = (struct shard *)self;
    if (message->kind == MSG_REPLICA_EVENTS)
        handle_replica_events(shard, message->body);
    if (message->kind == MSG_CANCELLED)
        stop_runs_if_job_finished(shard, *(job_id *)message->body);
}

/* ---- periodic checks ---- */

/** Returns whether the machine has a recorded run that this node has not started yet, because its
 * record was taken over. */
static bool has_unstarted_run(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED && !run->start.sent_at.us &&
            run->reported.visibility != RUN_REPORTED && !run->stop.is_requested)
            return true;
    }
    return false;
}

static void check_machine(struct shard *shard, struct machine *machine)
{
    const struct settings *settings = shard->settings;
    int64_t silent_ms = time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at);
    int64_t probe_after_ms =
        (int64_t)(settings->heartbeat_interval_s * PROBE_SILENCE_MS_PER_INTERVAL_S) +
        PROBE_SILENCE_MARGIN_MS;
    if (!machine->heartbeat.has_reported || !machine->reachability.is_confirmed ||
        silent_ms > probe_after_ms)
        shard_probe_agent(shard, machine);
    shard_end_runs_if_lease_expired(shard, machine);
    if (shard_fence_needs_new_epoch(machine))
        shard->status.wants_epoch_raise = true;
    if (has_unstarted_run(machine))
        shard_push_commands(shard, machine);
}

static void check_machines(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (!machine->is_returned)
            check_machine(shard, machine);
}

static void handle_tick(void *arg)
{
    struct shard *shard = arg;
    timer_start(shard->loop, &shard->tick_timer, TICK_MS);
    if (membership_has_valid_lease(shard->membership))
        check_machines(shard);
    if (shard->status.wants_epoch_raise)
        shard_request_status(shard);
    shard->placement.capacity_changed = true; /* so that overdue dispatches are rejected */
    shard_place_tasks(shard);
    shard_request_flush(shard);
}

/* ---- construction ---- */

static GHashTable *name_set_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void init_dependencies(struct shard *shard, const struct shard_setup *setup)
{
    shard->loop = setup->loop;
    shard->http_client = setup->http_client;
    shard->kv = setup->kv;
    shard->replica = setup->replica;
    shard->membership = setup->membership;
    shard->node_rpc = setup->node_rpc;
    shard->cancel_broadcast = setup->cancel_broadcast;
    shard->lease_proxy = setup->lease_proxy;
    shard->failure_detector = setup->failure_detector;
    shard->settings = setup->settings;
}

static void init_status(struct shard *shard)
{
    shard->status.rejected_dispatches = g_array_new(FALSE, FALSE, sizeof(struct rejected_dispatch));
    shard->status.events = g_array_new(FALSE, FALSE, sizeof(struct task_event));
    timer_init(&shard->status.timer, shard_send_status, shard);
}

static void init_placement(struct shard *shard)
{
    for (int i = 0; i <= ARQ_CLASSES; i++)
        g_queue_init(&shard->placement.queues[i]);
    shard->placement.available_machines = g_ptr_array_new();
    shard->placement.unschedulable =
        g_array_new(FALSE, FALSE, sizeof(struct unschedulable_request));
    timer_init(&shard->placement.timer, shard_place_tasks, shard);
}

static void init_records(struct shard *shard)
{
    shard->records.pages = g_ptr_array_new_with_free_func(own_page_free);
    shard->records.inventories = g_ptr_array_new_with_free_func(g_free);
    shard->records.completion_units =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, shard_completion_units_free);
    shard->records.write_bucket = token_bucket_make(0, MAX_WRITE_BURST, 0, loop_now(shard->loop));
    timer_init(&shard->records.flush_timer, shard_flush, shard);
    shard->records.retry_backoff =
        retry_backoff_make(FLUSH_RETRY_MIN_DELAY_MS, FLUSH_RETRY_MAX_DELAY_MS);
}

struct shard *shard_new(const struct shard_setup *setup)
{
    struct shard *shard = g_new0(struct shard, 1);
    shard->actor = (struct actor){"shard", handle_message};
    init_dependencies(shard, setup);
    shard->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_machine_free);
    shard->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    shard->returns.returned = name_set_new();
    shard->returns.older_returned = name_set_new();
    shard->returns.cordoned = name_set_new();
    init_status(shard);
    init_placement(shard);
    init_records(shard);
    timer_init(&shard->tick_timer, handle_tick, shard);
    replica_add_listener(shard->replica, &shard->actor);
    cancel_broadcast_set_listener(shard->cancel_broadcast, &shard->actor);
    node_rpc_register(shard->node_rpc, SHARD_MESSAGE_DISPATCH, shard_handle_dispatch_message,
                      shard);
    return shard;
}

void shard_free(struct shard *shard)
{
    timer_stop(shard->loop, &shard->tick_timer);
    timer_stop(shard->loop, &shard->records.flush_timer);
    timer_stop(shard->loop, &shard->status.timer);
    timer_stop(shard->loop, &shard->placement.timer);
    shard_clear_dispatches(shard);
    g_hash_table_unref(shard->machines);
    g_hash_table_unref(shard->records.completion_units);
    g_ptr_array_unref(shard->records.pages);
    g_ptr_array_unref(shard->records.inventories);
    g_hash_table_unref(shard->redirects);
    g_hash_table_unref(shard->returns.returned);
    g_hash_table_unref(shard->returns.older_returned);
    g_hash_table_unref(shard->returns.cordoned);
    g_array_unref(shard->status.rejected_dispatches);
    g_array_unref(shard->status.events);
    g_ptr_array_unref(shard->placement.available_machines);
    g_array_unref(shard->placement.unschedulable);
    g_free(shard);
}

void shard_start(struct shard *shard)
{
    timer_start(shard->loop, &shard->tick_timer, TICK_MS);
    shard_status_start(shard);
}
