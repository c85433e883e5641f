/**
 * @file
 * The choice of a machine for a task: candidates by ARQ pool, the choice among them, and the switch
 * rule. docs/design.md describes the order of preference.
 */
#include "task_placement_internal.h"

#include "image_cache.h"
#include "placement_score.h"
#include "run_records_internal.h"

enum {
    /** Fixed part of the time without a heartbeat after which a machine accepts no tasks. */
    HEARTBEAT_OVERDUE_MARGIN_MS = 1500,
};

/** Milliseconds without a heartbeat, per second of the heartbeat interval, after which a machine
 * accepts no tasks; HEARTBEAT_OVERDUE_MARGIN_MS is added. */
static const double OVERDUE_MS_PER_INTERVAL_S = 1250;

bool shard_machine_is_available(struct shard *shard, struct machine *machine)
{
    if (!machine->heartbeat.has_reported || !machine->reachability.is_confirmed ||
        machine->reachability.probe_failures != 0 || machine->capacity.cpus.milli <= 0)
        return false;
    if (machine->is_returned || machine->is_being_reclaimed || machine->is_cordoned ||
        machine->is_returning)
        return false;
    double overdue_ms = shard->settings->heartbeat_interval_s * OVERDUE_MS_PER_INTERVAL_S;
    return time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at) <
           (int64_t)overdue_ms + HEARTBEAT_OVERDUE_MARGIN_MS;
}

double shard_machine_allocated_share(const struct machine *machine)
{
    return resources_dominant_share(machine->allocated, machine->capacity);
}

/* ---- candidates ---- */

/** A machine that can hold the task, and its score; machine is NULL if there is none. */
struct candidate {
    struct machine *machine;
    double score;
};

/** The best candidate of each ARQ pool, and the best one that has cached the task's image. */
struct candidate_set {
    struct candidate by_pool[ARQ_CLASSES + 1], with_image;
    bool is_empty;
};

/** Returns whether the machine has any attempt of the task. An agent refuses a task while it still
 * reports an earlier attempt. */
static bool has_any_attempt(const struct machine *machine, const struct dispatch *dispatch)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->index == dispatch->index && job_id_equal(run->job, dispatch->job))
            return true;
    }
    for (guint i = 0; i < machine->unknown_tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(machine->unknown_tasks, struct heartbeat_task, i);
        if (task->task_index == dispatch->index && job_id_equal(task->job, dispatch->job))
            return true;
    }
    return false;
}

/** Returns whether the heartbeat has space for one more task. It names exited tasks, too, until
 * they are cleared. */
static bool has_heartbeat_space(const struct machine *machine)
{
    return machine->runs->len + machine->unknown_tasks->len < MAX_TASKS_PER_MACHINE;
}

static bool machine_fits(struct shard *shard, struct machine *machine,
                         const struct dispatch *dispatch, const struct job_spec *spec)
{
    if (dispatch->bound_machine[0] && strcmp(dispatch->bound_machine, machine->id.text) != 0)
        return false;
    if (dispatch->zone[0] && strcmp(dispatch->zone, machine->zone) != 0)
        return false;
    struct resources remaining = resources_remaining(machine->capacity, machine->allocated);
    return resources_fit(remaining, resources_of_job_spec(spec)) && has_heartbeat_space(machine) &&
           job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot) &&
           shard_can_record_run(shard, machine, dispatch->job) &&
           !has_any_attempt(machine, dispatch);
}

/** Replaces the best candidate if the other one is better. Ties are broken by name, so that the
 * choice does not depend on the order of the machines. */
static void keep_better_candidate(struct candidate *best, struct candidate other)
{
    if (other.machine && (!best->machine || other.score > best->score ||
                          (other.score == best->score &&
                           strcmp(other.machine->id.text, best->machine->id.text) < 0)))
        *best = other;
}

static void add_candidate(struct candidate_set *candidates, struct machine *machine,
                          const struct job_spec *spec)
{
    double share = shard_machine_allocated_share(machine);
    struct placement_facts facts = {
        .has_image = image_cache_contains(machine->image_cache, spec->image),
        .is_spot = machine->is_spot,
        .allocated_share = share,
        .service_share = resources_dominant_share(machine->service_resources, machine->capacity),
        .relative_zone_size = 1,
    };
    struct candidate candidate = {machine, placement_score(spec, &facts)};
    keep_better_candidate(&candidates->by_pool[arq_pool(share)], candidate);
    if (facts.has_image)
        keep_better_candidate(&candidates->with_image, candidate);
    candidates->is_empty = false;
}

static void find_candidates(struct shard *shard, const struct dispatch *dispatch,
                            const struct job_spec *spec, struct candidate_set *candidates)
{
    const GPtrArray *machines = shard->placement.available_machines;
    *candidates = (struct candidate_set){.is_empty = true};
    loop_count_operations(shard->loop, machines->len);
    for (guint i = 0; i < machines->len; i++)
        if (machine_fits(shard, machines->pdata[i], dispatch, spec))
            add_candidate(candidates, machines->pdata[i], spec);
}

/** Returns the best candidate of pools 1 to last_pool, or NULL. */
static struct machine *best_up_to_pool(const struct candidate_set *candidates, int last_pool)
{
    struct candidate best = {0};
    for (int pool = 1; pool <= last_pool; pool++)
        keep_better_candidate(&best, candidates->by_pool[pool]);
    return best.machine;
}

/* ---- choice ---- */

/** Returns the best candidate of the task's own pool, or else of the next pool if no task waits in
 * its queue, or else of the pools of busier machines. Returns NULL if only emptier machines fit;
 * the task waits then. */
