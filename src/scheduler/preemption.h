/* Making room for jobs that find none: by stopping work of lower priority, or what other teams run
 * above their guarantee, and by moving replicas of services out of a zone. */
#ifndef LL_LEADER_PREEMPT_H
#define LL_LEADER_PREEMPT_H

#include "scheduler_internal.h"

/* Makes room for tasks that fit nowhere, by stopping work of lower priority where that loses the
 * least. What is stopped is off the record a moment later, and ranks behind. image: only on
 * machines that have the job's image. */
void preemption_free_resources(struct leader *leader, struct ledger_job *job,
                               struct job *job_record, bool needs_image);
/* Whether a job takes only machines that have its image for now. People wait on a service, and a
 * fetch takes longer than to stop other work where the image is: for a moment only such machines
 * will do, if there are any. */
bool preemption_waits_for_image(struct leader *leader, struct ledger_job *job,
                                struct job *job_record);

#endif
