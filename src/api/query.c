#include "api_internal.h"

void api_poll_or_cancel(struct api *api, struct http_responder *responder, connection_ref from,
                        enum api_action action, const char *id)
{
    job_id job;
    if (!job_id_parse(&job, id)) {
        api_reply_error(responder, from, 404, "no such job");
        return;
    }
    struct job *job_record = api->replica->is_ready ? api_find_job(api, job) : NULL;
    if (job_record && job_record->state != JOB_ACTIVE) { /* final: nothing newer can be told */
        api_reply_job(api, responder, from, job_record);
        return;
    }
    struct api_request *request = api_request_new(api, responder, from, action, job);
    if (!request)
        return;
    if (action == API_ACTION_CANCEL && job_record)
        api_request_step(request, true); /* the write is conditioned on what is seen here */
    else
        replica_read_barrier(api->replica, api_request_step, request);
}
