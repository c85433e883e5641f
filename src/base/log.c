/** Structured logging over GLib: see log.h. */
#include "log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
    MAX_LINE_CHARS = 1024,
    /** Limit for the formatted fields of one event. */
    MAX_FIELDS_CHARS = 800,
};

/** Names of the fields that events have in GLib's structured log. */
#define FIELD_MESSAGE "MESSAGE"
#define FIELD_EVENT "LL_EVENT"

static GLogLevelFlags log_threshold = G_LOG_LEVEL_MESSAGE;
static char log_node[64];
static guint64 log_epoch;

/** A GLogWriterFunc that writes an event as one line; lines of MAX_LINE_CHARS or more are
 * truncated. */
static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize field_count,
                                   gpointer unused)
{
    (void)unused;
    const char *event = "", *message = "";
    for (gsize i = 0; i < field_count; i++) {
        if (strcmp(fields[i].key, FIELD_MESSAGE) == 0)
            message = fields[i].value;
        else if (strcmp(fields[i].key, FIELD_EVENT) == 0)
            event = fields[i].value;
    }
    const char *level_name = level <= G_LOG_LEVEL_WARNING   ? "error"
                             : level <= G_LOG_LEVEL_MESSAGE ? "info"
                                                            : "debug";
    char line[MAX_LINE_CHARS];
    int length = snprintf(line, sizeof line, "%s node=%s epoch=%" G_GUINT64_FORMAT " event=%s %s\n",
                          level_name, log_node, log_epoch, event, message);
    if (length >= (int)sizeof line) {
        length = sizeof line;
        line[length - 1] = '\n';
    }
    if (write(STDERR_FILENO, line, length) < 0)
        return G_LOG_WRITER_UNHANDLED; /* standard error is closed, and there is no other output */
    return G_LOG_WRITER_HANDLED;
}

gboolean log_setup(const char *level, const char *node)
{
    if (strcmp(level, "error") == 0)
        log_threshold = G_LOG_LEVEL_WARNING;
    else if (strcmp(level, "info") == 0)
        log_threshold = G_LOG_LEVEL_MESSAGE;
    else if (strcmp(level, "debug") == 0)
        log_threshold = G_LOG_LEVEL_DEBUG;
    else
        return FALSE;
    g_strlcpy(log_node, node, sizeof log_node);
    static gboolean installed;
    if (!installed)
        g_log_set_writer_func(write_line, NULL, NULL);
    installed = TRUE;
    return TRUE;
}

void log_set_epoch(guint64 epoch)
{
    log_epoch = epoch;
}

gboolean log_debug_enabled(void)
{
    return log_threshold == G_LOG_LEVEL_DEBUG;
}

void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
{
    if (level > log_threshold)
        return;
    char message[MAX_FIELDS_CHARS];
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(message, sizeof message, format, arguments);
    va_end(arguments);
    const GLogField fields[] = {{FIELD_MESSAGE, message, -1}, {FIELD_EVENT, event, -1}};
    g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
}
