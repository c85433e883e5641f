/** The teams' job queues: which job comes first, and fair dispatching between the teams. */
#ifndef LL_JOB_QUEUE_H
#define LL_JOB_QUEUE_H

#include "scheduler_internal.h"

/**
 * The job's precedence rank, from 0 to RANK_COUNT - 1; lower ranks are dispatched first. Services
 * come first, then jobs within their team's guarantee, then those that borrow resources beyond it.
 * The rank changes as the team's use changes.
 */
int job_queue_rank(struct leader *leader, const struct ledger_job *job);
/** Dispatches up to `budget` tasks of jobs of this rank, by deficit round robin over the teams: in
 * each turn a team receives credit in proportion to its guarantee. Returns the number of tasks
 * dispatched. */
int job_queue_dispatch_rank(struct leader *leader, int rank, int budget);
/** Fills the teams' queues with all jobs that have tasks to dispatch and sorts them. Returns
 * whether there are any. */
bool job_queue_collect_ready(struct leader *leader);

#endif
