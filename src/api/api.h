/* The users' side: submissions, polls, cancellations, health. Every node has one. */
#ifndef LL_FRONTEND_H
#define LL_FRONTEND_H

#include "failure_detector.h"
#include "shard.h"

struct api;

/* What it works with; all of it outlives the frontend. */
struct frontend_setup {
    struct loop *loop;
    struct kv_client *store;
    struct replica *view;
    struct membership *members;
    struct node_rpc *bus;
    struct cancel_broadcast *cancel_broadcast;
    struct failure_detector *failure_detector;
    struct shard *shard;
    const struct settings *settings;
};

struct api *api_new(const struct frontend_setup *setup);
void api_free(struct api *api);
/* For the server on the API's address. */
void api_serve(void *frontend, struct http_responder *responder, connection_ref from,
               const struct http_request *request);

#endif
