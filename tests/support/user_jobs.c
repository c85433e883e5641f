#include "user_jobs.h"

#include <string.h>

static const char *method_of(enum user_request_kind data)
{
    return data == REQUEST_POLL ? "GET" : "POST";
}

GPtrArray *user_jobs;        /* struct user_job */
GHashTable *user_jobs_by_id; /* the same jobs by id */

struct user_job *user_job_get(const char *id)
{
    return g_hash_table_lookup(user_jobs_by_id, id);
}

struct user_job *user_job_add(const char *id, const char *form, int tasks, const char *team,
                              double cpus)
{
    struct user_job *job = g_new0(struct user_job, 1);
    g_strlcpy(job->id, id, sizeof job->id);
    g_strlcpy(job->team, team, sizeof job->team);
    job->tasks = tasks;
    job->cpus = cpus;
    job->body = world_format_job(id, form, tasks, team, cpus, "");
    g_ptr_array_add(user_jobs, job);
    g_hash_table_insert(user_jobs_by_id, job->id, job);
    return job;
}

void user_job_replace_in_body(struct user_job *job, const char *what, const char *replacement)
{
    char *body = world_replace_string(job->body, what, replacement);
    g_free(job->body);
    job->body = body;
}

static void update_reported(struct user_job *job, enum reported_state what, mono_time now)
{
    if (what > job->reported) {
        job->reported = what;
        job->reported_at = now;
    }
}

/* Checks a response to a user: it must not be older than what any node had reported when the
 * request was sent. */
static void check_response(struct user_request *user_request, int status, const char *body)
{
    struct user_job *job = user_request->job;
    user_request->status = status;
    if (status == 503)
        return;
    if (status == 404) {
        if (user_request->reported_before != REPORTED_NOTHING)
            fail_msg("%s was accepted, but node %d answers 404", job->id, user_request->node);
        return;
    }
    if (status != 200 && status != 201)
        fail_msg("%s: %d %s", job->id, status, body);
    enum reported_state state = strstr(body, "\"done\"") && strstr(body, "\"Stage\":\"done\"")
                                    ? REPORTED_DONE
                                : strstr(body, "\"Stage\":\"cancelled\"") ? REPORTED_CANCELLED
                                                                          : REPORTED_ACCEPTED;
    if ((user_request->reported_before > REPORTED_ACCEPTED &&
         state != user_request->reported_before) ||
        (job->reported > REPORTED_ACCEPTED && state > REPORTED_ACCEPTED && state != job->reported))
        fail_msg("%s was reported in state %d before, but its answer is %s at node %d", job->id,
                 job->reported, body, user_request->node);
    if (state == REPORTED_DONE && job->completed_tasks != (1ULL << job->tasks) - 1)
        fail_msg("%s is reported as done before all its tasks have completed", job->id);
    if (state == REPORTED_CANCELLED && !job->cancel_requested)
        fail_msg("%s is reported as cancelled, but no user cancelled it", job->id);
    if (user_request->kind == REQUEST_CANCEL && state == REPORTED_ACCEPTED)
        fail_msg("%s: a cancellation was answered with %s", job->id, body);
    update_reported(job, state, loop_now(user_request->world->loop));
}

static void on_response(struct http_responder *self, connection_ref to, int status,
                        const char *fields, const char *body, size_t len)
{
    (void)to;
    (void)fields;
    char *text = g_strndup(body, len);
    struct user_request *user_request = (struct user_request *)self;
    rules_user_request_answered(
        user_request->world->rules, loop_now(user_request->world->loop), user_request->sent_at,
        method_of(user_request->kind), user_request->path,
        user_request->kind == REQUEST_SUBMIT ? user_request->job->body : "", status, text);
    check_response(user_request, status, text);
    g_free(text);
}

struct user_request *user_job_send_request(struct world *world, int node,
                                           enum user_request_kind kind, struct user_job *job)
{
    struct user_request *user_request = g_new0(struct user_request, 1);
    *user_request = (struct user_request){.responder = {on_response},
                                          .world = world,
                                          .job = job,
                                          .kind = kind,
                                          .reported_before = job->reported,
                                          .node = node,
                                          .sent_at = loop_now(world->loop)};
    job->cancel_requested = job->cancel_requested || kind == REQUEST_CANCEL;
    if (!world->nodes[node])
        return user_request;
    user_request->path = kind == REQUEST_SUBMIT ? g_strdup("/work")
                         : kind == REQUEST_POLL ? g_strconcat("/work/", job->id, NULL)
                                                : g_strconcat("/work/", job->id, "/abort", NULL);
    const char *body = kind == REQUEST_SUBMIT ? job->body : "";
    struct http_request request = {
        method_of(kind), user_request->path, "", body, strlen(body), NULL};
    rules_set_machine_types(world->rules, world->machine_types);
    rules_user_request_sent(world->rules, user_request->sent_at, request.method, request.path,
                            request.body);
    api_serve(world->nodes[node]->api, &user_request->responder, (connection_ref){1}, &request);
    return user_request;
}

void user_job_send_request_to_all(struct world *world, enum user_request_kind kind,
                                  struct user_job *job)
{
    for (int i = 0; i < world->config.node_count; i++)
        user_job_send_request(world, i, kind, job);
}
