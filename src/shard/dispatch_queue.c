/**
 * @file
 * The queues of dispatched tasks, one for each ARQ class. A placement pass visits all queues by
 * class and order of arrival. Each task is placed, moved to another queue, rejected, or left
 * waiting.
 */
#include "task_placement_internal.h"

#include "agent_session_internal.h"
#include "image_cache.h"
#include "invariant.h"
#include "log.h"
#include "run_records_internal.h"
#include "shard_messages.h"

enum {
    SWITCH_RULE_INTERVAL_MS = 2000,
    /** A dispatch for which no machine is found within this time is rejected. */
    MAX_QUEUE_TIME_MS = 3000,
    /** Delay between a heartbeat and the placement pass that it triggers, so that one pass serves
     * several heartbeats. */
    PLACEMENT_DELAY_MS = 5,
    /** Limit on searches for blocking attempts in one pass; each search visits all machines. */
    MAX_BLOCKED_ATTEMPT_SEARCHES = 16,
    /** A run command without effect after this time may still be in transit. */
    DELAYED_COMMAND_MS = 1000,
};

/** Result of processing one dispatch in a pass. */
enum dispatch_outcome {
    /** The dispatch stays in its queue. */
    DISPATCH_WAITS,
    /** The dispatch was put into another queue. */
    DISPATCH_MOVED,
    /** The dispatch was placed or rejected, or its job is finished. */
    DISPATCH_FINISHED,
};

/* ---- queues ---- */

void shard_enqueue_dispatch(struct shard *shard, const struct dispatch *dispatch)
{
    shard->placement.capacity_changed = true;
    g_queue_push_tail(&shard->placement.queues[0], g_memdup2(dispatch, sizeof *dispatch));
}

void shard_clear_dispatches(struct shard *shard)
{
    for (int i = 0; i <= ARQ_CLASSES; i++)
        while (shard->placement.queues[i].head)
            g_free(g_queue_pop_head(&shard->placement.queues[i]));
    g_array_set_size(shard->status.rejected_dispatches, 0);
}

static void log_rejection(const struct shard *shard, const struct dispatch *dispatch,
                          const char *reason)
{
    struct decision_basis basis = replica_get_decision_basis(shard->replica, shard->epoch.value);
    decision_log_record(DECISION_REJECT, &basis,
                        "job=%s task=%u attempt=%" G_GUINT64_FORMAT " number=%" G_GUINT64_FORMAT
                        " machine=%s incarnation=%" G_GUINT64_FORMAT " why=%s",
                        dispatch->job.text, dispatch->index, dispatch->attempt.value,
                        dispatch->number, dispatch->bound_machine,
                        membership_get_incarnation(shard->membership).value, reason);
}

void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch, const char *reason)
{
    if (!invariant_check(INVARIANT_PROCESS_IN_MAP, shard_is_in_map(shard),
                         "action=reject job=%s task=%u attempt=%" G_GUINT64_FORMAT,
                         dispatch->job.text, dispatch->index, dispatch->attempt.value))
        return;
    log_rejection(shard, dispatch, reason);
    struct rejected_dispatch rejected = {
        .task = {dispatch->job, dispatch->index, dispatch->attempt},
        .number = dispatch->number,
        .has_number = true,
    };
    g_array_append_val(shard->status.rejected_dispatches, rejected);
    shard_request_status(shard);
}

static enum dispatch_outcome move_to_class(struct shard *shard, struct dispatch *dispatch,
                                           int queue_class)
{
    dispatch->queue_class = queue_class;
    g_queue_push_tail(&shard->placement.queues[queue_class], dispatch);
    return DISPATCH_MOVED;
}

static guint count_waiting(const struct shard *shard)
{
    guint waiting = 0;
    for (int queue_class = 0; queue_class <= ARQ_CLASSES; queue_class++)
        waiting += shard->placement.queues[queue_class].length;
    return waiting;
}

/* ---- attempts that block their task ---- */

