#include "combined_failures.h"

#include <string.h>

static double get_team_cpu_limit(const struct world *world, const char *team)
{
    return world->config.team_count   ? world->config.team_cpus_max
           : strcmp(team, "red") == 0 ? 16
                                      : 64;
}

static void check_task(struct world *world, const struct worker *worker,
                       const struct worker_task *task)
{
    struct user_job *job = user_job_get(task->job.text);
    assert_non_null(job);
    mono_time now = loop_now(world->loop);
    if (job->reported == REPORTED_CANCELLED &&
        time_ms_since(now, job->reported_at) > (int64_t)(world->config.cancel_s * 1000))
        fail_msg("%s/%u is on %s, %d s after it was cancelled", job->id, task->index, worker->id,
                 (int)(time_ms_since(now, job->reported_at) / 1000));
    if (job->on_demand_only && worker->spot)
        fail_msg("%s/%u is on a spot machine", job->id, task->index);
    if (job->one_zone && *job->zone && strcmp(job->zone, worker->zone) != 0)
        fail_msg("%s/%u is in zone %s, others in %s", job->id, task->index, worker->zone,
                 job->zone);
    g_strlcpy(job->zone, worker->zone, sizeof job->zone);
}

void combined_check_rules(struct world *world)
{
    GHashTable *used = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < user_jobs->len; i++)
        *((struct user_job *)user_jobs->pdata[i])->zone = 0;
    for (int i = 0; i < world->config.worker_count; i++)
        for (guint n = 0; world->workers[i].up && n < world->workers[i].tasks->len; n++) {
            struct worker_task *task =
                &g_array_index(world->workers[i].tasks, struct worker_task, n);
            if (strcmp(task->stage, "exited") == 0)
                continue;
            check_task(world, &world->workers[i], task);
            struct user_job *job = user_job_get(task->job.text);
            double *cpus = g_hash_table_lookup(used, job->team);
            if (!cpus) {
                cpus = g_new0(double, 1);
                g_hash_table_insert(used, job->team, cpus);
            }
            *cpus += job->cpus;
            if (*cpus > get_team_cpu_limit(world, job->team) + 0.001)
                fail_msg("team %s uses %.1f CPUs", job->team, *cpus);
        }
    g_hash_table_unref(used);
    if (world_has_duplicate_task(world))
        fail_msg("a task ran on two machines at the same time");
}

void combined_run(struct world *world, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += COMBINED_CHECK_INTERVAL_MS) {
        world_run(world, MIN(COMBINED_CHECK_INTERVAL_MS, ms - t));
        combined_check_rules(world);
    }
}

int combined_request(struct world *world, int node, enum user_request_kind kind,
                     struct user_job *job)
{
    for (int round = 0; round < 40; round++) {
        int at = (node + round) % world->config.node_count;
        struct user_request *user_request = user_job_send_request(world, at, kind, job);
        for (int i = 0; i < 100 && world->nodes[at] && !user_request->status; i++)
            combined_run(world, COMBINED_CHECK_INTERVAL_MS);
        if (user_request->status == 200 || user_request->status == 201 ||
            user_request->status == 404)
            return user_request->status;
        combined_run(world, 500);
    }
    fail_msg("no node answers a request about %s", job->id);
    return 0;
}

struct user_job *combined_submit(struct world *world, int node, const char *id, const char *form,
                                 int tasks)
{
    struct user_job *job = user_job_add(id, form, tasks, "blue", 2.0);
    combined_request(world, node, REQUEST_SUBMIT, job);
    return job;
}

void combined_cancel(struct world *world, int node, struct user_job *job)
{
    assert_int_equal(combined_request(world, node, REQUEST_CANCEL, job), 200);
}

struct worker *combined_find_worker(struct world *world, const struct user_job *job, uint32_t index)
{
    for (int i = 0; i < world->config.worker_count; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], job->id, index))
            return &world->workers[i];
    return NULL;
}

