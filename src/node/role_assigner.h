/* Which duties this node claims, and when it hands them on. It joins the duty package with the
 * node's view and membership.
 *
 * The fleet's duty goes with the lead, as what to rent follows from the quota ledger; the clean-up
 * goes to a node that does not lead. Without duties switched on in ll/features none is claimed. */
#ifndef LL_DUTY_KEEPER_H
#define LL_DUTY_KEEPER_H

#include "membership.h"
#include "role_manager.h"

struct duty_keeper;

struct duty_keeper *duty_keeper_new(struct loop *loop, struct store *store, struct view *view,
                                    struct membership *members, const struct settings *settings);
void duty_keeper_free(struct duty_keeper *keeper);
void duty_keeper_start(struct duty_keeper *keeper);
struct duties *duty_keeper_duties(struct duty_keeper *keeper);

#endif
