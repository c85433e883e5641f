/**
 * @file
 * The lease on which this process's keys hang.
 *
 * Its id is the incarnation of the node: no other process ever has the same one. Once the lease has
 * ended the key-value store deletes the keys, and other nodes see that this one is gone.
 */
#ifndef LL_NODE_LEASE_H
#define LL_NODE_LEASE_H

#include "kv_client.h"

struct node_lease;

/** Why a lease is given up. */
enum lease_loss_reason {
    /** It has ended, by the key-value store's response to a renewal. */
    LEASE_EXPIRED,
    /** The key-value store refused a transaction that names it. */
    LEASE_REFUSED,
    /** The node's key is gone, or another process has written it. */
    LEASE_KEY_LOST,
};

/** What the lease works with; all of it outlives the lease. */
struct node_lease_setup {
    struct loop *loop;
    struct kv_client *kv;
    /** Of the functions. */
    void *ctx;
    /** The lease was lost; called before on_change. */
    void (*on_lost)(void *ctx);
    /** A request for a lease has been answered, or a renewal found that the lease has ended. */
    void (*on_change)(void *ctx);
};

/** Creates it without a lease; the setup is copied. */
struct node_lease *node_lease_new(const struct node_lease_setup *setup);
/** Frees it; the lease is left to expire. */
void node_lease_free(struct node_lease *lease);

/** Requests a lease, unless there is one or a request is under way; it is then kept renewed. */
void node_lease_request(struct node_lease *lease);

/** Gives the lease up, and calls on_lost; does nothing without a lease. */
void node_lease_drop(struct node_lease *lease, enum lease_loss_reason reason);

/** 0: there is none. */
lease_id node_lease_get_id(const struct node_lease *lease);

/** Whether the lease is certain to hold at this moment. */
bool node_lease_is_valid(const struct node_lease *lease);

#endif
