/* Requests on their way in the test world, and what becomes of them. */
#include "transcript.h"
#include "world_internal.h"

#include <stdio.h>
#include <stdlib.h>

void flight_free(struct flight *flight)
{
    timer_stop(flight->world->loop, &flight->timer);
    g_free(flight->addr);
    g_free(flight->method);
    g_free(flight->path);
    g_free(flight->body);
    g_free(flight->late_text);
    g_free(flight);
}

static void wait_in_inbox(struct flight *flight, int node, int how)
{
    flight->waits = how;
    timer_stop(flight->world->loop, &flight->timer);
    g_ptr_array_add(flight->world->inboxes[node], flight);
}

/* Notes a request, or its answer, that crosses a node's boundary. */
static void note_flight(const struct flight *flight, bool answer, int status, const char *body)
{
    char node[16], message[256];
    g_snprintf(node, sizeof node, flight->outside ? "outside" : "node-%d", flight->node);
    if (answer)
        g_snprintf(message, sizeof message, "answer %d %s %s", status, flight->method,
                   flight->path);
    else
        g_snprintf(message, sizeof message, "%s %s", flight->method, flight->path);
    transcript_write(loop_now(flight->world->loop), answer ? flight->addr : node,
                     answer ? node : flight->addr, message, body);
}

void flight_answer(struct flight *flight, int status, const char *body)
{
    note_flight(flight, true, status, body);
    bool alive = flight->outside || (flight->process && flight->world->nodes[flight->node] &&
                                     flight->world->process[flight->node] == flight->process);
    if (alive && flight->world->paused[flight->node]) {
        char *text = g_strdup(body);
        g_free(flight->late_text);
        flight->late_status = status;
        flight->late_text = text;
        wait_in_inbox(flight, flight->node, WAITS_AS_ANSWER);
        return;
    }
    if (alive && flight->done)
        flight->done(flight->arg, &(struct http_response){status, body, strlen(body), 0});
    flight_free(flight);
}

static void timed_out(void *arg)
{
    flight_answer(arg, HTTP_NO_RESPONSE, "");
}

/* The same request, on the answer to which nobody waits. */
static struct flight *flight_copy(const struct flight *flight)
{
    struct flight *copy = g_memdup2(flight, sizeof *flight);
    copy->addr = g_strdup(flight->addr);
    copy->method = g_strdup(flight->method);
    copy->path = g_strdup(flight->path);
    copy->body = g_strdup(flight->body);
    copy->late_text = NULL;
    copy->done = NULL;
    timer_init(&copy->timer, timed_out, copy);
    return copy;
}

void arrived(void *arg)
{
    struct flight *flight = arg;
    struct world *world = flight->world;
    switch (flight->fate) {
    case FATE_TOO_MANY:
        flight_answer(flight, 429, "{}");
        return;
    case FATE_REFUSED:
        flight_answer(flight, 503, "{\"error\":\"trouble\"}");
        return;
    case FATE_HELD:
        g_ptr_array_add(world->held, flight_copy(flight));
        /* fall through */
    case FATE_LOST:
        timer_init(&flight->timer, timed_out, flight);
        timer_start(world->loop, &flight->timer, flight->timeout_ms);
        return;
    default:
        carry_out(flight);
    }
}

static struct flight *flight_new(struct world *world, const struct http_client_request *request,
                                 http_response_callback done, void *arg)
{
    struct flight *flight = g_new0(struct flight, 1);
    *flight =
        (struct flight){.world = world,
                        .sent = loop_now(world->loop),
                        .addr = g_strdup(request->address),
                        .method = g_strdup(request->method),
                        .path = g_strdup(request->path),
                        .body = g_strndup(request->body ? request->body : "", request->body_bytes),
                        .done = done,
                        .arg = arg,
                        .timeout_ms = request->timeout_ms};
    timer_init(&flight->timer, arrived, flight);
    return flight;
}

