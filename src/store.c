#include "store.h"

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

static void bucket_fill(struct bucket *b, mono_time now)
{
    b->level = MIN(b->size, b->level + b->rate * (double)(now.us - b->at.us) / 1e6);
    b->at = now;
}

static void barrier_go(void *arg);

/* The budgets are shared by all nodes. One node may need more than its share for a while, so each
 * may use over half; 429 tells when that was too much. */
static double share_of(const struct store_limits *l)
{
    return l->nodes > 1 ? 0.6 : 0.95;
}

struct store *store_new(struct loop *loop, struct net *net, const char *addr,
                        struct store_limits limits)
{
    struct store *s = g_new0(struct store, 1);
    s->loop = loop;
    s->net = net;
    s->addr = g_strdup(addr);
    s->limits = limits;
    s->last_ok = loop_now(loop);
    double part = share_of(&limits);
    mono_time now = loop_now(loop);
    s->requests = (struct bucket){limits.rps * part, limits.rps * part, limits.rps * part, now};
    s->changes = (struct bucket){limits.write_rps * part, limits.write_rps * part,
                                 limits.write_rps * part, now};
    for (int i = 0; i < LANES; i++)
        g_queue_init(&s->lanes[i]);
    timer_init(&s->pump_timer, pump, s);
    timer_init(&s->barrier_timer, barrier_go, s);
    s->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    return s;
}

static void call_free(struct call *c)
{
    g_free(c->method);
    g_free(c->path);
    g_free(c->body);
    g_free(c);
}

void store_free(struct store *s)
{
    timer_stop(s->loop, &s->pump_timer);
    timer_stop(s->loop, &s->barrier_timer);
    for (int i = 0; i < LANES; i++) {
        struct call *c;
        while ((c = g_queue_pop_head(&s->lanes[i])))
            call_free(c);
    }
    g_array_unref(s->waiting);
    g_free(s->addr);
    g_free(s);
}

const struct store_limits *store_limits(const struct store *s)
{
    return &s->limits;
}

static void call_end(struct call *c, const struct net_answer *a)
{
    net_done done = c->done;
    void *arg = c->arg;
    call_free(c);
    done(arg, a);
}

/* The rate of writes may be lowered without notice. One 429 only says that all nodes together were
 * too quick for a moment; several within a short time say that less is granted now. */
static void writes_refused(struct store *s)
{
    struct store_limits *l = &s->limits;
    mono_time now = loop_now(s->loop);
    if (time_ms_since(now, s->refused_at) > REFUSALS_MS)
        s->refusals = 0;
    s->refused_at = now;
    if (++s->refusals < REFUSALS || l->next_write_rps >= l->write_rps)
        return;
    LOG_INFO("writes_slowed", "from=%.1f to=%.1f", l->write_rps, l->next_write_rps);
    l->write_rps = l->next_write_rps;
    l->lowered = true;
    s->changes.rate = s->changes.size = l->write_rps * share_of(l);
    s->changes.level = MIN(s->changes.level, s->changes.size);
}

static void call_answered(void *arg, const struct net_answer *a)
{
    struct call *c = arg;
    struct store *s = c->store;
    if (a->status == 429) {
        /* Surely not carried out: it goes again, first in its lane. */
        s->not_before = time_add_ms(loop_now(s->loop), RETRY_429_MS);
        s->requests.level = MIN(s->requests.level, 0);
        s->changes.level = MIN(s->changes.level, 0);
        g_queue_push_head(&s->lanes[c->lane], c);
        timer_start(s->loop, &s->pump_timer, RETRY_429_MS);
        LOG_DEBUG("state_429", "path=%s", c->path);
        if (c->writes)
            writes_refused(s);
        return;
    }
    if (a->status > 0) {
        s->refused = a->status == 503;
        if (!s->refused)
            s->last_ok = loop_now(s->loop);
    }
    call_end(c, a);
}

