/* The users' side: submissions, polls, cancellations, health. Every node has one. */
#ifndef LL_FRONTEND_H
#define LL_FRONTEND_H

#include "peers.h"
#include "shard.h"

struct frontend;

struct node;

struct frontend *frontend_new(const struct node *node);
void frontend_free(struct frontend *frontend);
/* For the server on the API's address. */
void frontend_serve(void *frontend, struct http_replier *replier, conn_ref from,
                    const struct http_request *request);

#endif
