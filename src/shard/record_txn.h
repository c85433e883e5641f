/**
 * @file
 * The transactions that write run records and what belongs to them, with all their conditions.
 *
 * A transaction is compare-and-swap: the state service carries its writes out only if every key
 * that it compares still has the mod revision that this node knows, 0 meaning that there is no such
 * key. No other file of the shard adds a condition, and no write of the shard goes without the ones
 * below. The rules in quotes are those of docs/safety.md.
 *
 * All transactions are conditioned on
 * - the node's own key (ll/n/LABEL). "Every run-record write is conditioned": a node that was
 *   excluded, or restarted, writes nothing any more;
 * - the shard map (ll/map). "Every run-record write is conditioned": what an earlier leader
 *   dispatched and is not on record when the map changes never will be.
 *
 * Besides these,
 * - a batch or a split is conditioned on each page that it writes, of this node or another. "A page
 *   never loses a record": a record that somebody else has put there is not overwritten;
 * - a split by copies is conditioned on the page that it copies and does not write. "With copies":
 *   the copies are of what is on the page;
 * - a batch is conditioned on the job of each start that it records. "Every run-record write is
 *   conditioned": a cancellation changes the job's key, and a start that races with it fails;
 * - a batch is conditioned on each machine's own record that it writes or removes, and the write of
 *   an inventory on that inventory: no version that this node has not seen is overwritten.
 */
#ifndef LL_RECORD_TXN_H
#define LL_RECORD_TXN_H

#include "run_records_internal.h"

/** Whether this node may write records at all, as far as it knows: its lease is valid, it is in the
 * newest shard map as this process, and the shard has applied that map. The transactions are
 * conditioned on the same, so this only saves writes that would fail. */
bool record_txn_is_allowed(const struct shard *shard);

/** A transaction with the two conditions of all writes, the node's membership and the shard map.
 * The caller owns it until it is committed. */
struct txn *record_txn_new(struct shard *shard);

/** Writes a page, on condition that it is as it was at mod_revision.
 * @param run_records, completions the texts of the page, see record_page_codec.h. */
void record_txn_put_page(struct txn *txn, const char *key, revision mod_revision,
                         const char *run_records, const char *completions);

/** Only the condition that the page is as the replica has it. */
void record_txn_compare_page(struct txn *txn, const struct record_page *page);

/** The condition that a job is as the replica has it: neither cancelled nor done. */
void record_txn_compare_job(struct txn *txn, const struct job *job);

/** Writes a machine's own record, on condition that it is as this node knows it. Takes the value.
 */
void record_txn_put_machine(struct txn *txn, const struct machine *machine, json_object *value);

/** Removes a machine's own record, on the same condition. */
void record_txn_delete_machine(struct txn *txn, const struct machine *machine);

/** Writes one of this node's inventories, on condition that it is as it was at mod_revision. */
void record_txn_put_inventory(struct txn *txn, const char *key, revision mod_revision,
                              const char *text);

/** Commits the transaction with callback and arg. It becomes the one in flight, and its writes
 * count in this node's share of the write rate. Takes the transaction. */
void record_txn_commit(struct shard *shard, struct txn *txn, txn_callback callback, void *arg);

/** Calls back once the replica shows what became of a transaction that was not committed, or whose
 * end is not known. ok is false if the replica cannot show it, or the transaction was refused and
 * changed nothing. */
void record_txn_await_outcome(struct shard *shard, const struct txn_outcome *outcome,
                              replica_callback callback, void *arg);

#endif
