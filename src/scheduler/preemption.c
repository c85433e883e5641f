#include "preemption.h"

#include "image_cache.h"
#include "log.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard_dispatcher.h"

enum {
    MIN_RELOCATION_AGE_MS = 35000, /* a start counts once it has run for a while */
    MAX_PREEMPTED_TASKS = 32,      /* at a time, for one job */
    PREEMPTION_INTERVAL_MS = 1000, /* for what was stopped to be off the record */
    IMAGE_WAIT_MS = 1200,          /* for a machine that has the image */
    RELOCATION_BACKOFF_MS = 1000,  /* a zone in which nothing can be moved is let be */
};

/* A task on record that may be stopped. */
struct preemption_victim {
    struct ledger_job *job;
    uint32_t index;
    struct allocation *allocation;
};

/* The youngest first: the least is lost with them. */
static gint compare_by_youth(gconstpointer a, gconstpointer b)
{
    const struct preemption_victim *first = a, *second = b;
    return first->allocation->allocated_at.us > second->allocation->allocated_at.us
               ? -1
               : first->allocation->allocated_at.us < second->allocation->allocated_at.us;
}

/* Whether all that waits of a job lies within its team's guarantee. */
static bool is_within_guarantee(struct leader *leader, struct ledger_job *job,
                                struct job *job_record)
{
    struct ledger_team *team = &leader->ledger.teams[job->team_index];
    int64_t waiting_tasks = quota_ledger_count_waiting_tasks(job, job_record);
    struct resources total_request = {{job->task_resources.cpus.milli * waiting_tasks},
                                      {job->task_resources.gpus.milli * waiting_tasks},
                                      {0}};
    return quota_ledger_is_within_guarantee(team, total_request);
}

/* A job that finds no room, and what it may have stopped: work of lower priority, and what other
 * teams run above their guarantee while its own lacks it. */
struct preemptor {
    struct ledger_job *job;
    struct job *job_record;
    bool may_stop_lower_priority, may_stop_borrowed;
    bool needs_image; /* on machines with its image only */
};

/* Services are not stopped for a guarantee. */
static bool may_preempt_job(struct leader *leader, struct ledger_job *victim,
                            const struct preemptor *preemptor)
{
    /* What waited for long is not stopped again and again, but for services. */
    if (victim->priority > preemptor->job->priority)
        return preemptor->may_stop_lower_priority &&
               (victim->queue.wait_stage != WAIT_OVERDUE || preemptor->job->is_service);
    const struct ledger_team *team = &leader->ledger.teams[victim->team_index];
    return victim->team_index != preemptor->job->team_index && !victim->is_service &&
           preemptor->may_stop_borrowed &&
           (team->used.cpus.milli - team->stopping.cpus.milli - victim->task_resources.cpus.milli >=
                team->quota->cpus.milli &&
            team->used.gpus.milli - team->stopping.gpus.milli - victim->task_resources.gpus.milli >=
                team->quota->gpus.milli);
}

/* Tasks on a machine that may be stopped for a job, youngest first. Gangs are let be: one task
 * stopped stops them all. */
static GArray *find_victims(struct leader *leader, struct ledger_machine *machine,
                            const struct preemptor *preemptor)
{
    GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct preemption_victim));
    struct machine_record *machine_record = replica_get_machine(leader->replica, machine->id.text);
    loop_add_work(leader->loop, machine_record ? machine_record->run_records->len : 0);
    for (guint i = 0; machine_record && i < machine_record->run_records->len; i++) {
        struct run_record *run_record = machine_record->run_records->pdata[i];
        struct ledger_job *job = quota_ledger_find_job(leader, run_record->job->id.text);
        struct allocation *allocation =
            job ? quota_ledger_find_allocation(job, run_record->task_index) : NULL;
        if (!allocation || allocation->attempt.value != run_record->attempt.value ||
            !machine_id_equal(allocation->machine, machine->id) || allocation->is_stopping ||
            !run_record->job->spec || run_record->job->spec->form == FORM_GANG ||
            !may_preempt_job(leader, job, preemptor))
            continue;
        struct preemption_victim victim = {job, run_record->task_index, allocation};
        g_array_append_val(victims, victim);
    }
    g_array_sort(victims, compare_by_youth);
    return victims;
}

