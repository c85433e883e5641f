/**
 * @file
 * Sends one question to every other node and hands over the responses.
 *
 * Failure detector and lease proxy share a poll, as the numbers of their questions are drawn from
 * one sequence.
 */
#ifndef LL_PEER_POLL_H
#define LL_PEER_POLL_H

#include "event_loop.h"
#include "node_rpc.h"
#include "peer_messages.h"
#include "replica.h"
#include "settings.h"

struct peer_poll;

/** One node's response to a question. */
struct peer_response {
    /** Of the responding node. */
    const char *label;
    /** When the question was sent. */
    mono_time request_sent_at;
    uint64_t request_number;
    /** As in node_rpc_callback: 200, or why there is no response. */
    int status;
    /** May be NULL, whatever the status. */
    const cJSON *message;
};

/** Called once for each node that was asked, also when it does not respond in time. */
typedef void (*peer_response_callback)(void *ctx, const struct peer_response *response);

/** Creates it; no question has been asked. */
struct peer_poll *peer_poll_new(struct loop *loop, struct node_rpc *rpc,
                                const struct replica *replica, const struct settings *settings);
/** Frees it. */
void peer_poll_free(struct peer_poll *poll);

/** Asks all other nodes. Returns how many they are: `callback` is called as many times. */
guint peer_poll_send_to_all(struct peer_poll *poll, const char *kind,
                            peer_response_callback callback, void *ctx);

#endif
