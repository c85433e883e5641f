/* Deals that are stuck, which the leader looks for now and then. */
#ifndef LL_LEADER_SWEEP_H
#define LL_LEADER_SWEEP_H

#include "scheduler_internal.h"

/* Does so if it was not done within the last few seconds. */
void dispatch_timeout_check(struct leader *leader);

#endif
