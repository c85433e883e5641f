#include "membership.h"

#include "kv_codec.h"
#include "log.h"

#include <stdlib.h>

enum {
    LEASE_TTL_MS = 4000,
    LEASE_RENEW_INTERVAL_MS = 1000,
    RETRY_DELAY_MS = 300,
    TICK_MS = 200,
    ELECTION_STAGGER_MS = 30,
};

struct node_exclusion {
    char *label;
    mono_time until;
};

/* Whether all nodes understood a version when their changes were counted so. */
struct version_support {
    uint64_t node_changes;
    bool by_all_nodes;
};

struct membership {
    struct actor actor;
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    const struct settings *settings;
    lease_id lease;              /* 0: none */
    mono_time lease_valid_until; /* it surely holds until then */
    mono_time lease_request_sent_at;
    bool lease_request_in_flight, has_joined, join_in_flight, map_write_in_flight;
    bool wants_singleton_roles;
    struct version_support version_support[NODE_VERSION_CURRENT + 1];
    revision mod_revision; /* of this node's key */
    struct timer tick_timer, renew_timer;
    mono_time leaderless_since; /* no leader */
    bool is_leaderless, epoch_raise_requested;
    GArray *exclusions;
};

static void reconcile(struct membership *membership);
static void renew_lease(void *arg);

static void on_tick(void *arg)
{
    struct membership *membership = arg;
    timer_start(membership->loop, &membership->tick_timer, TICK_MS);
    reconcile(membership);
}

static void on_message(struct actor *self, const struct message *msg)
{
    if (msg->kind == MSG_REPLICA)
        reconcile((struct membership *)self);
}

static void clear_node_exclusion(gpointer p)
{
    g_free(((struct node_exclusion *)p)->label);
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
    membership->wants_singleton_roles = wants_singleton_roles;
    membership->exclusions = g_array_new(FALSE, FALSE, sizeof(struct node_exclusion));
    g_array_set_clear_func(membership->exclusions, clear_node_exclusion);
    timer_init(&membership->tick_timer, on_tick, membership);
    timer_init(&membership->renew_timer, renew_lease, membership);
    replica_add_listener(replica, &membership->actor);
    return membership;
}

void membership_free(struct membership *membership)
{
    timer_stop(membership->loop, &membership->tick_timer);
    timer_stop(membership->loop, &membership->renew_timer);
    g_array_unref(membership->exclusions);
    g_free(membership);
}

void membership_start(struct membership *membership)
{
    on_tick(membership);
}

bool membership_has_valid_lease(const struct membership *membership)
{
    return membership->has_joined &&
           time_before(loop_now(membership->loop), membership->lease_valid_until);
}

bool membership_is_visible(const struct membership *membership)
{
    const struct node_record *node =
        g_hash_table_lookup(membership->replica->nodes, membership->settings->label);
    return membership->has_joined && node &&
           node->mod_revision.value == membership->mod_revision.value;
}

bool membership_is_recorded_leader(const struct membership *membership)
{
    const struct replica *replica = membership->replica;
    return membership->lease.value && replica->leader_label &&
           strcmp(replica->leader_label, membership->settings->label) == 0 &&
           replica->leader_incarnation.value == membership->lease.value;
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
    return membership->lease;
}

void membership_raise_epoch(struct membership *membership, const char *why)
{
    if (!membership->epoch_raise_requested)
        LOG_INFO("epoch_raise", "why=%s", why);
    membership->epoch_raise_requested = true;
    reconcile(membership);
}

void membership_exclude_node(struct membership *membership, const char *label, int64_t duration_ms)
{
    struct node_exclusion excluded = {g_strdup(label),
                                      time_add_ms(loop_now(membership->loop), duration_ms)};
    g_array_append_val(membership->exclusions, excluded);
    LOG_INFO("node_excluded", "other=%s ms=%" G_GINT64_FORMAT, label, duration_ms);
    reconcile(membership);
}

static bool is_excluded(struct membership *membership, const char *label)
{
    for (guint i = 0; i < membership->exclusions->len; i++)
        if (strcmp(g_array_index(membership->exclusions, struct node_exclusion, i).label, label) ==
            0)
            return true;
    return false;
}

/* ---- the lease ---- */

static void drop_lease(struct membership *membership, const char *why)
{
    LOG_INFO("lease_lost", "lease=%" G_GUINT64_FORMAT " why=%s", membership->lease.value, why);
    membership->lease.value = 0;
    membership->has_joined = false;
    membership->lease_valid_until = (mono_time){0};
    timer_stop(membership->loop, &membership->renew_timer);
}

