/* A whole node: its actors, put together. */
#ifndef LL_NODE_H
#define LL_NODE_H

#include "frontend.h"
#include "leader.h"

struct node {
    const struct settings *settings;
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    struct peers *peers;
    struct shard *shard;
    struct leader *leader;
    struct frontend *frontend;
};

struct node *node_new(struct loop *loop, struct net *net, const struct settings *settings,
                      const struct policy *policy);
void node_start(struct node *node);
void node_free(struct node *node);

#endif
