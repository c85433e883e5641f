#include "peers.h"

#include "log.h"

enum {
    HEALTH_INTERVAL_MS = 500,
    HEALTH_TIMEOUT_MS = 450,
    UPTIME_MARGIN_MS = 1000,
    KEPT_MS = 1000,            /* between two questions for leases that were kept */
    MAX_REPLICA_AGE_MS = 3000, /* a view that is older shows nobody's absence */
    MOST_TOLD = 4000,          /* cancellations that are remembered */
    MAX_SHARED_CANCELS = 1000, /* and handed over in one answer */
    ANNOUNCE_TIMEOUT_MS = 100,
};

struct peer_health {
    bool is_reachable, is_served;
    bool has_shared_cancels; /* it has handed over every cancellation that this node's view may not
                                show */
    int64_t uptime_ms;       /* its process runs for so long */
};

/* A cancellation that this node has told a user of, or has asked the state service for. */
struct local_cancel {
    GList link; /* in the order in which they came */
    job_id job;
    revision committed_at; /* 0: nobody was told by this node */
    int pending_txns;      /* transactions that may have been carried out, or may yet be */
    mono_time known_since;
};

/* One that another node has handed over. */
struct remote_cancel {
    revision committed_at; /* 0: it may hold */
    mono_time confirmed_not_before;
};

/* What is known of the leases that another node may have renewed for machines of this one. */
struct proxy_status {
    mono_time asked_at,
        no_renewal_since;   /* of its last answer: none since until; asked 0: none yet */
    mono_time absent_since; /* its key is gone since then; 0: it is there, or that is not known */
};

struct peers {
    struct loop *loop;
    struct node_rpc *rpc;
    struct kv_client *kv;
    struct replica *replica;
    const struct settings *settings;
    mono_time started_at;
    GHashTable *local_cancels; /* job -> struct local_cancel */
    GQueue local_cancel_order;
    revision newest_committed;  /* of all that this node has told of */
    revision evicted_up_to;     /* the newest revision of those that are not remembered any more */
    bool evicted_pending;       /* some of them may still come to hold */
    GHashTable *remote_cancels; /* job -> struct remote_cancel */
    struct actor *listener;
    uint64_t question_count; /* so that a late copy of an answer is none to a later question */
    mono_time health_asked_at, cancels_known_until;
    GHashTable *health_by_label; /* label -> struct peer_health */
    bool is_isolated;            /* when last asked, nobody answered */
    guint health_answers_pending;
    struct timer health_timer;
    mono_time last_proxy_renewal_at; /* this node last renewed a lease for another one; at first:
                                      its start */
    GHashTable *proxy_by_label;      /* label -> struct proxy_status */
    guint proxy_answers_pending;
    mono_time proxies_asked_at;
};

static void on_health_timer(void *arg);

/* ---- cancellations ---- */

static void local_cancel_drop(struct peers *peers, struct local_cancel *cancel)
{
    g_queue_unlink(&peers->local_cancel_order, &cancel->link);
    g_hash_table_remove(peers->local_cancels, cancel->job.text);
}

/* What the view shows by now of a transaction that nobody knew the end of. The conditions of one
 * that is still on its way do not hold any more when the job is over. */
static void local_cancel_settle(struct peers *peers, struct local_cancel *cancel)
{
    struct job *job = cancel->committed_at.value || !cancel->pending_txns
                          ? NULL
                          : replica_get_job(peers->replica, cancel->job.text);
    if (!job || !job->is_known || job->state == JOB_ACTIVE)
        return;
    cancel->pending_txns = 0;
    if (job->state == JOB_CANCELLED)
        cancel->committed_at = job->cancelled_at;
}

/* The oldest are not remembered. Whoever may not know of them is told so. */
static void evict_local_cancels(struct peers *peers)
{
    while (peers->local_cancel_order.length > MOST_TOLD) {
        struct local_cancel *cancel = peers->local_cancel_order.head->data;
        local_cancel_settle(peers, cancel);
        peers->evicted_up_to.value = MAX(peers->evicted_up_to.value, cancel->committed_at.value);
        peers->evicted_pending =
            peers->evicted_pending || (cancel->pending_txns && !cancel->committed_at.value);
        local_cancel_drop(peers, cancel);
    }
}

