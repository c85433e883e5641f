/**
 * @file
 * A batch: one transaction of run records, from its creation to its outcome. To be included only by
 * record_batch*.c, page_draft.c and run_records_flush.c.
 */
#ifndef LL_RECORD_BATCH_INTERNAL_H
#define LL_RECORD_BATCH_INTERNAL_H

#include "completions_internal.h"
#include "record_txn.h"

enum {
    /** The maximum total size of the pages that one transaction writes. */
    MAX_BATCH_BYTES = 48 * 1024,
    /** The capacity of the write budget: how many writes can be made at once after a pause. */
    MAX_WRITE_BURST = 6,
};

/** The new contents of an own page, as the transaction will write them. The batch owns it. */
struct page_draft {
    int number;
    /** The records on the draft (struct record_page_entry). */
    GArray *records;
    /** "JOB" and "JOB ATTEMPT" for each record on the draft: another record of the same job or
     * attempt takes fewer bytes. */
    GHashTable *job_keys;
    struct page_completions completions;
    /** An upper bound of the length of the page's strings, including the bytes that its completions
     * may still grow into. */
    gsize used_bytes;
    /** The contents that have to stay on the page already exceed the size limit, so this batch
     * cannot write the page. */
    bool is_oversized;
    /** The draft differs from the stored page. Unchanged drafts are not written. */
    bool is_changed;
};

/** One transaction of run records. shard_flush() creates it; record_batch_handle_outcome() frees
 * it, or shard_flush() if there is nothing to write. */
struct record_batch {
    struct shard *shard;
    /** The value of shard.generation when the batch was created. If the shard has a newer one when
     * the outcome arrives, the outcome is not applied. */
    uint64_t generation;
    /** Nodes of version 0 may read the pages, see shard_uses_legacy_format(). */
    bool legacy_format;
    /** The ids (char *) of the machines with a record that the transaction changes. No pointers,
     * because a machine may be freed while the transaction is in flight. */
    GPtrArray *machine_ids;
    /** Owned by the batch until it is passed to record_txn_commit(). */
    struct txn *txn;
    /** Ids of the jobs that the transaction compares. */
    GHashTable *compared_jobs;
    /** The drafts of pages (struct page_draft). */
    GPtrArray *drafts;
    /** The pages of other nodes (struct record_page) that records are adopted from. The replica
     * owns them; they are valid only until the transaction is sent. */
    GPtrArray *source_pages;
    /** The limit on writes of the machines' own records: the writes that the pages leave over. */
    int max_machine_writes;
    /** Some pending changes are left to the next batch. */
    bool has_more;
};

/* ---- record_batch.c: building the transaction ---- */

/** Creates an empty batch, with the compares that all transactions have. */
struct record_batch *record_batch_new(struct shard *shard);

/** Frees the batch, but not its transaction. */
void record_batch_free(struct record_batch *batch);

/** Adds the pending changes to the transaction in this order: the machines' own records, own pages,
 * then the pages of other nodes without the adopted records. A reader that applies the writes one
 * by one thus never sees a record missing from all pages. */
void record_batch_fill(struct record_batch *batch);

/** Adds the record of a run to a draft, preferably one that has records of the same job. Returns
 * false if no draft has enough free bytes.
 * @param max_bytes the maximum used_bytes of the draft with the record. */
bool record_batch_try_add_run(struct record_batch *batch, struct machine *machine,
                              struct task_run *run, gsize max_bytes);

/* ---- record_batch_select.c: selecting the pages ---- */

/** Selects the pages of other nodes to adopt records from and the own pages to write, and adds
 * drafts of the latter. Own pages are selected by the weight of their pending changes; if those
 * have too few free bytes for new records, one page with free bytes is added. */
void record_batch_select_pages(struct record_batch *batch);

/* ---- page_draft.c: the new contents of own pages ---- */

