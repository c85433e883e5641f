#include "settings.h"

#include "toml_reader.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>

struct reading {
    char *error; /* the first thing found wrong */
};

static void complain(struct reading *reading, const char *field, const char *what)
{
    if (!reading->error)
        reading->error = g_strdup_printf("%s: %s", field, what);
}

static json_object *member(json_object *object, const char *path)
{
    char **parts = g_strsplit(path, ".", -1);
    for (int i = 0; parts[i] && object; i++) {
        json_object *next = NULL;
        if (!json_object_is_type(object, json_type_object) ||
            !json_object_object_get_ex(object, parts[i], &next))
            next = NULL;
        object = next;
    }
    g_strfreev(parts);
    return object;
}

static char *text_at(struct reading *reading, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (!v)
        complain(reading, path, "missing");
    else if (!json_object_is_type(v, json_type_string) || json_object_get_string_len(v) == 0)
        complain(reading, path, "must be a text that is not empty");
    else
        return g_strdup(json_object_get_string(v));
    return g_strdup("");
}

static char *address_at(struct reading *reading, json_object *object, const char *path)
{
    char *text = text_at(reading, object, path);
    uint32_t ip;
    uint16_t port;
    if (*text && !address_split(text, &ip, &port))
        complain(reading, path, "must be an address such as 10.0.0.1:8080");
    return text;
}

static double number_at(struct reading *reading, json_object *o, const char *path, double low,
                        double high)
{
    json_object *v = member(o, path);
    if (!v) {
        complain(reading, path, "missing");
        return low;
    }
    double x = json_object_get_double(v);
    if (!json_object_is_type(v, json_type_double) && !json_object_is_type(v, json_type_int)) {
        complain(reading, path, "must be a number");
        return low;
    }
    if (!isfinite(x) || x < low || x > high) {
        char *what = g_strdup_printf("must be between %g and %g", low, high);
        complain(reading, path, what);
        g_free(what);
        return low;
    }
    return x;
}

static int whole_at(struct reading *reading, json_object *object, const char *path, double low,
                    double high)
{
    double x = number_at(reading, object, path, low, high);
    if (x != floor(x))
        complain(reading, path, "must be a whole number");
    return (int)x;
}

static amount limit_at(struct reading *reading, json_object *object, const char *path)
{
    /* Limits are rounded down and what tasks ask is rounded up. */
    return (amount){(int64_t)floor(number_at(reading, object, path, 0, 1e9) * 1000 + 1e-6)};
}

static json_object *list_at(struct reading *reading, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (v && !json_object_is_type(v, json_type_array)) {
        complain(reading, path, "must be a list");
        return NULL;
    }
    return v;
}

bool address_split(const char *text, uint32_t *ip_be, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (!colon || colon - text > 15 || !colon[1])
        return false;
    char host[16];
    memcpy(host, text, colon - text);
    host[colon - text] = 0;
    char *end;
    unsigned long p = strtoul(colon + 1, &end, 10);
    struct in_addr addr;
    if (*end || p == 0 || p > 65535 || !g_ascii_isdigit(colon[1]) ||
        inet_pton(AF_INET, host, &addr) != 1)
        return false;
    *ip_be = addr.s_addr;
    *port = (uint16_t)p;
    return true;
}

static void read_siblings(struct reading *reading, struct settings *settings, json_object *root)
{
    json_object *list = list_at(reading, root, "siblings");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct sibling sibling = {text_at(reading, object, "label"),
                                  text_at(reading, object, "domain"),
                                  address_at(reading, object, "endpoint")};
        if (strcmp(sibling.label, settings->label) == 0)
            complain(reading, "siblings.label", "names this node itself");
        for (guint k = 0; k < settings->siblings->len; k++)
            if (strcmp(g_array_index(settings->siblings, struct sibling, k).label, sibling.label) ==
                0)
                complain(reading, "siblings.label", "appears twice");
        g_array_append_val(settings->siblings, sibling);
    }
}

