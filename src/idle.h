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

static inline void idle_set(GQueue *list, struct idle_place *p, bool idle)
{
    if (p->in == idle)
        return;
    p->in = idle;
    if (idle)
        g_queue_push_tail_link(list, &p->place);
    else
        g_queue_unlink(list, &p->place);
}

#endif
