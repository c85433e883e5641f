/**
 * Tests of scheduling by a whole cluster: zones, gangs, priorities, preemption, guarantees of
 * teams, faulty and slow machines, and which machines are returned.
 */
#include "world.h"

/**
 * A service whose replicas have to be in separate zones has at most half of them, rounded up, in
 * one zone, and none on spot machines.
 */
static void replicas_in_separate_zones_are_spread_evenly(void **state)
{
    struct world *world = *state;
    char *job = g_strdup(
        "{\"Id\":\"wk-1\",\"Lot\":\"l\",\"Crew\":\"blue\",\"Form\":\"daemon\",\"Urgency\":\"prod\","
        "\"Pieces\":5,\"Vcpus\":1.0,\"Cards\":0.0,\"MemoryGb\":1.0,\"Mould\":\"i\",\"ImageGb\":1.0,"
        "\"OneZone\":false,\"Apart\":true,\"Loaners\":false,\"ExpectedS\":0.0,"
        "\"MarkEveryS\":0.0,\"StowS\":0.0}");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    world_run(world, 12000);
    int zone[2] = {0, 0};
    for (int i = 0; i < WORLD_WORKERS; i++)
        for (uint32_t t = 0; world->workers[i].up && t < 5; t++)
            if (worker_find_task(&world->workers[i], "wk-1", t)) {
                assert_false(world->workers[i].spot);
                zone[world->workers[i].zone[0] - 'a']++;
            }
    assert_int_equal(zone[0] + zone[1], 5);
    assert_true(zone[0] <= 3 && zone[1] <= 3);
}

/** A request_fault_fn that holds the first message which dispatches tasks to another node. */
static enum request_fault hold_first_dispatch(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)node;
    return strcmp(request->path, "/bus/deal") == 0 && strstr(request->body, "\"deal\"") &&
                   !world->held_requests->len
               ? FAULT_REQUEST_HELD
               : FAULT_NONE;
}

/**
 * A dispatch message timed out and was sent again. The first copy arrives when the tasks have
 * already run, and must not start anything.
 */
static void late_copy_of_a_dispatch_message_is_ignored(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    /* Only machines of shards other than the leader's, because these are sent dispatch messages. */
    for (int i = 0; i < WORLD_WORKERS; i++) {
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
        if (strcmp(shard_map_get_owner(world->nodes[0]->replica, world->workers[i].id),
                   world->nodes[world_get_leader_index(world)]->settings->label) == 0) {
            world->workers[i].up = false;
            timer_stop(world->loop, &world->workers[i].report_timer);
        }
    }
    world_run(world, 4000);
    world->inject_fault = hold_first_dispatch;
    world_submit(world, 0, "wk-1", "sweep", 4);
    world_run(world, 6000);
    assert_int_equal(world->held_requests->len, 1);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    for (int i = 0; i < WORLD_WORKERS; i++) /* three tasks are done, one continues */
        for (uint32_t t = 0; t < 3; t++)
            if (world->workers[i].up && worker_find_task(&world->workers[i], "wk-1", t))
                worker_exit_task(&world->workers[i], "wk-1", t, "done");
    world_run(world, 3000);
    int starts = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        starts += world->workers[i].start_count;
    world_deliver_held_requests(world);
    world_run(world, 3000);
    for (int i = 0; i < WORLD_WORKERS; i++)
        starts -= world->workers[i].start_count;
    assert_int_equal(starts, 0);
}

/**
 * A gang waits until all its tasks fit. When one of them fails, the others are stopped, and all
 * start again with a new attempt.
 */
