/* Connections that wait for nothing, the longest first: these are closed when room is needed. */
#ifndef LL_IDLE_H
#define LL_IDLE_H

#include <glib.h>
#include <stdbool.h>

/* A connection's place in a list; place.data is the connection. */
struct idle_place {
    GList place;
    bool in;
};

static inline void idle_set(GQueue *list, struct idle_place *place, bool idle)
{
    if (place->in == idle)
        return;
    place->in = idle;
    if (idle)
        g_queue_push_tail_link(list, &place->place);
    else
        g_queue_unlink(list, &place->place);
}

#endif
