/**
 * Carries out the autoscaler's decisions: sends requests to the cloud provider and notifies the
 * shards that own returned machines.
 */
#ifndef LL_AUTOSCALER_ORDERS_H
#define LL_AUTOSCALER_ORDERS_H

#include "autoscaler_plan.h"

/** Requests the planned machines, at most MAX_MACHINES_PER_SCALE_OUT in each request. */
void autoscaler_request_scale_out(struct cloud_provider *cloud, const struct scale_out_plan *plan);
/** Requests the return of the machines in `decisions`, an array of struct scale_in_decision. */
void autoscaler_request_scale_in(struct cloud_provider *cloud, const GArray *decisions);
/** Notifies the owners of all machines whose return the cloud has confirmed. */
void autoscaler_notify_owners_of_returns(struct leader *leader);

#endif
