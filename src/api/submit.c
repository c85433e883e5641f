/**
 * @file
 * Submissions of jobs. They are validated, then written on the condition that no job with the same
 * id exists.
 */
#include "api_internal.h"
#include "resources.h"

/**
 * Returns whether the job can ever run: its team is known, a machine type fits its tasks, and the
 * team's limit suffices.
 */
static bool can_ever_run(struct api *api, const struct job_spec *spec)
{
    int team = settings_find_team(api->settings, spec->team_name);
    if (team < 0 || !machine_type_smallest_fit(api->replica->machine_types, spec))
        return false;
    const struct team *limits = &g_array_index(api->settings->teams, struct team, team);
    int64_t concurrent_tasks = spec->form == FORM_ARRAY ? 1 : spec->task_count;
    return spec->cpus.milli * concurrent_tasks <= limits->cpus_max.milli &&
           spec->gpus.milli * concurrent_tasks <= limits->gpus_max.milli;
}

/**
 * Returns whether the job's record is within the size limit of the key-value store, both now and
 * after a cancellation is written to it.
 */
static bool can_store(struct api *api, json_object *spec)
{
    json_object *value = api_encode_nonfinal_job(spec, INT64_MAX, true);
    bool fits = kv_value_size_bytes(value) <= kv_client_limits(api->kv)->max_value_bytes;
    json_object_put(value);
    return fits;
}

/**
 * Answers an invalid submission with the error, unless a job with the same id was accepted before.
 * In that case the response is the status of that job, as for any repeated submission.
 */
static void reject_unless_known(struct api *api, struct http_responder *responder,
                                connection_ref from, job_id id, int error_status)
{
    struct api_request *request = api_request_new(api, responder, from, API_ACTION_SUBMIT, id);
    if (!request)
        return;
    request->error_status = error_status;
    replica_read_barrier(api->replica, api_request_step, request);
}

/** Returns why a valid submission cannot be accepted now, or NULL if it can. */
static const char *get_refusal_reason(struct api *api, const struct job_spec *spec)
{
    if (!api->replica->machine_types)
        return "the machine types are not known yet";
    if (spec->dependency_count &&
        !membership_all_nodes_support(api->membership, NODE_VERSION_JOB_DAG))
        return "some nodes do not know yet of jobs that await others";
    return NULL;
}

/** Starts a valid submission. Takes ownership of the dependencies in `spec`. */
static void submit_valid(struct api *api, struct http_responder *responder, connection_ref from,
                         struct job_spec *spec)
{
    bool is_known = api->replica->is_ready && api_find_job(api, spec->id);
    const char *refusal = is_known ? NULL : get_refusal_reason(api, spec);
    if (refusal) {
        api_reply_error(responder, from, HTTP_STATUS_UNAVAILABLE, refusal);
        return;
    }
    struct api_request *request =
        api_request_new(api, responder, from, API_ACTION_SUBMIT, spec->id);
    if (!request)
        return;
    request->job_spec = job_spec_encode(spec);
    request->task_count = spec->task_count;
    request->dependency_count = spec->dependency_count;
    request->dependencies = g_steal_pointer(&spec->dependencies);
    if (!is_known && (!can_ever_run(api, spec) || !can_store(api, request->job_spec)))
        request->error_status = HTTP_STATUS_UNPROCESSABLE;
    if (is_known || request->error_status)
        replica_read_barrier(api->replica, api_request_step, request);
    else
        api_request_step(request, true); /* the conditional write finds out if the job exists */
}

void api_submit(struct api *api, struct http_responder *responder, connection_ref from,
                const struct http_request *http_request)
{
    struct job_spec spec;
    job_id id;
    json_object *object = json_parse(http_request->body, http_request->body_bytes);
    bool has_id = job_spec_decode_id(object, &id);
    bool is_well_formed = job_spec_decode(object, &spec);
    bool is_valid = is_well_formed && job_spec_decode_dependencies(object, &spec);
    json_object_put(object);
    if (!has_id)
        api_reply_error(responder, from, HTTP_STATUS_BAD_REQUEST, "malformed");
    else if (!is_valid)
        reject_unless_known(api, responder, from, id,
                            is_well_formed ? HTTP_STATUS_UNPROCESSABLE : HTTP_STATUS_BAD_REQUEST);
    else
        submit_valid(api, responder, from, &spec);
    job_spec_clear(&spec);
}
