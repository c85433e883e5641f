/**
 * @file
 * Leases of machines that a node renewed in place of the machine's owner.
 */
#include "lease_proxy.h"

enum {
    /** Between two rounds of questions to the other nodes. */
    PROXY_POLL_INTERVAL_MS = 1000,
    /** An older replica is no proof that a node is absent. */
    MAX_REPLICA_AGE_MS = 3000,
};

/** The rate of this node's clock to that of another one, at worst. */
static const double CLOCK_RATE_MARGIN = 0.999;

/** What is known of the renewals that another node may have made for machines of this node. */
struct peer_renewals {
    /** When it was sent the question that it answered last; 0: it has answered none. */
    mono_time answered_request_sent_at;
    /** It has renewed no lease for another node since then, by that answer. */
    mono_time no_renewals_since;
    /** Since when its key is gone; 0: the key is there, or that is unknown. */
    mono_time absent_since;
};

struct lease_proxy {
    struct loop *loop;
    struct peer_poll *poll;
    const struct replica *replica;
    /** When this node last renewed a lease for another one; at first, the start of its process. */
    mono_time last_renewal_at;
    /** Label -> struct peer_renewals, of all other nodes. */
    GHashTable *peers;
    guint responses_pending;
    /** When all of them were asked last. */
    mono_time last_polled_at;
};

/* A process counts from its start at the latest, so the report holds for earlier processes of the
 * node as well. */
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

/** Whether the node answered, after its last renewal had expired, that it made no other. */
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
 * Whether the node's key has been gone for so long that its renewals have expired. It stops
 * renewing `max_proxy_ms` after its replica last showed its own key, whether it can be asked or
 * not.
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
