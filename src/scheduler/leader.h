/* The leader: team queues by shares, the only quota ledger, dealing to parts, renting and
 * returning. On every node; it acts only while its node leads. */
#ifndef LL_LEADER_H
#define LL_LEADER_H

#include "cloud_provider.h"
#include "node_rpc.h"
#include "policy.h"

struct leader;

/* What it works with; all of it outlives the leader. */
struct leader_setup {
    struct loop *loop;
    struct http_client *net;
    struct kv_client *store;
    struct replica *view;
    struct membership *members;
    struct role_manager *duties;
    struct node_rpc *bus;
    struct shard *shard;
    const struct settings *settings;
    const struct feature_set *features;
    const struct policy *policy;
};

struct leader *leader_new(const struct leader_setup *setup);
void leader_free(struct leader *leader);
void leader_start(struct leader *leader);

#endif
