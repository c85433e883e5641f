/* The text of a page: run records, and the tasks that are done. Pure logic.
 *
 * Run records are words. "@MACHINE", "#JOB" and "*ATTEMPT" each hold until the next of their kind;
 * a number is a task. "=ADDRESS,TYPE,ZONE,SPOT" behind "@MACHINE" says what a machine is, as long
 * as nothing else does. "^TEXT" is what machines' names begin with from there on, "&MACHINE" a
 * whole name all the same.
 *
 * What is done: "#JOB CHUNK:BITS ...", the bits of a chunk of tasks in hexadecimal, eight tasks to
 * two digits, the first task in the lowest bit; zeros at the end are left out. "CHUNK+BYTES:BITS"
 * begins so many bytes within the chunk, so that a long job's marks need not be one long word.
 *
 * Nodes of version 0 know neither "^" and "&" nor "+": what they may read is written plain. */
#ifndef LL_PAGE_H
#define LL_PAGE_H

#include "types.h"

enum {
    COMPLETION_UNIT_BYTES = 128, /* of bits, at most, that are written and move as one */
    COMPLETION_UNIT_TASKS = 8 * COMPLETION_UNIT_BYTES, /* and the tasks that they stand for */
};

struct record_page_entry {
    machine_id machine;
    job_id job;
    attempt_no attempt;
    uint32_t task_index;
    const char *description; /* what the page says of the machine; NULL: nothing */
};

/* The same records always give the same text, and fewer never a longer one (but for two bytes), in
 * whatever order they come: so what was on a page fits on it again, whoever writes it. Sorts them.
 */
GString *record_page_encode(GArray *entries, bool is_legacy);
/* How long that would be with the job first, the order in which record_page_entry_max_bytes
 * reckons; least: how long it is. */
gsize record_page_encoded_bytes(GArray *entries, bool is_legacy, gsize *shortest_bytes);
/* What one more record adds to the text at most. with_job, with_attempt: the page has records of
 * that job, and of that attempt, already. */
gsize record_page_entry_max_bytes(const struct record_page_entry *entry, bool has_job,
                                  bool has_attempt);
/* Calls back for every record, in the order of the text; about, where it is said: valid for the
 * call. */
typedef void (*record_page_entry_callback)(void *ctx, const struct record_page_entry *record);
void record_page_decode(const char *text, record_page_entry_callback callback, void *context);

/* Makes an array of bits at least so long, with zeros. */
void bitmap_grow(GByteArray *bitmap, guint length_bytes);
/* Sets all that are set in the other. */
void bitmap_merge(GByteArray *to, const GByteArray *from);
/* unit: counts by COMPLETION_UNIT_TASKS. The bits of a task lie at its number less the unit's
 * first. */
void completions_encode(GString *text, job_id job, uint32_t unit, const GByteArray *bits,
                        bool is_legacy);
/* What that takes at most for bits of so many bytes. */
gsize completions_max_bytes(job_id job, uint32_t unit, guint bitmap_bytes, bool is_legacy);
/* Calls back for every unit of a text of done tasks. */
typedef void (*completions_callback)(void *ctx, job_id job, uint32_t unit, const GByteArray *bits);
void completions_decode(const char *text, completions_callback callback, void *context);

/* A text that only says what machines are. */
void inventory_encode_machine(GString *text, machine_id machine, const char *description);
typedef void (*inventory_machine_callback)(void *ctx, machine_id host, const char *about);
void inventory_decode(const char *text, inventory_machine_callback callback, void *context);

/* What a page may say of a machine; NULL when it cannot be said in one word. */
char *machine_description_encode(const char *address, const char *machine_type_name,
                                 const char *zone, bool is_spot);

#endif
