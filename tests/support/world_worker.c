/* Workers as the protocol describes them, as far as tests need them. */
#include "transcript.h"
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

struct wtask *worker_task(struct worker *worker, const char *job, uint32_t index)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, i);
        if (wtask->index == index && strcmp(wtask->job.text, job) == 0)
            return wtask;
    }
    return NULL;
}

static json_object *worker_state(struct worker *worker)
{
    json_object *o = json_object_new_object(), *list = json_object_new_array();
    worker->sequence++;
    json_put_string(o, "Mast", worker->id);
    json_put_string(o, "Address", worker->addr);
    json_put_string(o, "Build", worker->type_name);
    json_put_string(o, "Yard", worker->zone);
    json_object_object_add(o, "Loaners", json_object_new_boolean(worker->spot));
    json_put_u64(o, "Shift", worker->session);
    json_put_u64(o, "Tally", worker->sequence);
    json_put_u64(o, "Helm", worker->token);
    if (worker->reclaim_notice_s >= 0)
        json_object_object_add(o, "RecallS", json_object_new_double(worker->reclaim_notice_s));
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, i);
        json_object *x = json_object_new_object();
        char name[64];
        g_snprintf(name, sizeof name, "%s/%u", wtask->job.text, wtask->index);
        json_put_string(x, "Piece", name);
        json_put_u64(x, "Try", wtask->attempt);
        json_put_string(x, "Stage", wtask->stage);
        if (*wtask->cause)
            json_put_string(x, "Cause", wtask->cause);
        if (wtask->stored)
            json_object_object_add(x, "Stored", json_object_new_boolean(true));
        json_object_array_add(list, x);
    }
    json_object_object_add(o, "Pieces", list);
    return o;
}

bool world_task_twice;

struct rules_machine machine_of(const struct worker *worker)
{
    return (struct rules_machine){worker->id, worker->type_name, worker->zone, worker->spot};
}

/* All its tasks are gone at once. */
void worker_loses_tasks(struct worker *worker)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, i);
        if (strcmp(wtask->stage, "exited") != 0)
            rules_left(worker->world->rules, loop_now(worker->world->loop), worker->id,
                       wtask->job.text, wtask->index);
    }
    g_array_set_size(worker->tasks, 0);
}

/* Carries out a command that was sent at that moment. */
static void worker_order(struct worker *worker, json_object *object, mono_time sent)
{
    const char *verb, *name;
    job_id job;
    uint32_t index = 0;
    uint64_t attempt = 0;
    assert_true(json_get_string(object, "Verb", &verb) && json_get_string(object, "Piece", &name) &&
                task_name_parse(name, &job, &index) && json_get_u64(object, "Try", &attempt));
    struct wtask *t = worker_task(worker, job.text, index);
    if (strcmp(verb, "run") == 0) {
        if (t && t->attempt == attempt)
            return;
        assert_null(t); /* the service does not start a task where its worker still shows it */
        struct wtask n = {job, index, attempt, "running", "", loop_now(worker->world->loop), false};
        if (gang_of(worker->world, job.text))
            strcpy(n.stage, "gathering");
        struct worker *other = g_hash_table_lookup(worker->world->last_on, name);
        struct wtask *x =
            other && other->up && other != worker ? worker_task(other, job.text, index) : NULL;
        world_task_twice = world_task_twice || (x && strcmp(x->stage, "exited") != 0);
        g_hash_table_replace(worker->world->last_on, g_strdup(name), worker);
        g_array_append_val(worker->tasks, n);
        struct rules_machine machine = machine_of(worker);
        rules_started(worker->world->rules, loop_now(worker->world->loop), sent, &machine, job.text,
                      index);
        worker->starts++;
    } else if (strcmp(verb, "halt") == 0) {
        double grace_s = 0;
        json_get_number(object, "WindDownS", &grace_s);
        if (t && t->attempt == attempt && strcmp(t->stage, "exited") != 0 &&
            !gang_saves(worker->world, t, grace_s))
            worker_exit(worker, job.text, index, "halted");
    } else if (t && t->attempt == attempt && strcmp(t->stage, "exited") == 0) {
        g_array_remove_index(worker->tasks, (guint)(t - (struct wtask *)worker->tasks->data));
    }
}

static void worker_orders(struct worker *worker, json_object *object, mono_time sent)
{
    json_object *list = json_get_array(object, "Orders");
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        worker_order(worker, json_object_array_get_idx(list, i), sent);
}

