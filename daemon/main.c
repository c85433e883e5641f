/* linenlandingd: a thin program around the library. */
#include "log.h"
#include "node.h"

#include <locale.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    EXIT_USAGE = 2,
    KEPT_FDS = 24, /* files that are no connections */
    PER_ADDRESS = 8,
};

struct options {
    char *config, *policy, *check_policy;
    gboolean version, check;
};

static int usage_error(const char *message)
{
    fprintf(stderr, "linenlandingd: %s\n", message);
    return EXIT_USAGE;
}

static bool parse(int argc, char **argv, struct options *o, GError **error)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &o->config, "Settings of this node (TOML)",
         "FILE"},
        {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &o->policy, "Operators' own settings", "FILE"},
        {"check-policy", 0, 0, G_OPTION_ARG_FILENAME, &o->check_policy,
         "Check operators' own settings and exit", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &o->check, "Check the settings and exit", NULL},
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

static int run(const struct settings *s, const struct policy *policy)
{
    struct loop *loop = loop_new();
    /* Workers and users come in, and any worker may have to be reached: all of them, when this is
     * the last node. Beyond the limits the connection that idles longest makes room. */
    int fds = s->fd_limit - KEPT_FDS;
    int kept = PER_ADDRESS * (s->size + 1); /* to nodes, state service and cloud */
    struct http_client_limits client = {.connections = MAX(fds * 3 / 8 - kept, 8),
                                        .per_address = PER_ADDRESS,
                                        .queue = MAX(fds, 2000),
                                        .answer_size = settings_answer_bytes(s),
                                        .connect_ms = 1500,
                                        .idle_ms = 20000};
    struct net *net = http_client_new(loop, client);
    http_client_keep(net, s->state_addr);
    http_client_keep(net, s->cloud_addr);
    for (guint i = 0; i < s->siblings->len; i++)
        http_client_keep(net, g_array_index(s->siblings, struct sibling, i).endpoint);
    struct node *node = node_new(loop, net, s, policy);
    struct http_limits api = {fds * 9 / 16, 64 << 10, 90000, 10000};
    struct http_limits back = {MAX(fds / 16, 4 * s->size), settings_answer_bytes(s), 90000, 10000};
    char *error = NULL;
    if (!http_server_new(loop, s->api_addr, api, frontend_serve, node->frontend, &error) ||
        !http_server_new(loop, s->back_addr, back, bus_serve, node->bus, &error)) {
        LOG_ERROR("listen", "%s", error);
        return 1;
    }
    LOG_INFO("start", "version=%s api=%s back=%s", LL_VERSION, s->api_addr, s->back_addr);
    node_start(node);
    loop_run(loop);
    return 0;
}

static int check_policy(const char *path)
{
    char *error = NULL;
    struct policy *p = policy_load(path, &error);
    if (!p) {
        int rc = usage_error(error);
        g_free(error);
        return rc;
    }
    policy_free(p);
    printf("%s: fine\n", path);
    return 0;
}

/* Reads all that a node needs, and runs it unless it was only to be checked. */
static int start(const struct options *o)
{
    char *error = NULL;
    struct settings *s = settings_load(o->config, &error);
    struct policy *p = NULL;
    int rc = EXIT_USAGE;
    if (s)
        p = o->policy ? policy_load(o->policy, &error) : policy_default();
    const char *level = g_getenv("LOG_LEVEL");
    if (!p)
        rc = usage_error(error);
    else if (!log_setup(level && *level ? level : "info", s->label))
        rc = usage_error("LOG_LEVEL: must be error, info or debug");
    else if (o->check)
        rc = printf("%s: fine\n", o->config) < 0;
    else
        rc = run(s, p);
    g_free(error);
    if (p)
        policy_free(p);
    if (s)
        settings_free(s);
    return rc;
}

int main(int argc, char **argv)
{
    struct options o = {0};
    GError *problem = NULL;
    int rc = 0;
    if (!parse(argc, argv, &o, &problem)) {
        rc = usage_error(problem->message);
        g_error_free(problem);
    } else if (o.version) {
        puts("linenlandingd " LL_VERSION);
    } else if (o.check_policy) {
        rc = check_policy(o.check_policy);
    } else if (!o.config) {
        rc = usage_error("--config FILE is missing");
    } else {
        rc = start(&o);
    }
    g_free(o.config);
    g_free(o.policy);
    g_free(o.check_policy);
    return rc;
}
