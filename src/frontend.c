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
    struct shard *shard;
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
    bool behind;             /* the view was past a barrier since it came */
    bool upstream_cancelled; /* one of them is cancelled */
    int refusal;             /* the status that it gets, were it not known already; 0: none */
    bool read;               /* its key was read, and is not there */
    int rounds;
};

static void serve_here(void *ctx, struct http_replier *replier, conn_ref from,
                       const struct http_request *request);
static void sweep(void *arg);

struct frontend *frontend_new(const struct node *node)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    *frontend = (struct frontend){.loop = node->loop,
                                  .store = node->store,
                                  .view = node->view,
                                  .settings = node->settings,
                                  .shard = node->shard,
                                  .bus = node->bus,
                                  .peers = node->peers,
                                  .members = node->members,
                                  .most_waiting = MAX(FEW_WAITING, node->settings->fd_limit / 4)};
    g_queue_init(&frontend->asks);
    timer_init(&frontend->sweep, sweep, frontend);
    bus_on_relay(node->bus, serve_here, frontend);
    return frontend;
}

void frontend_free(struct frontend *frontend)
{
    timer_stop(frontend->loop, &frontend->sweep);
    g_free(frontend);
}

static void reply(struct http_replier *replier, conn_ref to, int status, char *text)
{
    replier->reply(replier, to, status, status == 503 ? "Retry-After: 1\r\n" : NULL, text,
                   strlen(text));
    g_free(text);
}

static void reply_error(struct http_replier *replier, conn_ref to, int status, const char *error)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "error", error);
    reply(replier, to, status,
          g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN)));
    json_object_put(object);
}

static void ask_answered(struct ask *ask)
{
    if (!ask->answered)
        g_queue_unlink(&ask->frontend->asks, &ask->place);
    ask->answered = true;
}

static void ask_refuse(struct ask *ask)
{
    if (!ask->answered)
        reply_error(ask->replier, ask->from, 503, "the state service does not answer");
    ask_answered(ask);
}

static void ask_end(struct ask *ask)
{
    ask_answered(ask);
    ask->frontend->waiting--;
    json_object_put(ask->spec);
    g_free(ask->awaits);
    g_free(ask);
}

/* What cannot be told in time gets its answer while it is still of use, and at once when the state
 * service answers nobody here. */
static void sweep(void *arg)
{
    struct frontend *frontend = arg;
    mono_time now = loop_now(frontend->loop);
    bool troubled = store_troubled(frontend->store);
    struct ask *ask;
    while ((ask = g_queue_peek_head(&frontend->asks)) &&
           (troubled || time_ms_since(now, ask->came) > ANSWER_MS))
        ask_refuse(ask);
    if (frontend->asks.head)
        timer_start(frontend->loop, &frontend->sweep, SWEEP_MS);
}

static const char *stage_of(const struct job *job)
{
    if (job->state == JOB_DONE)
        return "done";
    if (job->state == JOB_CANCELLED)
        return "cancelled";
    return job->placed ? "running" : "queued";
}

static char *job_text(const struct job *job)
{
    return codec_job_answer(job->id, stage_of(job), job->n_done,
                            job->placed ? (long)g_hash_table_size(job->placed) : 0);
}

static void reply_job(struct frontend *frontend, struct http_replier *replier, conn_ref to,
                      const struct job *job)
{
    if (job->state == JOB_CANCELLED)
        peers_told_cancel(frontend->peers, job->id, job->cancelled_at);
    reply(replier, to, 200, job_text(job));
}

static struct job *known_job(struct frontend *frontend, job_id id)
{
    struct job *job = view_job(frontend->view, id.s);
    return job && job->known ? job : NULL;
}

static void ask_step(void *arg, bool ok);

/* The other nodes know of the cancellation, too. */
static void cancel_announced(void *arg)
{
    struct ask *ask = arg;
    if (!ask->answered)
        reply(ask->replier, ask->from, 200, codec_job_answer(ask->job, "cancelled", -1, 0));
    ask_end(ask);
}