static void gang_starts_all_its_tasks_or_none(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    char *job = world_format_job("wk-1", "gang", 6, "blue", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    world_run(world, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0); /* room for four tasks */
    world_add_worker(world, 6, "b", true);
    world_run(world, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    uint64_t attempt = worker_find_task(&world->workers[6], "wk-1", 0)
                           ? worker_find_task(&world->workers[6], "wk-1", 0)->attempt
                           : worker_find_task(&world->workers[7], "wk-1", 0)->attempt;
    for (int k = 6; k <= 7; k++)
        for (guint i = 0; i < world->workers[k].tasks->len; i++)
            assert_true(g_array_index(world->workers[k].tasks, struct worker_task, i).attempt ==
                        attempt);
    /* One task fails: the others are stopped, and all start again with a new attempt. */
    struct worker *failing_worker =
        worker_find_task(&world->workers[6], "wk-1", 1) ? &world->workers[6] : &world->workers[7];
    worker_exit_task(failing_worker, "wk-1", 1, "error");
    world_run(world, 20000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    struct worker_task *task = worker_find_task(&world->workers[6], "wk-1", 1)
                                   ? worker_find_task(&world->workers[6], "wk-1", 1)
                                   : worker_find_task(&world->workers[7], "wk-1", 1);
    assert_true(task->attempt > attempt);
}

/**
 * A request_fault_fn that loses the response to the first rental request. The node has to repeat
 * the request with the same id, otherwise it would rent two machines.
 */
static enum request_fault lose_first_rental_response(struct world *world, int node,
                                                     const struct http_client_request *request)
{
    (void)node;
    if (strcmp(request->path, "/rentals") == 0 && strcmp(request->method, "POST") == 0 &&
        world->rental_requests->len == 0)
        return FAULT_RESPONSE_LOST;
    return FAULT_NONE;
}

/** The response to a rental request is lost; only one machine may be rented and paid for. */
static void lost_rental_response_does_not_rent_twice(void **state)
{
    struct world *world = *state;
    world->inject_fault = lose_first_rental_response;
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 20000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    assert_int_equal(world->rented_count, 1);
}

/**
 * When machines are short, a job that can no longer start in time must not make the next job late
 * too. It runs as soon as there is room for it.
 */
static void overdue_jobs_yield_to_jobs_that_can_start_in_time(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "sweep", 4);
    world_run(world, 2000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    world_submit(world, 0, "wk-2", "sweep", 4);
    world_run(world, 70000);
    world_submit(world, 0, "wk-3", "sweep", 4);
    world_run(world, 1000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 4);
    world_exit_tasks_of_job(world, "wk-3", "done");
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
}

/** A job preempts just as many tasks of lower priority as it needs, the youngest of them first. */
static void higher_priority_job_preempts_lower_priority_tasks(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    char *low = world_format_job("wk-1", "sweep", 4, "blue", 2.0, "");
    char *normal = world_replace_string(low, "\"high\"", "\"normal\"");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", normal).status, 201);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    world_submit(world, 0, "wk-2", "sweep", 2);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    g_free(low);
    g_free(normal);
}

/**
 * A team gets its guaranteed resources by preempting tasks that another team runs beyond its own
 * guarantee, whatever their priorities. A team that uses only its guarantee loses nothing.
 */
static void team_guarantee_is_reclaimed_from_borrowed_capacity(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "sweep", 8); /* blue: 16 CPUs, all guaranteed */
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    char *job = world_format_job("wk-2", "sweep", 2, "red", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 0); /* blue uses only its guarantee */
    world_add_worker(world, 5, "a", true);
    world_submit(world, 0, "wk-3", "sweep", 2); /* blue borrows capacity */
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
    job = world_format_job("wk-4", "sweep", 2, "red", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-4"), 2); /* red is within its 8 CPUs */
    assert_true(world_count_active_tasks(world, "wk-1") + world_count_active_tasks(world, "wk-3") >=
                8);
}

/**
 * A job that fails on every machine is faulty itself. It is retried with increasing delays and
 * never abandoned, and its machines are not considered faulty.
 */
static void job_that_fails_everywhere_is_retried_with_backoff(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "sweep", 1);
    int starts = 0;
    for (int i = 0; i < 350; i++) {
        world_run(world, 100);
        world_exit_tasks_of_job(world, "wk-1", "error");
    }
    for (int i = 4; i < 8; i++)
        starts += world->workers[i].start_count;
    assert_in_range(starts, 4, 8);
    assert_int_equal(world->returned_count, 0);
    world->cloud_capacity = 2; /* machines that become idle are returned meanwhile */
    world_run(world, 130000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1); /* the job is never abandoned */
}

/**
 * Tasks take several times as long on one machine as on the others. The machine gets no more tasks
 * and is returned.
 */
static void slow_machine_gets_no_more_tasks_and_is_returned(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *slow = world_add_worker(world, 4, "a", true);
    for (int i = 5; i < 8; i++)
        world_add_worker(world, i, "a", true);
    world_run(world, 3000);
    for (int round = 0; round < 8 && slow->up; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round);
        world_submit(world, 0, id, "sweep", 14);
        world_run(world, 8000);
        for (int i = 5; i < 8; i++)
            for (uint32_t t = 0; t < 14; t++)
                if (worker_find_task(&world->workers[i], id, t))
                    worker_exit_task(&world->workers[i], id, t, "done");
        world_run(world, 16000);
        world_exit_tasks_of_job(world, id, "done");
        world_run(world, 3000);
    }
    assert_false(slow->up);
    for (int i = 5; i < 8; i++)
        assert_true(world->workers[i].up);
}

/**
 * The later tasks of an array take longer on all machines alike, so no machine is slow. A service
 * keeps the machines in use, and no more can be rented; no task may be left waiting.
 */
static void increasing_task_durations_do_not_make_machines_slow(void **state)
{
    enum { WORKERS = 4, TASKS = 60, TASKS_PER_DURATION = 12 };
    static const int64_t takes_ms[] = {4000, 10000, 25000, 60000, 60000};
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 0; i < WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 3000);
    char *service = world_format_job("wk-0", "daemon", WORKERS, "blue", 5.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", service).status, 201);
    g_free(service);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-0"), WORKERS); /* one on each machine */
    char *array = world_format_job("wk-1", "sweep", TASKS, "blue", 1.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", array).status, 201);
    g_free(array);
    for (int s = 0; s < 300; s++) {
        world_run(world, 1000);
        world_check_progress(world);
        for (int i = 0; i < WORKERS; i++)
            for (uint32_t t = 0; world->workers[i].up && t < TASKS; t++) {
                struct worker_task *task = worker_find_task(&world->workers[i], "wk-1", t);
                if (task && strcmp(task->stage, "running") == 0 &&
                    time_ms_since(loop_now(world->loop), task->stage_since) >=
                        takes_ms[t / TASKS_PER_DURATION])
                    worker_exit_task(&world->workers[i], "wk-1", t, "done");
            }
    }
    assert_int_equal(world->returned_count, 0);
    world_expect_stage(world, 0, "wk-1", "done");
}

/**
 * The cloud gives notice that it reclaims a machine. The service on it has to leave at once and run
 * elsewhere before the machine is gone.
 */
static void service_leaves_a_machine_before_it_is_reclaimed(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *reclaimed = world_add_worker(world, 6, "a", true);
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "daemon", 2);
    world_run(world, 3000);
    struct worker *remaining = world_add_worker(world, 7, "b", true);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    reclaimed->reclaim_notice_s = 15;
    world_run(world, 5000);
    assert_non_null(worker_find_task(remaining, "wk-1", 0));
    assert_non_null(worker_find_task(remaining, "wk-1", 1));
}

/** Tasks of several jobs fail on a machine, which is therefore returned. */
static void faulty_machine_is_returned(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *faulty = world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    for (int round = 0; round < 80 && faulty->up; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round % 3);
        world_submit(world, 0, id, "sweep", 1);
        world_run(world, 500);
        world_exit_tasks_of_job(world, id, "error");
    }
    assert_false(faulty->up);
}

