/* Removes what nodes that are away left in the state service: pages and lists of machines that
 * others have taken over. Every node has this actor; it acts where the duty is, or, without duties,
 * on the leader. */
#ifndef LL_CLEANUP_H
#define LL_CLEANUP_H

#include "membership.h"
#include "replica.h"
#include "role_manager.h"

struct cleanup;

struct cleanup *cleanup_new(struct loop *loop, struct store *store, struct view *view,
                            struct membership *members, struct duties *duties);
void cleanup_free(struct cleanup *cleanup);
void cleanup_start(struct cleanup *cleanup);

#endif
