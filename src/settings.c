#include "settings.h"

#include "toml_read.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>

struct reading {
    char *error; /* the first thing found wrong */
};

static void complain(struct reading *r, const char *field, const char *what)
{
    if (!r->error)
        r->error = g_strdup_printf("%s: %s", field, what);
}

static json_object *member(json_object *o, const char *path)
{
    char **parts = g_strsplit(path, ".", -1);
    for (int i = 0; parts[i] && o; i++) {
        json_object *next = NULL;
        if (!json_object_is_type(o, json_type_object) ||
            !json_object_object_get_ex(o, parts[i], &next))
            next = NULL;
        o = next;
    }
    g_strfreev(parts);
    return o;
}

static char *text_at(struct reading *r, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (!v)
        complain(r, path, "missing");
    else if (!json_object_is_type(v, json_type_string) || json_object_get_string_len(v) == 0)
        complain(r, path, "must be a text that is not empty");
    else
        return g_strdup(json_object_get_string(v));
    return g_strdup("");
}

static char *address_at(struct reading *r, json_object *o, const char *path)
{
    char *text = text_at(r, o, path);
    uint32_t ip;
    uint16_t port;
    if (*text && !address_split(text, &ip, &port))
        complain(r, path, "must be an address such as 10.0.0.1:8080");
    return text;
}

static double number_at(struct reading *r, json_object *o, const char *path, double low,
                        double high)
{
    json_object *v = member(o, path);
    if (!v) {
        complain(r, path, "missing");
        return low;
    }
    double x = json_object_get_double(v);
    if (!json_object_is_type(v, json_type_double) && !json_object_is_type(v, json_type_int)) {
        complain(r, path, "must be a number");
        return low;
    }
    if (!isfinite(x) || x < low || x > high) {
        char *what = g_strdup_printf("must be between %g and %g", low, high);
        complain(r, path, what);
        g_free(what);
        return low;
    }
    return x;
}

static int whole_at(struct reading *r, json_object *o, const char *path, double low, double high)
{
    double x = number_at(r, o, path, low, high);
    if (x != floor(x))
        complain(r, path, "must be a whole number");
    return (int)x;
}

static amount limit_at(struct reading *r, json_object *o, const char *path)
{
    /* Limits are rounded down and what tasks ask is rounded up. */
    return (amount){(int64_t)floor(number_at(r, o, path, 0, 1e9) * 1000 + 1e-6)};
}

static json_object *list_at(struct reading *r, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (v && !json_object_is_type(v, json_type_array)) {
        complain(r, path, "must be a list");
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
    struct in_addr a;
    if (*end || p == 0 || p > 65535 || !g_ascii_isdigit(colon[1]) ||
        inet_pton(AF_INET, host, &a) != 1)
        return false;
    *ip_be = a.s_addr;
    *port = (uint16_t)p;
    return true;
}

static void read_siblings(struct reading *r, struct settings *s, json_object *root)
{
    json_object *list = list_at(r, root, "siblings");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *o = json_object_array_get_idx(list, i);
        struct sibling x = {text_at(r, o, "label"), text_at(r, o, "domain"),
                            address_at(r, o, "endpoint")};
        if (strcmp(x.label, s->label) == 0)
            complain(r, "siblings.label", "names this node itself");
        for (guint k = 0; k < s->siblings->len; k++)
            if (strcmp(g_array_index(s->siblings, struct sibling, k).label, x.label) == 0)
                complain(r, "siblings.label", "appears twice");
        g_array_append_val(s->siblings, x);
    }
}

static void read_teams(struct reading *r, struct settings *s, json_object *root)
{
    json_object *list = list_at(r, root, "deployment.teams");
    if (!list || json_object_array_length(list) == 0)
        complain(r, "deployment.teams", "missing");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *o = json_object_array_get_idx(list, i);
        struct team t = {text_at(r, o, "name"), limit_at(r, o, "cpus"), limit_at(r, o, "cpus_max"),
                         limit_at(r, o, "gpus"), limit_at(r, o, "gpus_max")};
        if (settings_team(s, t.name) >= 0)
            complain(r, "deployment.teams.name", "appears twice");
        if (t.cpus.milli > t.cpus_max.milli)
            complain(r, "deployment.teams.cpus", "is more than cpus_max");
        if (t.gpus.milli > t.gpus_max.milli)
            complain(r, "deployment.teams.gpus", "is more than gpus_max");
        g_array_append_val(s->teams, t);
    }
}

/* Kinds that are not known, and fields that do not matter here, are passed over. */
static void read_objectives(struct reading *r, struct settings *s, json_object *root)
{
    json_object *list = list_at(r, root, "deployment.objectives");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *o = json_object_array_get_idx(list, i);
        struct objective x = {OBJECTIVE_OTHER, NULL, 0};
        char *kind = text_at(r, o, "kind");
        if (strcmp(kind, "wait") == 0)
            x.kind = OBJECTIVE_WAIT;
        else if (strcmp(kind, "finished") == 0)
            x.kind = OBJECTIVE_FINISHED;
        else if (strcmp(kind, "deadline") == 0)
            x.kind = OBJECTIVE_DEADLINE;
        g_free(kind);
        if (x.kind == OBJECTIVE_OTHER || !member(o, "class"))
            continue;
        x.class = text_at(r, o, "class");
        if (x.kind != OBJECTIVE_DEADLINE)
            x.within_s = number_at(r, o, "within_s", 0, 1e9);
        g_array_append_val(s->objectives, x);
    }
}

