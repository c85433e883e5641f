/**
 * @file
 * ARQ, "QoS-Aware Admission Control in Heterogeneous Datacenters" (Delimitrou, Bambos, Kozyrakis),
 * as docs/design.md states it: classes of tasks, pools of machines, fitted busy periods and the
 * switch rule. Pure logic without clock or I/O.
 */
#ifndef LL_ARQ_H
#define LL_ARQ_H

#include <glib.h>

enum {
    /** Classes of tasks, and as many pools of machines; both are numbered from 1. */
    ARQ_CLASSES = 10,
    /** Busy periods that a pool remembers. */
    ARQ_SAMPLES = 64,
};

/** The class of a task that asks for a share of a machine: 1 (the smallest) to ARQ_CLASSES. */
int arq_class(double share);
/** The pool of a machine of which a share is allocated: ARQ_CLASSES when it is empty. */
int arq_pool(double allocated_share);

/** The newest busy periods in one pool, and the log-normal distribution fitted to them. Zero is an
 * empty history. */
struct arq_busy_history {
    /** Natural logarithms of seconds; a ring buffer. */
    double log_seconds[ARQ_SAMPLES];
    int sample_count, next_slot;
    /** Of the fitted distribution, once there are enough samples. */
    double log_mean, log_deviation;
};

/** Adds a busy period. */
void arq_busy_history_add(struct arq_busy_history *history, double seconds);
/** The chance that a machine stays busy for within_s more.
 * @param age_s for how long it has been busy
 * @param mean_s of the exponential distribution that is assumed while there are too few samples */
double arq_stay_busy_probability(const struct arq_busy_history *history, double age_s,
                                 double within_s, double mean_s);
/** The chance that at least one of several busy machines becomes free within within_s.
 * @param ages_s for how long each has been busy */
double arq_free_probability(const struct arq_busy_history *history, const double *ages_s,
                            int machine_count, double within_s, double mean_s);

/** What the switch rule says of a task that waits. */
enum arq_decision {
    /** It waits on in its queue. */
    ARQ_STAY,
    /** It goes to the queue of the next class. */
    ARQ_SWITCH,
    /** It has waited for as long as it may, and takes any machine that fits. */
    ARQ_TAKE_ANY,
};

/** The terms of the switch rule; the paper's symbols in brackets, i the own class, j the next one.
 */
struct arq_switch_inputs {
    /** Completion time without waiting [CT]. */
    double expected_run_s;
    /** Time to classify the task [P]. */
    double classification_s;
    /** Time waited for either class [wt_i, wt_j]. */
    double wait_own_s, wait_next_s;
    /** Quality of the machines of either class [Q_i, Q_j]. */
    double quality_own, quality_next;
    /** Chance that a machine of either pool becomes free in time [Pr_i, Pr_j]. */
    double probability_own, probability_next;
};

/** The switch rule: (S - wt_i) Q_i Pr_i against the same of the next class, with S = 1.05 CT - P,
 * as long as wt_i + wt_j + P < 0.05 CT. */
enum arq_decision arq_apply_switch_rule(const struct arq_switch_inputs *inputs);
/** For how long a task may wait in all, in seconds. */
double arq_max_wait_s(double expected_run_s, double classification_s);

#endif
