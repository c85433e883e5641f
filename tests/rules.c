#include "rules.h"

#include <json-c/json.h>
#include <math.h>
#include <stdio.h>

enum form_word { ARRAY, GANG, SERVICE };
static const char *const form_words[] = {"sweep", "gang", "daemon"};
static const char *const urgency_words[] = {"prod", "high", "normal", "best_effort"};

/* How often each rule is told of. */
enum { MOST_TOLD = 4 };

/* Of processors, cards and memory, in thousandths. */
struct need {
    int64_t cpus, gpus, memory;
};

/* What a submission says, read here and not by what is tested. */
struct wish {
    char *lacks; /* the field that is missing or wrong; NULL: none */
    char *lot, *crew, *yard;
    char **builds, **awaits;
    enum form_word form;
    int64_t tasks;
    struct need each;
    bool one_zone, apart, loaners;
};

struct placed {
    char machine[48], yard[48];
    uint32_t index;
};

struct judged {
    char *id;
    struct wish *wish;      /* of the submission that counts; NULL: none */
    int open;               /* submissions that were not refused */
    bool accepted, by_user; /* by_user: a user asked to cancel it */
    bool cancelled, done;   /* told so */
    bool over_by_hand;      /* its end was written by hand */
    mono_time accepted_at, cancelled_at, done_at, asked_at, begun_at, waits_from;
    bool begun, waits;
    GArray *on; /* struct placed: its tasks on machines */
    GByteArray *started_once, *done_once;
    int64_t n_started, n_done;
};

struct rules {
    const struct settings *settings;
    const char *types;
    GHashTable *jobs;  /* id -> struct judged */
    struct need *used; /* of each team */
    GString *broken;
    GHashTable *told; /* rule -> how often */
};

/* ---- what is kept ---- */

static void G_GNUC_PRINTF(3, 4) broke(struct rules *r, const char *rule, const char *format, ...)
{
    int before = GPOINTER_TO_INT(g_hash_table_lookup(r->told, rule));
    if (before >= MOST_TOLD)
        return;
    g_hash_table_insert(r->told, (gpointer)rule, GINT_TO_POINTER(before + 1));
    va_list args;
    va_start(args, format);
    g_string_append_printf(r->broken, "%s%s: ", r->broken->len ? "\n" : "", rule);
    g_string_append_vprintf(r->broken, format, args);
    va_end(args);
}

static double seconds(mono_time t)
{
    return (double)t.us / 1e6;
}

static void wish_free(struct wish *s)
{
    if (!s)
        return;
    g_free(s->lacks);
    g_free(s->lot);
    g_free(s->crew);
    g_free(s->yard);
    g_strfreev(s->builds);
    g_strfreev(s->awaits);
    g_free(s);
}

static void judged_free(gpointer q)
{
    struct judged *j = q;
    g_free(j->id);
    wish_free(j->wish);
    g_array_unref(j->on);
    g_byte_array_unref(j->started_once);
    g_byte_array_unref(j->done_once);
    g_free(j);
}

struct rules *rules_new(const struct settings *settings)
{
    struct rules *r = g_new0(struct rules, 1);
    r->settings = settings;
    r->types = "{\"Builds\":[]}";
    r->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, judged_free);
    r->used = g_new0(struct need, settings->teams->len + 1);
    r->broken = g_string_new(NULL);
    r->told = g_hash_table_new(g_str_hash, g_str_equal);
    return r;
}

void rules_free(struct rules *r)
{
    g_hash_table_unref(r->jobs);
    g_free(r->used);
    g_hash_table_unref(r->told);
    g_string_free(r->broken, TRUE);
    g_free(r);
}

void rules_types(struct rules *r, const char *text)
{
    r->types = text;
}

static struct judged *judged_get(struct rules *r, const char *id)
{
    struct judged *j = g_hash_table_lookup(r->jobs, id);
    if (j)
        return j;
    j = g_new0(struct judged, 1);
    j->id = g_strdup(id);
    j->on = g_array_new(FALSE, TRUE, sizeof(struct placed));
    j->started_once = g_byte_array_new();
    j->done_once = g_byte_array_new();
    g_hash_table_insert(r->jobs, j->id, j);
    return j;
}

