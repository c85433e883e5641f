/* Gangs when machines fall silent, zones are cut off and commands come late: what is not proven
 * gone still counts. Every test ends with a world that settles, and with the rules judged. */
#include "gang_fixtures.h"

/* ---- a machine that never reports ---- */

static struct worker *fell_silent;

/* The first machine to which a start is sent hangs from that moment on. */
static enum request_fault hangs_before_its_start(struct world *world, int node,
                                                 const struct http_client_request *request)
{
    (void)node;
    if (!capture_first_start(world, request, &fell_silent))
        return FAULT_NONE;
    fell_silent->unreachable = true;
    return FAULT_REQUEST_LOST;
}

/* A gang of four on five machines, of which one hangs before it hears its start. */
static void begin_without_one(struct world *world)
{
    for (int i = 3; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    fell_silent = NULL;
    world->inject_fault = hangs_before_its_start;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 2000);
    assert_non_null(fell_silent);
    assert_int_equal(fell_silent->tasks->len, 0);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 3);
}

/* Until the gang runs whole: the rest was stopped, did not wait for gang_wait_timeout_s in vain,
 * and began under another attempt, in which the silent machine has no part. */
static void begins_without_it(struct world *world, int64_t within_ms)
{
    uint64_t old = 0;
    for (uint32_t i = 0; i < 4 && !old; i++)
        if (find_worker_with_task(world, "wk-1", i))
            old = worker_find_task(find_worker_with_task(world, "wk-1", i), "wk-1", i)->attempt;
    for (int64_t ms = 0; ms < within_ms && !world_count_gang_starts(world, "wk-1"); ms += 100)
        world_run(world, 100);
    assert_true(expect_gang_running(world, "wk-1", 4) > old);
    assert_int_equal(fell_silent->tasks->len, 0);
    assert_int_equal(world_count_task_starts(world), 3 + 4);
}

/* The machine is given back to the cloud, which proves that its task is gone; what waits for that
 * task is stopped, and the gang begins whole elsewhere within half of gang_wait_timeout_s. */
static void a_gang_does_not_wait_for_a_machine_that_never_reports(void **state)
{
    struct world *world = prepare_gang_world(state);
    begin_without_one(world);
    begins_without_it(world, 10000 - 2000);
    complete_gang(world, "wk-1");
}

/* The cloud does not answer: the lease is the proof, still before gang_wait_timeout_s is over. */
static void a_gang_does_not_wait_for_one_that_cannot_be_returned(void **state)
{
    struct world *world = prepare_gang_world(state);
    world->cloud_down = true;
    begin_without_one(world);
    begins_without_it(world, 20000 - 2000);
    complete_gang(world, "wk-1");
}

/* ---- a zone that is cut off ---- */

/* Direct commands to machines of zone b are held back. */
static enum request_fault hold_commands_to_b(struct world *world, int node,
                                             const struct http_client_request *request)
{
    struct worker *worker = g_hash_table_lookup(world->workers_by_address, request->address);
    bool there = worker && strcmp(worker->zone, "b") == 0;
    return there ? hold_commands(world, node, request) : FAULT_NONE;
}

/* The machines of zone b reach no node and are reached by none, or all again. */
static void cut_off_b(struct world *world, bool cut)
{
    for (int i = 0; i < world->config.worker_count; i++)
        if (strcmp(world->workers[i].zone, "b") == 0)
            world->workers[i].reachable_node = cut ? WORLD_MAX_NODES : -1;
}

/* A gang of one task in zone a and two in zone b, of which the starts in b are held back too and
 * come with the answers to reports; then two more machines come in a. The attempt is told. */
static uint64_t begin_in_both_zones(struct world *world)
{
    world->cloud_down = true;
    world_add_worker(world, 0, "a", true);
    world_add_worker(world, 1, "b", true);
    world_add_worker(world, 2, "b", true);
    world_run(world, 4000);
    world->inject_fault = hold_commands_to_b;
    submit_job(world, "wk-1", "gang", "high", 3, 8.0);
    world_run(world, 5000);
    uint64_t old = expect_gang_running(world, "wk-1", 3);
    assert_true(world->held_requests->len >= 2);
    world_add_worker(world, 6, "a", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 2000);
    return old;
}

