/**
 * Preemption: freeing resources for a job by stopping tasks of lower priority, or tasks that other
 * teams run beyond their guarantee.
 */
#ifndef LL_PREEMPTION_H
#define LL_PREEMPTION_H

#include "scheduler_internal.h"

/**
 * Stops tasks of other jobs where the least work is lost, so that tasks of this job can be placed.
 * The resources become free once the run records are removed; the stopped tasks are queued again.
 * Does nothing within PREEMPTION_INTERVAL_MS of the last attempt. With needs_image only on machines
 * that have the job's image cached.
 */
void preemption_free_resources(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, bool needs_image);
/**
 * Whether the job should, for now, be placed only on machines that have its image cached. This
 * holds for the first moments of a service, if there are such machines where tasks could be
 * preempted: users wait for it, and fetching the image takes longer than preempting.
 */
bool preemption_should_wait_for_image(struct leader *leader, const struct ledger_job *job,
                                      const struct job *job_record);

#endif
