/**
 * Tests of requests to the state service that are repeated after a refusal or a reset: how often
 * they are sent, and what they leave of the rate limit to other requests.
 */
#include "kv_client.h"
#include "node_lease.h"
#include "retry_backoff.h"
#include "world.h"

/** Limits as in the deploy file. */
static const double STATE_RPS = 150, STATE_WRITE_RPS = 50;

enum {
    /** The most requests of a kind that a node may send per second while they are refused. */
    MAX_REPEATS_PER_S = 20,
    /** A restarted node must answer this soon after the end of an outage. */
    MAX_RECOVERY_MS = 3000,
};

/* ---- whole nodes ---- */

/** Requests that nodes have sent, by the part of the path that the test counts. */
static struct {
    const char *path;
    int sent;
    bool is_refused;
} counted;

static enum request_fault count_requests(struct world *world, int node,
                                         const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (strcmp(request->path, counted.path) != 0)
        return FAULT_NONE;
    counted.sent++;
    return counted.is_refused ? FAULT_UNAVAILABLE : FAULT_NONE;
}

static void start_counting(struct world *world, const char *path, bool is_refused)
{
    counted.path = path;
    counted.sent = 0;
    counted.is_refused = is_refused;
    world->inject_fault = count_requests;
}

static struct world *new_world_with_deployed_limits(void)
{
    struct world_config config = world_default_config();
    config.rps = STATE_RPS;
    config.write_rps = STATE_WRITE_RPS;
    struct world *world = world_new_with_config(&config);
    for (int i = 0; i < config.node_count; i++)
        world_start(world, i);
    world_run(world, 3000);
    return world;
}

static void restart_all_nodes(struct world *world, int64_t down_ms)
{
    for (int i = 0; i < world->config.node_count; i++)
        world_kill(world, i);
    world_run(world, down_ms);
    for (int i = 0; i < world->config.node_count; i++)
        world_start(world, i);
}

/** Fails unless each node answers a question about the job soon. */
static void assert_all_nodes_answer_soon(struct world *world, const char *path)
{
    world_run(world, MAX_RECOVERY_MS);
    for (int i = 0; i < world->config.node_count; i++)
        assert_int_equal(world_send_user_request(world, i, "GET", path, NULL).status, 200);
}

/* Guards against nodes that use up their rate limit with lease requests while the state service
 * refuses them, and that answer nobody for minutes after the outage. */
static void restarted_nodes_answer_soon_after_an_outage(void **state)
{
    (void)state;
    struct world *world = new_world_with_deployed_limits();
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 1).status, 201);
    world->state_down = true;
    world_run(world, 1000);
    restart_all_nodes(world, 4000);
    start_counting(world, "/grants", false);
    const int outage_s = 15;
    world_run(world, (int64_t)outage_s * 1000);
    assert_in_range(counted.sent, 1, world->config.node_count * outage_s * MAX_REPEATS_PER_S);
    world->state_down = false;
    assert_all_nodes_answer_soon(world, "/work/wk-1");
    world_end(world);
}

/* Guards against the same of one node that starts while only it is refused. */
static void a_restarted_node_that_was_refused_alone_answers_soon(void **state)
{
    (void)state;
    struct world *world = new_world_with_deployed_limits();
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 1).status, 201);
    world->state_unavailable_to[1] = true;
    world_kill(world, 1);
    world_run(world, 500);
    world_start(world, 1);
    start_counting(world, "/grants", false);
    const int outage_s = 30;
    world_run(world, (int64_t)outage_s * 1000);
    assert_in_range(counted.sent, 1, outage_s * MAX_REPEATS_PER_S);
    world->state_unavailable_to[1] = false;
    assert_all_nodes_answer_soon(world, "/work/wk-1");
    world_end(world);
}

/* Guards against nodes that repeat the transactions of joining and of the election without a delay
 * while they are refused, and have no writes left afterwards. */
static void refused_joins_are_repeated_with_a_delay(void **state)
{
    (void)state;
    struct world *world = new_world_with_deployed_limits();
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 1).status, 201);
    restart_all_nodes(world, 6000);
    start_counting(world, "/txn", true);
    const int refusal_s = 10;
    world_run(world, (int64_t)refusal_s * 1000);
    assert_in_range(counted.sent, 1, world->config.node_count * refusal_s * MAX_REPEATS_PER_S);
    counted.is_refused = false;
    assert_all_nodes_answer_soon(world, "/work/wk-1");
    world_end(world);
}

/* ---- the lease and the client alone ---- */

enum {
    /** More requests than this in one test are taken for an endless loop. */
    MAX_SCRIPTED_REQUESTS = 20000
};

/** An HTTP client that completes each request at once with the same status. */
struct scripted_client {
    struct http_client base;
    int status;
    int sent;
    /** How many requests were sent with the path of a read. */
    int reads_sent;
};

