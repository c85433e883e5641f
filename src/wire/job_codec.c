/** Codec of the user protocol: see job_codec.h. */
#include "job_codec.h"
#include "protocol_words.h"

#include <stdlib.h>

enum {
    MAX_DEPENDENCIES = 100,
    MAX_TASKS = 100000,
    MAX_NAME_CHARS = 200,
    MAX_MACHINE_TYPE_NAMES = 64,
    MAX_MACHINE_TYPE_NAME_CHARS = 100,
};

static const double MAX_NUMBER = 1e9;

/** Names in the protocol, indexed by enum job_form and by enum job_priority. */
static const char *const form_names[] = {"sweep", "gang", "daemon"};
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

static bool decode_name(json_object *object, const char *field, char **out)
{
    const char *text;
    if (!json_get_string(object, field, &text) || !*text || strlen(text) > MAX_NAME_CHARS)
        return false;
    *out = g_strdup(text);
    return true;
}

/** Decodes and interns an image name: placing a task looks its image up on every candidate machine.
 */
static bool decode_image(json_object *object, char **out)
{
    char *name = NULL;
    if (!decode_name(object, FIELD_IMAGE, &name))
        return false;
    *out = g_ref_string_new_intern(name);
    g_free(name);
    return true;
}

static bool decode_non_negative(json_object *object, const char *field, double *out)
{
    return json_get_number(object, field, out) && *out >= 0 && *out < MAX_NUMBER;
}

static bool decode_machine_type_names(json_object *object, char ***out)
{
    if (json_is_absent(object, FIELD_MACHINE_TYPES))
        return true;
    json_object *list = json_get_array(object, FIELD_MACHINE_TYPES);
    if (!list || json_object_array_length(list) > MAX_MACHINE_TYPE_NAMES)
        return false;
    GPtrArray *names = g_ptr_array_new();
    bool ok = true;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        ok = ok && json_object_is_type(item, json_type_string) &&
             json_object_get_string_len(item) <= MAX_MACHINE_TYPE_NAME_CHARS;
        g_ptr_array_add(names, g_strdup(json_object_get_string(item)));
    }
    g_ptr_array_add(names, NULL);
    *out = (char **)g_ptr_array_free(names, FALSE);
    return ok;
}

static bool decode_user_job_id(job_id *out, const char *text)
{
    return g_str_has_prefix(text, JOB_ID_PREFIX) && text[strlen(JOB_ID_PREFIX)] &&
           job_id_parse(out, text);
}

bool job_spec_decode_id(json_object *object, job_id *out)
{
    const char *text;
    return json_get_string(object, FIELD_ID, &text) && decode_user_job_id(out, text);
}

/** Decodes the fields that identify the job, its team and its image, and its form, priority and
 * size. */
static bool decode_identity(json_object *object, struct job_spec *spec)
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

/** Decodes the resources that each task needs, and the placement constraints. */
static bool decode_requirements(json_object *object, struct job_spec *spec)
{
    return json_get_amount(object, FIELD_CPUS, &spec->cpus) &&
           json_get_amount(object, FIELD_GPUS, &spec->gpus) &&
           json_get_amount(object, FIELD_MEMORY_GB, &spec->memory) &&
           decode_non_negative(object, FIELD_IMAGE_GB, &spec->image_gb) &&
           decode_machine_type_names(object, &spec->machine_type_names) &&
           (json_is_absent(object, FIELD_ZONE) || decode_name(object, FIELD_ZONE, &spec->zone)) &&
           json_get_bool(object, FIELD_SINGLE_ZONE, &spec->needs_single_zone) &&
           json_get_bool(object, FIELD_SEPARATE_ZONES, &spec->needs_separate_zones) &&
           json_get_bool(object, FIELD_SPOT, &spec->may_use_spot);
}

static bool decode_times(json_object *object, struct job_spec *spec)
{
    return decode_non_negative(object, FIELD_EXPECTED_RUN_S, &spec->expected_run_s) &&
           decode_non_negative(object, FIELD_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s) &&
           decode_non_negative(object, FIELD_CHECKPOINT_SAVE_S, &spec->checkpoint_save_s) &&
           (json_is_absent(object, FIELD_DEADLINE_S) ||
            decode_non_negative(object, FIELD_DEADLINE_S, &spec->deadline_s));
}

bool job_spec_decode(json_object *object, struct job_spec *spec)
{
    memset(spec, 0, sizeof *spec);
    spec->deadline_s = -1;
    bool ok = decode_identity(object, spec) && decode_requirements(object, spec) &&
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
    if (is_empty)
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
        const char *name =
            json_object_is_type(item, json_type_string) ? json_object_get_string(item) : "";
        if (strlen(name) != (size_t)json_object_get_string_len(item) ||
            !decode_user_job_id(&id, name) || job_id_equal(id, spec->id))
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
    char name[sizeof job->text];
    memcpy(name, text, slash - text);
    name[slash - text] = 0;
    char *end;
    unsigned long number = strtoul(slash + 1, &end, 10);
    if (*end || number > MAX_TASKS)
        return false;
    *index = (uint32_t)number;
    return job_id_parse(job, name);
}
