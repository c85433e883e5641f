/** Dispatches gangs, reserves resources for them, and stops gangs that have lost tasks. */
#include "gang_scheduler.h"

#include "log.h"
#include "placement.h"
#include "preemption.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard_dispatcher.h"

enum {
    /** Used instead of a zone index to mean all zones. */
    ANY_ZONE = -1,
    /** Maximum number of gangs per pass that may reserve machines still in use by other tasks. */
    MAX_DRAINING_GANGS = 4,
    MAX_NEW_MACHINE_WAIT_MS = 60000,
    /** Delay after which tasks of a stopped gang are stopped again if they are still allocated. */
    STOP_RETRY_MS = 10000,
    /**
     * How long a gang waits for tasks that a shard rejected to be allocated elsewhere, before it is
     * stopped.
     */
    REDISPATCH_TIMEOUT_MS = 2000,
};

/**
 * Startup time to expect of a new machine, in multiples of the slowest boot time and of the
 * heartbeat interval.
 */
static const double NEW_MACHINE_BOOT_TIMES = 3;
static const double NEW_MACHINE_HEARTBEATS = 1.25;

static bool is_in_zone(const struct ledger_machine *machine, int zone_index)
{
    return zone_index == ANY_ZONE || machine->zone_index == zone_index;
}

/**
 * Appends the machine to the list once for each task that fits on it, until the list has max_tasks
 * entries.
 */
static void add_machine(struct leader *leader, const struct ledger_job *job,
                        const struct job_spec *spec, struct ledger_machine *machine,
                        uint32_t max_tasks, GPtrArray *machines)
{
    int64_t fitting_tasks =
        resources_fit_count(placement_free_resources(machine), job->task_resources);
    for (int64_t i = 0; i < fitting_tasks && machines->len < max_tasks; i++) {
        if (!placement_is_zone_allowed(leader, job, spec, machine->zone_index))
            return;
        g_ptr_array_add(machines, machine);
        /* For gangs that need a single zone, the caller adds machines of only one zone. */
        if (machine->zone_index >= 0 && spec->needs_separate_zones)
            leader->pass.zone_task_counts[machine->zone_index]++;
    }
}

/**
 * Chooses machines from the candidates for up to max_tasks tasks, in the given zone or in ANY_ZONE.
 * A machine is listed once for each task that it is to run.
 */
static GPtrArray *pick_machines(struct leader *leader, const struct ledger_job *job,
                                const struct job_spec *spec, const GArray *candidates,
                                uint32_t max_tasks, int zone_index)
{
    GPtrArray *machines = g_ptr_array_new();
    placement_count_zone_tasks(leader, job, spec);
    for (guint i = 0; i < candidates->len && machines->len < max_tasks; i++) {
        struct ledger_machine *machine =
            g_array_index(candidates, struct placement_candidate, i).machine;
        if (is_in_zone(machine, zone_index))
            add_machine(leader, job, spec, machine, max_tasks, machines);
    }
    return machines;
}

/**
 * Returns how well a zone suits a gang if fitting_tasks of max_tasks tasks fit there. Zones that
 * have room for all tasks score highest, followed by the zone in which tasks are being preempted
 * for the gang.
 */
static guint score_zone(const struct ledger_job *job, int zone_index, guint fitting_tasks,
                        uint32_t max_tasks)
{
    bool is_preempting_here =
        job->preemption.pending_victim_count && zone_index == job->gang.preemption_zone_index;
    if (fitting_tasks == max_tasks)
        return 2 * max_tasks;
    return fitting_tasks + (is_preempting_here ? max_tasks : 0);
}

/** Variant of pick_machines that uses only the zone that suits the gang best. */
static GPtrArray *pick_machines_in_one_zone(struct leader *leader, const struct ledger_job *job,
                                            const struct job_spec *spec, const GArray *candidates,
                                            uint32_t max_tasks)
{
    GPtrArray *best = g_ptr_array_new();
    guint best_score = 0;
    int zone_count = (int)leader->settings->zones->len;
    for (int zone = 0; zone < zone_count && best->len < max_tasks; zone++) {
        GPtrArray *machines = pick_machines(leader, job, spec, candidates, max_tasks, zone);
        guint score = score_zone(job, zone, machines->len, max_tasks);
        if (score > best_score) {
            g_ptr_array_unref(best);
            best = g_ptr_array_ref(machines);
            best_score = score;
        }
        g_ptr_array_unref(machines);
    }
    return best;
}

