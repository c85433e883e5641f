/**
 * Tests of whole nodes against a simulated state service, cloud and workers. Each test produces one
 * of the failures that docs/safety.md considers, and checks the property that must hold there.
 */
#include "trouble_fixtures.h"

/* A repeated submission is accepted once, all tasks of the job run, and all nodes report the job as
 * running and later as done. */
static void an_array_job_runs_and_completes_on_every_node(void **state)
{
    struct world *world = *state;
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 6).status, 201);
    assert_int_equal(world_submit(world, 1, "wk-1", "sweep", 6).status, 200);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    world_expect_stage(world, 2, "wk-1", "running");
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 2500);
    for (int i = 0; i < WORLD_NODES; i++)
        world_expect_stage(world, i, "wk-1", "done");
    /* Workers drop tasks of a finished job once their run records are cleared. */
    for (int i = 0; i < WORLD_WORKERS; i++)
        assert_true(!world->workers[i].up || world->workers[i].tasks->len == 0);
}

/* Jobs and paths that do not exist get 404, invalid bodies and methods 400 and 405, and jobs that
 * can never run 422: a task larger than any machine, a service above its team's limit, an unknown
 * team. */
static void unknown_jobs_get_404_and_invalid_requests_are_rejected(void **state)
{
    struct world *world = *state;
    assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-404", NULL).status, 404);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-404/abort", NULL).status,
                     404);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", "{").status, 400);
    char *oversized_task = world_format_job("wk-5", "sweep", 1, "blue", 9.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", oversized_task).status,
                     422);
    g_free(oversized_task);
    char *over_limit = world_format_job("wk-6", "daemon", 9, "red", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", over_limit).status, 422);
    g_free(over_limit);
    char *unknown_team = world_format_job("wk-7", "sweep", 1, "green", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", unknown_team).status, 422);
    g_free(unknown_team);
    assert_int_equal(world_send_user_request(world, 0, "PUT", "/work", "{}").status, 405);
    assert_int_equal(world_send_user_request(world, 0, "GET", "/nowhere", NULL).status, 404);
}

/* A submission without one of its required fields gets 400 and leaves no job behind. */
static void a_submission_without_a_required_field_gets_400(void **state)
{
    struct world *world = *state;
    char *complete_body = world_format_job("wk-1", "sweep", 1, "blue", 2.0, "");
    json_object *complete = json_tokener_parse(complete_body);
    int field_count = 0;
    json_object_object_foreach(complete, name, value)
    {
        (void)value;
        json_object *incomplete = json_tokener_parse(complete_body);
        json_object_object_del(incomplete, name);
        const char *body = json_object_to_json_string(incomplete);
        assert_int_equal(
            world_send_user_request(world, field_count++ % WORLD_NODES, "POST", "/work", body)
                .status,
            400);
        json_object_put(incomplete);
    }
    assert_int_equal(field_count, 17);
    assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-1", NULL).status, 404);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", complete_body).status, 201);
    json_object_put(complete);
    g_free(complete_body);
}

/* A team must not exceed its limit when a new leader takes over while all of the limit is in
 * use. */