/* Runs; nothing of a new attempt is there while a task of the old one is on record. */
static void run_with_proof(struct world *world, uint64_t old, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 20) {
        world_run(world, 20);
        if (count_run_records(world, 0, "wk-1", old))
            assert_int_equal(world_count_active_tasks(world, "wk-1"),
                             count_tasks_of_attempt(world, "wk-1", old));
    }
}

/* The gang runs under a new attempt; what comes late of the old one neither starts nor stops
 * anything, and of the old one nothing runs on. */
static void late_commands_do_nothing(struct world *world, uint64_t old)
{
    uint64_t attempt = expect_gang_running(world, "wk-1", 3);
    assert_true(attempt > old);
    int starts = world_count_task_starts(world);
    world->inject_fault = NULL;
    world_deliver_held_requests(world);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old), 0);
    world_run(world, 3000);
    assert_int_equal(world_count_task_starts(world), starts);
    assert_true(expect_gang_running(world, "wk-1", 3) == attempt);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 2);
    complete_gang(world, "wk-1");
}

/* The cut is shorter than the lease: the part that was cut off exits with the rest, and what its
 * machines report afterwards is the proof. They are in the same session as the late starts. */
static void late_commands_after_a_short_cut_start_nothing(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_in_both_zones(world);
    cut_off_b(world, true);
    run_with_proof(world, old, 6000);
    assert_int_equal(count_tasks_of_attempt(world, "wk-1", old), 0);
    assert_true(count_run_records(world, 0, "wk-1", old) >= 2);
    cut_off_b(world, false);
    run_with_proof(world, old, 25000);
    late_commands_do_nothing(world, old);
}

/* The cut is longer: the leases are the proof, and the gang begins anew during the cut. */
static void late_commands_after_a_long_cut_start_nothing(void **state)
{
    struct world *world = prepare_gang_world(state);
    uint64_t old = begin_in_both_zones(world);
    cut_off_b(world, true);
    run_with_proof(world, old, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    assert_true(count_run_records(world, 0, "wk-1", old) >= 2);
    run_with_proof(world, old, 34000);
    assert_true(expect_gang_running(world, "wk-1", 3) > old);
    cut_off_b(world, false);
    late_commands_do_nothing(world, old);
}

/* ---- what is not proven gone counts ---- */

/* A gang of two on two machines loses one task while the machine of the other one hangs: that task
 * is still on it, and nothing proves its end but the lease. The attempt is told. */
static uint64_t half_of_it_hangs(struct world *world)
{
    uint64_t old = expect_gang_running(world, "wk-1", 2);
    world->cloud_down = true;
    find_worker_with_task(world, "wk-1", 1)->unreachable = true;
    worker_exit_task(find_worker_with_task(world, "wk-1", 0), "wk-1", 0, "error");
    return old;
}

/* Until a task of the old attempt is no longer on record, none of the job is on machines but that.
 */
static void nothing_starts_before_proof(struct world *world, const char *job, uint64_t old)
{
    int64_t waited_ms = 0;
    for (; waited_ms < 30000 && count_run_records(world, 0, "wk-1", old); waited_ms += 20) {
        assert_int_equal(world_count_active_tasks(world, job),
                         count_tasks_of_attempt(world, job, old));
        world_run(world, 20);
    }
    assert_in_range(waited_ms, 6000, 20000); /* the lease is 10 s */
}

/* The team's limit is 16 processors. A more urgent gang that needs all of them has machines to go
 * to, and waits until the task of 8 that hangs is proven gone. */
static void tasks_that_are_not_proven_gone_count_against_the_limit(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 4; i < 8; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    submit_job_for_team(world, "wk-1", "gang", "normal", 2, 8.0, "red");
    world_run(world, 5000);
    uint64_t old = half_of_it_hangs(world);
    submit_job_for_team(world, "wk-2", "gang", "prod", 2, 8.0, "red");
    nothing_starts_before_proof(world, "wk-2", old);
    world_run(world, 6000);
    expect_gang_running(world, "wk-2", 2);
    complete_gang(world, "wk-2");
}

/* A gang in one zone, which is a: the task that hangs there keeps it from beginning in zone b,
 * where there is room for all of it, until that task is proven gone. */
static void tasks_that_are_not_proven_gone_keep_a_gang_in_its_zone(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 4, "a", true);
    world_add_worker(world, 5, "a", true);
    world_run(world, 4000);
    submit_one_zone_gang(world, "wk-1", 2, 8.0);
    world_run(world, 5000);
    uint64_t old = half_of_it_hangs(world);
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "b", true);
    nothing_starts_before_proof(world, "wk-1", old);
    world_run(world, 15000);
    assert_true(expect_gang_running(world, "wk-1", 2) > old);
    for (uint32_t i = 0; i < 2; i++)
        assert_string_equal(find_worker_with_task(world, "wk-1", i)->zone, "b");
    complete_gang(world, "wk-1");
}

