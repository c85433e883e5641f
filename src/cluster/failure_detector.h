/**
 * @file
 * Tells an outage of the key-value store for this node alone from an outage for all nodes.
 *
 * While the store does not serve this node, the failure detector polls the other nodes. A node that
 * still has access to the store can respond to requests in place of this one.
 */
#ifndef LL_FAILURE_DETECTOR_H
#define LL_FAILURE_DETECTOR_H

#include "cancel_broadcast.h"
#include "lease_proxy.h"
#include "peer_poll.h"

struct failure_detector;

/** Dependencies of the failure detector, all of which must outlive it. */
struct failure_detector_setup {
    struct loop *loop;
    struct node_rpc *rpc;
    struct kv_client *kv;
    const struct replica *replica;
    const struct settings *settings;
    struct peer_poll *poll;
    /** Supplies the cancellations that health reports contain, and receives those of peers. */
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
};

/** Creates a failure detector and registers its RPC handler; the setup is copied. */
struct failure_detector *failure_detector_new(const struct failure_detector_setup *setup);
/** Frees the failure detector. */
void failure_detector_free(struct failure_detector *detector);
/** Starts the periodic checks of the failure detector. */
void failure_detector_start(struct failure_detector *detector);

/**
 * Returns the label of a node that has access to the key-value store while this node has none.
 * Returns NULL if no such node is known, or if this node has access itself.
 */
const char *failure_detector_find_node_with_kv_access(const struct failure_detector *detector);

/** Returns whether this node can reach neither the key-value store nor any other node. */
bool failure_detector_is_isolated(const struct failure_detector *detector);

/**
 * Returns whether this node can reach neither the key-value store nor the node with that label, and
 * knows of no other node that has access to the store and could know more.
 */
bool failure_detector_is_unreachable(const struct failure_detector *detector, const char *label);

#endif
