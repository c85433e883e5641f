/**
 * Tests of gangs when machines become unreachable, zones are cut off and commands arrive late. A
 * task whose end is not proven still counts. Every test ends with a world that settles and with the
 * check of the protocol rules.
 */
#include "gang_fixtures.h"

/* ---- a machine that hangs ---- */

/** The worker that hang_worker_at_first_start() has made unreachable. */
static struct worker *hung_worker;

/**
 * A run_command_fault_fn: the first worker to which a start command is sent hangs from then on and
 * does not receive the command.
 */
static enum run_command_fault
hang_worker_at_first_start(struct world *world, const struct worker *worker, const char *response)
{
    (void)response;
    if (hung_worker)
        return RUN_COMMANDS_DELIVERED;
    hung_worker = g_hash_table_lookup(world->workers_by_address, worker->address);
    hung_worker->unreachable = true;
    return RUN_COMMANDS_HELD;
}

/**
 * Starts a gang of four tasks on five machines, one of which hangs before it receives its start
 * command.
 */
static void start_gang_with_hung_worker(struct world *world)
{
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    hung_worker = NULL;
    world->inject_run_fault = hang_worker_at_first_start;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 2000);
    assert_non_null(hung_worker);
    assert_int_equal(hung_worker->tasks->len, 0);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
}

/**
 * Runs until all tasks of the gang run, for at most within_ms. The waiting tasks must have been
 * stopped before gang_wait_timeout_s has passed, and the gang restarted with a new attempt, without
 * the hung worker.
 */
static void expect_restart_without_hung_worker(struct world *world, int64_t within_ms)
{
    uint64_t old_attempt = 0;
    for (uint32_t i = 0; i < 4 && !old_attempt; i++)
        if (find_worker_with_task(world, "wk-1", i))
            old_attempt =
                worker_find_task(find_worker_with_task(world, "wk-1", i), "wk-1", i)->attempt;
    for (int64_t ms = 0; ms < within_ms && !world_count_gang_starts(world, "wk-1"); ms += 100)
        world_run(world, 100);
    assert_true(expect_gang_running(world, "wk-1", 4) > old_attempt);
    assert_int_equal(hung_worker->tasks->len, 0);
    assert_int_equal(world_count_task_starts(world), 3 + 4);
}

/**
 * The hung machine is returned to the cloud, which proves that its task has ended. The tasks that
 * wait for it are stopped, and the whole gang restarts elsewhere within half of
 * gang_wait_timeout_s.
 */
static void gang_restarts_before_its_timeout_when_a_hung_machine_is_returned(void **state)
{
    struct world *world = prepare_gang_world(state);
    start_gang_with_hung_worker(world);
    expect_restart_without_hung_worker(world, 10000 - 2000);
    complete_gang(world, "wk-1");
}

/**
 * The cloud does not answer, so only the expiry of the lease proves that the task has ended. The
 * gang still restarts before gang_wait_timeout_s has passed.
 */
static void gang_restarts_before_its_timeout_when_a_hung_machine_loses_its_lease(void **state)
{
    struct world *world = prepare_gang_world(state);
    world->cloud_down = true;
    start_gang_with_hung_worker(world);
    expect_restart_without_hung_worker(world, 20000 - 2000);
    complete_gang(world, "wk-1");
}

/* ---- a zone that is cut off ---- */

/** A run_command_fault_fn that keeps copies of the run commands to workers in zone b. */
static enum run_command_fault repeat_run_commands_to_zone_b(struct world *world,
                                                            const struct worker *worker,
                                                            const char *response)
{
    (void)world;
    (void)response;
    return strcmp(worker->zone, "b") == 0 ? RUN_COMMANDS_REPEATED : RUN_COMMANDS_DELIVERED;
}

/** Cuts all workers of zone b off from all nodes, or connects them again. */
static void set_zone_b_partitioned(struct world *world, bool partitioned)
{
    for (int i = 0; i < world->config.worker_count; i++)
        if (strcmp(world->workers[i].zone, "b") == 0)
            world->workers[i].reachable_node = partitioned ? WORLD_MAX_NODES : -1;
}

/**
 * Starts a gang of one task in zone a and two in zone b, then adds two machines in zone a. Copies
 * of the start commands to zone b are held back. Returns the attempt.
 */
