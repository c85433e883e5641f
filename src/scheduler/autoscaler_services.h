/**
 * Capacity for services to come. Each zone keeps free on-demand capacity for about as many service
 * tasks as usually arrive while a machine boots; batch jobs may use it until then and are
 * preempted.
 */
#ifndef LL_AUTOSCALER_SERVICES_H
#define LL_AUTOSCALER_SERVICES_H

#include "autoscaler_plan.h"

/** Measures the mean size and the arrival rate of service tasks. */
void autoscaler_update_service_statistics(struct leader *leader);
/** Adds to the plan what zones lack for services to come, and notes each zone's shortfall. */
void autoscaler_plan_service_headroom(struct scale_out_plan *plan);
/**
 * Gives an idle machine up if its zone has enough capacity for services to come without it; the
 * capacity is then deducted from the zone's. Returns false when the machine has to be kept.
 */
bool autoscaler_release_service_headroom(struct leader *leader,
                                         const struct ledger_machine *machine);

#endif
