/** Codec of the protocol of users: see job_codec.h. */
#include "job_codec.h"
#include "protocol_words.h"

#include <stdlib.h>

enum {
    /** The limit applies before duplicates are removed. */
    MAX_DEPENDENCIES = 100,
    MAX_TASKS = 100000,
    MAX_NAME_BYTES = 200,
    MAX_MACHINE_TYPES = 64,
    MAX_MACHINE_TYPE_NAME_BYTES = 100,
};

/** Sizes in GB and times in seconds must be less than this. */
static const double SIZE_AND_TIME_LIMIT = 1e9;

/** Values in the protocol, indexed by enum job_form. The protocol calls an array job a sweep, and a
 * service a daemon. */
static const char *const form_names[] = {"sweep", "gang", "daemon"};
/** Values in the protocol, indexed by enum job_priority. */
static const char *const priority_names[] = {"prod", "high", "normal", "best_effort"};

const char *job_priority_name(enum job_priority priority)
{
    return priority_names[priority];
}

void job_spec_clear(struct job_spec *spec)
{
    g_free(spec->job_class);
    g_free(spec->team_name);
    if (spec->image)
        g_ref_string_release(spec->image);
    g_free(spec->zone);
    g_free(spec->dependencies);
    g_strfreev(spec->machine_type_names);
    memset(spec, 0, sizeof *spec);
}

/** Decodes a string that is not empty and not too long. */
static bool decode_name(json_object *object, const char *field, char **out)
{
    const char *text;
    if (!json_get_string(object, field, &text) || !*text || strlen(text) > MAX_NAME_BYTES)
        return false;
    *out = g_strdup(text);
    return true;
}

/** Decodes and interns an image name. Interned names are compared by address, which is faster:
 * placing a task looks its image up on every candidate machine. */
static bool decode_image(json_object *object, char **out)
{
    char *name = NULL;
    if (!decode_name(object, FIELD_IMAGE, &name))
        return false;
    *out = g_ref_string_new_intern(name);
    g_free(name);
    return true;
}

/** Decodes a size or a time. */
static bool decode_size_or_time(json_object *object, const char *field, double *out)
{
    return json_get_number(object, field, out) && *out >= 0 && *out < SIZE_AND_TIME_LIMIT;
}

/** Decodes the names of the machine types that the tasks may use. If the field is absent, `*out`
 * stays NULL. If the field is malformed, `*out` may be set and is freed by job_spec_clear(). */
static bool decode_machine_type_names(json_object *object, char ***out)
{
    if (json_is_absent(object, FIELD_MACHINE_TYPES))
        return true;
    json_object *list = json_get_array(object, FIELD_MACHINE_TYPES);
    if (!list || json_object_array_length(list) > MAX_MACHINE_TYPES)
        return false;
    GPtrArray *names = g_ptr_array_new();
    bool ok = true;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        ok = ok && json_object_is_type(item, json_type_string) &&
             json_object_get_string_len(item) <= MAX_MACHINE_TYPE_NAME_BYTES;
        g_ptr_array_add(names, g_strdup(json_object_get_string(item)));
    }
    g_ptr_array_add(names, NULL);
    *out = (char **)g_ptr_array_free(names, FALSE);
    return ok;
}

/** Parses a job id that must consist of JOB_ID_PREFIX and at least one more character. */
static bool parse_prefixed_job_id(job_id *out, const char *text)
{
    return g_str_has_prefix(text, JOB_ID_PREFIX) && text[strlen(JOB_ID_PREFIX)] &&
           job_id_parse(out, text);
}

bool job_spec_decode_id(json_object *object, job_id *out)
{
    const char *text;
    return json_get_string(object, FIELD_ID, &text) && parse_prefixed_job_id(out, text);
}

/** Decodes the fields that describe the job as a whole: its id, class, team, image, form, priority
 * and number of tasks. */
