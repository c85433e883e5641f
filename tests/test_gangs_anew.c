/* Gangs that lose tasks and begin anew, that save, whose nodes end, and what comes late. */
#include "gang_fixtures.h"

#include <stdio.h>

/* ---- how it begins anew ---- */

/* Runs until the gang runs whole under another attempt; meanwhile nothing of a new attempt is on
 * machines while a task of the old one is on record. */
static void begins_anew(struct world *world, const char *job, uint32_t tasks, uint64_t old,
                        int64_t ms)
{
    bool seen_old = false;
    for (int64_t t = 0; t < ms; t += 5) {
        world_run(world, 5);
        if (!count_run_records(world, 0, job, old))
            continue;
        seen_old = true;
        assert_int_equal(world_count_active_tasks(world, job),
                         count_tasks_of_attempt(world, job, old));
    }
    assert_true(seen_old);
    assert_true(expect_gang_running(world, job, tasks) > old);
    assert_int_equal(world_count_gang_starts(world, job), 2);
    assert_int_equal(world_count_task_starts(world),
                     2 * tasks); /* none alone, under the old attempt */
}

static uint64_t begin_on_four(struct world *world)
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
static void a_gang_that_lost_a_task_begins_anew_after_proof(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_on_four(world);
    struct worker *silent = find_worker_with_task(world, "wk-1", 2);
    silent->unreachable = true;
    worker_exit_task(find_worker_with_task(world, "wk-1", 1), "wk-1", 1, "error");
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    begins_anew(world, "wk-1", 4, old, 40000);
    complete_gang(world, "wk-1");
}

static int halt_messages;

/* Counts the messages by which the leader has tasks of others' machines stopped. */
static enum request_fault count_halts(struct world *world, int node,
                                      const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (strcmp(request->path, "/bus/deal") == 0 && request->body &&
        strstr(request->body, "\"halt\":["))
        halt_messages++;
    return FAULT_NONE;
}

/* Until the lease is the proof that the rest of it is gone, nothing new is to be decided. */
static void a_broken_gang_is_told_to_stop_once(void **state)
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
    halt_messages = 0;
    world->inject_fault = count_halts;
    world_run(world, 8000); /* the lease is 10 s */
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 1);
    assert_int_equal(halt_messages, 1);
    world_run(world, 8000);
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 0);
}

static void a_gang_of_which_a_machine_is_new_begins_anew(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_on_four(world);
    worker_start_session(find_worker_with_task(world, "wk-1", 3), false);
    begins_anew(world, "wk-1", 4, old, 25000);
    complete_gang(world, "wk-1");
}

/* Many tasks of one job fail within a moment on several sick machines: that is one try. */
static void tasks_that_fail_together_are_one_try(void **state)
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
static void fail_on_first_machines(struct world *world, int sick)
{
    for (int i = 0; i < sick; i++) {
        struct worker *worker = &world->workers[i];
        for (guint t = 0; worker->up && t < worker->tasks->len; t++) {
            struct worker_task *wtask = &g_array_index(worker->tasks, struct worker_task, t);
            if (strcmp(wtask->stage, "running") == 0)
                worker_exit_task(worker, wtask->job.text, wtask->index, "error");
        }
    }
}

/* Each attempt of a gang meets one of several sick machines, on which nothing else can fail, as it
 * takes whole machines: it is not taken for the one at fault, and leaves them for others. */
static void a_gang_that_meets_sick_machines_finds_others(void **state)
{
    enum { SICK = 3, SECONDS = 40 };
    struct world *world = prepare_gang_world(state);
    for (int i = 0; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    for (int ms = 0; ms < SECONDS * 1000; ms += 100) {
        fail_on_first_machines(world, SICK);
        world_run(world, 100);
    }
    expect_gang_running(world, "wk-1", 4);
}

/* A gang that was not complete in time tells nothing of its machines, of which there are no others.
 */
static void incomplete_is_no_sign_of_a_sick_machine(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 5000);
    uint64_t old = expect_gang_running(world, "wk-1", 4);
    world_exit_tasks_of_job(world, "wk-1", "incomplete");
    world_run(world, 4000);
    assert_true(expect_gang_running(world, "wk-1", 4) > old);
    assert_int_equal(world->returned_count, 0);
}

