/**
 * Simulates the agents on machines as far as tests need the protocol, and delivers requests to
 * nodes and their responses.
 */
#include "transcript.h"
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    /** The protocol's minimum between two heartbeats, and maximum wait for a response. */
    MIN_REPORT_INTERVAL_MS = 500,
    RESPONSE_TIMEOUT_MS = 4000,
    /** Delay after a heartbeat that got no response, or was refused. */
    RETRY_DELAY_MS = 1000,
    /** Delay before a change is reported, so that a callback of a node is not interrupted. */
    MIN_CHANGE_DELAY_MS = 1,
};

struct worker_task *worker_find_task(struct worker *worker, const char *job, uint32_t index)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, i);
        if (task->index == index && strcmp(task->job.text, job) == 0)
            return task;
    }
    return NULL;
}

static json_object *worker_format_state(struct worker *worker)
{
    json_object *state = json_object_new_object(), *list = json_object_new_array();
    worker->sequence++;
    json_put_string(state, "Mast", worker->id);
    json_put_string(state, "Address", worker->address);
    json_put_string(state, "Build", worker->type_name);
    json_put_string(state, "Yard", worker->zone);
    json_object_object_add(state, "Loaners", json_object_new_boolean(worker->spot));
    json_put_u64(state, "Shift", worker->session);
    json_put_u64(state, "Tally", worker->sequence);
    json_put_u64(state, "Helm", worker->token);
    if (worker->reclaim_notice_s >= 0)
        json_object_object_add(state, "RecallS", json_object_new_double(worker->reclaim_notice_s));
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, i);
        json_object *task_state = json_object_new_object();
        char name[64];
        g_snprintf(name, sizeof name, "%s/%u", task->job.text, task->index);
        json_put_string(task_state, "Piece", name);
        json_put_u64(task_state, "Try", task->attempt);
        json_put_string(task_state, "Stage", task->stage);
        if (*task->cause)
            json_put_string(task_state, "Cause", task->cause);
        if (task->progress_saved)
            json_object_object_add(task_state, "Stored", json_object_new_boolean(true));
        json_object_array_add(list, task_state);
    }
    json_object_object_add(state, "Pieces", list);
    return state;
}

bool world_duplicate_task_seen;

struct rules_machine worker_describe_machine(const struct worker *worker)
{
    return (struct rules_machine){worker->id, worker->type_name, worker->zone, worker->spot};
}

void worker_drop_tasks(struct worker *worker)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, i);
        if (strcmp(task->stage, "exited") != 0)
            rules_task_left(worker->world->rules, loop_now(worker->world->loop), worker->id,
                            task->job.text, task->index);
    }
    g_array_set_size(worker->tasks, 0);
}

/* Executes a command that was sent at the given time. */
static void worker_execute_command(struct worker *worker, json_object *object, mono_time sent)
{
    const char *verb, *name;
    job_id job;
    uint32_t index = 0;
    uint64_t attempt = 0;
    assert_true(json_get_string(object, "Verb", &verb) && json_get_string(object, "Piece", &name) &&
                task_name_parse(name, &job, &index) && json_get_u64(object, "Try", &attempt));
    struct worker_task *task = worker_find_task(worker, job.text, index);
    if (strcmp(verb, "run") == 0) {
        if (task && task->attempt == attempt)
            return;
        assert_null(task); /* a node must not start a task on a worker that still reports it */
        struct worker_task new_task = {
            job, index, attempt, "running", "", loop_now(worker->world->loop), false};
        if (simulated_gang_get(worker->world, job.text))
            strcpy(new_task.stage, "gathering");
        struct worker *other = g_hash_table_lookup(worker->world->last_worker_by_task, name);
        struct worker_task *other_task =
            other && other->up && other != worker ? worker_find_task(other, job.text, index) : NULL;
        world_duplicate_task_seen =
            world_duplicate_task_seen || (other_task && strcmp(other_task->stage, "exited") != 0);
        g_hash_table_replace(worker->world->last_worker_by_task, g_strdup(name), worker);
        g_array_append_val(worker->tasks, new_task);
        struct rules_machine machine = worker_describe_machine(worker);
        rules_task_started(worker->world->rules, loop_now(worker->world->loop), sent, &machine,
                           job.text, index);
        worker->start_count++;
    } else if (strcmp(verb, "halt") == 0) {
        double grace_s = 0;
        json_get_number(object, "WindDownS", &grace_s);
        if (task && task->attempt == attempt && strcmp(task->stage, "exited") != 0 &&
            !simulated_gang_begin_save(worker->world, task, grace_s))
            worker_exit_task(worker, job.text, index, "halted");
    } else if (task && task->attempt == attempt && strcmp(task->stage, "exited") == 0) {
        g_array_remove_index(worker->tasks,
                             (guint)(task - (struct worker_task *)worker->tasks->data));
    }
}

