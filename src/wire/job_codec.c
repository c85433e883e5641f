#include "codec.h"
#include "json_fields.h"

enum { MOST_AWAITS = 100 }; /* that one job may name */

static const char *const form_words[] = {"sweep", "gang", "daemon"};
static const char *const urgency_words[] = {"prod", "high", "normal", "best_effort"};

const char *codec_urgency_word(enum urgency u)
{
    return urgency_words[u];
}

void spec_clear(struct spec *spec)
{
    g_free(spec->job_class);
    g_free(spec->team_name);
    if (spec->image)
        g_ref_string_release(spec->image);
    g_free(spec->zone);
    g_free(spec->awaits);
    g_strfreev(spec->type_names);
    memset(spec, 0, sizeof *spec);
}

static bool name_field(json_object *object, const char *field, char **out)
{
    const char *s;
    if (!json_text(object, field, &s) || !*s || strlen(s) > 200)
        return false;
    *out = g_strdup(s);
    return true;
}

/* Compared by address: images are looked up for every machine that might be chosen. */
static bool image_field(json_object *object, char **out)
{
    char *name = NULL;
    if (!name_field(object, "Mould", &name))
        return false;
    *out = g_ref_string_new_intern(name);
    g_free(name);
    return true;
}

static bool span_field(json_object *object, const char *field, double *out)
{
    return json_number(object, field, out) && *out >= 0 && *out < 1e9;
}

static bool builds_field(json_object *o, char ***out)
{
    if (json_is_null(o, "Builds"))
        return true;
    json_object *list = json_list(o, "Builds");
    if (!list || json_object_array_length(list) > 64)
        return false;
    GPtrArray *names = g_ptr_array_new();
    bool ok = true;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *v = json_object_array_get_idx(list, i);
        ok = ok && json_object_is_type(v, json_type_string) && json_object_get_string_len(v) <= 100;
        g_ptr_array_add(names, g_strdup(json_object_get_string(v)));
    }
    g_ptr_array_add(names, NULL);
    *out = (char **)g_ptr_array_free(names, FALSE);
    return ok;
}

static bool word_field(json_object *object, const char *field, const char *const *words, int n,
                       int *out)
{
    const char *s;
    if (!json_text(object, field, &s))
        return false;
    *out = codec_word_index(words, n, s);
    return *out >= 0;
}

static bool user_id_from(job_id *out, const char *s)
{
    return g_str_has_prefix(s, "wk-") && s[3] && job_id_from(out, s);
}

bool codec_id_read(json_object *object, job_id *out)
{
    const char *s;
    return json_text(object, "Id", &s) && user_id_from(out, s);
}

bool codec_spec_read(json_object *object, struct spec *spec)
{
    memset(spec, 0, sizeof *spec);
    spec->due_s = -1;
    int form = 0, urgency = 0;
    uint64_t pieces = 0;
    bool ok =
        codec_id_read(object, &spec->id) && name_field(object, "Lot", &spec->job_class) &&
        name_field(object, "Crew", &spec->team_name) && image_field(object, &spec->image) &&
        word_field(object, "Form", form_words, G_N_ELEMENTS(form_words), &form) &&
        word_field(object, "Urgency", urgency_words, G_N_ELEMENTS(urgency_words), &urgency) &&
        json_u64(object, "Pieces", &pieces) && pieces >= 1 && pieces <= 100000 &&
        codec_amount_field(object, "Vcpus", &spec->cpus) &&
        codec_amount_field(object, "Cards", &spec->gpus) &&
        codec_amount_field(object, "MemoryGb", &spec->memory) &&
        span_field(object, "ImageGb", &spec->image_gb) && builds_field(object, &spec->type_names) &&
        (json_is_null(object, "Yard") || name_field(object, "Yard", &spec->zone)) &&
        json_flag(object, "OneZone", &spec->one_zone) && json_flag(object, "Apart", &spec->apart) &&
        json_flag(object, "Loaners", &spec->spot) &&
        span_field(object, "ExpectedS", &spec->expected_s) &&
        span_field(object, "MarkEveryS", &spec->checkpoint_s) &&
        span_field(object, "StowS", &spec->save_s) &&
        (json_is_null(object, "DueS") || span_field(object, "DueS", &spec->due_s));
    spec->form = form;
    spec->urgency = urgency;
    spec->tasks = (uint32_t)pieces;
    if (!ok)
        spec_clear(spec);
    return ok;
}

static bool awaits(const struct spec *spec, job_id id)
{
    for (guint i = 0; i < spec->n_awaits; i++)
        if (job_eq(spec->awaits[i], id))
            return true;
    return false;
}

bool codec_awaits_read(json_object *o, struct spec *spec)
{
    if (json_is_null(o, "Awaits"))
        return true;
    json_object *list = json_list(o, "Awaits");
    size_t n = list ? json_object_array_length(list) : 0;
    if (!list || n > MOST_AWAITS)
        return false;
    spec->awaits = n ? g_new(job_id, n) : NULL;
    for (size_t i = 0; i < n; i++) {
        json_object *v = json_object_array_get_idx(list, i);
        job_id id;
        const char *name =
            json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "";
        if (strlen(name) != (size_t)json_object_get_string_len(v) || !user_id_from(&id, name) ||
            job_eq(id, spec->id))
            return false;
        if (!awaits(spec, id))
            spec->awaits[spec->n_awaits++] = id;
    }
    return true;
}

json_object *codec_spec_write(const struct spec *spec)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Id", spec->id.s);
    json_put_text(object, "Lot", spec->job_class);
    json_put_text(object, "Crew", spec->team_name);
    json_put_text(object, "Mould", spec->image);
    json_put_text(object, "Form", form_words[spec->form]);
    json_put_text(object, "Urgency", urgency_words[spec->urgency]);
    json_put_u64(object, "Pieces", spec->tasks);
    json_put_number(object, "Vcpus", spec->cpus.milli / 1000.0);
    json_put_number(object, "Cards", spec->gpus.milli / 1000.0);
    json_put_number(object, "MemoryGb", spec->memory.milli / 1000.0);
    json_put_number(object, "ImageGb", spec->image_gb);
    if (spec->type_names) {
        json_object *list = json_object_new_array();
        for (int i = 0; spec->type_names[i]; i++)
            json_object_array_add(list, json_object_new_string(spec->type_names[i]));
        json_object_object_add(object, "Builds", list);
    }
    if (spec->zone)
        json_put_text(object, "Yard", spec->zone);
    json_put_flag(object, "OneZone", spec->one_zone);
    json_put_flag(object, "Apart", spec->apart);
    json_put_flag(object, "Loaners", spec->spot);
    json_put_number(object, "ExpectedS", spec->expected_s);
    json_put_number(object, "MarkEveryS", spec->checkpoint_s);
    json_put_number(object, "StowS", spec->save_s);
    if (spec->due_s >= 0)
        json_put_number(object, "DueS", spec->due_s);
    if (spec->n_awaits) {
        json_object *list = json_object_new_array();
        for (guint i = 0; i < spec->n_awaits; i++)
            json_object_array_add(list, json_object_new_string(spec->awaits[i].s));
        json_object_object_add(object, "Awaits", list);
    }
    return object;
}

char *codec_job_answer(job_id id, const char *stage, long done, long running)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Id", id.s);
    json_put_text(object, "Stage", stage);
    if (done >= 0) {
        json_object_object_add(object, "done", json_object_new_int64(done));
        json_object_object_add(object, "running", json_object_new_int64(running));
    }
    return json_finish(object);
}