static void clear_objective(gpointer p)
{
    g_free(((struct objective *)p)->class);
}

static void clear_sibling(gpointer p)
{
    struct sibling *x = p;
    g_free(x->label);
    g_free(x->zone);
    g_free(x->endpoint);
}

static void clear_team(gpointer p)
{
    g_free(((struct team *)p)->name);
}

/* Whether there is such a table; something else in its place is an error. */
static bool table_at(struct reading *r, json_object *o, const char *path)
{
    json_object *v = member(o, path);
    if (v && !json_object_is_type(v, json_type_object))
        complain(r, path, "must be a table");
    return v != NULL;
}

/* Where there are others to fall back on, each field may be missing. */
static struct state_limits read_limits(struct reading *r, json_object *root, const char *path,
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
            x[i] = i == 3 ? whole_at(r, root, field, low[i], high[i])
                          : number_at(r, root, field, low[i], high[i]);
        g_free(field);
    }
    return (struct state_limits){x[0], x[1], x[2], (int)x[3]};
}

static struct settings *read_all(json_object *root, char **error)
{
    struct reading reading = {0}, *r = &reading;
    struct settings *s = g_new0(struct settings, 1);
    s->siblings = g_array_new(FALSE, TRUE, sizeof(struct sibling));
    g_array_set_clear_func(s->siblings, clear_sibling);
    s->teams = g_array_new(FALSE, TRUE, sizeof(struct team));
    g_array_set_clear_func(s->teams, clear_team);
    s->objectives = g_array_new(FALSE, TRUE, sizeof(struct objective));
    g_array_set_clear_func(s->objectives, clear_objective);
    s->zones = g_ptr_array_new_with_free_func(g_free);
    s->label = text_at(r, root, "label");
    s->zone = text_at(r, root, "domain");
    s->api_addr = address_at(r, root, "api_addr");
    s->back_addr = address_at(r, root, "back");
    read_siblings(r, s, root);
    s->cloud_addr = address_at(r, root, "outside.cloud");
    s->state_addr = address_at(r, root, "outside.state");
    s->size = whole_at(r, root, "deployment.size", 1, 1000);
    json_object *zones = list_at(r, root, "deployment.zones");
    for (size_t i = 0; zones && i < json_object_array_length(zones); i++)
        g_ptr_array_add(s->zones,
                        g_strdup(json_object_get_string(json_object_array_get_idx(zones, i))));
    if (s->zones->len == 0)
        complain(r, "deployment.zones", "missing");
    s->clock_error_ms = number_at(r, root, "deployment.clock_error_ms", 0, 3600e3);
    read_teams(r, s, root);
    read_objectives(r, s, root);
    s->report_s = number_at(r, root, "deployment.workers.report_s", 0.1, 600);
    s->lease_s = number_at(r, root, "deployment.workers.lease_s", 1, 3600);
    s->gang_wait_s = number_at(r, root, "deployment.workers.gang_wait_s", 0, 3600);
    s->gang_peer_s = number_at(r, root, "deployment.workers.gang_peer_s", 0, 3600);
    s->cancel_s = number_at(r, root, "deployment.workers.cancel_s", 1, 36000);
    s->state = read_limits(r, root, "deployment.state", NULL);
    s->state_next = s->state;
    if (table_at(r, root, "deployment.state.next"))
        s->state_next = read_limits(r, root, "deployment.state.next", &s->state);
    s->cloud_rps = number_at(r, root, "deployment.cloud.rps", 0.01, 1e6);
    s->cloud_list_lag_s = number_at(r, root, "deployment.cloud.list_lag_s", 0, 3600);
    s->core_share = number_at(r, root, "deployment.machine_limits.core_share", 0.001, 1024);
    s->ram_mb = number_at(r, root, "deployment.machine_limits.ram_mb", 16, 1e9);
    s->fd_limit = whole_at(r, root, "deployment.machine_limits.fd_limit", 64, 1e7);
    if (!r->error && s->cancel_s <= s->lease_s)
        complain(r, "deployment.workers.cancel_s", "must be more than lease_s");
    if (!r->error && s->lease_s <= s->report_s)
        complain(r, "deployment.workers.lease_s", "must be more than report_s");
    if (!r->error && (int)s->siblings->len + 1 != s->size)
        complain(r, "deployment.size", "does not match the number of siblings");
    if (r->error) {
        *error = r->error;
        settings_free(s);
        return NULL;
    }
    return s;
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
    struct settings *s = read_all(root, error);
    json_object_put(root);
    return s;
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
    struct settings *s = settings_parse(text, &why);
    g_free(text);
    if (!s)
        *error = g_strdup_printf("%s: %s", path, why);
    g_free(why);
    return s;
}

void settings_free(struct settings *s)
{
    g_array_unref(s->siblings);
    g_array_unref(s->teams);
    g_array_unref(s->objectives);
    g_ptr_array_unref(s->zones);
    g_free(s->label);
    g_free(s->zone);
    g_free(s->api_addr);
    g_free(s->back_addr);
    g_free(s->cloud_addr);
    g_free(s->state_addr);
    g_free(s);
}

size_t settings_answer_bytes(const struct settings *s)
{
    return (size_t)(s->ram_mb * 1024 * 1024 / 8);
}

int settings_team(const struct settings *s, const char *name)
{
    for (guint i = 0; i < s->teams->len; i++)
        if (strcmp(g_array_index(s->teams, struct team, i).name, name) == 0)
            return (int)i;
    return -1;
}
