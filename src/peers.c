#include "peers.h"

#include "log.h"

enum {
    ASK_MS = 500,
    ASK_TIMEOUT_MS = 450,
    MARGIN_MS = 1000,
    KEPT_MS = 1000,     /* between two questions for leases that were kept */
    FRESH_MS = 3000,    /* a view that is older shows nobody's absence */
    MOST_TOLD = 4000,   /* cancellations that are remembered */
    MOST_HANDED = 1000, /* and handed over in one answer */
    ANNOUNCE_MS = 100,
};

struct peer {
    bool answered, served;
    bool handed;   /* it has handed over every cancellation that this node's view may not show */
    int64_t up_ms; /* its process runs for so long */
};

/* A cancellation that this node has told a user of, or has asked the state service for. */
struct told {
    GList place; /* in the order in which they came */
    job_id job;
    revision of; /* 0: nobody was told by this node */
    int open;    /* transactions that may have been carried out, or may yet be */
    mono_time since;
};

/* One that another node has handed over. */
struct learned {
    revision of; /* 0: it may hold */
    mono_time since;
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
    GHashTable *told; /* job -> struct told */
    GQueue told_order;
    revision newest;     /* of all that this node has told of */
    revision forgot;     /* the newest revision of those that are not remembered any more */
    bool forgot_open;    /* some of them may still come to hold */
    GHashTable *learned; /* job -> struct learned */
    struct actor *listener;
    uint64_t questions; /* so that a late copy of an answer is none to a later question */
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

/* ---- cancellations ---- */

static void told_drop(struct peers *p, struct told *t)
{
    g_queue_unlink(&p->told_order, &t->place);
    g_hash_table_remove(p->told, t->job.s);
}

/* What the view shows by now of a transaction that nobody knew the end of. The conditions of one
 * that is still on its way do not hold any more when the job is over. */
static void told_settle(struct peers *p, struct told *t)
{
    struct job *j = t->of.v || !t->open ? NULL : view_job(p->view, t->job.s);
    if (!j || !j->known || j->state == JOB_LIVE)
        return;
    t->open = 0;
    if (j->state == JOB_CANCELLED)
        t->of = j->cancelled_at;
}

/* The oldest are not remembered. Whoever may not know of them is told so. */
static void told_bound(struct peers *p)
{
    while (p->told_order.length > MOST_TOLD) {
        struct told *t = p->told_order.head->data;
        told_settle(p, t);
        p->forgot.v = MAX(p->forgot.v, t->of.v);
        p->forgot_open = p->forgot_open || (t->open && !t->of.v);
        told_drop(p, t);
    }
}

static struct told *told_get(struct peers *p, job_id job)
{
    struct told *t = g_hash_table_lookup(p->told, job.s);
    if (t)
        return t;
    t = g_new0(struct told, 1);
    t->job = job;
    t->place.data = t;
    t->since = loop_now(p->loop);
    g_hash_table_insert(p->told, t->job.s, t);
    g_queue_push_tail_link(&p->told_order, &t->place);
    told_bound(p);
    return t;
}

static void notify(struct peers *p, job_id job)
{
    if (p->listener)
        actor_send(p->loop, p->listener, MSG_CANCELLED, g_memdup2(&job, sizeof job), g_free);
}

void peers_listen(struct peers *p, struct actor *listener)
{
    p->listener = listener;
}

/* The view may be cut off at this very moment and never show it, so it is heeded without the view,
 * here as well as where it is handed over. */
void peers_told_cancel(struct peers *p, job_id job, revision of)
{
    struct told *t = told_get(p, job);
    const struct job *j = view_job(p->view, job.s);
    bool news = !t->of.v && (!j || !j->known || j->state == JOB_LIVE);
    if (!t->of.v || of.v < t->of.v)
        t->of = of;
    p->newest.v = MAX(p->newest.v, of.v);
    if (news)
        notify(p, job);
}

void peers_cancel_sent(struct peers *p, job_id job)
{
    told_get(p, job)->open++;
}

void peers_cancel_over(struct peers *p, job_id job, enum txn_result result)
{
    struct told *t = g_hash_table_lookup(p->told, job.s);
    if (!t)
        return;
    if (result == TXN_UNKNOWN)
        notify(p, job);
    else if (t->open)
        t->open--;
    if (!t->open && !t->of.v && result != TXN_DONE)
        told_drop(p, t);
}

enum cancel_news peers_cancelled(const struct peers *p, job_id job)
{
    const struct told *t = g_hash_table_lookup(p->told, job.s);
    const struct learned *l = g_hash_table_lookup(p->learned, job.s);
    if ((t && t->of.v) || (l && l->of.v))
        return CANCEL_SURE;
    return t || l ? CANCEL_MAY : CANCEL_NONE;
}

mono_time peers_cancelled_since(const struct peers *p, job_id job)
{
    const struct told *t = g_hash_table_lookup(p->told, job.s);
    const struct learned *l = g_hash_table_lookup(p->learned, job.s);
    if (t && l)
        return time_before(l->since, t->since) ? l->since : t->since;
    return t ? t->since : l ? l->since : loop_now(p->loop);
}

/* Another node hands over a cancellation. It was told of after all that is known here already. */
static void learn(struct peers *p, job_id job, revision of)
{
    struct learned *l = g_hash_table_lookup(p->learned, job.s);
    bool news = !l || (of.v && !l->of.v);
    if (!l) {
        l = g_new0(struct learned, 1);
        l->since = time_before(p->view->fresh, p->quiet_until) ? p->quiet_until : p->view->fresh;
        g_hash_table_insert(p->learned, g_strdup(job.s), l);
    }
    l->of.v = MAX(l->of.v, of.v);
    if (news) {
        LOG_INFO("cancel_learned", "job=%s sure=%d", job.s, of.v != 0);
        notify(p, job);
    }
}

/* What the view shows itself, or cannot come any more. */
static void forget_learned(struct peers *p)
{
    GHashTableIter it;
    char *id;
    struct learned *l;
    g_hash_table_iter_init(&it, p->learned);
    while (g_hash_table_iter_next(&it, (gpointer *)&id, (gpointer *)&l))
        if (l->of.v ? l->of.v <= p->view->at.v : time_before(l->since, p->view->fresh))
            g_hash_table_iter_remove(&it);
}

static int on_cancelled(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    (void)answer;
    const char *id = bus_text(m, "j");
    job_id job;
    revision of;
    if (!id || !job_id_from(&job, id) || !bus_u64(m, "r", &of.v))
        return 400;
    learn(ctx, job, of);
    return 200;
}

struct announcement {
    guint out;
    void (*done)(void *arg);
    void *arg;
};

static void announced(void *arg, int status, const cJSON *answer)
{
    (void)status;
    (void)answer;
    struct announcement *a = arg;
    if (--a->out)
        return;
    a->done(a->arg);
    g_free(a);
}

void peers_announce_cancel(struct peers *p, job_id job, revision of, void (*done)(void *arg),
                           void *arg)
{
    const GArray *all = p->settings->siblings;
    if (!all->len) {
        done(arg);
        return;
    }
    struct announcement *a = g_new(struct announcement, 1);
    *a = (struct announcement){all->len, done, arg};
    for (guint i = 0; i < all->len; i++) {
        cJSON *m = cJSON_CreateObject();
        cJSON_AddStringToObject(m, "j", job.s);
        bus_put_u64(m, "r", of.v);
        bus_send(p->bus, g_array_index(all, struct sibling, i).label, "cancelled", m, ANNOUNCE_MS,
                 announced, a);
    }
}

/* Adds what a node whose view stands at that revision may not know. */
static void hand_over(struct peers *p, uint64_t at, cJSON *answer)
{
    cJSON *list = cJSON_AddArrayToObject(answer, "cancelled");
    int n = 0;
    for (GList *x = p->told_order.head; x && n <= MOST_HANDED; x = x->next) {
        struct told *t = x->data;
        told_settle(p, t);
        if (t->of.v ? t->of.v <= at : !t->open)
            continue;
        cJSON *pair = cJSON_CreateArray();
        cJSON_AddItemToArray(pair, cJSON_CreateString(t->job.s));
        char text[24];
        g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, t->of.v);
        cJSON_AddItemToArray(pair, cJSON_CreateString(text));
        cJSON_AddItemToArray(list, pair);
        n++;
    }
    cJSON_AddBoolToObject(answer, "all", n <= MOST_HANDED && !p->forgot_open && p->forgot.v <= at);
}

