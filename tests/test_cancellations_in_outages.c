/**
 * Tests of cancellations that one node has confirmed and another does not see: the state service
 * refuses a single node, and is then unavailable to all for longer than cancel_timeout_s, while
 * workers keep reporting. Tasks of the cancelled job must stop in time all the same, and those of
 * the other job must keep running.
 */
#include "shard_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

/* The setting cancel_timeout_s, the length of an outage, and the number of tasks of each
 * service. */
enum { CANCEL_TIMEOUT_MS = 30000, OUTAGE_MS = 60000, TASKS_PER_SERVICE = 12 };

/* The two services that run: one is cancelled, the other continues. */
static const char *cancelled_job, *continuing_job;

/* Returns the index of the node that owns a machine. */
static int get_owner_index(struct world *world, const char *machine)
{
    return shard_map_get_owner(world->nodes[0]->replica, machine)[5] - '0';
}

/* Returns whether a task of the job is on a machine that the node owns. */
static bool node_owns_task_of(struct world *world, int node, const char *job)
{
    for (int i = 0; i < WORLD_WORKERS; i++) {
        struct worker *worker = &world->workers[i];
        for (guint t = 0; get_owner_index(world, worker->id) == node && t < worker->tasks->len; t++)
            if (strcmp(g_array_index(worker->tasks, struct worker_task, t).job.text, job) == 0)
                return true;
    }
    return false;
}

/* Starts two services on eight machines. The one that has tasks on the leader's own machines is to
 * be cancelled. */
static void start_two_services(struct world *world)
{
    world->cloud_capacity = 0;
    world->lost_rpc_suffix = "/cancelled"; /* no broadcasts of cancellations: nodes must ask */
    for (int i = 0; i < WORLD_WORKERS; i++) {
        char next[16];
        do /* every node owns machines */
            g_snprintf(next, sizeof next, "host-%06d", ++world->rented_count);
        while (get_owner_index(world, next) != i % WORLD_NODES);
        world->rented_count--;
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    }
    world_run(world, 4000);
    world_submit(world, 0, "wk-1", "daemon", TASKS_PER_SERVICE);
    world_submit(world, 0, "wk-2", "daemon", TASKS_PER_SERVICE);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), TASKS_PER_SERVICE);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), TASKS_PER_SERVICE);
    bool first = node_owns_task_of(world, world_get_leader_index(world), "wk-1");
    cancelled_job = first ? "wk-1" : "wk-2";
    continuing_job = first ? "wk-2" : "wk-1";
    assert_true(node_owns_task_of(world, world_get_leader_index(world), cancelled_job));
}

/* Called when a cancellation has been confirmed: expects that all tasks stop within
 * cancel_timeout_s and that none runs until duration_ms. */
static void expect_stopped_in_time(struct world *world, const char *job, int64_t duration_ms)
{
    world_run(world, CANCEL_TIMEOUT_MS - 1000);
    assert_int_equal(world_count_active_tasks(world, job), 0);
    for (int64_t t = CANCEL_TIMEOUT_MS - 1000; t < duration_ms; t += 500) {
        world_run(world, 500);
        assert_int_equal(world_count_active_tasks(world, job), 0);
    }
}

/* Ends all faults and expects that the other service still runs. */
static void end_faults(struct world *world)
{
    world->inject_fault = NULL;
    world->rewrite_rpc_response = NULL;
    world->state_down = false;
    world->cloud_capacity = 16; /* idle machines may have been returned */
    memset(world->state_unavailable_to, 0, sizeof world->state_unavailable_to);
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
}

/* The time from the refusal of the node to the cancellation (negative: the cancellation comes
 * first), and from its confirmation to the outage. */
struct outage_timing {
    int cancel_ms, outage_ms;
};

/* The state service refuses the leader, another node (counted from the leader) confirms a
 * cancellation, and then the state service is unavailable to all. */
static void check_refusal_then_outage(struct world *world, struct outage_timing timing,
                                      int confirming_node)
{
    start_two_services(world);
    int refused_node = world_get_leader_index(world);
    confirming_node = (refused_node + confirming_node) % 3;
    if (timing.cancel_ms < 0) {
        assert_int_equal(world_cancel_job(world, confirming_node, cancelled_job), 200);
        world_run(world, -timing.cancel_ms);
        world->state_unavailable_to[refused_node] = true;
    } else {
        world->state_unavailable_to[refused_node] = true;
        world_run(world, timing.cancel_ms);
        assert_int_equal(world_cancel_job(world, confirming_node, cancelled_job), 200);
    }
    world_run(world, timing.outage_ms);
    world->state_down = true;
    int starts = world_count_task_starts(world);
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_int_equal(world_count_active_tasks(world, continuing_job),
                     TASKS_PER_SERVICE); /* the leases of its machines were renewed */
    end_faults(world);
    world_expect_stage(world, 0, cancelled_job, "cancelled");
}

