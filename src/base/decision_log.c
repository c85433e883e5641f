/** Implementation of the log of decisions. */
#include "decision_log.h"

#include "log.h"
#include "token_bucket.h"

enum {
    DECISION_LINES_PER_S = 200,
    MAX_FIELDS_CHARS = 300,
};

static const char *const decision_names[DECISION_COUNT] = {
    [DECISION_DISPATCH] = "dispatch", [DECISION_START] = "start",
    [DECISION_STOP] = "stop",         [DECISION_CLEAR] = "clear",
    [DECISION_RUN_END] = "run_end",   [DECISION_SCALE_OUT] = "scale_out",
    [DECISION_SCALE_IN] = "scale_in", [DECISION_RESPONSE] = "response",
    [DECISION_ACCEPT] = "accept",     [DECISION_REJECT] = "reject",
    [DECISION_RELEASE] = "release",   [DECISION_RENEWAL] = "renewal",
    [DECISION_JOB_END] = "job_end",
};

/** The decisions since the last report. */
static struct decision_counters {
    guint64 counts[DECISION_COUNT];
    /** The oldest replica that any of them rested on. */
    int64_t max_age_ms;
    /** Decisions that were not logged because of the rate limit. */
    guint64 unlogged;
} counters;

static struct token_bucket line_bucket;

/** Returns whether the rate allows another line. */
static bool take_line(mono_time now)
{
    if (!line_bucket.refill_per_s)
        line_bucket = token_bucket_make_full(DECISION_LINES_PER_S, now);
    token_bucket_refill(&line_bucket, now);
    if (!token_bucket_has_token(&line_bucket))
        return false;
    token_bucket_take(&line_bucket, 1);
    return true;
}

void decision_log_record(enum decision decision, const struct decision_basis *basis,
                         const char *format, ...)
{
    counters.counts[decision]++;
    counters.max_age_ms = MAX(counters.max_age_ms, basis->age_ms);
    if (!log_debug_enabled())
        return;
    if (!take_line(basis->now)) {
        counters.unlogged++;
        return;
    }
    char fields[MAX_FIELDS_CHARS];
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(fields, sizeof fields, format, arguments);
    va_end(arguments);
    LOG_DEBUG("decision",
              "kind=%s leader=%s token=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
              " age_ms=%" G_GINT64_FORMAT " %s",
              decision_names[decision], basis->leader ? basis->leader : "", basis->token,
              basis->at_revision.value, basis->age_ms, fields);
}

/** Appends the counts that are not zero, and returns whether there are any. */
static bool append_counts(GString *line)
{
    bool has_any = false;
    for (int i = 0; i < DECISION_COUNT; i++) {
        if (!counters.counts[i])
            continue;
        g_string_append_printf(line, "%s=%" G_GUINT64_FORMAT " ", decision_names[i],
                               counters.counts[i]);
        has_any = true;
    }
    return has_any;
}

void decision_log_report(void)
{
    GString *line = g_string_new(NULL);
    if (append_counts(line))
        LOG_INFO("decisions", "%smax_age_ms=%" G_GINT64_FORMAT " unlogged=%" G_GUINT64_FORMAT,
                 line->str, counters.max_age_ms, counters.unlogged);
    g_string_free(line, TRUE);
    counters = (struct decision_counters){0};
}
