/**
 * @file
 * The formulas of ARQ admission control: classes, pools, busy periods and the switch rule.
 */
#include "arq.h"

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>

/** Minimum number of samples to fit a distribution. */
enum { MIN_SAMPLES = 8 };

/** Share of its run time by which waiting may slow a task down. */
static const double TOLERATED_SLOWDOWN = 0.05;
/** Tolerance for rounding errors: a task that requests exactly the upper bound of a class belongs
 * to that class. */
static const double SHARE_EPSILON = 1e-9;
/** Lower bounds that keep logarithms and quotients finite. */
static const double MIN_BUSY_S = 0.01;
static const double MIN_LOG_DEVIATION = 0.05;
static const double MIN_PROBABILITY = 1e-12;

int arq_class(double share)
{
    int class_number = (int)ceil(share * ARQ_CLASSES - SHARE_EPSILON);
    return CLAMP(class_number, 1, ARQ_CLASSES);
}

int arq_pool(double allocated_share)
{
    return arq_class(1 - allocated_share);
}

void arq_busy_history_add(struct arq_busy_history *history, double seconds)
{
    history->log_seconds[history->next_slot] = log(MAX(seconds, MIN_BUSY_S));
    history->next_slot = (history->next_slot + 1) % ARQ_SAMPLES;
    history->sample_count = MIN(history->sample_count + 1, ARQ_SAMPLES);
    if (history->sample_count < MIN_SAMPLES)
        return;
    size_t count = (size_t)history->sample_count;
    double mean = gsl_stats_mean(history->log_seconds, 1, count);
    double deviation = gsl_stats_sd_m(history->log_seconds, 1, count, mean);
    history->log_mean = mean;
    history->log_deviation = MAX(deviation, MIN_LOG_DEVIATION);
}

/** Returns the probability that a busy period is longer than the given time. */
static double survival_probability(const struct arq_busy_history *history, double seconds)
{
    return gsl_cdf_lognormal_Q(seconds, history->log_mean, history->log_deviation);
}

double arq_stay_busy_probability(const struct arq_busy_history *history, double age_s,
                                 double within_s, double mean_s)
{
    if (history->sample_count < MIN_SAMPLES)
        return exp(-within_s / MAX(mean_s, MIN_BUSY_S));
    double survival_now = age_s > 0 ? survival_probability(history, age_s) : 1;
    double survival_then = survival_probability(history, age_s + within_s);
    return survival_now > MIN_PROBABILITY ? survival_then / survival_now : 0;
}

double arq_free_probability(const struct arq_busy_history *history, const double *ages_s,
                            int machine_count, double within_s, double mean_s)
{
    double all_stay_busy = 1;
    for (int i = 0; i < machine_count; i++)
        all_stay_busy *= arq_stay_busy_probability(history, ages_s[i], within_s, mean_s);
    return machine_count ? 1 - all_stay_busy : 0;
}

double arq_max_wait_s(double expected_run_s, double classification_s)
{
    return MAX(TOLERATED_SLOWDOWN * expected_run_s - classification_s, 0);
}

enum arq_decision arq_apply_switch_rule(const struct arq_switch_inputs *inputs)
{
    if (inputs->wait_own_s + inputs->wait_next_s + inputs->classification_s >=
        TOLERATED_SLOWDOWN * inputs->expected_run_s)
        return ARQ_TAKE_ANY;
    double slack_s = (1 + TOLERATED_SLOWDOWN) * inputs->expected_run_s - inputs->classification_s;
    double own_value =
        (slack_s - inputs->wait_own_s) * inputs->quality_own * inputs->probability_own;
    double next_value =
        (slack_s - inputs->wait_next_s) * inputs->quality_next * inputs->probability_next;
    return next_value > own_value ? ARQ_SWITCH : ARQ_STAY;
}
