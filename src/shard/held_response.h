/**
 * @file
 * Responses to heartbeats that wait for a task to be started.
 */
#ifndef LL_HELD_RESPONSE_H
#define LL_HELD_RESPONSE_H

#include "shard_internal.h"

/** Holds back the response to the newest heartbeat of a machine for a short time. */
void shard_hold_response(struct shard *shard, struct machine *machine,
                         struct http_responder *responder, connection_ref connection);
/** Sends the response that is held back for a machine, if there is one, with the commands that are
 * due now. */
void shard_release_response(struct shard *shard, struct machine *machine);
/** Sends all responses that are held back. */
void shard_release_all_responses(struct shard *shard);
/** Discards the response that is held back for a machine, if there is one. */
void shard_drop_held_response(struct machine *machine);

#endif
