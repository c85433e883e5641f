/** Reads the settings file into struct settings, table by table. */
#include "settings.h"

#include "settings_reader.h"
#include "toml_reader.h"

#include <math.h>
#include <stdlib.h>

enum {
    /** Longer messages of the TOML parser are truncated. */
    MAX_TOML_ERROR_BYTES = 256,
    BYTES_PER_MB = 1024 * 1024,
    /** An HTTP response may be as large as the memory limit divided by this number. */
    RESPONSE_MEMORY_DIVISOR = 8,
    MILLI_PER_UNIT = 1000,
};

/** Quotas such as 0.3 have no exact binary representation; without this tolerance 0.3 could be
 * rounded down to 299 milli. */
static const double ROUNDING_TOLERANCE_MILLI = 1e-6;

static const struct number_rule NODE_COUNT = {1, 1000, true};
static const struct number_rule CLOCK_ERROR_MS = {0, 3600e3, false};
static const struct number_rule QUOTA = {0, 1e9, false};
static const struct number_rule OBJECTIVE_S = {0, 1e9, false};
static const struct number_rule HEARTBEAT_INTERVAL_S = {0.1, 600, false};
static const struct number_rule LEASE_S = {1, 3600, false};
static const struct number_rule GANG_TIMEOUT_S = {0, 3600, false};
static const struct number_rule CANCEL_TIMEOUT_S = {1, 36000, false};
static const struct number_rule KV_REQUESTS_PER_S = {1, 1e6, false};
static const struct number_rule KV_VALUE_KB = {1, 64, false};
static const struct number_rule KV_TXN_OPERATIONS = {4, 100000, true};
static const struct number_rule CLOUD_REQUESTS_PER_S = {0.01, 1e6, false};
static const struct number_rule CLOUD_LIST_LAG_S = {0, 3600, false};
static const struct number_rule CPU_CORES = {0.001, 1024, false};
static const struct number_rule RAM_MB = {16, 1e9, false};
static const struct number_rule OPEN_FILES = {64, 1e7, true};

G_DEFINE_QUARK(linenlanding_settings_error, settings_error)

/* ---- creation and release ---- */

static void clear_sibling(gpointer data)
{
    struct sibling *sibling = data;
    g_free(sibling->label);
    g_free(sibling->zone);
    g_free(sibling->endpoint);
}

static void clear_team(gpointer data)
{
    struct team *team = data;
    g_free(team->name);
}

static void clear_objective(gpointer data)
{
    struct objective *objective = data;
    g_free(objective->class);
}

static GArray *new_array(guint element_size, GDestroyNotify clear_element)
{
    GArray *array = g_array_new(FALSE, TRUE, element_size);
    g_array_set_clear_func(array, clear_element);
    return array;
}

static struct settings *settings_new(void)
{
    struct settings *settings = g_new0(struct settings, 1);
    settings->siblings = new_array(sizeof(struct sibling), clear_sibling);
    settings->teams = new_array(sizeof(struct team), clear_team);
    settings->objectives = new_array(sizeof(struct objective), clear_objective);
    settings->zones = g_ptr_array_new_with_free_func(g_free);
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

/* ---- the node, its siblings and the external services ---- */

static void read_node(struct settings_reader *reader, struct settings *settings, json_object *root)
{
    settings->label = settings_reader_get_string(reader, root, "label");
    settings->zone = settings_reader_get_string(reader, root, "domain");
    settings->api_address = settings_reader_get_address(reader, root, "api_addr");
    settings->rpc_address = settings_reader_get_address(reader, root, "back");
}

static bool has_sibling(const struct settings *settings, const char *label)
{
    for (guint i = 0; i < settings->siblings->len; i++)
        if (strcmp(g_array_index(settings->siblings, struct sibling, i).label, label) == 0)
            return true;
    return false;
}

static void read_siblings(struct settings_reader *reader, struct settings *settings,
                          json_object *root)
{
    json_object *list = settings_reader_get_list(reader, root, "siblings");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct sibling sibling = {0};
        sibling.label = settings_reader_get_string(reader, object, "label");
        sibling.zone = settings_reader_get_string(reader, object, "domain");
        sibling.endpoint = settings_reader_get_address(reader, object, "endpoint");
        if (strcmp(sibling.label, settings->label) == 0)
            settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "siblings.label",
                                 "must not be the label of this node itself");
        if (has_sibling(settings, sibling.label))
            settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "siblings.label",
                                 "must be unique, but appears twice");
        g_array_append_val(settings->siblings, sibling);
    }
}

static void read_service_addresses(struct settings_reader *reader, struct settings *settings,
                                   json_object *root)
{
    settings->cloud_address = settings_reader_get_address(reader, root, "outside.cloud");
    settings->kv_address = settings_reader_get_address(reader, root, "outside.state");
}

/* ---- the deployment ---- */