/* Sends a heartbeat as soon as the protocol allows one. */
static void report_change(struct worker *worker)
{
    struct loop *loop = worker->world->loop;
    int64_t since_report_ms = time_ms_since(loop_now(loop), worker->reported_at);
    worker->has_change = true;
    timer_start(loop, &worker->report_timer,
                MAX(MIN_REPORT_INTERVAL_MS - since_report_ms, MIN_CHANGE_DELAY_MS));
}

static void worker_execute_commands(struct worker *worker, json_object *object, mono_time sent)
{
    json_object *list = json_get_array(object, "Orders");
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        worker_execute_command(worker, json_object_array_get_idx(list, i), sent);
    if (list && json_object_array_length(list))
        report_change(worker);
}

/* A higher token counts as a change once in half a lease. */
static void worker_see_token(struct worker *worker, uint64_t token)
{
    struct world *world = worker->world;
    mono_time now = loop_now(world->loop);
    if (token <= worker->token)
        return;
    worker->token = token;
    if (worker->token_reported_at.us &&
        (double)time_ms_since(now, worker->token_reported_at) < world->config.lease_s * 1000 / 2)
        return;
    worker->token_reported_at = now;
    report_change(worker);
}

void serve_worker(struct pending_request *pending, struct worker *worker)
{
    if (!worker->up || worker->unreachable || worker->inbound_blocked ||
        pending->node == worker->world->worker_isolated_node ||
        (worker->reachable_node >= 0 && worker->reachable_node != pending->node)) {
        pending->fault = FAULT_REQUEST_LOST;
        pending_request_arrive(pending);
        return;
    }
    if (strcmp(pending->path, "/status") == 0) {
        pending_request_respond_json(pending, 200, worker_format_state(worker));
        return;
    }
    json_object *object = json_parse(pending->body, strlen(pending->body));
    uint64_t token = 0, session = 0;
    assert_true(json_get_u64(object, "Helm", &token) && json_get_u64(object, "Shift", &session));
    bool is_current = token >= worker->token && session == worker->session;
    worker_see_token(worker, token);
    if (is_current)
        worker_execute_commands(worker, object, pending->sent_at);
    json_object_put(object);
    pending_request_respond_json(pending, is_current ? 200 : 409, worker_format_state(worker));
}

void worker_add_running_task(struct worker *worker, const char *job, uint32_t index,
                             uint64_t attempt)
{
    struct worker_task task = {.index = index, .attempt = attempt, .stage = "running"};
    assert_true(job_id_parse(&task.job, job));
    task.stage_since = loop_now(worker->world->loop);
    g_array_append_val(worker->tasks, task);
    char *name = g_strdup_printf("%s/%u", job, index);
    g_hash_table_replace(worker->world->last_worker_by_task, name, worker);
    struct rules_machine machine = worker_describe_machine(worker);
    rules_add_existing_task(worker->world->rules, task.stage_since, &machine, job, index);
}

