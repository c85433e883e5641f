/**
 * @file
 * linenlandingd: parses the command line, loads the files that it names, opens the listening
 * sockets and runs a node.
 */
#include "log.h"
#include "node.h"

#include <locale.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    /** The exit code for an invalid command line, environment variable or file. */
    EXIT_USAGE = 2,
    /** The number of file descriptors reserved for uses other than connections. */
    RESERVED_FDS = 24,
    MAX_CONNECTIONS_PER_ADDRESS = 8,
    MIN_CLIENT_CONNECTIONS = 8,
    MIN_RPC_CONNECTIONS_PER_NODE = 4,
    CONNECT_TIMEOUT_MS = 1500,
    CLIENT_IDLE_TIMEOUT_MS = 20000,
    SERVER_IDLE_TIMEOUT_MS = 90000,
    SERVER_REQUEST_TIMEOUT_MS = 10000,
    MAX_API_BODY_BYTES = 64 << 10,
};

/** The options of the command line. The paths are owned; NULL means that the option is absent. */
struct options {
    char *config, *policy, *check_policy, *features, *check_features;
    gboolean version, check_config;
};

/** Prints an error to standard error and returns the exit code. */
static int report_usage_error(const char *message)
{
    (void)fprintf(stderr, "linenlandingd: %s\n", message);
    return EXIT_USAGE;
}

/** Prints an error of options, settings, policy or features, frees it and returns the exit code. */
static int report_config_error(GError *error)
{
    int exit_code = report_usage_error(error->message);
    g_error_free(error);
    return exit_code;
}

/** Parses the command line. Returns false and sets `error` if it is invalid. */
static bool parse_options(int argc, char **argv, struct options *options, GError **error)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
         "Settings file of this node (TOML, required)", "FILE"},
        {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &options->policy, "Policy file of the operators",
         "FILE"},
        {"check-policy", 0, 0, G_OPTION_ARG_FILENAME, &options->check_policy,
         "Check the policy in FILE and exit", "FILE"},
        {"features", 'f', 0, G_OPTION_ARG_FILENAME, &options->features,
         "File of the enabled features (TOML)", "FILE"},
        {"check-features", 0, 0, G_OPTION_ARG_FILENAME, &options->check_features,
         "Check the features in FILE and exit", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_config,
         "Check the files of the other options and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit",
         NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new("- run a node of the cluster scheduler");
    g_option_context_add_main_entries(context, entries, NULL);
    bool ok = g_option_context_parse(context, &argc, &argv, error);
    g_option_context_free(context);
    if (ok && argc > 1) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_UNKNOWN_OPTION,
                    "unexpected argument \"%s\": only options are accepted, see --help", argv[1]);
        ok = false;
    }
    return ok;
}

static void options_clear(struct options *options)
{
    g_free(options->config);
    g_free(options->policy);
    g_free(options->check_policy);
    g_free(options->features);
    g_free(options->check_features);
}

/* ---- connections ---- */

/** Returns the maximum number of connections that the process may have open. */
static int get_max_connections(const struct settings *settings)
{
    return settings->max_open_files - RESERVED_FDS;
}

/**
 * Returns the limits of the HTTP client. Agents and users connect to this node, and it may have to
 * connect to any agent: to all agents, if it is the last live node. So 9/16 of the connections are
 * for the API server, 3/8 for the client and 1/16 for the RPC server. Beyond a limit, the
 * connection that has been idle for the longest time is closed.
 */
static struct http_client_limits get_client_limits(const struct settings *settings)
{
    int max_connections = get_max_connections(settings);
    /* Connections to the nodes, the key-value store and the cloud are exempt from the limit. */
    int exempt_connections = MAX_CONNECTIONS_PER_ADDRESS * (settings->node_count + 1);
    return (struct http_client_limits){
        .max_connections =
            MAX(max_connections * 3 / 8 - exempt_connections, MIN_CLIENT_CONNECTIONS),
        .max_connections_per_address = MAX_CONNECTIONS_PER_ADDRESS,
        .max_queued_requests = MAX(max_connections, MAX_TRACKED_MACHINES),
        .max_response_bytes = settings_max_response_bytes(settings),
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .idle_timeout_ms = CLIENT_IDLE_TIMEOUT_MS,
    };
}

static struct http_client *new_http_client(struct loop *loop, const struct settings *settings)
{
    struct http_client *http_client = http_client_new(loop, get_client_limits(settings));
    http_client_exempt_from_pool_limits(http_client, settings->kv_address);
    http_client_exempt_from_pool_limits(http_client, settings->cloud_address);
    for (guint i = 0; i < settings->siblings->len; i++)
        http_client_exempt_from_pool_limits(
            http_client, g_array_index(settings->siblings, struct sibling, i).endpoint);
    return http_client;
}

