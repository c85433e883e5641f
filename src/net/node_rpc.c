/** RPC between nodes: see node_rpc.h. */
#include "node_rpc.h"

#include "log.h"

#include <errno.h>
#include <stdlib.h>

/* Request paths and field names that all messages have in common. */
static const char PATH_PREFIX[] = "/bus/";
static const char FORWARD_PATH[] = "/bus/relay";
static const char FIELD_SENDER[] = "from";
static const char FIELD_METHOD[] = "method";
static const char FIELD_PATH[] = "path";
static const char FIELD_BODY[] = "body";

struct registered_handler {
    node_rpc_handler handler;
    void *context;
};

struct node_rpc {
    struct actor actor;
    struct loop *loop;
    struct http_client *http_client;
    const struct settings *settings;
    GHashTable *handlers; /* kind -> struct registered_handler */
    http_handler forward_handler;
    void *forward_context;
};

/* A call to the local node, queued as a message to the actor. */
struct local_call {
    char *kind;
    cJSON *message;
    node_rpc_callback callback;
    void *callback_arg;
};

/* A call to another node for which no response has been received yet. */
struct remote_call {
    node_rpc_callback callback;
    void *callback_arg;
};

static void local_call_free(gpointer data)
{
    struct local_call *call = data;
    g_free(call->kind);
    cJSON_Delete(call->message);
    g_free(call);
}

static int handle_message(struct node_rpc *rpc, const char *kind, const char *from,
                          const cJSON *message, cJSON **response)
{
    const struct registered_handler *registered = g_hash_table_lookup(rpc->handlers, kind);
    if (!registered)
        return HTTP_STATUS_NOT_FOUND;
    return registered->handler(registered->context, from, message, response);
}

static void on_local_call(struct actor *self, const struct message *actor_message)
{
    struct node_rpc *rpc = (struct node_rpc *)self;
    struct local_call *call = actor_message->body;
    cJSON *response = NULL;
    int status = handle_message(rpc, call->kind, rpc->settings->label, call->message, &response);
    call->callback(call->callback_arg, status, response);
    cJSON_Delete(response);
}

struct node_rpc *node_rpc_new(struct loop *loop, struct http_client *http_client,
                              const struct settings *settings)
{
    struct node_rpc *rpc = g_new0(struct node_rpc, 1);
    rpc->actor = (struct actor){"node_rpc", on_local_call};
    rpc->loop = loop;
    rpc->http_client = http_client;
    rpc->settings = settings;
    rpc->handlers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rpc;
}

void node_rpc_free(struct node_rpc *rpc)
{
    g_hash_table_unref(rpc->handlers);
    g_free(rpc);
}

void node_rpc_register(struct node_rpc *rpc, const char *kind, node_rpc_handler handler,
                       void *context)
{
    struct registered_handler *registered = g_new(struct registered_handler, 1);
    *registered = (struct registered_handler){handler, context};
    g_hash_table_replace(rpc->handlers, g_strdup(kind), registered);
}

