/**
 * @file
 * Which machine takes a task: the candidates by ARQ pool, the choice among them, and the switch
 * rule. docs/design.md states the order of choice.
 */
#include "task_placement_internal.h"

#include "image_cache.h"
#include "placement_score.h"
#include "run_records_internal.h"

enum {
    /** Added to the time without a heartbeat after which a machine takes no tasks. */
    OVERDUE_MARGIN_MS = 1500,
};

/** Of that time, for each second of the heartbeat interval. */
static const double OVERDUE_MS_PER_S = 1250;

bool shard_machine_is_available(struct shard *shard, struct machine *machine)
{
    if (!machine->heartbeat.has_reported || !machine->reachability.is_confirmed ||
        machine->reachability.probe_failures != 0 || machine->capacity.cpus.milli <= 0)
        return false;
    if (machine->is_gone || machine->is_reclaimed || machine->is_cordoned || machine->is_returning)
        return false;
    double overdue_ms = shard->settings->heartbeat_interval_s * OVERDUE_MS_PER_S;
    return time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at) <
           (int64_t)overdue_ms + OVERDUE_MARGIN_MS;
}

double shard_machine_allocated_share(const struct machine *machine)
{
    return resources_dominant_share(machine->allocated, machine->capacity);
}

/* ---- candidates ---- */

/** A machine that can take the task; machine NULL: none. */
struct candidate {
    struct machine *machine;
    double score;
};

/** The best candidates of each ARQ pool, and the best of those that have the task's image. */
struct candidate_set {
    struct candidate by_pool[ARQ_CLASSES + 1], with_image;
    bool is_empty;
};

/** An agent refuses a task while it still reports an earlier attempt. */
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

static bool machine_fits(struct shard *shard, struct machine *machine,
                         const struct dispatch *dispatch, const struct job_spec *spec)
{
    if (dispatch->bound_machine[0] && strcmp(dispatch->bound_machine, machine->id.text) != 0)
        return false;
    if (dispatch->zone[0] && strcmp(dispatch->zone, machine->zone) != 0)
        return false;
    struct resources remaining = resources_remaining(machine->capacity, machine->allocated);
    return resources_fit(remaining, resources_of_job_spec(spec)) &&
           job_spec_allows_machine(spec, machine->type_name, machine->zone, machine->is_spot) &&
           shard_can_record_run(shard, machine, dispatch->job) &&
           !has_any_attempt(machine, dispatch);
}

/** Equal scores are decided by name, so that the choice does not depend on the order of machines.
 */
static void keep_better(struct candidate *best, struct candidate other)
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
    keep_better(&candidates->by_pool[arq_pool(share)], candidate);
    if (facts.has_image)
        keep_better(&candidates->with_image, candidate);
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

/** The best candidate of the pools up to one. */
static struct machine *best_up_to_pool(const struct candidate_set *candidates, int last_pool)
{
    struct candidate best = {0};
    for (int pool = 1; pool <= last_pool; pool++)
        keep_better(&best, candidates->by_pool[pool]);
    return best.machine;
}

/* ---- the choice ---- */

/** The candidate of the task's own pool; else of the next one, while no task waits for that; else
 * the busiest that fits, unless it belongs to an emptier pool, for which the task waits. */
static struct machine *choose_by_pool(const struct shard *shard, const struct dispatch *dispatch,
                                      const struct candidate_set *candidates)
{
    int own = dispatch->queue_class, next = own + 1;
    if (candidates->by_pool[own].machine)
        return candidates->by_pool[own].machine;
    if (own < ARQ_CLASSES && shard->placement.queues[next].length == 0 &&
        candidates->by_pool[next].machine)
        return candidates->by_pool[next].machine;
    return best_up_to_pool(candidates, own);
}

static struct machine *choose_candidate(const struct shard *shard, const struct dispatch *dispatch,
                                        const struct job *job,
                                        const struct candidate_set *candidates, enum arq_move move)
{
    bool is_bound = dispatch->bound_machine[0] != '\0';
    bool is_urgent = job->inherited_priority <= PRIORITY_HIGH;
    /* Urgent tasks go where the image is, whatever the pool: a fetch takes longer than most waits
     * that the switch rule weighs. */
    if (is_urgent && !is_bound && candidates->with_image.machine)
        return candidates->with_image.machine;
    if (job->spec->form == FORM_SERVICE || is_bound || move == ARQ_TAKE_ANY)
        return best_up_to_pool(candidates, ARQ_CLASSES);
    return choose_by_pool(shard, dispatch, candidates);
}

/** Within one pass resources only shrink: a request that is not smaller than one that found nothing
 * need not be looked for. */
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
                                           const struct job *job, enum arq_move move,
                                           struct machine **out)
{
    struct candidate_set candidates = {.is_empty = true};
    *out = NULL;
    if (!is_known_unschedulable(shard, dispatch, job->spec))
        find_candidates(shard, dispatch, job->spec, &candidates);
    if (candidates.is_empty)
        return PLACEMENT_NO_CANDIDATE;
    *out = choose_candidate(shard, dispatch, job, &candidates, move);
    return *out ? PLACEMENT_FOUND : PLACEMENT_WAITS;
}

/* ---- the switch rule ---- */

/** For how long its oldest run has kept a machine busy, in seconds; -1: it is not busy. */
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

/** The chance that a busy machine of a pool becomes free in time. */
static double pool_free_chance(struct shard *shard, int pool, double within_s,
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
    double chance = arq_free_chance(&shard->placement.busy_history[pool], (double *)ages_s->data,
                                    (int)ages_s->len, within_s, expected_run_s);
    g_array_unref(ages_s);
    return chance;
}

enum arq_move shard_decide_move(struct shard *shard, const struct dispatch *dispatch,
                                const struct job_spec *spec, bool is_rule_time)
{
    mono_time now = loop_now(shard->loop);
    int own = dispatch->queue_class, next = own + 1;
    double run_s = spec->expected_run_s;
    double waited_s = (double)time_ms_since(now, dispatch->dispatched_at) / 1000;
    double patience_left_s = arq_patience_s(run_s, 0) - waited_s;
    if (patience_left_s <= 0)
        return ARQ_TAKE_ANY;
    if (!is_rule_time || own >= ARQ_CLASSES)
        return ARQ_STAY;
    double waited_here_s = (double)time_ms_since(now, dispatch->queued_at) / 1000;
    struct arq_terms terms = {
        .expected_run_s = run_s,
        .wait_own_s = waited_here_s,
        .wait_next_s = waited_s - waited_here_s,
        .quality_own = own,
        .quality_next = next,
        .chance_own = pool_free_chance(shard, own, patience_left_s, run_s),
        .chance_next = pool_free_chance(shard, next, patience_left_s, run_s),
    };
    return arq_switch(&terms);
}
