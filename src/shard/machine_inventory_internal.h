/**
 * @file
 * Inventories: one value each, that describes many machines, so that pages need not. They are
 * written by transactions of their own, when shard_flush() finds one due.
 */
#ifndef LL_MACHINE_INVENTORY_INTERNAL_H
#define LL_MACHINE_INVENTORY_INTERNAL_H

#include "shard_internal.h"

/** Makes this node's inventories, and which of them lists each machine, agree with the replica. */
void shard_inventories_reconcile(struct shard *shard);

/** Whether an inventory is to be written: machines with runs are listed nowhere, or one lists
 * machines that this node does not own any more. */
bool shard_inventory_is_due(struct shard *shard);

/** Notes that a machine is not to be listed any more. */
void shard_inventory_mark_stale(struct shard *shard, const struct machine *machine);

/** Writes one inventory; to be called when one is due and no transaction is in flight. */
void shard_inventory_write(struct shard *shard);

#endif
