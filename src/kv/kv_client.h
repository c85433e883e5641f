/* The state service's client: transactions, requests within the budgets, and the read barrier. */
#ifndef LL_STORE_H
#define LL_STORE_H

#include "codec.h"
#include "http.h"

struct kv_client;

/* What the state service may be asked for. Values and transactions keep within the tighter of the
 * limits of now and those to come; values that were stored before may be longer. */
struct kv_limits {
    double rate_limit_rps, rate_limit_write_rps;
    double rate_limit_next_write_rps; /* it may allow no more than that one day, without notice */
    int max_txn_operations;
    size_t max_value_bytes;
    bool rate_limit_lowered; /* the state service has shown that it allows less by now */
    size_t max_response_bytes;
    int node_count; /* that share the budgets */
};

struct kv_client *kv_client_new(struct loop *loop, struct http_client *http_client,
                                const char *address, struct kv_limits limits);
void kv_client_free(struct kv_client *kv);
const struct kv_limits *kv_client_limits(const struct kv_client *kv);

/* Whether the state service has not answered this node for a moment, or refuses it. */
bool kv_client_is_unavailable(const struct kv_client *kv);

/* ---- plain requests ---- */

enum kv_lane { KV_LANE_LEASE, KV_LANE_URGENT, KV_LANE_WATCH, KV_LANE_NORMAL, KV_LANE_COUNT };

/* Waits for its turn within the budget. After 429 it is sent again; status HTTP_NOT_SENT when that
 * took longer than poll_timeout_ms. */
void kv_client_request(struct kv_client *kv, enum kv_lane lane, const char *method,
                       const char *path, const char *body, int response_timeout_ms,
                       int queue_timeout_ms, int write_count, http_response_callback callback,
                       void *callback_arg);

/* Reads one key. */
void kv_client_get(struct kv_client *kv, enum kv_lane lane, const char *key,
                   int response_timeout_ms, int queue_timeout_ms, http_response_callback callback,
                   void *callback_arg);

/* ---- transactions ---- */

struct txn;

enum txn_status {
    TXN_COMMITTED,
    TXN_CONFLICT, /* a condition did not hold */
    TXN_LEASE_EXPIRED,
    TXN_REJECTED, /* surely not carried out */
    TXN_UNKNOWN,  /* it may have been carried out, or may be later */
};

struct txn_outcome {
    enum txn_status status;
    revision at_revision;   /* with TXN_COMMITTED and TXN_CONFLICT */
    GPtrArray *failed_keys; /* keys, with TXN_CONFLICT */
};

typedef void (*txn_callback)(void *arg, const struct txn_outcome *outcome);

struct txn *txn_new(void);
void txn_free(struct txn *txn);
void txn_compare(struct txn *txn, const char *key, revision mod_revision);
/* Takes the value. lease 0: not attached. */
void txn_put(struct txn *txn, const char *key, json_object *value, lease_id lease);
void txn_delete(struct txn *txn, const char *key);
guint txn_write_count(const struct txn *txn);
guint txn_compare_count(const struct txn *txn);
size_t txn_size_bytes(const struct txn *txn);
/* What a value takes as it is sent. */
size_t kv_value_size_bytes(json_object *value);
/* Takes the transaction. */
void kv_client_commit(struct kv_client *kv, enum kv_lane lane, struct txn *txn,
                      txn_callback callback, void *callback_arg);

/* ---- read barrier ---- */

typedef void (*read_barrier_callback)(void *arg, bool ok, revision at);
/* Tells a revision that was the newest at some moment after this call. Calls that come together
 * share one transaction without writes. */
void kv_client_read_barrier(struct kv_client *kv, read_barrier_callback callback,
                            void *callback_arg);

#endif
