#include "node.h"

struct node *node_new(struct loop *loop, struct net *net, const struct settings *s,
                      const struct policy *policy)
{
    struct node *n = g_new0(struct node, 1);
    struct store_limits limits = {.rps = s->state_rps,
                                  .write_rps = s->state_write_rps,
                                  .txn_ops = s->state_txn_ops,
                                  .value_bytes = (size_t)(s->state_value_kb * 1024),
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
