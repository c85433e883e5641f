#include "role_failures.h"

#include <string.h>

static bool random_bool(struct role_scenario *scenario, double probability)
{
    return g_rand_double(scenario->random) < probability;
}

/* Most pauses are short; some take about as long as a lease of the state service (4 s), and some
 * longer than two leases. */
static int64_t random_pause_ms(struct role_scenario *scenario)
{
    if (random_bool(scenario, 0.55))
        return g_rand_int_range(scenario->random, 20, 300);
    return random_bool(scenario, 0.7) ? g_rand_int_range(scenario->random, 3000, 5500)
                                      : g_rand_int_range(scenario->random, 8500, 13000);
}

static void pause_node(struct role_scenario *scenario, int node, bool after_send)
{
    struct world *world = scenario->world;
    if (world->paused[node] || role_scenario_count_paused(world) >= MAX_PAUSED_NODES)
        return;
    scenario->pause_count++;
    scenario->resume_at[node] = time_add_ms(loop_now(world->loop), random_pause_ms(scenario));
    if (after_send)
        world->pause_after_send[node] = true;
    else
        world_pause(world, node);
}

/* The probability that a node is paused when it sends this request. */
static double get_pause_probability(const struct http_client_request *request)
{
    if (request_is_to_cloud(request))
        return strcmp(request->method, "POST") == 0 ? 0.6 : 0.1;
    if (strcmp(request->path, "/txn") != 0 || !request->body)
        return 0.01;
    if (strstr(request->body, "\"Set\":\"ll\\/duty\\/") || strstr(request->body, "ll\\/features"))
        return 0.5;
    return strstr(request->body, "ll\\/pending\\/") ? 0.6 : 0.05;
}

static bool is_return_intent(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"return\":[\"");
}

enum request_fault role_failures_choose_fault(struct world *world, int node,
                                              const struct http_client_request *request)
{
    struct role_scenario *scenario = role_scenario_of(world);
    if (!scenario->inject_failures || world->paused[node])
        return FAULT_NONE;
    /* Hold the intent while the epoch changes; it may be delivered just as a run record is
     * written. */
    if (is_return_intent(request) && random_bool(scenario, 0.3)) {
        membership_raise_epoch(world->nodes[node]->membership, "by the driver");
        return FAULT_REQUEST_HELD;
    }
    if (request_writes_records(request) && random_bool(scenario, 0.3))
        scenario->deliver_held_at = loop_now(world->loop);
    if (random_bool(scenario, get_pause_probability(request)))
        pause_node(scenario, node, random_bool(scenario, 0.5));
    if (strcmp(request->path, "/txn") != 0 && !request_is_to_cloud(request))
        return FAULT_NONE;
    static const enum request_fault faults[] = {FAULT_REQUEST_LOST, FAULT_RESPONSE_LOST,
                                                FAULT_REQUEST_HELD, FAULT_RESPONSE_DELAYED,
                                                FAULT_UNAVAILABLE};
    return random_bool(scenario, 0.08)
               ? faults[g_rand_int_range(scenario->random, 0, G_N_ELEMENTS(faults))]
               : FAULT_NONE;
}

static bool is_due(struct role_scenario *scenario, mono_time *at, int32_t min_ms, int32_t max_ms)
{
    mono_time now = loop_now(scenario->world->loop);
    if (time_before(now, *at))
        return false;
    *at = time_add_ms(now, g_rand_int_range(scenario->random, min_ms, max_ms));
    return true;
}

/* Kills processes, and starts them again at once or after some time. */
static void kill_and_start(struct role_scenario *scenario)
{
    struct world *world = scenario->world;
    int node = g_rand_int_range(scenario->random, 0, WORLD_NODES);
    if (is_due(scenario, &scenario->next_kill, 9000, 20000) && world->nodes[node]) {
        world_kill(world, node);
        scenario->start_at[node] =
            time_add_ms(loop_now(world->loop), random_bool(scenario, 0.5) ? 50 : 3000);
    }
    for (int i = 0; i < WORLD_NODES; i++)
        if (!world->nodes[i] && !time_before(loop_now(world->loop), scenario->start_at[i]))
            world_start(world, i);
}

void role_failures_step(struct world *world)
{
    enum { FAILURE_INTERVAL_MS = 20 };
    struct role_scenario *scenario = role_scenario_of(world);
    mono_time now = loop_now(world->loop);
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->paused[i] && !time_before(now, scenario->resume_at[i]))
            world_resume(world, i);
    if (now.us / 1000 % FAILURE_INTERVAL_MS)
        return;
    role_scenario_complete_tasks(world);
    world->cloud_capacity = scenario->cloud_capacity;
    if (!scenario->inject_failures)
        return;
    kill_and_start(scenario);
    if (is_due(scenario, &scenario->deliver_held_at, 1000, 9000))
        world_deliver_held_requests(world);
    struct node *leader = world_get_leader(world);
    if (is_due(scenario, &scenario->raise_epoch_at, 800, 5000) && leader)
        membership_raise_epoch(leader->membership, "by the driver");
}
