/**
 * @file
 * Manages this node's membership in the cluster: its lease, its key, and whether it leads.
 *
 * Every node writes a key `ll/n/LABEL` that is attached to its lease; a node is live while its key
 * exists. One of the live nodes is the leader (leader_election.h), which writes the shard map
 * (shard_map.h).
 */
#ifndef LL_MEMBERSHIP_H
#define LL_MEMBERSHIP_H

#include "replica.h"
#include "settings.h"
#include "shard_map.h"

struct membership;

/**
 * Creates the membership of this node, which does not join before membership_start().
 *
 * @param wants_singleton_roles  whether singleton roles are enabled in this node's configuration;
 *                               announced in the node's key
 */
struct membership *membership_new(struct loop *loop, struct kv_client *kv, struct replica *replica,
                                  const struct settings *settings, bool wants_singleton_roles);
/** Frees the membership; the node's lease is left to expire. */
void membership_free(struct membership *membership);
/** Starts joining the cluster. */
void membership_start(struct membership *membership);

/** Returns whether this node may start tasks and write: it has joined and its lease is valid. */
bool membership_has_valid_lease(const struct membership *membership);

/** Returns whether the replica shows this process's own key, even if its lease may have expired. */
bool membership_is_visible(const struct membership *membership);

/** Returns whether the leader key names this process, even if its lease may have expired. */
bool membership_is_recorded_leader(const struct membership *membership);

/** Returns whether this process is the leader and may act as such: its lease is valid. */
bool membership_is_leader(const struct membership *membership);

/** Returns the revision of this node's own key, which its transactions compare. */
revision membership_get_mod_revision(const struct membership *membership);

/**
 * Makes all transactions fail that this process sent before, that compare this node's own key, and
 * that were not carried out yet. Used after a transaction of unknown outcome, which may otherwise
 * be carried out at any later time. The key is written again, so that its revision changes.
 *
 * @param callback  called with ok true once the key is written and the replica is at least as new,
 *                  so that it shows whatever those transactions have written. ok false: it is not
 *                  known whether the key is written; the caller has to try again. May be called
 *                  before this function returns.
 */
void membership_fence_earlier_txns(struct membership *membership, replica_callback callback,
                                   void *callback_arg);

/** Returns the lease of this process, which identifies it; 0 if it has none. */
lease_id membership_get_incarnation(const struct membership *membership);

/**
 * Returns whether every node, live or not, has announced that it supports the version, and no
 * live node runs a program that does not. Nodes are not downgraded afterwards, so no node will ever
 * read a record whose version it does not support.
 */
bool membership_all_nodes_support(struct membership *membership, enum node_version version);

/**
 * Starts a new epoch if this node is the leader; dispatches of the previous epoch become invalid.
 */
void membership_raise_epoch(struct membership *membership, const char *reason);

/** Excludes a node from the shard map for the given duration, if this node is the leader. */
void membership_exclude_node(struct membership *membership, const char *label, int64_t duration_ms);

#endif
