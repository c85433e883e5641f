/**
 * Garbage collection for departed nodes: removes their record pages and machine inventories from
 * the key-value store once other nodes have taken over the contents. Every node runs a collector,
 * but only one is active: that of the node that holds ROLE_GARBAGE_COLLECTOR or, while singleton
 * roles are disabled, that of the leader.
 */
#ifndef LL_GARBAGE_COLLECTOR_H
#define LL_GARBAGE_COLLECTOR_H

#include "membership.h"
#include "replica.h"
#include "role_manager.h"

struct garbage_collector;

/** Creates a collector, which is idle until it is started. All arguments must outlive it. */
struct garbage_collector *garbage_collector_new(struct loop *loop, struct kv_client *kv,
                                                struct replica *replica,
                                                struct membership *membership,
                                                struct role_manager *role_manager);
/**
 * Stops and frees the collector. The key-value client must not run the collector's callbacks
 * afterwards.
 */
void garbage_collector_free(struct garbage_collector *collector);
/** Starts collecting periodically. */
void garbage_collector_start(struct garbage_collector *collector);

#endif
