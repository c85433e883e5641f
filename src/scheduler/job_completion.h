/** The end of jobs: the leader records that they are done or cancelled. */
#ifndef LL_JOB_COMPLETION_H
#define LL_JOB_COMPLETION_H

#include "scheduler_internal.h"

/** Starts recording the end of a job whose tasks are all completed, or that was cancelled and has
 * no run records. Does nothing for other jobs, or while the end is being recorded; if that fails,
 * a later call tries again. */
void job_completion_check(struct leader *leader, struct ledger_job *job);
/** Whether the ledger can drop the job: its end is recorded and it has no run records. */
bool job_completion_may_drop_job(struct leader *leader, const struct ledger_job *job);

#endif
