/**
 * @file
 * Cancellations of jobs that a node's replica may not show yet.
 *
 * Once a cancellation has been confirmed to a user, the tasks of the job have to stop within a
 * bound, whatever the key-value store does. So a node remembers the cancellations that it confirmed
 * to users or may have committed ("local"), shares them with the other nodes, and keeps what these
 * share with it
 * ("remote"). See "Nodes that answer for one another" in docs/safety.md.
 */
#ifndef LL_CANCEL_BROADCAST_H
#define LL_CANCEL_BROADCAST_H

#include "node_rpc.h"
#include "peer_messages.h"
#include "replica.h"
#include "settings.h"

struct cancel_broadcast;

/** The message to the listener when a job's cancellation becomes known; its body is a job_id. */
enum { MSG_CANCELLED = 101 };

/** What is known of a job's cancellation beyond what the replica shows. */
enum cancel_status {
    /** Nothing. */
    CANCEL_NONE,
    /** A transaction may have cancelled it, or may yet do so. */
    CANCEL_POSSIBLE,
    /** It is on record in the key-value store. */
    CANCEL_COMMITTED,
};

/** Creates the broadcast and registers its message with the RPC. */
struct cancel_broadcast *cancel_broadcast_new(struct loop *loop, struct node_rpc *rpc,
                                              struct replica *replica,
                                              const struct settings *settings);
/** Frees it with all that it remembers. */
void cancel_broadcast_free(struct cancel_broadcast *broadcast);

/** Sends MSG_CANCELLED to this actor from now on; there is one listener. */
void cancel_broadcast_set_listener(struct cancel_broadcast *broadcast, struct actor *listener);

/** Returns what this node knows of a cancellation of the job. */
enum cancel_status cancel_broadcast_get_status(const struct cancel_broadcast *broadcast,
                                               job_id job);

/** The earliest time at which the job's cancellation can have been confirmed to a user. */
mono_time cancel_broadcast_get_earliest_confirmation(const struct cancel_broadcast *broadcast,
                                                     job_id job);

/* ---- cancellations of this node's users ---- */

/** Notes that a transaction which cancels the job is being sent. */
void cancel_broadcast_begin_txn(struct cancel_broadcast *broadcast, job_id job);

/**
 * Notes the outcome of that transaction. If it is unknown the cancellation stays possible, as the
 * transaction may be committed later still. If it is committed it may be confirmed to the user:
 * this includes cancel_broadcast_confirm().
 */
void cancel_broadcast_finish_txn(struct cancel_broadcast *broadcast, job_id job,
                                 const struct txn_outcome *outcome);

/** Notes that the cancellation, on record since that revision, is confirmed to a user. */
void cancel_broadcast_confirm(struct cancel_broadcast *broadcast, job_id job,
                              revision committed_revision);

/**
 * Announces a cancellation to the other nodes, before it is confirmed to the user. Calls `done`
 * once all of them know, so that none starts a task of the job any more, or after a short timeout.
 */
void cancel_broadcast_announce(struct cancel_broadcast *broadcast, job_id job,
                               revision committed_revision, void (*callback)(void *arg),
                               void *callback_arg);

/* ---- exchange with other nodes, for the failure detector ---- */

/** The newest revision of all cancellations that this node confirmed to users. */
revision cancel_broadcast_get_newest_revision(const struct cancel_broadcast *broadcast);

/**
 * Appends (struct cancel_notice) what a node whose replica is at that revision may not know.
 * Returns whether that is everything: the number in one list is limited, and the oldest
 * cancellations are forgotten.
 */
bool cancel_broadcast_collect_notices(struct cancel_broadcast *broadcast, revision replica_revision,
                                      GArray *notices);

/** Takes a cancellation that another node has shared. */
void cancel_broadcast_add_remote(struct cancel_broadcast *broadcast,
                                 const struct cancel_notice *notice);

/** Forgets remote cancellations that the replica shows, or that can no longer be committed. */
void cancel_broadcast_expire_remote(struct cancel_broadcast *broadcast);

/**
 * The time before which no node can have told a user of a cancellation that this node does not know
 * of, as all of them have shared theirs since; 0: unknown.
 */
mono_time cancel_broadcast_get_complete_until(const struct cancel_broadcast *broadcast);
/** Sets the time that cancel_broadcast_get_complete_until() returns. */
void cancel_broadcast_set_complete_until(struct cancel_broadcast *broadcast, mono_time until);

#endif