static uint64_t start_gang_in_both_zones(struct world *world)
{
    world->cloud_down = true;
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    world_add_worker(world, 2, "b", true);
    world_run(world, 4000);
    world->inject_run_fault = repeat_run_commands_to_zone_b;
    submit_job(world, "wk-1", "gang", "high", 3, 8.0);
    world_run(world, 5000);
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 3);
    assert_true(world->held_requests->len >= 2);
    world_add_worker(world, 6, "a", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 2000);
    return old_attempt;
}

/**
 * Runs the world for the given time and fails if a task of a new attempt is on a machine while a
 * run record of the old attempt exists.
 */
static void run_and_check_attempts_do_not_overlap(struct world *world, uint64_t old_attempt,
                                                  int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 20) {
        world_run(world, 20);
        if (count_run_records(world, 0, "wk-1", old_attempt))
            assert_int_equal(world_count_active_tasks(world, "wk-1"),
                             count_tasks_of_attempt(world, "wk-1", old_attempt));
    }
}

/**
 * Fails unless the gang runs with a new attempt and the held commands of the old attempt neither
 * start nor stop anything. No task of the old attempt may still run.
 */
static void expect_held_commands_ignored(struct world *world, uint64_t old_attempt)
{
    uint64_t attempt = expect_gang_running(world, "wk-1", 3);
    assert_true(attempt > old_attempt);
    int starts = world_count_task_starts(world);
    world->inject_run_fault = NULL;
    world_deliver_held_requests(world);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old_attempt), 0);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_true(expect_gang_running(world, "wk-1", 3) == attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/**
 * The tasks in the partitioned zone exit with the others, and the heartbeats that their workers
 * send after the partition prove it. These workers are still in the session to which the late start
 * commands belong.
 */
static void late_commands_are_ignored_after_a_partition_shorter_than_the_lease(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_in_both_zones(world);
    set_zone_b_partitioned(world, true);
    run_and_check_attempts_do_not_overlap(world, old_attempt, 6000);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old_attempt), 0);
    assert_true(count_run_records(world, 0, "wk-1", old_attempt) >= 2);
    set_zone_b_partitioned(world, false);
    run_and_check_attempts_do_not_overlap(world, old_attempt, 25000);
    expect_held_commands_ignored(world, old_attempt);
}

/**
 * The expiry of the leases proves that the tasks have ended, and the gang restarts during the
 * partition.
 */
static void late_commands_are_ignored_after_a_partition_longer_than_the_lease(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old_attempt = start_gang_in_both_zones(world);
    set_zone_b_partitioned(world, true);
    run_and_check_attempts_do_not_overlap(world, old_attempt, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    assert_true(count_run_records(world, 0, "wk-1", old_attempt) >= 2);
    run_and_check_attempts_do_not_overlap(world, old_attempt, 34000);
    assert_true(expect_gang_running(world, "wk-1", 3) > old_attempt);
    set_zone_b_partitioned(world, false);
    expect_held_commands_ignored(world, old_attempt);
}

/* ---- tasks whose end is not proven ---- */

/**
 * One task of a gang of two on two machines fails while the machine of the other one hangs. The
 * other task stays on it, and only the expiry of the lease can prove its end. Returns the attempt.
 */
static uint64_t fail_one_task_and_hang_the_other(struct world *world)
{
    uint64_t old_attempt = expect_gang_running(world, "wk-1", 2);
    world->cloud_down = true;
    find_worker_with_task(world, "wk-1", 1)->unreachable = true;
    worker_exit_task(find_worker_with_task(world, "wk-1", 0), "wk-1", 0, "error");
    return old_attempt;
}

/**
 * Runs while a run record of the old attempt exists, and fails if any other task of the job is on a
 * machine meanwhile.
 */
static void expect_no_start_before_end_is_proven(struct world *world, const char *job,
                                                 uint64_t old_attempt)
{
    int64_t waited_ms = 0;
    for (; waited_ms < 30000 && count_run_records(world, 0, "wk-1", old_attempt); waited_ms += 20) {
        assert_int_equal(world_count_active_tasks(world, job),
                         count_tasks_of_attempt(world, job, old_attempt));
        world_run(world, 20);
    }
    assert_in_range(waited_ms, 6000, 20000); /* the lease is 10 s */
}

/**
 * The team is limited to 16 CPUs. A gang of higher priority needs all of them and has machines to
 * run on, but waits until it is proven that the hung task, which uses 8 CPUs, has ended.
 */
static void tasks_with_unproven_end_count_against_the_team_limit(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job_for_team(world, "wk-1", "gang", "normal", 2, 8.0, "red");
    world_run(world, 5000);
    uint64_t old_attempt = fail_one_task_and_hang_the_other(world);
    submit_job_for_team(world, "wk-2", "gang", "prod", 2, 8.0, "red");
    expect_no_start_before_end_is_proven(world, "wk-2", old_attempt);
    world_run(world, 6000);
    expect_gang_running(world, "wk-2", 2);
    complete_gang(world, "wk-2");
}

/**
 * A task of a one-zone gang hangs in zone a. The gang must not start in zone b, which has room for
 * all of it, before it is proven that the task has ended.
 */
static void task_with_unproven_end_keeps_a_gang_from_starting_in_another_zone(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 4, "a", true);
    world_add_worker(world, 5, "a", true);
    world_run(world, 4000);
    submit_one_zone_gang(world, "wk-1", 2, 8.0);
    world_run(world, 5000);
    uint64_t old_attempt = fail_one_task_and_hang_the_other(world);
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "b", true);
    expect_no_start_before_end_is_proven(world, "wk-1", old_attempt);
    world_run(world, 15000);
    assert_true(expect_gang_running(world, "wk-1", 2) > old_attempt);
    for (uint32_t i = 0; i < 2; i++)
        assert_string_equal(find_worker_with_task(world, "wk-1", i)->zone, "b");
    complete_gang(world, "wk-1");
}

