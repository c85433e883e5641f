/**
 * Tests of a random load on a large fleet, with 1.5 times as many machines as the largest fleet
 * that the service has to support.
 */
#include "world.h"

#include <stdio.h>

/** Number of teams, and number of tasks of the largest jobs. */
enum { TEAM_COUNT = 16, LARGEST_JOB_TASKS = 200 };

/** The size of a load, and what it may cost. */
struct load_profile {
    int machine_count, initial_machine_count; /* the second: up at the start */
    int initial_job_count, jobs_per_second;   /* jobs at the start, and in each later second */
    uint64_t max_work_per_start; /* machines and tasks examined per start, in all nodes */
    int min_starts;              /* task starts while jobs are submitted and machines boot */
};

/** The cluster in which the loads run; worker_count and fd_limit depend on the load. */
static const struct world_config large_cluster_config = {.node_count = 5,
                                                         .team_count = TEAM_COUNT,
                                                         .team_cpus = 1200,
                                                         .team_cpus_max = 2500,
                                                         .report_s = 5,
                                                         .lease_s = 26.5,
                                                         .cancel_s = 51.5,
                                                         .rps = 350,
                                                         .write_rps = 90,
                                                         .cloud_rps = 3,
                                                         .txn_ops = 16,
                                                         .fd_limit = 4189,
                                                         .boot_ms = 1000};

/** The machine types as the cloud describes them. */
static const char machine_types_json[] =
    "{\"Builds\":[{\"Label\":\"small\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":16,\"LocalGb\":100,"
    "\"FetchGbPerS\":0.3,\"Price\":0.5,\"MarketPrice\":0.2,\"ReadyS\":15,\"Yards\":[\"a\",\"b\"]},"
    "{\"Label\":\"large\",\"Vcpus\":32,\"Cards\":0,\"MemoryGb\":128,\"LocalGb\":100,"
    "\"FetchGbPerS\":0.2,\"Price\":2.2,\"MarketPrice\":0.9,\"ReadyS\":25,\"Yards\":[\"a\",\"b\"]}]"
    "}";

/**
 * Work per start was 1,054 when the limits were set, and 5,318 when every machine was examined
 * after every heartbeat. Starts were 3,591, and 2,042 when each new machine needed a write before
 * its first task.
 */
static const struct load_profile load_on_1880_machines = {1880, 188, 100, 2, 2000, 2800};

/**
 * As many machines as users run. With more of them up at the start, each task start costs more
 * work; see measure_with_all_machines_up().
 */
static const struct load_profile load_on_4000_machines = {4000, 400, 100, 2, 6000, 2800};

/** Length of a load, and of the time at its beginning in which jobs are submitted. */
enum { DURATION_S = 45, SUBMISSION_S = 15 };

/** A job of the load. */
struct submitted_job {
    char id[24];
    int team, tasks;
    bool is_service;
    GHashTable *started_tasks; /* set of tasks that have started */
};

/** Returns the body of a submission. The caller frees it. */
static char *format_submission(const struct submitted_job *submitted, int image)
{
    return g_strdup_printf(
        "{\"Id\":\"%s\",\"Lot\":\"lot\",\"Crew\":\"team-%02d\",\"Form\":\"%s\",\"Urgency\":\"%s\","
        "\"Pieces\":%d,\"Vcpus\":4.0,\"Cards\":0.0,\"MemoryGb\":6.0,\"Mould\":\"img-%d\","
        "\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":%s,\"Loaners\":%s,\"ExpectedS\":%s,"
        "\"MarkEveryS\":0.0,\"StowS\":0.0}",
        submitted->id, submitted->team, submitted->is_service ? "daemon" : "sweep",
        submitted->is_service ? "prod" : "high", submitted->tasks, image,
        submitted->is_service ? "true" : "false", submitted->is_service ? "false" : "true",
        submitted->is_service ? "0.0" : "20.0");
}

/**
 * Submits a job at a running node and appends it to jobs. Repeats the submission while the node
 * cannot accept it yet.
 */
