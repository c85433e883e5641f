/**
 * Client of the consensus-backed key-value store.
 *
 * Requests wait in lanes, the most important lane first, until the rate limits (token buckets for
 * all requests and for writes) and the pause after a 429 allow them. A request that was answered
 * 429 was not carried out and is sent again. On top of plain requests stand transactions
 * (kv_txn.h) and a read barrier.
 *
 * A callback is called exactly once for each request, unless the client is freed before. It may be
 * called before the function returns, and may itself send requests.
 */
#ifndef LL_KV_CLIENT_H
#define LL_KV_CLIENT_H

#include "http.h"
#include "kv_txn.h"

struct kv_client;

/**
 * What the store accepts. Sizes of values and transactions are the tighter of the present limits
 * and those announced for later; values stored before may be longer.
 */
struct kv_limits {
    /** Requests and writes a second, shared by all nodes. */
    double rate_limit_rps, rate_limit_write_rps;
    /** The write rate from some unannounced moment on. */
    double rate_limit_next_write_rps;
    int max_txn_operations;
    size_t max_value_bytes;
    /** The store has shown that the later limits hold already. */
    bool is_lowered;
    /** The longest response this process can take. */
    size_t max_response_bytes;
    /** Nodes that share the rate limits. */
    int node_count;
};

/** Creates a client of the store at HOST:PORT. The loop and the HTTP client must outlive it. */
struct kv_client *kv_client_new(struct loop *loop, struct http_client *http_client,
                                const char *address, struct kv_limits limits);
/** Frees the client and drops queued requests without calling them back. */
void kv_client_free(struct kv_client *kv);

/** The limits in force; the rates and rate_limit_lowered change while the client runs. */
const struct kv_limits *kv_client_limits(const struct kv_client *kv);

/** Whether the store has not answered for a while, or answers 503. */
bool kv_client_is_unavailable(const struct kv_client *kv);

/** Lanes in the order in which they are served. */
enum kv_priority {
    /** Renewals of the node's lease: bypass the rate limits. */
    KV_PRIORITY_LEASE,
    KV_PRIORITY_URGENT,
    KV_PRIORITY_WATCH,
    KV_PRIORITY_NORMAL,
    KV_PRIORITY_COUNT
};

/** A request; the client copies the texts. */
struct kv_request {
    enum kv_priority priority;
    const char *method, *path;
    /** NULL: none. */
    const char *body;
    /** How long to wait for the response, once it is sent. */
    int response_timeout_ms;
    /** How long it may wait in its lane. */
    int queue_timeout_ms;
    /** Writes that it counts for in the rate limit of writes. */
    int write_count;
};

/** Queues a request. The response has status HTTP_NOT_SENT when its time in the lane ran out. */
void kv_client_send(struct kv_client *kv, const struct kv_request *request,
                    http_response_callback callback, void *callback_arg);

/** Reads one key; the response is decoded by kv_decode_value. Times as in struct kv_request. */
void kv_client_get(struct kv_client *kv, enum kv_priority priority, const char *key,
                   int response_timeout_ms, int queue_timeout_ms, http_response_callback callback,
                   void *callback_arg);

/** Sends a transaction and takes ownership of it. */
void kv_client_commit(struct kv_client *kv, enum kv_priority priority, struct txn *txn,
                      txn_callback callback, void *callback_arg);

/** at_revision is set if ok. */
typedef void (*read_barrier_callback)(void *arg, bool ok, revision at_revision);

/**
 * Reports a revision that was the store's newest at some moment after this call. Calls that come
 * together share one transaction without writes.
 */
void kv_client_read_barrier(struct kv_client *kv, read_barrier_callback callback,
                            void *callback_arg);

/**
 * Requests a lease; the response is decoded by kv_decode_lease. timeout_ms limits both the wait in
 * the lane of leases and that for the response.
 */
void kv_client_grant_lease(struct kv_client *kv, int ttl_ms, int timeout_ms,
                           http_response_callback callback, void *callback_arg);
/** Renews a lease; the response has HTTP_STATUS_NOT_FOUND when it has expired. */
void kv_client_renew_lease(struct kv_client *kv, lease_id lease, int timeout_ms,
                           http_response_callback callback, void *callback_arg);

#endif
