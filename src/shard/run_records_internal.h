/**
 * @file
 * The run records of a node's machines: its own pages, their agreement with the replica, and when
 * they are written.
 *
 * A run record says that an attempt of a task is, or may be, on a machine. Records are stored many
 * to a value, on the pages of the node that owns the machines (record_page_codec.h), as the state
 * service allows few writes. This is how a change of a machine's runs becomes one transaction:
 *
 * 1. A change. A task is placed (TASK_RUN_PLACED), its end is proven (TASK_RUN_ENDED), it has
 *    completed (completions.c), or a machine came from another node with its records
 *    (run_record_state.is_foreign). Whoever makes the change calls shard_mark_dirty().
 * 2. When. shard_flush() runs a moment later (run_records_flush.c). One transaction is in flight at
 * a time, and only within this node's share of the write rate. Pages that exceed the limits come
 *    first (page_split.c), then inventories that are due (machine_inventory.c), then a batch.
 * 3. What is chosen. record_batch_select.c weighs what waits for each page, and chooses the pages
 * to write and the pages of other nodes to adopt records from. All else waits for a later batch.
 * 4. What is drafted. page_draft.c fills a draft of each page with what has to stay on it. Then
 *    record_batch_adopt.c adds adopted records and record_batch.c those of new starts, as far as
 * they fit; record_batch_machine.c adds writes of the machines' own records.
 * 5. What is conditioned and sent. record_txn.c is the only file that adds conditions; record_txn.h
 *    lists which rule of docs/safety.md each of them serves.
 * 6. What happens with each outcome (record_batch_outcome.c). Committed: machines and runs follow
 * the transaction, and commands for what was recorded are sent. Conflict or unknown: nothing is
 * assumed; the replica is awaited, and all pages and runs are read anew from it. Refused: the batch
 * is dropped. In each of these cases what still waits goes into the next batch.
 *
 * Between 4 and 6 the change is noted on the run (run_record_state.is_in_txn and next_page), and
 * the record counts as being where it was: only an outcome moves it.
 */
#ifndef LL_RUN_RECORDS_INTERNAL_H
#define LL_RUN_RECORDS_INTERNAL_H

#include "shard_internal.h"

/** What this node knows of one of its own pages. The shard owns it, in records.pages. */
struct own_page {
    /** Of the page as it was last written or seen here; 0: there is none. */
    revision mod_revision;
    /** Of its texts as they were last written or seen, and at most of what is reserved on it since.
     */
    gsize used_bytes;
    /** struct record_page_entry: records of machines that other nodes own by now and have not
     * adopted yet. They stay on the page until their owners take them off. */
    GArray *foreign_records;
};

/* ---- run_records_pages.c: own pages, and the free bytes on them ---- */

/** The most bytes that the texts of a page may have together. */
gsize shard_max_page_bytes(const struct shard *shard);

/** Whether a page of any node is longer than that. It can be read, but not written again before it
 * was split. */
bool shard_page_is_oversized(const struct shard *shard, const struct record_page *page);

/** Whether nodes of version 0 may come to read what is written. They expect all records of a
 * machine on one page, and completions that begin with their unit. */
bool shard_uses_legacy_format(const struct shard *shard);

/** Frees a struct own_page. */
void own_page_free(gpointer page);

/** This node's page of that number; adds it, and all before it, if there is none. The shard owns
 * it. */
struct own_page *shard_get_own_page(struct shard *shard, int page_number);

/** Whether a page of the replica is one of this node's. */
bool shard_is_own_page(const struct shard *shard, const struct record_page *page);

/** The same page as the replica has it, or NULL. The replica owns it. */
struct record_page *shard_find_replica_page(struct shard *shard, int page_number);

/** shard_page_is_oversized() for a page of this node. */
bool shard_own_page_is_oversized(struct shard *shard, int page_number);

/** Whether nothing is stored on the page and nothing is reserved on it. */
bool shard_own_page_is_empty(struct shard *shard, int page_number);

/** The replica's record of exactly this run, on whichever page, or NULL. */
struct run_record *shard_find_run_record(struct shard *shard, const struct machine *machine,
                                         const struct task_run *run);

/** The first own page that has a record of the machine; -1: none has. */
int shard_find_page_of_machine(const struct machine *machine);

/** The description of a machine for the pages with records of it; NULL: it is described elsewhere,
 * its address is not known yet, or a page cannot hold it, as a word of it has separators. The
 * machine owns the text. */
const char *shard_machine_page_description(struct machine *machine);

/** The record of a run, as it is written. Its description belongs to the machine. */
struct record_page_entry shard_make_page_entry(struct machine *machine, const struct task_run *run);

/** The record as the replica has it, with the description of its machine if pages need that. The
 * description belongs to the replica. */
struct record_page_entry shard_make_page_entry_from_replica(struct shard *shard,
                                                            const struct run_record *run_record);

/** Whether one more run of the machine can be recorded. It always can, unless a node that expects
 * all records of a machine on one page may come to read it: then that page needs enough free bytes.
 */
bool shard_can_record_run(struct shard *shard, struct machine *machine, job_id job);

/** Reserves bytes for the record of one more run of the machine, and has it written soon. */
void shard_reserve_record(struct shard *shard, struct machine *machine, job_id job);

/** Free bytes on a page, less those that completions on it may still come to take. */
gsize shard_page_free_bytes(struct shard *shard, int page_number);

/** Reserves bytes on a page. They are given back when the page is next written or read. */
void shard_page_reserve(struct shard *shard, int page_number, gsize bytes);

/* ---- run_records_reconcile.c: agreement with the replica ---- */

/** Makes all own pages, inventories and machines agree with the replica. It must only be called
 * when the replica is past the end of this node's last transaction, see shard_machine_reconcile().
 */
void shard_records_reconcile(struct shard *shard);

/** A page has changed in the replica. If it is an own page, and the change is not a write that is
 * known here, takes that page over from the replica: another node has adopted records from it, or
 * split it, or the answer to a write of this node was lost. */
void shard_handle_page_changed(struct shard *shard, const char *key);

/* ---- run_records_flush.c: when records are written ---- */

/** Has shard_flush() called in a moment, unless a transaction is in flight; its end does the same.
 */
void shard_request_flush(struct shard *shard);

/** Notes that there is something to be written, and requests a flush. */
void shard_mark_dirty(struct shard *shard);

/** Writes what is due, if anything is and this node may write now.
 * @param arg the struct shard. */
void shard_flush(void *arg);

/** Schedules the next flush after the end of a transaction.
 * @param ok false: the transaction was refused or its outcome could not be read; the flush waits
 * longer. */
void shard_schedule_flush(struct shard *shard, bool ok);

/** What a transaction other than of a batch has to remember until its end. */
struct pending_write {
    struct shard *shard;
    /** The shard's when the transaction was made. */
    uint64_t generation;
};

/** Ends a transaction other than of a batch, and has the shard agree with the replica.
 * @param ok whether the replica shows what became of the transaction. */
void shard_finish_write(const struct pending_write *write, bool ok);

/* ---- record_batch_outcome.c ---- */

/** Logs how long starts and ends waited for their records since the last call (event
 * record_write_waits). */
void shard_log_write_waits(struct shard *shard);

#endif
