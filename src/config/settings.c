/** Reading the settings file: see settings.h. */
#include "settings.h"

#include "toml_reader.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>

static const double BYTES_PER_MB = 1024 * 1024;
/** What a parsed response takes of memory for each byte of its text, at most. */
static const double MEMORY_PER_RESPONSE_BYTE = 8;

struct settings_reader {
    /** The first error found; NULL: none. */
    char *error;
};

static void report_error(struct settings_reader *reader, const char *field, const char *what)
{
    if (!reader->error)
        reader->error = g_strdup_printf("%s: %s", field, what);
}

static json_object *find_member(json_object *object, const char *path)
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

static char *read_text(struct settings_reader *reader, json_object *object, const char *path)
{
    json_object *value = find_member(object, path);
    if (!value)
        report_error(reader, path, "missing");
    else if (!json_object_is_type(value, json_type_string) ||
             json_object_get_string_len(value) == 0)
        report_error(reader, path, "must be a text that is not empty");
    else
        return g_strdup(json_object_get_string(value));
    return g_strdup("");
}

static char *read_address(struct settings_reader *reader, json_object *object, const char *path)
{
    char *text = read_text(reader, object, path);
    uint32_t ip;
    uint16_t port;
    if (*text && !address_parse(text, &ip, &port))
        report_error(reader, path, "must be an address such as 10.0.0.1:8080");
    return text;
}

static double read_number(struct settings_reader *reader, json_object *object, const char *path,
                          double min, double max)
{
    json_object *value = find_member(object, path);
    if (!value) {
        report_error(reader, path, "missing");
        return min;
    }
    double number = json_object_get_double(value);
    if (!json_object_is_type(value, json_type_double) &&
        !json_object_is_type(value, json_type_int)) {
        report_error(reader, path, "must be a number");
        return min;
    }
    if (!isfinite(number) || number < min || number > max) {
        char *what = g_strdup_printf("must be between %g and %g", min, max);
        report_error(reader, path, what);
        g_free(what);
        return min;
    }
    return number;
}

static int read_integer(struct settings_reader *reader, json_object *object, const char *path,
                        double min, double max)
{
    double number = read_number(reader, object, path, min, max);
    if (number != floor(number))
        report_error(reader, path, "must be a whole number");
    return (int)number;
}

static amount read_amount_limit(struct settings_reader *reader, json_object *object,
                                const char *path)
{
    /* Rounded down, as what tasks request is rounded up. */
    return (amount){(int64_t)floor(read_number(reader, object, path, 0, 1e9) * 1000 + 1e-6)};
}

static json_object *read_array(struct settings_reader *reader, json_object *object,
                               const char *path)
{
    json_object *value = find_member(object, path);
    if (value && !json_object_is_type(value, json_type_array)) {
        report_error(reader, path, "must be a list");
        return NULL;
    }
    return value;
}

bool address_parse(const char *text, uint32_t *ip_be, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (!colon || colon - text > 15 || !colon[1])
        return false;
    char host[16];
    memcpy(host, text, colon - text);
    host[colon - text] = 0;
    char *end;
    unsigned long port_number = strtoul(colon + 1, &end, 10);
    struct in_addr addr;
    if (*end || port_number == 0 || port_number > 65535 || !g_ascii_isdigit(colon[1]) ||
        inet_pton(AF_INET, host, &addr) != 1)
        return false;
    *ip_be = addr.s_addr;
    *port = (uint16_t)port_number;
    return true;
}

static void read_siblings(struct settings_reader *reader, struct settings *settings,
                          json_object *root)
{
    json_object *list = read_array(reader, root, "siblings");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct sibling sibling = {read_text(reader, object, "label"),
                                  read_text(reader, object, "domain"),
                                  read_address(reader, object, "endpoint")};
        if (strcmp(sibling.label, settings->label) == 0)
            report_error(reader, "siblings.label", "names this node itself");
        for (guint k = 0; k < settings->siblings->len; k++)
            if (strcmp(g_array_index(settings->siblings, struct sibling, k).label, sibling.label) ==
                0)
                report_error(reader, "siblings.label", "appears twice");
        g_array_append_val(settings->siblings, sibling);
    }
}

