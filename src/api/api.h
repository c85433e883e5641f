/** The users' interface of one node: submissions, polls, cancellations and health; it also routes
 * the agents' heartbeats to the shard. Every node has one, whoever leads. */
#ifndef LL_API_H
#define LL_API_H

#include "failure_detector.h"
#include "shard.h"

struct api;

/** What the interface works with. All of it outlives the interface. */
struct api_setup {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *rpc;
    struct cancel_broadcast *cancel_broadcast;
    struct failure_detector *failure_detector;
    struct shard *shard;
    const struct settings *settings;
};

struct api *api_new(const struct api_setup *setup);
void api_free(struct api *api);

/** Serves one request; an http_handler for the server on the settings' `api_addr`. The response may
 * come later. `context` is the struct api. */
void api_serve(void *context, struct http_responder *responder, connection_ref from,
               const struct http_request *request);

#endif
