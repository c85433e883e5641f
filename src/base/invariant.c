/** Implementation of the invariants that are checked at run time. */
#include "invariant.h"

#include "log.h"

enum { MAX_FIELDS_CHARS = 300 };

static const char *const invariant_names[INVARIANT_COUNT] = {
    [INVARIANT_TEAM_LIMIT] = "team_limit",         [INVARIANT_ONE_MACHINE] = "one_machine",
    [INVARIANT_TOKEN_ORDER] = "token_order",       [INVARIANT_LEASE_EXPIRED] = "lease_expired",
    [INVARIANT_PROCESS_IN_MAP] = "process_in_map", [INVARIANT_ONE_REVISION] = "one_revision",
};

static guint64 violations[INVARIANT_COUNT];
static invariant_observer observer_function;
static void *observer_ctx;

static bool is_power_of_two(guint64 count)
{
    return (count & (count - 1)) == 0;
}

bool invariant_check(enum invariant invariant, bool holds, const char *format, ...)
{
    if (holds)
        return true;
    char fields[MAX_FIELDS_CHARS];
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(fields, sizeof fields, format, arguments);
    va_end(arguments);
    guint64 count = ++violations[invariant];
    if (is_power_of_two(count))
        LOG_ERROR("invariant_violated", "invariant=%s count=%" G_GUINT64_FORMAT " %s",
                  invariant_names[invariant], count, fields);
    if (observer_function)
        observer_function(observer_ctx, invariant, fields);
    return false;
}

guint64 invariant_get_violations(enum invariant invariant)
{
    return violations[invariant];
}

void invariant_set_observer(invariant_observer observer, void *ctx)
{
    observer_function = observer;
    observer_ctx = ctx;
}
