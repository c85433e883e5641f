/* Structured logging, one line an event, on standard error. */
#ifndef LL_LOG_H
#define LL_LOG_H

#include <glib.h>

/* Reads the level by name: error, info or debug. False for anything else. */
gboolean log_setup(const char *level, const char *node);
/* The epoch is added to every line once a map is known. */
void log_set_epoch(guint64 epoch);
gboolean log_debug_enabled(void);

void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#define LOG_ERROR(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_INFO(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define LOG_DEBUG(event, ...)                                                                      \
    do {                                                                                           \
        if (log_debug_enabled())                                                                   \
            log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__);                                      \
    } while (0)

#endif
