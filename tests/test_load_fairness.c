/**
 * Test of a long mixed load on too few machines: no priority, no team and no large job may be
 * starved. The load comes from a random generator with a fixed seed.
 */
#include "world.h"

/**
 * DURATION_S: length of the test. LARGEST_JOB_TASKS: number of tasks of the largest jobs.
 * START_LIMIT_S: time within which all tasks of a job should have started. TASK_RUN_S: run time of
 * each task. MACHINE_COUNT: machines that the cloud has; one that is returned in a quiet moment can
 * be rented again.
 */
enum {
    MACHINE_COUNT = 4,
    DURATION_S = 900,
    LARGEST_JOB_TASKS = 24,
    START_LIMIT_S = 240,
    TASK_RUN_S = 10
};

/** A job of the load and the progress of its tasks. */
struct submitted_job {
    char id[24];
    int team, priority, tasks;
    int64_t submitted_s, all_started_s; /* all_started_s: when all tasks had started; -1: not yet */
    guint started_mask;                 /* one bit for each task that has started */
    int remaining_s[32];                /* seconds each task still runs; 0: not running */
    guint completed_mask;
};

/** The teams, by submitted_job.team. */
static const char *const team_names[] = {"red", "blue"};
/** The priorities as JSON strings, by submitted_job.priority. */
static const char *const priority_json[] = {"\"high\"", "\"normal\""};

/** Submits a generated job, which gets the id of its number. */
static void submit_generated_job(struct world *world, struct submitted_job *submitted, int number)
{
    g_snprintf(submitted->id, sizeof submitted->id, "wk-%04d", number);
    char *high = world_format_job(submitted->id, "sweep", submitted->tasks,
                                  team_names[submitted->team], 1.0, "");
    char *normal = world_replace_string(high, "\"high\"", priority_json[submitted->priority]);
    char *job = world_replace_string(normal, "\"lot\"", priority_json[submitted->priority]);
    assert_int_equal(
        world_send_user_request(world, number % WORLD_NODES, "POST", "/work", job).status, 201);
    g_free(high);
    g_free(normal);
    g_free(job);
}

/** Returns the worker on which a task is, or NULL. */
static struct worker *find_task_worker(struct world *world, const char *job, uint32_t task)
{
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], job, task))
            return &world->workers[i];
    return NULL;
}

/** Updates the progress of a task after one second. A task that has run for TASK_RUN_S is done. */
static void run_task_for_a_second(struct world *world, struct submitted_job *submitted, int t)
{
    struct worker *worker = find_task_worker(world, submitted->id, (uint32_t)t);
    if (!worker ||
        strcmp(worker_find_task(worker, submitted->id, (uint32_t)t)->stage, "running") != 0) {
        submitted->remaining_s[t] = 0; /* not placed, or preempted */
        return;
    }
    submitted->started_mask |= 1u << t;
    if (submitted->remaining_s[t] == 0)
        submitted->remaining_s[t] = TASK_RUN_S;
    else if (--submitted->remaining_s[t] == 0) {
        worker_exit_task(worker, submitted->id, (uint32_t)t, "done");
        submitted->completed_mask |= 1u << t;
    }
}

/** Runs the world for a second and updates the progress of all jobs. */
static void run_jobs_for_a_second(struct world *world, GArray *jobs, int64_t now)
{
    world_run(world, 1000);
    for (guint n = 0; n < jobs->len; n++) {
        struct submitted_job *submitted = &g_array_index(jobs, struct submitted_job, n);
        for (int t = 0; t < submitted->tasks; t++)
            if (!(submitted->completed_mask >> t & 1))
                run_task_for_a_second(world, submitted, t);
        if (submitted->all_started_s < 0 && submitted->started_mask == (1u << submitted->tasks) - 1)
            submitted->all_started_s = now;
    }
}

/**
 * Submits a random job with a certain probability, so that the load is 0.9 of the capacity, and
 * twice that in a burst of two minutes.
 */
