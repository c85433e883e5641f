/**
 * @file
 * Shares cancellations of jobs that the nodes' replicas may not show yet.
 */
#include "cancel_broadcast.h"

#include "log.h"

enum {
    /** Maximum number of local cancellations that are remembered. */
    MAX_LOCAL_CANCELS = 4000,
    /** Maximum number of cancellations in a complete health report; one more marks truncation. */
    MAX_SHARED_CANCELS = 1000,
    /** How long a response to a user is delayed until other nodes acknowledge an announcement. */
    ANNOUNCE_TIMEOUT_MS = 100,
};

/** A cancellation that this node confirmed to a user or sent to the key-value store. */
struct local_cancel {
    /** Link in local_cancel_order. */
    GList link;
    job_id job;
    /** 0 if the cancellation is not known to be committed. */
    revision committed_revision;
    /** Number of transactions that may have committed or may still commit. */
    int pending_txns;
    mono_time known_since;
};

/** A cancellation that another node has shared. */
struct remote_cancel {
    /** 0 if the cancellation is possible but not known to be committed. */
    revision committed_revision;
    mono_time earliest_confirmation;
};

struct cancel_broadcast {
    struct loop *loop;
    struct node_rpc *rpc;
    struct replica *replica;
    const struct settings *settings;
    struct actor *listener;
    /** Maps a job id to its struct local_cancel, which owns the key. */
    GHashTable *local_cancels;
    /** Links of the local cancellations, oldest first. */
    GQueue local_cancel_order;
    /** The newest revision of all cancellations that this node confirmed to users. */
    revision newest_committed_revision;
    /** The newest revision of the local cancellations that were evicted. */
    revision newest_evicted_revision;
    /** Whether a local cancellation was evicted whose transaction may still commit. */
    bool has_evicted_pending;
    /** Maps a job id to its struct remote_cancel. */
    GHashTable *remote_cancels;
    mono_time complete_until;
};

/** Returns whether the replica shows that the job is finished. */
static bool is_finished(const struct job *job)
{
    return job && job->is_loaded && job->state != JOB_ACTIVE;
}

static void notify_listener(struct cancel_broadcast *broadcast, job_id job)
{
    if (broadcast->listener)
        actor_send(broadcast->loop, broadcast->listener, MSG_CANCELLED, g_memdup2(&job, sizeof job),
                   g_free);
}

/* ---- local cancellations ---- */

static void remove_local(struct cancel_broadcast *broadcast, struct local_cancel *cancel)
{
    g_queue_unlink(&broadcast->local_cancel_order, &cancel->link);
    g_hash_table_remove(broadcast->local_cancels, cancel->job.text);
}

/**
 * Resolves transactions of unknown outcome by the state of the job in the replica. Once the job is
 * finished, a transaction that is still in flight fails its compares.
 */
static void resolve_local(struct cancel_broadcast *broadcast, struct local_cancel *cancel)
{
    if (cancel->committed_revision.value || !cancel->pending_txns)
        return;
    const struct job *job = replica_get_job(broadcast->replica, cancel->job.text);
    if (!is_finished(job))
        return;
    cancel->pending_txns = 0;
    if (job->state == JOB_CANCELLED)
        cancel->committed_revision = job->cancel_revision;
}

/**
 * Evicts the oldest local cancellations above the limit. Health reports to nodes that may lack them
 * are marked as incomplete.
 */
static void evict_oldest_local(struct cancel_broadcast *broadcast)
{
    while (broadcast->local_cancel_order.length > MAX_LOCAL_CANCELS) {
        struct local_cancel *cancel = broadcast->local_cancel_order.head->data;
        resolve_local(broadcast, cancel);
        broadcast->newest_evicted_revision.value =
            MAX(broadcast->newest_evicted_revision.value, cancel->committed_revision.value);
        if (cancel->pending_txns && !cancel->committed_revision.value)
            broadcast->has_evicted_pending = true;
        remove_local(broadcast, cancel);
    }
}

static struct local_cancel *get_or_add_local(struct cancel_broadcast *broadcast, job_id job)
{
    struct local_cancel *cancel = g_hash_table_lookup(broadcast->local_cancels, job.text);
    if (cancel)
        return cancel;
    cancel = g_new0(struct local_cancel, 1);
    cancel->job = job;
    cancel->link.data = cancel;
    cancel->known_since = loop_now(broadcast->loop);
    g_hash_table_insert(broadcast->local_cancels, cancel->job.text, cancel);
    g_queue_push_tail_link(&broadcast->local_cancel_order, &cancel->link);
    evict_oldest_local(broadcast);
    return cancel;
}

