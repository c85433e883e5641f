/* Gangs that lose tasks and begin anew, that save, whose nodes end, and what comes late. */
#include "gang_fixtures.h"

#include <stdio.h>

/* ---- how it begins anew ---- */

/* Runs until the gang runs whole under another attempt; meanwhile nothing of a new attempt is on
 * machines while a task of the old one is on record. */
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
                     2 * tasks); /* none alone, under the old attempt */
}

static uint64_t start_gang_on_four_machines(struct world *world)
{
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 5000);
    return expect_gang_running(world, "wk-1", 4);
}

/* A task fails while the machine of another one is not heard: nothing begins before that one's end
 * is proven. */
static void gang_restarts_only_after_the_end_of_all_its_tasks_is_proven(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_on_four_machines(world);
    struct worker *unreachable = find_worker_with_task(world, "wk-1", 2);
    unreachable->unreachable = true;
    worker_exit_task(find_worker_with_task(world, "wk-1", 1), "wk-1", 1, "error");
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    expect_restart_with_new_attempt(world, "wk-1", 4, old_attempt, 40000);
    complete_gang(world, "wk-1");
}

static int stop_message_count;

/* Counts the messages by which the leader has tasks of others' machines stopped. */
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

/* Until the lease is the proof that the rest of it is gone, nothing new is to be decided. */
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

static void gang_restarts_when_a_worker_starts_a_new_session(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_on_four_machines(world);
    worker_start_session(find_worker_with_task(world, "wk-1", 3), false);
    expect_restart_with_new_attempt(world, "wk-1", 4, old_attempt, 25000);
    complete_gang(world, "wk-1");
}

/* Many tasks of one job fail within a moment on several sick machines: that is one try. */
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
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0); /* it pauses */
    world_run(world, 12000);
    expect_gang_running(world, "wk-1", 24);
}

/* Whatever runs on the first so many machines fails. */
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

/* Each attempt of a gang meets one of several sick machines, on which nothing else can fail, as it
 * takes whole machines: it is not taken for the one at fault, and leaves them for others. */
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

/* A gang that was not complete in time tells nothing of its machines, of which there are no others.
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

static struct worker *blocked_worker;

/* The first machine to which a start is sent does not hear it, nor anything after it. */
static enum request_fault block_worker_at_first_start(struct world *world, int node,
                                                      const struct http_client_request *request)
{
    (void)node;
    if (!capture_first_start(world, request, &blocked_worker))
        return FAULT_NONE;
    blocked_worker->inbound_blocked = true;
    return FAULT_REQUEST_LOST;
}

/* A gang waits for its last task, and loses another one: the rest is stopped at once, and does not
 * wait for what will not come. */
static void waiting_gang_is_stopped_at_once_when_it_loses_a_task(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    blocked_worker = NULL;
    world->inject_fault = block_worker_at_first_start;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 2000);
    assert_non_null(blocked_worker);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
    for (uint32_t i = 0; i < 4; i++)
        if (find_worker_with_task(world, "wk-1", i)) {
            worker_start_session(find_worker_with_task(world, "wk-1", i), false);
            break;
        }
    world_run(world, 10000); /* half of what they would wait for */
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

/* ---- gangs that save ---- */

/* A gang of three that saves, and runs. */
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

/* Someone who has the token stops a task, with time to save. */
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

/* All are told in time: the gang saves, and goes on under a new attempt. */
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

/* One is told and the others are not: they exit, nothing is saved, and the gang begins anew. */
static void gang_with_one_task_stopped_restarts_without_saving(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_that_saves_progress(world);
    stop_task_with_grace_period(world, 1, old_attempt);
    world_run(world, 3500);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old_attempt),
                     3); /* what has saved waits for the others */
    world_run(world, 8000);
    assert_int_equal(world_count_gang_saves(world, "wk-1"), 0);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/* ---- nodes that end meanwhile ---- */

