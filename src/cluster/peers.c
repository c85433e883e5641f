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
    mono_time renewed_for_peer_at; /* this node last renewed a lease for another one; at first: its
                                      start */
    GHashTable *kept;              /* label -> struct kept */
    guint kept_out;
    mono_time kept_asked;
};

static void ask(void *arg);

/* ---- cancellations ---- */

static void told_drop(struct peers *peers, struct told *told)
{
    g_queue_unlink(&peers->told_order, &told->place);
    g_hash_table_remove(peers->told, told->job.s);
}

/* What the view shows by now of a transaction that nobody knew the end of. The conditions of one
 * that is still on its way do not hold any more when the job is over. */
static void told_settle(struct peers *peers, struct told *told)
{
    struct job *job = told->of.v || !told->open ? NULL : view_job(peers->view, told->job.s);
    if (!job || !job->known || job->state == JOB_LIVE)
        return;
    told->open = 0;
    if (job->state == JOB_CANCELLED)
        told->of = job->cancelled_at;
}

/* The oldest are not remembered. Whoever may not know of them is told so. */
static void told_bound(struct peers *peers)
{
    while (peers->told_order.length > MOST_TOLD) {
        struct told *told = peers->told_order.head->data;
        told_settle(peers, told);
        peers->forgot.v = MAX(peers->forgot.v, told->of.v);
        peers->forgot_open = peers->forgot_open || (told->open && !told->of.v);
        told_drop(peers, told);
    }
}

static struct told *told_get(struct peers *peers, job_id job)
{
    struct told *told = g_hash_table_lookup(peers->told, job.s);
    if (told)
        return told;
    told = g_new0(struct told, 1);
    told->job = job;
    told->place.data = told;
    told->since = loop_now(peers->loop);
    g_hash_table_insert(peers->told, told->job.s, told);
    g_queue_push_tail_link(&peers->told_order, &told->place);
    told_bound(peers);
    return told;
}

static void notify(struct peers *peers, job_id job)
{
    if (peers->listener)
        actor_send(peers->loop, peers->listener, MSG_CANCELLED, g_memdup2(&job, sizeof job),
                   g_free);
}

void peers_listen(struct peers *peers, struct actor *listener)
{
    peers->listener = listener;
}

/* The view may be cut off at this very moment and never show it, so it is heeded without the view,
 * here as well as where it is handed over. */
void peers_told_cancel(struct peers *peers, job_id job, revision of)
{
    struct told *told = told_get(peers, job);
    const struct job *j = view_job(peers->view, job.s);
    bool changed = !told->of.v && (!j || !j->known || j->state == JOB_LIVE);
    if (!told->of.v || of.v < told->of.v)
        told->of = of;
    peers->newest.v = MAX(peers->newest.v, of.v);
    if (changed)
        notify(peers, job);
}

void peers_cancel_sent(struct peers *peers, job_id job)
{
    told_get(peers, job)->open++;
}

void peers_cancel_over(struct peers *peers, job_id job, const struct txn_outcome *outcome)
{
    enum txn_result result = outcome->result;
    if (result == TXN_DONE)
        peers_told_cancel(peers, job, outcome->at);
    struct told *told = g_hash_table_lookup(peers->told, job.s);
    if (!told)
        return;
    if (result == TXN_UNKNOWN)
        notify(peers, job);
    else if (told->open)
        told->open--;
    if (!told->open && !told->of.v && result != TXN_DONE)
        told_drop(peers, told);
}

enum cancel_knowledge peers_cancelled(const struct peers *peers, job_id job)
{
    const struct told *told = g_hash_table_lookup(peers->told, job.s);
    const struct learned *learned = g_hash_table_lookup(peers->learned, job.s);
    if ((told && told->of.v) || (learned && learned->of.v))
        return CANCEL_SURE;
    return told || learned ? CANCEL_MAY : CANCEL_NONE;
}

mono_time peers_cancelled_since(const struct peers *peers, job_id job)
{
    const struct told *told = g_hash_table_lookup(peers->told, job.s);
    const struct learned *learned = g_hash_table_lookup(peers->learned, job.s);
    if (told && learned)
        return time_before(learned->since, told->since) ? learned->since : told->since;
    return told ? told->since : learned ? learned->since : loop_now(peers->loop);
}

