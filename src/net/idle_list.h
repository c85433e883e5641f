/** A list of idle connections, the longest idle first: these are closed when others need a slot. */
#ifndef LL_IDLE_LIST_H
#define LL_IDLE_LIST_H

#include <glib.h>
#include <stdbool.h>

/** A connection's entry; link.data is the connection. */
struct idle_entry {
    GList link;
    bool is_listed;
};

/** Appends a connection that has become idle, or removes one that is not any more. */
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
