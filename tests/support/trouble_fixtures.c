#include "trouble_fixtures.h"

#include <string.h>

struct world *world_new_with_old_node(void)
{
    struct world *world = world_new();
    world->runs_old_version[world->config.node_count - 1] = true;
    for (int i = 0; i < world->config.node_count; i++)
        world_start(world, i);
    world_run(world, 3000);
    return world;
}

struct worker *find_worker_of_task(struct world *world, const char *job, uint32_t index)
{
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], job, index))
            return &world->workers[i];
    return NULL;
}

guint count_recorded_tasks(struct world *world, const struct worker *worker)
{
    struct machine_record *machine_record =
        replica_get_machine(world_get_leader(world)->replica, worker->id);
    return machine_record ? machine_record->run_records->len : 0;
}

void add_two_on_demand_machines(struct world *world)
{
    world->cloud_capacity = 0;
    world_add_worker(world, 6, "a", false);
    world_add_worker(world, 7, "b", false);
    world_run(world, 3000);
}

struct worker *start_service_on_two_machines(struct world *world, int replicas)
{
    add_two_on_demand_machines(world);
    world_submit(world, 0, "wk-1", "daemon", replicas);
    world_run(world, 3000);
    struct worker *worker = find_worker_of_task(world, "wk-1", 0);
    assert_non_null(worker);
    return worker;
}

void check_isolated_node(struct world *world, int node)
{
    world_submit(world, (node + 1) % 3, "wk-1", "daemon", 8);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    world->isolated_node = node;
    world->inject_fault = world_isolate_node;
    world_run(world, 4000);
    /* It asks its users at once to retry at another node, and it does not report itself as
     * ready. */
    struct user_response response = world_send_user_request(world, node, "GET", "/work/wk-1", NULL);
    assert_int_equal(response.status, 503);
    assert_non_null(strstr(response.headers, "Retry-After"));
    assert_in_range(response.latency_ms, 0, 50);
    response = world_submit(world, node, "wk-2", "sweep", 1);
    assert_int_equal(response.status, 503);
    assert_in_range(response.latency_ms, 0, 50);
    assert_int_equal(world_send_user_request(world, node, "GET", "/ready", NULL).status, 503);
    int starts = world_count_task_starts(world);
    world_run(world, 14000); /* longer than the workers' lease; the workers keep their tasks */
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_true(world_get_leader_index(world) >= 0 && world_get_leader_index(world) != node);
    assert_int_equal(
        world_send_user_request(world, (node + 1) % 3, "POST", "/work/wk-1/abort", NULL).status,
        200);
    world_run(world, 29000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    assert_int_equal(world_submit(world, (node + 2) % 3, "wk-3", "sweep", 4).status, 201);
    world_run(world, 6000);
    world->inject_fault = NULL;
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 4);
    world_expect_stage(world, node, "wk-1", "cancelled");
    world_expect_stage(world, node, "wk-3", "running");
    assert_int_equal(world_send_user_request(world, node, "GET", "/ready", NULL).status, 200);
}

enum request_fault delay_watch_responses(struct world *world, int node,
                                         const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return g_str_has_prefix(request->path, "/watch") ? FAULT_RESPONSE_DELAYED : FAULT_NONE;
}

enum run_command_fault repeat_run_commands(struct world *world, const struct worker *worker,
                                           const char *response)
{
    (void)world;
    (void)worker;
    (void)response;
    return RUN_COMMANDS_REPEATED;
}

enum run_command_fault hold_run_commands(struct world *world, const struct worker *worker,
                                         const char *response)
{
    (void)world;
    (void)worker;
    (void)response;
    return RUN_COMMANDS_HELD;
}
