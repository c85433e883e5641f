/** Jobs: the values of ll/j/JOB, with the updates from the job DAG and from record pages. */
#include "log.h"
#include "replica_internal.h"
#include "stored_fields.h"

static void discard_spec(struct job *job)
{
    if (!job->spec)
        return;
    job_spec_clear(job->spec);
    g_clear_pointer(&job->spec, g_free);
}

static void discard_completions(struct job *job)
{
    g_clear_pointer(&job->completion_bits, g_byte_array_unref);
}

void replica_job_free(gpointer pointer)
{
    struct job *job = pointer;
    discard_spec(job);
    discard_completions(job);
    g_clear_pointer(&job->run_records, g_hash_table_unref);
    g_free(job);
}

struct run_record *job_get_run_record(const struct job *job, uint32_t task_index)
{
    if (!job->run_records)
        return NULL;
    return g_hash_table_lookup(job->run_records, GUINT_TO_POINTER(task_index + 1));
}

bool job_is_task_completed(const struct job *job, uint32_t task_index)
{
    return job->completion_bits && task_index / 8 < job->completion_bits->len &&
           (job->completion_bits->data[task_index / 8] >> (task_index % 8) & 1);
}

struct job *replica_get_or_create_job(struct replica *replica, const char *id)
{
    struct job *job = replica_get_job(replica, id);
    job_id parsed_id;
    if (job)
        return job;
    if (!job_id_parse(&parsed_id, id))
        return NULL;
    job = g_new0(struct job, 1);
    job->id = parsed_id;
    g_hash_table_insert(replica->jobs, job->id.text, job);
    return job;
}

static void add_job_event(struct replica *replica, const struct job *job)
{
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_JOB, .job = job->id});
}

/* ---- the job DAG ---- */

void replica_on_job_dag_change(void *context, const char *id, const struct job_dag_state *dag_state)
{
    struct replica *replica = context;
    struct job *job = replica_get_job(replica, id);
    if (!job || !job->spec)
        return;
    job->has_pending_dependencies = dag_state->pending_dependencies > 0;
    job->eligible_at.ms = MAX(job->submitted_at.ms, dag_state->dependencies_done_at.ms);
    job->inherited_priority = dag_state->inherited_priority;
    job->inherited_deadline = dag_state->inherited_deadline;
    if (dag_state->upstream_cancelled && job->state == JOB_ACTIVE) {
        /* This cancellation is not stored; it takes effect at the revision of the other one. */
        job->is_upstream_cancelled = true;
        job->state = JOB_CANCELLED;
        job->cancel_revision = dag_state->upstream_cancel_revision;
    }
    add_job_event(replica, job);
}

static struct job_dag_attributes get_job_dag_attributes(const struct job *job)
{
    const struct job_spec *spec = job->spec;
    wall_time deadline = NO_DEADLINE;
    if (spec->deadline_s >= 0)
        deadline.ms = job->submitted_at.ms + (int64_t)(spec->deadline_s * 1000);
    return (struct job_dag_attributes){
        .priority = (int)spec->priority,
        .deadline = deadline,
        .expected_run_ms = (int64_t)(spec->expected_run_s * 1000),
    };
}

static void report_state_to_job_dag(struct replica *replica, const struct job *job)
{
    if (job->state == JOB_DONE) {
        job_dag_mark_done(replica->job_dag, job->id, job->ended_at);
    } else if (job->state == JOB_CANCELLED) {
        job_dag_mark_cancelled(replica->job_dag, job->id, job->cancel_revision);
    } else if (job->spec) {
        struct job_dag_attributes attributes = get_job_dag_attributes(job);
        job_dag_add_job(replica->job_dag, job->id, &attributes, NULL, 0);
    }
}

/** Adds a job that was read for the first time, and reports its loaded dependencies to the DAG. */
static void add_to_job_dag(struct replica *replica, struct job *job)
{
    const struct job_spec *spec = job->spec;
    struct job_dag_attributes attributes = get_job_dag_attributes(job);
    job->eligible_at = job->submitted_at;
    job->inherited_deadline = attributes.deadline;
    job->inherited_priority = attributes.priority;
    job_dag_add_job(replica->job_dag, job->id, &attributes, spec->dependencies,
                    spec->dependency_count);
    for (guint i = 0; i < spec->dependency_count; i++) {
        struct job *dependency = replica_get_job(replica, spec->dependencies[i].text);
        if (dependency && dependency->is_loaded)
            report_state_to_job_dag(replica, dependency);
    }
}

/* ---- stored values ---- */

bool job_decode_final(struct job *job, json_object *value)
{
    const char *final_state;
    uint64_t task_count = 0, ended_ms = 0;
    if (!json_get_string(value, JOB_FIELD_FINAL_STATE, &final_state))
        return false;
    json_get_u64(value, JOB_FIELD_TASK_COUNT, &task_count);
    json_get_u64(value, JOB_FIELD_ENDED_MS, &ended_ms);
    job->state = strcmp(final_state, JOB_FINAL_STATE_DONE) == 0 ? JOB_DONE : JOB_CANCELLED;
    job->task_count = (uint32_t)task_count;
    job->completed_count = job->state == JOB_DONE ? job->task_count : 0;
    job->ended_at.ms = (int64_t)ended_ms;
    return true;
}

