/* Small types of their own for ids, versions and times, so that one cannot be taken for another. */
#ifndef LL_TYPES_H
#define LL_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* Tables that remember something of machines hold at least so many: 4,000, and half as many again.
 * Beyond that they forget, and nothing is refused. */
enum { MAX_TRACKED_MACHINES = 6000 };

/* A moment of this machine's steady clock. */
typedef struct {
    int64_t us;
} mono_time;

/* A moment of the time of day. */
typedef struct {
    int64_t ms;
} wall_time;

/* A revision of the state service; a key's version is the revision of its last change. 0: no key.
 */
typedef struct {
    uint64_t value;
} revision;

/* The map's epoch. It is the token that workers see, and only ever rises. */
typedef struct {
    uint64_t value;
} epoch_no;

/* One start of a task. Never used twice: see quota_ledger_next_attempt. */
typedef struct {
    uint64_t value;
} attempt_no;

/* A lease of the state service. */
typedef struct {
    uint64_t value;
} lease_id;

/* A job's id as its user chose it. */
typedef struct {
    char text[48];
} job_id;

/* A machine's name as the cloud gave it. */
typedef struct {
    char text[48];
} machine_id;

/* Processors, cards or memory, in thousandths: sums stay exact, so that a limit is never passed by
 * a rounding error. */
typedef struct {
    int64_t milli;
} amount;

static inline mono_time time_add_ms(mono_time t, int64_t ms)
{
    return (mono_time){t.us + ms * 1000};
}

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

/* False when the text is too long for an id or holds a character that keys cannot carry. */
bool job_id_parse(job_id *out, const char *text);
bool machine_id_parse(machine_id *out, const char *text);

#endif
