/**
 * The leader actor, which schedules jobs and scales the set of machines. It exists on every node
 * but acts only while its node is the leader.
 *
 * The actor receives changes of the replica and status reports of the shards, keeps the quota
 * ledger up to date, and runs a scheduling pass shortly after each change.
 */
#ifndef LL_LEADER_H
#define LL_LEADER_H

#include "cloud_provider.h"
#include "node_rpc.h"
#include "policy.h"

struct leader;

/** Dependencies of the leader. They all belong to the node and outlive the leader. */
struct leader_setup {
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    struct node_rpc *node_rpc;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    const struct policy *policy;
};

/** Creates the leader. It receives events at once, but acts only after leader_start. */
struct leader *leader_new(const struct leader_setup *setup);
/** Stops the timers of the leader and frees it. */
void leader_free(struct leader *leader);
/** Starts the leader's periodic timer. */
void leader_start(struct leader *leader);

#endif
