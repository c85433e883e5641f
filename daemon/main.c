/* linenlandingd: a thin program around the library. */
#include "log.h"
#include "node.h"

#include <locale.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    EXIT_USAGE = 2,
    RESERVED_FDS = 24, /* files that are no connections */
    CONNECTIONS_PER_ADDRESS = 8,
};

struct options {
    char *config, *policy, *check_policy, *features, *check_features;
    gboolean version, check_config;
};

static int usage_error(const char *message)
{
    (void)fprintf(stderr, "linenlandingd: %s\n", message);
    return EXIT_USAGE;
}

/** Reports an error of settings, policy or features, which it frees. Returns the exit code. */
static int config_error(GError *error)
{
    int exit_code = usage_error(error->message);
    g_error_free(error);
    return exit_code;
}

static bool parse_options(int argc, char **argv, struct options *o, GError **error)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &o->config, "Settings of this node (TOML)",
         "FILE"},
        {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &o->policy, "Operators' own settings", "FILE"},
        {"check-policy", 0, 0, G_OPTION_ARG_FILENAME, &o->check_policy,
         "Check operators' own settings and exit", "FILE"},
        {"features", 'f', 0, G_OPTION_ARG_FILENAME, &o->features, "Features that are switched on",
         "FILE"},
        {"check-features", 0, 0, G_OPTION_ARG_FILENAME, &o->check_features,
         "Check such a file and exit", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &o->check_config, "Check the settings and exit",
         NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &o->version, "Print the version and exit", NULL},
        {0},
    };
    GOptionContext *c = g_option_context_new("- run a node of the cluster scheduler");
    g_option_context_add_main_entries(c, entries, NULL);
    bool ok = g_option_context_parse(c, &argc, &argv, error);
    g_option_context_free(c);
    if (ok && argc > 1) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_UNKNOWN_OPTION, "unexpected argument %s",
                    argv[1]);
        ok = false;
    }
    return ok;
}

static int run_node(const struct settings *settings, const struct policy *policy,
                    const struct feature_set *features)
{
    struct loop *loop = loop_new();
    /* Workers and users come in, and any worker may have to be reached: all of them, when this is
     * the last node. Beyond the limits the connection that idles longest makes room. */
    int fds = settings->max_open_files - RESERVED_FDS;
    int kept = CONNECTIONS_PER_ADDRESS *
               (settings->node_count + 1); /* to nodes, state service and cloud */
    struct http_client_limits client = {.max_connections = MAX(fds * 3 / 8 - kept, 8),
                                        .max_connections_per_address = CONNECTIONS_PER_ADDRESS,
                                        .max_queued_requests = MAX(fds, MAX_TRACKED_MACHINES),
                                        .max_response_bytes = settings_max_response_bytes(settings),
                                        .connect_timeout_ms = 1500,
                                        .idle_timeout_ms = 20000};
    struct http_client *http_client = http_client_new(loop, client);
    http_client_exempt_address(http_client, settings->kv_address);
    http_client_exempt_address(http_client, settings->cloud_address);
    for (guint i = 0; i < settings->siblings->len; i++)
        http_client_exempt_address(http_client,
                                   g_array_index(settings->siblings, struct sibling, i).endpoint);
    struct node *node = node_new(loop, http_client, settings, policy, features);
    struct http_server_limits api = {fds * 9 / 16, 64 << 10, 90000, 10000};
    struct http_server_limits back = {MAX(fds / 16, 4 * settings->node_count),
                                      settings_max_response_bytes(settings), 90000, 10000};
    char *error = NULL;
    if (!http_server_new(loop, settings->api_address, api, api_serve, node->api, &error) ||
        !http_server_new(loop, settings->rpc_address, back, node_rpc_serve, node->rpc, &error)) {
        LOG_ERROR("listen", "%s", error);
        return 1;
    }
    LOG_INFO("start", "version=%s api=%s back=%s", LL_VERSION, settings->api_address,
             settings->rpc_address);
    node_start(node);
    loop_run(loop);
    return 0;
}

static int check_policy(const char *path)
{
    GError *error = NULL;
    struct policy *policy = policy_load(path, &error);
    if (!policy)
        return config_error(error);
    policy_free(policy);
    printf("%s: fine\n", path);
    return 0;
}

static int check_features(const char *path)
{
    GError *error = NULL;
    struct feature_set features;
    if (!feature_set_load(path, &features, &error))
        return config_error(error);
    printf("%s: fine\n", path);
    return 0;
}

/* Reads all that a node needs, and runs it unless it was only to be checked. */
static int load_and_run(const struct options *options)
{
    GError *error = NULL;
    struct settings *settings = settings_load(options->config, &error);
    struct policy *policy = NULL;
    struct feature_set features = feature_set_default();
    int rc = EXIT_USAGE;
    bool ok =
        settings && (!options->features || feature_set_load(options->features, &features, &error));
    if (ok)
        policy = options->policy ? policy_load(options->policy, &error) : policy_default();
    const char *level = g_getenv("LOG_LEVEL");
    if (!policy)
        rc = config_error(error);
    else if (!log_setup(level && *level ? level : "info", settings->label))
        rc = usage_error("LOG_LEVEL: must be error, info or debug");
    else if (options->check_config)
        rc = printf("%s: fine\n", options->config) < 0;
    else
        rc = run_node(settings, policy, &features);
    if (policy)
        policy_free(policy);
    if (settings)
        settings_free(settings);
    return rc;
}

int main(int argc, char **argv)
{
    struct options options = {0};
    GError *problem = NULL;
    int rc = 0;
    if (!parse_options(argc, argv, &options, &problem)) {
        rc = usage_error(problem->message);
        g_error_free(problem);
    } else if (options.version) {
        puts("linenlandingd " LL_VERSION);
    } else if (options.check_policy) {
        rc = check_policy(options.check_policy);
    } else if (options.check_features) {
        rc = check_features(options.check_features);
    } else if (!options.config) {
        rc = usage_error("--config FILE is missing");
    } else {
        rc = load_and_run(&options);
    }
    g_free(options.config);
    g_free(options.policy);
    g_free(options.check_policy);
    g_free(options.features);
    g_free(options.check_features);
    return rc;
}
