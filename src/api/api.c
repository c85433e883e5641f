#include "api_internal.h"

enum {
    MIN_WAITING_LIMIT = 400, /* requests that may always wait for the state service */
    MAX_READY_STALENESS_MS = 8000,
    FORWARD_TIMEOUT_MS = 1500,
};

static void serve_locally(void *ctx, struct http_responder *responder, connection_ref from,
                          const struct http_request *request);

struct api *api_new(const struct frontend_setup *setup)
{
    struct api *api = g_new0(struct api, 1);
    *api = (struct api){.loop = setup->loop,
                        .kv = setup->store,
                        .replica = setup->view,
                        .settings = setup->settings,
                        .shard = setup->shard,
                        .rpc = setup->bus,
                        .cancel_broadcast = setup->cancel_broadcast,
                        .failure_detector = setup->failure_detector,
                        .membership = setup->members,
                        .max_waiting = MAX(MIN_WAITING_LIMIT, setup->settings->max_open_files / 4)};
    g_queue_init(&api->unanswered);
    timer_init(&api->timeout_timer, api_expire_requests, api);
    node_rpc_set_forward_handler(setup->bus, serve_locally, api);
    return api;
}

void api_free(struct api *api)
{
    timer_stop(api->loop, &api->timeout_timer);
    g_free(api);
}

/* Ready as long as requests can be answered, by a peer if need be. An outage of the state service
 * that hits all nodes alike is no reason to take them all out, which would only prolong it. */
static bool is_ready(struct api *api)
{
    if (!api->replica->is_ready || !api->replica->machine_types ||
        failure_detector_is_isolated(api->failure_detector))
        return false;
    mono_time now = loop_now(api->loop),
              quiet = cancel_broadcast_known_until(api->cancel_broadcast);
    return failure_detector_find_served_node(api->failure_detector) ||
           (quiet.us && time_ms_since(now, quiet) < MAX_READY_STALENESS_MS / 2) ||
           time_ms_since(now, api->replica->fresh_at) < MAX_READY_STALENESS_MS;
}

static void route_job_request(struct api *api, struct http_responder *responder,
                              connection_ref from, const struct http_request *request)
{
    bool post = strcmp(request->method, "POST") == 0, get = strcmp(request->method, "GET") == 0;
    const char *rest = request->path + strlen("/work");
    if (!*rest) {
        if (post)
            api_submit(api, responder, from, request);
        else
            api_reply_error(responder, from, 405, "method not allowed");
        return;
    }
    char *id = g_strdup(rest + 1);
    char *slash = strchr(id, '/');
    if (slash)
        *slash++ = 0;
    if (!slash && get)
        api_poll_or_cancel(api, responder, from, API_ACTION_POLL, id);
    else if (slash && strcmp(slash, "abort") == 0 && post)
        api_poll_or_cancel(api, responder, from, API_ACTION_CANCEL, id);
    else if (!slash || strcmp(slash, "abort") == 0)
        api_reply_error(responder, from, 405, "method not allowed");
    else
        api_reply_error(responder, from, 404, "not found");
    g_free(id);
}

struct forwarded_request {
    struct api *api;
    struct http_responder *replier;
    connection_ref from;
};

static void on_forward_response(void *arg, const struct http_response *response)
{
    struct forwarded_request *forwarded = arg;
    forwarded->api->waiting_count--;
    if (response->status > 0)
        api_reply(forwarded->replier, forwarded->from, response->status,
                  g_strndup(response->body, response->body_bytes));
    else
        api_reply_error(forwarded->replier, forwarded->from, 503,
                        "the state service does not answer");
    g_free(forwarded);
}

static bool is_job_path(const char *path)
{
    return strcmp(path, "/work") == 0 || g_str_has_prefix(path, "/work/");
}

/* A node of an earlier version would take such a submission for one that needs nothing. */
static bool names_dependencies(const struct http_request *request)
{
    if (strcmp(request->path, "/work") != 0 || !request->body_bytes)
        return false;
    json_object *object = json_parse(request->body, request->body_bytes), *list = NULL;
    bool any = json_object_is_type(object, json_type_object) &&
               json_object_object_get_ex(object, "Awaits", &list) && list;
    json_object_put(object);
    return any;
}

/* While the state service answers other nodes and not this one, they answer for it. */
static bool forward_to_peer(struct api *api, struct http_responder *responder, connection_ref from,
                            const struct http_request *request)
{
    const char *peer = failure_detector_find_served_node(api->failure_detector);
    if (!peer || !is_job_path(request->path) || api->waiting_count >= api->max_waiting ||
        (!membership_all_nodes_support(api->membership, NODE_VERSION_JOB_DAG) &&
         names_dependencies(request)))
        return false;
    struct forwarded_request *forwarded = g_new(struct forwarded_request, 1);
    *forwarded = (struct forwarded_request){api, responder, from};
    api->waiting_count++;
    node_rpc_forward(api->rpc, peer, request, FORWARD_TIMEOUT_MS, on_forward_response, forwarded);
    return true;
}

static void serve_locally(void *ctx, struct http_responder *responder, connection_ref from,
                          const struct http_request *request)
{
    struct api *api = ctx;
    if (is_job_path(request->path)) {
        route_job_request(api, responder, from, request);
    } else if (strcmp(request->path, "/agent/beat") == 0) {
        if (strcmp(request->method, "POST") == 0)
            shard_handle_heartbeat(api->shard, responder, from, request);
        else
            api_reply_error(responder, from, 405, "method not allowed");
    } else if (strcmp(request->path, "/ready") == 0) {
        if (strcmp(request->method, "GET") != 0)
            api_reply_error(responder, from, 405, "method not allowed");
        else if (is_ready(api))
            api_reply(responder, from, 200, g_strdup("{}"));
        else
            api_reply_error(responder, from, 503, "not ready");
    } else {
        api_reply_error(responder, from, 404, "not found");
    }
}

void api_serve(void *ctx, struct http_responder *responder, connection_ref from,
               const struct http_request *request)
{
    if (!forward_to_peer(ctx, responder, from, request))
        serve_locally(ctx, responder, from, request);
}