void cancel_broadcast_begin_txn(struct cancel_broadcast *broadcast, job_id job)
{
    get_or_add_local(broadcast, job)->pending_txns++;
}

/* The replica may lose its watch before it shows the cancellation. So the listener is notified
 * directly, on this node as well as on those with which the cancellation is shared. */
void cancel_broadcast_confirm(struct cancel_broadcast *broadcast, job_id job,
                              revision committed_revision)
{
    struct local_cancel *cancel = get_or_add_local(broadcast, job);
    bool is_new = !cancel->committed_revision.value &&
                  !is_finished(replica_get_job(broadcast->replica, job.text));
    if (!cancel->committed_revision.value ||
        committed_revision.value < cancel->committed_revision.value)
        cancel->committed_revision = committed_revision;
    broadcast->newest_committed_revision.value =
        MAX(broadcast->newest_committed_revision.value, committed_revision.value);
    if (is_new)
        notify_listener(broadcast, job);
}

void cancel_broadcast_finish_txn(struct cancel_broadcast *broadcast, job_id job,
                                 const struct txn_outcome *outcome)
{
    enum txn_status status = outcome->status;
    if (status == TXN_COMMITTED)
        cancel_broadcast_confirm(broadcast, job, outcome->at_revision);
    struct local_cancel *cancel = g_hash_table_lookup(broadcast->local_cancels, job.text);
    if (!cancel)
        return;
    if (status == TXN_UNKNOWN)
        notify_listener(broadcast, job);
    else if (cancel->pending_txns)
        cancel->pending_txns--;
    if (!cancel->pending_txns && !cancel->committed_revision.value && status != TXN_COMMITTED)
        remove_local(broadcast, cancel);
}

revision cancel_broadcast_get_newest_revision(const struct cancel_broadcast *broadcast)
{
    return broadcast->newest_committed_revision;
}

/** Returns whether a node whose replica is at the given revision may lack the cancellation. */
static bool may_be_missing_at(const struct local_cancel *cancel, revision replica_revision)
{
    if (cancel->committed_revision.value)
        return cancel->committed_revision.value > replica_revision.value;
    return cancel->pending_txns > 0;
}

bool cancel_broadcast_collect_notices(struct cancel_broadcast *broadcast, revision replica_revision,
                                      GArray *notices)
{
    for (GList *link = broadcast->local_cancel_order.head;
         link && notices->len <= MAX_SHARED_CANCELS; link = link->next) {
        struct local_cancel *cancel = link->data;
        resolve_local(broadcast, cancel);
        if (!may_be_missing_at(cancel, replica_revision))
            continue;
        struct cancel_notice notice = {cancel->job, cancel->committed_revision};
        g_array_append_val(notices, notice);
    }
    return notices->len <= MAX_SHARED_CANCELS && !broadcast->has_evicted_pending &&
           broadcast->newest_evicted_revision.value <= replica_revision.value;
}

/* ---- remote cancellations ---- */

/**
 * Returns the earliest time at which a cancellation that another node shares now, and that this
 * node did not know, can have been confirmed to a user.
 */
static mono_time earliest_remote_confirmation(const struct cancel_broadcast *broadcast)
{
    mono_time fresh_at = broadcast->replica->fresh_at;
    return time_before(fresh_at, broadcast->complete_until) ? broadcast->complete_until : fresh_at;
}

void cancel_broadcast_add_remote(struct cancel_broadcast *broadcast,
                                 const struct cancel_notice *notice)
{
    struct remote_cancel *cancel = g_hash_table_lookup(broadcast->remote_cancels, notice->job.text);
    bool is_committed = notice->committed_revision.value != 0;
    bool is_update = !cancel || (is_committed && !cancel->committed_revision.value);
    if (!cancel) {
        cancel = g_new0(struct remote_cancel, 1);
        cancel->earliest_confirmation = earliest_remote_confirmation(broadcast);
        g_hash_table_insert(broadcast->remote_cancels, g_strdup(notice->job.text), cancel);
    }
    cancel->committed_revision.value =
        MAX(cancel->committed_revision.value, notice->committed_revision.value);
    if (is_update) {
        LOG_INFO("cancel_learned", "job=%s committed=%d", notice->job.text, is_committed);
        notify_listener(broadcast, notice->job);
    }
}