static void submit_generated_job(struct world *world, GArray *jobs, struct submitted_job submitted)
{
    g_snprintf(submitted.id, sizeof submitted.id, "wk-%05u", jobs->len);
    submitted.started_tasks = g_hash_table_new(NULL, NULL);
    char *job = format_submission(&submitted, (int)jobs->len % 24);
    int node = (int)jobs->len % world->config.node_count;
    while (!world->nodes[node])
        node = (node + 1) % world->config.node_count;
    int status = 503; /* 503 while a node has just been started */
    for (int tries = 0; tries < 20 && status == 503; tries++) {
        status = world_send_user_request(world, node, "POST", "/work", job).status;
        if (status == 503)
            world_run(world, 500);
    }
    assert_in_range(status, 200, 201);
    g_free(job);
    g_array_append_val(jobs, submitted);
}

/** Records which tasks have started, and completes the tasks of arrays that have run for 20 s. */
static void complete_due_tasks(struct world *world, GArray *jobs)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        bool has_exited = false;
        for (guint t = 0; worker->up && t < worker->tasks->len; t++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, t);
            struct submitted_job *submitted =
                &g_array_index(jobs, struct submitted_job, strtoul(task->job.text + 3, NULL, 10));
            g_hash_table_add(submitted->started_tasks, GUINT_TO_POINTER(task->index + 1));
            if (submitted->is_service || strcmp(task->stage, "running") != 0 ||
                time_ms_since(loop_now(world->loop), task->stage_since) < 20000)
                continue;
            worker_exit_task(worker, task->job.text, task->index, "done");
            has_exited = true;
        }
        if (has_exited)
            worker_send_heartbeat(worker);
    }
}

/**
 * Fails unless all tasks have started once in four fifths of the services, of the largest jobs, of
 * the other jobs, and of the jobs of each team.
 */
static void expect_jobs_started(GArray *jobs)
{
    int all[3] = {0}, served[3] = {0}, team_all[TEAM_COUNT] = {0}, team_served[TEAM_COUNT] = {0};
    for (guint i = 0; i < jobs->len; i++) {
        struct submitted_job *submitted = &g_array_index(jobs, struct submitted_job, i);
        int class = submitted->is_service ? 0 : submitted->tasks == LARGEST_JOB_TASKS ? 1 : 2;
        bool ok = (int)g_hash_table_size(submitted->started_tasks) == submitted->tasks;
        all[class]++;
        served[class] += ok;
        team_all[submitted->team]++;
        team_served[submitted->team] += ok;
    }
    for (int i = 0; i < 3; i++)
        if (!all[i] || served[i] * 5 < all[i] * 4)
            fail_msg("class %d: %d of %d", i, served[i], all[i]);
    for (int i = 0; i < TEAM_COUNT; i++)
        if (team_served[i] * 5 < team_all[i] * 4)
            fail_msg("team %d: %d of %d", i, team_served[i], team_all[i]);
}

/**
 * Runs a load that begins with a burst, for which machines are rented; inject_failures is called
 * every second. Returns the world. The fake state service fails the test when a value or a
 * transaction exceeds its limits.
 */
static struct world *run_load(const struct load_profile *profile,
                              void (*inject_failures)(struct world *world, int second))
{
    struct world_config config = large_cluster_config;
    config.worker_count = profile->machine_count;
    config.fd_limit = profile->machine_count * 9 / 4;
    struct world *world = world_new_with_config(&config);
    world->machine_types = machine_types_json;
    world->cloud_capacity = profile->machine_count;
    for (int i = 0; i < profile->initial_machine_count; i++)
        world_add_worker_of_type(world, i, i % 2 ? "small" : "large", i % 4 < 2 ? "a" : "b", false);
    for (int i = 0; i < world->config.node_count; i++)
        world_start(world, i);
    world_run(world, 3000);
    GRand *random = g_rand_new_with_seed(20261202);
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct submitted_job));
    for (int s = 0; s < DURATION_S; s++) {
        int more = s == 0             ? profile->initial_job_count
                   : s < SUBMISSION_S ? profile->jobs_per_second
                                      : 0;
        for (int i = 0; i < more; i++) {
            bool service = jobs->len % 20 == 0;
            struct submitted_job submitted = {.team = g_rand_int_range(random, 0, TEAM_COUNT),
                                              .tasks = service ? 10
                                                       : jobs->len % 50 == 7
                                                           ? LARGEST_JOB_TASKS
                                                           : g_rand_int_range(random, 5, 90),
                                              .is_service = service};
            submit_generated_job(world, jobs, submitted);
        }
        world_run(world, 1000);
        complete_due_tasks(world, jobs);
        inject_failures(world, s);
    }
    expect_jobs_started(jobs);
    rules_check_start_shares(world->rules);
    for (guint i = 0; i < jobs->len; i++)
        g_hash_table_unref(g_array_index(jobs, struct submitted_job, i).started_tasks);
    g_array_unref(jobs);
    g_rand_free(random);
    return world;
}

