/** Estimates the arrivals of services and plans headroom for them in each zone. */
#include "autoscaler_services.h"

#include "placement.h"
#include "scheduling_policy.h"

#include <math.h>

enum {
    /** The number of intervals over which the arrival rate is measured. */
    RATE_INTERVAL_COUNT = 8,
    /** The length of one interval of the arrival rate. */
    RATE_INTERVAL_MS = 30000,
    /** A rate needs at least two intervals, because the busiest one is excluded. */
    MIN_OBSERVED_INTERVALS = 2,
};

/** Statistics of the services in the ledger, from which future arrivals are estimated. */
struct service_sample {
    int64_t task_count;
    /** Resources of all tasks together. */
    struct resources total_resources;
    /** Number of tasks by the interval in which their job was submitted, the latest one first. */
    int64_t arrivals_by_interval[RATE_INTERVAL_COUNT];
    /** Intervals since the oldest service was submitted, at most RATE_INTERVAL_COUNT. */
    int64_t observed_interval_count;
};

static void add_service(struct service_sample *sample, const struct job *job_record,
                        struct resources task_resources, wall_time now)
{
    resources_add(&sample->total_resources,
                  resources_of_tasks(task_resources, job_record->task_count));
    sample->task_count += job_record->task_count;
    int64_t interval = (now.ms - job_record->submitted_at.ms) / RATE_INTERVAL_MS;
    sample->observed_interval_count =
        MAX(sample->observed_interval_count, MIN(interval + 1, RATE_INTERVAL_COUNT));
    if (interval >= 0 && interval < RATE_INTERVAL_COUNT)
        sample->arrivals_by_interval[interval] += job_record->task_count;
}

static struct service_sample sample_services(struct leader *leader)
{
    struct service_sample sample = {.observed_interval_count = MIN_OBSERVED_INTERVALS};
    wall_time now = loop_wall_time(leader->loop);
    GHashTableIter it;
    struct ledger_job *job;
    g_hash_table_iter_init(&it, leader->ledger.jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        const struct job *job_record = replica_get_job(leader->replica, job->id.text);
        if (job->is_service && job_record && job_record->is_loaded)
            add_service(&sample, job_record, job->task_resources, now);
    }
    return sample;
}

/**
 * Returns the arrival rate in tasks per second. The busiest interval is excluded, so that a single
 * burst of services does not count as the usual rate.
 */
static double arrival_rate_tasks_per_s(const struct service_sample *sample)
{
    int64_t sum = 0;
    int64_t busiest = 0;
    for (int i = 0; i < RATE_INTERVAL_COUNT; i++) {
        sum += sample->arrivals_by_interval[i];
        busiest = MAX(busiest, sample->arrivals_by_interval[i]);
    }
    return (double)(sum - busiest) * 1000 /
           (double)((sample->observed_interval_count - 1) * RATE_INTERVAL_MS);
}

void autoscaler_update_service_statistics(struct leader *leader)
{
    struct autoscaler_state *state = &leader->autoscaler;
    struct service_sample sample = sample_services(leader);
    state->has_services = sample.task_count > 0;
    state->service_tasks_per_s = arrival_rate_tasks_per_s(&sample);
    if (state->has_services)
        state->mean_service_request =
            (struct resources){{sample.total_resources.cpus.milli / sample.task_count},
                               {sample.total_resources.gpus.milli / sample.task_count},
                               {sample.total_resources.memory.milli / sample.task_count},
                               1};
}

/** Returns how many service tasks of mean size the machine could run in addition to its own. */
static int64_t count_machine_headroom(const struct leader *leader,
                                      const struct ledger_machine *machine)
{
    return resources_fit_count(placement_capacity_without_services(machine),
                               leader->autoscaler.mean_service_request);
}

