/**
 * Tests of machines that receive no messages, of duplicate heartbeats, and of nodes that only
 * workers can reach.
 */
#include "run_records_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

/* ---- heartbeats arrive, responses and commands do not ---- */

/* A machine sends heartbeats but receives neither responses nor commands. A response that was sent
 * does not prove that it arrived, so no task may be placed on the machine until its heartbeats show
 * that it receives again. Its tasks start elsewhere once its worker has begun another session. */
static void no_task_is_placed_on_a_machine_without_inbound_messages(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 2);
    struct worker *other = worker == &world->workers[6] ? &world->workers[7] : &world->workers[6];
    worker->inbound_blocked = true;
    world_run(world, 6000);
    guint recorded_before = count_recorded_tasks(world, worker);
    world_submit(world, 0, "wk-2", "sweep", 8); /* more than fits on the other machine */
    for (int i = 0; i < 160; i++) {
        world_run(world, 100);
        assert_true(count_recorded_tasks(world, worker) <= recorded_before);
    }
    assert_int_equal(count_recorded_tasks(world, worker), 0);
    world_exit_tasks_of_job(world, "wk-2", "done");
    world_run(world, 2000);
    assert_non_null(worker_find_task(other, "wk-1", 0));
    assert_non_null(worker_find_task(other, "wk-1", 1));
    int starts = worker->start_count;
    worker->inbound_blocked = false;
    world_run(world, 8000);
    assert_true(worker->start_count > starts); /* it is used again once it receives messages */
    assert_int_equal(world->returned_count, 0);
}

/* A machine that stays without inbound messages must be returned, and its task must run
 * elsewhere. */
static void a_machine_permanently_without_inbound_messages_is_returned(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 1);
    worker->inbound_blocked = true;
    world_run(world, 50000);
    assert_false(worker->up);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* The stop command of a cancelled task does not arrive. The lease of the machine, which no node
 * renews any more, must end the task within cancel_timeout_s. */
static void a_cancelled_task_ends_in_time_on_a_machine_without_inbound_messages(void **state)
{
    struct world *world = *state;
    start_service_on_two_machines(world, 1)->inbound_blocked = true;
    world_run(world, 500);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    world_run(world, 29000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    world_expect_stage(world, 2, "wk-1", "cancelled");
}

/* ---- duplicate heartbeats that arrive late ---- */

/* After a restart no node knows how recent a heartbeat is. A duplicate of a heartbeat from before
 * the task started arrives first; it lacks the task and carries a reclaim notice of the cloud that
 * is long over. It must neither free nor stop the task. */
static void a_duplicate_heartbeat_that_arrives_first_after_a_restart_is_ignored(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 1);
    char *heartbeat_without_tasks = worker->sent_heartbeats->pdata[0],
         *reclaim_heartbeat = world_replace_string(heartbeat_without_tasks, "\"Pieces\"",
                                                   "\"RecallS\":5.0,\"Pieces\"");
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    worker->unreachable = true;
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    for (int i = 0; i < 30; i++) {
        world_run(world, 100);
        for (int n = 0; n < WORLD_NODES; n++)
            world_replay_heartbeat(world, n, reclaim_heartbeat);
    }
    worker->unreachable = false;
    world_run(world, 6000);
    assert_int_equal(world_count_task_starts(world), 1);
    assert_non_null(worker_find_task(worker, "wk-1", 0));
    assert_string_equal(worker_find_task(worker, "wk-1", 0)->stage, "running");
    g_free(reclaim_heartbeat);
}

/* Duplicate heartbeats of a returned machine must not make it available again, not even to nodes
 * that restarted since and never knew the machine. */
static void duplicate_heartbeats_of_a_returned_machine_are_ignored(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_run(world, 8000);
    struct worker *worker = find_worker_of_task(world, "wk-1", 0);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 90000);
    assert_false(worker->up);
    world->cloud_capacity = 0;
    world_submit(world, 0, "wk-2", "sweep", 2);
    for (int round = 0; round < 2; round++) {
        for (guint i = 0; i < worker->sent_heartbeats->len; i++) {
            for (int n = 0; n < WORLD_NODES; n++)
                world_replay_heartbeat(world, n, worker->sent_heartbeats->pdata[i]);
            world_run(world, 200);
            struct job *job = replica_get_job(world_get_leader(world)->replica, "wk-2");
            assert_true(job && !job->run_records);
        }
        for (int n = 0; n < WORLD_NODES; n++) {
            world_kill(world, n);
            world_start(world, n);
        }
        world_run(world, 6000);
    }
}