void worker_exit_task(struct worker *worker, const char *job, uint32_t index, const char *cause)
{
    struct worker_task *task = worker_find_task(worker, job, index);
    assert_non_null(task);
    struct world *world = worker->world;
    if (strcmp(task->stage, "exited") != 0)
        rules_task_left(world->rules, loop_now(world->loop), worker->id, job, index);
    if (strcmp(cause, "done") == 0)
        rules_task_completed(world->rules, job, index);
    strcpy(task->stage, "exited");
    g_strlcpy(task->cause, cause, sizeof task->cause);
    report_change(worker);
}

void world_exit_tasks_of_job(struct world *world, const char *job, const char *cause)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint n = 0; worker->up && n < worker->tasks->len; n++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, n);
            if (strcmp(task->job.text, job) == 0 && strcmp(task->stage, "exited") != 0)
                worker_exit_task(worker, job, task->index, cause);
        }
    }
}

/* Returns whether the worker still waits for the response to its last heartbeat. */
static bool awaits_response(const struct worker *worker)
{
    const struct world *world = worker->world;
    return worker->awaited_connection && world->nodes[worker->awaited_node] &&
           world->incarnation[worker->awaited_node] == worker->awaited_incarnation &&
           time_ms_since(loop_now(world->loop), worker->reported_at) < RESPONSE_TIMEOUT_MS;
}

static void on_report_timer(void *arg)
{
    struct worker *worker = arg;
    if (awaits_response(worker)) { /* never more than one heartbeat is in flight */
        timer_start(worker->world->loop, &worker->report_timer, MIN_CHANGE_DELAY_MS);
        return;
    }
    worker->awaited_connection = 0;
    timer_start(worker->world->loop, &worker->report_timer, RETRY_DELAY_MS);
    worker_send_heartbeat(worker);
}

void worker_start_session(struct worker *worker, bool reset_counters)
{
    worker_drop_tasks(worker);
    worker->session = reset_counters ? 1 : worker->session + 1;
    if (reset_counters)
        worker->sequence = worker->token = 0;
    worker->lease_start = loop_now(worker->world->loop);
    worker->awaited_connection = 0;
    report_change(worker);
}

void worker_check_lease(struct worker *worker)
{
    struct world *world = worker->world;
    int64_t lease_ms = (int64_t)(world->settings[0]->lease_s * 1000);
    if (time_ms_since(loop_now(world->loop), worker->lease_start) > lease_ms)
        worker_start_session(worker, false);
}

struct world_connection *world_connection_new(struct world *world, connection_ref *ref)
{
    struct world_connection *connection = g_new0(struct world_connection, 1);
    ref->value = ++world->last_connection_id;
    connection->sent_at = loop_now(world->loop);
    g_hash_table_insert(world->connections, g_memdup2(&ref->value, sizeof ref->value), connection);
    return connection;
}

void node_deliver_request(struct world *world, int node, const char *from, connection_ref ref,
                          const struct http_request *request)
{
    char to[16], message[256];
    g_snprintf(to, sizeof to, "node-%d", node);
    g_snprintf(message, sizeof message, "%s %s", request->method, request->path);
    transcript_write(loop_now(world->loop), from, to, message, request->body);
    api_serve(world->nodes[node]->api, &world->responder, ref, request);
}

void worker_send_heartbeat(struct worker *worker)
{
    struct world *world = worker->world;
    worker_check_lease(worker);
    if (!worker->up || worker->unreachable ||
        time_before(loop_now(world->loop), worker->heartbeats_paused_until))
        return;
    bool is_reachable = worker->node != world->worker_isolated_node &&
                        (worker->reachable_node < 0 || worker->reachable_node == worker->node);
    struct node *node = is_reachable ? world->nodes[worker->node] : NULL;
    if (!node || world->paused[worker->node]) {
        worker->node = (worker->node + 1) % worker->world->config.node_count;
        return;
    }
    int served_by = worker->node;
    connection_ref ref;
    struct world_connection *connection = world_connection_new(world, &ref);
    connection->worker = worker;
    connection->session = worker->session;
    worker->reported_at = loop_now(world->loop);
    worker->has_change = false;
    worker->awaited_connection = ref.value;
    worker->awaited_node = worker->node;
    worker->awaited_incarnation = world->incarnation[worker->node];
    json_object *object = worker_format_state(worker);
    const char *text = json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
    struct http_request request = {"POST", "/agent/beat", "", text, strlen(text), NULL};
    g_ptr_array_add(worker->sent_heartbeats, g_strdup(text));
    /* Without a response the worker times out after 4 s, and tries the next node 1 s later. */
    if (worker->inbound_blocked) {
        worker->heartbeats_paused_until = time_add_ms(loop_now(world->loop), 5000);
        worker->node = (worker->node + 1) % worker->world->config.node_count;
        connection->response_lost = true;
    }
    node_deliver_request(world, served_by, worker->id, ref, &request);
    json_object_put(object);
}