/**
 * The dispatch of one task of a one-zone gang is rejected, and no other machine of zone a has room.
 * The task must not start in zone b: the other tasks are stopped, and the whole gang starts there.
 */
static void one_zone_gang_is_restarted_rather_than_split_over_zones(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 7; i++)
        add_machine_not_owned_by_leader(world, i, "a");
    world_run(world, 4000);
    reclaimed_worker = NULL;
    world->inject_fault = reclaim_during_dispatch;
    submit_one_zone_gang(world, "wk-1", 3, 8.0);
    for (int ms = 0; ms < 3000 && !world_count_active_tasks(world, "wk-1"); ms += 20)
        world_run(world, 20);
    assert_non_null(reclaimed_worker);
    for (int i = 0; i < 3; i++)
        world_add_worker(world, i, "b", true);
    world_run(world, 12000);
    expect_gang_running(world, "wk-1", 3);
    for (uint32_t i = 0; i < 3; i++)
        assert_string_equal(find_worker_with_task(world, "wk-1", i)->zone, "b");
    assert_int_equal(reclaimed_worker->start_count, 0);
    assert_int_equal(world_count_task_starts(world), 2 + 3);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

/* ---- random load on many machines ---- */

/**
 * Size of the large load: durations of the load and of the time without failures that follows it,
 * and how many machines are unreachable or faulty at the same time.
 */
enum {
    LARGE_WORLD_WORKERS = 40,
    LOAD_DURATION_S = 400,
    RECOVERY_S = 240,
    MAX_UNREACHABLE = 3,
    MAX_FAULTY = 2
};

/** The cmocka setup of LARGE_WORLD_TEST: a world of LARGE_WORLD_WORKERS workers and three teams. */
static int setup_large_world(void **state)
{
    struct world_config config = world_default_config();
    config.worker_count = LARGE_WORLD_WORKERS;
    config.team_count = 3;
    config.team_cpus = 80;
    config.team_cpus_max = 160;
    struct world *world = world_new_with_config(&config);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 3000);
    assert_non_null(world_get_leader(world));
    *state = world;
    return 0;
}

/**
 * When, in seconds of the load, each injected failure ends (0: it is not active), and how many
 * failures of each kind were injected.
 */
struct active_failures {
    int unreachable_until_s[LARGE_WORLD_WORKERS], faulty_until_s[LARGE_WORLD_WORKERS];
    int killed_node, killed_until_s, state_outage_until_s;
    int killed_leader_count, state_outage_count, unreachable_count, faulty_count;
};

