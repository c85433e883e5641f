#include "node.h"

struct node *node_new(struct loop *loop, struct net *net, const struct settings *settings,
                      const struct policy *policy, const struct feature_set *features)
{
    struct node *node = g_new0(struct node, 1);
    const struct state_limits *now = &settings->state, *next = &settings->state_next;
    struct store_limits limits = {.rps = MIN(now->rps, next->rps),
                                  .write_rps = now->write_rps,
                                  .next_write_rps = MIN(now->write_rps, next->write_rps),
                                  .txn_ops = MIN(now->txn_ops, next->txn_ops),
                                  .value_bytes =
                                      (size_t)(MIN(now->value_kb, next->value_kb) * 1024),
                                  .answer_bytes = settings_answer_bytes(settings),
                                  .nodes = settings->size};
    node->settings = settings;
    node->loop = loop;
    node->net = net;
    node->store = store_new(loop, net, settings->state_addr, limits);
    node->view = view_new(loop, node->store);
    node->features = features;
    node->members =
        membership_new(loop, node->store, node->view, settings, features->duties.enabled);
    node->duty_keeper = duty_keeper_new(loop, node->store, node->view, node->members, settings);
    node->duties = duty_keeper_duties(node->duty_keeper);
    node->cleanup = cleanup_new(loop, node->store, node->view, node->members, node->duties);
    node->bus = bus_new(loop, net, settings);
    node->peers = peers_new(loop, node->bus, node->store, node->view, settings);
    node->shard = shard_new(&(struct shard_setup){.loop = loop,
                                                  .net = net,
                                                  .store = node->store,
                                                  .view = node->view,
                                                  .members = node->members,
                                                  .bus = node->bus,
                                                  .peers = node->peers,
                                                  .settings = settings});
    node->leader = leader_new(&(struct leader_setup){.loop = loop,
                                                     .net = net,
                                                     .store = node->store,
                                                     .view = node->view,
                                                     .members = node->members,
                                                     .duties = node->duties,
                                                     .bus = node->bus,
                                                     .shard = node->shard,
                                                     .settings = settings,
                                                     .features = features,
                                                     .policy = policy});
    node->frontend = frontend_new(&(struct frontend_setup){.loop = loop,
                                                           .store = node->store,
                                                           .view = node->view,
                                                           .members = node->members,
                                                           .bus = node->bus,
                                                           .peers = node->peers,
                                                           .shard = node->shard,
                                                           .settings = settings});
    return node;
}

void node_start(struct node *node)
{
    view_start(node->view);
    membership_start(node->members);
    duty_keeper_start(node->duty_keeper);
    cleanup_start(node->cleanup);
    peers_start(node->peers);
    shard_start(node->shard);
    leader_start(node->leader);
}

void node_free(struct node *node)
{
    frontend_free(node->frontend);
    leader_free(node->leader);
    shard_free(node->shard);
    peers_free(node->peers);
    bus_free(node->bus);
    cleanup_free(node->cleanup);
    duty_keeper_free(node->duty_keeper);
    membership_free(node->members);
    view_free(node->view);
    store_free(node->store);
    g_free(node);
}
