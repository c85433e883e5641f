/**
 * Chooses the tasks that may be preempted for a job and estimates the work that is lost with them.
 */
#include "placement.h"
#include "preemption_internal.h"
#include "quota_ledger.h"

/** Weight of lost work on a machine that runs no services and has the image cached. */
static const double BASE_LOST_WORK_WEIGHT = 1.2;

/** Added to the weight if the image is not cached, as fetching it delays the preemptor. */
static const double MISSING_IMAGE_WEIGHT = 1;

/** Returns the resources that the team uses, without those of tasks that were asked to stop. */
static struct resources usage_without_stopping_tasks(const struct ledger_team *team)
{
    return resources_remaining(team->used, team->stopping);
}

/**
 * Returns whether the team would still use its whole guarantee if a task of this size was stopped.
 */
static bool stays_above_guarantee(const struct ledger_team *team, struct resources task)
{
    struct resources left = resources_remaining(usage_without_stopping_tasks(team), task);
    return left.cpus.milli >= team->quota->cpus.milli && left.gpus.milli >= team->quota->gpus.milli;
}

/** Returns whether tasks of the victim may be stopped for the preemptor. */
static bool may_preempt_job(struct leader *leader, const struct ledger_job *victim,
                            const struct preemptor *preemptor)
{
    /* Only services preempt overdue jobs, which would otherwise be stopped over and over again. */
    if (victim->priority > preemptor->job->priority)
        return preemptor->may_stop_lower_priority &&
               (victim->queue.wait_stage != WAIT_OVERDUE || preemptor->job->is_service);
    /* Services are never preempted to restore the guarantee of another team. */
    return preemptor->may_stop_borrowed && victim->team_index != preemptor->job->team_index &&
           !victim->is_service &&
           stays_above_guarantee(quota_ledger_get_team(leader, victim), victim->task_resources);
}

bool preemption_has_possible_victims(struct leader *leader, const struct preemptor *preemptor)
{
    const struct quota_ledger *ledger = &leader->ledger;
    if (preemptor->may_stop_lower_priority)
        for (int i = (int)preemptor->job->priority + 1; i < PRIORITY_COUNT; i++)
            if (ledger->allocated_by_priority[i])
                return true;
    if (!preemptor->may_stop_borrowed)
        return false;
    for (int i = 0; i < ledger->team_count; i++) {
        const struct ledger_team *team = &ledger->teams[i];
        struct resources used = usage_without_stopping_tasks(team);
        if (i != preemptor->job->team_index && (used.cpus.milli > team->quota->cpus.milli ||
                                                used.gpus.milli > team->quota->gpus.milli))
            return true;
    }
    return false;
}

/**
 * Comparison function that sorts the most recently allocated task first, as the least work is lost
 * with it.
 */
static gint compare_newest_first(gconstpointer a, gconstpointer b)
{
    const struct preemption_victim *first = a;
    const struct preemption_victim *second = b;
    int64_t first_us = first->allocation->allocated_at.us;
    int64_t second_us = second->allocation->allocated_at.us;
    return (first_us < second_us) - (first_us > second_us);
}

/** Sets *victim to the task of the run record. Returns false if that task must not be stopped. */
static bool find_victim(struct leader *leader, const struct ledger_machine *machine,
                        const struct run_record *run_record, const struct preemptor *preemptor,
                        struct preemption_victim *victim)
{
    const struct job_spec *spec = run_record->job->spec;
    struct ledger_job *job = quota_ledger_find_job(leader, run_record->job->id.text);
    struct allocation *allocation =
        job ? quota_ledger_find_allocation(job, run_record->task_index) : NULL;
    if (!allocation || allocation->attempt.value != run_record->attempt.value ||
        strcmp(allocation->machine, machine->id.text) != 0 || allocation->is_stopping)
        return false;
    /* Stopping one task of a gang would cause the whole gang to be stopped. */
    if (!spec || spec->form == FORM_GANG || !may_preempt_job(leader, job, preemptor))
        return false;
    *victim = (struct preemption_victim){job, run_record->task_index, allocation};
    return true;
}