/* The leader does not see a cancellation that each of the other nodes confirms before, when or
 * after the state service begins to refuse the leader. The leader must stop the tasks by commands
 * and not let the leases expire, which would end all other tasks on the machines too. */
static void a_refused_leader_stops_tasks_cancelled_through_other_nodes(void **state)
{
    static const struct outage_timing timings[] = {{-40, 0},  {0, 0},     {0, 1000},
                                                   {1500, 0}, {1500, 30}, {1500, 1500}};
    for (guint i = 0; i < 2 * G_N_ELEMENTS(timings); i++) {
        check_refusal_then_outage(*state, timings[i / 2], 1 + (int)i % 2);
        world_teardown(state);
        world_setup(state);
    }
}

static int node_without_watch;

/* Drops the watches of one node. */
static enum request_fault drop_watches_of_node(struct world *world, int node,
                                               const struct http_client_request *request)
{
    (void)world;
    return node == node_without_watch && g_str_has_prefix(request->path, "/watch")
               ? FAULT_REQUEST_LOST
               : FAULT_NONE;
}

/* The state service carries out a cancellation for the leader, which confirms it; but from then on
 * its watch fails, so its replica never shows it. The leader must apply the cancellation all the
 * same. */
static void a_node_applies_a_cancellation_it_confirmed_without_its_watch(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    int leader = world_get_leader_index(world);
    world->inject_fault = drop_watches_of_node;
    node_without_watch = leader;
    world_run(world, 2500);
    assert_int_equal(world_cancel_job(world, leader, cancelled_job), 200);
    world->state_unavailable_to[leader] = true;
    world->state_down = true;
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
    end_faults(world);
}

/* Injects command_fault into all commands to workers. */
static enum request_fault command_fault;
static enum request_fault inject_command_fault(struct world *world, int node,
                                               const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/commands") == 0 ? command_fault : FAULT_NONE;
}

/* All nodes know of a cancellation, but their stop commands are lost. They must be repeated
 * although no node holds a valid lease or can write. */
static void lost_stop_commands_are_repeated_in_an_outage(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world->inject_fault = inject_command_fault;
    command_fault = FAULT_REQUEST_LOST;
    for (int i = 0; i < WORLD_WORKERS; i++) /* no heartbeats meanwhile */
        world->workers[i].heartbeats_paused_until = time_add_ms(loop_now(world->loop), 8500);
    world_run(world, 2000); /* and no responses to earlier ones */
    assert_int_equal(world_cancel_job(world, 0, cancelled_job), 200);
    world_run(world, 200);
    world->state_down = true;
    world_run(world, 5500); /* the leases of the nodes have expired by now */
    assert_int_equal(world_count_active_tasks(world, cancelled_job), TASKS_PER_SERVICE);
    command_fault = FAULT_NONE;
    world_run(world, 2000);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    world_run(world, OUTAGE_MS);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
    end_faults(world);
}

/* A run command is in transit while its job is cancelled, and no node can raise the epoch. The
 * lease of the machine must expire before the command could be executed later than cancel_timeout_s
 * after the cancellation. */
static void a_delayed_run_command_arrives_after_the_lease_of_a_cancelled_task(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world->inject_run_fault = hold_run_commands;
    assert_int_equal(world_submit(world, 0, "wk-3", "daemon", 4).status, 201);
    world_run(world, 1000);
    assert_true(world->held_requests->len > 0);
    assert_int_equal(world_cancel_job(world, 1, "wk-3"), 200);
    world->state_down = true;
    world_run(world, CANCEL_TIMEOUT_MS + 1000);
    world->inject_run_fault = NULL;
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    world_run(world, 5000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 0);
    world_run(world, OUTAGE_MS);
    end_faults(world);
}

