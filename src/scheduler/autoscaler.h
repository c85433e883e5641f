/** The autoscaler: rents machines that are lacking and returns those that are idle or unusable. */
#ifndef LL_AUTOSCALER_H
#define LL_AUTOSCALER_H

#include "scheduler_internal.h"

/** Runs the autoscaler, unless it ran within the last SCALE_INTERVAL_MS. */
void autoscaler_run(struct leader *leader);
/** Whether no task is allocated or dispatched to the machine and no gang reserves or wants it. */
bool autoscaler_is_machine_idle(const struct ledger_machine *machine);

#endif
