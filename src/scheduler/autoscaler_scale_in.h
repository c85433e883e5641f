/* What the leader returns. */
#ifndef LL_LEADER_RETURN_H
#define LL_LEADER_RETURN_H

#include "scheduler_internal.h"

/* Returns machines that are no use or idle, and tells their owners of those that are gone. */
void autoscaler_scale_in(struct leader *leader);

#endif