/* Another node hands over a cancellation. It was told of after all that is known here already. */
static void learn(struct peers *peers, job_id job, revision of)
{
    struct learned *learned = g_hash_table_lookup(peers->learned, job.s);
    bool changed = !learned || (of.v && !learned->of.v);
    if (!learned) {
        learned = g_new0(struct learned, 1);
        learned->since = time_before(peers->view->fresh, peers->quiet_until) ? peers->quiet_until
                                                                             : peers->view->fresh;
        g_hash_table_insert(peers->learned, g_strdup(job.s), learned);
    }
    learned->of.v = MAX(learned->of.v, of.v);
    if (changed) {
        LOG_INFO("cancel_learned", "job=%s sure=%d", job.s, of.v != 0);
        notify(peers, job);
    }
}

/* What the view shows itself, or cannot come any more. */
static void forget_learned(struct peers *peers)
{
    GHashTableIter it;
    char *id;
    struct learned *learned;
    g_hash_table_iter_init(&it, peers->learned);
    while (g_hash_table_iter_next(&it, (gpointer *)&id, (gpointer *)&learned))
        if (learned->of.v ? learned->of.v <= peers->view->at.v
                          : time_before(learned->since, peers->view->fresh))
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
    struct announcement *announcement = arg;
    if (--announcement->out)
        return;
    announcement->done(announcement->arg);
    g_free(announcement);
}

void peers_announce_cancel(struct peers *peers, job_id job, revision of, void (*done)(void *arg),
                           void *arg)
{
    const GArray *all = peers->settings->siblings;
    if (!all->len) {
        done(arg);
        return;
    }
    struct announcement *announcement = g_new(struct announcement, 1);
    *announcement = (struct announcement){all->len, done, arg};
    for (guint i = 0; i < all->len; i++) {
        cJSON *message = cJSON_CreateObject();
        cJSON_AddStringToObject(message, "j", job.s);
        bus_put_u64(message, "r", of.v);
        bus_send(peers->bus, g_array_index(all, struct sibling, i).label, "cancelled", message,
                 ANNOUNCE_MS, announced, announcement);
    }
}

/* Adds what a node whose view stands at that revision may not know. */
static void hand_over(struct peers *peers, uint64_t at, cJSON *answer)
{
    cJSON *list = cJSON_AddArrayToObject(answer, "cancelled");
    int n = 0;
    for (GList *x = peers->told_order.head; x && n <= MOST_HANDED; x = x->next) {
        struct told *told = x->data;
        told_settle(peers, told);
        if (told->of.v ? told->of.v <= at : !told->open)
            continue;
        cJSON *pair = cJSON_CreateArray();
        cJSON_AddItemToArray(pair, cJSON_CreateString(told->job.s));
        char text[24];
        g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, told->of.v);
        cJSON_AddItemToArray(pair, cJSON_CreateString(text));
        cJSON_AddItemToArray(list, pair);
        n++;
    }
    cJSON_AddBoolToObject(answer, "all",
                          n <= MOST_HANDED && !peers->forgot_open && peers->forgot.v <= at);
}

static bool take_over(struct peers *peers, const cJSON *answer)
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
        learn(peers, job, of);
    }
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(answer, "all"));
}

/* The answer to another node's question. */
static int on_health(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    struct peers *peers = ctx;
    uint64_t at = 0, question = 0;
    bus_u64(m, "at", &at); /* a node of an earlier version does not say it */
    bus_u64(m, "q", &question);
    *answer = cJSON_CreateObject();
    cJSON_AddBoolToObject(*answer, "served", !store_troubled(peers->store));
    bus_put_u64(*answer, "q", question);
    bus_put_u64(*answer, "told", peers->newest.v); /* for nodes of earlier versions */
    cJSON_AddNumberToObject(*answer, "up_ms",
                            (double)time_ms_since(loop_now(peers->loop), peers->started));
    hand_over(peers, at, *answer);
    return 200;
}

/* How long ago a process of this node can last have renewed a lease for another node: an earlier
 * process may have, until this one was started. */
