/**
 * @file
 * Completions: which tasks completed on this node's machines, and which of its pages store that.
 *
 * The completions of a job are stored in units of COMPLETION_UNIT_TASKS tasks, one bit each, on the
 * pages of the nodes whose machines ran the tasks. Bits are only ever added: a replica merges the
 * bits of all pages, so a bit may safely be stored on several pages.
 *
 * For each unit of a job and each page that stores part of it, the shard has a struct
 * completion_unit in records.completion_units. A unit is in one of these states:
 * - unassigned (page -1): it waits for a page that has enough free bytes and is about to be
 *   written;
 * - unwritten: it is assigned to a page that does not store all of its bits yet;
 * - durable: its page stores all of its bits;
 * - moving: its page is oversized, so its bits were copied to an unassigned unit. It stays on its
 *   page until durable units store all of its bits.
 */
#ifndef LL_COMPLETIONS_INTERNAL_H
#define LL_COMPLETIONS_INTERNAL_H

#include "shard_internal.h"

/** The completions of one unit of a job that one page stores, or is going to store. */
struct completion_unit {
    job_id job;
    /** The position of the unit within the job. */
    uint32_t number;
    /** One bit for each task of the unit. */
    GByteArray *bits;
    /** The number of the page; -1: unassigned. */
    int page;
    /** The page does not store all of the bits yet. */
    bool is_unwritten;
    /** Bits were added after the transaction in flight was created. */
    bool changed_since_txn;
    /** The page drops the unit as soon as durable units store its bits. */
    bool is_moving;
};

/** The completions of a page, as they are written. */
struct page_completions {
    GString *text;
    /** The bytes that the string may still grow by. */
    gsize reserved_bytes;
    /** The stored page lacks some of these completions. */
    bool has_unwritten;
};

/** A condition on an own page; ctx is the caller's context. */
typedef bool (*page_predicate)(const void *ctx, int page);

/* ---- completions.c: which tasks completed ---- */

/** Returns whether the completion of a run can be recorded now. If not, the end of the run has to
 * wait as well. */
bool shard_can_record_completion(struct shard *shard, const struct task_run *run);

/** Adds the completion of a run. It is recorded by the same transaction as the end of the run, or
 * an earlier one. */
void shard_add_completion(struct shard *shard, struct task_run *run);

/** Returns whether the completion of a run is durable, or will be once the pages of the predicate
 * are written. Also true if there is no completion to record, because the run ended in another way
 * or its job is finished. */
bool shard_completion_is_written(struct shard *shard, const struct task_run *run,
                                 page_predicate is_written, const void *ctx);

/** Returns the length in bytes of a unit's bitmap when all of its tasks have completed. */
guint shard_completion_unit_bytes(const struct job *job, uint32_t unit_number);

/** Adds the completions that are stored on an own page. */
void shard_completions_read(struct shard *shard, const char *text, int page_number);

/** Frees a GPtrArray of struct completion_unit, a value of records.completion_units; a
 * GDestroyNotify. */
void shard_completion_units_free(gpointer units);

/* ---- completion_pages.c: which pages store them ---- */

/** Encodes the completions that a page has to store.
 * @param out its string is replaced. */
void shard_completions_encode(struct shard *shard, int page_number, bool legacy_format,
                              struct page_completions *out);

/** Returns the bytes that the completions on a page may still grow by. */
gsize shard_completions_reserved_bytes(struct shard *shard, int page_number);

/** Starts moving one unit off an oversized page. */
void shard_completions_move_unit(struct shard *shard, int page_number);

/** Assigns unassigned units to the given pages, as far as they fit. Returns whether all units are
 * assigned then. */
bool shard_completions_assign_pages(struct shard *shard, const int *pages, guint page_count);

/** Prepares the selection of pages for a batch: discards the completions of finished jobs, and adds
 * the weight of each unwritten unit to its page. Returns whether some units are unassigned. */
bool shard_completions_add_demand(struct shard *shard, double *page_weights, double weight);

/** Marks units as durable after a transaction wrote the pages of the predicate. */
void shard_completions_mark_durable(struct shard *shard, page_predicate is_written,
                                    const void *ctx);

/* ---- units, for the files above and page_split_plan.c ---- */

/** Returns "JOB UNIT", the key of units in records.completion_units. The caller frees it. */
char *completion_unit_key(job_id job, uint32_t unit_number);

/** Returns the struct completion_unit of all pages for one unit of a job; NULL: there are none. */
GPtrArray *completion_units_find(struct shard *shard, job_id job, uint32_t unit_number);

/** Returns the completions of a unit that belong to one page, or NULL.
 * @param page_number -1: those that are unassigned. */
struct completion_unit *completion_unit_find(struct shard *shard, job_id job, uint32_t unit_number,
                                             int page_number);

/** Returns the same as completion_unit_find(), but adds empty completions if there are none. The
 * shard owns them. */
struct completion_unit *completion_unit_get(struct shard *shard, job_id job, uint32_t unit_number,
                                            int page_number);

/** Returns whether a unit has the bit of a task set.
 * @param bit the position of the task within the unit. */
bool completion_unit_has_bit(const struct completion_unit *unit, uint32_t bit);

/** Returns the maximum length of the encoded unit of a job on a page. */
gsize completion_unit_max_bytes(struct shard *shard, const struct job *job, uint32_t unit_number);

/** Called for a unit by completion_units_for_each(); ctx is the caller's context. */
typedef void (*completion_unit_callback)(struct shard *shard, struct completion_unit *unit,
                                         void *ctx);

/** Calls back for all units. If the callback adds units under the same job and unit number, it is
 * called for those as well. */
void completion_units_for_each(struct shard *shard, completion_unit_callback callback, void *ctx);

#endif
