/**
 * @file
 * Sends a request to every other node and passes on the responses.
 */
#include "peer_poll.h"

/** How long to wait for a node's response. */
enum { RESPONSE_TIMEOUT_MS = 450 };

struct peer_poll {
    struct loop *loop;
    struct node_rpc *rpc;
    const struct replica *replica;
    const struct settings *settings;
    /** The number of the latest request. */
    uint64_t request_count;
};

/** A request to one node whose response is pending. */
struct pending_peer_request {
    char *label;
    mono_time sent_at;
    uint64_t number;
    peer_response_callback callback;
    void *ctx;
};

struct peer_poll *peer_poll_new(struct loop *loop, struct node_rpc *rpc,
                                const struct replica *replica, const struct settings *settings)
{
    struct peer_poll *poll = g_new0(struct peer_poll, 1);
    poll->loop = loop;
    poll->rpc = rpc;
    poll->replica = replica;
    poll->settings = settings;
    return poll;
}

void peer_poll_free(struct peer_poll *poll)
{
    g_free(poll);
}

static void on_response(void *arg, int status, const cJSON *message)
{
    struct pending_peer_request *pending = arg;
    const struct peer_response response = {.label = pending->label,
                                           .request_sent_at = pending->sent_at,
                                           .request_number = pending->number,
                                           .status = status,
                                           .message = message};
    pending->callback(pending->ctx, &response);
    g_free(pending->label);
    g_free(pending);
}

static void send_to_one(struct peer_poll *poll, const char *label, const char *kind,
                        peer_response_callback callback, void *ctx)
{
    struct pending_peer_request *pending = g_new(struct pending_peer_request, 1);
    *pending = (struct pending_peer_request){.label = g_strdup(label),
                                             .sent_at = loop_now(poll->loop),
                                             .number = ++poll->request_count,
                                             .callback = callback,
                                             .ctx = ctx};
    const struct peer_request request = {.number = pending->number,
                                         .replica_revision = poll->replica->applied_revision};
    node_rpc_call(poll->rpc, label, kind, peer_request_encode(&request), RESPONSE_TIMEOUT_MS,
                  on_response, pending);
}

guint peer_poll_send_to_all(struct peer_poll *poll, const char *kind,
                            peer_response_callback callback, void *ctx)
{
    const GArray *siblings = poll->settings->siblings;
    for (guint i = 0; i < siblings->len; i++)
        send_to_one(poll, g_array_index(siblings, struct sibling, i).label, kind, callback, ctx);
    return siblings->len;
}
