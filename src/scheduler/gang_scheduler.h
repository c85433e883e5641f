/* Gangs: jobs whose tasks start together or not at all. */
#ifndef LL_LEADER_GANG_H
#define LL_LEADER_GANG_H

#include "scheduler_internal.h"

/* Deals all tasks of a gang at once, each to a machine where it has room, or none; tells whether it
 * did. One that finds no room for all of them holds what there is for this pass, or others would
 * take it as soon as it is free and the gang would never find enough at once. Whoever comes first
 * holds first, so no two gangs hold what the other one needs. A gang that is on record in part is
 * completed or stopped. */
bool gang_scheduler_dispatch(struct leader *leader, struct ledger_job *job, struct job *job_record);

#endif