static struct local_cancel *local_cancel_get_or_add(struct peers *peers, job_id job)
{
    struct local_cancel *cancel = g_hash_table_lookup(peers->local_cancels, job.text);
    if (cancel)
        return cancel;
    cancel = g_new0(struct local_cancel, 1);
    cancel->job = job;
    cancel->link.data = cancel;
    cancel->known_since = loop_now(peers->loop);
    g_hash_table_insert(peers->local_cancels, cancel->job.text, cancel);
    g_queue_push_tail_link(&peers->local_cancel_order, &cancel->link);
    evict_local_cancels(peers);
    return cancel;
}

static void notify_listener(struct peers *peers, job_id job)
{
    if (peers->listener)
        actor_send(peers->loop, peers->listener, MSG_CANCELLED, g_memdup2(&job, sizeof job),
                   g_free);
}

void cancel_broadcast_set_listener(struct peers *peers, struct actor *listener)
{
    peers->listener = listener;
}

/* The view may be cut off at this very moment and never show it, so it is heeded without the view,
 * here as well as where it is handed over. */
void cancel_broadcast_confirm(struct peers *peers, job_id job, revision committed_at)
{
    struct local_cancel *cancel = local_cancel_get_or_add(peers, job);
    const struct job *job_record = replica_get_job(peers->replica, job.text);
    bool changed = !cancel->committed_at.value &&
                   (!job_record || !job_record->is_known || job_record->state == JOB_ACTIVE);
    if (!cancel->committed_at.value || committed_at.value < cancel->committed_at.value)
        cancel->committed_at = committed_at;
    peers->newest_committed.value = MAX(peers->newest_committed.value, committed_at.value);
    if (changed)
        notify_listener(peers, job);
}

void cancel_broadcast_begin(struct peers *peers, job_id job)
{
    local_cancel_get_or_add(peers, job)->pending_txns++;
}

void cancel_broadcast_finish(struct peers *peers, job_id job, const struct txn_outcome *outcome)
{
    enum txn_status result = outcome->status;
    if (result == TXN_COMMITTED)
        cancel_broadcast_confirm(peers, job, outcome->at_revision);
    struct local_cancel *cancel = g_hash_table_lookup(peers->local_cancels, job.text);
    if (!cancel)
        return;
    if (result == TXN_UNKNOWN)
        notify_listener(peers, job);
    else if (cancel->pending_txns)
        cancel->pending_txns--;
    if (!cancel->pending_txns && !cancel->committed_at.value && result != TXN_COMMITTED)
        local_cancel_drop(peers, cancel);
}

enum cancel_status cancel_broadcast_get_status(const struct peers *peers, job_id job)
{
    const struct local_cancel *local = g_hash_table_lookup(peers->local_cancels, job.text);
    const struct remote_cancel *remote = g_hash_table_lookup(peers->remote_cancels, job.text);
    if ((local && local->committed_at.value) || (remote && remote->committed_at.value))
        return CANCEL_COMMITTED;
    return local || remote ? CANCEL_POSSIBLE : CANCEL_NONE;
}

mono_time cancel_broadcast_confirmed_not_before(const struct peers *peers, job_id job)
{
    const struct local_cancel *local = g_hash_table_lookup(peers->local_cancels, job.text);
    const struct remote_cancel *remote = g_hash_table_lookup(peers->remote_cancels, job.text);
    if (local && remote)
        return time_before(remote->confirmed_not_before, local->known_since)
                   ? remote->confirmed_not_before
                   : local->known_since;
    return local    ? local->known_since
           : remote ? remote->confirmed_not_before
                    : loop_now(peers->loop);
}

