/**
 * @file
 * Creates the modules of a node, connects them, starts and frees them.
 */
#include "node.h"

enum { DECISION_REPORT_INTERVAL_MS = 10000 };

/**
 * Returns the limits of the key-value store that the node keeps to. Some limits may change at an
 * unknown time. The lower of the current and the next value is allowed both before and after that.
 */
static struct kv_limits get_kv_limits(const struct settings *settings)
{
    const struct kv_service_limits *current = &settings->kv_limits;
    const struct kv_service_limits *next = &settings->kv_limits_next;
    return (struct kv_limits){
        .rate_limit_rps = MIN(current->requests_per_s, next->requests_per_s),
        .rate_limit_write_rps = current->writes_per_s,
        .rate_limit_next_write_rps = MIN(current->writes_per_s, next->writes_per_s),
        .max_txn_operations = MIN(current->max_txn_operations, next->max_txn_operations),
        .max_value_bytes = (size_t)(MIN(current->max_value_kb, next->max_value_kb) * 1024),
        .max_response_bytes = settings_max_response_bytes(settings),
        .node_count = settings->node_count};
}

/**
 * Creates the modules that exchange state with the other nodes directly, not through the replica.
 */
static void create_peer_modules(struct node *node, struct loop *loop)
{
    node->peer_poll = peer_poll_new(loop, node->rpc, node->replica, node->settings);
    node->cancel_broadcast = cancel_broadcast_new(loop, node->rpc, node->replica, node->settings);
    node->lease_proxy =
        lease_proxy_new(loop, node->rpc, node->peer_poll, node->replica, node->settings);
    node->failure_detector = failure_detector_new(
        &(struct failure_detector_setup){.loop = loop,
                                         .rpc = node->rpc,
                                         .kv = node->kv,
                                         .replica = node->replica,
                                         .settings = node->settings,
                                         .poll = node->peer_poll,
                                         .cancel_broadcast = node->cancel_broadcast,
                                         .lease_proxy = node->lease_proxy});
}

/** Timer callback: logs the summary of the node's decisions. */
static void report_decisions(void *arg)
{
    struct node *node = arg;
    decision_log_report();
    timer_start(node->loop, &node->report_timer, DECISION_REPORT_INTERVAL_MS);
}

static void create_api(struct node *node, struct loop *loop)
{
    node->api = api_new(&(struct api_setup){.loop = loop,
                                            .kv = node->kv,
                                            .replica = node->replica,
                                            .membership = node->membership,
                                            .rpc = node->rpc,
                                            .cancel_broadcast = node->cancel_broadcast,
                                            .failure_detector = node->failure_detector,
                                            .shard = node->shard,
                                            .settings = node->settings});
}

struct node *node_new(struct loop *loop, struct http_client *http_client,
                      const struct settings *settings, const struct policy *policy,
                      const struct feature_set *features)
{
    struct node *node = g_new0(struct node, 1);
    node->settings = settings;
    node->loop = loop;
    timer_init(&node->report_timer, report_decisions, node);
    node->kv = kv_client_new(loop, http_client, settings->kv_address, get_kv_limits(settings));
    node->replica = replica_new(loop, node->kv);
    node->membership = membership_new(loop, node->kv, node->replica, settings,
                                      features->singleton_roles.is_enabled);
    node->role_assigner =
        role_assigner_new(loop, node->kv, node->replica, node->membership, settings);
    node->role_manager = role_assigner_get_manager(node->role_assigner);
    node->garbage_collector =
        garbage_collector_new(loop, node->kv, node->replica, node->membership, node->role_manager);
    node->rpc = node_rpc_new(loop, http_client, settings);
    create_peer_modules(node, loop);
    node->shard = shard_new(&(struct shard_setup){.loop = loop,
                                                  .http_client = http_client,
                                                  .kv = node->kv,
                                                  .replica = node->replica,
                                                  .membership = node->membership,
                                                  .node_rpc = node->rpc,
                                                  .cancel_broadcast = node->cancel_broadcast,
                                                  .lease_proxy = node->lease_proxy,
                                                  .failure_detector = node->failure_detector,
                                                  .settings = settings});
    node->leader = leader_new(&(struct leader_setup){.loop = loop,
                                                     .http_client = http_client,
                                                     .kv = node->kv,
                                                     .replica = node->replica,
                                                     .membership = node->membership,
                                                     .role_manager = node->role_manager,
                                                     .node_rpc = node->rpc,
                                                     .shard = node->shard,
                                                     .settings = settings,
                                                     .features = features,
                                                     .policy = policy});
    create_api(node, loop);
    return node;
}

void node_start(struct node *node)
{
    replica_start(node->replica);
    membership_start(node->membership);
    role_assigner_start(node->role_assigner);
    garbage_collector_start(node->garbage_collector);
    failure_detector_start(node->failure_detector);
    shard_start(node->shard);
    leader_start(node->leader);
    timer_start(node->loop, &node->report_timer, DECISION_REPORT_INTERVAL_MS);
}

void node_free(struct node *node)
{
    timer_stop(node->loop, &node->report_timer);
    api_free(node->api);
    leader_free(node->leader);
    shard_free(node->shard);
    failure_detector_free(node->failure_detector);
    lease_proxy_free(node->lease_proxy);
    cancel_broadcast_free(node->cancel_broadcast);
    peer_poll_free(node->peer_poll);
    node_rpc_free(node->rpc);
    garbage_collector_free(node->garbage_collector);
    role_assigner_free(node->role_assigner);
    membership_free(node->membership);
    replica_free(node->replica);
    kv_client_free(node->kv);
    g_free(node);
}
