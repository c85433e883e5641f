/**
 * @file
 * Checks that the jobs that a submission depends on were accepted, that is, that their keys were
 * written. Also encodes the value of the new job's key, which depends on their states.
 */
#include "api_internal.h"

/** Sends the 422 response. The caller frees the request. */
static void reply_dependency_never_accepted(struct api_request *request)
{
    api_reply_error(request->responder, request->from, HTTP_STATUS_UNPROCESSABLE,
                    "needs a job that was never accepted");
}

static void on_dependency_key_response(void *context, const struct http_response *response)
{
    struct api_request *request = context;
    struct job dependency = {0};
    if (api_decode_final_job(response, &dependency)) {
        request->is_upstream_cancelled =
            request->is_upstream_cancelled || dependency.state == JOB_CANCELLED;
        request->dependencies_checked++;
        request->api->resume(request, true);
        return;
    }
    if (!request->is_answered && response->status == HTTP_STATUS_NOT_FOUND)
        reply_dependency_never_accepted(request);
    else if (!request->is_answered) /* no usable response, or an active job not yet replicated */
        api_request_refuse(request);
    api_request_free(request);
}

static void read_dependency_key(struct api_request *request, job_id id)
{
    char *key = key_job(id);
    kv_client_get(request->api->kv, KV_PRIORITY_URGENT, key, API_RESPONSE_TIMEOUT_MS,
                  API_RESPONSE_TIMEOUT_MS, on_dependency_key_response, request);
    g_free(key);
}

/**
 * Continues the check with a dependency that is not in the replica, and either resumes the request
 * later, or answers and frees it. Before a read barrier the replica may be stale. After it, the job
 * was never accepted, or it finished so long ago that it was evicted and only its key is left.
 */
static void resolve_missing_dependency(struct api_request *request, job_id id)
{
    struct api *api = request->api;
    if (!request->has_passed_read_barrier) {
        request->has_passed_read_barrier = true;
        replica_read_barrier(api->replica, api->resume, request);
    } else if (api->replica->has_evicted_jobs) {
        read_dependency_key(request, id);
    } else {
        reply_dependency_never_accepted(request);
        api_request_free(request);
    }
}

/**
 * A dependency that is in the replica counts at once, even if the replica is stale: a job that was
 * accepted stays accepted. Only a missing one needs a read barrier. A resumed check continues with
 * the first dependency that is not yet checked.
 */
bool api_request_check_dependencies(struct api_request *request)
{
    while (request->dependencies_checked < request->dependency_count) {
        job_id id = request->dependencies[request->dependencies_checked];
        const struct job *dependency = api_find_job(request->api, id);
        if (!dependency) {
            resolve_missing_dependency(request, id);
            return false;
        }
        request->is_upstream_cancelled =
            request->is_upstream_cancelled || dependency->state == JOB_CANCELLED;
        request->dependencies_checked++;
    }
    return true;
}

/**
 * Leaves out dependencies that are done, so that no node has to track them in its DAG for the new
 * job. A checked dependency that is not in the replica was evicted. It counts as done, as a
 * cancelled one would have set `is_upstream_cancelled` in the check.
 */
json_object *api_request_encode_job(struct api_request *request)
{
    struct api *api = request->api;
    wall_time now = loop_wall_time(api->loop);
    if (request->is_upstream_cancelled)
        return job_encode_final(JOB_CANCELLED, request->task_count, now);
    json_object *stored_spec = NULL, *unfinished_ids = json_object_new_array();
    for (guint i = 0; i < request->dependency_count; i++) {
        const struct job *dependency = api_find_job(api, request->dependencies[i]);
        if (dependency && dependency->state != JOB_DONE)
            json_object_array_add(unfinished_ids, json_object_new_string(dependency->id.text));
    }
    /* A copy, as a retry of the write encodes the submitted specification again. */
    json_object_deep_copy(request->job_spec, &stored_spec, NULL);
    job_spec_put_dependencies(stored_spec, unfinished_ids);
    json_object *value = api_encode_nonfinal_job(stored_spec, now.ms, false);
    json_object_put(stored_spec);
    return value;
}
