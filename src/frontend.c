#include "frontend.h"

#include "log.h"
#include "node.h"
#include "room.h"

#include <stdlib.h>

enum {
    FEW_WAITING = 400, /* requests that may always wait for the state service */
    WRITE_ROUNDS = 4,  /* tries of a conditional write before the user is told to come back */
    STALE_READY_MS = 8000,
    RELAY_MS = 1500,
    /* Users wait 2 s for a poll's answer, so what cannot be told by then is not told at all. */
    ANSWER_MS = 1500,
    SWEEP_MS = 50,
};

struct frontend {
    struct loop *loop;
    struct store *store;
    struct view *view;
    const struct settings *settings;
    struct part *part;
    struct bus *bus;
    struct peers *peers;
    struct membership *members;
    int waiting, most_waiting; /* requests that wait for the state service */
    GQueue asks;               /* struct ask: not answered yet, oldest first */
    struct timer sweep;
};

enum action { ACTION_SUBMIT, ACTION_POLL, ACTION_CANCEL };

/* A user's request that waits for the state service. It may be answered before its writes are
 * settled, with 503: the user asks again, and learns what has become of them. */
struct ask {
    GList place; /* in the frontend's list */
    bool answered;
    mono_time came;
    struct frontend *frontend;
    struct http_replier *replier;
    conn_ref from;
    enum action action;
    job_id job;
    json_object *spec; /* of a submission */
    uint32_t tasks;
    job_id *awaits; /* jobs that it needs */
    guint n_awaits, checked;
    bool behind; /* the view was past a barrier since it came */
    bool doomed; /* one of them is cancelled */
    int refusal; /* the status that it gets, were it not known already; 0: none */
    bool read;   /* its key was read, and is not there */
    int rounds;
};

static void serve_here(void *ctx, struct http_replier *r, conn_ref from,
                       const struct http_request *q);
static void sweep(void *arg);

struct frontend *frontend_new(const struct node *n)
{
    struct frontend *f = g_new0(struct frontend, 1);
    *f = (struct frontend){.loop = n->loop,
                           .store = n->store,
                           .view = n->view,
                           .settings = n->settings,
                           .part = n->part,
                           .bus = n->bus,
                           .peers = n->peers,
                           .members = n->members,
                           .most_waiting = MAX(FEW_WAITING, n->settings->fd_limit / 4)};
    g_queue_init(&f->asks);
    timer_init(&f->sweep, sweep, f);
    bus_on_relay(n->bus, serve_here, f);
    return f;
}

void frontend_free(struct frontend *f)
{
    timer_stop(f->loop, &f->sweep);
    g_free(f);
}

static void reply(struct http_replier *r, conn_ref to, int status, char *text)
{
    r->reply(r, to, status, status == 503 ? "Retry-After: 1\r\n" : NULL, text, strlen(text));
    g_free(text);
}

static void reply_error(struct http_replier *r, conn_ref to, int status, const char *error)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "error", error);
    reply(r, to, status, g_strdup(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN)));
    json_object_put(o);
}

static void ask_answered(struct ask *a)
{
    if (!a->answered)
        g_queue_unlink(&a->frontend->asks, &a->place);
    a->answered = true;
}

static void ask_refuse(struct ask *a)
{
    if (!a->answered)
        reply_error(a->replier, a->from, 503, "the state service does not answer");
    ask_answered(a);
}

static void ask_end(struct ask *a)
{
    ask_answered(a);
    a->frontend->waiting--;
    json_object_put(a->spec);
    g_free(a->awaits);
    g_free(a);
}

/* What cannot be told in time gets its answer while it is still of use, and at once when the state
 * service answers nobody here. */
static void sweep(void *arg)
{
    struct frontend *f = arg;
    mono_time now = loop_now(f->loop);
    bool troubled = store_troubled(f->store);
    struct ask *a;
    while ((a = g_queue_peek_head(&f->asks)) &&
           (troubled || time_ms_since(now, a->came) > ANSWER_MS))
        ask_refuse(a);
    if (f->asks.head)
        timer_start(f->loop, &f->sweep, SWEEP_MS);
}

static const char *stage_of(const struct job *j)
{
    if (j->state == JOB_DONE)
        return "done";
    if (j->state == JOB_CANCELLED)
        return "cancelled";
    return j->placed ? "running" : "queued";
}