/**
 * Opens the listening sockets for users and agents, and for other nodes. Returns false, and logs
 * an error, if it cannot listen on an address.
 */
static bool open_servers(struct loop *loop, struct node *node, const struct settings *settings)
{
    int max_connections = get_max_connections(settings);
    const struct http_server_limits api_limits = {
        .max_connections = max_connections * 9 / 16,
        .max_body_bytes = MAX_API_BODY_BYTES,
        .idle_timeout_ms = SERVER_IDLE_TIMEOUT_MS,
        .request_timeout_ms = SERVER_REQUEST_TIMEOUT_MS,
    };
    const struct http_server_limits rpc_limits = {
        .max_connections =
            MAX(max_connections / 16, MIN_RPC_CONNECTIONS_PER_NODE * settings->node_count),
        .max_body_bytes = settings_max_response_bytes(settings),
        .idle_timeout_ms = SERVER_IDLE_TIMEOUT_MS,
        .request_timeout_ms = SERVER_REQUEST_TIMEOUT_MS,
    };
    char *error = NULL;
    if (http_server_new(loop, settings->api_address, api_limits, api_serve, node->api, &error) &&
        http_server_new(loop, settings->rpc_address, rpc_limits, node_rpc_serve, node->rpc, &error))
        return true;
    LOG_ERROR("listen", "%s", error);
    g_free(error);
    return false;
}

/** Runs a node until the process ends. Returns only if the node cannot start. */
static int run_node(const struct settings *settings, const struct policy *policy,
                    const struct feature_set *features)
{
    struct loop *loop = loop_new();
    struct http_client *http_client = new_http_client(loop, settings);
    struct node *node = node_new(loop, http_client, settings, policy, features);
    if (!open_servers(loop, node, settings))
        return EXIT_FAILURE;
    LOG_INFO("start", "version=%s api=%s back=%s", LL_VERSION, settings->api_address,
             settings->rpc_address);
    node_start(node);
    loop_run(loop);
    return EXIT_SUCCESS;
}

/* ---- commands ---- */

static int check_policy(const char *path)
{
    GError *error = NULL;
    struct policy *policy = policy_load(path, &error);
    if (!policy)
        return report_config_error(error);
    policy_free(policy);
    printf("%s: valid\n", path);
    return 0;
}

static int check_features(const char *path)
{
    GError *error = NULL;
    struct feature_set features;
    if (!feature_set_load(path, &features, &error))
        return report_config_error(error);
    printf("%s: valid\n", path);
    return 0;
}

/**
 * Sets up logging at the level of the environment variable LOG_LEVEL, or at `info` if it is unset
 * or empty. Returns false if its value is not the name of a level.
 */
static bool set_up_log(const struct settings *settings)
{
    const char *level = g_getenv("LOG_LEVEL");
    return log_setup(level && *level ? level : "info", settings->label);
}

/** Loads all files of a node, and runs the node unless `--check-config` is given. */
static int load_and_run(const struct options *options)
{
    GError *error = NULL;
    struct settings *settings = settings_load(options->config, &error);
    struct policy *policy = NULL;
    struct feature_set features = feature_set_default();
    int exit_code;
    if (settings && (!options->features || feature_set_load(options->features, &features, &error)))
        policy = options->policy ? policy_load(options->policy, &error) : policy_default();
    if (!policy)
        exit_code = report_config_error(error);
    else if (!set_up_log(settings))
        exit_code =
            report_usage_error("environment variable LOG_LEVEL: must be error, info or debug");
    else if (options->check_config)
        exit_code = printf("%s: valid\n", options->config) < 0;
    else
        exit_code = run_node(settings, policy, &features);
    if (policy)
        policy_free(policy);
    if (settings)
        settings_free(settings);
    return exit_code;
}

static int run_command(const struct options *options)
{
    if (options->version) {
        puts("linenlandingd " LL_VERSION);
        return EXIT_SUCCESS;
    }
    if (options->check_policy)
        return check_policy(options->check_policy);
    if (options->check_features)
        return check_features(options->check_features);
    if (!options->config)
        return report_usage_error(
            "option --config FILE is required: it names the settings file of the node");
    return load_and_run(options);
}

int main(int argc, char **argv)
{
    struct options options = {0};
    GError *error = NULL;
    int exit_code = parse_options(argc, argv, &options, &error) ? run_command(&options)
                                                                : report_config_error(error);
    options_clear(&options);
    return exit_code;
}
