/**
 * @file
 * Tracks machine leases that nodes renew in place of the machines' owners.
 */
#include "lease_proxy.h"

enum {
    /** Minimum interval between polls of the other nodes. */
    PROXY_POLL_INTERVAL_MS = 1000,
    /** An older replica does not prove that a node's key is absent. */
    MAX_REPLICA_AGE_MS = 3000,
};

/** The lowest assumed ratio between the clock rates of this node and another one. */
static const double CLOCK_RATE_MARGIN = 0.999;

/** What is known about lease renewals that another node may have made for this node's machines. */
struct peer_renewals {
    /** When the latest request that the node answered was sent; 0 if it has answered none. */
    mono_time answered_request_sent_at;
    /** The node has renewed no lease for another node since this time, by its latest response. */
    mono_time no_renewals_since;
    /**
     * The time since which the node's key is known to be absent; 0 if it exists or its state is
     * unknown.
     */
    mono_time absent_since;
};

struct lease_proxy {
    struct loop *loop;
    struct peer_poll *poll;
    const struct replica *replica;
    /** When this node last renewed a lease for another node; initially its process start time. */
    mono_time last_renewal_at;
    /** Maps the label of each other node to its struct peer_renewals. */
    GHashTable *peers;
    guint responses_pending;
    /** When all other nodes were last polled. */
    mono_time last_polled_at;
};

/**
 * Handles a request for a proxy report. The reported age is never greater than this process's
 * uptime, so the report also covers renewals by earlier processes of the node.
 */
static int on_proxy_report_request(void *ctx, const char *from, const cJSON *message,
                                   cJSON **response)
{
    (void)from;
    (void)message;
    const struct lease_proxy *proxy = ctx;
    const struct proxy_report report = {
        (double)time_ms_since(loop_now(proxy->loop), proxy->last_renewal_at)};
    *response = proxy_report_encode(&report);
    return HTTP_STATUS_OK;
}

struct lease_proxy *lease_proxy_new(struct loop *loop, struct node_rpc *rpc, struct peer_poll *poll,
                                    const struct replica *replica, const struct settings *settings)
{
    struct lease_proxy *proxy = g_new0(struct lease_proxy, 1);
    proxy->loop = loop;
    proxy->poll = poll;
    proxy->replica = replica;
    proxy->last_renewal_at = loop_now(loop);
    proxy->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < settings->siblings->len; i++)
        g_hash_table_insert(proxy->peers,
                            g_strdup(g_array_index(settings->siblings, struct sibling, i).label),
                            g_new0(struct peer_renewals, 1));
    node_rpc_register(rpc, RPC_KIND_PROXY_REPORT, on_proxy_report_request, proxy);
    return proxy;
}

void lease_proxy_free(struct lease_proxy *proxy)
{
    g_hash_table_unref(proxy->peers);
    g_free(proxy);
}

void lease_proxy_record_renewal(struct lease_proxy *proxy)
{
    proxy->last_renewal_at = loop_now(proxy->loop);
}

static void on_proxy_response(void *ctx, const struct peer_response *response)
{
    struct lease_proxy *proxy = ctx;
    struct peer_renewals *peer = g_hash_table_lookup(proxy->peers, response->label);
    struct proxy_report report;
    if (response->status == HTTP_STATUS_OK && proxy_report_decode(response->message, &report)) {
        int64_t age_ms = (int64_t)(report.last_renewal_age_ms * CLOCK_RATE_MARGIN);
        peer->answered_request_sent_at = response->request_sent_at;
        peer->no_renewals_since = time_add_ms(loop_now(proxy->loop), -age_ms);
    }
    proxy->responses_pending--;
}

static void poll_peers(struct lease_proxy *proxy)
{
    mono_time now = loop_now(proxy->loop);
    bool was_polled_recently = proxy->last_polled_at.us &&
                               time_ms_since(now, proxy->last_polled_at) < PROXY_POLL_INTERVAL_MS;
    if (proxy->responses_pending || was_polled_recently)
        return;
    proxy->last_polled_at = now;
    proxy->responses_pending =
        peer_poll_send_to_all(proxy->poll, RPC_KIND_PROXY_REPORT, on_proxy_response, proxy);
}

void lease_proxy_update_absent_nodes(struct lease_proxy *proxy)
{
    mono_time now = loop_now(proxy->loop);
    bool is_fresh = proxy->replica->is_ready &&
                    time_ms_since(now, proxy->replica->fresh_at) < MAX_REPLICA_AGE_MS;
    GHashTableIter iter;
    char *label;
    struct peer_renewals *peer;
    g_hash_table_iter_init(&iter, proxy->peers);
    while (g_hash_table_iter_next(&iter, (gpointer *)&label, (gpointer *)&peer)) {
        if (!is_fresh || g_hash_table_contains(proxy->replica->nodes, label))
            peer->absent_since = (mono_time){0};
        else if (!peer->absent_since.us)
            peer->absent_since = now;
    }
}

/**
 * Returns whether the node's latest response shows that it made no renewal that is still in effect:
 * the request was sent after the last possible renewal had expired.
 */
static bool answered_after_expiry(const struct peer_renewals *peer, mono_time last_own_renewal,
                                  int64_t lease_ms)
{
    mono_time last_renewal = time_before(last_own_renewal, peer->no_renewals_since)
                                 ? peer->no_renewals_since
                                 : last_own_renewal;
    return peer->answered_request_sent_at.us &&
           time_ms_since(peer->answered_request_sent_at, last_renewal) > lease_ms;
}

/**
 * Returns whether the node's key has been absent for so long that its renewals have expired. A node
 * stops renewing leases `max_proxy_ms` after its replica last showed its own key, so this holds
 * even if the node cannot be polled.
 */
static bool absent_past_expiry(const struct lease_proxy *proxy, const struct peer_renewals *peer,
                               int64_t expiry_ms)
{
    return peer->absent_since.us &&
           time_ms_since(proxy->replica->fresh_at, peer->absent_since) > expiry_ms;
}

bool lease_proxy_have_renewals_expired(struct lease_proxy *proxy, mono_time last_own_renewal,
                                       int64_t lease_ms, int64_t max_proxy_ms)
{
    lease_proxy_update_absent_nodes(proxy);
    bool have_expired = true;
    GHashTableIter iter;
    struct peer_renewals *peer;
    g_hash_table_iter_init(&iter, proxy->peers);
    while (have_expired && g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
        have_expired = answered_after_expiry(peer, last_own_renewal, lease_ms) ||
                       absent_past_expiry(proxy, peer, max_proxy_ms + lease_ms);
    if (!have_expired)
        poll_peers(proxy);
    return have_expired;
}
