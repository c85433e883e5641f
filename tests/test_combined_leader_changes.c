/**
 * Tests of leader changes and restarts of nodes that coincide with other failures. See
 * docs/safety.md.
 */
#include "combined_failures.h"

/* Two teams are at their limits while some of their machines are partitioned or hang, jobs on these
 * machines are cancelled, and the leader changes. A new leader that does not count tasks on
 * unreachable machines would exceed the limits. */
static void teams_stay_within_limits_across_a_leader_change(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 0, 6, false);
    struct user_job *first[2], *next[2];
    for (int t = 0; t < 2; t++) {
        const char *team = t ? "team-01" : "team-00";
        first[t] = user_job_add(t ? "wk-11" : "wk-10", "sweep", 6, team, 2.0);
        next[t] = user_job_add(t ? "wk-21" : "wk-20", "sweep", 20, team, 2.0);
        combined_request(world, t, REQUEST_SUBMIT, first[t]);
        combined_run(world, 1500);
        combined_request(world, t, REQUEST_SUBMIT, next[t]);
    }
    combined_run(world, 5000);
    for (int t = 0; t < 2; t++) {
        combined_expect_active_tasks(world, first[t], 6);
        combined_expect_active_tasks(world, next[t], 2);
    }
    for (int i = 0; i < 4; i++) /* partitioned or hanging */
        world->workers[i].unreachable = true;
    int old_leader = world_get_leader_index(world);
    user_job_send_request(world, combined_other_node(world, old_leader), REQUEST_CANCEL, first[0]);
    combined_run(world, 100);
    combined_kill_leader(world);
    combined_cancel(world, combined_other_node(world, old_leader), first[1]);
    combined_run(world, 4000);
    world->workers[0].unreachable = world->workers[1].unreachable =
        false; /* these continue within their lease */
    combined_run(world, 3000);
    world_start(world, old_leader);
    combined_run(world, 30000);
    for (int t = 0; t < 2; t++)
        combined_expect_active_tasks(world, first[t], 0);
    combined_expect_recovery(world);
}

/* The leader changes and changes back, then all nodes stop and only one returns, all within about a
 * second. That node must lead on its own and keep all tasks running. */
static void one_node_continues_when_all_nodes_stop(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4),
                    *array = combined_submit(world, 1, "wk-2", "sweep", 4);
    struct user_job *cancelled = combined_submit(world, 1, "wk-3", "daemon", 4);
    combined_run(world, 5000);
    int starts = world_count_task_starts(world);
    for (int round = 0; round < 3; round++) {
        int old_leader = combined_kill_leader(world); /* the leader changes and changes back */
        combined_run(world, 300);
        world_start(world, old_leader);
        combined_run(world, 300);
        if (world_get_leader_index(world) >= 0) {
            old_leader = combined_kill_leader(world);
            combined_run(world, 200);
            world_start(world, old_leader);
        }
        combined_run(world, 300);
        if (round == 1)
            combined_cancel(world, round, cancelled);
        for (int i = 0; i < WORLD_NODES; i++)
            world_kill(world, i);
        combined_run(world, 200 + 300 * round);
        world_start(world, round);
        combined_run(world, 9000);
        assert_int_equal(world_get_leader_index(world), round);
        combined_expect_active_tasks(world, service, 4);
        combined_expect_active_tasks(world, array, 4);
        assert_int_equal(world_count_task_starts(world), starts);
        for (int i = 0; i < WORLD_NODES; i++)
            if (!world->nodes[i])
                world_start(world, i);
        combined_run(world, 3000);
    }
    combined_expect_active_tasks(world, cancelled, 0);
    combined_expect_recovery(world);
}

/* Returns copies of all heartbeats that the workers from..to-1 have sent. */
static GPtrArray *copy_sent_heartbeats(struct world *world, int from, int to)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);
    for (int i = from; i < to; i++)
        for (guint n = 0; n < world->workers[i].sent_heartbeats->len; n++)
            g_ptr_array_add(copies, g_strdup(world->workers[i].sent_heartbeats->pdata[n]));
    return copies;
}

/* Sends the heartbeats again to every node that is up. */
static void replay_heartbeats(struct world *world, const GPtrArray *heartbeats)
{
    for (guint n = 0; n < heartbeats->len; n++)
        for (int node = 0; node < WORLD_NODES; node++)
            if (world->nodes[node])
                world_replay_heartbeat(world, node, heartbeats->pdata[n]);
}

/* Sets whether the workers from..to-1 are unreachable. */
static void set_unreachable(struct world *world, int from, int to, bool unreachable)
{
    for (int i = from; i < to; i++)
        world->workers[i].unreachable = unreachable;
}

