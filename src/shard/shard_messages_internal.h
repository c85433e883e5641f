/**
 * @file
 * Sending and receiving the messages between this node's shard and the leader, see
 * shard_messages.h.
 */
#ifndef LL_SHARD_MESSAGES_INTERNAL_H
#define LL_SHARD_MESSAGES_INTERNAL_H

#include "shard_internal.h"
#include "shard_messages.h"

/** Handles a message of the leader; a node_rpc handler. Answers HTTP_STATUS_CONFLICT if the sender
 * is not the leader, or of another epoch.
 * @param ctx the struct shard. */
int shard_handle_dispatch_message(void *ctx, const char *from, const cJSON *json, cJSON **response);

/** Begins to send the leader the shard's status. */
void shard_status_start(struct shard *shard);
/** Sends the leader the shard's status: what has changed with its machines, dispatches that it
 * hands back, and events. A timer callback.
 * @param arg the struct shard. */
void shard_send_status(void *arg);

#endif
