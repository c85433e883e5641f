/** Leader changes and restarts of nodes that coincide with other failures. See docs/safety.md. */
#include "combined_failures.h"

/* "A team is at its limit when the leader changes, some of its machines can't be asked, and a
 * cancellation falls into that spell", and with every team: "Every team is at its limit while jobs
 * are cancelled whose machines are cut off or hang, and the leader changes". */
static void full_teams_stay_within_limits_as_the_leader_changes(void **state)
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
    for (int i = 0; i < 4; i++) /* cut off, or hanging */
        world->workers[i].unreachable = true;
    int old = world_get_leader_index(world);
    user_job_send_request(world, combined_other_node(world, old), REQUEST_CANCEL, first[0]);
    combined_run(world, 100);
    combined_kill_leader(world);
    combined_cancel(world, combined_other_node(world, old), first[1]);
    combined_run(world, 4000);
    world->workers[0].unreachable = world->workers[1].unreachable =
        false; /* these go on within their lease */
    combined_run(world, 3000);
    world_start(world, old);
    combined_run(world, 30000);
    for (int t = 0; t < 2; t++)
        combined_expect_active_tasks(world, first[t], 0);
    combined_expect_recovery(world);
}

/* "Controllers hand over and back, all end, and one returns, also within a second". */
static void all_end_and_one_returns_within_a_second(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4),
                    *array = combined_submit(world, 1, "wk-2", "sweep", 4);
    struct user_job *upstream_cancelled = combined_submit(world, 1, "wk-3", "daemon", 4);
    combined_run(world, 5000);
    int starts = world_count_task_starts(world);
    for (int round = 0; round < 3; round++) {
        int old = combined_kill_leader(world); /* over and back */
        combined_run(world, 300);
        world_start(world, old);
        combined_run(world, 300);
        if (world_get_leader_index(world) >= 0) {
            old = combined_kill_leader(world);
            combined_run(world, 200);
            world_start(world, old);
        }
        combined_run(world, 300);
        if (round == 1)
            combined_cancel(world, round, upstream_cancelled);
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
    combined_expect_active_tasks(world, upstream_cancelled, 0);
    combined_expect_recovery(world);
}

/* Copies of all reports that the workers from..to-1 have sent. */
static GPtrArray *copy_reports(struct world *world, int from, int to)
{
    GPtrArray *old = g_ptr_array_new_with_free_func(g_free);
    for (int i = from; i < to; i++)
        for (guint n = 0; n < world->workers[i].sent_heartbeats->len; n++)
            g_ptr_array_add(old, g_strdup(world->workers[i].sent_heartbeats->pdata[n]));
    return old;
}

/* All copies arrive at every node that is up. */
static void repeat_reports(struct world *world, const GPtrArray *reports)
{
    for (guint n = 0; n < reports->len; n++)
        for (int node = 0; node < WORLD_NODES; node++)
            if (world->nodes[node])
                world_replay_heartbeat(world, node, reports->pdata[n]);
}

static void set_silent(struct world *world, int from, int to, bool silent)
{
    for (int i = from; i < to; i++)
        world->workers[i].unreachable = silent;
}

static void wait_for_leader(struct world *world, int max_steps)
{
    for (int i = 0; i < max_steps && world_get_leader_index(world) < 0; i++)
        combined_run(world, COMBINED_CHECK_INTERVAL_MS);
}

/* "An old report reaches every controller just as a new leader begins", "a report is held back
 * until a new leader has acted", and "an old report arrives after newer ones, also from an earlier
 * session or attempt": whatever was said before the tasks began would prove that they are gone. */
static void old_reports_as_a_new_leader_begins_free_nothing(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    for (int i = 4; i < 8; i++)
        worker_start_session(&world->workers[i], false);
    combined_run(world, 3000);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 6);
    combined_run(world, 4000);
    combined_expect_active_tasks(world, service, 6);
    GPtrArray *old = copy_reports(world, 4, 8);
    int starts = world_count_task_starts(world);
    for (int round = 0; round < 3; round++) {
        int gone = combined_kill_leader(world);
        assert_true(old->len > 10);
        set_silent(world, 4, 8, true); /* the copies come first */
        wait_for_leader(world, 500);
        for (int ms = 0; ms < 2000; ms += 100) {
            repeat_reports(world, old);
            combined_run(world, 100);
        }
        set_silent(world, 4, 8, false);
        combined_run(world, 2000);
        repeat_reports(world, old); /* and after newer ones */
        combined_run(world, 6000);
        world_start(world, gone);
        combined_run(world, 4000);
        combined_expect_active_tasks(world, service, 6);
        assert_int_equal(world_count_task_starts(world), starts);
    }
    g_ptr_array_unref(old);
    combined_expect_recovery(world);
}

