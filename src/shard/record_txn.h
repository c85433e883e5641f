/**
 * @file
 * The transactions that write run records, machine records and inventories, with all their
 * compares.
 *
 * A transaction is a compare-and-swap: the state service carries out its writes only if every
 * compared key still has the mod revision that this node knows; 0 means that the key does not
 * exist. No other file of the shard adds compares, and no transaction of the shard lacks those
 * listed here. The quoted rules are those of docs/safety.md.
 *
 * All transactions compare
 * - the key of this node (ll/n/LABEL). "Every run-record write is conditioned": a node that was
 *   excluded from the cluster, or restarted, cannot write any more. "A late transaction changes
 *   nothing": writing this key again fences off a transaction whose outcome is unknown;
 * - the shard map (ll/map). "Every run-record write is conditioned": a task that an earlier leader
 *   dispatched and that is not recorded when the map changes never will be.
 *
 * In addition,
 * - a batch or a split compares each page that it writes, of this node or another. "A page never
 *   loses a record": a record that another node has put on the page is not overwritten;
 * - a split by copies compares the page that it copies from and does not write. "With copies": the
 *   copies match what is on the page;
 * - a batch compares the job of each run that it records as started. "Every run-record write is
 *   conditioned": a cancellation changes the key of the job, so that a concurrent start fails;
 * - a batch compares each machine's own record that it writes or deletes, and the write of an
 *   inventory compares that inventory: a version that this node has not seen is never overwritten.
 */
#ifndef LL_RECORD_TXN_H
#define LL_RECORD_TXN_H

#include "run_records_internal.h"

/** Creates a transaction with the two compares that all transactions have, on this node's key and
 * on the shard map. The caller owns it until it is passed to record_txn_commit(). */
struct txn *record_txn_new(struct shard *shard);

/** Writes a page, if its mod revision is still the given one.
 * @param run_records, completions the strings of the page, see record_page_codec.h and
 *     completions_codec.h. */
void record_txn_put_page(struct txn *txn, const char *key, revision mod_revision,
                         const char *run_records, const char *completions);

/** Compares a page with the replica's revision of it, without writing it. */
void record_txn_compare_page(struct txn *txn, const struct record_page *page);

/** Compares a job with the replica's revision of it, in which the job is neither cancelled nor
 * done. */
void record_txn_compare_job(struct txn *txn, const struct job *job);

/** Writes a machine's own record, if it still has the revision that this node knows. Takes
 * ownership of the value. */
void record_txn_put_machine(struct txn *txn, const struct machine *machine, json_object *value);

/** Deletes a machine's own record, if it still has the revision that this node knows. */
void record_txn_delete_machine(struct txn *txn, const struct machine *machine);

/** Writes one of this node's inventories, if its mod revision is still the given one. */
void record_txn_put_inventory(struct txn *txn, const char *key, revision mod_revision,
                              const char *text);

/** Commits the transaction, which becomes the one in flight. Its writes are deducted from the write
 * budget. Takes ownership of the transaction.
 * @param callback called with arg and the outcome. */
void record_txn_commit(struct shard *shard, struct txn *txn, txn_callback callback, void *arg);

/** Fences off the transactions that were sent before: those that were not carried out yet never
 * will be, as all of them compare this node's key, which is written again. The next transaction may
 * choose other pages than the one whose outcome is unknown, so that without a fence both could be
 * carried out.
 * @param callback called with arg; ok: the fence holds, and the replica shows what was carried out
 *     before it. Otherwise the fence has to be repeated before any other transaction is sent. */
void record_txn_fence(struct shard *shard, replica_callback callback, void *arg);

/** Calls back once the replica reflects the outcome of a transaction. If that is unknown, the
 * transaction is fenced off first. The callback's ok is false if the replica cannot reach the
 * outcome, or if the transaction was refused and so changed nothing. */
void record_txn_await_outcome(struct shard *shard, const struct txn_outcome *outcome,
                              replica_callback callback, void *arg);

#endif
