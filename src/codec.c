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
    struct json_tokener *t = json_tokener_new_ex(16);
    json_tokener_set_flags(t, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    json_object *o = json_tokener_parse_ex(t, text, (int)len);
    if (json_tokener_get_error(t) == json_tokener_continue) /* a number at the very end */
        o = json_tokener_parse_ex(t, "", 1);
    bool whole = json_tokener_get_error(t) == json_tokener_success;
    size_t used = json_tokener_get_parse_end(t);
    for (; whole && used < len; used++)
        whole = strchr(" \t\r\n", text[used]) && text[used];
    json_tokener_free(t);
    if (!whole) {
        json_object_put(o);
        return NULL;
    }
    return o;
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

void json_put_text(json_object *o, const char *field, const char *value)
{
    json_object_object_add(o, field, json_object_new_string(value));
}

void json_put_u64(json_object *o, const char *field, uint64_t value)
{
    json_object_object_add(o, field, json_object_new_uint64(value));
}

static void put_number(json_object *o, const char *field, double value)
{
    json_object_object_add(o, field, json_object_new_double(value));
}

static void put_flag(json_object *o, const char *field, bool value)
{
    json_object_object_add(o, field, json_object_new_boolean(value));
}

static bool is_null(json_object *o, const char *field)
{
    return field_of(o, field) == NULL;
}

static bool short_text(json_object *o, const char *field, char *out, size_t size)
{
    const char *s;
    if (!json_text(o, field, &s) || strlen(s) >= size)
        return false;
    strcpy(out, s);
    return true;
}

/* ---- jobs ---- */

const char *codec_urgency_word(enum urgency u)
{
    return urgency_words[u];
}

void spec_clear(struct spec *s)
{
    g_free(s->lot);
    g_free(s->crew);
    if (s->image)
        g_ref_string_release(s->image);
    g_free(s->yard);
    g_free(s->awaits);
    g_strfreev(s->builds);
    memset(s, 0, sizeof *s);
}

static bool name_field(json_object *o, const char *field, char **out)
{
    const char *s;
    if (!json_text(o, field, &s) || !*s || strlen(s) > 200)
        return false;
    *out = g_strdup(s);
    return true;
}

/* Compared by address: images are looked up for every machine that might be chosen. */
static bool image_field(json_object *o, char **out)
{
    char *name = NULL;
    if (!name_field(o, "Mould", &name))
        return false;
    *out = g_ref_string_new_intern(name);
    g_free(name);
    return true;
}

static bool amount_field(json_object *o, const char *field, amount *out)
{
    double x;
    if (!json_number(o, field, &x) || x < 0 || x > 1e9)
        return false;
    /* Rounded up, as limits are rounded down. */
    out->milli = (int64_t)ceil(x * 1000 - 1e-6);
    return true;
}

static bool span_field(json_object *o, const char *field, double *out)
{
    return json_number(o, field, out) && *out >= 0 && *out < 1e9;
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

static bool word_field(json_object *o, const char *field, const char *const *words, int n, int *out)
{
    const char *s;
    if (!json_text(o, field, &s))
        return false;
    *out = word_index(words, n, s);
    return *out >= 0;
}

static bool user_id_from(job_id *out, const char *s)
{
    return g_str_has_prefix(s, "wk-") && s[3] && job_id_from(out, s);
}

bool codec_id_read(json_object *o, job_id *out)
{
    const char *s;
    return json_text(o, "Id", &s) && user_id_from(out, s);
}

bool codec_spec_read(json_object *o, struct spec *s)
{
    memset(s, 0, sizeof *s);
    s->due_s = -1;
    int form = 0, urgency = 0;
    uint64_t pieces = 0;
    bool ok = codec_id_read(o, &s->id) && name_field(o, "Lot", &s->lot) &&
              name_field(o, "Crew", &s->crew) && image_field(o, &s->image) &&
              word_field(o, "Form", form_words, G_N_ELEMENTS(form_words), &form) &&
              word_field(o, "Urgency", urgency_words, G_N_ELEMENTS(urgency_words), &urgency) &&
              json_u64(o, "Pieces", &pieces) && pieces >= 1 && pieces <= 100000 &&
              amount_field(o, "Vcpus", &s->cpus) && amount_field(o, "Cards", &s->gpus) &&
              amount_field(o, "MemoryGb", &s->memory) && span_field(o, "ImageGb", &s->image_gb) &&
              builds_field(o, &s->builds) &&
              (is_null(o, "Yard") || name_field(o, "Yard", &s->yard)) &&
              json_flag(o, "OneZone", &s->one_zone) && json_flag(o, "Apart", &s->apart) &&
              json_flag(o, "Loaners", &s->loaners) && span_field(o, "ExpectedS", &s->expected_s) &&
              span_field(o, "MarkEveryS", &s->mark_every_s) && span_field(o, "StowS", &s->stow_s) &&
              (is_null(o, "DueS") || span_field(o, "DueS", &s->due_s));
    s->form = form;
    s->urgency = urgency;
    s->tasks = (uint32_t)pieces;
    if (!ok)
        spec_clear(s);
    return ok;
}

static bool awaits(const struct spec *s, job_id id)
{
    for (guint i = 0; i < s->n_awaits; i++)
        if (job_eq(s->awaits[i], id))
            return true;
    return false;
}

bool codec_awaits_read(json_object *o, struct spec *s)
{
    if (is_null(o, "Awaits"))
        return true;
    json_object *list = json_list(o, "Awaits");
    size_t n = list ? json_object_array_length(list) : 0;
    if (!list || n > MOST_AWAITS)
        return false;
    s->awaits = n ? g_new(job_id, n) : NULL;
    for (size_t i = 0; i < n; i++) {
        json_object *v = json_object_array_get_idx(list, i);
        job_id id;
        const char *name =
            json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "";
        if (strlen(name) != (size_t)json_object_get_string_len(v) || !user_id_from(&id, name) ||
            job_eq(id, s->id))
            return false;
        if (!awaits(s, id))
            s->awaits[s->n_awaits++] = id;
    }
    return true;
}

json_object *codec_spec_write(const struct spec *s)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "Id", s->id.s);
    json_put_text(o, "Lot", s->lot);
    json_put_text(o, "Crew", s->crew);
    json_put_text(o, "Mould", s->image);
    json_put_text(o, "Form", form_words[s->form]);
    json_put_text(o, "Urgency", urgency_words[s->urgency]);
    json_put_u64(o, "Pieces", s->tasks);
    put_number(o, "Vcpus", s->cpus.milli / 1000.0);
    put_number(o, "Cards", s->gpus.milli / 1000.0);
    put_number(o, "MemoryGb", s->memory.milli / 1000.0);
    put_number(o, "ImageGb", s->image_gb);
    if (s->builds) {
        json_object *list = json_object_new_array();
        for (int i = 0; s->builds[i]; i++)
            json_object_array_add(list, json_object_new_string(s->builds[i]));
        json_object_object_add(o, "Builds", list);
    }
    if (s->yard)
        json_put_text(o, "Yard", s->yard);
    put_flag(o, "OneZone", s->one_zone);
    put_flag(o, "Apart", s->apart);
    put_flag(o, "Loaners", s->loaners);
    put_number(o, "ExpectedS", s->expected_s);
    put_number(o, "MarkEveryS", s->mark_every_s);
    put_number(o, "StowS", s->stow_s);
    if (s->due_s >= 0)
        put_number(o, "DueS", s->due_s);
    if (s->n_awaits) {
        json_object *list = json_object_new_array();
        for (guint i = 0; i < s->n_awaits; i++)
            json_object_array_add(list, json_object_new_string(s->awaits[i].s));
        json_object_object_add(o, "Awaits", list);
    }
    return o;
}

