#include "kv_client.h"

#include "kv_codec.h"
#include "log.h"

#include <stdlib.h>

enum {
    READ_BARRIER_INTERVAL_MS = 40,
    RATE_LIMITED_RETRY_MS = 120,
    TXN_TIMEOUT_MS = 2500,
    TXN_QUEUE_TIMEOUT_MS = 2500,
    UNAVAILABLE_AFTER_SILENCE_MS = 1800,
    UNAVAILABLE_AFTER_503_MS = 150,
    RATE_LIMITED_WRITES_BEFORE_LOWERING = 4, /* within RATE_LIMITED_WINDOW_MS of one another */
    RATE_LIMITED_WINDOW_MS = 3000,
};

/* A budget that fills with time. */
struct token_bucket {
    double refill_per_s, capacity, tokens;
    mono_time refilled_at;
};

struct kv_call {
    struct kv_client *kv;
    enum kv_lane lane;
    char *method, *path, *body;
    int response_timeout_ms, write_count;
    mono_time queue_deadline;
    http_response_callback callback;
    void *callback_arg;
};

struct read_barrier_waiter {
    read_barrier_callback callback;
    void *callback_arg;
};

struct kv_client {
    struct loop *loop;
    struct http_client *http_client;
    char *address;
    struct kv_limits limits;
    struct token_bucket request_bucket, write_bucket;
    GQueue lanes[KV_LANE_COUNT];
    struct timer queue_timer;
    mono_time paused_until; /* after a 429 */
    mono_time last_success_at;
    bool is_refusing;        /* the last answer was a 503 */
    int rate_limited_writes; /* 429s for writes, close to one another */
    mono_time rate_limited_at;
    GArray *barrier_waiters; /* struct read_barrier_waiter: for the next barrier */
    bool barrier_in_flight;
    struct timer barrier_timer;
    mono_time last_barrier_at;
};

static void send_queued_calls(void *arg);

static void token_bucket_refill(struct token_bucket *bucket, mono_time now)
{
    bucket->tokens =
        MIN(bucket->capacity, bucket->tokens + bucket->refill_per_s *
                                                   (double)(now.us - bucket->refilled_at.us) / 1e6);
    bucket->refilled_at = now;
}

static void send_read_barrier(void *arg);

/* The budgets are shared by all nodes. One node may need more than its share for a while, so each
 * may use over half; 429 tells when that was too much. */
static double node_share_of_budget(const struct kv_limits *limits)
{
    return limits->node_count > 1 ? 0.6 : 0.95;
}

struct kv_client *kv_client_new(struct loop *loop, struct http_client *http_client,
                                const char *address, struct kv_limits limits)
{
    struct kv_client *kv = g_new0(struct kv_client, 1);
    kv->loop = loop;
    kv->http_client = http_client;
    kv->address = g_strdup(address);
    kv->limits = limits;
    kv->last_success_at = loop_now(loop);
    double node_share = node_share_of_budget(&limits);
    mono_time now = loop_now(loop);
    kv->request_bucket = (struct token_bucket){limits.rate_limit_rps * node_share,
                                               limits.rate_limit_rps * node_share,
                                               limits.rate_limit_rps * node_share, now};
    kv->write_bucket = (struct token_bucket){limits.rate_limit_write_rps * node_share,
                                             limits.rate_limit_write_rps * node_share,
                                             limits.rate_limit_write_rps * node_share, now};
    for (int i = 0; i < KV_LANE_COUNT; i++)
        g_queue_init(&kv->lanes[i]);
    timer_init(&kv->queue_timer, send_queued_calls, kv);
    timer_init(&kv->barrier_timer, send_read_barrier, kv);
    kv->barrier_waiters = g_array_new(FALSE, FALSE, sizeof(struct read_barrier_waiter));
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
    timer_stop(kv->loop, &kv->barrier_timer);
    for (int i = 0; i < KV_LANE_COUNT; i++) {
        struct kv_call *call;
        while ((call = g_queue_pop_head(&kv->lanes[i])))
            call_free(call);
    }
    g_array_unref(kv->barrier_waiters);
    g_free(kv->address);
    g_free(kv);
}

