/**
 * Types for ids, revisions, times and amounts. Each is a struct of its own, so that the compiler
 * refuses one in place of another.
 */
#ifndef LL_TYPES_H
#define LL_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/**
 * How many machines tables hold that keep facts about them: the largest fleet is 4,000 machines,
 * and half as many again may come and go. A full table forgets; it never refuses.
 */
enum { MAX_TRACKED_MACHINES = 6000 };

/** A moment on this machine's monotonic clock, in microseconds. */
typedef struct {
    int64_t us;
} mono_time;

/** A moment of the wall clock, in milliseconds since 1970. */
typedef struct {
    int64_t ms;
} wall_time;

/**
 * A revision of the key-value store. A key's mod_revision is that of its last write; 0: there is no
 * such key.
 */
typedef struct {
    uint64_t value;
} revision;

/** An epoch of the shard map. It only rises, and is the fencing token that agents compare. */
typedef struct {
    uint64_t value;
} epoch_no;

/** The number of one start of a task; never used twice. See quota_ledger_next_attempt. */
typedef struct {
    uint64_t value;
} attempt_no;

/** A lease of the key-value store; 0: none. */
typedef struct {
    uint64_t value;
} lease_id;

/** A job's id, as its user chose it. */
typedef struct {
    char text[48];
} job_id;

/** A machine's id, as the cloud gave it. */
typedef struct {
    char text[48];
} machine_id;

/**
 * CPUs, GPUs or gigabytes of memory, in thousandths: sums are exact, so that rounding errors never
 * pass a limit.
 */
typedef struct {
    int64_t milli;
} amount;

static inline mono_time time_add_ms(mono_time t, int64_t ms)
{
    return (mono_time){t.us + ms * 1000};
}

/** Milliseconds from then to now, rounded towards zero. */
static inline int64_t time_ms_since(mono_time now, mono_time then)
{
    return (now.us - then.us) / 1000;
}

static inline bool time_before(mono_time a, mono_time b)
{
    return a.us < b.us;
}

static inline bool machine_id_equal(machine_id a, machine_id b)
{
    return strcmp(a.text, b.text) == 0;
}

static inline bool job_id_equal(job_id a, job_id b)
{
    return strcmp(a.text, b.text) == 0;
}

/** Parses an id; false: empty, too long, or with a character that is not allowed in keys. */
bool job_id_parse(job_id *out, const char *text);
bool machine_id_parse(machine_id *out, const char *text);

#endif
