/**
 * @file
 * Runs three real node processes on loopback and pauses them with SIGSTOP and SIGCONT while they
 * rent and return machines of a simulated cloud. A process that is paused for longer than its lease
 * may go on to act on a role that it has lost. The requests that the simulated services carried out
 * are checked against the history of role holders, so the verdict does not depend on timing.
 */
#include "duty_history.h"
#include "test_ports.h"
#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    NODE_COUNT = 3,
    /* The test ends once it has seen this many pauses and rented or returned machines. */
    MIN_PAUSES = 60,
    MIN_CLOUD_EFFECTS = 12,
    TIMEOUT_S = 180, /* the test fails when it takes longer */
    STEP_MS = 2,     /* interval at which the simulated world catches up with real time */
    JOB_COUNT = 4,
    /* The part of a node's log that is printed if the node has ended by itself. */
    MAX_PRINTED_LOG_BYTES = 20000,
};

static const char machine_types_json[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
    "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":0.1,\"Yards\":[\"a\",\"b\"]}]"
    "}";

/** A server on loopback that forwards requests to the simulated world. */
struct fake_service {
    struct loopback_test *test;
    const char *address; /* of the service in the simulated world */
};

/** The processes, the simulated services and the history of one run. */
struct loopback_test {
    struct loop *loop; /* runs in real time */
    struct world *world;
    struct duty_history *history;
    struct world_observer observer;
    GRand *random;
    char *directory;
    int api_ports[NODE_COUNT], rpc_ports[NODE_COUNT], service_ports[2]; /* state service, cloud */
    struct fake_service services[2];
    GPid processes[NODE_COUNT];
    bool paused[NODE_COUNT];
    mono_time resume_at[NODE_COUNT], next_pause_at, started_at, last_step_at;
    unsigned pause_count;
    struct timer step_timer;
};

/* ---- simulated services ---- */

/** A request of a node process that the world has not answered yet. */
struct pending_forward {
    struct http_responder *responder;
    connection_ref connection;
};

static void forward_response(void *arg, const struct http_response *response)
{
    struct pending_forward *forwarded = arg;
    int status = response->status > 0 ? response->status : 503;
    forwarded->responder->respond(forwarded->responder, forwarded->connection, status, NULL,
                                  response->body, response->body_bytes);
    g_free(forwarded);
}

static void forward_request(void *ctx, struct http_responder *responder, connection_ref connection,
                            const struct http_request *request)
{
    struct fake_service *service = ctx;
    struct pending_forward *forwarded = g_new(struct pending_forward, 1);
    *forwarded = (struct pending_forward){responder, connection};
    char *path = *request->query ? g_strconcat(request->path, "?", request->query, NULL)
                                 : g_strdup(request->path);
    struct http_client_request request_to_world = {service->address, request->method,     path,
                                                   request->body,    request->body_bytes, 4000};
    world_serve_external_request(service->test->world, &request_to_world, forward_response,
                                 forwarded);
    g_free(path);
}

/* ---- processes ---- */

/** Writes the settings file of a node. Returns its path. */
static char *write_settings(struct loopback_test *test, int node)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "label = \"mast-%d\"\ndomain = \"a\"\napi_addr = \"127.0.0.1:%d\"\n"
                           "back = \"127.0.0.1:%d\"\n",
                           node, test->api_ports[node], test->rpc_ports[node]);
    for (int i = 0; i < NODE_COUNT; i++)
        if (i != node)
            g_string_append_printf(text,
                                   "[[siblings]]\nlabel = \"mast-%d\"\ndomain = \"a\"\n"
                                   "endpoint = \"127.0.0.1:%d\"\n",
                                   i, test->rpc_ports[i]);
    g_string_append_printf(
        text,
        "[outside]\nstate = \"127.0.0.1:%d\"\ncloud = \"127.0.0.1:%d\"\n[deployment]\nsize = %d\n"
        "zones = [\"a\", \"b\"]\nclock_error_ms = 25.0\n[[deployment.teams]]\nname = \"blue\"\n"
        "cpus = 16.0\ncpus_max = 64.0\ngpus = 0.0\ngpus_max = 0.0\n[deployment.workers]\n"
        "report_s = 1.0\nlease_s = 10.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = 30.0\n"
        "[deployment.state]\nrps = 400.0\nwrite_rps = 200.0\nvalue_kb = 8.0\ntxn_ops = 6\n"
        "[deployment.cloud]\nrps = 10.0\nlist_lag_s = 2.0\n[deployment.machine_limits]\n"
        "core_share = 0.1\nram_mb = 64.0\nfd_limit = 800\n",
        test->service_ports[0], test->service_ports[1], NODE_COUNT);
    char *path = g_strdup_printf("%s/mast-%d.toml", test->directory, node);
    assert_true(g_file_set_contents(path, text->str, -1, NULL));
    g_string_free(text, TRUE);
    return path;
}

