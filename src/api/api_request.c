#include "api_internal.h"
#include "kv_codec.h"
#include "log.h"

enum {
    MAX_WRITE_ATTEMPTS = 4, /* tries of a conditional write before the user is told to come back */
    SWEEP_MS = 50,
};

static void mark_answered(struct api_request *request)
{
    if (!request->is_answered)
        g_queue_unlink(&request->api->unanswered, &request->link);
    request->is_answered = true;
}

void api_request_refuse(struct api_request *request)
{
    if (!request->is_answered)
        api_reply_error(request->replier, request->from, 503, "the state service does not answer");
    mark_answered(request);
}

void api_request_free(struct api_request *request)
{
    mark_answered(request);
    request->api->waiting_count--;
    json_object_put(request->job_spec);
    g_free(request->depends_on);
    g_free(request);
}

/* What cannot be told in time gets its answer while it is still of use, and at once when the state
 * service answers nobody here. */
void api_expire_requests(void *arg)
{
    struct api *api = arg;
    mono_time now = loop_now(api->loop);
    bool troubled = kv_client_is_unavailable(api->kv);
    struct api_request *request;
    while ((request = g_queue_peek_head(&api->unanswered)) &&
           (troubled || time_ms_since(now, request->received_at) > ANSWER_MS))
        api_request_refuse(request);
    if (api->unanswered.head)
        timer_start(api->loop, &api->timeout_timer, SWEEP_MS);
}

/* The other nodes know of the cancellation, too. */
static void on_cancel_announced(void *arg)
{
    struct api_request *request = arg;
    if (!request->is_answered)
        api_reply(request->replier, request->from, 200,
                  job_status_encode(request->job, "cancelled", -1, 0));
    api_request_free(request);
}

static void on_job_written(void *arg, const struct txn_outcome *outcome)
{
    struct api_request *request = arg;
    struct api *api = request->api;
    if (request->action == API_ACTION_CANCEL) {
        /* Its user may hear of it from now on, from whichever node. */
        cancel_broadcast_finish(api->cancel_broadcast, request->job, outcome);
    }
    if (request->is_answered) {
        api_request_free(request); /* its user asks again */
    } else if (outcome->status == TXN_COMMITTED) {
        /* It is on record, so this may be said from now on. */
        LOG_DEBUG("answered", "job=%s action=%d", request->job.text, request->action);
        if (request->action == API_ACTION_CANCEL) {
            cancel_broadcast_announce(api->cancel_broadcast, request->job, outcome->at_revision,
                                      on_cancel_announced, request);
            return;
        }
        api_reply(request->replier, request->from, 201,
                  job_status_encode(request->job,
                                    request->upstream_cancelled ? "cancelled" : "queued", -1, 0));
        api_request_free(request);
    } else if (outcome->status == TXN_CONFLICT && ++request->write_attempts < MAX_WRITE_ATTEMPTS) {
        replica_await_revision(api->replica, outcome->at_revision, api_request_step, request);
    } else if (outcome->status == TXN_UNKNOWN && ++request->write_attempts < MAX_WRITE_ATTEMPTS) {
        replica_read_barrier(api->replica, api_request_step, request);
    } else {
        api_request_refuse(request);
        api_request_free(request);
    }
}

json_object *api_encode_live_job(json_object *spec, int64_t submitted_ms, bool cancelled)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "t", (uint64_t)submitted_ms);
    json_object_object_add(object, "w", json_object_get(spec));
    if (cancelled)
        json_object_object_add(object, "c", json_object_new_boolean(true));
    return object;
}

void api_request_write_job(struct api_request *request, revision mod_revision, json_object *value)
{
    struct txn *txn = txn_new();
    char *key = key_job(request->job);
    txn_compare(txn, key, mod_revision);
    txn_put(txn, key, value, (lease_id){0});
    g_free(key);
    kv_client_commit(request->api->kv, KV_LANE_URGENT, txn, on_job_written, request);
}

/* Whether the key that was read is of a job that is over, and what became of it. */
bool api_decode_final_job(const struct http_response *response, struct job *job)
{
    json_object *object =
                    response->status > 0 ? json_parse(response->body, response->body_bytes) : NULL,
                *value;
    bool over = response->status == 200 && kv_decode_value(object, &value, &job->mod_revision) &&
                job_decode_final(job, value);
    job->cancelled_at = job->mod_revision;
    json_object_put(object);
    return over;
}

static void on_key_response(void *arg, const struct http_response *response)
{
    struct api_request *request = arg;
    struct job job = {.id = request->job};
    bool over = api_decode_final_job(response, &job);
    if (response->status == 404) {
        request->key_is_absent = true;
        api_request_step(request, true);
        return;
    }
    if (over && !request->is_answered)
        api_reply_job(request->api, request->replier, request->from, &job);
    else
        api_request_refuse(request);
    api_request_free(request);
}

/* A job that the view does not hold may have been over for so long that it is not kept in memory. A
 * submission that is new is found out by its write, without reading. */
static bool read_key(struct api_request *request)
{
    struct api *api = request->api;
    if (!api->replica->has_evicted_jobs || request->key_is_absent ||
        (request->action == API_ACTION_SUBMIT && !request->write_attempts &&
         !request->error_status))
        return false;
    char *key = key_job(request->job);
    kv_client_get(api->kv, KV_LANE_URGENT, key, ANSWER_MS, ANSWER_MS, on_key_response, request);
    g_free(key);
    return true;
}

/* The view is now at a moment after the request came: what it shows may be told. */
void api_request_step(void *arg, bool ok)
{
    struct api_request *request = arg;
    struct api *api = request->api;
    struct job *job = api_find_job(api, request->job);
    if (request->is_answered) {
        api_request_free(request);
        return;
    }
    if (ok && !job && read_key(request))
        return;
    if (!ok) {
        api_request_refuse(request);
    } else if (request->action == API_ACTION_SUBMIT && !job && request->error_status) {
        api_reply_error(request->replier, request->from, request->error_status,
                        request->error_status == 400 ? "malformed" : "can never run");
    } else if (request->action == API_ACTION_SUBMIT && !job) {
        if (api_request_check_dependencies(request))
            api_request_write_job(request, (revision){0}, api_request_encode_job(request));
        return;
    } else if (!job) {
        api_reply_error(request->replier, request->from, 404, "no such job");
    } else if (request->action == API_ACTION_CANCEL && job->state == JOB_ACTIVE) {
        api_request_write_cancel(request, job);
        return;
    } else {
        api_reply_job(api, request->replier, request->from, job);
    }
    api_request_free(request);
}

struct api_request *api_request_new(struct api *api, struct http_responder *responder,
                                    connection_ref from, enum api_action action, job_id job)
{
    const char *why = !api->replica->is_ready                  ? "starting"
                      : kv_client_is_unavailable(api->kv)      ? "the state service does not answer"
                      : api->waiting_count >= api->max_waiting ? "too many requests at once"
                                                               : NULL;
    if (why) {
        api_reply_error(responder, from, 503, why);
        return NULL;
    }
    api->waiting_count++;
    struct api_request *request = g_new0(struct api_request, 1);
    *request = (struct api_request){
        .api = api, .replier = responder, .from = from, .action = action, .job = job};
    request->received_at = loop_now(api->loop);
    request->link.data = request;
    g_queue_push_tail_link(&api->unanswered, &request->link);
    if (!api->timeout_timer.queue_position)
        timer_start(api->loop, &api->timeout_timer, SWEEP_MS);
    return request;
}
