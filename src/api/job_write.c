/**
 * @file
 * Writes of a job's key: the record of a new job, or of its cancellation.
 *
 * A submission or a cancellation is confirmed to its user only after its conditional write was
 * committed (docs/safety.md).
 */
#include "api_internal.h"
#include "kv_codec.h"
#include "log.h"
#include "stored_fields.h"

/** The number of attempts at a conditional write before the request is refused with 503. */
enum { MAX_WRITE_ATTEMPTS = 4 };

json_object *api_encode_nonfinal_job(json_object *spec, int64_t submitted_ms, bool is_cancelled)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, JOB_FIELD_SUBMITTED_MS, (uint64_t)submitted_ms);
    json_object_object_add(object, JOB_FIELD_SPEC, json_object_get(spec));
    if (is_cancelled)
        json_object_object_add(object, JOB_FIELD_IS_CANCELLED, json_object_new_boolean(true));
    return object;
}

bool api_decode_final_job(const struct http_response *response, struct job *job)
{
    json_object *object = NULL, *value;
    if (response->status > 0)
        object = json_parse(response->body, response->body_bytes);
    bool is_final = response->status == HTTP_STATUS_OK &&
                    kv_decode_value(object, &value, &job->mod_revision) &&
                    job_decode_final(job, value);
    job->cancel_revision = job->mod_revision;
    json_object_put(object);
    return is_final;
}

/** Called once all nodes know of the cancellation, so that it may be confirmed to its user. */
static void on_cancel_announced(void *context)
{
    struct api_request *request = context;
    if (!request->is_answered)
        api_reply(request->responder, request->from, HTTP_STATUS_OK,
                  job_status_encode(request->job_id, JOB_STAGE_CANCELLED, -1, 0));
    api_request_free(request);
}

static void on_committed(struct api_request *request, revision at_revision)
{
    LOG_DEBUG("answered", "job=%s action=%d", request->job_id.text, request->action);
    if (request->action == API_ACTION_CANCEL) {
        cancel_broadcast_announce(request->api->cancel_broadcast, request->job_id, at_revision,
                                  on_cancel_announced, request);
        return;
    }
    enum job_stage stage = request->is_upstream_cancelled ? JOB_STAGE_CANCELLED : JOB_STAGE_QUEUED;
    api_reply(request->responder, request->from, HTTP_STATUS_CREATED,
              job_status_encode(request->job_id, stage, -1, 0));
    api_request_free(request);
}

/** Resumes a request whose write is not known to be committed, or refuses it. */
static void retry_or_refuse(struct api_request *request, const struct txn_outcome *outcome)
{
    struct api *api = request->api;
    bool may_retry = (outcome->status == TXN_CONFLICT || outcome->status == TXN_UNKNOWN) &&
                     ++request->write_attempts < MAX_WRITE_ATTEMPTS;
    if (!may_retry) {
        api_request_refuse(request);
        api_request_free(request);
    } else if (outcome->status == TXN_CONFLICT) {
        replica_await_revision(api->replica, outcome->at_revision, api->resume, request);
    } else { /* the write may have been committed; after a barrier the replica shows whether */
        replica_read_barrier(api->replica, api->resume, request);
    }
}

static void on_job_written(void *context, const struct txn_outcome *outcome)
{
    struct api_request *request = context;
    if (request->action == API_ACTION_CANCEL)
        cancel_broadcast_finish_txn(request->api->cancel_broadcast, request->job_id, outcome);
    if (request->is_answered)
        api_request_free(request); /* the 503 response asked the user to repeat the request */
    else if (outcome->status == TXN_COMMITTED)
        on_committed(request, outcome->at_revision);
    else
        retry_or_refuse(request, outcome);
}

void api_request_write_job(struct api_request *request, revision mod_revision, json_object *value)
{
    struct txn *txn = txn_new();
    char *key = key_job(request->job_id);
    txn_compare(txn, key, mod_revision);
    txn_put(txn, key, value, (lease_id){0});
    g_free(key);
    kv_client_commit(request->api->kv, KV_PRIORITY_URGENT, txn, on_job_written, request);
}

/** Returns the value of the key of a cancelled job without a final state. */
static json_object *encode_cancelled_job(const struct job_spec *spec, int64_t submitted_ms)
{
    json_object *spec_object = job_spec_encode(spec);
    json_object *value = api_encode_nonfinal_job(spec_object, submitted_ms, true);
    json_object_put(spec_object);
    return value;
}

/**
 * Returns the value of a cancelled job's key, at most `max_bytes` long. The resources of the job
 * must stay known until its tasks have ended. If the job was stored when larger values were
 * allowed, the other fields are left out, as no task of the job will start again.
 */
static json_object *encode_cancelled_job_within_limit(const struct job *job, size_t max_bytes)
{
    json_object *value = encode_cancelled_job(job->spec, job->submitted_at.ms);
    if (kv_value_size_bytes(value) <= max_bytes)
        return value;
    json_object_put(value);
    struct job_spec short_spec = *job->spec;
    short_spec.job_class = short_spec.image = "-";
    short_spec.machine_type_names = NULL;
    short_spec.zone = NULL;
    short_spec.dependency_count = 0;
    return encode_cancelled_job(&short_spec, job->submitted_at.ms);
}

void api_request_write_cancel(struct api_request *request, const struct job *job)
{
    size_t max_bytes = kv_client_limits(request->api->kv)->max_value_bytes;
    json_object *value = encode_cancelled_job_within_limit(job, max_bytes);
    cancel_broadcast_begin_txn(request->api->cancel_broadcast, request->job_id);
    api_request_write_job(request, job->mod_revision, value);
}
