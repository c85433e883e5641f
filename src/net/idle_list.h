/** Connections that wait for nothing, the one that has been idle longest first: it is closed when a
 * connection is needed. The server and the client share this. */
#ifndef LL_IDLE_LIST_H
#define LL_IDLE_LIST_H

#include <glib.h>
#include <stdbool.h>

/** A connection's entry; link.data is the connection. */
struct idle_entry {
    GList link;
    bool is_listed;
};

/** Adds the entry to the list, or takes it out. */
static inline void idle_list_update(GQueue *list, struct idle_entry *entry, bool is_idle)
{
    if (entry->is_listed == is_idle)
        return;
    entry->is_listed = is_idle;
    if (is_idle)
        g_queue_push_tail_link(list, &entry->link);
    else
        g_queue_unlink(list, &entry->link);
}

#endif
