/**
 * @file
 * The queues of dispatched tasks, one for each ARQ class. A pass goes through all of them, by class
 * and arrival: each task is placed, moved to another queue, handed back to the leader, or waits.
 */
#include "task_placement_internal.h"

#include "agent_session_internal.h"
#include "image_cache.h"
#include "log.h"
#include "run_records_internal.h"

enum {
    SWITCH_RULE_INTERVAL_MS = 2000,
    /** A task that has found no machine for so long goes back to the leader. */
    MAX_QUEUE_TIME_MS = 3000,
    /** Between a heartbeat and the pass that it causes, for others that come meanwhile. */
    PLACEMENT_DELAY_MS = 5,
    /** Searches for blocking attempts in one pass; each looks through all machines. */
    MAX_BLOCKED_ATTEMPT_SEARCHES = 16,
    /** A run command without effect for so long may still be on its way. */
    LATE_COMMAND_MS = 1000,
};

/** What a pass made of a dispatch. */
enum dispatch_outcome {
    /** It stays in its queue. */
    DISPATCH_WAITS,
    /** It was put into another queue. */
    DISPATCH_MOVED,
    /** It was placed or handed back, or its job is over. */
    DISPATCH_SETTLED,
};

/* ---- the queues ---- */

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

void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch)
{
    g_array_append_val(shard->status.rejected_dispatches, *dispatch);
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

/** Whether the machine's agent reports an earlier attempt that cannot be cleared while a command
 * for it may be on its way: only a new epoch ends that. */
static bool blocked_by_old_attempt(struct shard *shard, const struct dispatch *dispatch,
                                   const struct machine *machine)
{
    mono_time now = loop_now(shard->loop);
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->index == dispatch->index && job_id_equal(run->job, dispatch->job) &&
            run->phase == TASK_RUN_RELEASED && !shard_can_clear_attempt(machine, run) &&
            time_ms_since(now, run->start.sent_at) > LATE_COMMAND_MS)
            return true;
    }
    return false;
}

/** Asks for a new epoch if an earlier attempt keeps the task from its machine: where no other
 * machine fits, the task would never start. */
static void request_epoch_if_blocked(struct shard *shard, const struct dispatch *dispatch)
{
    if (shard->placement.blocked_attempt_searches++ >= MAX_BLOCKED_ATTEMPT_SEARCHES)
        return; /* looked for when it is dispatched again */
    loop_count_operations(shard->loop, g_hash_table_size(shard->machines));
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (!shard->status.wants_epoch_raise &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (!dispatch->bound_machine[0] || strcmp(dispatch->bound_machine, machine->id.text) == 0)
            shard->status.wants_epoch_raise = blocked_by_old_attempt(shard, dispatch, machine);
}

/* ---- one dispatch ---- */

/** A task whose job is not in the replica, or has to wait for others there: the leader may have a
 * newer replica than this node. */
static enum dispatch_outcome process_unready(struct shard *shard, const struct dispatch *dispatch,
                                             bool is_live)
{
    const struct job *job = replica_get_job(shard->replica, dispatch->job.text);
    if (!is_live && job && job->is_known)
        return DISPATCH_SETTLED; /* over */
    if (time_ms_since(loop_now(shard->loop), dispatch->dispatched_at) < MAX_QUEUE_TIME_MS)
        return DISPATCH_WAITS;
    shard_reject_dispatch(shard, dispatch);
    return DISPATCH_SETTLED;
}

/** The class by the share that the task asks of the smallest machine type that can hold it. */
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
    LOG_DEBUG("placed", "job=%s task=%u machine=%s class=%d pool=%d image=%d", dispatch->job.text,
              dispatch->index, machine->id.text, dispatch->task_class, pool,
              image_cache_contains(machine->image_cache, spec->image));
}

/** A task for which no machine was chosen. */
static enum dispatch_outcome process_unplaced(struct shard *shard, struct dispatch *dispatch,
                                              const struct job_spec *spec,
                                              enum placement_result result, enum arq_move move)
{
    mono_time now = loop_now(shard->loop);
    if (move == ARQ_SWITCH) {
        dispatch->queued_at = now;
        return move_to_class(shard, dispatch, dispatch->queue_class + 1);
    }
    if (result != PLACEMENT_NO_CANDIDATE)
        return DISPATCH_WAITS;
    shard_remember_unschedulable(shard, dispatch, spec);
    bool is_late = time_ms_since(now, dispatch->dispatched_at) > MAX_QUEUE_TIME_MS;
    if (!is_late && !dispatch->bound_machine[0])
        return DISPATCH_WAITS;
    request_epoch_if_blocked(shard, dispatch);
    shard_reject_dispatch(shard, dispatch);
    return DISPATCH_SETTLED;
}

static enum dispatch_outcome process_dispatch(struct shard *shard, struct dispatch *dispatch,
                                              bool is_rule_time)
{
    const struct job *job = shard_find_live_job(shard, dispatch->job);
    if (!job || job->has_pending_dependencies)
        return process_unready(shard, dispatch, job != NULL);
    if (dispatch->task_class == 0) {
        dispatch->task_class = dispatch->queue_class = classify(shard, job->spec);
        /* A task that is bound to a machine chooses first: the others do not need just that one. */
        if (!dispatch->bound_machine[0])
            return move_to_class(shard, dispatch, dispatch->task_class);
    }
    enum arq_move move = shard_decide_move(shard, dispatch, job->spec, is_rule_time);
    struct machine *machine;
    enum placement_result result = shard_choose_machine(shard, dispatch, job, move, &machine);
    if (result != PLACEMENT_FOUND)
        return process_unplaced(shard, dispatch, job->spec, result, move);
    place_task(shard, dispatch, machine, job->spec);
    return DISPATCH_SETTLED;
}

/* ---- a pass ---- */

/** The machines that take tasks and have free resources. */
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

/** Processes the dispatches that are in a queue now, once each. */
static void process_queue(struct shard *shard, GQueue *queue, bool is_rule_time)
{
    guint length = queue->length;
    for (guint i = 0; i < length; i++) {
        struct dispatch *dispatch = g_queue_pop_head(queue);
        switch (process_dispatch(shard, dispatch, is_rule_time)) {
        case DISPATCH_WAITS:
            g_queue_push_tail(queue, dispatch);
            break;
        case DISPATCH_MOVED:
            break;
        case DISPATCH_SETTLED:
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
    if (!membership_has_valid_lease(shard->membership))
        return;
    mono_time now = loop_now(shard->loop);
    placement->blocked_attempt_searches = 0;
    bool is_rule_time =
        time_ms_since(now, placement->last_switch_rule_at) >= SWITCH_RULE_INTERVAL_MS;
    if (!is_rule_time && !placement->capacity_changed)
        return;
    placement->capacity_changed = false;
    if (is_rule_time)
        placement->last_switch_rule_at = now;
    if (!count_waiting(shard))
        return;
    collect_available_machines(shard);
    g_array_set_size(placement->unschedulable, 0);
    for (int queue_class = 0; queue_class <= ARQ_CLASSES; queue_class++)
        process_queue(shard, &placement->queues[queue_class], is_rule_time);
}