/* Whether a task of a service could go to another machine that is not in the zone. */
static bool could_leave_zone(struct leader *leader, struct ledger_job *job,
                             const struct job_spec *spec, int zone_index)
{
    placement_count_zone_tasks(leader, job, spec);
    loop_add_work(leader->loop, leader->pass.schedulable_machines->len);
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        if (machine->zone_index != zone_index &&
            resources_fit(placement_free_resources(machine), job->task_resources) &&
            placement_is_machine_allowed(leader, job, spec, machine))
            return true;
    }
    return false;
}

/* A replica on a machine that may be moved away, so that there is room for another. */
static bool may_relocate(struct leader *leader, struct ledger_machine *machine,
                         struct run_record *run_record, struct ledger_job *requester,
                         struct ledger_job **service, struct allocation **allocation)
{
    struct ledger_job *job = quota_ledger_find_job(leader, run_record->job->id.text);
    if (!job || !job->is_service || job == requester || !run_record->job->spec)
        return false;
    struct allocation *candidate = quota_ledger_find_allocation(job, run_record->task_index);
    struct resources free = placement_free_resources(machine);
    resources_add(&free, job->task_resources);
    if (!candidate || candidate->is_stopping ||
        time_ms_since(loop_now(leader->loop), candidate->allocated_at) < MIN_RELOCATION_AGE_MS ||
        !resources_fit(free, requester->task_resources))
        return false;
    *service = job;
    *allocation = candidate;
    return true;
}

/* Moves one replica away from a machine, if one could be elsewhere. stays: services that could not
 * leave the zone, whatever machine they are on. */
static bool relocate_one(struct leader *leader, struct ledger_machine *machine,
                         struct ledger_job *job, GHashTable *immovable_jobs)
{
    struct machine_record *machine_record = replica_get_machine(leader->replica, machine->id.text);
    for (guint i = 0; machine_record && i < machine_record->run_records->len; i++) {
        struct run_record *run_record = machine_record->run_records->pdata[i];
        struct ledger_job *service;
        struct allocation *allocation;
        loop_add_work(leader->loop, 1);
        if (g_hash_table_contains(immovable_jobs, run_record->job) ||
            !may_relocate(leader, machine, run_record, job, &service, &allocation))
            continue;
        if (!could_leave_zone(leader, service, run_record->job->spec, machine->zone_index)) {
            g_hash_table_add(immovable_jobs, run_record->job);
            continue;
        }
        LOG_INFO("move", "job=%s task=%u machine=%s for=%s", run_record->job->id.text,
                 run_record->task_index, machine->id.text, job->id.text);
        shard_dispatcher_queue_stop(leader, service, run_record->task_index, allocation,
                                    run_record->job->spec->checkpoint_save_s);
        return true;
    }
    return false;
}

/* A replica that has to be in one zone finds it full, of others that could as well be elsewhere:
 * one of these is moved, which costs it a moment. All machines of a zone are looked through, so
 * when that was in vain it is not done again for a while, whoever asks for as much. */