void world_replay_heartbeat(struct world *world, int node, const char *heartbeat)
{
    struct http_request request = {"POST", "/agent/beat", "", heartbeat, strlen(heartbeat), NULL};
    node_deliver_request(world, node, "copy", (connection_ref){UINT64_MAX}, &request);
}

int world_count_task_starts(struct world *world)
{
    int n = 0;
    for (int i = 0; i < world->config.worker_count; i++)
        n += world->workers[i].start_count;
    return n;
}

/* Returns the time until the next regular heartbeat, which counts from the last one. */
static int64_t next_report_ms(const struct worker *worker)
{
    const struct world *world = worker->world;
    int64_t since_report_ms = time_ms_since(loop_now(world->loop), worker->reported_at);
    return MAX((int64_t)(world->config.report_s * 1000) - since_report_ms, MIN_CHANGE_DELAY_MS);
}

/* Returns the run commands of a response as a request to /commands. */
static char *format_run_commands(const struct worker *worker, json_object *response)
{
    json_object *request = json_object_new_object(), *runs = json_object_new_array(),
                *orders = json_get_array(response, "Orders");
    uint64_t token = 0;
    json_get_u64(response, "Helm", &token);
    json_put_u64(request, "Helm", token);
    json_put_u64(request, "Shift", worker->session);
    for (size_t i = 0; i < json_object_array_length(orders); i++) {
        json_object *order = json_object_array_get_idx(orders, i);
        const char *verb;
        if (json_get_string(order, "Verb", &verb) && strcmp(verb, "run") == 0)
            json_object_array_add(runs, json_object_get(order));
    }
    json_object_object_add(request, "Orders", runs);
    char *body = g_strdup(json_object_to_json_string_ext(request, JSON_C_TO_STRING_PLAIN));
    json_object_put(request);
    return body;
}

static void remove_run_commands(json_object *response)
{
    json_object *orders = json_get_array(response, "Orders");
    for (size_t i = json_object_array_length(orders); i-- > 0;) {
        const char *verb;
        if (json_get_string(json_object_array_get_idx(orders, i), "Verb", &verb) &&
            strcmp(verb, "run") == 0)
            json_object_array_del_idx(orders, i, 1);
    }
}

/* Applies the fault that the test injects into the run commands of a response. */
static void apply_run_fault(struct worker *worker, json_object *response, const char *text)
{
    struct world *world = worker->world;
    enum run_command_fault fault = world->inject_run_fault && strstr(text, "\"run\"")
                                       ? world->inject_run_fault(world, worker, text)
                                       : RUN_COMMANDS_DELIVERED;
    if (fault == RUN_COMMANDS_DELIVERED)
        return;
    char *body = format_run_commands(worker, response);
    hold_worker_request(worker, "/commands", body);
    g_free(body);
    if (fault == RUN_COMMANDS_HELD)
        remove_run_commands(response);
}

