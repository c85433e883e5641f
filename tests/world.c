#include "world.h"

#include "log.h"

#include <stdio.h>
#include <stdlib.h>

/* A killed process takes what it was waiting for with it; here that is left behind. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { SETTLE_MS = 100000 }; /* longer than a job may be left waiting */

enum { LATENCY_MS = 3, SLOW_MS = 2000, LATE_MS = 500, TICK_MS = 10, KEPT_EVENTS = 10000 };

static const struct world_plan usual = {.nodes = WORLD_NODES,
                                        .workers = WORLD_WORKERS,
                                        .report_s = 1,
                                        .lease_s = 10,
                                        .cancel_s = 30,
                                        .rps = 400,
                                        .write_rps = 200,
                                        .cloud_rps = 3,
                                        .txn_ops = 6,
                                        .fd_limit = 800,
                                        .boot_ms = 10};

struct wkey {
    char *text;
    uint64_t stamp, lease;
};

struct wevent {
    char *key, *text; /* text NULL: removed */
    uint64_t rev;
};

struct wlease {
    uint64_t id;
    int64_t ttl_ms;
    mono_time end;
};

/* A request on its way. */
struct flight {
    struct world *world;
    int node;
    int process; /* of the node that asked; 0: nobody waits */
    mono_time sent;
    char *addr, *method, *path, *body;
    net_done done;
    void *arg;
    struct timer timer;
    enum fate fate;
    int late_status; /* of the answer that is on its way */
    char *late_text;
    int timeout_ms;
    uint64_t from;       /* of a watch */
    mono_time watch_end; /* 0: not a watch that waits */
};

static void carry_out(struct flight *f);

/* ---- the network ---- */

static void flight_free(struct flight *f)
{
    timer_stop(f->world->loop, &f->timer);
    g_free(f->addr);
    g_free(f->method);
    g_free(f->path);
    g_free(f->body);
    g_free(f->late_text);
    g_free(f);
}

static void flight_answer(struct flight *f, int status, const char *body)
{
    bool alive = f->process && f->world->nodes[f->node] && f->world->process[f->node] == f->process;
    if (alive && f->done)
        f->done(f->arg, &(struct net_answer){status, body, strlen(body), 0});
    flight_free(f);
}

static void timed_out(void *arg)
{
    flight_answer(arg, NET_NO_ANSWER, "");
}

static void arrived(void *arg)
{
    struct flight *f = arg;
    struct world *w = f->world;
    switch (f->fate) {
    case FATE_TOO_MANY:
        flight_answer(f, 429, "{}");
        return;
    case FATE_REFUSED:
        flight_answer(f, 503, "{\"error\":\"trouble\"}");
        return;
    case FATE_HELD: {
        struct flight *copy = g_memdup2(f, sizeof *f);
        copy->addr = g_strdup(f->addr);
        copy->method = g_strdup(f->method);
        copy->path = g_strdup(f->path);
        copy->body = g_strdup(f->body);
        copy->done = NULL;
        timer_init(&copy->timer, timed_out, copy);
        g_ptr_array_add(w->held, copy);
    }
        /* fall through */
    case FATE_LOST:
        timer_init(&f->timer, timed_out, f);
        timer_start(w->loop, &f->timer, f->timeout_ms);
        return;
    default:
        carry_out(f);
    }
}

static void net_request_fn(struct net *net, const struct net_request *r, net_done done, void *arg)
{
    struct wnet *n = (struct wnet *)net;
    struct flight *f = g_new0(struct flight, 1);
    *f = (struct flight){.world = n->world,
                         .node = n->node,
                         .process = n->world->process[n->node],
                         .sent = loop_now(n->world->loop),
                         .addr = g_strdup(r->addr),
                         .method = g_strdup(r->method),
                         .path = g_strdup(r->path),
                         .body = g_strndup(r->body ? r->body : "", r->len),
                         .done = done,
                         .arg = arg,
                         .timeout_ms = r->timeout_ms};
    f->fate = n->world->fate ? n->world->fate(n->world, n->node, r) : FATE_NORMAL;
    if (n->world->lost && g_str_has_suffix(r->addr, ":8081") &&
        g_str_has_suffix(r->path, n->world->lost))
        f->fate = FATE_LOST;
    timer_init(&f->timer, arrived, f);
    timer_start(n->world->loop, &f->timer, f->fate == FATE_SLOW ? SLOW_MS : LATENCY_MS);
}

static void answered_late(void *arg)
{
    struct flight *f = arg;
    char *text = g_steal_pointer(&f->late_text);
    flight_answer(f, f->late_status, text);
    g_free(text);
}

static void flight_text(struct flight *f, int status, const char *text)
{
    if (f->fate == FATE_LATE) {
        f->late_status = status;
        f->late_text = g_strdup(text);
        timer_init(&f->timer, answered_late, f);
        timer_start(f->world->loop, &f->timer, LATE_MS);
    } else if (f->fate == FATE_ANSWER_LOST) {
        timer_init(&f->timer, timed_out, f);
        timer_start(f->world->loop, &f->timer, f->timeout_ms);
    } else {
        flight_answer(f, status, text);
    }
}