static void relocate_for_job(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    mono_time now = loop_now(leader->loop);
    for (guint zone_index = 0; zone_index < leader->settings->zones->len; zone_index++) {
        struct relocation_backoff *backoff = &leader->relocation_backoffs[zone_index];
        placement_count_zone_tasks(leader, job, job_record->spec);
        if (!placement_is_zone_allowed(leader, job, job_record->spec, (int)zone_index) ||
            (time_before(now, backoff->until) &&
             resources_fit(job->task_resources, backoff->request)))
            continue;
        GHashTable *immovable_jobs = g_hash_table_new(NULL, NULL);
        bool was_relocated = false;
        for (guint k = 0; k < leader->pass.schedulable_machines->len && !was_relocated; k++) {
            struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[k];
            if (machine->zone_index == (int)zone_index && machine->usage.services.cpus.milli &&
                job_spec_allows_machine(job_record->spec, machine->type_name, machine->zone,
                                        machine->is_spot))
                was_relocated = relocate_one(leader, machine, job, immovable_jobs);
        }
        g_hash_table_unref(immovable_jobs);
        if (was_relocated)
            return;
        *backoff = (struct relocation_backoff){time_add_ms(now, RELOCATION_BACKOFF_MS),
                                               job->task_resources};
    }
}

/* A machine on which room for a task could be made, and what that would cost. */
struct preemption_candidate {
    struct ledger_machine *machine;
    struct resources freed_resources; /* made already, and not used yet */
    double lost_work;                 /* < 0: there is no more to be had */
};

/* What stopping enough on the machine for one more task would lose. */
static void estimate_lost_work(struct leader *leader, const struct preemptor *preemptor,
                               struct preemption_candidate *candidate)
{
    struct ledger_job *job = preemptor->job;
    struct ledger_machine *machine = candidate->machine;
    mono_time now = loop_now(leader->loop);
    struct resources free = placement_free_resources(machine);
    resources_add(&free, candidate->freed_resources);
    candidate->lost_work = -1;
    GArray *victims = find_victims(leader, machine, preemptor);
    double loss = 0;
    for (guint i = 0; i < victims->len && !resources_fit(free, job->task_resources); i++) {
        struct preemption_victim *victim = &g_array_index(victims, struct preemption_victim, i);
        resources_add(&free, victim->job->task_resources);
        loss += (double)victim->job->task_resources.cpus.milli *
                (double)(1 + time_ms_since(now, victim->allocation->allocated_at));
    }
    g_array_unref(victims);
    /* A machine that services hold already is kept anyway, and one without the image is late. */
    if (resources_fit(free, job->task_resources))
        candidate->lost_work =
            loss *
            (1.2 - resources_dominant_share(machine->usage.services, machine->capacity) +
             (image_cache_contains(machine->image_cache, preemptor->job_record->spec->image) ? 0
                                                                                             : 1));
}

/* Every machine where room could be made. */
static GArray *find_preemption_candidates(struct leader *leader, const struct preemptor *preemptor)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct preemption_candidate));
    loop_add_work(leader->loop, leader->pass.schedulable_machines->len);
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        if (!resources_fit(resources_remaining(machine->capacity, machine->usage.services),
                           preemptor->job->task_resources) ||
            !placement_is_machine_allowed(leader, preemptor->job, preemptor->job_record->spec,
                                          machine) ||
            (preemptor->needs_image &&
             !image_cache_contains(machine->image_cache, preemptor->job_record->spec->image)))
            continue;
        struct preemption_candidate candidate = {.machine = machine};
        estimate_lost_work(leader, preemptor, &candidate);
        if (candidate.lost_work >= 0)
            g_array_append_val(candidates, candidate);
    }
    return candidates;
}

/* Where the least is lost, in a zone that may take one more task; NULL: nowhere. */
static struct preemption_candidate *find_cheapest_candidate(struct leader *leader,
                                                            const struct preemptor *preemptor,
                                                            GArray *candidates)
{
    struct preemption_candidate *best = NULL;
    for (guint i = 0; i < candidates->len; i++) {
        struct preemption_candidate *candidate =
            &g_array_index(candidates, struct preemption_candidate, i);
        if (candidate->lost_work >= 0 && (!best || candidate->lost_work < best->lost_work) &&
            placement_is_zone_allowed(leader, preemptor->job, preemptor->job_record->spec,
                                      candidate->machine->zone_index))
            best = candidate;
    }
    return best;
}