/** Returns the path of the log of a node. The caller frees it. */
static char *log_path(const struct loopback_test *test, int node)
{
    return g_strdup_printf("%s/mast-%d.log", test->directory, node);
}

/**
 * Runs in a new process before it becomes a node. The kernel sends SIGHUP to the members of a
 * process group that is orphaned while one of them is stopped, as paused nodes are. A group for
 * each node is orphaned only when the test ends, and a node does not outlive the test.
 */
static void isolate_process(gpointer arg)
{
    (void)arg;
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_process(struct loopback_test *test, int node)
{
    char *log = log_path(test, node);
    int log_fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    assert_true(log_fd >= 0);
    char *features = g_strdup_printf("%s/features.toml", test->directory);
    char *settings = write_settings(test, node);
    char *args[] = {LL_DAEMON, "--features", features, "--config", settings, NULL};
    assert_true(g_file_set_contents(features, "[duties]\nenabled = true\n", -1, NULL));
    assert_true(g_spawn_async_with_fds(NULL, args, NULL, G_SPAWN_DO_NOT_REAP_CHILD, isolate_process,
                                       NULL, &test->processes[node], -1, -1, log_fd, NULL));
    assert_int_equal(getpgid(test->processes[node]), test->processes[node]);
    close(log_fd);
    g_free(log);
    g_free(settings);
    g_free(features);
}

/** Prints how the process of a node has ended, and the end of its log. */
static void print_process_end(const struct loopback_test *test, int node, int status)
{
    char *path = log_path(test, node), *log = NULL;
    gsize bytes = 0;
    print_error("mast-%d has ended: %s %d, its ports are %d and %d\n", node,
                WIFSIGNALED(status) ? "signal" : "exit code",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status), test->api_ports[node],
                test->rpc_ports[node]);
    if (g_file_get_contents(path, &log, &bytes, NULL))
        print_error("%s\n", log + MAX(bytes, MAX_PRINTED_LOG_BYTES) - MAX_PRINTED_LOG_BYTES);
    g_free(log);
    g_free(path);
}

/** Kills the processes of all nodes, then checks that each was still running before. */
static void kill_processes(struct loopback_test *test)
{
    int ended_count = 0;
    for (int node = 0; node < NODE_COUNT; node++) {
        int status = 0;
        if (waitpid(test->processes[node], &status, WNOHANG) != 0) {
            print_process_end(test, node, status);
            ended_count++;
            continue;
        }
        kill(test->processes[node], SIGKILL);
        waitpid(test->processes[node], &status, 0);
    }
    assert_int_equal(ended_count, 0); /* none has exited */
}

/* ---- the driver ---- */

/** Pauses a random node when the next pause is due: 30 % of the pauses may exceed the lease. */
static void pause_random_node(struct loopback_test *test)
{
    mono_time now = loop_now(test->loop);
    int node = g_rand_int_range(test->random, 0, NODE_COUNT);
    if (time_before(now, test->next_pause_at) || test->paused[node])
        return;
    bool exceeds_lease = g_rand_double(test->random) < 0.3; /* 4 s */
    int64_t duration_ms = exceeds_lease ? g_rand_int_range(test->random, 3500, 6000)
                                        : g_rand_int_range(test->random, 20, 400);
    test->paused[node] = true;
    test->pause_count++;
    test->resume_at[node] = time_add_ms(now, duration_ms);
    test->next_pause_at = time_add_ms(now, g_rand_int_range(test->random, 50, 700));
    kill(test->processes[node], SIGSTOP);
}

static void resume_due_nodes(struct loopback_test *test)
{
    for (int i = 0; i < NODE_COUNT; i++)
        if (test->paused[i] && !time_before(loop_now(test->loop), test->resume_at[i])) {
            test->paused[i] = false;
            kill(test->processes[i], SIGCONT);
        }
}

