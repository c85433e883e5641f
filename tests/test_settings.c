/**
 * @file
 * Tests of the settings file: every field is parsed, and an invalid file is rejected with one
 * message that names the field or the position.
 */
#include "address.h"
#include "settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static const char valid_settings[] = "label = \"a\"\n"
                                     "domain = \"z\"\n"
                                     "api_addr = \"10.0.0.1:80\"\n"
                                     "back = \"10.0.0.1:81\"\n"
                                     "[outside]\n"
                                     "cloud = \"10.2.0.2:1\"\n"
                                     "state = \"10.2.0.1:1\"\n"
                                     "[deployment]\n"
                                     "size = 1\n"
                                     "zones = [\"z\"]\n"
                                     "clock_error_ms = 25\n"
                                     "[[deployment.teams]]\n"
                                     "name = \"t\"\n"
                                     "cpus = 1\n"
                                     "cpus_max = 2\n"
                                     "gpus = 0\n"
                                     "gpus_max = 0\n"
                                     "[[deployment.objectives]]\n"
                                     "kind = \"wait\"\n"
                                     "class = \"batch\"\n"
                                     "within_s = 30\n"
                                     "[deployment.workers]\n"
                                     "report_s = 1\n"
                                     "lease_s = 10\n"
                                     "gang_wait_s = 1\n"
                                     "gang_peer_s = 1\n"
                                     "cancel_s = 30\n"
                                     "[deployment.state]\n"
                                     "rps = 100\n"
                                     "write_rps = 25\n"
                                     "value_kb = 8\n"
                                     "txn_ops = 16\n"
                                     "[deployment.cloud]\n"
                                     "rps = 1\n"
                                     "list_lag_s = 1\n"
                                     "[deployment.machine_limits]\n"
                                     "core_share = 0.1\n"
                                     "ram_mb = 64\n"
                                     "fd_limit = 800\n";

/** The valid settings with `from`, which must occur exactly once, replaced by `to`. */
static char *replace_in_valid_settings(const char *from, const char *to)
{
    char **parts = g_strsplit(valid_settings, from, -1);
    if (g_strv_length(parts) != 2)
        fail_msg("'%s' does not occur exactly once in the valid settings", from);
    char *text = g_strjoinv(to, parts);
    g_strfreev(parts);
    return text;
}

/** Parses the valid settings with `from` replaced by `to`, which must succeed. */
static struct settings *parse_changed_settings(const char *from, const char *to)
{
    char *text = replace_in_valid_settings(from, to);
    GError *error = NULL;
    struct settings *settings = settings_parse(text, &error);
    if (!settings)
        fail_msg("%s", error->message);
    assert_null(error);
    g_free(text);
    return settings;
}

