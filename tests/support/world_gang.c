/* Gangs as the protocol describes them, played by the workers of one job. */
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* One attempt of a gang. */
struct wattempt {
    uint64_t number;
    bool begun;
    mono_time lost_at, halted_at; /* 0: neither */
    GPtrArray *on;                /* struct wtask: those that have not exited, in this turn */
    GPtrArray *where;             /* struct worker, of each */
    bool torn;                    /* some do not reach the others */
};

struct wgang {
    guint tasks;
    double save_s, mark_s;
    int begun, saved;
    bool done;        /* a task that is started once more is done at once: the result is kept */
    GArray *attempts; /* struct wattempt */
};

static void attempt_clear(gpointer q)
{
    struct wattempt *wattempt = q;
    g_ptr_array_unref(wattempt->on);
    g_ptr_array_unref(wattempt->where);
}

void gang_free(gpointer q)
{
    struct wgang *wgang = q;
    g_array_unref(wgang->attempts);
    g_free(wgang);
}

struct wgang *gang_of(struct world *world, const char *job)
{
    return world->play_gangs ? g_hash_table_lookup(world->gangs, job) : NULL;
}

/* A submission, of which workers fetch the description. */
void gang_submitted(struct world *world, const char *body)
{
    json_object *object = json_parse(body, strlen(body));
    const char *id, *form;
    uint64_t tasks;
    if (object && json_get_string(object, "Id", &id) && json_get_string(object, "Form", &form) &&
        strcmp(form, "gang") == 0 && json_get_u64(object, "Pieces", &tasks) &&
        !g_hash_table_contains(world->gangs, id)) {
        struct wgang *wgang = g_new0(struct wgang, 1);
        wgang->tasks = (guint)tasks;
        json_get_number(object, "StowS", &wgang->save_s);
        json_get_number(object, "MarkEveryS", &wgang->mark_s);
        wgang->attempts = g_array_new(FALSE, TRUE, sizeof(struct wattempt));
        g_array_set_clear_func(wgang->attempts, attempt_clear);
        g_hash_table_insert(world->gangs, g_strdup(id), wgang);
    }
    json_object_put(object);
}

static struct wattempt *attempt_of(struct wgang *wgang, uint64_t number)
{
    for (guint i = 0; i < wgang->attempts->len; i++)
        if (g_array_index(wgang->attempts, struct wattempt, i).number == number)
            return &g_array_index(wgang->attempts, struct wattempt, i);
    struct wattempt wattempt = {
        .number = number, .on = g_ptr_array_new(), .where = g_ptr_array_new()};
    g_array_append_val(wgang->attempts, wattempt);
    return &g_array_index(wgang->attempts, struct wattempt, wgang->attempts->len - 1);
}

int world_gang_begun(struct world *world, const char *job)
{
    struct wgang *wgang = gang_of(world, job);
    return wgang ? wgang->begun : 0;
}

int world_gang_saved(struct world *world, const char *job)
{
    struct wgang *wgang = gang_of(world, job);
    return wgang ? wgang->saved : 0;
}

/* A halt comes to a task: whether it saves, and exits later. */
bool gang_saves(struct world *world, struct wtask *wtask, double grace_s)
{
    struct wgang *wgang = gang_of(world, wtask->job.text);
    if (!wgang || wgang->mark_s <= 0 || grace_s < wgang->save_s)
        return false;
    if (strcmp(wtask->stage, "flushing") == 0)
        return grace_s > 0;
    if (strcmp(wtask->stage, "running") != 0)
        return false;
    strcpy(wtask->stage, "flushing");
    wtask->since = loop_now(world->loop);
    struct wattempt *wattempt = attempt_of(wgang, wtask->attempt);
    if (!wattempt->halted_at.us)
        wattempt->halted_at = wtask->since;
    return true;
}

/* All of an attempt that still can exits with that. */
static void attempt_exits(struct wattempt *wattempt, const char *cause, bool stored)
{
    for (guint i = 0; i < wattempt->on->len; i++) {
        struct wtask *wtask = wattempt->on->pdata[i];
        struct worker *worker = wattempt->where->pdata[i];
        if (worker->silent) /* it hangs, and notices when it goes on */
            continue;
        worker_exit(worker, wtask->job.text, wtask->index, cause);
        wtask->stored = stored;
    }
}

