/**
 * Headroom for services: on-demand capacity that is kept free in each zone for about as many
 * service tasks as usually arrive while a machine boots. Batch jobs may use this capacity until
 * services arrive and preempt them.
 */
#ifndef LL_AUTOSCALER_SERVICES_H
#define LL_AUTOSCALER_SERVICES_H

#include "autoscaler_plan.h"

/** Updates the mean request and the arrival rate of service tasks. */
void autoscaler_update_service_statistics(struct leader *leader);
/**
 * Adds the headroom that zones are missing to the plan, and stores each zone's shortfall for
 * autoscaler_release_service_headroom().
 */
void autoscaler_plan_service_headroom(struct scale_out_plan *plan);
/**
 * Releases an idle machine from the headroom of its zone, if the zone has enough headroom without
 * the machine, and increases the zone's shortfall accordingly. Returns false if the machine must be
 * kept.
 */
bool autoscaler_release_service_headroom(struct leader *leader,
                                         const struct ledger_machine *machine);

#endif
