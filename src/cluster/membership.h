/**
 * @file
 * This node's membership in the cluster: its lease, its key, and whether it leads.
 *
 * Every node writes a key `ll/n/LABEL` on its lease; the nodes whose keys exist are alive. One of
 * them is the leader (leader_election.h), which writes the shard map (shard_map.h).
 */
#ifndef LL_MEMBERSHIP_H
#define LL_MEMBERSHIP_H

#include "replica.h"
#include "settings.h"
#include "shard_map.h"

struct membership;

/**
 * @param wants_singleton_roles  this node's operators have enabled singleton roles; announced in
 * its key
 */
struct membership *membership_new(struct loop *loop, struct kv_client *kv, struct replica *replica,
                                  const struct settings *settings, bool wants_singleton_roles);
/** Frees it; the node's lease is left to expire. */
void membership_free(struct membership *membership);
/** Begins to join. */
void membership_start(struct membership *membership);

/** Whether this node may start tasks and write: it has joined, and its lease is certain to hold. */
bool membership_has_valid_lease(const struct membership *membership);

/** Whether the replica shows this process's own key, even if its lease may have ended. */
bool membership_is_visible(const struct membership *membership);

/** Whether the leader's key names this process, even if its lease may have ended. */
bool membership_is_recorded_leader(const struct membership *membership);

/** Whether this process is the leader and may act as such: its lease is certain to hold. */
bool membership_is_leader(const struct membership *membership);

/** The revision of this node's own key, which its transactions compare. */
revision membership_get_mod_revision(const struct membership *membership);

/** The lease of this process, which identifies it; 0: it has none. */
lease_id membership_get_incarnation(const struct membership *membership);

/**
 * Whether every node, alive or not, has run a version that understands this one, and none that is
 * alive runs an older one. Nodes are not downgraded after that, so no node will ever read a record
 * that it does not understand.
 */
bool membership_all_nodes_support(struct membership *membership, enum node_version version);

/** Makes this node, if it leads, start a new epoch; what was dispatched in the old one is void. */
void membership_raise_epoch(struct membership *membership, const char *reason);

/** Makes this node, if it leads, leave a node out of the shard map for that time. */
void membership_exclude_node(struct membership *membership, const char *label, int64_t duration_ms);

#endif
