#include "log.h"
#include "replica_internal.h"

void replica_job_free(gpointer p)
{
    struct job *job = p;
    if (job->spec) {
        job_spec_clear(job->spec);
        g_free(job->spec);
    }
    if (job->completion_bits)
        g_byte_array_unref(job->completion_bits);
    if (job->run_records)
        g_hash_table_unref(job->run_records);
    g_free(job);
}

struct run_record *job_get_run_record(const struct job *job, uint32_t task_index)
{
    return job->run_records
               ? g_hash_table_lookup(job->run_records, GUINT_TO_POINTER(task_index + 1))
               : NULL;
}

bool job_is_task_completed(const struct job *job, uint32_t task_index)
{
    return job->completion_bits && task_index / 8 < job->completion_bits->len &&
           (job->completion_bits->data[task_index / 8] >> (task_index % 8) & 1);
}

struct job *replica_get_or_create_job(struct replica *replica, const char *id)
{
    struct job *job = replica_get_job(replica, id);
    if (job)
        return job;
    job_id parsed_id;
    if (!job_id_parse(&parsed_id, id))
        return NULL;
    job = g_new0(struct job, 1);
    job->id = parsed_id;
    g_hash_table_insert(replica->jobs, job->id.text, job);
    return job;
}

static void job_discard_details(struct job *job)
{
    if (job->spec) {
        job_spec_clear(job->spec);
        g_free(job->spec);
    }
    job->spec = NULL;
    if (job->completion_bits)
        g_byte_array_unref(job->completion_bits);
    job->completion_bits = NULL;
}

bool job_decode_final(struct job *job, json_object *value)
{
    const char *state_word;
    uint64_t task_count = 0;
    if (!json_get_text(value, "f", &state_word))
        return false;
    json_get_u64(value, "n", &task_count);
    job->state = strcmp(state_word, "done") == 0 ? JOB_DONE : JOB_CANCELLED;
    job->task_count = (uint32_t)task_count;
    job->completed_count = job->state == JOB_DONE ? job->task_count : 0;
    uint64_t ended_ms = 0;
    json_get_u64(value, "e", &ended_ms);
    job->ended_at.ms = (int64_t)ended_ms;
    return true;
}

json_object *job_encode_final(enum job_state final_state, uint32_t task_count, wall_time ended_at)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "f", final_state == JOB_DONE ? "done" : "cancelled");
    json_put_u64(object, "n", task_count);
    json_put_u64(object, "e", (uint64_t)ended_at.ms);
    return object;
}

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
        /* That is a fact from the moment when the other one was cancelled, without any write. */
        job->is_upstream_cancelled = true;
        job->state = JOB_CANCELLED;
        job->cancelled_at = dag_state->upstream_cancelled_at;
    }
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_JOB, .job = job->id});
}

static struct job_dag_attributes job_dag_attributes_of(const struct job *job)
{
    const struct job_spec *spec = job->spec;
    return (struct job_dag_attributes){
        .priority = (int)spec->priority,
        .deadline = spec->deadline_s >= 0
                        ? (wall_time){job->submitted_at.ms + (int64_t)(spec->deadline_s * 1000)}
                        : NO_DEADLINE,
        .expected_run_ms = (int64_t)(spec->expected_run_s * 1000)};
}

static void report_state_to_job_dag(struct replica *replica, const struct job *job)
{
    if (job->state == JOB_DONE) {
        job_dag_mark_done(replica->job_dag, job->id, job->ended_at);
    } else if (job->state == JOB_CANCELLED) {
        job_dag_mark_cancelled(replica->job_dag, job->id, job->cancelled_at);
    } else if (job->spec) {
        struct job_dag_attributes attributes = job_dag_attributes_of(job);
        job_dag_add_job(replica->job_dag, job->id, &attributes, NULL, 0);
    }
}

/* A job is read for the first time. */
static void add_to_job_dag(struct replica *replica, struct job *job)
{
    const struct job_spec *spec = job->spec;
    struct job_dag_attributes attributes = job_dag_attributes_of(job);
    job->eligible_at = job->submitted_at;
    job->inherited_deadline = attributes.deadline;
    job->inherited_priority = attributes.priority;
    job_dag_add_job(replica->job_dag, job->id, &attributes, spec->dependencies,
                    spec->dependency_count);
    for (guint i = 0; i < spec->dependency_count; i++) {
        struct job *other = replica_get_job(replica, spec->dependencies[i].text);
        if (other && other->is_known)
            report_state_to_job_dag(replica, other);
    }
}

void replica_apply_job(struct replica *replica, const char *id, json_object *value,
                       revision mod_revision)
{
    struct job *job = replica_get_or_create_job(replica, id);
    if (!job)
        return;
    uint64_t submitted_ms = 0;
    bool is_cancelled = false;
    if (job_decode_final(job, value)) {
        job_discard_details(job);
        if (!job->is_finished)
            g_queue_push_tail(&replica->finished_job_ids, g_strdup(id));
        job->is_finished = true;
        job->cancelled_at = job->cancelled_at.value ? job->cancelled_at : mod_revision;
        report_state_to_job_dag(replica, job);
    } else if (value) {
        json_get_bool(value, "c", &is_cancelled);
        json_get_u64(value, "t", &submitted_ms);
        bool is_first = !job->spec;
        if (is_cancelled && job->state != JOB_CANCELLED)
            job->cancelled_at = mod_revision;
        job->state = is_cancelled || job->is_upstream_cancelled ? JOB_CANCELLED : JOB_ACTIVE;
        job->submitted_at.ms = (int64_t)submitted_ms;
        if (!job->spec) {
            struct job_spec spec;
            json_object *spec_value = NULL;
            json_object_object_get_ex(value, "w", &spec_value);
            if (!job_spec_decode(spec_value, &spec) ||
                !job_spec_decode_dependencies(spec_value, &spec)) {
                LOG_ERROR("job_unreadable", "job=%s", id);
                return;
            }
            job->spec = g_memdup2(&spec, sizeof spec);
            job->task_count = spec.task_count;
        }
        job->is_known = true;
        if (is_first)
            add_to_job_dag(replica, job);
        if (job->state == JOB_CANCELLED)
            report_state_to_job_dag(replica, job);
    }
    job->is_known = value != NULL;
    job->mod_revision = mod_revision;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_JOB, .job = job->id});
}

void replica_merge_completions(void *context, job_id id, uint32_t unit, const GByteArray *bits)
{
    struct replica *replica = context;
    struct job *job = replica_get_or_create_job(replica, id.text);
    if (!job || (job->is_known && !job->spec))
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
        replica_add_event(replica,
                          (struct replica_event){.kind = REPLICA_EVENT_JOB, .job = job->id});
}
