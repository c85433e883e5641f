#include "task_placement_internal.h"

#include "agent_session_internal.h"
#include "image_cache.h"
#include "log.h"
#include "placement_score.h"
#include "run_records_internal.h"

enum {
    SWITCH_RULE_INTERVAL_MS = 2000,
    MAX_QUEUE_TIME_MS = 3000,
    PLACEMENT_DELAY_MS = 5,
    MAX_BLOCKED_ATTEMPT_SEARCHES = 16,
    KEPT_MS = 1000, /* a command that was not answered by then may come late */
};

bool shard_machine_is_available(struct shard *shard, struct machine *machine)
{
    return machine->heartbeat.has_reported && machine->reachability.is_confirmed &&
           !machine->is_gone && !machine->is_reclaimed &&
           machine->reachability.probe_failures == 0 && machine->capacity.cpus.milli > 0 &&
           time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at) <
               (int64_t)(shard->settings->heartbeat_interval_s * 1250) + 1500 &&
           !machine->is_cordoned && !machine->is_returning;
}

static double allocated_share(const struct machine *machine)
{
    return resources_dominant_share(machine->allocated, machine->capacity);
}

static bool machine_fits(struct shard *shard, struct machine *machine,
                         const struct dispatch *dispatch, const struct job_spec *spec)
{
    if (dispatch->bound_machine[0] && strcmp(dispatch->bound_machine, machine->id.text) != 0)
        return false;
    if (dispatch->zone[0] && strcmp(dispatch->zone, machine->zone) != 0)
        return false;
    if (!resources_fit(resources_remaining(machine->capacity, machine->allocated),
                       resources_of_job_spec(spec)) ||
        !job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot) ||
        !shard_can_record_run(shard, machine, dispatch->job))
        return false;
    /* An attempt that its worker still shows would have the new one refused. */
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->index == dispatch->index && job_id_equal(run->job, dispatch->job))
            return false;
    }
    for (guint i = 0; i < machine->unknown_tasks->len; i++) {
        struct heartbeat_task *task =
            &g_array_index(machine->unknown_tasks, struct heartbeat_task, i);
        if (task->task_index == dispatch->index && job_id_equal(task->job, dispatch->job))
            return false;
    }
    return true;
}

/* A machine that would do; host NULL: none. */
struct candidate {
    struct machine *machine;
    double score;
};

/* The best of the machines that suit, by pool, and the best of those that have the image. */
struct candidate_set {
    struct candidate by_pool[ARQ_CLASSES + 1], with_image;
    bool is_empty;
};

static void keep_better(struct candidate *best, struct candidate other)
{
    if (other.machine && (!best->machine || other.score > best->score ||
                          (other.score == best->score &&
                           strcmp(other.machine->id.text, best->machine->id.text) < 0)))
        *best = other;
}

static void find_candidates(struct shard *shard, const struct dispatch *dispatch,
                            const struct job_spec *spec, struct candidate_set *out)
{
    memset(out, 0, sizeof *out);
    out->is_empty = true;
    loop_add_work(shard->loop, shard->placement.available_machines->len);
    for (guint i = 0; i < shard->placement.available_machines->len; i++) {
        struct machine *machine = shard->placement.available_machines->pdata[i];
        if (!machine_fits(shard, machine, dispatch, spec))
            continue;
        out->is_empty = false;
        double booked = allocated_share(machine);
        bool image = image_cache_contains(machine->image_cache, spec->image);
        struct placement_facts facts = {
            image, machine->is_spot, booked,
            resources_dominant_share(machine->service_resources, machine->capacity), 1};
        struct candidate pick = {machine, placement_score(spec, &facts)};
        keep_better(&out->by_pool[arq_pool(booked)], pick);
        if (image)
            keep_better(&out->with_image, pick);
    }
}

/* The machines that take work and have any room left. While the queues are gone through, room only
 * shrinks. */
static void collect_available_machines(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_ptr_array_set_size(shard->placement.available_machines, 0);
    loop_add_work(shard->loop, g_hash_table_size(shard->machines));
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (machine->allocated.cpus.milli < machine->capacity.cpus.milli &&
            shard_machine_is_available(shard, machine))
            g_ptr_array_add(shard->placement.available_machines, machine);
}

/* The best in the pools up to one. */
static struct machine *best_up_to_pool(const struct candidate_set *candidates, int last_pool)
{
    struct candidate best = {0};
    for (int pool = 1; pool <= last_pool; pool++)
        keep_better(&best, candidates->by_pool[pool]);
    return best.machine;
}

