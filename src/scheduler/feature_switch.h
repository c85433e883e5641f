/* The recorded switch of duties, ll/features: on once all nodes understand them, the leader's
 * operators want them and not before; off when no live node's operators want them any more. */
#ifndef LL_LEADER_SWITCH_H
#define LL_LEADER_SWITCH_H

#include "scheduler_internal.h"

/* Turns the switch if that is due. */
void feature_switch_update(struct leader *leader);

#endif
