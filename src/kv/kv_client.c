/**
 * Key-value client: request queues, rate limits and the availability of the store. Transactions are
 * in kv_commit.c, leases in kv_lease.c, the read barrier in kv_read_barrier.c.
 */
#include "kv_client_internal.h"

#include "log.h"

enum {
    /** Pause after a 429 response; it grows if the next request is refused as well. */
    RATE_LIMITED_MIN_DELAY_MS = 120,
    RATE_LIMITED_MAX_DELAY_MS = 240,
    /** Time since the last success after which the store counts as unavailable. */
    UNAVAILABLE_AFTER_NO_RESPONSE_MS = 1800,
    /** The same if the last response was a 503. */
    UNAVAILABLE_AFTER_503_MS = 150,
    /** This many writes answered with 429 in short succession indicate a lowered write rate. */
    MIN_RATE_LIMITED_WRITES = 4,
    /** Maximum interval between two of these responses. */
    RATE_LIMITED_WINDOW_MS = 3000,
    /** A queued request that has to wait for longer than this is logged. */
    LOGGED_WAIT_MS = 2000,
    /** Minimum interval between two of these log lines. */
    LOGGED_WAIT_INTERVAL_MS = 5000,
};

/** A queued or sent request. */
struct kv_call {
    struct kv_client *kv;
    enum kv_priority priority;
    char *method, *path, *body;
    int response_timeout_ms, write_count;
    mono_time queue_deadline;
    http_response_callback callback;
    void *callback_arg;
};

/** The part of the queued requests that has to wait. */
enum call_throttle {
    THROTTLE_NONE,
    /** The write rate is exhausted: requests without writes may still be sent. */
    THROTTLE_WRITES,
    /** The pause after a 429 lasts or the request rate is exhausted: nothing may be sent. */
    THROTTLE_ALL,
};

static void send_queued_calls(void *arg);

/**
 * Returns the fraction of the rate limits that this node uses. All nodes share the limits, but a
 * node may temporarily need more than an equal share, so each uses more than half. If the nodes
 * together exceed a limit, the store responds with 429.
 */
static double get_node_rate_share(const struct kv_limits *limits)
{
    return limits->node_count > 1 ? 0.6 : 0.95;
}

struct kv_client *kv_client_new(struct loop *loop, struct http_client *http_client,
                                const char *address, struct kv_limits limits)
{
    struct kv_client *kv = g_new0(struct kv_client, 1);
    mono_time now = loop_now(loop);
    double node_share = get_node_rate_share(&limits);
    kv->loop = loop;
    kv->http_client = http_client;
    kv->address = g_strdup(address);
    kv->limits = limits;
    kv->last_success_at = now;
    kv->request_bucket = token_bucket_make_full(limits.rate_limit_rps * node_share, now);
    kv->write_bucket = token_bucket_make_full(limits.rate_limit_write_rps * node_share, now);
    kv->rate_limited_backoff =
        retry_backoff_make(RATE_LIMITED_MIN_DELAY_MS, RATE_LIMITED_MAX_DELAY_MS);
    for (int priority = 0; priority < KV_PRIORITY_COUNT; priority++)
        g_queue_init(&kv->queues[priority]);
    timer_init(&kv->queue_timer, send_queued_calls, kv);
    read_barrier_init(kv);
    return kv;
}

static void call_free(struct kv_call *call)
{
    g_free(call->method);
    g_free(call->path);
    g_free(call->body);
    g_free(call);
}

void kv_client_free(struct kv_client *kv)
{
    timer_stop(kv->loop, &kv->queue_timer);
    read_barrier_clear(kv);
    for (int priority = 0; priority < KV_PRIORITY_COUNT; priority++) {
        struct kv_call *call;
        while ((call = g_queue_pop_head(&kv->queues[priority])))
            call_free(call);
    }
    g_free(kv->address);
    g_free(kv);
}

const struct kv_limits *kv_client_limits(const struct kv_client *kv)
{
    return &kv->limits;
}

bool kv_client_is_unavailable(const struct kv_client *kv)
{
    int64_t elapsed_ms = time_ms_since(loop_now(kv->loop), kv->last_success_at);
    return elapsed_ms >
           (kv->last_status_was_503 ? UNAVAILABLE_AFTER_503_MS : UNAVAILABLE_AFTER_NO_RESPONSE_MS);
}