static int on_kept(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)from;
    (void)m;
    struct peers *peers = ctx;
    *answer = cJSON_CreateObject();
    cJSON_AddNumberToObject(
        *answer, "ago_ms",
        (double)time_ms_since(loop_now(peers->loop), peers->renewed_for_peer_at));
    return 200;
}

struct peers *peers_new(struct loop *loop, struct bus *bus, struct store *store, struct view *view,
                        const struct settings *settings)
{
    struct peers *peers = g_new0(struct peers, 1);
    peers->loop = loop;
    peers->bus = bus;
    peers->store = store;
    peers->view = view;
    peers->settings = settings;
    peers->started = peers->renewed_for_peer_at = loop_now(loop);
    peers->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->told = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    peers->learned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&peers->told_order);
    for (guint i = 0; i < settings->siblings->len; i++)
        g_hash_table_insert(peers->kept,
                            g_strdup(g_array_index(settings->siblings, struct sibling, i).label),
                            g_new0(struct kept, 1));
    timer_init(&peers->ask, ask, peers);
    bus_handle(bus, "health", on_health, peers);
    bus_handle(bus, "kept", on_kept, peers);
    bus_handle(bus, "cancelled", on_cancelled, peers);
    return peers;
}

void peers_free(struct peers *peers)
{
    timer_stop(peers->loop, &peers->ask);
    g_hash_table_unref(peers->peers);
    g_hash_table_unref(peers->kept);
    g_hash_table_unref(peers->told);
    g_hash_table_unref(peers->learned);
    g_free(peers);
}

void peers_start(struct peers *peers)
{
    timer_start(peers->loop, &peers->ask, ASK_MS);
}

const char *peers_served(const struct peers *peers)
{
    if (!store_troubled(peers->store))
        return NULL;
    GHashTableIter it;
    char *label;
    struct peer *peer;
    g_hash_table_iter_init(&it, peers->peers);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&peer))
        if (peer->answered && peer->served)
            return label;
    return NULL;
}

bool peers_alone(const struct peers *peers)
{
    return peers->alone && store_troubled(peers->store);
}

bool peers_lost(const struct peers *peers, const char *label)
{
    struct peer *peer = g_hash_table_lookup(peers->peers, label);
    return store_troubled(peers->store) && peer && !peer->answered && !peers_served(peers);
}

/* ---- leases that other nodes keep ---- */

void peers_sheltered(struct peers *peers)
{
    peers->renewed_for_peer_at = loop_now(peers->loop);
}

/* A question to one of the other nodes. */
struct asked {
    struct peers *peers;
    char *label;
    mono_time at;
    uint64_t question;
};

static void asked_free(struct asked *asked)
{
    g_free(asked->label);
    g_free(asked);
}

/* Asks all of them; tells how many that are. */
static guint ask_all(struct peers *peers, const char *question, bus_done answered)
{
    const GArray *all = peers->settings->siblings;
    for (guint i = 0; i < all->len; i++) {
        struct asked *asked = g_new(struct asked, 1);
        *asked = (struct asked){peers, g_strdup(g_array_index(all, struct sibling, i).label),
                                loop_now(peers->loop), ++peers->questions};
        cJSON *message = cJSON_CreateObject();
        bus_put_u64(message, "q", asked->question);
        bus_put_u64(message, "at", peers->view->at.v);
        bus_send(peers->bus, asked->label, question, message, ASK_TIMEOUT_MS, answered, asked);
    }
    return all->len;
}

static void kept_answered(void *arg, int status, const cJSON *message)
{
    struct asked *asked = arg;
    struct peers *peers = asked->peers;
    const cJSON *ago = cJSON_GetObjectItemCaseSensitive(message, "ago_ms");
    struct kept *kept = g_hash_table_lookup(peers->kept, asked->label);
    if (status == 200 && cJSON_IsNumber(ago)) {
        kept->asked = asked->at;
        /* Its clock may be the faster one. */
        kept->until = time_add_ms(loop_now(peers->loop), -(int64_t)(ago->valuedouble * 0.999));
    }
    peers->kept_out--;
    asked_free(asked);
}

