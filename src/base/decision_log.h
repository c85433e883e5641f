/**
 * The decisions of this process that can break a rule if they rest on stale knowledge: every one is
 * counted, and logged with what it rested on.
 *
 * A decision is one line at level "debug", at most DECISION_LINES_PER_S per second; further ones
 * are counted only. decision_log_report() summarizes all of them in one line at level "info", so
 * that the volume does not depend on the number of machines. The process has one log and one set of
 * counters, as it has one standard error.
 */
#ifndef LL_DECISION_LOG_H
#define LL_DECISION_LOG_H

#include "types.h"

#include <glib.h>

/** The kinds of decisions. */
enum decision {
    /** The leader assigned a task to a shard. */
    DECISION_DISPATCH,
    /** A shard told an agent to start a task. */
    DECISION_START,
    /** A shard told an agent to stop a task. */
    DECISION_STOP,
    /** A shard told an agent to forget an attempt. */
    DECISION_CLEAR,
    /** A shard took a run as ended; its record will be removed. */
    DECISION_RUN_END,
    /** Machines were requested from the cloud. */
    DECISION_SCALE_OUT,
    /** A machine is to be returned to the cloud. */
    DECISION_SCALE_IN,
    /** A user was told the state of a job. */
    DECISION_RESPONSE,
    /** A shard accepted a message of the leader with tasks, stops or returns. */
    DECISION_ACCEPT,
    /** A shard gave a dispatch back to the leader. */
    DECISION_REJECT,
    /** The leader released a dispatch that a shard has given back. */
    DECISION_RELEASE,
    /** The lease of an agent was renewed. */
    DECISION_RENEWAL,
    /** The leader stored the end of a job. */
    DECISION_JOB_END,
    DECISION_COUNT,
};

/** What a decision rested on. */
struct decision_basis {
    mono_time now;
    /** The leader's label; NULL if none is known. */
    const char *leader;
    /** The fencing token under which it was made: an agent's token, or the revision of a role. */
    uint64_t token;
    /** The revision that the replica reflected, and its age. */
    revision at_revision;
    int64_t age_ms;
};

/** Counts a decision, and logs it if debug events are logged and the rate allows it. */
void decision_log_record(enum decision decision, const struct decision_basis *basis,
                         const char *format, ...) G_GNUC_PRINTF(3, 4);

/** Logs and resets the counts of the decisions since the last report, unless there were none. */
void decision_log_report(void);

#endif