bool store_troubled(const struct store *s)
{
    int64_t since = time_ms_since(loop_now(s->loop), s->last_ok);
    return since > (s->refused ? REFUSED_MS : SILENT_MS);
}

static void call_send(struct store *s, struct call *c)
{
    s->requests.level -= 1;
    s->changes.level -= c->writes;
    struct net_request q = {
        s->addr, c->method, c->path, c->body, c->body ? strlen(c->body) : 0, c->timeout_ms};
    s->net->request(s->net, &q, call_answered, c);
}

static void pump(void *arg)
{
    struct store *s = arg;
    mono_time now = loop_now(s->loop);
    bucket_fill(&s->requests, now);
    bucket_fill(&s->changes, now);
    int64_t wait = 0;
    for (int lane = 0; lane < LANES; lane++) {
        struct call *c;
        while ((c = g_queue_peek_head(&s->lanes[lane]))) {
            if (time_before(c->give_up, now)) {
                g_queue_pop_head(&s->lanes[lane]);
                call_end(c, &(struct net_answer){.status = NET_NOT_SENT});
                continue;
            }
            /* The lease is what everything hangs on: it does not wait for a budget, only for the
             * pause that a 429 asks for. */
            if (time_before(now, s->not_before)) {
                wait = time_ms_since(s->not_before, now) + 1;
                goto later;
            }
            if (lane != LANE_LEASE && s->requests.level < 1) {
                wait = (int64_t)((1 - s->requests.level) / s->requests.rate * 1000) + 1;
                goto later;
            }
            if (lane != LANE_LEASE && c->writes && s->changes.level < 1) {
                wait = (int64_t)((1 - s->changes.level) / s->changes.rate * 1000) + 1;
                break; /* what writes nothing may pass */
            }
            g_queue_pop_head(&s->lanes[lane]);
            call_send(s, c);
        }
    }
later:
    if (wait)
        timer_start(s->loop, &s->pump_timer, wait);
}

void store_request(struct store *s, enum store_lane lane, const char *method, const char *path,
                   const char *body, int timeout_ms, int wait_ms, int writes, net_done done,
                   void *arg)
{
    struct call *c = g_new0(struct call, 1);
    *c = (struct call){s,
                       lane,
                       g_strdup(method),
                       g_strdup(path),
                       g_strdup(body),
                       timeout_ms,
                       writes,
                       time_add_ms(loop_now(s->loop), wait_ms),
                       done,
                       arg};
    g_queue_push_tail(&s->lanes[lane], c);
    pump(s);
}

void store_read(struct store *s, enum store_lane lane, const char *key, int timeout_ms, int wait_ms,
                net_done done, void *arg)
{
    char *path = g_strconcat("/keys/", key, NULL);
    store_request(s, lane, "GET", path, NULL, timeout_ms, wait_ms, 0, done, arg);
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
    struct txn *t = g_new0(struct txn, 1);
    t->when = json_object_new_array();
    t->writes = json_object_new_array();
    return t;
}

void txn_free(struct txn *t)
{
    json_object_put(t->when);
    json_object_put(t->writes);
    g_free(t);
}

void txn_when(struct txn *t, const char *key, revision stamp)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "K", key);
    json_put_u64(o, "Stamp", stamp.v);
    json_object_array_add(t->when, o);
    t->bytes += strlen(key) + 40;
}

size_t value_size(json_object *value)
{
    return strlen(json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
}

void txn_set(struct txn *t, const char *key, json_object *value, lease_id lease)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "Set", key);
    t->bytes += value_size(value);
    json_object_object_add(o, "V", value);
    if (lease.v)
        json_put_u64(o, "Mooring", lease.v);
    json_object_array_add(t->writes, o);
    t->bytes += strlen(key) + 50;
}

void txn_remove(struct txn *t, const char *key)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "Remove", key);
    json_object_array_add(t->writes, o);
    t->bytes += strlen(key) + 20;
}

