/**
 * Status reports from the shards to the leader: their machines, rejected dispatches, and how tasks
 * ended. The response lists the machines on which nothing more may be placed.
 */
#ifndef LL_SHARD_STATUS_RECEIVER_H
#define LL_SHARD_STATUS_RECEIVER_H

#include "scheduler_internal.h"

/**
 * Handles the message SHARD_MESSAGE_STATUS ("digest") of node_rpc; `ctx` is the leader. Returns an
 * HTTP status: 200 if the report was applied; 400 if the message is malformed; 409 if it belongs to
 * another epoch, is repeated, or is partial without a preceding full report. After 409 the shard's
 * next report is a full one.
 */
int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *json, cJSON **response);

#endif
