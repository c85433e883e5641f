/* What the leader clears up now and then: pages and inventories of nodes that are away, and deals
 * that are stuck. */
#ifndef LL_LEADER_SWEEP_H
#define LL_LEADER_SWEEP_H

#include "leader_state.h"

/* Does so if it was not done within the last few seconds. */
void leader_sweep(struct leader *leader);

#endif