static void all_fields_are_parsed(void **state)
{
    (void)state;
    struct settings *settings =
        parse_changed_settings("value_kb = 8\n", "value_kb = 8\nnext = {txn_ops = 9}\n");
    assert_string_equal(settings->label, "a");
    assert_string_equal(settings->zone, "z");
    assert_string_equal(settings->api_address, "10.0.0.1:80");
    assert_string_equal(settings->rpc_address, "10.0.0.1:81");
    assert_string_equal(settings->cloud_address, "10.2.0.2:1");
    assert_string_equal(settings->kv_address, "10.2.0.1:1");
    assert_int_equal(settings->siblings->len, 0);
    assert_int_equal(settings->node_count, 1);
    assert_int_equal(settings->zones->len, 1);
    assert_string_equal(g_ptr_array_index(settings->zones, 0), "z");
    assert_true(settings->clock_error_ms == 25);
    assert_int_equal(settings->teams->len, 1);
    const struct team *team = &g_array_index(settings->teams, struct team, 0);
    assert_string_equal(team->name, "t");
    assert_true(team->cpus.milli == 1000 && team->cpus_max.milli == 2000);
    assert_true(team->gpus.milli == 0 && team->gpus_max.milli == 0);
    assert_int_equal(settings_find_team(settings, "t"), 0);
    assert_int_equal(settings_find_team(settings, "u"), -1);
    assert_int_equal(settings->objectives->len, 1);
    const struct objective *objective = &g_array_index(settings->objectives, struct objective, 0);
    assert_int_equal(objective->kind, OBJECTIVE_WAIT);
    assert_string_equal(objective->class, "batch");
    assert_true(objective->within_s == 30);
    assert_true(settings->heartbeat_interval_s == 1 && settings->lease_s == 10);
    assert_true(settings->gang_wait_timeout_s == 1 && settings->gang_peer_timeout_s == 1);
    assert_true(settings->cancel_timeout_s == 30);
    assert_true(settings->kv_limits.requests_per_s == 100);
    assert_true(settings->kv_limits.writes_per_s == 25);
    assert_true(settings->kv_limits.max_value_kb == 8);
    assert_int_equal(settings->kv_limits.max_txn_operations, 16);
    assert_true(settings->kv_limits_next.requests_per_s == 100);
    assert_int_equal(settings->kv_limits_next.max_txn_operations, 9);
    assert_true(settings->cloud_requests_per_s == 1 && settings->cloud_list_lag_s == 1);
    assert_true(settings->cpu_cores == 0.1 && settings->ram_mb == 64);
    assert_int_equal(settings->max_open_files, 800);
    assert_int_equal(settings_max_response_bytes(settings), 8 << 20);
    settings_free(settings);
}

/* Limits are stored in thousandths; rounding up would exceed the configured limit. */
static void team_limits_are_rounded_down_to_thousandths(void **state)
{
    (void)state;
    struct settings *settings = parse_changed_settings("cpus_max = 2\n", "cpus_max = 2.0019\n");
    assert_true(g_array_index(settings->teams, struct team, 0).cpus_max.milli == 2001);
    settings_free(settings);
}

static void unknown_objectives_are_ignored(void **state)
{
    (void)state;
    struct settings *settings = parse_changed_settings("kind = \"wait\"\n", "kind = \"colour\"\n");
    assert_int_equal(settings->objectives->len, 0);
    settings_free(settings);
    settings = parse_changed_settings("class = \"batch\"\n", "");
    assert_int_equal(settings->objectives->len, 0);
    settings_free(settings);
    settings = parse_changed_settings("kind = \"wait\"\n", "kind = \"deadline\"\n");
    assert_int_equal(g_array_index(settings->objectives, struct objective, 0).kind,
                     OBJECTIVE_DEADLINE);
    assert_true(g_array_index(settings->objectives, struct objective, 0).within_s == 0);
    settings_free(settings);
}

static void siblings_are_parsed(void **state)
{
    (void)state;
    static const char siblings[] =
        "[[siblings]]\nlabel = \"b\"\ndomain = \"y\"\nendpoint = \"10.0.0.2:81\"\n"
        "[outside]\n";
    char *text = replace_in_valid_settings("[outside]\n", siblings);
    char **parts = g_strsplit(text, "size = 1\n", -1);
    char *two_nodes = g_strjoinv("size = 2\n", parts);
    GError *error = NULL;
    struct settings *settings = settings_parse(two_nodes, &error);
    if (!settings)
        fail_msg("%s", error->message);
    assert_int_equal(settings->siblings->len, 1);
    const struct sibling *sibling = &g_array_index(settings->siblings, struct sibling, 0);
    assert_string_equal(sibling->label, "b");
    assert_string_equal(sibling->zone, "y");
    assert_string_equal(sibling->endpoint, "10.0.0.2:81");
    settings_free(settings);
    g_strfreev(parts);
    g_free(two_nodes);
    g_free(text);
}