static void submit_random_job(struct world *world, GRand *random, GArray *jobs, int64_t now)
{
    double rate = now > 300 && now < 420 ? 1.0 : 0.45;
    if (now >= DURATION_S - 300 || g_rand_double(random) >= rate)
        return;
    struct submitted_job submitted = {.team = g_rand_int_range(random, 0, 2),
                                      .priority = g_rand_int_range(random, 0, 2),
                                      .tasks = g_rand_int_range(random, 1, 9),
                                      .submitted_s = now,
                                      .all_started_s = -1};
    if (submitted.team == 1 && g_rand_double(random) < 0.1)
        submitted.tasks = LARGEST_JOB_TASKS;
    submit_generated_job(world, &submitted, (int)jobs->len);
    g_array_append_val(jobs, submitted);
}

/**
 * How many jobs were submitted and how many started in time, by team and priority, and how many of
 * the largest jobs.
 */
struct start_counts {
    int submitted[2][2], started_in_time[2][2], largest_submitted, largest_started_in_time;
};

/** Adds a job to the counts. */
static void count_submitted_job(struct start_counts *counts, const struct submitted_job *submitted)
{
    bool ok = submitted->all_started_s >= 0 &&
              submitted->all_started_s - submitted->submitted_s <= START_LIMIT_S;
    counts->submitted[submitted->team][submitted->priority]++;
    counts->started_in_time[submitted->team][submitted->priority] += ok;
    counts->largest_submitted += submitted->tasks == LARGEST_JOB_TASKS;
    counts->largest_started_in_time += submitted->tasks == LARGEST_JOB_TASKS && ok;
}

/**
 * Fails unless three quarters of the jobs of each team and priority, and all of the largest jobs,
 * started in time.
 */
static void expect_no_starvation(const struct start_counts *counts)
{
    if (g_getenv("LOG_LEVEL"))
        print_message(
            "served %d/%d %d/%d %d/%d %d/%d, largest %d/%d\n", counts->started_in_time[0][0],
            counts->submitted[0][0], counts->started_in_time[0][1], counts->submitted[0][1],
            counts->started_in_time[1][0], counts->submitted[1][0], counts->started_in_time[1][1],
            counts->submitted[1][1], counts->largest_started_in_time, counts->largest_submitted);
    for (int t = 0; t < 2; t++)
        for (int c = 0; c < 2; c++)
            if (counts->started_in_time[t][c] * 4 < counts->submitted[t][c] * 3)
                fail_msg("team %s, priority %s: %d of %d", team_names[t], priority_json[c],
                         counts->started_in_time[t][c], counts->submitted[t][c]);
    assert_true(counts->largest_submitted >= 4);
    if (counts->largest_started_in_time < counts->largest_submitted)
        fail_msg("of %d largest jobs %d began in time", counts->largest_submitted,
                 counts->largest_started_in_time);
}

/** Returns how many machines the nodes have. */
static int count_machines(const struct world *world)
{
    int count = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        count += world->workers[i].up;
    return count;
}

/**
 * Under a high load with a burst, the scheduler must not always prefer the same team, priority or
 * job size. All jobs also have to stay known to the nodes.
 */
static void no_team_priority_or_job_size_is_starved(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 0; i < MACHINE_COUNT; i++) /* 32 CPUs */
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 4000);
    GRand *random = g_rand_new_with_seed(20261202);
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct submitted_job));
    for (int64_t now = 0; now < DURATION_S; now++) {
        world->cloud_capacity = MACHINE_COUNT - count_machines(world);
        submit_random_job(world, random, jobs, now);
        run_jobs_for_a_second(world, jobs, now);
        world_check_progress(world);
    }
    struct start_counts counts = {0};
    for (guint n = 0; n < jobs->len; n++) {
        struct submitted_job *submitted = &g_array_index(jobs, struct submitted_job, n);
        count_submitted_job(&counts, submitted);
        char *path = g_strconcat("/work/", submitted->id, NULL); /* all jobs stay known */
        assert_int_equal(
            world_send_user_request(world, (int)n % WORLD_NODES, "GET", path, NULL).status, 200);
        g_free(path);
    }
    rules_check_start_shares(world->rules);
    expect_no_starvation(&counts);
    g_array_unref(jobs);
    g_rand_free(random);
}

int main(void)
{
    const struct CMUnitTest tests[] = {WORLD_TEST(no_team_priority_or_job_size_is_starved)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