/** Returns the best machines for up to max_tasks tasks of a gang, fewer if resources are short. */
static GPtrArray *find_gang_machines(struct leader *leader, const struct ledger_job *job,
                                     const struct job_spec *spec, uint32_t max_tasks)
{
    GArray *candidates = placement_find_candidates(leader, job, spec, false);
    GPtrArray *machines = spec->needs_single_zone
                              ? pick_machines_in_one_zone(leader, job, spec, candidates, max_tasks)
                              : pick_machines(leader, job, spec, candidates, max_tasks, ANY_ZONE);
    g_array_unref(candidates);
    return machines;
}

/**
 * Stops the tasks of a gang that have run records. Shards repeat a stop until the run record is
 * removed, but forget it when the epoch changes, and ignore it if it arrives before they know the
 * task. Tasks that were already stopped in this epoch are therefore stopped again only after
 * STOP_RETRY_MS.
 */
static void stop_gang(struct leader *leader, struct ledger_job *job, const struct job *job_record)
{
    mono_time now = loop_now(leader->loop);
    bool was_stopped_recently = job->gang.stopped_in_epoch.value == leader->epoch.value &&
                                time_ms_since(now, job->gang.stopped_at) < STOP_RETRY_MS;
    guint stopped_count = 0;
    GHashTableIter it;
    struct allocation *allocation;
    g_hash_table_iter_init(&it, job->allocations);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        if (was_stopped_recently && allocation->is_stopping)
            continue;
        shard_dispatcher_queue_stop(leader, job, allocation, job_record->spec->checkpoint_save_s);
        stopped_count += allocation->is_stopping;
    }
    if (!was_stopped_recently)
        job->gang.stopped_at = now;
    job->gang.stopped_in_epoch = leader->epoch;
    if (stopped_count)
        LOG_INFO("gang_stopped", "job=%s stopped=%u allocated=%u tasks=%u", job->id.text,
                 stopped_count, g_hash_table_size(job->allocations), job_record->task_count);
}

/**
 * Stops a gang of which only some tasks are allocated. A gang that has lost a task is stopped at
 * once, so that it can be started again as a whole. A gang that has not begun to run is stopped if
 * its other tasks are not allocated in time.
 */
static void stop_if_partially_allocated(struct leader *leader, struct ledger_job *job,
                                        const struct job *job_record)
{
    mono_time now = loop_now(leader->loop);
    guint allocated_tasks = g_hash_table_size(job->allocations);
    if (!allocated_tasks || g_hash_table_size(job->dispatches) ||
        allocated_tasks + job_record->completed_count >= job_record->task_count) {
        job->gang.partially_allocated_since = (mono_time){0};
        return;
    }
    if (!job->gang.partially_allocated_since.us)
        job->gang.partially_allocated_since = now;
    bool may_redispatch = job->gang.attempt.value && !job->gang.has_lost_task;
    if (!may_redispatch ||
        time_ms_since(now, job->gang.partially_allocated_since) >= REDISPATCH_TIMEOUT_MS)
        stop_gang(leader, job, job_record);
}

/** Dispatches a task of a gang under the gang's attempt, bound to the machine. */
static void dispatch_task(struct leader *leader, struct ledger_job *job, uint32_t index,
                          struct ledger_machine *machine)
{
    if (quota_ledger_try_dispatch(leader, job, index, job->gang.attempt, machine))
        shard_dispatcher_queue_dispatch(leader, job, index, true);
}

/**
 * Dispatches tasks again that were rejected by a shard, under the same attempt as the other tasks.
 * Rejected tasks never had run records, so the gang has not begun to run and still waits for them.
 */
static void redispatch_rejected_tasks(struct leader *leader, struct ledger_job *job,
                                      struct job *job_record)
{
    int64_t waiting_tasks = quota_ledger_count_allowed_tasks(leader, job, job_record);
    if (!job->gang.attempt.value || job->gang.has_lost_task || waiting_tasks <= 0)
        return;
    GPtrArray *machines =
        find_gang_machines(leader, job, job_record->spec, (uint32_t)waiting_tasks);
    guint used_machines = 0;
    for (uint32_t i = 0; i < job_record->task_count && used_machines < machines->len; i++)
        if (quota_ledger_is_task_waiting(job, job_record, i))
            dispatch_task(leader, job, i, machines->pdata[used_machines++]);
    g_ptr_array_unref(machines);
}

/**
 * Returns how many tasks of the gang would fit on the machine if only its services were running.
 */