void serve_worker(struct flight *flight, struct worker *worker)
{
    if (!worker->up || worker->silent || worker->deaf || flight->node == worker->world->deaf_node ||
        (worker->only >= 0 && worker->only != flight->node)) {
        flight->fate = FATE_LOST;
        arrived(flight);
        return;
    }
    if (strcmp(flight->path, "/status") == 0) {
        flight_result(flight, 200, worker_state(worker));
        return;
    }
    json_object *object = json_parse(flight->body, strlen(flight->body));
    uint64_t token = 0, session = 0;
    assert_true(json_get_u64(object, "Helm", &token) && json_get_u64(object, "Shift", &session));
    bool ok = token >= worker->token && session == worker->session;
    worker->token = MAX(worker->token, token);
    if (ok)
        worker_orders(worker, object, flight->sent);
    json_object_put(object);
    flight_result(flight, ok ? 200 : 409, worker_state(worker));
}

void worker_has(struct worker *worker, const char *job, uint32_t index, uint64_t attempt)
{
    struct wtask wtask = {.index = index, .attempt = attempt, .stage = "running"};
    assert_true(job_id_parse(&wtask.job, job));
    wtask.since = loop_now(worker->world->loop);
    g_array_append_val(worker->tasks, wtask);
    char *name = g_strdup_printf("%s/%u", job, index);
    g_hash_table_replace(worker->world->last_on, name, worker);
    struct rules_machine machine = machine_of(worker);
    rules_task_by_hand(worker->world->rules, wtask.since, &machine, job, index);
}

void worker_exit(struct worker *worker, const char *job, uint32_t index, const char *cause)
{
    struct wtask *wtask = worker_task(worker, job, index);
    assert_non_null(wtask);
    struct world *world = worker->world;
    if (strcmp(wtask->stage, "exited") != 0)
        rules_left(world->rules, loop_now(world->loop), worker->id, job, index);
    if (strcmp(cause, "done") == 0)
        rules_done(world->rules, job, index);
    strcpy(wtask->stage, "exited");
    g_strlcpy(wtask->cause, cause, sizeof wtask->cause);
}

void worker_exit_all(struct world *world, const char *job, const char *cause)
{
    for (int i = 0; i < world->plan.workers; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && n < worker->tasks->len; n++) {
            struct wtask *wtask = &g_array_index(worker->tasks, struct wtask, n);
            if (strcmp(wtask->job.text, job) == 0 && strcmp(wtask->stage, "exited") != 0)
                worker_exit(worker, job, wtask->index, cause);
        }
    }
}

static void report_timer(void *arg)
{
    struct worker *worker = arg;
    timer_start(worker->world->loop, &worker->report,
                (int64_t)(worker->world->plan.report_s * 1000));
    worker_report(worker);
}

void worker_new_session(struct worker *worker, bool anew)
{
    worker_loses_tasks(worker);
    worker->session = anew ? 1 : worker->session + 1;
    if (anew)
        worker->sequence = worker->token = 0;
    worker->lease_from = loop_now(worker->world->loop);
}

/* The lease: counted from when the last report that got an answer was sent. */
static void worker_lease(struct worker *worker)
{
    struct world *world = worker->world;
    int64_t lease_ms = (int64_t)(world->settings[0]->lease_s * 1000);
    if (time_ms_since(loop_now(world->loop), worker->lease_from) > lease_ms)
        worker_new_session(worker, false);
}

struct wconn *conn_new(struct world *world, connection_ref *ref)
{
    struct wconn *wconn = g_new0(struct wconn, 1);
    ref->value = ++world->next_conn;
    wconn->sent = loop_now(world->loop);
    g_hash_table_insert(world->answers, g_memdup2(&ref->value, sizeof ref->value), wconn);
    return wconn;
}

void node_receives(struct world *world, int node, const char *from, connection_ref ref,
                   const struct http_request *request)
{
    char to[16], message[256];
    g_snprintf(to, sizeof to, "node-%d", node);
    g_snprintf(message, sizeof message, "%s %s", request->method, request->path);
    transcript_write(loop_now(world->loop), from, to, message, request->body);
    api_serve(world->nodes[node]->api, &world->replier, ref, request);
}

