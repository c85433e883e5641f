/**
 * @file
 * What the other nodes report while the key-value store does not serve this one: whether it serves
 * them, so that they can answer in this node's place, or whether it is down for all.
 */
#ifndef LL_FAILURE_DETECTOR_H
#define LL_FAILURE_DETECTOR_H

#include "cancel_broadcast.h"
#include "lease_proxy.h"
#include "peer_poll.h"

struct failure_detector;

/** What the failure detector works with; all of it outlives the detector. */
struct failure_detector_setup {
    struct loop *loop;
    struct node_rpc *rpc;
    struct kv_client *kv;
    const struct replica *replica;
    const struct settings *settings;
    struct peer_poll *poll;
    /** Health reports carry its cancellations. */
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
};

/** Creates the detector and registers its message with the RPC. */
struct failure_detector *failure_detector_new(const struct failure_detector_setup *setup);
/** Frees the detector. */
void failure_detector_free(struct failure_detector *detector);
/** Starts its periodic check. */
void failure_detector_start(struct failure_detector *detector);

/**
 * Returns the label of a node that the key-value store serves while it does not serve this one;
 * NULL if none is known, or if this node is served itself.
 */
const char *failure_detector_find_node_with_kv_access(const struct failure_detector *detector);

/** Whether neither the key-value store nor any other node answers this one. */
bool failure_detector_is_isolated(const struct failure_detector *detector);

/**
 * Whether neither the key-value store nor that node answers this one, and no other node is served
 * that could know more of it.
 */
bool failure_detector_is_unreachable(const struct failure_detector *detector, const char *label);

#endif
