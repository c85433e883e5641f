/**
 * @file
 * Tests of who holds a singleton role: concurrent claims, hand-over, restarts of the holder and
 * outages of the state service. With an argument, the program measures instead for how long a role
 * has no holder.
 */
#include "delay_histogram.h"
#include "role_scenario.h"
#include "scheduler_internal.h"

#include <stdio.h>

/* All nodes claim a role at the same time: exactly one of them must become its holder. */
static void one_of_several_concurrent_claims_succeeds(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    for (int round = 0; round < 20; round++) {
        world_remove_key(world, "ll/duty/cleanup");
        for (int i = 0; i < WORLD_NODES; i++)
            role_manager_claim(world->nodes[i]->role_manager, ROLE_GARBAGE_COLLECTOR);
        /* All claims have been answered by the time the first holder is known. */
        unsigned holders = duty_history_count_holders(scenario->history);
        while (duty_history_count_holders(scenario->history) == holders)
            world_run(world, 1);
        world_run(world, 1);
        assert_int_equal(duty_history_count_holders(scenario->history), holders + 1);
        for (int ms = 0; ms < 900; ms++) {
            world_run(world, 1);
            role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR);
        }
        assert_true(role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR) >= 0);
    }
    role_scenario_end(scenario);
}

static void garbage_collector_role_is_handed_over_to_a_named_node(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    int leader = world_get_leader_index(world),
        before = role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR);
    assert_true(before >= 0 && before != leader);
    assert_int_equal(role_scenario_get_holder(world, ROLE_AUTOSCALER), leader);
    uint64_t token = role_scenario_get_token(world, ROLE_GARBAGE_COLLECTOR);
    int target = 3 - leader - before; /* the third node */
    const struct node_record *node =
        g_hash_table_lookup(world->nodes[before]->replica->nodes, world->settings[target]->label);
    struct role_holder successor = {.incarnation = node->incarnation};
    g_strlcpy(successor.label, node->label, sizeof successor.label);
    role_manager_claim(world->nodes[target]->role_manager, ROLE_GARBAGE_COLLECTOR);
    assert_true(role_manager_hand_over(world->nodes[before]->role_manager, ROLE_GARBAGE_COLLECTOR,
                                       &successor));
    assert_int_equal(role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR),
                     -1); /* the holder stops at once */
    world_run(world, 20);
    assert_true(role_scenario_get_token(world, ROLE_GARBAGE_COLLECTOR) > token);
    /* The role manager of the third node returns the role to the node chosen for it. */
    world_run(world, 2000);
    assert_int_equal(role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR), before);
    role_scenario_end(scenario);
}

/* A role handed over to a process that no longer exists stays with its holder. */
static void hand_over_to_a_dead_process_has_no_effect(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    int holder = role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR);
    struct role_holder dead = {"mast-9", {999}};
    assert_true(
        role_manager_hand_over(world->nodes[holder]->role_manager, ROLE_GARBAGE_COLLECTOR, &dead));
    world_run(world, 2000);
    assert_int_equal(role_scenario_get_holder(world, ROLE_GARBAGE_COLLECTOR), holder);
    role_scenario_end(scenario);
}

/* A holder that restarts before its old lease expires is a new process: it must claim the role
 * again and get a new token. */
static void restarted_holder_gets_a_new_token(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    for (int round = 0; round < 5; round++) {
        int leader = world_get_leader_index(world);
        uint64_t token = role_scenario_get_token(world, ROLE_AUTOSCALER);
        world_kill(world, leader);
        world_run(world, 50);
        world_start(world, leader);
        world_run(world, 1500); /* less than the lease of the previous process */
        assert_true(role_scenario_get_holder(world, ROLE_AUTOSCALER) >= 0);
        assert_true(role_scenario_get_token(world, ROLE_AUTOSCALER) > token);
    }
    role_scenario_end(scenario);
}

/**
 * Checks that a holder that reaches neither the state service nor the cloud retries its cloud
 * requests, but sends none once its lease has expired.
 */
static void expect_requests_stop_with_the_lease(struct role_scenario *scenario, int node,
                                                int64_t ms)
{
    int first = scenario->cloud_requests[node];
    world_run(scenario->world, 5000);
    assert_true(scenario->cloud_requests[node] > first);
    int before = scenario->cloud_requests[node];
    world_run(scenario->world, ms);
    assert_int_equal(scenario->cloud_requests[node], before);
}