/** Returns the draft of the page with that number, or NULL. */
struct page_draft *record_batch_find_draft(const struct record_batch *batch, int page_number);

/** Returns whether the batch has a draft of the page; a page_predicate.
 * @param batch the struct record_batch. */
bool record_batch_writes_page(const void *batch, int page_number);

/** Adds an empty draft of a page to the batch. */
struct page_draft *record_batch_add_draft(struct record_batch *batch, int page_number);

/** Frees a struct page_draft; a GDestroyNotify. */
void page_draft_free(gpointer draft);

/** Returns whether the draft has records of the job. */
bool page_draft_has_job(const struct page_draft *draft, job_id job);

/** Adds a record that was not on the page. Returns false if the draft could exceed max_bytes then,
 * by an estimate that is never too low. */
bool page_draft_try_add(struct page_draft *draft, const struct record_page_entry *record,
                        gsize max_bytes);

/** Clears a draft and fills it with the contents that have to stay on its page: completions,
 * records of machines that other nodes own, and the records of all runs except those whose end the
 * transaction records. */
void page_draft_keep_existing(struct record_batch *batch, struct page_draft *draft);

/** Adds the write of the page to the transaction. */
void page_draft_write(struct record_batch *batch, struct page_draft *draft);

/* ---- record_batch_adopt.c: adopting records from pages of other nodes ---- */

/** Returns whether records may be adopted from another node's page in its present state. An
 * oversized page has to be split first, and while any page of a node is oversized, none of its
 * pages is used, because a split may be copying records between them. The exception is a page of a
 * node of version 0, which keeps writing it and cannot split it: removing records leaves an
 * oversized page no longer than it was, and the state service accepts that as long as it has not
 * lowered its limits.
 */
bool shard_source_page_is_usable(struct shard *shard, const struct record_page *page,
                                 bool legacy_format);

/** Returns the page of another node that the record of a run has to be adopted from; NULL: there is
 * none. The page is looked up each time because it may have been split in the meantime: removing
 * the record from a page that no longer has it would leave it on two pages. */
struct record_page *shard_find_source_page(struct shard *shard, const struct machine *machine,
                                           const struct task_run *run);

/** Adopts those of the machine's records that are on the selected pages of other nodes, as far as
 * they fit into the drafts. In the legacy format, where all records of a machine have to be on one
 * page, adopts either all of them or none. */
void record_batch_adopt_machine(struct record_batch *batch, struct machine *machine);

/** Adds a write of another node's page without the records that the transaction adopts, and without
 * those that another page lists. */
void record_batch_write_source(struct record_batch *batch, struct record_page *page);

/* ---- record_batch_machine.c: the machines' own records ---- */

/** Returns whether the address, type and zone of the machine are stored somewhere, or will be with
 * its run records, so that a reader of those records finds them. */
bool record_batch_is_machine_described(struct machine *machine);

/** Writes the machine's own record if it is missing or lacks cached images, and the limits allow
 * another write. Otherwise the machine remains described by pages or an inventory: one write for
 * each of many new machines would delay the starts of their tasks. */
void record_batch_try_write_machine(struct record_batch *batch, struct machine *machine);

/** Adds the remaining changes of the machine's own record, after all runs were added to the
 * transaction. For a machine that was returned, the record is deleted together with the last run
 * and not before, because until then pages would have to describe the machine again. For a machine
 * with runs, the record is written as by record_batch_try_write_machine(). */
void record_batch_finalize_machine(struct record_batch *batch, struct machine *machine);

/* ---- record_batch_outcome.c: the outcome of the transaction ---- */

/** Handles the outcome of the transaction and frees the batch; a txn_callback.
 * @param arg the struct record_batch. */
void record_batch_handle_outcome(void *arg, const struct txn_outcome *outcome);

/** Marks the transaction as ended, also if it was never committed, so that the next one can be
 * made. */
void record_batch_close(struct record_batch *batch);

#endif
