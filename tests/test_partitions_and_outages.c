/**
 * Tests of zones that are partitioned together with a node, and of outages of the state service.
 */
#include "trouble_fixtures.h"

#include <string.h>

/* Runs the world while zone b and one node are partitioned from all else. The node renews the
 * leases of the machines in that zone, whoever owns them, and no other node may take their tasks
 * for ended meanwhile. */
static void run_with_partitioned_zone(struct world *world, int64_t ms)
{
    world->inject_fault = world_isolate_node;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].reachable_node =
            strcmp(world->workers[i].zone, "b") == 0 ? world->isolated_node : -1;
    /* machines in zone a cannot reach the partitioned node */
    for (int t = 0; t < ms / 100; t++) {
        for (int i = 0; i < WORLD_WORKERS; i++)
            if (world->workers[i].up && world->workers[i].reachable_node < 0 &&
                world->workers[i].node == world->isolated_node)
                world->workers[i].node = (world->isolated_node + 1) % 3;
        world_run(world, 100);
    }
}

/* Ends the partition. */
static void heal_partition(struct world *world)
{
    world->inject_fault = NULL;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].reachable_node = -1;
}

/* Starts a service of eight replicas on eight different on-demand machines. */
static void start_service_spread_over_machines(struct world *world, const char *id)
{
    char *body = world_format_job(id, "daemon", 8, "blue", 2.0, ""),
         *apart = world_replace_string(body, "\"Apart\":false", "\"Apart\":true"),
         *on_demand = world_replace_string(apart, "\"Loaners\":true", "\"Loaners\":false");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", on_demand).status, 201);
    g_free(body);
    g_free(apart);
    g_free(on_demand);
    world_run(world, 12000);
    assert_int_equal(world_count_active_tasks(world, id), 8);
}

/* Returns a node that does not own all machines in zone b. */
static int find_non_owner_of_zone_b(struct world *world)
{
    for (int i = 0; i < WORLD_WORKERS; i++) {
        struct worker *worker = &world->workers[i];
        if (worker->up && strcmp(worker->zone, "b") == 0 && worker->tasks->len)
            return (shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0' + 1) % 3;
    }
    fail();
    return -1;
}

/* Partitions zone b together with a node that does not own its machines, for longer than a lease,
 * and checks that the eight tasks of wk-1 keep running and none is restarted. */
static void expect_tasks_survive_partition(struct world *world, int64_t partition_ms)
{
    world->isolated_node = find_non_owner_of_zone_b(world);
    int starts = world_count_task_starts(world);
    run_with_partitioned_zone(world, partition_ms); /* lease: 10 s; renewed for less than 20 s */
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    heal_partition(world);
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    assert_int_equal(world_count_task_starts(world), starts);
}

/* A zone is partitioned for longer than a lease together with a node that does not own its
 * machines. The node must keep their leases, so that no task is restarted. */
static void a_briefly_partitioned_zone_keeps_its_tasks(void **state)
{
    struct world *world = *state;
    start_service_spread_over_machines(world, "wk-1");
    expect_tasks_survive_partition(world, 22000);
    world_expect_stage(world, 0, "wk-1", "running");
}

/* A zone stays partitioned. The leases must end all the same, in time for cancelled tasks, and
 * the other tasks may start elsewhere only then (the world fails any test in which a task runs
 * twice). */
static void tasks_of_a_long_partitioned_zone_restart_elsewhere(void **state)
{
    struct world *world = *state;
    start_service_spread_over_machines(world, "wk-1");
    start_service_spread_over_machines(world, "wk-2");
    world->isolated_node = find_non_owner_of_zone_b(world);
    int other = (world->isolated_node + 1) % 3;
    world->cloud_capacity = 4;
    run_with_partitioned_zone(world, 1000);
    assert_int_equal(world_send_user_request(world, other, "POST", "/work/wk-2/abort", NULL).status,
                     200);
    run_with_partitioned_zone(world, 30000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
    run_with_partitioned_zone(world, 30000);
    heal_partition(world);
    world_run(world, 20000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
}

/* Runs a short job in zone b, so that tasks are started and cleared on a machine there. */
static void run_short_job_in_zone_b(struct world *world, const char *id)
{
    char *body = world_format_job(id, "sweep", 4, "blue", 2.0, ",\"Yard\":\"b\""),
         *on_demand = world_replace_string(body, "\"Loaners\":true", "\"Loaners\":false");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", on_demand).status, 201);
    g_free(body);
    g_free(on_demand);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, id), 4);
    world_exit_tasks_of_job(world, id, "done");
    world_run(world, 4000);
}

/* Returns whether an agent with tasks in zone b has seen a raised token of this epoch. */
static bool zone_b_has_raised_token(struct world *world)
{
    agent_token epoch_token = agent_token_first(world->nodes[0]->replica->shard_map_epoch);
    for (int i = 0; i < WORLD_WORKERS; i++) {
        const struct worker *worker = &world->workers[i];
        if (worker->up && strcmp(worker->zone, "b") == 0 && worker->tasks->len &&
            agent_token_lower(epoch_token, agent_token_decode(worker->token)))
            return true;
    }
    return false;
}

/* Guards against a node that renews leases by proxy with a lower fencing token than the agents have
 * seen from the owner: they would drop its responses and stop their tasks. */
static void a_partitioned_zone_keeps_its_tasks_after_tokens_were_raised(void **state)
{
    struct world *world = *state;
    run_short_job_in_zone_b(world, "wk-2");
    start_service_spread_over_machines(world, "wk-1");
    assert_true(zone_b_has_raised_token(world));
    expect_tasks_survive_partition(world, 18000);
}

/* Drops all requests to the state service. */
static enum request_fault drop_state_requests(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->address, "10.2.0.1:2379") == 0 ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* Answers all requests to the state service with an error. */
static enum request_fault refuse_state_requests(struct world *world, int node,
                                                const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->address, "10.2.0.1:2379") == 0 ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/* While the state service does not respond or refuses requests, users must get 503 with Retry-After
 * while that is still of use to them, and immediately once it is known that no node is served. */
static void users_get_503_promptly_while_the_state_service_fails(void **state)
{
    struct world *world = *state;
    static const request_fault_fn faults[] = {drop_state_requests, refuse_state_requests};
    world_submit(world, 0, "wk-1", "sweep", 1);
    for (guint t = 0; t < G_N_ELEMENTS(faults); t++) {
        world->inject_fault = faults[t];
        int64_t max_latency_ms[] = {1700, 20};
        for (int round = 0; round < 2; round++) {
            struct user_response responses[] = {
                world_submit(world, 0, "wk-2", "sweep", 1),
                world_send_user_request(world, 1, "GET", "/work/wk-1", NULL),
                world_send_user_request(world, 2, "POST", "/work/wk-1/abort", NULL),
                world_send_user_request(world, 0, "GET", "/work/wk-404", NULL),
            };
            for (guint i = 0; i < G_N_ELEMENTS(responses); i++) {
                assert_int_equal(responses[i].status, 503);
                assert_non_null(strstr(responses[i].headers, "Retry-After: 1"));
                assert_in_range(responses[i].latency_ms, 0, max_latency_ms[round]);
            }
            world_run(world, 2500);
        }
        world->inject_fault = NULL;
        world_run(world, 6000);
        assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 1).status, t ? 200 : 201);
        world_expect_stage(world, 1, "wk-1", "running"); /* its cancellation had no effect */
    }
}