static char *job_text(const struct job *j)
{
    return codec_job_answer(j->id, stage_of(j), j->n_done,
                            j->placed ? (long)g_hash_table_size(j->placed) : 0);
}

static void reply_job(struct frontend *f, struct http_replier *r, conn_ref to, const struct job *j)
{
    if (j->state == JOB_CANCELLED)
        peers_told_cancel(f->peers, j->id, j->cancelled_at);
    reply(r, to, 200, job_text(j));
}

static struct job *known_job(struct frontend *f, job_id id)
{
    struct job *j = view_job(f->view, id.s);
    return j && j->known ? j : NULL;
}

static void ask_step(void *arg, bool ok);

/* The other nodes know of the cancellation, too. */
static void cancel_announced(void *arg)
{
    struct ask *a = arg;
    if (!a->answered)
        reply(a->replier, a->from, 200, codec_job_answer(a->job, "cancelled", -1, 0));
    ask_end(a);
}

static void written(void *arg, const struct txn_outcome *o)
{
    struct ask *a = arg;
    struct frontend *f = a->frontend;
    if (a->action == ACTION_CANCEL) {
        /* Its user may hear of it from now on, from whichever node. */
        if (o->result == TXN_DONE)
            peers_told_cancel(f->peers, a->job, o->at);
        peers_cancel_over(f->peers, a->job, o->result);
    }
    if (a->answered) {
        ask_end(a); /* its user asks again */
    } else if (o->result == TXN_DONE) {
        /* It is on record, so this may be said from now on. */
        LOG_DEBUG("answered", "job=%s action=%d", a->job.s, a->action);
        if (a->action == ACTION_CANCEL) {
            peers_announce_cancel(f->peers, a->job, o->at, cancel_announced, a);
            return;
        }
        reply(a->replier, a->from, 201,
              codec_job_answer(a->job, a->doomed ? "cancelled" : "queued", -1, 0));
        ask_end(a);
    } else if (o->result == TXN_CONFLICT && ++a->rounds < WRITE_ROUNDS) {
        view_await(f->view, o->at, ask_step, a);
    } else if (o->result == TXN_UNKNOWN && ++a->rounds < WRITE_ROUNDS) {
        view_barrier(f->view, ask_step, a);
    } else {
        ask_refuse(a);
        ask_end(a);
    }
}

static json_object *job_value(json_object *spec, int64_t submitted_ms, bool cancelled)
{
    json_object *o = json_object_new_object();
    json_put_u64(o, "t", (uint64_t)submitted_ms);
    json_object_object_add(o, "w", json_object_get(spec));
    if (cancelled)
        json_object_object_add(o, "c", json_object_new_boolean(true));
    return o;
}

static void write_job(struct ask *a, revision stamp, json_object *value)
{
    struct txn *t = txn_new();
    char *key = key_job(a->job);
    txn_when(t, key, stamp);
    txn_set(t, key, value, (lease_id){0});
    g_free(key);
    store_txn(a->frontend->store, LANE_URGENT, t, written, a);
}

/* What a cancelled job's tasks take has to stay known until they are gone, but no more than that:
 * of a job that was stored when more was allowed the rest is left out, as nothing of it starts
 * again.
 */
static void write_cancel(struct ask *a, struct job *j)
{
    json_object *spec = codec_spec_write(j->spec);
    json_object *value = job_value(spec, j->submitted.ms, true);
    json_object_put(spec);
    if (value_size(value) > store_limits(a->frontend->store)->value_bytes) {
        struct spec s = *j->spec;
        s.lot = s.image = "-";
        s.builds = NULL;
        s.yard = NULL;
        s.n_awaits = 0;
        json_object_put(value);
        spec = codec_spec_write(&s);
        value = job_value(spec, j->submitted.ms, true);
        json_object_put(spec);
    }
    peers_cancel_sent(a->frontend->peers, a->job);
    write_job(a, j->stamp, value);
}

/* ---- what a job needs ---- */

/* Whether the key that was read is of a job that is over, and what became of it. */
static bool answer_is_final(const struct net_answer *answer, struct job *j)
{
    json_object *o = answer->status > 0 ? json_read(answer->body, answer->len) : NULL, *v = NULL;
    json_object_object_get_ex(o, "V", &v);
    bool over = answer->status == 200 && json_u64(o, "Stamp", &j->stamp.v) && job_read_final(j, v);
    j->cancelled_at = j->stamp;
    json_object_put(o);
    return over;
}