static void read_cluster(struct settings_reader *reader, struct settings *settings,
                         json_object *root)
{
    settings->node_count =
        (int)settings_reader_get_number(reader, root, "deployment.size", &NODE_COUNT);
    json_object *zones = settings_reader_get_list(reader, root, "deployment.zones");
    for (size_t i = 0; zones && i < json_object_array_length(zones); i++) {
        json_object *zone = json_object_array_get_idx(zones, i);
        g_ptr_array_add(settings->zones, g_strdup(json_object_get_string(zone)));
    }
    if (settings->zones->len == 0)
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, "deployment.zones",
                             "must contain at least one zone");
    settings->clock_error_ms =
        settings_reader_get_number(reader, root, "deployment.clock_error_ms", &CLOCK_ERROR_MS);
}

/** Reads a quota. Quotas are rounded down, whereas what tasks request is rounded up. */
static amount read_quota(struct settings_reader *reader, json_object *object, const char *path)
{
    double quota = settings_reader_get_number(reader, object, path, &QUOTA);
    return (amount){(int64_t)floor(quota * MILLI_PER_UNIT + ROUNDING_TOLERANCE_MILLI)};
}

static void check_team(struct settings_reader *reader, const struct settings *settings,
                       const struct team *team)
{
    if (settings_find_team(settings, team->name) >= 0)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.teams.name",
                             "must be unique, but appears twice");
    if (team->cpus.milli > team->cpus_max.milli)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.teams.cpus",
                             "must be at most cpus_max");
    if (team->gpus.milli > team->gpus_max.milli)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.teams.gpus",
                             "must be at most gpus_max");
}

static void read_teams(struct settings_reader *reader, struct settings *settings, json_object *root)
{
    json_object *list = settings_reader_get_list(reader, root, "deployment.teams");
    if (!list || json_object_array_length(list) == 0)
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, "deployment.teams",
                             "must contain at least one team");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct team team = {0};
        team.name = settings_reader_get_string(reader, object, "name");
        team.cpus = read_quota(reader, object, "cpus");
        team.cpus_max = read_quota(reader, object, "cpus_max");
        team.gpus = read_quota(reader, object, "gpus");
        team.gpus_max = read_quota(reader, object, "gpus_max");
        check_team(reader, settings, &team);
        g_array_append_val(settings->teams, team);
    }
}

static enum objective_kind read_objective_kind(struct settings_reader *reader, json_object *object)
{
    char *name = settings_reader_get_string(reader, object, "kind");
    enum objective_kind kind = OBJECTIVE_OTHER;
    if (strcmp(name, "wait") == 0)
        kind = OBJECTIVE_WAIT;
    else if (strcmp(name, "finished") == 0)
        kind = OBJECTIVE_FINISHED;
    else if (strcmp(name, "deadline") == 0)
        kind = OBJECTIVE_DEADLINE;
    g_free(name);
    return kind;
}

/** Reads the objectives. Those of an unknown kind or without a job class are ignored. */
static void read_objectives(struct settings_reader *reader, struct settings *settings,
                            json_object *root)
{
    json_object *list = settings_reader_get_list(reader, root, "deployment.objectives");
    for (size_t i = 0; list && i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        struct objective objective = {.kind = read_objective_kind(reader, object)};
        if (objective.kind == OBJECTIVE_OTHER || !settings_reader_find(object, "class"))
            continue;
        objective.class = settings_reader_get_string(reader, object, "class");
        if (objective.kind != OBJECTIVE_DEADLINE)
            objective.within_s =
                settings_reader_get_number(reader, object, "within_s", &OBJECTIVE_S);
        g_array_append_val(settings->objectives, objective);
    }
}

static void read_agents(struct settings_reader *reader, struct settings *settings,
                        json_object *root)
{
    settings->heartbeat_interval_s = settings_reader_get_number(
        reader, root, "deployment.workers.report_s", &HEARTBEAT_INTERVAL_S);
    settings->lease_s =
        settings_reader_get_number(reader, root, "deployment.workers.lease_s", &LEASE_S);
    settings->gang_wait_timeout_s =
        settings_reader_get_number(reader, root, "deployment.workers.gang_wait_s", &GANG_TIMEOUT_S);
    settings->gang_peer_timeout_s =
        settings_reader_get_number(reader, root, "deployment.workers.gang_peer_s", &GANG_TIMEOUT_S);
    settings->cancel_timeout_s =
        settings_reader_get_number(reader, root, "deployment.workers.cancel_s", &CANCEL_TIMEOUT_S);
}

/** A table of the settings file that contains limits of the key-value service. */
struct kv_limits_table {
    json_object *root;
    const char *path;
    /** If set, the limit of a missing field keeps the value it had; otherwise a missing field is an
     * error. */
    bool has_defaults;
};

static void read_kv_limit(struct settings_reader *reader, const struct kv_limits_table *table,
                          const char *name, const struct number_rule *rule, double *limit)
{
    char *path = g_strconcat(table->path, ".", name, NULL);
    if (!table->has_defaults || settings_reader_find(table->root, path))
        *limit = settings_reader_get_number(reader, table->root, path, rule);
    g_free(path);
}