static void flight_result(struct flight *f, int status, json_object *o)
{
    flight_text(f, status, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
    json_object_put(o);
}

/* ---- the state service ---- */

static void wkey_free(gpointer q)
{
    struct wkey *k = q;
    g_free(k->text);
    g_free(k);
}

static void event(struct world *w, const char *key, const char *text)
{
    struct wevent e = {g_strdup(key), g_strdup(text), w->ledger};
    g_array_append_val(w->events, e);
    if (w->events->len > 2 * KEPT_EVENTS) /* it keeps the last so many */
        g_array_remove_range(w->events, 0, KEPT_EVENTS);
}

static void event_clear(gpointer q)
{
    struct wevent *e = q;
    g_free(e->key);
    g_free(e->text);
}

static json_object *ledger_answer(struct world *w)
{
    json_object *o = json_object_new_object();
    json_put_u64(o, "Ledger", w->ledger);
    return o;
}

static void watch_answer(struct flight *f)
{
    struct world *w = f->world;
    guint first = w->events->len;
    while (first && g_array_index(w->events, struct wevent, first - 1).rev > f->from)
        first--;
    GString *s = g_string_new(NULL);
    g_string_printf(s, "{\"Ledger\":%" G_GUINT64_FORMAT ",\"News\":[", w->ledger);
    for (guint i = first; i < w->events->len; i++) {
        struct wevent *e = &g_array_index(w->events, struct wevent, i);
        g_string_append_printf(s, "%s{\"%s\":\"%s\",\"Stamp\":%" G_GUINT64_FORMAT,
                               i > first ? "," : "", e->text ? "Set" : "Remove", e->key, e->rev);
        if (e->text)
            g_string_append_printf(s, ",\"V\":%s", e->text);
        g_string_append_c(s, '}');
    }
    g_string_append(s, "]}");
    w->most_news = MAX(w->most_news, w->events->len - first);
    flight_text(f, 200, s->str);
    g_string_free(s, TRUE);
}

static void serve_watches(struct world *w)
{
    for (guint i = 0; i < w->watches->len;) {
        struct flight *f = g_array_index(w->watches, struct flight *, i);
        bool due = w->ledger > f->from || time_before(f->watch_end, loop_now(w->loop));
        if (due && !w->state_down && !w->refused[f->node]) {
            g_array_remove_index(w->watches, i);
            watch_answer(f);
        } else {
            i++;
        }
    }
}

static uint64_t stamp_of(struct world *w, const char *key)
{
    struct wkey *k = g_tree_lookup(w->keys, key);
    return k ? k->stamp : 0;
}

static void txn(struct flight *f, json_object *body)
{
    struct world *w = f->world;
    json_object *when = json_list(body, "When"), *writes = json_list(body, "Writes");
    json_object *failed = json_object_new_array();
    for (size_t i = 0; i < json_object_array_length(when); i++) {
        json_object *x = json_object_array_get_idx(when, i);
        const char *key;
        uint64_t stamp;
        assert_true(json_text(x, "K", &key) && json_u64(x, "Stamp", &stamp));
        if (stamp_of(w, key) != stamp)
            json_object_array_add(failed, json_object_new_string(key));
    }
    size_t n = json_object_array_length(writes);
    w->writes += (int)n;
    assert_true(n <= (size_t)w->state_txn_ops);
    assert_true(json_object_array_length(when) <= 4 * (size_t)w->state_txn_ops);
    for (size_t i = 0; i < n; i++) {
        uint64_t lease = 0;
        if (json_u64(json_object_array_get_idx(writes, i), "Mooring", &lease) &&
            !g_hash_table_contains(w->leases, &lease)) {
            json_object_put(failed);
            json_object *o = json_object_new_object();
            json_put_text(o, "error", "no such lease");
            flight_result(f, 400, o);
            return;
        }
    }
    if (json_object_array_length(failed)) {
        json_object *o = ledger_answer(w);
        json_object_object_add(o, "failed", failed);
        flight_result(f, 409, o);
        return;
    }
    json_object_put(failed);
    w->ledger += n > 0;
    for (size_t i = 0; i < n; i++) {
        json_object *x = json_object_array_get_idx(writes, i), *v = NULL;
        const char *key;
        if (json_text(x, "Set", &key)) {
            json_object_object_get_ex(x, "V", &v);
            if (w->old[f->node] && g_str_has_prefix(key, "ll/v/"))
                continue;
            if (w->old[f->node] && g_str_has_prefix(key, "ll/n/"))
                json_object_object_del(v, "v");
            struct wkey *k = g_new0(struct wkey, 1);
            k->text = g_strdup(json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN));
            if (strlen(k->text) > w->state_value_kb * 1024)
                fail_msg("%s is too long: %zu: %s", key, strlen(k->text), k->text);
            k->stamp = w->ledger;
            json_u64(x, "Mooring", &k->lease);
            g_tree_replace(w->keys, g_strdup(key), k);
            event(w, key, k->text);
        } else if (json_text(x, "Remove", &key) && g_tree_lookup(w->keys, key)) {
            event(w, key, NULL);
            g_tree_remove(w->keys, key);
        }
    }
    flight_result(f, 200, ledger_answer(w));
    serve_watches(w);
}

void world_put(struct world *w, const char *key, const char *text)
{
    struct wkey *k = g_new0(struct wkey, 1);
    k->text = g_strdup(text);
    k->stamp = ++w->ledger;
    g_tree_replace(w->keys, g_strdup(key), k);
    event(w, key, text);
    serve_watches(w);
}

void world_put_job(struct world *w, const char *job, const char *value)
{
    char *key = g_strconcat("ll/j/", job, NULL);
    rules_job_by_hand(w->rules, loop_now(w->loop), job, value);
    world_put(w, key, value);
    g_free(key);
}

void world_remove(struct world *w, const char *key)
{
    w->ledger++;
    event(w, key, NULL);
    g_tree_remove(w->keys, key);
    serve_watches(w);
}

const char *world_key(struct world *w, const char *key)
{
    struct wkey *k = g_tree_lookup(w->keys, key);
    return k ? k->text : NULL;
}

struct listing {
    struct world *world;
    json_object *items;
    char *starts, *from;
    guint64 page, bytes;
    bool more;
};

enum { LISTED_BYTES = 512 * 1024 };

static gboolean list_key(gpointer key, gpointer value, gpointer data)
{
    struct listing *l = data;
    struct wkey *k = value;
    if (!g_str_has_prefix(key, l->starts) || (l->from && strcmp(key, l->from) <= 0))
        return FALSE;
    l->bytes += strlen(k->text);
    l->more = json_object_array_length(l->items) >= l->page || l->bytes > LISTED_BYTES;
    if (l->more)
        return TRUE;
    json_object *x = json_object_new_object();
    json_put_text(x, "K", key);
    json_object_object_add(x, "V", json_tokener_parse(k->text));
    json_put_u64(x, "Stamp", k->stamp);
    json_object_array_add(l->items, x);
    return FALSE;
}

static void lease_new(struct flight *f, json_object *body)
{
    struct world *w = f->world;
    struct wlease *l = g_new0(struct wlease, 1);
    uint64_t ttl = 0;
    json_u64(body, "TtlMs", &ttl);
    *l = (struct wlease){++w->next_lease, (int64_t)ttl,
                         time_add_ms(loop_now(w->loop), (int64_t)ttl)};
    g_hash_table_replace(w->leases, &l->id, l);
    json_object *o = json_object_new_object();
    json_put_u64(o, "Mooring", l->id);
    flight_result(f, 200, o);
}

/* A field of a query, or NULL. */
static char *query_text(const char *path, const char *field)
{
    const char *at = strstr(path, field);
    return at ? g_strndup(at + strlen(field), strcspn(at + strlen(field), "&")) : NULL;
}