static struct machine *choose_by_pool(const struct shard *shard, const struct dispatch *dispatch,
                                      const struct candidate_set *candidates)
{
    int own_pool = dispatch->queue_class, next_pool = own_pool + 1;
    if (candidates->by_pool[own_pool].machine)
        return candidates->by_pool[own_pool].machine;
    if (own_pool < ARQ_CLASSES && shard->placement.queues[next_pool].length == 0 &&
        candidates->by_pool[next_pool].machine)
        return candidates->by_pool[next_pool].machine;
    return best_up_to_pool(candidates, own_pool);
}

static struct machine *choose_candidate(const struct shard *shard, const struct dispatch *dispatch,
                                        const struct job *job,
                                        const struct candidate_set *candidates,
                                        enum arq_decision decision)
{
    bool is_bound = dispatch->bound_machine[0] != '\0';
    bool is_urgent = job->inherited_priority <= PRIORITY_HIGH;
    /* Urgent tasks are placed where the image is cached, in any pool: fetching an image takes
     * longer than most of the waits that the switch rule weighs. */
    if (is_urgent && !is_bound && candidates->with_image.machine)
        return candidates->with_image.machine;
    if (job->spec->form == FORM_SERVICE || is_bound || decision == ARQ_TAKE_ANY)
        return best_up_to_pool(candidates, ARQ_CLASSES);
    return choose_by_pool(shard, dispatch, candidates);
}

/** Returns whether the request is at least as large as one that no machine could hold. Free
 * resources only decrease within a pass, so such a request needs no search. */
static bool is_known_unschedulable(const struct shard *shard, const struct dispatch *dispatch,
                                   const struct job_spec *spec)
{
    struct unschedulable_request request = unschedulable_request_of_job_spec(spec, dispatch->zone);
    return unschedulable_list_covers(shard->placement.unschedulable, &request);
}

void shard_remember_unschedulable(struct shard *shard, const struct dispatch *dispatch,
                                  const struct job_spec *spec)
{
    GArray *unschedulable = shard->placement.unschedulable;
    struct unschedulable_request request = unschedulable_request_of_job_spec(spec, dispatch->zone);
    bool is_restricted = dispatch->bound_machine[0] || spec->machine_type_names || spec->zone;
    if (!is_restricted && !unschedulable_list_covers(unschedulable, &request))
        g_array_append_val(unschedulable, request);
}

enum placement_result shard_choose_machine(struct shard *shard, const struct dispatch *dispatch,
                                           const struct job *job, enum arq_decision decision,
                                           struct machine **out)
{
    struct candidate_set candidates = {.is_empty = true};
    *out = NULL;
    if (!is_known_unschedulable(shard, dispatch, job->spec))
        find_candidates(shard, dispatch, job->spec, &candidates);
    if (candidates.is_empty)
        return PLACEMENT_NO_CANDIDATE;
    *out = choose_candidate(shard, dispatch, job, &candidates, decision);
    return *out ? PLACEMENT_FOUND : PLACEMENT_WAITS;
}

/* ---- switch rule ---- */

/** Returns for how long the machine's oldest run has kept it busy, in seconds; -1 if it is not
 * busy. */
static double busy_age_s(const struct machine *machine, mono_time now)
{
    double oldest_s = -1;
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase != TASK_RUN_RELEASED)
            oldest_s = MAX(oldest_s, (double)time_ms_since(now, run->placed_at) / 1000);
    }
    return oldest_s;
}

/** Returns the probability that a busy machine of a pool becomes free in time. */
static double pool_free_probability(struct shard *shard, int pool, double within_s,
                                    double expected_run_s)
{
    GArray *ages_s = g_array_new(FALSE, FALSE, sizeof(double));
    mono_time now = loop_now(shard->loop);
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
        if (!shard_machine_is_available(shard, machine) ||
            arq_pool(shard_machine_allocated_share(machine)) != pool)
            continue;
        double age_s = busy_age_s(machine, now);
        if (age_s >= 0)
            g_array_append_val(ages_s, age_s);
    }
    double probability =
        arq_free_probability(&shard->placement.busy_history[pool], (double *)ages_s->data,
                             (int)ages_s->len, within_s, expected_run_s);
    g_array_unref(ages_s);
    return probability;
}

enum arq_decision shard_apply_switch_rule(struct shard *shard, const struct dispatch *dispatch,
                                          const struct job_spec *spec, bool is_switch_rule_due)
{
    mono_time now = loop_now(shard->loop);
    int own_class = dispatch->queue_class, next_class = own_class + 1;
    double expected_run_s = spec->expected_run_s;
    double total_wait_s = (double)time_ms_since(now, dispatch->dispatched_at) / 1000;
    double remaining_wait_s = arq_max_wait_s(expected_run_s, 0) - total_wait_s;
    if (remaining_wait_s <= 0)
        return ARQ_TAKE_ANY;
    if (!is_switch_rule_due || own_class >= ARQ_CLASSES)
        return ARQ_STAY;
    double queue_wait_s = (double)time_ms_since(now, dispatch->queued_at) / 1000;
    struct arq_switch_inputs inputs = {
        .expected_run_s = expected_run_s,
        .wait_own_s = queue_wait_s,
        .wait_next_s = total_wait_s - queue_wait_s,
        .quality_own = own_class,
        .quality_next = next_class,
        .probability_own =
            pool_free_probability(shard, own_class, remaining_wait_s, expected_run_s),
        .probability_next =
            pool_free_probability(shard, next_class, remaining_wait_s, expected_run_s),
    };
    return arq_apply_switch_rule(&inputs);
}
