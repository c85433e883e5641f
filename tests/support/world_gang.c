/**
 * Simulates gangs as the protocol describes them. The workers that run the tasks of a gang act
 * together.
 */
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* One attempt to run a gang. */
struct gang_attempt {
    uint64_t number;
    bool has_started;
    mono_time peer_lost_at, halt_requested_at; /* 0: not yet */
    GPtrArray *active_tasks; /* struct worker_task: those that have not exited, as of this step */
    GPtrArray *workers;      /* struct worker: the worker of each of them */
    bool is_partitioned;     /* some workers cannot reach the others */
};

/* A gang that workers simulate. */
struct simulated_gang {
    guint task_count;
    double save_s, checkpoint_interval_s;
    int start_count, save_count;
    bool is_done;     /* the result exists; a task that is started once more completes at once */
    GArray *attempts; /* struct gang_attempt */
};

static void gang_attempt_clear(gpointer data)
{
    struct gang_attempt *attempt = data;
    g_ptr_array_unref(attempt->active_tasks);
    g_ptr_array_unref(attempt->workers);
}

void simulated_gang_free(gpointer data)
{
    struct simulated_gang *gang = data;
    g_array_unref(gang->attempts);
    g_free(gang);
}

struct simulated_gang *simulated_gang_get(struct world *world, const char *job)
{
    return world->simulate_gangs ? g_hash_table_lookup(world->gangs, job) : NULL;
}

/* Registers a gang when it is submitted; workers take its description from here. */
void simulated_gang_add(struct world *world, const char *body)
{
    json_object *object = json_parse(body, strlen(body));
    const char *id, *form;
    uint64_t tasks;
    if (object && json_get_string(object, "Id", &id) && json_get_string(object, "Form", &form) &&
        strcmp(form, "gang") == 0 && json_get_u64(object, "Pieces", &tasks) &&
        !g_hash_table_contains(world->gangs, id)) {
        struct simulated_gang *gang = g_new0(struct simulated_gang, 1);
        gang->task_count = (guint)tasks;
        json_get_number(object, "StowS", &gang->save_s);
        json_get_number(object, "MarkEveryS", &gang->checkpoint_interval_s);
        gang->attempts = g_array_new(FALSE, TRUE, sizeof(struct gang_attempt));
        g_array_set_clear_func(gang->attempts, gang_attempt_clear);
        g_hash_table_insert(world->gangs, g_strdup(id), gang);
    }
    json_object_put(object);
}

static struct gang_attempt *get_attempt(struct simulated_gang *gang, uint64_t number)
{
    for (guint i = 0; i < gang->attempts->len; i++)
        if (g_array_index(gang->attempts, struct gang_attempt, i).number == number)
            return &g_array_index(gang->attempts, struct gang_attempt, i);
    struct gang_attempt attempt = {
        .number = number, .active_tasks = g_ptr_array_new(), .workers = g_ptr_array_new()};
    g_array_append_val(gang->attempts, attempt);
    return &g_array_index(gang->attempts, struct gang_attempt, gang->attempts->len - 1);
}

int world_count_gang_starts(struct world *world, const char *job)
{
    struct simulated_gang *gang = simulated_gang_get(world, job);
    return gang ? gang->start_count : 0;
}

int world_count_gang_saves(struct world *world, const char *job)
{
    struct simulated_gang *gang = simulated_gang_get(world, job);
    return gang ? gang->save_count : 0;
}

/* Handles a stop command for a task. Returns whether the task saves its progress first and exits
 * later. */
bool simulated_gang_begin_save(struct world *world, struct worker_task *task, double grace_s)
{
    struct simulated_gang *gang = simulated_gang_get(world, task->job.text);
    if (!gang || gang->checkpoint_interval_s <= 0 || grace_s < gang->save_s)
        return false;
    if (strcmp(task->stage, "flushing") == 0)
        return grace_s > 0;
    if (strcmp(task->stage, "running") != 0)
        return false;
    strcpy(task->stage, "flushing");
    task->stage_since = loop_now(world->loop);
    struct gang_attempt *attempt = get_attempt(gang, task->attempt);
    if (!attempt->halt_requested_at.us)
        attempt->halt_requested_at = task->stage_since;
    return true;
}

