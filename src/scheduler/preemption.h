/**
 * Preemption: frees resources for a job by stopping tasks of lower priority, or tasks that other
 * teams run beyond their guarantee.
 */
#ifndef LL_PREEMPTION_H
#define LL_PREEMPTION_H

#include "scheduler_internal.h"

/**
 * Stops tasks of other jobs so that tasks of this job can be placed, preferring machines where the
 * least work is lost. Resources become free once the run records of the stopped tasks are removed;
 * these tasks are queued again. Does nothing if the last attempt for the job was less than
 * PREEMPTION_INTERVAL_MS ago. With needs_image set, tasks are stopped only on machines that have
 * the job's image cached.
 */
void preemption_free_resources(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, bool needs_image);
/**
 * Returns whether the job should, for now, be placed only on machines that have its image cached.
 * This applies to a job whose own priority is PRIORITY_PROD, for a short time after it becomes
 * eligible, if on some machine with the image preemption could free enough resources: users are
 * waiting for such a job, and fetching the image takes longer than preempting tasks.
 */
bool preemption_should_wait_for_image(struct leader *leader, const struct ledger_job *job,
                                      const struct job *job_record);

#endif
