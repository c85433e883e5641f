/**
 * @file
 * The shard map: which node owns which machine.
 *
 * The map is a list of nodes with an epoch, written by the leader. Each machine's owner is one of
 * them, by rendezvous hashing, so that a node which joins or leaves changes the owners of as few
 * machines as possible.
 */
#ifndef LL_SHARD_MAP_H
#define LL_SHARD_MAP_H

#include "replica.h"

/** Returns the label of the node that owns the machine; NULL if there is no map. */
const char *shard_map_get_owner(const struct replica *replica, const char *machine);

/** Whether the map names that process of the node. */
bool shard_map_contains(const struct replica *replica, const char *label, lease_id incarnation);

#endif
