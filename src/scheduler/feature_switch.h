/**
 * The switch of singleton roles, which is recorded under ll/features and holds for all nodes. The
 * leader turns it on once every node understands the roles and its own operators want them, and off
 * once no live node's operators want them any more.
 */
#ifndef LL_FEATURE_SWITCH_H
#define LL_FEATURE_SWITCH_H

#include "scheduler_internal.h"

/** Turns the switch if that is due. To be called regularly while this node leads. */
void feature_switch_update(struct leader *leader);

#endif
