/** Gang scheduling: jobs whose tasks start together or not at all. */
#ifndef LL_GANG_SCHEDULER_H
#define LL_GANG_SCHEDULER_H

#include "scheduler_internal.h"

/**
 * Dispatches all tasks of a gang at once, each bound to a machine, or none of them. Returns whether
 * it did.
 *
 * A gang that finds resources for some of its tasks only reserves these for the rest of the pass,
 * as other jobs would otherwise take them whenever they become free. Gangs reserve in the order in
 * which they are tried, so two gangs never hold what the other one needs.
 *
 * A gang some of whose tasks have run records already is completed if it has not begun to run, and
 * stopped otherwise.
 */
bool gang_scheduler_dispatch(struct leader *leader, struct ledger_job *job, struct job *job_record);

#endif