const struct kv_limits *kv_client_limits(const struct kv_client *kv)
{
    return &kv->limits;
}

static void call_finish(struct kv_call *call, const struct http_response *response)
{
    http_response_callback callback = call->callback;
    void *callback_arg = call->callback_arg;
    call_free(call);
    callback(callback_arg, response);
}

/* The rate of writes may be lowered without notice. One 429 only says that all nodes together were
 * too quick for a moment; several within a short time say that less is granted now. */
static void note_rate_limited_write(struct kv_client *kv)
{
    struct kv_limits *limits = &kv->limits;
    mono_time now = loop_now(kv->loop);
    if (time_ms_since(now, kv->rate_limited_at) > RATE_LIMITED_WINDOW_MS)
        kv->rate_limited_writes = 0;
    kv->rate_limited_at = now;
    if (++kv->rate_limited_writes < RATE_LIMITED_WRITES_BEFORE_LOWERING ||
        limits->rate_limit_next_write_rps >= limits->rate_limit_write_rps)
        return;
    LOG_INFO("writes_slowed", "from=%.1f to=%.1f", limits->rate_limit_write_rps,
             limits->rate_limit_next_write_rps);
    limits->rate_limit_write_rps = limits->rate_limit_next_write_rps;
    limits->rate_limit_lowered = true;
    kv->write_bucket.refill_per_s = kv->write_bucket.capacity =
        limits->rate_limit_write_rps * node_share_of_budget(limits);
    kv->write_bucket.tokens = MIN(kv->write_bucket.tokens, kv->write_bucket.capacity);
}

static void call_on_response(void *arg, const struct http_response *response)
{
    struct kv_call *call = arg;
    struct kv_client *kv = call->kv;
    if (response->status == 429) {
        /* Surely not carried out: it goes again, first in its lane. */
        kv->paused_until = time_add_ms(loop_now(kv->loop), RATE_LIMITED_RETRY_MS);
        kv->request_bucket.tokens = MIN(kv->request_bucket.tokens, 0);
        kv->write_bucket.tokens = MIN(kv->write_bucket.tokens, 0);
        g_queue_push_head(&kv->lanes[call->lane], call);
        timer_start(kv->loop, &kv->queue_timer, RATE_LIMITED_RETRY_MS);
        LOG_DEBUG("state_429", "path=%s", call->path);
        if (call->write_count)
            note_rate_limited_write(kv);
        return;
    }
    if (response->status > 0) {
        kv->is_refusing = response->status == 503;
        if (!kv->is_refusing)
            kv->last_success_at = loop_now(kv->loop);
    }
    call_finish(call, response);
}

bool kv_client_is_unavailable(const struct kv_client *kv)
{
    int64_t silent_ms = time_ms_since(loop_now(kv->loop), kv->last_success_at);
    return silent_ms > (kv->is_refusing ? UNAVAILABLE_AFTER_503_MS : UNAVAILABLE_AFTER_SILENCE_MS);
}

static void call_send(struct kv_client *kv, struct kv_call *call)
{
    kv->request_bucket.tokens -= 1;
    kv->write_bucket.tokens -= call->write_count;
    struct http_client_request request = {kv->address,
                                          call->method,
                                          call->path,
                                          call->body,
                                          call->body ? strlen(call->body) : 0,
                                          call->response_timeout_ms};
    kv->http_client->request(kv->http_client, &request, call_on_response, call);
}

