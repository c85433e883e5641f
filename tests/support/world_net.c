/**
 * Delivers requests and responses between nodes, workers and the fake services, and injects faults.
 */
#include "transcript.h"
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

void pending_request_free(struct pending_request *pending)
{
    timer_stop(pending->world->loop, &pending->timer);
    g_free(pending->address);
    g_free(pending->method);
    g_free(pending->path);
    g_free(pending->body);
    g_free(pending->response_body);
    g_free(pending);
}

static void defer_request(struct pending_request *pending, int node, int until)
{
    pending->deferred_until = until;
    timer_stop(pending->world->loop, &pending->timer);
    g_ptr_array_add(pending->world->deferred_requests[node], pending);
}

/* Writes a request that a node sends, or the response to it, to the transcript. */
static void write_to_transcript(const struct pending_request *pending, bool is_response, int status,
                                const char *body)
{
    char node[16], message[256];
    g_snprintf(node, sizeof node, pending->from_external_process ? "outside" : "node-%d",
               pending->node);
    if (is_response)
        g_snprintf(message, sizeof message, "answer %d %s %s", status, pending->method,
                   pending->path);
    else
        g_snprintf(message, sizeof message, "%s %s", pending->method, pending->path);
    transcript_write(loop_now(pending->world->loop), is_response ? pending->address : node,
                     is_response ? node : pending->address, message, body);
}

void pending_request_complete(struct pending_request *pending, int status, const char *body)
{
    write_to_transcript(pending, true, status, body);
    bool alive = pending->from_external_process ||
                 (pending->sender_incarnation && pending->world->nodes[pending->node] &&
                  pending->world->incarnation[pending->node] == pending->sender_incarnation);
    if (alive && pending->world->paused[pending->node]) {
        char *text = g_strdup(body);
        g_free(pending->response_body);
        pending->response_status = status;
        pending->response_body = text;
        defer_request(pending, pending->node, DEFERRED_UNTIL_ANSWERED);
        return;
    }
    if (alive && pending->callback)
        pending->callback(pending->callback_arg,
                          &(struct http_response){status, body, strlen(body), 0});
    pending_request_free(pending);
}

static void on_timeout(void *arg)
{
    pending_request_complete(arg, HTTP_NO_RESPONSE, "");
}

/* Returns a copy of a request whose response is ignored. */
static struct pending_request *copy_without_callback(const struct pending_request *pending)
{
    struct pending_request *copy = g_memdup2(pending, sizeof *pending);
    copy->address = g_strdup(pending->address);
    copy->method = g_strdup(pending->method);
    copy->path = g_strdup(pending->path);
    copy->body = g_strdup(pending->body);
    copy->response_body = NULL;
    copy->callback = NULL;
    timer_init(&copy->timer, on_timeout, copy);
    return copy;
}

void pending_request_arrive(void *arg)
{
    struct pending_request *pending = arg;
    struct world *world = pending->world;
    switch (pending->fault) {
    case FAULT_RATE_LIMITED:
        pending_request_complete(pending, 429, "{}");
        return;
    case FAULT_UNAVAILABLE:
        pending_request_complete(pending, 503, "{\"error\":\"trouble\"}");
        return;
    case FAULT_REQUEST_REPEATED:
        g_ptr_array_add(world->held_requests, copy_without_callback(pending));
        pending_request_dispatch(pending);
        return;
    case FAULT_REQUEST_HELD:
        g_ptr_array_add(world->held_requests, copy_without_callback(pending));
        /* fall through */
    case FAULT_REQUEST_LOST:
        timer_init(&pending->timer, on_timeout, pending);
        timer_start(world->loop, &pending->timer, pending->timeout_ms);
        return;
    default:
        pending_request_dispatch(pending);
    }
}

static struct pending_request *pending_request_new(struct world *world,
                                                   const struct http_client_request *request,
                                                   http_response_callback done, void *arg)
{
    struct pending_request *pending = g_new0(struct pending_request, 1);
    *pending = (struct pending_request){
        .world = world,
        .sent_at = loop_now(world->loop),
        .address = g_strdup(request->address),
        .method = g_strdup(request->method),
        .path = g_strdup(request->path),
        .body = g_strndup(request->body ? request->body : "", request->body_bytes),
        .callback = done,
        .callback_arg = arg,
        .timeout_ms = request->timeout_ms};
    timer_init(&pending->timer, pending_request_arrive, pending);
    return pending;
}

void hold_worker_request(const struct worker *worker, const char *path, const char *body)
{
    const struct http_client_request request = {.address = worker->address,
                                                .method = "POST",
                                                .path = path,
                                                .body = body,
                                                .body_bytes = strlen(body)};
    struct pending_request *pending = pending_request_new(worker->world, &request, NULL, NULL);
    pending->node = worker->node;
    g_ptr_array_add(worker->world->held_requests, pending);
}

