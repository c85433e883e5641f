/**
 * Tests of machines that fail, hang, are unreachable or are new, combined with other failures. See
 * docs/safety.md.
 */
#include "combined_failures.h"

/* Jobs whose tasks must share one zone, a service and an array job, lose machines. Lost tasks must
 * start again in the zone of the remaining ones, and in another zone only when no task is left in
 * the old one. */
static void single_zone_jobs_that_lose_machines_stay_in_one_zone(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 2, 8, true);
    struct user_job *jobs[] = {user_job_add("wk-1", "sweep", 6, "blue", 2.0),
                               user_job_add("wk-2", "daemon", 3, "blue", 2.0)};
    for (int i = 0; i < 2; i++) {
        jobs[i]->one_zone = true;
        user_job_replace_in_body(jobs[i], "\"OneZone\":false", "\"OneZone\":true");
        combined_request(world, i, REQUEST_SUBMIT, jobs[i]);
    }
    combined_run(world, 5000);
    for (int i = 0; i < 2; i++)
        combined_expect_active_tasks(world, jobs[i], jobs[i]->tasks);
    for (int round = 0; round < 4; round++) {
        struct worker *worker = NULL;
        for (int i = 0; i < 2 && !worker; i++)
            worker = combined_find_worker(world, jobs[(round + i) % 2], 0);
        assert_non_null(worker);
        char zone[4];
        g_strlcpy(zone, worker->zone, sizeof zone);
        for (int i = 0; i < WORLD_WORKERS; i++) /* one machine, in the last round all of its zone */
            if (&world->workers[i] == worker ||
                (round == 3 && world->workers[i].up && strcmp(world->workers[i].zone, zone) == 0))
                world->workers[i].unreachable = true;
        world->cloud_capacity = round == 3 ? 4 : 2;
        if (round % 2) {
            int old_leader = combined_kill_leader(world);
            combined_run(world, 3000);
            world_start(world, old_leader);
        }
        combined_run(world, 30000);
    }
    world->cloud_capacity = 2; /* the zone may lack capacity, to be rented only there */
    combined_run(world, 20000);
    for (int i = 0; i < 2; i++)
        combined_expect_active_tasks(world, jobs[i], jobs[i]->tasks);
    assert_in_range(world->rented_count, 0, 16);
    combined_expect_recovery(world);
}

/* Workers cannot connect to any node, while commands still reach them. Cancelled tasks must stop by
 * command; the leases expire, and lost tasks must start again on other machines or in a later
 * session. */
static void workers_that_cannot_reach_any_node_still_receive_commands(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 4, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 6),
                    *cancelled = combined_submit(world, 1, "wk-2", "daemon", 6);
    combined_run(world, 4000);
    for (int i = 4; i < 8; i++)
        world->workers[i].heartbeats_paused_until =
            time_add_ms(loop_now(world->loop), i < 6 ? 8000 : 40000);
    combined_run(world, 500);
    combined_cancel(world, 0, cancelled);
    combined_run(world, 3000);
    combined_expect_active_tasks(world, cancelled, 0); /* stopped by a direct command */
    struct user_job *later_job = combined_submit(world, 2, "wk-3", "sweep", 2);
    combined_run(world, 50000);
    combined_expect_active_tasks(world, service, 6);
    combined_expect_active_tasks(world, later_job, 2);
    combined_expect_recovery(world);
}

/* The leader stops while machines with running tasks are unreachable or do not receive the
 * responses of the new leader. They are within their leases, so their tasks must keep running
 * there, and no new task may be placed on them. */
