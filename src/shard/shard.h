/* A node's machines: their workers' reports, the queues of what was dealt here, placement by ARQ,
 * commands and run records. */
#ifndef LL_SHARD_H
#define LL_SHARD_H

#include "failure_detector.h"
#include "membership.h"
#include "node_rpc.h"
#include "replica.h"

struct shard;

/* What it works with; all of it outlives the shard. */
struct shard_setup {
    struct loop *loop;
    struct http_client *net;
    struct kv_client *store;
    struct replica *view;
    struct membership *members;
    struct node_rpc *bus;
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
    struct failure_detector *failure_detector;
    const struct settings *settings;
};

struct shard *shard_new(const struct shard_setup *setup);
void shard_free(struct shard *shard);
void shard_start(struct shard *shard);

/* Other actors of this node have made so many writes, which count in its share. */
void shard_charge_writes(struct shard *shard, guint writes);

/* POST /agent/beat */
void shard_handle_heartbeat(struct shard *shard, struct http_responder *responder,
                            connection_ref from, const struct http_request *request);

/* What a machine's flags say in the digest that a part sends to the leader. */
enum machine_flag {
    MACHINE_KNOWN = 1,          /* its worker has reported to this owner */
    MACHINE_UNREACHABLE = 2,    /* silent, and it does not answer either */
    MACHINE_RECLAIMED = 4,      /* the cloud takes it back */
    MACHINE_UNAVAILABLE = 8,    /* not heard of for longer than usual */
    MACHINE_LEASE_EXPIRED = 16, /* lost for so long that its lease has run out well before */
};

#endif
