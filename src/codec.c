#include "codec.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum { MOST_AWAITS = 100 }; /* that one job may name */

static const char *const form_words[] = {"sweep", "gang", "daemon"};
static const char *const urgency_words[] = {"prod", "high", "normal", "best_effort"};
static const char *const state_words[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const cause_words[] = {"done",  "halted",  "peers", "incomplete",
                                          "error", "no_room", "busy",  "no_such"};
static const char *const verb_words[] = {"run", "halt", "clear"};
static const char *const stage_words[] = {"booting", "running", "failed"};

static int word_index(const char *const *words, int n, const char *word)
{
    for (int i = 0; i < n; i++)
        if (strcmp(words[i], word) == 0)
            return i;
    return -1;
}

#define WORD(words, word) word_index(words, G_N_ELEMENTS(words), word)

/* json-c takes 'single' quotes for quotes even when it is strict. */
static bool has_foreign_quotes(const char *text, size_t len)
{
    bool inside = false;
    for (size_t i = 0; i < len; i++) {
        if (inside && text[i] == '\\')
            i++;
        else if (text[i] == '"')
            inside = !inside;
        else if (text[i] == '\'' && !inside)
            return true;
    }
    return false;
}

json_object *json_read(const char *text, size_t len)
{
    if (len > INT32_MAX || has_foreign_quotes(text, len))
        return NULL;
    struct json_tokener *tokener = json_tokener_new_ex(16);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    json_object *object = json_tokener_parse_ex(tokener, text, (int)len);
    if (json_tokener_get_error(tokener) == json_tokener_continue) /* a number at the very end */
        object = json_tokener_parse_ex(tokener, "", 1);
    bool whole = json_tokener_get_error(tokener) == json_tokener_success;
    size_t used = json_tokener_get_parse_end(tokener);
    for (; whole && used < len; used++)
        whole = strchr(" \t\r\n", text[used]) && text[used];
    json_tokener_free(tokener);
    if (!whole) {
        json_object_put(object);
        return NULL;
    }
    return object;
}

/* ---- json-c helpers ---- */

static json_object *field_of(json_object *o, const char *field)
{
    json_object *v = NULL;
    if (json_object_is_type(o, json_type_object))
        json_object_object_get_ex(o, field, &v);
    return v;
}

bool json_text(json_object *o, const char *field, const char **out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_string))
        return false;
    *out = json_object_get_string(v);
    return strlen(*out) == (size_t)json_object_get_string_len(v);
}

bool json_u64(json_object *o, const char *field, uint64_t *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_int))
        return false;
    if (json_object_get_int64(v) < 0)
        return false;
    *out = json_object_get_uint64(v);
    return true;
}

bool json_number(json_object *o, const char *field, double *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_int) && !json_object_is_type(v, json_type_double))
        return false;
    *out = json_object_get_double(v);
    return isfinite(*out);
}

bool json_flag(json_object *o, const char *field, bool *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_boolean))
        return false;
    *out = json_object_get_boolean(v);
    return true;
}

json_object *json_list(json_object *o, const char *field)
{
    json_object *v = field_of(o, field);
    return json_object_is_type(v, json_type_array) ? v : NULL;
}

void json_put_text(json_object *object, const char *field, const char *value)
{
    json_object_object_add(object, field, json_object_new_string(value));
}

void json_put_u64(json_object *object, const char *field, uint64_t value)
{
    json_object_object_add(object, field, json_object_new_uint64(value));
}

static void put_number(json_object *object, const char *field, double value)
{
    json_object_object_add(object, field, json_object_new_double(value));
}

static void put_flag(json_object *object, const char *field, bool value)
{
    json_object_object_add(object, field, json_object_new_boolean(value));
}

static bool is_null(json_object *object, const char *field)
{
    return field_of(object, field) == NULL;
}

static bool short_text(json_object *object, const char *field, char *out, size_t size)
{
    const char *s;
    if (!json_text(object, field, &s) || strlen(s) >= size)
        return false;
    strcpy(out, s);
    return true;
}

/* ---- jobs ---- */

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

static bool amount_field(json_object *object, const char *field, amount *out)
{
    double x;
    if (!json_number(object, field, &x) || x < 0 || x > 1e9)
        return false;
    /* Rounded up, as limits are rounded down. */
    out->milli = (int64_t)ceil(x * 1000 - 1e-6);
    return true;
}

static bool span_field(json_object *object, const char *field, double *out)
{
    return json_number(object, field, out) && *out >= 0 && *out < 1e9;
}