static void tasks_on_unreachable_machines_survive_a_leader_change(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 2, 8, false);
    struct user_job *service = combined_submit(world, 0, "wk-1", "daemon", 10);
    combined_run(world, 4000);
    for (int round = 0; round < 2; round++) {
        int starts = world_count_task_starts(world);
        bool unreachable[WORLD_WORKERS] = {false};
        for (int i = 2, n = 0; i < 8; i++)
            if (world->workers[i].tasks->len) {
                unreachable[i] = true;
                *(n++ % 2 ? &world->workers[i].unreachable : &world->workers[i].inbound_blocked) =
                    true;
            }
        combined_run(world, 500);
        int old_leader = combined_kill_leader(world);
        struct user_job *later_job = combined_submit(world, combined_other_node(world, old_leader),
                                                     round ? "wk-3" : "wk-2", "sweep", 2);
        combined_run(world, 6000);
        combined_expect_active_tasks(world, later_job, 2); /* on machines that receive messages */
        for (int i = 2; i < 8; i++)
            assert_false(unreachable[i] &&
                         (worker_find_task(&world->workers[i], later_job->id, 0) ||
                          worker_find_task(&world->workers[i], later_job->id, 1)));
        if (!round)
            assert_int_equal(world_count_task_starts(world), starts + 2);
        combined_run(world, round ? 14000 : 500); /* the second time past their leases */
        for (int i = 2; i < 8; i++)
            world->workers[i].unreachable = world->workers[i].inbound_blocked = false;
        world_start(world, old_leader);
        combined_run(world, 12000);
        combined_expect_active_tasks(world, service, 10);
        combined_cancel(world, 1, later_job);
        combined_run(world, 3000);
    }
    combined_cancel(world, 0, service);
    combined_run(world, 3000);
    combined_expect_active_tasks(world, service, 0);
    combined_expect_recovery(world);
}

/* Loses or delays responses to all requests except those to the state service. */
static enum request_fault lose_and_delay_responses(struct world *world, int node,
                                                   const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    if (request_is_to_state(request))
        return FAULT_NONE;
    return n++ % 5 == 0 ? FAULT_RESPONSE_LOST : n % 2 ? FAULT_RESPONSE_DELAYED : FAULT_NONE;
}

/* More work than fits on the machines, of two priorities, must complete while responses between
 * nodes and workers are lost or delayed. */
static void excess_work_completes_over_slow_links(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 5, 8, false);
    world->inject_fault = lose_and_delay_responses;
    for (int n = 0; n < 24; n++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%02d", n);
        struct user_job *job = user_job_add(id, "sweep", 4, n % 2 ? "red" : "blue", 2.0);
        if (n % 3 == 0)
            user_job_replace_in_body(job, "\"high\"", "\"best_effort\"");
        user_job_send_request(world, n % WORLD_NODES, REQUEST_SUBMIT, job);
        combined_run(world, 1500);
        for (guint k = 0; k < user_jobs->len; k++)
            if ((k + (guint)n) % 4 == 0)
                combined_complete_job(world, user_jobs->pdata[k]);
    }
    for (int round = 0; round < 40; round++) {
        combined_run(world, 1500);
        for (guint k = 0; k < user_jobs->len; k++)
            combined_complete_job(world, user_jobs->pdata[k]);
    }
    combined_run(world, 3000);
    for (guint k = 0; k < user_jobs->len; k++) {
        combined_request(world, (int)k % WORLD_NODES, REQUEST_POLL, user_jobs->pdata[k]);
        assert_int_equal(((struct user_job *)user_jobs->pdata[k])->reported, REPORTED_DONE);
    }
    combined_expect_recovery(world);
}

static bool holding_commands;

/* Holds back every other command and loses the response to the others, while holding_commands is
 * set. */
static enum request_fault
hold_commands_and_lose_responses(struct world *world, int node,
                                 const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    return !holding_commands || !request_is_command(request) ? FAULT_NONE
           : n++ % 2                                         ? FAULT_REQUEST_HELD
                                                             : FAULT_RESPONSE_LOST;
}

static bool holding_runs;

/* Holds back every other response with run commands, while holding_runs is set. */
static enum run_command_fault hold_every_other_run(struct world *world, const struct worker *worker,
                                                   const char *response)
{
    static int n;
    (void)world;
    (void)worker;
    (void)response;
    return holding_runs && n++ % 2 == 0 ? RUN_COMMANDS_HELD : RUN_COMMANDS_DELIVERED;
}

static void run_until_a_command_is_held(struct world *world)
{
    for (int i = 0; i < 200 && !world->held_requests->len; i++)
        combined_run(world, COMBINED_CHECK_INTERVAL_MS);
    assert_true(world->held_requests->len > 0);
}

/* Commands or their responses are delayed for seconds, and the machines then continue. Commands for
 * jobs that were cancelled or are finished by then must have no effect. */
