/* A whole node: its actors, put together. */
#ifndef LL_NODE_H
#define LL_NODE_H

#include "api.h"
#include "feature_set.h"
#include "garbage_collector.h"
#include "leader.h"
#include "role_assigner.h"

struct node {
    const struct settings *settings;
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    const struct feature_set *features;
    struct duty_keeper *duty_keeper;
    struct duties *duties; /* of the keeper */
    struct cleanup *cleanup;
    struct bus *bus;
    struct peers *peers;
    struct shard *shard;
    struct leader *leader;
    struct frontend *frontend;
};

struct node *node_new(struct loop *loop, struct net *net, const struct settings *settings,
                      const struct policy *policy, const struct feature_set *features);
void node_start(struct node *node);
void node_free(struct node *node);

#endif