/* Notes a task once; true the first time. */
static bool note_once(GByteArray *seen, uint32_t index)
{
    guint before = seen->len;
    if (index >= before) {
        g_byte_array_set_size(seen, index + 1);
        memset(seen->data + before, 0, index + 1 - before);
    }
    bool first = !seen->data[index];
    seen->data[index] = 1;
    return first;
}

static bool was_noted(const GByteArray *seen, uint32_t index)
{
    return index < seen->len && seen->data[index];
}

/* ---- submissions ---- */

static json_object *field(json_object *o, const char *name)
{
    json_object *v = NULL;
    return json_object_object_get_ex(o, name, &v) ? v : NULL;
}

static char *text_field(json_object *o, const char *name)
{
    json_object *v = field(o, name);
    return json_object_is_type(v, json_type_string) ? g_strdup(json_object_get_string(v)) : NULL;
}

static char **texts_field(json_object *o, const char *name)
{
    json_object *v = field(o, name);
    if (!json_object_is_type(v, json_type_array))
        return NULL;
    size_t n = json_object_array_length(v);
    char **out = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        out[i] = g_strdup(json_object_get_string(json_object_array_get_idx(v, i)));
    return out;
}

static bool is_number(json_object *v)
{
    return json_object_is_type(v, json_type_int) || json_object_is_type(v, json_type_double);
}

static int64_t milli(json_object *o, const char *name)
{
    return (int64_t)ceil(json_object_get_double(field(o, name)) * 1000 - 1e-6);
}

static int word_of(const char *const *words, int n, const char *word)
{
    for (int i = 0; word && i < n; i++)
        if (strcmp(words[i], word) == 0)
            return i;
    return -1;
}

/* The first mandatory field that is missing or of a wrong kind, or NULL. */
static const char *lacking(json_object *o)
{
    static const char *const texts[] = {"Id", "Lot", "Crew", "Form", "Urgency", "Mould"};
    static const char *const numbers[] = {"Pieces",  "Vcpus",     "Cards",      "MemoryGb",
                                          "ImageGb", "ExpectedS", "MarkEveryS", "StowS"};
    static const char *const flags[] = {"OneZone", "Apart", "Loaners"};
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++)
        if (!json_object_is_type(field(o, texts[i]), json_type_string))
            return texts[i];
    for (guint i = 0; i < G_N_ELEMENTS(numbers); i++)
        if (!is_number(field(o, numbers[i])) || json_object_get_double(field(o, numbers[i])) < 0)
            return numbers[i];
    for (guint i = 0; i < G_N_ELEMENTS(flags); i++)
        if (!json_object_is_type(field(o, flags[i]), json_type_boolean))
            return flags[i];
    int64_t tasks = json_object_get_int64(field(o, "Pieces"));
    if (!json_object_is_type(field(o, "Pieces"), json_type_int) || tasks < 1 || tasks > 100000)
        return "Pieces";
    if (word_of(form_words, G_N_ELEMENTS(form_words), json_object_get_string(field(o, "Form"))) < 0)
        return "Form";
    if (word_of(urgency_words, G_N_ELEMENTS(urgency_words),
                json_object_get_string(field(o, "Urgency"))) < 0)
        return "Urgency";
    return NULL;
}

static struct wish *wish_of(json_object *o)
{
    struct wish *s = g_new0(struct wish, 1);
    s->lacks = g_strdup(lacking(o));
    if (s->lacks)
        return s;
    s->lot = text_field(o, "Lot");
    s->crew = text_field(o, "Crew");
    s->yard = text_field(o, "Yard");
    s->builds = texts_field(o, "Builds");
    s->awaits = texts_field(o, "Awaits");
    s->form = (enum form_word)word_of(form_words, G_N_ELEMENTS(form_words),
                                      json_object_get_string(field(o, "Form")));
    s->tasks = json_object_get_int64(field(o, "Pieces"));
    s->each = (struct need){milli(o, "Vcpus"), milli(o, "Cards"), milli(o, "MemoryGb")};
    s->one_zone = json_object_get_boolean(field(o, "OneZone"));
    s->apart = json_object_get_boolean(field(o, "Apart"));
    s->loaners = json_object_get_boolean(field(o, "Loaners"));
    return s;
}