/* Stops what has to be stopped on a machine for one task. */
static void preempt_on_machine(struct leader *leader, const struct preemptor *preemptor,
                               struct preemption_candidate *candidate)
{
    GArray *victims = find_victims(leader, candidate->machine, preemptor);
    struct resources free = placement_free_resources(candidate->machine);
    resources_add(&free, candidate->freed_resources);
    for (guint i = 0; i < victims->len && !resources_fit(free, preemptor->job->task_resources);
         i++) {
        struct preemption_victim *victim = &g_array_index(victims, struct preemption_victim, i);
        struct job *victim_record = replica_get_job(leader->replica, victim->job->id.text);
        LOG_INFO("preempt", "job=%s task=%u machine=%s for=%s why=%s", victim->job->id.text,
                 victim->index, candidate->machine->id.text, preemptor->job->id.text,
                 victim->job->priority > preemptor->job->priority ? "priority" : "guarantee");
        resources_add(&free, victim->job->task_resources);
        resources_add(&candidate->freed_resources, victim->job->task_resources);
        victim->allocation->preemptor_job = preemptor->job->id;
        preemptor->job->preemption.pending_count++;
        shard_dispatcher_queue_stop(
            leader, victim->job, victim->index, victim->allocation,
            victim_record && victim_record->spec ? victim_record->spec->checkpoint_save_s : 0);
    }
    resources_subtract(&candidate->freed_resources, preemptor->job->task_resources);
    g_array_unref(victims);
}

/* Whether anything runs that the claim might stop. */
static bool has_possible_victims(struct leader *leader, const struct preemptor *preemptor)
{
    for (int priority = preemptor->job->priority + 1;
         preemptor->may_stop_lower_priority &&
         priority < (int)G_N_ELEMENTS(leader->ledger.allocated_by_priority);
         priority++)
        if (leader->ledger.allocated_by_priority[priority])
            return true;
    for (int i = 0; preemptor->may_stop_borrowed && i < leader->ledger.team_count; i++) {
        struct ledger_team *team = &leader->ledger.teams[i];
        if (i != preemptor->job->team_index &&
            (team->used.cpus.milli - team->stopping.cpus.milli > team->quota->cpus.milli ||
             team->used.gpus.milli - team->stopping.gpus.milli > team->quota->gpus.milli))
            return true;
    }
    return false;
}

/* How many tasks there would be room for on a machine if all that may be stopped was. */
static int64_t tasks_after_preemption(struct leader *leader, const struct preemptor *preemptor,
                                      struct ledger_machine *machine)
{
    struct resources free = placement_free_resources(machine);
    GArray *victims = find_victims(leader, machine, preemptor);
    for (guint i = 0; i < victims->len; i++)
        resources_add(&free,
                      g_array_index(victims, struct preemption_victim, i).job->task_resources);
    g_array_unref(victims);
    return resources_fit_count(free, preemptor->job->task_resources);
}

/* For how many tasks of a gang room has to be made beside what is held for it: all that it lacks,
 * or none when it would still not be whole. One that has to be in one zone has it made in one where
 * that is enough, and where the least is lacking; the machines of others are passed over. */