static void serve_state(struct flight *f)
{
    struct world *w = f->world;
    json_object *body = *f->body ? json_read(f->body, strlen(f->body)) : NULL;
    if (g_str_has_prefix(f->path, "/watch")) {
        const char *from = strstr(f->path, "From="), *block = strstr(f->path, "BlockMs=");
        f->from = g_ascii_strtoull(from + 5, NULL, 10);
        f->watch_end =
            time_add_ms(loop_now(w->loop), (int64_t)g_ascii_strtoull(block + 8, NULL, 10));
        bool kept =
            w->events->len == 0 || f->from + 1 >= g_array_index(w->events, struct wevent, 0).rev;
        if (!kept || (w->too_old > 0 && !w->state_down)) {
            w->too_old -= w->too_old > 0;
            flight_result(f, 410, json_object_new_object());
        } else {
            g_array_append_val(w->watches, f);
            serve_watches(w);
        }
    } else if (w->state_down || w->refused[f->node]) {
        flight_result(f, 503, json_object_new_object());
    } else if (g_str_has_prefix(f->path, "/keys/")) {
        struct wkey *k = g_tree_lookup(w->keys, f->path + 6);
        json_object *o = json_object_new_object();
        if (k) {
            json_object_object_add(o, "V", json_tokener_parse(k->text));
            json_put_u64(o, "Stamp", k->stamp);
        }
        flight_result(f, k ? 200 : 404, o);
    } else if (strcmp(f->path, "/txn") == 0) {
        txn(f, body);
    } else if (strcmp(f->path, "/grants") == 0) {
        lease_new(f, body);
    } else if (g_str_has_prefix(f->path, "/grants/")) {
        uint64_t id = g_ascii_strtoull(f->path + 8, NULL, 10);
        struct wlease *l = g_hash_table_lookup(w->leases, &id);
        if (l)
            l->end = time_add_ms(loop_now(w->loop), l->ttl_ms);
        flight_result(f, l ? 200 : 404, json_object_new_object());
    } else {
        struct listing l = {.world = w,
                            .items = json_object_new_array(),
                            .starts = query_text(f->path, "Starts="),
                            .from = query_text(f->path, "From=")};
        char *page = query_text(f->path, "Page=");
        l.page = page ? g_ascii_strtoull(page, NULL, 10) : 100;
        g_tree_foreach(w->keys, list_key, &l);
        json_object *o = ledger_answer(w);
        json_object_object_add(o, "Items", l.items);
        json_object_object_add(o, "More", json_object_new_boolean(l.more));
        flight_result(f, 200, o);
        g_free(l.starts);
        g_free(l.from);
        g_free(page);
    }
    json_object_put(body);
}

static gboolean of_lease(gpointer key, gpointer value, gpointer data)
{
    void **q = data;
    struct wkey *k = value;
    if (k->lease == *(uint64_t *)q[0])
        g_ptr_array_add(q[1], g_strdup(key));
    return FALSE;
}

static void end_leases(struct world *w)
{
    GHashTableIter it;
    struct wlease *l;
    g_hash_table_iter_init(&it, w->leases);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&l)) {
        if (!time_before(l->end, loop_now(w->loop)))
            continue;
        GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
        void *q[] = {&l->id, keys};
        g_tree_foreach(w->keys, of_lease, q);
        w->ledger += keys->len > 0;
        for (guint i = 0; i < keys->len; i++) {
            event(w, keys->pdata[i], NULL);
            g_tree_remove(w->keys, keys->pdata[i]);
        }
        g_ptr_array_unref(keys);
        g_hash_table_iter_remove(&it);
    }
}

/* ---- workers ---- */

struct wtask *worker_task(struct worker *k, const char *job, uint32_t index)
{
    for (guint i = 0; i < k->tasks->len; i++) {
        struct wtask *t = &g_array_index(k->tasks, struct wtask, i);
        if (t->index == index && strcmp(t->job.s, job) == 0)
            return t;
    }
    return NULL;
}

static json_object *worker_state(struct worker *k)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    k->tally++;
    json_put_text(o, "Mast", k->id);
    json_put_text(o, "Address", k->addr);
    json_put_text(o, "Build", k->build);
    json_put_text(o, "Yard", k->yard);
    json_object_object_add(o, "Loaners", json_object_new_boolean(k->loaners));
    json_put_u64(o, "Shift", k->shift);
    json_put_u64(o, "Tally", k->tally);
    json_put_u64(o, "Helm", k->helm);
    if (k->recall_s >= 0)
        json_object_object_add(o, "RecallS", json_object_new_double(k->recall_s));
    for (guint i = 0; i < k->tasks->len; i++) {
        struct wtask *t = &g_array_index(k->tasks, struct wtask, i);
        json_object *x = json_object_new_object();
        char name[64];
        snprintf(name, sizeof name, "%s/%u", t->job.s, t->index);
        json_put_text(x, "Piece", name);
        json_put_u64(x, "Try", t->attempt);
        json_put_text(x, "Stage", t->stage);
        if (*t->cause)
            json_put_text(x, "Cause", t->cause);
        if (t->stored)
            json_object_object_add(x, "Stored", json_object_new_boolean(true));
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Pieces", list);
    return o;
}

static bool twice;

static struct rules_machine machine_of(const struct worker *k)
{
    return (struct rules_machine){k->id, k->build, k->yard, k->loaners};
}

/* All its tasks are gone at once. */
static void worker_loses_tasks(struct worker *k)
{
    for (guint i = 0; i < k->tasks->len; i++) {
        struct wtask *t = &g_array_index(k->tasks, struct wtask, i);
        if (strcmp(t->stage, "exited") != 0)
            rules_left(k->world->rules, loop_now(k->world->loop), k->id, t->job.s, t->index);
    }
    g_array_set_size(k->tasks, 0);
}

/* ---- gangs ---- */

/* One attempt of a gang. */
struct wattempt {
    uint64_t number;
    bool begun;
    mono_time lost_at, halted_at; /* 0: neither */
    GPtrArray *on;                /* struct wtask: those that have not exited, in this turn */
    GPtrArray *where;             /* struct worker, of each */
    bool torn;                    /* some do not reach the others */
};

struct wgang {
    guint tasks;
    double stow_s, mark_s;
    int begun, saved;
    bool done;        /* a task that is started once more is done at once: the result is kept */
    GArray *attempts; /* struct wattempt */
};

static void attempt_clear(gpointer q)
{
    struct wattempt *a = q;
    g_ptr_array_unref(a->on);
    g_ptr_array_unref(a->where);
}

static void gang_free(gpointer q)
{
    struct wgang *g = q;
    g_array_unref(g->attempts);
    g_free(g);
}

static struct wgang *gang_of(struct world *w, const char *job)
{
    return w->play_gangs ? g_hash_table_lookup(w->gangs, job) : NULL;
}

/* A submission, of which workers fetch the description. */
static void gang_submitted(struct world *w, const char *body)
{
    json_object *o = json_read(body, strlen(body));
    const char *id, *form;
    uint64_t tasks;
    if (o && json_text(o, "Id", &id) && json_text(o, "Form", &form) && strcmp(form, "gang") == 0 &&
        json_u64(o, "Pieces", &tasks) && !g_hash_table_contains(w->gangs, id)) {
        struct wgang *g = g_new0(struct wgang, 1);
        g->tasks = (guint)tasks;
        json_number(o, "StowS", &g->stow_s);
        json_number(o, "MarkEveryS", &g->mark_s);
        g->attempts = g_array_new(FALSE, TRUE, sizeof(struct wattempt));
        g_array_set_clear_func(g->attempts, attempt_clear);
        g_hash_table_insert(w->gangs, g_strdup(id), g);
    }
    json_object_put(o);
}

