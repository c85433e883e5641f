/** Capacity for services to come. */
#include "autoscaler_services.h"

#include "placement.h"
#include "scheduling_policy.h"

#include <math.h>

enum {
    /** The arrival rate is measured over this many intervals, ... */
    RATE_INTERVAL_COUNT = 8,
    /** ... of this length each. */
    RATE_INTERVAL_MS = 30000,
    /** A rate needs two intervals at least, as the busiest one is left out. */
    MIN_OBSERVED_INTERVALS = 2,
};

/** Services in the ledger, from which those to come are estimated. */
struct service_sample {
    int64_t task_count;
    struct resources total;
    /** Tasks by the age of their job, the latest interval first. */
    int64_t arrivals[RATE_INTERVAL_COUNT];
    /** Intervals since the oldest service came, up to RATE_INTERVAL_COUNT. */
    int64_t observed_intervals;
};

static void add_service(struct service_sample *sample, const struct job *job_record,
                        struct resources task_resources, wall_time now)
{
    resources_add(&sample->total, resources_of_tasks(task_resources, job_record->task_count));
    sample->task_count += job_record->task_count;
    int64_t interval = (now.ms - job_record->submitted_at.ms) / RATE_INTERVAL_MS;
    sample->observed_intervals =
        MAX(sample->observed_intervals, MIN(interval + 1, RATE_INTERVAL_COUNT));
    if (interval >= 0 && interval < RATE_INTERVAL_COUNT)
        sample->arrivals[interval] += job_record->task_count;
}

static struct service_sample sample_services(struct leader *leader)
{
    struct service_sample sample = {.observed_intervals = MIN_OBSERVED_INTERVALS};
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
 * Arrival rate without the busiest interval, so that many services that come at once do not count
 * for what is usual.
 */
static double tasks_per_s(const struct service_sample *sample)
{
    int64_t sum = 0;
    int64_t busiest = 0;
    for (int i = 0; i < RATE_INTERVAL_COUNT; i++) {
        sum += sample->arrivals[i];
        busiest = MAX(busiest, sample->arrivals[i]);
    }
    return (double)(sum - busiest) * 1000 /
           (double)((sample->observed_intervals - 1) * RATE_INTERVAL_MS);
}

void autoscaler_measure_services(struct leader *leader)
{
    struct autoscaler_state *state = &leader->autoscaler;
    struct service_sample sample = sample_services(leader);
    state->has_services = sample.task_count > 0;
    state->service_tasks_per_s = tasks_per_s(&sample);
    if (state->has_services)
        state->mean_service_request =
            (struct resources){{sample.total.cpus.milli / sample.task_count},
                               {sample.total.gpus.milli / sample.task_count},
                               {sample.total.memory.milli / sample.task_count}};
}

/** How many service tasks of mean size the machine could hold beside its services. */
static int64_t count_more_service_tasks(const struct leader *leader,
                                        const struct ledger_machine *machine)
{
    return resources_fit_count(placement_capacity_without_services(machine),
                               leader->autoscaler.mean_service_request);
}

/** How many more service tasks the on-demand machines of a zone could hold. */
static int64_t count_service_capacity(struct leader *leader, const char *zone)
{
    int64_t task_count = 0;
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (!machine->is_spot && placement_is_schedulable(leader, machine) &&
            strcmp(machine->zone, zone) == 0)
            task_count += count_more_service_tasks(leader, machine);
    return task_count;
}

/** How many service tasks each zone should have free capacity for. */
static int64_t target_tasks_per_zone(struct leader *leader)
{
    struct policy_value inputs[POLICY_INPUTS] = {0};
    scheduling_policy_set_load_inputs(leader, inputs);
    return (int64_t)round(
        leader->autoscaler.service_tasks_per_s * scheduling_policy_slowest_boot_s(leader) *
        policy_number(leader->policy, POLICY_SERVICE_SPARE, inputs) / leader->settings->zones->len);
}

/** Plans capacity for service tasks in a zone; returns how many found none. */
static int64_t plan_in_zone(struct scale_out_plan *plan, const char *zone, int64_t task_count)
{
    const struct job_spec any_service = {.form = FORM_SERVICE};
    const struct capacity_request request = {
        .spec = &any_service,
        .task_resources = plan->leader->autoscaler.mean_service_request,
        .zone = zone,
    };
    return scale_out_plan_request(plan, &request, task_count);
}

/** Gives each zone what it lacks; returns how many tasks found no machine in their zone. */
static int64_t plan_in_all_zones(struct scale_out_plan *plan)
{
    struct leader *leader = plan->leader;
    int64_t tasks_per_zone = target_tasks_per_zone(leader);
    int64_t unmet_tasks = 0;
    const GPtrArray *zones = leader->settings->zones;
    int64_t *shortfall_tasks = leader->autoscaler.service_shortfall_tasks;
    for (guint i = 0; i < zones->len; i++) {
        const char *zone = zones->pdata[i];
        shortfall_tasks[i] = tasks_per_zone - count_service_capacity(leader, zone);
        if (shortfall_tasks[i] > 0)
            unmet_tasks += plan_in_zone(plan, zone, shortfall_tasks[i]);
    }
    return unmet_tasks;
}

/**
 * A zone in which no more machines are to be had is helped by capacity in the others, to which
 * replicas that may run anywhere are relocated.
 */
static void plan_elsewhere(struct scale_out_plan *plan, int64_t unmet_tasks)
{
    struct leader *leader = plan->leader;
    const GPtrArray *zones = leader->settings->zones;
    int64_t *shortfall_tasks = leader->autoscaler.service_shortfall_tasks;
    for (guint i = 0; i < zones->len; i++) {
        shortfall_tasks[i] += unmet_tasks;
        if (shortfall_tasks[i] > 0 && shortfall_tasks[i] <= unmet_tasks)
            plan_in_zone(plan, zones->pdata[i], shortfall_tasks[i]);
    }
}

void autoscaler_plan_for_services(struct scale_out_plan *plan)
{
    if (!plan->leader->autoscaler.has_services)
        return;
    int64_t unmet_tasks = plan_in_all_zones(plan);
    if (unmet_tasks > 0)
        plan_elsewhere(plan, unmet_tasks);
}

bool autoscaler_release_service_capacity(struct leader *leader,
                                         const struct ledger_machine *machine)
{
    if (machine->is_spot || !leader->autoscaler.has_services || machine->zone_index < 0)
        return true;
    int64_t *shortfall_tasks = &leader->autoscaler.service_shortfall_tasks[machine->zone_index];
    int64_t machine_tasks = count_more_service_tasks(leader, machine);
    if (*shortfall_tasks + machine_tasks > 0)
        return false;
    *shortfall_tasks += machine_tasks;
    return true;
}
