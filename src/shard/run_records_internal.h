/**
 * @file
 * The run records of a node's machines: the pages that store them, how they are kept consistent
 * with the replica, and when they are written.
 *
 * A run record states that an attempt of a task runs, or may run, on a machine. Because the state
 * service allows few writes, many records are stored in one value: a page of the node that owns the
 * machines (record_page_codec.h). A change to the runs of a machine becomes a transaction in these
 * steps:
 *
 * 1. A run changes: a task is placed (TASK_RUN_PLACED), its end is proven (TASK_RUN_ENDED), it
 *    completes (completions.c), or its machine moves to this node together with its records
 *    (run_record_state.is_foreign). The code that makes the change calls shard_mark_dirty().
 * 2. After a short delay shard_flush() runs (run_records_flush.c). It keeps at most one transaction
 *    in flight and stays within this node's share of the write rate. It writes, in this order of
 *    preference: pages that exceed the size limit (page_split.c), inventories that are due
 *    (machine_inventory.c), a batch of run records.
 * 3. record_batch_select.c selects what the batch covers. It computes for each page the weight of
 *    the pending changes, and selects the pages to write and the pages of other nodes to adopt
 *    records from. All other changes are left to a later batch.
 * 4. page_draft.c fills a draft of each selected page with the contents that have to stay on it.
 *    record_batch_adopt.c then adds adopted records and record_batch.c the records of new runs, as
 *    far as they fit; record_batch_machine.c adds writes of the machines' own records.
 * 5. record_txn.c adds the compares of the transaction and commits it. No other file adds compares;
 *    record_txn.h lists them with the rules of docs/safety.md that they implement.
 * 6. record_batch_outcome.c handles the outcome. Committed: the state of machines and runs is
 *    updated to match the transaction, and the agents are sent commands for the recorded runs.
 *    Conflict or unknown: no outcome is assumed. A transaction of unknown outcome is fenced off
 *    first, so that it cannot be carried out later. Once the replica is recent enough, all pages
 * and runs are read from it again. Refused: the batch is dropped. Whatever the outcome, changes
 * that are still pending go into the next batch.
 *
 * From step 4 to step 6 the change is noted in the run (run_record_state.is_in_txn and next_page),
 * while run_record_state.page still says where the record is: only the outcome updates it.
 */
#ifndef LL_RUN_RECORDS_INTERNAL_H
#define LL_RUN_RECORDS_INTERNAL_H

#include "shard_internal.h"

/** What this node knows about one of its own pages. The shard owns it, in records.pages. */
struct own_page {
    /** The mod revision of the page when this node last wrote or read it; 0: the page does not
     * exist. */
    revision mod_revision;
    /** The length of the page's strings when they were last written or read, plus an upper bound of
     * the bytes reserved on the page since. */
    gsize used_bytes;
    /** The records (struct record_page_entry) of machines that other nodes own now and have not
     * adopted yet. They stay on the page until their owners remove them. */
    GArray *foreign_records;
};

/* ---- run_records_pages.c: own pages and the free bytes on them ---- */

/** Returns the maximum total length in bytes of the strings of a page. */
gsize shard_max_page_bytes(const struct shard *shard);

/** Returns whether a page of any node exceeds shard_max_page_bytes(). Such a page can be read, but
 * has to be split before it can be written again. */
bool shard_page_is_oversized(const struct shard *shard, const struct record_page *page);

/** Returns whether nodes of version 0 may read what is written now. They expect all records of a
 * machine on one page, and cannot read completions that begin in the middle of a chunk. */
bool shard_uses_legacy_format(const struct shard *shard);

/** Frees a struct own_page; a GDestroyNotify. */
void own_page_free(gpointer page);

/** Returns this node's page with that number, and creates it and all pages before it if necessary.
 * The shard owns the page. */
struct own_page *shard_get_own_page(struct shard *shard, int page_number);

/** Returns whether a page of the replica belongs to this node. */
bool shard_is_own_page(const struct shard *shard, const struct record_page *page);

/** Returns the replica's version of this node's page, or NULL. The replica owns it. */
struct record_page *shard_find_replica_page(struct shard *shard, int page_number);

