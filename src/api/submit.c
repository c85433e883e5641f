#include "api_internal.h"
#include "resources.h"

static void await_answered(void *arg, const struct net_answer *answer)
{
    struct ask *ask = arg;
    struct job job = {0};
    bool over = request_answer_is_final(answer, &job);
    if (over) {
        ask->upstream_cancelled = ask->upstream_cancelled || job.state == JOB_CANCELLED;
        ask->checked++;
        request_step(ask, true);
        return;
    }
    if (ask->answered)
        ;
    else if (answer->status == 404)
        frontend_reply_error(ask->replier, ask->from, 422, "needs a job that was never accepted");
    else /* it cannot be read now, or is not over and will be in the view in a moment */
        request_refuse(ask);
    request_end(ask);
}

/* Whether all jobs that it needs were accepted; if not, or not known yet, the request is settled by
 * this or goes on later. A job that was accepted stays so: what the view shows needs no barrier.
 * One that the view does not show was never accepted, or has been over for long. */
bool request_awaits_known(struct ask *ask)
{
    struct frontend *frontend = ask->frontend;
    for (; ask->checked < ask->n_awaits; ask->checked++) {
        job_id id = ask->awaits[ask->checked];
        struct job *job = frontend_known_job(frontend, id);
        if (job) {
            ask->upstream_cancelled = ask->upstream_cancelled || job->state == JOB_CANCELLED;
            continue;
        }
        if (!ask->behind) {
            ask->behind = true;
            view_barrier(frontend->view, request_step, ask);
        } else if (frontend->view->forgot) {
            char *key = key_job(id);
            store_read(frontend->store, LANE_URGENT, key, ANSWER_MS, ANSWER_MS, await_answered,
                       ask);
            g_free(key);
        } else {
            frontend_reply_error(ask->replier, ask->from, 422,
                                 "needs a job that was never accepted");
            request_end(ask);
        }
        return false;
    }
    return true;
}

/* Jobs that are done are needed no more: they are not kept with the new one, so that nobody has to
 * remember them for its sake. One that needs a cancelled job is accepted, and is over at once. */
json_object *request_new_value(struct ask *ask)
{
    struct frontend *frontend = ask->frontend;
    if (ask->upstream_cancelled)
        return job_final_value(JOB_CANCELLED, ask->tasks, loop_wall(frontend->loop));
    json_object *spec = NULL, *left = json_object_new_array();
    for (guint i = 0; i < ask->n_awaits; i++) {
        struct job *job = frontend_known_job(frontend, ask->awaits[i]);
        if (job && job->state != JOB_DONE)
            json_object_array_add(left, json_object_new_string(job->id.s));
    }
    json_object_deep_copy(ask->spec, &spec, NULL);
    json_object_object_add(spec, "Awaits", left);
    if (!json_object_array_length(left))
        json_object_object_del(spec, "Awaits");
    json_object *value = request_job_value(spec, loop_wall(frontend->loop).ms, false);
    json_object_put(spec);
    return value;
}

/* Whether the job can ever run: its team is known, a machine type fits, the limit suffices. */
static bool can_run(struct frontend *frontend, const struct spec *spec)
{
    int team = settings_team(frontend->settings, spec->team_name);
    if (team < 0 || !type_smallest(frontend->view->types, spec))
        return false;
    const struct team *t = &g_array_index(frontend->settings->teams, struct team, team);
    int64_t n = spec->form == FORM_ARRAY ? 1 : spec->tasks;
    return spec->cpus.milli * n <= t->cpus_max.milli && spec->gpus.milli * n <= t->gpus_max.milli;
}

/* Whether its record is within what the state service takes, also when it says that the job is
 * cancelled. */
static bool can_store(struct frontend *frontend, json_object *spec)
{
    json_object *value = request_job_value(spec, INT64_MAX, true);
    bool fits = value_size(value) <= store_limits(frontend->store)->value_bytes;
    json_object_put(value);
    return fits;
}

void frontend_submit(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                     const struct http_request *request)
{
    struct spec spec;
    json_object *object = json_read(request->body, request->body_len);
    job_id id;
    bool named = codec_id_read(object, &id);
    bool ok = codec_spec_read(object, &spec), awaits_ok = ok && codec_awaits_read(object, &spec);
    json_object_put(object);
    if (!named) {
        frontend_reply_error(replier, from, 400, "malformed");
        return;
    }
    if (!ok || !awaits_ok) {
        /* Whoever repeats the submission of an accepted job is told of that job, whatever the body
         * says this time. */
        struct ask *bad = request_new(frontend, replier, from, ACTION_SUBMIT, id);
        spec_clear(&spec);
        if (!bad)
            return;
        bad->refusal = ok ? 422 : 400;
        view_barrier(frontend->view, request_step, bad);
        return;
    }
    struct job *known = frontend->view->ready ? frontend_known_job(frontend, spec.id) : NULL;
    struct ask *ask = NULL;
    if (!frontend->view->types && !known)
        frontend_reply_error(replier, from, 503, "the machine types are not known yet");
    else if (spec.n_awaits && !known &&
             !membership_all_understand(frontend->members, NODE_VERSION_PIPELINES))
        frontend_reply_error(replier, from, 503,
                             "some nodes do not know yet of jobs that await others");
    else
        ask = request_new(frontend, replier, from, ACTION_SUBMIT, spec.id);
    if (ask) {
        ask->spec = codec_spec_write(&spec);
        ask->tasks = spec.tasks;
        ask->n_awaits = spec.n_awaits;
        ask->awaits = g_steal_pointer(&spec.awaits);
        if (!known && (!can_run(frontend, &spec) || !can_store(frontend, ask->spec)))
            ask->refusal = 422;
        if (known || ask->refusal)
            view_barrier(frontend->view, request_step, ask);
        else
            request_step(ask, true); /* the write tells if it was there */
    }
    spec_clear(&spec);
}
