/**
 * @file
 * A node's shard: the machines that it owns by the shard map, the sessions with their agents, the
 * placement of tasks on them, and the records of their runs.
 */
#ifndef LL_SHARD_H
#define LL_SHARD_H

#include "failure_detector.h"
#include "membership.h"
#include "node_rpc.h"
#include "replica.h"

struct shard;

/** What a shard works with; all of it outlives the shard. */
struct shard_setup {
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *node_rpc;
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
    struct failure_detector *failure_detector;
    const struct settings *settings;
};

/** A new shard, which owns no machines until the replica shows a shard map. Free with shard_free().
 */
struct shard *shard_new(const struct shard_setup *setup);
/** Frees the shard. Tasks on machines go on. */
void shard_free(struct shard *shard);
/** Begins the regular checks and status messages. */
void shard_start(struct shard *shard);

/** Other parts of this node have made writes to the state service, which are taken off the write
 * budget. */
void shard_charge_writes(struct shard *shard, guint write_count);

/** Handles a heartbeat of an agent (POST /agent/beat); it is responded to in this call or, if it is
 * forwarded to the owner of the machine, later. */
void shard_handle_heartbeat(struct shard *shard, struct http_responder *responder,
                            connection_ref from, const struct http_request *request);

/** What the shard's status says of a machine to the leader: a sum of flags, part of the message. */
enum machine_flag {
    /** Its agent has reported to this owner. */
    MACHINE_REPORTED = 1,
    /** It is silent, and does not answer probes. */
    MACHINE_UNREACHABLE = 2,
    /** The cloud takes it back. */
    MACHINE_BEING_RECLAIMED = 4,
    /** It takes no tasks now, for whatever reason. */
    MACHINE_UNAVAILABLE = 8,
    /** Its agent's lease has expired well before now. */
    MACHINE_LEASE_EXPIRED = 16,
};

#endif
