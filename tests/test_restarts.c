/** Nodes and workers that restart at once, and what their earlier processes sent arriving late. */
#include "trouble_fixtures.h"

#include <string.h>

static bool refuse_pages;
static enum request_fault refuse_pages_lose_answers(struct world *world, int node,
                                                    const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (refuse_pages && strcmp(request->path, "/txn") == 0 &&
        strstr(request->body, "\"Set\":\"ll\\/p"))
        return FAULT_UNAVAILABLE;
    return strcmp(request->path, "/commands") == 0 ? FAULT_RESPONSE_LOST : FAULT_NONE;
}

/* A worker has a new session, and before the end of its task is on record there is a new epoch: the
 * task is on record still, and its command goes out once more, in that session. A report from
 * before, which lacks the task, is no proof that it is gone. */
static void a_report_from_before_the_second_start_frees_nothing(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *worker = world_add_worker(world, 2, "a", true);
    world_run(world, 2500);
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 4000);
    assert_int_equal(worker->tasks->len, 1);
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    refuse_pages = true;
    world->inject_fault = refuse_pages_lose_answers;
    worker_start_session(worker, false);
    worker_send_heartbeat(worker);
    worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), 2000);
    char *before = g_strdup(worker->sent_heartbeats->pdata[worker->sent_heartbeats->len - 1]);
    uint64_t sequence = worker->sequence;
    world_run(world, 50);
    membership_raise_epoch(world_get_leader(world)->membership, "test");
    world_run(world, 50);
    refuse_pages = false;
    uint64_t late_sequence = ++worker->sequence; /* of a report that is on its way now */
    world_submit(world, 0, "wk-2", "daemon", 1); /* with its command goes that of the first one */
    world_run(world, 800);
    assert_non_null(worker_find_task(worker, "wk-1", 0));
    char was[32], is[32];
    g_snprintf(was, sizeof was, "\"Tally\":%" G_GUINT64_FORMAT, sequence);
    g_snprintf(is, sizeof is, "\"Tally\":%" G_GUINT64_FORMAT, late_sequence);
    char *late = world_replace_string(before, was, is);
    world_add_worker(world, 3, "a", true); /* where it would be started too */
    world_replay_heartbeat(world, owner, late);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    g_free(late);
    g_free(before);
}

static int old_node;
static bool holding;
static enum request_fault hold_all_of_old(struct world *world, int node,
                                          const struct http_client_request *request)
{
    (void)world;
    return holding && node == old_node && !g_str_has_prefix(request->path, "/watch")
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/* The leader dies with everything it sent still on its way, is back within a moment, dies again and
 * is back again; then all that its earlier processes sent arrives. */
static void what_a_dead_process_sent_comes_late(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_run(world, 8000);
    for (int round = 0; round < 3; round++) {
        old_node = world_get_leader_index(world);
        world->inject_fault = hold_all_of_old;
        holding = true;
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        assert_int_equal(world_submit(world, (old_node + 1) % 3, id, "sweep", 3).status, 201);
        world_run(world, 700);
        for (int again = 0; again < 2; again++) {
            world_kill(world, old_node);
            world_run(world, 150);
            holding = false;
            world_start(world, old_node);
            world_run(world, again ? 5000 : 900); /* the second time in the middle of an election */
        }
        world_deliver_held_requests(world);
        world_run(world, 9000);
        assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
        assert_int_equal(world_count_active_tasks(world, id), 3);
    }
    assert_true(world->rented_count <= 6);
}

static enum request_fault hold_records_of_old(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    return holding && node == old_node && strcmp(request->path, "/txn") == 0 ? FAULT_REQUEST_HELD
                                                                             : FAULT_NONE;
}

/* Run records that a dead process wrote arrive when its successor has long written others under the
 * same keys: they are conditioned on its node key, on the map and on the pages as they were. */
static void late_records_of_a_dead_process_are_refused(void **state)
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
    old_node = shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->inject_fault = hold_records_of_old;
    holding = true;
    assert_int_equal(world_submit(world, (old_node + 1) % 3, "wk-1", "sweep", 20).status, 201);
    world_run(world, 1500); /* the switch rule keeps them back for a moment */
    assert_true(world->held_requests->len > 0);
    world_kill(world, old_node);
    world_run(world, 150);
    holding = false;
    world_start(world, old_node);
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

static void all_nodes_back_at_once_go_on(void **state)
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
static void a_worker_that_counts_anew_is_believed(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 4);
    world_run(world, 5000);
    worker_start_session(worker, true);
    world_run(world, 7000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_true(worker->session == 1); /* its lease did not have to run out first */
}

static void a_worker_back_with_a_new_session_lost_its_tasks(void **state)
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
        WORLD_TEST(a_report_from_before_the_second_start_frees_nothing),
        WORLD_TEST_SETTLED(what_a_dead_process_sent_comes_late),
        WORLD_TEST(late_records_of_a_dead_process_are_refused),
        WORLD_TEST_SETTLED(all_nodes_back_at_once_go_on),
        WORLD_TEST_SETTLED(a_worker_that_counts_anew_is_believed),
        WORLD_TEST_SETTLED(a_worker_back_with_a_new_session_lost_its_tasks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