static void await_answered(void *arg, const struct net_answer *answer)
{
    struct ask *a = arg;
    struct job j = {0};
    bool over = answer_is_final(answer, &j);
    if (over) {
        a->doomed = a->doomed || j.state == JOB_CANCELLED;
        a->checked++;
        ask_step(a, true);
        return;
    }
    if (a->answered)
        ;
    else if (answer->status == 404)
        reply_error(a->replier, a->from, 422, "needs a job that was never accepted");
    else /* it cannot be read now, or is not over and will be in the view in a moment */
        ask_refuse(a);
    ask_end(a);
}

/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. A job that was accepted stays so: what the view shows needs no barrier.
 * One that the view does not show was never accepted, or has been over for long. */
static bool awaits_known(struct ask *a)
{
    struct frontend *f = a->frontend;
    for (; a->checked < a->n_awaits; a->checked++) {
        job_id id = a->awaits[a->checked];
        struct job *j = known_job(f, id);
        if (j) {
            a->doomed = a->doomed || j->state == JOB_CANCELLED;
            continue;
        }
        if (!a->behind) {
            a->behind = true;
            view_barrier(f->view, ask_step, a);
        } else if (f->view->forgot) {
            char *key = key_job(id);
            store_read(f->store, LANE_URGENT, key, ANSWER_MS, ANSWER_MS, await_answered, a);
            g_free(key);
        } else {
            reply_error(a->replier, a->from, 422, "needs a job that was never accepted");
            ask_end(a);
        }
        return false;
    }
    return true;
}

/* Jobs that are done are needed no more: they are not kept with the new one, so that nobody has to
 * remember them for its sake. One that needs a cancelled job is accepted, and is over at once. */
static json_object *new_value(struct ask *a)
{
    struct frontend *f = a->frontend;
    if (a->doomed)
        return job_final_value(JOB_CANCELLED, a->tasks, loop_wall(f->loop));
    json_object *spec = NULL, *left = json_object_new_array();
    for (guint i = 0; i < a->n_awaits; i++) {
        struct job *j = known_job(f, a->awaits[i]);
        if (j && j->state != JOB_DONE)
            json_object_array_add(left, json_object_new_string(j->id.s));
    }
    json_object_deep_copy(a->spec, &spec, NULL);
    json_object_object_add(spec, "Awaits", left);
    if (!json_object_array_length(left))
        json_object_object_del(spec, "Awaits");
    json_object *value = job_value(spec, loop_wall(f->loop).ms, false);
    json_object_put(spec);
    return value;
}

static void key_answered(void *arg, const struct net_answer *answer)
{
    struct ask *a = arg;
    struct job j = {.id = a->job};
    bool over = answer_is_final(answer, &j);
    if (answer->status == 404) {
        a->read = true;
        ask_step(a, true);
        return;
    }
    if (over && !a->answered)
        reply_job(a->frontend, a->replier, a->from, &j);
    else
        ask_refuse(a);
    ask_end(a);
}

/* A job that the view does not hold may have been over for so long that it is not kept in memory. A
 * submission that is new is found out by its write, without reading. */
static bool read_key(struct ask *a)
{
    struct frontend *f = a->frontend;
    if (!f->view->forgot || a->read || (a->action == ACTION_SUBMIT && !a->rounds && !a->refusal))
        return false;
    char *key = key_job(a->job);
    store_read(f->store, LANE_URGENT, key, ANSWER_MS, ANSWER_MS, key_answered, a);
    g_free(key);
    return true;
}

/* The view is now at a moment after the request came: what it shows may be told. */
static void ask_step(void *arg, bool ok)
{
    struct ask *a = arg;
    struct frontend *f = a->frontend;
    struct job *j = known_job(f, a->job);
    if (a->answered) {
        ask_end(a);
        return;
    }
    if (ok && !j && read_key(a))
        return;
    if (!ok) {
        ask_refuse(a);
    } else if (a->action == ACTION_SUBMIT && !j && a->refusal) {
        reply_error(a->replier, a->from, a->refusal,
                    a->refusal == 400 ? "malformed" : "can never run");
    } else if (a->action == ACTION_SUBMIT && !j) {
        if (awaits_known(a))
            write_job(a, (revision){0}, new_value(a));
        return;
    } else if (!j) {
        reply_error(a->replier, a->from, 404, "no such job");
    } else if (a->action == ACTION_CANCEL && j->state == JOB_LIVE) {
        write_cancel(a, j);
        return;
    } else {
        reply_job(f, a->replier, a->from, j);
    }
    ask_end(a);
}

