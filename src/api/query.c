/**
 * @file
 * Polls and cancellations.
 */
#include "api_internal.h"

void api_poll_or_cancel(struct api *api, struct http_responder *responder, connection_ref from,
                        enum api_action action, const char *id_string)
{
    job_id id;
    if (!job_id_parse(&id, id_string)) {
        api_reply_error(responder, from, HTTP_STATUS_NOT_FOUND, "no such job");
        return;
    }
    struct job *known_job = api->replica->is_ready ? api_find_job(api, id) : NULL;
    if (known_job && known_job->state != JOB_ACTIVE) { /* a finished job never changes */
        api_reply_job(api, responder, from, known_job);
        return;
    }
    struct api_request *request = api_request_new(api, responder, from, action, id);
    if (!request)
        return;
    if (action == API_ACTION_CANCEL && known_job)
        api_request_step(request, true); /* the write depends on the revision in the replica */
    else
        replica_read_barrier(api->replica, api_request_step, request);
}