static void a_team_stays_within_its_limit_across_a_leader_change(void **state)
{
    struct world *world = *state;
    char *job = world_format_job("wk-1", "sweep", 30, "red", 2.0, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    world_run(world, 15000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8); /* the team's limit is 16 CPUs */
    /* A new leader must compute the team's usage from the run records, as it has no other
     * history. */
    int old_leader = world_get_leader_index(world);
    world_kill(world, old_leader);
    for (int i = 0; i < 20; i++) {
        world_run(world, 500);
        assert_true(world_count_active_tasks(world, "wk-1") <= 8);
    }
    assert_non_null(world_get_leader(world));
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
}

/* A cancellation stops all tasks of the job, all nodes report it, and a repeated submission does
 * not start the job again. */
static void a_cancelled_job_stops_and_stays_cancelled(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    world_run(world, 2000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    for (int i = 0; i < WORLD_NODES; i++)
        world_expect_stage(world, i, "wk-1", "cancelled");
    assert_int_equal(world_submit(world, 2, "wk-1", "daemon", 4).status, 200);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
}

/* A copy of the run command is delayed, and the task is started by the response to a heartbeat.
 * After the task has finished, its run record must not be cleared before the delayed command has
 * become invalid; otherwise the command would start the task again. */
static void a_delayed_run_command_of_a_finished_task_starts_nothing(void **state)
{
    struct world *world = *state;
    world->inject_run_fault = repeat_run_commands;
    world_submit(world, 0, "wk-1", "sweep", 3);
    world_run(world, 12000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
    assert_true(world->held_requests->len > 0);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 4000);
    world_expect_stage(world, 0, "wk-1", "done");
    world_deliver_held_requests(world);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
}

/* A job is cancelled while the only copy of its run command is delayed by a partition. The run
 * record must stay, and count towards limits, until the epoch has been raised and every worker
 * rejects the command. */
static void a_delayed_run_command_of_a_cancelled_job_starts_nothing(void **state)
{
    struct world *world = *state;
    struct worker *only_worker = world_add_worker(world, 7, "a", true);
    world->cloud_capacity = 0;
    world_run(world, 3000);
    world->inject_run_fault = hold_run_commands;
    world_submit(world, 0, "wk-1", "sweep", 1);
    for (int i = 0; i < 100 && !world->held_requests->len; i++)
        world_run(world, 10);
    assert_int_equal(world->held_requests->len, 1);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    world_run(world, 15000);
    world_deliver_held_requests(world);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    assert_int_equal(only_worker->start_count, 0);
}

/* Drops all commands to workers. */
static enum request_fault drop_commands(struct world *world, int node,
                                        const struct http_client_request *request)
{
    (void)node;
    (void)world;
    return strcmp(request->path, "/commands") == 0 ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* The owner of a machine crashes after it has written a run record and before it has sent the
 * command. The next owner of the machine must find the record and send the command. */
static void a_crash_between_run_record_and_command_loses_no_task(void **state)
{
    struct world *world = *state;
    world_add_worker(world, 7, "a", true);
    world->cloud_capacity = 0;
    world_run(world, 3000);
    world->inject_fault = drop_commands;
    world_submit(world, 0, "wk-1", "sweep", 1);
    struct replica *replica = world->nodes[0]->replica;
    for (int i = 0; i < 300 && !(replica_get_job(replica, "wk-1") &&
                                 replica_get_job(replica, "wk-1")->run_records);
         i++)
        world_run(world, 10);
    const char *owner = shard_map_get_owner(replica, world->workers[7].id);
    world_kill(world, owner[5] - '0');
    world->inject_fault = NULL;
    world_run(world, 12000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* A spot machine becomes unreachable. Its task may start elsewhere only after it is certain that it
 * no longer runs there: here, after the cloud has confirmed the return of the machine. */
static void tasks_of_an_unreachable_spot_machine_restart_only_after_its_return(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 8000);
    struct worker *worker = NULL;
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], "wk-1", 0))
            worker = &world->workers[i];
    assert_non_null(worker);
    worker->unreachable = true;
    world->cloud_down = true;
    int rented_before = world->rented_count;
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"),
                     1); /* without a confirmed return the task must not move */
    world->cloud_down = false;
    world_run(world, 6000);
    assert_true(world->rented_count > rented_before && world->returned_count == 1);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* An on-demand machine that becomes unreachable is usually only partitioned, so its tasks keep
 * running there and it is not returned while its lease lasts. */
static void an_unreachable_on_demand_machine_keeps_its_tasks_within_its_lease(void **state)
{
    struct world *world = *state;
    struct worker *worker = world_add_worker(world, 7, "a", false);
    world->cloud_capacity = 0;
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 3000);
    assert_non_null(worker_find_task(worker, "wk-1", 0));
    worker->unreachable = true;
    world_run(world, 8500); /* shorter than the lease of 10 s */
    worker->unreachable = false;
    world_run(world, 5000);
    assert_int_equal(world->returned_count, 0);
    assert_int_equal(worker->start_count, 1);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
}

/* Runs the world while all machines of a zone are unreachable, including those rented meanwhile. */
static void run_with_unreachable_zone(struct world *world, const char *zone, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 100) {
        for (int i = 0; i < WORLD_WORKERS; i++)
            if (strcmp(world->workers[i].zone, zone) == 0)
                world->workers[i].unreachable = true;
        world_run(world, 100);
    }
}

/* Machines rented in a partitioned zone cannot report. A job must not wait for the end of the
 * partition while another zone has capacity. */