static void delayed_commands_to_continuing_machines_have_no_effect(void **state)
{
    struct world *world = *state;
    combined_add_machines(world, 5, 8, false);
    world->inject_fault = hold_commands_and_lose_responses;
    world->inject_run_fault = hold_every_other_run;
    for (int round = 0; round < 4; round++) {
        char id[2][16];
        struct user_job *jobs[2];
        holding_commands = holding_runs = true;
        for (int i = 0; i < 2; i++) {
            g_snprintf(id[i], sizeof id[i], "wk-%d%d", round, i);
            jobs[i] = combined_submit(world, i, id[i], "sweep", 6);
        }
        run_until_a_command_is_held(world);
        for (int i = 5; i < 8; i++)
            world->workers[i].unreachable = round % 2 == 0 && (i + round) % 3 != 0;
        if (round % 2 == 0) /* this raises the epoch, which invalidates old commands */
            combined_cancel(world, 2, jobs[0]);
        combined_run(world, round % 2 ? 5000 : 7500);
        for (int i = 5; i < 8; i++)
            world->workers[i].unreachable = false;
        if (round % 2 == 0)
            world_deliver_held_requests(world);
        combined_run(world, 6000);
        combined_complete_job(world, jobs[0]);
        combined_complete_job(world, jobs[1]);
        combined_run(world, 3000);
        int starts = world_count_task_starts(world);
        world_deliver_held_requests(world); /* commands for finished jobs */
        holding_commands = holding_runs = false;
        combined_check_rules(world);
        combined_run(world, 8000);
        if (round % 2)
            assert_int_equal(world_count_task_starts(world), starts);
        combined_complete_job(world, jobs[1]);
        combined_run(world, 3000);
        combined_expect_active_tasks(world, jobs[0], 0);
        combined_expect_active_tasks(world, jobs[1], 0);
        combined_request(world, 0, REQUEST_POLL, jobs[1]);
        assert_int_equal(jobs[1]->reported, REPORTED_DONE);
    }
    combined_expect_recovery(world);
}

static bool holding_page_writes;

/* Delays writes of run record pages, or holds them back while holding_page_writes is set. */
static enum request_fault delay_page_writes(struct world *world, int node,
                                            const struct http_client_request *request)
{
    static int n;
    (void)world;
    (void)node;
    if (!request_is_txn(request) || !strstr(request->body, "ll\\/p\\/"))
        return FAULT_NONE;
    return holding_page_writes ? FAULT_REQUEST_HELD
           : n++ % 3           ? FAULT_REQUEST_DELAYED
                               : FAULT_RESPONSE_DELAYED;
}

/* New machines are up within two seconds and get tasks at once while writes of run records are
 * slow, and the leader stops. Tasks that it had placed without a record, and records it wrote that
 * arrive late, must neither get lost nor run twice. */
static void new_machines_get_tasks_despite_slow_writes_and_leader_change(void **state)
{
    struct world *world = *state;
    world->inject_fault = delay_page_writes;
    struct user_job *jobs[4];
    for (int round = 0; round < 4; round++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-%d", round);
        world->cloud_capacity = 2;
        holding_page_writes = round % 2;
        jobs[round] = combined_submit(world, round % WORLD_NODES, id, "sweep", 8);
        for (int i = 0; i < 400 && world->cloud_capacity; i++)
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        for (int i = 0; i < 300 && holding_page_writes && !world->held_requests->len; i++)
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        combined_run(world, 300 + 900 * round); /* placed, being recorded, or command in transit */
        int old_leader = combined_kill_leader(world);
        if (round == 2)
            combined_cancel(world, combined_other_node(world, old_leader), jobs[2]);
        assert_true(!holding_page_writes || world->held_requests->len > 0);
        holding_page_writes = false;
        combined_run(world, 2500);
        world_start(world, old_leader);
        combined_run(world, 4000);
        world_deliver_held_requests(world); /* its last writes */
        combined_run(world, 2000);
    }
    world->inject_fault = NULL;
    combined_run(world, 20000);
    for (int round = 0; round < 4; round++)
        combined_expect_active_tasks(world, jobs[round], round == 2 ? 0 : 8);
    combined_expect_recovery(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        COMBINED_TEST(single_zone_jobs_that_lose_machines_stay_in_one_zone),
        COMBINED_TEST(workers_that_cannot_reach_any_node_still_receive_commands),
        COMBINED_TEST(tasks_on_unreachable_machines_survive_a_leader_change),
        COMBINED_TEST(excess_work_completes_over_slow_links),
        COMBINED_TEST(delayed_commands_to_continuing_machines_have_no_effect),
        COMBINED_TEST(new_machines_get_tasks_despite_slow_writes_and_leader_change),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