/* A submission's body; NULL when it is no object. */
static json_object *body_of(const char *text)
{
    json_object *o = json_tokener_parse(text);
    if (o && json_object_is_type(o, json_type_object))
        return o;
    json_object_put(o);
    return NULL;
}

/* Whether that many tasks, and what the team uses already, are within its limit. */
static bool within(const struct team *t, struct need used, struct need each, int64_t tasks)
{
    return used.cpus + each.cpus * tasks <= t->cpus_max.milli &&
           used.gpus + each.gpus * tasks <= t->gpus_max.milli;
}

static bool listed(char **list, const char *word)
{
    return g_strv_contains((const char *const *)list, word);
}

static struct need type_room(json_object *t)
{
    return (struct need){milli(t, "Vcpus"), milli(t, "Cards"), milli(t, "MemoryGb")};
}

/* How many tasks of that size there is room for. */
static int64_t times(struct need room, struct need each)
{
    int64_t n = 1000000;
    n = each.cpus > 0 ? MIN(n, room.cpus / each.cpus) : n;
    n = each.gpus > 0 ? MIN(n, room.gpus / each.gpus) : n;
    n = each.memory > 0 ? MIN(n, room.memory / each.memory) : n;
    return MAX(n, 0);
}

static bool fits_some_type(struct rules *r, const struct wish *s)
{
    json_object *types = json_tokener_parse(r->types), *list = field(types, "Builds");
    bool fits = false;
    for (size_t i = 0; i < json_object_array_length(list) && !fits; i++) {
        json_object *t = json_object_array_get_idx(list, i);
        char **yards = texts_field(t, "Yards");
        bool there = yards && yards[0] && (!s->yard || listed(yards, s->yard));
        bool allowed = !s->builds || listed(s->builds, json_object_get_string(field(t, "Label")));
        fits = there && allowed && times(type_room(t), s->each) > 0;
        g_strfreev(yards);
    }
    json_object_put(types);
    return fits;
}

/* Whether a job that was accepted could have been. */
static void judge_accepted(struct rules *r, const char *id, const struct wish *s)
{
    if (s->lacks) {
        broke(r, "accepted", "%s without a good %s", id, s->lacks);
        return;
    }
    int team = settings_team(r->settings, s->crew);
    if (team < 0) {
        broke(r, "accepted", "%s of the unknown team %s", id, s->crew);
        return;
    }
    if (!fits_some_type(r, s))
        broke(r, "accepted", "%s, whose tasks fit no type", id);
    const struct team *t = &g_array_index(r->settings->teams, struct team, team);
    if (!within(t, (struct need){0}, s->each, s->form == ARRAY ? 1 : s->tasks))
        broke(r, "accepted", "%s, which is beyond the limit of %s", id, s->crew);
}

/* ---- users ---- */

/* The job that a request is about; NULL: none. */
static char *job_of(const char *method, const char *path, const char *body)
{
    if (strcmp(path, "/work") == 0) {
        json_object *o = strcmp(method, "POST") == 0 && body ? body_of(body) : NULL;
        char *id = text_field(o, "Id");
        json_object_put(o);
        return id;
    }
    if (!g_str_has_prefix(path, "/work/"))
        return NULL;
    const char *at = path + strlen("/work/");
    return g_strndup(at, strcspn(at, "/"));
}

static bool is_abort(const char *method, const char *path)
{
    return strcmp(method, "POST") == 0 && g_str_has_suffix(path, "/abort");
}

void rules_asked(struct rules *r, mono_time now, const char *method, const char *path,
                 const char *body)
{
    char *id = job_of(method, path, body);
    if (!id)
        return;
    struct judged *j = judged_get(r, id);
    g_free(id);
    if (is_abort(method, path))
        j->by_user = true;
    if (strcmp(path, "/work") != 0)
        return;
    if (j->open++ == 0)
        j->asked_at = now;
    if (j->accepted)
        return;
    json_object *o = body_of(body);
    struct wish *s = wish_of(o);
    json_object_put(o);
    if (s->lacks && j->wish) {
        wish_free(s);
        return;
    }
    wish_free(j->wish);
    j->wish = s;
}