/** Makes the state service unavailable to the holder alone or to all nodes. */
static void run_state_service_outage(bool for_all_nodes)
{
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    world->inject_fault = role_scenario_pause_at_point;
    int leader = world_get_leader_index(world);
    world->cloud_down = true;
    role_scenario_add_job(scenario);
    world_run(world, 2000);
    world->state_down = for_all_nodes;
    world->state_unavailable_to[leader] = !for_all_nodes;
    expect_requests_stop_with_the_lease(scenario, leader, 15000);
    assert_true(role_scenario_get_holder(world, ROLE_AUTOSCALER) != leader);
    world->state_down = world->state_unavailable_to[leader] = world->cloud_down = false;
    role_scenario_settle(scenario);
    role_scenario_expect_settled(scenario);
    role_scenario_end(scenario);
}

static void holder_cut_off_from_the_state_service_stops_acting(void **state)
{
    (void)state;
    run_state_service_outage(false);
}

static void no_node_acts_during_a_state_service_outage(void **state)
{
    (void)state;
    run_state_service_outage(true);
}

/* ---- measurement of the time without a holder ---- */

enum holder_end {
    ENDS_BY_CRASH,
    ENDS_BY_RESTART,
    ENDS_BY_PAUSE,
    ENDS_BY_HAND_OVER,
    HOLDER_END_COUNT
};

/** Ends the holder's tenure of its role in one of the ways of `enum holder_end`. */
static void end_holder(struct role_scenario *scenario, enum holder_end end, int holder)
{
    struct world *world = scenario->world;
    struct role_holder successor = {0};
    switch (end) {
    case ENDS_BY_CRASH:
        world_kill(world, holder);
        break;
    case ENDS_BY_RESTART:
        world_kill(world, holder);
        world_start(world, holder);
        break;
    case ENDS_BY_PAUSE:
        world_pause(world, holder);
        scenario->resume_at[holder] = time_add_ms(loop_now(world->loop), 20000);
        break;
    default:
        g_strlcpy(successor.label, world->settings[(holder + 1) % WORLD_NODES]->label,
                  sizeof successor.label);
        successor.incarnation = ((struct node_record *)g_hash_table_lookup(
                                     world->nodes[holder]->replica->nodes, successor.label))
                                    ->incarnation;
        role_manager_claim(world->nodes[(holder + 1) % WORLD_NODES]->role_manager,
                           ROLE_GARBAGE_COLLECTOR);
        role_manager_hand_over(world->nodes[holder]->role_manager, ROLE_GARBAGE_COLLECTOR,
                               &successor);
    }
}

/** The index of the running node that may act in the role, or -1. */
static int find_live_holder(struct world *world, enum singleton_role role)
{
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && !world->paused[i] &&
            role_manager_may_act(world->nodes[i]->role_manager, role))
            return i;
    return -1;
}

/** Measures for how long a role has no holder after its holder ends as stated. */
static void measure_gap(enum holder_end end, const char *name, int rounds)
{
    struct delay_histogram *gaps = delay_histogram_new();
    enum singleton_role role = end == ENDS_BY_HAND_OVER ? ROLE_GARBAGE_COLLECTOR : ROLE_AUTOSCALER;
    for (int round = 0; round < rounds; round++) {
        struct role_scenario *scenario = role_scenario_new(1);
        world_run(scenario->world, 1 + round * 37);
        end_holder(scenario, end, find_live_holder(scenario->world, role));
        int ms = 0;
        for (; find_live_holder(scenario->world, role) < 0; ms++)
            world_run(scenario->world, 1);
        delay_histogram_add(gaps, ms);
        role_scenario_end(scenario);
    }
    printf("without a holder, %s: %" G_GUINT64_FORMAT " times, p50 %.0f ms, p90 %.0f, p99 %.0f\n",
           name, delay_histogram_count(gaps), delay_histogram_quantile(gaps, 0.5),
           delay_histogram_quantile(gaps, 0.9), delay_histogram_quantile(gaps, 0.99));
    delay_histogram_free(gaps);
}

static int measure(int rounds)
{
    static const char *const names[HOLDER_END_COUNT] = {"crash", "restart at once", "pause",
                                                        "hand-over"};
    for (int i = 0; i < HOLDER_END_COUNT; i++)
        measure_gap((enum holder_end)i, names[i], rounds);
    return 0;
}

/** test_role_handover [ROUNDS]: runs the tests, or a measurement of that many rounds. */
int main(int argc, char **argv)
{
    if (argc > 1)
        return measure((int)strtol(argv[1], NULL, 10));
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_of_several_concurrent_claims_succeeds),
        cmocka_unit_test(garbage_collector_role_is_handed_over_to_a_named_node),
        cmocka_unit_test(hand_over_to_a_dead_process_has_no_effect),
        cmocka_unit_test(restarted_holder_gets_a_new_token),
        cmocka_unit_test(holder_cut_off_from_the_state_service_stops_acting),
        cmocka_unit_test(no_node_acts_during_a_state_service_outage),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