/* The lease is counted from when the request was sent, on a clock that may be slow. */
static void extend_lease_validity(struct membership *membership)
{
    membership->lease_valid_until =
        time_add_ms(membership->lease_request_sent_at, LEASE_TTL_MS - LEASE_TTL_MS / 1000 - 1);
}

static void on_lease_granted(void *arg, const struct http_response *response)
{
    struct membership *membership = arg;
    membership->lease_request_in_flight = false;
    json_object *object =
        response->status == 200 ? json_parse(response->body, response->body_bytes) : NULL;
    if (kv_decode_lease(object, &membership->lease)) {
        extend_lease_validity(membership);
        timer_start(membership->loop, &membership->renew_timer, LEASE_RENEW_INTERVAL_MS);
    }
    json_object_put(object);
    reconcile(membership);
}

static void on_lease_renewed(void *arg, const struct http_response *response)
{
    struct membership *membership = arg;
    membership->lease_request_in_flight = false;
    if (!membership->lease.value)
        return;
    if (response->status == 404) {
        drop_lease(membership, "ended");
        reconcile(membership);
        return;
    }
    if (response->status == 200)
        extend_lease_validity(membership);
    timer_start(membership->loop, &membership->renew_timer,
                response->status == 200 ? LEASE_RENEW_INTERVAL_MS : RETRY_DELAY_MS);
}

static void renew_lease(void *arg)
{
    struct membership *membership = arg;
    if (membership->lease_request_in_flight || !membership->lease.value)
        return;
    char *path = g_strdup_printf("/grants/%" G_GUINT64_FORMAT "/renew", membership->lease.value);
    membership->lease_request_in_flight = true;
    membership->lease_request_sent_at = loop_now(membership->loop);
    kv_client_request(membership->kv, KV_LANE_LEASE, "POST", path, "{}", 1000, 1000, 0,
                      on_lease_renewed, membership);
    g_free(path);
}

static void request_lease(struct membership *membership)
{
    char body[32];
    g_snprintf(body, sizeof body, "{\"TtlMs\":%d}", LEASE_TTL_MS);
    membership->lease_request_in_flight = true;
    membership->lease_request_sent_at = loop_now(membership->loop);
    kv_client_request(membership->kv, KV_LANE_LEASE, "POST", "/grants", body, 1500, 1500, 0,
                      on_lease_granted, membership);
}

/* ---- joining ---- */

static void on_join_replicated(void *arg, bool ok)
{
    struct membership *membership = arg;
    membership->join_in_flight = false;
    struct node_record *node =
        g_hash_table_lookup(membership->replica->nodes, membership->settings->label);
    if (ok && membership->lease.value && node &&
        node->incarnation.value == membership->lease.value) {
        membership->has_joined = true;
        membership->mod_revision = node->mod_revision;
        LOG_INFO("joined", "incarnation=%" G_GUINT64_FORMAT, membership->lease.value);
    }
    reconcile(membership);
}

static void on_join_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct membership *membership = arg;
    if (outcome->status == TXN_LEASE_EXPIRED && membership->lease.value)
        drop_lease(membership, "refused");
    if (outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT)
        replica_await_revision(membership->replica, outcome->at_revision, on_join_replicated,
                               membership);
    else
        replica_read_barrier(membership->replica, on_join_replicated, membership);
}

static json_object *encode_node_record(struct membership *membership)
{
    json_object *object = json_object_new_object();
    json_put_u64(object, "i", membership->lease.value);
    json_put_text(object, "b", membership->settings->rpc_address);
    json_put_u64(object, "v", NODE_VERSION_CURRENT);
    if (membership->wants_singleton_roles)
        json_put_bool(object, "duties", true);
    return object;
}

static guint get_announced_version(const struct replica *replica, const char *label)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(replica->announced_versions, label));
}

static bool node_supports_version(const struct membership *membership, const char *label,
                                  enum node_version version)
{
    const struct node_record *node = g_hash_table_lookup(membership->replica->nodes, label);
    return get_announced_version(membership->replica, label) >= (guint)version &&
           (!node || node->understood_version >= (uint64_t)version);
}

static bool all_nodes_support_version(const struct membership *membership,
                                      enum node_version version)
{
    bool is_supported = node_supports_version(membership, membership->settings->label, version);
    for (guint i = 0; i < membership->settings->siblings->len; i++)
        is_supported =
            is_supported &&
            node_supports_version(
                membership, g_array_index(membership->settings->siblings, struct sibling, i).label,
                version);
    return is_supported;
}

