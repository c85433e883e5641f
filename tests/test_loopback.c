/* Three real processes on loopback, which are stopped and continued (SIGSTOP, SIGCONT) while they
 * rent and return machines of a stand-in cloud. What the stand-ins carried out is judged; the
 * verdict depends on no timing, only on the history. */
#include "duty_history.h"
#include "world.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    NODES = 3,
    PAUSES = 60,
    EFFECTS = 12,
    MOST_S = 180, /* then it has failed */
    STEP_MS = 2,
    JOBS = 4,
};

static const char types_text[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
    "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":0.1,\"Yards\":[\"a\",\"b\"]}]"
    "}";

/* A server on loopback that passes requests on to the world. */
struct stand_in {
    struct play *play;
    const char *addr; /* as the world knows it */
};

struct play {
    struct loop *loop; /* real */
    struct world *world;
    struct duty_history *history;
    struct world_observer observer;
    GRand *random;
    char *folder;
    int api_ports[NODES], back_ports[NODES], stand_in_ports[2]; /* state service, cloud */
    struct stand_in stand_ins[2];
    GPid processes[NODES];
    bool stopped[NODES];
    mono_time continue_at[NODES], next_stop, began, stepped;
    unsigned pauses;
    struct timer step;
};

/* ---- the stand-ins ---- */

/* A request of a process, until it is answered. */
struct waiting {
    struct http_responder *replier;
    connection_ref from;
};

static void answered(void *arg, const struct http_response *response)
{
    struct waiting *waiting = arg;
    int status = response->status > 0 ? response->status : 503;
    waiting->replier->respond(waiting->replier, waiting->from, status, NULL, response->body,
                              response->body_bytes);
    g_free(waiting);
}

static void serve(void *ctx, struct http_responder *responder, connection_ref from,
                  const struct http_request *request)
{
    struct stand_in *stand_in = ctx;
    struct waiting *waiting = g_new(struct waiting, 1);
    *waiting = (struct waiting){responder, from};
    char *path = *request->query ? g_strconcat(request->path, "?", request->query, NULL)
                                 : g_strdup(request->path);
    struct http_client_request passed = {stand_in->addr, request->method,     path,
                                         request->body,  request->body_bytes, 4000};
    world_serve_external_request(stand_in->play->world, &passed, answered, waiting);
    g_free(path);
}

/* ---- processes ---- */

static int free_port(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof addr;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof addr), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
    close(fd);
    return ntohs(addr.sin_port);
}

static char *write_settings(struct play *play, int node)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "label = \"mast-%d\"\ndomain = \"a\"\napi_addr = \"127.0.0.1:%d\"\n"
                           "back = \"127.0.0.1:%d\"\n",
                           node, play->api_ports[node], play->back_ports[node]);
    for (int i = 0; i < NODES; i++)
        if (i != node)
            g_string_append_printf(text,
                                   "[[siblings]]\nlabel = \"mast-%d\"\ndomain = \"a\"\n"
                                   "endpoint = \"127.0.0.1:%d\"\n",
                                   i, play->back_ports[i]);
    g_string_append_printf(
        text,
        "[outside]\nstate = \"127.0.0.1:%d\"\ncloud = \"127.0.0.1:%d\"\n[deployment]\nsize = %d\n"
        "zones = [\"a\", \"b\"]\nclock_error_ms = 25.0\n[[deployment.teams]]\nname = \"blue\"\n"
        "cpus = 16.0\ncpus_max = 64.0\ngpus = 0.0\ngpus_max = 0.0\n[deployment.workers]\n"
        "report_s = 1.0\nlease_s = 10.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = 30.0\n"
        "[deployment.state]\nrps = 400.0\nwrite_rps = 200.0\nvalue_kb = 8.0\ntxn_ops = 6\n"
        "[deployment.cloud]\nrps = 10.0\nlist_lag_s = 2.0\n[deployment.machine_limits]\n"
        "core_share = 0.1\nram_mb = 64.0\nfd_limit = 800\n",
        play->stand_in_ports[0], play->stand_in_ports[1], NODES);
    char *path = g_strdup_printf("%s/mast-%d.toml", play->folder, node);
    assert_true(g_file_set_contents(path, text->str, -1, NULL));
    g_string_free(text, TRUE);
    return path;
}

static void start_process(struct play *play, int node)
{
    char *features = g_strdup_printf("%s/features.toml", play->folder);
    char *settings = write_settings(play, node);
    char *args[] = {LL_DAEMON, "--features", features, "--config", settings, NULL};
    assert_true(g_file_set_contents(features, "[duties]\nenabled = true\n", -1, NULL));
    assert_true(g_spawn_async(NULL, args, NULL,
                              G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL,
                              &play->processes[node], NULL));
    g_free(settings);
    g_free(features);
}

static void end_process(struct play *play, int node)
{
    int status = 0;
    assert_int_equal(waitpid(play->processes[node], &status, WNOHANG), 0); /* it ran until now */
    kill(play->processes[node], SIGKILL);
    waitpid(play->processes[node], &status, 0);
}

