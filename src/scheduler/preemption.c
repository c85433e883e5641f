/**
 * Preemption on behalf of a job. The tasks that may be stopped for it are chosen in
 * preemption_victims.c.
 */
#include "preemption.h"

#include "log.h"
#include "placement.h"
#include "preemption_internal.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "service_relocation.h"
#include "shard_dispatcher.h"

enum {
    /** Maximum number of the job's tasks for which an attempt frees resources. */
    MAX_TASKS_PER_ATTEMPT = 32,
    /**
     * Minimum time between two attempts for a job, during which run records of stopped tasks can be
     * removed.
     */
    PREEMPTION_INTERVAL_MS = 1000,
    /**
     * How long a job whose own priority is PRIORITY_PROD waits, from when it is eligible, for a
     * machine that has its image cached.
     */
    IMAGE_WAIT_MS = 1200,
};

/**
 * Number of heartbeat intervals after the start of an epoch during which nothing is preempted, as
 * shards must first report which resources are free.
 */
static const double EPOCH_GRACE_HEARTBEATS = 1.25;

/**
 * Returns whether the team's use would stay within its guarantee if all waiting tasks of the job
 * ran.
 */
static bool is_within_guarantee(struct leader *leader, const struct ledger_job *job,
                                const struct job *job_record)
{
    int64_t waiting_tasks = quota_ledger_count_waiting_tasks(job, job_record);
    return quota_ledger_is_within_guarantee(quota_ledger_get_team(leader, job),
                                            quota_ledger_quota_request(job, waiting_tasks));
}

/** Stops a task on behalf of the preemptor. */
static void stop_victim(struct leader *leader, const struct preemptor *preemptor,
                        const struct preemption_victim *victim)
{
    const struct job *job_record = replica_get_job(leader->replica, victim->job->id.text);
    double grace_s = job_record && job_record->spec ? job_record->spec->checkpoint_save_s : 0;
    bool has_lower_priority = victim->job->priority > preemptor->job->priority;
    LOG_INFO("task_preempted", "job=%s task=%u machine=%s preemptor=%s reason=%s",
             victim->job->id.text, victim->index, victim->allocation->machine,
             preemptor->job->id.text, has_lower_priority ? "priority" : "guarantee");
    quota_ledger_set_preemptor(victim->allocation, preemptor->job);
    preemptor->job->preemption.pending_victim_count++;
    shard_dispatcher_queue_stop(leader, victim->job, victim->allocation, grace_s);
}

/** Stops as many tasks on the machine as are necessary for one task of the preemptor. */
static void preempt_on_machine(struct leader *leader, const struct preemptor *preemptor,
                               struct preemption_candidate *candidate)
{
    struct resources request = preemptor->job->task_resources;
    struct resources free = placement_free_resources(candidate->machine);
    resources_add(&free, candidate->freed_resources);
    GArray *victims = preemption_find_victims(leader, candidate->machine, preemptor);
    for (guint i = 0; i < victims->len && !resources_fit(free, request); i++) {
        const struct preemption_victim *victim =
            &g_array_index(victims, struct preemption_victim, i);
        resources_add(&free, victim->job->task_resources);
        resources_add(&candidate->freed_resources, victim->job->task_resources);
        stop_victim(leader, preemptor, victim);
    }
    resources_subtract(&candidate->freed_resources, request);
    g_array_unref(victims);
}

/**
 * Returns how many tasks of the preemptor the candidates in the zone (in all zones, if zone_index
 * is -1) could run if every possible victim was stopped.
 */
static int64_t count_tasks_after_preemption(struct leader *leader,
                                            const struct preemptor *preemptor,
                                            const GArray *candidates, int zone_index)
{
    int64_t task_count = 0;
    for (guint i = 0; i < candidates->len; i++) {
        struct ledger_machine *machine =
            g_array_index(candidates, struct preemption_candidate, i).machine;
        if (zone_index >= 0 && machine->zone_index != zone_index)
            continue;
        struct resources free = placement_free_resources(machine);
        GArray *victims = preemption_find_victims(leader, machine, preemptor);
        for (guint k = 0; k < victims->len; k++)
            resources_add(&free,
                          g_array_index(victims, struct preemption_victim, k).job->task_resources);
        g_array_unref(victims);
        task_count += resources_fit_count(free, preemptor->job->task_resources);
    }
    return task_count;
}

/**
 * Excludes all candidates that are not in the zone. With -1, excludes all candidates whose zone is
 * known.
 */
static void restrict_to_zone(GArray *candidates, int zone_index)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct preemption_candidate *candidate =
            &g_array_index(candidates, struct preemption_candidate, i);
        if (candidate->machine->zone_index != zone_index)
            candidate->lost_work = -1;
    }
}

/**
 * Variant of plan_gang_preemption for gangs that need a single zone. Of the zones where preemption
 * frees enough resources, chooses the one where the fewest tasks lack resources, and excludes the
 * candidates in all others.
 */
static int64_t plan_single_zone_preemption(struct leader *leader, const struct preemptor *preemptor,
                                           GArray *candidates, int64_t missing_tasks)
{
    struct gang_state *gang = &preemptor->job->gang;
    int zone_count = (int)leader->settings->zones->len;
    int64_t least_needed = 0;
    int best_zone_index = -1;
    for (int zone_index = 0; zone_index < zone_count; zone_index++) {
        int64_t needed_tasks = missing_tasks;
        if (zone_index != gang->reserved_zone_index)
            needed_tasks += gang->reserved_task_count;
        int64_t available_tasks =
            count_tasks_after_preemption(leader, preemptor, candidates, zone_index);
        if (available_tasks < needed_tasks ||
            (best_zone_index >= 0 && needed_tasks >= least_needed))
            continue;
        best_zone_index = zone_index;
        least_needed = needed_tasks;
    }
    restrict_to_zone(candidates, best_zone_index);
    if (best_zone_index >= 0)
        gang->preemption_zone_index = best_zone_index;
    return least_needed;
}

