/**
 * Tests of machines that restart and are back at once, under the same name and address. The new
 * agent counts its sessions and heartbeats from the start, has seen no token and has no tasks,
 * while late messages from before the restart still arrive.
 */
#include "shard_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

static int find_owner(struct world *world, const struct worker *worker)
{
    int node = world->nodes[0] ? 0 : 1;
    return shard_map_get_owner(world->nodes[node]->replica, worker->id)[5] - '0';
}

/** Brings up two machines whose agents are in their second session, and returns one of them. */
static struct worker *add_machines_in_second_session(struct world *world)
{
    add_two_on_demand_machines(world);
    for (int i = 6; i < WORLD_WORKERS; i++)
        worker_start_session(&world->workers[i], false);
    world_run(world, 3000);
    return &world->workers[6];
}

static char *copy_last_heartbeat(const struct worker *worker)
{
    return g_strdup(worker->sent_heartbeats->pdata[worker->sent_heartbeats->len - 1]);
}

/** Starts a job with a task on each of two machines. */
static void start_job_on_both_machines(struct world *world, const char *job)
{
    char *body = world_format_job(job, "sweep", 2, "blue", 8.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(body);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, job), 2);
}

/** Restarts a machine whose agent is in its second session, and then starts the job wk-1 there.
 * Returns its worker, and a copy of its last heartbeat from before the restart. */
static struct worker *run_job_on_restarted_machine(struct world *world, char **heartbeat)
{
    struct worker *worker = add_machines_in_second_session(world);
    *heartbeat = copy_last_heartbeat(worker);
    worker_start_session(worker, true);
    world_run(world, 3000);
    start_job_on_both_machines(world, "wk-1");
    return worker;
}

/** Delivers a copy of a heartbeat several times, and checks that no task is started again
 * although there is a machine for it. */
static void assert_copies_end_no_run(struct world *world, struct worker *worker,
                                     const char *heartbeat)
{
    int starts = world_count_task_starts(world);
    world_add_worker(world, 5, "a", false);
    world_run(world, 2000);
    for (int i = 0; i < 3; i++) {
        world_replay_heartbeat(world, find_owner(world, worker), heartbeat);
        world_run(world, 4000);
    }
    assert_int_equal(world_count_task_starts(world), starts);
}

/* Guards against a late copy of a heartbeat from before a restart that is taken for the newest one,
 * as its session is higher, and ends a run that goes on (review/3). */
static void check_copy_from_before_a_restart(struct world *world)
{
    char *heartbeat;
    struct worker *worker = run_job_on_restarted_machine(world, &heartbeat);
    assert_copies_end_no_run(world, worker, heartbeat);
    g_free(heartbeat);
}

static void a_copy_from_before_a_restart_ends_no_run(void **state)
{
    check_copy_from_before_a_restart(*state);
}

/* Guards against the same copy beside a node of an earlier version, so that only a new epoch raises
 * the token. */
static void without_serials_a_copy_from_before_a_restart_ends_no_run(void **state)
{
    (void)state;
    struct world *world = world_new_with_old_node();
    check_copy_from_before_a_restart(world);
    world_end(world);
}

/* Guards against the same copy after the epoch has changed. */
static void a_copy_from_before_a_restart_ends_no_run_in_a_later_epoch(void **state)
{
    struct world *world = *state;
    char *heartbeat;
    struct worker *worker = run_job_on_restarted_machine(world, &heartbeat);
    membership_raise_epoch(world_get_leader(world)->membership, "test");
    world_run(world, 3000);
    assert_copies_end_no_run(world, worker, heartbeat);
    g_free(heartbeat);
}

/* Guards against the same copy at a new owner, which did not see the restart. */
static void a_copy_from_before_a_restart_ends_no_run_at_a_new_owner(void **state)
{
    struct world *world = *state;
    char *heartbeat;
    struct worker *worker = run_job_on_restarted_machine(world, &heartbeat);
    world_kill(world, find_owner(world, worker));
    world_run(world, 9000);
    assert_copies_end_no_run(world, worker, heartbeat);
    g_free(heartbeat);
}

/* Guards against the same copy if nothing but the forgotten token shows the restart: the new
 * agent's counters are past the known ones when it is first heard. */
static void a_restart_is_recognized_by_a_forgotten_token(void **state)
{
    struct world *world = *state;
    struct worker *worker = add_machines_in_second_session(world);
    char *heartbeat = copy_last_heartbeat(worker);
    uint64_t sequence = worker->sequence;
    worker_start_session(worker, true);
    worker->session = 2;
    worker->sequence = sequence + 20;
    world_run(world, 3000);
    start_job_on_both_machines(world, "wk-1");
    char late_json[32], known_json[32];
    g_snprintf(known_json, sizeof known_json, "\"Tally\":%" G_GUINT64_FORMAT, sequence);
    g_snprintf(late_json, sizeof late_json, "\"Tally\":%" G_GUINT64_FORMAT, sequence + 1000);
    char *late = world_replace_string(heartbeat, known_json, late_json),
         *late_session = world_replace_string(late, "\"Shift\":2", "\"Shift\":3");
    assert_copies_end_no_run(world, worker, late_session);
    g_free(late_session);
    g_free(late);
    g_free(heartbeat);
}

/** The address to which the last commands were pushed. */
static const char *pushed_to;