static struct worker *unheard;

/* The first machine to which a start is sent does not hear it, nor anything after it. */
static enum request_fault one_hears_no_start(struct world *world, int node,
                                             const struct http_client_request *request)
{
    (void)node;
    if (!capture_first_start(world, request, &unheard))
        return FAULT_NONE;
    unheard->inbound_blocked = true;
    return FAULT_REQUEST_LOST;
}

/* A gang waits for its last task, and loses another one: the rest is stopped at once, and does not
 * wait for what will not come. */
static void a_gang_that_loses_a_task_before_it_began_is_stopped(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    unheard = NULL;
    world->inject_fault = one_hears_no_start;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 2000);
    assert_non_null(unheard);
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
static uint64_t begin_one_that_saves(struct world *world)
{
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    char *job = world_format_job("wk-1", "gang", 3, "blue", 8.0, "");
    char *marks = world_replace_string(job, "\"MarkEveryS\":0.0", "\"MarkEveryS\":5.0");
    char *body = world_replace_string(marks, "\"StowS\":0.0", "\"StowS\":1.0");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(marks);
    g_free(body);
    world_run(world, 5000);
    return expect_gang_running(world, "wk-1", 3);
}

/* Someone who has the token stops a task, with time to save. */
static void stop_with_grace(struct world *world, uint32_t index, uint64_t attempt)
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
static void a_gang_that_is_stopped_as_a_whole_saves_and_goes_on(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_one_that_saves(world);
    for (uint32_t i = 0; i < 3; i++) {
        stop_with_grace(world, i, old);
        world_run(world, 300);
    }
    world_run(world, 8000);
    assert_int_equal(world_count_gang_saves(world, "wk-1"), 1);
    assert_true(expect_gang_running(world, "wk-1", 3) > old);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/* One is told and the others are not: they exit, nothing is saved, and the gang begins anew. */
static void a_gang_of_which_one_is_stopped_begins_anew(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_one_that_saves(world);
    stop_with_grace(world, 1, old);
    world_run(world, 3500);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old),
                     3); /* what has saved waits for the others */
    world_run(world, 8000);
    assert_int_equal(world_count_gang_saves(world, "wk-1"), 0);
    assert_true(expect_gang_running(world, "wk-1", 3) > old);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/* ---- nodes that end meanwhile ---- */