static int64_t plan_gang_preemption(struct leader *leader, const struct preemptor *preemptor,
                                    GArray *candidates, int64_t missing_tasks)
{
    struct ledger_job *job = preemptor->job;
    bool one_zone = preemptor->job_record->spec->needs_single_zone;
    guint zone_count = one_zone ? leader->settings->zones->len : 1;
    int64_t least_needed = 0;
    int best_zone_index = -1;
    for (guint zone_index = 0; zone_index < zone_count; zone_index++) {
        int64_t needed_tasks = one_zone && (int)zone_index != job->gang.reserved_zone_index
                                   ? missing_tasks + job->gang.reserved_task_count
                                   : missing_tasks,
                available_tasks = 0;
        for (guint i = 0; i < candidates->len; i++) {
            struct ledger_machine *machine =
                g_array_index(candidates, struct preemption_candidate, i).machine;
            if (!one_zone || machine->zone_index == (int)zone_index)
                available_tasks += tasks_after_preemption(leader, preemptor, machine);
        }
        if (available_tasks >= needed_tasks &&
            (best_zone_index < 0 || needed_tasks < least_needed)) {
            best_zone_index = (int)zone_index;
            least_needed = needed_tasks;
        }
    }
    for (guint i = 0; one_zone && i < candidates->len; i++) {
        struct preemption_candidate *candidate =
            &g_array_index(candidates, struct preemption_candidate, i);
        if (candidate->machine->zone_index != best_zone_index)
            candidate->lost_work = -1;
    }
    if (best_zone_index >= 0)
        job->gang.preemption_zone_index = best_zone_index;
    return least_needed;
}

void preemption_free_resources(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, bool needs_image)
{
    mono_time now = loop_now(leader->loop);
    /* Just after a change of epoch much of the room is not known yet. */
    if ((job->preemption.last_attempt_at.us &&
         time_ms_since(now, job->preemption.last_attempt_at) < PREEMPTION_INTERVAL_MS) ||
        time_ms_since(now, leader->epoch_began_at) <
            (int64_t)(leader->settings->heartbeat_interval_s * 1250))
        return;
    job->preemption.last_attempt_at = now;
    struct preemptor preemptor = {job, job_record,
                                  scheduling_policy_may_preempt(leader, job, job_record->spec),
                                  is_within_guarantee(leader, job, job_record), needs_image};
    bool may_relocate_replicas =
        job_record->spec->form == FORM_SERVICE && job_record->spec->needs_separate_zones;
    if (!has_possible_victims(leader, &preemptor) && !may_relocate_replicas)
        return;
    GArray *candidates = find_preemption_candidates(leader, &preemptor);
    /* What was stopped for it before and is not off the record yet is room that is on its way:
     * while few writes are allowed that takes several seconds, and all would be stopped over and
     * over. */
    int64_t task_count = quota_ledger_count_allowed_tasks(leader, job, job_record) -
                         job->gang.reserved_task_count - job->preemption.pending_count;
    bool is_gang = job_record->spec->form == FORM_GANG;
    if (is_gang && task_count > 0)
        task_count = plan_gang_preemption(leader, &preemptor, candidates, task_count);
    task_count = MIN(task_count, MAX_PREEMPTED_TASKS);
    for (int64_t k = 0; k < task_count; k++) {
        struct preemption_candidate *best = find_cheapest_candidate(leader, &preemptor, candidates);
        if (!best) {
            if (k == 0 && may_relocate_replicas)
                relocate_for_job(leader, job, job_record);
            break;
        }
        preempt_on_machine(leader, &preemptor, best);
        estimate_lost_work(leader, &preemptor, best);
        if (job_record->spec->needs_single_zone && !is_gang)
            break; /* the zone is settled once this one is placed */
        if (best->machine->zone_index >= 0 && job_record->spec->needs_separate_zones)
            leader->pass.zone_task_counts[best->machine->zone_index]++;
    }
    g_array_unref(candidates);
}

bool preemption_waits_for_image(struct leader *leader, struct ledger_job *job,
                                struct job *job_record)
{
    const struct job_spec *spec = job_record->spec;
    if (spec->priority != PRIORITY_PROD ||
        loop_wall_time(leader->loop).ms - job_record->eligible_at.ms > IMAGE_WAIT_MS ||
        !scheduling_policy_may_preempt(leader, job, spec))
        return false;
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        if (image_cache_contains(machine->image_cache, spec->image) &&
            resources_fit(resources_remaining(machine->capacity, machine->usage.services),
                          job->task_resources) &&
            placement_is_machine_allowed(leader, job, spec, machine))
            return true;
    }
    return false;
}