static struct wattempt *attempt_of(struct wgang *g, uint64_t number)
{
    for (guint i = 0; i < g->attempts->len; i++)
        if (g_array_index(g->attempts, struct wattempt, i).number == number)
            return &g_array_index(g->attempts, struct wattempt, i);
    struct wattempt a = {.number = number, .on = g_ptr_array_new(), .where = g_ptr_array_new()};
    g_array_append_val(g->attempts, a);
    return &g_array_index(g->attempts, struct wattempt, g->attempts->len - 1);
}

int world_gang_begun(struct world *w, const char *job)
{
    struct wgang *g = gang_of(w, job);
    return g ? g->begun : 0;
}

int world_gang_saved(struct world *w, const char *job)
{
    struct wgang *g = gang_of(w, job);
    return g ? g->saved : 0;
}

/* A halt comes to a task: whether it saves, and exits later. */
static bool gang_saves(struct world *w, struct wtask *t, double grace_s)
{
    struct wgang *g = gang_of(w, t->job.s);
    if (!g || g->mark_s <= 0 || grace_s < g->stow_s)
        return false;
    if (strcmp(t->stage, "flushing") == 0)
        return grace_s > 0;
    if (strcmp(t->stage, "running") != 0)
        return false;
    strcpy(t->stage, "flushing");
    t->since = loop_now(w->loop);
    struct wattempt *a = attempt_of(g, t->attempt);
    if (!a->halted_at.us)
        a->halted_at = t->since;
    return true;
}

/* All of an attempt that still can exits with that. */
static void attempt_exits(struct wattempt *a, const char *cause, bool stored)
{
    for (guint i = 0; i < a->on->len; i++) {
        struct wtask *t = a->on->pdata[i];
        struct worker *k = a->where->pdata[i];
        if (k->silent) /* it hangs, and notices when it goes on */
            continue;
        worker_exit(k, t->job.s, t->index, cause);
        t->stored = stored;
    }
}

static void attempt_step(struct world *w, struct wgang *g, struct wattempt *a)
{
    mono_time now = loop_now(w->loop);
    int64_t peer_ms = (int64_t)(w->settings[0]->gang_peer_s * 1000),
            wait_ms = (int64_t)(w->settings[0]->gang_wait_s * 1000);
    bool whole = a->on->len == g->tasks && !a->torn;
    if (g->done) {
        attempt_exits(a, "done", false);
        return;
    }
    if (!a->begun && whole) {
        a->begun = true;
        g->begun++;
        for (guint i = 0; i < a->on->len; i++) {
            strcpy(((struct wtask *)a->on->pdata[i])->stage, "running");
            ((struct wtask *)a->on->pdata[i])->since = now;
        }
        return;
    }
    for (guint i = 0; i < a->on->len; i++) { /* also who comes when the others are gone */
        struct wtask *t = a->on->pdata[i];
        struct worker *k = a->where->pdata[i];
        if (strcmp(t->stage, "gathering") == 0 && !k->silent &&
            time_ms_since(now, t->since) >= wait_ms)
            worker_exit(k, t->job.s, t->index, "incomplete");
    }
    if (!a->begun || !a->on->len)
        return;
    guint told = 0, saved = 0;
    for (guint i = 0; i < a->on->len; i++) {
        struct wtask *t = a->on->pdata[i];
        bool here = strcmp(t->stage, "flushing") == 0;
        told += here;
        saved += here && (double)time_ms_since(now, t->since) >= g->stow_s * 1000;
    }
    if (whole && saved == g->tasks) {
        g->saved++;
        attempt_exits(a, "halted", true);
        return;
    }
    if (!whole && !a->lost_at.us)
        a->lost_at = now;
    if ((a->lost_at.us && time_ms_since(now, a->lost_at) >= peer_ms - 1000) ||
        (a->halted_at.us && told < g->tasks && time_ms_since(now, a->halted_at) >= peer_ms))
        attempt_exits(a, "peers", false);
}

/* What the tasks of gangs do by themselves. */
static void play_gangs(struct world *w)
{
    GHashTableIter it;
    struct wgang *g;
    g_hash_table_iter_init(&it, w->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&g))
        for (guint i = 0; i < g->attempts->len; i++) {
            struct wattempt *a = &g_array_index(g->attempts, struct wattempt, i);
            g_ptr_array_set_size(a->on, 0);
            g_ptr_array_set_size(a->where, 0);
            a->torn = false;
        }
    for (int i = 0; i < w->plan.workers; i++) {
        struct worker *k = &w->workers[i];
        for (guint n = 0; k->up && n < k->tasks->len; n++) {
            struct wtask *t = &g_array_index(k->tasks, struct wtask, n);
            g = gang_of(w, t->job.s);
            if (!g)
                continue;
            struct wattempt *a = attempt_of(g, t->attempt);
            if (strcmp(t->stage, "exited") == 0) {
                g->done = g->done || strcmp(t->cause, "done") == 0;
                continue;
            }
            struct worker *first = a->where->len ? a->where->pdata[0] : k;
            a->torn = a->torn || k->silent || first->silent || k->only != first->only;
            g_ptr_array_add(a->on, t);
            g_ptr_array_add(a->where, k);
        }
    }
    g_hash_table_iter_init(&it, w->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&g))
        for (guint i = 0; i < g->attempts->len; i++)
            attempt_step(w, g, &g_array_index(g->attempts, struct wattempt, i));
}

/* Carries out a command that was sent at that moment. */
static void worker_order(struct worker *k, json_object *o, mono_time sent)
{
    const char *verb, *name;
    job_id job;
    uint32_t index;
    uint64_t attempt;
    assert_true(json_text(o, "Verb", &verb) && json_text(o, "Piece", &name) &&
                task_name_read(name, &job, &index) && json_u64(o, "Try", &attempt));
    struct wtask *t = worker_task(k, job.s, index);
    if (strcmp(verb, "run") == 0) {
        if (t && t->attempt == attempt)
            return;
        assert_null(t); /* the service does not start a task where its worker still shows it */
        struct wtask n = {job, index, attempt, "running", "", loop_now(k->world->loop), false};
        if (gang_of(k->world, job.s))
            strcpy(n.stage, "gathering");
        struct worker *other = g_hash_table_lookup(k->world->last_on, name);
        struct wtask *x =
            other && other->up && other != k ? worker_task(other, job.s, index) : NULL;
        twice = twice || (x && strcmp(x->stage, "exited") != 0);
        g_hash_table_replace(k->world->last_on, g_strdup(name), k);
        g_array_append_val(k->tasks, n);
        struct rules_machine m = machine_of(k);
        rules_started(k->world->rules, loop_now(k->world->loop), sent, &m, job.s, index);
        k->starts++;
    } else if (strcmp(verb, "halt") == 0) {
        double grace_s = 0;
        json_number(o, "WindDownS", &grace_s);
        if (t && t->attempt == attempt && strcmp(t->stage, "exited") != 0 &&
            !gang_saves(k->world, t, grace_s))
            worker_exit(k, job.s, index, "halted");
    } else if (t && t->attempt == attempt && strcmp(t->stage, "exited") == 0) {
        g_array_remove_index(k->tasks, (guint)(t - (struct wtask *)k->tasks->data));
    }
}