static void no_machine_is_rented_in_a_partitioned_zone(void **state)
{
    struct world *world = *state;
    for (int i = 0; i < 4; i++)
        world_add_worker(world, i, "a", false);
    world_run(world, 3000);
    run_with_unreachable_zone(world, "a", 5000);
    world_submit(world, 0, "wk-1", "sweep", 2);
    run_with_unreachable_zone(world, "a", 10000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    assert_true(world->rented_count > 0);
    for (int i = 4; i < WORLD_WORKERS; i++)
        assert_true(!world->workers[i].up || strcmp(world->workers[i].zone, "b") == 0);
}

/* While the cloud is unavailable it cannot confirm the return of an unreachable machine. Its task
 * may then start elsewhere only after the lease of the machine has certainly expired. */
static void tasks_restart_after_lease_expiry_while_the_cloud_is_down(void **state)
{
    struct world *world = *state;
    world_add_worker(world, 7, "a", true);
    world_add_worker(world, 6, "b", true);
    world->cloud_capacity = 0;
    world_run(world, 3000);
    world->cloud_down = true;
    world_submit(world, 0, "wk-1", "sweep", 1);
    world_run(world, 3000);
    struct worker *worker =
        worker_find_task(&world->workers[7], "wk-1", 0) ? &world->workers[7] : &world->workers[6];
    worker->unreachable = true;
    world_run(world, 9000);
    assert_int_equal(world->workers[6].start_count + world->workers[7].start_count, 1);
    world_run(world, 8000);
    assert_int_equal(world->workers[6].start_count + world->workers[7].start_count, 2);
}

static int responses_to_lose;

/* Loses the responses to the next responses_to_lose transactions that write a job. */
static enum request_fault lose_job_txn_responses(struct world *world, int node,
                                                 const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (strcmp(request->path, "/txn") == 0 && strstr(request->body, "ll\\/j\\/") &&
        responses_to_lose > 0) {
        responses_to_lose--;
        return FAULT_RESPONSE_LOST;
    }
    return FAULT_NONE;
}

/* A submission whose transaction is carried out but whose response is lost is repeated by the user.
 * The job must be accepted once, and the same holds for transactions on its run records. */
static void a_lost_transaction_response_accepts_the_job_once(void **state)
{
    struct world *world = *state;
    world->inject_fault = lose_job_txn_responses;
    responses_to_lose = 3;
    int status = 0;
    for (int i = 0; i < 4 && status != 200 && status != 201; i++)
        status = world_submit(world, i % 3, "wk-1", "sweep", 2).status;
    assert_true(status == 200 || status == 201);
    responses_to_lose = 3; /* now those to transactions on run records */
    world_run(world, 20000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
}

static int partitioned_node = -1;

/* Drops all requests of the partitioned node to the state service. */
static enum request_fault
partition_node_from_state_service(struct world *world, int node,
                                  const struct http_client_request *request)
{
    (void)world;
    return node == partitioned_node && strcmp(request->address, "10.2.0.1:2379") == 0
               ? FAULT_REQUEST_LOST
               : FAULT_NONE;
}

/* A node is partitioned from the state service. Other nodes take over its machines; it must not
 * write, and must not renew leases of its workers for longer than a cancellation may take. */
static void a_node_partitioned_from_the_state_service_is_replaced_safely(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 6);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    partitioned_node = world_get_leader_index(world);
    world->inject_fault = partition_node_from_state_service;
    world_run(world, 9000);
    int leader = world_get_leader_index(world);
    assert_true(leader >= 0 && leader != partitioned_node);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    int other_node = (partitioned_node + 1) % 3;
    assert_int_equal(
        world_send_user_request(world, other_node, "POST", "/work/wk-1/abort", NULL).status, 200);
    world_run(world, 25000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    /* The node must not return a state that may be outdated: it forwards requests to other
     * nodes. */
    world_expect_stage(world, partitioned_node, "wk-1", "cancelled");
    assert_int_equal(world_submit(world, partitioned_node, "wk-2", "sweep", 1).status, 201);
    world->inject_fault = NULL;
    world_run(world, 8000);
    world_expect_stage(world, partitioned_node, "wk-1", "cancelled");
}

/* Tasks keep running while the state service is unavailable; submissions get 503 and succeed
 * afterwards. */
static void a_short_state_service_outage_stops_no_task(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 6);
    world_run(world, 8000);
    world->state_down = true;
    world_run(world, 15000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 1).status, 503);
    world->state_down = false;
    world_run(world, 6000);
    assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 1).status, 201);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 1);
}

/* The state service is unavailable to all nodes for longer than a node may renew leases by what it
 * knows alone. As no node has confirmed a cancellation in the meantime, tasks must keep running. */
static void a_long_state_service_outage_stops_no_task(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 6);
    world_submit(world, 0, "wk-2", "sweep", 1);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work/wk-2/abort", NULL).status,
                     200);
    world_run(world, 8000);
    world->state_down = true;
    for (int i = 0; i < 30; i++) { /* a cancellation known to all nodes before must not count */
        world_run(world, 2000);
        world_expect_stage(world, i % 3, "wk-2", "cancelled");
    }
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    world->state_down = false;
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
}

/* Drops the watches of all nodes but one. */
static int watching_node;
static enum request_fault drop_watches_of_other_nodes(struct world *world, int node,
                                                      const struct http_client_request *request)
{
    (void)world;
    return node != watching_node && g_str_has_prefix(request->path, "/watch") ? FAULT_REQUEST_LOST
                                                                              : FAULT_NONE;
}

/* A node confirms a cancellation, and then all nodes lose the state service before the owners of
 * the machines have seen it. As the nodes learn that a cancellation was confirmed, they must let
 * the leases expire in time. */
