/* Which duties this node claims, and when it hands them on. It joins the duty package with the
 * node's view and membership.
 *
 * The fleet's duty goes with the lead, as what to rent follows from the quota ledger; the clean-up
 * goes to a node that does not lead. Without duties switched on in ll/features none is claimed. */
#ifndef LL_DUTY_KEEPER_H
#define LL_DUTY_KEEPER_H

#include "membership.h"
#include "role_manager.h"

struct role_assigner;

struct role_assigner *role_assigner_new(struct loop *loop, struct kv_client *kv,
                                        struct replica *replica, struct membership *membership,
                                        const struct settings *settings);
void role_assigner_free(struct role_assigner *assigner);
void role_assigner_start(struct role_assigner *assigner);
struct role_manager *role_assigner_get_manager(struct role_assigner *assigner);

#endif