static struct ask *ask_new(struct frontend *f, struct http_replier *r, conn_ref from,
                           enum action action, job_id job)
{
    const char *why = !f->view->ready                 ? "starting"
                      : store_troubled(f->store)      ? "the state service does not answer"
                      : f->waiting >= f->most_waiting ? "too many requests at once"
                                                      : NULL;
    if (why) {
        reply_error(r, from, 503, why);
        return NULL;
    }
    f->waiting++;
    struct ask *a = g_new0(struct ask, 1);
    *a = (struct ask){.frontend = f, .replier = r, .from = from, .action = action, .job = job};
    a->came = loop_now(f->loop);
    a->place.data = a;
    g_queue_push_tail_link(&f->asks, &a->place);
    if (!f->sweep.place)
        timer_start(f->loop, &f->sweep, SWEEP_MS);
    return a;
}

/* ---- submissions ---- */

/* Whether the job can ever run: its team is known, a machine type fits, the limit suffices. */
static bool can_run(struct frontend *f, const struct spec *s)
{
    int team = settings_team(f->settings, s->crew);
    if (team < 0 || !type_smallest(f->view->types, s))
        return false;
    const struct team *t = &g_array_index(f->settings->teams, struct team, team);
    int64_t n = s->form == FORM_ARRAY ? 1 : s->tasks;
    return s->cpus.milli * n <= t->cpus_max.milli && s->gpus.milli * n <= t->gpus_max.milli;
}

/* Whether its record is within what the state service takes, also when it says that the job is
 * cancelled. */
static bool can_store(struct frontend *f, json_object *spec)
{
    json_object *value = job_value(spec, INT64_MAX, true);
    bool fits = value_size(value) <= store_limits(f->store)->value_bytes;
    json_object_put(value);
    return fits;
}

static void submit(struct frontend *f, struct http_replier *r, conn_ref from,
                   const struct http_request *q)
{
    struct spec s;
    json_object *o = json_read(q->body, q->body_len);
    job_id id;
    bool named = codec_id_read(o, &id);
    bool ok = codec_spec_read(o, &s), awaits_ok = ok && codec_awaits_read(o, &s);
    json_object_put(o);
    if (!named) {
        reply_error(r, from, 400, "malformed");
        return;
    }
    if (!ok || !awaits_ok) {
        /* Whoever repeats the submission of an accepted job is told of that job, whatever the body
         * says this time. */
        struct ask *bad = ask_new(f, r, from, ACTION_SUBMIT, id);
        spec_clear(&s);
        if (!bad)
            return;
        bad->refusal = ok ? 422 : 400;
        view_barrier(f->view, ask_step, bad);
        return;
    }
    struct job *known = f->view->ready ? known_job(f, s.id) : NULL;
    struct ask *a = NULL;
    if (!f->view->types && !known)
        reply_error(r, from, 503, "the machine types are not known yet");
    else if (s.n_awaits && !known && !membership_all_understand(f->members))
        reply_error(r, from, 503, "some nodes do not know yet of jobs that await others");
    else
        a = ask_new(f, r, from, ACTION_SUBMIT, s.id);
    if (a) {
        a->spec = codec_spec_write(&s);
        a->tasks = s.tasks;
        a->n_awaits = s.n_awaits;
        a->awaits = g_steal_pointer(&s.awaits);
        if (!known && (!can_run(f, &s) || !can_store(f, a->spec)))
            a->refusal = 422;
        if (known || a->refusal)
            view_barrier(f->view, ask_step, a);
        else
            ask_step(a, true); /* the write tells if it was there */
    }
    spec_clear(&s);
}

/* ---- the rest ---- */

static void get_or_cancel(struct frontend *f, struct http_replier *r, conn_ref from,
                          enum action action, const char *id)
{
    job_id job;
    if (!job_id_from(&job, id)) {
        reply_error(r, from, 404, "no such job");
        return;
    }
    struct job *j = f->view->ready ? known_job(f, job) : NULL;
    if (j && j->state != JOB_LIVE) { /* final: nothing newer can be told */
        reply_job(f, r, from, j);
        return;
    }
    struct ask *a = ask_new(f, r, from, action, job);
    if (!a)
        return;
    if (action == ACTION_CANCEL && j)
        ask_step(a, true); /* the write is conditioned on what is seen here */
    else
        view_barrier(f->view, ask_step, a);
}

