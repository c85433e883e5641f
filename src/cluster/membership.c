/**
 * @file
 * Manages this node's membership in the cluster: its lease, its key, and whether it leads.
 */
#include "membership.h"

#include "leader_election.h"
#include "log.h"
#include "node_key.h"
#include "node_lease.h"
#include "retry_backoff.h"
#include "version_support.h"

enum {
    /** Interval between calls of reconcile(), in addition to those on changes of the replica. */
    TICK_MS = 200,
    /** Delay before the transaction that writes this node's key is sent again. */
    JOIN_RETRY_MIN_DELAY_MS = 20,
    JOIN_RETRY_MAX_DELAY_MS = 200,
};

/** Progress of this process in writing its key. */
enum join_phase {
    JOIN_NOT_SENT,
    /** The transaction is in flight, or the replica does not show its outcome yet. */
    JOIN_IN_FLIGHT,
    JOIN_DONE,
};

struct membership {
    struct actor actor;
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    const struct settings *settings;
    struct node_key node_key;
    struct node_lease *lease;
    struct leader_election *election;
    struct version_support version_support;
    enum join_phase join_phase;
    /** The revision of this node's key; valid once the node has joined. */
    revision mod_revision;
    struct timer tick_timer;
    /** Runs while the node must not try to join again yet. */
    struct timer join_timer;
    struct retry_backoff join_backoff;
};

static void reconcile(struct membership *membership);

static void on_tick(void *arg)
{
    struct membership *membership = arg;
    timer_start(membership->loop, &membership->tick_timer, TICK_MS);
    reconcile(membership);
}

static void on_message(struct actor *self, const struct message *message)
{
    if (message->kind == MSG_REPLICA_EVENTS)
        reconcile((struct membership *)self);
}

static void on_lease_lost(void *ctx)
{
    struct membership *membership = ctx;
    if (membership->join_phase == JOIN_DONE)
        membership->join_phase = JOIN_NOT_SENT;
}

static void on_state_change(void *ctx)
{
    reconcile(ctx);
}

static void on_lease_refused(void *ctx)
{
    struct membership *membership = ctx;
    node_lease_drop(membership->lease, LEASE_REFUSED);
}

struct membership *membership_new(struct loop *loop, struct kv_client *kv, struct replica *replica,
                                  const struct settings *settings, bool wants_singleton_roles)
{
    struct membership *membership = g_new0(struct membership, 1);
    membership->actor = (struct actor){"membership", on_message};
    membership->loop = loop;
    membership->kv = kv;
    membership->replica = replica;
    membership->settings = settings;
    membership->node_key = (struct node_key){replica, settings, wants_singleton_roles,
                                             kv_client_limits(kv)->max_txn_operations};
    membership->version_support.replica = replica;
    membership->version_support.settings = settings;
    membership->lease = node_lease_new(&(struct node_lease_setup){.loop = loop,
                                                                  .kv = kv,
                                                                  .ctx = membership,
                                                                  .on_lost = on_lease_lost,
                                                                  .on_change = on_state_change});
    membership->election = leader_election_new(
        &(struct leader_election_setup){.loop = loop,
                                        .kv = kv,
                                        .replica = replica,
                                        .label = settings->label,
                                        .ctx = membership,
                                        .on_lease_refused = on_lease_refused,
                                        .on_write_outcome_known = on_state_change});
    timer_init(&membership->tick_timer, on_tick, membership);
    timer_init(&membership->join_timer, on_state_change, membership);
    membership->join_backoff = retry_backoff_make(JOIN_RETRY_MIN_DELAY_MS, JOIN_RETRY_MAX_DELAY_MS);
    replica_add_listener(replica, &membership->actor);
    return membership;
}

void membership_free(struct membership *membership)
{
    timer_stop(membership->loop, &membership->tick_timer);
    timer_stop(membership->loop, &membership->join_timer);
    leader_election_free(membership->election);
    node_lease_free(membership->lease);
    g_free(membership);
}

void membership_start(struct membership *membership)
{
    on_tick(membership);
}

/* ---- queries and requests of other modules ---- */

/** Returns the replica's record of this node's key; NULL if the key does not exist. */
static const struct node_record *get_own_record(const struct membership *membership)
{
    return g_hash_table_lookup(membership->replica->nodes, membership->settings->label);
}

/** Returns whether a record is that of this process. The record may be NULL. */
static bool is_own_process(const struct membership *membership, const struct node_record *node)
{
    lease_id incarnation = node_lease_get_id(membership->lease);
    return node && incarnation.value && node->incarnation.value == incarnation.value;
}

bool membership_has_valid_lease(const struct membership *membership)
{
    return membership->join_phase == JOIN_DONE && node_lease_is_valid(membership->lease);
}

bool membership_is_visible(const struct membership *membership)
{
    return membership->join_phase == JOIN_DONE &&
           is_own_process(membership, get_own_record(membership));
}

bool membership_is_recorded_leader(const struct membership *membership)
{
    const struct replica *replica = membership->replica;
    lease_id incarnation = node_lease_get_id(membership->lease);
    return incarnation.value && replica->leader_label &&
           strcmp(replica->leader_label, membership->settings->label) == 0 &&
           replica->leader_incarnation.value == incarnation.value;
}

bool membership_is_leader(const struct membership *membership)
{
    return membership_has_valid_lease(membership) && membership_is_recorded_leader(membership);
}

revision membership_get_mod_revision(const struct membership *membership)
{
    return membership->mod_revision;
}

lease_id membership_get_incarnation(const struct membership *membership)
{
    return node_lease_get_id(membership->lease);
}

bool membership_all_nodes_support(struct membership *membership, enum node_version version)
{
    return version_support_check_all_nodes(&membership->version_support, version);
}

