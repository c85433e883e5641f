/**
 * @file
 * Changes of the shard map's epoch.
 */
#ifndef LL_SHARD_EPOCH_INTERNAL_H
#define LL_SHARD_EPOCH_INTERNAL_H

#include "shard_internal.h"

/** Moves the shard to the epoch of the replica's shard map. */
void shard_begin_epoch(struct shard *shard);

#endif
