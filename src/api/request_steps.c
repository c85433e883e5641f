/**
 * @file
 * The steps of a waiting request. After a read barrier, the state of the replica decides how a
 * poll, a cancellation or a submission proceeds.
 */
#include "api_internal.h"

static void on_key_response(void *context, const struct http_response *response)
{
    struct api_request *request = context;
    struct job job = {.id = request->job_id};
    bool is_final = api_decode_final_job(response, &job);
    if (response->status == HTTP_STATUS_NOT_FOUND) {
        request->is_key_absent = true;
        api_request_step(request, true);
        return;
    }
    if (is_final && !request->is_answered)
        api_reply_job(request->api, request->responder, request->from, &job);
    else
        api_request_refuse(request);
    api_request_free(request);
}

/**
 * Returns whether the key of a job that is not in the replica must be read, as the job may have
 * finished so long ago that it was evicted and only its key is left. A new submission needs no
 * read: its conditional write fails if the key exists.
 */
static bool needs_key(const struct api_request *request)
{
    if (!request->api->replica->has_evicted_jobs || request->is_key_absent)
        return false;
    bool is_new_submission =
        request->action == API_ACTION_SUBMIT && !request->write_attempts && !request->error_status;
    return !is_new_submission;
}

static void read_key(struct api_request *request)
{
    char *key = key_job(request->job_id);
    kv_client_get(request->api->kv, KV_PRIORITY_URGENT, key, API_RESPONSE_TIMEOUT_MS,
                  API_RESPONSE_TIMEOUT_MS, on_key_response, request);
    g_free(key);
}

/**
 * Advances a request for a job that was never accepted, or a new submission, whose conditional
 * write finds out whether it was.
 */
static void step_unknown_job(struct api_request *request)
{
    if (request->action != API_ACTION_SUBMIT) {
        api_reply_error(request->responder, request->from, HTTP_STATUS_NOT_FOUND, "no such job");
    } else if (request->error_status) {
        bool is_malformed = request->error_status == HTTP_STATUS_BAD_REQUEST;
        api_reply_error(request->responder, request->from, request->error_status,
                        is_malformed ? "malformed" : "can never run");
    } else {
        if (api_request_check_dependencies(request))
            api_request_write_job(request, (revision){0}, api_request_encode_job(request));
        return;
    }
    api_request_free(request);
}

/** Advances a request for a job that was accepted. */
static void step_known_job(struct api_request *request, struct job *job)
{
    if (request->action == API_ACTION_CANCEL && job->state == JOB_ACTIVE) {
        api_request_write_cancel(request, job);
        return;
    }
    api_reply_job(request->api, request->responder, request->from, job);
    api_request_free(request);
}

void api_request_step(void *context, bool ok)
{
    struct api_request *request = context;
    struct job *job = api_find_job(request->api, request->job_id);
    if (request->is_answered) {
        api_request_free(request);
    } else if (!ok) {
        api_request_refuse(request);
        api_request_free(request);
    } else if (job) {
        step_known_job(request, job);
    } else if (needs_key(request)) {
        read_key(request);
    } else {
        step_unknown_job(request);
    }
}
