#include "api_internal.h"

void frontend_reply(struct http_replier *replier, conn_ref to, int status, char *text)
{
    replier->reply(replier, to, status, status == 503 ? "Retry-After: 1\r\n" : NULL, text,
                   strlen(text));
    g_free(text);
}

void frontend_reply_error(struct http_replier *replier, conn_ref to, int status, const char *error)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "error", error);
    frontend_reply(replier, to, status,
                   g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN)));
    json_object_put(object);
}

static const char *stage_of(const struct job *job)
{
    if (job->state == JOB_DONE)
        return "done";
    if (job->state == JOB_CANCELLED)
        return "cancelled";
    return job->placed ? "running" : "queued";
}

static char *job_text(const struct job *job)
{
    return codec_job_answer(job->id, stage_of(job), job->n_done,
                            job->placed ? (long)g_hash_table_size(job->placed) : 0);
}

void frontend_reply_job(struct frontend *frontend, struct http_replier *replier, conn_ref to,
                        const struct job *job)
{
    if (job->state == JOB_CANCELLED)
        peers_told_cancel(frontend->peers, job->id, job->cancelled_at);
    frontend_reply(replier, to, 200, job_text(job));
}

struct job *frontend_known_job(struct frontend *frontend, job_id id)
{
    struct job *job = view_job(frontend->view, id.s);
    return job && job->known ? job : NULL;
}