static double pool_free_chance(struct shard *shard, int pool, double within_s,
                               double expected_run_s)
{
    GArray *ages_s = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter iter;
    struct machine *machine;
    mono_time now = loop_now(shard->loop);
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (!shard_machine_is_available(shard, machine) ||
            arq_pool(allocated_share(machine)) != pool)
            continue;
        double oldest_s = -1;
        for (guint i = 0; i < machine->runs->len; i++) {
            struct task_run *run = machine->runs->pdata[i];
            if (run->phase != TASK_RUN_RELEASED)
                oldest_s = MAX(oldest_s, (double)time_ms_since(now, run->placed_at) / 1000);
        }
        if (oldest_s >= 0)
            g_array_append_val(ages_s, oldest_s);
    }
    double chance = arq_free_chance(&shard->placement.busy_history[pool], (double *)ages_s->data,
                                    (int)ages_s->len, within_s, expected_run_s);
    g_array_unref(ages_s);
    return chance;
}

/* The switch rule for a task that waits, every SWITCH_RULE_INTERVAL_MS. */
static enum arq_move decide_move(struct shard *shard, struct dispatch *dispatch,
                                 const struct job_spec *spec, bool is_rule_time)
{
    mono_time now = loop_now(shard->loop);
    double waited_s = (double)time_ms_since(now, dispatch->dispatched_at) / 1000;
    double patience_left_s = arq_patience_s(spec->expected_run_s, 0) - waited_s;
    if (patience_left_s <= 0)
        return ARQ_TAKE_ANY;
    if (!is_rule_time || dispatch->queue_class >= ARQ_CLASSES)
        return ARQ_STAY;
    double waited_here_s = (double)time_ms_since(now, dispatch->queued_at) / 1000;
    struct arq_terms terms = {
        .expected_run_s = spec->expected_run_s,
        .wait_own_s = waited_here_s,
        .wait_next_s = waited_s - waited_here_s,
        .quality_own = dispatch->queue_class,
        .quality_next = dispatch->queue_class + 1,
        .chance_own =
            pool_free_chance(shard, dispatch->queue_class, patience_left_s, spec->expected_run_s),
        .chance_next = pool_free_chance(shard, dispatch->queue_class + 1, patience_left_s,
                                        spec->expected_run_s),
    };
    return arq_switch(&terms);
}

/* The order that docs/design.md gives: the own pool; one class up while nobody waits there; then
 * the busiest machine that fits, at once unless it belongs to an emptier pool. */
static struct machine *choose_machine(struct shard *shard, const struct dispatch *dispatch,
                                      const struct job_spec *spec,
                                      const struct candidate_set *candidates, enum arq_move move,
                                      int urgency)
{
    bool at_once = spec->form == FORM_SERVICE || dispatch->bound_machine[0] || move == ARQ_TAKE_ANY;
    /* Who is in a hurry goes where the image is, whatever the pool: a fetch takes longer than most
     * waits that the switch rule weighs. */
    if (urgency <= PRIORITY_HIGH && !dispatch->bound_machine[0] && candidates->with_image.machine)
        return candidates->with_image.machine;
    if (at_once)
        return best_up_to_pool(candidates, ARQ_CLASSES);
    if (candidates->by_pool[dispatch->queue_class].machine)
        return candidates->by_pool[dispatch->queue_class].machine;
    if (dispatch->queue_class < ARQ_CLASSES &&
        g_queue_is_empty(&shard->placement.queues[dispatch->queue_class + 1]) &&
        candidates->by_pool[dispatch->queue_class + 1].machine)
        return candidates->by_pool[dispatch->queue_class + 1].machine;
    return best_up_to_pool(candidates, dispatch->queue_class);
}

static void place_task(struct shard *shard, struct dispatch *dispatch, struct machine *machine,
                       const struct job_spec *spec)
{
    int pool = arq_pool(allocated_share(machine));
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

/* An earlier attempt that its machine shows still, and that cannot be cleared while a command for
 * it may be on its way: only a new epoch ends that. */
static bool blocked_by_old_attempt(struct shard *shard, const struct dispatch *dispatch,
                                   const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->index == dispatch->index && job_id_equal(run->job, dispatch->job) &&
            run->phase == TASK_RUN_RELEASED && !shard_can_clear_attempt(machine, run) &&
            time_ms_since(loop_now(shard->loop), run->start.sent_at) > KEPT_MS)
            return true;
    }
    return false;
}

