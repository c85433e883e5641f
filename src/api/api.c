/**
 * @file
 * Routes the requests of users and agents, and forwards users' requests to a peer while the
 * key-value store does not answer this node.
 */
#include "api_internal.h"

enum {
    /** The lower bound of `max_waiting`, which otherwise follows from the limit on open files. */
    MIN_WAITING_LIMIT = 400,
    /**
     * A node is ready if its replica is less stale than this, or its knowledge of the cancellations
     * on all nodes is less stale than half of this.
     */
    MAX_READY_STALENESS_MS = 8000,
    FORWARD_TIMEOUT_MS = 1500,
};

static const char JOBS_PATH[] = "/work";
static const char CANCEL_SUFFIX[] = "abort";
static const char HEARTBEAT_PATH[] = "/agent/beat";
static const char READINESS_PATH[] = "/ready";

static void serve_locally(void *ctx, struct http_responder *responder, connection_ref from,
                          const struct http_request *request);

struct api *api_new(const struct api_setup *setup)
{
    struct api *api = g_new0(struct api, 1);
    *api = (struct api){.loop = setup->loop,
                        .kv = setup->kv,
                        .replica = setup->replica,
                        .settings = setup->settings,
                        .shard = setup->shard,
                        .rpc = setup->rpc,
                        .cancel_broadcast = setup->cancel_broadcast,
                        .failure_detector = setup->failure_detector,
                        .membership = setup->membership,
                        .max_waiting = MAX(MIN_WAITING_LIMIT, setup->settings->max_open_files / 4)};
    g_queue_init(&api->unanswered);
    timer_init(&api->timeout_timer, api_expire_requests, api);
    api->resume = api_request_step;
    node_rpc_set_forward_handler(setup->rpc, serve_locally, api);
    return api;
}

void api_free(struct api *api)
{
    timer_stop(api->loop, &api->timeout_timer);
    g_free(api);
}

/**
 * Returns whether this node can answer requests, if necessary through a peer. An outage of the
 * key-value store that affects all nodes does not make them unready: taking all of them out of
 * service would only prolong it.
 */
static bool is_ready_to_serve(struct api *api)
{
    if (!api->replica->is_ready || !api->replica->machine_types ||
        failure_detector_is_isolated(api->failure_detector))
        return false;
    if (failure_detector_find_node_with_kv_access(api->failure_detector))
        return true;
    mono_time now = loop_now(api->loop);
    mono_time cancels_complete_until = cancel_broadcast_get_complete_until(api->cancel_broadcast);
    return (cancels_complete_until.us &&
            time_ms_since(now, cancels_complete_until) < MAX_READY_STALENESS_MS / 2) ||
           time_ms_since(now, api->replica->fresh_at) < MAX_READY_STALENESS_MS;
}

static void reply_method_not_allowed(struct http_responder *responder, connection_ref from)
{
    api_reply_error(responder, from, HTTP_STATUS_METHOD_NOT_ALLOWED, "method not allowed");
}

static bool has_method(const struct http_request *request, const char *method)
{
    return strcmp(request->method, method) == 0;
}

static void route_job_request(struct api *api, struct http_responder *responder,
                              connection_ref from, const struct http_request *request)
{
    const char *path_rest = request->path + strlen(JOBS_PATH);
    if (!*path_rest) {
        if (has_method(request, "POST"))
            api_submit(api, responder, from, request);
        else
            reply_method_not_allowed(responder, from);
        return;
    }
    g_autofree char *id = g_strdup(path_rest + 1);
    char *suffix = strchr(id, '/');
    if (suffix)
        *suffix++ = 0;
    bool is_cancel = suffix && strcmp(suffix, CANCEL_SUFFIX) == 0;
    if (suffix && !is_cancel)
        api_reply_error(responder, from, HTTP_STATUS_NOT_FOUND, "not found");
    else if (!has_method(request, is_cancel ? "POST" : "GET"))
        reply_method_not_allowed(responder, from);
    else
        api_poll_or_cancel(api, responder, from, is_cancel ? API_ACTION_CANCEL : API_ACTION_POLL,
                           id);
}