/* Whether a user cancelled the job or, directly or not, one that it awaits. */
static bool may_be_cancelled(struct rules *r, struct judged *j, int depth)
{
    if (j->by_user)
        return true;
    for (char **a = j->wish && depth < 64 ? j->wish->awaits : NULL; a && *a; a++) {
        struct judged *other = g_hash_table_lookup(r->jobs, *a);
        if (other && may_be_cancelled(r, other, depth + 1))
            return true;
    }
    return false;
}

static bool all_done(const struct judged *j)
{
    return j->over_by_hand || (j->wish && !j->wish->lacks && j->n_done >= j->wish->tasks);
}

/* A user hears of a job that it is known. */
static void told(struct rules *r, struct judged *j, mono_time now, mono_time asked,
                 const char *stage)
{
    if (!j->accepted && j->open <= 0)
        broke(r, "invented", "%s is said to be %s at %.3f s", j->id, stage, seconds(now));
    if (!j->accepted) {
        j->accepted = true;
        j->accepted_at = now;
    }
    bool cancelled = strcmp(stage, "cancelled") == 0, done = strcmp(stage, "done") == 0;
    if (j->cancelled && !cancelled && (done || !time_before(asked, j->cancelled_at)))
        broke(r, "went_back", "%s was cancelled and is said to be %s at %.3f s", j->id, stage,
              seconds(now));
    if (j->done && !done && (cancelled || !time_before(asked, j->done_at)))
        broke(r, "went_back", "%s was done and is said to be %s at %.3f s", j->id, stage,
              seconds(now));
    if (cancelled && !j->cancelled) {
        j->cancelled = true;
        j->cancelled_at = now;
        if (!may_be_cancelled(r, j, 0))
            broke(r, "went_back", "%s is said to be cancelled, by nobody, at %.3f s", j->id,
                  seconds(now));
    }
    if (done && !j->done) {
        j->done = true;
        j->done_at = now;
        if (!all_done(j))
            broke(r, "not_done", "%s is said to be done at %.3f s, with %d tasks done", j->id,
                  seconds(now), (int)j->n_done);
    }
}

static void submission_answered(struct rules *r, struct judged *j, mono_time now, mono_time asked,
                                const char *body, int status, const char *stage)
{
    json_object *o = body_of(body);
    struct wish *s = wish_of(o);
    json_object_put(o);
    if (status == 200 || status == 201) {
        if (status == 201 || !j->accepted)
            judge_accepted(r, j->id, s);
        if (!j->accepted && !s->lacks) {
            wish_free(j->wish);
            j->wish = s;
            s = NULL;
        }
        told(r, j, now, asked, stage);
    } else if (status == 400 || status == 422) {
        j->open--;
        if (j->accepted && !s->lacks && !time_before(asked, j->accepted_at))
            broke(r, "forgotten", "%s was accepted and is refused with %d at %.3f s", j->id, status,
                  seconds(now));
    }
    wish_free(s);
}

void rules_answered(struct rules *r, mono_time now, mono_time asked, const char *method,
                    const char *path, const char *body, int status, const char *answer)
{
    char *id = job_of(method, path, body);
    if (!id)
        return;
    struct judged *j = judged_get(r, id);
    g_free(id);
    json_object *o = body_of(answer);
    char *stage = text_field(o, "Stage");
    json_object_put(o);
    const char *said = stage ? stage : "nothing";
    if (strcmp(path, "/work") == 0)
        submission_answered(r, j, now, asked, body, status, said);
    else if (status == 200)
        told(r, j, now, asked, said);
    else if (status == 404 && j->accepted && !time_before(asked, j->accepted_at))
        broke(r, "forgotten", "%s was accepted and gets 404 at %.3f s", j->id, seconds(now));
    g_free(stage);
}

/* ---- machines ---- */

static void add_need(struct need *a, struct need b, int64_t times)
{
    a->cpus += times * b.cpus;
    a->gpus += times * b.gpus;
    a->memory += times * b.memory;
}

static struct need *team_used(struct rules *r, const struct judged *j)
{
    int team = j->wish && !j->wish->lacks ? settings_team(r->settings, j->wish->crew) : -1;
    return team < 0 ? NULL : &r->used[team];
}