static void written(void *arg, const struct txn_outcome *outcome)
{
    struct ask *ask = arg;
    struct frontend *frontend = ask->frontend;
    if (ask->action == ACTION_CANCEL) {
        /* Its user may hear of it from now on, from whichever node. */
        if (outcome->result == TXN_DONE)
            peers_told_cancel(frontend->peers, ask->job, outcome->at);
        peers_cancel_over(frontend->peers, ask->job, outcome->result);
    }
    if (ask->answered) {
        ask_end(ask); /* its user asks again */
    } else if (outcome->result == TXN_DONE) {
        /* It is on record, so this may be said from now on. */
        LOG_DEBUG("answered", "job=%s action=%d", ask->job.s, ask->action);
        if (ask->action == ACTION_CANCEL) {
            peers_announce_cancel(frontend->peers, ask->job, outcome->at, cancel_announced, ask);
            return;
        }
        reply(ask->replier, ask->from, 201,
              codec_job_answer(ask->job, ask->upstream_cancelled ? "cancelled" : "queued", -1, 0));
        ask_end(ask);
    } else if (outcome->result == TXN_CONFLICT && ++ask->rounds < WRITE_ROUNDS) {
        view_await(frontend->view, outcome->at, ask_step, ask);
    } else if (outcome->result == TXN_UNKNOWN && ++ask->rounds < WRITE_ROUNDS) {
        view_barrier(frontend->view, ask_step, ask);
    } else {
        ask_refuse(ask);
        ask_end(ask);
    }
}

static json_object *job_value(json_object *spec, int64_t submitted_ms, bool cancelled)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "t", (uint64_t)submitted_ms);
    json_object_object_add(object, "w", json_object_get(spec));
    if (cancelled)
        json_object_object_add(object, "c", json_object_new_boolean(true));
    return object;
}

static void write_job(struct ask *ask, revision stamp, json_object *value)
{
    struct txn *txn = txn_new();
    char *key = key_job(ask->job);
    txn_when(txn, key, stamp);
    txn_set(txn, key, value, (lease_id){0});
    g_free(key);
    store_txn(ask->frontend->store, LANE_URGENT, txn, written, ask);
}

/* What a cancelled job's tasks take has to stay known until they are gone, but no more than that:
 * of a job that was stored when more was allowed the rest is left out, as nothing of it starts
 * again.
 */
static void write_cancel(struct ask *ask, struct job *job)
{
    json_object *spec = codec_spec_write(job->spec);
    json_object *value = job_value(spec, job->submitted.ms, true);
    json_object_put(spec);
    if (value_size(value) > store_limits(ask->frontend->store)->value_bytes) {
        struct spec s = *job->spec;
        s.job_class = s.image = "-";
        s.type_names = NULL;
        s.zone = NULL;
        s.n_awaits = 0;
        json_object_put(value);
        spec = codec_spec_write(&s);
        value = job_value(spec, job->submitted.ms, true);
        json_object_put(spec);
    }
    peers_cancel_sent(ask->frontend->peers, ask->job);
    write_job(ask, job->stamp, value);
}

/* ---- what a job needs ---- */

/* Whether the key that was read is of a job that is over, and what became of it. */
static bool answer_is_final(const struct net_answer *answer, struct job *job)
{
    json_object *object = answer->status > 0 ? json_read(answer->body, answer->len) : NULL,
                *v = NULL;
    json_object_object_get_ex(object, "V", &v);
    bool over =
        answer->status == 200 && json_u64(object, "Stamp", &job->stamp.v) && job_read_final(job, v);
    job->cancelled_at = job->stamp;
    json_object_put(object);
    return over;
}

static void await_answered(void *arg, const struct net_answer *answer)
{
    struct ask *ask = arg;
    struct job job = {0};
    bool over = answer_is_final(answer, &job);
    if (over) {
        ask->upstream_cancelled = ask->upstream_cancelled || job.state == JOB_CANCELLED;
        ask->checked++;
        ask_step(ask, true);
        return;
    }
    if (ask->answered)
        ;
    else if (answer->status == 404)
        reply_error(ask->replier, ask->from, 422, "needs a job that was never accepted");
    else /* it cannot be read now, or is not over and will be in the view in a moment */
        ask_refuse(ask);
    ask_end(ask);
}

/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. A job that was accepted stays so: what the view shows needs no barrier.
 * One that the view does not show was never accepted, or has been over for long. */