static const struct {
    const char *from, *to, *message;
} error_cases[] = {
    {"back = \"10.0.0.1:81\"\n",
     "back = \"10.0.0.1:81\"\n[[siblings]]\nlabel = \"b\"\ndomain = \"z\"\nendpoint = "
     "\"10.0.0.2:81\"\n",
     "deployment.size: must be the number of siblings plus one"},
    {"[outside]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[deployment]\nsize = 1\n",
     "[[siblings]]\nlabel = \"b\"\ndomain = \"z\"\nendpoint = "
     "\"10.0.0.2:81\"\n[[siblings]]\nlabel = \"b\"\ndomain = \"z\"\nendpoint = "
     "\"10.0.0.2:81\"\n[outside]\ncloud = \"10.2.0.2:1\"\nstate = "
     "\"10.2.0.1:1\"\n[deployment]\nsize = 3\n",
     "siblings.label: must be unique, but appears twice"},
    {"back = \"10.0.0.1:81\"\n",
     "back = \"10.0.0.1:81\"\n[[siblings]]\nlabel = \"a\"\ndomain = \"z\"\nendpoint = "
     "\"10.0.0.2:81\"\n",
     "siblings.label: must not be the label of this node itself"},
    {"back = \"10.0.0.1:81\"\n",
     "back = \"10.0.0.1:81\"\n[[siblings]]\nlabel = \"b\"\ndomain = \"z\"\n",
     "endpoint: is required but missing"},
    {"back = \"10.0.0.1:81\"\n",
     "back = \"10.0.0.1:81\"\n[[siblings]]\nlabel = \"b\"\ndomain = \"z\"\nendpoint = "
     "\"10.0.0.2\"\n",
     "endpoint: must be an address such as 10.0.0.1:8080"},
    {"back = \"10.0.0.1:81\"\n", "back = \"10.0.0.1:81\"\nsiblings = 3\n",
     "siblings: must be an array"},
    {"domain = \"z\"\n", "", "domain: is required but missing"},
    {"domain = \"z\"\n", "domain = -1\n", "domain: must be a non-empty string"},
    {"api_addr = \"10.0.0.1:80\"\n", "", "api_addr: is required but missing"},
    {"api_addr = \"10.0.0.1:80\"\n", "api_addr = -1\n", "api_addr: must be a non-empty string"},
    {"api_addr = \"10.0.0.1:80\"\n", "api_addr = \"x\"\n",
     "api_addr: must be an address such as 10.0.0.1:8080"},
    {"back = \"10.0.0.1:81\"\n", "", "back: is required but missing"},
    {"back = \"10.0.0.1:81\"\n", "back = -1\n", "back: must be a non-empty string"},
    {"back = \"10.0.0.1:81\"\n", "back = \"x\"\n",
     "back: must be an address such as 10.0.0.1:8080"},
    {"[outside]\n", "", "outside.cloud: is required but missing"},
    {"cloud = \"10.2.0.2:1\"\n", "cloud = -1\n", "outside.cloud: must be a non-empty string"},
    {"cloud = \"10.2.0.2:1\"\n", "cloud = \"x\"\n",
     "outside.cloud: must be an address such as 10.0.0.1:8080"},
    {"state = \"10.2.0.1:1\"\n", "", "outside.state: is required but missing"},
    {"state = \"10.2.0.1:1\"\n", "state = -1\n", "outside.state: must be a non-empty string"},
    {"state = \"10.2.0.1:1\"\n", "state = \"x\"\n",
     "outside.state: must be an address such as 10.0.0.1:8080"},
    {"[deployment]\n", "", "deployment.size: is required but missing"},
    {"size = 1\n", "size = -1\n", "deployment.size: must be a number between 1 and 1000"},
    {"size = 1\n", "size = true\n", "deployment.size: must be a number"},
    {"size = 1\n", "size = 1.5\n", "deployment.size: must be an integer"},
    {"zones = [\"z\"]\n", "", "deployment.zones: must contain at least one zone"},
    {"zones = [\"z\"]\n", "zones = -1\n", "deployment.zones: must be an array"},
    {"clock_error_ms = 25\n", "", "deployment.clock_error_ms: is required but missing"},
    {"clock_error_ms = 25\n", "clock_error_ms = -1\n",
     "deployment.clock_error_ms: must be a number between 0 and 3.6e+06"},
    {"clock_error_ms = 25\n", "clock_error_ms = true\n",
     "deployment.clock_error_ms: must be a number"},
    {"[[deployment.teams]]\n", "", "deployment.teams: must contain at least one team"},
    {"name = \"t\"\n", "", "name: is required but missing"},
    {"name = \"t\"\n", "name = -1\n", "name: must be a non-empty string"},
    {"cpus = 1\n", "", "cpus: is required but missing"},
    {"cpus = 1\n", "cpus = -1\n", "cpus: must be a number between 0 and 1e+09"},
    {"cpus = 1\n", "cpus = true\n", "cpus: must be a number"},
    {"cpus_max = 2\n", "", "cpus_max: is required but missing"},
    {"cpus_max = 2\n", "cpus_max = -1\n", "cpus_max: must be a number between 0 and 1e+09"},
    {"cpus_max = 2\n", "cpus_max = true\n", "cpus_max: must be a number"},
    {"cpus_max = 2\n", "cpus_max = 0\n", "deployment.teams.cpus: must be at most cpus_max"},
    {"gpus = 0\n", "", "gpus: is required but missing"},
    {"gpus = 0\n", "gpus = -1\n", "gpus: must be a number between 0 and 1e+09"},
    {"gpus = 0\n", "gpus = true\n", "gpus: must be a number"},
    {"gpus = 0\n", "gpus = 1.5\n", "deployment.teams.gpus: must be at most gpus_max"},
    {"gpus_max = 0\n", "", "gpus_max: is required but missing"},
    {"gpus_max = 0\n", "gpus_max = -1\n", "gpus_max: must be a number between 0 and 1e+09"},
    {"gpus_max = 0\n", "gpus_max = true\n", "gpus_max: must be a number"},
    {"kind = \"wait\"\n", "", "kind: is required but missing"},
    {"kind = \"wait\"\n", "kind = -1\n", "kind: must be a non-empty string"},
    {"class = \"batch\"\n", "class = -1\n", "class: must be a non-empty string"},
    {"within_s = 30\n", "", "within_s: is required but missing"},
    {"within_s = 30\n", "within_s = -1\n", "within_s: must be a number between 0 and 1e+09"},
    {"within_s = 30\n", "within_s = true\n", "within_s: must be a number"},
    {"[deployment.workers]\n", "", "deployment.workers.report_s: is required but missing"},
    {"report_s = 1\n", "report_s = -1\n",
     "deployment.workers.report_s: must be a number between 0.1 and 600"},
    {"report_s = 1\n", "report_s = true\n", "deployment.workers.report_s: must be a number"},
    {"lease_s = 10\n", "", "deployment.workers.lease_s: is required but missing"},
    {"lease_s = 10\n", "lease_s = -1\n",
     "deployment.workers.lease_s: must be a number between 1 and 3600"},
    {"lease_s = 10\n", "lease_s = true\n", "deployment.workers.lease_s: must be a number"},
    {"gang_wait_s = 1\n", "", "deployment.workers.gang_wait_s: is required but missing"},
    {"gang_wait_s = 1\n", "gang_wait_s = -1\n",
     "deployment.workers.gang_wait_s: must be a number between 0 and 3600"},
    {"gang_wait_s = 1\n", "gang_wait_s = true\n",
     "deployment.workers.gang_wait_s: must be a number"},
    {"gang_peer_s = 1\n", "", "deployment.workers.gang_peer_s: is required but missing"},
    {"gang_peer_s = 1\n", "gang_peer_s = -1\n",
     "deployment.workers.gang_peer_s: must be a number between 0 and 3600"},
    {"gang_peer_s = 1\n", "gang_peer_s = true\n",
     "deployment.workers.gang_peer_s: must be a number"},
    {"cancel_s = 30\n", "", "deployment.workers.cancel_s: is required but missing"},
    {"cancel_s = 30\n", "cancel_s = -1\n",
     "deployment.workers.cancel_s: must be a number between 1 and 36000"},
    {"cancel_s = 30\n", "cancel_s = true\n", "deployment.workers.cancel_s: must be a number"},
    {"cancel_s = 30\n", "cancel_s = 1.5\n",
     "deployment.workers.cancel_s: must be greater than lease_s"},
    {"[deployment.state]\n", "", "deployment.state.rps: is required but missing"},
    {"rps = 100\n", "rps = -1\n", "deployment.state.rps: must be a number between 1 and 1e+06"},
    {"rps = 100\n", "rps = true\n", "deployment.state.rps: must be a number"},
    {"write_rps = 25\n", "", "deployment.state.write_rps: is required but missing"},
    {"write_rps = 25\n", "write_rps = -1\n",
     "deployment.state.write_rps: must be a number between 1 and 1e+06"},
    {"write_rps = 25\n", "write_rps = true\n", "deployment.state.write_rps: must be a number"},
    {"value_kb = 8\n", "", "deployment.state.value_kb: is required but missing"},
    {"value_kb = 8\n", "value_kb = -1\n",
     "deployment.state.value_kb: must be a number between 1 and 64"},
    {"value_kb = 8\n", "value_kb = true\n", "deployment.state.value_kb: must be a number"},
    {"txn_ops = 16\n", "", "deployment.state.txn_ops: is required but missing"},
    {"txn_ops = 16\n", "txn_ops = -1\n",
     "deployment.state.txn_ops: must be a number between 4 and 100000"},
    {"txn_ops = 16\n", "txn_ops = true\n", "deployment.state.txn_ops: must be a number"},
    {"rps = 1\n", "", "deployment.cloud.rps: is required but missing"},
    {"rps = 1\n", "rps = -1\n", "deployment.cloud.rps: must be a number between 0.01 and 1e+06"},
    {"rps = 1\n", "rps = true\n", "deployment.cloud.rps: must be a number"},
    {"list_lag_s = 1\n", "", "deployment.cloud.list_lag_s: is required but missing"},
    {"list_lag_s = 1\n", "list_lag_s = -1\n",
     "deployment.cloud.list_lag_s: must be a number between 0 and 3600"},
    {"list_lag_s = 1\n", "list_lag_s = true\n", "deployment.cloud.list_lag_s: must be a number"},
    {"[deployment.machine_limits]\n", "",
     "deployment.machine_limits.core_share: is required but missing"},
    {"core_share = 0.1\n", "core_share = -1\n",
     "deployment.machine_limits.core_share: must be a number between 0.001 and 1024"},
    {"core_share = 0.1\n", "core_share = true\n",
     "deployment.machine_limits.core_share: must be a number"},
    {"ram_mb = 64\n", "", "deployment.machine_limits.ram_mb: is required but missing"},
    {"ram_mb = 64\n", "ram_mb = -1\n",
     "deployment.machine_limits.ram_mb: must be a number between 16 and 1e+09"},
    {"ram_mb = 64\n", "ram_mb = true\n", "deployment.machine_limits.ram_mb: must be a number"},
    {"fd_limit = 800\n", "", "deployment.machine_limits.fd_limit: is required but missing"},
    {"fd_limit = 800\n", "fd_limit = -1\n",
     "deployment.machine_limits.fd_limit: must be a number between 64 and 1e+07"},
    {"fd_limit = 800\n", "fd_limit = true\n",
     "deployment.machine_limits.fd_limit: must be a number"},
    {"fd_limit = 800\n", "fd_limit = 800\n[deployment.state.next]\nvalue_kb = 0.5\n",
     "deployment.state.next.value_kb: must be a number between 1 and 64"},
    {"fd_limit = 800\n", "fd_limit = 800\n[deployment.state.next]\ntxn_ops = 5.5\n",
     "deployment.state.next.txn_ops: must be an integer"},
    {"fd_limit = 800\n", "fd_limit = 800\n[deployment.state.next]\nwrite_rps = \"few\"\n",
     "deployment.state.next.write_rps: must be a number"},
    {"fd_limit = 800\n", "fd_limit = 800\n[deployment.state.next]\nrps = 0\ntxn_ops = 1e9\n",
     "deployment.state.next.rps: must be a number between 1 and 1e+06"},
    {"txn_ops = 16\n", "txn_ops = 16\nnext = 3\n", "deployment.state.next: must be a table"},
    {"lease_s = 10\n", "lease_s = 1\n",
     "deployment.workers.lease_s: must be greater than report_s"},
    {"fd_limit = 800\n",
     "fd_limit = 800\n[[deployment.teams]]\nname = \"t\"\ncpus = 1\ncpus_max = 2\ngpus = "
     "0\ngpus_max = 0\n",
     "deployment.teams.name: must be unique, but appears twice"},
    {"label = \"a\"\ndomain = \"z\"\n", "domain = 3\n", "label: is required but missing"},
    {"label = \"a\"\n", "label = 3\n", "label: must be a non-empty string"},
    {"label = \"a\"\n", "label =\n",
     "line 1, column 8: Error while parsing key-value pair: expected value, saw '\\n'"},
};