/* Ready as long as requests can be answered, by a peer if need be. An outage of the state service
 * that hits all nodes alike is no reason to take them all out, which would only prolong it. */
static bool is_ready(struct frontend *f)
{
    if (!f->view->ready || !f->view->types || peers_alone(f->peers))
        return false;
    mono_time now = loop_now(f->loop), quiet = peers_quiet_until(f->peers);
    return peers_served(f->peers) || (quiet.us && time_ms_since(now, quiet) < STALE_READY_MS / 2) ||
           time_ms_since(now, f->view->fresh) < STALE_READY_MS;
}

static void route_work(struct frontend *f, struct http_replier *r, conn_ref from,
                       const struct http_request *q)
{
    bool post = strcmp(q->method, "POST") == 0, get = strcmp(q->method, "GET") == 0;
    const char *rest = q->path + strlen("/work");
    if (!*rest) {
        if (post)
            submit(f, r, from, q);
        else
            reply_error(r, from, 405, "method not allowed");
        return;
    }
    char *id = g_strdup(rest + 1);
    char *slash = strchr(id, '/');
    if (slash)
        *slash++ = 0;
    if (!slash && get)
        get_or_cancel(f, r, from, ACTION_POLL, id);
    else if (slash && strcmp(slash, "abort") == 0 && post)
        get_or_cancel(f, r, from, ACTION_CANCEL, id);
    else if (!slash || strcmp(slash, "abort") == 0)
        reply_error(r, from, 405, "method not allowed");
    else
        reply_error(r, from, 404, "not found");
    g_free(id);
}

struct relay {
    struct frontend *frontend;
    struct http_replier *replier;
    conn_ref from;
};

static void relay_answered(void *arg, const struct net_answer *a)
{
    struct relay *x = arg;
    x->frontend->waiting--;
    if (a->status > 0)
        reply(x->replier, x->from, a->status, g_strndup(a->body, a->len));
    else
        reply_error(x->replier, x->from, 503, "the state service does not answer");
    g_free(x);
}

static bool is_work(const char *path)
{
    return strcmp(path, "/work") == 0 || g_str_has_prefix(path, "/work/");
}

/* A node of an earlier version would take such a submission for one that needs nothing. */
static bool names_others(const struct http_request *q)
{
    if (strcmp(q->path, "/work") != 0 || !q->body_len)
        return false;
    json_object *o = json_read(q->body, q->body_len), *list = NULL;
    bool any = json_object_is_type(o, json_type_object) &&
               json_object_object_get_ex(o, "Awaits", &list) && list;
    json_object_put(o);
    return any;
}

/* While the state service answers other nodes and not this one, they answer for it. */
static bool hand_on(struct frontend *f, struct http_replier *r, conn_ref from,
                    const struct http_request *q)
{
    const char *peer = peers_served(f->peers);
    if (!peer || !is_work(q->path) || f->waiting >= f->most_waiting ||
        (!membership_all_understand(f->members) && names_others(q)))
        return false;
    struct relay *x = g_new(struct relay, 1);
    *x = (struct relay){f, r, from};
    f->waiting++;
    bus_relay(f->bus, peer, q, RELAY_MS, relay_answered, x);
    return true;
}

static void serve_here(void *ctx, struct http_replier *r, conn_ref from,
                       const struct http_request *q)
{
    struct frontend *f = ctx;
    if (is_work(q->path)) {
        route_work(f, r, from, q);
    } else if (strcmp(q->path, "/agent/beat") == 0) {
        if (strcmp(q->method, "POST") == 0)
            part_report(f->part, r, from, q);
        else
            reply_error(r, from, 405, "method not allowed");
    } else if (strcmp(q->path, "/ready") == 0) {
        if (strcmp(q->method, "GET") != 0)
            reply_error(r, from, 405, "method not allowed");
        else if (is_ready(f))
            reply(r, from, 200, g_strdup("{}"));
        else
            reply_error(r, from, 503, "not ready");
    } else {
        reply_error(r, from, 404, "not found");
    }
}

void frontend_serve(void *ctx, struct http_replier *r, conn_ref from, const struct http_request *q)
{
    if (!hand_on(ctx, r, from, q))
        serve_here(ctx, r, from, q);
}
