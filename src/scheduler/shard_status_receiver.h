/**
 * Status reports from the shards to the leader: their machines, dispatches they reject, and how
 * tasks ended. The answer names the machines on which nothing more may be placed.
 */
#ifndef LL_SHARD_STATUS_RECEIVER_H
#define LL_SHARD_STATUS_RECEIVER_H

#include "scheduler_internal.h"

/** Handles the message "digest" of node_rpc. ctx is the leader. Returns an HTTP status: 400 when
 * the message is malformed; 409 when it is of another epoch, repeated, or partial without a full
 * one before it, upon which the shard's next report is a full one. */
int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *json, cJSON **response);

#endif