/* Compares the whole message of the first error, in the order of the sections of the file. */
static void each_error_has_its_exact_message(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
        char *text = replace_in_valid_settings(error_cases[i].from, error_cases[i].to);
        GError *error = NULL;
        assert_null(settings_parse(text, &error));
        if (strcmp(error->message, error_cases[i].message) != 0)
            fail_msg("'%s': '%s' in place of '%s'", error_cases[i].to, error->message,
                     error_cases[i].message);
        g_error_free(error);
        g_free(text);
    }
}

static void each_kind_of_error_has_its_code(void **state)
{
    (void)state;
    static const struct {
        const char *from, *to;
        enum settings_error code;
    } cases[] = {
        {"label = \"a\"\n", "label =\n", SETTINGS_ERROR_SYNTAX},
        {"label = \"a\"\n", "", SETTINGS_ERROR_MISSING},
        {"size = 1\n", "size = true\n", SETTINGS_ERROR_TYPE},
        {"size = 1\n", "size = 1.5\n", SETTINGS_ERROR_TYPE},
        {"size = 1\n", "size = 0\n", SETTINGS_ERROR_RANGE},
        {"size = 1\n", "size = 2\n", SETTINGS_ERROR_CONFLICT},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = replace_in_valid_settings(cases[i].from, cases[i].to);
        GError *error = NULL;
        assert_null(settings_parse(text, &error));
        if (!g_error_matches(error, SETTINGS_ERROR, (int)cases[i].code))
            fail_msg("'%s': code %d", cases[i].to, error->code);
        g_error_free(error);
        g_free(text);
    }
}

