/**
 * @file
 * Epochs of the shard map.
 */
#ifndef LL_SHARD_EPOCH_INTERNAL_H
#define LL_SHARD_EPOCH_INTERNAL_H

#include "shard_internal.h"

/** Takes the shard to the epoch of the replica's shard map. */
void shard_begin_epoch(struct shard *shard);

#endif