/* Duplicates of heartbeats that a worker sent while a task of an earlier job ran, which has
 * finished and been cleared since, must not start, stop or free tasks of the job that runs there
 * now. */
static void duplicate_heartbeats_change_nothing(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    world_submit(world, 0, "wk-1", "sweep", 4);
    world_run(world, 3000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 3000);
    world_submit(world, 1, "wk-2", "daemon", 4);
    world_run(world, 3000);
    int starts = world_count_task_starts(world);
    /* One of them carries a reclaim notice that the cloud has withdrawn since. */
    for (int m = 6; m <= 7; m++) {
        char *reclaim_heartbeat = world_replace_string(world->workers[m].sent_heartbeats->pdata[2],
                                                       "\"Pieces\"", "\"RecallS\":5.0,\"Pieces\"");
        for (int n = 0; n < WORLD_NODES; n++)
            world_replay_heartbeat(world, n, reclaim_heartbeat);
        world_run(world, 300);
        g_free(reclaim_heartbeat);
    }
    for (int m = 6; m <= 7; m++)
        for (guint i = 0; i < world->workers[m].sent_heartbeats->len; i++) {
            for (int n = 0; n < WORLD_NODES; n++)
                world_replay_heartbeat(world, n, world->workers[m].sent_heartbeats->pdata[i]);
            world_run(world, 300);
        }
    world_run(world, 12000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    world_expect_stage(world, 0, "wk-1", "done");
}

/* A heartbeat with another zone or machine type, or with other tasks under the same sequence
 * number, must be ignored. Here it has a later session without tasks, which would prove that the
 * task is gone. */
static void heartbeats_with_contradictory_contents_free_no_task(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 1);
    const char *zone_json = strcmp(worker->zone, "a") == 0 ? "\"Yard\":\"a\"" : "\"Yard\":\"b\"";
    char *heartbeat_without_tasks = worker->sent_heartbeats->pdata[0];
    char *later_session =
        world_replace_string(heartbeat_without_tasks, "\"Shift\":1", "\"Shift\":9");
    char *wrong_zone = world_replace_string(later_session, zone_json, "\"Yard\":\"z\"");
    char *wrong_type = world_replace_string(later_session, "\"g8\"", "\"g9\"");
    for (int n = 0; n < WORLD_NODES; n++) {
        world_replay_heartbeat(world, n, wrong_zone);
        world_replay_heartbeat(world, n, wrong_type);
        world_run(world, 3000);
    }
    world_run(world, 12000);
    assert_int_equal(world_count_task_starts(world), 1);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    g_free(later_session);
    g_free(wrong_zone);
    g_free(wrong_type);
}

/* ---- a node that only workers can reach ---- */

/* A follower is reached only by workers and users. It must refuse its users, keep the tasks of its
 * machines, and not delay a cancellation made through another node. */
static void a_follower_reached_only_by_workers_breaks_no_invariant(void **state)
{
    struct world *world = *state;
    check_isolated_node(world, (world_get_leader_index(world) + 1) % 3);
}

/* The same for a leader, which another node has to replace. */
static void a_leader_reached_only_by_workers_breaks_no_invariant(void **state)
{
    struct world *world = *state;
    check_isolated_node(world, world_get_leader_index(world));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(no_task_is_placed_on_a_machine_without_inbound_messages),
        WORLD_TEST_SETTLED(a_machine_permanently_without_inbound_messages_is_returned),
        WORLD_TEST_SETTLED(a_cancelled_task_ends_in_time_on_a_machine_without_inbound_messages),
        WORLD_TEST_SETTLED(a_duplicate_heartbeat_that_arrives_first_after_a_restart_is_ignored),
        WORLD_TEST(duplicate_heartbeats_of_a_returned_machine_are_ignored),
        WORLD_TEST(duplicate_heartbeats_change_nothing),
        WORLD_TEST(heartbeats_with_contradictory_contents_free_no_task),
        WORLD_TEST_SETTLED(a_follower_reached_only_by_workers_breaks_no_invariant),
        WORLD_TEST_SETTLED(a_leader_reached_only_by_workers_breaks_no_invariant),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
