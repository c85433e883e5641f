/**
 * Transactions of the key-value store: compare-and-swap over several keys.
 *
 * A transaction consists of compares (each a key and the revision at which it must last have been
 * written) and writes. The store executes all writes if all compares succeed, and none otherwise.
 */
#ifndef LL_KV_TXN_H
#define LL_KV_TXN_H

#include "json_fields.h"

/** A transaction that is being built. */
struct txn;

/** The possible outcomes of a transaction. */
enum txn_status {
    /** All writes were executed. */
    TXN_COMMITTED,
    /** A compare failed; nothing was written. */
    TXN_CONFLICT,
    /** A lease that the transaction refers to has expired; nothing was written. */
    TXN_LEASE_EXPIRED,
    /** The store rejected the transaction, or it was never sent; nothing was written. */
    TXN_REJECTED,
    /** No usable response arrived: the writes may have been executed, or may still be executed. */
    TXN_UNKNOWN,
};

/** The outcome of a transaction; valid only during the callback. */
struct txn_outcome {
    enum txn_status status;
    /** The store's revision; set for TXN_COMMITTED and TXN_CONFLICT. */
    revision at_revision;
    /** The keys (char *) whose compares failed; NULL unless the status is TXN_CONFLICT. */
    GPtrArray *failed_keys;
};

/** Receives the outcome of a transaction. */
typedef void (*txn_callback)(void *arg, const struct txn_outcome *outcome);

/** Creates an empty transaction. */
struct txn *txn_new(void);
/** Frees a transaction that was not passed to kv_client_commit, which takes ownership. */
void txn_free(struct txn *txn);

/**
 * Adds a compare: the key must last have been written at mod_revision or, if that is 0, must not
 * exist.
 */
void txn_compare(struct txn *txn, const char *key, revision mod_revision);
/**
 * Adds a write of a key and takes ownership of the value. The store deletes the key when the lease
 * expires; with lease 0 the key is attached to no lease.
 */
void txn_put(struct txn *txn, const char *key, json_object *value, lease_id lease);
/** Adds the deletion of a key. */
void txn_delete(struct txn *txn, const char *key);

/** Returns the number of puts and deletions. */
guint txn_write_count(const struct txn *txn);
/** Returns the number of compares. */
guint txn_compare_count(const struct txn *txn);
/** Returns an upper estimate of the encoded size of the compares and writes. */
size_t txn_size_bytes(const struct txn *txn);
/** Returns the encoded size of one value. */
size_t kv_value_size_bytes(json_object *value);

/** Encodes the request body. The caller owns the result. */
json_object *txn_encode(const struct txn *txn);

#endif