static void read_teams(struct settings_reader *reader, struct settings *settings, json_object *root)
{
    json_object *list = read_array(reader, root, "deployment.teams");
    if (!list || json_object_array_length(list) == 0)
        report_error(reader, "deployment.teams", "missing");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct team team = {read_text(reader, object, "name"),
                            read_amount_limit(reader, object, "cpus"),
                            read_amount_limit(reader, object, "cpus_max"),
                            read_amount_limit(reader, object, "gpus"),
                            read_amount_limit(reader, object, "gpus_max")};
        if (settings_find_team(settings, team.name) >= 0)
            report_error(reader, "deployment.teams.name", "appears twice");
        if (team.cpus.milli > team.cpus_max.milli)
            report_error(reader, "deployment.teams.cpus", "is more than cpus_max");
        if (team.gpus.milli > team.gpus_max.milli)
            report_error(reader, "deployment.teams.gpus", "is more than gpus_max");
        g_array_append_val(settings->teams, team);
    }
}

/** Kinds that are not known, and fields that are not used, are passed over. */
static void read_objectives(struct settings_reader *reader, struct settings *settings,
                            json_object *root)
{
    json_object *list = read_array(reader, root, "deployment.objectives");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct objective objective = {OBJECTIVE_OTHER, NULL, 0};
        char *kind = read_text(reader, object, "kind");
        if (strcmp(kind, "wait") == 0)
            objective.kind = OBJECTIVE_WAIT;
        else if (strcmp(kind, "finished") == 0)
            objective.kind = OBJECTIVE_FINISHED;
        else if (strcmp(kind, "deadline") == 0)
            objective.kind = OBJECTIVE_DEADLINE;
        g_free(kind);
        if (objective.kind == OBJECTIVE_OTHER || !find_member(object, "class"))
            continue;
        objective.class = read_text(reader, object, "class");
        if (objective.kind != OBJECTIVE_DEADLINE)
            objective.within_s = read_number(reader, object, "within_s", 0, 1e9);
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

/** Whether there is a table; anything else in its place is an error. */
static bool is_table_present(struct settings_reader *reader, json_object *object, const char *path)
{
    json_object *value = find_member(object, path);
    if (value && !json_object_is_type(value, json_type_object))
        report_error(reader, path, "must be a table");
    return value != NULL;
}

/** Each field may be missing if there are defaults. */
static struct kv_service_limits read_kv_limits(struct settings_reader *reader, json_object *root,
                                               const char *path,
                                               const struct kv_service_limits *defaults)
{
    static const char *const names[] = {"rps", "write_rps", "value_kb", "txn_ops"};
    static const double min[] = {1, 1, 1, 4}, max[] = {1e6, 1e6, 64, 100000};
    double values[] = {0, 0, 0, 0};
    if (defaults) {
        values[0] = defaults->requests_per_s;
        values[1] = defaults->writes_per_s;
        values[2] = defaults->max_value_kb;
        values[3] = defaults->max_txn_operations;
    }
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        char *field = g_strconcat(path, ".", names[i], NULL);
        if (!defaults || find_member(root, field))
            values[i] = i == 3 ? read_integer(reader, root, field, min[i], max[i])
                               : read_number(reader, root, field, min[i], max[i]);
        g_free(field);
    }
    return (struct kv_service_limits){values[0], values[1], values[2], (int)values[3]};
}

static struct settings *settings_new(void)
{
    struct settings *settings = g_new0(struct settings, 1);
    settings->siblings = g_array_new(FALSE, TRUE, sizeof(struct sibling));
    g_array_set_clear_func(settings->siblings, clear_sibling);
    settings->teams = g_array_new(FALSE, TRUE, sizeof(struct team));
    g_array_set_clear_func(settings->teams, clear_team);
    settings->objectives = g_array_new(FALSE, TRUE, sizeof(struct objective));
    g_array_set_clear_func(settings->objectives, clear_objective);
    settings->zones = g_ptr_array_new_with_free_func(g_free);
    return settings;
}

/** This node, its siblings, and the services outside. */
static void read_addresses(struct settings_reader *reader, struct settings *settings,
                           json_object *root)
{
    settings->label = read_text(reader, root, "label");
    settings->zone = read_text(reader, root, "domain");
    settings->api_address = read_address(reader, root, "api_addr");
    settings->rpc_address = read_address(reader, root, "back");
    read_siblings(reader, settings, root);
    settings->cloud_address = read_address(reader, root, "outside.cloud");
    settings->kv_address = read_address(reader, root, "outside.state");
}

static void read_zones(struct settings_reader *reader, struct settings *settings, json_object *root)
{
    json_object *zones = read_array(reader, root, "deployment.zones");
    for (size_t i = 0; zones && i < json_object_array_length(zones); i++)
        g_ptr_array_add(settings->zones,
                        g_strdup(json_object_get_string(json_object_array_get_idx(zones, i))));
    if (settings->zones->len == 0)
        report_error(reader, "deployment.zones", "missing");
}

