/**
 * Dispatch timeout: a task that was dispatched to a shard must get a run record or be rejected in
 * time. Otherwise the leader raises the epoch, which invalidates all dispatches.
 */
#ifndef LL_DISPATCH_TIMEOUT_H
#define LL_DISPATCH_TIMEOUT_H

#include "scheduler_internal.h"

/** Checks all dispatches for timeouts, unless it already did within the last few seconds. */
void dispatch_timeout_check(struct leader *leader);

#endif