static void read_kv_limits(struct settings_reader *reader, const struct kv_limits_table *table,
                           struct kv_service_limits *limits)
{
    double max_txn_operations = limits->max_txn_operations;
    read_kv_limit(reader, table, "rps", &KV_REQUESTS_PER_S, &limits->requests_per_s);
    read_kv_limit(reader, table, "write_rps", &KV_REQUESTS_PER_S, &limits->writes_per_s);
    read_kv_limit(reader, table, "value_kb", &KV_VALUE_KB, &limits->max_value_kb);
    read_kv_limit(reader, table, "txn_ops", &KV_TXN_OPERATIONS, &max_txn_operations);
    limits->max_txn_operations = (int)max_txn_operations;
}

static void read_kv_service(struct settings_reader *reader, struct settings *settings,
                            json_object *root)
{
    const struct kv_limits_table current = {root, "deployment.state", false};
    const struct kv_limits_table next = {root, "deployment.state.next", true};
    read_kv_limits(reader, &current, &settings->kv_limits);
    settings->kv_limits_next = settings->kv_limits;
    if (settings_reader_has_table(reader, root, next.path))
        read_kv_limits(reader, &next, &settings->kv_limits_next);
}

static void read_cloud(struct settings_reader *reader, struct settings *settings, json_object *root)
{
    settings->cloud_requests_per_s =
        settings_reader_get_number(reader, root, "deployment.cloud.rps", &CLOUD_REQUESTS_PER_S);
    settings->cloud_list_lag_s =
        settings_reader_get_number(reader, root, "deployment.cloud.list_lag_s", &CLOUD_LIST_LAG_S);
}

static void read_node_limits(struct settings_reader *reader, struct settings *settings,
                             json_object *root)
{
    settings->cpu_cores = settings_reader_get_number(
        reader, root, "deployment.machine_limits.core_share", &CPU_CORES);
    settings->ram_mb =
        settings_reader_get_number(reader, root, "deployment.machine_limits.ram_mb", &RAM_MB);
    settings->max_open_files = (int)settings_reader_get_number(
        reader, root, "deployment.machine_limits.fd_limit", &OPEN_FILES);
}

/** Checks that the fields are consistent with each other. Does nothing after an error, because the
 * fields are then not all valid. */
static void check_consistency(struct settings_reader *reader, const struct settings *settings)
{
    if (reader->error)
        return;
    if (settings->cancel_timeout_s <= settings->lease_s)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.workers.cancel_s",
                             "must be greater than lease_s");
    if (settings->lease_s <= settings->heartbeat_interval_s)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.workers.lease_s",
                             "must be greater than report_s");
    if ((int)settings->siblings->len + 1 != settings->node_count)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "deployment.size",
                             "must be the number of siblings plus one");
}

/* ---- the whole file ---- */

/** Reads all tables. Only the first error is reported, so it depends on the order of the calls. */
static struct settings *read_settings(json_object *root, GError **error)
{
    struct settings_reader reader = {0};
    struct settings *settings = settings_new();
    read_node(&reader, settings, root);
    read_siblings(&reader, settings, root);
    read_service_addresses(&reader, settings, root);
    read_cluster(&reader, settings, root);
    read_teams(&reader, settings, root);
    read_objectives(&reader, settings, root);
    read_agents(&reader, settings, root);
    read_kv_service(&reader, settings, root);
    read_cloud(&reader, settings, root);
    read_node_limits(&reader, settings, root);
    check_consistency(&reader, settings);
    if (!reader.error)
        return settings;
    g_propagate_error(error, reader.error);
    settings_free(settings);
    return NULL;
}

struct settings *settings_parse(const char *toml, GError **error)
{
    char message[MAX_TOML_ERROR_BYTES] = "";
    char *json = toml_read_json(toml, message, sizeof message);
    if (!json) {
        g_set_error_literal(error, SETTINGS_ERROR, SETTINGS_ERROR_SYNTAX, message);
        return NULL;
    }
    json_object *root = json_tokener_parse(json);
    free(json);
    if (!root) {
        g_set_error_literal(error, SETTINGS_ERROR, SETTINGS_ERROR_SYNTAX,
                            "the file contains a number that cannot be read");
        return NULL;
    }
    struct settings *settings = read_settings(root, error);
    json_object_put(root);
    return settings;
}

struct settings *settings_load(const char *path, GError **error)
{
    char *text = NULL;
    struct settings *settings = NULL;
    if (g_file_get_contents(path, &text, NULL, error))
        settings = settings_parse(text, error);
    g_free(text);
    if (!settings)
        g_prefix_error(error, "%s: ", path);
    return settings;
}

size_t settings_max_response_bytes(const struct settings *settings)
{
    return (size_t)(settings->ram_mb * BYTES_PER_MB / RESPONSE_MEMORY_DIVISOR);
}

int settings_find_team(const struct settings *settings, const char *name)
{
    for (guint i = 0; i < settings->teams->len; i++)
        if (strcmp(g_array_index(settings->teams, struct team, i).name, name) == 0)
            return (int)i;
    return -1;
}
