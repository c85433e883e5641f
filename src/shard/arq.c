#include "arq.h"

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>

enum { ENOUGH = 8 };

static const double tolerated_slowdown = 0.05;

int arq_class(double share)
{
    int k = (int)ceil(share * ARQ_CLASSES - 1e-9);
    return CLAMP(k, 1, ARQ_CLASSES);
}

int arq_pool(double booked)
{
    return arq_class(1 - booked);
}

void arq_busy_add(struct arq_busy *busy, double seconds)
{
    busy->logs[busy->next] = log(MAX(seconds, 0.01));
    busy->next = (busy->next + 1) % ARQ_SAMPLES;
    busy->n = MIN(busy->n + 1, ARQ_SAMPLES);
    if (busy->n < ENOUGH)
        return;
    busy->mu = gsl_stats_mean(busy->logs, 1, busy->n);
    busy->sigma = MAX(gsl_stats_sd_m(busy->logs, 1, busy->n, busy->mu), 0.05);
}

double arq_busy_stays(const struct arq_busy *busy, double age, double t, double mean)
{
    if (busy->n < ENOUGH)
        return exp(-t / MAX(mean, 0.01));
    double now = age > 0 ? gsl_cdf_lognormal_Q(age, busy->mu, busy->sigma) : 1;
    double then = gsl_cdf_lognormal_Q(age + t, busy->mu, busy->sigma);
    return now > 1e-12 ? then / now : 0;
}

double arq_free_chance(const struct arq_busy *busy, const double *ages, int n, double t,
                       double mean)
{
    double all_stay = 1;
    for (int i = 0; i < n; i++)
        all_stay *= arq_busy_stays(busy, ages[i], t, mean);
    return n ? 1 - all_stay : 0;
}

double arq_patience(double run_s, double classify_s)
{
    return MAX(tolerated_slowdown * run_s - classify_s, 0);
}

enum arq_move arq_switch(const struct arq_terms *terms)
{
    if (terms->wait_own + terms->wait_next + terms->classify_s >= tolerated_slowdown * terms->run_s)
        return ARQ_TAKE;
    double slack = (1 + tolerated_slowdown) * terms->run_s - terms->classify_s;
    double own = (slack - terms->wait_own) * terms->quality_own * terms->chance_own;
    double next = (slack - terms->wait_next) * terms->quality_next * terms->chance_next;
    return next > own ? ARQ_SWITCH : ARQ_STAY;
}