static enum request_fault lose_commands(struct world *world, int node,
                                        const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/commands") == 0 ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* All of a gang is on record, and no machine has heard of it yet. */
static void record_gang_before_any_start(struct world *world)
{
    for (int i = 4; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_add_worker(world, 3, "a", true);
    world_run(world, 4000);
    world->inject_fault = lose_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    for (int i = 0; i < 300 && count_run_records(world, 0, "wk-1", 0) < 4; i++)
        world_run(world, 5);
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 4);
    assert_int_equal(world_count_task_starts(world), 0);
}

static void gang_starts_once_when_a_shard_owner_dies_before_its_start_commands(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_gang_before_any_start(world);
    world_kill(world, shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0');
    world->inject_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

static void gang_starts_once_when_the_leader_dies_before_the_start_commands(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_gang_before_any_start(world);
    world_kill(world, world_get_leader_index(world));
    world->inject_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
}

static int node_without_writes;

static enum request_fault fail_writes_of_one_node(struct world *world, int node,
                                                  const struct http_client_request *request)
{
    (void)world;
    return strcmp(request->path, "/txn") == 0 && node == node_without_writes ? FAULT_UNAVAILABLE
                                                                             : FAULT_NONE;
}

/* A part of the gang is on record when the leader dies: the next one cannot know what became of the
 * rest, and begins with all of it anew. */
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

static int stop_messages_sent;

/* Of the messages that stop what is left of a gang only the first one arrives. */
static enum request_fault
lose_stop_messages_after_the_first(struct world *world, int node,
                                   const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool is_stop = strcmp(request->path, "/bus/deal") == 0 && strstr(request->body, "\"halt\"");
    return is_stop && stop_messages_sent++ ? FAULT_REQUEST_LOST : FAULT_NONE;
}

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

/* ---- what comes late ---- */

/* The starts of an old attempt arrive when the new one runs, also when that is over. */
static void late_start_commands_of_an_old_attempt_are_ignored(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    world->inject_fault = hold_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 4000); /* they start by the answers to reports */
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 4);
    assert_true(world->held_requests->len >= 4);
    world->inject_fault = NULL;
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

/* The same for a task of an array that has nowhere else to go: its start may still be on its way,
 * so its machine shows the old attempt until a new epoch. It does not wait for ever. */
static void task_restarts_despite_a_start_command_still_in_transit(void **state)
{
    struct world *world = prepare_gang_world(state);
    struct worker *worker = world_add_worker(world, 7, "a", true);
    world_run(world, 4000);
    world->inject_fault = hold_commands;
    submit_job(world, "wk-1", "sweep", "high", 1, 8.0);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    world->inject_fault = NULL;
    worker_exit_task(worker, "wk-1", 0, "error");
    world_run(world, 30000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    world_deliver_held_requests(world);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), 2);
}

static int partitioned_node;

static enum request_fault partition_node(struct world *world, int node,
                                         const struct http_client_request *request)
{
    if (g_hash_table_contains(world->workers_by_address, request->address))
        return FAULT_NONE; /* see worker.only */
    bool to_partitioned = request->address[7] - '1' == partitioned_node &&
                          g_str_has_prefix(request->address, "10.0.0.");
    return (node == partitioned_node) != to_partitioned ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* A zone is cut off with a node and a part of a gang: the rest exits, and the gang begins anew
 * elsewhere once it is proven that the part is gone. */
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
        if (ms == 4500) /* all have noticed; what is cut off stays on record */
            assert_true(recorded && !count_tasks_of_attempt(world, "wk-1", old_attempt));
    }
    assert_true(waited);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    assert_int_equal(world_count_task_starts(world), 6);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
}

/* ---- a seeded load ---- */

enum { LOAD_DURATION_S = 400, RECOVERY_S = 300 };

/* A trouble, and when it is over; node or machine -1: there is none. */
struct active_failures {
    int killed_node, node_without_state, unreachable_worker, inbound_blocked_worker;
    int killed_until_s, node_without_state_until_s, unreachable_until_s, inbound_blocked_until_s,
        state_outage_until_s;
};

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

static void gang_load_completes_after_failures_with_seed_20261202(void **state)
{
    run_load_with_failures(prepare_gang_world(state), 20261202);
}

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
