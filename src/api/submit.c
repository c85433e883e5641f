#include "api_internal.h"
#include "resources.h"

static void on_dependency_response(void *arg, const struct http_response *response)
{
    struct api_request *request = arg;
    struct job job = {0};
    bool over = api_decode_final_job(response, &job);
    if (over) {
        request->upstream_cancelled = request->upstream_cancelled || job.state == JOB_CANCELLED;
        request->depends_on_checked++;
        api_request_step(request, true);
        return;
    }
    if (request->is_answered)
        ;
    else if (response->status == 404)
        api_reply_error(request->replier, request->from, 422,
                        "needs a job that was never accepted");
    else /* it cannot be read now, or is not over and will be in the view in a moment */
        api_request_refuse(request);
    api_request_free(request);
}

/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. A job that was accepted stays so: what the view shows needs no barrier.
 * One that the view does not show was never accepted, or has been over for long. */
bool api_request_check_dependencies(struct api_request *request)
{
    struct api *api = request->api;
    for (; request->depends_on_checked < request->depends_on_count; request->depends_on_checked++) {
        job_id id = request->depends_on[request->depends_on_checked];
        struct job *job = api_find_job(api, id);
        if (job) {
            request->upstream_cancelled =
                request->upstream_cancelled || job->state == JOB_CANCELLED;
            continue;
        }
        if (!request->passed_barrier) {
            request->passed_barrier = true;
            replica_read_barrier(api->replica, api_request_step, request);
        } else if (api->replica->has_evicted_jobs) {
            char *key = key_job(id);
            kv_client_get(api->kv, KV_LANE_URGENT, key, ANSWER_MS, ANSWER_MS,
                          on_dependency_response, request);
            g_free(key);
        } else {
            api_reply_error(request->replier, request->from, 422,
                            "needs a job that was never accepted");
            api_request_free(request);
        }
        return false;
    }
    return true;
}

/* Jobs that are done are needed no more: they are not kept with the new one, so that nobody has to
 * remember them for its sake. One that needs a cancelled job is accepted, and is over at once. */
json_object *api_request_encode_job(struct api_request *request)
{
    struct api *api = request->api;
    if (request->upstream_cancelled)
        return job_encode_final(JOB_CANCELLED, request->task_count, loop_wall_time(api->loop));
    json_object *spec = NULL, *left = json_object_new_array();
    for (guint i = 0; i < request->depends_on_count; i++) {
        struct job *job = api_find_job(api, request->depends_on[i]);
        if (job && job->state != JOB_DONE)
            json_object_array_add(left, json_object_new_string(job->id.text));
    }
    json_object_deep_copy(request->job_spec, &spec, NULL);
    json_object_object_add(spec, "Awaits", left);
    if (!json_object_array_length(left))
        json_object_object_del(spec, "Awaits");
    json_object *value = api_encode_live_job(spec, loop_wall_time(api->loop).ms, false);
    json_object_put(spec);
    return value;
}

/* Whether the job can ever run: its team is known, a machine type fits, the limit suffices. */
static bool can_run(struct api *api, const struct job_spec *spec)
{
    int team = settings_find_team(api->settings, spec->team_name);
    if (team < 0 || !machine_type_smallest_fit(api->replica->machine_types, spec))
        return false;
    const struct team *limits = &g_array_index(api->settings->teams, struct team, team);
    int64_t concurrent_tasks = spec->form == FORM_ARRAY ? 1 : spec->task_count;
    return spec->cpus.milli * concurrent_tasks <= limits->cpus_max.milli &&
           spec->gpus.milli * concurrent_tasks <= limits->gpus_max.milli;
}

/* Whether its record is within what the state service takes, also when it says that the job is
 * cancelled. */
static bool can_store(struct api *api, json_object *spec)
{
    json_object *value = api_encode_live_job(spec, INT64_MAX, true);
    bool fits = kv_value_size_bytes(value) <= kv_client_limits(api->kv)->max_value_bytes;
    json_object_put(value);
    return fits;
}

void api_submit(struct api *api, struct http_responder *responder, connection_ref from,
                const struct http_request *http_request)
{
    struct job_spec spec;
    json_object *object = json_parse(http_request->body, http_request->body_bytes);
    job_id id;
    bool has_id = job_spec_decode_id(object, &id);
    bool ok = job_spec_decode(object, &spec),
         dependencies_ok = ok && job_spec_decode_dependencies(object, &spec);
    json_object_put(object);
    if (!has_id) {
        api_reply_error(responder, from, 400, "malformed");
        return;
    }
    if (!ok || !dependencies_ok) {
        /* Whoever repeats the submission of an accepted job is told of that job, whatever the body
         * says this time. */
        struct api_request *bad = api_request_new(api, responder, from, API_ACTION_SUBMIT, id);
        job_spec_clear(&spec);
        if (!bad)
            return;
        bad->error_status = ok ? 422 : 400;
        replica_read_barrier(api->replica, api_request_step, bad);
        return;
    }
    struct job *known = api->replica->is_ready ? api_find_job(api, spec.id) : NULL;
    struct api_request *request = NULL;
    if (!api->replica->machine_types && !known)
        api_reply_error(responder, from, 503, "the machine types are not known yet");
    else if (spec.dependency_count && !known &&
             !membership_all_nodes_support(api->membership, NODE_VERSION_JOB_DAG))
        api_reply_error(responder, from, 503,
                        "some nodes do not know yet of jobs that await others");
    else
        request = api_request_new(api, responder, from, API_ACTION_SUBMIT, spec.id);
    if (request) {
        request->job_spec = job_spec_encode(&spec);
        request->task_count = spec.task_count;
        request->depends_on_count = spec.dependency_count;
        request->depends_on = g_steal_pointer(&spec.dependencies);
        if (!known && (!can_run(api, &spec) || !can_store(api, request->job_spec)))
            request->error_status = 422;
        if (known || request->error_status)
            replica_read_barrier(api->replica, api_request_step, request);
        else
            api_request_step(request, true); /* the write tells if it was there */
    }
    job_spec_clear(&spec);
}