/* Returns the address of another node, or NULL if the settings contain no node with that label. */
static const char *find_address(const struct node_rpc *rpc, const char *label)
{
    for (guint i = 0; i < rpc->settings->siblings->len; i++) {
        const struct sibling *sibling = &g_array_index(rpc->settings->siblings, struct sibling, i);
        if (strcmp(sibling->label, label) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

/* ---- calls ---- */

static void on_response(void *arg, const struct http_response *response)
{
    struct remote_call *call = arg;
    cJSON *response_message = NULL;
    if (response->status > 0)
        response_message = cJSON_ParseWithLength(response->body, response->body_bytes);
    call->callback(call->callback_arg, response->status, response_message);
    cJSON_Delete(response_message);
    g_free(call);
}

/* Sends a message to an address. The caller keeps ownership of the message. */
static void post_message(struct node_rpc *rpc, const char *address, const char *path,
                         const cJSON *message, int timeout_ms, http_response_callback callback,
                         void *callback_arg)
{
    char *body = cJSON_PrintUnformatted(message);
    const struct http_client_request request = {.address = address,
                                                .method = "POST",
                                                .path = path,
                                                .body = body,
                                                .body_bytes = strlen(body),
                                                .timeout_ms = timeout_ms};
    rpc->http_client->request(rpc->http_client, &request, callback, callback_arg);
    free(body);
}

static void call_local_node(struct node_rpc *rpc, const char *kind, cJSON *message,
                            node_rpc_callback callback, void *callback_arg)
{
    struct local_call *call = g_new(struct local_call, 1);
    *call = (struct local_call){g_strdup(kind), message, callback, callback_arg};
    actor_send(rpc->loop, &rpc->actor, 0, call, local_call_free);
}

void node_rpc_call(struct node_rpc *rpc, const char *to, const char *kind, cJSON *message,
                   int timeout_ms, node_rpc_callback callback, void *callback_arg)
{
    if (strcmp(to, rpc->settings->label) == 0) {
        call_local_node(rpc, kind, message, callback, callback_arg);
        return;
    }
    const char *address = find_address(rpc, to);
    if (!address) {
        cJSON_Delete(message);
        callback(callback_arg, HTTP_NOT_SENT, NULL);
        return;
    }
    struct remote_call *call = g_new(struct remote_call, 1);
    *call = (struct remote_call){callback, callback_arg};
    g_autofree char *path = g_strconcat(PATH_PREFIX, kind, NULL);
    cJSON_AddStringToObject(message, FIELD_SENDER, rpc->settings->label);
    post_message(rpc, address, path, message, timeout_ms, on_response, call);
    cJSON_Delete(message);
}

void node_rpc_forward(struct node_rpc *rpc, const char *to, const struct http_request *request,
                      int timeout_ms, http_response_callback callback, void *callback_arg)
{
    const char *address = find_address(rpc, to);
    if (!address) {
        callback(callback_arg, &(struct http_response){.status = HTTP_NOT_SENT});
        return;
    }
    g_autofree char *request_body = g_strndup(request->body, request->body_bytes);
    cJSON *message = cJSON_CreateObject();
    cJSON_AddStringToObject(message, FIELD_SENDER, rpc->settings->label);
    cJSON_AddStringToObject(message, FIELD_METHOD, request->method);
    cJSON_AddStringToObject(message, FIELD_PATH, request->path);
    cJSON_AddStringToObject(message, FIELD_BODY, request_body);
    post_message(rpc, address, FORWARD_PATH, message, timeout_ms, callback, callback_arg);
    cJSON_Delete(message);
}

/* ---- calls from other nodes ---- */

void node_rpc_set_forward_handler(struct node_rpc *rpc, http_handler handler, void *context)
{
    rpc->forward_handler = handler;
    rpc->forward_context = context;
}

static void respond_empty(struct http_responder *responder, connection_ref to, int status)
{
    responder->respond(responder, to, status, NULL, "{}", strlen("{}"));
}

static void serve_forwarded(struct node_rpc *rpc, struct http_responder *responder,
                            connection_ref from, const char *sender, const cJSON *message)
{
    const char *method = node_rpc_get_string(message, FIELD_METHOD);
    const char *path = node_rpc_get_string(message, FIELD_PATH);
    const char *body = node_rpc_get_string(message, FIELD_BODY);
    if (!rpc->forward_handler || !method || !path || !body) {
        respond_empty(responder, from, HTTP_STATUS_BAD_REQUEST);
        return;
    }
    const struct http_request request = {.method = method,
                                         .path = path,
                                         .query = "",
                                         .body = body,
                                         .body_bytes = strlen(body),
                                         .forwarded_by = sender};
    rpc->forward_handler(rpc->forward_context, responder, from, &request);
}

static void serve_call(struct node_rpc *rpc, struct http_responder *responder, connection_ref from,
                       const char *kind, const char *sender, const cJSON *message)
{
    cJSON *response = NULL;
    int status = handle_message(rpc, kind, sender, message, &response);
    if (response) {
        char *response_body = cJSON_PrintUnformatted(response);
        responder->respond(responder, from, status, NULL, response_body, strlen(response_body));
        free(response_body);
    } else {
        respond_empty(responder, from, status);
    }
    cJSON_Delete(response);
}

void node_rpc_serve(void *context, struct http_responder *responder, connection_ref from,
                    const struct http_request *request)
{
    struct node_rpc *rpc = context;
    if (strcmp(request->method, "POST") != 0 || !g_str_has_prefix(request->path, PATH_PREFIX)) {
        respond_empty(responder, from, HTTP_STATUS_NOT_FOUND);
        return;
    }
    cJSON *message = cJSON_ParseWithLength(request->body, request->body_bytes);
    const char *sender = node_rpc_get_string(message, FIELD_SENDER);
    if (!sender || !find_address(rpc, sender)) {
        LOG_ERROR("node_message_malformed", "path=%s bytes=%zu", request->path,
                  request->body_bytes);
        respond_empty(responder, from, HTTP_STATUS_BAD_REQUEST);
    } else if (strcmp(request->path, FORWARD_PATH) == 0) {
        serve_forwarded(rpc, responder, from, sender, message);
    } else {
        const char *kind = request->path + strlen(PATH_PREFIX);
        serve_call(rpc, responder, from, kind, sender, message);
    }
    cJSON_Delete(message);
}

/* ---- fields of messages ---- */

void node_rpc_put_u64(cJSON *object, const char *field, uint64_t value)
{
    char string[24];
    g_snprintf(string, sizeof string, "%" G_GUINT64_FORMAT, value);
    cJSON_AddStringToObject(object, field, string);
}

bool node_rpc_parse_u64(const cJSON *item, uint64_t *out)
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
    return node_rpc_parse_u64(cJSON_GetObjectItemCaseSensitive(object, field), out);
}

const char *node_rpc_get_string(const cJSON *object, const char *field)
{
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(item) ? item->valuestring : NULL;
}

cJSON *node_rpc_encode_task_attempt(job_id job, uint32_t index, attempt_no attempt)
{
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "j", job.text);
    cJSON_AddNumberToObject(object, "i", index);
    node_rpc_put_u64(object, "a", attempt.value);
    return object;
}

bool node_rpc_decode_task_attempt(const cJSON *object, job_id *job, uint32_t *index,
                                  attempt_no *attempt)
{
    const char *job_id_string = node_rpc_get_string(object, "j");
    const cJSON *index_item = cJSON_GetObjectItemCaseSensitive(object, "i");
    if (!job_id_string || !job_id_parse(job, job_id_string) || !cJSON_IsNumber(index_item) ||
        index_item->valuedouble < 0 || index_item->valuedouble > UINT32_MAX ||
        !node_rpc_get_u64(object, "a", &attempt->value))
        return false;
    *index = (uint32_t)index_item->valuedouble;
    return true;
}