static void read_agent_times(struct settings_reader *reader, struct settings *settings,
                             json_object *root)
{
    settings->heartbeat_interval_s =
        read_number(reader, root, "deployment.workers.report_s", 0.1, 600);
    settings->lease_s = read_number(reader, root, "deployment.workers.lease_s", 1, 3600);
    settings->gang_wait_timeout_s =
        read_number(reader, root, "deployment.workers.gang_wait_s", 0, 3600);
    settings->gang_peer_timeout_s =
        read_number(reader, root, "deployment.workers.gang_peer_s", 0, 3600);
    settings->cancel_timeout_s = read_number(reader, root, "deployment.workers.cancel_s", 1, 36000);
}

static void read_service_limits(struct settings_reader *reader, struct settings *settings,
                                json_object *root)
{
    settings->kv_limits = read_kv_limits(reader, root, "deployment.state", NULL);
    settings->kv_limits_next = settings->kv_limits;
    if (is_table_present(reader, root, "deployment.state.next"))
        settings->kv_limits_next =
            read_kv_limits(reader, root, "deployment.state.next", &settings->kv_limits);
    settings->cloud_requests_per_s = read_number(reader, root, "deployment.cloud.rps", 0.01, 1e6);
    settings->cloud_list_lag_s = read_number(reader, root, "deployment.cloud.list_lag_s", 0, 3600);
    settings->cpu_cores =
        read_number(reader, root, "deployment.machine_limits.core_share", 0.001, 1024);
    settings->ram_mb = read_number(reader, root, "deployment.machine_limits.ram_mb", 16, 1e9);
    settings->max_open_files =
        read_integer(reader, root, "deployment.machine_limits.fd_limit", 64, 1e7);
}

/** What fields must be to one another. */
static void check_consistency(struct settings_reader *reader, const struct settings *settings)
{
    if (!reader->error && settings->cancel_timeout_s <= settings->lease_s)
        report_error(reader, "deployment.workers.cancel_s", "must be more than lease_s");
    if (!reader->error && settings->lease_s <= settings->heartbeat_interval_s)
        report_error(reader, "deployment.workers.lease_s", "must be more than report_s");
    if (!reader->error && (int)settings->siblings->len + 1 != settings->node_count)
        report_error(reader, "deployment.size", "does not match the number of siblings");
}

/** Reads all fields in their order, as the first error is the one that is reported. */
static struct settings *read_all(json_object *root, char **error)
{
    struct settings_reader reader = {0};
    struct settings *settings = settings_new();
    read_addresses(&reader, settings, root);
    settings->node_count = read_integer(&reader, root, "deployment.size", 1, 1000);
    read_zones(&reader, settings, root);
    settings->clock_error_ms = read_number(&reader, root, "deployment.clock_error_ms", 0, 3600e3);
    read_teams(&reader, settings, root);
    read_objectives(&reader, settings, root);
    read_agent_times(&reader, settings, root);
    read_service_limits(&reader, settings, root);
    check_consistency(&reader, settings);
    if (reader.error) {
        *error = reader.error;
        settings_free(settings);
        return NULL;
    }
    return settings;
}

struct settings *settings_parse(const char *toml, char **error)
{
    char reason[256] = "";
    char *json = toml_read_json(toml, reason, sizeof reason);
    if (!json) {
        *error = g_strdup(reason);
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
    char *text = NULL, *reason = NULL;
    GError *read_error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &read_error)) {
        *error = g_strdup_printf("%s: %s", path, read_error->message);
        g_error_free(read_error);
        return NULL;
    }
    struct settings *settings = settings_parse(text, &reason);
    g_free(text);
    if (!settings)
        *error = g_strdup_printf("%s: %s", path, reason);
    g_free(reason);
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
    g_free(settings->api_address);
    g_free(settings->rpc_address);
    g_free(settings->cloud_address);
    g_free(settings->kv_address);
    g_free(settings);
}

size_t settings_max_response_bytes(const struct settings *settings)
{
    return (size_t)(settings->ram_mb * BYTES_PER_MB / MEMORY_PER_RESPONSE_BYTE);
}

int settings_find_team(const struct settings *settings, const char *name)
{
    for (guint i = 0; i < settings->teams->len; i++)
        if (strcmp(g_array_index(settings->teams, struct team, i).name, name) == 0)
            return (int)i;
    return -1;
}
