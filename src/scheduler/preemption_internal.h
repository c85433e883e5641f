/** The search for victims of preemption, shared by the files of preemption. */
#ifndef LL_PREEMPTION_INTERNAL_H
#define LL_PREEMPTION_INTERNAL_H

#include "scheduler_internal.h"

/** A job that lacks resources, and what may be preempted for it. */
struct preemptor {
    struct ledger_job *job;
    struct job *job_record;
    /** Tasks of lower priority. */
    bool may_stop_lower_priority;
    /** Tasks that other teams run beyond their guarantee, as the job is within its own. */
    bool may_stop_borrowed;
    /** Only on machines that have the job's image cached. */
    bool needs_image;
};

/** A task that may be preempted. */
struct preemption_victim {
    struct ledger_job *job;
    uint32_t index;
    struct allocation *allocation;
};

/** A machine on which tasks may be preempted, and at what cost. */
struct preemption_candidate {
    struct ledger_machine *machine;
    /** Freed by preemption in this call, and not yet counted for a task of the preemptor. */
    struct resources freed_resources;
    /** Weighted CPU time lost for one more task of the preemptor; negative when impossible. */
    double lost_work;
};

/** Whether anything is allocated that the preemptor might stop. Cheap, and may be wrong when true.
 */
bool preemption_has_possible_victims(struct leader *leader, const struct preemptor *preemptor);
/** The tasks on a machine that may be stopped for the preemptor: an array of struct
 * preemption_victim, youngest first, that the caller frees. */
GArray *preemption_find_victims(struct leader *leader, const struct ledger_machine *machine,
                                const struct preemptor *preemptor);
/** Updates the candidate's lost_work. */
void preemption_estimate_lost_work(struct leader *leader, const struct preemptor *preemptor,
                                   struct preemption_candidate *candidate);
/** All machines on which one task of the preemptor could be placed after preemption: an array of
 * struct preemption_candidate that the caller frees. */
GArray *preemption_find_candidates(struct leader *leader, const struct preemptor *preemptor);
/** The candidate with the least lost work in a zone that the job may use, or NULL. */
struct preemption_candidate *preemption_find_cheapest(struct leader *leader,
                                                      const struct preemptor *preemptor,
                                                      GArray *candidates);

#endif
