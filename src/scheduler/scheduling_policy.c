/** Evaluates objectives, machine types and the operators' policy for the scheduler. */
#include "scheduling_policy.h"

#include <math.h>

/** Limit of the waiting time of jobs, which applies if no objective of their class is shorter. */
enum { DEFAULT_PATIENCE_S = 60 };

/** The shortest boot time while no machine type is known; it is longer than any objective. */
static const double NO_MACHINE_TYPE_BOOT_S = 1e9;

const GArray *scheduling_policy_machine_types(struct leader *leader)
{
    const GArray *listed = cloud_provider_get_types(leader->cloud);
    return listed ? listed : leader->replica->machine_types;
}

/**
 * Returns the shortest boot time of all machine types, or NO_MACHINE_TYPE_BOOT_S if none is known.
 */
static double quickest_boot_s(struct leader *leader)
{
    double quickest_s = NO_MACHINE_TYPE_BOOT_S;
    const GArray *types = scheduling_policy_machine_types(leader);
    for (guint i = 0; types && i < types->len; i++)
        quickest_s = MIN(quickest_s, g_array_index(types, struct machine_type, i).boot_time_s);
    return quickest_s;
}

double scheduling_policy_slowest_boot_s(struct leader *leader)
{
    double slowest_s = 0;
    const GArray *types = scheduling_policy_machine_types(leader);
    for (guint i = 0; types && i < types->len; i++)
        slowest_s = MAX(slowest_s, g_array_index(types, struct machine_type, i).boot_time_s);
    return slowest_s;
}

/**
 * Returns how long a task may wait if the objective is to be met, or `default_s` if the objective
 * does not limit the waiting time.
 */
static double max_wait_s(const struct objective *objective, const struct job_spec *spec,
                         double default_s)
{
    switch (objective->kind) {
    case OBJECTIVE_WAIT:
        return objective->within_s;
    case OBJECTIVE_FINISHED:
        return objective->within_s - spec->expected_run_s;
    case OBJECTIVE_DEADLINE:
        return spec->deadline_s >= 0 ? spec->deadline_s - spec->expected_run_s : default_s;
    case OBJECTIVE_OTHER:
        break;
    }
    return default_s;
}

/**
 * Returns the shortest waiting time that the objectives of the job's class allow. Objectives that
 * allow no more than `quickest_s`, the shortest boot time, are ignored, because no new machine
 * could meet them.
 */
static double class_patience_s(const struct leader *leader, const struct job_spec *spec,
                               double quickest_s)
{
    double patience_s = DEFAULT_PATIENCE_S;
    const GArray *objectives = leader->settings->objectives;
    for (guint i = 0; i < objectives->len; i++) {
        const struct objective *objective = &g_array_index(objectives, struct objective, i);
        if (strcmp(objective->class, spec->job_class) != 0)
            continue;
        double wait_s = max_wait_s(objective, spec, patience_s);
        if (wait_s > quickest_s)
            patience_s = MIN(patience_s, wait_s);
    }
    return patience_s;
}

double scheduling_policy_patience_s(struct leader *leader, const struct job *job_record)
{
    const struct job_spec *spec = job_record->spec;
    double quickest_s = quickest_boot_s(leader);
    double patience_s = class_patience_s(leader, spec, quickest_s);
    if (spec->deadline_s >= 0 || job_record->inherited_deadline.ms == NO_DEADLINE.ms)
        return patience_s;
    /* Jobs that depend on this one have deadlines, so it must leave them enough time. */
    double due_s = (double)(job_record->inherited_deadline.ms - job_record->eligible_at.ms) / 1000;
    return MIN(patience_s, MAX(due_s - spec->expected_run_s, quickest_s));
}

double scheduling_policy_used_cpus(struct leader *leader)
{
    double sum = 0;
    for (int i = 0; i < leader->ledger.team_count; i++)
        sum += resources_cpus(leader->ledger.teams[i].used);
    return sum;
}

void scheduling_policy_set_load_inputs(struct leader *leader, struct policy_value *inputs)
{
    inputs[INPUT_USED_CPUS].number = scheduling_policy_used_cpus(leader);
    inputs[INPUT_PEAK_CPUS].number = leader->autoscaler.peak_cpus;
}

/** Sets the inputs of a policy expression that describe the cluster's load and a job. */
static void set_job_inputs(struct leader *leader, const struct ledger_job *job,
                           const struct job_spec *spec, struct policy_value *inputs)
{
    scheduling_policy_set_load_inputs(leader, inputs);
    inputs[INPUT_TEAM].string = spec->team_name;
    inputs[INPUT_CLASS].string = spec->job_class;
    inputs[INPUT_PRIORITY].string = job_priority_name(job->priority);
}

double scheduling_policy_spare_cpus(struct leader *leader)
{
    struct policy_value inputs[POLICY_INPUT_COUNT] = {0};
    scheduling_policy_set_load_inputs(leader, inputs);
    return floor(policy_evaluate_number(leader->policy, POLICY_SPARE_CPUS, inputs));
}

bool scheduling_policy_may_rent_on_demand(struct leader *leader, const struct ledger_job *job,
                                          const struct job_spec *spec, double backlog_s)
{
    struct policy_value inputs[POLICY_INPUT_COUNT] = {0};
    set_job_inputs(leader, job, spec, inputs);
    inputs[INPUT_BACKLOG_S].number = backlog_s;
    inputs[INPUT_PATIENCE_S].number = job->patience_s;
    return policy_evaluate_boolean(leader->policy, POLICY_RENT_ON_DEMAND, inputs);
}

bool scheduling_policy_may_preempt(struct leader *leader, const struct ledger_job *job,
                                   const struct job_spec *spec)
{
    struct policy_value inputs[POLICY_INPUT_COUNT] = {0};
    set_job_inputs(leader, job, spec, inputs);
    return policy_evaluate_boolean(leader->policy, POLICY_PREEMPT, inputs);
}

double scheduling_policy_idle_timeout_ms(struct leader *leader,
                                         const struct ledger_machine *machine)
{
    struct policy_value inputs[POLICY_INPUT_COUNT] = {0};
    scheduling_policy_set_load_inputs(leader, inputs);
    inputs[INPUT_TYPE].string = machine->type_name;
    inputs[INPUT_ZONE].string = machine->zone;
    inputs[INPUT_SPOT].boolean = machine->is_spot;
    inputs[INPUT_CPUS].number = resources_cpus(machine->capacity);
    return policy_evaluate_number(leader->policy, POLICY_IDLE_S, inputs) * 1000;
}
