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
    MARK_BYTES = 128,            /* of bits, at most, that are written and move as one */
    MARK_TASKS = 8 * MARK_BYTES, /* and the tasks that they stand for */
};

struct page_rec {
    host_id host;
    job_id job;
    attempt_no attempt;
    uint32_t index;
    const char *about; /* what the page says of the machine; NULL: nothing */
};

/* The same records always give the same text, and fewer never a longer one (but for two bytes), in
 * whatever order they come: so what was on a page fits on it again, whoever writes it. Sorts them.
 */
GString *page_write(GArray *records, bool plain);
/* How long that would be with the job first, the order in which page_cost reckons; least: how long
 * it is. */
gsize page_length(GArray *records, bool plain, gsize *least);
/* What one more record adds to the text at most. with_job, with_attempt: the page has records of
 * that job, and of that attempt, already. */
gsize page_cost(const struct page_rec *record, bool with_job, bool with_attempt);
/* Calls back for every record, in the order of the text; about, where it is said: valid for the
 * call. */
typedef void (*page_take)(void *ctx, const struct page_rec *record);
void page_read(const char *text, page_take take, void *ctx);

/* Makes an array of bits at least so long, with zeros. */
void bits_grow(GByteArray *bits, guint len);
/* Sets all that are set in the other. */
void bits_merge(GByteArray *to, const GByteArray *from);
/* unit: counts by MARK_TASKS. The bits of a task lie at its number less the unit's first. */
void page_write_done(GString *text, job_id job, uint32_t unit, const GByteArray *bits, bool plain);
/* What that takes at most for bits of so many bytes. */
gsize page_done_cost(job_id job, uint32_t unit, guint bytes, bool plain);
/* Calls back for every unit of a text of done tasks. */
typedef void (*page_unit)(void *ctx, job_id job, uint32_t unit, const GByteArray *bits);
void page_read_done(const char *text, page_unit take, void *ctx);

/* A text that only says what machines are. */
void page_write_about(GString *text, host_id host, const char *about);
typedef void (*page_about)(void *ctx, host_id host, const char *about);
void page_read_about(const char *text, page_about take, void *ctx);

/* What a page may say of a machine; NULL when it cannot be said in one word. */
char *machine_about(const char *addr, const char *type_name, const char *zone, bool spot);

#endif
