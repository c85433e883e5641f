/**
 * @file
 * Tests of the machines that the holder of the autoscaler role returns to the cloud.
 */
#include "role_scenario.h"
#include "scheduler_internal.h"

#include <string.h>

static bool is_autoscaler_claim(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 &&
           strstr(request->body, "\"Set\":\"ll\\/duty\\/fleet");
}

static enum request_fault refuse_autoscaler_claims(struct world *world, int node,
                                                   const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return is_autoscaler_claim(request) ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/** Adds a running machine that has never had a task. */
static struct worker *add_idle_machine(struct role_scenario *scenario, int i)
{
    struct worker *worker = world_add_worker(scenario->world, i, "a", true);
    duty_history_add_rented_machine(scenario->history, worker->id);
    return worker;
}

/* A new leader decides to return an idle machine before its claim of the autoscaler role succeeds.
 * The return must wait for the claim and must not be lost. */
static void returns_decided_before_the_claim_are_done_after_it(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    world->inject_fault = refuse_autoscaler_claims;
    int leader = world_get_leader_index(world);
    world_kill(world, leader);
    struct worker *worker = add_idle_machine(scenario, 0);
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

/** A scenario whose policy keeps idle machines for a day, so that tests request each return. */
static struct role_scenario *new_scenario_without_idle_returns(void)
{
    struct role_scenario *scenario = role_scenario_new(1);
    GError *error = NULL;
    struct policy *previous_policy = scenario->world->policy;
    scenario->world->policy = policy_parse("idle_s = 86400\nspare_cpus = 0\n", &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(scenario->world, i);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(scenario->world, i);
    policy_free(previous_policy);
    world_run(scenario->world, 4000);
    return scenario;
}

static void request_return(struct role_scenario *scenario, const struct worker *worker)
{
    machine_id id;
    assert_true(machine_id_parse(&id, worker->id));
    cloud_provider_scale_in(world_get_leader(scenario->world)->leader->cloud, id, "by hand");
}

static enum request_fault hold_first_run_record(struct world *world, int node,
                                                const struct http_client_request *request)
{
    struct role_scenario *scenario = role_scenario_of(world);
    (void)node;
    if (scenario->pause_points_reached || !request_writes_records(request))
        return FAULT_NONE;
    scenario->pause_points_reached++;
    return FAULT_REQUEST_HELD;
}

/* A machine is to be returned while the record of a task start on it is being written. The return
 * must wait for that write. */
static void return_waits_for_a_task_start_being_recorded(void **state)
{
    (void)state;
    struct role_scenario *scenario = new_scenario_without_idle_returns();
    struct world *world = scenario->world;
    struct worker *worker = add_idle_machine(scenario, 0);
    scenario->cloud_capacity = 0;
    world_run(world, 3000);
    world->inject_fault = hold_first_run_record;
    role_scenario_add_job(scenario);
    while (!scenario->pause_points_reached)
        world_run(world, 1);
    request_return(scenario, worker);
    world_run(world, 1800); /* returns are delayed by 1 s to be batched */
    world_deliver_held_requests(world);
    world->inject_fault = NULL;
    role_scenario_settle(scenario);
    assert_false(worker->up);
    role_scenario_expect_no_violation(scenario);
    scenario->cloud_capacity = CLOUD_MACHINES; /* for the tasks left without a machine */
    world_run(world, 20000);
    role_scenario_end(scenario);
}

/* More returns than fit on one page, where the state service's limits on values and transactions
 * are low: they take a second page, and all are carried out. */
static void many_returns_are_stored_on_several_pages(void **state)
{
    (void)state;
    enum { RETURN_COUNT = 400 };
    struct world_config config = role_scenario_config();
    config.pausable = false;
    config.worker_count = RETURN_COUNT;
    config.next_value_kb = 2;
    config.next_write_rps = 18;
    config.next_txn_ops = 5;
    config.fd_limit = 4000;
    struct world *world = world_new_with_config(&config);
    world->cloud_capacity = 0;
    world_lower_state_limits(world);
    for (int i = 0; i < RETURN_COUNT; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    bool second_page = false;
    for (int ms = 0; ms < 90000; ms += 50) {
        world_run(world, 50);
        second_page = second_page || world_get_key(world, "ll/pending/fleet/1");
    }
    assert_true(second_page);
    assert_int_equal(world->returned_count, RETURN_COUNT);
    world_run(world, 10000);
    role_scenario_expect_no_intents(world);
    world_end(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(returns_decided_before_the_claim_are_done_after_it),
        cmocka_unit_test(return_waits_for_a_task_start_being_recorded),
        cmocka_unit_test(many_returns_are_stored_on_several_pages),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