static void worker_handle_response(struct worker *worker, struct world_connection *connection,
                                   int status, const char *body, size_t len)
{
    json_object *object = json_parse(body, len);
    const char *to = NULL;
    uint64_t token = 0;
    if (status == 421 && json_get_string(object, "Harbour", &to)) {
        worker->node = to[strlen(to) - 1] - '0';
    } else if (status != 200) {
        worker->node = (worker->node + 1) % worker->world->config.node_count;
    } else if (json_get_u64(object, "Helm", &token) && token >= worker->token &&
               connection->session == worker->session) {
        if (!worker->has_change)
            timer_start(worker->world->loop, &worker->report_timer, next_report_ms(worker));
        worker_see_token(worker, token);
        worker->lease_start = connection->sent_at;
        apply_run_fault(worker, object, body);
        worker_execute_commands(worker, object, loop_now(worker->world->loop));
    }
    json_object_put(object);
}

/* Returns whether a response that is sent now reaches its worker, which waits 4 s for it. */
static bool can_receive_response(const struct world_connection *connection, connection_ref ref)
{
    const struct worker *worker = connection->worker;
    return worker->awaited_connection == ref.value && worker->up && !worker->unreachable &&
           !worker->inbound_blocked &&
           time_ms_since(loop_now(worker->world->loop), connection->sent_at) < RESPONSE_TIMEOUT_MS;
}

void world_respond(struct http_responder *self, connection_ref to, int status, const char *fields,
                   const char *body, size_t len)
{
    struct world *world = (struct world *)((char *)self - offsetof(struct world, responder));
    struct world_connection *connection = g_hash_table_lookup(world->connections, &to.value);
    if (!connection)
        return;
    char message[32];
    g_snprintf(message, sizeof message, "answer %d", status);
    char *text = g_strndup(body, len);
    transcript_write(loop_now(world->loop), "node",
                     connection->worker ? connection->worker->id : "user", message, text);
    g_free(text);
    if (connection->worker) {
        bool is_received = !connection->response_lost && can_receive_response(connection, to);
        if (connection->worker->awaited_connection == to.value)
            connection->worker->awaited_connection = 0;
        if (is_received)
            worker_handle_response(connection->worker, connection, status, body, len);
    } else {
        connection->response->status = status;
        connection->response->latency_ms =
            time_ms_since(loop_now(world->loop), connection->sent_at);
        g_strlcpy(connection->response->headers, fields ? fields : "",
                  sizeof connection->response->headers);
        g_strlcpy(connection->response->body, body,
                  MIN(sizeof connection->response->body, len + 1));
        rules_user_request_answered(world->rules, loop_now(world->loop), connection->sent_at,
                                    connection->method, connection->path, connection->body, status,
                                    connection->response->body);
    }
    g_hash_table_remove(world->connections, &to.value);
}

struct worker *world_add_worker(struct world *world, int i, const char *zone, bool spot)
{
    return world_add_worker_of_type(world, i, "g8", zone, spot);
}

struct worker *world_add_worker_of_type(struct world *world, int i, const char *type_name,
                                        const char *zone, bool spot)
{
    struct worker *worker = &world->workers[i];
    g_snprintf(worker->id, sizeof worker->id, "host-%06d", ++world->rented_count);
    /* Each machine gets a new address, also when it takes the slot of an earlier one. */
    if (worker->address[0])
        g_hash_table_remove(world->workers_by_address, worker->address);
    int number = world->rented_count - 1;
    g_snprintf(worker->address, sizeof worker->address, "10.1.%u.%u:9000", (uint8_t)(number / 200),
               (uint8_t)(number % 200 + 1));
    g_hash_table_replace(world->workers_by_address, worker->address, worker);
    g_strlcpy(worker->type_name, type_name, sizeof worker->type_name);
    g_strlcpy(worker->zone, zone, sizeof worker->zone);
    worker->spot = spot;
    worker->rented_at = loop_now(world->loop);
    worker->up = true;
    worker->unreachable = worker->inbound_blocked = false;
    worker->heartbeats_paused_until = (mono_time){0};
    worker->reclaim_notice_s = worker->reachable_node = -1;
    worker->world = world;
    timer_init(&worker->report_timer, on_report_timer, worker);
    worker_start_session(worker, true);
    timer_start(world->loop, &worker->report_timer, world->config.boot_ms + i);
    return worker;
}
