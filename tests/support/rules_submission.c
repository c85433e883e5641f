/** Parses submissions, and checks which of them may be accepted. */
#include "rules_internal.h"

#include <math.h>

static const char *const form_names[] = {"sweep", "gang", "daemon"};
static const char *const priority_names[] = {"prod", "high", "normal", "best_effort"};

void submission_free(struct submission *submission)
{
    if (!submission)
        return;
    g_free(submission->invalid_field);
    g_free(submission->job_class);
    g_free(submission->team_name);
    g_free(submission->zone);
    g_strfreev(submission->type_names);
    g_strfreev(submission->dependencies);
    g_free(submission);
}

json_object *rules_json_field(json_object *object, const char *name)
{
    json_object *value = NULL;
    return json_object_object_get_ex(object, name, &value) ? value : NULL;
}

char *rules_copy_json_string(json_object *object, const char *name)
{
    json_object *value = rules_json_field(object, name);
    return json_object_is_type(value, json_type_string) ? g_strdup(json_object_get_string(value))
                                                        : NULL;
}

static char **copy_string_list(json_object *object, const char *name)
{
    json_object *value = rules_json_field(object, name);
    if (!json_object_is_type(value, json_type_array))
        return NULL;
    size_t n = json_object_array_length(value);
    char **out = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        out[i] = g_strdup(json_object_get_string(json_object_array_get_idx(value, i)));
    return out;
}

static bool is_number(json_object *value)
{
    return json_object_is_type(value, json_type_int) ||
           json_object_is_type(value, json_type_double);
}

static int64_t get_milli(json_object *object, const char *name)
{
    return (int64_t)ceil(json_object_get_double(rules_json_field(object, name)) * 1000 - 1e-6);
}

static int find_name(const char *const *names, int n, const char *name)
{
    for (int i = 0; name && i < n; i++)
        if (strcmp(names[i], name) == 0)
            return i;
    return -1;
}

/* Returns the first mandatory field that is missing or has a wrong type or value, or NULL. */
static const char *find_invalid_field(json_object *object)
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
    if (find_name(form_names, G_N_ELEMENTS(form_names),
                  json_object_get_string(rules_json_field(object, "Form"))) < 0)
        return "Form";
    if (find_name(priority_names, G_N_ELEMENTS(priority_names),
                  json_object_get_string(rules_json_field(object, "Urgency"))) < 0)
        return "Urgency";
    return NULL;
}

struct submission *submission_parse(json_object *object)
{
    struct submission *submission = g_new0(struct submission, 1);
    submission->invalid_field = g_strdup(find_invalid_field(object));
    if (submission->invalid_field)
        return submission;
    submission->job_class = rules_copy_json_string(object, "Lot");
    submission->team_name = rules_copy_json_string(object, "Crew");
    submission->zone = rules_copy_json_string(object, "Yard");
    submission->type_names = copy_string_list(object, "Builds");
    submission->dependencies = copy_string_list(object, "Awaits");
    submission->form =
        (enum submission_form)find_name(form_names, G_N_ELEMENTS(form_names),
                                        json_object_get_string(rules_json_field(object, "Form")));
    submission->tasks = json_object_get_int64(rules_json_field(object, "Pieces"));
    submission->per_task = (struct milli_resources){
        get_milli(object, "Vcpus"), get_milli(object, "Cards"), get_milli(object, "MemoryGb")};
    submission->one_zone = json_object_get_boolean(rules_json_field(object, "OneZone"));
    submission->spread_over_zones = json_object_get_boolean(rules_json_field(object, "Apart"));
    submission->may_use_spot = json_object_get_boolean(rules_json_field(object, "Loaners"));
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

bool team_limit_allows(const struct team *team, struct milli_resources used,
                       struct milli_resources per_task, int64_t tasks)
{
    return used.cpus + per_task.cpus * tasks <= team->cpus_max.milli &&
           used.gpus + per_task.gpus * tasks <= team->gpus_max.milli;
}

bool string_list_contains(char **list, const char *string)
{
    return g_strv_contains((const char *const *)list, string);
}

struct milli_resources machine_type_resources(json_object *machine_type)
{
    return (struct milli_resources){get_milli(machine_type, "Vcpus"),
                                    get_milli(machine_type, "Cards"),
                                    get_milli(machine_type, "MemoryGb")};
}

int64_t count_tasks_that_fit(struct milli_resources free, struct milli_resources per_task)
{
    int64_t n = 1000000;
    n = per_task.cpus > 0 ? MIN(n, free.cpus / per_task.cpus) : n;
    n = per_task.gpus > 0 ? MIN(n, free.gpus / per_task.gpus) : n;
    n = per_task.memory > 0 ? MIN(n, free.memory / per_task.memory) : n;
    return MAX(n, 0);
}

static bool fits_some_type(struct rules *rules, const struct submission *submission)
{
    json_object *types = json_tokener_parse(rules->machine_types),
                *list = rules_json_field(types, "Builds");
    bool fits = false;
    for (size_t i = 0; i < json_object_array_length(list) && !fits; i++) {
        json_object *type = json_object_array_get_idx(list, i);
        char **zones = copy_string_list(type, "Yards");
        bool is_offered = zones && zones[0] &&
                          (!submission->zone || string_list_contains(zones, submission->zone));
        bool is_allowed =
            !submission->type_names ||
            string_list_contains(submission->type_names,
                                 json_object_get_string(rules_json_field(type, "Label")));
        fits = is_offered && is_allowed &&
               count_tasks_that_fit(machine_type_resources(type), submission->per_task) > 0;
        g_strfreev(zones);
    }
    json_object_put(types);
    return fits;
}

void submission_check_accepted(struct rules *rules, const char *id,
                               const struct submission *submission)
{
    if (submission->invalid_field) {
        rules_report_violation(rules, "accepted", "%s, whose field %s is missing or invalid", id,
                               submission->invalid_field);
        return;
    }
    int team = settings_find_team(rules->settings, submission->team_name);
    if (team < 0) {
        rules_report_violation(rules, "accepted", "%s of the unknown team %s", id,
                               submission->team_name);
        return;
    }
    if (!fits_some_type(rules, submission))
        rules_report_violation(rules, "accepted", "%s, whose tasks fit no machine type", id);
    const struct team *limits = &g_array_index(rules->settings->teams, struct team, team);
    if (!team_limit_allows(limits, (struct milli_resources){0}, submission->per_task,
                           submission->form == SUBMISSION_ARRAY ? 1 : submission->tasks))
        rules_report_violation(rules, "accepted", "%s, which exceeds the limit of %s", id,
                               submission->team_name);
}