/* Another node hands over a cancellation. It was told of after all that is known here already. */
static void add_remote_cancel(struct peers *peers, job_id job, revision committed_at)
{
    struct remote_cancel *cancel = g_hash_table_lookup(peers->remote_cancels, job.text);
    bool changed = !cancel || (committed_at.value && !cancel->committed_at.value);
    if (!cancel) {
        cancel = g_new0(struct remote_cancel, 1);
        cancel->confirmed_not_before =
            time_before(peers->replica->fresh_at, peers->cancels_known_until)
                ? peers->cancels_known_until
                : peers->replica->fresh_at;
        g_hash_table_insert(peers->remote_cancels, g_strdup(job.text), cancel);
    }
    cancel->committed_at.value = MAX(cancel->committed_at.value, committed_at.value);
    if (changed) {
        LOG_INFO("cancel_learned", "job=%s sure=%d", job.text, committed_at.value != 0);
        notify_listener(peers, job);
    }
}

/* What the view shows itself, or cannot come any more. */
static void expire_remote_cancels(struct peers *peers)
{
    GHashTableIter it;
    char *job_id_text;
    struct remote_cancel *cancel;
    g_hash_table_iter_init(&it, peers->remote_cancels);
    while (g_hash_table_iter_next(&it, (gpointer *)&job_id_text, (gpointer *)&cancel))
        if (cancel->committed_at.value
                ? cancel->committed_at.value <= peers->replica->applied_revision.value
                : time_before(cancel->confirmed_not_before, peers->replica->fresh_at))
            g_hash_table_iter_remove(&it);
}

static int on_cancel_request(void *ctx, const char *from, const cJSON *message, cJSON **answer)
{
    (void)from;
    (void)answer;
    const char *id = node_rpc_get_text(message, "j");
    job_id job;
    revision committed_at;
    if (!id || !job_id_parse(&job, id) || !node_rpc_get_u64(message, "r", &committed_at.value))
        return 400;
    add_remote_cancel(ctx, job, committed_at);
    return 200;
}

struct cancel_announcement {
    guint answers_pending;
    void (*done)(void *arg);
    void *arg;
};

static void on_announce_response(void *arg, int status, const cJSON *answer)
{
    (void)status;
    (void)answer;
    struct cancel_announcement *announcement = arg;
    if (--announcement->answers_pending)
        return;
    announcement->done(announcement->arg);
    g_free(announcement);
}

void cancel_broadcast_announce(struct peers *peers, job_id job, revision committed_at,
                               void (*done)(void *arg), void *arg)
{
    const GArray *siblings = peers->settings->siblings;
    if (!siblings->len) {
        done(arg);
        return;
    }
    struct cancel_announcement *announcement = g_new(struct cancel_announcement, 1);
    *announcement = (struct cancel_announcement){siblings->len, done, arg};
    for (guint i = 0; i < siblings->len; i++) {
        cJSON *message = cJSON_CreateObject();
        cJSON_AddStringToObject(message, "j", job.text);
        node_rpc_put_u64(message, "r", committed_at.value);
        node_rpc_call(peers->rpc, g_array_index(siblings, struct sibling, i).label, "cancelled",
                      message, ANNOUNCE_TIMEOUT_MS, on_announce_response, announcement);
    }
}

/* Adds what a node whose view stands at that revision may not know. */
static void encode_cancels(struct peers *peers, uint64_t replica_revision, cJSON *answer)
{
    cJSON *cancels = cJSON_AddArrayToObject(answer, "cancelled");
    int count = 0;
    for (GList *link = peers->local_cancel_order.head; link && count <= MAX_SHARED_CANCELS;
         link = link->next) {
        struct local_cancel *cancel = link->data;
        local_cancel_settle(peers, cancel);
        if (cancel->committed_at.value ? cancel->committed_at.value <= replica_revision
                                       : !cancel->pending_txns)
            continue;
        cJSON *pair = cJSON_CreateArray();
        cJSON_AddItemToArray(pair, cJSON_CreateString(cancel->job.text));
        char text[24];
        g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, cancel->committed_at.value);
        cJSON_AddItemToArray(pair, cJSON_CreateString(text));
        cJSON_AddItemToArray(cancels, pair);
        count++;
    }
    cJSON_AddBoolToObject(answer, "all",
                          count <= MAX_SHARED_CANCELS && !peers->evicted_pending &&
                              peers->evicted_up_to.value <= replica_revision);
}