/* A gang in one zone, of which a task could not be placed: no other machine of zone a has room, so
 * it is not completed in zone b. The rest of it is stopped, and it begins whole there. */
static void a_gang_in_one_zone_is_not_completed_in_another(void **state)
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

/* ---- a seeded load on many machines ---- */

enum { MACHINES = 40, LOAD_S = 400, AFTER_S = 240, MOST_SILENT = 3, MOST_SICK = 2 };

static int open_large(void **state)
{
    struct world_config plan = world_default_config();
    plan.worker_count = MACHINES;
    plan.team_count = 3;
    plan.team_cpus = 80;
    plan.team_cpus_max = 160;
    struct world *world = world_new_with_config(&plan);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 3000);
    assert_non_null(world_get_leader(world));
    *state = world;
    return 0;
}

/* When each trouble is over; 0: there is none. */
struct troubles {
    int silent_until[MACHINES], sick_until[MACHINES];
    int killed, killed_until, state_until;
    int leaders_killed, outages, silenced, sickened;
};

static int ongoing(const int *until)
{
    int n = 0;
    for (int i = 0; i < MACHINES; i++)
        n += until[i] > 0;
    return n;
}

static void end_due(struct world *world, struct troubles *troubles, int now)
{
    for (int i = 0; i < MACHINES; i++) {
        if (troubles->silent_until[i] && now >= troubles->silent_until[i]) {
            world->workers[i].unreachable = false;
            troubles->silent_until[i] = 0;
        }
        if (troubles->sick_until[i] && now >= troubles->sick_until[i])
            troubles->sick_until[i] = 0;
    }
    if (troubles->killed_until && now >= troubles->killed_until) {
        world_start(world, troubles->killed);
        troubles->killed_until = 0;
    }
    if (troubles->state_until && now >= troubles->state_until) {
        world->state_down = false;
        troubles->state_until = 0;
    }
}

static void kill_leader(struct world *world, struct troubles *troubles, int until)
{
    int leader = world_get_leader_index(world);
    if (troubles->killed_until || leader < 0)
        return;
    world_kill(world, leader);
    troubles->killed = leader;
    troubles->killed_until = until;
    troubles->leaders_killed++;
}

/* The kinds come in turns; a trouble that still goes on does not begin again. */
static void begin_one(struct world *world, GRand *luck, struct troubles *troubles, int now)
{
    enum { EVERY_S = 4, KINDS = 5 };
    if (now % EVERY_S)
        return;
    int any = g_rand_int_range(luck, 0, MACHINES), until = now + g_rand_int_range(luck, 5, 25);
    switch (now / EVERY_S % KINDS) {
    case 0:
        kill_leader(world, troubles, until);
        break;
    case 1:
        if (troubles->state_until)
            break;
        world->state_down = true;
        troubles->state_until = now + g_rand_int_range(luck, 3, 12);
        troubles->outages++;
        break;
    case 2:
        if (ongoing(troubles->sick_until) >= MOST_SICK || !world->workers[any].up)
            break;
        troubles->sick_until[any] = until;
        troubles->sickened++;
        break;
    default:
        if (ongoing(troubles->silent_until) >= MOST_SILENT || !world->workers[any].up)
            break;
        world->workers[any].unreachable = true;
        troubles->silent_until[any] = until;
        troubles->silenced++;
    }
}

/* What runs on a sick machine fails at once. */
static void play_sick(struct world *world, const struct troubles *troubles)
{
    for (int i = 0; i < MACHINES; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; troubles->sick_until[i] && worker->up && !worker->unreachable &&
                          n < worker->tasks->len;
             n++) {
            struct worker_task *wtask = &g_array_index(worker->tasks, struct worker_task, n);
            if (strcmp(wtask->stage, "running") == 0)
                worker_exit_task(worker, wtask->job.text, wtask->index, "error");
        }
    }
}

