#include "user_jobs.h"

#include <string.h>

static const char *method_of(enum question q)
{
    return q == ASK_POLL ? "GET" : "POST";
}

GPtrArray *user_jobs;        /* struct known */
GHashTable *user_jobs_by_id; /* the same */

struct known *user_job_get(const char *id)
{
    return g_hash_table_lookup(user_jobs_by_id, id);
}

struct known *user_job_add(const char *id, const char *form, int tasks, const char *team,
                           double cpus)
{
    struct known *known = g_new0(struct known, 1);
    g_strlcpy(known->id, id, sizeof known->id);
    g_strlcpy(known->team, team, sizeof known->team);
    known->tasks = tasks;
    known->cpus = cpus;
    known->body = world_job(id, form, tasks, team, cpus, "");
    g_ptr_array_add(user_jobs, known);
    g_hash_table_insert(user_jobs_by_id, known->id, known);
    return known;
}

void user_job_replace_text(struct known *known, const char *what, const char *by)
{
    char *body = world_swapped(known->body, what, by);
    g_free(known->body);
    known->body = body;
}

static void tell(struct known *known, enum local_cancel what, mono_time now)
{
    if (what > known->told) {
        known->told = what;
        known->told_at = now;
    }
}

/* An answer to a user: it may not be older than what any node had told when it was asked for. */
static void hear(struct asked *asked, int status, const char *body)
{
    struct known *known = asked->job;
    asked->status = status;
    if (status == 503)
        return;
    if (status == 404) {
        if (asked->before != TOLD_NOTHING)
            fail_msg("%s is forgotten at node %d", known->id, asked->node);
        return;
    }
    if (status != 200 && status != 201)
        fail_msg("%s: %d %s", known->id, status, body);
    enum local_cancel says = strstr(body, "\"done\"") && strstr(body, "\"Stage\":\"done\"")
                                 ? TOLD_DONE
                             : strstr(body, "\"Stage\":\"cancelled\"") ? TOLD_CANCELLED
                                                                       : TOLD_ACCEPTED;
    if ((asked->before > TOLD_ACCEPTED && says != asked->before) ||
        (known->told > TOLD_ACCEPTED && says > TOLD_ACCEPTED && says != known->told))
        fail_msg("%s was told as %d before, and is %s at node %d", known->id, known->told, body,
                 asked->node);
    if (says == TOLD_DONE && known->ended != (1ULL << known->tasks) - 1)
        fail_msg("%s is called done too early", known->id);
    if (says == TOLD_CANCELLED && !known->cancel_asked)
        fail_msg("%s is called cancelled", known->id);
    if (asked->question == ASK_CANCEL && says == TOLD_ACCEPTED)
        fail_msg("%s: a cancellation got %s", known->id, body);
    tell(known, says, loop_now(asked->world->loop));
}

static void answered(struct http_responder *self, connection_ref to, int status, const char *fields,
                     const char *body, size_t len)
{
    (void)to;
    (void)fields;
    char *text = g_strndup(body, len);
    struct asked *asked = (struct asked *)self;
    rules_answered(asked->world->rules, loop_now(asked->world->loop), asked->since,
                   method_of(asked->question), asked->path,
                   asked->question == ASK_SUBMIT ? asked->job->body : "", status, text);
    hear(asked, status, text);
    g_free(text);
}

struct asked *user_job_request(struct world *world, int node, enum question question,
                               struct known *known)
{
    struct asked *asked = g_new0(struct asked, 1);
    *asked = (struct asked){.replier = {answered},
                            .world = world,
                            .job = known,
                            .question = question,
                            .before = known->told,
                            .node = node,
                            .since = loop_now(world->loop)};
    known->cancel_asked = known->cancel_asked || question == ASK_CANCEL;
    if (!world->nodes[node])
        return asked;
    asked->path = question == ASK_SUBMIT ? g_strdup("/work")
                  : question == ASK_POLL ? g_strconcat("/work/", known->id, NULL)
                                         : g_strconcat("/work/", known->id, "/abort", NULL);
    const char *body = question == ASK_SUBMIT ? known->body : "";
    struct http_request request = {method_of(question), asked->path, "", body, strlen(body), NULL};
    rules_types(world->rules, world->types);
    rules_asked(world->rules, asked->since, request.method, request.path, request.body);
    api_serve(world->nodes[node]->api, &asked->replier, (connection_ref){1}, &request);
    return asked;
}

void user_job_request_all(struct world *world, enum question question, struct known *known)
{
    for (int i = 0; i < world->plan.nodes; i++)
        user_job_request(world, i, question, known);
}