static void call_finish(struct kv_call *call, const struct http_response *response)
{
    http_response_callback callback = call->callback;
    void *callback_arg = call->callback_arg;
    call_free(call);
    callback(callback_arg, response);
}

/**
 * Counts a write answered with 429 and switches to the announced write rate after several of them.
 * The store may lower the write rate without notice. A single 429 only shows that all nodes
 * together exceeded the rate for a moment; several within a short time show that the lower rate is
 * in force.
 */
static void count_rate_limited_write(struct kv_client *kv)
{
    struct kv_limits *limits = &kv->limits;
    mono_time now = loop_now(kv->loop);
    if (time_ms_since(now, kv->last_rate_limited_at) > RATE_LIMITED_WINDOW_MS)
        kv->rate_limited_write_count = 0;
    kv->last_rate_limited_at = now;
    if (++kv->rate_limited_write_count < MIN_RATE_LIMITED_WRITES ||
        limits->rate_limit_next_write_rps >= limits->rate_limit_write_rps)
        return;
    LOG_INFO("kv_write_rate_lowered", "from=%.1f to=%.1f", limits->rate_limit_write_rps,
             limits->rate_limit_next_write_rps);
    limits->rate_limit_write_rps = limits->rate_limit_next_write_rps;
    limits->is_lowered = true;
    token_bucket_set_rate(&kv->write_bucket,
                          limits->rate_limit_write_rps * get_node_rate_share(limits));
}

/** Pauses all requests, unless they are paused already: requests that were sent together are often
 * refused together. */
static void pause_requests(struct kv_client *kv)
{
    mono_time now = loop_now(kv->loop);
    if (time_before(now, kv->paused_until))
        return;
    int64_t delay_ms = retry_backoff_next_ms(&kv->rate_limited_backoff, kv->loop);
    kv->paused_until = time_add_ms(now, delay_ms);
    timer_start(kv->loop, &kv->queue_timer, delay_ms);
}

/**
 * Handles a 429 response: the request was not executed. Returns it to the head of its queue, to be
 * sent again after a pause.
 */
static void call_retry_later(struct kv_call *call)
{
    struct kv_client *kv = call->kv;
    token_bucket_drain(&kv->request_bucket);
    token_bucket_drain(&kv->write_bucket);
    g_queue_push_head(&kv->queues[call->priority], call);
    pause_requests(kv);
    LOG_DEBUG("kv_rate_limited", "path=%s", call->path);
    if (call->write_count)
        count_rate_limited_write(kv);
}

static void call_on_response(void *arg, const struct http_response *response)
{
    struct kv_call *call = arg;
    struct kv_client *kv = call->kv;
    if (response->status == HTTP_STATUS_TOO_MANY_REQUESTS) {
        call_retry_later(call);
        return;
    }
    if (response->status > 0) {
        retry_backoff_reset(&kv->rate_limited_backoff);
        kv->last_status_was_503 = response->status == HTTP_STATUS_UNAVAILABLE;
        if (!kv->last_status_was_503)
            kv->last_success_at = loop_now(kv->loop);
    }
    call_finish(call, response);
}

/** Takes the tokens of a call. A call of KV_PRIORITY_LEASE has not waited for them. */
static void take_tokens(struct kv_client *kv, const struct kv_call *call)
{
    if (call->priority == KV_PRIORITY_LEASE) {
        token_bucket_borrow(&kv->request_bucket, 1);
        token_bucket_borrow(&kv->write_bucket, call->write_count);
        return;
    }
    token_bucket_take(&kv->request_bucket, 1);
    token_bucket_take(&kv->write_bucket, call->write_count);
}

static void call_send(struct kv_call *call)
{
    struct kv_client *kv = call->kv;
    take_tokens(kv, call);
    struct http_client_request request = {
        .address = kv->address,
        .method = call->method,
        .path = call->path,
        .body = call->body,
        .body_bytes = call->body ? strlen(call->body) : 0,
        .timeout_ms = call->response_timeout_ms,
    };
    kv->http_client->request(kv->http_client, &request, call_on_response, call);
}

/**
 * Determines whether a call has to wait in its queue, and for how long. The node's lease must be
 * renewed in time under any load, so requests of that priority wait only for the pause after a 429.
 */