/** Returns for how many workers the failure is active. */
static int count_active(const int *until_s)
{
    int n = 0;
    for (int i = 0; i < LARGE_WORLD_WORKERS; i++)
        n += until_s[i] > 0;
    return n;
}

/** Ends the failures whose time is over. */
static void end_expired_failures(struct world *world, struct active_failures *failures, int now)
{
    for (int i = 0; i < LARGE_WORLD_WORKERS; i++) {
        if (failures->unreachable_until_s[i] && now >= failures->unreachable_until_s[i]) {
            world->workers[i].unreachable = false;
            failures->unreachable_until_s[i] = 0;
        }
        if (failures->faulty_until_s[i] && now >= failures->faulty_until_s[i])
            failures->faulty_until_s[i] = 0;
    }
    if (failures->killed_until_s && now >= failures->killed_until_s) {
        world_start(world, failures->killed_node);
        failures->killed_until_s = 0;
    }
    if (failures->state_outage_until_s && now >= failures->state_outage_until_s) {
        world->state_down = false;
        failures->state_outage_until_s = 0;
    }
}

/** Kills the leader until the given second, unless another node is down. */
static void kill_leader_until(struct world *world, struct active_failures *failures, int until_s)
{
    int leader = world_get_leader_index(world);
    if (failures->killed_until_s || leader < 0)
        return;
    world_kill(world, leader);
    failures->killed_node = leader;
    failures->killed_until_s = until_s;
    failures->killed_leader_count++;
}

/**
 * Injects a failure every FAILURE_INTERVAL_S seconds. The kinds take turns, and a failure that is
 * still active is not injected again.
 */
static void inject_next_failure(struct world *world, GRand *random,
                                struct active_failures *failures, int now)
{
    enum { FAILURE_INTERVAL_S = 4, FAILURE_KINDS = 5 };
    if (now % FAILURE_INTERVAL_S)
        return;
    int random_worker = g_rand_int_range(random, 0, LARGE_WORLD_WORKERS),
        until_s = now + g_rand_int_range(random, 5, 25);
    switch (now / FAILURE_INTERVAL_S % FAILURE_KINDS) {
    case 0:
        kill_leader_until(world, failures, until_s);
        break;
    case 1:
        if (failures->state_outage_until_s)
            break;
        world->state_down = true;
        failures->state_outage_until_s = now + g_rand_int_range(random, 3, 12);
        failures->state_outage_count++;
        break;
    case 2:
        if (count_active(failures->faulty_until_s) >= MAX_FAULTY ||
            !world->workers[random_worker].up)
            break;
        failures->faulty_until_s[random_worker] = until_s;
        failures->faulty_count++;
        break;
    default:
        if (count_active(failures->unreachable_until_s) >= MAX_UNREACHABLE ||
            !world->workers[random_worker].up)
            break;
        world->workers[random_worker].unreachable = true;
        failures->unreachable_until_s[random_worker] = until_s;
        failures->unreachable_count++;
    }
}

/** Makes all running tasks on faulty machines fail. */
static void fail_tasks_on_faulty_machines(struct world *world,
                                          const struct active_failures *failures)
{
    for (int i = 0; i < LARGE_WORLD_WORKERS; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; failures->faulty_until_s[i] && worker->up && !worker->unreachable &&
                          n < worker->tasks->len;
             n++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, n);
            if (strcmp(task->stage, "running") == 0)
                worker_exit_task(worker, task->job.text, task->index, "error");
        }
    }
}

/** Returns the body of a random submission: a gang or an array of one of three teams. */
static char *generate_submission(GRand *random, int number)
{
    static const double cpus[] = {1, 2, 4, 8};
    static const char *const priority_json[] = {"\"high\"", "\"normal\"", "\"best_effort\""};
    bool gang = g_rand_int_range(random, 0, 3) > 0;
    int tasks = g_rand_int_range(random, 1, 13);
    double task_cpus = cpus[g_rand_int_range(random, 0, 4)];
    bool one_zone = gang && tasks <= 6 && g_rand_boolean(random);
    char *id = g_strdup_printf("wk-%03d", number);
    char *team = g_strdup_printf("team-%02d", g_rand_int_range(random, 0, 3));
    char *job = world_format_job(id, gang ? "gang" : "sweep", tasks, team, task_cpus, "");
    char *with_priority =
        world_replace_string(job, "\"high\"", priority_json[g_rand_int_range(random, 0, 3)]);
    char *body = one_zone
                     ? world_replace_string(with_priority, "\"OneZone\":false", "\"OneZone\":true")
                     : g_strdup(with_priority);
    g_free(id);
    g_free(team);
    g_free(job);
    g_free(with_priority);
    return body;
}

