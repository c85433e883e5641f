/* What the leader tells the shards, which own the machines: tasks dealt, tasks to be stopped, and
 * machines that are gone; one message at a time to each. */
#ifndef LL_LEADER_SHARDS_H
#define LL_LEADER_SHARDS_H

#include "scheduler_internal.h"

/** The message channel to the shard of one node, and the state of that shard's reports. */
struct shard_channel {
    /** Label of the node. */
    char *label;
    /** Sequence number of the last message. */
    uint64_t message_sequence;
    /** Lists for the next message; NULL while empty. */
    cJSON *dispatches;
    cJSON *stops;
    /** Names of machines that no longer exist. */
    cJSON *departed;
    /** Names of machines on which nothing more may be placed. */
    cJSON *cordons;
    /** The last message, until it is acknowledged; NULL when none is outstanding. */
    cJSON *unacknowledged;
    bool is_request_in_flight;
    /** Since when requests have failed; 0 when the last one was answered. */
    mono_time unanswered_since;
    /** A full report has arrived in this epoch, so partial ones can be applied. */
    bool has_full_status;
    /** Sequence number of the last report. */
    uint64_t status_sequence;
};

/* Makes the table of shards, empty. */
void shard_dispatcher_init(struct leader *leader);
/** Discards all channels and creates one for each node of the shard map. */
void shard_dispatcher_reset(struct leader *leader);
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
/** The channel of the node, created on first use. */
struct shard_channel *shard_dispatcher_channel(struct leader *leader, const char *label);
/** Appends an item to one of a channel's lists, creating the list if it is empty. */
void shard_dispatcher_append(cJSON **list, cJSON *item);

#endif