/* While no heartbeats arrive, stop commands must be sent to the machines directly and at once. */
static void stop_commands_do_not_wait_for_heartbeats(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    int refused_node = world_get_leader_index(world);
    world->state_down = true;
    world_run(world, 6000); /* its own lease is no longer certainly valid */
    world->state_unavailable_to[refused_node] = true;
    world->state_down = false;
    world_run(world, 1500);
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].heartbeats_paused_until = time_add_ms(loop_now(world->loop), 8000);
    assert_int_equal(world_cancel_job(world, (refused_node + 1) % 3, cancelled_job), 200);
    world->state_down = true;
    world_run(world, 2000);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    end_faults(world);
}

/* The node that confirmed a cancellation crashes and restarts during the outage. As no node can
 * tell what it had confirmed, no leases may be renewed. */
static void tasks_stop_although_the_confirming_node_restarts_in_the_outage(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    int refused_node = world_get_leader_index(world), confirming_node = (refused_node + 1) % 3;
    world->state_unavailable_to[refused_node] = true;
    world_run(world, 300);
    assert_int_equal(world_cancel_job(world, confirming_node, cancelled_job), 200);
    world->state_down = true;
    world_kill(world, confirming_node);
    world_run(world, 50);
    world_start(world, confirming_node);
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    end_faults(world);
}

/* Drops all RPCs between nodes. */
static enum request_fault drop_rpcs_between_nodes(struct world *world, int node,
                                                  const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return g_str_has_suffix(request->address, ":8081") ? FAULT_REQUEST_LOST : FAULT_NONE;
}

/* A node that cannot ask its peers must assume that they have confirmed cancellations, and let the
 * leases of its machines expire in time. */
static void unreachable_peers_may_have_confirmed_a_cancellation(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    int refused_node = world_get_leader_index(world);
    world->state_unavailable_to[refused_node] = true;
    world->inject_fault = drop_rpcs_between_nodes;
    world_run(world, 300);
    assert_int_equal(world_cancel_job(world, (refused_node + 1) % 3, cancelled_job), 200);
    world->state_down = true;
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    end_faults(world);
}

/* A machine hangs when its stop command is sent and continues within its lease. It must get the
 * stop command then, or with the response to its first heartbeat. */
static void a_machine_that_hangs_when_a_stop_command_arrives_stops_the_task_later(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    int refused_node = world_get_leader_index(world);
    world->state_unavailable_to[refused_node] = true;
    world_run(world, 300);
    for (int i = 0; i < WORLD_WORKERS; i += 2)
        world->workers[i].unreachable = true;
    assert_int_equal(world_cancel_job(world, (refused_node + 1) % 3, cancelled_job), 200);
    world->state_down = true;
    world_run(world, 8000);
    for (int i = 0; i < WORLD_WORKERS; i += 2)
        world->workers[i].unreachable = false;
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    end_faults(world);
}

/* Replaces the response of a node by a duplicate of its first one, from before it confirmed a
 * cancellation. */
static char *first_response[WORLD_NODES];
static char *replay_first_response(struct world *world, int node, const char *path,
                                   const char *body)
{
    (void)world;
    if (!strstr(path, "health") || !strstr(body, "\"cancelled\""))
        return NULL;
    if (!first_response[node] && strstr(body, "\"served\":false"))
        first_response[node] = g_strdup(body);
    return g_strdup(first_response[node]); /* NULL until there is one */
}

/* A duplicate of an old response, in which a node says that it has confirmed no cancellation, must
 * not be taken for its current one. */
static void a_duplicate_of_an_old_rpc_response_is_ignored(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    memset(first_response, 0, sizeof first_response);
    world_run(world, 15000);
    world->rewrite_rpc_response = replay_first_response;
    int refused_node = world_get_leader_index(world);
    world->state_unavailable_to[refused_node] = true;
    world->state_down = true;
    world_run(world, 2000); /* no user is served and nothing has been confirmed */
    assert_non_null(first_response[refused_node]);
    world->state_down = false;
    world_run(world, 1500);
    assert_int_equal(world_cancel_job(world, (refused_node + 1) % 3, cancelled_job), 200);
    world->state_down = true;
    expect_stopped_in_time(world, cancelled_job, OUTAGE_MS);
    end_faults(world);
    for (int i = 0; i < WORLD_NODES; i++)
        g_free(first_response[i]);
}

/* Two outages within one lease, each after another node has confirmed a cancellation that the
 * leader does not see. The tasks of both jobs must stop in time. */
