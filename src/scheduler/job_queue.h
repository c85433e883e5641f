/* The queues of the teams: who comes first, and dealing by turns between the teams. */
#ifndef LL_LEADER_QUEUE_H
#define LL_LEADER_QUEUE_H

#include "scheduler_internal.h"

/* The job's class of precedence, below RANKS; the lowest goes first: services, as people wait on
 * them; then what a team was promised; then what it borrows. */
int job_queue_rank(struct leader *leader, struct ledger_job *job);
/* Deals so many tasks of a rank at most; tells how many. Deficit round robin over the teams that
 * have something in this rank: each turn a team may deal as much as its share. */
int job_queue_dispatch_rank(struct leader *leader, int rank, int budget);
/* Fills and orders the teams' queues with the jobs that have something to deal; tells whether there
 * are any. */
bool job_queue_collect_ready(struct leader *leader);

#endif
