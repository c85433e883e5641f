/**
 * The plan of a scale-out: how many machines to rent of which offers. A plan has no effect until
 * its machines are requested; see autoscaler_orders.h.
 */
#ifndef LL_AUTOSCALER_PLAN_H
#define LL_AUTOSCALER_PLAN_H

#include "autoscaler_offers.h"

/** Limits the plan of one run of the autoscaler; the next run plans further machines. */
enum { MAX_PLANNED_MACHINES = 200 };

/** A number of machines to rent of one offer. */
struct planned_machines {
    struct machine_offer offer;
    int machine_count;
};

/** The machines to rent in one run of the autoscaler. */
struct scale_out_plan {
    /** The leader whose cloud provider supplies the offers. */
    struct leader *leader;
    /** Array of struct pending_capacity: the pending machines and the planned ones. */
    GArray *pending;
    /** Array of struct planned_machines, one for each offer, in the order of planning. */
    GArray *planned_machines;
    /** Total number of planned machines. */
    int machine_count;
};

/** Returns a new plan without machines, which takes pending capacity into account. */
struct scale_out_plan *scale_out_plan_new(struct leader *leader);
/** Frees a plan and its arrays. */
void scale_out_plan_free(struct scale_out_plan *plan);
/**
 * Adds capacity for `task_count` tasks to the plan: unclaimed pending capacity first, then new
 * machines. Returns the number of tasks left without capacity because no offer is suitable or the
 * plan has reached MAX_PLANNED_MACHINES.
 */
int64_t scale_out_plan_add_tasks(struct scale_out_plan *plan,
                                 const struct capacity_request *request, int64_t task_count);

#endif