static enum request_fault note_pushed_commands(struct world *world, int node,
                                               const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (strcmp(request->path, "/commands") == 0)
        pushed_to = request->address;
    return FAULT_NONE;
}

/* Guards against a restarted node that acts as the owner in the epoch of its predecessor, which is
 * dead: copies from that epoch look trustworthy to it, and end runs that go on. */
static void a_restarted_node_trusts_no_copies_from_the_epoch_of_its_predecessor(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    struct worker *worker = &world->workers[6];
    char *first_session = copy_last_heartbeat(worker);
    worker_start_session(worker, false);
    world_run(world, 3000);
    char *second_session = copy_last_heartbeat(worker);
    start_job_on_both_machines(world, "wk-1");
    world_add_worker(world, 5, "a", false);
    world_run(world, 2000);
    int starts = world_count_task_starts(world), owner = find_owner(world, worker);
    worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), 3000);
    world_kill(world, owner);
    world_run(world, 100);
    world_start(world, owner);
    /* The first copy arrives as soon as the node has read the keys, the second one while the
     * command that follows from the first is on its way. */
    pushed_to = NULL;
    world->inject_fault = note_pushed_commands;
    const GHashTable *machines = world->nodes[owner]->shard->machines;
    for (int ms = 0; ms < 3000 && !pushed_to; ms++) {
        if (!g_hash_table_lookup((GHashTable *)machines, worker->id))
            world_replay_heartbeat(world, owner, first_session);
        world_run(world, 1);
    }
    world_replay_heartbeat(world, owner, second_session);
    world_run(world, 8000);
    assert_int_equal(world_count_task_starts(world), starts);
    g_free(first_session);
    g_free(second_session);
}

/* Guards against a restarted machine whose heartbeats are never trusted again. */
static void a_restarted_machine_gets_tasks_soon(void **state)
{
    struct world *world = *state;
    struct worker *worker = add_machines_in_second_session(world);
    for (int i = 0; i < 3; i++) {
        worker_start_session(worker, true);
        world_run(world, 4000);
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", i);
        start_job_on_both_machines(world, id);
        world_exit_tasks_of_job(world, id, "done");
        world_run(world, 4000);
        world_expect_stage(world, 0, id, "done");
        assert_int_equal(worker->tasks->len, 0);
    }
}

/* Guards against a held-up command that starts an old attempt after its machine has restarted: the
 * released run was forgotten, and the token of the command was still valid (first entry of "Also
 * seen" in review/REPORT.md). */
static void a_delayed_command_starts_no_old_attempt_after_a_restart(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    world->inject_run_fault = repeat_run_commands;
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 1).status, 201);
    world_run(world, 4000);
    struct worker *worker = find_worker_of_task(world, "wk-1", 0);
    assert_non_null(worker);
    assert_true(world->held_requests->len > 0);
    world->inject_run_fault = NULL;
    worker_exit_task(worker, "wk-1", 0, "error");
    worker_send_heartbeat(worker);
    worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), 9000);
    world_run(world, 9000); /* the agent restarts before it is told to forget the attempt */
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    worker_start_session(worker, true);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 1000);
    assert_int_equal(world_count_task_starts(world), starts);
}

/** Runs the world while other jobs change, so that replicas are always up to date. */
static void run_with_changes(struct world *world, int64_t ms, struct worker *renewed)
{
    const int step_ms = 200;
    for (int64_t t = 0; t < ms; t += step_ms) {
        if (renewed)
            renewed->lease_start = loop_now(world->loop);
        world_put_job(world, "wk-9", "{\"f\":\"done\",\"n\":1}");
        world_run(world, step_ms);
    }
}

/* Guards against a lease that is taken for expired although this node has just renewed it: the
 * response went to a heartbeat that was not applied, as it showed a token of an earlier owner
 * (second entry of "Also seen" in review/REPORT.md). */
static void a_lease_renewed_for_an_unaccepted_heartbeat_has_not_expired(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 2);
    world_kill(world, find_owner(world, worker));
    worker->unreachable = true;
    /* An earlier owner that this machine alone reaches goes on renewing its lease. */
    run_with_changes(world, 34000, worker);
    worker->unreachable = false;
    worker->node = find_owner(world, worker);
    worker_send_heartbeat(worker);
    worker->unreachable = true;
    world_add_worker(world, 5, "a", false);
    int starts = world_count_task_starts(world);
    run_with_changes(world, 9000, NULL); /* the lease of 10 s runs */
    assert_int_equal(world_count_task_starts(world), starts);
    run_with_changes(world, 20000, NULL);
    assert_true(world_count_task_starts(world) > starts);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(a_copy_from_before_a_restart_ends_no_run),
        cmocka_unit_test(without_serials_a_copy_from_before_a_restart_ends_no_run),
        WORLD_TEST(a_copy_from_before_a_restart_ends_no_run_in_a_later_epoch),
        WORLD_TEST(a_copy_from_before_a_restart_ends_no_run_at_a_new_owner),
        WORLD_TEST(a_restart_is_recognized_by_a_forgotten_token),
        WORLD_TEST(a_restarted_node_trusts_no_copies_from_the_epoch_of_its_predecessor),
        WORLD_TEST_SETTLED(a_restarted_machine_gets_tasks_soon),
        WORLD_TEST(a_delayed_command_starts_no_old_attempt_after_a_restart),
        WORLD_TEST(a_lease_renewed_for_an_unaccepted_heartbeat_has_not_expired),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
