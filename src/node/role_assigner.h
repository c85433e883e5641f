/**
 * @file
 * Decides which singleton roles this node claims, releases or hands over, and joins the role
 * manager with the node's replica and membership.
 *
 * The leader holds the autoscaler's role, as what to scale follows from its quota ledger. A node
 * that does not lead holds the garbage collector's. While singleton roles are disabled in
 * `ll/features` no node claims any.
 */
#ifndef LL_ROLE_ASSIGNER_H
#define LL_ROLE_ASSIGNER_H

#include "membership.h"
#include "role_manager.h"

struct role_assigner;

/** Creates the assigner with its role manager. */
struct role_assigner *role_assigner_new(struct loop *loop, struct kv_client *kv,
                                        struct replica *replica, struct membership *membership,
                                        const struct settings *settings);
/** Frees both. */
void role_assigner_free(struct role_assigner *assigner);
/** Starts its periodic check. */
void role_assigner_start(struct role_assigner *assigner);

/** The role manager that the assigner owns. */
struct role_manager *role_assigner_get_manager(struct role_assigner *assigner);

#endif
