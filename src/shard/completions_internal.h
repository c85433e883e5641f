/**
 * @file
 * Completions, as completions.c and completion_pages.c share them, and what page_split_plan.c needs
 * of them. What they offer the other files of the shard is declared in shard_internal.h.
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

#include "run_records_internal.h"

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
