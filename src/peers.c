#include "peers.h"

#include "log.h"

enum { ASK_MS = 500, ASK_TIMEOUT_MS = 450, MARGIN_MS = 1000 };

struct peer {
    bool answered, served;
    uint64_t told; /* the newest revision of a cancellation that it has told of */
    int64_t up_ms; /* its process runs for so long */
};

struct peers {
    struct loop *loop;
    struct bus *bus;
    struct store *store;
    struct view *view;
    const struct settings *settings;
    mono_time started;
    revision told; /* the newest of a cancellation that this node has told of */
    mono_time asked, quiet_until;
    GHashTable *peers; /* label -> struct peer */
    bool alone;        /* when last asked, nobody answered */
    guint out;
    struct timer ask;
};

static void ask(void *arg);

/* The answer to another node's question. */
static int on_health(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    (void)m;
    struct peers *p = ctx;
    *answer = cJSON_CreateObject();
    cJSON_AddBoolToObject(*answer, "served", !store_troubled(p->store));
    bus_put_u64(*answer, "told", p->told.v);
    cJSON_AddNumberToObject(*answer, "up_ms", (double)time_ms_since(loop_now(p->loop), p->started));
    return 200;
}

struct peers *peers_new(struct loop *loop, struct bus *bus, struct store *store, struct view *view,
                        const struct settings *settings)
{
    struct peers *p = g_new0(struct peers, 1);
    p->loop = loop;
    p->bus = bus;
    p->store = store;
    p->view = view;
    p->settings = settings;
    p->started = loop_now(loop);
    p->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    timer_init(&p->ask, ask, p);
    bus_handle(bus, "health", on_health, p);
    return p;
}

void peers_free(struct peers *p)
{
    timer_stop(p->loop, &p->ask);
    g_hash_table_unref(p->peers);
    g_free(p);
}

void peers_start(struct peers *p)
{
    timer_start(p->loop, &p->ask, ASK_MS);
}

const char *peers_served(const struct peers *p)
{
    if (!store_troubled(p->store))
        return NULL;
    GHashTableIter it;
    char *label;
    struct peer *x;
    g_hash_table_iter_init(&it, p->peers);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&x))
        if (x->answered && x->served)
            return label;
    return NULL;
}

bool peers_alone(const struct peers *p)
{
    return p->alone && store_troubled(p->store);
}

mono_time peers_quiet_until(const struct peers *p)
{
    return p->quiet_until;
}

void peers_told_cancel(struct peers *p, revision of)
{
    p->told.v = MAX(p->told.v, of.v);
}

/* All peers must say that they are not served either, and that this node's view holds every
 * cancellation that they have told of. A peer that was started again since the view was last known
 * to be new does not know what its earlier process told. */
static void conclude(struct peers *p)
{
    GHashTableIter it;
    struct peer *x;
    int64_t away = time_ms_since(loop_now(p->loop), p->view->fresh) + MARGIN_MS;
    bool all = g_hash_table_size(p->peers) == p->settings->siblings->len;
    p->alone = p->settings->siblings->len > 0;
    g_hash_table_iter_init(&it, p->peers);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        all = all && x->answered && !x->served && x->told <= p->view->at.v &&
              x->up_ms > away + away / 1000;
        p->alone = p->alone && !x->answered;
    }
    if (all)
        p->quiet_until = p->asked;
}

struct asked {
    struct peers *peers;
    char *label;
};

static void answered(void *arg, int status, const cJSON *m)
{
    struct asked *a = arg;
    struct peers *p = a->peers;
    const cJSON *served = cJSON_GetObjectItemCaseSensitive(m, "served");
    const cJSON *up = cJSON_GetObjectItemCaseSensitive(m, "up_ms");
    struct peer *x = g_new0(struct peer, 1);
    x->answered =
        status == 200 && cJSON_IsBool(served) && cJSON_IsNumber(up) && bus_u64(m, "told", &x->told);
    x->served = x->answered && cJSON_IsTrue(served);
    x->up_ms = x->answered ? (int64_t)up->valuedouble : 0;
    g_hash_table_replace(p->peers, g_strdup(a->label), x);
    if (--p->out == 0)
        conclude(p);
    g_free(a->label);
    g_free(a);
}

static void ask(void *arg)
{
    struct peers *p = arg;
    timer_start(p->loop, &p->ask, store_troubled(p->store) ? ASK_MS : ASK_MS / 2);
    mono_time now = loop_now(p->loop);
    if (!store_troubled(p->store)) {
        g_hash_table_remove_all(p->peers);
        p->alone = false;
        return;
    }
    if (p->out)
        return;
    p->asked = now;
    p->out = p->settings->siblings->len;
    for (guint i = 0; i < p->settings->siblings->len; i++) {
        const char *label = g_array_index(p->settings->siblings, struct sibling, i).label;
        struct asked *a = g_new(struct asked, 1);
        *a = (struct asked){p, g_strdup(label)};
        bus_send(p->bus, label, "health", cJSON_CreateObject(), ASK_TIMEOUT_MS, answered, a);
    }
}