void membership_raise_epoch(struct membership *membership, const char *reason)
{
    leader_election_request_new_epoch(membership->election, reason);
    reconcile(membership);
}

void membership_exclude_node(struct membership *membership, const char *label, int64_t duration_ms)
{
    leader_election_exclude_node(membership->election, label, duration_ms);
    reconcile(membership);
}

/* ---- joining ---- */

static void on_join_outcome_known(void *arg, bool ok)
{
    struct membership *membership = arg;
    const struct node_record *node = get_own_record(membership);
    lease_id incarnation = node_lease_get_id(membership->lease);
    membership->join_phase = JOIN_NOT_SENT;
    if (ok && is_own_process(membership, node)) {
        membership->join_phase = JOIN_DONE;
        membership->mod_revision = node->mod_revision;
        retry_backoff_reset(&membership->join_backoff);
        LOG_INFO("joined", "incarnation=%" G_GUINT64_FORMAT, incarnation.value);
    } else {
        int64_t delay_ms = retry_backoff_next_ms(&membership->join_backoff, membership->loop);
        timer_start(membership->loop, &membership->join_timer, delay_ms);
    }
    reconcile(membership);
}

static void on_join_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct membership *membership = arg;
    if (outcome->status == TXN_LEASE_EXPIRED)
        node_lease_drop(membership->lease, LEASE_REFUSED);
    replica_await_txn_outcome(membership->replica, outcome, on_join_outcome_known, membership);
}

/** Sends the transaction that writes this node's key. */
static void send_join(struct membership *membership)
{
    const struct node_record *previous = get_own_record(membership);
    struct txn *txn =
        node_key_new_join_txn(&membership->node_key, node_lease_get_id(membership->lease),
                              previous ? previous->mod_revision : (revision){0});
    membership->join_phase = JOIN_IN_FLIGHT;
    kv_client_commit(membership->kv, KV_PRIORITY_LEASE, txn, on_join_txn_done, membership);
}

/* ---- fencing earlier transactions ---- */

/** A transaction in flight that rewrites this node's key. */
struct key_rewrite {
    struct membership *membership;
    /** The process and the revision of its key when the transaction was sent. */
    lease_id incarnation;
    revision previous_revision;
    replica_callback callback;
    void *callback_arg;
};

/** Adopts the revision that this process's key has in the replica, after a rewrite. The response to
 * a rewrite does not tell that revision, only one that is not older, and it may be lost. */
static void adopt_key_revision(struct membership *membership)
{
    const struct node_record *node = get_own_record(membership);
    if (membership->join_phase == JOIN_DONE && is_own_process(membership, node))
        membership->mod_revision = node->mod_revision;
}

static void on_rewrite_outcome_known(void *arg, bool ok)
{
    struct key_rewrite *rewrite = arg;
    struct membership *membership = rewrite->membership;
    if (ok)
        adopt_key_revision(membership);
    bool is_rewritten = ok && membership->join_phase == JOIN_DONE &&
                        node_lease_get_id(membership->lease).value == rewrite->incarnation.value &&
                        membership->mod_revision.value > rewrite->previous_revision.value;
    rewrite->callback(rewrite->callback_arg, is_rewritten);
    g_free(rewrite);
}

static void on_rewrite_done(void *arg, const struct txn_outcome *outcome)
{
    struct key_rewrite *rewrite = arg;
    struct membership *membership = rewrite->membership;
    bool is_same_process = node_lease_get_id(membership->lease).value == rewrite->incarnation.value;
    if (outcome->status == TXN_LEASE_EXPIRED && is_same_process)
        node_lease_drop(membership->lease, LEASE_REFUSED);
    replica_await_txn_outcome(membership->replica, outcome, on_rewrite_outcome_known, rewrite);
}

void membership_fence_earlier_txns(struct membership *membership, replica_callback callback,
                                   void *callback_arg)
{
    if (!membership_has_valid_lease(membership)) {
        callback(callback_arg, false);
        return;
    }
    lease_id incarnation = node_lease_get_id(membership->lease);
    struct key_rewrite *rewrite = g_new(struct key_rewrite, 1);
    *rewrite = (struct key_rewrite){membership, incarnation, membership->mod_revision, callback,
                                    callback_arg};
    struct txn *txn =
        node_key_new_rewrite_txn(&membership->node_key, incarnation, membership->mod_revision);
    kv_client_commit(membership->kv, KV_PRIORITY_URGENT, txn, on_rewrite_done, rewrite);
}

/** Takes the next step: requests a lease, joins the cluster, or runs the leader election. */
static void reconcile(struct membership *membership)
{
    lease_id incarnation = node_lease_get_id(membership->lease);
    if (!incarnation.value) {
        node_lease_request(membership->lease);
        return;
    }
    if (!membership->replica->is_ready || membership->join_phase == JOIN_IN_FLIGHT ||
        !node_lease_is_valid(membership->lease))
        return;
    if (membership->join_phase == JOIN_NOT_SENT) {
        if (!membership->join_timer.queue_position)
            send_join(membership);
        return;
    }
    if (!membership_is_visible(membership)) {
        /* Another process has taken over this label, or the lease expired unnoticed. */
        node_lease_drop(membership->lease, LEASE_KEY_LOST);
        return;
    }
    adopt_key_revision(membership);
    const struct candidate self = {.incarnation = incarnation,
                                   .mod_revision = membership->mod_revision,
                                   .is_leader = membership_is_leader(membership),
                                   .may_use_token_serials = membership_all_nodes_support(
                                       membership, NODE_VERSION_TOKEN_SERIALS)};
    leader_election_step(membership->election, &self);
}
