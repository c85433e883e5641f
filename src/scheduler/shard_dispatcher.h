/* What the leader tells the shards, which own the machines: tasks dealt, tasks to be stopped, and
 * machines that are gone; one message at a time to each. shard_dispatcher_channel and
 * shard_dispatcher_append are declared in scheduler_internal.h. */
#ifndef LL_LEADER_SHARDS_H
#define LL_LEADER_SHARDS_H

#include "scheduler_internal.h"

/* Makes the table of shards, empty. */
void shard_dispatcher_init(struct leader *leader);
/* Queues the deal that was booked for the machine's owner; bound: to that machine and no other. */
void shard_dispatcher_queue_dispatch(struct leader *leader, struct ledger_job *job, uint32_t index,
                                     bool is_bound);
/* Queues an order to stop a task that is on record, and counts it as halting. */
void shard_dispatcher_queue_stop(struct leader *leader, struct ledger_job *job, uint32_t index,
                                 struct allocation *allocation, double grace_s);
/* Sends what is queued to every shard that has answered its last message. */
void shard_dispatcher_flush(struct leader *leader);
/* Has the owners of machines that are to be returned place nothing more on them, and tells them of
 * those that are gone. */
void shard_dispatcher_queue_returns(struct leader *leader);

#endif
