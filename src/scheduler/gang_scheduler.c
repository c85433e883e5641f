#include "gang_scheduler.h"

#include "log.h"
#include "placement.h"
#include "preemption.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard_dispatcher.h"

enum {
    ANY_ZONE = -1,
    MAX_RESERVING_GANGS = 4, /* gangs that hold whole machines, in a pass */
    MAX_NEW_MACHINE_WAIT_MS = 60000,
    STOP_RETRY_MS = 10000,
    COMPLETION_TIMEOUT_MS = 2000, /* for a task that was given back to find another machine */
};

/* Picks machines for so many tasks out of a job's choices, in one zone or in any; a machine stands
 * in the list once for each task that it is to take. */
static GPtrArray *pick_machines(struct leader *leader, struct ledger_job *job,
                                const struct job_spec *spec, const GArray *candidates,
                                uint32_t max_tasks, int zone_index)
{
    GPtrArray *machines = g_ptr_array_new();
    placement_count_zone_tasks(leader, job, spec);
    for (guint i = 0; i < candidates->len && machines->len < max_tasks; i++) {
        struct ledger_machine *machine =
            g_array_index(candidates, struct placement_candidate, i).machine;
        if (zone_index != ANY_ZONE && machine->zone_index != zone_index)
            continue;
        int64_t fitting_tasks =
            resources_fit_count(placement_free_resources(machine), job->task_resources);
        for (int64_t k = 0; k < fitting_tasks && machines->len < max_tasks &&
                            placement_is_zone_allowed(leader, job, spec, machine->zone_index);
             k++) {
            g_ptr_array_add(machines, machine);
            if (machine->zone_index >= 0 &&
                spec->needs_separate_zones) /* one zone is for the caller to settle */
                leader->pass.zone_task_counts[machine->zone_index]++;
        }
    }
    return machines;
}

/* The same in one zone: that which has room for all tasks; else that where room is being made for
 * the gang, or where most of it finds some. */
static GPtrArray *pick_machines_in_one_zone(struct leader *leader, struct ledger_job *job,
                                            const struct job_spec *spec, const GArray *candidates,
                                            uint32_t max_tasks)
{
    GPtrArray *best = g_ptr_array_new();
    guint best_score = 0;
    for (guint zone = 0; zone < leader->settings->zones->len && best->len < max_tasks; zone++) {
        GPtrArray *zone_machines =
            pick_machines(leader, job, spec, candidates, max_tasks, (int)zone);
        bool is_preempting_here =
            job->preemption.pending_count && (int)zone == job->gang.preemption_zone_index;
        guint score = zone_machines->len == max_tasks
                          ? 2 * max_tasks
                          : zone_machines->len + (is_preempting_here ? max_tasks : 0);
        if (score > best_score) {
            g_ptr_array_unref(best);
            best = g_ptr_array_ref(zone_machines);
            best_score = score;
        }
        g_ptr_array_unref(zone_machines);
    }
    return best;
}

/* The best machines for so many tasks of a gang, or for as many as find room. */
static GPtrArray *find_gang_machines(struct leader *leader, struct ledger_job *job,
                                     const struct job_spec *spec, uint32_t max_tasks)
{
    GArray *candidates = placement_find_candidates(leader, job, spec, false);
    GPtrArray *machines = spec->needs_single_zone
                              ? pick_machines_in_one_zone(leader, job, spec, candidates, max_tasks)
                              : pick_machines(leader, job, spec, candidates, max_tasks, ANY_ZONE);
    g_array_unref(candidates);
    return machines;
}

/* Stops what is left of a gang. Tasks that were told to in this epoch are not told again for a
 * while: their owners repeat a halt until its end is on record. They forget it when the epoch
 * changes, and pass over one that comes before they know of the task. */
static void stop_gang(struct leader *leader, struct ledger_job *job, const struct job *job_record)
{
    mono_time now = loop_now(leader->loop);
    bool was_stopped_recently = job->gang.stopped_in_epoch.value == leader->epoch.value &&
                                time_ms_since(now, job->gang.stopped_at) < STOP_RETRY_MS;
    guint stopped_count = 0;
    GHashTableIter it;
    gpointer key;
    struct allocation *allocation;
    g_hash_table_iter_init(&it, job->allocations);
    while (g_hash_table_iter_next(&it, &key, (gpointer *)&allocation)) {
        if (was_stopped_recently && allocation->is_stopping)
            continue;
        shard_dispatcher_queue_stop(leader, job, quota_ledger_task_index(key), allocation,
                                    job_record->spec->checkpoint_save_s);
        stopped_count += allocation->is_stopping;
    }
    if (!was_stopped_recently)
        job->gang.stopped_at = now;
    job->gang.stopped_in_epoch = leader->epoch;
    if (stopped_count)
        LOG_INFO("gang_broken", "job=%s stopped=%u placed=%u of=%u", job->id.text, stopped_count,
                 g_hash_table_size(job->allocations), job_record->task_count);
}