static bool take_over(struct peers *p, const cJSON *answer)
{
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(answer, "cancelled"), *x;
    if (!cJSON_IsArray(list))
        return false;
    cJSON_ArrayForEach(x, list)
    {
        const cJSON *id = cJSON_GetArrayItem(x, 0);
        job_id job;
        revision of;
        if (!cJSON_IsString(id) || !job_id_from(&job, id->valuestring) ||
            !bus_item_u64(cJSON_GetArrayItem(x, 1), &of.v))
            return false;
        learn(p, job, of);
    }
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(answer, "all"));
}

/* The answer to another node's question. */
static int on_health(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    struct peers *p = ctx;
    uint64_t at = 0, question = 0;
    bus_u64(m, "at", &at); /* a node of an earlier version does not say it */
    bus_u64(m, "q", &question);
    *answer = cJSON_CreateObject();
    cJSON_AddBoolToObject(*answer, "served", !store_troubled(p->store));
    bus_put_u64(*answer, "q", question);
    bus_put_u64(*answer, "told", p->newest.v); /* for nodes of earlier versions */
    cJSON_AddNumberToObject(*answer, "up_ms", (double)time_ms_since(loop_now(p->loop), p->started));
    hand_over(p, at, *answer);
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
    p->told = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    p->learned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&p->told_order);
    for (guint i = 0; i < settings->siblings->len; i++)
        g_hash_table_insert(p->kept,
                            g_strdup(g_array_index(settings->siblings, struct sibling, i).label),
                            g_new0(struct kept, 1));
    timer_init(&p->ask, ask, p);
    bus_handle(bus, "health", on_health, p);
    bus_handle(bus, "kept", on_kept, p);
    bus_handle(bus, "cancelled", on_cancelled, p);
    return p;
}