static void attempt_step(struct world *world, struct wgang *wgang, struct wattempt *wattempt)
{
    mono_time now = loop_now(world->loop);
    int64_t peer_ms = (int64_t)(world->settings[0]->gang_peer_timeout_s * 1000),
            wait_ms = (int64_t)(world->settings[0]->gang_wait_timeout_s * 1000);
    bool whole = wattempt->on->len == wgang->tasks && !wattempt->torn;
    if (wgang->done) {
        attempt_exits(wattempt, "done", false);
        return;
    }
    if (!wattempt->begun && whole) {
        wattempt->begun = true;
        wgang->begun++;
        for (guint i = 0; i < wattempt->on->len; i++) {
            strcpy(((struct wtask *)wattempt->on->pdata[i])->stage, "running");
            ((struct wtask *)wattempt->on->pdata[i])->since = now;
        }
        return;
    }
    for (guint i = 0; i < wattempt->on->len; i++) { /* also who comes when the others are gone */
        struct wtask *wtask = wattempt->on->pdata[i];
        struct worker *worker = wattempt->where->pdata[i];
        if (strcmp(wtask->stage, "gathering") == 0 && !worker->silent &&
            time_ms_since(now, wtask->since) >= wait_ms)
            worker_exit(worker, wtask->job.text, wtask->index, "incomplete");
    }
    if (!wattempt->begun || !wattempt->on->len)
        return;
    guint told = 0, saved = 0;
    for (guint i = 0; i < wattempt->on->len; i++) {
        struct wtask *wtask = wattempt->on->pdata[i];
        bool here = strcmp(wtask->stage, "flushing") == 0;
        told += here;
        saved += here && (double)time_ms_since(now, wtask->since) >= wgang->save_s * 1000;
    }
    if (whole && saved == wgang->tasks) {
        wgang->saved++;
        attempt_exits(wattempt, "halted", true);
        return;
    }
    if (!whole && !wattempt->lost_at.us)
        wattempt->lost_at = now;
    if ((wattempt->lost_at.us && time_ms_since(now, wattempt->lost_at) >= peer_ms - 1000) ||
        (wattempt->halted_at.us && told < wgang->tasks &&
         time_ms_since(now, wattempt->halted_at) >= peer_ms))
        attempt_exits(wattempt, "peers", false);
}

/* What the tasks of gangs do by themselves. */
void play_gangs(struct world *world)
{
    GHashTableIter it;
    struct wgang *wgang;
    g_hash_table_iter_init(&it, world->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&wgang))
        for (guint i = 0; i < wgang->attempts->len; i++) {
            struct wattempt *wattempt = &g_array_index(wgang->attempts, struct wattempt, i);
            g_ptr_array_set_size(wattempt->on, 0);
            g_ptr_array_set_size(wattempt->where, 0);
            wattempt->torn = false;
        }
    for (int i = 0; i < world->plan.workers; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && n < worker->tasks->len; n++) {
            struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, n);
            wgang = gang_of(world, wtask->job.text);
            if (!wgang)
                continue;
            struct wattempt *wattempt = attempt_of(wgang, wtask->attempt);
            if (strcmp(wtask->stage, "exited") == 0) {
                wgang->done = wgang->done || strcmp(wtask->cause, "done") == 0;
                continue;
            }
            struct worker *first = wattempt->where->len ? wattempt->where->pdata[0] : worker;
            wattempt->torn =
                wattempt->torn || worker->silent || first->silent || worker->only != first->only;
            g_ptr_array_add(wattempt->on, wtask);
            g_ptr_array_add(wattempt->where, worker);
        }
    }
    g_hash_table_iter_init(&it, world->gangs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&wgang))
        for (guint i = 0; i < wgang->attempts->len; i++)
            attempt_step(world, wgang, &g_array_index(wgang->attempts, struct wattempt, i));
}