static void ask_kept(struct peers *peers)
{
    mono_time now = loop_now(peers->loop);
    if (peers->kept_out ||
        (peers->kept_asked.us && time_ms_since(now, peers->kept_asked) < KEPT_MS))
        return;
    peers->kept_asked = now;
    peers->kept_out = ask_all(peers, "kept", kept_answered);
}

/* Which nodes are away, as a view shows that is new enough. */
static void note_absent(struct peers *peers)
{
    mono_time now = loop_now(peers->loop);
    bool fresh = peers->view->ready && time_ms_since(now, peers->view->fresh) < FRESH_MS;
    GHashTableIter it;
    char *label;
    struct kept *kept;
    g_hash_table_iter_init(&it, peers->kept);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&kept)) {
        if (!fresh || g_hash_table_contains(peers->view->nodes, label))
            kept->absent = (mono_time){0};
        else if (!kept->absent.us)
            kept->absent = now;
    }
}

/* A node that does not answer may keep leases for keep_ms after its key was gone, at most, as only
 * one whose view shows its own key does so. */
bool peers_leases_over(struct peers *peers, mono_time last, int64_t lease_ms, int64_t keep_ms)
{
    bool over = true;
    note_absent(peers);
    GHashTableIter it;
    struct kept *kept;
    g_hash_table_iter_init(&it, peers->kept);
    while (over && g_hash_table_iter_next(&it, NULL, (gpointer *)&kept)) {
        mono_time until = time_before(last, kept->until) ? kept->until : last;
        over = (kept->asked.us && time_ms_since(kept->asked, until) > lease_ms) ||
               (kept->absent.us &&
                time_ms_since(peers->view->fresh, kept->absent) > keep_ms + lease_ms);
    }
    if (!over)
        ask_kept(peers);
    return over;
}

mono_time peers_quiet_until(const struct peers *peers)
{
    return peers->quiet_until;
}

/* All peers must say that they are not served either, and hand over every cancellation that they
 * have told of, or may have, and this node's view does not hold. A peer that was started again
 * since the view was last known to be new does not know what its earlier process told. */
static void conclude(struct peers *peers)
{
    GHashTableIter it;
    struct peer *peer;
    int64_t away = time_ms_since(loop_now(peers->loop), peers->view->fresh) + MARGIN_MS;
    bool all = g_hash_table_size(peers->peers) == peers->settings->siblings->len;
    peers->alone = peers->settings->siblings->len > 0;
    g_hash_table_iter_init(&it, peers->peers);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer)) {
        all = all && peer->answered && !peer->served && peer->handed &&
              peer->up_ms > away + away / 1000;
        peers->alone = peers->alone && !peer->answered;
    }
    if (all)
        peers->quiet_until = peers->asked;
}

static void answered(void *arg, int status, const cJSON *message)
{
    struct asked *asked = arg;
    struct peers *peers = asked->peers;
    const cJSON *served = cJSON_GetObjectItemCaseSensitive(message, "served");
    const cJSON *up = cJSON_GetObjectItemCaseSensitive(message, "up_ms");
    struct peer *peer = g_new0(struct peer, 1);
    uint64_t question = 0;
    peer->answered = status == 200 && cJSON_IsBool(served) && cJSON_IsNumber(up);
    peer->served = peer->answered && cJSON_IsTrue(served);
    peer->up_ms = peer->answered ? (int64_t)up->valuedouble : 0;
    /* A copy of an earlier answer says nothing of what was told since. */
    peer->handed = peer->answered && bus_u64(message, "q", &question) &&
                   question == asked->question && take_over(peers, message);
    g_hash_table_replace(peers->peers, g_strdup(asked->label), peer);
    if (--peers->out == 0)
        conclude(peers);
    asked_free(asked);
}

static void ask(void *arg)
{
    struct peers *peers = arg;
    timer_start(peers->loop, &peers->ask, store_troubled(peers->store) ? ASK_MS : ASK_MS / 2);
    mono_time now = loop_now(peers->loop);
    note_absent(peers);
    if (!store_troubled(peers->store)) {
        g_hash_table_remove_all(peers->peers);
        peers->alone = false;
        forget_learned(peers);
        return;
    }
    if (peers->out)
        return;
    peers->asked = now;
    peers->out = ask_all(peers, "health", answered);
}
