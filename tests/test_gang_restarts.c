/**
 * Tests of gangs that lose tasks and restart with a new attempt, gangs that save their progress,
 * gangs whose leader or nodes die, and commands of old attempts that arrive late.
 */
#include "gang_fixtures.h"
#include "trouble_fixtures.h"

#include <stdio.h>

/* ---- restarts after lost tasks ---- */

/**
 * Runs the world for the given time and fails unless all tasks of the gang run with a newer attempt
 * at the end. Until then, no task of the new attempt may be on a machine while a run record of the
 * old attempt exists.
 */
static void expect_restart_with_new_attempt(struct world *world, const char *job, uint32_t tasks,
                                            uint64_t old_attempt, int64_t ms)
{
    bool seen_old_record = false;
    for (int64_t t = 0; t < ms; t += 5) {
        world_run(world, 5);
        if (!count_run_records(world, 0, job, old_attempt))
            continue;
        seen_old_record = true;
        assert_int_equal(world_count_active_tasks(world, job),
                         count_tasks_of_attempt(world, job, old_attempt));
    }
    assert_true(seen_old_record);
    assert_true(expect_gang_running(world, job, tasks) > old_attempt);
    assert_int_equal(world_count_gang_starts(world, job), 2);
    assert_int_equal(world_count_task_starts(world),
                     2 * tasks); /* no task was restarted alone with the old attempt */
}

/**
 * Adds five machines and starts the gang wk-1, whose four tasks take a machine each. Returns its
 * attempt.
 */
static uint64_t start_gang_on_four_machines(struct world *world)
{
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 5000);
    return expect_gang_running(world, "wk-1", 4);
}

/**
 * A task fails while the machine of another task is unreachable. The gang must not restart before
 * it is proven that the other task has ended.
 */
static void gang_restarts_only_after_the_end_of_all_its_tasks_is_proven(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_on_four_machines(world);
    struct worker *unreachable_worker = find_worker_with_task(world, "wk-1", 2);
    unreachable_worker->unreachable = true;
    worker_exit_task(find_worker_with_task(world, "wk-1", 1), "wk-1", 1, "error");
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    expect_restart_with_new_attempt(world, "wk-1", 4, old_attempt, 40000);
    complete_gang(world, "wk-1");
}

/** Messages counted by count_stop_messages(). */
static int stop_message_count;

/**
 * A request_fault_fn that counts the messages by which the leader has tasks on the machines of
 * other nodes stopped. No request fails.
 */
static enum request_fault count_stop_messages(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (strcmp(request->path, "/bus/deal") == 0 && request->body &&
        strstr(request->body, "\"halt\":["))
        stop_message_count++;
    return FAULT_NONE;
}

/**
 * One task of a gang is lost, and the machine of the other one is unreachable. The leader must not
 * send its stop message again in each pass until the expiry of the lease proves the end of the
 * other task.
 */
static void failed_gang_is_stopped_with_a_single_message(void **state)
{
    struct world *world = prepare_gang_world(state);
    add_machine_not_owned_by_leader(world, 6, "a");
    add_machine_not_owned_by_leader(world, 7, "b");
    world_run(world, 3000);
    submit_job(world, "wk-1", "gang", "high", 2, 8.0);
    world_run(world, 5000);
    expect_gang_running(world, "wk-1", 2);
    world->workers[6].unreachable = world->workers[7].unreachable = true;
    world->cloud_down = true;
    worker_start_session(&world->workers[6], false);
    world->workers[6].unreachable = false;
    stop_message_count = 0;
    world->inject_fault = count_stop_messages;
    world_run(world, 8000); /* the lease is 10 s */
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 1);
    assert_int_equal(stop_message_count, 1);
    world_run(world, 8000);
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 0);
}

/** A worker loses its task because it starts a new session; the whole gang restarts. */
static void gang_restarts_when_a_worker_starts_a_new_session(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_on_four_machines(world);
    worker_start_session(find_worker_with_task(world, "wk-1", 3), false);
    expect_restart_with_new_attempt(world, "wk-1", 4, old_attempt, 25000);
    complete_gang(world, "wk-1");
}

/**
 * All tasks of a gang fail at almost the same time on several machines. This counts as one failed
 * attempt, so that the delay before the next one stays short.
 */