static void two_outages_within_one_lease_stop_both_cancelled_jobs(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world_submit(world, 0, "wk-3", "daemon", 8);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 8);
    int refused_node = world_get_leader_index(world);
    world->state_unavailable_to[refused_node] = true;
    world_run(world, 200);
    assert_int_equal(world_cancel_job(world, (refused_node + 1) % 3, cancelled_job), 200);
    world->state_down = true;
    world_run(world, 4000);
    world->state_down = false; /* the leader is still refused */
    world_run(world, 1200);
    assert_int_equal(world_cancel_job(world, (refused_node + 2) % 3, "wk-3"), 200);
    world->state_down = true;
    world_run(world, CANCEL_TIMEOUT_MS - 5400);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    expect_stopped_in_time(world, "wk-3", OUTAGE_MS);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
    end_faults(world);
}

/* Before a cancellation is confirmed to its user, all nodes know of it, whatever their replicas
 * show, and none sends a run command for the job any more. The confirmation waits only briefly for
 * a node that cannot be reached. */
static void all_nodes_learn_of_a_cancellation_before_it_is_confirmed(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world->lost_rpc_suffix = NULL;
    for (int node = 0; node < WORLD_NODES; node++)
        world->state_unavailable_to[node] = node != 1;
    assert_int_equal(world_cancel_job(world, 1, cancelled_job), 200);
    job_id job;
    assert_true(job_id_parse(&job, cancelled_job));
    for (int node = 0; node < WORLD_NODES; node++) {
        assert_int_equal(cancel_broadcast_get_status(world->nodes[node]->cancel_broadcast, job),
                         CANCEL_COMMITTED);
        assert_true(node == 1 ||
                    replica_get_job(world->nodes[node]->replica, cancelled_job)->state ==
                        JOB_ACTIVE);
    }
    world_run(world, 500); /* stop commands were sent without any event from a watch */
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    end_faults(world);
    world_submit(world, 0, "wk-3", "sweep", 1);
    world->lost_rpc_suffix = "/cancelled";
    char *path = g_strdup("/work/wk-3/abort");
    struct user_response response = world_send_user_request(world, 0, "POST", path, NULL);
    assert_int_equal(response.status, 200);
    assert_in_range(response.latency_ms, 0, 200);
    g_free(path);
}

/* ---- cancellations with an unknown outcome ---- */

static enum request_fault cancel_fault;

/* Injects cancel_fault into transactions that cancel a job. */
static enum request_fault inject_cancel_fault(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"c\":true") ? cancel_fault
                                                                                     : FAULT_NONE;
}

/* The transaction of a cancellation fails so that the node cannot know its outcome, and an outage
 * follows. The tasks must stop in time, the other service must continue, and a state that may not
 * be committed must not be returned. */
static void check_unconfirmed_cancellation(struct world *world, enum request_fault fault)
{
    start_two_services(world);
    int refused_node = world_get_leader_index(world), receiving_node = (refused_node + 1) % 3;
    world->inject_fault = inject_cancel_fault;
    cancel_fault = fault;
    world->state_unavailable_to[refused_node] = true;
    world_run(world, 300);
    assert_int_equal(world_cancel_job(world, receiving_node, cancelled_job), 503);
    world->state_down = true;
    for (int i = 0; i < 20; i++) { /* no state that may not be committed is returned */
        world_run(world, 1400);
        char *path = g_strconcat("/work/", cancelled_job, NULL);
        struct user_response response = world_send_user_request(world, i % 3, "GET", path, NULL);
        g_free(path);
        assert_true(response.status == 503 || fault == FAULT_RESPONSE_LOST);
    }
    world_run(world, 1000);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    world_run(world, OUTAGE_MS);
    assert_int_equal(world_count_active_tasks(world, continuing_job), TASKS_PER_SERVICE);
    end_faults(world);
}

/* The cancellation was committed but the response is lost, so the job stays cancelled. */
static void a_committed_cancellation_with_a_lost_response_takes_effect(void **state)
{
    check_unconfirmed_cancellation(*state, FAULT_RESPONSE_LOST);
    world_expect_stage(*state, 0, cancelled_job, "cancelled");
    assert_int_equal(world_count_active_tasks(*state, cancelled_job), 0);
}

/* The request never arrived, so the job was not cancelled. Its tasks run again once nodes can
 * write. */
static void a_cancellation_that_was_not_committed_has_no_lasting_effect(void **state)
{
    struct world *world = *state;
    check_unconfirmed_cancellation(world, FAULT_REQUEST_LOST);
    world_run(world, 10000);
    world_expect_stage(world, 0, cancelled_job, "running");
    assert_int_equal(world_count_active_tasks(world, cancelled_job), TASKS_PER_SERVICE);
    cancel_fault = FAULT_NONE;
    assert_int_equal(world_cancel_job(world, 2, cancelled_job), 200);
    expect_stopped_in_time(world, cancelled_job, CANCEL_TIMEOUT_MS);
}

