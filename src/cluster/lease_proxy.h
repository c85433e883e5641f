/**
 * @file
 * Leases of machines that a node renewed in place of the machine's owner.
 *
 * A node in a zone that is cut off renews the leases of all machines whose agents reach it, not
 * only of its own. An owner may declare a machine's lease expired only if no other node can have
 * renewed it since. See "Proxy-renewed leases" in docs/safety.md.
 */
#ifndef LL_LEASE_PROXY_H
#define LL_LEASE_PROXY_H

#include "node_rpc.h"
#include "peer_poll.h"
#include "replica.h"
#include "settings.h"

struct lease_proxy;

/** Creates the proxy and registers its message with the RPC. */
struct lease_proxy *lease_proxy_new(struct loop *loop, struct node_rpc *rpc, struct peer_poll *poll,
                                    const struct replica *replica, const struct settings *settings);
/** Frees the proxy. */
void lease_proxy_free(struct lease_proxy *proxy);

/** Notes that this node has renewed the lease of a machine that another node owns. */
void lease_proxy_record_renewal(struct lease_proxy *proxy);

/**
 * Whether every renewal that another node may have made for a machine of this node has expired.
 *
 * If that is not known yet, asks the other nodes and returns false; the caller tries again later.
 *
 * @param last_own_renewal  this node has not renewed the lease since then
 * @param lease_ms          how long a renewal lasts, with a margin for clocks
 * @param max_proxy_ms      how long a node may go on renewing after its own key is gone
 */
bool lease_proxy_have_renewals_expired(struct lease_proxy *proxy, mono_time last_own_renewal,
                                       int64_t lease_ms, int64_t max_proxy_ms);

/** Notes which nodes are absent by now; to be called several times a second. */
void lease_proxy_update_absent_nodes(struct lease_proxy *proxy);

#endif