static void simultaneous_task_failures_count_as_one_failed_attempt(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 2; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 24, 2.0);
    world_run(world, 5000);
    expect_gang_running(world, "wk-1", 24);
    world_exit_tasks_of_job(world, "wk-1", "error");
    world_run(world, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0); /* the retry is delayed */
    world_run(world, 12000);
    expect_gang_running(world, "wk-1", 24);
}

/** Makes all running tasks on the first faulty_count workers fail. */
static void fail_tasks_on_first_workers(struct world *world, int faulty_count)
{
    for (int i = 0; i < faulty_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint t = 0; worker->up && t < worker->tasks->len; t++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, t);
            if (strcmp(task->stage, "running") == 0)
                worker_exit_task(worker, task->job.text, task->index, "error");
        }
    }
}

/**
 * Each attempt of a gang fails on one of several faulty machines. No other job can fail there,
 * because the gang takes whole machines. The gang must not be considered faulty itself, and has to
 * move to other machines.
 */
static void gang_moves_from_faulty_machines_to_others(void **state)
{
    enum { FAULTY_MACHINES = 3, DURATION_S = 40 };
    struct world *world = prepare_gang_world(state);
    for (int i = 0; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    for (int ms = 0; ms < DURATION_S * 1000; ms += 100) {
        fail_tasks_on_first_workers(world, FAULTY_MACHINES);
        world_run(world, 100);
    }
    expect_gang_running(world, "wk-1", 4);
}

/**
 * Tasks exit because their gang was not complete in time. This says nothing about their machines,
 * of which no others exist, so the gang has to start on them again.
 */
static void incomplete_gang_does_not_make_its_machines_faulty(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 5000);
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 4);
    world_exit_tasks_of_job(world, "wk-1", "incomplete");
    world_run(world, 4000);
    assert_true(expect_gang_running(world, "wk-1", 4) > old_attempt);
    assert_int_equal(world->returned_count, 0);
}

/** The worker that block_worker_at_first_start() has blocked. */
static struct worker *blocked_worker;

/**
 * A run_command_fault_fn: the first worker to which a start command is sent receives neither the
 * command nor anything after it.
 */
static enum run_command_fault
block_worker_at_first_start(struct world *world, const struct worker *worker, const char *response)
{
    (void)response;
    if (blocked_worker)
        return RUN_COMMANDS_DELIVERED;
    blocked_worker = g_hash_table_lookup(world->workers_by_address, worker->address);
    blocked_worker->inbound_blocked = true;
    return RUN_COMMANDS_HELD;
}

/**
 * A gang waits for its last task and loses another one. The other tasks have to be stopped at once
 * and must not wait for a task that cannot start any more.
 */
static void waiting_gang_is_stopped_at_once_when_it_loses_a_task(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    blocked_worker = NULL;
    world->inject_run_fault = block_worker_at_first_start;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 2000);
    assert_non_null(blocked_worker);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
    for (uint32_t i = 0; i < 4; i++)
        if (find_worker_with_task(world, "wk-1", i)) {
            worker_start_session(find_worker_with_task(world, "wk-1", i), false);
            break;
        }
    world_run(world, 10000); /* half of gang_wait_timeout_s */
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

/* ---- gangs that save their progress ---- */

/** Starts the gang wk-1 of three tasks that save their progress. Returns its attempt. */
static uint64_t start_gang_that_saves_progress(struct world *world)
{
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    char *job = world_format_job("wk-1", "gang", 3, "blue", 8.0, "");
    char *with_checkpoints = world_replace_string(job, "\"MarkEveryS\":0.0", "\"MarkEveryS\":5.0");
    char *body = world_replace_string(with_checkpoints, "\"StowS\":0.0", "\"StowS\":1.0");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(with_checkpoints);
    g_free(body);
    world_run(world, 5000);
    return expect_gang_running(world, "wk-1", 3);
}

/**
 * Sends a worker the command to stop a task of wk-1, with two seconds to save its progress. The
 * command carries the worker's current token, as one from a node does.
 */