static void read_teams(struct reading *reading, struct settings *settings, json_object *root)
{
    json_object *list = list_at(reading, root, "deployment.teams");
    if (!list || json_object_array_length(list) == 0)
        complain(reading, "deployment.teams", "missing");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct team team = {text_at(reading, object, "name"), limit_at(reading, object, "cpus"),
                            limit_at(reading, object, "cpus_max"),
                            limit_at(reading, object, "gpus"),
                            limit_at(reading, object, "gpus_max")};
        if (settings_team(settings, team.name) >= 0)
            complain(reading, "deployment.teams.name", "appears twice");
        if (team.cpus.milli > team.cpus_max.milli)
            complain(reading, "deployment.teams.cpus", "is more than cpus_max");
        if (team.gpus.milli > team.gpus_max.milli)
            complain(reading, "deployment.teams.gpus", "is more than gpus_max");
        g_array_append_val(settings->teams, team);
    }
}

/* Kinds that are not known, and fields that do not matter here, are passed over. */
static void read_objectives(struct reading *reading, struct settings *settings, json_object *root)
{
    json_object *list = list_at(reading, root, "deployment.objectives");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct objective objective = {OBJECTIVE_OTHER, NULL, 0};
        char *kind = text_at(reading, object, "kind");
        if (strcmp(kind, "wait") == 0)
            objective.kind = OBJECTIVE_WAIT;
        else if (strcmp(kind, "finished") == 0)
            objective.kind = OBJECTIVE_FINISHED;
        else if (strcmp(kind, "deadline") == 0)
            objective.kind = OBJECTIVE_DEADLINE;
        g_free(kind);
        if (objective.kind == OBJECTIVE_OTHER || !member(object, "class"))
            continue;
        objective.class = text_at(reading, object, "class");
        if (objective.kind != OBJECTIVE_DEADLINE)
            objective.within_s = number_at(reading, object, "within_s", 0, 1e9);
        g_array_append_val(settings->objectives, objective);
    }
}

static void clear_objective(gpointer p)
{
    g_free(((struct objective *)p)->class);
}

static void clear_sibling(gpointer p)
{
    struct sibling *sibling = p;
    g_free(sibling->label);
    g_free(sibling->zone);
    g_free(sibling->endpoint);
}

static void clear_team(gpointer p)
{
    g_free(((struct team *)p)->name);
}

/* Whether there is such a table; something else in its place is an error. */
static bool table_at(struct reading *reading, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (v && !json_object_is_type(v, json_type_object))
        complain(reading, path, "must be a table");
    return v != NULL;
}

/* Where there are others to fall back on, each field may be missing. */
static struct state_limits read_limits(struct reading *reading, json_object *root, const char *path,
                                       const struct state_limits *otherwise)
{
    static const char *const names[] = {"rps", "write_rps", "value_kb", "txn_ops"};
    static const double low[] = {1, 1, 1, 4}, high[] = {1e6, 1e6, 64, 100000};
    double x[] = {0, 0, 0, 0};
    if (otherwise) {
        x[0] = otherwise->rps;
        x[1] = otherwise->write_rps;
        x[2] = otherwise->value_kb;
        x[3] = otherwise->txn_ops;
    }
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        char *field = g_strconcat(path, ".", names[i], NULL);
        if (!otherwise || member(root, field))
            x[i] = i == 3 ? whole_at(reading, root, field, low[i], high[i])
                          : number_at(reading, root, field, low[i], high[i]);
        g_free(field);
    }
    return (struct state_limits){x[0], x[1], x[2], (int)x[3]};
}

