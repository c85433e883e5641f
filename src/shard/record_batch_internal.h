/**
 * @file
 * A batch: one transaction of run records, from its making to its outcome. Included by the files
 * record_batch*.c, page_draft.c and run_records_flush.c only.
 */
#ifndef LL_RECORD_BATCH_INTERNAL_H
#define LL_RECORD_BATCH_INTERNAL_H

#include "completions_internal.h"
#include "record_txn.h"

enum {
    /** Of all pages in one transaction. */
    MAX_BATCH_BYTES = 48 * 1024,
    /** Writes that may be made at once after a pause. */
    MAX_WRITE_BURST = 6,
};

/** An own page as the transaction is going to write it. The batch owns it. */
struct page_draft {
    int number;
    /** struct record_page_entry */
    GArray *records;
    /** "JOB" and "JOB ATTEMPT" of its records: a further record of the same takes fewer bytes. */
    GHashTable *job_keys;
    struct page_completions completions;
    /** The most bytes that its texts take, with those that completions may still come to take. */
    gsize used_bytes;
    /** Even what has to stay on the page exceeds the limit: it cannot be written in this batch. */
    bool is_oversized;
    /** It differs from the page; others are not written. */
    bool is_changed;
};

/** One transaction of run records. shard_flush() makes it; record_batch_handle_outcome() frees it,
 * or shard_flush() if there is nothing to send. */
struct record_batch {
    struct shard *shard;
    /** The shard's when the batch was made: an outcome in a later one changes nothing. */
    uint64_t generation;
    /** Nodes of version 0 may read it, see shard_uses_legacy_format(). */
    bool legacy_format;
    /** char *: ids of machines of which the transaction changes a record. Ids, as a machine may be
     * freed while the transaction is in flight. */
    GPtrArray *machine_ids;
    /** Owned by the batch until it is committed. */
    struct txn *txn;
    /** Ids of jobs that it is conditioned on. */
    GHashTable *compared_jobs;
    /** struct page_draft */
    GPtrArray *drafts;
    /** struct record_page, of other nodes: those that records are adopted from. The replica owns
     * them; valid only until the transaction is sent. */
    GPtrArray *source_pages;
    /** Writes that the transaction may have besides the pages, for the machines' own records. */
    int max_machine_writes;
    /** Something waits for the next batch. */
    bool has_more;
};

/* ---- record_batch.c: makes the transaction ---- */

/** An empty batch, with the conditions of all writes. */
struct record_batch *record_batch_new(struct shard *shard);

/** Frees the batch, but not its transaction. */
void record_batch_free(struct record_batch *batch);

/** Puts what has changed into the transaction: first the machines' own records, then own pages,
 * then the pages of other nodes without the adopted records. In this order, whoever applies its
 * writes one by one never misses a record. */
void record_batch_fill(struct record_batch *batch);

/** Adds the record of a run to a draft, preferably to one that has records of the same job. Returns
 * false if none has enough free bytes.
 * @param max_bytes of the draft with the record. */
bool record_batch_try_add_run(struct record_batch *batch, struct machine *machine,
                              struct task_run *run, gsize max_bytes);

/* ---- record_batch_select.c: what goes into the transaction ---- */

/** Chooses the pages of other nodes to adopt records from, and the own pages to write: those for
 * which most waits, and one with free bytes for new records if those have too few. Opens their
 * drafts. */
void record_batch_select_pages(struct record_batch *batch);

/* ---- page_draft.c: own pages as they are going to be written ---- */

/** The draft of the page of that number, or NULL. */
struct page_draft *record_batch_find_draft(const struct record_batch *batch, int page_number);

/** Whether the batch has a draft of the page; a page_predicate.
 * @param batch a struct record_batch. */
bool record_batch_writes_page(const void *batch, int page_number);

/** Adds an empty draft to the batch. */
struct page_draft *record_batch_add_draft(struct record_batch *batch, int page_number);

/** Frees a struct page_draft. */
void page_draft_free(gpointer draft);

/** Whether the draft has records of the job. */
bool page_draft_has_job(const struct page_draft *draft, job_id job);

/** Adds a record that was not on the page. Returns false if the draft would exceed max_bytes, by an
 * estimate that is never too low. */
bool page_draft_try_add(struct page_draft *draft, const struct record_page_entry *record,
                        gsize max_bytes);

/** Empties a draft and fills it with what has to stay on its page: completions, records of machines
 * that other nodes own, and all runs but those whose end the transaction records. */
void page_draft_keep_existing(struct record_batch *batch, struct page_draft *draft);

/** Puts the page's new texts into the transaction. */
void page_draft_write(struct record_batch *batch, struct page_draft *draft);

/* ---- record_batch_adopt.c: adopting records from other nodes' pages ---- */

/** Whether records may be adopted from another node's page as it is. A page that is too long has to
 * be split first; while any page of that node is too long, none of its pages is touched, as copies
 * may be on their way between them. The exception is a page of a node of version 0, which goes on
 * writing it and cannot split it: what is left on it is not longer than it was, which the state
 * service accepts as long as it has not lowered its limits. */
bool shard_source_page_is_usable(struct shard *shard, const struct record_page *page,
                                 bool legacy_format);

/** The page of another node that has the record of a run; NULL: none has. It is looked up each
 * time, as a long page may have been split meanwhile: taken off a page that no longer has it, the
 * record would be left on two. */
struct record_page *shard_find_source_page(struct shard *shard, const struct machine *machine,
                                           const struct task_run *run);

/** Adopts the machine's records that are on the chosen pages of other nodes, as far as they fit
 * into the drafts. Where all records of a machine have to be on one page: all of them or none. */
void record_batch_adopt_machine(struct record_batch *batch, struct machine *machine);

/** Writes another node's page without the records that the transaction adopts. */
void record_batch_write_source(struct record_batch *batch, struct record_page *page);

/* ---- record_batch_machine.c: the machines' own records ---- */

/** Whether a reader will find out what the machine is, once a run of it is recorded. */
bool record_batch_is_machine_described(struct machine *machine);

/** Writes the machine's own record, if it has none or has newer images, and there are writes to
 * spare. Otherwise its pages or an inventory go on describing it: one write for each of many new
 * machines would delay the starts of their tasks. */
void record_batch_try_write_machine(struct record_batch *batch, struct machine *machine);

/** To be called once all runs are in the transaction. The record of a machine that is gone is
 * removed with its last run, not sooner, as the pages would have to describe it again; a machine
 * with runs is described. */
void record_batch_finalize_machine(struct record_batch *batch, struct machine *machine);

/* ---- record_batch_outcome.c: what became of the transaction ---- */

/** Handles the outcome and frees the batch; a txn_callback.
 * @param arg the struct record_batch. */
void record_batch_handle_outcome(void *arg, const struct txn_outcome *outcome);

/** Ends the transaction, or its making if nothing was sent: the next one may be made. */
void record_batch_close(struct record_batch *batch);

#endif