void worker_report(struct worker *worker)
{
    struct world *world = worker->world;
    worker_lease(worker);
    if (!worker->up || worker->silent || time_before(loop_now(world->loop), worker->quiet_until))
        return;
    bool reaches =
        worker->node != world->deaf_node && (worker->only < 0 || worker->only == worker->node);
    struct node *node = reaches ? world->nodes[worker->node] : NULL;
    if (!node || world->paused[worker->node]) {
        worker->node = (worker->node + 1) % worker->world->plan.nodes;
        return;
    }
    int served_by = worker->node;
    connection_ref ref;
    struct wconn *wconn = conn_new(world, &ref);
    wconn->worker = worker;
    wconn->session = worker->session;
    json_object *object = worker_state(worker);
    const char *text = json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
    struct http_request request = {"POST", "/agent/beat", "", text, strlen(text), NULL};
    g_ptr_array_add(worker->said, g_strdup(text));
    if (worker->deaf) { /* it gives up after 4 s, and tries the next node 1 s later */
        worker->quiet_until = time_add_ms(loop_now(world->loop), 5000);
        worker->node = (worker->node + 1) % worker->world->plan.nodes;
        wconn->deaf = true;
    }
    node_receives(world, served_by, worker->id, ref, &request);
    json_object_put(object);
}

void world_say_again(struct world *world, int node, const char *report)
{
    struct http_request request = {"POST", "/agent/beat", "", report, strlen(report), NULL};
    node_receives(world, node, "copy", (connection_ref){UINT64_MAX}, &request);
}

int world_starts(struct world *world)
{
    int n = 0;
    for (int i = 0; i < world->plan.workers; i++)
        n += world->workers[i].starts;
    return n;
}

static void worker_answered(struct worker *worker, struct wconn *wconn, int status,
                            const char *body, size_t len)
{
    json_object *object = json_parse(body, len);
    const char *to = NULL;
    uint64_t token = 0;
    if (status == 421 && json_get_string(object, "Harbour", &to)) {
        worker->node = to[strlen(to) - 1] - '0';
    } else if (status != 200) {
        worker->node = (worker->node + 1) % worker->world->plan.nodes;
    } else if (json_get_u64(object, "Helm", &token) && token >= worker->token &&
               wconn->session == worker->session) {
        worker->token = token;
        worker->lease_from = wconn->sent;
        worker_orders(worker, object, loop_now(worker->world->loop));
    }
    json_object_put(object);
}

void world_reply(struct http_responder *self, connection_ref to, int status, const char *fields,
                 const char *body, size_t len)
{
    struct world *world = (struct world *)((char *)self - offsetof(struct world, replier));
    struct wconn *wconn = g_hash_table_lookup(world->answers, &to.value);
    if (!wconn)
        return;
    char message[32];
    g_snprintf(message, sizeof message, "answer %d", status);
    char *text = g_strndup(body, len);
    transcript_write(loop_now(world->loop), "node", wconn->worker ? wconn->worker->id : "user",
                     message, text);
    g_free(text);
    if (wconn->worker) {
        if (!wconn->deaf)
            worker_answered(wconn->worker, wconn, status, body, len);
    } else {
        wconn->answer->status = status;
        wconn->answer->took_ms = time_ms_since(loop_now(world->loop), wconn->sent);
        g_strlcpy(wconn->answer->fields, fields ? fields : "", sizeof wconn->answer->fields);
        g_strlcpy(wconn->answer->body, body, MIN(sizeof wconn->answer->body, len + 1));
        rules_answered(world->rules, loop_now(world->loop), wconn->sent, wconn->method, wconn->path,
                       wconn->body, status, wconn->answer->body);
    }
    g_hash_table_remove(world->answers, &to.value);
}

struct worker *world_worker(struct world *world, int i, const char *zone, bool spot)
{
    return world_machine(world, i, "g8", zone, spot);
}

struct worker *world_machine(struct world *world, int i, const char *type_name, const char *zone,
                             bool spot)
{
    struct worker *worker = &world->workers[i];
    g_snprintf(worker->id, sizeof worker->id, "host-%06d", ++world->rented);
    /* No two machines have the same address, also when one took the place of the other. */
    if (worker->addr[0])
        g_hash_table_remove(world->worker_addrs, worker->addr);
    int number = world->rented - 1;
    g_snprintf(worker->addr, sizeof worker->addr, "10.1.%u.%u:9000", (uint8_t)(number / 200),
               (uint8_t)(number % 200 + 1));
    g_hash_table_replace(world->worker_addrs, worker->addr, worker);
    g_strlcpy(worker->type_name, type_name, sizeof worker->type_name);
    g_strlcpy(worker->zone, zone, sizeof worker->zone);
    worker->spot = spot;
    worker->rented = loop_now(world->loop);
    worker->up = true;
    worker->silent = worker->deaf = false;
    worker->quiet_until = (mono_time){0};
    worker->reclaim_notice_s = worker->only = -1;
    worker->world = world;
    worker_new_session(worker, true);
    timer_init(&worker->report, report_timer, worker);
    timer_start(world->loop, &worker->report, world->plan.boot_ms + i);
    return worker;
}
