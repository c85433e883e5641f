#include "node_rpc.h"

#include "log.h"

#include <errno.h>
#include <stdlib.h>

struct handler {
    node_rpc_handler handle;
    void *ctx;
};

struct node_rpc {
    struct actor actor;
    struct loop *loop;
    struct http_client *net;
    const struct settings *settings;
    GHashTable *handlers;
    http_handler forward_handler;
    void *forward_handler_ctx;
};

/* A message to the own node, waiting in the mailbox. */
struct local {
    char *kind;
    cJSON *message;
    node_rpc_callback done;
    void *arg;
};

static void local_free(gpointer p)
{
    struct local *local = p;
    g_free(local->kind);
    cJSON_Delete(local->message);
    g_free(local);
}

static int dispatch(struct node_rpc *rpc, const char *kind, const char *from, const cJSON *m,
                    cJSON **answer)
{
    struct handler *handler = g_hash_table_lookup(rpc->handlers, kind);
    return handler ? handler->handle(handler->ctx, from, m, answer) : 404;
}

static void on_message(struct actor *self, const struct message *msg)
{
    struct node_rpc *rpc = (struct node_rpc *)self;
    struct local *local = msg->body;
    cJSON *answer = NULL;
    int status = dispatch(rpc, local->kind, rpc->settings->label, local->message, &answer);
    local->done(local->arg, status, answer);
    cJSON_Delete(answer);
}

struct node_rpc *node_rpc_new(struct loop *loop, struct http_client *http_client,
                              const struct settings *settings)
{
    struct node_rpc *rpc = g_new0(struct node_rpc, 1);
    rpc->actor = (struct actor){"bus", on_message};
    rpc->loop = loop;
    rpc->net = http_client;
    rpc->settings = settings;
    rpc->handlers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rpc;
}

void node_rpc_free(struct node_rpc *rpc)
{
    g_hash_table_unref(rpc->handlers);
    g_free(rpc);
}

void node_rpc_register(struct node_rpc *rpc, const char *kind, node_rpc_handler handler, void *ctx)
{
    struct handler *h = g_new(struct handler, 1);
    *h = (struct handler){handler, ctx};
    g_hash_table_replace(rpc->handlers, g_strdup(kind), h);
}

struct sent {
    node_rpc_callback done;
    void *arg;
};

static void on_response(void *arg, const struct http_response *a)
{
    struct sent *sent = arg;
    cJSON *answer = a->status > 0 ? cJSON_ParseWithLength(a->body, a->body_bytes) : NULL;
    sent->done(sent->arg, a->status, answer);
    cJSON_Delete(answer);
    g_free(sent);
}