/** Number of tasks that had started when the last job was submitted. */
static int starts_during_submission;

/** A callback of run_load() that injects no failures and sets starts_during_submission. */
static void record_starts_without_failures(struct world *world, int second_index)
{
    if (second_index == SUBMISSION_S - 1)
        starts_during_submission = world_count_task_starts(world);
}

/**
 * Runs a load without failures, and fails if the nodes do more work per task start, or start fewer
 * tasks, than its limits allow.
 */
static void expect_bounded_scheduling_work(const struct load_profile *profile)
{
    struct world *world = run_load(profile, record_starts_without_failures);
    uint64_t work_per_start =
        loop_operation_count(world->loop) / (uint64_t)world_count_task_starts(world);
    if (work_per_start > profile->max_work_per_start ||
        starts_during_submission < profile->min_starts)
        fail_msg("%" G_GUINT64_FORMAT " work steps for each start, %d starts", work_per_start,
                 starts_during_submission);
    world_end(world);
}

/**
 * The work per task start must not grow with the number of machines as it does if every heartbeat
 * causes a pass over all machines.
 */
static void jobs_start_on_1880_machines_with_bounded_work(void **state)
{
    (void)state;
    expect_bounded_scheduling_work(&load_on_1880_machines);
}

/** Work per task start is bounded on as many machines as users run, too. */
static void jobs_start_on_4000_machines_with_bounded_work(void **state)
{
    (void)state;
    expect_bounded_scheduling_work(&load_on_4000_machines);
}

/**
 * A callback of run_load(): nodes die and are restarted, two of them at once, and the leader
 * shortly after its election. All their machines are taken over while the record pages are full.
 */
static void kill_and_restart_nodes(struct world *world, int second_index)
{
    int leader = world_get_leader_index(world);
    if (second_index == 3 || second_index == 4 || second_index == 14) {
        int node = second_index == 4 || leader < 0 ? 0 : leader;
        if (world->nodes[node])
            world_kill(world, node);
    }
    if (second_index == 13 || second_index == 15 || second_index == 30)
        for (int i = 0; i < world->config.node_count; i++)
            if (!world->nodes[i] && (i != 0 || second_index == 30))
                world_start(world, i);
    if (second_index == 36) /* all remaining nodes at once */
        for (int i = 0; i < world->config.node_count; i++) {
            world_kill(world, i);
            world_start(world, i);
        }
}

/** Jobs have to start although the machines of failed nodes are taken over again and again. */
static void jobs_start_on_1880_machines_while_nodes_fail(void **state)
{
    (void)state;
    world_end(run_load(&load_on_1880_machines, kill_and_restart_nodes));
}

/**
 * Runs a load on machines that are all up at the start, and prints what that took. This takes
 * minutes for thousands of machines, so it is not part of CI.
 */
static int measure_with_all_machines_up(int machines)
{
    const struct load_profile profile = {machines, machines, 100, 2, UINT64_MAX, 0};
    struct world *world = run_load(&profile, record_starts_without_failures);
    int starts = world_count_task_starts(world);
    printf("%d machines: %d starts while jobs came, %d in all, %" G_GUINT64_FORMAT
           " work steps for each\n",
           machines, starts_during_submission, starts,
           loop_operation_count(world->loop) / (uint64_t)starts);
    world_end(world);
    return 0;
}

/* Usage: test_large_fleet [MACHINES]. Runs the tests, or a measurement with that many machines. */
int main(int argc, char **argv)
{
    if (argc > 1)
        return measure_with_all_machines_up((int)strtol(argv[1], NULL, 10));
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(jobs_start_on_1880_machines_with_bounded_work),
        cmocka_unit_test(jobs_start_on_4000_machines_with_bounded_work),
        cmocka_unit_test(jobs_start_on_1880_machines_while_nodes_fail)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