static void stop_task_with_grace_period(struct world *world, uint32_t index, uint64_t attempt)
{
    struct worker *worker = find_worker_with_task(world, "wk-1", index);
    assert_non_null(worker);
    char *body = g_strdup_printf("{\"Helm\":%" G_GUINT64_FORMAT ",\"Shift\":%" G_GUINT64_FORMAT
                                 ",\"Orders\":[{\"Verb\":\"halt\",\"Piece\":\"wk-1/%u\","
                                 "\"Try\":%" G_GUINT64_FORMAT ",\"WindDownS\":2.0}]}",
                                 worker->token, worker->session, index, attempt);
    struct http_client_request request = {.address = worker->address,
                                          .method = "POST",
                                          .path = "/commands",
                                          .body = body,
                                          .body_bytes = strlen(body),
                                          .timeout_ms = 4000};
    world->http_clients[0].base.request(&world->http_clients[0].base, &request, NULL, NULL);
    g_free(body);
}

/**
 * All tasks are stopped within the time in which they wait for each other. The gang saves its
 * progress and continues with a new attempt.
 */
static void gang_stopped_as_a_whole_saves_progress_and_continues(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_that_saves_progress(world);
    for (uint32_t i = 0; i < 3; i++) {
        stop_task_with_grace_period(world, i, old_attempt);
        world_run(world, 300);
    }
    world_run(world, 8000);
    assert_int_equal(world_count_gang_saves(world, "wk-1"), 1);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/**
 * Only one task of a gang is stopped. The others exit, no progress is saved, and the gang restarts.
 */
static void gang_with_one_task_stopped_restarts_without_saving(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_that_saves_progress(world);
    stop_task_with_grace_period(world, 1, old_attempt);
    world_run(world, 3500);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old_attempt),
                     3); /* the task that has saved its progress waits for the others */
    world_run(world, 8000);
    assert_int_equal(world_count_gang_saves(world, "wk-1"), 0);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/* ---- nodes that die during a start or stop ---- */

/**
 * Runs until all tasks of the gang wk-1 have run records, while no worker has received a start
 * command yet.
 */
static void record_gang_before_any_start(struct world *world)
{
    for (int i = 4; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_add_worker(world, 3, "a", true);
    world_run(world, 4000);
    world->inject_run_fault = hold_run_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    for (int i = 0; i < 300 && count_run_records(world, 0, "wk-1", 0) < 4; i++)
        world_run(world, 5);
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 4);
    assert_int_equal(world_count_task_starts(world), 0);
}

/**
 * A node dies after it has recorded its tasks of a gang and before it has sent the start commands.
 */
static void gang_starts_once_when_a_shard_owner_dies_before_its_start_commands(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_gang_before_any_start(world);
    world_kill(world, shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0');
    world->inject_run_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

/** The leader dies after a gang was recorded and before any worker has received a start command. */
static void gang_starts_once_when_the_leader_dies_before_the_start_commands(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_gang_before_any_start(world);
    world_kill(world, world_get_leader_index(world));
    world->inject_run_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
}

/** The node whose transactions fail_writes_of_one_node() makes fail. */
static int node_without_writes;

/**
 * A request_fault_fn: the state service is unavailable to the transactions of node_without_writes.
 */
static enum request_fault fail_writes_of_one_node(struct world *world, int node,
                                                  const struct http_client_request *request)
{
    (void)world;
    return strcmp(request->path, "/txn") == 0 && node == node_without_writes ? FAULT_UNAVAILABLE
                                                                             : FAULT_NONE;
}

/**
 * Only some tasks of a gang are recorded when the leader dies. The next leader cannot know what
 * became of the others, so it has to restart the whole gang.
 */
static void partly_recorded_gang_restarts_after_the_leader_dies(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    node_without_writes =
        shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->inject_fault = fail_writes_of_one_node;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 1500);
    int before = world_count_active_tasks(world, "wk-1");
    assert_in_range(before, 1, 3);
    world_kill(world, world_get_leader_index(world));
    for (int i = 0; i < 1000 && !world_get_leader(world); i++)
        world_run(world, 10);
    world->inject_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4 + before);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
}

/** Stop messages seen by lose_stop_messages_after_the_first(). */
static int stop_messages_sent;

/**
 * A request_fault_fn: of the messages that stop the remaining tasks of a gang, only the first
 * arrives.
 */