/** Advances the simulated world by the real time elapsed, and pauses and resumes nodes. */
static void run_step(void *arg)
{
    struct loopback_test *test = arg;
    mono_time now = loop_now(test->loop);
    int64_t elapsed_ms = time_ms_since(now, test->last_step_at);
    test->last_step_at = time_add_ms(test->last_step_at, elapsed_ms);
    world_run(test->world, elapsed_ms);
    test->world->cloud_capacity = test->world->config.worker_count;
    pause_random_node(test);
    resume_due_nodes(test);
    bool is_complete = test->pause_count >= MIN_PAUSES &&
                       duty_history_count_cloud_effects(test->history) >= MIN_CLOUD_EFFECTS;
    if (is_complete || duty_history_get_violation(test->history) ||
        time_ms_since(now, test->started_at) > TIMEOUT_S * 1000LL)
        loop_stop(test->loop);
    else
        timer_start(test->loop, &test->step_timer, STEP_MS);
}

static void start_services(struct loopback_test *test)
{
    const struct http_server_limits limits = {200, 1 << 20, 90000, 10000};
    static const char *const world_addresses[] = {"10.2.0.1:2379", "10.2.0.2:8443"};
    for (int i = 0; i < 2; i++) {
        char *error = NULL;
        char *address = g_strdup_printf("127.0.0.1:%d", test->service_ports[i]);
        test->services[i] = (struct fake_service){test, world_addresses[i]};
        assert_non_null(http_server_new(test->loop, address, limits, forward_request,
                                        &test->services[i], &error));
        g_free(address);
    }
}

static void add_jobs(struct world *world)
{
    for (int i = 0; i < JOB_COUNT; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", i);
        world_put_accepted_job(world, id, 20, (wall_time){g_get_real_time() / 1000});
    }
}

/* Rented machines never start in this test: they are returned after a while and others are rented
 * in their place, so rentals and returns continue throughout. */
static void role_holders_paused_by_signals_never_act_on_a_lost_role(void **state)
{
    (void)state;
    struct loopback_test test = {.loop = loop_new(), .history = duty_history_new()};
    struct world_config config = world_default_config();
    config.worker_count = 400; /* machines available in the cloud */
    test.world = world_new_with_config(&config);
    test.world->machine_types = machine_types_json;
    test.world->cloud_capacity = config.worker_count;
    test.random = g_rand_new_with_seed(1);
    test.directory = g_dir_make_tmp("linenlanding-XXXXXX", NULL);
    test.observer = (struct world_observer){test.history, duty_history_key_changed,
                                            duty_history_rented, duty_history_returned};
    test.world->observer = &test.observer;
    for (int i = 0; i < NODE_COUNT; i++) {
        test.api_ports[i] = test_ports_take();
        test.rpc_ports[i] = test_ports_take();
    }
    for (int i = 0; i < 2; i++)
        test.service_ports[i] = test_ports_take();
    start_services(&test);
    world_put_key(test.world, "ll/types", machine_types_json);
    add_jobs(test.world);
    for (int i = 0; i < NODE_COUNT; i++)
        start_process(&test, i);
    test.started_at = test.last_step_at = loop_now(test.loop);
    test.next_pause_at = time_add_ms(test.started_at, 1000);
    timer_init(&test.step_timer, run_step, &test);
    timer_start(test.loop, &test.step_timer, STEP_MS);
    loop_run(test.loop);
    kill_processes(&test);
    print_message("%u pauses, %u holders, %u effects\n", test.pause_count,
                  duty_history_count_holders(test.history),
                  duty_history_count_cloud_effects(test.history));
    if (duty_history_get_violation(test.history))
        fail_msg("%s", duty_history_get_violation(test.history));
    assert_true(test.pause_count >= MIN_PAUSES &&
                duty_history_count_cloud_effects(test.history) >= MIN_CLOUD_EFFECTS);
    char *remove[] = {"rm", "-r", test.directory, NULL};
    assert_true(
        g_spawn_sync(NULL, remove, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL));
    g_free(test.directory);
    g_rand_free(test.random);
    duty_history_free(test.history);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(role_holders_paused_by_signals_never_act_on_a_lost_role),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
