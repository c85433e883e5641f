/**
 * @file
 * Inventories: values that describe many machines each, so that record pages need not describe
 * them. They are written by transactions of their own, when shard_flush() finds one due.
 */
#ifndef LL_MACHINE_INVENTORY_INTERNAL_H
#define LL_MACHINE_INVENTORY_INTERNAL_H

#include "shard_internal.h"

/** Updates this node's inventories, and which of them lists each machine, to match the replica. */
void shard_inventories_reconcile(struct shard *shard);

/** Returns whether an inventory has to be written: machines with runs are not listed in any, or one
 * lists machines that this node does not own any more. */
bool shard_inventory_is_due(struct shard *shard);

/** Marks the inventory that lists the machine, if any, as outdated, so that it is rewritten without
 * the machine. */
void shard_inventory_mark_stale(struct shard *shard, const struct machine *machine);

/** Writes one inventory. Must only be called when one is due and no transaction is in flight. */
void shard_inventory_write(struct shard *shard);

#endif