static void worker_orders(struct worker *k, json_object *o, mono_time sent)
{
    json_object *list = json_list(o, "Orders");
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        worker_order(k, json_object_array_get_idx(list, i), sent);
}

static void serve_worker(struct flight *f, struct worker *k)
{
    if (!k->up || k->silent || k->deaf || f->node == k->world->deaf_node ||
        (k->only >= 0 && k->only != f->node)) {
        f->fate = FATE_LOST;
        arrived(f);
        return;
    }
    if (strcmp(f->path, "/status") == 0) {
        flight_result(f, 200, worker_state(k));
        return;
    }
    json_object *o = json_read(f->body, strlen(f->body));
    uint64_t helm = 0, shift = 0;
    assert_true(json_u64(o, "Helm", &helm) && json_u64(o, "Shift", &shift));
    bool ok = helm >= k->helm && shift == k->shift;
    k->helm = MAX(k->helm, helm);
    if (ok)
        worker_orders(k, o, f->sent);
    json_object_put(o);
    flight_result(f, ok ? 200 : 409, worker_state(k));
}

void worker_has(struct worker *k, const char *job, uint32_t index, uint64_t attempt)
{
    struct wtask t = {.index = index, .attempt = attempt, .stage = "running"};
    assert_true(job_id_from(&t.job, job));
    t.since = loop_now(k->world->loop);
    g_array_append_val(k->tasks, t);
    char *name = g_strdup_printf("%s/%u", job, index);
    g_hash_table_replace(k->world->last_on, name, k);
    struct rules_machine m = machine_of(k);
    rules_task_by_hand(k->world->rules, t.since, &m, job, index);
}

void worker_exit(struct worker *k, const char *job, uint32_t index, const char *cause)
{
    struct wtask *t = worker_task(k, job, index);
    assert_non_null(t);
    struct world *w = k->world;
    if (strcmp(t->stage, "exited") != 0)
        rules_left(w->rules, loop_now(w->loop), k->id, job, index);
    if (strcmp(cause, "done") == 0)
        rules_done(w->rules, job, index);
    strcpy(t->stage, "exited");
    g_strlcpy(t->cause, cause, sizeof t->cause);
}

void worker_exit_all(struct world *w, const char *job, const char *cause)
{
    for (int i = 0; i < w->plan.workers; i++) {
        struct worker *k = &w->workers[i];
        for (guint n = 0; k->up && n < k->tasks->len; n++) {
            struct wtask *t = &g_array_index(k->tasks, struct wtask, n);
            if (strcmp(t->job.s, job) == 0 && strcmp(t->stage, "exited") != 0)
                worker_exit(k, job, t->index, cause);
        }
    }
}

struct wconn {
    struct worker *worker;            /* NULL: a user */
    const char *method, *path, *body; /* what the user asks */
    bool deaf;                        /* the answer does not arrive */
    mono_time sent;
    uint64_t shift;
    struct user_answer *answer;
};

static void report_timer(void *arg)
{
    struct worker *k = arg;
    timer_start(k->world->loop, &k->report, (int64_t)(k->world->plan.report_s * 1000));
    worker_report(k);
}

void worker_new_session(struct worker *k, bool anew)
{
    worker_loses_tasks(k);
    k->shift = anew ? 1 : k->shift + 1;
    if (anew)
        k->tally = k->helm = 0;
    k->lease_from = loop_now(k->world->loop);
}

/* The lease: counted from when the last report that got an answer was sent. */
static void worker_lease(struct worker *k)
{
    struct world *w = k->world;
    int64_t lease_ms = (int64_t)(w->settings[0]->lease_s * 1000);
    if (time_ms_since(loop_now(w->loop), k->lease_from) > lease_ms)
        worker_new_session(k, false);
}

static struct wconn *conn_new(struct world *w, conn_ref *ref)
{
    struct wconn *c = g_new0(struct wconn, 1);
    ref->v = ++w->next_conn;
    c->sent = loop_now(w->loop);
    g_hash_table_insert(w->answers, g_memdup2(&ref->v, sizeof ref->v), c);
    return c;
}

void worker_report(struct worker *k)
{
    struct world *w = k->world;
    worker_lease(k);
    if (!k->up || k->silent || time_before(loop_now(w->loop), k->quiet_until))
        return;
    bool reaches = k->node != w->deaf_node && (k->only < 0 || k->only == k->node);
    struct node *n = reaches ? w->nodes[k->node] : NULL;
    if (!n) {
        k->node = (k->node + 1) % k->world->plan.nodes;
        return;
    }
    conn_ref ref;
    struct wconn *c = conn_new(w, &ref);
    c->worker = k;
    c->shift = k->shift;
    json_object *o = worker_state(k);
    const char *text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
    struct http_request q = {"POST", "/agent/beat", "", text, strlen(text), NULL};
    g_ptr_array_add(k->said, g_strdup(text));
    if (k->deaf) { /* it gives up after 4 s, and tries the next node 1 s later */
        k->quiet_until = time_add_ms(loop_now(w->loop), 5000);
        k->node = (k->node + 1) % k->world->plan.nodes;
        c->deaf = true;
    }
    frontend_serve(n->frontend, &w->replier, ref, &q);
    json_object_put(o);
}

void world_say_again(struct world *w, int node, const char *report)
{
    struct http_request q = {"POST", "/agent/beat", "", report, strlen(report), NULL};
    frontend_serve(w->nodes[node]->frontend, &w->replier, (conn_ref){UINT64_MAX}, &q);
}

int world_starts(struct world *w)
{
    int n = 0;
    for (int i = 0; i < w->plan.workers; i++)
        n += w->workers[i].starts;
    return n;
}

static void worker_answered(struct worker *k, struct wconn *c, int status, const char *body,
                            size_t len)
{
    json_object *o = json_read(body, len);
    const char *to = NULL;
    uint64_t helm = 0;
    if (status == 421 && json_text(o, "Harbour", &to)) {
        k->node = to[strlen(to) - 1] - '0';
    } else if (status != 200) {
        k->node = (k->node + 1) % k->world->plan.nodes;
    } else if (json_u64(o, "Helm", &helm) && helm >= k->helm && c->shift == k->shift) {
        k->helm = helm;
        k->lease_from = c->sent;
        worker_orders(k, o, loop_now(k->world->loop));
    }
    json_object_put(o);
}

