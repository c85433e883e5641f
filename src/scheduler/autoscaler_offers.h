/**
 * Choice among the cloud's offers: which machine type, zone and kind to rent for given tasks.
 */
#ifndef LL_AUTOSCALER_OFFERS_H
#define LL_AUTOSCALER_OFFERS_H

#include "autoscaler_capacity.h"

/** What the cloud offers for rent: a machine type in one zone, as spot or on-demand machine. */
struct machine_offer {
    /** Belongs to the cloud provider; valid while the autoscaler runs. */
    const struct machine_type *type;
    /** One of type->zones. */
    const char *zone;
    bool is_spot;
};

/**
 * Finds the offer with the lowest price for each of `task_count` tasks; quick boots count a little,
 * too. Offers in silent zones are used only when there is no other. Returns false when the tasks
 * are allowed on no offer that is available.
 */
bool machine_offer_find_cheapest(struct leader *leader, const struct capacity_request *request,
                                 int64_t task_count, struct machine_offer *best);
/**
 * Notes which zones are silent: most of their machines cannot be reached, so that the zone is
 * probably cut off and new machines there could not report either.
 */
void autoscaler_update_unreachable_zones(struct leader *leader);

#endif