static void file_errors_name_the_file(void **state)
{
    (void)state;
    GError *error = NULL;
    assert_null(settings_load("/nowhere/settings", &error));
    assert_true(g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT));
    assert_true(g_str_has_prefix(error->message, "/nowhere/settings: Failed to open file"));
    g_error_free(error);
}

static void addresses_are_parsed(void **state)
{
    (void)state;
    uint32_t ip_be = 0;
    uint16_t port = 0;
    assert_true(address_parse("10.0.0.1:8080", &ip_be, &port));
    assert_int_equal(ip_be, GUINT32_TO_BE(0x0a000001));
    assert_int_equal(port, 8080);
    static const char *const malformed[] = {
        "",       "10.0.0.1",           ":80",         "10.0.0.1:",
        "a:80",   "10.0.0.1:0",         "10.0.0.1:-1", "10.0.0.1:65536",
        "1.2:80", "10.0.0.1:80x",       "10.0.0.1: 8", "256.0.0.1:80",
        "1:2:80", "1234567890123456:80"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        if (address_parse(malformed[i], &ip_be, &port))
            fail_msg("accepted: %s", malformed[i]);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_fields_are_parsed),
        cmocka_unit_test(team_limits_are_rounded_down_to_thousandths),
        cmocka_unit_test(unknown_objectives_are_ignored),
        cmocka_unit_test(siblings_are_parsed),
        cmocka_unit_test(each_error_has_its_exact_message),
        cmocka_unit_test(each_kind_of_error_has_its_code),
        cmocka_unit_test(file_errors_name_the_file),
        cmocka_unit_test(addresses_are_parsed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
