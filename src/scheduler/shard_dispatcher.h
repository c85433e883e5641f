/* What the leader tells the shards, which own the machines: tasks dealt, tasks to be stopped, and
 * machines that are gone; one message at a time to each. leader_shard_get and leader_shard_add are
 * declared in leader_state.h. */
#ifndef LL_LEADER_SHARDS_H
#define LL_LEADER_SHARDS_H

#include "scheduler_internal.h"

/* Makes the table of shards, empty. */
void leader_shards_init(struct leader *leader);
/* Queues the deal that was booked for the machine's owner; bound: to that machine and no other. */
void leader_send_deal(struct leader *leader, struct leader_job *job, uint32_t index, bool bound);
/* Queues an order to stop a task that is on record, and counts it as halting. */
void leader_send_halt(struct leader *leader, struct leader_job *job, uint32_t index,
                      struct entry *e, double grace_s);
/* Sends what is queued to every shard that has answered its last message. */
void leader_send_all(struct leader *leader);
/* Has the owners of machines that are to be returned place nothing more on them, and tells them of
 * those that are gone. */
void leader_tell_returns(struct leader *leader);

#endif
