/**
 * Dispatched tasks and tasks to stop that wait for a message to a shard. They are kept in compact
 * form and encoded only when a message is built, a limited number at a time, so that the memory for
 * a job does not depend on the length of its messages.
 */
#ifndef LL_DISPATCH_BACKLOG_H
#define LL_DISPATCH_BACKLOG_H

#include "scheduler_internal.h"

#include <cjson/cJSON.h>

enum {
    /** The maximum number of tasks in one message; encoded they take less than 64 KiB. */
    MAX_TASKS_PER_MESSAGE = 400,
};

/** The tasks that wait for messages to one shard. Zero-initialized, it is empty. */
struct dispatch_backlog {
    /** Array of struct queued_dispatch, the oldest first; NULL while there are none. */
    GArray *dispatches;
    /** Array of struct queued_stop, the oldest first; NULL while there are none. */
    GArray *stops;
};

/** Frees the contents of a backlog. */
void dispatch_backlog_clear(struct dispatch_backlog *backlog);

/** Returns whether any task waits. */
bool dispatch_backlog_is_empty(const struct dispatch_backlog *backlog);

/**
 * Adds a dispatch of the ledger. It is left out of the messages if the ledger does not contain it
 * any more when its message is built.
 */
void dispatch_backlog_add_dispatch(struct dispatch_backlog *backlog, job_id job, uint32_t index,
                                   uint64_t dispatch_number, bool is_bound);

/** Adds the stop of an allocated task; `grace_s` is the time that it has to save its state. */
void dispatch_backlog_add_stop(struct dispatch_backlog *backlog, job_id job,
                               const struct allocation *allocation, double grace_s);

/** Moves the oldest tasks, MAX_TASKS_PER_MESSAGE at most, into a message; stops come first. */
void dispatch_backlog_move_to_message(struct dispatch_backlog *backlog, struct leader *leader,
                                      cJSON *message);

#endif
