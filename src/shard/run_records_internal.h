/* Run records of the tasks on a node's machines: what the files shard_record_*.c offer one another
 * and the other files of the shard. */
#ifndef LL_SHARD_RECORD_H
#define LL_SHARD_RECORD_H

#include "shard_internal.h"

/* One of this node's pages: see record_page_codec.h. */
struct own_page {
    revision mod_revision;
    gsize bytes; /* of its texts, as they were last written or seen, and what waits for it */
    GArray *foreign_records; /* struct record_page_entry, of machines that are another node's now */
};

/* run_records_pages.c: own pages and their room */

/* How long the texts of a page may be together. */
gsize shard_max_page_bytes(const struct shard *shard);
/* Whether those of a page are longer. */
bool shard_page_is_too_long(const struct shard *shard, const struct record_page *page);
/* Whether nodes of version 0 may come to read what is written. They know of one page a machine, and
 * of marks that begin with their chunk. */
bool shard_uses_legacy_format(const struct shard *shard);
/* Frees a struct own_page. */
void own_page_free(gpointer page);
/* This node's page with that number; makes it, and all before it. */
struct own_page *shard_get_own_page(struct shard *shard, int page_number);
/* The same as the view shows it; NULL: it does not. */
struct record_page *shard_find_replica_page(struct shard *shard, int page_number);
/* Whether that is a page from when more was allowed: it is split before it can be written again. */
bool shard_own_page_is_too_long(struct shard *shard, int page_number);
/* Whether nothing is on it, nor waits for it. */
bool shard_own_page_is_empty(struct shard *shard, int page_number);
/* The page of ours that a machine's records are on; -1: none. */
int shard_page_of_machine(const struct machine *machine);
/* What a page says of a machine that has no record of its own yet; NULL: nothing. */
const char *shard_machine_page_description(struct machine *machine);
/* The record of a task on one of our machines. */
struct record_page_entry shard_page_record_of(struct machine *machine, const struct task_run *run);
/* Whether one more task can be recorded on the machine. Any page will do, unless a node that knows
 * of one page a machine may come to read it. */
bool shard_can_record_run(struct shard *shard, struct machine *machine, job_id job);
/* One more task, which is to be recorded. */
void shard_reserve_record(struct shard *shard, struct machine *machine, job_id job);
/* Room on a page, for marks that are to come as well. */
gsize shard_page_free_bytes(struct shard *shard, int page_number);
/* Some of it is taken. */
void shard_page_reserve(struct shard *shard, int page_number, gsize bytes);

/* run_records_reconcile.c: agreement with the view */

/* Makes all pages and machines agree with the view. */
void shard_records_reconcile(struct shard *shard);
/* Somebody wrote a page of ours: another owner took machines over, or it was us, with an answer
 * that got lost. */
void shard_handle_page_changed(struct shard *shard, const char *key);

/* page_draft.c: texts of pages */

/* Writes a page as it should be, on condition that it is as it was at the stamp. */
void shard_txn_set_page(struct txn *txn, const char *key, revision mod_revision, const char *tasks,
                        const char *completions);

/* run_records_flush.c: when records are written */

/* Looks for what there is to be written, in a moment. */
void shard_request_flush(struct shard *shard);
/* What is on record, or is to be, has changed. */
void shard_mark_dirty(struct shard *shard);
/* Writes what has changed, if that is due; arg: the struct shard. */
void shard_flush(void *arg);
/* A transaction with the conditions of all that this node writes of records. */
struct txn *shard_txn_new(struct shard *shard);
/* A write of ours other than of a batch is over; ok: the view shows what became of it. */
void shard_finish_write(struct shard *shard, uint64_t generation, bool ok);

/* record_batch_outcome.c: what became of them */

/* Logs how long starts and ends waited for their records since it last did. */
void shard_log_write_waits(struct shard *shard);

#endif