static void world_reply(struct http_replier *self, conn_ref to, int status, const char *fields,
                        const char *body, size_t len)
{
    struct world *w = (struct world *)((char *)self - offsetof(struct world, replier));
    struct wconn *c = g_hash_table_lookup(w->answers, &to.v);
    if (!c)
        return;
    if (c->worker) {
        if (!c->deaf)
            worker_answered(c->worker, c, status, body, len);
    } else {
        c->answer->status = status;
        c->answer->took_ms = time_ms_since(loop_now(w->loop), c->sent);
        g_strlcpy(c->answer->fields, fields ? fields : "", sizeof c->answer->fields);
        g_strlcpy(c->answer->body, body, MIN(sizeof c->answer->body, len + 1));
        rules_answered(w->rules, loop_now(w->loop), c->sent, c->method, c->path, c->body, status,
                       c->answer->body);
    }
    g_hash_table_remove(w->answers, &to.v);
}

struct worker *world_worker(struct world *w, int i, const char *yard, bool loaners)
{
    return world_machine(w, i, "g8", yard, loaners);
}

struct worker *world_machine(struct world *w, int i, const char *build, const char *yard,
                             bool loaners)
{
    struct worker *k = &w->workers[i];
    g_snprintf(k->id, sizeof k->id, "host-%06d", ++w->rented);
    g_snprintf(k->addr, sizeof k->addr, "10.1.%u.%u:9000", (uint8_t)(i / 200),
               (uint8_t)(i % 200 + 1));
    g_hash_table_replace(w->worker_addrs, k->addr, k);
    g_strlcpy(k->build, build, sizeof k->build);
    g_strlcpy(k->yard, yard, sizeof k->yard);
    k->loaners = loaners;
    k->up = true;
    k->silent = k->deaf = false;
    k->quiet_until = (mono_time){0};
    k->recall_s = k->only = -1;
    k->world = w;
    worker_new_session(k, true);
    timer_init(&k->report, report_timer, k);
    timer_start(w->loop, &k->report, w->plan.boot_ms + i);
    return k;
}

/* ---- the cloud ---- */

static const char types_text[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
    "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":5,\"Yards\":[\"a\",\"b\"]}]}";

static void cloud_return(struct world *w, json_object *body)
{
    json_object *list = json_list(body, "Masts");
    for (size_t i = 0; i < json_object_array_length(list); i++)
        for (int k = 0; k < w->plan.workers; k++) {
            struct worker *x = &w->workers[k];
            if (x->up &&
                strcmp(x->id, json_object_get_string(json_object_array_get_idx(list, i))) == 0) {
                x->up = false;
                worker_loses_tasks(x);
                timer_stop(w->loop, &x->report);
                w->returned++;
            }
        }
}

static json_object *cloud_rent(struct world *w, json_object *body)
{
    const char *charter, *build, *yard;
    bool loaners;
    uint64_t number = 0;
    assert_true(json_text(body, "Charter", &charter) && json_text(body, "Build", &build) &&
                json_text(body, "Yard", &yard) && json_flag(body, "Loaners", &loaners) &&
                json_u64(body, "Number", &number) && number <= 50);
    for (guint i = 0; i < w->charters->len; i += 2)
        if (strcmp(w->charters->pdata[i], charter) == 0)
            return json_tokener_parse(w->charters->pdata[i + 1]);
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    for (int i = 0; i < w->plan.workers && number > 0 && w->capacity > 0; i++)
        if (!w->workers[i].up) {
            struct worker *k = world_machine(w, i, build, yard, loaners);
            json_object_array_add(list, json_object_new_string(k->id));
            w->capacity--;
            number--;
        }
    if (json_object_array_length(list) == 0) {
        json_object_put(list);
        json_object_put(o);
        return NULL;
    }
    json_object_object_add(o, "Masts", list);
    g_ptr_array_add(w->charters, g_strdup(charter));
    g_ptr_array_add(w->charters, g_strdup(json_object_to_json_string(o)));
    return o;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
    return strcmp((*(struct worker *const *)a)->id, (*(struct worker *const *)b)->id);
}

static json_object *cloud_list(struct world *w, const char *path)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    char *from = query_text(path, "From="), *page = query_text(path, "Page=");
    guint most = page ? (guint)g_ascii_strtoull(page, NULL, 10) : 100;
    assert_true(most <= 500);
    GPtrArray *up = g_ptr_array_new();
    for (int i = 0; i < w->plan.workers; i++)
        if (w->workers[i].up && (!from || strcmp(w->workers[i].id, from) > 0))
            g_ptr_array_add(up, &w->workers[i]);
    g_ptr_array_sort(up, by_name);
    for (guint i = 0; i < up->len && i < most; i++) {
        struct worker *k = up->pdata[i];
        json_object *x = json_object_new_object();
        json_put_text(x, "Id", k->id);
        json_put_text(x, "Address", k->addr);
        json_put_text(x, "Build", k->build);
        json_put_text(x, "Yard", k->yard);
        json_object_object_add(x, "Loaners", json_object_new_boolean(k->loaners));
        json_put_text(x, "Stage", "running");
        json_object_object_add(x, "HeldS", json_object_new_double(1));
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Masts", list);
    json_object_object_add(o, "More", json_object_new_boolean(up->len > most));
    g_ptr_array_unref(up);
    g_free(from);
    g_free(page);
    return o;
}

static void serve_cloud(struct flight *f)
{
    struct world *w = f->world;
    json_object *body = *f->body ? json_read(f->body, strlen(f->body)) : NULL, *o = NULL;
    int status = 200;
    if (w->cloud_down) {
        status = 503;
        o = json_tokener_parse("{\"error\":\"trouble\"}");
    } else if (strcmp(f->path, "/machine_types") == 0) {
        o = json_tokener_parse(w->types);
    } else if (strcmp(f->path, "/rentals/return") == 0) {
        cloud_return(w, body);
        o = json_object_new_object();
    } else if (strcmp(f->path, "/rentals") == 0) {
        o = cloud_rent(w, body);
        if (!o) {
            status = 503;
            o = json_tokener_parse("{\"error\":\"no capacity\"}");
        }
    } else {
        o = cloud_list(w, f->path);
    }
    json_object_put(body);
    flight_result(f, status, o);
}

/* ---- between nodes ---- */

struct bus_reply {
    struct http_replier replier;
    struct flight *flight;
};

static void bus_replied(struct http_replier *self, conn_ref to, int status, const char *fields,
                        const char *body, size_t len)
{
    (void)to;
    (void)fields;
    struct flight *f = ((struct bus_reply *)self)->flight;
    struct world *w = f->world;
    char *text = g_strndup(body, len);
    char *other = w->between ? w->between(w, f->node, f->path, text) : NULL;
    flight_text(f, status, other ? other : text);
    g_free(other);
    g_free(text);
    g_free(self);
}

static void carry_out(struct flight *f)
{
    struct world *w = f->world;
    if (strcmp(f->addr, "10.2.0.1:2379") == 0) {
        serve_state(f);
        return;
    }
    if (strcmp(f->addr, "10.2.0.2:8443") == 0) {
        serve_cloud(f);
        return;
    }
    struct worker *k = g_hash_table_lookup(w->worker_addrs, f->addr);
    if (k) {
        serve_worker(f, k);
        return;
    }
    int to = f->addr[7] - '1';
    if (to < 0 || to >= w->plan.nodes || !w->nodes[to]) {
        flight_answer(f, NET_NOT_SENT, "");
        return;
    }
    struct bus_reply *r = g_new(struct bus_reply, 1); /* the answer may come later */
    *r = (struct bus_reply){{bus_replied}, f};
    struct http_request q = {f->method, f->path, "", f->body, strlen(f->body), NULL};
    bus_serve(w->nodes[to]->bus, &r->replier, (conn_ref){1}, &q);
}

/* ---- the whole ---- */

static char *settings_text(const struct world_plan *p, int node)
{
    GString *s = g_string_new(NULL);
    g_string_append_printf(s,
                           "label = \"mast-%d\"\ndomain = \"%s\"\napi_addr = \"10.0.0.%d:8080\"\n"
                           "back = \"10.0.0.%d:8081\"\n",
                           node, node == 1 ? "b" : "a", node + 1, node + 1);
    for (int i = 0; i < p->nodes; i++)
        if (i != node)
            g_string_append_printf(s,
                                   "[[siblings]]\nlabel = \"mast-%d\"\ndomain = \"a\"\nendpoint = "
                                   "\"10.0.0.%d:8081\"\n",
                                   i, i + 1);
    g_string_append_printf(s,
                           "[outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n"
                           "[deployment]\nsize = %d\nzones = [\"a\", \"b\"]\n"
                           "clock_error_ms = 25.0\n",
                           p->nodes);
    for (int i = 0; i < p->teams; i++)
        g_string_append_printf(s,
                               "[[deployment.teams]]\nname = \"team-%02d\"\ncpus = %.1f\n"
                               "cpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n",
                               i, p->cpus, p->cpus_max);
    if (!p->teams)
        g_string_append(s, "[[deployment.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n"
                           "gpus = 0.0\ngpus_max = 0.0\n"
                           "[[deployment.teams]]\nname = \"blue\"\ncpus = 16.0\ncpus_max = 64.0\n"
                           "gpus = 0.0\ngpus_max = 0.0\n");
    g_string_append_printf(
        s,
        "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 20.0\n"
        "gang_peer_s = 4.0\ncancel_s = %.1f\n"
        "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = %d\n"
        "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 2.0\n"
        "[deployment.machine_limits]\ncore_share = 0.1\nram_mb = 64.0\nfd_limit = %d\n",
        p->report_s, p->lease_s, p->cancel_s, p->rps, p->write_rps, p->txn_ops, p->cloud_rps,
        p->fd_limit);
    if (p->next_value_kb > 0)
        g_string_append_printf(s,
                               "[deployment.state.next]\nvalue_kb = %.1f\nwrite_rps = %.1f\n"
                               "txn_ops = %d\n",
                               p->next_value_kb, p->next_write_rps, p->next_txn_ops);
    return g_string_free(s, FALSE);
}

void world_limits_fall(struct world *w)
{
    w->state_value_kb = w->plan.next_value_kb;
    w->state_txn_ops = w->plan.next_txn_ops;
}

static void world_tick(void *arg)
{
    struct world *w = arg;
    timer_start(w->loop, &w->tick, TICK_MS);
    if (w->play_gangs)
        play_gangs(w);
    if (w->state_down) {
        /* When an outage is over, every lease has its full time again. */
        GHashTableIter it;
        struct wlease *l;
        g_hash_table_iter_init(&it, w->leases);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&l))
            l->end = time_add_ms(loop_now(w->loop), l->ttl_ms);
        return;
    }
    end_leases(w);
    serve_watches(w);
}