static bool allows(const struct wish *s, const struct rules_machine *m)
{
    return (!s->builds || listed(s->builds, m->build)) &&
           (!s->yard || strcmp(s->yard, m->yard) == 0) && (s->loaners || !m->loaners);
}

/* How many more of the job's tasks may be in a zone, given those that are on machines. */
static int64_t zone_takes(const struct judged *j, const char *yard)
{
    int64_t here = 0;
    for (guint i = 0; i < j->on->len; i++)
        here += strcmp(g_array_index(j->on, struct placed, i).yard, yard) == 0;
    if (j->wish->one_zone && here < j->on->len)
        return 0;
    return j->wish->apart ? MAX((j->wish->tasks + 1) / 2 - here, 0) : j->wish->tasks;
}

static bool is_on(const struct judged *j, uint32_t index)
{
    for (guint i = 0; i < j->on->len; i++)
        if (g_array_index(j->on, struct placed, i).index == index)
            return true;
    return false;
}

static void put_on(struct rules *r, struct judged *j, mono_time now, const struct rules_machine *m,
                   uint32_t index)
{
    struct placed p = {.index = index};
    g_strlcpy(p.machine, m->id, sizeof p.machine);
    g_strlcpy(p.yard, m->yard, sizeof p.yard);
    g_array_append_val(j->on, p);
    if (team_used(r, j))
        add_need(team_used(r, j), j->wish->each, 1);
    j->n_started += note_once(j->started_once, index);
    if (!j->begun && j->wish && j->n_started >= j->wish->tasks) {
        j->begun = true;
        j->begun_at = now;
    }
}

/* A job is cancelled for its user from the moment that he is told; of its tasks none may start by
 * a later command, and none may be there when cancel_s are over. */
static void judge_cancelled(struct rules *r, const struct judged *j, mono_time now, mono_time sent,
                            const struct rules_machine *m, uint32_t index)
{
    if (!j->cancelled)
        return;
    if (time_before(j->cancelled_at, sent))
        broke(r, "ran_cancelled", "%s/%u starts on %s by a command of %.3f s, cancelled at %.3f s",
              j->id, index, m->id, seconds(sent), seconds(j->cancelled_at));
    else if (time_ms_since(now, j->cancelled_at) > (int64_t)(r->settings->cancel_s * 1000))
        broke(r, "ran_cancelled", "%s/%u starts on %s at %.3f s, cancelled at %.3f s", j->id, index,
              m->id, seconds(now), seconds(j->cancelled_at));
}

void rules_started(struct rules *r, mono_time now, mono_time sent, const struct rules_machine *m,
                   const char *job, uint32_t index)
{
    struct judged *j = judged_get(r, job);
    const struct wish *s = j->wish;
    if (!s || s->lacks || index >= s->tasks) {
        broke(r, "invented", "%s/%u, which nobody submitted, starts on %s at %.3f s", job, index,
              m->id, seconds(now));
        return;
    }
    judge_cancelled(r, j, now, sent, m, index);
    if (is_on(j, index))
        broke(r, "ran_twice", "%s/%u starts on %s at %.3f s", job, index, m->id, seconds(now));
    if (!allows(s, m) || zone_takes(j, m->yard) <= 0)
        broke(r, "wrong_place", "%s/%u starts on %s (%s, %s%s) at %.3f s", job, index, m->id,
              m->build, m->yard, m->loaners ? ", spot" : "", seconds(now));
    for (char **a = s->awaits; a && *a; a++)
        if (!all_done(judged_get(r, *a)))
            broke(r, "too_early", "%s/%u starts at %.3f s, before %s is done", job, index,
                  seconds(now), *a);
    put_on(r, j, now, m, index);
    int team = settings_team(r->settings, s->crew);
    if (team >= 0 && !within(&g_array_index(r->settings->teams, struct team, team), r->used[team],
                             (struct need){0}, 0))
        broke(r, "quota", "%s uses %.3f processors and %.3f cards with %s/%u at %.3f s", s->crew,
              (double)r->used[team].cpus / 1000, (double)r->used[team].gpus / 1000, job, index,
              seconds(now));
}