static enum call_throttle call_throttle(const struct kv_call *call, mono_time now, int64_t *wait_ms)
{
    const struct kv_client *kv = call->kv;
    if (time_before(now, kv->paused_until)) {
        *wait_ms = time_ms_since(kv->paused_until, now) + 1;
        return THROTTLE_ALL;
    }
    if (call->priority == KV_PRIORITY_LEASE)
        return THROTTLE_NONE;
    if (!token_bucket_has_token(&kv->request_bucket)) {
        *wait_ms = token_bucket_wait_ms(&kv->request_bucket);
        return THROTTLE_ALL;
    }
    if (call->write_count && !token_bucket_has_token(&kv->write_bucket)) {
        *wait_ms = token_bucket_wait_ms(&kv->write_bucket);
        return THROTTLE_WRITES;
    }
    return THROTTLE_NONE;
}

/**
 * Sends the calls of a queue that may be sent now. Returns false if nothing may be sent from the
 * queues of lower priority either.
 */
static bool send_from_queue(struct kv_client *kv, enum kv_priority priority, mono_time now,
                            int64_t *wait_ms)
{
    struct kv_call *call;
    while ((call = g_queue_peek_head(&kv->queues[priority]))) {
        if (time_before(call->queue_deadline, now)) {
            g_queue_pop_head(&kv->queues[priority]);
            call_finish(call, &(struct http_response){.status = HTTP_NOT_SENT});
            continue;
        }
        enum call_throttle throttle = call_throttle(call, now, wait_ms);
        if (throttle != THROTTLE_NONE)
            return throttle != THROTTLE_ALL;
        g_queue_pop_head(&kv->queues[priority]);
        call_send(call);
    }
    return true;
}

/** Logs that queued requests have to wait for long because of this node's own rate limit. */
static void log_long_wait(struct kv_client *kv, mono_time now, int64_t wait_ms)
{
    if (wait_ms < LOGGED_WAIT_MS ||
        (kv->long_wait_logged_at.us &&
         time_ms_since(now, kv->long_wait_logged_at) < LOGGED_WAIT_INTERVAL_MS))
        return;
    kv->long_wait_logged_at = now;
    LOG_INFO("kv_requests_wait",
             "wait_ms=%" G_GINT64_FORMAT " request_tokens=%.0f write_tokens=%.0f", wait_ms,
             kv->request_bucket.tokens, kv->write_bucket.tokens);
}

/** Timer callback: sends all calls that may be sent now, and starts the timer for the next one. */
static void send_queued_calls(void *arg)
{
    struct kv_client *kv = arg;
    mono_time now = loop_now(kv->loop);
    token_bucket_refill(&kv->request_bucket, now);
    token_bucket_refill(&kv->write_bucket, now);
    int64_t wait_ms = 0;
    for (int priority = 0; priority < KV_PRIORITY_COUNT; priority++)
        if (!send_from_queue(kv, (enum kv_priority)priority, now, &wait_ms))
            break;
    if (wait_ms) {
        timer_start(kv->loop, &kv->queue_timer, wait_ms);
        log_long_wait(kv, now, wait_ms);
    }
}

void kv_client_send(struct kv_client *kv, const struct kv_request *request,
                    http_response_callback callback, void *callback_arg)
{
    struct kv_call *call = g_new(struct kv_call, 1);
    *call = (struct kv_call){
        .kv = kv,
        .priority = request->priority,
        .method = g_strdup(request->method),
        .path = g_strdup(request->path),
        .body = g_strdup(request->body),
        .response_timeout_ms = request->response_timeout_ms,
        .write_count = request->write_count,
        .queue_deadline = time_add_ms(loop_now(kv->loop), request->queue_timeout_ms),
        .callback = callback,
        .callback_arg = callback_arg,
    };
    g_queue_push_tail(&kv->queues[call->priority], call);
    send_queued_calls(kv);
}

void kv_client_get(struct kv_client *kv, enum kv_priority priority, const char *key,
                   int response_timeout_ms, int queue_timeout_ms, http_response_callback callback,
                   void *callback_arg)
{
    char *path = g_strconcat("/keys/", key, NULL);
    struct kv_request request = {
        .priority = priority,
        .method = "GET",
        .path = path,
        .response_timeout_ms = response_timeout_ms,
        .queue_timeout_ms = queue_timeout_ms,
    };
    kv_client_send(kv, &request, callback, callback_arg);
    g_free(path);
}
