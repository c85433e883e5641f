/* The ends of jobs: the leader stores that they are done, or cancelled. */
#ifndef LL_LEADER_JOB_END_H
#define LL_LEADER_JOB_END_H

#include "scheduler_internal.h"

/* Stores the end of a job whose tasks are all done, or that was cancelled and of which nothing is
 * on record. */
void job_completion_check(struct leader *leader, struct ledger_job *job);
/* Whether nothing of the job is left to be kept: it ended, and all know. */
bool job_completion_is_over(struct leader *leader, struct ledger_job *job);

#endif
