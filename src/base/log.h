/** Structured logging: one line an event on standard error, "LEVEL node=... epoch=... event=...".
 */
#ifndef LL_LOG_H
#define LL_LOG_H

#include <glib.h>

/** Sets the lowest level that is logged: "error", "info" or "debug". False for anything else. */
gboolean log_setup(const char *level, const char *node);
/** Sets the epoch of the shard map that every line carries. */
void log_set_epoch(guint64 epoch);
gboolean log_debug_enabled(void);

/** Logs an event with its fields, "name=value ..."; use the macros below. */
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#define LOG_ERROR(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_INFO(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
/** The arguments are not evaluated unless debug messages are logged. */
#define LOG_DEBUG(event, ...)                                                                      \
    do {                                                                                           \
        if (log_debug_enabled())                                                                   \
            log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__);                                      \
    } while (0)

#endif