static int64_t machine_task_capacity(const struct ledger_machine *machine,
                                     const struct ledger_job *job)
{
    return resources_fit_count(placement_capacity_without_services(machine), job->task_resources);
}

/**
 * Returns how many tasks of the gang would fit on the machines of a zone if only their services
 * were running.
 */
static int64_t zone_task_capacity(struct leader *leader, const struct ledger_job *job,
                                  const struct job_spec *spec, int zone_index)
{
    const GPtrArray *machines = leader->pass.schedulable_machines;
    int64_t task_count = 0;
    loop_count_operations(leader->loop, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const struct ledger_machine *machine = machines->pdata[i];
        if (placement_is_machine_allowed(leader, job, spec, machine) &&
            is_in_zone(machine, zone_index))
            task_count += machine_task_capacity(machine, job);
    }
    return task_count;
}

/**
 * Returns whether the whole gang would fit on the existing machines if only their services were
 * running. For a gang that needs a single zone, sets *zone_index to such a zone, preferring the one
 * where it has reservations; otherwise to ANY_ZONE.
 */
static bool could_fit_whole_gang(struct leader *leader, const struct ledger_job *job,
                                 const struct job_spec *spec, uint32_t needed_tasks,
                                 int *zone_index)
{
    *zone_index = ANY_ZONE;
    placement_count_zone_tasks(leader, job, spec);
    if (!spec->needs_single_zone)
        return zone_task_capacity(leader, job, spec, ANY_ZONE) >= needed_tasks;
    int zone_count = (int)leader->settings->zones->len;
    int first_zone = MAX(job->gang.reserved_zone_index, 0);
    for (int i = 0; i < zone_count; i++) {
        *zone_index = (first_zone + i) % zone_count;
        if (zone_task_capacity(leader, job, spec, *zone_index) >= needed_tasks)
            return true;
    }
    return false;
}

/**
 * Returns the machines that could run tasks of the gang if only their services were running, least
 * used first.
 */
static GArray *find_drainable_machines(struct leader *leader, const struct ledger_job *job,
                                       const struct job_spec *spec, int zone_index)
{
    const GPtrArray *machines = leader->pass.schedulable_machines;
    GArray *drainable = g_array_new(FALSE, FALSE, sizeof(struct placement_candidate));
    loop_count_operations(leader->loop, machines->len);
    placement_count_zone_tasks(leader, job, spec);
    for (guint i = 0; i < machines->len; i++) {
        struct ledger_machine *machine = machines->pdata[i];
        if (!machine_task_capacity(machine, job) ||
            !placement_is_machine_allowed(leader, job, spec, machine) ||
            !is_in_zone(machine, zone_index))
            continue;
        double used_share = resources_dominant_share(machine->usage.allocated, machine->capacity);
        struct placement_candidate candidate = {machine, -used_share};
        g_array_append_val(drainable, candidate);
    }
    g_array_sort(drainable, placement_compare_candidates);
    return drainable;
}

/**
 * Reserves the free resources of additional machines until these machines could run the missing
 * tasks once their current tasks have ended. Without the reservation, smaller tasks would take the
 * resources of a machine as they become free, before there is enough for a task of the gang.
 * reserved_machines has one entry for each task that already has a reservation.
 */
static void reserve_draining_machines(struct leader *leader, const struct ledger_job *job,
                                      const struct job_spec *spec,
                                      const GPtrArray *reserved_machines, int64_t missing_tasks,
                                      int zone_index)
{
    GArray *drainable = find_drainable_machines(leader, job, spec, zone_index);
    for (guint i = 0; i < drainable->len && missing_tasks > 0; i++) {
        struct ledger_machine *machine =
            g_array_index(drainable, struct placement_candidate, i).machine;
        int64_t additional_tasks = machine_task_capacity(machine, job);
        for (guint k = 0; k < reserved_machines->len; k++)
            additional_tasks -= reserved_machines->pdata[k] == machine;
        resources_add(&machine->usage.reserved, placement_free_resources(machine));
        missing_tasks -= additional_tasks;
    }
    g_array_unref(drainable);
}

/**
 * Returns how long a gang may wait for new machines. The time is long enough for slow machine types
 * to boot and report, but limited because reservations keep other jobs from using free resources.
 */
static double new_machine_wait_ms(struct leader *leader)
{
    double startup_s = scheduling_policy_slowest_boot_s(leader) * NEW_MACHINE_BOOT_TIMES +
                       leader->settings->heartbeat_interval_s * NEW_MACHINE_HEARTBEATS;
    return MIN(startup_s * 1000, MAX_NEW_MACHINE_WAIT_MS);
}