static bool awaits_known(struct ask *ask)
{
    struct frontend *frontend = ask->frontend;
    for (; ask->checked < ask->n_awaits; ask->checked++) {
        job_id id = ask->awaits[ask->checked];
        struct job *job = known_job(frontend, id);
        if (job) {
            ask->upstream_cancelled = ask->upstream_cancelled || job->state == JOB_CANCELLED;
            continue;
        }
        if (!ask->behind) {
            ask->behind = true;
            view_barrier(frontend->view, ask_step, ask);
        } else if (frontend->view->forgot) {
            char *key = key_job(id);
            store_read(frontend->store, LANE_URGENT, key, ANSWER_MS, ANSWER_MS, await_answered,
                       ask);
            g_free(key);
        } else {
            reply_error(ask->replier, ask->from, 422, "needs a job that was never accepted");
            ask_end(ask);
        }
        return false;
    }
    return true;
}

/* Jobs that are done are needed no more: they are not kept with the new one, so that nobody has to
 * remember them for its sake. One that needs a cancelled job is accepted, and is over at once. */
static json_object *new_value(struct ask *ask)
{
    struct frontend *frontend = ask->frontend;
    if (ask->upstream_cancelled)
        return job_final_value(JOB_CANCELLED, ask->tasks, loop_wall(frontend->loop));
    json_object *spec = NULL, *left = json_object_new_array();
    for (guint i = 0; i < ask->n_awaits; i++) {
        struct job *job = known_job(frontend, ask->awaits[i]);
        if (job && job->state != JOB_DONE)
            json_object_array_add(left, json_object_new_string(job->id.s));
    }
    json_object_deep_copy(ask->spec, &spec, NULL);
    json_object_object_add(spec, "Awaits", left);
    if (!json_object_array_length(left))
        json_object_object_del(spec, "Awaits");
    json_object *value = job_value(spec, loop_wall(frontend->loop).ms, false);
    json_object_put(spec);
    return value;
}

static void key_answered(void *arg, const struct net_answer *answer)
{
    struct ask *ask = arg;
    struct job job = {.id = ask->job};
    bool over = answer_is_final(answer, &job);
    if (answer->status == 404) {
        ask->read = true;
        ask_step(ask, true);
        return;
    }
    if (over && !ask->answered)
        reply_job(ask->frontend, ask->replier, ask->from, &job);
    else
        ask_refuse(ask);
    ask_end(ask);
}

/* A job that the view does not hold may have been over for so long that it is not kept in memory. A
 * submission that is new is found out by its write, without reading. */
static bool read_key(struct ask *ask)
{
    struct frontend *frontend = ask->frontend;
    if (!frontend->view->forgot || ask->read ||
        (ask->action == ACTION_SUBMIT && !ask->rounds && !ask->refusal))
        return false;
    char *key = key_job(ask->job);
    store_read(frontend->store, LANE_URGENT, key, ANSWER_MS, ANSWER_MS, key_answered, ask);
    g_free(key);
    return true;
}

/* The view is now at a moment after the request came: what it shows may be told. */
static void ask_step(void *arg, bool ok)
{
    struct ask *ask = arg;
    struct frontend *frontend = ask->frontend;
    struct job *job = known_job(frontend, ask->job);
    if (ask->answered) {
        ask_end(ask);
        return;
    }
    if (ok && !job && read_key(ask))
        return;
    if (!ok) {
        ask_refuse(ask);
    } else if (ask->action == ACTION_SUBMIT && !job && ask->refusal) {
        reply_error(ask->replier, ask->from, ask->refusal,
                    ask->refusal == 400 ? "malformed" : "can never run");
    } else if (ask->action == ACTION_SUBMIT && !job) {
        if (awaits_known(ask))
            write_job(ask, (revision){0}, new_value(ask));
        return;
    } else if (!job) {
        reply_error(ask->replier, ask->from, 404, "no such job");
    } else if (ask->action == ACTION_CANCEL && job->state == JOB_LIVE) {
        write_cancel(ask, job);
        return;
    } else {
        reply_job(frontend, ask->replier, ask->from, job);
    }
    ask_end(ask);
}