/* Placement asks for each machine that it looks at, so the answer is kept until nodes change. */
bool membership_all_nodes_support(struct membership *membership, enum node_version version)
{
    struct version_support *understood = &membership->version_support[version];
    uint64_t changes = membership->replica->node_change_count + 1; /* 0: never asked */
    if (understood->node_changes != changes)
        *understood =
            (struct version_support){changes, all_nodes_support_version(membership, version)};
    return understood->by_all_nodes;
}

/* The duties of an earlier process of this label: its keys would stay until its lease ends. */
static void release_previous_roles(struct membership *membership, struct txn *txn)
{
    for (int i = 0; i < ROLE_COUNT; i++) {
        const struct role_record *record =
            role_records_get(membership->replica->singleton_roles, (enum singleton_role)i);
        if (!record->token.v || strcmp(record->holder.label, membership->settings->label) != 0 ||
            (int)txn_write_count(txn) >= kv_client_limits(membership->kv)->max_txn_operations)
            continue;
        char *key = key_role((enum singleton_role)i);
        txn_compare(txn, key, (revision){record->token.v});
        txn_delete(txn, key);
        g_free(key);
    }
}

/* An earlier process of this label is dead, so its leadership is given up with its key, and its
 * duties: nobody has to wait for its lease to end. */
static void send_join(struct membership *membership)
{
    struct replica *replica = membership->replica;
    char *key = key_node(membership->settings->label);
    struct node_record *old = g_hash_table_lookup(replica->nodes, membership->settings->label);
    struct txn *txn = txn_new();
    txn_compare(txn, key, old ? old->mod_revision : (revision){0});
    txn_put(txn, key, encode_node_record(membership), membership->lease);
    if (replica->leader_label && strcmp(replica->leader_label, membership->settings->label) == 0) {
        txn_compare(txn, KEY_LEADER, replica->leader_mod_revision);
        txn_delete(txn, KEY_LEADER);
    }
    release_previous_roles(membership, txn);
    /* It stays when this process ends: its successors understand as much. */
    if (get_announced_version(replica, membership->settings->label) < NODE_VERSION_CURRENT) {
        char *version = key_version(membership->settings->label);
        json_object *object = json_object_new_object();
        json_put_u64(object, "v", NODE_VERSION_CURRENT);
        txn_put(txn, version, object, (lease_id){0});
        g_free(version);
    }
    membership->join_in_flight = true;
    kv_client_commit(membership->kv, KV_LANE_LEASE, txn, on_join_txn_done, membership);
    g_free(key);
}

/* ---- leader and map ---- */

static json_object *encode_shard_map(struct membership *membership)
{
    json_object *map = json_object_new_object(), *entries = json_object_new_array();
    json_put_u64(map, "e", membership->replica->shard_map_epoch.value + 1);
    GList *labels =
        g_list_sort(g_hash_table_get_keys(membership->replica->nodes), (GCompareFunc)strcmp);
    for (GList *link = labels; link; link = link->next) {
        struct node_record *node = g_hash_table_lookup(membership->replica->nodes, link->data);
        if (is_excluded(membership, node->label) &&
            strcmp(node->label, membership->settings->label) != 0)
            continue;
        json_object *entry = json_object_new_object();
        json_put_text(entry, "n", node->label);
        json_put_u64(entry, "i", node->incarnation.value);
        json_object_array_add(entries, entry);
    }
    g_list_free(labels);
    json_object_object_add(map, "n", entries);
    return map;
}

static bool shard_map_is_stale(struct membership *membership)
{
    guint expected_len = 0;
    GHashTableIter it;
    struct node_record *node;
    g_hash_table_iter_init(&it, membership->replica->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node)) {
        bool excluded = is_excluded(membership, node->label) &&
                        strcmp(node->label, membership->settings->label) != 0;
        if (!excluded && !shard_map_contains(membership->replica, node->label, node->incarnation))
            return true;
        expected_len += !excluded;
    }
    return expected_len != membership->replica->shard_map->len;
}

static void on_map_replicated(void *arg, bool ok)
{
    struct membership *membership = arg;
    (void)ok;
    membership->map_write_in_flight = false;
    reconcile(membership);
}

static void on_map_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct membership *membership = arg;
    if (outcome->status == TXN_LEASE_EXPIRED && membership->lease.value)
        drop_lease(membership, "refused");
    if (outcome->status == TXN_COMMITTED)
        membership->epoch_raise_requested = false;
    if (outcome->status == TXN_COMMITTED || outcome->status == TXN_CONFLICT)
        replica_await_revision(membership->replica, outcome->at_revision, on_map_replicated,
                               membership);
    else
        replica_read_barrier(membership->replica, on_map_replicated, membership);
}

