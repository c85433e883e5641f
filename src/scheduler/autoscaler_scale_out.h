/* What the leader rents, and the room that it counts on. */
#ifndef LL_LEADER_RENT_H
#define LL_LEADER_RENT_H

#include "scheduler_internal.h"

/* Room that is there or on its way, and not needed yet. */
struct pending_capacity {
    const char *type_name, *zone;
    bool is_spot;
    struct resources available;
};

/* Adds (struct pending_capacity) the machines that were requested, or rented and have not reported
 * yet, as long as they may still come up. */
void autoscaler_list_pending_capacity(struct leader *leader, GArray *pending);
/* What is free on all machines that take work. */
struct resources autoscaler_total_free(struct leader *leader);
/* Rents what waiting work, the next services and what is to spare lack. */
void autoscaler_scale_out(struct leader *leader);

#endif