static struct settings *read_all(json_object *root, char **error)
{
    struct reading reading = {0}, *r = &reading;
    struct settings *settings = g_new0(struct settings, 1);
    settings->siblings = g_array_new(FALSE, TRUE, sizeof(struct sibling));
    g_array_set_clear_func(settings->siblings, clear_sibling);
    settings->teams = g_array_new(FALSE, TRUE, sizeof(struct team));
    g_array_set_clear_func(settings->teams, clear_team);
    settings->objectives = g_array_new(FALSE, TRUE, sizeof(struct objective));
    g_array_set_clear_func(settings->objectives, clear_objective);
    settings->zones = g_ptr_array_new_with_free_func(g_free);
    settings->label = text_at(r, root, "label");
    settings->zone = text_at(r, root, "domain");
    settings->api_addr = address_at(r, root, "api_addr");
    settings->back_addr = address_at(r, root, "back");
    read_siblings(r, settings, root);
    settings->cloud_addr = address_at(r, root, "outside.cloud");
    settings->state_addr = address_at(r, root, "outside.state");
    settings->size = whole_at(r, root, "deployment.size", 1, 1000);
    json_object *zones = list_at(r, root, "deployment.zones");
    for (size_t i = 0; zones && i < json_object_array_length(zones); i++)
        g_ptr_array_add(settings->zones,
                        g_strdup(json_object_get_string(json_object_array_get_idx(zones, i))));
    if (settings->zones->len == 0)
        complain(r, "deployment.zones", "missing");
    settings->clock_error_ms = number_at(r, root, "deployment.clock_error_ms", 0, 3600e3);
    read_teams(r, settings, root);
    read_objectives(r, settings, root);
    settings->report_s = number_at(r, root, "deployment.workers.report_s", 0.1, 600);
    settings->lease_s = number_at(r, root, "deployment.workers.lease_s", 1, 3600);
    settings->gang_wait_s = number_at(r, root, "deployment.workers.gang_wait_s", 0, 3600);
    settings->gang_peer_s = number_at(r, root, "deployment.workers.gang_peer_s", 0, 3600);
    settings->cancel_s = number_at(r, root, "deployment.workers.cancel_s", 1, 36000);
    settings->state = read_limits(r, root, "deployment.state", NULL);
    settings->state_next = settings->state;
    if (table_at(r, root, "deployment.state.next"))
        settings->state_next = read_limits(r, root, "deployment.state.next", &settings->state);
    settings->cloud_rps = number_at(r, root, "deployment.cloud.rps", 0.01, 1e6);
    settings->cloud_list_lag_s = number_at(r, root, "deployment.cloud.list_lag_s", 0, 3600);
    settings->core_share = number_at(r, root, "deployment.machine_limits.core_share", 0.001, 1024);
    settings->ram_mb = number_at(r, root, "deployment.machine_limits.ram_mb", 16, 1e9);
    settings->fd_limit = whole_at(r, root, "deployment.machine_limits.fd_limit", 64, 1e7);
    if (!r->error && settings->cancel_s <= settings->lease_s)
        complain(r, "deployment.workers.cancel_s", "must be more than lease_s");
    if (!r->error && settings->lease_s <= settings->report_s)
        complain(r, "deployment.workers.lease_s", "must be more than report_s");
    if (!r->error && (int)settings->siblings->len + 1 != settings->size)
        complain(r, "deployment.size", "does not match the number of siblings");
    if (r->error) {
        *error = r->error;
        settings_free(settings);
        return NULL;
    }
    return settings;
}

struct settings *settings_parse(const char *toml, char **error)
{
    char why[256] = "";
    char *json = toml_read_json(toml, why, sizeof why);
    if (!json) {
        *error = g_strdup(why);
        return NULL;
    }
    json_object *root = json_tokener_parse(json);
    free(json);
    if (!root) {
        *error = g_strdup("holds numbers that cannot be read");
        return NULL;
    }
    struct settings *settings = read_all(root, error);
    json_object_put(root);
    return settings;
}

struct settings *settings_load(const char *path, char **error)
{
    char *text = NULL, *why = NULL;
    GError *e = NULL;
    if (!g_file_get_contents(path, &text, NULL, &e)) {
        *error = g_strdup_printf("%s: %s", path, e->message);
        g_error_free(e);
        return NULL;
    }
    struct settings *settings = settings_parse(text, &why);
    g_free(text);
    if (!settings)
        *error = g_strdup_printf("%s: %s", path, why);
    g_free(why);
    return settings;
}

void settings_free(struct settings *settings)
{
    g_array_unref(settings->siblings);
    g_array_unref(settings->teams);
    g_array_unref(settings->objectives);
    g_ptr_array_unref(settings->zones);
    g_free(settings->label);
    g_free(settings->zone);
    g_free(settings->api_addr);
    g_free(settings->back_addr);
    g_free(settings->cloud_addr);
    g_free(settings->state_addr);
    g_free(settings);
}

size_t settings_answer_bytes(const struct settings *settings)
{
    return (size_t)(settings->ram_mb * 1024 * 1024 / 8);
}

int settings_team(const struct settings *settings, const char *name)
{
    for (guint i = 0; i < settings->teams->len; i++)
        if (strcmp(g_array_index(settings->teams, struct team, i).name, name) == 0)
            return (int)i;
    return -1;
}
