/** The autoscaler: rents missing machines and returns machines that are idle or unusable. */
#ifndef LL_AUTOSCALER_H
#define LL_AUTOSCALER_H

#include "scheduler_internal.h"

/** Runs the autoscaler, unless it already ran within the last SCALE_INTERVAL_MS. */
void autoscaler_run(struct leader *leader);
/**
 * Returns whether the machine is idle: no task is allocated or dispatched to it, and no gang
 * reserves it or could use it.
 */
bool autoscaler_is_machine_idle(const struct ledger_machine *machine);

#endif
