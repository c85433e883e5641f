/**
 * The leader's actor: it schedules jobs and scales the set of machines. It exists on every node and
 * acts only while its node holds the leadership.
 *
 * It listens to the replica and to the shards' status reports, keeps the quota ledger up to date,
 * and runs a scheduling pass soon after each change.
 */
#ifndef LL_LEADER_H
#define LL_LEADER_H

#include "cloud_provider.h"
#include "node_rpc.h"
#include "policy.h"

struct leader;

/** What the leader works with; all of it belongs to the node and outlives the leader. */
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

/** Creates the leader, which listens at once but acts only after leader_start. */
struct leader *leader_new(const struct leader_setup *setup);
void leader_free(struct leader *leader);
/** Starts the leader's timer. */
void leader_start(struct leader *leader);

#endif
