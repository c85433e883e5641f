/**
 * Messages from the leader to the shards, which own the machines: dispatched tasks, tasks to stop,
 * machines to cordon and machines that were returned. There is one channel to the shard of each
 * node. A channel has at most one outstanding message, which it sends again until the shard
 * acknowledges it.
 */
#ifndef LL_SHARD_DISPATCHER_H
#define LL_SHARD_DISPATCHER_H

#include "dispatch_backlog.h"
#include "retry_backoff.h"
#include "scheduler_internal.h"

/** The message channel to the shard of one node, and the state of the shard's status reports. */
struct shard_channel {
    /** Label of the node. */
    char *label;
    /** Sequence number of the last message. */
    uint64_t message_sequence;
    /** Dispatched tasks and tasks to stop, for the next messages. */
    struct dispatch_backlog backlog;
    /** Names of returned machines for the next message; NULL while there are none. */
    cJSON *returned;
    /** Names of machines to cordon, for the next message; NULL while there are none. */
    cJSON *to_cordon;
    /** The last message until the shard acknowledges it; NULL if none is outstanding. */
    cJSON *unacknowledged_message;
    bool is_request_in_flight;
    /** A message that failed is not sent again before this time. */
    mono_time retry_at;
    struct retry_backoff retry_backoff;
    /**
     * When requests began to fail, or when the node was last excluded because of that; 0 if the
     * last request succeeded.
     */
    mono_time failing_since;
    /** A full status report has arrived in this epoch, so partial ones can be applied. */
    bool has_full_status;
    /** Sequence number of the last status report. */
    uint64_t status_sequence;
};

/** Creates the table of channels. */
void shard_dispatcher_init(struct leader *leader);
/** Discards all channels and creates one for each node of the shard map. */
void shard_dispatcher_reset(struct leader *leader);
/** Returns the channel of the node, which is created if it does not exist. */
struct shard_channel *shard_dispatcher_ensure_channel(struct leader *leader, const char *label);
/**
 * Appends an item to one of a channel's lists, which is created if it is NULL. The list takes
 * ownership of the item.
 */
void shard_dispatcher_append(cJSON **list, cJSON *item);

/**
 * Queues a dispatched task for the shard that owns its machine. If `is_bound` is set, the shard
 * must place the task on that machine or reject it; otherwise it may choose another of its
 * machines.
 */
void shard_dispatcher_queue_dispatch(struct leader *leader, const struct ledger_job *job,
                                     uint32_t index, bool is_bound);
/**
 * Queues the stop of an allocated task and accounts for it in the ledger. `grace_s` is the time
 * that the task has to save its state. Does nothing while the owner of the machine is unknown.
 */
void shard_dispatcher_queue_stop(struct leader *leader, const struct ledger_job *job,
                                 struct allocation *allocation, double grace_s);
/**
 * Queues the machines to cordon before their return, and the machines that were returned, for the
 * shards that own them.
 */
void shard_dispatcher_queue_returns(struct leader *leader);
/**
 * Sends a message to every shard that has no request in flight: the outstanding message again, or
 * the first of the queued items. The others follow when it is acknowledged.
 */
void shard_dispatcher_flush(struct leader *leader);

#endif