/* Drops renewals of leases at the state service. */
static enum request_fault drop_lease_renewals(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return g_str_has_suffix(request->path, "/renew") ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* The leader cannot act during an outage and then continues in the same epoch. It must continue its
 * message sequence: it used to begin the sequence again, and the shards took its messages for
 * duplicates. */
static void a_leader_continues_its_message_sequence_after_an_outage(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    for (int i = 0; i < 12; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-1%d", i);
        assert_int_equal(world_submit(world, i % 3, id, "sweep", 4).status, 201);
        for (int k = 0; k < 4; k++) {
            world_run(world, 700);
            world_exit_tasks_of_job(world, id, "done");
        }
    }
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    world->state_down = true;
    world_run(world, 9000);
    world->state_down = false;
    world->inject_fault = drop_lease_renewals; /* the leader sees a change before the renewal */
    assert_int_equal(
        world_submit(world, (world_get_leader_index(world) + 1) % 3, "wk-3", "sweep", 1).status,
        503);
    world_run(world, 300);
    world_submit(world, 0, "wk-3", "sweep", 1);
    world_submit(world, 1, "wk-3", "sweep", 1);
    world_run(world, 1000);
    world->inject_fault = NULL;
    world_run(world, 4000);
    assert_true(world->nodes[0]->replica->shard_map_epoch.value == epoch);
    assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 3).status, 201);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 3);
}

/* A node is partitioned from the state service while many keys change. One response with all
 * changes could exceed its memory limit, so it must read them in pages. */
static void a_lagging_node_reads_watch_events_in_pages(void **state)
{
    struct world *world = *state;
    world->isolated_node = (world_get_leader_index(world) + 1) % 3;
    world->inject_fault = world_isolate_node;
    world_run(world, 3000);
    for (int i = 0; i < 900; i++) {
        world_put_job(world, "wk-1", "{\"f\":\"done\",\"n\":1}");
        world_run(world, 10);
    }
    world->max_watch_events_seen = 0;
    world->inject_fault = NULL;
    world_run(world, 6000);
    assert_in_range(world->max_watch_events_seen, 0, 350);
    world_expect_stage(world, world->isolated_node, "wk-1", "done");
    assert_true(world->nodes[world->isolated_node]->replica->applied_revision.value ==
                world->revision);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(a_briefly_partitioned_zone_keeps_its_tasks),
        WORLD_TEST_SETTLED(tasks_of_a_long_partitioned_zone_restart_elsewhere),
        WORLD_TEST_SETTLED(a_partitioned_zone_keeps_its_tasks_after_tokens_were_raised),
        WORLD_TEST(users_get_503_promptly_while_the_state_service_fails),
        WORLD_TEST_SETTLED(a_leader_continues_its_message_sequence_after_an_outage),
        WORLD_TEST(a_lagging_node_reads_watch_events_in_pages),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