/* A gang that lost a task cannot go on: what is left of it is stopped, and it starts whole again
 * once nothing of it is on record. One that has not begun may still be completed for a moment. */
static void repair_gang(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    mono_time now = loop_now(leader->loop);
    guint allocated_tasks = g_hash_table_size(job->allocations);
    if (!allocated_tasks || g_hash_table_size(job->dispatches) ||
        allocated_tasks + job_record->completed_count >= job_record->task_count) {
        job->gang.incomplete_since = (mono_time){0};
        return;
    }
    if (!job->gang.incomplete_since.us)
        job->gang.incomplete_since = now;
    bool may_be_completed = job->gang.attempt.value && !job->gang.has_lost_task;
    if (!may_be_completed ||
        time_ms_since(now, job->gang.incomplete_since) >= COMPLETION_TIMEOUT_MS)
        stop_gang(leader, job, job_record);
}

/* Tasks that a shard could not place are dealt once more, under the attempt of the others: as they
 * were never on record, the gang has not begun, and waits for them. */
static void complete_gang(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    int64_t waiting_tasks = quota_ledger_count_allowed_tasks(leader, job, job_record);
    if (!job->gang.attempt.value || job->gang.has_lost_task || waiting_tasks <= 0)
        return;
    GPtrArray *machines =
        find_gang_machines(leader, job, job_record->spec, (uint32_t)waiting_tasks);
    for (uint32_t i = 0, used_machines = 0;
         i < job_record->task_count && used_machines < machines->len; i++) {
        if (!quota_ledger_is_task_waiting(job, job_record, i))
            continue;
        quota_ledger_add_dispatch(leader, job, i, job->gang.attempt,
                                  machines->pdata[used_machines++]);
        shard_dispatcher_queue_dispatch(leader, job, i, true);
    }
    g_ptr_array_unref(machines);
}

/* How many tasks of a gang the machine could take if nothing but services ran on it. */
static int64_t machine_task_capacity(const struct ledger_machine *machine,
                                     const struct ledger_job *job)
{
    return resources_fit_count(resources_remaining(machine->capacity, machine->usage.services),
                               job->task_resources);
}

/* The same for all machines that take work, in one zone or in any. */
static int64_t zone_task_capacity(struct leader *leader, struct ledger_job *job,
                                  const struct job_spec *spec, int zone_index)
{
    int64_t task_count = 0;
    loop_add_work(leader->loop, leader->pass.schedulable_machines->len);
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        if (placement_is_machine_allowed(leader, job, spec, machine) &&
            (zone_index == ANY_ZONE || machine->zone_index == zone_index))
            task_count += machine_task_capacity(machine, job);
    }
    return task_count;
}

/* Whether a gang would find room if nothing but services ran on the machines that there are, and in
 * which zone, if it has to be in one: rather where room is held for it already. */
static bool could_fit_whole_gang(struct leader *leader, struct ledger_job *job,
                                 const struct job_spec *spec, uint32_t needed_tasks,
                                 int *zone_index)
{
    *zone_index = ANY_ZONE;
    placement_count_zone_tasks(leader, job, spec);
    if (!spec->needs_single_zone)
        return zone_task_capacity(leader, job, spec, ANY_ZONE) >= needed_tasks;
    int zones = (int)leader->settings->zones->len;
    int first_zone = MAX(job->gang.reserved_zone_index, 0);
    for (int i = 0; i < zones; i++) {
        *zone_index = (first_zone + i) % zones;
        if (zone_task_capacity(leader, job, spec, *zone_index) >= needed_tasks)
            return true;
    }
    return false;
}

/* Machines that could take tasks of a gang if they ran empty, those first that run the least. */
static GArray *find_drainable_machines(struct leader *leader, struct ledger_job *job,
                                       const struct job_spec *spec, int zone_index)
{
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(struct placement_candidate));
    loop_add_work(leader->loop, leader->pass.schedulable_machines->len);
    placement_count_zone_tasks(leader, job, spec);
    for (guint i = 0; i < leader->pass.schedulable_machines->len; i++) {
        struct ledger_machine *machine = leader->pass.schedulable_machines->pdata[i];
        struct placement_candidate candidate = {
            machine, -resources_dominant_share(machine->usage.allocated, machine->capacity)};
        if (machine_task_capacity(machine, job) &&
            placement_is_machine_allowed(leader, job, spec, machine) &&
            (zone_index == ANY_ZONE || machine->zone_index == zone_index))
            g_array_append_val(machines, candidate);
    }
    g_array_sort(machines, placement_compare_candidates);
    return machines;
}

/* Smaller tasks would take what becomes free on a machine before it is enough for a task of the
 * gang. One that has waited for long holds all that is free on further machines, until they would
 * have room for what it lacks. held: the places for which room is held already. */
