/** Records in the key-value store that jobs are done or cancelled. */
#ifndef LL_JOB_COMPLETION_H
#define LL_JOB_COMPLETION_H

#include "scheduler_internal.h"

/**
 * Starts recording the end of a job whose tasks are all completed, or that was cancelled and has no
 * run records. Does nothing for other jobs, or while the end is being recorded. If recording fails,
 * a later call retries it.
 */
void job_completion_check(struct leader *leader, struct ledger_job *job);
/**
 * Returns whether the replica shows the job together with its run records, so that the leader may
 * decide that tasks of the job will not start any more, or have ended.
 */
bool job_completion_is_decidable(const struct leader *leader, const struct job *job_record);
/**
 * Returns whether the ledger can drop the job: its end is recorded, and it has no run records.
 */
bool job_completion_may_drop_job(struct leader *leader, const struct ledger_job *job);

#endif