/**
 * Runs the load under failures. Submissions that were refused are left in the queue. Returns the
 * number of jobs.
 */
static int run_load_with_failures(struct world *world, GRand *random,
                                  struct active_failures *failures, GQueue *queue)
{
    int jobs = 0;
    for (int now = 1; now < LOAD_DURATION_S; now++) {
        end_expired_failures(world, failures, now);
        inject_next_failure(world, random, failures, now);
        if (g_rand_double(random) < 0.3)
            g_queue_push_tail(queue, generate_submission(random, jobs++));
        submit_queued_jobs(world, queue, now % WORLD_NODES);
        world->cloud_capacity = now % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, random, 0.001);
        fail_tasks_on_faulty_machines(world, failures);
    }
    end_expired_failures(world, failures, INT_MAX);
    return jobs;
}

/**
 * Runs without failures for RECOVERY_S. All jobs have to be done then, and none may wait for
 * RULES_MAX_WAIT_MS (90 s) although it could run.
 */
static void expect_all_jobs_complete(struct world *world, GRand *random, int jobs)
{
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
}

/**
 * Runs gangs and arrays of three teams on 40 machines, while machines hang or are faulty, leaders
 * are killed and the state service is down at times.
 */
static void run_large_load(struct world *world, uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct active_failures failures = {0};
    GQueue queue = G_QUEUE_INIT;
    for (int i = 0; i < LARGE_WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", i % 3 != 0);
    world_run(world, 4000);
    int jobs = run_load_with_failures(world, random, &failures, &queue);
    world_run(world, 15000);
    submit_queued_jobs(world, &queue, 0);
    assert_null(queue.head);
    expect_all_jobs_complete(world, random, jobs);
    if (g_getenv("LOG_LEVEL"))
        print_message("jobs %d, leaders killed %d, outages %d, silenced %d, sick %d\n", jobs,
                      failures.killed_leader_count, failures.state_outage_count,
                      failures.unreachable_count, failures.faulty_count);
    assert_true(jobs > 80);
    assert_true(failures.killed_leader_count > 5 && failures.state_outage_count > 5 &&
                failures.unreachable_count > 10 && failures.faulty_count > 5);
    g_rand_free(random);
}

/** A large load of gangs and arrays under failures completes. */
static void large_load_completes_after_failures_with_seed_20261203(void **state)
{
    run_large_load(prepare_gang_world(state), 20261203);
}

/** Another seed makes a large load take other paths through the failures. */
static void large_load_completes_after_failures_with_seed_77(void **state)
{
    run_large_load(prepare_gang_world(state), 77);
}

/** A test in a large world, which settles before the rules are checked. */
#define LARGE_WORLD_TEST(f)                                                                        \
    cmocka_unit_test_setup_teardown(f, setup_large_world, world_teardown_settled)

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(gang_restarts_before_its_timeout_when_a_hung_machine_is_returned),
        WORLD_TEST_SETTLED(gang_restarts_before_its_timeout_when_a_hung_machine_loses_its_lease),
        WORLD_TEST_SETTLED(late_commands_are_ignored_after_a_partition_shorter_than_the_lease),
        WORLD_TEST_SETTLED(late_commands_are_ignored_after_a_partition_longer_than_the_lease),
        WORLD_TEST_SETTLED(tasks_with_unproven_end_count_against_the_team_limit),
        WORLD_TEST_SETTLED(task_with_unproven_end_keeps_a_gang_from_starting_in_another_zone),
        WORLD_TEST_SETTLED(one_zone_gang_is_restarted_rather_than_split_over_zones),
        LARGE_WORLD_TEST(large_load_completes_after_failures_with_seed_20261203),
        LARGE_WORLD_TEST(large_load_completes_after_failures_with_seed_77),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
