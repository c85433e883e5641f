/**
 * Tests of copies of commands that reach a machine once more after it has restarted. The new agent
 * counts its sessions from the start and has seen no token, so that it carries out every copy of a
 * pushed command until a response reaches it. So nothing that a node pushes may start a task. Each
 * test keeps a copy of all that is pushed and delivers it in one order of events.
 */
#include "gang_fixtures.h"
#include "trouble_fixtures.h"

#include <string.h>

enum {
    STEP_MS = 3000,
    /** How long the new agent hears nothing from the nodes. */
    SILENCE_MS = 6000,
};

/* Keeps a copy of each direct command that is carried out. */
static enum request_fault repeat_commands(struct world *world, int node,
                                          const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/commands") == 0 ? FAULT_REQUEST_REPEATED : FAULT_NONE;
}

/* Brings up machines and starts a job; every push is kept from now on. */
static struct world *start_job(void **state, const char *form, int machines, int tasks)
{
    struct world *world = prepare_gang_world(state);
    world->inject_fault = repeat_commands;
    for (int i = 0; i < machines; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, STEP_MS);
    submit_job(world, "wk-1", form, "normal", tasks, 8.0);
    world_run(world, STEP_MS);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), tasks);
    return world;
}

/* Fails the task wk-1/0, which then runs on another machine. Returns the first machine's worker. */
static struct worker *move_task(struct world *world)
{
    struct worker *worker = find_worker_with_task(world, "wk-1", 0);
    worker_exit_task(worker, "wk-1", 0, "error");
    world_run(world, 15000);
    assert_ptr_not_equal(find_worker_with_task(world, "wk-1", 0), worker);
    assert_non_null(find_worker_with_task(world, "wk-1", 0));
    return worker;
}

/* Restarts a machine, which is back at once and hears nothing from the nodes for a while. */
static void restart_silently(struct world *world, struct worker *worker)
{
    worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), SILENCE_MS);
    worker_start_session(worker, true);
}

/* Delivers all copies, and expects that they start nothing. */
static void expect_copies_start_nothing(struct world *world)
{
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 200);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_false(world_has_duplicate_task(world));
}

/* A task has failed and runs on another machine. The first machine restarts, and the copies arrive
 * before its first heartbeat is answered: the task ran on two machines. */
static void copy_does_not_start_a_task_that_moved(void **state)
{
    struct world *world = start_job(state, "sweep", 2, 1);
    restart_silently(world, move_task(world));
    expect_copies_start_nothing(world);
    world_run(world, 2L * SILENCE_MS);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* The same for a job that was cancelled longer ago than cancel_s: a cancelled task ran again. */
static void copy_does_not_start_a_cancelled_task(void **state)
{
    struct world *world = start_job(state, "daemon", 2, 2);
    assert_int_equal(world_cancel_job(world, 0, "wk-1"), 200);
    submit_job(world, "wk-2", "daemon", "normal", 1, 0.5); /* keeps the machines */
    world_run(world, (int64_t)(world->config.cancel_s * 1000) + STEP_MS);
    for (int i = 0; i < 2; i++)
        if (world->workers[i].up)
            restart_silently(world, &world->workers[i]);
    expect_copies_start_nothing(world);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
}

/* The same for the first attempt of a gang that has started again as a whole. */
static void copy_does_not_start_an_old_attempt_of_a_gang(void **state)
{
    struct world *world = start_job(state, "gang", 4, 3);
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 3);
    move_task(world);
    world_run(world, 15000);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    for (int i = 0; i < 4; i++) {
        struct worker *worker = &world->workers[i];
        if (worker->up && !worker_find_task(worker, "wk-1", 0) &&
            !worker_find_task(worker, "wk-1", 1) && !worker_find_task(worker, "wk-1", 2))
            restart_silently(world, worker);
    }
    expect_copies_start_nothing(world);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old_attempt), 0);
}