static bool decode_cancels(struct peers *peers, const cJSON *answer)
{
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(answer, "cancelled"), *x;
    if (!cJSON_IsArray(list))
        return false;
    cJSON_ArrayForEach(x, list)
    {
        const cJSON *id = cJSON_GetArrayItem(x, 0);
        job_id job;
        revision of;
        if (!cJSON_IsString(id) || !job_id_parse(&job, id->valuestring) ||
            !node_rpc_item_u64(cJSON_GetArrayItem(x, 1), &of.value))
            return false;
        add_remote_cancel(peers, job, of);
    }
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(answer, "all"));
}

/* The answer to another node's question. */
static int on_health_request(void *ctx, const char *from, const cJSON *message, cJSON **answer)
{
    (void)from;
    struct peers *peers = ctx;
    uint64_t replica_revision = 0, question = 0;
    node_rpc_get_u64(message, "at",
                     &replica_revision); /* a node of an earlier version does not say it */
    node_rpc_get_u64(message, "q", &question);
    *answer = cJSON_CreateObject();
    cJSON_AddBoolToObject(*answer, "served", !kv_client_is_unavailable(peers->kv));
    node_rpc_put_u64(*answer, "q", question);
    node_rpc_put_u64(*answer, "told",
                     peers->newest_committed.value); /* for nodes of earlier versions */
    cJSON_AddNumberToObject(*answer, "up_ms",
                            (double)time_ms_since(loop_now(peers->loop), peers->started_at));
    encode_cancels(peers, replica_revision, *answer);
    return 200;
}

/* How long ago a process of this node can last have renewed a lease for another node: an earlier
 * process may have, until this one was started. */
static int on_proxy_request(void *ctx, const char *from, const cJSON *message, cJSON **answer)
{
    (void)from;
    (void)message;
    struct peers *peers = ctx;
    *answer = cJSON_CreateObject();
    cJSON_AddNumberToObject(
        *answer, "ago_ms",
        (double)time_ms_since(loop_now(peers->loop), peers->last_proxy_renewal_at));
    return 200;
}

struct peers *peers_new(struct loop *loop, struct node_rpc *rpc, struct kv_client *kv,
                        struct replica *replica, const struct settings *settings)
{
    struct peers *peers = g_new0(struct peers, 1);
    peers->loop = loop;
    peers->rpc = rpc;
    peers->kv = kv;
    peers->replica = replica;
    peers->settings = settings;
    peers->started_at = peers->last_proxy_renewal_at = loop_now(loop);
    peers->health_by_label = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->proxy_by_label = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->local_cancels = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    peers->remote_cancels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&peers->local_cancel_order);
    for (guint i = 0; i < settings->siblings->len; i++)
        g_hash_table_insert(peers->proxy_by_label,
                            g_strdup(g_array_index(settings->siblings, struct sibling, i).label),
                            g_new0(struct proxy_status, 1));
    timer_init(&peers->health_timer, on_health_timer, peers);
    node_rpc_register(rpc, "health", on_health_request, peers);
    node_rpc_register(rpc, "kept", on_proxy_request, peers);
    node_rpc_register(rpc, "cancelled", on_cancel_request, peers);
    return peers;
}

void peers_free(struct peers *peers)
{
    timer_stop(peers->loop, &peers->health_timer);
    g_hash_table_unref(peers->health_by_label);
    g_hash_table_unref(peers->proxy_by_label);
    g_hash_table_unref(peers->local_cancels);
    g_hash_table_unref(peers->remote_cancels);
    g_free(peers);
}

void peers_start(struct peers *peers)
{
    timer_start(peers->loop, &peers->health_timer, HEALTH_INTERVAL_MS);
}