/* ---- the driver ---- */

static void stop_one(struct play *play)
{
    mono_time now = loop_now(play->loop);
    int node = g_rand_int_range(play->random, 0, NODES);
    if (time_before(now, play->next_stop) || play->stopped[node])
        return;
    bool past_lease = g_rand_double(play->random) < 0.3; /* of 4 s */
    int64_t ms = past_lease ? g_rand_int_range(play->random, 3500, 6000)
                            : g_rand_int_range(play->random, 20, 400);
    play->stopped[node] = true;
    play->pauses++;
    play->continue_at[node] = time_add_ms(now, ms);
    play->next_stop = time_add_ms(now, g_rand_int_range(play->random, 50, 700));
    kill(play->processes[node], SIGSTOP);
}

static void continue_all_due(struct play *play)
{
    for (int i = 0; i < NODES; i++)
        if (play->stopped[i] && !time_before(loop_now(play->loop), play->continue_at[i])) {
            play->stopped[i] = false;
            kill(play->processes[i], SIGCONT);
        }
}

/* The world's clock follows the real one. */
static void step(void *arg)
{
    struct play *play = arg;
    mono_time now = loop_now(play->loop);
    int64_t passed = time_ms_since(now, play->stepped);
    play->stepped = time_add_ms(play->stepped, passed);
    world_run(play->world, passed);
    play->world->cloud_capacity = play->world->config.worker_count;
    stop_one(play);
    continue_all_due(play);
    bool enough =
        play->pauses >= PAUSES && duty_history_count_cloud_effects(play->history) >= EFFECTS;
    if (enough || duty_history_get_violation(play->history) ||
        time_ms_since(now, play->began) > MOST_S * 1000LL)
        loop_stop(play->loop);
    else
        timer_start(play->loop, &play->step, STEP_MS);
}

static void start_stand_ins(struct play *play)
{
    const struct http_server_limits limits = {200, 1 << 20, 90000, 10000};
    static const char *const addrs[] = {"10.2.0.1:2379", "10.2.0.2:8443"};
    for (int i = 0; i < 2; i++) {
        char *error = NULL;
        char *addr = g_strdup_printf("127.0.0.1:%d", play->stand_in_ports[i]);
        play->stand_ins[i] = (struct stand_in){play, addrs[i]};
        assert_non_null(
            http_server_new(play->loop, addr, limits, serve, &play->stand_ins[i], &error));
        g_free(addr);
    }
}

static void add_jobs(struct world *world)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", i);
        world_put_accepted_job(world, id, 20, (wall_time){g_get_real_time() / 1000});
    }
}

/* Machines that are rented never come up here: they are returned after a while, and others are
 * rented in their place. */
static void real_holders_are_stopped_and_continued(void **state)
{
    (void)state;
    struct play play = {.loop = loop_new(), .history = duty_history_new()};
    struct world_config plan = world_default_config();
    plan.worker_count = 400; /* the cloud's machines */
    play.world = world_new_with_config(&plan);
    play.world->machine_types = types_text;
    play.world->cloud_capacity = plan.worker_count;
    play.random = g_rand_new_with_seed(1);
    play.folder = g_dir_make_tmp("linenlanding-XXXXXX", NULL);
    play.observer = (struct world_observer){play.history, duty_history_key_changed,
                                            duty_history_rented, duty_history_returned};
    play.world->observer = &play.observer;
    for (int i = 0; i < NODES; i++) {
        play.api_ports[i] = free_port();
        play.back_ports[i] = free_port();
    }
    for (int i = 0; i < 2; i++)
        play.stand_in_ports[i] = free_port();
    start_stand_ins(&play);
    world_put_key(play.world, "ll/types", types_text);
    add_jobs(play.world);
    for (int i = 0; i < NODES; i++)
        start_process(&play, i);
    play.began = play.stepped = loop_now(play.loop);
    play.next_stop = time_add_ms(play.began, 1000);
    timer_init(&play.step, step, &play);
    timer_start(play.loop, &play.step, STEP_MS);
    loop_run(play.loop);
    for (int i = 0; i < NODES; i++)
        end_process(&play, i);
    print_message("%u pauses, %u holders, %u effects\n", play.pauses,
                  duty_history_count_holders(play.history),
                  duty_history_count_cloud_effects(play.history));
    if (duty_history_get_violation(play.history))
        fail_msg("%s", duty_history_get_violation(play.history));
    assert_true(play.pauses >= PAUSES && duty_history_count_cloud_effects(play.history) >= EFFECTS);
    char *remove[] = {"rm", "-r", play.folder, NULL};
    assert_true(
        g_spawn_sync(NULL, remove, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL));
    g_free(play.folder);
    g_rand_free(play.random);
    duty_history_free(play.history);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(real_holders_are_stopped_and_continued),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
