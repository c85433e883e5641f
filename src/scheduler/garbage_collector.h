/* Removes what nodes that are away left in the state service: pages and lists of machines that
 * others have taken over. Every node has this actor; it acts where the duty is, or, without duties,
 * on the leader. */
#ifndef LL_CLEANUP_H
#define LL_CLEANUP_H

#include "membership.h"
#include "replica.h"
#include "role_manager.h"

struct garbage_collector;

struct garbage_collector *garbage_collector_new(struct loop *loop, struct kv_client *kv,
                                                struct replica *replica,
                                                struct membership *membership,
                                                struct role_manager *manager);
void garbage_collector_free(struct garbage_collector *collector);
void garbage_collector_start(struct garbage_collector *collector);

#endif