static bool decode_job_fields(json_object *object, struct job_spec *spec)
{
    int form = 0, priority = 0;
    uint64_t task_count = 0;
    bool ok = job_spec_decode_id(object, &spec->id) &&
              decode_name(object, FIELD_JOB_CLASS, &spec->job_class) &&
              decode_name(object, FIELD_TEAM, &spec->team_name) &&
              decode_image(object, &spec->image) &&
              JSON_GET_ENUM(object, FIELD_FORM, form_names, &form) &&
              JSON_GET_ENUM(object, FIELD_PRIORITY, priority_names, &priority) &&
              json_get_u64(object, FIELD_TASK_COUNT, &task_count) && task_count >= 1 &&
              task_count <= MAX_TASKS;
    spec->form = form;
    spec->priority = priority;
    spec->task_count = (uint32_t)task_count;
    return ok;
}

/** Decodes the resources that each task needs, and the constraints on where tasks may run. */
static bool decode_requirements(json_object *object, struct job_spec *spec)
{
    return json_get_amount(object, FIELD_CPUS, &spec->cpus) &&
           json_get_amount(object, FIELD_GPUS, &spec->gpus) &&
           json_get_amount(object, FIELD_MEMORY_GB, &spec->memory) &&
           decode_size_or_time(object, FIELD_IMAGE_GB, &spec->image_gb) &&
           decode_machine_type_names(object, &spec->machine_type_names) &&
           (json_is_absent(object, FIELD_ZONE) || decode_name(object, FIELD_ZONE, &spec->zone)) &&
           json_get_bool(object, FIELD_SINGLE_ZONE, &spec->needs_single_zone) &&
           json_get_bool(object, FIELD_SEPARATE_ZONES, &spec->needs_separate_zones) &&
           json_get_bool(object, FIELD_SPOT, &spec->may_use_spot);
}

/** Decodes the expected run time, the times of checkpoints, and the deadline. */
static bool decode_times(json_object *object, struct job_spec *spec)
{
    return decode_size_or_time(object, FIELD_EXPECTED_RUN_S, &spec->expected_run_s) &&
           decode_size_or_time(object, FIELD_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s) &&
           decode_size_or_time(object, FIELD_CHECKPOINT_SAVE_S, &spec->checkpoint_save_s) &&
           (json_is_absent(object, FIELD_DEADLINE_S) ||
            decode_size_or_time(object, FIELD_DEADLINE_S, &spec->deadline_s));
}

bool job_spec_decode(json_object *object, struct job_spec *spec)
{
    memset(spec, 0, sizeof *spec);
    spec->deadline_s = -1; /* no deadline */
    bool ok = decode_job_fields(object, spec) && decode_requirements(object, spec) &&
              decode_times(object, spec);
    if (!ok)
        job_spec_clear(spec);
    return ok;
}

static bool has_dependency(const struct job_spec *spec, job_id id)
{
    for (guint i = 0; i < spec->dependency_count; i++)
        if (job_id_equal(spec->dependencies[i], id))
            return true;
    return false;
}

bool job_spec_has_dependencies_field(json_object *object)
{
    return !json_is_absent(object, FIELD_DEPENDENCIES);
}

void job_spec_put_dependencies(json_object *object, json_object *job_ids)
{
    bool is_empty = json_object_array_length(job_ids) == 0;
    json_object_object_add(object, FIELD_DEPENDENCIES, job_ids);
    if (is_empty) /* deleting the field also releases the array */
        json_object_object_del(object, FIELD_DEPENDENCIES);
}

