#include "combined_failures.h"

#include <string.h>

static double limit_of(const struct world *world, const char *team)
{
    return world->plan.teams ? world->plan.cpus_max : strcmp(team, "red") == 0 ? 16 : 64;
}

static void look_at_task(struct world *world, const struct worker *worker,
                         const struct wtask *wtask)
{
    struct known *known = user_job_get(wtask->job.text);
    assert_non_null(known);
    mono_time now = loop_now(world->loop);
    if (known->told == TOLD_CANCELLED &&
        time_ms_since(now, known->told_at) > (int64_t)(world->plan.cancel_s * 1000))
        fail_msg("%s/%u is on %s, %d s after it was cancelled", known->id, wtask->index, worker->id,
                 (int)(time_ms_since(now, known->told_at) / 1000));
    if (known->ordinary && worker->spot)
        fail_msg("%s/%u is on a loaner", known->id, wtask->index);
    if (known->one_zone && *known->zone && strcmp(known->zone, worker->zone) != 0)
        fail_msg("%s/%u is in zone %s, others in %s", known->id, wtask->index, worker->zone,
                 known->zone);
    g_strlcpy(known->zone, worker->zone, sizeof known->zone);
}

void combined_check(struct world *world)
{
    GHashTable *used = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < user_jobs->len; i++)
        *((struct known *)user_jobs->pdata[i])->zone = 0;
    for (int i = 0; i < world->plan.workers; i++)
        for (guint n = 0; world->workers[i].up && n < world->workers[i].tasks->len; n++) {
            struct wtask *wtask = &g_array_index(world->workers[i].tasks, struct wtask, n);
            if (strcmp(wtask->stage, "exited") == 0)
                continue;
            look_at_task(world, &world->workers[i], wtask);
            struct known *known = user_job_get(wtask->job.text);
            double *cpus = g_hash_table_lookup(used, known->team);
            if (!cpus) {
                cpus = g_new0(double, 1);
                g_hash_table_insert(used, known->team, cpus);
            }
            *cpus += known->cpus;
            if (*cpus > limit_of(world, known->team) + 0.001)
                fail_msg("team %s has %.1f processors", known->team, *cpus);
        }
    g_hash_table_unref(used);
    if (world_ran_twice(world))
        fail_msg("a task ran twice");
}

void combined_run(struct world *world, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        world_run(world, MIN(STEP_MS, ms - t));
        combined_check(world);
    }
}

int combined_request(struct world *world, int node, enum question question, struct known *known)
{
    for (int round = 0; round < 40; round++) {
        int at = (node + round) % world->plan.nodes;
        struct asked *asked = user_job_request(world, at, question, known);
        for (int i = 0; i < 100 && world->nodes[at] && !asked->status; i++)
            combined_run(world, STEP_MS);
        if (asked->status == 200 || asked->status == 201 || asked->status == 404)
            return asked->status;
        combined_run(world, 500);
    }
    fail_msg("nobody answers for %s", known->id);
    return 0;
}

struct known *combined_submit(struct world *world, int node, const char *id, const char *form,
                              int tasks)
{
    struct known *known = user_job_add(id, form, tasks, "blue", 2.0);
    combined_request(world, node, ASK_SUBMIT, known);
    return known;
}

void combined_cancel(struct world *world, int node, struct known *known)
{
    assert_int_equal(combined_request(world, node, ASK_CANCEL, known), 200);
}

struct worker *combined_worker_of(struct world *world, const struct known *known, uint32_t index)
{
    for (int i = 0; i < world->plan.workers; i++)
        if (world->workers[i].up && worker_task(&world->workers[i], known->id, index))
            return &world->workers[i];
    return NULL;
}

bool combined_end_task(struct world *world, struct known *known, uint32_t index)
{
    struct worker *worker = combined_worker_of(world, known, index);
    if (!worker || strcmp(worker_task(worker, known->id, index)->stage, "running") != 0)
        return false;
    worker_exit(worker, known->id, index, "done");
    known->ended |= 1ULL << index;
    worker_report(worker);
    return true;
}

