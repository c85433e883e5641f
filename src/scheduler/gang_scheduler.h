/** Gang scheduling, for jobs whose tasks are started all together or not at all. */
#ifndef LL_GANG_SCHEDULER_H
#define LL_GANG_SCHEDULER_H

#include "scheduler_internal.h"

/**
 * Dispatches either all tasks of a gang, each bound to a machine, or none of them. Returns whether
 * it dispatched them.
 *
 * A gang for which there are resources for only some of its tasks reserves these resources for the
 * rest of the pass, because other jobs would otherwise take them whenever they become free. Gangs
 * make reservations one after the other in queue order, so two gangs never deadlock by each holding
 * resources that the other one needs.
 *
 * If some tasks of the gang already have run records, the missing tasks are dispatched if the gang
 * has not begun to run; otherwise the remaining tasks are stopped.
 */
bool gang_scheduler_dispatch(struct leader *leader, struct ledger_job *job, struct job *job_record);

#endif
