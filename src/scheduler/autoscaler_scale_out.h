/** Decides how many machines to rent, and of which offers. */
#ifndef LL_AUTOSCALER_SCALE_OUT_H
#define LL_AUTOSCALER_SCALE_OUT_H

#include "autoscaler_plan.h"

/**
 * Plans machines for the waiting jobs, for the headroom of services and for the spare CPUs that the
 * operators' policy asks for. The cloud's machine types and its list of machines must be known. The
 * caller frees the plan.
 */
struct scale_out_plan *autoscaler_plan_scale_out(struct leader *leader);

#endif