/** The context of a request that a peer answers. */
struct forwarded_request {
    struct api *api;
    struct http_responder *responder;
    connection_ref from;
};

static void on_forward_response(void *context, const struct http_response *response)
{
    struct forwarded_request *forwarded = context;
    forwarded->api->waiting_count--;
    if (response->status > 0)
        api_reply(forwarded->responder, forwarded->from, response->status,
                  g_strndup(response->body, response->body_bytes));
    else
        api_reply_error(forwarded->responder, forwarded->from, HTTP_STATUS_UNAVAILABLE,
                        ERROR_KV_UNAVAILABLE);
    g_free(forwarded);
}

static bool is_job_path(const char *path)
{
    const size_t length = strlen(JOBS_PATH);
    return strncmp(path, JOBS_PATH, length) == 0 && (!path[length] || path[length] == '/');
}

/**
 * Returns whether the request submits a job with dependencies. A node older than
 * NODE_VERSION_JOB_DAG would ignore them.
 */
static bool submission_has_dependencies(const struct http_request *request)
{
    if (strcmp(request->path, JOBS_PATH) != 0 || !request->body_bytes)
        return false;
    json_object *object = json_parse(request->body, request->body_bytes);
    bool has_any = job_spec_has_dependencies_field(object);
    json_object_put(object);
    return has_any;
}

/**
 * Forwards a request to a peer if the key-value store answers that peer and not this node. Returns
 * false if the request is to be served locally.
 */
static bool forward_to_peer(struct api *api, struct http_responder *responder, connection_ref from,
                            const struct http_request *request)
{
    const char *peer = failure_detector_find_node_with_kv_access(api->failure_detector);
    if (!peer || !is_job_path(request->path) || api->waiting_count >= api->max_waiting)
        return false;
    if (!membership_all_nodes_support(api->membership, NODE_VERSION_JOB_DAG) &&
        submission_has_dependencies(request))
        return false;
    struct forwarded_request *forwarded = g_new(struct forwarded_request, 1);
    *forwarded = (struct forwarded_request){api, responder, from};
    api->waiting_count++;
    node_rpc_forward(api->rpc, peer, request, FORWARD_TIMEOUT_MS, on_forward_response, forwarded);
    return true;
}

static void serve_heartbeat(struct api *api, struct http_responder *responder, connection_ref from,
                            const struct http_request *request)
{
    if (has_method(request, "POST"))
        shard_handle_heartbeat(api->shard, responder, from, request);
    else
        reply_method_not_allowed(responder, from);
}

static void serve_readiness(struct api *api, struct http_responder *responder, connection_ref from,
                            const struct http_request *request)
{
    if (!has_method(request, "GET"))
        reply_method_not_allowed(responder, from);
    else if (is_ready_to_serve(api))
        api_reply(responder, from, HTTP_STATUS_OK, g_strdup("{}"));
    else
        api_reply_error(responder, from, HTTP_STATUS_UNAVAILABLE, "not ready");
}

/** Serves a request of a user, an agent or a peer on this node, without forwarding it. */
static void serve_locally(void *context, struct http_responder *responder, connection_ref from,
                          const struct http_request *request)
{
    struct api *api = context;
    if (is_job_path(request->path))
        route_job_request(api, responder, from, request);
    else if (strcmp(request->path, HEARTBEAT_PATH) == 0)
        serve_heartbeat(api, responder, from, request);
    else if (strcmp(request->path, READINESS_PATH) == 0)
        serve_readiness(api, responder, from, request);
    else
        api_reply_error(responder, from, HTTP_STATUS_NOT_FOUND, "not found");
}

void api_serve(void *context, struct http_responder *responder, connection_ref from,
               const struct http_request *request)
{
    if (!forward_to_peer(context, responder, from, request))
        serve_locally(context, responder, from, request);
}
