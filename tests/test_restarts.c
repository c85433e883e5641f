/** Nodes and workers that restart at once, and what their earlier processes sent arriving late. */
#include "trouble_fixtures.h"

#include <string.h>

static bool refuse_page_writes;
static enum request_fault
refuse_page_writes_and_lose_command_responses(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (refuse_page_writes && strcmp(request->path, "/txn") == 0 &&
        strstr(request->body, "\"Set\":\"ll\\/p"))
        return FAULT_UNAVAILABLE;
    return strcmp(request->path, "/commands") == 0 ? FAULT_RESPONSE_LOST : FAULT_NONE;
}

/* A worker has a new session, and before the end of its task is on record there is a new epoch: the
 * task is on record still, and its command goes out once more, in that session. A report from
 * before, which lacks the task, is no proof that it is gone. */
static void a_heartbeat_from_before_a_task_restart_does_not_free_the_task(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *worker = world_add_worker(world, 2, "a", true);
    world_run(world, 2500);
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 4000);
    assert_int_equal(worker->tasks->len, 1);
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    refuse_page_writes = true;
    world->inject_fault = refuse_page_writes_and_lose_command_responses;
    worker_start_session(worker, false);
    worker_send_heartbeat(worker);
    worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), 2000);
    char *heartbeat = g_strdup(worker->sent_heartbeats->pdata[worker->sent_heartbeats->len - 1]);
    uint64_t sequence = worker->sequence;
    world_run(world, 50);
    membership_raise_epoch(world_get_leader(world)->membership, "test");
    world_run(world, 50);
    refuse_page_writes = false;
    uint64_t late_sequence = ++worker->sequence; /* of a report that is on its way now */
    world_submit(world, 0, "wk-2", "daemon", 1); /* with its command goes that of the first one */
    world_run(world, 800);
    assert_non_null(worker_find_task(worker, "wk-1", 0));
    char sequence_json[32], late_sequence_json[32];
    g_snprintf(sequence_json, sizeof sequence_json, "\"Tally\":%" G_GUINT64_FORMAT, sequence);
    g_snprintf(late_sequence_json, sizeof late_sequence_json, "\"Tally\":%" G_GUINT64_FORMAT,
               late_sequence);
    char *late_heartbeat = world_replace_string(heartbeat, sequence_json, late_sequence_json);
    world_add_worker(world, 3, "a", true); /* where it would be started too */
    world_replay_heartbeat(world, owner, late_heartbeat);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    g_free(late_heartbeat);
    g_free(heartbeat);
}

static int restarted_node;
static bool holding_requests;
static enum request_fault hold_requests_of_restarted_node(struct world *world, int node,
                                                          const struct http_client_request *request)
{
    (void)world;
    return holding_requests && node == restarted_node && !g_str_has_prefix(request->path, "/watch")
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* The leader dies with everything it sent still on its way, is back within a moment, dies again and
 * is back again; then all that its earlier processes sent arrives. */
static void delayed_requests_of_a_dead_process_break_no_invariant(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_run(world, 8000);
    for (int round = 0; round < 3; round++) {
        restarted_node = world_get_leader_index(world);
        world->inject_fault = hold_requests_of_restarted_node;
        holding_requests = true;
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        assert_int_equal(world_submit(world, (restarted_node + 1) % 3, id, "sweep", 3).status, 201);
        world_run(world, 700);
        for (int again = 0; again < 2; again++) {
            world_kill(world, restarted_node);
            world_run(world, 150);
            holding_requests = false;
            world_start(world, restarted_node);
            world_run(world, again ? 5000 : 900); /* the second time in the middle of an election */
        }
        world_deliver_held_requests(world);
        world_run(world, 9000);
        assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
        assert_int_equal(world_count_active_tasks(world, id), 3);
    }
    assert_true(world->rented_count <= 6);
}

static enum request_fault hold_txns_of_restarted_node(struct world *world, int node,
                                                      const struct http_client_request *request)
{
    (void)world;
    return holding_requests && node == restarted_node && strcmp(request->path, "/txn") == 0
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* Run records that a dead process wrote arrive when its successor has long written others under the
 * same keys: they are conditioned on its node key, on the map and on the pages as they were. */
static void delayed_run_records_of_a_dead_process_are_rejected(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 3; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 4000);
    world_submit(world, 0, "wk-0", "sweep", 20); /* the machines' own records are there already */
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-0"), 20);
    world_exit_tasks_of_job(world, "wk-0", "done");
    world_run(world, 4000);
    restarted_node = shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->inject_fault = hold_txns_of_restarted_node;
    holding_requests = true;
    assert_int_equal(world_submit(world, (restarted_node + 1) % 3, "wk-1", "sweep", 20).status,
                     201);
    world_run(world, 1500); /* the switch rule keeps them back for a moment */
    assert_true(world->held_requests->len > 0);
    world_kill(world, restarted_node);
    world_run(world, 150);
    holding_requests = false;
    world_start(world, restarted_node);
    world_run(world, 9000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 20);
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 9000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 20);
    assert_int_equal(world_count_task_starts(world), starts);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 4000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_expect_stage(world, i, "wk-1", "done");
}

static void tasks_continue_when_all_nodes_restart_at_once(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_submit(world, 0, "wk-2", "sweep", 4);
    world_run(world, 8000);
    int starts = world_count_task_starts(world);
    for (int round = 0; round < 4; round++) {
        for (int i = 0; i < WORLD_NODES; i++)
            world_kill(world, i);
        world_run(world, INT64_C(100) * round);
        for (int i = 0; i < WORLD_NODES; i++)
            world_start(world, i);
        world_run(world, 500 + 900 * round);
    }
    world_run(world, 4000);
    assert_int_equal(world_count_task_starts(world), starts);
    for (int i = 0; i < WORLD_NODES; i++) {
        world_expect_stage(world, i, "wk-1", "running");
        world_expect_stage(world, i, "wk-2", "running");
    }
}

/* The same, but its sessions are counted from one again, with lower numbers than before. Its
 * reports cannot be told from old copies; its answer can. */
static void a_worker_whose_session_count_restarts_is_recognized(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 4);
    world_run(world, 5000);
    worker_start_session(worker, true);
    world_run(world, 7000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_true(worker->session == 1); /* its lease did not have to run out first */
}

static void tasks_restart_after_a_worker_starts_a_new_session(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 4);
    worker_start_session(worker, false);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(a_heartbeat_from_before_a_task_restart_does_not_free_the_task),
        WORLD_TEST_SETTLED(delayed_requests_of_a_dead_process_break_no_invariant),
        WORLD_TEST(delayed_run_records_of_a_dead_process_are_rejected),
        WORLD_TEST_SETTLED(tasks_continue_when_all_nodes_restart_at_once),
        WORLD_TEST_SETTLED(a_worker_whose_session_count_restarts_is_recognized),
        WORLD_TEST_SETTLED(tasks_restart_after_a_worker_starts_a_new_session),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