void node_http_client_request(struct http_client *http_client,
                              const struct http_client_request *request,
                              http_response_callback done, void *arg)
{
    struct node_http_client *client = (struct node_http_client *)http_client;
    struct pending_request *pending = pending_request_new(client->world, request, done, arg);
    pending->node = client->node;
    pending->sender_incarnation = client->world->incarnation[client->node];
    pending->fault = client->world->inject_fault
                         ? client->world->inject_fault(client->world, client->node, request)
                         : FAULT_NONE;
    write_to_transcript(pending, false, 0, pending->body);
    if (client->world->lost_rpc_suffix && g_str_has_suffix(request->address, ":8081") &&
        g_str_has_suffix(request->path, client->world->lost_rpc_suffix))
        pending->fault = FAULT_REQUEST_LOST;
    if (client->world->paused[client->node]) {
        defer_request(pending, client->node, DEFERRED_UNTIL_SENT);
        return;
    }
    timer_start(client->world->loop, &pending->timer,
                pending->fault == FAULT_REQUEST_DELAYED ? REQUEST_DELAY_MS : LATENCY_MS);
    if (client->world->pause_after_send[client->node])
        world_pause(client->world, client->node);
    client->world->pause_after_send[client->node] = false;
}

void world_serve_external_request(struct world *world, const struct http_client_request *request,
                                  http_response_callback done, void *arg)
{
    struct pending_request *pending = pending_request_new(world, request, done, arg);
    pending->from_external_process = true;
    pending_request_dispatch(pending);
}

static void on_response_delay_over(void *arg)
{
    struct pending_request *pending = arg;
    char *text = g_steal_pointer(&pending->response_body);
    pending_request_complete(pending, pending->response_status, text);
    g_free(text);
}

void pending_request_respond(struct pending_request *pending, int status, const char *text)
{
    if (pending->fault == FAULT_RESPONSE_DELAYED) {
        pending->response_status = status;
        pending->response_body = g_strdup(text);
        timer_init(&pending->timer, on_response_delay_over, pending);
        timer_start(pending->world->loop, &pending->timer, RESPONSE_DELAY_MS);
    } else if (pending->fault == FAULT_RESPONSE_LOST) {
        timer_init(&pending->timer, on_timeout, pending);
        timer_start(pending->world->loop, &pending->timer, pending->timeout_ms);
    } else {
        pending_request_complete(pending, status, text);
    }
}

void pending_request_respond_json(struct pending_request *pending, int status, json_object *object)
{
    pending_request_respond(pending, status,
                            json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
}

/* Receives the response to an RPC between nodes and passes it on to the sender. */
struct rpc_responder {
    struct http_responder base;
    struct pending_request *pending;
};

static void on_rpc_response(struct http_responder *self, connection_ref to, int status,
                            const char *fields, const char *body, size_t len)
{
    (void)to;
    (void)fields;
    struct pending_request *pending = ((struct rpc_responder *)self)->pending;
    struct world *world = pending->world;
    char *text = g_strndup(body, len);
    char *other = world->rewrite_rpc_response
                      ? world->rewrite_rpc_response(world, pending->node, pending->path, text)
                      : NULL;
    pending_request_respond(pending, status, other ? other : text);
    g_free(other);
    g_free(text);
    g_free(self);
}

void pending_request_dispatch(struct pending_request *pending)
{
    struct world *world = pending->world;
    if (strcmp(pending->address, "10.2.0.1:2379") == 0) {
        serve_state(pending);
        return;
    }
    if (strcmp(pending->address, "10.2.0.2:8443") == 0) {
        serve_cloud(pending);
        return;
    }
    struct worker *worker = g_hash_table_lookup(world->workers_by_address, pending->address);
    if (worker) {
        serve_worker(pending, worker);
        return;
    }
    if (g_str_has_prefix(pending->address, "10.1.")) { /* a machine that is gone */
        pending->fault = FAULT_REQUEST_LOST;
        pending_request_arrive(pending);
        return;
    }
    int to = pending->address[7] - '1';
    if (to < 0 || to >= world->config.node_count || !world->nodes[to]) {
        pending_request_complete(pending, HTTP_NOT_SENT, "");
        return;
    }
    /* The request is delivered when the node resumes. The sender does not wait that long; its
     * request is lost. */
    if (world->paused[to]) {
        struct pending_request *late = copy_without_callback(pending);
        late->sender_incarnation = 0;
        defer_request(late, to, DEFERRED_UNTIL_DELIVERED);
        pending->fault = FAULT_REQUEST_LOST;
        pending_request_arrive(pending);
        return;
    }
    struct rpc_responder *responder =
        g_new(struct rpc_responder, 1); /* the response may arrive later */
    *responder = (struct rpc_responder){{on_rpc_response}, pending};
    struct http_request request = {pending->method, pending->path,         "",
                                   pending->body,   strlen(pending->body), NULL};
    node_rpc_serve(world->nodes[to]->rpc, &responder->base, (connection_ref){1}, &request);
}