void net_request_fn(struct http_client *http_client, const struct http_client_request *request,
                    http_response_callback done, void *arg)
{
    struct wnet *wnet = (struct wnet *)http_client;
    struct flight *flight = flight_new(wnet->world, request, done, arg);
    flight->node = wnet->node;
    flight->process = wnet->world->process[wnet->node];
    flight->fate =
        wnet->world->fate ? wnet->world->fate(wnet->world, wnet->node, request) : FATE_NORMAL;
    note_flight(flight, false, 0, flight->body);
    if (wnet->world->lost && g_str_has_suffix(request->address, ":8081") &&
        g_str_has_suffix(request->path, wnet->world->lost))
        flight->fate = FATE_LOST;
    if (wnet->world->paused[wnet->node]) {
        wait_in_inbox(flight, wnet->node, WAITS_TO_LEAVE);
        return;
    }
    timer_start(wnet->world->loop, &flight->timer,
                flight->fate == FATE_SLOW ? SLOW_MS : LATENCY_MS);
    if (wnet->world->pause_after_send[wnet->node])
        world_pause(wnet->world, wnet->node);
    wnet->world->pause_after_send[wnet->node] = false;
}

void world_serve(struct world *world, const struct http_client_request *request,
                 http_response_callback done, void *arg)
{
    struct flight *flight = flight_new(world, request, done, arg);
    flight->outside = true;
    carry_out(flight);
}

static void answered_late(void *arg)
{
    struct flight *flight = arg;
    char *text = g_steal_pointer(&flight->late_text);
    flight_answer(flight, flight->late_status, text);
    g_free(text);
}

void flight_text(struct flight *flight, int status, const char *text)
{
    if (flight->fate == FATE_LATE) {
        flight->late_status = status;
        flight->late_text = g_strdup(text);
        timer_init(&flight->timer, answered_late, flight);
        timer_start(flight->world->loop, &flight->timer, LATE_MS);
    } else if (flight->fate == FATE_ANSWER_LOST) {
        timer_init(&flight->timer, timed_out, flight);
        timer_start(flight->world->loop, &flight->timer, flight->timeout_ms);
    } else {
        flight_answer(flight, status, text);
    }
}

void flight_result(struct flight *flight, int status, json_object *object)
{
    flight_text(flight, status, json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
}

struct bus_reply {
    struct http_responder replier;
    struct flight *flight;
};

static void bus_replied(struct http_responder *self, connection_ref to, int status,
                        const char *fields, const char *body, size_t len)
{
    (void)to;
    (void)fields;
    struct flight *flight = ((struct bus_reply *)self)->flight;
    struct world *world = flight->world;
    char *text = g_strndup(body, len);
    char *other = world->between ? world->between(world, flight->node, flight->path, text) : NULL;
    flight_text(flight, status, other ? other : text);
    g_free(other);
    g_free(text);
    g_free(self);
}

void carry_out(struct flight *flight)
{
    struct world *world = flight->world;
    if (strcmp(flight->addr, "10.2.0.1:2379") == 0) {
        serve_state(flight);
        return;
    }
    if (strcmp(flight->addr, "10.2.0.2:8443") == 0) {
        serve_cloud(flight);
        return;
    }
    struct worker *worker = g_hash_table_lookup(world->worker_addrs, flight->addr);
    if (worker) {
        serve_worker(flight, worker);
        return;
    }
    if (g_str_has_prefix(flight->addr, "10.1.")) { /* a machine that is gone */
        flight->fate = FATE_LOST;
        arrived(flight);
        return;
    }
    int to = flight->addr[7] - '1';
    if (to < 0 || to >= world->plan.nodes || !world->nodes[to]) {
        flight_answer(flight, HTTP_NOT_SENT, "");
        return;
    }
    /* It arrives once the node resumes; the sender does not wait that long. */
    if (world->paused[to]) {
        struct flight *late = flight_copy(flight);
        late->process = 0;
        wait_in_inbox(late, to, WAITS_TO_ARRIVE);
        flight->fate = FATE_LOST;
        arrived(flight);
        return;
    }
    struct bus_reply *reply = g_new(struct bus_reply, 1); /* the answer may come later */
    *reply = (struct bus_reply){{bus_replied}, flight};
    struct http_request request = {flight->method, flight->path,         "",
                                   flight->body,   strlen(flight->body), NULL};
    node_rpc_serve(world->nodes[to]->rpc, &reply->replier, (connection_ref){1}, &request);
}
