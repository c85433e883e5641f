/**
 * @file
 * ARQ admission control, from "QoS-Aware Admission Control in Heterogeneous Datacenters"
 * (Delimitrou, Bambos, Kozyrakis): classes of tasks, pools of machines, distributions fitted to
 * busy periods, and the switch rule. docs/design.md describes its use here. Pure functions without
 * clock or I/O.
 */
#ifndef LL_ARQ_H
#define LL_ARQ_H

#include <glib.h>

enum {
    /** Number of task classes and of machine pools, both numbered from 1. */
    ARQ_CLASSES = 10,
    /** Number of busy periods kept for each pool. */
    ARQ_SAMPLES = 64,
};

/** Returns the class of a task that requests the given share of a machine, from 1 (the smallest) to
 * ARQ_CLASSES. */
int arq_class(double share);
/** Returns the pool of a machine with the given share allocated; ARQ_CLASSES if it is empty. */
int arq_pool(double allocated_share);

/** The most recent busy periods of a pool, and the log-normal distribution fitted to them. An
 * all-zero value is an empty history. */
struct arq_busy_history {
    /** Ring buffer of the natural logarithms of the periods in seconds. */
    double log_seconds[ARQ_SAMPLES];
    int sample_count, next_slot;
    /** Parameters of the fitted distribution, valid once there are enough samples. */
    double log_mean, log_deviation;
};

/** Adds a busy period to the history and fits the distribution again. */
void arq_busy_history_add(struct arq_busy_history *history, double seconds);
/** Returns the probability that a busy machine stays busy for another within_s seconds.
 * @param age_s how long it has been busy
 * @param mean_s mean of the exponential distribution that is assumed while there are too few
 *     samples */
double arq_stay_busy_probability(const struct arq_busy_history *history, double age_s,
                                 double within_s, double mean_s);
/** Returns the probability that at least one of several busy machines becomes free within within_s
 * seconds.
 * @param ages_s how long each machine has been busy
 * @param mean_s as in arq_stay_busy_probability() */
double arq_free_probability(const struct arq_busy_history *history, const double *ages_s,
                            int machine_count, double within_s, double mean_s);

/** Result of the switch rule for a waiting task. */
enum arq_decision {
    /** The task stays in its queue. */
    ARQ_STAY,
    /** The task moves to the queue of the next class. */
    ARQ_SWITCH,
    /** The task has waited for the maximum time, and takes any machine that fits. */
    ARQ_TAKE_ANY,
};

/** Inputs of the switch rule, with the paper's symbols in brackets: i is the task's own class, j
 * the next class. */
struct arq_switch_inputs {
    /** Completion time without waiting [CT]. */
    double expected_run_s;
    /** Time to classify the task [P]. */
    double classification_s;
    /** Time waited in the queue of each class [wt_i, wt_j]. */
    double wait_own_s, wait_next_s;
    /** Quality of the machines of each class [Q_i, Q_j]. */
    double quality_own, quality_next;
    /** Probability that a machine of each pool becomes free in time [Pr_i, Pr_j]. */
    double probability_own, probability_next;
};

/** Applies the switch rule. With S = 1.05 CT - P, compares (S - wt_i) Q_i Pr_i with the same value
 * for the next class, as long as wt_i + wt_j + P < 0.05 CT. */
enum arq_decision arq_apply_switch_rule(const struct arq_switch_inputs *inputs);
/** Returns the longest total time that a task may wait, in seconds. */
double arq_max_wait_s(double expected_run_s, double classification_s);

#endif
