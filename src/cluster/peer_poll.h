/**
 * @file
 * Sends a request to every other node and passes on the responses.
 *
 * The failure detector and the lease proxy share one struct peer_poll, because the numbers of their
 * requests come from one sequence.
 */
#ifndef LL_PEER_POLL_H
#define LL_PEER_POLL_H

#include "event_loop.h"
#include "node_rpc.h"
#include "peer_messages.h"
#include "replica.h"
#include "settings.h"

struct peer_poll;

/** A node's response to a request, or the absence of one. */
struct peer_response {
    /** The label of the node to which the request was sent. */
    const char *label;
    /** When the request was sent. */
    mono_time request_sent_at;
    uint64_t request_number;
    /** The status as in node_rpc_callback: 200, or the reason why there is no response. */
    int status;
    /** May be NULL for any status. */
    const cJSON *message;
};

/** Called once for each node that was sent a request, even if it does not respond in time. */
typedef void (*peer_response_callback)(void *ctx, const struct peer_response *response);

/** Creates a peer poll, which sends nothing by itself. */
struct peer_poll *peer_poll_new(struct loop *loop, struct node_rpc *rpc,
                                const struct replica *replica, const struct settings *settings);
/** Frees the peer poll. */
void peer_poll_free(struct peer_poll *poll);

/**
 * Sends a request of the given kind to all other nodes. Returns their number, which is how many
 * times `callback` is called.
 */
guint peer_poll_send_to_all(struct peer_poll *poll, const char *kind,
                            peer_response_callback callback, void *ctx);

#endif
