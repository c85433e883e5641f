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

void arq_busy_add(struct arq_busy *b, double seconds)
{
    b->logs[b->next] = log(MAX(seconds, 0.01));
    b->next = (b->next + 1) % ARQ_SAMPLES;
    b->n = MIN(b->n + 1, ARQ_SAMPLES);
    if (b->n < ENOUGH)
        return;
    b->mu = gsl_stats_mean(b->logs, 1, b->n);
    b->sigma = MAX(gsl_stats_sd_m(b->logs, 1, b->n, b->mu), 0.05);
}

double arq_busy_stays(const struct arq_busy *b, double age, double t, double mean)
{
    if (b->n < ENOUGH)
        return exp(-t / MAX(mean, 0.01));
    double now = age > 0 ? gsl_cdf_lognormal_Q(age, b->mu, b->sigma) : 1;
    double then = gsl_cdf_lognormal_Q(age + t, b->mu, b->sigma);
    return now > 1e-12 ? then / now : 0;
}

double arq_free_chance(const struct arq_busy *b, const double *ages, int n, double t, double mean)
{
    double all_stay = 1;
    for (int i = 0; i < n; i++)
        all_stay *= arq_busy_stays(b, ages[i], t, mean);
    return n ? 1 - all_stay : 0;
}

double arq_patience(double run_s, double classify_s)
{
    return MAX(tolerated_slowdown * run_s - classify_s, 0);
}

enum arq_move arq_switch(const struct arq_terms *t)
{
    if (t->wait_own + t->wait_next + t->classify_s >= tolerated_slowdown * t->run_s)
        return ARQ_TAKE;
    double slack = (1 + tolerated_slowdown) * t->run_s - t->classify_s;
    double own = (slack - t->wait_own) * t->quality_own * t->chance_own;
    double next = (slack - t->wait_next) * t->quality_next * t->chance_next;
    return next > own ? ARQ_SWITCH : ARQ_STAY;
}
