/**
 * The cluster-wide switch of singleton roles, which is stored under ll/features. The leader turns
 * it on once every node supports singleton roles and the leader's own operators have enabled them,
 * and off once the operators of no live node have them enabled any more.
 */
#ifndef LL_FEATURE_SWITCH_H
#define LL_FEATURE_SWITCH_H

#include "scheduler_internal.h"

/** Turns the switch on or off if necessary. To be called periodically while this node leads. */
void feature_switch_update(struct leader *leader);

#endif