/* Runs the world until there is a leader, for at most that many steps. */
static void wait_for_leader(struct world *world, int max_steps)
{
    for (int i = 0; i < max_steps && world_get_leader_index(world) < 0; i++)
        combined_run(world, COMBINED_CHECK_INTERVAL_MS);
}

/* Old heartbeats, also from an earlier session or attempt, reach every node when a new leader has
 * just been elected, and again after newer ones. Those sent before the tasks started lack them, and
 * must not be taken as proof that the tasks are gone. */
static void old_heartbeats_at_a_new_leader_free_no_task(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    for (int i = 4; i < 8; i++)
        worker_start_session(&world->workers[i], false);
    combined_run(world, 3000);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 6);
    combined_run(world, 4000);
    combined_expect_active_tasks(world, service, 6);
    GPtrArray *old_heartbeats = copy_sent_heartbeats(world, 4, 8);
    int starts = world_count_task_starts(world);
    for (int round = 0; round < 3; round++) {
        int old_leader = combined_kill_leader(world);
        assert_true(old_heartbeats->len > 10);
        set_unreachable(world, 4, 8, true); /* the copies arrive before current heartbeats */
        wait_for_leader(world, 500);
        for (int ms = 0; ms < 2000; ms += 100) {
            replay_heartbeats(world, old_heartbeats);
            combined_run(world, 100);
        }
        set_unreachable(world, 4, 8, false);
        combined_run(world, 2000);
        replay_heartbeats(world, old_heartbeats); /* and after newer heartbeats */
        combined_run(world, 6000);
        world_start(world, old_leader);
        combined_run(world, 4000);
        combined_expect_active_tasks(world, service, 6);
        assert_int_equal(world_count_task_starts(world), starts);
    }
    g_ptr_array_unref(old_heartbeats);
    combined_expect_recovery(world);
}

static int refused_node = -1;

/* Refuses requests of one node to the state service. */
static enum request_fault refuse_state_requests_of_node(struct world *world, int node,
                                                        const struct http_client_request *request)
{
    (void)world;
    return node == refused_node && request_is_to_state(request) ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/* Stops the leader and starts it again. */
static void restart_leader(struct world *world, int leader)
{
    combined_kill_leader(world);
    combined_run(world, 1500);
    world_start(world, leader);
}

/* Lets the state service refuse requests of the leader only. */
static void refuse_state_requests_of_leader(struct world *world, int leader)
{
    refused_node = leader;
    world->inject_fault = refuse_state_requests_of_node;
    combined_run(world, 6000);
}

/* Stops the leader and starts it again during an outage of the state service. */
static void restart_leader_in_outage(struct world *world, int leader)
{
    world->state_down = true;
    combined_run(world, 1500);
    combined_kill_leader(world);
    combined_run(world, 2500);
    world_start(world, leader);
    combined_run(world, 1000);
    world->state_down = false;
}

/* The leader changes ten times within two minutes: it restarts, is refused by the state service, or
 * restarts during an outage. Jobs that are submitted, cancelled and completed meanwhile must be
 * handled by the next leader, and the service must keep running. */
static void tasks_survive_ten_leader_changes_in_two_minutes(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 3, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4), *previous_job = NULL;
    combined_run(world, 4000);
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    for (int round = 0; round < 10; round++) {
        wait_for_leader(world, 200);
        int old_leader = world_get_leader_index(world);
        assert_true(old_leader >= 0);
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        struct user_job *job =
            combined_submit(world, combined_other_node(world, old_leader), id, "sweep", 3);
        static void (*const failures[])(struct world *, int) = {
            restart_leader, refuse_state_requests_of_leader, restart_leader_in_outage};
        failures[round % 3](world, old_leader);
        combined_run(world, 2000);
        if (previous_job && round % 2)
            combined_cancel(world, combined_other_node(world, old_leader), previous_job);
        else if (previous_job)
            combined_complete_job(world, previous_job);
        combined_run(world, 1500);
        world->inject_fault = NULL;
        combined_run(world, 1500);
        previous_job = job;
    }
    assert_true(world->nodes[0]->replica->shard_map_epoch.value >= epoch + 10);
    combined_run(world, 10000);
    combined_expect_active_tasks(world, service, 4);
    assert_int_equal(combined_count_active_tasks(world, previous_job), 3);
    combined_expect_recovery(world);
}

/* All nodes are down for longer than lease_s, so all leases expire and all tasks are lost. Every
 * task must start again once, and a job that was cancelled just before must not. */