/** Returns how many more service tasks the on-demand machines of a zone could run. */
static int64_t count_zone_headroom(struct leader *leader, const char *zone)
{
    int64_t task_count = 0;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!machine->is_spot && placement_is_schedulable(leader, machine) &&
            strcmp(machine->zone, zone) == 0)
            task_count += count_machine_headroom(leader, machine);
    return task_count;
}

/** Returns the number of service tasks for which each zone should have headroom. */
static int64_t target_headroom_per_zone(struct leader *leader)
{
    struct policy_value inputs[POLICY_INPUT_COUNT] = {0};
    scheduling_policy_set_load_inputs(leader, inputs);
    return (int64_t)round(leader->autoscaler.service_tasks_per_s *
                          scheduling_policy_slowest_boot_s(leader) *
                          policy_evaluate_number(leader->policy, POLICY_SERVICE_SPARE, inputs) /
                          leader->settings->zones->len);
}

/** Plans capacity for service tasks in a zone. Returns the number of tasks without capacity. */
static int64_t plan_zone_headroom(struct scale_out_plan *plan, const char *zone, int64_t task_count)
{
    const struct job_spec any_service = {.form = FORM_SERVICE};
    const struct capacity_request request = {
        .spec = &any_service,
        .task_resources = plan->leader->autoscaler.mean_service_request,
        .zone = zone,
    };
    return scale_out_plan_add_tasks(plan, &request, task_count);
}

/**
 * Plans the missing headroom of each zone, and stores the shortfalls. Returns the number of tasks
 * for which no machines were available in their zone.
 */
static int64_t plan_headroom_in_each_zone(struct scale_out_plan *plan)
{
    struct leader *leader = plan->leader;
    int64_t tasks_per_zone = target_headroom_per_zone(leader);
    int64_t unmet_tasks = 0;
    const GPtrArray *zones = leader->settings->zones;
    int64_t *shortfall_tasks = leader->autoscaler.service_shortfall_tasks;
    for (guint i = 0; i < zones->len; i++) {
        const char *zone = zones->pdata[i];
        shortfall_tasks[i] = tasks_per_zone - count_zone_headroom(leader, zone);
        if (shortfall_tasks[i] > 0)
            unmet_tasks += plan_zone_headroom(plan, zone, shortfall_tasks[i]);
    }
    return unmet_tasks;
}

/**
 * Increases the shortfall of every zone by the unmet headroom, and plans the new shortfall of those
 * zones that had none before. Replicas that may run in any zone are then relocated there, out of
 * the zone in which no more machines are available.
 */
static void plan_headroom_in_other_zones(struct scale_out_plan *plan, int64_t unmet_tasks)
{
    struct leader *leader = plan->leader;
    const GPtrArray *zones = leader->settings->zones;
    int64_t *shortfall_tasks = leader->autoscaler.service_shortfall_tasks;
    for (guint i = 0; i < zones->len; i++) {
        shortfall_tasks[i] += unmet_tasks;
        if (shortfall_tasks[i] > 0 && shortfall_tasks[i] <= unmet_tasks)
            plan_zone_headroom(plan, zones->pdata[i], shortfall_tasks[i]);
    }
}

void autoscaler_plan_service_headroom(struct scale_out_plan *plan)
{
    if (!plan->leader->autoscaler.has_services)
        return;
    int64_t unmet_tasks = plan_headroom_in_each_zone(plan);
    if (unmet_tasks > 0)
        plan_headroom_in_other_zones(plan, unmet_tasks);
}

bool autoscaler_release_service_headroom(struct leader *leader,
                                         const struct ledger_machine *machine)
{
    if (machine->is_spot || !leader->autoscaler.has_services || machine->zone_index < 0)
        return true;
    int64_t *shortfall_tasks = &leader->autoscaler.service_shortfall_tasks[machine->zone_index];
    int64_t machine_tasks = count_machine_headroom(leader, machine);
    if (*shortfall_tasks + machine_tasks > 0)
        return false;
    *shortfall_tasks += machine_tasks;
    return true;
}
