/**
 * @file
 * The check that all jobs that a submission depends on were accepted.
 */
#include "api_internal.h"

static void reply_never_accepted(struct api_request *request)
{
    api_reply_error(request->responder, request->from, HTTP_STATUS_UNPROCESSABLE,
                    "needs a job that was never accepted");
}

static void on_dependency_response(void *context, const struct http_response *response)
{
    struct api_request *request = context;
    struct job job = {0};
    if (api_decode_final_job(response, &job)) {
        request->is_upstream_cancelled =
            request->is_upstream_cancelled || job.state == JOB_CANCELLED;
        request->dependencies_checked++;
        request->api->resume(request, true);
        return;
    }
    if (!request->is_answered && response->status == HTTP_STATUS_NOT_FOUND)
        reply_never_accepted(request);
    else if (!request->is_answered) /* unreadable, or an active job that the replica lacks yet */
        api_request_refuse(request);
    api_request_free(request);
}

static void read_dependency(struct api_request *request, job_id id)
{
    char *key = key_job(id);
    kv_client_get(request->api->kv, KV_PRIORITY_URGENT, key, API_RESPONSE_TIMEOUT_MS,
                  API_RESPONSE_TIMEOUT_MS, on_dependency_response, request);
    g_free(key);
}

/**
 * Handles a dependency that is not in the replica. After a read barrier this means that the job was
 * never accepted, or finished so long ago that it was evicted and only its key is left.
 */
static void resolve_missing_dependency(struct api_request *request, job_id id)
{
    struct api *api = request->api;
    if (!request->has_passed_read_barrier) {
        request->has_passed_read_barrier = true;
        replica_read_barrier(api->replica, api->resume, request);
    } else if (api->replica->has_evicted_jobs) {
        read_dependency(request, id);
    } else {
        reply_never_accepted(request);
        api_request_free(request);
    }
}

/** A job stays accepted forever, so a job found in the replica needs no read barrier. */
bool api_request_check_dependencies(struct api_request *request)
{
    while (request->dependencies_checked < request->dependency_count) {
        job_id id = request->dependencies[request->dependencies_checked];
        const struct job *job = api_find_job(request->api, id);
        if (!job) {
            resolve_missing_dependency(request, id);
            return false;
        }
        request->is_upstream_cancelled =
            request->is_upstream_cancelled || job->state == JOB_CANCELLED;
        request->dependencies_checked++;
    }
    return true;
}

/** Leaves out dependencies that are done, so that no node has to keep them for the new job. */
json_object *api_request_encode_job(struct api_request *request)
{
    struct api *api = request->api;
    wall_time now = loop_wall_time(api->loop);
    if (request->is_upstream_cancelled)
        return job_encode_final(JOB_CANCELLED, request->task_count, now);
    json_object *spec = NULL, *pending = json_object_new_array();
    for (guint i = 0; i < request->dependency_count; i++) {
        const struct job *job = api_find_job(api, request->dependencies[i]);
        if (job && job->state != JOB_DONE)
            json_object_array_add(pending, json_object_new_string(job->id.text));
    }
    json_object_deep_copy(request->job_spec, &spec, NULL);
    job_spec_put_dependencies(spec, pending);
    json_object *value = api_encode_nonfinal_job(spec, now.ms, false);
    json_object_put(spec);
    return value;
}
