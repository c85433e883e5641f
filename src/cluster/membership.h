/* Which nodes live, who leads, and the map. */
#ifndef LL_MEMBERSHIP_H
#define LL_MEMBERSHIP_H

#include "replica.h"
#include "settings.h"

struct membership;

/* wants_singleton_roles: this node's operators have switched duties on, as its key then says. */
struct membership *membership_new(struct loop *loop, struct kv_client *kv, struct replica *replica,
                                  const struct settings *settings, bool wants_singleton_roles);
void membership_free(struct membership *membership);
void membership_start(struct membership *membership);

/* Whether this node may start and write: its own lease surely holds. */
bool membership_has_valid_lease(const struct membership *membership);
/* The view shows this process's own key, whether its lease surely holds or not. */
bool membership_is_visible(const struct membership *membership);
/* The leader's key is this process's, whether its lease surely holds or not. */
bool membership_is_recorded_leader(const struct membership *membership);
/* And the lease surely holds: it may act. */
bool membership_is_leader(const struct membership *membership);
/* The version of this node's own key, on which its writes are conditioned. */
revision membership_get_mod_revision(const struct membership *membership);
lease_id membership_get_incarnation(const struct membership *membership);

/* Whether every node, alive or not, has once been of a version that understands that one, and none
 * that lives is older: as a node is not taken back to an older one after that, nobody will ever
 * read what it would not understand. */
bool membership_all_nodes_support(struct membership *membership, enum node_version version);

/* Asks the leader's node to raise the epoch; what was dealt under the old one is void. */
void membership_raise_epoch(struct membership *membership, const char *why);
/* The leader leaves a node out of the map for a while. */
void membership_exclude_node(struct membership *membership, const char *label, int64_t duration_ms);

/* The owner of a machine by rendezvous hashing over the map's nodes; NULL when there is no map. */
const char *shard_map_get_owner(const struct replica *replica, const char *machine);
bool shard_map_contains(const struct replica *replica, const char *label, lease_id incarnation);

#endif
