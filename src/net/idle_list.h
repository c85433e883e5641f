/** A list of idle connections, longest idle first, for the HTTP server and the HTTP client. When a
 * new connection would exceed a limit, the first one in the list is closed. */
#ifndef LL_IDLE_LIST_H
#define LL_IDLE_LIST_H

#include <glib.h>
#include <stdbool.h>

/** The entry of a connection in the list; link.data points to the connection. */
struct idle_entry {
    GList link;
    bool is_listed;
};

/** Appends the entry to the list, or removes it, unless it is already in that state. */
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