void peers_free(struct peers *p)
{
    timer_stop(p->loop, &p->ask);
    g_hash_table_unref(p->peers);
    g_hash_table_unref(p->kept);
    g_hash_table_unref(p->told);
    g_hash_table_unref(p->learned);
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
    uint64_t question;
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
                            loop_now(p->loop), ++p->questions};
        cJSON *m = cJSON_CreateObject();
        bus_put_u64(m, "q", a->question);
        bus_put_u64(m, "at", p->view->at.v);
        bus_send(p->bus, a->label, question, m, ASK_TIMEOUT_MS, answered, a);
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

/* All peers must say that they are not served either, and hand over every cancellation that they
 * have told of, or may have, and this node's view does not hold. A peer that was started again
 * since the view was last known to be new does not know what its earlier process told. */
static void conclude(struct peers *p)
{
    GHashTableIter it;
    struct peer *x;
    int64_t away = time_ms_since(loop_now(p->loop), p->view->fresh) + MARGIN_MS;
    bool all = g_hash_table_size(p->peers) == p->settings->siblings->len;
    p->alone = p->settings->siblings->len > 0;
    g_hash_table_iter_init(&it, p->peers);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        all = all && x->answered && !x->served && x->handed && x->up_ms > away + away / 1000;
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
    uint64_t question = 0;
    x->answered = status == 200 && cJSON_IsBool(served) && cJSON_IsNumber(up);
    x->served = x->answered && cJSON_IsTrue(served);
    x->up_ms = x->answered ? (int64_t)up->valuedouble : 0;
    /* A copy of an earlier answer says nothing of what was told since. */
    x->handed =
        x->answered && bus_u64(m, "q", &question) && question == a->question && take_over(p, m);
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
        forget_learned(p);
        return;
    }
    if (p->out)
        return;
    p->asked = now;
    p->out = ask_all(p, "health", answered);
}