static void tasks_restart_once_when_all_nodes_are_down_longer_than_a_lease(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4),
                    *cancelled = combined_submit(world, 1, "wk-2", "sweep", 4);
    combined_run(world, 4000);
    int starts = world_count_task_starts(world);
    user_job_send_request(world, 0, REQUEST_CANCEL,
                          cancelled); /* recorded, but no node is left to act on it */
    combined_run(world, 20);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    combined_run(world, 8000); /* two machines hang when their leases expire */
    world->workers[4].unreachable = world->workers[5].unreachable = true;
    combined_run(world, 5000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    combined_run(world, 2000);
    world->workers[4].unreachable = world->workers[5].unreachable = false;
    combined_run(world, 15000);
    combined_expect_active_tasks(world, service, 4);
    combined_cancel(world, 2, cancelled);
    combined_run(world, 5000);
    combined_expect_active_tasks(world, cancelled, 0);
    assert_in_range(world_count_task_starts(world), starts + 4, starts + 8);
    combined_expect_recovery(world);
}

/* Jobs are cancelled in the seconds in which the machines of one node change owner: because the
 * node restarts, or because it is excluded from the shard map for a while. No task of a cancelled
 * job may be left on a machine that changed owner. */
static void jobs_are_cancelled_while_machines_change_owner(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 2, 8, false);
    for (int round = 0; round < 3; round++) {
        struct user_job *jobs[10];
        for (int n = 0; n < 10; n++) {
            char id[16];
            g_snprintf(id, sizeof id, "wk-%d%d", round, n);
            jobs[n] = user_job_add(id, "daemon", 2, "blue", 1.0);
            user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, jobs[n]);
        }
        combined_run(world, 5000);
        int leader = world_get_leader_index(world), other = combined_other_node(world, leader);
        int removed_node = round == 1 ? leader : other;
        if (round == 2)
            membership_exclude_node(world->nodes[leader]->membership,
                                    world->nodes[removed_node]->settings->label, 3000);
        else
            world_kill(world, removed_node);
        for (int n = 0; n < 10; n++) {
            user_job_send_request(world, combined_other_node(world, removed_node), REQUEST_CANCEL,
                                  jobs[n]);
            combined_run(world, 600);
        }
        if (round < 2)
            world_start(world, removed_node);
        for (int n = 0; n < 10; n++) /* repeats cancellations that got no response */
            combined_cancel(world, removed_node, jobs[n]);
        combined_run(world, 15000);
        for (int n = 0; n < 10; n++)
            combined_expect_active_tasks(world, jobs[n], 0);
    }
    combined_expect_recovery(world);
}

/* Tasks of a job complete at long intervals, with a change of leader in between, and once with a
 * restart of all nodes. A completed task must stay completed and not start again. */
static void completed_tasks_stay_completed_across_leader_changes(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *jobs[6];
    for (int n = 0; n < 6; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", n);
        jobs[n] = combined_submit(world, n % WORLD_NODES, id, "sweep", 2 + n % 2);
    }
    combined_run(world, 4000);
    int starts = world_count_task_starts(world);
    for (uint32_t t = 0; t < 3; t++) {
        for (int n = 0; n < 6; n++)
            if ((int)t < jobs[n]->tasks)
                assert_true(combined_complete_task(world, jobs[n], t));
        combined_run(world, t == 1 ? 60 : 4000); /* also while the completion is being recorded */
        for (int n = 0; n < 6; n++)
            user_job_send_request(world, n % WORLD_NODES, REQUEST_POLL, jobs[n]);
        int old_leader = combined_kill_leader(world);
        combined_run(world, 8000);
        world_start(world, old_leader);
        combined_run(world, 2000);
        for (int i = 0; t == 1 && i < WORLD_NODES; i++) { /* so that no node has it in memory */
            world_kill(world, i);
            world_start(world, i);
        }
        combined_run(world, 5000);
    }
    for (int n = 0; n < 6; n++) {
        combined_request(world, n % WORLD_NODES, REQUEST_POLL, jobs[n]);
        assert_int_equal(jobs[n]->reported, REPORTED_DONE);
    }
    assert_int_equal(world_count_task_starts(world), starts);
    combined_expect_recovery(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(teams_stay_within_limits_across_a_leader_change,
                                        combined_setup_small_teams, combined_teardown),
        COMBINED_TEST(one_node_continues_when_all_nodes_stop),
        COMBINED_TEST(old_heartbeats_at_a_new_leader_free_no_task),
        COMBINED_TEST(tasks_survive_ten_leader_changes_in_two_minutes),
        COMBINED_TEST(tasks_restart_once_when_all_nodes_are_down_longer_than_a_lease),
        COMBINED_TEST(jobs_are_cancelled_while_machines_change_owner),
        COMBINED_TEST(completed_tasks_stay_completed_across_leader_changes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