static bool builds_field(json_object *o, char ***out)
{
    if (is_null(o, "Builds"))
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
    *out = word_index(words, n, s);
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
        amount_field(object, "Vcpus", &spec->cpus) && amount_field(object, "Cards", &spec->gpus) &&
        amount_field(object, "MemoryGb", &spec->memory) &&
        span_field(object, "ImageGb", &spec->image_gb) && builds_field(object, &spec->type_names) &&
        (is_null(object, "Yard") || name_field(object, "Yard", &spec->zone)) &&
        json_flag(object, "OneZone", &spec->one_zone) && json_flag(object, "Apart", &spec->apart) &&
        json_flag(object, "Loaners", &spec->spot) &&
        span_field(object, "ExpectedS", &spec->expected_s) &&
        span_field(object, "MarkEveryS", &spec->checkpoint_s) &&
        span_field(object, "StowS", &spec->save_s) &&
        (is_null(object, "DueS") || span_field(object, "DueS", &spec->due_s));
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
    if (is_null(o, "Awaits"))
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
    put_number(object, "Vcpus", spec->cpus.milli / 1000.0);
    put_number(object, "Cards", spec->gpus.milli / 1000.0);
    put_number(object, "MemoryGb", spec->memory.milli / 1000.0);
    put_number(object, "ImageGb", spec->image_gb);
    if (spec->type_names) {
        json_object *list = json_object_new_array();
        for (int i = 0; spec->type_names[i]; i++)
            json_object_array_add(list, json_object_new_string(spec->type_names[i]));
        json_object_object_add(object, "Builds", list);
    }
    if (spec->zone)
        json_put_text(object, "Yard", spec->zone);
    put_flag(object, "OneZone", spec->one_zone);
    put_flag(object, "Apart", spec->apart);
    put_flag(object, "Loaners", spec->spot);
    put_number(object, "ExpectedS", spec->expected_s);
    put_number(object, "MarkEveryS", spec->checkpoint_s);
    put_number(object, "StowS", spec->save_s);
    if (spec->due_s >= 0)
        put_number(object, "DueS", spec->due_s);
    if (spec->n_awaits) {
        json_object *list = json_object_new_array();
        for (guint i = 0; i < spec->n_awaits; i++)
            json_object_array_add(list, json_object_new_string(spec->awaits[i].s));
        json_object_object_add(object, "Awaits", list);
    }
    return object;
}

static char *finish(json_object *object)
{
    char *s = g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
    return s;
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
    return finish(object);
}

/* ---- workers ---- */

void report_clear(struct report *report)
{
    if (report->tasks)
        g_array_unref(report->tasks);
    report->tasks = NULL;
}

bool task_name_read(const char *text, job_id *job, uint32_t *index)
{
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || slash - text >= (int)sizeof job->s || !g_ascii_isdigit(slash[1]))
        return false;
    char name[sizeof job->s];
    memcpy(name, text, slash - text);
    name[slash - text] = 0;
    char *end;
    unsigned long v = strtoul(slash + 1, &end, 10);
    if (*end || v > 100000)
        return false;
    *index = (uint32_t)v;
    return job_id_from(job, name);
}

static bool report_task_read(json_object *object, struct report_task *task)
{
    const char *name, *state, *cause = NULL;
    if (!json_text(object, "Piece", &name) || !task_name_read(name, &task->job, &task->index) ||
        !json_u64(object, "Try", &task->attempt.v) || !json_text(object, "Stage", &state))
        return false;
    int st = WORD(state_words, state);
    if (st < 0)
        return false;
    task->state = st;
    task->cause = CAUSE_UNKNOWN;
    if (st == TASK_EXITED && json_text(object, "Cause", &cause)) {
        int c = WORD(cause_words, cause);
        if (c >= 0)
            task->cause = c;
    }
    task->stored = false;
    json_flag(object, "Stored", &task->stored);
    return true;
}

bool codec_report_read(json_object *object, struct report *report)
{
    memset(report, 0, sizeof *report);
    char host[48];
    report->reclaim_notice_s = -1;
    if (!short_text(object, "Mast", host, sizeof host) || !host_id_from(&report->host, host) ||
        !short_text(object, "Address", report->addr, sizeof report->addr) ||
        !short_text(object, "Build", report->type_name, sizeof report->type_name) ||
        !short_text(object, "Yard", report->zone, sizeof report->zone) ||
        !json_flag(object, "Loaners", &report->spot) ||
        !json_u64(object, "Shift", &report->session) ||
        !json_u64(object, "Tally", &report->sequence) || !json_u64(object, "Helm", &report->token))
        return false;
    if (!is_null(object, "RecallS") && !json_number(object, "RecallS", &report->reclaim_notice_s))
        return false;
    json_object *list = json_list(object, "Pieces");
    if (!list && !is_null(object, "Pieces"))
        return false;
    report->tasks = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        struct report_task task;
        if (!report_task_read(json_object_array_get_idx(list, i), &task)) {
            report_clear(report);
            return false;
        }
        g_array_append_val(report->tasks, task);
    }
    return true;
}

char *codec_commands_write(epoch_no token, uint64_t session, const struct command *commands,
                           guint n)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(o, "Helm", token.v);
    if (session)
        json_put_u64(o, "Shift", session);
    for (guint i = 0; i < n; i++) {
        json_object *x = json_object_new_object();
        char name[64];
        g_snprintf(name, sizeof name, "%s/%u", commands[i].job.s, commands[i].index);
        json_put_text(x, "Verb", verb_words[commands[i].verb]);
        json_put_text(x, "Piece", name);
        json_put_u64(x, "Try", commands[i].attempt.v);
        if (commands[i].verb == COMMAND_HALT)
            put_number(x, "WindDownS", commands[i].grace_s);
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Orders", list);
    return finish(o);
}

