/** Machines that the holder of a singleton role returns to the cloud. */
#include "role_scenario.h"
#include "scheduler_internal.h"

#include <string.h>

static bool is_fleet_claim(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 &&
           strstr(request->body, "\"Set\":\"ll\\/duty\\/fleet");
}

static enum request_fault claims_refused(struct world *world, int node,
                                         const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return is_fleet_claim(request) ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/* A machine that is there from the beginning, on which nothing ever ran. */
static struct worker *idle_machine(struct role_scenario *scenario, int i)
{
    struct worker *worker = world_add_worker(scenario->world, i, "a", true);
    duty_history_add_rented_machine(scenario->history, worker->id);
    return worker;
}

/* A new leader decides to return an idle machine before it has the duty. */
static void what_was_decided_before_the_duty_is_done_later(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    world->inject_fault = claims_refused;
    int leader = world_get_leader_index(world);
    world_kill(world, leader);
    struct worker *worker = idle_machine(scenario, 0);
    world_run(world, 12000);
    assert_true(worker->up);
    world->inject_fault = NULL;
    world_run(world, 15000);
    assert_false(worker->up);
    world_start(world, leader);
    role_scenario_settle(scenario);
    role_scenario_expect_settled(scenario);
    role_scenario_end(scenario);
}

/* Nothing is returned by itself. */
static struct role_scenario *play_without_returns(void)
{
    struct role_scenario *scenario = role_scenario_new(1);
    GError *error = NULL;
    struct policy *old = scenario->world->policy;
    scenario->world->policy = policy_parse("idle_s = 86400\nspare_cpus = 0\n", &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(scenario->world, i);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(scenario->world, i);
    policy_free(old);
    world_run(scenario->world, 4000);
    return scenario;
}

static void return_by_hand(struct role_scenario *scenario, const struct worker *worker)
{
    machine_id id;
    assert_true(machine_id_parse(&id, worker->id));
    cloud_provider_scale_in(world_get_leader(scenario->world)->leader->cloud, id, "by hand");
}

static enum request_fault first_record_is_held(struct world *world, int node,
                                               const struct http_client_request *request)
{
    struct role_scenario *scenario = role_scenario_of(world);
    (void)node;
    if (scenario->pause_points_reached || !request_writes_records(request))
        return FAULT_NONE;
    scenario->pause_points_reached++;
    return FAULT_REQUEST_HELD;
}

/* A machine is to be returned while a task is being recorded on it. */
static void a_start_that_is_being_recorded_is_waited_for(void **state)
{
    (void)state;
    struct role_scenario *scenario = play_without_returns();
    struct world *world = scenario->world;
    struct worker *worker = idle_machine(scenario, 0);
    scenario->cloud_capacity = 0;
    world_run(world, 3000);
    world->inject_fault = first_record_is_held;
    role_scenario_add_job(scenario);
    while (!scenario->pause_points_reached)
        world_run(world, 1);
    return_by_hand(scenario, worker);
    world_run(world, 1800); /* longer than a return waits for others */
    world_deliver_held_requests(world);
    world->inject_fault = NULL;
    role_scenario_settle(scenario);
    assert_false(worker->up);
    role_scenario_expect_no_violation(scenario);
    scenario->cloud_capacity = CLOUD_MACHINES; /* for the tasks that had none */
    world_run(world, 20000);
    role_scenario_end(scenario);
}

/* More returns than a page holds, where values are short and transactions small. */
static void many_returns_take_several_pages(void **state)
{
    (void)state;
    enum { MANY = 400 };
    struct world_config plan = role_scenario_config();
    plan.pausable = false;
    plan.worker_count = MANY;
    plan.next_value_kb = 2;
    plan.next_write_rps = 18;
    plan.next_txn_ops = 5;
    plan.fd_limit = 4000;
    struct world *world = world_new_with_config(&plan);
    world->cloud_capacity = 0;
    world_lower_state_limits(world);
    for (int i = 0; i < MANY; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    bool second_page = false;
    for (int ms = 0; ms < 90000; ms += 50) {
        world_run(world, 50);
        second_page = second_page || world_get_key(world, "ll/pending/fleet/1");
    }
    assert_true(second_page);
    assert_int_equal(world->returned_count, MANY);
    world_run(world, 10000);
    role_scenario_expect_no_intents(world);
    world_end(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(what_was_decided_before_the_duty_is_done_later),
        cmocka_unit_test(a_start_that_is_being_recorded_is_waited_for),
        cmocka_unit_test(many_returns_take_several_pages),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