static void send_queued_calls(void *arg)
{
    struct kv_client *kv = arg;
    mono_time now = loop_now(kv->loop);
    token_bucket_refill(&kv->request_bucket, now);
    token_bucket_refill(&kv->write_bucket, now);
    int64_t wait_ms = 0;
    for (int lane = 0; lane < KV_LANE_COUNT; lane++) {
        struct kv_call *call;
        while ((call = g_queue_peek_head(&kv->lanes[lane]))) {
            if (time_before(call->queue_deadline, now)) {
                g_queue_pop_head(&kv->lanes[lane]);
                call_finish(call, &(struct http_response){.status = HTTP_NOT_SENT});
                continue;
            }
            /* The lease is what everything hangs on: it does not wait for a budget, only for the
             * pause that a 429 asks for. */
            if (time_before(now, kv->paused_until)) {
                wait_ms = time_ms_since(kv->paused_until, now) + 1;
                goto later;
            }
            if (lane != KV_LANE_LEASE && kv->request_bucket.tokens < 1) {
                wait_ms = (int64_t)((1 - kv->request_bucket.tokens) /
                                    kv->request_bucket.refill_per_s * 1000) +
                          1;
                goto later;
            }
            if (lane != KV_LANE_LEASE && call->write_count && kv->write_bucket.tokens < 1) {
                wait_ms = (int64_t)((1 - kv->write_bucket.tokens) / kv->write_bucket.refill_per_s *
                                    1000) +
                          1;
                break; /* what writes nothing may pass */
            }
            g_queue_pop_head(&kv->lanes[lane]);
            call_send(kv, call);
        }
    }
later:
    if (wait_ms)
        timer_start(kv->loop, &kv->queue_timer, wait_ms);
}

void kv_client_request(struct kv_client *kv, enum kv_lane lane, const char *method,
                       const char *path, const char *body, int response_timeout_ms,
                       int queue_timeout_ms, int write_count, http_response_callback callback,
                       void *callback_arg)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    *call = (struct kv_call){kv,
                             lane,
                             g_strdup(method),
                             g_strdup(path),
                             g_strdup(body),
                             response_timeout_ms,
                             write_count,
                             time_add_ms(loop_now(kv->loop), queue_timeout_ms),
                             callback,
                             callback_arg};
    g_queue_push_tail(&kv->lanes[lane], call);
    send_queued_calls(kv);
}

void kv_client_get(struct kv_client *kv, enum kv_lane lane, const char *key,
                   int response_timeout_ms, int queue_timeout_ms, http_response_callback callback,
                   void *callback_arg)
{
    char *path = g_strconcat("/keys/", key, NULL);
    kv_client_request(kv, lane, "GET", path, NULL, response_timeout_ms, queue_timeout_ms, 0,
                      callback, callback_arg);
    g_free(path);
}

/* ---- transactions ---- */

struct txn {
    json_object *compares, *writes;
    size_t size_bytes;
};

struct txn_call {
    struct kv_client *kv;
    txn_callback callback;
    void *callback_arg;
};

struct txn *txn_new(void)
{
    struct txn *txn = g_new0(struct txn, 1);
    txn->compares = json_object_new_array();
    txn->writes = json_object_new_array();
    return txn;
}

void txn_free(struct txn *txn)
{
    json_object_put(txn->compares);
    json_object_put(txn->writes);
    g_free(txn);
}

void txn_compare(struct txn *txn, const char *key, revision mod_revision)
{
    json_object_array_add(txn->compares, kv_encode_compare(key, mod_revision));
    txn->size_bytes += strlen(key) + 40;
}

