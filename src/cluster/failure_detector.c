/**
 * @file
 * Polls the other nodes for their health while this node has no access to the key-value store.
 */
#include "failure_detector.h"

enum {
    /** Interval between health polls while the key-value store is unavailable. */
    POLL_INTERVAL_MS = 500,
    /** Interval between checks of whether the key-value store is available, while it is. */
    AVAILABILITY_CHECK_INTERVAL_MS = POLL_INTERVAL_MS / 2,
    /** Added to the minimum uptime that has_shared_all_cancels() requires of a node. */
    UPTIME_MARGIN_MS = 1000,
};

/** A node's health as of the latest polling round; all zero if it did not respond. */
struct peer_health {
    bool is_reachable;
    /** Whether the key-value store serves the node. */
    bool has_kv_access;
    /** Whether the node has shared every cancellation that this node's replica may lack. */
    bool has_shared_cancels;
    int64_t uptime_ms;
};

struct failure_detector {
    struct failure_detector_setup setup;
    mono_time started_at;
    struct timer poll_timer;
    mono_time round_started_at;
    guint responses_pending;
    /** Maps a node's label to its struct peer_health. */
    GHashTable *health_by_label;
    /** Whether no other node responded in the latest round. */
    bool is_isolated;
};

static void on_poll_timer(void *arg);

static int on_health_request(void *ctx, const char *from, const cJSON *message, cJSON **response)
{
    (void)from;
    const struct failure_detector *detector = ctx;
    const struct failure_detector_setup *setup = &detector->setup;
    struct peer_request request = peer_request_decode(message);
    struct health_report report = {
        .has_kv_access = !kv_client_is_unavailable(setup->kv),
        .request_number = request.number,
        .newest_committed_revision = cancel_broadcast_get_newest_revision(setup->cancel_broadcast),
        .uptime_ms = time_ms_since(loop_now(setup->loop), detector->started_at),
        .cancels = g_array_new(FALSE, FALSE, sizeof(struct cancel_notice))};
    report.has_all_cancels = cancel_broadcast_collect_notices(
        setup->cancel_broadcast, request.replica_revision, report.cancels);
    *response = health_report_encode(&report);
    health_report_clear(&report);
    return HTTP_STATUS_OK;
}

struct failure_detector *failure_detector_new(const struct failure_detector_setup *setup)
{
    struct failure_detector *detector = g_new0(struct failure_detector, 1);
    detector->setup = *setup;
    detector->started_at = loop_now(setup->loop);
    detector->health_by_label = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    timer_init(&detector->poll_timer, on_poll_timer, detector);
    node_rpc_register(setup->rpc, RPC_KIND_HEALTH, on_health_request, detector);
    return detector;
}

void failure_detector_free(struct failure_detector *detector)
{
    timer_stop(detector->setup.loop, &detector->poll_timer);
    g_hash_table_unref(detector->health_by_label);
    g_free(detector);
}

void failure_detector_start(struct failure_detector *detector)
{
    timer_start(detector->setup.loop, &detector->poll_timer, POLL_INTERVAL_MS);
}

const char *failure_detector_find_node_with_kv_access(const struct failure_detector *detector)
{
    if (!kv_client_is_unavailable(detector->setup.kv))
        return NULL;
    GHashTableIter iter;
    char *label;
    struct peer_health *peer;
    g_hash_table_iter_init(&iter, detector->health_by_label);
    while (g_hash_table_iter_next(&iter, (gpointer *)&label, (gpointer *)&peer))
        if (peer->is_reachable && peer->has_kv_access)
            return label;
    return NULL;
}

bool failure_detector_is_isolated(const struct failure_detector *detector)
{
    return detector->is_isolated && kv_client_is_unavailable(detector->setup.kv);
}

bool failure_detector_is_unreachable(const struct failure_detector *detector, const char *label)
{
    const struct peer_health *peer = g_hash_table_lookup(detector->health_by_label, label);
    return kv_client_is_unavailable(detector->setup.kv) && peer && !peer->is_reachable &&
           !failure_detector_find_node_with_kv_access(detector);
}

