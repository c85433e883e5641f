/* What the leader tells the owners of machines: tasks dealt, and tasks to be stopped. */
#ifndef LL_LEADER_SHARDS_H
#define LL_LEADER_SHARDS_H

#include "leader_state.h"

/* Queues the deal that was booked for the machine's owner; bound: to that machine and no other. */
void leader_send_deal(struct leader *leader, struct leader_job *job, uint32_t index, bool bound);
/* Queues an order to stop a task that is on record, and counts it as halting. */
void leader_send_halt(struct leader *leader, struct leader_job *job, uint32_t index,
                      struct entry *e, double grace_s);

#endif
