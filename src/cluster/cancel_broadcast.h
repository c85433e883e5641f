/**
 * @file
 * Shares cancellations of jobs that the nodes' replicas may not show yet.
 *
 * Once a cancellation has been confirmed to a user, the tasks of the job must stop within a bounded
 * time, even if the key-value store is unavailable. So a node remembers the cancellations that it
 * confirmed to users or may have committed ("local"), shares them with the other nodes, and keeps
 * those that other nodes share with it ("remote"). See "Nodes that answer for one another" in
 * docs/safety.md.
 */
#ifndef LL_CANCEL_BROADCAST_H
#define LL_CANCEL_BROADCAST_H

#include "node_rpc.h"
#include "peer_messages.h"
#include "replica.h"
#include "settings.h"

struct cancel_broadcast;

/** Message to the listener when a job's cancellation becomes known; its body is a job_id. */
enum { MSG_CANCELLED = 101 };

/** What this node knows about the cancellation of a job, independently of its replica. */
enum cancel_status {
    /** No cancellation is known. */
    CANCEL_NONE,
    /** A transaction may have cancelled the job, or may still do so. */
    CANCEL_POSSIBLE,
    /** The cancellation is committed in the key-value store. */
    CANCEL_COMMITTED,
};

/** Creates a cancel broadcast and registers its RPC handler. */
struct cancel_broadcast *cancel_broadcast_new(struct loop *loop, struct node_rpc *rpc,
                                              struct replica *replica,
                                              const struct settings *settings);
/** Frees the broadcast and all cancellations that it remembers. */
void cancel_broadcast_free(struct cancel_broadcast *broadcast);

/** Sets the only listener, to which MSG_CANCELLED is sent from now on. */
void cancel_broadcast_set_listener(struct cancel_broadcast *broadcast, struct actor *listener);

/** Returns what this node knows about a cancellation of the job, independently of its replica. */
enum cancel_status cancel_broadcast_get_status(const struct cancel_broadcast *broadcast,
                                               job_id job);

/** Returns the earliest time at which the job's cancellation can have been confirmed to a user. */
mono_time cancel_broadcast_get_earliest_confirmation(const struct cancel_broadcast *broadcast,
                                                     job_id job);

/* ---- cancellations requested by users of this node ---- */

/** Records that a transaction which cancels the job is being sent. */
void cancel_broadcast_begin_txn(struct cancel_broadcast *broadcast, job_id job);

/**
 * Records the outcome of the transaction that cancel_broadcast_begin_txn() recorded.
 *
 * If the outcome is unknown, the cancellation stays possible, because the transaction may still
 * commit. If the transaction committed, the cancellation may be confirmed to the user, and this
 * function calls cancel_broadcast_confirm().
 */
void cancel_broadcast_finish_txn(struct cancel_broadcast *broadcast, job_id job,
                                 const struct txn_outcome *outcome);

/** Records that a cancellation, committed at the given revision, is being confirmed to a user. */
void cancel_broadcast_confirm(struct cancel_broadcast *broadcast, job_id job,
                              revision committed_revision);

/**
 * Announces a cancellation to the other nodes, before it is confirmed to the user. Calls `callback`
 * once all of them have acknowledged it, so that none starts a task of the job any more, or after a
 * short timeout.
 */
void cancel_broadcast_announce(struct cancel_broadcast *broadcast, job_id job,
                               revision committed_revision, void (*callback)(void *arg),
                               void *callback_arg);

/* ---- exchange with other nodes, for the failure detector ---- */

/** Returns the newest revision of all cancellations that this node confirmed to users. */
revision cancel_broadcast_get_newest_revision(const struct cancel_broadcast *broadcast);

/**
 * Appends the cancellations (struct cancel_notice) that a node whose replica is at the given
 * revision may lack. Returns whether the list is complete: its length is limited, and the oldest
 * cancellations are evicted from memory.
 */
bool cancel_broadcast_collect_notices(struct cancel_broadcast *broadcast, revision replica_revision,
                                      GArray *notices);

/** Adds a cancellation that another node has shared. */
void cancel_broadcast_add_remote(struct cancel_broadcast *broadcast,
                                 const struct cancel_notice *notice);

/** Removes remote cancellations that the replica shows, or that can no longer be committed. */
void cancel_broadcast_expire_remote(struct cancel_broadcast *broadcast);

/**
 * Returns the time up to which this node knows every cancellation that any node confirmed to a
 * user, because all nodes have shared theirs since; 0 if unknown.
 */
mono_time cancel_broadcast_get_complete_until(const struct cancel_broadcast *broadcast);
/** Sets the time that cancel_broadcast_get_complete_until() returns. */
void cancel_broadcast_set_complete_until(struct cancel_broadcast *broadcast, mono_time until);

#endif