static struct ask *ask_new(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                           enum action action, job_id job)
{
    const char *why = !frontend->view->ready            ? "starting"
                      : store_troubled(frontend->store) ? "the state service does not answer"
                      : frontend->waiting >= frontend->most_waiting ? "too many requests at once"
                                                                    : NULL;
    if (why) {
        reply_error(replier, from, 503, why);
        return NULL;
    }
    frontend->waiting++;
    struct ask *ask = g_new0(struct ask, 1);
    *ask = (struct ask){
        .frontend = frontend, .replier = replier, .from = from, .action = action, .job = job};
    ask->came = loop_now(frontend->loop);
    ask->place.data = ask;
    g_queue_push_tail_link(&frontend->asks, &ask->place);
    if (!frontend->sweep.place)
        timer_start(frontend->loop, &frontend->sweep, SWEEP_MS);
    return ask;
}

/* ---- submissions ---- */

/* Whether the job can ever run: its team is known, a machine type fits, the limit suffices. */
static bool can_run(struct frontend *frontend, const struct spec *spec)
{
    int team = settings_team(frontend->settings, spec->team_name);
    if (team < 0 || !type_smallest(frontend->view->types, spec))
        return false;
    const struct team *t = &g_array_index(frontend->settings->teams, struct team, team);
    int64_t n = spec->form == FORM_ARRAY ? 1 : spec->tasks;
    return spec->cpus.milli * n <= t->cpus_max.milli && spec->gpus.milli * n <= t->gpus_max.milli;
}

/* Whether its record is within what the state service takes, also when it says that the job is
 * cancelled. */
static bool can_store(struct frontend *frontend, json_object *spec)
{
    json_object *value = job_value(spec, INT64_MAX, true);
    bool fits = value_size(value) <= store_limits(frontend->store)->value_bytes;
    json_object_put(value);
    return fits;
}

static void submit(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                   const struct http_request *request)
{
    struct spec spec;
    json_object *object = json_read(request->body, request->body_len);
    job_id id;
    bool named = codec_id_read(object, &id);
    bool ok = codec_spec_read(object, &spec), awaits_ok = ok && codec_awaits_read(object, &spec);
    json_object_put(object);
    if (!named) {
        reply_error(replier, from, 400, "malformed");
        return;
    }
    if (!ok || !awaits_ok) {
        /* Whoever repeats the submission of an accepted job is told of that job, whatever the body
         * says this time. */
        struct ask *bad = ask_new(frontend, replier, from, ACTION_SUBMIT, id);
        spec_clear(&spec);
        if (!bad)
            return;
        bad->refusal = ok ? 422 : 400;
        view_barrier(frontend->view, ask_step, bad);
        return;
    }
    struct job *known = frontend->view->ready ? known_job(frontend, spec.id) : NULL;
    struct ask *ask = NULL;
    if (!frontend->view->types && !known)
        reply_error(replier, from, 503, "the machine types are not known yet");
    else if (spec.n_awaits && !known && !membership_all_understand(frontend->members))
        reply_error(replier, from, 503, "some nodes do not know yet of jobs that await others");
    else
        ask = ask_new(frontend, replier, from, ACTION_SUBMIT, spec.id);
    if (ask) {
        ask->spec = codec_spec_write(&spec);
        ask->tasks = spec.tasks;
        ask->n_awaits = spec.n_awaits;
        ask->awaits = g_steal_pointer(&spec.awaits);
        if (!known && (!can_run(frontend, &spec) || !can_store(frontend, ask->spec)))
            ask->refusal = 422;
        if (known || ask->refusal)
            view_barrier(frontend->view, ask_step, ask);
        else
            ask_step(ask, true); /* the write tells if it was there */
    }
    spec_clear(&spec);
}

/* ---- the rest ---- */

static void get_or_cancel(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                          enum action action, const char *id)
{
    job_id job;
    if (!job_id_from(&job, id)) {
        reply_error(replier, from, 404, "no such job");
        return;
    }
    struct job *j = frontend->view->ready ? known_job(frontend, job) : NULL;
    if (j && j->state != JOB_LIVE) { /* final: nothing newer can be told */
        reply_job(frontend, replier, from, j);
        return;
    }
    struct ask *ask = ask_new(frontend, replier, from, action, job);
    if (!ask)
        return;
    if (action == ACTION_CANCEL && j)
        ask_step(ask, true); /* the write is conditioned on what is seen here */
    else
        view_barrier(frontend->view, ask_step, ask);
}