/**
 * A faulty machine affects tasks that start on it, not those that already run there: a service
 * stays on it.
 */
static void faulty_machine_keeps_its_running_services(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *faulty = world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    world_submit(world, 0, "wk-9", "daemon", 1);
    world_run(world, 3000);
    for (int round = 0; round < 80; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round % 3);
        world_submit(world, 0, id, "sweep", 1);
        world_run(world, 500);
        world_exit_tasks_of_job(world, id, "error");
    }
    assert_true(faulty->up);
    assert_int_equal(world_count_active_tasks(world, "wk-9"), 1);
}

/**
 * Two large jobs are dispatched to several machines that are all faulty. The jobs must not be
 * considered faulty: they used to be delayed for up to 40 s before they continued elsewhere.
 */
static void jobs_dispatched_to_faulty_machines_continue_elsewhere(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 0; i < 4; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 3000);
    char *jobs[] = {world_format_job("wk-1", "sweep", 24, "red", 1.0, ""),
                    world_format_job("wk-2", "sweep", 24, "blue", 1.0, "")};
    for (int k = 0; k < 2; k++) {
        assert_int_equal(world_send_user_request(world, k, "POST", "/work", jobs[k]).status, 201);
        g_free(jobs[k]);
    }
    for (int ms = 0; ms < 4000; ms += 100) {
        world_run(world, 100);
        for (int i = 0; i < 4; i++) {
            struct worker *worker = &world->workers[i];
            bool has_exited = false;
            for (guint t = 0; worker->up && t < worker->tasks->len; t++) {
                struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, t);
                if (strcmp(task->stage, "running") == 0) {
                    worker_exit_task(worker, task->job.text, task->index, "error");
                    has_exited = true;
                }
            }
            if (has_exited)
                worker_send_heartbeat(worker);
        }
    }
    world_add_worker(world, 6, "a", true);
    world_add_worker(world, 7, "b", true);
    world_run(world, 5000);
    for (int i = 6; i < 8; i++)
        assert_int_equal(world->workers[i].tasks->len, 8);
}

/**
 * Receives the response to a health request between nodes: the newest revision of all cancellations
 * that the node confirmed to users.
 */
struct health_response {
    struct http_responder responder;
    uint64_t newest_committed;
};

