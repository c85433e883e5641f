/**
 * Garbage collection of departed nodes: removes their record pages and machine inventories from the
 * key-value store once other nodes have taken everything over. Every node runs it; it acts on the
 * node that holds ROLE_GARBAGE_COLLECTOR or, while singleton roles are off, on the leader.
 */
#ifndef LL_GARBAGE_COLLECTOR_H
#define LL_GARBAGE_COLLECTOR_H

#include "membership.h"
#include "replica.h"
#include "role_manager.h"

struct garbage_collector;

/** Makes a collector that does nothing yet. Its collaborators outlive it. */
struct garbage_collector *garbage_collector_new(struct loop *loop, struct kv_client *kv,
                                                struct replica *replica,
                                                struct membership *membership,
                                                struct role_manager *role_manager);
/** Stops and frees the collector. The key-value client may not call back afterwards. */
void garbage_collector_free(struct garbage_collector *collector);
/** Collects from now on, every few seconds. */
void garbage_collector_start(struct garbage_collector *collector);

#endif