size_t kv_value_size_bytes(json_object *value)
{
    return strlen(json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
}

void txn_put(struct txn *txn, const char *key, json_object *value, lease_id lease)
{
    txn->size_bytes += kv_value_size_bytes(value);
    json_object_array_add(txn->writes, kv_encode_put(key, value, lease));
    txn->size_bytes += strlen(key) + 50;
}

void txn_delete(struct txn *txn, const char *key)
{
    json_object_array_add(txn->writes, kv_encode_delete(key));
    txn->size_bytes += strlen(key) + 20;
}

guint txn_write_count(const struct txn *txn)
{
    return json_object_array_length(txn->writes);
}

guint txn_compare_count(const struct txn *txn)
{
    return json_object_array_length(txn->compares);
}

size_t txn_size_bytes(const struct txn *txn)
{
    return txn->size_bytes;
}

static void txn_on_response(void *arg, const struct http_response *response)
{
    struct txn_call *call = arg;
    struct txn_outcome outcome = {.status = TXN_UNKNOWN};
    json_object *body =
        response->status > 0 ? json_parse(response->body, response->body_bytes) : NULL;
    if (response->status == 200 && kv_decode_revision(body, &outcome.at_revision)) {
        outcome.status = TXN_COMMITTED;
    } else if (response->status == 409 && kv_decode_revision(body, &outcome.at_revision)) {
        outcome.status = TXN_CONFLICT;
        outcome.failed_keys = kv_decode_failed_keys(body);
    } else if (response->status == 400) {
        outcome.status = kv_is_lease_expired(body) ? TXN_LEASE_EXPIRED : TXN_REJECTED;
        if (outcome.status == TXN_REJECTED) {
            LOG_ERROR("txn_malformed", "answer=%.*s", (int)MIN(response->body_bytes, 200),
                      response->body);
            call->kv->limits.rate_limit_lowered =
                true; /* if it was for its size, it is made smaller now */
        }
    } else if (response->status == 503 || response->status == HTTP_NOT_SENT) {
        outcome.status = TXN_REJECTED;
    }
    call->callback(call->callback_arg, &outcome);
    if (outcome.failed_keys)
        g_ptr_array_unref(outcome.failed_keys);
    json_object_put(body);
    g_free(call);
}

void kv_client_commit(struct kv_client *kv, enum kv_lane lane, struct txn *txn,
                      txn_callback callback, void *callback_arg)
{
    struct txn_call *call = g_new(struct txn_call, 1);
    *call = (struct txn_call){kv, callback, callback_arg};
    int write_count = (int)txn_write_count(txn);
    json_object *body = kv_encode_txn(txn->compares, txn->writes);
    kv_client_request(kv, lane, "POST", "/txn",
                      json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN), TXN_TIMEOUT_MS,
                      TXN_QUEUE_TIMEOUT_MS, write_count, txn_on_response, call);
    json_object_put(body);
    txn_free(txn);
}

/* ---- barrier ---- */

struct read_barrier_batch {
    struct kv_client *kv;
    GArray *waiters;
};

static void read_barrier_on_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct read_barrier_batch *batch = arg;
    struct kv_client *kv = batch->kv;
    kv->barrier_in_flight = false;
    if (kv->barrier_waiters->len)
        send_read_barrier(kv);
    for (guint i = 0; i < batch->waiters->len; i++) {
        struct read_barrier_waiter *waiter =
            &g_array_index(batch->waiters, struct read_barrier_waiter, i);
        waiter->callback(waiter->callback_arg, outcome->status == TXN_COMMITTED,
                         outcome->at_revision);
    }
    g_array_unref(batch->waiters);
    g_free(batch);
}

static void send_read_barrier(void *arg)
{
    struct kv_client *kv = arg;
    if (kv->barrier_in_flight || !kv->barrier_waiters->len || kv->barrier_timer.queue_position)
        return;
    mono_time now = loop_now(kv->loop);
    int64_t elapsed_ms = time_ms_since(now, kv->last_barrier_at);
    if (elapsed_ms < READ_BARRIER_INTERVAL_MS) {
        timer_start(kv->loop, &kv->barrier_timer, READ_BARRIER_INTERVAL_MS - elapsed_ms);
        return;
    }
    kv->last_barrier_at = now;
    kv->barrier_in_flight = true;
    struct read_barrier_batch *batch = g_new(struct read_barrier_batch, 1);
    *batch = (struct read_barrier_batch){kv, kv->barrier_waiters};
    kv->barrier_waiters = g_array_new(FALSE, FALSE, sizeof(struct read_barrier_waiter));
    kv_client_commit(kv, KV_LANE_URGENT, txn_new(), read_barrier_on_outcome, batch);
}

void kv_client_read_barrier(struct kv_client *kv, read_barrier_callback callback,
                            void *callback_arg)
{
    struct read_barrier_waiter waiter = {callback, callback_arg};
    g_array_append_val(kv->barrier_waiters, waiter);
    send_read_barrier(kv);
}
