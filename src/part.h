/* A node's machines: their workers' reports, the queues of what was dealt here, placement by ARQ,
 * commands and run records. */
#ifndef LL_PART_H
#define LL_PART_H

#include "bus.h"
#include "membership.h"
#include "peers.h"
#include "view.h"

struct part;

struct node;

struct part *part_new(const struct node *n);
void part_free(struct part *p);
void part_start(struct part *p);

/* POST /agent/beat */
void part_report(struct part *p, struct http_replier *replier, conn_ref from,
                 const struct http_request *q);

/* What a machine's flags say in the digest that a part sends to the leader. */
enum host_flag {
    HOST_KNOWN = 1,    /* its worker has reported to this owner */
    HOST_LOST = 2,     /* silent, and it does not answer either */
    HOST_RECALLED = 4, /* the cloud takes it back */
    HOST_QUIET = 8,    /* not heard of for longer than usual */
    HOST_LAPSED = 16,  /* lost for so long that its lease has run out well before */
};

#endif
