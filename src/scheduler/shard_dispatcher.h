/**
 * Messages from the leader to the shards, which own the machines: tasks dispatched, tasks to stop,
 * machines to cordon and machines that no longer exist. There is one channel to each node; a
 * channel sends one message at a time and repeats it until it is acknowledged.
 */
#ifndef LL_SHARD_DISPATCHER_H
#define LL_SHARD_DISPATCHER_H

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
    cJSON *returned;
    /** Names of machines on which nothing more may be placed. */
    cJSON *to_cordon;
    /** The last message, until it is acknowledged; NULL when none is outstanding. */
    cJSON *unacknowledged_message;
    bool is_request_in_flight;
    /** Since when requests have failed; 0 when the last one was answered. */
    mono_time failing_since;
    /** A full report has arrived in this epoch, so partial ones can be applied. */
    bool has_full_status;
    /** Sequence number of the last report. */
    uint64_t status_sequence;
};

/** Creates the table of channels. */
void shard_dispatcher_init(struct leader *leader);
/** Discards all channels and creates one for each node of the shard map. */
void shard_dispatcher_reset(struct leader *leader);
/** The channel of the node, created on first use. */
struct shard_channel *shard_dispatcher_ensure_channel(struct leader *leader, const char *label);
/** Appends an item to one of a channel's lists, creating the list if it is empty. Takes the item.
 */
void shard_dispatcher_append(cJSON **list, cJSON *item);

/** Queues a dispatched task for the shard that owns its machine. With is_bound the shard must place
 * it on that machine or reject it; otherwise it may choose another of its machines. */
void shard_dispatcher_queue_dispatch(struct leader *leader, const struct ledger_job *job,
                                     uint32_t index, bool is_bound);
/** Queues the stop of an allocated task and accounts for it. grace_s: how long the task may take to
 * save its state. Does nothing while the owner of the machine is unknown. */
void shard_dispatcher_queue_stop(struct leader *leader, const struct ledger_job *job,
                                 uint32_t index, struct allocation *allocation, double grace_s);
/** Queues the machines that are to be cordoned before their return, and those that were returned,
 * for the shards that own them. */
void shard_dispatcher_queue_returns(struct leader *leader);
/** Sends what is queued to all shards that have answered their last message. */
void shard_dispatcher_flush(struct leader *leader);

#endif
