/**
 * Tests of jobs with thousands of tasks: no message and no heartbeat may exceed what a request may
 * have, however many tasks a job has.
 */
#include "gang_fixtures.h"
#include "resources.h"

#include <stdio.h>

enum {
    /** The longest body that a request of users and agents may have. */
    MAX_BODY_BYTES = 64 * 1024,
    /** Fills all but 400 task slots of the eight machines. */
    GANG_TASKS = (WORLD_WORKERS - 1) * MAX_TASKS_PER_MACHINE,
};

/** The longest body of a message between nodes, and how many dispatch messages were sent. */
static size_t longest_message;
static int dispatch_messages;
/** Machines that the cloud reclaims as soon as the first dispatch message is sent. */
static bool reclaims_machines;

/* A request_fault_fn that notes the length of messages between nodes. */
static enum request_fault measure_messages(struct world *world, int node,
                                           const struct http_client_request *request)
{
    (void)node;
    if (!g_str_has_prefix(request->path, "/bus/"))
        return FAULT_NONE;
    longest_message = MAX(longest_message, request->body_bytes);
    bool is_dispatch = strcmp(request->path, "/bus/deal") == 0 && strstr(request->body, "\"deal\"");
    dispatch_messages += is_dispatch;
    if (is_dispatch && reclaims_machines) {
        reclaims_machines = false;
        for (int i = 0; i < WORLD_WORKERS / 2; i++) {
            world->workers[i].reclaim_notice_s = 60;
            worker_send_heartbeat(&world->workers[i]);
        }
    }
    return FAULT_NONE;
}

static struct world *prepare_machines(void **state, int machine_count)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 0; i < machine_count; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    longest_message = 0;
    dispatch_messages = 0;
    reclaims_machines = false;
    world->inject_fault = measure_messages;
    return world;
}

/* Submits a job whose tasks take next to nothing of a machine. */
static void submit_small_tasks(struct world *world, const char *form, int tasks)
{
    char *job = world_format_job("wk-1", form, tasks, "blue", 0.001, "");
    char *body = world_replace_string(job, "\"MemoryGb\":1.0", "\"MemoryGb\":0.001");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(body);
}

static size_t longest_heartbeat(struct world *world)
{
    size_t longest = 0;
    for (int i = 0; i < WORLD_WORKERS; i++) {
        const GPtrArray *heartbeats = world->workers[i].sent_heartbeats;
        for (guint k = 0; heartbeats && k < heartbeats->len; k++)
            longest = MAX(longest, strlen(heartbeats->pdata[k]));
    }
    return longest;
}

/* One message dispatched a whole gang, however many tasks it had, and one message stopped it. The
 * memory for the messages of a gang of 100,000 tasks ended the leaders. */
static void gang_is_dispatched_and_stopped_in_bounded_messages(void **state)
{
    struct world *world = prepare_machines(state, WORLD_WORKERS);
    submit_small_tasks(world, "gang", GANG_TASKS);
    world_run(world, 12000);
    expect_gang_running(world, "wk-1", GANG_TASKS);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    world->workers[3].unreachable = true;
    world_run(world, 60000);
    expect_gang_running(world, "wk-1", GANG_TASKS);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    assert_in_range(longest_message, 1, MAX_BODY_BYTES);
    assert_true(dispatch_messages > 2);
    complete_gang(world, "wk-1");
}

/* Half of the machines are reclaimed while the gang is dispatched, so that their shards reject
 * hundreds of tasks at once. */
static void dispatches_are_rejected_in_bounded_messages(void **state)
{
    struct world *world = prepare_machines(state, WORLD_WORKERS);
    reclaims_machines = true;
    submit_small_tasks(world, "gang", GANG_TASKS);
    world_run(world, 6000);
    assert_false(reclaims_machines);
    world->cloud_capacity = WORLD_WORKERS / 2; /* for machines in the place of the reclaimed ones */
    world_run(world, 60000);
    expect_gang_running(world, "wk-1", GANG_TASKS);
    assert_in_range(longest_message, 1, MAX_BODY_BYTES);
    complete_gang(world, "wk-1");
}

/* A machine got as many tasks as its resources allowed. Its heartbeat was longer than a request may
 * be, was refused, and the tasks were lost with the lease. */
static void heartbeats_of_machines_with_many_tasks_are_accepted(void **state)
{
    struct world *world = prepare_machines(state, 2);
    submit_small_tasks(world, "sweep", 3000);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2 * MAX_TASKS_PER_MACHINE);
    for (int round = 0; round < 8; round++) {
        world_exit_tasks_of_job(world, "wk-1", "done");
        world_run(world, 12000);
    }
    world_expect_stage(world, 0, "wk-1", "done");
    assert_int_equal(world_count_task_starts(world), 3000);
    assert_in_range(longest_heartbeat(world), 1, MAX_BODY_BYTES);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(gang_is_dispatched_and_stopped_in_bounded_messages),
        WORLD_TEST(dispatches_are_rejected_in_bounded_messages),
        WORLD_TEST(heartbeats_of_machines_with_many_tasks_are_accepted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