/* Where else there is no room, such an attempt would keep its task from starting for ever. */
static void request_epoch_if_blocked(struct shard *shard, const struct dispatch *dispatch)
{
    GHashTableIter iter;
    struct machine *machine;
    if (shard->placement.blocked_attempt_searches++ >=
        MAX_BLOCKED_ATTEMPT_SEARCHES) /* it is dealt again, and looked for then */
        return;
    loop_add_work(shard->loop, g_hash_table_size(shard->machines));
    g_hash_table_iter_init(&iter, shard->machines);
    while (!shard->status.wants_epoch_raise &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        if (!dispatch->bound_machine[0] || strcmp(dispatch->bound_machine, machine->id.text) == 0)
            shard->status.wants_epoch_raise = blocked_by_old_attempt(shard, dispatch, machine);
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

/* While the queues are gone through, room only shrinks. */
static bool is_known_unschedulable(struct shard *shard, const struct dispatch *dispatch,
                                   const struct job_spec *spec)
{
    struct unschedulable lack = unschedulable_of_job_spec(spec, dispatch->zone);
    return unschedulable_list_covers(shard->placement.unschedulable, &lack);
}

static void remember_unschedulable(struct shard *shard, const struct dispatch *dispatch,
                                   const struct job_spec *spec)
{
    struct unschedulable lack = unschedulable_of_job_spec(spec, dispatch->zone);
    if (!dispatch->bound_machine[0] && !spec->machine_type_names && !spec->zone &&
        !unschedulable_list_covers(shard->placement.unschedulable, &lack))
        g_array_append_val(shard->placement.unschedulable, lack);
}

/* Returns true when the task has left its queue. */
static bool process_dispatch(struct shard *shard, struct dispatch *dispatch, bool is_rule_time)
{
    struct job *job = shard_find_live_job(shard, dispatch->job);
    mono_time now = loop_now(shard->loop);
    if (!job || job->has_pending_dependencies) {
        struct job *any_state_job = replica_get_job(shard->replica, dispatch->job.text);
        if (!job && any_state_job && any_state_job->is_known) /* over */
            return true;
        /* The leader may have seen more than this node: the job, or the end of what it needs. */
        if (time_ms_since(now, dispatch->dispatched_at) < MAX_QUEUE_TIME_MS)
            return false;
        shard_reject_dispatch(shard, dispatch);
        return true;
    }
    const struct job_spec *spec = job->spec;
    if (dispatch->task_class == 0) {
        const struct machine_type *type =
            machine_type_smallest_fit(shard->replica->machine_types, spec);
        dispatch->task_class =
            type ? arq_class(resources_dominant_share(resources_of_job_spec(spec),
                                                      resources_of_machine_type(type)))
                 : ARQ_CLASSES;
        dispatch->queue_class = dispatch->task_class;
        /* What is bound to a machine chooses first: of the others none needs just that one. */
        if (!dispatch->bound_machine[0]) {
            g_queue_push_tail(&shard->placement.queues[dispatch->queue_class],
                              g_memdup2(dispatch, sizeof *dispatch));
            return true;
        }
    }
    enum arq_move move = decide_move(shard, dispatch, spec, is_rule_time);
    struct candidate_set candidates = {.is_empty = true};
    if (!is_known_unschedulable(shard, dispatch, spec))
        find_candidates(shard, dispatch, spec, &candidates);
    struct machine *machine =
        candidates.is_empty
            ? NULL
            : choose_machine(shard, dispatch, spec, &candidates, move, job->inherited_priority);
    if (machine) {
        place_task(shard, dispatch, machine, spec);
        return true;
    }
    if (move == ARQ_SWITCH) {
        dispatch->queue_class++;
        dispatch->queued_at = now;
        g_queue_push_tail(&shard->placement.queues[dispatch->queue_class],
                          g_memdup2(dispatch, sizeof *dispatch));
        return true;
    }
    if (candidates.is_empty)
        remember_unschedulable(shard, dispatch, spec);
    if (candidates.is_empty && (time_ms_since(now, dispatch->dispatched_at) > MAX_QUEUE_TIME_MS ||
                                dispatch->bound_machine[0])) {
        request_epoch_if_blocked(shard, dispatch);
        shard_reject_dispatch(shard, dispatch);
        return true;
    }
    return false;
}

void shard_request_placement(struct shard *shard)
{
    if (shard->placement.capacity_changed && !shard->placement.timer.queue_position)
        timer_start(shard->loop, &shard->placement.timer, PLACEMENT_DELAY_MS);
}

void shard_place_tasks(void *arg)
{
    struct shard *shard = arg;
    if (!membership_has_valid_lease(shard->membership))
        return;
    mono_time now = loop_now(shard->loop);
    shard->placement.blocked_attempt_searches = 0;
    bool is_rule_time =
        time_ms_since(now, shard->placement.last_switch_rule_at) >= SWITCH_RULE_INTERVAL_MS;
    if (!is_rule_time && !shard->placement.capacity_changed)
        return;
    shard->placement.capacity_changed = false;
    if (is_rule_time)
        shard->placement.last_switch_rule_at = now;
    guint waiting = 0;
    for (int queue_class = 0; queue_class <= ARQ_CLASSES; queue_class++)
        waiting += shard->placement.queues[queue_class].length;
    if (!waiting)
        return;
    collect_available_machines(shard);
    g_array_set_size(shard->placement.unschedulable, 0);
    for (int queue_class = 0; queue_class <= ARQ_CLASSES; queue_class++) {
        guint queue_length = shard->placement.queues[queue_class].length;
        for (guint i = 0; i < queue_length; i++) {
            struct dispatch *dispatch = g_queue_pop_head(&shard->placement.queues[queue_class]);
            if (process_dispatch(shard, dispatch, is_rule_time))
                g_free(dispatch);
            else
                g_queue_push_tail(&shard->placement.queues[queue_class], dispatch);
        }
    }
}