void cancel_broadcast_expire_remote(struct cancel_broadcast *broadcast)
{
    const struct replica *replica = broadcast->replica;
    GHashTableIter iter;
    struct remote_cancel *cancel;
    g_hash_table_iter_init(&iter, broadcast->remote_cancels);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&cancel)) {
        bool is_expired = cancel->committed_revision.value
                              ? cancel->committed_revision.value <= replica->applied_revision.value
                              : time_before(cancel->earliest_confirmation, replica->fresh_at);
        if (is_expired)
            g_hash_table_iter_remove(&iter);
    }
}

mono_time cancel_broadcast_get_complete_until(const struct cancel_broadcast *broadcast)
{
    return broadcast->complete_until;
}

void cancel_broadcast_set_complete_until(struct cancel_broadcast *broadcast, mono_time until)
{
    broadcast->complete_until = until;
}

/* ---- announcements ---- */

/** An announcement that other nodes have not all acknowledged yet. */
struct cancel_announcement {
    guint responses_pending;
    void (*callback)(void *arg);
    void *callback_arg;
};

static void on_announce_response(void *arg, int status, const cJSON *message)
{
    (void)status;
    (void)message;
    struct cancel_announcement *announcement = arg;
    if (--announcement->responses_pending)
        return;
    announcement->callback(announcement->callback_arg);
    g_free(announcement);
}

void cancel_broadcast_announce(struct cancel_broadcast *broadcast, job_id job,
                               revision committed_revision, void (*callback)(void *arg),
                               void *callback_arg)
{
    const GArray *siblings = broadcast->settings->siblings;
    const struct cancel_notice notice = {job, committed_revision};
    if (!siblings->len) {
        callback(callback_arg);
        return;
    }
    struct cancel_announcement *announcement = g_new(struct cancel_announcement, 1);
    *announcement = (struct cancel_announcement){siblings->len, callback, callback_arg};
    for (guint i = 0; i < siblings->len; i++)
        node_rpc_call(broadcast->rpc, g_array_index(siblings, struct sibling, i).label,
                      RPC_KIND_CANCELLED, cancel_notice_encode(&notice), ANNOUNCE_TIMEOUT_MS,
                      on_announce_response, announcement);
}

static int on_cancelled_message(void *ctx, const char *from, const cJSON *message, cJSON **response)
{
    (void)from;
    (void)response;
    struct cancel_notice notice;
    if (!cancel_notice_decode(message, &notice))
        return HTTP_STATUS_BAD_REQUEST;
    cancel_broadcast_add_remote(ctx, &notice);
    return HTTP_STATUS_OK;
}

/* ---- status ---- */

void cancel_broadcast_set_listener(struct cancel_broadcast *broadcast, struct actor *listener)
{
    broadcast->listener = listener;
}

enum cancel_status cancel_broadcast_get_status(const struct cancel_broadcast *broadcast, job_id job)
{
    const struct local_cancel *local = g_hash_table_lookup(broadcast->local_cancels, job.text);
    const struct remote_cancel *remote = g_hash_table_lookup(broadcast->remote_cancels, job.text);
    if ((local && local->committed_revision.value) || (remote && remote->committed_revision.value))
        return CANCEL_COMMITTED;
    return local || remote ? CANCEL_POSSIBLE : CANCEL_NONE;
}

mono_time cancel_broadcast_get_earliest_confirmation(const struct cancel_broadcast *broadcast,
                                                     job_id job)
{
    const struct local_cancel *local = g_hash_table_lookup(broadcast->local_cancels, job.text);
    const struct remote_cancel *remote = g_hash_table_lookup(broadcast->remote_cancels, job.text);
    if (!local && !remote)
        return loop_now(broadcast->loop);
    if (!local)
        return remote->earliest_confirmation;
    if (!remote || !time_before(remote->earliest_confirmation, local->known_since))
        return local->known_since;
    return remote->earliest_confirmation;
}

struct cancel_broadcast *cancel_broadcast_new(struct loop *loop, struct node_rpc *rpc,
                                              struct replica *replica,
                                              const struct settings *settings)
{
    struct cancel_broadcast *broadcast = g_new0(struct cancel_broadcast, 1);
    broadcast->loop = loop;
    broadcast->rpc = rpc;
    broadcast->replica = replica;
    broadcast->settings = settings;
    broadcast->local_cancels = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    broadcast->remote_cancels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&broadcast->local_cancel_order);
    node_rpc_register(rpc, RPC_KIND_CANCELLED, on_cancelled_message, broadcast);
    return broadcast;
}

void cancel_broadcast_free(struct cancel_broadcast *broadcast)
{
    g_hash_table_unref(broadcast->local_cancels);
    g_hash_table_unref(broadcast->remote_cancels);
    g_free(broadcast);
}