static enum request_fault
lose_stop_messages_after_the_first(struct world *world, int node,
                                   const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool is_stop = strcmp(request->path, "/bus/deal") == 0 && strstr(request->body, "\"halt\"");
    return is_stop && stop_messages_sent++ ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/**
 * The leader dies after only some of the remaining tasks of a failed gang were stopped. The next
 * leader has to stop the others and restart the gang.
 */
static void gang_restarts_when_the_leader_dies_between_two_stop_messages(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 1; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 6, 8.0);
    world_run(world, 5000);
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 6);
    stop_messages_sent = 0;
    world->inject_fault = lose_stop_messages_after_the_first;
    worker_exit_task(find_worker_with_task(world, "wk-1", 2), "wk-1", 2, "error");
    for (int i = 0; i < 2000 && world_count_active_tasks(world, "wk-1") == 5; i++)
        world_run(world, 2);
    assert_true(stop_messages_sent > 0);
    assert_in_range(world_count_active_tasks(world, "wk-1"), 1, 4);
    world_kill(world, world_get_leader_index(world));
    world->inject_fault = NULL;
    world_run(world, 30000);
    assert_true(expect_gang_running(world, "wk-1", 6) > old_attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    assert_int_equal(world_count_task_starts(world), 12);
}

/* ---- late commands and partitions ---- */

/**
 * The start commands of an old attempt arrive after that attempt has ended and while the new one
 * runs. They must not start anything.
 */
static void late_start_commands_of_an_old_attempt_are_ignored(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    world->inject_run_fault = repeat_run_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 4000); /* they are started by the responses to heartbeats */
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 4);
    assert_true(world->held_requests->len >= 4);
    world->inject_run_fault = NULL;
    worker_exit_task(find_worker_with_task(world, "wk-1", 1), "wk-1", 1, "error");
    world_run(world, 30000);
    uint64_t attempt = expect_gang_running(world, "wk-1", 4);
    assert_true(attempt > old_attempt);
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_true(expect_gang_running(world, "wk-1", 4) == attempt);
    complete_gang(world, "wk-1");
}

/**
 * The start command of a failed array task may still be in transit to the only machine, which
 * therefore shows the old attempt until a new epoch. The task must not wait forever.
 */
static void task_restarts_despite_a_start_command_still_in_transit(void **state)
{
    struct world *world = prepare_gang_world(state);
    struct worker *worker = world_add_worker(world, 7, "a", true);
    world_run(world, 4000);
    world->inject_run_fault = repeat_run_commands;
    submit_job(world, "wk-1", "sweep", "high", 1, 8.0);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    world->inject_run_fault = NULL;
    worker_exit_task(worker, "wk-1", 0, "error");
    world_run(world, 30000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    world_deliver_held_requests(world);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), 2);
}

/** The node that partition_node() cuts off. */
static int partitioned_node;

/**
 * A request_fault_fn that cuts partitioned_node off from the other nodes, the state service
 * and the cloud. Requests to workers are not affected; worker.reachable_node covers these.
 */