static void reserve_draining_machines(struct leader *leader, struct ledger_job *job,
                                      const struct job_spec *spec,
                                      const GPtrArray *reserved_machines, int64_t missing_tasks,
                                      int zone_index)
{
    GArray *machines = find_drainable_machines(leader, job, spec, zone_index);
    for (guint i = 0; i < machines->len && missing_tasks > 0; i++) {
        struct ledger_machine *machine =
            g_array_index(machines, struct placement_candidate, i).machine;
        int64_t additional_tasks = machine_task_capacity(machine, job);
        for (guint k = 0; k < reserved_machines->len; k++)
            additional_tasks -= reserved_machines->pdata[k] == machine;
        resources_add(&machine->usage.reserved, placement_free_resources(machine));
        missing_tasks -= additional_tasks;
    }
    g_array_unref(machines);
}

/* How long a gang may hope for machines that are on their way: as long as slow ones take to boot
 * and report, but less than others may be kept waiting beside free room. */
static double new_machine_wait_ms(struct leader *leader)
{
    return MIN((scheduling_policy_slowest_boot_s(leader) * 3 +
                leader->settings->heartbeat_interval_s * 1.25) *
                   1000,
               MAX_NEW_MACHINE_WAIT_MS);
}

/* Whether it has found no room for all its tasks for longer than it may hope for new machines. */
static bool may_wait_for_machines(struct leader *leader, struct ledger_job *job)
{
    mono_time now = loop_now(leader->loop);
    if (!job->gang.unschedulable_since.us)
        job->gang.unschedulable_since = now;
    return (double)time_ms_since(now, job->gang.unschedulable_since) < new_machine_wait_ms(leader);
}

/* Deals all tasks of a gang that are not done, one to each place, under a new attempt. */
static void start_gang(struct leader *leader, struct ledger_job *job, struct job *job_record,
                       const GPtrArray *machines)
{
    job->gang.attempt = quota_ledger_next_attempt(leader);
    job->gang.has_lost_task = false;
    job->gang.unschedulable_since = job->gang.incomplete_since = (mono_time){0};
    for (uint32_t i = 0, used_machines = 0; i < job_record->task_count; i++) {
        if (job_is_task_completed(job_record, i))
            continue;
        quota_ledger_add_dispatch(leader, job, i, job->gang.attempt,
                                  machines->pdata[used_machines++]);
        shard_dispatcher_queue_dispatch(leader, job, i, true);
    }
}

/* A gang of which only a part finds room: holds that, and has more made, unless it could not be
 * whole on the machines that there are and has waited for new ones in vain. */
static void reserve_for_gang(struct leader *leader, struct ledger_job *job, struct job *job_record,
                             const GPtrArray *machines, uint32_t needed_tasks)
{
    const struct job_spec *spec = job_record->spec;
    job->gang.reserved_task_count = machines->len;
    job->gang.reserved_zone_index =
        machines->len ? ((struct ledger_machine *)machines->pdata[0])->zone_index : ANY_ZONE;
    job->queue.is_blocked = true;
    bool may_reserve = may_wait_for_machines(leader, job);
    bool may_drain = job->queue.wait_stage >= WAIT_AGED &&
                     leader->pass.reserving_gang_count < MAX_RESERVING_GANGS;
    int zone_index = ANY_ZONE;
    bool could_fit = (!may_reserve || may_drain) &&
                     could_fit_whole_gang(leader, job, spec, needed_tasks, &zone_index);
    may_reserve = may_reserve || could_fit;
    for (guint i = 0; i < machines->len; i++) {
        struct ledger_machine *machine = machines->pdata[i];
        machine->usage.is_wanted_by_gang = true;
        if (may_reserve)
            resources_add(&machine->usage.reserved, job->task_resources);
    }
    if (may_reserve || !machines->len)
        placement_add_unschedulable(leader, spec);
    if (may_reserve)
        preemption_free_resources(leader, job, job_record, false);
    if (could_fit && may_drain) {
        leader->pass.reserving_gang_count++;
        reserve_draining_machines(leader, job, spec, machines,
                                  (int64_t)needed_tasks - machines->len, zone_index);
    }
}

bool gang_scheduler_dispatch(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    if (g_hash_table_size(job->allocations) || g_hash_table_size(job->dispatches) ||
        job_record->run_records) {
        complete_gang(leader, job, job_record);
        repair_gang(leader, job, job_record);
        return false;
    }
    struct ledger_team *team = &leader->ledger.teams[job->team_index];
    uint32_t needed_tasks = job_record->task_count - job_record->completed_count;
    struct resources total_request = {{job->task_resources.cpus.milli * needed_tasks},
                                      {job->task_resources.gpus.milli * needed_tasks},
                                      {0}};
    if (!needed_tasks || !quota_ledger_is_within_limit(team, total_request))
        return false;
    GPtrArray *machines = placement_is_unschedulable(leader, job_record->spec)
                              ? g_ptr_array_new()
                              : find_gang_machines(leader, job, job_record->spec, needed_tasks);
    bool is_complete = machines->len == needed_tasks;
    if (is_complete)
        start_gang(leader, job, job_record, machines);
    else
        reserve_for_gang(leader, job, job_record, machines, needed_tasks);
    g_ptr_array_unref(machines);
    return is_complete;
}
