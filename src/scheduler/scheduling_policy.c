#include "scheduler_internal.h"

#include <math.h>

/* Of a class of which nothing is expected. */
enum { USUAL_PATIENCE_S = 60 };

static const double NO_TYPE_BOOT_S = 1e9;

const GArray *leader_types_now(struct leader *leader)
{
    return fleet_types(leader->fleet) ? fleet_types(leader->fleet) : leader->view->types;
}

/* Of all machine types; without any, longer than any wait. */
static double quickest_boot(struct leader *leader)
{
    double least = NO_TYPE_BOOT_S;
    const GArray *types = leader_types_now(leader);
    for (guint i = 0; types && i < types->len; i++)
        least = MIN(least, g_array_index(types, struct machine_type, i).boot_s);
    return least;
}

double leader_slowest_boot(struct leader *leader)
{
    double most = 0;
    const GArray *types = leader_types_now(leader);
    for (guint i = 0; types && i < types->len; i++)
        most = MAX(most, g_array_index(types, struct machine_type, i).boot_s);
    return most;
}

/* How long a task may wait if the objective is to be met; patience if it says nothing of that. */
static double wait_left_s(const struct objective *objective, const struct spec *spec,
                          double patience)
{
    if (objective->kind == OBJECTIVE_WAIT)
        return objective->within_s;
    if (objective->kind == OBJECTIVE_FINISHED)
        return objective->within_s - spec->expected_s;
    if (objective->kind == OBJECTIVE_DEADLINE && spec->due_s >= 0)
        return spec->due_s - spec->expected_s;
    return patience;
}

double leader_patience_s(struct leader *leader, const struct job *job_view)
{
    const struct spec *spec = job_view->spec;
    double patience = USUAL_PATIENCE_S;
    double boot = quickest_boot(leader);
    for (guint i = 0; i < leader->settings->objectives->len; i++) {
        const struct objective *objective =
            &g_array_index(leader->settings->objectives, struct objective, i);
        if (strcmp(objective->class, spec->job_class) != 0)
            continue;
        double left = wait_left_s(objective, spec, patience);
        if (left > boot)
            patience = MIN(patience, left);
    }
    /* The deadline of a job that needs this one leaves it less, the longer the way there. */
    if (spec->due_s < 0 && job_view->due.ms != NEVER.ms) {
        double due_s = (double)(job_view->due.ms - job_view->since.ms) / 1000;
        patience = MIN(patience, MAX(due_s - spec->expected_s, boot));
    }
    return patience;
}

double leader_used_cpus(struct leader *leader)
{
    double sum = 0;
    for (int i = 0; i < leader->n_teams; i++)
        sum += (double)leader->teams[i].used.cpus.milli / 1000;
    return sum;
}

void leader_load_inputs(struct leader *leader, struct policy_value *value)
{
    value[INPUT_USED_CPUS].number = leader_used_cpus(leader);
    value[INPUT_PEAK_CPUS].number = leader->demand_peak;
}

/* Inputs that tell of the load and the job. */
static void job_inputs(struct leader *leader, const struct leader_job *job, const struct spec *spec,
                       struct policy_value *value)
{
    leader_load_inputs(leader, value);
    value[INPUT_TEAM].text = spec->team_name;
    value[INPUT_CLASS].text = spec->job_class;
    value[INPUT_PRIORITY].text = codec_urgency_word(job->urgency);
}

double leader_spare_cpus(struct leader *leader)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    leader_load_inputs(leader, value);
    return floor(policy_number(leader->policy, POLICY_SPARE_CPUS, value));
}

bool leader_may_rent_ordinary(struct leader *leader, const struct leader_job *job,
                              const struct spec *spec, double backlog_s)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    job_inputs(leader, job, spec, value);
    value[INPUT_BACKLOG_S].number = backlog_s;
    value[INPUT_PATIENCE_S].number = job->patience_s;
    return policy_flag(leader->policy, POLICY_RENT_ORDINARY, value);
}

bool leader_may_preempt(struct leader *leader, const struct leader_job *job,
                        const struct spec *spec)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    job_inputs(leader, job, spec, value);
    return policy_flag(leader->policy, POLICY_PREEMPT, value);
}

double leader_idle_ms(struct leader *leader, const struct leader_host *host)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    leader_load_inputs(leader, value);
    value[INPUT_TYPE].text = host->type_name;
    value[INPUT_ZONE].text = host->zone;
    value[INPUT_SPOT].flag = host->spot;
    value[INPUT_CPUS].number = (double)host->total.cpus.milli / 1000;
    return policy_number(leader->policy, POLICY_IDLE_S, value) * 1000;
}
