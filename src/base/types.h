/**
 * Types for ids, revisions, times and amounts. Each is a distinct struct, so that the compiler
 * rejects the use of one in place of another.
 */
#ifndef LL_TYPES_H
#define LL_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/**
 * Capacity of the tables that hold per-machine state. The largest fleet has 4,000 machines; the
 * other 2,000 entries are for machines that join and leave. A full table evicts entries instead of
 * rejecting new ones.
 */
enum { MAX_TRACKED_MACHINES = 6000 };

/** A time on the monotonic clock of this host, in microseconds. */
typedef struct {
    int64_t us;
} mono_time;

/** A wall-clock time, in milliseconds since the Unix epoch. */
typedef struct {
    int64_t ms;
} wall_time;

/**
 * A revision of the key-value store. The mod_revision of a key is the revision of its last write; 0
 * means that the key does not exist.
 */
typedef struct {
    uint64_t value;
} revision;

/** An epoch of the shard map. It never decreases, and agents compare it as the fencing token. */
typedef struct {
    uint64_t value;
} epoch_no;

/** Identifies one attempt to run a task. Numbers are never reused; see quota_ledger_next_attempt.
 */
typedef struct {
    uint64_t value;
} attempt_no;

/** A lease of the key-value store; 0 means no lease. */
typedef struct {
    uint64_t value;
} lease_id;

/** The id of a job, which its user chooses. */
typedef struct {
    char text[48];
} job_id;

/** The id of a machine, which the cloud assigns. */
typedef struct {
    char text[48];
} machine_id;

/**
 * A number of CPUs, GPUs or gigabytes of memory, as an integer in thousandths. Sums are exact, so
 * that rounding errors cannot exceed a limit.
 */
typedef struct {
    int64_t milli;
} amount;

/** Returns the time `ms` milliseconds after `t`. */
static inline mono_time time_add_ms(mono_time t, int64_t ms)
{
    return (mono_time){t.us + ms * 1000};
}

/** Returns the milliseconds from `then` to `now`, rounded towards zero. */
static inline int64_t time_ms_since(mono_time now, mono_time then)
{
    return (now.us - then.us) / 1000;
}

/** Returns whether `a` is earlier than `b`. */
static inline bool time_before(mono_time a, mono_time b)
{
    return a.us < b.us;
}

/** Returns whether two machine ids are equal. */
static inline bool machine_id_equal(machine_id a, machine_id b)
{
    return strcmp(a.text, b.text) == 0;
}

/** Returns whether two job ids are equal. */
static inline bool job_id_equal(job_id a, job_id b)
{
    return strcmp(a.text, b.text) == 0;
}

/** Copies a job id. Returns false if it is empty, too long, or contains a character that is not
 * allowed in keys of the key-value store. */
bool job_id_parse(job_id *out, const char *text);
/** Copies a machine id, under the conditions of job_id_parse. */
bool machine_id_parse(machine_id *out, const char *text);

#endif
