/**
 * @file
 * Tracks machine leases that nodes renew in place of the machines' owners.
 *
 * A node in a partitioned zone renews the leases of all machines whose agents reach it, not only
 * those of the machines that it owns. An owner may declare a machine's lease expired only if no
 * other node can have renewed it since. See "Proxy-renewed leases" in docs/safety.md.
 */
#ifndef LL_LEASE_PROXY_H
#define LL_LEASE_PROXY_H

#include "node_rpc.h"
#include "peer_poll.h"
#include "replica.h"
#include "settings.h"

struct lease_proxy;

/** Creates a lease proxy and registers its RPC handler. */
struct lease_proxy *lease_proxy_new(struct loop *loop, struct node_rpc *rpc, struct peer_poll *poll,
                                    const struct replica *replica, const struct settings *settings);
/** Frees the lease proxy. */
void lease_proxy_free(struct lease_proxy *proxy);

/** Records that this node has just renewed the lease of a machine that another node owns. */
void lease_proxy_record_renewal(struct lease_proxy *proxy);

/**
 * Returns whether every renewal that another node may have made for one of this node's machines has
 * expired.
 *
 * If this is not known yet, polls the other nodes and returns false; the caller must retry later.
 *
 * @param last_own_renewal  when this node last renewed the lease
 * @param lease_ms          how long a renewal lasts, including a margin for clock drift
 * @param max_proxy_ms      how long a node may keep renewing leases after its own key is deleted
 */
bool lease_proxy_have_renewals_expired(struct lease_proxy *proxy, mono_time last_own_renewal,
                                       int64_t lease_ms, int64_t max_proxy_ms);

/** Updates which nodes' keys are absent. Must be called several times a second. */
void lease_proxy_update_absent_nodes(struct lease_proxy *proxy);

#endif