void combined_end_job(struct world *world, struct known *known)
{
    for (int t = 0; t < known->tasks; t++) {
        struct worker *worker = combined_worker_of(world, known, (uint32_t)t);
        if (worker && !worker->silent)
            combined_end_task(world, known, (uint32_t)t);
    }
}

int combined_count_on_machines(struct world *world, const struct known *known)
{
    return world_on_machines(world, known->id);
}

void combined_expect_on_machines(struct world *world, const struct known *known, int n)
{
    if (combined_count_on_machines(world, known) != n)
        fail_msg("%s has %d tasks on machines, not %d", known->id,
                 combined_count_on_machines(world, known), n);
}

void combined_expect_recovery(struct world *world)
{
    world->fate = NULL;
    world->state_down = world->cloud_down = false;
    world->capacity += 4; /* idle machines may have gone back */
    for (int i = 0; i < world->plan.nodes; i++)
        if (!world->nodes[i])
            world_start(world, i);
    for (int i = 0; i < world->plan.workers; i++) {
        world->workers[i].silent = world->workers[i].deaf = false;
        world->workers[i].only = -1;
        world->workers[i].quiet_until = (mono_time){0};
    }
    combined_run(world, 10000);
    guint n = user_jobs->len;
    for (guint i = 0; i < n; i++) {
        struct known *known = user_jobs->pdata[i];
        for (int node = 0; node < world->plan.nodes && known->told != TOLD_NOTHING; node++)
            assert_int_equal(
                combined_request(world, node, n > 50 && node ? ASK_SUBMIT : ASK_POLL, known), 200);
    }
    struct known *last =
        user_job_add("wk-last", "sweep", 1, world->plan.teams ? "team-00" : "red", 1.0);
    combined_request(world, 0, ASK_SUBMIT, last);
    for (int i = 0; i < 900 && !combined_end_task(world, last, 0); i++) {
        combined_run(world, 100);
        for (guint k = 0; i > 100 && k < n; k++) /* its team may have been at its limit */
            combined_end_job(world, user_jobs->pdata[k]);
    }
    combined_run(world, 3000);
    for (int node = 0; node < world->plan.nodes; node++)
        combined_request(world, node, ASK_POLL, last);
    assert_int_equal(last->told, TOLD_DONE);
}

void combined_start_machines(struct world *world, int from, int to, bool spot)
{
    world->capacity = 0;
    for (int i = from; i < to; i++)
        world_worker(world, i, i % 2 ? "a" : "b", spot);
    combined_run(world, 3000);
}

int combined_other_node(const struct world *world, int node)
{
    return (node + 1) % world->plan.nodes;
}

int combined_kill_leader(struct world *world)
{
    int node = world_leader_index(world);
    assert_true(node >= 0);
    world_kill(world, node);
    return node;
}

bool request_is_to_state(const struct http_client_request *request)
{
    return strcmp(request->address, "10.2.0.1:2379") == 0;
}

bool request_is_txn(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0;
}

bool request_is_command(const struct http_client_request *request)
{
    return strcmp(request->path, "/commands") == 0;
}

int combined_setup(void **state)
{
    user_jobs = g_ptr_array_new();
    user_jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    return world_open(state);
}

int combined_setup_full_teams(void **state)
{
    user_jobs = g_ptr_array_new();
    user_jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    struct world_plan plan = world_usual();
    plan.teams = 2;
    plan.cpus = 8;
    plan.cpus_max = 16;
    struct world *world = world_new_sized(&plan);
    for (int i = 0; i < plan.nodes; i++)
        world_start(world, i);
    world_run(world, 3000);
    *state = world;
    return 0;
}

int combined_teardown(void **state)
{
    g_hash_table_unref(user_jobs_by_id);
    g_ptr_array_unref(user_jobs);
    return world_close(state);
}
