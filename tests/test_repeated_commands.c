/**
 * Tests of direct commands that are carried out a second time, long after they were answered. The
 * fencing token has to rise before an agent forgets what such a command started.
 */
#include "trouble_fixtures.h"

#include <string.h>

/** Runs the world until an agent has forgotten a task, for ten seconds at most. */
static void run_until_forgotten(struct world *world, struct worker *worker, const char *job)
{
    for (int i = 0; i < 100 && worker_find_task(worker, job, 0); i++)
        world_run(world, 100);
    assert_null(worker_find_task(worker, job, 0));
}

/** Starts a job of one task by a direct command, and lets its first attempt fail. Returns the
 * worker of that attempt; the next one runs elsewhere. */
static struct worker *fail_first_attempt(struct world *world, const char *job)
{
    world->inject_run_fault = repeat_run_commands;
    assert_int_equal(world_submit(world, 0, job, "sweep", 1).status, 201);
    world_run(world, 3000);
    struct worker *worker = find_worker_of_task(world, job, 0);
    assert_non_null(worker);
    assert_true(world->held_requests->len > 0);
    world->inject_run_fault = NULL;
    worker_exit_task(worker, job, 0, "error");
    return worker;
}

/* Guards against an attempt that failed and was cleared, and that a repeat of its command starts
 * again while the next attempt runs on another machine (review/2). */
static void a_repeated_command_does_not_start_a_cleared_attempt(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    struct worker *worker = fail_first_attempt(world, "wk-1");
    run_until_forgotten(world, worker, "wk-1");
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    int starts = world_count_task_starts(world);
    world_kill(world, shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0');
    world_deliver_held_requests(world);
    world_run(world, 5000);
    assert_int_equal(world_count_task_starts(world), starts);
}

/* Guards against the same repeat after the task is done: it would run again although its job is
 * over. */
static void a_repeated_command_does_not_start_a_task_of_a_finished_job(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    world->inject_run_fault = repeat_run_commands;
    world_submit(world, 0, "wk-1", "sweep", 3);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
    assert_true(world->held_requests->len > 0);
    world->inject_run_fault = NULL;
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 6000);
    world_expect_stage(world, 0, "wk-1", "done");
    assert_null(find_worker_of_task(world, "wk-1", 0));
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    assert_int_equal(world_count_task_starts(world), starts);
}

/* Guards against a cure that costs an epoch for each task: attempts are cleared within the epoch,
 * also while commands of other tasks are under way. */
static void attempts_are_cleared_without_a_new_epoch(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    for (int i = 0; i < 10; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", i);
        assert_int_equal(world_submit(world, i % 3, id, "sweep", 4).status, 201);
        world_run(world, 1500);
        world_exit_tasks_of_job(world, id, "done");
    }
    world_run(world, 5000);
    for (int i = 0; i < WORLD_WORKERS; i++)
        assert_int_equal(world->workers[i].tasks->len, 0);
    assert_true(world->nodes[0]->replica->shard_map_epoch.value == epoch);
}

/* Guards against the same repeat while a node of an earlier version runs, so that only a new epoch
 * raises the token: until then the agent must not forget the attempt. */
static void without_serials_an_attempt_is_cleared_in_the_next_epoch(void **state)
{
    (void)state;
    struct world *world = world_new_with_old_node();
    add_two_on_demand_machines(world);
    struct worker *worker = fail_first_attempt(world, "wk-1");
    world_run(world, 15000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 1000);
    assert_int_equal(world_count_task_starts(world), starts);
    membership_raise_epoch(world_get_leader(world)->membership, "test");
    run_until_forgotten(world, worker, "wk-1");
    world_end(world);
}

/* Guards against tokens that fall when the last node is upgraded, or when a node leaves after that:
 * agents would refuse all commands and lose their leases. */
static void tokens_rise_when_all_nodes_support_serials(void **state)
{
    (void)state;
    struct world *world = world_new_with_old_node();
    struct worker *worker = start_service_on_two_machines(world, 2);
    uint64_t old_token = worker->token;
    world_kill(world, 2);
    world->runs_old_version[2] = false;
    world_run(world, 500);
    world_start(world, 2);
    world_run(world, 6000);
    assert_true(worker->token > old_token);
    assert_true(agent_token_get_epoch(agent_token_decode(worker->token)).value ==
                world->nodes[0]->replica->shard_map_epoch.value);
    uint64_t token = worker->token;
    world_kill(world, world_get_leader_index(world));
    world_run(world, 15000);
    assert_true(worker->token > token);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    assert_int_equal(world_count_task_starts(world), 2);
    world_end(world);
}

static void tokens_are_ordered_by_epoch_and_serial(void **state)
{
    (void)state;
    const epoch_no epoch = {41};
    agent_token token = agent_token_first(epoch);
    assert_true(agent_token_encode(token, false) == epoch.value);
    assert_true(agent_token_lower(agent_token_last_before(epoch), token));
    assert_true(agent_token_increment(&token));
    assert_true(agent_token_lower(agent_token_first(epoch), token));
    assert_true(agent_token_lower(token, agent_token_first((epoch_no){epoch.value + 1})));
    assert_true(agent_token_get_epoch(token).value == epoch.value);
    assert_true(agent_token_decode(agent_token_encode(token, true)).value == token.value);
    assert_true(agent_token_decode(epoch.value).value == agent_token_first(epoch).value);
    assert_true(agent_token_decode(0).value == 0);
    token = agent_token_last_before((epoch_no){epoch.value + 1});
    assert_false(agent_token_increment(&token));
    assert_true(agent_token_get_epoch(token).value == epoch.value);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(a_repeated_command_does_not_start_a_cleared_attempt),
        WORLD_TEST_SETTLED(a_repeated_command_does_not_start_a_task_of_a_finished_job),
        WORLD_TEST_SETTLED(attempts_are_cleared_without_a_new_epoch),
        cmocka_unit_test(without_serials_an_attempt_is_cleared_in_the_next_epoch),
        cmocka_unit_test(tokens_rise_when_all_nodes_support_serials),
        cmocka_unit_test(tokens_are_ordered_by_epoch_and_serial),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
