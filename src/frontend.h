/* The users' side: submissions, polls, cancellations, health. Every node has one. */
#ifndef LL_FRONTEND_H
#define LL_FRONTEND_H

#include "part.h"
#include "peers.h"

struct frontend;

struct node;

struct frontend *frontend_new(const struct node *n);
void frontend_free(struct frontend *f);
/* For the server on the API's address. */
void frontend_serve(void *frontend, struct http_replier *replier, conn_ref from,
                    const struct http_request *r);

#endif
