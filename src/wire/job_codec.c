#include "codec.h"
#include "json_fields.h"

enum { MAX_DEPENDENCIES = 100 }; /* that one job may name */

static const char *const form_words[] = {"sweep", "gang", "daemon"};
static const char *const priority_words[] = {"prod", "high", "normal", "best_effort"};

const char *job_priority_name(enum job_priority priority)
{
    return priority_words[priority];
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
    if (!json_get_text(object, field, &text) || !*text || strlen(text) > 200)
        return false;
    *out = g_strdup(text);
    return true;
}

/* Compared by address: images are looked up for every machine that might be chosen. */
static bool decode_image(json_object *object, char **out)
{
    char *name = NULL;
    if (!decode_name(object, "Mould", &name))
        return false;
    *out = g_ref_string_new_intern(name);
    g_free(name);
    return true;
}

static bool decode_duration(json_object *object, const char *field, double *out)
{
    return json_get_number(object, field, out) && *out >= 0 && *out < 1e9;
}

static bool decode_machine_type_names(json_object *object, char ***out)
{
    if (json_is_absent(object, "Builds"))
        return true;
    json_object *list = json_get_array(object, "Builds");
    if (!list || json_object_array_length(list) > 64)
        return false;
    GPtrArray *names = g_ptr_array_new();
    bool ok = true;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *item = json_object_array_get_idx(list, i);
        ok = ok && json_object_is_type(item, json_type_string) &&
             json_object_get_string_len(item) <= 100;
        g_ptr_array_add(names, g_strdup(json_object_get_string(item)));
    }
    g_ptr_array_add(names, NULL);
    *out = (char **)g_ptr_array_free(names, FALSE);
    return ok;
}

static bool decode_word(json_object *object, const char *field, const char *const *words,
                        int word_count, int *out)
{
    const char *word;
    if (!json_get_text(object, field, &word))
        return false;
    *out = word_index(words, word_count, word);
    return *out >= 0;
}

static bool decode_user_job_id(job_id *out, const char *text)
{
    return g_str_has_prefix(text, "wk-") && text[3] && job_id_parse(out, text);
}

bool job_spec_decode_id(json_object *object, job_id *out)
{
    const char *text;
    return json_get_text(object, "Id", &text) && decode_user_job_id(out, text);
}

bool job_spec_decode(json_object *object, struct job_spec *spec)
{
    memset(spec, 0, sizeof *spec);
    spec->deadline_s = -1;
    int form = 0, priority = 0;
    uint64_t task_count = 0;
    bool ok =
        job_spec_decode_id(object, &spec->id) && decode_name(object, "Lot", &spec->job_class) &&
        decode_name(object, "Crew", &spec->team_name) && decode_image(object, &spec->image) &&
        decode_word(object, "Form", form_words, G_N_ELEMENTS(form_words), &form) &&
        decode_word(object, "Urgency", priority_words, G_N_ELEMENTS(priority_words), &priority) &&
        json_get_u64(object, "Pieces", &task_count) && task_count >= 1 && task_count <= 100000 &&
        json_get_amount(object, "Vcpus", &spec->cpus) &&
        json_get_amount(object, "Cards", &spec->gpus) &&
        json_get_amount(object, "MemoryGb", &spec->memory) &&
        decode_duration(object, "ImageGb", &spec->image_gb) &&
        decode_machine_type_names(object, &spec->machine_type_names) &&
        (json_is_absent(object, "Yard") || decode_name(object, "Yard", &spec->zone)) &&
        json_get_bool(object, "OneZone", &spec->needs_single_zone) &&
        json_get_bool(object, "Apart", &spec->needs_separate_zones) &&
        json_get_bool(object, "Loaners", &spec->may_use_spot) &&
        decode_duration(object, "ExpectedS", &spec->expected_run_s) &&
        decode_duration(object, "MarkEveryS", &spec->checkpoint_interval_s) &&
        decode_duration(object, "StowS", &spec->checkpoint_save_s) &&
        (json_is_absent(object, "DueS") || decode_duration(object, "DueS", &spec->deadline_s));
    spec->form = form;
    spec->priority = priority;
    spec->task_count = (uint32_t)task_count;
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

bool job_spec_names_dependencies(json_object *object)
{
    json_object *list = NULL;
    return json_object_is_type(object, json_type_object) &&
           json_object_object_get_ex(object, "Awaits", &list) && list;
}

void job_spec_put_dependencies(json_object *object, json_object *job_ids)
{
    bool is_empty = json_object_array_length(job_ids) == 0;
    json_object_object_add(object, "Awaits", job_ids);
    if (is_empty)
        json_object_object_del(object, "Awaits");
}

bool job_spec_decode_dependencies(json_object *object, struct job_spec *spec)
{
    if (json_is_absent(object, "Awaits"))
        return true;
    json_object *list = json_get_array(object, "Awaits");
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

json_object *job_spec_encode(const struct job_spec *spec)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Id", spec->id.text);
    json_put_text(object, "Lot", spec->job_class);
    json_put_text(object, "Crew", spec->team_name);
    json_put_text(object, "Mould", spec->image);
    json_put_text(object, "Form", form_words[spec->form]);
    json_put_text(object, "Urgency", priority_words[spec->priority]);
    json_put_u64(object, "Pieces", spec->task_count);
    json_put_number(object, "Vcpus", spec->cpus.milli / 1000.0);
    json_put_number(object, "Cards", spec->gpus.milli / 1000.0);
    json_put_number(object, "MemoryGb", spec->memory.milli / 1000.0);
    json_put_number(object, "ImageGb", spec->image_gb);
    if (spec->machine_type_names) {
        json_object *list = json_object_new_array();
        for (int i = 0; spec->machine_type_names[i]; i++)
            json_object_array_add(list, json_object_new_string(spec->machine_type_names[i]));
        json_object_object_add(object, "Builds", list);
    }
    if (spec->zone)
        json_put_text(object, "Yard", spec->zone);
    json_put_bool(object, "OneZone", spec->needs_single_zone);
    json_put_bool(object, "Apart", spec->needs_separate_zones);
    json_put_bool(object, "Loaners", spec->may_use_spot);
    json_put_number(object, "ExpectedS", spec->expected_run_s);
    json_put_number(object, "MarkEveryS", spec->checkpoint_interval_s);
    json_put_number(object, "StowS", spec->checkpoint_save_s);
    if (spec->deadline_s >= 0)
        json_put_number(object, "DueS", spec->deadline_s);
    if (spec->dependency_count) {
        json_object *list = json_object_new_array();
        for (guint i = 0; i < spec->dependency_count; i++)
            json_object_array_add(list, json_object_new_string(spec->dependencies[i].text));
        json_object_object_add(object, "Awaits", list);
    }
    return object;
}

char *job_status_encode(job_id id, const char *stage, long completed, long running)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Id", id.text);
    json_put_text(object, "Stage", stage);
    if (completed >= 0) {
        json_object_object_add(object, "done", json_object_new_int64(completed));
        json_object_object_add(object, "running", json_object_new_int64(running));
    }
    return json_to_text_and_free(object);
}
