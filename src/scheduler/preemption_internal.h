/** Search for the tasks to preempt, shared by the source files of preemption. */
#ifndef LL_PREEMPTION_INTERNAL_H
#define LL_PREEMPTION_INTERNAL_H

#include "scheduler_internal.h"

/** A job that lacks resources, and which tasks may be preempted for it. */
struct preemptor {
    struct ledger_job *job;
    struct job *job_record;
    /** Whether it may stop tasks of lower priority. */
    bool may_stop_lower_priority;
    /**
     * Whether it may stop tasks that other teams run beyond their guarantee. This requires that the
     * job is within the guarantee of its own team.
     */
    bool may_stop_borrowed;
    /** Whether tasks are preempted only on machines that have the job's image cached. */
    bool needs_image;
};

/** A task that may be preempted. */
struct preemption_victim {
    struct ledger_job *job;
    uint32_t index;
    struct allocation *allocation;
};

/** A machine on which tasks may be preempted, with the cost of doing so. */
struct preemption_candidate {
    struct ledger_machine *machine;
    /**
     * Resources freed by preemption in the current call that are not yet assigned to a task of the
     * preemptor.
     */
    struct resources freed_resources;
    /**
     * Weighted CPU time that would be lost to make room for one more task of the preemptor;
     * negative if that is impossible.
     */
    double lost_work;
};

/**
 * Returns whether any allocated task might be preempted for the preemptor. A cheap check that may
 * return true although there are no victims, but never the opposite.
 */
bool preemption_has_possible_victims(struct leader *leader, const struct preemptor *preemptor);
/**
 * Returns the tasks on the machine that may be stopped for the preemptor, most recently allocated
 * first, as an array of struct preemption_victim that the caller frees.
 */
GArray *preemption_find_victims(struct leader *leader, const struct ledger_machine *machine,
                                const struct preemptor *preemptor);
/** Recomputes the lost_work of the candidate. */
void preemption_estimate_lost_work(struct leader *leader, const struct preemptor *preemptor,
                                   struct preemption_candidate *candidate);
/**
 * Returns all machines on which preemption could make room for a task of the preemptor, as an array
 * of struct preemption_candidate that the caller frees.
 */
GArray *preemption_find_candidates(struct leader *leader, const struct preemptor *preemptor);
/**
 * Returns the candidate with the least lost work in a zone that the job may use, or NULL if there
 * is none.
 */
struct preemption_candidate *preemption_find_cheapest(struct leader *leader,
                                                      const struct preemptor *preemptor,
                                                      GArray *candidates);

#endif
