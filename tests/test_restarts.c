/**
 * Tests of nodes and workers that restart immediately, while messages of their earlier processes
 * arrive late.
 */
#include "trouble_fixtures.h"

#include <string.h>

static bool refuse_page_writes;

/* Refuses writes of run record pages while refuse_page_writes is set, and loses responses to
 * commands. */
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

/* A worker begins a new session, and the epoch is raised before the end of its task is recorded.
 * The task is then still on record, and its command is sent again in the new session. A heartbeat
 * from before that, which lacks the task, must not be taken as proof that the task is gone. */
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
    uint64_t late_sequence = ++worker->sequence; /* the number of a heartbeat in transit */
    worker->heartbeats_paused_until = (mono_time){0};
    world_run(world, 2500); /* the next heartbeat gets wk-1's command again */
    assert_non_null(worker_find_task(worker, "wk-1", 0));
    char sequence_json[32], late_sequence_json[32];
    g_snprintf(sequence_json, sizeof sequence_json, "\"Tally\":%" G_GUINT64_FORMAT, sequence);
    g_snprintf(late_sequence_json, sizeof late_sequence_json, "\"Tally\":%" G_GUINT64_FORMAT,
               late_sequence);
    char *late_heartbeat = world_replace_string(heartbeat, sequence_json, late_sequence_json);
    world_add_worker(world, 3, "a", true); /* where wk-1 would be started a second time */
    world_replay_heartbeat(world, owner, late_heartbeat);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    g_free(late_heartbeat);
    g_free(heartbeat);
}

static int restarted_node;
static bool holding_requests;

/* Holds back all requests of the restarted node except watches, while holding_requests is set. */
static enum request_fault hold_requests_of_restarted_node(struct world *world, int node,
                                                          const struct http_client_request *request)
{
    (void)world;
    return holding_requests && node == restarted_node && !g_str_has_prefix(request->path, "/watch")
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* The leader crashes while all its requests are in transit, restarts, crashes and restarts again;
 * then all requests of its earlier processes arrive. They must not take effect. */
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
            world_run(world, again ? 5000 : 900); /* the second crash falls into an election */
        }
        world_deliver_held_requests(world);
        world_run(world, 9000);
        assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
        assert_int_equal(world_count_active_tasks(world, id), 3);
    }
    assert_true(world->rented_count <= 6);
}

/* Holds back transactions of the restarted node while holding_requests is set. */
static enum request_fault hold_txns_of_restarted_node(struct world *world, int node,
                                                      const struct http_client_request *request)
{
    (void)world;
    return holding_requests && node == restarted_node && strcmp(request->path, "/txn") == 0
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* Run records that a dead process wrote arrive after its successor has written others under the
 * same keys. They must be rejected: the transactions are conditional on the node key of the
 * process, and on the shard map and record pages that it had read. */
static void delayed_run_records_of_a_dead_process_are_rejected(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 3; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 4000);
    world_submit(world, 0, "wk-0", "sweep", 20); /* creates the machines' own records */
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-0"), 20);
    world_exit_tasks_of_job(world, "wk-0", "done");
    world_run(world, 4000);
    restarted_node = shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->inject_fault = hold_txns_of_restarted_node;
    holding_requests = true;
    assert_int_equal(world_submit(world, (restarted_node + 1) % 3, "wk-1", "sweep", 20).status,
                     201);
    world_run(world, 1500); /* the switch rule delays the tasks for a moment */
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

/* All nodes restart at once, repeatedly and with different delays. The tasks must keep running, and
 * none may be started again. */
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

/* A worker restarts and counts its sessions from one again, lower than before. Its heartbeats
 * cannot be distinguished from old duplicates, but its responses can, so its new session must be
 * recognized and its tasks started again. */
static void a_worker_whose_session_count_restarts_is_recognized(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 4);
    world_run(world, 5000);
    worker_start_session(worker, true);
    world_run(world, 7000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_true(worker->session == 1); /* recognized before its lease expired */
}

/* A machine that hung begins a new session before any node has missed it. Its tasks are lost and
 * must be started again at once. */
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
