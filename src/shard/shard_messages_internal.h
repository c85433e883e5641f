/**
 * @file
 * Sending and receiving of the messages between this node's shard and the leader, see
 * shard_messages.h.
 */
#ifndef LL_SHARD_MESSAGES_INTERNAL_H
#define LL_SHARD_MESSAGES_INTERNAL_H

#include "shard_internal.h"
#include "shard_messages.h"

/** Handles a dispatch message; a node_rpc_handler. Returns HTTP_STATUS_CONFLICT if the sender is
 * not the leader, the message belongs to another epoch, or this node has no valid lease.
 * @param ctx the struct shard. */
int shard_handle_dispatch_message(void *ctx, const char *from, const cJSON *json, cJSON **response);

/** Starts sending the shard's status to the leader. */
void shard_status_start(struct shard *shard);
/** Sends the shard's status to the leader: changed machines, rejected dispatches and events. A
 * timer callback.
 * @param arg the struct shard. */
void shard_send_status(void *arg);

#endif
