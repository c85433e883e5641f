#include "node_rpc.h"

#include "log.h"

#include <errno.h>
#include <stdlib.h>

struct handler {
    bus_handler handle;
    void *ctx;
};

struct bus {
    struct actor actor;
    struct loop *loop;
    struct net *net;
    const struct settings *settings;
    GHashTable *handlers;
    http_handler relayed;
    void *relayed_ctx;
};

/* A message to the own node, waiting in the mailbox. */
struct local {
    char *kind;
    cJSON *message;
    bus_done done;
    void *arg;
};

static void local_free(gpointer p)
{
    struct local *local = p;
    g_free(local->kind);
    cJSON_Delete(local->message);
    g_free(local);
}

static int dispatch(struct bus *bus, const char *kind, const char *from, const cJSON *m,
                    cJSON **answer)
{
    struct handler *handler = g_hash_table_lookup(bus->handlers, kind);
    return handler ? handler->handle(handler->ctx, from, m, answer) : 404;
}

static void receive(struct actor *self, const struct message *msg)
{
    struct bus *bus = (struct bus *)self;
    struct local *local = msg->body;
    cJSON *answer = NULL;
    int status = dispatch(bus, local->kind, bus->settings->label, local->message, &answer);
    local->done(local->arg, status, answer);
    cJSON_Delete(answer);
}

struct bus *bus_new(struct loop *loop, struct net *net, const struct settings *settings)
{
    struct bus *bus = g_new0(struct bus, 1);
    bus->actor = (struct actor){"bus", receive};
    bus->loop = loop;
    bus->net = net;
    bus->settings = settings;
    bus->handlers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return bus;
}

void bus_free(struct bus *bus)
{
    g_hash_table_unref(bus->handlers);
    g_free(bus);
}

void bus_handle(struct bus *bus, const char *kind, bus_handler handler, void *ctx)
{
    struct handler *h = g_new(struct handler, 1);
    *h = (struct handler){handler, ctx};
    g_hash_table_replace(bus->handlers, g_strdup(kind), h);
}

struct sent {
    bus_done done;
    void *arg;
};

static void answered(void *arg, const struct net_answer *a)
{
    struct sent *sent = arg;
    cJSON *answer = a->status > 0 ? cJSON_ParseWithLength(a->body, a->len) : NULL;
    sent->done(sent->arg, a->status, answer);
    cJSON_Delete(answer);
    g_free(sent);
}

