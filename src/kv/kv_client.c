#include "kv_client.h"

#include "kv_codec.h"
#include "log.h"

#include <stdlib.h>

enum {
    BARRIER_GAP_MS = 40,
    RETRY_429_MS = 120,
    TXN_TIMEOUT_MS = 2500,
    TXN_WAIT_MS = 2500,
    SILENT_MS = 1800,
    REFUSED_MS = 150,
    REFUSALS = 4, /* within REFUSALS_MS of one another */
    REFUSALS_MS = 3000,
};

/* A budget that fills with time. */
struct bucket {
    double rate, size, level;
    mono_time at;
};

struct call {
    struct store *store;
    enum store_lane lane;
    char *method, *path, *body;
    int timeout_ms, writes;
    mono_time give_up;
    net_done done;
    void *arg;
};

struct waiter {
    barrier_done done;
    void *arg;
};

struct store {
    struct loop *loop;
    struct net *net;
    char *addr;
    struct store_limits limits;
    struct bucket requests, changes;
    GQueue lanes[LANES];
    struct timer pump_timer;
    mono_time not_before; /* after a 429 */
    mono_time last_ok;
    bool refused; /* the last answer was a 503 */
    int refusals; /* 429s for writes, close to one another */
    mono_time refused_at;
    GArray *waiting; /* struct waiter: for the next barrier */
    bool barrier_out;
    struct timer barrier_timer;
    mono_time last_barrier;
};

static void pump(void *arg);

static void bucket_fill(struct bucket *bucket, mono_time now)
{
    bucket->level =
        MIN(bucket->size, bucket->level + bucket->rate * (double)(now.us - bucket->at.us) / 1e6);
    bucket->at = now;
}

static void barrier_go(void *arg);

/* The budgets are shared by all nodes. One node may need more than its share for a while, so each
 * may use over half; 429 tells when that was too much. */
static double share_of(const struct store_limits *limits)
{
    return limits->nodes > 1 ? 0.6 : 0.95;
}

struct store *store_new(struct loop *loop, struct net *net, const char *addr,
                        struct store_limits limits)
{
    struct store *store = g_new0(struct store, 1);
    store->loop = loop;
    store->net = net;
    store->addr = g_strdup(addr);
    store->limits = limits;
    store->last_ok = loop_now(loop);
    double part = share_of(&limits);
    mono_time now = loop_now(loop);
    store->requests = (struct bucket){limits.rps * part, limits.rps * part, limits.rps * part, now};
    store->changes = (struct bucket){limits.write_rps * part, limits.write_rps * part,
                                     limits.write_rps * part, now};
    for (int i = 0; i < LANES; i++)
        g_queue_init(&store->lanes[i]);
    timer_init(&store->pump_timer, pump, store);
    timer_init(&store->barrier_timer, barrier_go, store);
    store->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    return store;
}

static void call_free(struct call *call)
{
    g_free(call->method);
    g_free(call->path);
    g_free(call->body);
    g_free(call);
}

void store_free(struct store *store)
{
    timer_stop(store->loop, &store->pump_timer);
    timer_stop(store->loop, &store->barrier_timer);
    for (int i = 0; i < LANES; i++) {
        struct call *call;
        while ((call = g_queue_pop_head(&store->lanes[i])))
            call_free(call);
    }
    g_array_unref(store->waiting);
    g_free(store->addr);
    g_free(store);
}

const struct store_limits *store_limits(const struct store *store)
{
    return &store->limits;
}

static void call_end(struct call *call, const struct net_answer *answer)
{
    net_done done = call->done;
    void *arg = call->arg;
    call_free(call);
    done(arg, answer);
}

/* The rate of writes may be lowered without notice. One 429 only says that all nodes together were
 * too quick for a moment; several within a short time say that less is granted now. */
static void writes_refused(struct store *store)
{
    struct store_limits *limits = &store->limits;
    mono_time now = loop_now(store->loop);
    if (time_ms_since(now, store->refused_at) > REFUSALS_MS)
        store->refusals = 0;
    store->refused_at = now;
    if (++store->refusals < REFUSALS || limits->next_write_rps >= limits->write_rps)
        return;
    LOG_INFO("writes_slowed", "from=%.1f to=%.1f", limits->write_rps, limits->next_write_rps);
    limits->write_rps = limits->next_write_rps;
    limits->lowered = true;
    store->changes.rate = store->changes.size = limits->write_rps * share_of(limits);
    store->changes.level = MIN(store->changes.level, store->changes.size);
}

