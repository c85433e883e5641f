/* The users' side: submissions, polls, cancellations, health. Every node has one. */
#ifndef LL_FRONTEND_H
#define LL_FRONTEND_H

#include "peers.h"
#include "shard.h"

struct frontend;

/* What it works with; all of it outlives the frontend. */
struct frontend_setup {
    struct loop *loop;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    struct peers *peers;
    struct shard *shard;
    const struct settings *settings;
};

struct frontend *frontend_new(const struct frontend_setup *setup);
void frontend_free(struct frontend *frontend);
/* For the server on the API's address. */
void frontend_serve(void *frontend, struct http_replier *replier, conn_ref from,
                    const struct http_request *request);

#endif
