#include "gang_fixtures.h"

struct world *gang_world(void **state)
{
    struct world *world = *state;
    world->play_gangs = true;
    world->capacity = 0;
    return world;
}

void submit_for_team(struct world *world, const char *id, const char *form, const char *urgency,
                     int tasks, double cpus, const char *team_name)
{
    char *job = world_job(id, form, tasks, team_name, cpus, "");
    char *by = g_strdup_printf("\"Urgency\":\"%s\"", urgency);
    char *body = world_swapped(job, "\"Urgency\":\"high\"", by);
    assert_int_equal(world_ask(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(by);
    g_free(body);
}

void submit(struct world *world, const char *id, const char *form, const char *urgency, int tasks,
            double cpus)
{
    submit_for_team(world, id, form, urgency, tasks, cpus, "blue");
}

void submit_in_one_zone(struct world *world, const char *id, int tasks, double cpus)
{
    char *job = world_job(id, "gang", tasks, "blue", cpus, "");
    char *body = world_swapped(job, "\"OneZone\":false", "\"OneZone\":true");
    assert_int_equal(world_ask(world, 0, "POST", "/work", body).status, 201);
    g_free(job);
    g_free(body);
}

struct worker *far_machine(struct world *world, int i, const char *zone)
{
    const char *leader = world->nodes[world_leader_index(world)]->settings->label;
    struct worker *worker = world_worker(world, i, zone, true);
    while (strcmp(shard_map_get_owner(world->nodes[0]->replica, worker->id), leader) == 0) {
        timer_stop(world->loop, &worker->report);
        worker = world_worker(world, i, zone, true);
    }
    return worker;
}

struct worker *machine_with(struct world *world, const char *job, uint32_t index)
{
    for (int i = 0; i < world->plan.workers; i++) {
        struct worker *worker = &world->workers[i];
        struct wtask *wtask = worker->up ? worker_task(worker, job, index) : NULL;
        if (wtask && strcmp(wtask->stage, "exited") != 0)
            return worker;
    }
    return NULL;
}

int under_attempt(struct world *world, const char *job, uint64_t attempt)
{
    int n = 0;
    for (int i = 0; i < world->plan.workers; i++)
        for (guint t = 0; world->workers[i].up && t < world->workers[i].tasks->len; t++) {
            struct wtask *wtask = &g_array_index(world->workers[i].tasks, struct wtask, t);
            n += strcmp(wtask->job.text, job) == 0 && wtask->attempt == attempt &&
                 strcmp(wtask->stage, "exited") != 0;
        }
    return n;
}

int on_record(struct world *world, int node, const char *job, uint64_t attempt)
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

uint64_t runs_whole(struct world *world, const char *job, uint32_t tasks)
{
    uint64_t attempt = 0;
    for (uint32_t i = 0; i < tasks; i++) {
        struct worker *worker = machine_with(world, job, i);
        assert_non_null(worker);
        struct wtask *wtask = worker_task(worker, job, i);
        assert_string_equal(wtask->stage, "running");
        assert_true(!attempt || wtask->attempt == attempt);
        attempt = wtask->attempt;
    }
    assert_int_equal(world_on_machines(world, job), tasks);
    return attempt;
}

void ends_whole(struct world *world, const char *job)
{
    struct worker *worker = machine_with(world, job, 0);
    assert_non_null(worker);
    worker_exit(worker, job, 0, "done");
    world_run(world, 6000);
    world_expect_stage(world, world->nodes[1] ? 1 : 0, job, "done");
}

struct worker *reclaimed;

enum fate recall_on_the_way(struct world *world, int node,
                            const struct http_client_request *request)
{
    (void)node;
    const char *at = strcmp(request->path, "/bus/deal") == 0 && !reclaimed && request->body
                         ? strstr(request->body, "\"h\":\"host-")
                         : NULL;
    if (!at)
        return FATE_NORMAL;
    for (int i = 0; i < world->plan.workers; i++)
        if (world->workers[i].up && strncmp(at + strlen("\"h\":\""), world->workers[i].id, 11) == 0)
            reclaimed = &world->workers[i];
    assert_non_null(reclaimed);
    reclaimed->reclaim_notice_s = 100;
    return FATE_SLOW;
}

enum fate hold_commands(struct world *world, int node, const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/commands") == 0 ? FATE_HELD : FATE_NORMAL;
}

enum { RUNS_MS = 12000 };

void submit_queued(struct world *world, GQueue *queue, int node)
{
    while (queue->head && world->nodes[node] &&
           world_ask(world, node, "POST", "/work", queue->head->data).status / 100 == 2)
        g_free(g_queue_pop_head(queue));
}

void load_second(struct world *world, GRand *luck, double fails)
{
    world_run(world, 1000);
    for (int i = 0; i < world->plan.workers; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && !worker->silent && n < worker->tasks->len; n++) {
            struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, n);
            if (strcmp(wtask->stage, "running") != 0)
                continue;
            if (time_ms_since(loop_now(world->loop), wtask->since) >= RUNS_MS)
                worker_exit(worker, wtask->job.text, wtask->index, "done");
            else if (g_rand_double(luck) < fails)
                worker_exit(worker, wtask->job.text, wtask->index, "error");
        }
    }
}

bool is_first_start(struct world *world, const struct http_client_request *request,
                    struct worker **first)
{
    if (strcmp(request->path, "/commands") != 0 || *first)
        return false;
    *first = g_hash_table_lookup(world->worker_addrs, request->address);
    return true;
}
