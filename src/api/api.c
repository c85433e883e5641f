#include "api_internal.h"

enum {
    FEW_WAITING = 400, /* requests that may always wait for the state service */
    STALE_READY_MS = 8000,
    RELAY_MS = 1500,
};

static void serve_here(void *ctx, struct http_replier *replier, conn_ref from,
                       const struct http_request *request);

struct frontend *frontend_new(const struct frontend_setup *setup)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    *frontend = (struct frontend){.loop = setup->loop,
                                  .store = setup->store,
                                  .view = setup->view,
                                  .settings = setup->settings,
                                  .shard = setup->shard,
                                  .bus = setup->bus,
                                  .peers = setup->peers,
                                  .members = setup->members,
                                  .most_waiting = MAX(FEW_WAITING, setup->settings->fd_limit / 4)};
    g_queue_init(&frontend->asks);
    timer_init(&frontend->sweep, frontend_sweep, frontend);
    bus_on_relay(setup->bus, serve_here, frontend);
    return frontend;
}

void frontend_free(struct frontend *frontend)
{
    timer_stop(frontend->loop, &frontend->sweep);
    g_free(frontend);
}

/* Ready as long as requests can be answered, by a peer if need be. An outage of the state service
 * that hits all nodes alike is no reason to take them all out, which would only prolong it. */
static bool is_ready(struct frontend *frontend)
{
    if (!frontend->view->ready || !frontend->view->types || peers_alone(frontend->peers))
        return false;
    mono_time now = loop_now(frontend->loop), quiet = peers_quiet_until(frontend->peers);
    return peers_served(frontend->peers) ||
           (quiet.us && time_ms_since(now, quiet) < STALE_READY_MS / 2) ||
           time_ms_since(now, frontend->view->fresh) < STALE_READY_MS;
}

static void route_work(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                       const struct http_request *request)
{
    bool post = strcmp(request->method, "POST") == 0, get = strcmp(request->method, "GET") == 0;
    const char *rest = request->path + strlen("/work");
    if (!*rest) {
        if (post)
            frontend_submit(frontend, replier, from, request);
        else
            frontend_reply_error(replier, from, 405, "method not allowed");
        return;
    }
    char *id = g_strdup(rest + 1);
    char *slash = strchr(id, '/');
    if (slash)
        *slash++ = 0;
    if (!slash && get)
        frontend_get_or_cancel(frontend, replier, from, ACTION_POLL, id);
    else if (slash && strcmp(slash, "abort") == 0 && post)
        frontend_get_or_cancel(frontend, replier, from, ACTION_CANCEL, id);
    else if (!slash || strcmp(slash, "abort") == 0)
        frontend_reply_error(replier, from, 405, "method not allowed");
    else
        frontend_reply_error(replier, from, 404, "not found");
    g_free(id);
}

struct relay {
    struct frontend *frontend;
    struct http_replier *replier;
    conn_ref from;
};

static void relay_answered(void *arg, const struct net_answer *answer)
{
    struct relay *relay = arg;
    relay->frontend->waiting--;
    if (answer->status > 0)
        frontend_reply(relay->replier, relay->from, answer->status,
                       g_strndup(answer->body, answer->len));
    else
        frontend_reply_error(relay->replier, relay->from, 503, "the state service does not answer");
    g_free(relay);
}

static bool is_work(const char *path)
{
    return strcmp(path, "/work") == 0 || g_str_has_prefix(path, "/work/");
}

/* A node of an earlier version would take such a submission for one that needs nothing. */
static bool names_others(const struct http_request *request)
{
    if (strcmp(request->path, "/work") != 0 || !request->body_len)
        return false;
    json_object *object = json_read(request->body, request->body_len), *list = NULL;
    bool any = json_object_is_type(object, json_type_object) &&
               json_object_object_get_ex(object, "Awaits", &list) && list;
    json_object_put(object);
    return any;
}

/* While the state service answers other nodes and not this one, they answer for it. */
static bool hand_on(struct frontend *frontend, struct http_replier *replier, conn_ref from,
                    const struct http_request *request)
{
    const char *peer = peers_served(frontend->peers);
    if (!peer || !is_work(request->path) || frontend->waiting >= frontend->most_waiting ||
        (!membership_all_understand(frontend->members, NODE_VERSION_PIPELINES) &&
         names_others(request)))
        return false;
    struct relay *relay = g_new(struct relay, 1);
    *relay = (struct relay){frontend, replier, from};
    frontend->waiting++;
    bus_relay(frontend->bus, peer, request, RELAY_MS, relay_answered, relay);
    return true;
}

static void serve_here(void *ctx, struct http_replier *replier, conn_ref from,
                       const struct http_request *request)
{
    struct frontend *frontend = ctx;
    if (is_work(request->path)) {
        route_work(frontend, replier, from, request);
    } else if (strcmp(request->path, "/agent/beat") == 0) {
        if (strcmp(request->method, "POST") == 0)
            shard_report(frontend->shard, replier, from, request);
        else
            frontend_reply_error(replier, from, 405, "method not allowed");
    } else if (strcmp(request->path, "/ready") == 0) {
        if (strcmp(request->method, "GET") != 0)
            frontend_reply_error(replier, from, 405, "method not allowed");
        else if (is_ready(frontend))
            frontend_reply(replier, from, 200, g_strdup("{}"));
        else
            frontend_reply_error(replier, from, 503, "not ready");
    } else {
        frontend_reply_error(replier, from, 404, "not found");
    }
}

void frontend_serve(void *ctx, struct http_replier *replier, conn_ref from,
                    const struct http_request *request)
{
    if (!hand_on(ctx, replier, from, request))
        serve_here(ctx, replier, from, request);
}
