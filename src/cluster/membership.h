/* Which nodes live, who leads, and the map. */
#ifndef LL_MEMBERSHIP_H
#define LL_MEMBERSHIP_H

#include "replica.h"
#include "settings.h"

struct membership;

/* wants_duties: this node's operators have switched duties on, as its key then says. */
struct membership *membership_new(struct loop *loop, struct store *store, struct view *view,
                                  const struct settings *settings, bool wants_duties);
void membership_free(struct membership *membership);
void membership_start(struct membership *membership);

/* Whether this node may start and write: its own lease surely holds. */
bool membership_valid(const struct membership *membership);
/* The view shows this process's own key, whether its lease surely holds or not. */
bool membership_seen(const struct membership *membership);
/* The leader's key is this process's, whether its lease surely holds or not. */
bool membership_holds_lead(const struct membership *membership);
/* And the lease surely holds: it may act. */
bool membership_leads(const struct membership *membership);
/* The version of this node's own key, on which its writes are conditioned. */
revision membership_stamp(const struct membership *membership);
lease_id membership_incarnation(const struct membership *membership);

/* Whether every node, alive or not, has once been of a version that understands that one, and none
 * that lives is older: as a node is not taken back to an older one after that, nobody will ever
 * read what it would not understand. */
bool membership_all_understand(struct membership *membership, enum node_version version);

/* Asks the leader's node to raise the epoch; what was dealt under the old one is void. */
void membership_raise(struct membership *membership, const char *why);
/* The leader leaves a node out of the map for a while. */
void membership_exclude(struct membership *membership, const char *label, int64_t ms);

/* The owner of a machine by rendezvous hashing over the map's nodes; NULL when there is no map. */
const char *map_owner(const struct view *view, const char *host);
bool map_names(const struct view *view, const char *label, lease_id incarnation);

#endif