static void judge_stays(struct rules *r, const struct judged *j, mono_time now,
                        const struct placed *p)
{
    if (j->cancelled &&
        time_ms_since(now, j->cancelled_at) > (int64_t)(r->settings->cancel_s * 1000))
        broke(r, "ran_cancelled", "%s/%u was on %s until %.3f s, cancelled at %.3f s", j->id,
              p->index, p->machine, seconds(now), seconds(j->cancelled_at));
}

void rules_left(struct rules *r, mono_time now, const char *machine, const char *job,
                uint32_t index)
{
    struct judged *j = judged_get(r, job);
    for (guint i = 0; i < j->on->len; i++) {
        struct placed *p = &g_array_index(j->on, struct placed, i);
        if (p->index != index || strcmp(p->machine, machine) != 0)
            continue;
        judge_stays(r, j, now, p);
        if (team_used(r, j))
            add_need(team_used(r, j), j->wish->each, -1);
        g_array_remove_index_fast(j->on, i);
        return;
    }
}

void rules_done(struct rules *r, const char *job, uint32_t index)
{
    struct judged *j = judged_get(r, job);
    j->n_done += note_once(j->done_once, index);
}

/* ---- exceptions ---- */

void rules_job_by_hand(struct rules *r, mono_time now, const char *job, const char *value)
{
    struct judged *j = judged_get(r, job);
    json_object *o = body_of(value), *spec = field(o, "w");
    char *end = text_field(o, "f");
    if (!j->accepted)
        j->accepted_at = j->asked_at = now;
    j->accepted = true;
    j->over_by_hand = j->over_by_hand || g_strcmp0(end, "done") == 0;
    j->by_user = j->by_user || g_strcmp0(end, "cancelled") == 0;
    if (spec) {
        wish_free(j->wish);
        j->wish = wish_of(spec);
    }
    g_free(end);
    json_object_put(o);
}

void rules_task_by_hand(struct rules *r, mono_time now, const struct rules_machine *m,
                        const char *job, uint32_t index)
{
    put_on(r, judged_get(r, job), now, m, index);
}

/* ---- when all troubles are over ---- */

static struct need machine_room(json_object *types, const char *build)
{
    json_object *list = field(types, "Builds");
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *t = json_object_array_get_idx(list, i);
        if (strcmp(json_object_get_string(field(t, "Label")), build) == 0)
            return type_room(t);
    }
    return (struct need){0};
}

/* Whether one of the job's tasks, or of a gang all that are missing, could be started now. */
static bool could_start(const struct judged *j, int64_t missing,
                        const struct rules_machine *machines, const struct need *free, guint n)
{
    const struct wish *s = j->wish;
    int64_t ask = s->form == GANG ? missing : 1, sum = 0, best = 0;
    for (guint i = 0; i < n; i++) { /* each zone once: at its first machine */
        bool first = true;
        for (guint k = 0; k < i && first; k++)
            first = strcmp(machines[k].yard, machines[i].yard) != 0;
        int64_t zone = 0;
        for (guint k = i; k < n && first; k++)
            if (strcmp(machines[k].yard, machines[i].yard) == 0 && allows(s, &machines[k]))
                zone += times(free[k], s->each);
        zone = MIN(zone, zone_takes(j, machines[i].yard));
        sum += first ? zone : 0;
        best = MAX(best, first ? zone : 0);
    }
    return (s->one_zone ? best : sum) >= ask;
}

static bool waits_in_vain(struct rules *r, struct judged *j, const struct rules_machine *machines,
                          const struct need *free, guint n)
{
    const struct wish *s = j->wish;
    if (!j->accepted || j->by_user || j->over_by_hand || !s || s->lacks || j->cancelled || j->done)
        return false;
    int64_t missing = 0;
    for (uint32_t t = 0; t < s->tasks; t++)
        missing += !was_noted(j->done_once, t) && !is_on(j, t);
    int team = settings_team(r->settings, s->crew);
    if (!missing || team < 0)
        return false;
    for (char **a = s->awaits; a && *a; a++)
        if (!all_done(judged_get(r, *a)))
            return false;
    return within(&g_array_index(r->settings->teams, struct team, team), r->used[team], s->each,
                  s->form == GANG ? missing : 1) &&
           could_start(j, missing, machines, free, n);
}