static char *finish(json_object *o)
{
    char *s = g_strdup(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
    json_object_put(o);
    return s;
}

char *codec_job_answer(job_id id, const char *stage, long done, long running)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "Id", id.s);
    json_put_text(o, "Stage", stage);
    if (done >= 0) {
        json_object_object_add(o, "done", json_object_new_int64(done));
        json_object_object_add(o, "running", json_object_new_int64(running));
    }
    return finish(o);
}

/* ---- workers ---- */

void report_clear(struct report *r)
{
    if (r->tasks)
        g_array_unref(r->tasks);
    r->tasks = NULL;
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

static bool report_task_read(json_object *o, struct report_task *t)
{
    const char *name, *state, *cause = NULL;
    if (!json_text(o, "Piece", &name) || !task_name_read(name, &t->job, &t->index) ||
        !json_u64(o, "Try", &t->attempt.v) || !json_text(o, "Stage", &state))
        return false;
    int st = WORD(state_words, state);
    if (st < 0)
        return false;
    t->state = st;
    t->cause = CAUSE_UNKNOWN;
    if (st == TASK_EXITED && json_text(o, "Cause", &cause)) {
        int c = WORD(cause_words, cause);
        if (c >= 0)
            t->cause = c;
    }
    t->stored = false;
    json_flag(o, "Stored", &t->stored);
    return true;
}

bool codec_report_read(json_object *o, struct report *r)
{
    memset(r, 0, sizeof *r);
    char host[48];
    r->recall_s = -1;
    if (!short_text(o, "Mast", host, sizeof host) || !host_id_from(&r->host, host) ||
        !short_text(o, "Address", r->addr, sizeof r->addr) ||
        !short_text(o, "Build", r->build, sizeof r->build) ||
        !short_text(o, "Yard", r->yard, sizeof r->yard) || !json_flag(o, "Loaners", &r->loaners) ||
        !json_u64(o, "Shift", &r->shift) || !json_u64(o, "Tally", &r->tally) ||
        !json_u64(o, "Helm", &r->helm))
        return false;
    if (!is_null(o, "RecallS") && !json_number(o, "RecallS", &r->recall_s))
        return false;
    json_object *list = json_list(o, "Pieces");
    if (!list && !is_null(o, "Pieces"))
        return false;
    r->tasks = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        struct report_task t;
        if (!report_task_read(json_object_array_get_idx(list, i), &t)) {
            report_clear(r);
            return false;
        }
        g_array_append_val(r->tasks, t);
    }
    return true;
}

