/**
 * @file
 * Completions: which tasks this node saw complete, and which of its pages hold that.
 *
 * A completion says that a task has completed. The completions of a job are stored in units of
 * COMPLETION_UNIT_TASKS tasks, a bit each, on the pages of the nodes that saw them. They only add
 * up: a replica joins what all pages hold, so it does no harm that several pages hold a bit.
 *
 * For each unit of a job and each page that holds part of it, the shard has a struct
 * completion_unit in records.completion_units. A unit goes through these states:
 * - no page (page -1): it waits for a page with enough free bytes that is going to be written;
 * - unwritten: it has a page, which does not hold all of its bits yet;
 * - durable: its page holds all of its bits;
 * - moving: its page is too long, so its bits were copied to a unit without a page. It stays on its
 * page until durable units hold all of its bits.
 */
#ifndef LL_COMPLETIONS_INTERNAL_H
#define LL_COMPLETIONS_INTERNAL_H

#include "shard_internal.h"

/** The completions of one unit of a job that one page holds, or is to hold. */
struct completion_unit {
    job_id job;
    /** Counts the units of the job. */
    uint32_t number;
    /** A bit for each task of the unit. */
    GByteArray *bits;
    /** The page's number; -1: none was chosen yet. */
    int page;
    /** The page does not hold all of the bits yet. */
    bool is_unwritten;
    /** Bits were added since the transaction in flight was made. */
    bool changed_since_txn;
    /** The page drops it as soon as others hold its bits. */
    bool is_moving;
};

/** The completions of a page, as they are written. */
struct page_completions {
    GString *text;
    /** That the text may still come to take. */
    gsize reserved_bytes;
    /** The page does not hold all of it yet. */
    bool has_unwritten;
};

/** Whether something is so of an own page; ctx is passed on. */
typedef bool (*page_predicate)(const void *ctx, int page);

/* ---- completions.c: what is known ---- */

/** Whether the completion of a run can be recorded at present; if not, its end waits, too. */
bool shard_can_record_completion(struct shard *shard, const struct task_run *run);

/** Notes that a run has completed. That is recorded in the transaction that records its end, or in
 * an earlier one. */
void shard_add_completion(struct shard *shard, struct task_run *run);

/** Whether the completion of a run is on record for good, or comes on record with the pages of the
 * predicate. Also true if there is none to be recorded, as the run has ended otherwise or its job
 * is over. */
bool shard_completion_is_written(struct shard *shard, const struct task_run *run,
                                 page_predicate is_written, const void *ctx);

/** The bytes of a unit's bits once all its tasks have completed. */
guint shard_completion_unit_bytes(const struct job *job, uint32_t unit_number);

/** Adds the completions that an own page holds. */
void shard_completions_read(struct shard *shard, const char *text, int page_number);

/** Frees the units of one key, a GPtrArray of struct completion_unit. */
void shard_completion_units_free(gpointer units);

/* ---- completion_pages.c: which pages they are written on ---- */

/** The completions that a page is to hold.
 * @param out its text is replaced. */
void shard_completions_encode(struct shard *shard, int page_number, bool legacy_format,
                              struct page_completions *out);

/** Bytes that the completions on a page may still come to take. */
gsize shard_completions_reserved_bytes(struct shard *shard, int page_number);

/** Has a unit leave a page that is too long. */
void shard_completions_move_unit(struct shard *shard, int page_number);

/** Puts units without a page on the given pages, and returns whether all have one now. */
bool shard_completions_assign_pages(struct shard *shard, const int *pages, guint page_count);

/** Begins a batch: forgets the completions of jobs that are over, and adds a weight to each page
 * for each of its units that is unwritten. Returns whether some units have no page. */
bool shard_completions_add_demand(struct shard *shard, double *page_weights, double weight);

/** Notes that the pages of the predicate were written as the transaction had them. */
void shard_completions_mark_durable(struct shard *shard, page_predicate is_written,
                                    const void *ctx);

/* ---- units, for the files above and page_split_plan.c ---- */

/** "JOB UNIT", the key of units. The caller frees it. */
char *completion_unit_key(job_id job, uint32_t unit_number);

/** struct completion_unit: those of one unit of a job, one a page; NULL: there are none. */
GPtrArray *completion_units_find(struct shard *shard, job_id job, uint32_t unit_number);

/** The one of a page (-1: the one without a page), or NULL. */
struct completion_unit *completion_unit_find(struct shard *shard, job_id job, uint32_t unit_number,
                                             int page_number);

/** The same; adds an empty one if there is none. The shard owns it. */
struct completion_unit *completion_unit_get(struct shard *shard, job_id job, uint32_t unit_number,
                                            int page_number);

/** Whether a unit has the bit of a task, counted within the unit. */
bool completion_unit_has_bit(const struct completion_unit *unit, uint32_t bit);

/** The most bytes that a unit of a job may take on a page. */
gsize completion_unit_max_bytes(struct shard *shard, const struct job *job, uint32_t unit_number);

typedef void (*completion_unit_callback)(struct shard *shard, struct completion_unit *unit,
                                         void *ctx);

/** Calls back for all units. The callback may add units of the same job and number, and is called
 * for those as well. */
void completion_units_for_each(struct shard *shard, completion_unit_callback callback, void *ctx);

#endif