/**
 * Returns for how many tasks of a gang, not counting those with reservations, resources are to be
 * freed: all missing tasks, or none if the gang could still not start as a whole.
 */
static int64_t plan_gang_preemption(struct leader *leader, const struct preemptor *preemptor,
                                    GArray *candidates, int64_t missing_tasks)
{
    if (preemptor->job_record->spec->needs_single_zone)
        return plan_single_zone_preemption(leader, preemptor, candidates, missing_tasks);
    if (count_tasks_after_preemption(leader, preemptor, candidates, -1) < missing_tasks)
        return 0;
    return missing_tasks;
}

/** Returns for how many tasks of the job resources are to be freed now. */
static int64_t plan_task_count(struct leader *leader, const struct preemptor *preemptor,
                               GArray *candidates)
{
    const struct ledger_job *job = preemptor->job;
    /* Subtract the tasks that were stopped for the job earlier and still have run records: their
     * resources are already being freed. Removing the records takes several seconds when the write
     * rate is limited, and more and more tasks would be stopped in the meantime. */
    int64_t task_count = quota_ledger_count_allowed_tasks(leader, job, preemptor->job_record) -
                         job->gang.reserved_task_count - job->preemption.pending_victim_count;
    if (preemptor->job_record->spec->form == FORM_GANG && task_count > 0)
        task_count = plan_gang_preemption(leader, preemptor, candidates, task_count);
    return MIN(task_count, MAX_TASKS_PER_ATTEMPT);
}

/**
 * Returns whether preemption may be attempted for the job now, that is, neither shortly after the
 * last attempt nor shortly after the start of an epoch.
 */
static bool is_attempt_due(struct leader *leader, const struct ledger_job *job)
{
    mono_time now = loop_now(leader->loop);
    mono_time last_attempt_at = job->preemption.last_attempt_at;
    if (last_attempt_at.us && time_ms_since(now, last_attempt_at) < PREEMPTION_INTERVAL_MS)
        return false;
    double epoch_grace_ms =
        leader->settings->heartbeat_interval_s * (EPOCH_GRACE_HEARTBEATS * 1000);
    return time_ms_since(now, leader->epoch_began_at) >= (int64_t)epoch_grace_ms;
}

/**
 * Frees resources for up to task_count tasks, one after the other, each where the least work is
 * lost. Returns whether resources were freed for any of them.
 */
static bool preempt_for_tasks(struct leader *leader, const struct preemptor *preemptor,
                              GArray *candidates, int64_t task_count)
{
    const struct job_spec *spec = preemptor->job_record->spec;
    for (int64_t i = 0; i < task_count; i++) {
        struct preemption_candidate *best = preemption_find_cheapest(leader, preemptor, candidates);
        if (!best)
            return i > 0;
        preempt_on_machine(leader, preemptor, best);
        preemption_estimate_lost_work(leader, preemptor, best);
        /* All other tasks must use the zone in which this one is placed, which is not known
         * before. */
        if (spec->needs_single_zone && spec->form != FORM_GANG)
            return true;
        if (best->machine->zone_index >= 0 && spec->needs_separate_zones)
            leader->pass.zone_task_counts[best->machine->zone_index]++;
    }
    return task_count > 0;
}

void preemption_free_resources(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, bool needs_image)
{
    const struct job_spec *spec = job_record->spec;
    if (!is_attempt_due(leader, job))
        return;
    job->preemption.last_attempt_at = loop_now(leader->loop);
    struct preemptor preemptor = {
        .job = job,
        .job_record = job_record,
        .may_stop_lower_priority = scheduling_policy_may_preempt(leader, job, spec),
        .may_stop_borrowed = is_within_guarantee(leader, job, job_record),
        .needs_image = needs_image,
    };
    bool may_relocate = spec->form == FORM_SERVICE && spec->needs_separate_zones;
    if (!preemption_has_possible_victims(leader, &preemptor) && !may_relocate)
        return;
    GArray *candidates = preemption_find_candidates(leader, &preemptor);
    int64_t task_count = plan_task_count(leader, &preemptor, candidates);
    bool has_preempted = preempt_for_tasks(leader, &preemptor, candidates, task_count);
    if (task_count > 0 && !has_preempted && may_relocate)
        service_relocation_free_resources(leader, job, job_record);
    g_array_unref(candidates);
}

bool preemption_should_wait_for_image(struct leader *leader, const struct ledger_job *job,
                                      const struct job *job_record)
{
    const struct job_spec *spec = job_record->spec;
    const GPtrArray *machines = leader->pass.schedulable_machines;
    if (spec->priority != PRIORITY_PROD ||
        loop_wall_time(leader->loop).ms - job_record->eligible_at.ms > IMAGE_WAIT_MS ||
        !scheduling_policy_may_preempt(leader, job, spec))
        return false;
    for (guint i = 0; i < machines->len; i++) {
        const struct ledger_machine *machine = machines->pdata[i];
        if (placement_has_image(machine, spec) &&
            resources_fit(placement_capacity_without_services(machine), job->task_resources) &&
            placement_is_machine_allowed(leader, job, spec, machine))
            return true;
    }
    return false;
}