static const char *find_endpoint(struct node_rpc *rpc, const char *label)
{
    for (guint i = 0; i < rpc->settings->siblings->len; i++) {
        struct sibling *sibling = &g_array_index(rpc->settings->siblings, struct sibling, i);
        if (strcmp(sibling->label, label) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

void node_rpc_call(struct node_rpc *rpc, const char *to, const char *kind, cJSON *message,
                   int timeout_ms, node_rpc_callback done, void *arg)
{
    if (strcmp(to, rpc->settings->label) == 0) {
        struct local *local = g_new(struct local, 1);
        *local = (struct local){g_strdup(kind), message, done, arg};
        actor_send(rpc->loop, &rpc->actor, 0, local, local_free);
        return;
    }
    const char *address = find_endpoint(rpc, to);
    if (!address) {
        cJSON_Delete(message);
        done(arg, HTTP_NOT_SENT, NULL);
        return;
    }
    cJSON_AddStringToObject(message, "from", rpc->settings->label);
    char *body = cJSON_PrintUnformatted(message);
    cJSON_Delete(message);
    char *path = g_strconcat("/bus/", kind, NULL);
    struct sent *sent = g_new(struct sent, 1);
    *sent = (struct sent){done, arg};
    struct http_client_request request = {address, "POST", path, body, strlen(body), timeout_ms};
    rpc->net->request(rpc->net, &request, on_response, sent);
    g_free(path);
    free(body);
}

void node_rpc_forward(struct node_rpc *rpc, const char *to, const struct http_request *request,
                      int timeout_ms, http_response_callback done, void *arg)
{
    const char *address = find_endpoint(rpc, to);
    cJSON *message = cJSON_CreateObject();
    cJSON_AddStringToObject(message, "from", rpc->settings->label);
    cJSON_AddStringToObject(message, "method", request->method);
    cJSON_AddStringToObject(message, "path", request->path);
    char *request_body = g_strndup(request->body, request->body_bytes);
    cJSON_AddStringToObject(message, "body", request_body);
    char *body = cJSON_PrintUnformatted(message);
    struct http_client_request net_request = {address, "POST",       "/bus/relay",
                                              body,    strlen(body), timeout_ms};
    if (address)
        rpc->net->request(rpc->net, &net_request, done, arg);
    else
        done(arg, &(struct http_response){.status = HTTP_NOT_SENT});
    free(body);
    g_free(request_body);
    cJSON_Delete(message);
}

void node_rpc_set_forward_handler(struct node_rpc *rpc, http_handler serve, void *ctx)
{
    rpc->forward_handler = serve;
    rpc->forward_handler_ctx = ctx;
}

static void serve_forwarded(struct node_rpc *rpc, struct http_responder *responder,
                            connection_ref from, const char *who, const cJSON *message)
{
    const char *method = node_rpc_get_text(message, "method"),
               *path = node_rpc_get_text(message, "path"),
               *body = node_rpc_get_text(message, "body");
    if (!rpc->forward_handler || !method || !path || !body) {
        responder->respond(responder, from, 400, NULL, "{}", 2);
        return;
    }
    struct http_request request = {method, path, "", body, strlen(body), who};
    rpc->forward_handler(rpc->forward_handler_ctx, responder, from, &request);
}

void node_rpc_serve(void *ctx, struct http_responder *responder, connection_ref from,
                    const struct http_request *request)
{
    struct node_rpc *rpc = ctx;
    if (strcmp(request->method, "POST") != 0 || !g_str_has_prefix(request->path, "/bus/")) {
        responder->respond(responder, from, 404, NULL, "{}", 2);
        return;
    }
    cJSON *message = cJSON_ParseWithLength(request->body, request->body_bytes);
    const char *who = node_rpc_get_text(message, "from");
    if (!who || !find_endpoint(rpc, who)) {
        LOG_ERROR("bus_malformed", "path=%s bytes=%zu", request->path, request->body_bytes);
        cJSON_Delete(message);
        responder->respond(responder, from, 400, NULL, "{}", 2);
        return;
    }
    if (strcmp(request->path, "/bus/relay") == 0) {
        serve_forwarded(rpc, responder, from, who, message);
        cJSON_Delete(message);
        return;
    }
    cJSON *answer = NULL;
    int status = dispatch(rpc, request->path + 5, who, message, &answer);
    char *text = answer ? cJSON_PrintUnformatted(answer) : NULL;
    responder->respond(responder, from, status, NULL, text ? text : "{}", text ? strlen(text) : 2);
    free(text);
    cJSON_Delete(answer);
    cJSON_Delete(message);
}

void node_rpc_put_u64(cJSON *object, const char *field, uint64_t value)
{
    char text[24];
    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, value);
    cJSON_AddStringToObject(object, field, text);
}

bool node_rpc_item_u64(const cJSON *item, uint64_t *out)
{
    if (!cJSON_IsString(item) || !g_ascii_isdigit(item->valuestring[0]))
        return false;
    char *end;
    errno = 0;
    *out = g_ascii_strtoull(item->valuestring, &end, 10);
    return !*end && errno == 0;
}

bool node_rpc_get_u64(const cJSON *object, const char *field, uint64_t *out)
{
    return node_rpc_item_u64(cJSON_GetObjectItemCaseSensitive(object, field), out);
}

const char *node_rpc_get_text(const cJSON *object, const char *field)
{
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(item) ? item->valuestring : NULL;
}

cJSON *node_rpc_encode_task(job_id job, uint32_t index, attempt_no attempt)
{
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "j", job.text);
    cJSON_AddNumberToObject(object, "i", index);
    node_rpc_put_u64(object, "a", attempt.value);
    return object;
}

bool node_rpc_decode_task(const cJSON *object, job_id *job, uint32_t *index, attempt_no *attempt)
{
    const char *job_text = node_rpc_get_text(object, "j");
    const cJSON *index_item = cJSON_GetObjectItemCaseSensitive(object, "i");
    if (!job_text || !job_id_parse(job, job_text) || !cJSON_IsNumber(index_item) ||
        index_item->valuedouble < 0 || index_item->valuedouble > UINT32_MAX ||
        !node_rpc_get_u64(object, "a", &attempt->value))
        return false;
    *index = (uint32_t)index_item->valuedouble;
    return true;
}
