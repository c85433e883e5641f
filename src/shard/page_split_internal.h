/**
 * @file
 * Pages that exceed the limits, as the state service accepted longer values when they were written.
 * They are split by transactions of their own, before this node writes anything else.
 */
#ifndef LL_PAGE_SPLIT_INTERNAL_H
#define LL_PAGE_SPLIT_INTERNAL_H

#include "shard_internal.h"

/** Whether any page of the node with that label is too long. */
bool shard_node_has_oversized_page(const struct shard *shard, const char *label);

/** Whether there is a page that this node is to split, and not tried a moment ago. */
bool shard_split_is_due(struct shard *shard);

/** Splits a page, or a part of it; to be called when that is due and no transaction is in flight.
 * Returns false if it cannot be split until all nodes support what that takes: other records may be
 * written meanwhile. */
bool shard_split_page(struct shard *shard);

#endif
