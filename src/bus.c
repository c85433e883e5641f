#include "bus.h"

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
    struct local *l = p;
    g_free(l->kind);
    cJSON_Delete(l->message);
    g_free(l);
}

static int dispatch(struct bus *b, const char *kind, const char *from, const cJSON *m,
                    cJSON **answer)
{
    struct handler *h = g_hash_table_lookup(b->handlers, kind);
    return h ? h->handle(h->ctx, from, m, answer) : 404;
}

static void receive(struct actor *self, const struct message *msg)
{
    struct bus *b = (struct bus *)self;
    struct local *l = msg->body;
    cJSON *answer = NULL;
    int status = dispatch(b, l->kind, b->settings->label, l->message, &answer);
    l->done(l->arg, status, answer);
    cJSON_Delete(answer);
}

struct bus *bus_new(struct loop *loop, struct net *net, const struct settings *settings)
{
    struct bus *b = g_new0(struct bus, 1);
    b->actor = (struct actor){"bus", receive};
    b->loop = loop;
    b->net = net;
    b->settings = settings;
    b->handlers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return b;
}

void bus_free(struct bus *b)
{
    g_hash_table_unref(b->handlers);
    g_free(b);
}

void bus_handle(struct bus *b, const char *kind, bus_handler handler, void *ctx)
{
    struct handler *h = g_new(struct handler, 1);
    *h = (struct handler){handler, ctx};
    g_hash_table_replace(b->handlers, g_strdup(kind), h);
}

struct sent {
    bus_done done;
    void *arg;
};

static void answered(void *arg, const struct net_answer *a)
{
    struct sent *s = arg;
    cJSON *answer = a->status > 0 ? cJSON_ParseWithLength(a->body, a->len) : NULL;
    s->done(s->arg, a->status, answer);
    cJSON_Delete(answer);
    g_free(s);
}

static const char *endpoint(struct bus *b, const char *label)
{
    for (guint i = 0; i < b->settings->siblings->len; i++) {
        struct sibling *x = &g_array_index(b->settings->siblings, struct sibling, i);
        if (strcmp(x->label, label) == 0)
            return x->endpoint;
    }
    return NULL;
}

void bus_send(struct bus *b, const char *to, const char *kind, cJSON *message, int timeout_ms,
              bus_done done, void *arg)
{
    if (strcmp(to, b->settings->label) == 0) {
        struct local *l = g_new(struct local, 1);
        *l = (struct local){g_strdup(kind), message, done, arg};
        actor_send(b->loop, &b->actor, 0, l, local_free);
        return;
    }
    const char *addr = endpoint(b, to);
    if (!addr) {
        cJSON_Delete(message);
        done(arg, NET_NOT_SENT, NULL);
        return;
    }
    cJSON_AddStringToObject(message, "from", b->settings->label);
    char *body = cJSON_PrintUnformatted(message);
    cJSON_Delete(message);
    char *path = g_strconcat("/bus/", kind, NULL);
    struct sent *s = g_new(struct sent, 1);
    *s = (struct sent){done, arg};
    struct net_request q = {addr, "POST", path, body, strlen(body), timeout_ms};
    b->net->request(b->net, &q, answered, s);
    g_free(path);
    free(body);
}

void bus_relay(struct bus *b, const char *to, const struct http_request *r, int timeout_ms,
               net_done done, void *arg)
{
    const char *addr = endpoint(b, to);
    cJSON *m = cJSON_CreateObject();
    cJSON_AddStringToObject(m, "from", b->settings->label);
    cJSON_AddStringToObject(m, "method", r->method);
    cJSON_AddStringToObject(m, "path", r->path);
    char *text = g_strndup(r->body, r->body_len);
    cJSON_AddStringToObject(m, "body", text);
    char *body = cJSON_PrintUnformatted(m);
    struct net_request q = {addr, "POST", "/bus/relay", body, strlen(body), timeout_ms};
    if (addr)
        b->net->request(b->net, &q, done, arg);
    else
        done(arg, &(struct net_answer){.status = NET_NOT_SENT});
    free(body);
    g_free(text);
    cJSON_Delete(m);
}

void bus_on_relay(struct bus *b, http_handler serve, void *ctx)
{
    b->relayed = serve;
    b->relayed_ctx = ctx;
}

static void serve_relayed(struct bus *b, struct http_replier *replier, conn_ref from,
                          const char *who, const cJSON *m)
{
    const char *method = bus_text(m, "method"), *path = bus_text(m, "path"),
               *body = bus_text(m, "body");
    if (!b->relayed || !method || !path || !body) {
        replier->reply(replier, from, 400, NULL, "{}", 2);
        return;
    }
    struct http_request r = {method, path, "", body, strlen(body), who};
    b->relayed(b->relayed_ctx, replier, from, &r);
}

void bus_serve(void *ctx, struct http_replier *replier, conn_ref from, const struct http_request *r)
{
    struct bus *b = ctx;
    if (strcmp(r->method, "POST") != 0 || !g_str_has_prefix(r->path, "/bus/")) {
        replier->reply(replier, from, 404, NULL, "{}", 2);
        return;
    }
    cJSON *m = cJSON_ParseWithLength(r->body, r->body_len);
    const char *who = bus_text(m, "from");
    if (!who || !endpoint(b, who)) {
        LOG_ERROR("bus_malformed", "path=%s bytes=%zu", r->path, r->body_len);
        cJSON_Delete(m);
        replier->reply(replier, from, 400, NULL, "{}", 2);
        return;
    }
    if (strcmp(r->path, "/bus/relay") == 0) {
        serve_relayed(b, replier, from, who, m);
        cJSON_Delete(m);
        return;
    }
    cJSON *answer = NULL;
    int status = dispatch(b, r->path + 5, who, m, &answer);
    char *text = answer ? cJSON_PrintUnformatted(answer) : NULL;
    replier->reply(replier, from, status, NULL, text ? text : "{}", text ? strlen(text) : 2);
    free(text);
    cJSON_Delete(answer);
    cJSON_Delete(m);
}

void bus_put_u64(cJSON *o, const char *field, uint64_t value)
{
    char text[24];
    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, value);
    cJSON_AddStringToObject(o, field, text);
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

bool bus_u64(const cJSON *o, const char *field, uint64_t *out)
{
    return bus_item_u64(cJSON_GetObjectItemCaseSensitive(o, field), out);
}

const char *bus_text(const cJSON *o, const char *field)
{
    const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, field);
    return cJSON_IsString(x) ? x->valuestring : NULL;
}

cJSON *bus_task(job_id job, uint32_t index, attempt_no attempt)
{
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "j", job.s);
    cJSON_AddNumberToObject(o, "i", index);
    bus_put_u64(o, "a", attempt.v);
    return o;
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
