/** Internal declarations of the key-value client, for src/kv only. */
#ifndef LL_KV_CLIENT_INTERNAL_H
#define LL_KV_CLIENT_INTERNAL_H

#include "kv_client.h"
#include "retry_backoff.h"
#include "token_bucket.h"

/** State of kv_client_read_barrier (kv_read_barrier.c). */
struct read_barrier {
    /** Array of struct read_barrier_waiter: the callers that wait for the next barrier. */
    GArray *waiters;
    bool is_in_flight;
    /** Expires when the next barrier may be sent. */
    struct timer timer;
    mono_time last_sent_at;
};

/** State of the key-value client. */
struct kv_client {
    struct loop *loop;
    struct http_client *http_client;
    char *address;
    struct kv_limits limits;
    struct token_bucket request_bucket, write_bucket;
    /** The queues of struct kv_call, by priority. */
    GQueue queues[KV_PRIORITY_COUNT];
    /** Expires when the first queued call may be sent. */
    struct timer queue_timer;
    /** No request is sent before this time; set by a 429 response. */
    mono_time paused_until;
    /** The length of these pauses. */
    struct retry_backoff rate_limited_backoff;
    mono_time last_success_at;
    /** The last response was a 503. */
    bool last_status_was_503;
    /** Writes answered with 429, each within RATE_LIMITED_WINDOW_MS of the previous one. */
    int rate_limited_write_count;
    mono_time last_rate_limited_at;
    /** When a long wait for the rate limit was last logged; 0: never. */
    mono_time long_wait_logged_at;
    struct read_barrier read_barrier;
};

/** Initializes the client's read barrier. */
void read_barrier_init(struct kv_client *kv);
/** Stops the client's read barrier and frees its waiters without calling their callbacks. */
void read_barrier_clear(struct kv_client *kv);

#endif
