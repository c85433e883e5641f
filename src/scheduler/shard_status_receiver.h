/* What shards tell the leader, in digests: their machines, deals that they give back, and how tasks
 * ended. The answer names the machines that are to get nothing more. */
#ifndef LL_LEADER_DIGEST_H
#define LL_LEADER_DIGEST_H

#include "scheduler_internal.h"

/* Handles the bus message "digest". ctx: the leader. */
int shard_status_receiver_handle(void *ctx, const char *from, const cJSON *status, cJSON **answer);

#endif