const char *failure_detector_find_served_node(const struct peers *peers)
{
    if (!kv_client_is_unavailable(peers->kv))
        return NULL;
    GHashTableIter it;
    char *label;
    struct peer_health *peer;
    g_hash_table_iter_init(&it, peers->health_by_label);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&peer))
        if (peer->is_reachable && peer->is_served)
            return label;
    return NULL;
}

bool failure_detector_is_isolated(const struct peers *peers)
{
    return peers->is_isolated && kv_client_is_unavailable(peers->kv);
}

bool failure_detector_is_unreachable(const struct peers *peers, const char *label)
{
    struct peer_health *peer = g_hash_table_lookup(peers->health_by_label, label);
    return kv_client_is_unavailable(peers->kv) && peer && !peer->is_reachable &&
           !failure_detector_find_served_node(peers);
}

/* ---- leases that other nodes keep ---- */

void lease_proxy_note_renewal(struct peers *peers)
{
    peers->last_proxy_renewal_at = loop_now(peers->loop);
}

/* A question to one of the other nodes. */
struct asked {
    struct peers *peers;
    char *label;
    mono_time at;
    uint64_t question;
};

static void peer_question_free(struct asked *asked)
{
    g_free(asked->label);
    g_free(asked);
}

/* Asks all of them; tells how many that are. */
static guint ask_all_peers(struct peers *peers, const char *question, node_rpc_callback answered)
{
    const GArray *all = peers->settings->siblings;
    for (guint i = 0; i < all->len; i++) {
        struct asked *asked = g_new(struct asked, 1);
        *asked = (struct asked){peers, g_strdup(g_array_index(all, struct sibling, i).label),
                                loop_now(peers->loop), ++peers->question_count};
        cJSON *message = cJSON_CreateObject();
        node_rpc_put_u64(message, "q", asked->question);
        node_rpc_put_u64(message, "at", peers->replica->applied_revision.value);
        node_rpc_call(peers->rpc, asked->label, question, message, HEALTH_TIMEOUT_MS, answered,
                      asked);
    }
    return all->len;
}

static void on_proxy_response(void *arg, int status, const cJSON *message)
{
    struct asked *question = arg;
    struct peers *peers = question->peers;
    const cJSON *ago = cJSON_GetObjectItemCaseSensitive(message, "ago_ms");
    struct proxy_status *proxy = g_hash_table_lookup(peers->proxy_by_label, question->label);
    if (status == 200 && cJSON_IsNumber(ago)) {
        proxy->asked_at = question->at;
        /* Its clock may be the faster one. */
        proxy->no_renewal_since =
            time_add_ms(loop_now(peers->loop), -(int64_t)(ago->valuedouble * 0.999));
    }
    peers->proxy_answers_pending--;
    peer_question_free(question);
}

static void ask_proxies(struct peers *peers)
{
    mono_time now = loop_now(peers->loop);
    if (peers->proxy_answers_pending ||
        (peers->proxies_asked_at.us && time_ms_since(now, peers->proxies_asked_at) < KEPT_MS))
        return;
    peers->proxies_asked_at = now;
    peers->proxy_answers_pending = ask_all_peers(peers, "kept", on_proxy_response);
}

/* Which nodes are away, as a view shows that is new enough. */
static void note_absent_peers(struct peers *peers)
{
    mono_time now = loop_now(peers->loop);
    bool fresh = peers->replica->is_ready &&
                 time_ms_since(now, peers->replica->fresh_at) < MAX_REPLICA_AGE_MS;
    GHashTableIter it;
    char *label;
    struct proxy_status *proxy;
    g_hash_table_iter_init(&it, peers->proxy_by_label);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, (gpointer *)&proxy)) {
        if (!fresh || g_hash_table_contains(peers->replica->nodes, label))
            proxy->absent_since = (mono_time){0};
        else if (!proxy->absent_since.us)
            proxy->absent_since = now;
    }
}

/* A node that does not answer may keep leases for keep_ms after its key was gone, at most, as only
 * one whose view shows its own key does so. */