static void call_answered(void *arg, const struct net_answer *answer)
{
    struct call *call = arg;
    struct store *store = call->store;
    if (answer->status == 429) {
        /* Surely not carried out: it goes again, first in its lane. */
        store->not_before = time_add_ms(loop_now(store->loop), RETRY_429_MS);
        store->requests.level = MIN(store->requests.level, 0);
        store->changes.level = MIN(store->changes.level, 0);
        g_queue_push_head(&store->lanes[call->lane], call);
        timer_start(store->loop, &store->pump_timer, RETRY_429_MS);
        LOG_DEBUG("state_429", "path=%s", call->path);
        if (call->writes)
            writes_refused(store);
        return;
    }
    if (answer->status > 0) {
        store->refused = answer->status == 503;
        if (!store->refused)
            store->last_ok = loop_now(store->loop);
    }
    call_end(call, answer);
}

bool store_troubled(const struct store *store)
{
    int64_t since = time_ms_since(loop_now(store->loop), store->last_ok);
    return since > (store->refused ? REFUSED_MS : SILENT_MS);
}

static void call_send(struct store *store, struct call *call)
{
    store->requests.level -= 1;
    store->changes.level -= call->writes;
    struct net_request request = {
        store->addr,     call->method, call->path, call->body, call->body ? strlen(call->body) : 0,
        call->timeout_ms};
    store->net->request(store->net, &request, call_answered, call);
}

static void pump(void *arg)
{
    struct store *store = arg;
    mono_time now = loop_now(store->loop);
    bucket_fill(&store->requests, now);
    bucket_fill(&store->changes, now);
    int64_t wait = 0;
    for (int lane = 0; lane < LANES; lane++) {
        struct call *call;
        while ((call = g_queue_peek_head(&store->lanes[lane]))) {
            if (time_before(call->give_up, now)) {
                g_queue_pop_head(&store->lanes[lane]);
                call_end(call, &(struct net_answer){.status = NET_NOT_SENT});
                continue;
            }
            /* The lease is what everything hangs on: it does not wait for a budget, only for the
             * pause that a 429 asks for. */
            if (time_before(now, store->not_before)) {
                wait = time_ms_since(store->not_before, now) + 1;
                goto later;
            }
            if (lane != LANE_LEASE && store->requests.level < 1) {
                wait = (int64_t)((1 - store->requests.level) / store->requests.rate * 1000) + 1;
                goto later;
            }
            if (lane != LANE_LEASE && call->writes && store->changes.level < 1) {
                wait = (int64_t)((1 - store->changes.level) / store->changes.rate * 1000) + 1;
                break; /* what writes nothing may pass */
            }
            g_queue_pop_head(&store->lanes[lane]);
            call_send(store, call);
        }
    }
later:
    if (wait)
        timer_start(store->loop, &store->pump_timer, wait);
}

void store_request(struct store *store, enum store_lane lane, const char *method, const char *path,
                   const char *body, int timeout_ms, int wait_ms, int writes, net_done done,
                   void *arg)
{
    struct call *call = g_new0(struct call, 1);
    *call = (struct call){
        store,          lane,       g_strdup(method), g_strdup(path),
        g_strdup(body), timeout_ms, writes,           time_add_ms(loop_now(store->loop), wait_ms),
        done,           arg};
    g_queue_push_tail(&store->lanes[lane], call);
    pump(store);
}

void store_read(struct store *store, enum store_lane lane, const char *key, int timeout_ms,
                int wait_ms, net_done done, void *arg)
{
    char *path = g_strconcat("/keys/", key, NULL);
    store_request(store, lane, "GET", path, NULL, timeout_ms, wait_ms, 0, done, arg);
    g_free(path);
}

/* ---- transactions ---- */

struct txn {
    json_object *when, *writes;
    size_t bytes;
};

struct txn_call {
    struct store *store;
    txn_done done;
    void *arg;
};

struct txn *txn_new(void)
{
    struct txn *txn = g_new0(struct txn, 1);
    txn->when = json_object_new_array();
    txn->writes = json_object_new_array();
    return txn;
}

void txn_free(struct txn *txn)
{
    json_object_put(txn->when);
    json_object_put(txn->writes);
    g_free(txn);
}