/* Makes all active tasks of an attempt exit, except those on unreachable workers. */
static void exit_attempt(struct gang_attempt *attempt, const char *cause, bool stored)
{
    for (guint i = 0; i < attempt->active_tasks->len; i++) {
        struct worker_task *task = attempt->active_tasks->pdata[i];
        struct worker *worker = attempt->workers->pdata[i];
        if (worker->unreachable) /* the task hangs, and exits once its worker is reachable */
            continue;
        worker_exit_task(worker, task->job.text, task->index, cause);
        task->progress_saved = stored;
    }
}

/* Starts an attempt once all tasks are there, and makes its tasks exit when the gang stays
 * incomplete, loses tasks, or has saved its progress. Tasks that start after the others have exited
 * exit as "incomplete", too. */
static void advance(struct world *world, struct simulated_gang *gang, struct gang_attempt *attempt)
{
    mono_time now = loop_now(world->loop);
    int64_t peer_ms = (int64_t)(world->settings[0]->gang_peer_timeout_s * 1000),
            wait_ms = (int64_t)(world->settings[0]->gang_wait_timeout_s * 1000);
    bool is_complete = attempt->active_tasks->len == gang->task_count && !attempt->is_partitioned;
    if (gang->is_done) {
        exit_attempt(attempt, "done", false);
        return;
    }
    if (!attempt->has_started && is_complete) {
        attempt->has_started = true;
        gang->start_count++;
        for (guint i = 0; i < attempt->active_tasks->len; i++) {
            strcpy(((struct worker_task *)attempt->active_tasks->pdata[i])->stage, "running");
            ((struct worker_task *)attempt->active_tasks->pdata[i])->stage_since = now;
        }
        return;
    }
    for (guint i = 0; i < attempt->active_tasks->len; i++) {
        struct worker_task *task = attempt->active_tasks->pdata[i];
        struct worker *worker = attempt->workers->pdata[i];
        if (strcmp(task->stage, "gathering") == 0 && !worker->unreachable &&
            time_ms_since(now, task->stage_since) >= wait_ms)
            worker_exit_task(worker, task->job.text, task->index, "incomplete");
    }
    if (!attempt->has_started || !attempt->active_tasks->len)
        return;
    guint saving = 0, saved = 0;
    for (guint i = 0; i < attempt->active_tasks->len; i++) {
        struct worker_task *task = attempt->active_tasks->pdata[i];
        bool is_saving = strcmp(task->stage, "flushing") == 0;
        saving += is_saving;
        saved += is_saving && (double)time_ms_since(now, task->stage_since) >= gang->save_s * 1000;
    }
    if (is_complete && saved == gang->task_count) {
        gang->save_count++;
        exit_attempt(attempt, "halted", true);
        return;
    }
    if (!is_complete && !attempt->peer_lost_at.us)
        attempt->peer_lost_at = now;
    if ((attempt->peer_lost_at.us && time_ms_since(now, attempt->peer_lost_at) >= peer_ms - 1000) ||
        (attempt->halt_requested_at.us && saving < gang->task_count &&
         time_ms_since(now, attempt->halt_requested_at) >= peer_ms))
        exit_attempt(attempt, "peers", false);
}

/* Advances all gangs: collects the active tasks of each attempt, then advances each attempt. */
void simulated_gangs_step(struct world *world)
{
    GHashTableIter it;
    struct simulated_gang *gang;
    g_hash_table_iter_init(&it, world->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&gang))
        for (guint i = 0; i < gang->attempts->len; i++) {
            struct gang_attempt *attempt = &g_array_index(gang->attempts, struct gang_attempt, i);
            g_ptr_array_set_size(attempt->active_tasks, 0);
            g_ptr_array_set_size(attempt->workers, 0);
            attempt->is_partitioned = false;
        }
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && n < worker->tasks->len; n++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, n);
            gang = simulated_gang_get(world, task->job.text);
            if (!gang)
                continue;
            struct gang_attempt *attempt = get_attempt(gang, task->attempt);
            if (strcmp(task->stage, "exited") == 0) {
                gang->is_done = gang->is_done || strcmp(task->cause, "done") == 0;
                continue;
            }
            struct worker *first = attempt->workers->len ? attempt->workers->pdata[0] : worker;
            attempt->is_partitioned = attempt->is_partitioned || worker->unreachable ||
                                      first->unreachable ||
                                      worker->reachable_node != first->reachable_node;
            g_ptr_array_add(attempt->active_tasks, task);
            g_ptr_array_add(attempt->workers, worker);
        }
    }
    g_hash_table_iter_init(&it, world->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&gang))
        for (guint i = 0; i < gang->attempts->len; i++)
            advance(world, gang, &g_array_index(gang->attempts, struct gang_attempt, i));
}
