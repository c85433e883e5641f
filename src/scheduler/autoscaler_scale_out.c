/** Plans machines for waiting jobs, for the headroom of services and for spare CPUs. */
#include "autoscaler_scale_out.h"

#include "autoscaler_services.h"
#include "job_queue.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"

#include <math.h>

/**
 * The headroom for services is planned before the jobs of this rank: after the waiting services and
 * before all other jobs.
 */
enum { FIRST_RANK_AFTER_SERVICES = 1 };

/** Spare CPUs are planned as tasks with these resources, on the cheapest spot offers. */
static const struct resources SPARE_TASK_RESOURCES = {{1000}, {0}, {1500}, 1};

/** The work of the jobs planned so far, and the CPUs that will do it. */
struct backlog {
    /** Work of the waiting tasks, in CPU seconds. */
    double cpu_s;
    /** CPUs of reported and pending machines that are available to batch jobs. */
    double available_cpus;
};

/**
 * Plans machines for tasks of a job, in one zone or, if `zone` is NULL, in any zone. If the job may
 * use spot machines, on-demand machines are planned only if `may_use_on_demand` is set, and only
 * for the tasks that get no spot machine.
 */
static void plan_tasks(struct scale_out_plan *plan, const struct ledger_job *job, const char *zone,
                       int64_t task_count, bool may_use_on_demand)
{
    const struct job_spec *spec = job->queue.job_record->spec;
    struct capacity_request request = {
        .spec = spec,
        .task_resources = job->task_resources,
        .zone = zone,
        .spot_only = spec->may_use_spot,
    };
    if (spec->may_use_spot)
        task_count = scale_out_plan_add_tasks(plan, &request, task_count);
    request.spot_only = false;
    if (!spec->may_use_spot || may_use_on_demand)
        scale_out_plan_add_tasks(plan, &request, task_count);
}

/**
 * Returns the number of the job's waiting tasks that need capacity: those that the team's limit
 * allows in addition to the demand of the jobs before it in the queue. Adds their resources to the
 * team's demand.
 */
static int64_t add_team_demand(struct leader *leader, struct ledger_job *job)
{
    struct ledger_team *team = quota_ledger_get_team(leader, job);
    struct resources remaining =
        resources_remaining(quota_ledger_remaining_limit(team), team->demand);
    int64_t allowed_tasks =
        MIN(quota_ledger_count_allowed_tasks(leader, job, job->queue.job_record),
            resources_fit_count(remaining, job->task_resources));
    /* Resources are already reserved for these tasks of a gang, so they need no machines. */
    int64_t task_count = MAX(allowed_tasks - job->gang.reserved_task_count, 0);
    resources_add(&team->demand, quota_ledger_quota_request(job, task_count));
    return task_count;
}

/**
 * Returns the zone in which all remaining tasks must run: that of the tasks placed so far, if the
 * job needs a single zone. Returns NULL if there is no such restriction.
 */
static const char *find_required_zone(struct leader *leader, struct ledger_job *job)
{
    if (!job->queue.job_record->spec->needs_single_zone)
        return NULL;
    const GPtrArray *zones = leader->settings->zones;
    for (guint i = 0; i < zones->len; i++)
        if (placement_count_tasks_in_zone(leader, job, zones->pdata[i]))
            return zones->pdata[i];
    return NULL;
}

/** Plans a job whose tasks must be spread over zones: no zone gets more than half of them. */
static void plan_separate_zones(struct scale_out_plan *plan, struct ledger_job *job,
                                int64_t task_count, bool may_use_on_demand)
{
    const struct job_spec *spec = job->queue.job_record->spec;
    const GPtrArray *zones = plan->leader->settings->zones;
    for (guint i = 0; i < zones->len && task_count > 0; i++) {
        const char *zone = zones->pdata[i];
        int64_t tasks_in_zone = placement_count_tasks_in_zone(plan->leader, job, zone);
        int64_t max_additional_tasks = (spec->task_count + 1) / 2 - tasks_in_zone;
        int64_t zone_tasks = CLAMP(max_additional_tasks, 0, task_count);
        plan_tasks(plan, job, zone, zone_tasks, may_use_on_demand);
        task_count -= zone_tasks;
    }
}

static void plan_job(struct scale_out_plan *plan, struct ledger_job *job, bool may_use_on_demand)
{
    int64_t task_count = add_team_demand(plan->leader, job);
    if (job->queue.job_record->spec->needs_separate_zones)
        plan_separate_zones(plan, job, task_count, may_use_on_demand);
    else
        plan_tasks(plan, job, find_required_zone(plan->leader, job), task_count, may_use_on_demand);
}

/** Returns the work, in CPU seconds, of the job's waiting tasks that its team's limit allows. */
static double waiting_cpu_s(struct leader *leader, struct ledger_job *job)
{
    struct job *job_record = job->queue.job_record;
    return (double)quota_ledger_count_allowed_tasks(leader, job, job_record) *
           job_record->spec->expected_run_s * (double)job->task_resources.cpus.milli / 1000;
}

/** Plans all waiting jobs of a rank, one team after the other, each in the order of its queue. */
static void plan_rank(struct scale_out_plan *plan, int rank, struct backlog *backlog)
{
    struct leader *leader = plan->leader;
    for (int i = 0; i < leader->ledger.team_count; i++) {
        const GPtrArray *ready_jobs = leader->ledger.teams[i].ready_jobs;
        for (guint k = 0; k < ready_jobs->len; k++) {
            struct ledger_job *job = ready_jobs->pdata[k];
            if (job_queue_rank(leader, job) != rank)
                continue;
            backlog->cpu_s += waiting_cpu_s(leader, job);
            double backlog_s = backlog->cpu_s / backlog->available_cpus;
            plan_job(plan, job,
                     scheduling_policy_may_rent_on_demand(leader, job, job->queue.job_record->spec,
                                                          backlog_s));
        }
    }
}

static void plan_spare_cpus(struct scale_out_plan *plan)
{
    const struct job_spec any_job = {.may_use_spot = true};
    const struct capacity_request request = {
        .spec = &any_job,
        .task_resources = SPARE_TASK_RESOURCES,
        .spot_only = true,
    };
    double missing_cpus = scheduling_policy_spare_cpus(plan->leader) -
                          resources_cpus(autoscaler_total_free_resources(plan->leader));
    if (missing_cpus > 0)
        scale_out_plan_add_tasks(plan, &request, (int64_t)ceil(missing_cpus));
}

struct scale_out_plan *autoscaler_plan_scale_out(struct leader *leader)
{
    autoscaler_update_unreachable_zones(leader);
    for (int i = 0; i < leader->ledger.team_count; i++)
        leader->ledger.teams[i].demand = (struct resources){0};
    struct scale_out_plan *plan = scale_out_plan_new(leader);
    struct backlog backlog = {
        .available_cpus = autoscaler_count_batch_cpus(leader, plan->pending),
    };
    for (int rank = 0; rank < RANK_COUNT; rank++) {
        if (rank == FIRST_RANK_AFTER_SERVICES)
            autoscaler_plan_service_headroom(plan);
        plan_rank(plan, rank, &backlog);
    }
    plan_spare_cpus(plan);
    return plan;
}