/* Ready as long as requests can be answered, by a peer if need be. An outage of the state service
 * that hits all nodes alike is no reason to take them all out, which would only prolong it. */
static bool is_ready(struct frontend *frontend)
{
    if (!frontend->view->ready || !frontend->view->types || peers_alone(frontend->peers))
        return false;
    mono_time now = loop_now(frontend->loop), quiet = peers_quiet_until(frontend->peers);
    return peers_served(frontend->peers) ||
           (quiet.us && time_ms_since(now, quiet) < STALE_READY_MS / 2) ||
           time_ms_since(now, frontend->view->fresh) < STALE_READY_MS;
}

static void route_work(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                       const struct http_request *request)
{
    bool post = strcmp(request->method, "POST") == 0, get = strcmp(request->method, "GET") == 0;
    const char *rest = request->path + strlen("/work");
    if (!*rest) {
        if (post)
            submit(frontend, replier, from, request);
        else
            reply_error(replier, from, 405, "method not allowed");
        return;
    }
    char *id = g_strdup(rest + 1);
    char *slash = strchr(id, '/');
    if (slash)
        *slash++ = 0;
    if (!slash && get)
        get_or_cancel(frontend, replier, from, ACTION_POLL, id);
    else if (slash && strcmp(slash, "abort") == 0 && post)
        get_or_cancel(frontend, replier, from, ACTION_CANCEL, id);
    else if (!slash || strcmp(slash, "abort") == 0)
        reply_error(replier, from, 405, "method not allowed");
    else
        reply_error(replier, from, 404, "not found");
    g_free(id);
}

struct relay {
    struct frontend *frontend;
    struct http_replier *replier;
    conn_ref from;
};

static void relay_answered(void *arg, const struct net_answer *answer)
{
    struct relay *relay = arg;
    relay->frontend->waiting--;
    if (answer->status > 0)
        reply(relay->replier, relay->from, answer->status, g_strndup(answer->body, answer->len));
    else
        reply_error(relay->replier, relay->from, 503, "the state service does not answer");
    g_free(relay);
}

static bool is_work(const char *path)
{
    return strcmp(path, "/work") == 0 || g_str_has_prefix(path, "/work/");
}

/* A node of an earlier version would take such a submission for one that needs nothing. */
static bool names_others(const struct http_request *request)
{
    if (strcmp(request->path, "/work") != 0 || !request->body_len)
        return false;
    json_object *object = json_read(request->body, request->body_len), *list = NULL;
    bool any = json_object_is_type(object, json_type_object) &&
               json_object_object_get_ex(object, "Awaits", &list) && list;
    json_object_put(object);
    return any;
}

/* While the state service answers other nodes and not this one, they answer for it. */
static bool hand_on(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                    const struct http_request *request)
{
    const char *peer = peers_served(frontend->peers);
    if (!peer || !is_work(request->path) || frontend->waiting >= frontend->most_waiting ||
        (!membership_all_understand(frontend->members) && names_others(request)))
        return false;
    struct relay *relay = g_new(struct relay, 1);
    *relay = (struct relay){frontend, replier, from};
    frontend->waiting++;
    bus_relay(frontend->bus, peer, request, RELAY_MS, relay_answered, relay);
    return true;
}

static void serve_here(void *ctx, struct http_replier *replier, conn_ref from,
                       const struct http_request *request)
{
    struct frontend *frontend = ctx;
    if (is_work(request->path)) {
        route_work(frontend, replier, from, request);
    } else if (strcmp(request->path, "/agent/beat") == 0) {
        if (strcmp(request->method, "POST") == 0)
            shard_report(frontend->shard, replier, from, request);
        else
            reply_error(replier, from, 405, "method not allowed");
    } else if (strcmp(request->path, "/ready") == 0) {
        if (strcmp(request->method, "GET") != 0)
            reply_error(replier, from, 405, "method not allowed");
        else if (is_ready(frontend))
            reply(replier, from, 200, g_strdup("{}"));
        else
            reply_error(replier, from, 503, "not ready");
    } else {
        reply_error(replier, from, 404, "not found");
    }
}

void frontend_serve(void *ctx, struct http_replier *replier, conn_ref from,
                    const struct http_request *request)
{
    if (!hand_on(ctx, replier, from, request))
        serve_here(ctx, replier, from, request);
}