static const char *endpoint(struct bus *bus, const char *label)
{
    for (guint i = 0; i < bus->settings->siblings->len; i++) {
        struct sibling *sibling = &g_array_index(bus->settings->siblings, struct sibling, i);
        if (strcmp(sibling->label, label) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

void bus_send(struct bus *bus, const char *to, const char *kind, cJSON *message, int timeout_ms,
              bus_done done, void *arg)
{
    if (strcmp(to, bus->settings->label) == 0) {
        struct local *local = g_new(struct local, 1);
        *local = (struct local){g_strdup(kind), message, done, arg};
        actor_send(bus->loop, &bus->actor, 0, local, local_free);
        return;
    }
    const char *addr = endpoint(bus, to);
    if (!addr) {
        cJSON_Delete(message);
        done(arg, NET_NOT_SENT, NULL);
        return;
    }
    cJSON_AddStringToObject(message, "from", bus->settings->label);
    char *body = cJSON_PrintUnformatted(message);
    cJSON_Delete(message);
    char *path = g_strconcat("/bus/", kind, NULL);
    struct sent *sent = g_new(struct sent, 1);
    *sent = (struct sent){done, arg};
    struct net_request request = {addr, "POST", path, body, strlen(body), timeout_ms};
    bus->net->request(bus->net, &request, answered, sent);
    g_free(path);
    free(body);
}

void bus_relay(struct bus *bus, const char *to, const struct http_request *r, int timeout_ms,
               net_done done, void *arg)
{
    const char *addr = endpoint(bus, to);
    cJSON *message = cJSON_CreateObject();
    cJSON_AddStringToObject(message, "from", bus->settings->label);
    cJSON_AddStringToObject(message, "method", r->method);
    cJSON_AddStringToObject(message, "path", r->path);
    char *text = g_strndup(r->body, r->body_len);
    cJSON_AddStringToObject(message, "body", text);
    char *body = cJSON_PrintUnformatted(message);
    struct net_request request = {addr, "POST", "/bus/relay", body, strlen(body), timeout_ms};
    if (addr)
        bus->net->request(bus->net, &request, done, arg);
    else
        done(arg, &(struct net_answer){.status = NET_NOT_SENT});
    free(body);
    g_free(text);
    cJSON_Delete(message);
}

void bus_on_relay(struct bus *bus, http_handler serve, void *ctx)
{
    bus->relayed = serve;
    bus->relayed_ctx = ctx;
}

static void serve_relayed(struct bus *bus, struct http_replier *replier, conn_ref from,
                          const char *who, const cJSON *message)
{
    const char *method = bus_text(message, "method"), *path = bus_text(message, "path"),
               *body = bus_text(message, "body");
    if (!bus->relayed || !method || !path || !body) {
        replier->reply(replier, from, 400, NULL, "{}", 2);
        return;
    }
    struct http_request request = {method, path, "", body, strlen(body), who};
    bus->relayed(bus->relayed_ctx, replier, from, &request);
}

void bus_serve(void *ctx, struct http_replier *replier, conn_ref from,
               const struct http_request *request)
{
    struct bus *bus = ctx;
    if (strcmp(request->method, "POST") != 0 || !g_str_has_prefix(request->path, "/bus/")) {
        replier->reply(replier, from, 404, NULL, "{}", 2);
        return;
    }
    cJSON *message = cJSON_ParseWithLength(request->body, request->body_len);
    const char *who = bus_text(message, "from");
    if (!who || !endpoint(bus, who)) {
        LOG_ERROR("bus_malformed", "path=%s bytes=%zu", request->path, request->body_len);
        cJSON_Delete(message);
        replier->reply(replier, from, 400, NULL, "{}", 2);
        return;
    }
    if (strcmp(request->path, "/bus/relay") == 0) {
        serve_relayed(bus, replier, from, who, message);
        cJSON_Delete(message);
        return;
    }
    cJSON *answer = NULL;
    int status = dispatch(bus, request->path + 5, who, message, &answer);
    char *text = answer ? cJSON_PrintUnformatted(answer) : NULL;
    replier->reply(replier, from, status, NULL, text ? text : "{}", text ? strlen(text) : 2);
    free(text);
    cJSON_Delete(answer);
    cJSON_Delete(message);
}

void bus_put_u64(cJSON *object, const char *field, uint64_t value)
{
    char text[24];
    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, value);
    cJSON_AddStringToObject(object, field, text);
}

bool bus_item_u64(const cJSON *item, uint64_t *out)
{
    if (!cJSON_IsString(item) || !g_ascii_isdigit(item->valuestring[0]))
        return false;
    char *end;
    errno = 0;
    *out = g_ascii_strtoull(item->valuestring, &end, 10);
    return !*end && errno == 0;
}

bool bus_u64(const cJSON *object, const char *field, uint64_t *out)
{
    return bus_item_u64(cJSON_GetObjectItemCaseSensitive(object, field), out);
}

const char *bus_text(const cJSON *o, const char *field)
{
    const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, field);
    return cJSON_IsString(x) ? x->valuestring : NULL;
}

cJSON *bus_task(job_id job, uint32_t index, attempt_no attempt)
{
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "j", job.s);
    cJSON_AddNumberToObject(object, "i", index);
    bus_put_u64(object, "a", attempt.v);
    return object;
}

bool bus_task_read(const cJSON *o, job_id *job, uint32_t *index, attempt_no *attempt)
{
    const char *name = bus_text(o, "j");
    const cJSON *i = cJSON_GetObjectItemCaseSensitive(o, "i");
    if (!name || !job_id_from(job, name) || !cJSON_IsNumber(i) || i->valuedouble < 0 ||
        i->valuedouble > UINT32_MAX || !bus_u64(o, "a", &attempt->v))
        return false;
    *index = (uint32_t)i->valuedouble;
    return true;
}
