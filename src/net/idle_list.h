/* Connections that wait for nothing, the longest first: these are closed when room is needed. */
#ifndef LL_IDLE_H
#define LL_IDLE_H

#include <glib.h>
#include <stdbool.h>

/* A connection's place in a list; place.data is the connection. */
struct idle_entry {
    GList link;
    bool is_listed;
};

static inline void idle_list_update(GQueue *list, struct idle_entry *entry, bool idle)
{
    if (entry->is_listed == idle)
        return;
    entry->is_listed = idle;
    if (idle)
        g_queue_push_tail_link(list, &entry->link);
    else
        g_queue_unlink(list, &entry->link);
}

#endif