static enum request_fault partition_node(struct world *world, int node,
                                         const struct http_client_request *request)
{
    if (g_hash_table_contains(world->workers_by_address, request->address))
        return FAULT_NONE; /* worker.reachable_node covers these */
    bool to_partitioned = request->address[7] - '1' == partitioned_node &&
                          g_str_has_prefix(request->address, "10.0.0.");
    return (node == partitioned_node) != to_partitioned ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/**
 * A zone is cut off together with a node and some tasks of a gang. The other tasks exit, and the
 * gang restarts elsewhere once it is proven that the tasks in the zone have ended.
 */
static void gang_restarts_after_zone_partition_once_task_ends_are_proven(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    world_add_worker(world, 2, "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 3, 8.0);
    world_run(world, 5000);
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 3);
    world_add_worker(world, 6, "a", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 2000);
    partitioned_node = (world_get_leader_index(world) + 1) % 3;
    world->inject_fault = partition_node;
    bool waited = false;
    for (int ms = 0; ms < 90000; ms += 20) {
        for (int i = 0; i < WORLD_WORKERS; i++) {
            world->workers[i].reachable_node =
                strcmp(world->workers[i].zone, "b") == 0 ? partitioned_node : -1;
            if (world->workers[i].up && world->workers[i].reachable_node < 0 &&
                world->workers[i].node == partitioned_node)
                world->workers[i].node = (partitioned_node + 1) % 3;
        }
        world_run(world, 20);
        int recorded = count_run_records(world, (partitioned_node + 1) % 3, "wk-1", old_attempt);
        if (recorded)
            assert_int_equal(world_count_active_tasks(world, "wk-1"),
                             count_tasks_of_attempt(world, "wk-1", old_attempt));
        waited = waited || (recorded && !world_count_active_tasks(world, "wk-1"));
        if (ms == 4500) /* all nodes have noticed; the tasks in the zone still have run records */
            assert_true(recorded && !count_tasks_of_attempt(world, "wk-1", old_attempt));
    }
    assert_true(waited);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    assert_int_equal(world_count_task_starts(world), 6);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
}

/* ---- random load ---- */

/** Duration of the load, and of the time without failures that follows it. */
enum { LOAD_DURATION_S = 400, RECOVERY_S = 300 };

/**
 * The injected failures and when, in seconds of the load, each of them ends. A node or worker index
 * of -1: no failure of this kind is active.
 */
struct active_failures {
    int killed_node, node_without_state, unreachable_worker, inbound_blocked_worker;
    int killed_until_s, node_without_state_until_s, unreachable_until_s, inbound_blocked_until_s,
        state_outage_until_s;
};

/** Returns the body of a random submission: a gang or an array, of team red or blue. */
static char *generate_submission(GRand *random, int number)
{
    static const double cpus[] = {1, 2, 4, 8};
    static const char *const priority_json[] = {"\"high\"", "\"normal\"", "\"best_effort\""};
    bool gang = g_rand_boolean(random), red = g_rand_int_range(random, 0, 3) == 0;
    int tasks = g_rand_int_range(random, 1, red ? 3 : 7);
    double task_cpus = cpus[g_rand_int_range(random, 0, gang && !red ? 4 : 2)];
    if (gang && task_cpus == 8)
        tasks = MIN(tasks, 4);
    char *id = g_strdup_printf("wk-%03d", number);
    char *job =
        world_format_job(id, gang ? "gang" : "sweep", tasks, red ? "red" : "blue", task_cpus, "");
    char *with_priority =
        world_replace_string(job, "\"high\"", priority_json[g_rand_int_range(random, 0, 3)]);
    bool one_zone = gang && tasks * task_cpus <= 16 && g_rand_int_range(random, 0, 3) == 0;
    char *body = one_zone
                     ? world_replace_string(with_priority, "\"OneZone\":false", "\"OneZone\":true")
                     : g_strdup(with_priority);
    g_free(id);
    g_free(job);
    g_free(with_priority);
    return body;
}

/** Ends the failures whose time is over. */
static void end_expired_failures(struct world *world, struct active_failures *failures, int now)
{
    if (failures->killed_node >= 0 && now >= failures->killed_until_s) {
        world_start(world, failures->killed_node);
        failures->killed_node = -1;
    }
    if (failures->node_without_state >= 0 && now >= failures->node_without_state_until_s) {
        world->state_unavailable_to[failures->node_without_state] = false;
        failures->node_without_state = -1;
    }
    if (failures->unreachable_worker >= 0 && now >= failures->unreachable_until_s) {
        world->workers[failures->unreachable_worker].unreachable = false;
        failures->unreachable_worker = -1;
    }
    if (failures->inbound_blocked_worker >= 0 && now >= failures->inbound_blocked_until_s) {
        world->workers[failures->inbound_blocked_worker].inbound_blocked = false;
        failures->inbound_blocked_worker = -1;
    }
    if (now >= failures->state_outage_until_s)
        world->state_down = false;
}

/**
 * Injects a random failure unless one of its kind is active: a node is killed or loses the state
 * service, a worker is unreachable or receives nothing, or the state service is down.
 */
static void inject_random_failure(struct world *world, GRand *random,
                                  struct active_failures *failures, int now)
{
    int random_worker = g_rand_int_range(random, 0, WORLD_WORKERS),
        until_s = now + g_rand_int_range(random, 3, 20);
    switch (g_rand_int_range(random, 0, 5)) {
    case 0:
        if (failures->killed_node >= 0)
            break;
        failures->killed_node = random_worker % WORLD_NODES;
        failures->killed_until_s = until_s;
        world_kill(world, failures->killed_node);
        break;
    case 1:
        if (failures->node_without_state >= 0)
            break;
        failures->node_without_state = random_worker % WORLD_NODES;
        failures->node_without_state_until_s = until_s;
        world->state_unavailable_to[failures->node_without_state] = true;
        break;
    case 2:
        if (failures->unreachable_worker >= 0 || !world->workers[random_worker].up)
            break;
        failures->unreachable_worker = random_worker;
        failures->unreachable_until_s = until_s;
        world->workers[random_worker].unreachable = true;
        break;
    case 3:
        if (failures->inbound_blocked_worker >= 0 || !world->workers[random_worker].up)
            break;
        failures->inbound_blocked_worker = random_worker;
        failures->inbound_blocked_until_s = until_s;
        world->workers[random_worker].inbound_blocked = true;
        break;
    default:
        world->state_down = true;
        failures->state_outage_until_s = now + 4;
    }
}

/**
 * Runs a random load under random failures. Then failures end, and all jobs have to be done within
 * RECOVERY_S without waiting although they could run.
 */
static void run_load_with_failures(struct world *world, uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct active_failures failures = {.killed_node = -1,
                                       .node_without_state = -1,
                                       .unreachable_worker = -1,
                                       .inbound_blocked_worker = -1};
    for (int i = 2; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", i % 3 != 0);
    world_run(world, 4000);
    int jobs = 0;
    GQueue queue = G_QUEUE_INIT;
    for (int now = 0; now < LOAD_DURATION_S; now++) {
        end_expired_failures(world, &failures, now);
        if (now % 7 == 6)
            inject_random_failure(world, random, &failures, now);
        if (g_rand_double(random) < 0.15)
            g_queue_push_tail(&queue, generate_submission(random, jobs++));
        submit_queued_jobs(world, &queue, now % WORLD_NODES);
        world->cloud_capacity = now % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, random, 0.002);
    }
    end_expired_failures(world, &failures, INT_MAX);
    world_run(world, 15000);
    submit_queued_jobs(world, &queue, 0);
    assert_null(queue.head);
    for (int s = 0; s < RECOVERY_S; s++) {
        world->cloud_capacity = s % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, random, 0);
        world_check_progress(world);
    }
    for (int n = 0; n < jobs; n++) {
        char *id = g_strdup_printf("wk-%03d", n);
        world_expect_stage(world, n % WORLD_NODES, id, "done");
        g_free(id);
    }
    assert_true(jobs > 30);
    g_rand_free(random);
}

