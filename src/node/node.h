/**
 * @file
 * A node of the cluster: all of its modules, connected with each other.
 */
#ifndef LL_NODE_H
#define LL_NODE_H

#include "api.h"
#include "feature_set.h"
#include "garbage_collector.h"
#include "leader.h"
#include "role_assigner.h"

/** The modules of a node. The node owns all of them except what was passed to node_new(). */
struct node {
    const struct settings *settings;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_assigner *role_assigner;
    /** Owned by role_assigner. */
    struct role_manager *role_manager;
    struct garbage_collector *garbage_collector;
    struct node_rpc *rpc;
    struct peer_poll *peer_poll;
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
    struct failure_detector *failure_detector;
    struct shard *shard;
    struct leader *leader;
    struct api *api;
    struct loop *loop;
    struct timer report_timer;
};

/** Creates a node that is not started yet. All arguments must outlive the node. */
struct node *node_new(struct loop *loop, struct http_client *http_client,
                      const struct settings *settings, const struct policy *policy,
                      const struct feature_set *features);
/** Starts all modules of the node. */
void node_start(struct node *node);
/** Frees the node and its modules, in the reverse order of their creation. */
void node_free(struct node *node);

#endif