/**
 * Returns whether the gang has lacked resources for less time than it may wait for new machines.
 * Starts that time if necessary.
 */
static bool may_wait_for_machines(struct leader *leader, struct ledger_job *job)
{
    mono_time now = loop_now(leader->loop);
    if (!job->gang.unschedulable_since.us)
        job->gang.unschedulable_since = now;
    return (double)time_ms_since(now, job->gang.unschedulable_since) < new_machine_wait_ms(leader);
}

/**
 * Dispatches all tasks that are not completed under a new attempt, one to each entry of `machines`.
 */
static void dispatch_whole_gang(struct leader *leader, struct ledger_job *job,
                                const struct job *job_record, const GPtrArray *machines)
{
    guint used_machines = 0;
    job->gang.attempt = quota_ledger_next_attempt(leader);
    job->gang.has_lost_task = false;
    job->gang.unschedulable_since = job->gang.partially_allocated_since = (mono_time){0};
    for (uint32_t i = 0; i < job_record->task_count; i++)
        if (!job_is_task_completed(job_record, i))
            dispatch_task(leader, job, i, machines->pdata[used_machines++]);
}

/**
 * Marks the machines as usable by the gang and, if may_reserve is set, reserves resources on them.
 */
static void reserve_machines(struct ledger_job *job, const GPtrArray *machines, bool may_reserve)
{
    for (guint i = 0; i < machines->len; i++) {
        struct ledger_machine *machine = machines->pdata[i];
        machine->usage.is_wanted_by_gang = true;
        if (may_reserve)
            resources_add(&machine->usage.reserved, job->task_resources);
    }
}

/**
 * Reserves `machines`, which suffice for only some tasks of the gang, and preempts tasks to make
 * room for the others. A gang for which no new machines arrived in time does neither, unless the
 * whole gang would fit on the existing machines. A gang that has waited for long also reserves
 * machines that are still in use.
 */
static void reserve_for_gang(struct leader *leader, struct ledger_job *job, struct job *job_record,
                             const GPtrArray *machines, uint32_t needed_tasks)
{
    const struct job_spec *spec = job_record->spec;
    const struct ledger_machine *first = machines->len ? machines->pdata[0] : NULL;
    job->gang.reserved_task_count = machines->len;
    job->gang.reserved_zone_index = first ? first->zone_index : ANY_ZONE;
    job->queue.is_blocked = true;
    bool may_wait = may_wait_for_machines(leader, job);
    bool may_drain =
        job->queue.wait_stage >= WAIT_AGED && leader->pass.draining_gang_count < MAX_DRAINING_GANGS;
    int zone_index = ANY_ZONE;
    bool could_fit = (!may_wait || may_drain) &&
                     could_fit_whole_gang(leader, job, spec, needed_tasks, &zone_index);
    bool may_reserve = may_wait || could_fit;
    reserve_machines(job, machines, may_reserve);
    if (may_reserve || !machines->len)
        placement_add_unschedulable(leader, spec);
    if (may_reserve)
        preemption_free_resources(leader, job, job_record, false);
    if (could_fit && may_drain) {
        leader->pass.draining_gang_count++;
        reserve_draining_machines(leader, job, spec, machines,
                                  (int64_t)needed_tasks - machines->len, zone_index);
    }
}

bool gang_scheduler_dispatch(struct leader *leader, struct ledger_job *job, struct job *job_record)
{
    if (g_hash_table_size(job->allocations) || g_hash_table_size(job->dispatches) ||
        job_record->run_records) {
        redispatch_rejected_tasks(leader, job, job_record);
        stop_if_partially_allocated(leader, job, job_record);
        return false;
    }
    uint32_t needed_tasks = job_record->task_count - job_record->completed_count;
    if (!needed_tasks ||
        !quota_ledger_is_within_limit(quota_ledger_get_team(leader, job),
                                      quota_ledger_quota_request(job, needed_tasks)))
        return false;
    GPtrArray *machines = placement_is_unschedulable(leader, job_record->spec)
                              ? g_ptr_array_new()
                              : find_gang_machines(leader, job, job_record->spec, needed_tasks);
    bool fits_whole_gang = machines->len == needed_tasks;
    if (fits_whole_gang)
        dispatch_whole_gang(leader, job, job_record, machines);
    else
        reserve_for_gang(leader, job, job_record, machines, needed_tasks);
    g_ptr_array_unref(machines);
    return fits_whole_gang;
}
