#include "arq.h"

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>

enum { MIN_SAMPLES = 8 };

static const double tolerated_slowdown = 0.05;

int arq_class(double share)
{
    int class_number = (int)ceil(share * ARQ_CLASSES - 1e-9);
    return CLAMP(class_number, 1, ARQ_CLASSES);
}

int arq_pool(double allocated_share)
{
    return arq_class(1 - allocated_share);
}

void arq_busy_add(struct arq_busy_history *history, double seconds)
{
    history->log_seconds[history->next_slot] = log(MAX(seconds, 0.01));
    history->next_slot = (history->next_slot + 1) % ARQ_SAMPLES;
    history->sample_count = MIN(history->sample_count + 1, ARQ_SAMPLES);
    if (history->sample_count < MIN_SAMPLES)
        return;
    history->log_mean = gsl_stats_mean(history->log_seconds, 1, history->sample_count);
    history->log_deviation = MAX(
        gsl_stats_sd_m(history->log_seconds, 1, history->sample_count, history->log_mean), 0.05);
}

double arq_stay_chance(const struct arq_busy_history *history, double age_s, double within_s,
                       double mean_s)
{
    if (history->sample_count < MIN_SAMPLES)
        return exp(-within_s / MAX(mean_s, 0.01));
    double chance_now =
        age_s > 0 ? gsl_cdf_lognormal_Q(age_s, history->log_mean, history->log_deviation) : 1;
    double chance_then =
        gsl_cdf_lognormal_Q(age_s + within_s, history->log_mean, history->log_deviation);
    return chance_now > 1e-12 ? chance_then / chance_now : 0;
}

double arq_free_chance(const struct arq_busy_history *history, const double *ages_s,
                       int machine_count, double within_s, double mean_s)
{
    double all_stay = 1;
    for (int i = 0; i < machine_count; i++)
        all_stay *= arq_stay_chance(history, ages_s[i], within_s, mean_s);
    return machine_count ? 1 - all_stay : 0;
}

double arq_patience_s(double expected_run_s, double classification_s)
{
    return MAX(tolerated_slowdown * expected_run_s - classification_s, 0);
}

enum arq_move arq_switch(const struct arq_terms *terms)
{
    if (terms->wait_own_s + terms->wait_next_s + terms->classification_s >=
        tolerated_slowdown * terms->expected_run_s)
        return ARQ_TAKE_ANY;
    double slack_s = (1 + tolerated_slowdown) * terms->expected_run_s - terms->classification_s;
    double own_value = (slack_s - terms->wait_own_s) * terms->quality_own * terms->chance_own;
    double next_value = (slack_s - terms->wait_next_s) * terms->quality_next * terms->chance_next;
    return next_value > own_value ? ARQ_SWITCH : ARQ_STAY;
}
