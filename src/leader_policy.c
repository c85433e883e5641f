#include "leader_state.h"

#include "log.h"

#include <math.h>

enum {
    USUAL_PATIENCE_S = 60,
};

const GArray *leader_types_now(struct leader *l)
{
    return fleet_types(l->fleet) ? fleet_types(l->fleet) : l->view->types;
}

static double quickest_boot(struct leader *l)
{
    double least = 1e9;
    for (guint i = 0; i < leader_types_now(l)->len; i++)
        least = MIN(least, g_array_index(leader_types_now(l), struct machine_type, i).ready_s);
    return least;
}

double leader_slowest_boot(struct leader *l)
{
    double most = 0;
    for (guint i = 0; i < leader_types_now(l)->len; i++)
        most = MAX(most, g_array_index(leader_types_now(l), struct machine_type, i).ready_s);
    return most;
}

/* How long the job's tasks may wait, by what its class is expected to do. Renting cannot meet a
 * wait shorter than a boot, so such an aim does not count here. */
double leader_patience_s(struct leader *l, const struct job *v)
{
    const struct spec *s = v->spec;
    double patience = USUAL_PATIENCE_S, boot = quickest_boot(l);
    for (guint i = 0; i < l->settings->objectives->len; i++) {
        const struct objective *o = &g_array_index(l->settings->objectives, struct objective, i);
        if (strcmp(o->class, s->lot) != 0)
            continue;
        double left = patience;
        if (o->kind == OBJECTIVE_WAIT)
            left = o->within_s;
        else if (o->kind == OBJECTIVE_FINISHED)
            left = o->within_s - s->expected_s;
        else if (o->kind == OBJECTIVE_DEADLINE && s->due_s >= 0)
            left = s->due_s - s->expected_s;
        if (left > boot)
            patience = MIN(patience, left);
    }
    /* The deadline of a job that needs this one leaves it less, the longer the way there. */
    if (s->due_s < 0 && v->due.ms != NEVER.ms)
        patience =
            MIN(patience, MAX((double)(v->due.ms - v->since.ms) / 1000 - s->expected_s, boot));
    return patience;
}

double leader_used_cpus(struct leader *l)
{
    double sum = 0;
    for (int i = 0; i < l->n_teams; i++)
        sum += (double)l->teams[i].used.cpus.milli / 1000;
    return sum;
}

/* Inputs that tell of the load. */
void leader_load_inputs(struct leader *l, struct policy_value *in)
{
    in[INPUT_USED_CPUS].number = leader_used_cpus(l);
    in[INPUT_PEAK_CPUS].number = l->demand_peak;
}

static void job_inputs(struct leader *l, const struct ljob *j, const struct spec *s,
                       struct policy_value *in)
{
    leader_load_inputs(l, in);
    in[INPUT_TEAM].text = s->crew;
    in[INPUT_CLASS].text = s->lot;
    in[INPUT_PRIORITY].text = codec_urgency_word(j->urgency);
}

double leader_spare_cpus(struct leader *l)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    leader_load_inputs(l, in);
    return floor(policy_number(l->policy, POLICY_SPARE_CPUS, in));
}

/* Whether ordinary machines may be rented for a job that spot ones could run, once no more of these
 * are to be had. */
bool leader_may_rent_ordinary(struct leader *l, const struct ljob *j, const struct spec *s,
                              double backlog_s)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    job_inputs(l, j, s, in);
    in[INPUT_BACKLOG_S].number = backlog_s;
    in[INPUT_PATIENCE_S].number = j->patience_s;
    return policy_flag(l->policy, POLICY_RENT_ORDINARY, in);
}

bool leader_may_preempt(struct leader *l, const struct ljob *j, const struct spec *s)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    job_inputs(l, j, s, in);
    return policy_flag(l->policy, POLICY_PREEMPT, in);
}

double leader_idle_ms(struct leader *l, const struct lhost *h)
{
    struct policy_value in[POLICY_INPUTS] = {0};
    leader_load_inputs(l, in);
    in[INPUT_TYPE].text = h->build;
    in[INPUT_ZONE].text = h->yard;
    in[INPUT_SPOT].flag = h->loaners;
    in[INPUT_CPUS].number = (double)h->total.cpus.milli / 1000;
    return policy_number(l->policy, POLICY_IDLE_S, in) * 1000;
}
