#include "api_internal.h"

void frontend_get_or_cancel(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                            enum action action, const char *id)
{
    job_id job;
    if (!job_id_from(&job, id)) {
        frontend_reply_error(replier, from, 404, "no such job");
        return;
    }
    struct job *j = frontend->view->ready ? frontend_known_job(frontend, job) : NULL;
    if (j && j->state != JOB_LIVE) { /* final: nothing newer can be told */
        frontend_reply_job(frontend, replier, from, j);
        return;
    }
    struct ask *ask = request_new(frontend, replier, from, action, job);
    if (!ask)
        return;
    if (action == ACTION_CANCEL && j)
        request_step(ask, true); /* the write is conditioned on what is seen here */
    else
        view_barrier(frontend->view, request_step, ask);
}
