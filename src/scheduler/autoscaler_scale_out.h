/* What the leader rents, and the room that it counts on. */
#ifndef LL_LEADER_RENT_H
#define LL_LEADER_RENT_H

#include "scheduler_internal.h"

/* Room that is there or on its way, and not needed yet. */
struct planned {
    const char *type_name, *zone;
    bool spot;
    struct room free;
};

/* Adds (struct planned) the machines that were requested, or rented and have not reported yet, as
 * long as they may still come up. */
void leader_rooms_coming(struct leader *leader, GArray *rooms);
/* What is free on all machines that take work. */
struct room leader_free_everywhere(struct leader *leader);
/* Rents what waiting work, the next services and what is to spare lack. */
void leader_rent_for_demand(struct leader *leader);

#endif