static void a_cancellation_confirmed_before_an_outage_takes_effect(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 6);
    world_run(world, 8000);
    watching_node = 0;
    world->inject_fault = drop_watches_of_other_nodes;
    world_run(world, 2500);
    /* The node that receives the cancellation stops tasks on its own machines at once. */
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    world->state_down = true;
    world_run(world, 29000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
}

/* Workers cannot reach one node. Their heartbeats must reach it through the other nodes, so that it
 * renews the leases of its machines. */
static void leases_are_renewed_through_peers_of_a_node_workers_cannot_reach(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 8);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    int starts = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        starts += world->workers[i].start_count;
    for (int i = 0; i < WORLD_NODES; i++) {
        world->worker_isolated_node = i;
        world_run(world, 25000);
        assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    }
    for (int i = 0; i < WORLD_WORKERS; i++)
        starts -= world->workers[i].start_count;
    assert_int_equal(starts, 0); /* no task may have been restarted */
}

/* The state service rejects watches that are too far behind. Replicas must then read everything
 * again, and as the changes in between are lost, the leader must raise the epoch, which voids all
 * decisions sent under the old one. */
static void a_replica_reloads_after_its_watch_is_rejected(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 4);
    world_run(world, 8000);
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    world->watches_to_reject = 6;
    for (int i = 0; i < 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-1%d", i);
        world_submit(world, i % 3, id, "sweep", 2);
        world_run(world, 300);
    }
    world_run(world, 12000);
    assert_int_equal(world->watches_to_reject, 0);
    assert_true(world->nodes[0]->replica->shard_map_epoch.value > epoch);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    for (int i = 0; i < 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-1%d", i);
        assert_int_equal(world_count_active_tasks(world, id), 2);
    }
}

/* Two processes of one node follow each other. Late writes of the old process must be rejected, and
 * the new one must not have to wait for the old lease to expire. */
static void a_restarted_node_replaces_its_earlier_process_at_once(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 6);
    world_run(world, 8000);
    for (int i = 0; i < WORLD_NODES; i++) {
        world_kill(world, i);
        world_run(world, 100);
        world_start(world, i);
        world_run(world, 3000);
        assert_non_null(world_get_leader(world));
        assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    }
    assert_int_equal(world_submit(world, 1, "wk-2", "sweep", 2).status, 201);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
}

/* All nodes crash and restart. Finished jobs must stay finished, and running tasks must keep
 * running. */
static void accepted_jobs_survive_the_crash_of_all_nodes(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 4);
    world_submit(world, 1, "wk-2", "sweep", 4);
    world_run(world, 8000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 2500);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    world_run(world, 2000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 8000);
    world_expect_stage(world, 0, "wk-1", "done");
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(an_array_job_runs_and_completes_on_every_node),
        WORLD_TEST(unknown_jobs_get_404_and_invalid_requests_are_rejected),
        WORLD_TEST(a_submission_without_a_required_field_gets_400),
        WORLD_TEST_SETTLED(a_team_stays_within_its_limit_across_a_leader_change),
        WORLD_TEST_SETTLED(a_cancelled_job_stops_and_stays_cancelled),
        WORLD_TEST(a_delayed_run_command_of_a_finished_task_starts_nothing),
        WORLD_TEST_SETTLED(a_delayed_run_command_of_a_cancelled_job_starts_nothing),
        WORLD_TEST_SETTLED(a_crash_between_run_record_and_command_loses_no_task),
        WORLD_TEST_SETTLED(tasks_of_an_unreachable_spot_machine_restart_only_after_its_return),
        WORLD_TEST(an_unreachable_on_demand_machine_keeps_its_tasks_within_its_lease),
        WORLD_TEST(no_machine_is_rented_in_a_partitioned_zone),
        WORLD_TEST_SETTLED(tasks_restart_after_lease_expiry_while_the_cloud_is_down),
        WORLD_TEST_SETTLED(a_lost_transaction_response_accepts_the_job_once),
        WORLD_TEST_SETTLED(a_node_partitioned_from_the_state_service_is_replaced_safely),
        WORLD_TEST_SETTLED(a_short_state_service_outage_stops_no_task),
        WORLD_TEST_SETTLED(a_long_state_service_outage_stops_no_task),
        WORLD_TEST_SETTLED(a_cancellation_confirmed_before_an_outage_takes_effect),
        WORLD_TEST_SETTLED(leases_are_renewed_through_peers_of_a_node_workers_cannot_reach),
        WORLD_TEST_SETTLED(a_replica_reloads_after_its_watch_is_rejected),
        WORLD_TEST(a_restarted_node_replaces_its_earlier_process_at_once),
        WORLD_TEST_SETTLED(accepted_jobs_survive_the_crash_of_all_nodes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
