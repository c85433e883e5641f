/**
 * Invariants that are checked at run time. If one does not hold, the caller refuses its action and
 * the process goes on; the violation is logged and counted.
 */
#ifndef LL_INVARIANT_H
#define LL_INVARIANT_H

#include <glib.h>
#include <stdbool.h>

/** The invariants. */
enum invariant {
    /** A dispatch keeps its team within the limit. */
    INVARIANT_TEAM_LIMIT,
    /** A task has run records on one machine only. */
    INVARIANT_ONE_MACHINE,
    /** Neither the epoch nor the token that an agent is given becomes lower. */
    INVARIANT_TOKEN_ORDER,
    /** A lease that is taken as expired was not renewed within its duration. */
    INVARIANT_LEASE_EXPIRED,
    /** A process gives back dispatches only in an epoch whose shard map names it. */
    INVARIANT_PROCESS_IN_MAP,
    /** The leader ends a job, and releases its dispatches, by run records that are not older than
     * the job. */
    INVARIANT_ONE_REVISION,
    INVARIANT_COUNT,
};

/** Receives each violation; for tests. */
typedef void (*invariant_observer)(void *ctx, enum invariant invariant, const char *fields);

/**
 * Returns `holds`. If it is false, counts the violation, calls the observer, and logs the 1st, 2nd,
 * 4th, 8th, ... violation of the invariant.
 */
bool invariant_check(enum invariant invariant, bool holds, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** Returns how often an invariant was violated since the process started. */
guint64 invariant_get_violations(enum invariant invariant);

/** Sets the function that is called for each violation; NULL: none. */
void invariant_set_observer(invariant_observer observer, void *ctx);

#endif