/* Taking the lead and raising the epoch are one transaction: there is no leader whose epoch an
 * earlier one has dealt under. */
static void write_shard_map(struct membership *membership, bool is_election)
{
    char *key = key_node(membership->settings->label);
    struct txn *txn = txn_new();
    txn_compare(txn, key, membership->mod_revision);
    txn_compare(txn, KEY_LEADER,
                is_election ? (revision){0} : membership->replica->leader_mod_revision);
    txn_compare(txn, KEY_MAP, membership->replica->shard_map_mod_revision);
    if (is_election) {
        json_object *object = json_object_new_object();
        json_put_text(object, "n", membership->settings->label);
        json_put_u64(object, "i", membership->lease.value);
        txn_put(txn, KEY_LEADER, object, membership->lease);
    }
    txn_put(txn, KEY_MAP, encode_shard_map(membership), (lease_id){0});
    membership->map_write_in_flight = true;
    kv_client_commit(membership->kv, KV_LANE_LEASE, txn, on_map_txn_done, membership);
    g_free(key);
}

/* Nodes stand for election one after the other, so that the first one mostly has it alone. */
static int64_t election_delay_ms(struct membership *membership)
{
    int nodes_ahead = 0;
    GHashTableIter it;
    char *label;
    g_hash_table_iter_init(&it, membership->replica->nodes);
    while (g_hash_table_iter_next(&it, (gpointer *)&label, NULL))
        nodes_ahead += strcmp(label, membership->settings->label) < 0;
    return (int64_t)nodes_ahead * ELECTION_STAGGER_MS;
}

static void expire_exclusions(struct membership *membership)
{
    mono_time now = loop_now(membership->loop);
    for (guint i = 0; i < membership->exclusions->len;)
        if (time_before(g_array_index(membership->exclusions, struct node_exclusion, i).until, now))
            g_array_remove_index_fast(membership->exclusions, i);
        else
            i++;
}

static void reconcile(struct membership *membership)
{
    struct replica *replica = membership->replica;
    mono_time now = loop_now(membership->loop);
    if (!membership->lease.value) {
        if (!membership->lease_request_in_flight)
            request_lease(membership);
        return;
    }
    if (!replica->is_ready || membership->join_in_flight ||
        !time_before(now, membership->lease_valid_until))
        return;
    struct node_record *self = g_hash_table_lookup(replica->nodes, membership->settings->label);
    if (membership->has_joined &&
        (!self || self->mod_revision.value != membership->mod_revision.value)) {
        /* Another process has taken this label, or the lease ended unnoticed. */
        drop_lease(membership, "key gone");
        return;
    }
    if (!membership->has_joined) {
        send_join(membership);
        return;
    }
    expire_exclusions(membership);
    if (membership->map_write_in_flight)
        return;
    if (replica->leader_label) {
        membership->is_leaderless = false;
        if (membership_is_leader(membership) &&
            (membership->epoch_raise_requested || shard_map_is_stale(membership)))
            write_shard_map(membership, false);
        return;
    }
    if (!membership->is_leaderless) {
        membership->is_leaderless = true;
        membership->leaderless_since = now;
    }
    if (time_ms_since(now, membership->leaderless_since) >= election_delay_ms(membership))
        write_shard_map(membership, true);
}

/* ---- the map ---- */

static uint64_t hash_text(uint64_t hash, const char *text)
{
    for (; *text; text++)
        hash = (hash ^ (uint8_t)*text) * 0x100000001b3ULL;
    return hash;
}

static uint64_t rendezvous_weight(const char *label, const char *machine)
{
    uint64_t hash =
        hash_text(hash_text(0xcbf29ce484222325ULL, machine) ^ 0x9e3779b97f4a7c15ULL, label);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ hash >> 33;
}

const char *shard_map_get_owner(const struct replica *replica, const char *machine)
{
    const char *best = NULL;
    uint64_t best_weight = 0;
    for (guint i = 0; i < replica->shard_map->len; i++) {
        const char *label = g_array_index(replica->shard_map, struct shard_map_entry, i).label;
        uint64_t weight = rendezvous_weight(label, machine);
        if (!best || weight > best_weight) {
            best = label;
            best_weight = weight;
        }
    }
    return best;
}

bool shard_map_contains(const struct replica *replica, const char *label, lease_id incarnation)
{
    for (guint i = 0; i < replica->shard_map->len; i++) {
        const struct shard_map_entry *entry =
            &g_array_index(replica->shard_map, struct shard_map_entry, i);
        if (strcmp(entry->label, label) == 0 && entry->incarnation.value == incarnation.value)
            return true;
    }
    return false;
}