/** Returns whether this node's page exceeds shard_max_page_bytes(). */
bool shard_own_page_is_oversized(struct shard *shard, int page_number);

/** Returns whether nothing is stored on the page and no bytes are reserved on it. */
bool shard_own_page_is_empty(struct shard *shard, int page_number);

/** Returns the replica's record of exactly this run (machine, task and attempt) on any page, or
 * NULL. */
struct run_record *shard_find_run_record(struct shard *shard, const struct machine *machine,
                                         const struct task_run *run);

/** Returns the number of an own page that has a record of the machine; -1: there is none. */
int shard_find_page_of_machine(const struct machine *machine);

/** Returns the machine's description for pages that have records of it. The machine owns the
 * string. NULL: pages need not or cannot describe the machine, because its own record or an
 * inventory does, its address is not known yet, or a part of the description contains separators of
 * the page format. */
const char *shard_machine_page_description(struct machine *machine);

/** Returns the page entry of a run's record. The machine owns the description in it. */
struct record_page_entry shard_make_page_entry(struct machine *machine, const struct task_run *run);

/** Returns the page entry of a record of the replica, with the description of its machine if the
 * page has to include that. The replica owns the description. */
struct record_page_entry shard_make_page_entry_from_replica(struct shard *shard,
                                                            const struct run_record *run_record);

/** Returns whether one more run of the machine can be recorded. This can only be false while a node
 * of version 0 may read the pages: the page with the machine's records then needs enough free
 * bytes, and all of the machine's records must have been adopted. */
bool shard_can_record_run(struct shard *shard, struct machine *machine, job_id job);

/** Reserves bytes for the record of one more run on the page with the machine's records, if there
 * is one, and schedules a flush. */
void shard_reserve_record(struct shard *shard, struct machine *machine, job_id job);

/** Returns the free bytes on a page, not counting those that its completions may still grow into. 0
 * if the page is oversized. */
gsize shard_page_free_bytes(struct shard *shard, int page_number);

/** Reserves bytes on a page. The reservation ends when the page is next written or read. */
void shard_page_reserve(struct shard *shard, int page_number, gsize bytes);

/* ---- run_records_reconcile.c: consistency with the replica ---- */

/** Updates all own pages, inventories and machines to match the replica. Must only be called when
 * the replica has reached the outcome of this node's last transaction, see
 * shard_machine_reconcile(). */
void shard_records_reconcile(struct shard *shard);

/** Handles a change of a page in the replica. If the page is this node's and its revision is newer
 * than the one known here, reads it again: another node has adopted records from it or split it, or
 * the response to a write of this node was lost. */
void shard_handle_page_changed(struct shard *shard, const char *key);

/* ---- run_records_flush.c: when records are written ---- */

/** Schedules shard_flush() after a short delay, unless it is scheduled already or a transaction is
 * in flight. The end of that transaction schedules a flush as well. */
void shard_request_flush(struct shard *shard);

/** Notes that there are changes to write, and requests a flush. */
void shard_mark_dirty(struct shard *shard);

/** Writes pending changes, if there are any and this node may write now.
 * @param arg the struct shard. */
void shard_flush(void *arg);

/** Schedules the next flush after a transaction has ended.
 * @param ok false if the transaction was refused or its outcome could not be determined; the delay
 *     is longer then. */
void shard_schedule_flush(struct shard *shard, bool ok);

/** The context of a transaction other than a batch, until its outcome is known. */
struct pending_write {
    struct shard *shard;
    /** The value of shard.generation when the transaction was created. */
    uint64_t generation;
};

/** Creates the context of a transaction of the present generation. */
struct pending_write *shard_pending_write_new(struct shard *shard);

/** Ends a transaction other than a batch, and reconciles the shard with the replica; a
 * replica_callback.
 * @param arg the struct pending_write, which is freed.
 * @param ok whether the replica has reached the outcome of the transaction. */
void shard_finish_write(void *arg, bool ok);

/* ---- record_batch_outcome.c ---- */

/** Logs how long run starts and run ends have waited to be recorded since the last call (event
 * record_write_waits). */
void shard_log_write_waits(struct shard *shard);

#endif
