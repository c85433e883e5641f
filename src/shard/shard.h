/**
 * @file
 * A node's shard: the machines that the node owns according to the shard map, the sessions with
 * their agents, the placement of tasks on them, and the records of their runs.
 */
#ifndef LL_SHARD_H
#define LL_SHARD_H

#include "failure_detector.h"
#include "membership.h"
#include "node_rpc.h"
#include "replica.h"

struct shard;

/** The dependencies of a shard, all of which must outlive it. */
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

/** Creates a shard. It owns no machines until the replica shows a shard map. Free it with
 * shard_free(). */
struct shard *shard_new(const struct shard_setup *setup);
/** Frees the shard. Tasks on its machines keep running. */
void shard_free(struct shard *shard);
/** Starts the periodic checks and the status messages to the leader. */
void shard_start(struct shard *shard);

/** Deducts writes that other parts of this node have made to the key-value store from the shard's
 * write budget. */
void shard_charge_writes(struct shard *shard, guint write_count);

/** Handles a heartbeat of an agent (POST /agent/beat). The response is sent before this call
 * returns or, if the heartbeat is forwarded to the owner of the machine, later. */
void shard_handle_heartbeat(struct shard *shard, struct http_responder *responder,
                            connection_ref from, const struct http_request *request);

/** Bit flags that describe a machine in the shard's status message to the leader. The values are
 * part of the message format. */
enum machine_flag {
    /** The machine's agent has reported to the current owner. */
    MACHINE_REPORTED = 1,
    /** The machine cannot be reached and does not respond to probes. */
    MACHINE_UNREACHABLE = 2,
    /** The cloud has announced that it will reclaim the machine. */
    MACHINE_BEING_RECLAIMED = 4,
    /** The machine accepts no tasks at present, for any reason. */
    MACHINE_UNAVAILABLE = 8,
    /** The lease of the machine's agent expired well before now. */
    MACHINE_LEASE_EXPIRED = 16,
};

#endif