char *codec_redirect_write(const char *label)
{
    json_object *object = json_object_new_object();
    if (label)
        json_put_text(object, "Harbour", label);
    return finish(object);
}

/* ---- cloud ---- */

static void clear_type(gpointer p)
{
    g_strfreev(((struct machine_type *)p)->zones);
}

static bool type_read(json_object *object, struct machine_type *type)
{
    memset(type, 0, sizeof *type);
    json_object *zones = json_list(object, "Yards");
    if (!short_text(object, "Label", type->name, sizeof type->name) ||
        !amount_field(object, "Vcpus", &type->cpus) ||
        !amount_field(object, "Cards", &type->gpus) ||
        !amount_field(object, "MemoryGb", &type->memory) ||
        !json_number(object, "LocalGb", &type->image_cache_gb) ||
        !json_number(object, "FetchGbPerS", &type->fetch_gb_per_s) ||
        !json_number(object, "Price", &type->price) ||
        !json_number(object, "MarketPrice", &type->spot_price) ||
        !json_number(object, "ReadyS", &type->boot_s) || !zones)
        return false;
    size_t n = json_object_array_length(zones);
    type->zones = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        type->zones[i] = g_strdup(json_object_get_string(json_object_array_get_idx(zones, i)));
    return true;
}

GArray *codec_types_read(json_object *object)
{
    json_object *list = json_list(object, "Builds");
    if (!list)
        return NULL;
    GArray *types = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    g_array_set_clear_func(types, clear_type);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct machine_type type;
        if (!type_read(json_object_array_get_idx(list, i), &type)) {
            g_array_unref(types);
            return NULL;
        }
        g_array_append_val(types, type);
    }
    return types;
}

json_object *codec_types_write(const GArray *types)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *type = &g_array_index(types, struct machine_type, i);
        json_object *x = json_object_new_object(), *zones = json_object_new_array();
        json_put_text(x, "Label", type->name);
        put_number(x, "Vcpus", type->cpus.milli / 1000.0);
        put_number(x, "Cards", type->gpus.milli / 1000.0);
        put_number(x, "MemoryGb", type->memory.milli / 1000.0);
        put_number(x, "LocalGb", type->image_cache_gb);
        put_number(x, "FetchGbPerS", type->fetch_gb_per_s);
        put_number(x, "Price", type->price);
        put_number(x, "MarketPrice", type->spot_price);
        put_number(x, "ReadyS", type->boot_s);
        for (int k = 0; type->zones[k]; k++)
            json_object_array_add(zones, json_object_new_string(type->zones[k]));
        json_object_object_add(x, "Yards", zones);
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Builds", list);
    return o;
}

GArray *codec_rentals_read(json_object *o, bool *more)
{
    json_object *list = json_list(o, "Masts");
    if (!list || !json_flag(o, "More", more))
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct rental));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *x = json_object_array_get_idx(list, i);
        struct rental rental = {0};
        const char *stage;
        char id[48];
        int st;
        if (!short_text(x, "Id", id, sizeof id) || !host_id_from(&rental.id, id) ||
            !short_text(x, "Build", rental.type_name, sizeof rental.type_name) ||
            !short_text(x, "Yard", rental.zone, sizeof rental.zone) ||
            !json_flag(x, "Loaners", &rental.spot) || !json_text(x, "Stage", &stage) ||
            (st = WORD(stage_words, stage)) < 0) {
            g_array_unref(out);
            return NULL;
        }
        short_text(x, "Address", rental.addr, sizeof rental.addr);
        json_number(x, "HeldS", &rental.age_s);
        rental.stage = st;
        g_array_append_val(out, rental);
    }
    return out;
}

char *codec_rent_write(const char *charter, const char *type_name, const char *zone, bool spot,
                       int number)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Charter", charter);
    json_put_text(object, "Build", type_name);
    json_put_text(object, "Yard", zone);
    put_flag(object, "Loaners", spot);
    json_object_object_add(object, "Number", json_object_new_int(number));
    return finish(object);
}

GArray *codec_rented_read(json_object *o)
{
    json_object *list = json_list(o, "Masts");
    if (!list)
        return NULL;
    GArray *out = g_array_new(FALSE, TRUE, sizeof(host_id));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *x = json_object_array_get_idx(list, i);
        host_id id;
        if (json_object_is_type(x, json_type_string) &&
            host_id_from(&id, json_object_get_string(x)))
            g_array_append_val(out, id);
    }
    return out;
}

char *codec_return_write(const host_id *hosts, guint n)
{
    json_object *object = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < n; i++)
        json_object_array_add(list, json_object_new_string(hosts[i].s));
    json_object_object_add(object, "Masts", list);
    return finish(object);
}
