/**
 * Dispatch timeout: a task that was dispatched to a shard has to get a run record or be rejected in
 * time. If neither happens, the epoch is raised, which voids all dispatches.
 */
#ifndef LL_DISPATCH_TIMEOUT_H
#define LL_DISPATCH_TIMEOUT_H

#include "scheduler_internal.h"

/** Looks for dispatches that have timed out, unless it did so within the last few seconds. */
void dispatch_timeout_check(struct leader *leader);

#endif