/* ---- partitioned zones ---- */

/* The owners' stop commands are lost, and afterwards the machines can reach only a node that does
 * not own all of them. It knows of the cancellation, so its responses to heartbeats must stop the
 * tasks. */
static void a_non_owner_stops_cancelled_tasks_of_machines_it_renews(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world->inject_fault = inject_command_fault;
    command_fault = FAULT_REQUEST_LOST;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].heartbeats_paused_until = time_add_ms(loop_now(world->loop), 2000);
    assert_int_equal(world_cancel_job(world, 0, cancelled_job), 200);
    world_run(world, 500);
    world->isolated_node = (world_get_leader_index(world) + 1) % 3;
    world->inject_fault = world_isolate_node;
    for (int i = 0; i < WORLD_WORKERS; i++) {
        world->workers[i].reachable_node = world->isolated_node;
        world->workers[i].heartbeats_paused_until = time_add_ms(loop_now(world->loop), 6500);
    }
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, cancelled_job), 0);
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].reachable_node = -1;
    end_faults(world);
}

/* Refuses writes of the shard map, so that no epoch can begin. */
static enum request_fault refuse_shard_maps(struct world *world, int node,
                                            const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/map")
               ? FAULT_UNAVAILABLE
               : FAULT_NONE;
}

/* A run command is in transit for a job that was cancelled some time ago, and no node can raise the
 * epoch. A node that renews the lease of the machine for its owner must then let it expire before
 * the command arrives. */
static void a_delayed_run_command_arrives_after_a_lease_renewed_by_a_non_owner(void **state)
{
    struct world *world = *state;
    start_two_services(world);
    world->inject_fault = refuse_shard_maps;
    world->inject_run_fault = hold_run_commands;
    assert_int_equal(world_submit(world, 0, "wk-3", "daemon", 4).status, 201);
    world_run(world, 1000);
    assert_true(world->held_requests->len > 0);
    assert_int_equal(world_cancel_job(world, 1, "wk-3"), 200);
    world_run(world, 9000);
    world->isolated_node = (world_get_leader_index(world) + 1) % 3;
    world->state_unavailable_to[world->isolated_node] =
        true; /* so that its watch delivers nothing more */
    world->inject_fault = world_isolate_node;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].reachable_node = world->workers[i].node = world->isolated_node;
    world_run(world, CANCEL_TIMEOUT_MS - 8500);
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].reachable_node = -1;
    int starts = world_count_task_starts(world);
    world_deliver_held_requests(world);
    assert_int_equal(world_count_task_starts(world), starts);
    world->inject_run_fault = NULL;
    end_faults(world);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(a_refused_leader_stops_tasks_cancelled_through_other_nodes),
        WORLD_TEST_SETTLED(a_node_applies_a_cancellation_it_confirmed_without_its_watch),
        WORLD_TEST_SETTLED(lost_stop_commands_are_repeated_in_an_outage),
        WORLD_TEST_SETTLED(a_delayed_run_command_arrives_after_the_lease_of_a_cancelled_task),
        WORLD_TEST_SETTLED(stop_commands_do_not_wait_for_heartbeats),
        WORLD_TEST_SETTLED(tasks_stop_although_the_confirming_node_restarts_in_the_outage),
        WORLD_TEST_SETTLED(unreachable_peers_may_have_confirmed_a_cancellation),
        WORLD_TEST_SETTLED(a_machine_that_hangs_when_a_stop_command_arrives_stops_the_task_later),
        WORLD_TEST_SETTLED(a_duplicate_of_an_old_rpc_response_is_ignored),
        WORLD_TEST_SETTLED(two_outages_within_one_lease_stop_both_cancelled_jobs),
        WORLD_TEST_SETTLED(all_nodes_learn_of_a_cancellation_before_it_is_confirmed),
        WORLD_TEST_SETTLED(a_committed_cancellation_with_a_lost_response_takes_effect),
        WORLD_TEST_SETTLED(a_cancellation_that_was_not_committed_has_no_lasting_effect),
        WORLD_TEST_SETTLED(a_non_owner_stops_cancelled_tasks_of_machines_it_renews),
        WORLD_TEST_SETTLED(a_delayed_run_command_arrives_after_a_lease_renewed_by_a_non_owner),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