bool combined_complete_task(struct world *world, struct user_job *job, uint32_t index)
{
    struct worker *worker = combined_find_worker(world, job, index);
    if (!worker || strcmp(worker_find_task(worker, job->id, index)->stage, "running") != 0)
        return false;
    worker_exit_task(worker, job->id, index, "done");
    job->completed_tasks |= 1ULL << index;
    worker_send_heartbeat(worker);
    return true;
}

void combined_complete_job(struct world *world, struct user_job *job)
{
    for (int t = 0; t < job->tasks; t++) {
        struct worker *worker = combined_find_worker(world, job, (uint32_t)t);
        if (worker && !worker->unreachable)
            combined_complete_task(world, job, (uint32_t)t);
    }
}

int combined_count_active_tasks(struct world *world, const struct user_job *job)
{
    return world_count_active_tasks(world, job->id);
}

void combined_expect_active_tasks(struct world *world, const struct user_job *job, int n)
{
    if (combined_count_active_tasks(world, job) != n)
        fail_msg("%s has %d tasks on machines, not %d", job->id,
                 combined_count_active_tasks(world, job), n);
}

void combined_expect_recovery(struct world *world)
{
    world->inject_fault = NULL;
    world->state_down = world->cloud_down = false;
    world->cloud_capacity += 4; /* idle machines may have been returned */
    for (int i = 0; i < world->config.node_count; i++)
        if (!world->nodes[i])
            world_start(world, i);
    for (int i = 0; i < world->config.worker_count; i++) {
        world->workers[i].unreachable = world->workers[i].inbound_blocked = false;
        world->workers[i].reachable_node = -1;
        world->workers[i].heartbeats_paused_until = (mono_time){0};
    }
    combined_run(world, 10000);
    guint n = user_jobs->len;
    for (guint i = 0; i < n; i++) {
        struct user_job *job = user_jobs->pdata[i];
        for (int node = 0; node < world->config.node_count && job->reported != REPORTED_NOTHING;
             node++)
            assert_int_equal(
                combined_request(world, node, n > 50 && node ? REQUEST_SUBMIT : REQUEST_POLL, job),
                200);
    }
    struct user_job *last =
        user_job_add("wk-last", "sweep", 1, world->config.team_count ? "team-00" : "red", 1.0);
    combined_request(world, 0, REQUEST_SUBMIT, last);
    for (int i = 0; i < 900 && !combined_complete_task(world, last, 0); i++) {
        combined_run(world, 100);
        /* Later complete all other jobs too, as the team of the last job may be at its limit. */
        for (guint k = 0; i > 100 && k < n; k++)
            combined_complete_job(world, user_jobs->pdata[k]);
    }
    combined_run(world, 3000);
    for (int node = 0; node < world->config.node_count; node++)
        combined_request(world, node, REQUEST_POLL, last);
    assert_int_equal(last->reported, REPORTED_DONE);
}

void combined_add_machines(struct world *world, int from, int to, bool spot)
{
    world->cloud_capacity = 0;
    for (int i = from; i < to; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", spot);
    combined_run(world, 3000);
}

int combined_other_node(const struct world *world, int node)
{
    return (node + 1) % world->config.node_count;
}

int combined_kill_leader(struct world *world)
{
    int node = world_get_leader_index(world);
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
    return world_setup(state);
}

int combined_setup_small_teams(void **state)
{
    user_jobs = g_ptr_array_new();
    user_jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    struct world_config config = world_default_config();
    config.team_count = 2;
    config.team_cpus = 8;
    config.team_cpus_max = 16;
    struct world *world = world_new_with_config(&config);
    for (int i = 0; i < config.node_count; i++)
        world_start(world, i);
    world_run(world, 3000);
    *state = world;
    return 0;
}

int combined_teardown(void **state)
{
    g_hash_table_unref(user_jobs_by_id);
    g_ptr_array_unref(user_jobs);
    return world_teardown(state);
}