char *codec_orders_write(epoch_no helm, uint64_t shift, const struct order *orders, guint n)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    json_put_u64(o, "Helm", helm.v);
    if (shift)
        json_put_u64(o, "Shift", shift);
    for (guint i = 0; i < n; i++) {
        json_object *x = json_object_new_object();
        char name[64];
        snprintf(name, sizeof name, "%s/%u", orders[i].job.s, orders[i].index);
        json_put_text(x, "Verb", verb_words[orders[i].verb]);
        json_put_text(x, "Piece", name);
        json_put_u64(x, "Try", orders[i].attempt.v);
        if (orders[i].verb == ORDER_HALT)
            put_number(x, "WindDownS", orders[i].wind_down_s);
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Orders", list);
    return finish(o);
}

char *codec_harbour_write(const char *label)
{
    json_object *o = json_object_new_object();
    if (label)
        json_put_text(o, "Harbour", label);
    return finish(o);
}

/* ---- cloud ---- */

static void clear_type(gpointer p)
{
    g_strfreev(((struct machine_type *)p)->yards);
}

static bool type_read(json_object *o, struct machine_type *t)
{
    memset(t, 0, sizeof *t);
    json_object *yards = json_list(o, "Yards");
    if (!short_text(o, "Label", t->name, sizeof t->name) || !amount_field(o, "Vcpus", &t->cpus) ||
        !amount_field(o, "Cards", &t->gpus) || !amount_field(o, "MemoryGb", &t->memory) ||
        !json_number(o, "LocalGb", &t->local_gb) ||
        !json_number(o, "FetchGbPerS", &t->fetch_gb_per_s) || !json_number(o, "Price", &t->price) ||
        !json_number(o, "MarketPrice", &t->market_price) ||
        !json_number(o, "ReadyS", &t->ready_s) || !yards)
        return false;
    size_t n = json_object_array_length(yards);
    t->yards = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        t->yards[i] = g_strdup(json_object_get_string(json_object_array_get_idx(yards, i)));
    return true;
}

GArray *codec_types_read(json_object *o)
{
    json_object *list = json_list(o, "Builds");
    if (!list)
        return NULL;
    GArray *types = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    g_array_set_clear_func(types, clear_type);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct machine_type t;
        if (!type_read(json_object_array_get_idx(list, i), &t)) {
            g_array_unref(types);
            return NULL;
        }
        g_array_append_val(types, t);
    }
    return types;
}

json_object *codec_types_write(const GArray *types)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < types->len; i++) {
        const struct machine_type *t = &g_array_index(types, struct machine_type, i);
        json_object *x = json_object_new_object(), *yards = json_object_new_array();
        json_put_text(x, "Label", t->name);
        put_number(x, "Vcpus", t->cpus.milli / 1000.0);
        put_number(x, "Cards", t->gpus.milli / 1000.0);
        put_number(x, "MemoryGb", t->memory.milli / 1000.0);
        put_number(x, "LocalGb", t->local_gb);
        put_number(x, "FetchGbPerS", t->fetch_gb_per_s);
        put_number(x, "Price", t->price);
        put_number(x, "MarketPrice", t->market_price);
        put_number(x, "ReadyS", t->ready_s);
        for (int k = 0; t->yards[k]; k++)
            json_object_array_add(yards, json_object_new_string(t->yards[k]));
        json_object_object_add(x, "Yards", yards);
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
        struct rental r = {0};
        const char *stage;
        char id[48];
        int st;
        if (!short_text(x, "Id", id, sizeof id) || !host_id_from(&r.id, id) ||
            !short_text(x, "Build", r.build, sizeof r.build) ||
            !short_text(x, "Yard", r.yard, sizeof r.yard) || !json_flag(x, "Loaners", &r.loaners) ||
            !json_text(x, "Stage", &stage) || (st = WORD(stage_words, stage)) < 0) {
            g_array_unref(out);
            return NULL;
        }
        short_text(x, "Address", r.addr, sizeof r.addr);
        json_number(x, "HeldS", &r.held_s);
        r.stage = st;
        g_array_append_val(out, r);
    }
    return out;
}

char *codec_rent_write(const char *charter, const char *build, const char *yard, bool loaners,
                       int number)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "Charter", charter);
    json_put_text(o, "Build", build);
    json_put_text(o, "Yard", yard);
    put_flag(o, "Loaners", loaners);
    json_object_object_add(o, "Number", json_object_new_int(number));
    return finish(o);
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
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    for (guint i = 0; i < n; i++)
        json_object_array_add(list, json_object_new_string(hosts[i].s));
    json_object_object_add(o, "Masts", list);
    return finish(o);
}