/**
 * Returns whether a node has no access to the key-value store either, and has shared every
 * cancellation that it confirmed, or may have confirmed, to a user since this node's replica was
 * last fresh.
 *
 * A node that was restarted since then does not qualify, because it does not know what its previous
 * process confirmed. The minimum uptime allows for clocks that differ in rate by 0.1%.
 */
static bool has_shared_all_cancels(const struct peer_health *peer, int64_t replica_age_ms)
{
    int64_t min_uptime_ms = replica_age_ms + replica_age_ms / 1000;
    return peer->is_reachable && !peer->has_kv_access && peer->has_shared_cancels &&
           peer->uptime_ms > min_uptime_ms;
}

/**
 * Evaluates a polling round once every node has responded or timed out. If each of them has shared
 * its cancellations, this node knows every cancellation that was confirmed to a user before the
 * round began.
 */
static void finish_round(struct failure_detector *detector)
{
    const struct failure_detector_setup *setup = &detector->setup;
    guint peer_count = setup->settings->siblings->len;
    int64_t replica_age_ms =
        time_ms_since(loop_now(setup->loop), setup->replica->fresh_at) + UPTIME_MARGIN_MS;
    bool have_all_peers_shared = g_hash_table_size(detector->health_by_label) == peer_count;
    detector->is_isolated = peer_count > 0;
    GHashTableIter iter;
    struct peer_health *peer;
    g_hash_table_iter_init(&iter, detector->health_by_label);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
        have_all_peers_shared =
            have_all_peers_shared && has_shared_all_cancels(peer, replica_age_ms);
        detector->is_isolated = detector->is_isolated && !peer->is_reachable;
    }
    if (have_all_peers_shared)
        cancel_broadcast_set_complete_until(setup->cancel_broadcast, detector->round_started_at);
}

/**
 * Adds the cancellations in a health report. Returns whether the report contains every cancellation
 * that this node may lack. A duplicate of an earlier response is ignored, because it does not cover
 * what was confirmed since.
 */
static bool add_shared_cancels(struct failure_detector *detector,
                               const struct health_report *report, uint64_t request_number)
{
    if (report->request_number != request_number)
        return false;
    for (guint i = 0; i < report->cancels->len; i++)
        cancel_broadcast_add_remote(detector->setup.cancel_broadcast,
                                    &g_array_index(report->cancels, struct cancel_notice, i));
    return report->has_all_cancels;
}

static void on_health_response(void *ctx, const struct peer_response *response)
{
    struct failure_detector *detector = ctx;
    struct peer_health *peer = g_new0(struct peer_health, 1);
    struct health_report report;
    if (response->status == HTTP_STATUS_OK && health_report_decode(response->message, &report)) {
        peer->is_reachable = true;
        peer->has_kv_access = report.has_kv_access;
        peer->uptime_ms = report.uptime_ms;
        peer->has_shared_cancels = add_shared_cancels(detector, &report, response->request_number);
        health_report_clear(&report);
    }
    g_hash_table_replace(detector->health_by_label, g_strdup(response->label), peer);
    if (--detector->responses_pending == 0)
        finish_round(detector);
}

/** Discards the results of the latest round, which do not apply while the store is available. */
static void discard_round(struct failure_detector *detector)
{
    g_hash_table_remove_all(detector->health_by_label);
    detector->is_isolated = false;
    cancel_broadcast_expire_remote(detector->setup.cancel_broadcast);
}

static void on_poll_timer(void *arg)
{
    struct failure_detector *detector = arg;
    const struct failure_detector_setup *setup = &detector->setup;
    bool is_unavailable = kv_client_is_unavailable(setup->kv);
    timer_start(setup->loop, &detector->poll_timer,
                is_unavailable ? POLL_INTERVAL_MS : AVAILABILITY_CHECK_INTERVAL_MS);
    lease_proxy_update_absent_nodes(setup->lease_proxy);
    if (!is_unavailable) {
        discard_round(detector);
        return;
    }
    if (detector->responses_pending)
        return;
    detector->round_started_at = loop_now(setup->loop);
    detector->responses_pending =
        peer_poll_send_to_all(setup->poll, RPC_KIND_HEALTH, on_health_response, detector);
}