GArray *preemption_find_victims(struct leader *leader, const struct ledger_machine *machine,
                                const struct preemptor *preemptor)
{
    GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct preemption_victim));
    const struct machine_record *record = replica_get_machine(leader->replica, machine->id.text);
    if (!record)
        return victims;
    loop_count_operations(leader->loop, record->run_records->len);
    for (guint i = 0; i < record->run_records->len; i++) {
        struct preemption_victim victim;
        if (find_victim(leader, machine, record->run_records->pdata[i], preemptor, &victim))
            g_array_append_val(victims, victim);
    }
    g_array_sort(victims, compare_newest_first);
    return victims;
}

/**
 * Returns the factor by which lost work is weighted on the machine. It is lower on machines that
 * run services: these machines are kept running anyway, so using them is cheaper.
 */
static double lost_work_weight(const struct ledger_machine *machine, const struct job_spec *spec)
{
    double service_share = resources_dominant_share(machine->usage.services, machine->capacity);
    return BASE_LOST_WORK_WEIGHT - service_share +
           (placement_has_image(machine, spec) ? 0 : MISSING_IMAGE_WEIGHT);
}

void preemption_estimate_lost_work(struct leader *leader, const struct preemptor *preemptor,
                                   struct preemption_candidate *candidate)
{
    struct resources request = preemptor->job->task_resources;
    struct resources free = placement_free_resources(candidate->machine);
    resources_add(&free, candidate->freed_resources);
    mono_time now = loop_now(leader->loop);
    GArray *victims = preemption_find_victims(leader, candidate->machine, preemptor);
    double lost_work = 0;
    for (guint i = 0; i < victims->len && !resources_fit(free, request); i++) {
        const struct preemption_victim *victim =
            &g_array_index(victims, struct preemption_victim, i);
        resources_add(&free, victim->job->task_resources);
        lost_work += (double)victim->job->task_resources.cpus.milli *
                     (double)(1 + time_ms_since(now, victim->allocation->allocated_at));
    }
    g_array_unref(victims);
    candidate->lost_work = -1;
    if (resources_fit(free, request))
        candidate->lost_work =
            lost_work * lost_work_weight(candidate->machine, preemptor->job_record->spec);
}

GArray *preemption_find_candidates(struct leader *leader, const struct preemptor *preemptor)
{
    const struct job_spec *spec = preemptor->job_record->spec;
    const GPtrArray *machines = leader->pass.schedulable_machines;
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct preemption_candidate));
    loop_count_operations(leader->loop, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        struct ledger_machine *machine = machines->pdata[i];
        if (!resources_fit(placement_capacity_without_services(machine),
                           preemptor->job->task_resources) ||
            !placement_is_machine_allowed(leader, preemptor->job, spec, machine) ||
            (preemptor->needs_image && !placement_has_image(machine, spec)))
            continue;
        struct preemption_candidate candidate = {.machine = machine};
        preemption_estimate_lost_work(leader, preemptor, &candidate);
        if (candidate.lost_work >= 0)
            g_array_append_val(candidates, candidate);
    }
    return candidates;
}

struct preemption_candidate *preemption_find_cheapest(struct leader *leader,
                                                      const struct preemptor *preemptor,
                                                      GArray *candidates)
{
    const struct job_spec *spec = preemptor->job_record->spec;
    struct preemption_candidate *best = NULL;
    for (guint i = 0; i < candidates->len; i++) {
        struct preemption_candidate *candidate =
            &g_array_index(candidates, struct preemption_candidate, i);
        if (candidate->lost_work >= 0 && (!best || candidate->lost_work < best->lost_work) &&
            placement_is_zone_allowed(leader, preemptor->job, spec, candidate->machine->zone_index))
            best = candidate;
    }
    return best;
}
