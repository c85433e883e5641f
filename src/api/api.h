/**
 * @file
 * The HTTP API of a node: submissions, polls and cancellations of jobs, and the readiness check. It
 * also routes the agents' heartbeats to the shard. Every node serves the API, leader or not.
 */
#ifndef LL_API_H
#define LL_API_H

#include "failure_detector.h"
#include "shard.h"

struct api;

/** The dependencies of the API, all of which must outlive it. */
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

/** Creates the API, and makes it serve the requests that peers forward to this node. */
struct api *api_new(const struct api_setup *setup);
/** Frees the API. No server may pass requests to it any more. */
void api_free(struct api *api);

/**
 * Serves one request. This is the http_handler of the server on the address in the setting
 * `api_addr`. The response may be sent after the function returns.
 *
 * @param context  the struct api
 */
void api_serve(void *context, struct http_responder *responder, connection_ref from,
               const struct http_request *request);

#endif
