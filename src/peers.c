#include "peers.h"

#include "log.h"

enum {
    ASK_MS = 500,
    ASK_TIMEOUT_MS = 450,
    MARGIN_MS = 1000,
    KEPT_MS = 1000,  /* between two questions for leases that were kept */
    FRESH_MS = 3000, /* a view that is older shows nobody's absence */
};

struct peer {
    bool answered, served;
    uint64_t told; /* the newest revision of a cancellation that it has told of */
    int64_t up_ms; /* its process runs for so long */
};

/* What is known of the leases that another node may have renewed for machines of this one. */
struct kept {
    mono_time asked, until; /* of its last answer: none since until; asked 0: none yet */
    mono_time absent;       /* its key is gone since then; 0: it is there, or that is not known */
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
    mono_time sheltered; /* this node last renewed a lease for another one; at first: its start */
    GHashTable *kept;    /* label -> struct kept */
    guint kept_out;
    mono_time kept_asked;
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

/* How long ago a process of this node can last have renewed a lease for another node: an earlier
 * process may have, until this one was started. */
static int on_kept(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    (void)m;
    struct peers *p = ctx;
    *answer = cJSON_CreateObject();
    cJSON_AddNumberToObject(*answer, "ago_ms",
                            (double)time_ms_since(loop_now(p->loop), p->sheltered));
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
    p->started = p->sheltered = loop_now(loop);
    p->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < settings->siblings->len; i++)
        g_hash_table_insert(p->kept,
                            g_strdup(g_array_index(settings->siblings, struct sibling, i).label),
                            g_new0(struct kept, 1));
    timer_init(&p->ask, ask, p);
    bus_handle(bus, "health", on_health, p);
    bus_handle(bus, "kept", on_kept, p);
    return p;
}

void peers_free(struct peers *p)
{
    timer_stop(p->loop, &p->ask);
    g_hash_table_unref(p->peers);
    g_hash_table_unref(p->kept);
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

bool peers_lost(const struct peers *p, const char *label)
{
    struct peer *x = g_hash_table_lookup(p->peers, label);
    return store_troubled(p->store) && x && !x->answered && !peers_served(p);
}

/* ---- leases that other nodes keep ---- */

void peers_sheltered(struct peers *p)
{
    p->sheltered = loop_now(p->loop);
}

/* A question to one of the other nodes. */
struct asked {
    struct peers *peers;
    char *label;
    mono_time at;
};

static void asked_free(struct asked *a)
{
    g_free(a->label);
    g_free(a);
}

/* Asks all of them; tells how many that are. */
static guint ask_all(struct peers *p, const char *question, bus_done answered)
{
    const GArray *all = p->settings->siblings;
    for (guint i = 0; i < all->len; i++) {
        struct asked *a = g_new(struct asked, 1);
        *a = (struct asked){p, g_strdup(g_array_index(all, struct sibling, i).label),
                            loop_now(p->loop)};
        bus_send(p->bus, a->label, question, cJSON_CreateObject(), ASK_TIMEOUT_MS, answered, a);
    }
    return all->len;
}

static void kept_answered(void *arg, int status, const cJSON *m)
{
    struct asked *a = arg;
    struct peers *p = a->peers;
    const cJSON *ago = cJSON_GetObjectItemCaseSensitive(m, "ago_ms");
    struct kept *k = g_hash_table_lookup(p->kept, a->label);
    if (status == 200 && cJSON_IsNumber(ago)) {
        k->asked = a->at;
        /* Its clock may be the faster one. */
        k->until = time_add_ms(loop_now(p->loop), -(int64_t)(ago->valuedouble * 0.999));
    }
    p->kept_out--;
    asked_free(a);
}

static void ask_kept(struct peers *p)
{
    mono_time now = loop_now(p->loop);
    if (p->kept_out || (p->kept_asked.us && time_ms_since(now, p->kept_asked) < KEPT_MS))
        return;
    p->kept_asked = now;
    p->kept_out = ask_all(p, "kept", kept_answered);
}

/* Which nodes are away, as a view shows that is new enough. */
static void note_absent(struct peers *p)
{
    mono_time now = loop_now(p->loop);
    bool fresh = p->view->ready && time_ms_since(now, p->view->fresh) < FRESH_MS;
    GHashTableIter it;
    char *label;
    struct kept *k;
    g_hash_table_iter_init(&it, p->kept);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&k)) {
        if (!fresh || g_hash_table_contains(p->view->nodes, label))
            k->absent = (mono_time){0};
        else if (!k->absent.us)
            k->absent = now;
    }
}

/* A node that does not answer may keep leases for keep_ms after its key was gone, at most, as only
 * one whose view shows its own key does so. */
bool peers_leases_over(struct peers *p, mono_time last, int64_t lease_ms, int64_t keep_ms)
{
    bool over = true;
    note_absent(p);
    GHashTableIter it;
    struct kept *k;
    g_hash_table_iter_init(&it, p->kept);
    while (over && g_hash_table_iter_next(&it, NULL, (gpointer *)&k)) {
        mono_time until = time_before(last, k->until) ? k->until : last;
        over = (k->asked.us && time_ms_since(k->asked, until) > lease_ms) ||
               (k->absent.us && time_ms_since(p->view->fresh, k->absent) > keep_ms + lease_ms);
    }
    if (!over)
        ask_kept(p);
    return over;
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
    asked_free(a);
}

static void ask(void *arg)
{
    struct peers *p = arg;
    timer_start(p->loop, &p->ask, store_troubled(p->store) ? ASK_MS : ASK_MS / 2);
    mono_time now = loop_now(p->loop);
    note_absent(p);
    if (!store_troubled(p->store)) {
        g_hash_table_remove_all(p->peers);
        p->alone = false;
        return;
    }
    if (p->out)
        return;
    p->asked = now;
    p->out = ask_all(p, "health", answered);
}
