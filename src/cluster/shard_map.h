/**
 * @file
 * Determines which node owns a machine by the shard map.
 *
 * The shard map is a list of nodes with an epoch, written by the leader. The owner of each machine
 * is chosen from the list by rendezvous hashing, so that as few machines as possible change owner
 * when a node joins or leaves.
 */
#ifndef LL_SHARD_MAP_H
#define LL_SHARD_MAP_H

#include "replica.h"

/** Returns the label of the node that owns the machine; NULL if the shard map has no nodes. */
const char *shard_map_get_owner(const struct replica *replica, const char *machine);

/** Returns whether the shard map lists a process of the node. */
bool shard_map_has_label(const struct replica *replica, const char *label);

/** Returns whether the shard map lists the process with that incarnation of the node. */
bool shard_map_contains(const struct replica *replica, const char *label, lease_id incarnation);

#endif
