/**
 * @file
 * Decides which singleton roles this node claims, releases or hands over, and connects the role
 * manager to the node's replica and membership.
 *
 * The leader holds the autoscaler role, as scaling decisions follow from its quota ledger. A node
 * other than the leader holds the garbage collector role, if there is one. While singleton roles
 * are disabled in `ll/features`, no node claims a role.
 */
#ifndef LL_ROLE_ASSIGNER_H
#define LL_ROLE_ASSIGNER_H

#include "membership.h"
#include "role_manager.h"

struct role_assigner;

/** Creates an assigner and its role manager. All arguments must outlive the assigner. */
struct role_assigner *role_assigner_new(struct loop *loop, struct kv_client *kv,
                                        struct replica *replica, struct membership *membership,
                                        const struct settings *settings);
/** Frees the assigner and its role manager. */
void role_assigner_free(struct role_assigner *assigner);
/** Starts the periodic check of the role assignment. */
void role_assigner_start(struct role_assigner *assigner);

/** Returns the role manager, which the assigner owns. */
struct role_manager *role_assigner_get_manager(struct role_assigner *assigner);

#endif
