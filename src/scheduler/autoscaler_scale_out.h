/** The decision how many machines to rent, and by which offers. */
#ifndef LL_AUTOSCALER_SCALE_OUT_H
#define LL_AUTOSCALER_SCALE_OUT_H

#include "autoscaler_plan.h"

/**
 * Plans what waiting jobs, services to come and the operators' spare CPUs lack. Needs the cloud's
 * machine types and its list of machines. The caller frees the plan.
 */
struct scale_out_plan *autoscaler_plan_scale_out(struct leader *leader);

#endif
