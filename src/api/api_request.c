#include "api_internal.h"
#include "kv_codec.h"
#include "log.h"

enum {
    WRITE_ROUNDS = 4, /* tries of a conditional write before the user is told to come back */
    SWEEP_MS = 50,
};

static void ask_answered(struct ask *ask)
{
    if (!ask->answered)
        g_queue_unlink(&ask->frontend->asks, &ask->place);
    ask->answered = true;
}

void request_refuse(struct ask *ask)
{
    if (!ask->answered)
        frontend_reply_error(ask->replier, ask->from, 503, "the state service does not answer");
    ask_answered(ask);
}

void request_end(struct ask *ask)
{
    ask_answered(ask);
    ask->frontend->waiting--;
    json_object_put(ask->spec);
    g_free(ask->awaits);
    g_free(ask);
}

/* What cannot be told in time gets its answer while it is still of use, and at once when the state
 * service answers nobody here. */
void frontend_sweep(void *arg)
{
    struct frontend *frontend = arg;
    mono_time now = loop_now(frontend->loop);
    bool troubled = store_troubled(frontend->store);
    struct ask *ask;
    while ((ask = g_queue_peek_head(&frontend->asks)) &&
           (troubled || time_ms_since(now, ask->came) > ANSWER_MS))
        request_refuse(ask);
    if (frontend->asks.head)
        timer_start(frontend->loop, &frontend->sweep, SWEEP_MS);
}

/* The other nodes know of the cancellation, too. */
static void cancel_announced(void *arg)
{
    struct ask *ask = arg;
    if (!ask->answered)
        frontend_reply(ask->replier, ask->from, 200,
                       codec_job_answer(ask->job, "cancelled", -1, 0));
    request_end(ask);
}

static void written(void *arg, const struct txn_outcome *outcome)
{
    struct ask *ask = arg;
    struct frontend *frontend = ask->frontend;
    if (ask->action == ACTION_CANCEL) {
        /* Its user may hear of it from now on, from whichever node. */
        peers_cancel_over(frontend->peers, ask->job, outcome);
    }
    if (ask->answered) {
        request_end(ask); /* its user asks again */
    } else if (outcome->result == TXN_DONE) {
        /* It is on record, so this may be said from now on. */
        LOG_DEBUG("answered", "job=%s action=%d", ask->job.s, ask->action);
        if (ask->action == ACTION_CANCEL) {
            peers_announce_cancel(frontend->peers, ask->job, outcome->at, cancel_announced, ask);
            return;
        }
        frontend_reply(
            ask->replier, ask->from, 201,
            codec_job_answer(ask->job, ask->upstream_cancelled ? "cancelled" : "queued", -1, 0));
        request_end(ask);
    } else if (outcome->result == TXN_CONFLICT && ++ask->rounds < WRITE_ROUNDS) {
        view_await(frontend->view, outcome->at, request_step, ask);
    } else if (outcome->result == TXN_UNKNOWN && ++ask->rounds < WRITE_ROUNDS) {
        view_barrier(frontend->view, request_step, ask);
    } else {
        request_refuse(ask);
        request_end(ask);
    }
}

json_object *request_job_value(json_object *spec, int64_t submitted_ms, bool cancelled)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "t", (uint64_t)submitted_ms);
    json_object_object_add(object, "w", json_object_get(spec));
    if (cancelled)
        json_object_object_add(object, "c", json_object_new_boolean(true));
    return object;
}

void request_write_job(struct ask *ask, revision stamp, json_object *value)
{
    struct txn *txn = txn_new();
    char *key = key_job(ask->job);
    txn_when(txn, key, stamp);
    txn_set(txn, key, value, (lease_id){0});
    g_free(key);
    store_txn(ask->frontend->store, LANE_URGENT, txn, written, ask);
}

/* Whether the key that was read is of a job that is over, and what became of it. */
bool request_answer_is_final(const struct net_answer *answer, struct job *job)
{
    json_object *object = answer->status > 0 ? json_read(answer->body, answer->len) : NULL, *value;
    bool over = answer->status == 200 && codec_state_read_key(object, &value, &job->stamp) &&
                job_read_final(job, value);
    job->cancelled_at = job->stamp;
    json_object_put(object);
    return over;
}

static void key_answered(void *arg, const struct net_answer *answer)
{
    struct ask *ask = arg;
    struct job job = {.id = ask->job};
    bool over = request_answer_is_final(answer, &job);
    if (answer->status == 404) {
        ask->read = true;
        request_step(ask, true);
        return;
    }
    if (over && !ask->answered)
        frontend_reply_job(ask->frontend, ask->replier, ask->from, &job);
    else
        request_refuse(ask);
    request_end(ask);
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
void request_step(void *arg, bool ok)
{
    struct ask *ask = arg;
    struct frontend *frontend = ask->frontend;
    struct job *job = frontend_known_job(frontend, ask->job);
    if (ask->answered) {
        request_end(ask);
        return;
    }
    if (ok && !job && read_key(ask))
        return;
    if (!ok) {
        request_refuse(ask);
    } else if (ask->action == ACTION_SUBMIT && !job && ask->refusal) {
        frontend_reply_error(ask->replier, ask->from, ask->refusal,
                             ask->refusal == 400 ? "malformed" : "can never run");
    } else if (ask->action == ACTION_SUBMIT && !job) {
        if (request_awaits_known(ask))
            request_write_job(ask, (revision){0}, request_new_value(ask));
        return;
    } else if (!job) {
        frontend_reply_error(ask->replier, ask->from, 404, "no such job");
    } else if (ask->action == ACTION_CANCEL && job->state == JOB_LIVE) {
        request_write_cancel(ask, job);
        return;
    } else {
        frontend_reply_job(frontend, ask->replier, ask->from, job);
    }
    request_end(ask);
}

struct ask *request_new(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                        enum action action, job_id job)
{
    const char *why = !frontend->view->ready            ? "starting"
                      : store_troubled(frontend->store) ? "the state service does not answer"
                      : frontend->waiting >= frontend->most_waiting ? "too many requests at once"
                                                                    : NULL;
    if (why) {
        frontend_reply_error(replier, from, 503, why);
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
