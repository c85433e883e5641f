/** Carries out the autoscaler's decisions: orders to the cloud provider, notices to the shards. */
#ifndef LL_AUTOSCALER_ORDERS_H
#define LL_AUTOSCALER_ORDERS_H

#include "autoscaler_plan.h"

/** Orders the planned machines, in requests of at most MAX_MACHINES_PER_SCALE_OUT. */
void autoscaler_request_scale_out(struct cloud_provider *cloud, const struct scale_out_plan *plan);
/** Orders the machines of an array of struct scale_in_decision to be returned. */
void autoscaler_request_scale_in(struct cloud_provider *cloud, const GArray *decisions);
/** Notifies the owners of machines that the cloud has confirmed to be gone. */
void autoscaler_notify_owners_of_returns(struct leader *leader);

#endif
