/**
 * @file
 * Responses to users.
 */
#include "api_internal.h"

void api_reply(struct http_responder *responder, connection_ref to, int status, char *body)
{
    responder->respond(responder, to, status,
                       status == HTTP_STATUS_UNAVAILABLE ? "Retry-After: 1\r\n" : NULL, body,
                       strlen(body));
    g_free(body);
}

void api_reply_error(struct http_responder *responder, connection_ref to, int status,
                     const char *error)
{
    json_object *object = json_object_new_object();
    json_put_string(object, "error", error);
    api_reply(responder, to, status,
              g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN)));
    json_object_put(object);
}

static enum job_stage get_stage(const struct job *job)
{
    if (job->state == JOB_DONE)
        return JOB_STAGE_DONE;
    if (job->state == JOB_CANCELLED)
        return JOB_STAGE_CANCELLED;
    return job->run_records ? JOB_STAGE_RUNNING : JOB_STAGE_QUEUED;
}

static char *encode_job_status(const struct job *job)
{
    return job_status_encode(job->id, get_stage(job), job->completed_count,
                             job->run_records ? (long)g_hash_table_size(job->run_records) : 0);
}

void api_reply_job(struct api *api, struct http_responder *responder, connection_ref to,
                   const struct job *job)
{
    if (job->state == JOB_CANCELLED)
        cancel_broadcast_confirm(api->cancel_broadcast, job->id, job->cancel_revision);
    struct decision_basis basis =
        replica_get_decision_basis(api->replica, api->replica->shard_map_epoch.value);
    decision_log_record(DECISION_RESPONSE, &basis, "job=%s stage=%d", job->id.text,
                        (int)get_stage(job));
    api_reply(responder, to, HTTP_STATUS_OK, encode_job_status(job));
}

struct job *api_find_job(struct api *api, job_id id)
{
    struct job *job = replica_get_job(api->replica, id.text);
    return job && job->is_loaded ? job : NULL;
}