static enum request_fault no_commands(struct world *world, int node,
                                      const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/commands") == 0 ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* All of a gang is on record, and no machine has heard of it yet. */
static void record_a_gang(struct world *world)
{
    for (int i = 4; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_add_worker(world, 3, "a", true);
    world_run(world, 4000);
    world->inject_fault = no_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    for (int i = 0; i < 300 && count_run_records(world, 0, "wk-1", 0) < 4; i++)
        world_run(world, 5);
    assert_int_equal(count_run_records(world, 0, "wk-1", 0), 4);
    assert_int_equal(world_count_task_starts(world), 0);
}

static void a_node_that_dies_before_it_starts_its_part_harms_no_gang(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_a_gang(world);
    world_kill(world, shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0');
    world->inject_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

static void a_leader_that_dies_before_a_gang_starts_harms_it_not(void **state)
{
    struct world *world = prepare_gang_world(state);
    record_a_gang(world);
    world_kill(world, world_get_leader_index(world));
    world->inject_fault = NULL;
    world_run(world, 25000);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
}

static int cannot_write;

static enum request_fault one_writes_nothing(struct world *world, int node,
                                             const struct http_client_request *request)
{
    (void)world;
    return strcmp(request->path, "/txn") == 0 && node == cannot_write ? FAULT_UNAVAILABLE
                                                                      : FAULT_NONE;
}

/* A part of the gang is on record when the leader dies: the next one cannot know what became of the
 * rest, and begins with all of it anew. */
static void a_gang_half_on_record_when_its_leader_dies_begins_anew(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    cannot_write = shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->inject_fault = one_writes_nothing;
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

static int halts;

/* Of the messages that stop what is left of a gang only the first one arrives. */
static enum request_fault only_the_first_halt(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool halt = strcmp(request->path, "/bus/deal") == 0 && strstr(request->body, "\"halt\"");
    return halt && halts++ ? FAULT_REQUEST_LOST : FAULT_NONE;
}

static void a_leader_that_dies_between_two_halts_harms_no_gang(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 1; i < 8; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 6, 8.0);
    world_run(world, 5000);
    uint64_t old = expect_gang_running(world, "wk-1", 6);
    halts = 0;
    world->inject_fault = only_the_first_halt;
    worker_exit_task(find_worker_with_task(world, "wk-1", 2), "wk-1", 2, "error");
    for (int i = 0; i < 2000 && world_count_active_tasks(world, "wk-1") == 5; i++)
        world_run(world, 2);
    assert_true(halts > 0);
    assert_in_range(world_count_active_tasks(world, "wk-1"), 1, 4);
    world_kill(world, world_get_leader_index(world));
    world->inject_fault = NULL;
    world_run(world, 30000);
    assert_true(expect_gang_running(world, "wk-1", 6) > old);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    assert_int_equal(world_count_task_starts(world), 12);
}

/* ---- what comes late ---- */

/* The starts of an old attempt arrive when the new one runs, also when that is over. */
static void late_starts_of_an_old_attempt_start_nothing(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    world->inject_fault = hold_commands;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 4000); /* they start by the answers to reports */
    uint64_t old = expect_gang_running(world, "wk-1", 4);
    assert_true(world->held_requests->len >= 4);
    world->inject_fault = NULL;
    worker_exit_task(find_worker_with_task(world, "wk-1", 1), "wk-1", 1, "error");
    world_run(world, 30000);
    uint64_t attempt = expect_gang_running(world, "wk-1", 4);
    assert_true(attempt > old);
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_true(expect_gang_running(world, "wk-1", 4) == attempt);
    complete_gang(world, "wk-1");
}

/* The same for a task of an array that has nowhere else to go: its start may still be on its way,
 * so its machine shows the old attempt until a new epoch. It does not wait for ever. */
static void a_start_that_may_come_late_does_not_keep_its_task_from_running(void **state)
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

static int cut_node;

static enum request_fault cut_off(struct world *world, int node,
                                  const struct http_client_request *request)
{
    if (g_hash_table_contains(world->workers_by_address, request->address))
        return FAULT_NONE; /* see worker.only */
    bool to =
        request->address[7] - '1' == cut_node && g_str_has_prefix(request->address, "10.0.0.");
    return (node == cut_node) != to ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* A zone is cut off with a node and a part of a gang: the rest exits, and the gang begins anew
 * elsewhere once it is proven that the part is gone. */
static void a_gang_of_which_a_zone_is_cut_off_begins_anew_after_proof(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    world_add_worker(world, 2, "b", true);
    world_run(world, 4000);
    submit_job(world, "wk-1", "gang", "high", 3, 8.0);
    world_run(world, 5000);
    uint64_t old = expect_gang_running(world, "wk-1", 3);
    world_add_worker(world, 6, "a", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 2000);
    cut_node = (world_get_leader_index(world) + 1) % 3;
    world->inject_fault = cut_off;
    bool waited = false;
    for (int ms = 0; ms < 90000; ms += 20) {
        for (int i = 0; i < WORLD_WORKERS; i++) {
            world->workers[i].reachable_node =
                strcmp(world->workers[i].zone, "b") == 0 ? cut_node : -1;
            if (world->workers[i].up && world->workers[i].reachable_node < 0 &&
                world->workers[i].node == cut_node)
                world->workers[i].node = (cut_node + 1) % 3;
        }
        world_run(world, 20);
        int recorded = count_run_records(world, (cut_node + 1) % 3, "wk-1", old);
        if (recorded)
            assert_int_equal(world_count_active_tasks(world, "wk-1"),
                             count_tasks_of_attempt(world, "wk-1", old));
        waited = waited || (recorded && !world_count_active_tasks(world, "wk-1"));
        if (ms == 4500) /* all have noticed; what is cut off stays on record */
            assert_true(recorded && !count_tasks_of_attempt(world, "wk-1", old));
    }
    assert_true(waited);
    assert_true(expect_gang_running(world, "wk-1", 3) > old);
    assert_int_equal(world_count_task_starts(world), 6);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
}

/* ---- a seeded load ---- */

enum { LOAD_S = 400, AFTER_S = 300 };

/* A trouble, and when it is over; node or machine -1: there is none. */
struct troubles {
    int node, refused, silent, deaf;
    int node_s, refused_s, silent_s, deaf_s, outage_s;
};

static char *job_of_a_load(GRand *luck, int number)
{
    static const double cpus[] = {1, 2, 4, 8};
    static const char *const urgencies[] = {"\"high\"", "\"normal\"", "\"best_effort\""};
    bool gang = g_rand_boolean(luck), red = g_rand_int_range(luck, 0, 3) == 0;
    int tasks = g_rand_int_range(luck, 1, red ? 3 : 7);
    double each = cpus[g_rand_int_range(luck, 0, gang && !red ? 4 : 2)];
    if (gang && each == 8)
        tasks = MIN(tasks, 4);
    char *id = g_strdup_printf("wk-%03d", number);
    char *job =
        world_format_job(id, gang ? "gang" : "sweep", tasks, red ? "red" : "blue", each, "");
    char *urgent = world_replace_string(job, "\"high\"", urgencies[g_rand_int_range(luck, 0, 3)]);
    bool one_zone = gang && tasks * each <= 16 && g_rand_int_range(luck, 0, 3) == 0;
    char *body = one_zone ? world_replace_string(urgent, "\"OneZone\":false", "\"OneZone\":true")
                          : g_strdup(urgent);
    g_free(id);
    g_free(job);
    g_free(urgent);
    return body;
}

static void end_due_troubles(struct world *world, struct troubles *troubles, int now)
{
    if (troubles->node >= 0 && now >= troubles->node_s) {
        world_start(world, troubles->node);
        troubles->node = -1;
    }
    if (troubles->refused >= 0 && now >= troubles->refused_s) {
        world->state_unavailable_to[troubles->refused] = false;
        troubles->refused = -1;
    }
    if (troubles->silent >= 0 && now >= troubles->silent_s) {
        world->workers[troubles->silent].unreachable = false;
        troubles->silent = -1;
    }
    if (troubles->deaf >= 0 && now >= troubles->deaf_s) {
        world->workers[troubles->deaf].inbound_blocked = false;
        troubles->deaf = -1;
    }
    if (now >= troubles->outage_s)
        world->state_down = false;
}

static void begin_trouble(struct world *world, GRand *luck, struct troubles *troubles, int now)
{
    int any = g_rand_int_range(luck, 0, WORLD_WORKERS), end = now + g_rand_int_range(luck, 3, 20);
    switch (g_rand_int_range(luck, 0, 5)) {
    case 0:
        if (troubles->node >= 0)
            break;
        troubles->node = any % WORLD_NODES;
        troubles->node_s = end;
        world_kill(world, troubles->node);
        break;
    case 1:
        if (troubles->refused >= 0)
            break;
        troubles->refused = any % WORLD_NODES;
        troubles->refused_s = end;
        world->state_unavailable_to[troubles->refused] = true;
        break;
    case 2:
        if (troubles->silent >= 0 || !world->workers[any].up)
            break;
        troubles->silent = any;
        troubles->silent_s = end;
        world->workers[any].unreachable = true;
        break;
    case 3:
        if (troubles->deaf >= 0 || !world->workers[any].up)
            break;
        troubles->deaf = any;
        troubles->deaf_s = end;
        world->workers[any].inbound_blocked = true;
        break;
    default:
        world->state_down = true;
        troubles->outage_s = now + 4;
    }
}

static void play_load(struct world *world, uint32_t seed)
{
    GRand *luck = g_rand_new_with_seed(seed);
    struct troubles troubles = {.node = -1, .refused = -1, .silent = -1, .deaf = -1};
    for (int i = 2; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", i % 3 != 0);
    world_run(world, 4000);
    int jobs = 0;
    GQueue queue = G_QUEUE_INIT;
    for (int now = 0; now < LOAD_S; now++) {
        end_due_troubles(world, &troubles, now);
        if (now % 7 == 6)
            begin_trouble(world, luck, &troubles, now);
        if (g_rand_double(luck) < 0.15)
            g_queue_push_tail(&queue, job_of_a_load(luck, jobs++));
        submit_queued_jobs(world, &queue, now % WORLD_NODES);
        world->cloud_capacity = now % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, luck, 0.002);
    }
    end_due_troubles(world, &troubles, INT_MAX);
    world_run(world, 15000);
    submit_queued_jobs(world, &queue, 0);
    assert_null(queue.head);
    for (int s = 0; s < AFTER_S; s++) {
        world->cloud_capacity = s % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, luck, 0);
        world_check_progress(world);
    }
    for (int n = 0; n < jobs; n++) {
        char *id = g_strdup_printf("wk-%03d", n);
        world_expect_stage(world, n % WORLD_NODES, id, "done");
        g_free(id);
    }
    assert_true(jobs > 30);
    g_rand_free(luck);
}

static void a_load_of_gangs_under_failures_ends(void **state)
{
    play_load(prepare_gang_world(state), 20261202);
}

static void another_load_of_gangs_under_failures_ends(void **state)
{
    play_load(prepare_gang_world(state), 41);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(a_gang_that_lost_a_task_begins_anew_after_proof),
        WORLD_TEST(a_broken_gang_is_told_to_stop_once),
        WORLD_TEST_SETTLED(a_gang_of_which_a_machine_is_new_begins_anew),
        WORLD_TEST(tasks_that_fail_together_are_one_try),
        WORLD_TEST(a_gang_that_meets_sick_machines_finds_others),
        WORLD_TEST(incomplete_is_no_sign_of_a_sick_machine),
        WORLD_TEST_SETTLED(a_gang_that_loses_a_task_before_it_began_is_stopped),
        WORLD_TEST_SETTLED(a_gang_that_is_stopped_as_a_whole_saves_and_goes_on),
        WORLD_TEST_SETTLED(a_gang_of_which_one_is_stopped_begins_anew),
        WORLD_TEST_SETTLED(a_node_that_dies_before_it_starts_its_part_harms_no_gang),
        WORLD_TEST_SETTLED(a_leader_that_dies_before_a_gang_starts_harms_it_not),
        WORLD_TEST_SETTLED(a_gang_half_on_record_when_its_leader_dies_begins_anew),
        WORLD_TEST_SETTLED(a_leader_that_dies_between_two_halts_harms_no_gang),
        WORLD_TEST_SETTLED(late_starts_of_an_old_attempt_start_nothing),
        WORLD_TEST_SETTLED(a_start_that_may_come_late_does_not_keep_its_task_from_running),
        WORLD_TEST_SETTLED(a_gang_of_which_a_zone_is_cut_off_begins_anew_after_proof),
        WORLD_TEST_SETTLED(a_load_of_gangs_under_failures_ends),
        WORLD_TEST_SETTLED(another_load_of_gangs_under_failures_ends),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