static int compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

struct world_plan world_usual(void)
{
    return usual;
}

struct world *world_new(void)
{
    return world_new_sized(&usual);
}

struct world *world_new_sized(const struct world_plan *plan)
{
    struct world *w = g_new0(struct world, 1);
    w->plan = *plan;
    w->types = types_text;
    w->workers = g_new0(struct worker, plan->workers);
    w->worker_addrs = g_hash_table_new(g_str_hash, g_str_equal);
    w->last_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, gang_free);
    log_setup(g_getenv("LOG_LEVEL") ? g_getenv("LOG_LEVEL") : "error", "test");
    twice = false;
    w->loop = loop_new_fake();
    w->keys = g_tree_new_full(compare_keys, NULL, g_free, wkey_free);
    w->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    w->events = g_array_new(FALSE, TRUE, sizeof(struct wevent));
    g_array_set_clear_func(w->events, event_clear);
    w->watches = g_array_new(FALSE, TRUE, sizeof(struct flight *));
    w->held = g_ptr_array_new();
    w->charters = g_ptr_array_new_with_free_func(g_free);
    w->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    w->policy = policy_default();
    w->deaf_node = -1;
    w->replier.reply = world_reply;
    for (int i = 0; i < plan->workers; i++) {
        w->workers[i].tasks = g_array_new(FALSE, TRUE, sizeof(struct wtask));
        w->workers[i].said = g_ptr_array_new_with_free_func(g_free);
    }
    for (int i = 0; i < plan->nodes; i++) {
        char *text = settings_text(plan, i), *error = NULL;
        w->settings[i] = settings_parse(text, &error);
        if (error)
            fail_msg("%s", error);
        g_free(text);
        w->nets[i] = (struct wnet){{net_request_fn}, w, i};
    }
    w->rules = rules_new(w->settings[0]);
    w->state_value_kb = w->settings[0]->state.value_kb;
    w->state_txn_ops = w->settings[0]->state.txn_ops;
    timer_init(&w->tick, world_tick, w);
    world_tick(w);
    return w;
}

void world_free(struct world *w)
{
    rules_free(w->rules);
    for (int i = 0; i < w->plan.nodes; i++) {
        world_kill(w, i);
        settings_free(w->settings[i]);
    }
    for (int i = 0; i < w->plan.workers; i++) {
        if (w->workers[i].up)
            timer_stop(w->loop, &w->workers[i].report);
        g_array_unref(w->workers[i].tasks);
        g_ptr_array_unref(w->workers[i].said);
    }
    g_tree_unref(w->keys);
    g_free(w->workers);
    g_hash_table_unref(w->worker_addrs);
    g_hash_table_unref(w->last_on);
    g_hash_table_unref(w->gangs);
    g_array_unref(w->events);
    g_hash_table_unref(w->leases);
    g_hash_table_unref(w->answers);
    g_ptr_array_unref(w->charters);
    policy_free(w->policy);
    loop_free(w->loop);
    g_free(w);
}

void world_start(struct world *w, int node)
{
    assert_null(w->nodes[node]);
    w->process[node]++;
    w->nodes[node] = node_new(w->loop, &w->nets[node].net, w->settings[node], w->policy);
    node_start(w->nodes[node]);
}

void world_kill(struct world *w, int node)
{
    struct node *n = w->nodes[node];
    w->nodes[node] = NULL;
    if (n)
        node_free(n);
}