static int cut_node = -1;
static enum request_fault cut_from_state(struct world *world, int node,
                                         const struct http_client_request *request)
{
    (void)world;
    return node == cut_node && request_is_to_state(request) ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/* The leader ends and is back. */
static void restart_leader(struct world *world, int leader)
{
    combined_kill_leader(world);
    combined_run(world, 1500);
    world_start(world, leader);
}

/* The state service refuses the leader alone. */
static void refuse_leader(struct world *world, int leader)
{
    cut_node = leader;
    world->inject_fault = cut_from_state;
    combined_run(world, 6000);
}

/* The leader ends while the state service serves nobody. */
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

/* "Leaders change ten times in two minutes, also inside an outage": they end and are back, the
 * state service refuses them alone, and they end while it serves nobody. */
static void leaders_change_ten_times_in_two_minutes(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 3, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4), *before = NULL;
    combined_run(world, 4000);
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    for (int round = 0; round < 10; round++) {
        wait_for_leader(world, 200);
        int old = world_get_leader_index(world);
        assert_true(old >= 0);
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        struct user_job *known =
            combined_submit(world, combined_other_node(world, old), id, "sweep", 3);
        static void (*const failures[])(struct world *, int) = {restart_leader, refuse_leader,
                                                                restart_leader_in_outage};
        failures[round % 3](world, old);
        combined_run(world, 2000);
        if (before && round % 2)
            combined_cancel(world, combined_other_node(world, old), before);
        else if (before)
            combined_complete_job(world, before);
        combined_run(world, 1500);
        world->inject_fault = NULL;
        combined_run(world, 1500);
        before = known;
    }
    assert_true(world->nodes[0]->replica->shard_map_epoch.value >= epoch + 10);
    combined_run(world, 10000);
    combined_expect_active_tasks(world, service, 4);
    assert_int_equal(combined_count_active_tasks(world, before), 3);
    combined_expect_recovery(world);
}

/* "All controllers are away for longer than `lease_s`": every task is lost, and starts again once.
 */
static void all_away_for_longer_than_a_lease(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 4),
                    *upstream_cancelled = combined_submit(world, 1, "wk-2", "sweep", 4);
    combined_run(world, 4000);
    int starts = world_count_task_starts(world);
    user_job_send_request(world, 0, REQUEST_CANCEL,
                          upstream_cancelled); /* it is on record, and nobody lives to act on it */
    combined_run(world, 20);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    combined_run(world, 8000); /* two machines hang as their lease ends */
    world->workers[4].unreachable = world->workers[5].unreachable = true;
    combined_run(world, 5000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    combined_run(world, 2000);
    world->workers[4].unreachable = world->workers[5].unreachable = false;
    combined_run(world, 15000);
    combined_expect_active_tasks(world, service, 4);
    combined_cancel(world, 2, upstream_cancelled);
    combined_run(world, 5000);
    combined_expect_active_tasks(world, upstream_cancelled, 0);
    assert_in_range(world_count_task_starts(world), starts + 4, starts + 8);
    combined_expect_recovery(world);
}

/* "Jobs are cancelled in the seconds in which one controller's work changes hands": as it ends, is
 * back, and is left out for a while. */
static void jobs_are_cancelled_as_work_changes_hands(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 2, 8, false);
    for (int round = 0; round < 3; round++) {
        struct user_job *mine[10];
        for (int n = 0; n < 10; n++) {
            char id[16];
            g_snprintf(id, sizeof id, "wk-%d%d", round, n);
            mine[n] = user_job_add(id, "daemon", 2, "blue", 1.0);
            user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, mine[n]);
        }
        combined_run(world, 5000);
        int leader = world_get_leader_index(world), other = combined_other_node(world, leader);
        int gone = round == 1 ? leader : other;
        if (round == 2)
            membership_exclude_node(world->nodes[leader]->membership,
                                    world->nodes[gone]->settings->label, 3000);
        else
            world_kill(world, gone);
        for (int n = 0; n < 10; n++) {
            user_job_send_request(world, combined_other_node(world, gone), REQUEST_CANCEL, mine[n]);
            combined_run(world, 600);
        }
        if (round < 2)
            world_start(world, gone);
        for (int n = 0; n < 10; n++) /* who was told nothing asks again */
            combined_cancel(world, gone, mine[n]);
        combined_run(world, 15000);
        for (int n = 0; n < 10; n++)
            combined_expect_active_tasks(world, mine[n], 0);
    }
    combined_expect_recovery(world);
}

/* "Jobs of two or three tasks end far apart across a change of leader": what is done stays done. */
static void tasks_end_far_apart_across_leaders(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *known[6];
    for (int n = 0; n < 6; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", n);
        known[n] = combined_submit(world, n % WORLD_NODES, id, "sweep", 2 + n % 2);
    }
    combined_run(world, 4000);
    int starts = world_count_task_starts(world);
    for (uint32_t t = 0; t < 3; t++) {
        for (int n = 0; n < 6; n++)
            if ((int)t < known[n]->tasks)
                assert_true(combined_complete_task(world, known[n], t));
        combined_run(world, t == 1 ? 60 : 4000); /* also as the mark is being written */
        for (int n = 0; n < 6; n++)
            user_job_send_request(world, n % WORLD_NODES, REQUEST_POLL, known[n]);
        int old = combined_kill_leader(world);
        combined_run(world, 8000);
        world_start(world, old);
        combined_run(world, 2000);
        for (int i = 0; t == 1 && i < WORLD_NODES; i++) { /* nobody remembers it then */
            world_kill(world, i);
            world_start(world, i);
        }
        combined_run(world, 5000);
    }
    for (int n = 0; n < 6; n++) {
        combined_request(world, n % WORLD_NODES, REQUEST_POLL, known[n]);
        assert_int_equal(known[n]->reported, REPORTED_DONE);
    }
    assert_int_equal(world_count_task_starts(world), starts);
    combined_expect_recovery(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(full_teams_stay_within_limits_as_the_leader_changes,
                                        combined_setup_small_teams, combined_teardown),
        COMBINED_TEST(all_end_and_one_returns_within_a_second),
        COMBINED_TEST(old_reports_as_a_new_leader_begins_free_nothing),
        COMBINED_TEST(leaders_change_ten_times_in_two_minutes),
        COMBINED_TEST(all_away_for_longer_than_a_lease),
        COMBINED_TEST(jobs_are_cancelled_as_work_changes_hands),
        COMBINED_TEST(tasks_end_far_apart_across_leaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
