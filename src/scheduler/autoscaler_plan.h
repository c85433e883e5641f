/**
 * The plan of a scale-out: how many machines to rent by which offer. It is only a decision; see
 * autoscaler_orders.h for what carries it out.
 */
#ifndef LL_AUTOSCALER_PLAN_H
#define LL_AUTOSCALER_PLAN_H

#include "autoscaler_offers.h"

/** Bounds the plan of one run of the autoscaler; the next run goes on from there. */
enum { MAX_PLANNED_MACHINES = 200 };

/** Machines to rent by one offer. */
struct planned_machines {
    struct machine_offer offer;
    int machine_count;
};

/** A plan of machines to rent. */
struct scale_out_plan {
    /** Whose offers are used. */
    struct leader *leader;
    /** struct pending_capacity: machines that are pending already, and those that are planned. */
    GArray *pending;
    /** struct planned_machines, one for each offer, in the order in which they were planned. */
    GArray *planned_machines;
    /** Sum over all offers. */
    int machine_count;
};

/** Returns an empty plan, which knows what is pending already. */
struct scale_out_plan *scale_out_plan_new(struct leader *leader);
void scale_out_plan_free(struct scale_out_plan *plan);
/**
 * Plans capacity for `task_count` more tasks: first what is pending and not claimed, then new
 * machines. Returns how many tasks found none, as no offer suits them or the plan is full.
 */
int64_t scale_out_plan_add_tasks(struct scale_out_plan *plan,
                                 const struct capacity_request *request, int64_t task_count);

#endif
