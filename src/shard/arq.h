/* ARQ, as docs/design.md states it: classes, pools, fitted busy periods and the switch rule. Pure
 * logic: no clock, no I/O. */
#ifndef LL_ARQ_H
#define LL_ARQ_H

#include <glib.h>

enum { ARQ_CLASSES = 10, ARQ_SAMPLES = 64 };

/* The class of a task that asks this share of a machine: 1 (least) to ARQ_CLASSES. */
int arq_class(double share);
/* The pool that a machine is in while this share of it is booked: ARQ_CLASSES when it is empty. */
int arq_pool(double allocated_share);

/* The busy periods seen lately in one pool, and what was fitted to them. */
struct arq_busy_history {
    double log_seconds[ARQ_SAMPLES];
    int sample_count, next_slot;
    double log_mean, log_deviation; /* of a log-normal, once there are enough */
};

void arq_busy_add(struct arq_busy_history *history, double seconds);
/* Chance that a machine that has been busy for age stays so for t more. With too few samples, busy
 * periods are taken for exponential with the mean given. */
double arq_stay_chance(const struct arq_busy_history *history, double age_s, double within_s,
                       double mean_s);
/* Chance that at least one of the machines, busy for these ages, is free within t. */
double arq_free_chance(const struct arq_busy_history *history, const double *ages_s,
                       int machine_count, double within_s, double mean_s);

enum arq_move {
    ARQ_STAY,
    ARQ_SWITCH,   /* to the next class */
    ARQ_TAKE_ANY, /* the slack is used up: whatever fits */
};

struct arq_terms {
    double expected_run_s;          /* CT */
    double classification_s;        /* P */
    double wait_own_s, wait_next_s; /* wt_i, wt_j */
    double quality_own, quality_next;
    double chance_own, chance_next; /* Pr_i[t], Pr_j[t] */
};

/* (S - wt_i) Q_i Pr_i against the same of the next class, S = 1.05 CT - P, as long as
 * wt_i + wt_j + P < 0.05 CT. */
enum arq_move arq_switch(const struct arq_terms *terms);
/* How long a task may wait in all. */
double arq_patience_s(double expected_run_s, double classification_s);

#endif
