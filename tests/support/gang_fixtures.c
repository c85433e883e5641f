#include "gang_fixtures.h"

struct world *prepare_gang_world(void **state)
{
    struct world *world = *state;
    world->simulate_gangs = true;
    world->cloud_capacity = 0;
    return world;
}

void submit_job_for_team(struct world *world, const char *id, const char *form,
                         const char *priority, int tasks, double cpus, const char *team_name)
{
    char *job = world_format_job(id, form, tasks, team_name, cpus, "");
    char *replacement = g_strdup_printf("\"Urgency\":\"%s\"", priority);
    char *body = world_replace_string(job, "\"Urgency\":\"high\"", replacement);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(replacement);
    g_free(body);
}

void submit_job(struct world *world, const char *id, const char *form, const char *priority,
                int tasks, double cpus)
{
    submit_job_for_team(world, id, form, priority, tasks, cpus, "blue");
}

void submit_one_zone_gang(struct world *world, const char *id, int tasks, double cpus)
{
    char *job = world_format_job(id, "gang", tasks, "blue", cpus, "");
    char *body = world_replace_string(job, "\"OneZone\":false", "\"OneZone\":true");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(body);
}

struct worker *add_machine_not_owned_by_leader(struct world *world, int i, const char *zone)
{
    const char *leader = world->nodes[world_get_leader_index(world)]->settings->label;
    struct worker *worker = world_add_worker(world, i, zone, true);
    while (strcmp(shard_map_get_owner(world->nodes[0]->replica, worker->id), leader) == 0) {
        timer_stop(world->loop, &worker->report_timer);
        worker = world_add_worker(world, i, zone, true);
    }
    return worker;
}

struct worker *find_worker_with_task(struct world *world, const char *job, uint32_t index)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        struct worker_task *task = worker->up ? worker_find_task(worker, job, index) : NULL;
        if (task && strcmp(task->stage, "exited") != 0)
            return worker;
    }
    return NULL;
}

int count_tasks_of_attempt(struct world *world, const char *job, uint64_t attempt)
{
    int n = 0;
    for (int i = 0; i < world->config.worker_count; i++)
        for (guint t = 0; world->workers[i].up && t < world->workers[i].tasks->len; t++) {
            struct worker_task *task =
                &g_array_index(world->workers[i].tasks, struct worker_task, t);
            n += strcmp(task->job.text, job) == 0 && task->attempt == attempt &&
                 strcmp(task->stage, "exited") != 0;
        }
    return n;
}

int count_run_records(struct world *world, int node, const char *job, uint64_t attempt)
{
    int n = 0;
    GHashTableIter it;
    struct machine_record *machine_record;
    g_hash_table_iter_init(&it, world->nodes[node]->replica->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine_record))
        for (guint i = 0; i < machine_record->run_records->len; i++) {
            struct run_record *run_record = machine_record->run_records->pdata[i];
            n += strcmp(run_record->job->id.text, job) == 0 &&
                 (!attempt || run_record->attempt.value == attempt);
        }
    return n;
}

uint64_t expect_gang_running(struct world *world, const char *job, uint32_t tasks)
{
    uint64_t attempt = 0;
    for (uint32_t i = 0; i < tasks; i++) {
        struct worker *worker = find_worker_with_task(world, job, i);
        assert_non_null(worker);
        struct worker_task *task = worker_find_task(worker, job, i);
        assert_string_equal(task->stage, "running");
        assert_true(!attempt || task->attempt == attempt);
        attempt = task->attempt;
    }
    assert_int_equal(world_count_active_tasks(world, job), tasks);
    return attempt;
}

void complete_gang(struct world *world, const char *job)
{
    struct worker *worker = find_worker_with_task(world, job, 0);
    assert_non_null(worker);
    worker_exit_task(worker, job, 0, "done");
    world_run(world, 6000);
    world_expect_stage(world, world->nodes[1] ? 1 : 0, job, "done");
}

struct worker *reclaimed_worker;

enum request_fault reclaim_during_dispatch(struct world *world, int node,
                                           const struct http_client_request *request)
{
    (void)node;
    const char *at = strcmp(request->path, "/bus/deal") == 0 && !reclaimed_worker && request->body
                         ? strstr(request->body, "\"h\":\"host-")
                         : NULL;
    if (!at)
        return FAULT_NONE;
    for (int i = 0; i < world->config.worker_count; i++)
        if (world->workers[i].up && strncmp(at + strlen("\"h\":\""), world->workers[i].id, 11) == 0)
            reclaimed_worker = &world->workers[i];
    assert_non_null(reclaimed_worker);
    reclaimed_worker->reclaim_notice_s = 100;
    return FAULT_REQUEST_DELAYED;
}

enum { LOAD_TASK_MS = 12000 };

void submit_queued_jobs(struct world *world, GQueue *queue, int node)
{
    while (queue->head && world->nodes[node] &&
           world_send_user_request(world, node, "POST", "/work", queue->head->data).status / 100 ==
               2)
        g_free(g_queue_pop_head(queue));
}

void run_load_for_a_second(struct world *world, GRand *random, double failure_probability)
{
    world_run(world, 1000);
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && !worker->unreachable && n < worker->tasks->len; n++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, n);
            if (strcmp(task->stage, "running") != 0)
                continue;
            if (time_ms_since(loop_now(world->loop), task->stage_since) >= LOAD_TASK_MS)
                worker_exit_task(worker, task->job.text, task->index, "done");
            else if (g_rand_double(random) < failure_probability)
                worker_exit_task(worker, task->job.text, task->index, "error");
        }
    }
}