bool job_spec_decode_dependencies(json_object *object, struct job_spec *spec)
{
    if (json_is_absent(object, FIELD_DEPENDENCIES))
        return true;
    json_object *list = json_get_array(object, FIELD_DEPENDENCIES);
    size_t count = list ? json_object_array_length(list) : 0;
    if (!list || count > MAX_DEPENDENCIES)
        return false;
    spec->dependencies = count ? g_new(job_id, count) : NULL;
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(list, i);
        job_id id;
        const char *id_text =
            json_object_is_type(item, json_type_string) ? json_object_get_string(item) : "";
        /* The lengths differ if the string contains a NUL byte. */
        if (strlen(id_text) != (size_t)json_object_get_string_len(item) ||
            !parse_prefixed_job_id(&id, id_text) || job_id_equal(id, spec->id))
            return false;
        if (!has_dependency(spec, id))
            spec->dependencies[spec->dependency_count++] = id;
    }
    return true;
}

static json_object *encode_dependencies(const struct job_spec *spec)
{
    json_object *list = json_object_new_array();
    for (guint i = 0; i < spec->dependency_count; i++)
        json_object_array_add(list, json_object_new_string(spec->dependencies[i].text));
    return list;
}

json_object *job_spec_encode(const struct job_spec *spec)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_ID, spec->id.text);
    json_put_string(object, FIELD_JOB_CLASS, spec->job_class);
    json_put_string(object, FIELD_TEAM, spec->team_name);
    json_put_string(object, FIELD_IMAGE, spec->image);
    json_put_string(object, FIELD_FORM, form_names[spec->form]);
    json_put_string(object, FIELD_PRIORITY, priority_names[spec->priority]);
    json_put_u64(object, FIELD_TASK_COUNT, spec->task_count);
    json_put_amount(object, FIELD_CPUS, spec->cpus);
    json_put_amount(object, FIELD_GPUS, spec->gpus);
    json_put_amount(object, FIELD_MEMORY_GB, spec->memory);
    json_put_number(object, FIELD_IMAGE_GB, spec->image_gb);
    if (spec->machine_type_names)
        json_put_strings(object, FIELD_MACHINE_TYPES, spec->machine_type_names);
    if (spec->zone)
        json_put_string(object, FIELD_ZONE, spec->zone);
    json_put_bool(object, FIELD_SINGLE_ZONE, spec->needs_single_zone);
    json_put_bool(object, FIELD_SEPARATE_ZONES, spec->needs_separate_zones);
    json_put_bool(object, FIELD_SPOT, spec->may_use_spot);
    json_put_number(object, FIELD_EXPECTED_RUN_S, spec->expected_run_s);
    json_put_number(object, FIELD_CHECKPOINT_INTERVAL_S, spec->checkpoint_interval_s);
    json_put_number(object, FIELD_CHECKPOINT_SAVE_S, spec->checkpoint_save_s);
    if (spec->deadline_s >= 0)
        json_put_number(object, FIELD_DEADLINE_S, spec->deadline_s);
    if (spec->dependency_count)
        json_object_object_add(object, FIELD_DEPENDENCIES, encode_dependencies(spec));
    return object;
}

char *job_status_encode(job_id id, enum job_stage stage, long completed, long running)
{
    /* Indexed by enum job_stage. */
    static const char *const stage_names[] = {"queued", "running", "done", "cancelled"};
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_ID, id.text);
    json_put_string(object, FIELD_STAGE, stage_names[stage]);
    if (completed >= 0) {
        json_object_object_add(object, FIELD_DONE_COUNT, json_object_new_int64(completed));
        json_object_object_add(object, FIELD_RUNNING_COUNT, json_object_new_int64(running));
    }
    return json_to_string_and_free(object);
}

bool task_name_parse(const char *text, job_id *job, uint32_t *index)
{
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || slash - text >= (int)sizeof job->text ||
        !g_ascii_isdigit(slash[1]))
        return false;
    char job_text[sizeof job->text];
    memcpy(job_text, text, slash - text);
    job_text[slash - text] = 0;
    char *end;
    unsigned long parsed_index = strtoul(slash + 1, &end, 10);
    if (*end || parsed_index > MAX_TASKS)
        return false;
    *index = (uint32_t)parsed_index;
    return job_id_parse(job, job_text);
}
