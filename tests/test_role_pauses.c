/**
 * @file
 * Pauses holders of singleton roles at each step of renting and returning machines, and resumes
 * them after their own lease or their successor's has expired. A resumed holder must not act under
 * a token that is no longer valid.
 */
#include "role_failures.h"
#include "role_scenario.h"

enum {
    SEED_COUNT = 60,
    SEED_DURATION_MS = 70000, /* simulated time per seed */
    MIN_PAUSES = 2000,        /* over all seeds */
};

/**
 * Runs jobs whose machines are rented and returned, with a pause or a fault at the given point.
 * Checks that the point was reached and that all jobs complete.
 */
static void run_with_pause_point(const struct pause_point *pause_point)
{
    struct role_scenario *scenario =
        role_scenario_new_with_faults(1, role_scenario_pause_at_point, pause_point);
    for (int i = 0; i < 3; i++) {
        role_scenario_add_job(scenario);
        world_run(scenario->world, 4000);
    }
    world_run(scenario->world, 2 * pause_point->pause_ms + 25000);
    scenario->pause_point = NULL;
    role_scenario_settle(scenario);
    role_scenario_expect_settled(scenario);
    if (!scenario->pause_points_reached)
        fail_msg("the pause point was not reached: %s %s", pause_point->path,
                 pause_point->body_substring);
    for (int i = 0; i < 3; i++) {
        char id[24];
        g_snprintf(id, sizeof id, "wk-%05d", i + 1);
        world_expect_stage(scenario->world, i, id, "done");
    }
    role_scenario_end(scenario);
}

static void holders_paused_at_each_step_do_no_harm(void **state)
{
    (void)state;
    static const struct pause_point steps[] = {
        {.path = "/txn", .body_substring = "\"Set\":\"ll\\/duty\\/fleet"},
        {.path = "/txn", .body_substring = "\"rent\":[["},
        {.path = "/txn", .body_substring = "\"return\":[\""},
        {.path = "/txn", .body_substring = "\"return\":[],\"rent\":[]"},
        {.path = "/rentals"},
        {.path = "/rentals/return"},
    };
    static const int64_t pauses_ms[] = {1000, 6000, 13000};
    for (guint i = 0; i < G_N_ELEMENTS(steps); i++)
        for (guint k = 0; k < G_N_ELEMENTS(pauses_ms); k++)
            for (int variant = 0; variant < 4; variant++) {
                struct pause_point pause_point = steps[i];
                pause_point.pause_ms = pauses_ms[k];
                pause_point.after_send = variant & 1;
                pause_point.successor_too = variant & 2;
                run_with_pause_point(&pause_point);
            }
}

/* A response is lost or delayed, or the request is lost or carried out much later. */
static void lost_and_delayed_requests_do_no_harm(void **state)
{
    (void)state;
    static const struct pause_point steps[] = {
        {.path = "/txn", .body_substring = "\"Set\":\"ll\\/duty\\/fleet"},
        {.path = "/txn", .body_substring = "ll\\/features"},
        {.path = "/txn", .body_substring = "ll\\/pending\\/"},
        {.path = "/rentals"},
        {.path = "/rentals/return"},
    };
    static const enum request_fault faults[] = {FAULT_RESPONSE_LOST, FAULT_REQUEST_HELD,
                                                FAULT_REQUEST_LOST, FAULT_RESPONSE_DELAYED};
    for (guint i = 0; i < G_N_ELEMENTS(steps); i++)
        for (guint k = 0; k < G_N_ELEMENTS(faults); k++) {
            struct pause_point pause_point = steps[i];
            pause_point.fault = faults[k];
            run_with_pause_point(&pause_point);
        }
}

/* Holders are paused thousands of times while they claim a role, record intents, rent or return
 * machines or wait for a response, and are resumed later, at times when another holder's token is
 * valid. */
static void holders_paused_at_random_do_no_harm(void **state)
{
    (void)state;
    unsigned pauses = 0, holders = 0, effects = 0;
    for (unsigned seed = 1; seed <= SEED_COUNT; seed++) {
        struct role_scenario *scenario = role_scenario_new(seed);
        scenario->world->inject_fault = role_failures_choose_fault;
        scenario->inject_failures = true;
        mono_time end = time_add_ms(loop_now(scenario->world->loop), SEED_DURATION_MS);
        while (time_before(loop_now(scenario->world->loop), end)) {
            role_scenario_add_job(scenario);
            world_run(scenario->world, g_rand_int_range(scenario->random, 500, 4000));
            role_scenario_expect_no_violation(scenario);
        }
        role_scenario_settle(scenario);
        role_scenario_expect_settled(scenario);
        pauses += scenario->pause_count;
        holders += duty_history_count_holders(scenario->history);
        effects += duty_history_count_cloud_effects(scenario->history);
        role_scenario_end(scenario);
    }
    print_message("%u pauses, %u holders, %u effects\n", pauses, holders, effects);
    assert_true(pauses >= MIN_PAUSES);
    assert_true(holders > SEED_COUNT * 4 && effects > SEED_COUNT * 20);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(holders_paused_at_each_step_do_no_harm),
        cmocka_unit_test(lost_and_delayed_requests_do_no_harm),
        cmocka_unit_test(holders_paused_at_random_do_no_harm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