bool lease_proxy_leases_expired(struct peers *peers, mono_time last_own_renewal, int64_t lease_ms,
                                int64_t max_proxy_ms)
{
    bool expired = true;
    note_absent_peers(peers);
    GHashTableIter it;
    struct proxy_status *proxy;
    g_hash_table_iter_init(&it, peers->proxy_by_label);
    while (expired && g_hash_table_iter_next(&it, NULL, (gpointer *)&proxy)) {
        mono_time last_renewal = time_before(last_own_renewal, proxy->no_renewal_since)
                                     ? proxy->no_renewal_since
                                     : last_own_renewal;
        expired = (proxy->asked_at.us && time_ms_since(proxy->asked_at, last_renewal) > lease_ms) ||
                  (proxy->absent_since.us &&
                   time_ms_since(peers->replica->fresh_at, proxy->absent_since) >
                       max_proxy_ms + lease_ms);
    }
    if (!expired)
        ask_proxies(peers);
    return expired;
}

mono_time cancel_broadcast_known_until(const struct peers *peers)
{
    return peers->cancels_known_until;
}

/* All peers must say that they are not served either, and hand over every cancellation that they
 * have told of, or may have, and this node's view does not hold. A peer that was started again
 * since the view was last known to be new does not know what its earlier process told. */
static void conclude_health_round(struct peers *peers)
{
    GHashTableIter it;
    struct peer_health *peer;
    int64_t unserved_ms =
        time_ms_since(loop_now(peers->loop), peers->replica->fresh_at) + UPTIME_MARGIN_MS;
    bool all_shared = g_hash_table_size(peers->health_by_label) == peers->settings->siblings->len;
    peers->is_isolated = peers->settings->siblings->len > 0;
    g_hash_table_iter_init(&it, peers->health_by_label);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer)) {
        all_shared = all_shared && peer->is_reachable && !peer->is_served &&
                     peer->has_shared_cancels && peer->uptime_ms > unserved_ms + unserved_ms / 1000;
        peers->is_isolated = peers->is_isolated && !peer->is_reachable;
    }
    if (all_shared)
        peers->cancels_known_until = peers->health_asked_at;
}

static void on_health_response(void *arg, int status, const cJSON *message)
{
    struct asked *asked = arg;
    struct peers *peers = asked->peers;
    const cJSON *served = cJSON_GetObjectItemCaseSensitive(message, "served");
    const cJSON *up = cJSON_GetObjectItemCaseSensitive(message, "up_ms");
    struct peer_health *peer = g_new0(struct peer_health, 1);
    uint64_t question = 0;
    peer->is_reachable = status == 200 && cJSON_IsBool(served) && cJSON_IsNumber(up);
    peer->is_served = peer->is_reachable && cJSON_IsTrue(served);
    peer->uptime_ms = peer->is_reachable ? (int64_t)up->valuedouble : 0;
    /* A copy of an earlier answer says nothing of what was told since. */
    peer->has_shared_cancels = peer->is_reachable && node_rpc_get_u64(message, "q", &question) &&
                               question == asked->question && decode_cancels(peers, message);
    g_hash_table_replace(peers->health_by_label, g_strdup(asked->label), peer);
    if (--peers->health_answers_pending == 0)
        conclude_health_round(peers);
    peer_question_free(asked);
}

static void on_health_timer(void *arg)
{
    struct peers *peers = arg;
    timer_start(peers->loop, &peers->health_timer,
                kv_client_is_unavailable(peers->kv) ? HEALTH_INTERVAL_MS : HEALTH_INTERVAL_MS / 2);
    mono_time now = loop_now(peers->loop);
    note_absent_peers(peers);
    if (!kv_client_is_unavailable(peers->kv)) {
        g_hash_table_remove_all(peers->health_by_label);
        peers->is_isolated = false;
        expire_remote_cancels(peers);
        return;
    }
    if (peers->health_answers_pending)
        return;
    peers->health_asked_at = now;
    peers->health_answers_pending = ask_all_peers(peers, "health", on_health_response);
}
