/** Builds the plan of a scale-out. */
#include "autoscaler_plan.h"

struct scale_out_plan *scale_out_plan_new(struct leader *leader)
{
    struct scale_out_plan *plan = g_new0(struct scale_out_plan, 1);
    plan->leader = leader;
    plan->pending = pending_capacity_list(leader);
    plan->planned_machines = g_array_new(FALSE, FALSE, sizeof(struct planned_machines));
    return plan;
}

void scale_out_plan_free(struct scale_out_plan *plan)
{
    g_array_unref(plan->pending);
    g_array_unref(plan->planned_machines);
    g_free(plan);
}

static bool is_same_offer(const struct machine_offer *a, const struct machine_offer *b)
{
    return a->type == b->type && a->zone == b->zone && a->is_spot == b->is_spot;
}

/** Returns the plan's entry for an offer, which is added if it does not exist. */
static struct planned_machines *ensure_planned_machines(struct scale_out_plan *plan,
                                                        const struct machine_offer *offer)
{
    for (guint i = 0; i < plan->planned_machines->len; i++) {
        struct planned_machines *planned =
            &g_array_index(plan->planned_machines, struct planned_machines, i);
        if (is_same_offer(&planned->offer, offer))
            return planned;
    }
    struct planned_machines added = {.offer = *offer};
    g_array_append_val(plan->planned_machines, added);
    return &g_array_index(plan->planned_machines, struct planned_machines,
                          plan->planned_machines->len - 1);
}

static void add_machine(struct scale_out_plan *plan, const struct machine_offer *offer)
{
    ensure_planned_machines(plan, offer)->machine_count++;
    plan->machine_count++;
    pending_capacity_add(plan->pending, offer->type->name, offer->zone, offer->is_spot,
                         resources_of_machine_type(offer->type));
}

int64_t scale_out_plan_add_tasks(struct scale_out_plan *plan,
                                 const struct capacity_request *request, int64_t task_count)
{
    task_count = pending_capacity_claim(plan->pending, request, task_count);
    while (task_count > 0) {
        struct machine_offer offer;
        if (plan->machine_count >= MAX_PLANNED_MACHINES ||
            !machine_offer_find_cheapest(plan->leader, request, task_count, &offer))
            return task_count;
        add_machine(plan, &offer);
        task_count = pending_capacity_claim(plan->pending, request, task_count);
    }
    return 0;
}