/* The same for a task that was preempted and runs on another machine. */
static void copy_does_not_start_a_preempted_task(void **state)
{
    struct world *world = start_job(state, "sweep", 1, 1);
    struct worker *worker = find_worker_with_task(world, "wk-1", 0);
    submit_job(world, "wk-2", "daemon", "prod", 1, 8.0);
    world_run(world, 2L * STEP_MS);
    assert_ptr_equal(find_worker_with_task(world, "wk-2", 0), worker);
    world_add_worker(world, 1, "a", false);
    world_run(world, 4L * STEP_MS);
    assert_non_null(find_worker_with_task(world, "wk-1", 0));
    assert_ptr_not_equal(find_worker_with_task(world, "wk-1", 0), worker);
    restart_silently(world, worker);
    expect_copies_start_nothing(world);
}

/* The copies arrive while the first heartbeat of the new agent waits for its response. */
static void copy_between_heartbeat_and_response_starts_nothing(void **state)
{
    struct world *world = start_job(state, "sweep", 2, 1);
    struct worker *worker = move_task(world);
    worker_start_session(worker, true);
    worker->inbound_blocked = true; /* the heartbeat arrives, the response does not */
    worker_send_heartbeat(worker);
    worker->inbound_blocked = false;
    expect_copies_start_nothing(world);
}

/* The machine restarts a second time after its agent has learned a token. */
static void copy_after_a_second_restart_starts_nothing(void **state)
{
    struct world *world = start_job(state, "sweep", 2, 1);
    struct worker *worker = move_task(world);
    worker_start_session(worker, true);
    world_run(world, 2L * STEP_MS);
    restart_silently(world, worker);
    expect_copies_start_nothing(world);
}

/* The owner of the machine restarts together with it. */
static void copy_starts_nothing_when_the_owner_restarts_too(void **state)
{
    struct world *world = start_job(state, "sweep", 2, 1);
    struct worker *worker = move_task(world);
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    world_kill(world, owner);
    restart_silently(world, worker);
    expect_copies_start_nothing(world);
    world_start(world, owner);
    expect_copies_start_nothing(world);
    world_run(world, 4L * STEP_MS);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* All nodes restart together with the machine, and are away for a while. */
static void copy_starts_nothing_when_all_nodes_restart_too(void **state)
{
    struct world *world = start_job(state, "sweep", 2, 1);
    struct worker *worker = move_task(world);
    for (int node = 0; node < WORLD_NODES; node++)
        world_kill(world, node);
    worker_start_session(worker, true);
    world_run(world, 200);
    expect_copies_start_nothing(world);
    for (int node = 0; node < WORLD_NODES; node++)
        world_start(world, node);
    expect_copies_start_nothing(world);
    world_run(world, 4L * STEP_MS);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* The near-miss: the attempt is still the machine's own, which has lost it with the restart. It is
 * started again there or elsewhere, once. */
static void lost_attempt_of_the_machine_is_started_once(void **state)
{
    struct world *world = start_job(state, "daemon", 2, 1);
    struct worker *worker = find_worker_with_task(world, "wk-1", 0);
    int starts = world_count_task_starts(world);
    restart_silently(world, worker);
    expect_copies_start_nothing(world);
    world_run(world, 3L * SILENCE_MS);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    assert_int_equal(world_count_task_starts(world), starts + 1);
}

/* An agent that a response reaches half a second late still gets its tasks soon: the nodes prompt a
 * heartbeat, and hold its response until the start is recorded. */
static void tasks_start_soon_without_pushed_commands(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 0, "a", false);
    world_run(world, 4000);
    for (int i = 0; i < 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", i);
        submit_job(world, id, "daemon", "high", 1, 1.0);
        world_run(world, 1000);
        assert_int_equal(world_count_active_tasks(world, id), 1);
        world_run(world, (int64_t)(world->config.lease_s * 500));
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(copy_does_not_start_a_task_that_moved),
        WORLD_TEST(copy_does_not_start_a_cancelled_task),
        WORLD_TEST(copy_does_not_start_an_old_attempt_of_a_gang),
        WORLD_TEST(copy_does_not_start_a_preempted_task),
        WORLD_TEST(copy_between_heartbeat_and_response_starts_nothing),
        WORLD_TEST(copy_after_a_second_restart_starts_nothing),
        WORLD_TEST(copy_starts_nothing_when_the_owner_restarts_too),
        WORLD_TEST(copy_starts_nothing_when_all_nodes_restart_too),
        WORLD_TEST_SETTLED(lost_attempt_of_the_machine_is_started_once),
        WORLD_TEST_SETTLED(tasks_start_soon_without_pushed_commands),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
