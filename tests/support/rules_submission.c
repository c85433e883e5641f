/** Reads submissions, and judges which may be accepted. */
#include "rules_internal.h"

#include <math.h>

static const char *const form_words[] = {"sweep", "gang", "daemon"};
static const char *const priority_words[] = {"prod", "high", "normal", "best_effort"};

void submission_free(struct submission *submission)
{
    if (!submission)
        return;
    g_free(submission->lacks);
    g_free(submission->job_class);
    g_free(submission->team_name);
    g_free(submission->zone);
    g_strfreev(submission->type_names);
    g_strfreev(submission->awaits);
    g_free(submission);
}

json_object *rules_json_field(json_object *o, const char *name)
{
    json_object *v = NULL;
    return json_object_object_get_ex(o, name, &v) ? v : NULL;
}

char *rules_json_text(json_object *o, const char *name)
{
    json_object *v = rules_json_field(o, name);
    return json_object_is_type(v, json_type_string) ? g_strdup(json_object_get_string(v)) : NULL;
}

static char **texts_field(json_object *o, const char *name)
{
    json_object *v = rules_json_field(o, name);
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

static int64_t milli(json_object *object, const char *name)
{
    return (int64_t)ceil(json_object_get_double(rules_json_field(object, name)) * 1000 - 1e-6);
}

static int word_of(const char *const *words, int n, const char *word)
{
    for (int i = 0; word && i < n; i++)
        if (strcmp(words[i], word) == 0)
            return i;
    return -1;
}

/* The first mandatory field that is missing or of a wrong kind, or NULL. */
static const char *lacking(json_object *object)
{
    static const char *const texts[] = {"Id", "Lot", "Crew", "Form", "Urgency", "Mould"};
    static const char *const numbers[] = {"Pieces",  "Vcpus",     "Cards",      "MemoryGb",
                                          "ImageGb", "ExpectedS", "MarkEveryS", "StowS"};
    static const char *const flags[] = {"OneZone", "Apart", "Loaners"};
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++)
        if (!json_object_is_type(rules_json_field(object, texts[i]), json_type_string))
            return texts[i];
    for (guint i = 0; i < G_N_ELEMENTS(numbers); i++)
        if (!is_number(rules_json_field(object, numbers[i])) ||
            json_object_get_double(rules_json_field(object, numbers[i])) < 0)
            return numbers[i];
    for (guint i = 0; i < G_N_ELEMENTS(flags); i++)
        if (!json_object_is_type(rules_json_field(object, flags[i]), json_type_boolean))
            return flags[i];
    int64_t tasks = json_object_get_int64(rules_json_field(object, "Pieces"));
    if (!json_object_is_type(rules_json_field(object, "Pieces"), json_type_int) || tasks < 1 ||
        tasks > 100000)
        return "Pieces";
    if (word_of(form_words, G_N_ELEMENTS(form_words),
                json_object_get_string(rules_json_field(object, "Form"))) < 0)
        return "Form";
    if (word_of(priority_words, G_N_ELEMENTS(priority_words),
                json_object_get_string(rules_json_field(object, "Urgency"))) < 0)
        return "Urgency";
    return NULL;
}

struct submission *submission_parse(json_object *object)
{
    struct submission *submission = g_new0(struct submission, 1);
    submission->lacks = g_strdup(lacking(object));
    if (submission->lacks)
        return submission;
    submission->job_class = rules_json_text(object, "Lot");
    submission->team_name = rules_json_text(object, "Crew");
    submission->zone = rules_json_text(object, "Yard");
    submission->type_names = texts_field(object, "Builds");
    submission->awaits = texts_field(object, "Awaits");
    submission->form =
        (enum form_word)word_of(form_words, G_N_ELEMENTS(form_words),
                                json_object_get_string(rules_json_field(object, "Form")));
    submission->tasks = json_object_get_int64(rules_json_field(object, "Pieces"));
    submission->each =
        (struct need){milli(object, "Vcpus"), milli(object, "Cards"), milli(object, "MemoryGb")};
    submission->one_zone = json_object_get_boolean(rules_json_field(object, "OneZone"));
    submission->apart = json_object_get_boolean(rules_json_field(object, "Apart"));
    submission->spot = json_object_get_boolean(rules_json_field(object, "Loaners"));
    return submission;
}

json_object *rules_parse_object(const char *text)
{
    json_object *object = json_tokener_parse(text);
    if (object && json_object_is_type(object, json_type_object))
        return object;
    json_object_put(object);
    return NULL;
}

bool team_limit_allows(const struct team *team, struct need used, struct need each, int64_t tasks)
{
    return used.cpus + each.cpus * tasks <= team->cpus_max.milli &&
           used.gpus + each.gpus * tasks <= team->gpus_max.milli;
}

bool text_list_contains(char **list, const char *word)
{
    return g_strv_contains((const char *const *)list, word);
}

struct need type_resources(json_object *t)
{
    return (struct need){milli(t, "Vcpus"), milli(t, "Cards"), milli(t, "MemoryGb")};
}

int64_t count_tasks_that_fit(struct need room, struct need each)
{
    int64_t n = 1000000;
    n = each.cpus > 0 ? MIN(n, room.cpus / each.cpus) : n;
    n = each.gpus > 0 ? MIN(n, room.gpus / each.gpus) : n;
    n = each.memory > 0 ? MIN(n, room.memory / each.memory) : n;
    return MAX(n, 0);
}

static bool fits_some_type(struct rules *rules, const struct submission *submission)
{
    json_object *types = json_tokener_parse(rules->types),
                *list = rules_json_field(types, "Builds");
    bool fits = false;
    for (size_t i = 0; i < json_object_array_length(list) && !fits; i++) {
        json_object *t = json_object_array_get_idx(list, i);
        char **zones = texts_field(t, "Yards");
        bool there =
            zones && zones[0] && (!submission->zone || text_list_contains(zones, submission->zone));
        bool allowed = !submission->type_names ||
                       text_list_contains(submission->type_names,
                                          json_object_get_string(rules_json_field(t, "Label")));
        fits = there && allowed && count_tasks_that_fit(type_resources(t), submission->each) > 0;
        g_strfreev(zones);
    }
    json_object_put(types);
    return fits;
}

void submission_judge_accepted(struct rules *rules, const char *id,
                               const struct submission *submission)
{
    if (submission->lacks) {
        rules_report_violation(rules, "accepted", "%s without a good %s", id, submission->lacks);
        return;
    }
    int team = settings_find_team(rules->settings, submission->team_name);
    if (team < 0) {
        rules_report_violation(rules, "accepted", "%s of the unknown team %s", id,
                               submission->team_name);
        return;
    }
    if (!fits_some_type(rules, submission))
        rules_report_violation(rules, "accepted", "%s, whose tasks fit no type", id);
    const struct team *t = &g_array_index(rules->settings->teams, struct team, team);
    if (!team_limit_allows(t, (struct need){0}, submission->each,
                           submission->form == ARRAY ? 1 : submission->tasks))
        rules_report_violation(rules, "accepted", "%s, which is beyond the limit of %s", id,
                               submission->team_name);
}