json_object *job_encode_final(enum job_state final_state, uint32_t task_count, wall_time ended_at)
{
    json_object *object = json_object_new_object();
    json_put_string(object, JOB_FIELD_FINAL_STATE,
                    final_state == JOB_DONE ? JOB_FINAL_STATE_DONE : JOB_FINAL_STATE_CANCELLED);
    json_put_u64(object, JOB_FIELD_TASK_COUNT, task_count);
    json_put_u64(object, JOB_FIELD_ENDED_MS, (uint64_t)ended_at.ms);
    return object;
}

/** Applies the final state that job_decode_final has just decoded into the job. */
static void apply_final(struct replica *replica, struct job *job, revision mod_revision)
{
    discard_spec(job);
    discard_completions(job);
    if (!job->is_final)
        g_queue_push_tail(&replica->internal->finished_job_ids, g_strdup(job->id.text));
    job->is_final = true;
    if (!job->cancel_revision.value)
        job->cancel_revision = mod_revision;
    report_state_to_job_dag(replica, job);
}

/** Decodes the submitted specification. Returns false if it is malformed. */
static bool decode_spec(struct job *job, json_object *value)
{
    struct job_spec spec;
    json_object *spec_value = NULL;
    json_object_object_get_ex(value, JOB_FIELD_SPEC, &spec_value);
    if (!job_spec_decode(spec_value, &spec) || !job_spec_decode_dependencies(spec_value, &spec)) {
        LOG_ERROR("job_malformed", "job=%s", job->id.text);
        job_spec_clear(&spec);
        return false;
    }
    job->spec = g_memdup2(&spec, sizeof spec);
    job->task_count = spec.task_count;
    return true;
}

/** Applies the value of a job without a final state. Returns false if the value is malformed. */
static bool apply_submitted(struct replica *replica, struct job *job,
                            const struct key_update *update)
{
    uint64_t submitted_ms = 0;
    bool is_cancelled = false, is_new = !job->spec;
    json_get_bool(update->value, JOB_FIELD_IS_CANCELLED, &is_cancelled);
    json_get_u64(update->value, JOB_FIELD_SUBMITTED_MS, &submitted_ms);
    if (is_cancelled && job->state != JOB_CANCELLED)
        job->cancel_revision = update->mod_revision;
    job->state = is_cancelled || job->is_upstream_cancelled ? JOB_CANCELLED : JOB_ACTIVE;
    job->submitted_at.ms = (int64_t)submitted_ms;
    if (is_new && !decode_spec(job, update->value))
        return false;
    job->is_loaded = true;
    if (is_new)
        add_to_job_dag(replica, job);
    if (job->state == JOB_CANCELLED)
        report_state_to_job_dag(replica, job);
    return true;
}

void replica_apply_job(struct replica *replica, const struct key_update *update)
{
    struct job *job = replica_get_or_create_job(replica, update->name);
    if (!job)
        return;
    if (job_decode_final(job, update->value))
        apply_final(replica, job, update->mod_revision);
    else if (update->value && !apply_submitted(replica, job, update))
        return;
    job->is_loaded = update->value != NULL;
    job->mod_revision = update->mod_revision;
    add_job_event(replica, job);
}

bool replica_may_apply_early(struct replica *replica, const char *key, json_object *value)
{
    struct job end = {0};
    if (!key_is_job(key))
        return false;
    if (!replica->is_ready)
        return true;
    const struct job *job = replica_get_job(replica, key + strlen(KEY_JOB_PREFIX));
    bool is_shown = job && (job->is_loaded || job->run_records);
    return !is_shown && job_decode_final(&end, value);
}

void replica_merge_completions(void *context, job_id id, uint32_t unit, const GByteArray *bits)
{
    struct replica *replica = context;
    struct job *job = replica_get_or_create_job(replica, id.text);
    bool is_final = job && job->is_loaded && !job->spec;
    if (!job || is_final)
        return;
    if (!job->completion_bits)
        job->completion_bits = g_byte_array_new();
    guint first_byte = unit * COMPLETION_UNIT_BYTES;
    bitmap_grow(job->completion_bits, first_byte + bits->len);
    bool has_changed = false;
    for (guint i = 0; i < bits->len; i++) {
        uint8_t new_bits = bits->data[i] & ~job->completion_bits->data[first_byte + i];
        job->completion_bits->data[first_byte + i] |= new_bits;
        job->completed_count += (uint32_t)__builtin_popcount(new_bits);
        has_changed = has_changed || new_bits;
    }
    if (has_changed)
        add_job_event(replica, job);
}