static void respond_at_once(struct http_client *http_client,
                            const struct http_client_request *request,
                            http_response_callback callback, void *callback_arg)
{
    struct scripted_client *client = (struct scripted_client *)http_client;
    if (++client->sent > MAX_SCRIPTED_REQUESTS)
        fail_msg("requests are repeated without end");
    client->reads_sent += g_str_has_prefix(request->path, "/keys");
    callback(callback_arg, &(struct http_response){client->status, "{}", 2, 0});
}

/** A lease whose owner requests it again after each change, as membership.c does. */
struct lease_test {
    struct loop *loop;
    struct scripted_client client;
    struct kv_client *kv;
    struct node_lease *lease;
};

static void on_lease_lost(void *ctx)
{
    (void)ctx;
}

static void on_lease_change(void *ctx)
{
    struct lease_test *test = ctx;
    node_lease_request(test->lease);
}

static struct lease_test *lease_test_new(int status)
{
    struct lease_test *test = g_new0(struct lease_test, 1);
    test->loop = loop_new_fake();
    test->client.base.request = respond_at_once;
    test->client.status = status;
    const struct kv_limits limits = {.rate_limit_rps = STATE_RPS,
                                     .rate_limit_write_rps = STATE_WRITE_RPS,
                                     .rate_limit_next_write_rps = STATE_WRITE_RPS,
                                     .node_count = 3};
    test->kv = kv_client_new(test->loop, &test->client.base, "10.2.0.1:2379", limits);
    test->lease = node_lease_new(&(struct node_lease_setup){.loop = test->loop,
                                                            .kv = test->kv,
                                                            .ctx = test,
                                                            .on_lost = on_lease_lost,
                                                            .on_change = on_lease_change});
    return test;
}

static void lease_test_free(struct lease_test *test)
{
    node_lease_free(test->lease);
    kv_client_free(test->kv);
    loop_free(test->loop);
    g_free(test);
}

/* Guards against an endless loop when connections to the state service are refused or reset at
 * once: each failure used to send the next request before it returned. */
static void lease_requests_whose_connection_fails_are_repeated_with_a_delay(void **state)
{
    (void)state;
    static const int statuses[] = {HTTP_NOT_SENT, HTTP_NO_RESPONSE, HTTP_STATUS_UNAVAILABLE};
    for (guint i = 0; i < G_N_ELEMENTS(statuses); i++) {
        struct lease_test *test = lease_test_new(statuses[i]);
        node_lease_request(test->lease);
        const int duration_s = 10;
        loop_advance(test->loop, (int64_t)duration_s * 1000);
        assert_in_range(test->client.sent, duration_s, duration_s * MAX_REPEATS_PER_S);
        lease_test_free(test);
    }
}

static void ignore_response(void *arg, const struct http_response *response)
{
    (void)arg;
    (void)response;
}

/* Guards against a debt of lease requests that keeps all other requests from being sent: however
 * many there were, another request waits for two seconds at most. */
static void lease_requests_do_not_exhaust_the_rate_limit(void **state)
{
    (void)state;
    struct lease_test *test = lease_test_new(HTTP_STATUS_UNAVAILABLE);
    for (int i = 0; i < MAX_SCRIPTED_REQUESTS / 2; i++)
        kv_client_grant_lease(test->kv, 4000, 1000, ignore_response, NULL);
    kv_client_get(test->kv, KV_PRIORITY_NORMAL, "ll/map", 1000, 5000, ignore_response, NULL);
    loop_advance(test->loop, 2000);
    assert_int_equal(test->client.reads_sent, 1);
    lease_test_free(test);
}

/* ---- the backoff alone ---- */

static void backoff_doubles_up_to_its_maximum_with_jitter(void **state)
{
    (void)state;
    struct loop *loop = loop_new_fake();
    struct retry_backoff backoff = retry_backoff_make(20, 200);
    static const int longest_ms[] = {20, 40, 80, 160, 200, 200};
    bool any_shortened = false;
    for (int round = 0; round < 10; round++) {
        for (guint i = 0; i < G_N_ELEMENTS(longest_ms); i++) {
            int64_t delay_ms = retry_backoff_next_ms(&backoff, loop);
            assert_in_range(delay_ms, longest_ms[i] / 2, longest_ms[i]);
            any_shortened = any_shortened || delay_ms < longest_ms[i];
        }
        retry_backoff_reset(&backoff);
    }
    assert_true(any_shortened);
    loop_free(loop);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(restarted_nodes_answer_soon_after_an_outage),
        cmocka_unit_test(a_restarted_node_that_was_refused_alone_answers_soon),
        cmocka_unit_test(refused_joins_are_repeated_with_a_delay),
        cmocka_unit_test(lease_requests_whose_connection_fails_are_repeated_with_a_delay),
        cmocka_unit_test(lease_requests_do_not_exhaust_the_rate_limit),
        cmocka_unit_test(backoff_doubles_up_to_its_maximum_with_jitter),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
