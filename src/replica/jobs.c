#include "log.h"
#include "replica_internal.h"

void view_job_free(gpointer p)
{
    struct job *job = p;
    if (job->spec) {
        spec_clear(job->spec);
        g_free(job->spec);
    }
    if (job->done)
        g_byte_array_unref(job->done);
    if (job->placed)
        g_hash_table_unref(job->placed);
    g_free(job);
}

struct placed *job_placed(const struct job *job, uint32_t index)
{
    return job->placed ? g_hash_table_lookup(job->placed, GUINT_TO_POINTER(index + 1)) : NULL;
}

bool job_task_done(const struct job *job, uint32_t index)
{
    return job->done && index / 8 < job->done->len &&
           (job->done->data[index / 8] >> (index % 8) & 1);
}

struct job *view_job_make(struct view *view, const char *id)
{
    struct job *job = view_job(view, id);
    if (job)
        return job;
    job_id jid;
    if (!job_id_from(&jid, id))
        return NULL;
    job = g_new0(struct job, 1);
    job->id = jid;
    g_hash_table_insert(view->jobs, job->id.s, job);
    return job;
}

static void job_drop_spec(struct job *job)
{
    if (job->spec) {
        spec_clear(job->spec);
        g_free(job->spec);
    }
    job->spec = NULL;
    if (job->done)
        g_byte_array_unref(job->done);
    job->done = NULL;
}

bool job_read_final(struct job *job, json_object *value)
{
    const char *final;
    uint64_t n = 0;
    if (!json_text(value, "f", &final))
        return false;
    json_u64(value, "n", &n);
    job->state = strcmp(final, "done") == 0 ? JOB_DONE : JOB_CANCELLED;
    job->tasks = (uint32_t)n;
    job->n_done = job->state == JOB_DONE ? job->tasks : 0;
    uint64_t ended = 0;
    json_u64(value, "e", &ended);
    job->ended.ms = (int64_t)ended;
    return true;
}

json_object *job_final_value(enum job_state final, uint32_t tasks, wall_time ended)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "f", final == JOB_DONE ? "done" : "cancelled");
    json_put_u64(object, "n", tasks);
    json_put_u64(object, "e", (uint64_t)ended.ms);
    return object;
}

void view_pipeline_changed(void *ctx, const char *id, const struct pipe_facts *facts)
{
    struct view *view = ctx;
    struct job *job = view_job(view, id);
    if (!job || !job->spec)
        return;
    job->waits = facts->open > 0;
    job->since.ms = MAX(job->submitted.ms, facts->ready.ms);
    job->urgency = facts->urgency;
    job->due = facts->due;
    if (facts->upstream_cancelled && job->state == JOB_LIVE) {
        /* That is a fact from the moment when the other one was cancelled, without any write. */
        job->upstream_cancelled = true;
        job->state = JOB_CANCELLED;
        job->cancelled_at = facts->upstream_cancelled_at;
    }
    view_note_change(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
}

static struct pipe_own own_of(const struct job *job)
{
    const struct spec *spec = job->spec;
    return (struct pipe_own){
        .urgency = (int)spec->urgency,
        .due = spec->due_s >= 0 ? (wall_time){job->submitted.ms + (int64_t)(spec->due_s * 1000)}
                                : NEVER,
        .run_ms = (int64_t)(spec->expected_s * 1000)};
}

static void pipeline_tell(struct view *view, const struct job *job)
{
    if (job->state == JOB_DONE) {
        pipeline_done(view->pipeline, job->id, job->ended);
    } else if (job->state == JOB_CANCELLED) {
        pipeline_cancelled(view->pipeline, job->id, job->cancelled_at);
    } else if (job->spec) {
        struct pipe_own own = own_of(job);
        pipeline_add(view->pipeline, job->id, &own, NULL, 0);
    }
}

/* A job is read for the first time. */
static void pipeline_take(struct view *view, struct job *job)
{
    const struct spec *spec = job->spec;
    struct pipe_own own = own_of(job);
    job->since = job->submitted;
    job->due = own.due;
    job->urgency = own.urgency;
    pipeline_add(view->pipeline, job->id, &own, spec->awaits, spec->n_awaits);
    for (guint i = 0; i < spec->n_awaits; i++) {
        struct job *other = view_job(view, spec->awaits[i].s);
        if (other && other->known)
            pipeline_tell(view, other);
    }
}

void view_apply_job(struct view *view, const char *id, json_object *value, revision stamp)
{
    struct job *job = view_job_make(view, id);
    if (!job)
        return;
    uint64_t submitted = 0;
    bool cancelled = false;
    if (job_read_final(job, value)) {
        job_drop_spec(job);
        if (!job->over)
            g_queue_push_tail(&view->over, g_strdup(id));
        job->over = true;
        job->cancelled_at = job->cancelled_at.v ? job->cancelled_at : stamp;
        pipeline_tell(view, job);
    } else if (value) {
        json_flag(value, "c", &cancelled);
        json_u64(value, "t", &submitted);
        bool first = !job->spec;
        if (cancelled && job->state != JOB_CANCELLED)
            job->cancelled_at = stamp;
        job->state = cancelled || job->upstream_cancelled ? JOB_CANCELLED : JOB_LIVE;
        job->submitted.ms = (int64_t)submitted;
        if (!job->spec) {
            struct spec spec;
            json_object *w = NULL;
            json_object_object_get_ex(value, "w", &w);
            if (!codec_spec_read(w, &spec) || !codec_awaits_read(w, &spec)) {
                LOG_ERROR("job_unreadable", "job=%s", id);
                return;
            }
            job->spec = g_memdup2(&spec, sizeof spec);
            job->tasks = spec.tasks;
        }
        job->known = true;
        if (first)
            pipeline_take(view, job);
        if (job->state == JOB_CANCELLED)
            pipeline_tell(view, job);
    }
    job->known = value != NULL;
    job->stamp = stamp;
    view_note_change(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
}

void view_merge_done(void *ctx, job_id id, uint32_t unit, const GByteArray *bits)
{
    struct view *view = ctx;
    struct job *job = view_job_make(view, id.s);
    if (!job || (job->known && !job->spec))
        return;
    if (!job->done)
        job->done = g_byte_array_new();
    guint base = unit * MARK_BYTES;
    bits_grow(job->done, base + bits->len);
    bool changed = false;
    for (guint i = 0; i < bits->len; i++) {
        uint8_t more = bits->data[i] & ~job->done->data[base + i];
        job->done->data[base + i] |= more;
        job->n_done += (uint32_t)__builtin_popcount(more);
        changed = changed || more;
    }
    if (changed)
        view_note_change(view, (struct change){.kind = CHANGE_JOB, .job = job->id});
}