/** A load of gangs and arrays under random failures completes. */
static void gang_load_completes_after_failures_with_seed_20261202(void **state)
{
    run_load_with_failures(prepare_gang_world(state), 20261202);
}

/** Another seed makes a load of gangs and arrays take other paths through the failures. */
static void gang_load_completes_after_failures_with_seed_41(void **state)
{
    run_load_with_failures(prepare_gang_world(state), 41);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(gang_restarts_only_after_the_end_of_all_its_tasks_is_proven),
        WORLD_TEST(failed_gang_is_stopped_with_a_single_message),
        WORLD_TEST_SETTLED(gang_restarts_when_a_worker_starts_a_new_session),
        WORLD_TEST(simultaneous_task_failures_count_as_one_failed_attempt),
        WORLD_TEST(gang_moves_from_faulty_machines_to_others),
        WORLD_TEST(incomplete_gang_does_not_make_its_machines_faulty),
        WORLD_TEST_SETTLED(waiting_gang_is_stopped_at_once_when_it_loses_a_task),
        WORLD_TEST_SETTLED(gang_stopped_as_a_whole_saves_progress_and_continues),
        WORLD_TEST_SETTLED(gang_with_one_task_stopped_restarts_without_saving),
        WORLD_TEST_SETTLED(gang_starts_once_when_a_shard_owner_dies_before_its_start_commands),
        WORLD_TEST_SETTLED(gang_starts_once_when_the_leader_dies_before_the_start_commands),
        WORLD_TEST_SETTLED(partly_recorded_gang_restarts_after_the_leader_dies),
        WORLD_TEST_SETTLED(gang_restarts_when_the_leader_dies_between_two_stop_messages),
        WORLD_TEST_SETTLED(late_start_commands_of_an_old_attempt_are_ignored),
        WORLD_TEST_SETTLED(task_restarts_despite_a_start_command_still_in_transit),
        WORLD_TEST_SETTLED(gang_restarts_after_zone_partition_once_task_ends_are_proven),
        WORLD_TEST_SETTLED(gang_load_completes_after_failures_with_seed_20261202),
        WORLD_TEST_SETTLED(gang_load_completes_after_failures_with_seed_41),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