void txn_when(struct txn *txn, const char *key, revision stamp)
{
    json_object_array_add(txn->when, codec_state_condition(key, stamp));
    txn->bytes += strlen(key) + 40;
}

size_t value_size(json_object *value)
{
    return strlen(json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
}

void txn_set(struct txn *txn, const char *key, json_object *value, lease_id lease)
{
    txn->bytes += value_size(value);
    json_object_array_add(txn->writes, codec_state_set(key, value, lease));
    txn->bytes += strlen(key) + 50;
}

void txn_remove(struct txn *txn, const char *key)
{
    json_object_array_add(txn->writes, codec_state_remove(key));
    txn->bytes += strlen(key) + 20;
}

guint txn_writes(const struct txn *txn)
{
    return json_object_array_length(txn->writes);
}

guint txn_conditions(const struct txn *txn)
{
    return json_object_array_length(txn->when);
}

size_t txn_bytes(const struct txn *txn)
{
    return txn->bytes;
}

static void txn_answered(void *arg, const struct net_answer *answer)
{
    struct txn_call *call = arg;
    struct txn_outcome outcome = {.result = TXN_UNKNOWN};
    json_object *body = answer->status > 0 ? json_read(answer->body, answer->len) : NULL;
    if (answer->status == 200 && codec_state_read_revision(body, &outcome.at)) {
        outcome.result = TXN_DONE;
    } else if (answer->status == 409 && codec_state_read_revision(body, &outcome.at)) {
        outcome.result = TXN_CONFLICT;
        outcome.failed = codec_state_read_failed(body);
    } else if (answer->status == 400) {
        outcome.result = codec_state_lease_is_over(body) ? TXN_NO_LEASE : TXN_REFUSED;
        if (outcome.result == TXN_REFUSED) {
            LOG_ERROR("txn_malformed", "answer=%.*s", (int)MIN(answer->len, 200), answer->body);
            call->store->limits.lowered = true; /* if it was for its size, it is made smaller now */
        }
    } else if (answer->status == 503 || answer->status == NET_NOT_SENT) {
        outcome.result = TXN_REFUSED;
    }
    call->done(call->arg, &outcome);
    if (outcome.failed)
        g_ptr_array_unref(outcome.failed);
    json_object_put(body);
    g_free(call);
}

void store_txn(struct store *store, enum store_lane lane, struct txn *txn, txn_done done, void *arg)
{
    struct txn_call *call = g_new(struct txn_call, 1);
    *call = (struct txn_call){store, done, arg};
    int writes = (int)txn_writes(txn);
    json_object *object = codec_state_txn(txn->when, txn->writes);
    store_request(store, lane, "POST", "/txn",
                  json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN), TXN_TIMEOUT_MS,
                  TXN_WAIT_MS, writes, txn_answered, call);
    json_object_put(object);
    txn_free(txn);
}

/* ---- barrier ---- */

struct barrier {
    struct store *store;
    GArray *waiters;
};

static void barrier_answered(void *arg, const struct txn_outcome *outcome)
{
    struct barrier *barrier = arg;
    struct store *store = barrier->store;
    store->barrier_out = false;
    if (store->waiting->len)
        barrier_go(store);
    for (guint i = 0; i < barrier->waiters->len; i++) {
        struct waiter *waiter = &g_array_index(barrier->waiters, struct waiter, i);
        waiter->done(waiter->arg, outcome->result == TXN_DONE, outcome->at);
    }
    g_array_unref(barrier->waiters);
    g_free(barrier);
}

static void barrier_go(void *arg)
{
    struct store *store = arg;
    if (store->barrier_out || !store->waiting->len || store->barrier_timer.place)
        return;
    mono_time now = loop_now(store->loop);
    int64_t since = time_ms_since(now, store->last_barrier);
    if (since < BARRIER_GAP_MS) {
        timer_start(store->loop, &store->barrier_timer, BARRIER_GAP_MS - since);
        return;
    }
    store->last_barrier = now;
    store->barrier_out = true;
    struct barrier *barrier = g_new(struct barrier, 1);
    *barrier = (struct barrier){store, store->waiting};
    store->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    store_txn(store, LANE_URGENT, txn_new(), barrier_answered, barrier);
}

void store_barrier(struct store *store, barrier_done done, void *arg)
{
    struct waiter waiter = {done, arg};
    g_array_append_val(store->waiting, waiter);
    barrier_go(store);
}
