#include "node.h"

struct node *node_new(struct loop *loop, struct net *net, const struct settings *s,
                      const struct policy *policy)
{
    struct node *n = g_new0(struct node, 1);
    const struct state_limits *now = &s->state, *next = &s->state_next;
    struct store_limits limits = {.rps = MIN(now->rps, next->rps),
                                  .write_rps = now->write_rps,
                                  .next_write_rps = MIN(now->write_rps, next->write_rps),
                                  .txn_ops = MIN(now->txn_ops, next->txn_ops),
                                  .value_bytes =
                                      (size_t)(MIN(now->value_kb, next->value_kb) * 1024),
                                  .answer_bytes = settings_answer_bytes(s),
                                  .nodes = s->size};
    n->settings = s;
    n->loop = loop;
    n->net = net;
    n->store = store_new(loop, net, s->state_addr, limits);
    n->view = view_new(loop, n->store);
    n->members = membership_new(loop, n->store, n->view, s);
    n->bus = bus_new(loop, net, s);
    n->peers = peers_new(loop, n->bus, n->store, n->view, s);
    n->part = part_new(n);
    n->leader = leader_new(n, policy);
    n->frontend = frontend_new(n);
    return n;
}

void node_start(struct node *n)
{
    view_start(n->view);
    membership_start(n->members);
    peers_start(n->peers);
    part_start(n->part);
    leader_start(n->leader);
}

void node_free(struct node *n)
{
    frontend_free(n->frontend);
    leader_free(n->leader);
    part_free(n->part);
    peers_free(n->peers);
    bus_free(n->bus);
    membership_free(n->members);
    view_free(n->view);
    store_free(n->store);
    g_free(n);
}