void rules_look(struct rules *r, mono_time now, const struct rules_machine *machines, guint n)
{
    json_object *types = json_tokener_parse(r->types);
    struct need *free = g_new0(struct need, n + 1);
    GList *jobs = g_hash_table_get_values(r->jobs);
    for (guint i = 0; i < n; i++) {
        free[i] = machine_room(types, machines[i].build);
        for (GList *x = jobs; x; x = x->next) {
            struct judged *j = x->data;
            for (guint k = 0; k < j->on->len; k++)
                if (j->wish &&
                    strcmp(g_array_index(j->on, struct placed, k).machine, machines[i].id) == 0)
                    add_need(&free[i], j->wish->each, -1);
        }
    }
    for (GList *x = jobs; x; x = x->next) {
        struct judged *j = x->data;
        bool waits = waits_in_vain(r, j, machines, free, n);
        if (waits && !j->waits)
            j->waits_from = now;
        j->waits = waits;
        if (waits && time_ms_since(now, j->waits_from) >= RULES_WAIT_MS) {
            broke(r, "waits", "%s since %.3f s, with room for it", j->id, seconds(j->waits_from));
            j->waits_from = now;
        }
    }
    g_list_free(jobs);
    g_free(free);
    json_object_put(types);
}

GPtrArray *rules_kept_jobs(struct rules *r)
{
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    struct judged *j;
    g_hash_table_iter_init(&it, r->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j))
        if (j->accepted && !may_be_cancelled(r, j, 0))
            g_ptr_array_add(paths, g_strconcat("/work/", j->id, NULL));
    return paths;
}

struct share {
    int all, served, largest, begun;
    int64_t most; /* tasks of the largest jobs */
};

static struct share *share_get(GHashTable *shares, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, " ", name, NULL);
    struct share *s = g_hash_table_lookup(shares, key);
    if (!s)
        g_hash_table_insert(shares, g_strdup(key), s = g_new0(struct share, 1));
    g_free(key);
    return s;
}

static bool counts(struct rules *r, struct judged *j)
{
    return j->accepted && j->wish && !j->wish->lacks && !may_be_cancelled(r, j, 0);
}

void rules_shares(struct rules *r)
{
    GHashTable *shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GList *jobs = g_hash_table_get_values(r->jobs);
    for (GList *x = jobs; x; x = x->next) {
        struct judged *j = x->data;
        if (!counts(r, j))
            continue;
        struct share *class = share_get(shares, "class", j->wish->lot),
                     *team = share_get(shares, "team", j->wish->crew);
        class->all++;
        team->all++;
        class->served += j->begun;
        team->served += j->begun;
        class->most = MAX(class->most, j->wish->tasks);
    }
    for (GList *x = jobs; x; x = x->next) {
        struct judged *j = x->data;
        struct share *class = counts(r, j) ? share_get(shares, "class", j->wish->lot) : NULL;
        if (!class || j->wish->tasks < class->most)
            continue;
        class->largest++;
        class->begun += j->begun && time_ms_since(j->begun_at, j->asked_at) <= RULES_BEGIN_MS;
    }
    GHashTableIter it;
    char *name;
    struct share *s;
    g_hash_table_iter_init(&it, shares);
    while (g_hash_table_iter_next(&it, (gpointer *)&name, (gpointer *)&s)) {
        if (2 * s->served < s->all)
            broke(r, "shares", "%s: %d of %d served", name, s->served, s->all);
        if (2 * s->begun < s->largest)
            broke(r, "shares", "%s: %d of %d largest begun in time", name, s->begun, s->largest);
    }
    g_list_free(jobs);
    g_hash_table_unref(shares);
}

const char *rules_end(struct rules *r, mono_time now)
{
    GHashTableIter it;
    struct judged *j;
    g_hash_table_iter_init(&it, r->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j))
        for (guint i = 0; i < j->on->len; i++)
            judge_stays(r, j, now, &g_array_index(j->on, struct placed, i));
    return r->broken->len ? r->broken->str : NULL;
}