guint txn_writes(const struct txn *t)
{
    return json_object_array_length(t->writes);
}

guint txn_conditions(const struct txn *t)
{
    return json_object_array_length(t->when);
}

size_t txn_bytes(const struct txn *t)
{
    return t->bytes;
}

static void txn_answered(void *arg, const struct net_answer *a)
{
    struct txn_call *c = arg;
    struct txn_outcome o = {.result = TXN_UNKNOWN};
    json_object *body = a->status > 0 ? json_read(a->body, a->len) : NULL;
    if (a->status == 200 && json_u64(body, "Ledger", &o.at.v)) {
        o.result = TXN_DONE;
    } else if (a->status == 409 && json_u64(body, "Ledger", &o.at.v)) {
        o.result = TXN_CONFLICT;
        o.failed = g_ptr_array_new();
        json_object *list = json_list(body, "failed");
        for (size_t i = 0; list && i < json_object_array_length(list); i++)
            g_ptr_array_add(o.failed,
                            (char *)json_object_get_string(json_object_array_get_idx(list, i)));
    } else if (a->status == 400) {
        const char *error = "";
        json_text(body, "error", &error);
        o.result = strcmp(error, "no such lease") == 0 ? TXN_NO_LEASE : TXN_REFUSED;
        if (o.result == TXN_REFUSED) {
            LOG_ERROR("txn_malformed", "answer=%.*s", (int)MIN(a->len, 200), a->body);
            c->store->limits.lowered = true; /* if it was for its size, it is made smaller now */
        }
    } else if (a->status == 503 || a->status == NET_NOT_SENT) {
        o.result = TXN_REFUSED;
    }
    c->done(c->arg, &o);
    if (o.failed)
        g_ptr_array_unref(o.failed);
    json_object_put(body);
    g_free(c);
}

void store_txn(struct store *s, enum store_lane lane, struct txn *t, txn_done done, void *arg)
{
    struct txn_call *c = g_new(struct txn_call, 1);
    *c = (struct txn_call){s, done, arg};
    int writes = (int)txn_writes(t);
    json_object *o = json_object_new_object();
    json_object_object_add(o, "When", json_object_get(t->when));
    json_object_object_add(o, "Writes", json_object_get(t->writes));
    store_request(s, lane, "POST", "/txn",
                  json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN), TXN_TIMEOUT_MS,
                  TXN_WAIT_MS, writes, txn_answered, c);
    json_object_put(o);
    txn_free(t);
}

/* ---- barrier ---- */

struct barrier {
    struct store *store;
    GArray *waiters;
};

static void barrier_answered(void *arg, const struct txn_outcome *o)
{
    struct barrier *b = arg;
    struct store *s = b->store;
    s->barrier_out = false;
    if (s->waiting->len)
        barrier_go(s);
    for (guint i = 0; i < b->waiters->len; i++) {
        struct waiter *w = &g_array_index(b->waiters, struct waiter, i);
        w->done(w->arg, o->result == TXN_DONE, o->at);
    }
    g_array_unref(b->waiters);
    g_free(b);
}

static void barrier_go(void *arg)
{
    struct store *s = arg;
    if (s->barrier_out || !s->waiting->len || s->barrier_timer.place)
        return;
    mono_time now = loop_now(s->loop);
    int64_t since = time_ms_since(now, s->last_barrier);
    if (since < BARRIER_GAP_MS) {
        timer_start(s->loop, &s->barrier_timer, BARRIER_GAP_MS - since);
        return;
    }
    s->last_barrier = now;
    s->barrier_out = true;
    struct barrier *b = g_new(struct barrier, 1);
    *b = (struct barrier){s, s->waiting};
    s->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    store_txn(s, LANE_URGENT, txn_new(), barrier_answered, b);
}

void store_barrier(struct store *s, barrier_done done, void *arg)
{
    struct waiter w = {done, arg};
    g_array_append_val(s->waiting, w);
    barrier_go(s);
}