/** Stores the newest confirmed cancellation of a health response in the struct health_response. */
static void record_health_response(struct http_responder *self, connection_ref to, int status,
                                   const char *fields, const char *body, size_t len)
{
    (void)to;
    (void)fields;
    assert_int_equal(status, 200);
    cJSON *message = cJSON_ParseWithLength(body, len);
    assert_true(
        node_rpc_get_u64(message, "told", &((struct health_response *)self)->newest_committed));
    cJSON_Delete(message);
}

/**
 * Other nodes may keep their leases only if they know of each cancellation that a node has
 * confirmed to a user. The node therefore has to report it also when it read the finished job from
 * the state service, because its replica no longer has the job.
 */
static void cancellation_read_from_the_state_service_is_reported_to_other_nodes(void **state)
{
    struct world *world = *state;
    for (int i = 0; i < WORLD_NODES; i++)
        world->nodes[i]->replica->max_finished_jobs = 0;
    world_submit(world, 0, "wk-1", "sweep", 1);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    world_run(world, 6000);
    assert_null(replica_get_job(world->nodes[2]->replica, "wk-1"));
    world_expect_stage(world, 2, "wk-1", "cancelled");
    static const char request_body[] = "{\"from\":\"mast-0\"}";
    struct http_request request = {"POST",       "/bus/health",        "",
                                   request_body, strlen(request_body), NULL};
    struct health_response health = {{record_health_response}, 0};
    node_rpc_serve(world->nodes[2]->rpc, &health.responder, (connection_ref){1}, &request);
    assert_true(health.newest_committed > 0);
}

/** Number of tasks in one chunk of a job's completions. */
enum { CHUNK_TASKS = 8192 };

/**
 * The completions of a large job are stored in chunks of CHUNK_TASKS. The job is done only once all
 * of them are complete.
 */
static void large_job_is_done_once_all_its_completion_chunks_are(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 20000).status, 201);
    world_run(world, 1000);
    GString *bits = g_string_new(NULL);
    for (int i = 0; i < CHUNK_TASKS / 8; i++)
        g_string_append(bits, "ff");
    char *full_chunks =
        g_strdup_printf("{\"t\":\"\",\"d\":\"#wk-1 0:%s 1:%s \"}", bits->str, bits->str);
    g_string_truncate(bits, 2 * (20000 - 2 * CHUNK_TASKS) / 8);
    char *last_chunk = g_strdup_printf("{\"t\":\"\",\"d\":\"#wk-1 2:%s \"}", bits->str);
    for (uint32_t t = 0; t < 20000; t++) /* as the completion pages say */
        rules_task_completed(world->rules, "wk-1", t);
    world_put_key(world, "ll/p/mast-7/1", last_chunk);
    world_run(world, 2000);
    world_expect_stage(world, 1, "wk-1", "queued");
    world_put_key(world, "ll/p/mast-7/0", full_chunks);
    world_run(world, 2000);
    world_expect_stage(world, 1, "wk-1", "done");
    /* Pages of a node that is not running are removed once they are no longer needed. */
    world_run(world, 15000);
    assert_int_equal(g_hash_table_size(world->nodes[0]->replica->pages), 0);
    g_string_free(bits, TRUE);
    g_free(full_chunks);
    g_free(last_chunk);
}

/** All machines rented for a job are returned once they are idle. */
static void idle_machines_are_returned(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 8);
    world_run(world, 8000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 120000);
    int up = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        up += world->workers[i].up;
    assert_int_equal(up, 0);
    assert_int_equal(world->returned_count, world->rented_count);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(replicas_in_separate_zones_are_spread_evenly),
        WORLD_TEST_SETTLED(late_copy_of_a_dispatch_message_is_ignored),
        WORLD_TEST(gang_starts_all_its_tasks_or_none),
        WORLD_TEST_SETTLED(lost_rental_response_does_not_rent_twice),
        WORLD_TEST(overdue_jobs_yield_to_jobs_that_can_start_in_time),
        WORLD_TEST(higher_priority_job_preempts_lower_priority_tasks),
        WORLD_TEST(team_guarantee_is_reclaimed_from_borrowed_capacity),
        WORLD_TEST(job_that_fails_everywhere_is_retried_with_backoff),
        WORLD_TEST(slow_machine_gets_no_more_tasks_and_is_returned),
        WORLD_TEST(increasing_task_durations_do_not_make_machines_slow),
        WORLD_TEST(service_leaves_a_machine_before_it_is_reclaimed),
        WORLD_TEST(faulty_machine_is_returned),
        WORLD_TEST(faulty_machine_keeps_its_running_services),
        WORLD_TEST(cancellation_read_from_the_state_service_is_reported_to_other_nodes),
        WORLD_TEST_SETTLED(jobs_dispatched_to_faulty_machines_continue_elsewhere),
        WORLD_TEST(large_job_is_done_once_all_its_completion_chunks_are),
        WORLD_TEST(idle_machines_are_returned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
