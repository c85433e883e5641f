/**
 * Client of the consensus-backed key-value store.
 *
 * Requests wait in one queue per priority until the rate limits (token buckets for all requests and
 * for writes) and the pause after a 429 response allow them to be sent; queues of higher priority
 * are served first. The store has not executed a request that it answers with 429, so the client
 * sends it again. Transactions (kv_txn.h) and a read barrier are built on plain requests.
 *
 * The callback of a request is called exactly once, unless the client is freed first. It may be
 * called before the function that sends the request returns, and may send further requests.
 */
#ifndef LL_KV_CLIENT_H
#define LL_KV_CLIENT_H

#include "http.h"
#include "kv_txn.h"

/** A client of the key-value store with its request queues and rate limits. */
struct kv_client;

/**
 * The limits of the store. The maximum sizes of values and transactions are the smaller of the
 * current limits and those announced for later; values that are already stored may be larger.
 */
struct kv_limits {
    /** Requests and writes per second, shared by all nodes. */
    double rate_limit_rps, rate_limit_write_rps;
    /** The write rate that will apply from a time that is not announced. */
    double rate_limit_next_write_rps;
    int max_txn_operations;
    size_t max_value_bytes;
    /** Responses of the store indicate that the limits announced for later are in force. */
    bool is_lowered;
    /** The size of the largest response that this process can receive. */
    size_t max_response_bytes;
    /** The number of nodes that share the rate limits. */
    int node_count;
};

/**
 * Creates a client of the store at address (HOST:PORT). The event loop and the HTTP client must
 * outlive it.
 */
struct kv_client *kv_client_new(struct loop *loop, struct http_client *http_client,
                                const char *address, struct kv_limits limits);
/** Frees the client and discards queued requests without calling their callbacks. */
void kv_client_free(struct kv_client *kv);

/** Returns the limits in force; the rates and is_lowered can change while the client runs. */
const struct kv_limits *kv_client_limits(const struct kv_client *kv);

/** Returns true if the store has not responded for some time, or responds with 503. */
bool kv_client_is_unavailable(const struct kv_client *kv);

/** Priorities of requests, the highest first. */
enum kv_priority {
    /** Requests for the node's lease; they bypass the rate limits, but take tokens. Whoever repeats
     * a failed one delays it (retry_backoff.h). */
    KV_PRIORITY_LEASE,
    KV_PRIORITY_URGENT,
    KV_PRIORITY_WATCH,
    KV_PRIORITY_NORMAL,
    KV_PRIORITY_COUNT
};

/** A request to the store. The client copies the strings. */
struct kv_request {
    enum kv_priority priority;
    const char *method, *path;
    /** The body of the request; NULL if it has none. */
    const char *body;
    /** How long to wait for the response after the request was sent. */
    int response_timeout_ms;
    /** How long the request may wait in its queue. */
    int queue_timeout_ms;
    /** The number of writes that count towards the rate limit of writes. */
    int write_count;
};

/** Queues a request. If it times out in its queue, the response has the status HTTP_NOT_SENT. */
void kv_client_send(struct kv_client *kv, const struct kv_request *request,
                    http_response_callback callback, void *callback_arg);

/**
 * Reads one key. Decode the response with kv_decode_value. For the timeouts see struct kv_request.
 */
void kv_client_get(struct kv_client *kv, enum kv_priority priority, const char *key,
                   int response_timeout_ms, int queue_timeout_ms, http_response_callback callback,
                   void *callback_arg);

/** Sends a transaction and takes ownership of it. */
void kv_client_commit(struct kv_client *kv, enum kv_priority priority, struct txn *txn,
                      txn_callback callback, void *callback_arg);

/** Receives the result of a read barrier; at_revision is valid only if ok is true. */
typedef void (*read_barrier_callback)(void *arg, bool ok, revision at_revision);

/**
 * Reports a revision that was the newest one in the store at some time after this call. Concurrent
 * calls share one transaction, which writes nothing.
 */
void kv_client_read_barrier(struct kv_client *kv, read_barrier_callback callback,
                            void *callback_arg);

/**
 * Requests a lease. Decode the response with kv_decode_lease. timeout_ms limits both the time in
 * the queue and the time until the response arrives.
 */
void kv_client_grant_lease(struct kv_client *kv, int ttl_ms, int timeout_ms,
                           http_response_callback callback, void *callback_arg);
/** Renews a lease; the response has the status HTTP_STATUS_NOT_FOUND if the lease has expired. */
void kv_client_renew_lease(struct kv_client *kv, lease_id lease, int timeout_ms,
                           http_response_callback callback, void *callback_arg);

#endif