void world_run(struct world *w, int64_t ms)
{
    loop_advance(w->loop, ms);
}

void world_deliver_held(struct world *w)
{
    for (guint i = 0; i < w->held->len; i++) {
        struct flight *f = w->held->pdata[i];
        f->fate = FATE_NORMAL;
        f->process = 0; /* nobody waits for the answer any more */
        carry_out(f);
    }
    g_ptr_array_set_size(w->held, 0);
}

struct user_answer world_ask(struct world *w, int node, const char *method, const char *path,
                             const char *body)
{
    struct user_answer answer = {0};
    conn_ref ref;
    struct wconn *c = conn_new(w, &ref);
    c->answer = &answer;
    c->method = method;
    c->path = path;
    c->body = body ? body : "";
    rules_types(w->rules, w->types);
    rules_asked(w->rules, c->sent, method, path, c->body);
    if (w->play_gangs && strcmp(path, "/work") == 0)
        gang_submitted(w, c->body);
    struct http_request q = {method, path, "", body ? body : "", body ? strlen(body) : 0, NULL};
    assert_non_null(w->nodes[node]);
    frontend_serve(w->nodes[node]->frontend, &w->replier, ref, &q);
    for (int i = 0; i < 500 && !answer.status; i++)
        world_run(w, 10);
    g_hash_table_remove(w->answers, &ref.v);
    return answer;
}

char *world_job(const char *id, const char *form, int tasks, const char *crew, double cpus,
                const char *more)
{
    return g_strdup_printf(
        "{\"Id\":\"%s\",\"Lot\":\"lot\",\"Crew\":\"%s\",\"Form\":\"%s\",\"Urgency\":\"high\","
        "\"Pieces\":%d,\"Vcpus\":%.1f,\"Cards\":0.0,\"MemoryGb\":1.0,\"Mould\":\"img-1\","
        "\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,\"ExpectedS\":%s,"
        "\"MarkEveryS\":0.0,\"StowS\":0.0%s}",
        id, crew, form, tasks, cpus, strcmp(form, "daemon") == 0 ? "0.0" : "10.0", more);
}

char *world_swapped(const char *text, const char *what, const char *by)
{
    char **parts = g_strsplit(text, what, 2);
    assert_int_equal(g_strv_length(parts), 2);
    char *out = g_strjoinv(by, parts);
    g_strfreev(parts);
    return out;
}

struct user_answer world_submit(struct world *w, int node, const char *id, const char *form,
                                int tasks)
{
    char *body = world_job(id, form, tasks, "blue", 2.0, "");
    struct user_answer a = world_ask(w, node, "POST", "/work", body);
    g_free(body);
    return a;
}

int world_on_machines(struct world *w, const char *job)
{
    int n = 0;
    for (int i = 0; i < w->plan.workers; i++)
        for (guint k = 0; w->workers[i].up && k < w->workers[i].tasks->len; k++) {
            struct wtask *t = &g_array_index(w->workers[i].tasks, struct wtask, k);
            n += strcmp(t->job.s, job) == 0 && strcmp(t->stage, "exited") != 0;
        }
    return n;
}

bool world_ran_twice(struct world *w)
{
    (void)w;
    return twice;
}

struct node *world_leader(struct world *w)
{
    for (int i = 0; i < w->plan.nodes; i++)
        if (w->nodes[i] && membership_leads(w->nodes[i]->members))
            return w->nodes[i];
    return NULL;
}

int world_leader_index(struct world *w)
{
    for (int i = 0; i < w->plan.nodes; i++)
        if (w->nodes[i] && w->nodes[i] == world_leader(w))
            return i;
    return -1;
}

int world_cancel(struct world *w, int node, const char *job)
{
    char *path = g_strdup_printf("/work/%s/abort", job);
    int status = world_ask(w, node, "POST", path, NULL).status;
    g_free(path);
    return status;
}

enum fate world_only_workers(struct world *w, int node, const struct net_request *r)
{
    bool state = strcmp(r->addr, "10.2.0.1:2379") == 0, back = g_str_has_suffix(r->addr, ":8081");
    char lone[32];
    g_snprintf(lone, sizeof lone, "10.0.0.%d:8081", w->lone + 1);
    return (node == w->lone && (state || back)) || strcmp(r->addr, lone) == 0 ? FATE_LOST
                                                                              : FATE_NORMAL;
}

void world_expect_stage(struct world *w, int node, const char *job, const char *stage)
{
    char *path = g_strconcat("/work/", job, NULL),
         *want = g_strdup_printf("\"Stage\":\"%s\"", stage);
    struct user_answer a = world_ask(w, node, "GET", path, NULL);
    if (a.status != 200 || !strstr(a.body, want))
        fail_msg("%s: %d %s, wanted %s", path, a.status, a.body, stage);
    g_free(path);
    g_free(want);
}

int world_open(void **state)
{
    struct world *w = world_new();
    w->capacity = 6;
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(w, i);
    world_run(w, 3000);
    assert_non_null(world_leader(w));
    *state = w;
    return 0;
}

/* Nothing is in the way of any node or worker any more. */
static void end_troubles(struct world *w)
{
    w->fate = NULL;
    w->state_down = w->cloud_down = false;
    w->deaf_node = -1;
    for (int i = 0; i < w->plan.workers; i++) {
        w->workers[i].silent = w->workers[i].deaf = false;
        w->workers[i].only = -1;
    }
    for (int i = 0; i < w->plan.nodes; i++)
        if (!w->nodes[i])
            world_start(w, i);
}

void world_look(struct world *w)
{
    struct rules_machine *up = g_new0(struct rules_machine, w->plan.workers);
    guint n = 0;
    for (int i = 0; i < w->plan.workers; i++)
        if (w->workers[i].up && w->workers[i].recall_s < 0)
            up[n++] = machine_of(&w->workers[i]);
    rules_types(w->rules, w->types);
    rules_look(w->rules, loop_now(w->loop), up, n);
    g_free(up);
}

void world_settle(struct world *w, int64_t ms)
{
    end_troubles(w);
    for (int64_t t = 0; t < ms; t += 1000) {
        world_run(w, 1000);
        world_look(w);
    }
    GPtrArray *paths = rules_kept_jobs(w->rules);
    for (guint i = 0; i < paths->len; i++)
        for (int node = 0; node < w->plan.nodes; node++)
            assert_int_equal(world_ask(w, node, "GET", paths->pdata[i], NULL).status, 200);
    g_ptr_array_unref(paths);
}

void world_end(struct world *w)
{
    bool ran_twice = world_ran_twice(w);
    char *broken = g_strdup(rules_end(w->rules, loop_now(w->loop)));
    world_free(w);
    if (ran_twice)
        fail_msg("a task ran twice");
    if (broken)
        fail_msg("%s", broken);
}

int world_close(void **state)
{
    world_end(*state);
    return 0;
}

int world_close_settled(void **state)
{
    world_settle(*state, SETTLE_MS);
    return world_close(state);
}
