/**
 * Transactions of the key-value store: compare-and-swap over several keys.
 *
 * A transaction is a list of compares (a key and the revision at which it must have been written
 * last) and a list of writes. The store carries out all writes if all compares hold, and none
 * otherwise.
 */
#ifndef LL_KV_TXN_H
#define LL_KV_TXN_H

#include "json_fields.h"

struct txn;

enum txn_status {
    /** All writes were carried out. */
    TXN_COMMITTED,
    /** A compare did not hold; nothing was written. */
    TXN_CONFLICT,
    /** A lease that the transaction names has expired; nothing was written. */
    TXN_LEASE_EXPIRED,
    /** The store refused the transaction, or it was never sent; nothing was written. */
    TXN_REJECTED,
    /** The answer is missing: it may have been carried out, or may still be. */
    TXN_UNKNOWN,
};

/** What became of a transaction; valid for the callback only. */
struct txn_outcome {
    enum txn_status status;
    /** The store's revision; set with TXN_COMMITTED and TXN_CONFLICT. */
    revision at_revision;
    /** Keys (char *) whose compares failed; NULL unless TXN_CONFLICT. Valid for the callback. */
    GPtrArray *failed_keys;
};

typedef void (*txn_callback)(void *arg, const struct txn_outcome *outcome);

struct txn *txn_new(void);
/** Frees a transaction that was not committed; kv_client_commit takes ownership. */
void txn_free(struct txn *txn);

/** Requires that the key was last written at mod_revision; 0: that it does not exist. */
void txn_compare(struct txn *txn, const char *key, revision mod_revision);
/** Writes a key. Takes ownership of the value. The key is deleted when the lease expires; 0: never.
 */
void txn_put(struct txn *txn, const char *key, json_object *value, lease_id lease);
void txn_delete(struct txn *txn, const char *key);

guint txn_write_count(const struct txn *txn);
guint txn_compare_count(const struct txn *txn);
/** An upper estimate of the encoded size of the compares and writes. */
size_t txn_size_bytes(const struct txn *txn);
/** The encoded size of one value. */
size_t kv_value_size_bytes(json_object *value);

/** Encodes the request body. The caller owns the object. */
json_object *txn_encode(const struct txn *txn);

#endif
