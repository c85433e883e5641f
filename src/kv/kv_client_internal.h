/** What the files of the key-value client share; for src/kv only. */
#ifndef LL_KV_CLIENT_INTERNAL_H
#define LL_KV_CLIENT_INTERNAL_H

#include "kv_client.h"
#include "token_bucket.h"

/** State of kv_client_read_barrier (kv_read_barrier.c). */
struct read_barrier {
    /** Array of struct read_barrier_waiter: callers that the next barrier will answer. */
    GArray *waiters;
    bool is_in_flight;
    /** Runs until the next barrier may be sent. */
    struct timer timer;
    mono_time last_sent_at;
};

struct kv_client {
    struct loop *loop;
    struct http_client *http_client;
    char *address;
    struct kv_limits limits;
    struct token_bucket request_bucket, write_bucket;
    /** Queues of struct kv_call. */
    GQueue queues[KV_PRIORITY_COUNT];
    /** Runs until the first queued call may be sent. */
    struct timer queue_timer;
    /** Nothing is sent before; set by a 429. */
    mono_time paused_until;
    mono_time last_success_at;
    /** The last response was a 503. */
    bool last_status_was_503;
    /** Writes answered 429, each within RATE_LIMITED_WINDOW_MS of the one before. */
    int rate_limited_write_count;
    mono_time last_rate_limited_at;
    struct read_barrier read_barrier;
};

void read_barrier_init(struct kv_client *kv);
void read_barrier_clear(struct kv_client *kv);

#endif
