/** Selects the cloud's cheapest offer for given tasks, and detects zones that are unreachable. */
#ifndef LL_AUTOSCALER_OFFERS_H
#define LL_AUTOSCALER_OFFERS_H

#include "autoscaler_capacity.h"

/** An offer of the cloud: a machine type in one zone, as a spot or an on-demand machine. */
struct machine_offer {
    /** Owned by the cloud provider; valid during one run of the autoscaler. */
    const struct machine_type *type;
    /** One of type->zones. */
    const char *zone;
    bool is_spot;
};

/**
 * Finds the available offer with the lowest price per task for `task_count` tasks, where a long
 * boot time counts as a higher price. Offers in unreachable zones are used only if there is no
 * other. Returns false if no available offer is allowed for the tasks and large enough for one of
 * them.
 */
bool machine_offer_find_cheapest(struct leader *leader, const struct capacity_request *request,
                                 int64_t task_count, struct machine_offer *best);
/**
 * Updates the set of unreachable zones, which are avoided when machines are rented. In such a zone
 * most machines are unreachable, so it is probably partitioned from the cluster and new machines
 * could not report either.
 */
void autoscaler_update_unreachable_zones(struct leader *leader);

#endif