static char *job_of_the_load(GRand *luck, int number)
{
    static const double cpus[] = {1, 2, 4, 8};
    static const char *const urgencies[] = {"\"high\"", "\"normal\"", "\"best_effort\""};
    bool gang = g_rand_int_range(luck, 0, 3) > 0;
    int tasks = g_rand_int_range(luck, 1, 13);
    double each = cpus[g_rand_int_range(luck, 0, 4)];
    bool one_zone = gang && tasks <= 6 && g_rand_boolean(luck);
    char *id = g_strdup_printf("wk-%03d", number);
    char *team = g_strdup_printf("team-%02d", g_rand_int_range(luck, 0, 3));
    char *job = world_format_job(id, gang ? "gang" : "sweep", tasks, team, each, "");
    char *urgent = world_replace_string(job, "\"high\"", urgencies[g_rand_int_range(luck, 0, 3)]);
    char *body = one_zone ? world_replace_string(urgent, "\"OneZone\":false", "\"OneZone\":true")
                          : g_strdup(urgent);
    g_free(id);
    g_free(team);
    g_free(job);
    g_free(urgent);
    return body;
}

/* Plays the load with its troubles; what could not be submitted is left. Returns the jobs. */
static int play_troubles(struct world *world, GRand *luck, struct troubles *troubles, GQueue *queue)
{
    int jobs = 0;
    for (int now = 1; now < LOAD_S; now++) {
        end_due(world, troubles, now);
        begin_one(world, luck, troubles, now);
        if (g_rand_double(luck) < 0.3)
            g_queue_push_tail(queue, job_of_the_load(luck, jobs++));
        submit_queued_jobs(world, queue, now % WORLD_NODES);
        world->cloud_capacity = now % 5 ? world->cloud_capacity : 2;
        run_load_for_a_second(world, luck, 0.001);
        play_sick(world, troubles);
    }
    end_due(world, troubles, INT_MAX);
    return jobs;
}

/* Troubles are over: all jobs run and end, and nothing waits for 90 s beside room for it. */
static void all_of_the_load_ends(struct world *world, GRand *luck, int jobs)
{
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
}

/* Gangs and arrays of three teams on forty machines, while machines hang or are sick, the leader is
 * killed and the state service is away for a while. */
static void play_large_load(struct world *world, uint32_t seed)
{
    GRand *luck = g_rand_new_with_seed(seed);
    struct troubles troubles = {0};
    GQueue queue = G_QUEUE_INIT;
    for (int i = 0; i < MACHINES; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", i % 3 != 0);
    world_run(world, 4000);
    int jobs = play_troubles(world, luck, &troubles, &queue);
    world_run(world, 15000);
    submit_queued_jobs(world, &queue, 0);
    assert_null(queue.head);
    all_of_the_load_ends(world, luck, jobs);
    if (g_getenv("LOG_LEVEL"))
        print_message("jobs %d, leaders killed %d, outages %d, silenced %d, sick %d\n", jobs,
                      troubles.leaders_killed, troubles.outages, troubles.silenced,
                      troubles.sickened);
    assert_true(jobs > 80);
    assert_true(troubles.leaders_killed > 5 && troubles.outages > 5 && troubles.silenced > 10 &&
                troubles.sickened > 5);
    g_rand_free(luck);
}

static void a_large_load_under_failures_ends(void **state)
{
    play_large_load(prepare_gang_world(state), 20261203);
}

static void another_large_load_under_failures_ends(void **state)
{
    play_large_load(prepare_gang_world(state), 77);
}

#define LARGE_TEST(f) cmocka_unit_test_setup_teardown(f, open_large, world_teardown_settled)

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(a_gang_does_not_wait_for_a_machine_that_never_reports),
        WORLD_TEST_SETTLED(a_gang_does_not_wait_for_one_that_cannot_be_returned),
        WORLD_TEST_SETTLED(late_commands_after_a_short_cut_start_nothing),
        WORLD_TEST_SETTLED(late_commands_after_a_long_cut_start_nothing),
        WORLD_TEST_SETTLED(tasks_that_are_not_proven_gone_count_against_the_limit),
        WORLD_TEST_SETTLED(tasks_that_are_not_proven_gone_keep_a_gang_in_its_zone),
        WORLD_TEST_SETTLED(a_gang_in_one_zone_is_not_completed_in_another),
        LARGE_TEST(a_large_load_under_failures_ends),
        LARGE_TEST(another_large_load_under_failures_ends),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
