/** Structured logging: each event is one line on standard error, of the form
 * "LEVEL node=... epoch=... event=... FIELDS". */
#ifndef LL_LOG_H
#define LL_LOG_H

#include <glib.h>

/** Sets the lowest level that is logged ("error", "info" or "debug") and the node name that every
 * line carries. Returns FALSE and changes nothing if the level is unknown. */
gboolean log_setup(const char *level, const char *node);
/** Sets the shard map epoch that every line carries. */
void log_set_epoch(guint64 epoch);
/** Returns whether debug events are logged. */
gboolean log_debug_enabled(void);

/** Logs an event with its formatted fields, "name=value ...". Use the macros below instead. */
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** Logs an event at level "error". */
#define LOG_ERROR(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
/** Logs an event at level "info". */
#define LOG_INFO(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
/** Logs an event at level "debug". The arguments are evaluated only if debug events are logged. */
#define LOG_DEBUG(event, ...)                                                                      \
    do {                                                                                           \
        if (log_debug_enabled())                                                                   \
            log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__);                                      \
    } while (0)

#endif
