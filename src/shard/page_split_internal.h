/**
 * @file
 * Splitting pages that exceed the size limit because the state service accepted longer values when
 * they were written. They are split by transactions of their own, before this node writes anything
 * else.
 */
#ifndef LL_PAGE_SPLIT_INTERNAL_H
#define LL_PAGE_SPLIT_INTERNAL_H

#include "shard_internal.h"

/** Returns whether any page of the node with that label is oversized. */
bool shard_node_has_oversized_page(const struct shard *shard, const char *label);

/** Returns whether there is a page for this node to split, and no failed attempt was made a moment
 * ago. */
bool shard_split_is_due(struct shard *shard);

/** Splits a page, or copies part of it. Must only be called when a split is due and no transaction
 * is in flight. Returns false if the page cannot be split until all nodes support the new format;
 * other records may be written in the meantime. */
bool shard_split_page(struct shard *shard);

#endif