/** Returns whether the machine has an earlier attempt of the task that cannot be cleared because a
 * run command for it may still be in transit. Only a new epoch resolves that. */
static bool is_blocked_by_old_attempt(struct shard *shard, const struct dispatch *dispatch,
                                      const struct machine *machine)
{
    mono_time now = loop_now(shard->loop);
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->index == dispatch->index && job_id_equal(run->job, dispatch->job) &&
            run->phase == TASK_RUN_RELEASED && shard_clear_needs_new_epoch(shard, machine, run) &&
            time_ms_since(now, run->start.sent_at) > DELAYED_COMMAND_MS)
            return true;
    }
    return false;
}

/** Requests a new epoch if an earlier attempt keeps the task off a machine. If no other machine
 * fits, the task would never start otherwise. */
static void request_new_epoch_if_blocked(struct shard *shard, const struct dispatch *dispatch)
{
    if (shard->placement.blocked_attempt_searches++ >= MAX_BLOCKED_ATTEMPT_SEARCHES)
        return; /* the search is repeated when the task is dispatched again */
    loop_count_operations(shard->loop, g_hash_table_size(shard->machines));
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (!shard->status.wants_epoch_raise &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (!dispatch->bound_machine[0] || strcmp(dispatch->bound_machine, machine->id.text) == 0)
            shard->status.wants_epoch_raise = is_blocked_by_old_attempt(shard, dispatch, machine);
}

/* ---- a single dispatch ---- */

/** Handles a task whose job is not in the replica, or has pending dependencies there. The leader's
 * replica may be newer than that of this node. */
static enum dispatch_outcome process_unready(struct shard *shard, const struct dispatch *dispatch,
                                             bool is_active)
{
    const struct job *job = replica_get_job(shard->replica, dispatch->job.text);
    if (!is_active && job && job->is_loaded)
        return DISPATCH_FINISHED; /* the job is finished */
    if (time_ms_since(loop_now(shard->loop), dispatch->dispatched_at) < MAX_QUEUE_TIME_MS)
        return DISPATCH_WAITS;
    shard_reject_dispatch(shard, dispatch, "job_not_ready");
    return DISPATCH_FINISHED;
}

/** Returns the ARQ class of a task, by the share that it requests of the smallest machine type that
 * can hold it. */
static int classify(const struct shard *shard, const struct job_spec *spec)
{
    const struct machine_type *type =
        machine_type_smallest_fit(shard->replica->machine_types, spec);
    if (!type)
        return ARQ_CLASSES;
    return arq_class(
        resources_dominant_share(resources_of_job_spec(spec), resources_of_machine_type(type)));
}

static void place_task(struct shard *shard, const struct dispatch *dispatch,
                       struct machine *machine, const struct job_spec *spec)
{
    int pool = arq_pool(shard_machine_allocated_share(machine));
    shard_reserve_record(shard, machine, dispatch->job);
    struct task_run *run =
        shard_run_add(machine, dispatch->job, dispatch->index, dispatch->attempt, spec);
    run->phase = TASK_RUN_PLACED;
    run->dispatch_number = dispatch->number;
    run->placed_at = loop_now(shard->loop);
    run->placement_pool = pool;
    shard_push_commands(shard, machine); /* prompts a heartbeat while the record is written */
    LOG_DEBUG("placed", "job=%s task=%u machine=%s class=%d pool=%d image=%d", dispatch->job.text,
              dispatch->index, machine->id.text, dispatch->task_class, pool,
              image_cache_contains(machine->image_cache, spec->image));
}

/** Handles a task for which no machine was chosen. */
static enum dispatch_outcome process_unplaced(struct shard *shard, struct dispatch *dispatch,
                                              const struct job_spec *spec,
                                              enum placement_result result,
                                              enum arq_decision decision)
{
    mono_time now = loop_now(shard->loop);
    if (decision == ARQ_SWITCH) {
        dispatch->queued_at = now;
        return move_to_class(shard, dispatch, dispatch->queue_class + 1);
    }
    if (result != PLACEMENT_NO_CANDIDATE)
        return DISPATCH_WAITS;
    shard_remember_unschedulable(shard, dispatch, spec);
    bool is_timed_out = time_ms_since(now, dispatch->dispatched_at) > MAX_QUEUE_TIME_MS;
    if (!is_timed_out && !dispatch->bound_machine[0])
        return DISPATCH_WAITS;
    request_new_epoch_if_blocked(shard, dispatch);
    shard_reject_dispatch(shard, dispatch, "no_machine");
    return DISPATCH_FINISHED;
}

static enum dispatch_outcome process_dispatch(struct shard *shard, struct dispatch *dispatch,
                                              bool is_switch_rule_due)
{
    const struct job *job = shard_find_active_job(shard, dispatch->job);
    if (!job || job->has_pending_dependencies)
        return process_unready(shard, dispatch, job != NULL);
    if (dispatch->task_class == 0) {
        dispatch->task_class = dispatch->queue_class = classify(shard, job->spec);
        /* A task that is bound to a machine is placed before the others, as they can use other
         * machines. */
        if (!dispatch->bound_machine[0])
            return move_to_class(shard, dispatch, dispatch->task_class);
    }
    enum arq_decision decision =
        shard_apply_switch_rule(shard, dispatch, job->spec, is_switch_rule_due);
    struct machine *machine;
    enum placement_result result = shard_choose_machine(shard, dispatch, job, decision, &machine);
    if (result != PLACEMENT_FOUND)
        return process_unplaced(shard, dispatch, job->spec, result, decision);
    place_task(shard, dispatch, machine, job->spec);
    return DISPATCH_FINISHED;
}

/* ---- placement pass ---- */

/** Collects the machines that accept tasks and have free resources. */
static void collect_available_machines(struct shard *shard)
{
    GPtrArray *available = shard->placement.available_machines;
    GHashTableIter iter;
    struct machine *machine;
    g_ptr_array_set_size(available, 0);
    loop_count_operations(shard->loop, g_hash_table_size(shard->machines));
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (machine->allocated.cpus.milli < machine->capacity.cpus.milli &&
            shard_machine_is_available(shard, machine))
            g_ptr_array_add(available, machine);
}

/** Processes each dispatch that is in the queue at the time of the call once. */
static void process_queue(struct shard *shard, GQueue *queue, bool is_switch_rule_due)
{
    guint length = queue->length;
    for (guint i = 0; i < length; i++) {
        struct dispatch *dispatch = g_queue_pop_head(queue);
        switch (process_dispatch(shard, dispatch, is_switch_rule_due)) {
        case DISPATCH_WAITS:
            g_queue_push_tail(queue, dispatch);
            break;
        case DISPATCH_MOVED:
            break;
        case DISPATCH_FINISHED:
            g_free(dispatch);
            break;
        }
    }
}

void shard_request_placement(struct shard *shard)
{
    if (shard->placement.capacity_changed && !shard->placement.timer.queue_position)
        timer_start(shard->loop, &shard->placement.timer, PLACEMENT_DELAY_MS);
}

void shard_place_tasks(void *arg)
{
    struct shard *shard = arg;
    struct shard_placement *placement = &shard->placement;
    if (!shard_may_act(shard))
        return;
    mono_time now = loop_now(shard->loop);
    placement->blocked_attempt_searches = 0;
    bool is_switch_rule_due =
        time_ms_since(now, placement->switch_rule_applied_at) >= SWITCH_RULE_INTERVAL_MS;
    if (!is_switch_rule_due && !placement->capacity_changed)
        return;
    placement->capacity_changed = false;
    if (is_switch_rule_due)
        placement->switch_rule_applied_at = now;
    if (!count_waiting(shard))
        return;
    collect_available_machines(shard);
    g_array_set_size(placement->unschedulable, 0);
    for (int queue_class = 0; queue_class <= ARQ_CLASSES; queue_class++)
        process_queue(shard, &placement->queues[queue_class], is_switch_rule_due);
}
