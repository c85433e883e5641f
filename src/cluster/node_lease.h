/**
 * @file
 * Obtains and renews the lease to which this process's keys are attached.
 *
 * The lease id is the incarnation of the node: no other process ever has the same one. Once the
 * lease has expired, the key-value store deletes the keys, and other nodes see that this node is
 * gone.
 */
#ifndef LL_NODE_LEASE_H
#define LL_NODE_LEASE_H

#include "kv_client.h"

struct node_lease;

/** The reason why a node does not hold its lease any more. */
enum lease_loss_reason {
    /** The key-value store responded to a renewal that the lease has expired. */
    LEASE_EXPIRED,
    /** The key-value store refused a transaction that uses the lease. */
    LEASE_REFUSED,
    /** The node's key was deleted, or another process has written it. */
    LEASE_KEY_LOST,
};

/** Dependencies of the lease, all of which must outlive it. */
struct node_lease_setup {
    struct loop *loop;
    struct kv_client *kv;
    /** Passed to the callbacks. */
    void *ctx;
    /** Called when the lease was lost, before on_change. */
    void (*on_lost)(void *ctx);
    /** Called when a lease request has ended, or a renewal found that the lease has expired. */
    void (*on_change)(void *ctx);
};

/** Creates the manager of this process's lease, which holds none yet; the setup is copied. */
struct node_lease *node_lease_new(const struct node_lease_setup *setup);
/** Frees the manager; the lease itself is left to expire. */
void node_lease_free(struct node_lease *lease);

/**
 * Requests a lease unless the process has one, a request is in flight, or the delay after a failure
 * is not over; then it is requested at the end of the delay. The lease is renewed periodically.
 */
void node_lease_request(struct node_lease *lease);

/** Drops the lease and calls on_lost; does nothing if there is no lease. */
void node_lease_drop(struct node_lease *lease, enum lease_loss_reason reason);

/** Returns the id of the lease; 0 if there is none. */
lease_id node_lease_get_id(const struct node_lease *lease);

/** Returns whether the lease is certain not to have expired yet. */
bool node_lease_is_valid(const struct node_lease *lease);

#endif
