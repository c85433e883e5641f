/* A node's machines: their workers' reports, the queues of what was dealt here, placement by ARQ,
 * commands and run records. */
#ifndef LL_SHARD_H
#define LL_SHARD_H

#include "membership.h"
#include "node_rpc.h"
#include "peers.h"
#include "replica.h"

struct shard;

/* What it works with; all of it outlives the shard. */
struct shard_setup {
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    struct peers *peers;
    const struct settings *settings;
};

struct shard *shard_new(const struct shard_setup *setup);
void shard_free(struct shard *shard);
void shard_start(struct shard *shard);

/* Other actors of this node have made so many writes, which count in its share. */
void shard_charge_writes(struct shard *shard, guint writes);

/* POST /agent/beat */
void shard_report(struct shard *shard, struct http_replier *replier, conn_ref from,
                  const struct http_request *request);

/* What a machine's flags say in the digest that a part sends to the leader. */
enum host_flag {
    HOST_KNOWN = 1,     /* its worker has reported to this owner */
    HOST_LOST = 2,      /* silent, and it does not answer either */
    HOST_RECLAIMED = 4, /* the cloud takes it back */
    HOST_QUIET = 8,     /* not heard of for longer than usual */
    HOST_LAPSED = 16,   /* lost for so long that its lease has run out well before */
};

#endif
