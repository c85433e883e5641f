/** The job queues of the teams: the order of jobs, and fair dispatching between teams. */
#ifndef LL_JOB_QUEUE_H
#define LL_JOB_QUEUE_H

#include "scheduler_internal.h"

/**
 * Returns the dispatch rank of the job, from 0 to RANK_COUNT - 1; lower ranks are dispatched first.
 * Jobs whose own or inherited priority is PRIORITY_PROD are dispatched first, then jobs within the
 * guarantee of their team, then jobs that borrow resources beyond it. The rank depends on what the
 * team uses at the moment.
 */
int job_queue_rank(struct leader *leader, const struct ledger_job *job);
/**
 * Dispatches up to `budget` tasks of jobs of this rank, by deficit round robin over the teams: in
 * each round a team receives a quantum in proportion to its guarantee. Returns the number of tasks
 * dispatched.
 */
int job_queue_dispatch_rank(struct leader *leader, int rank, int budget);
/**
 * Fills the queue of each team with the jobs that have tasks to dispatch, and sorts it. Returns
 * whether there are any such jobs.
 */
bool job_queue_collect_ready(struct leader *leader);

#endif
