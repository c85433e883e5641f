/**
 * @file
 * Elects the leader, and writes the shard map on behalf of the leader.
 */
#include "leader_election.h"

#include "json_fields.h"
#include "log.h"
#include "retry_backoff.h"
#include "shard_map.h"
#include "stored_fields.h"

enum {
    /** Delay between successive nodes, ordered by label, before each becomes a candidate. */
    CANDIDATE_STAGGER_MS = 30,
    /** Delay before a shard map is written again after a transaction that was not committed. */
    WRITE_RETRY_MIN_DELAY_MS = 20,
    WRITE_RETRY_MAX_DELAY_MS = 200,
};

/** A node that is temporarily excluded from the shard map. */
struct node_exclusion {
    char *label;
    mono_time until;
};

struct leader_election {
    struct leader_election_setup setup;
    /** Array of struct node_exclusion. */
    GArray *exclusions;
    bool is_leaderless;
    mono_time leaderless_since;
    bool is_new_epoch_requested;
    bool write_in_flight;
    /** Runs while the shard map must not be written again yet. */
    struct timer retry_timer;
    struct retry_backoff write_backoff;
};

static void clear_exclusion(gpointer data)
{
    g_free(((struct node_exclusion *)data)->label);
}

/** Timer callback: lets the owner take the next step. */
static void on_retry_timer(void *arg)
{
    struct leader_election *election = arg;
    election->setup.on_write_outcome_known(election->setup.ctx);
}

struct leader_election *leader_election_new(const struct leader_election_setup *setup)
{
    struct leader_election *election = g_new0(struct leader_election, 1);
    election->setup = *setup;
    election->exclusions = g_array_new(FALSE, FALSE, sizeof(struct node_exclusion));
    g_array_set_clear_func(election->exclusions, clear_exclusion);
    timer_init(&election->retry_timer, on_retry_timer, election);
    election->write_backoff =
        retry_backoff_make(WRITE_RETRY_MIN_DELAY_MS, WRITE_RETRY_MAX_DELAY_MS);
    return election;
}

void leader_election_free(struct leader_election *election)
{
    timer_stop(election->setup.loop, &election->retry_timer);
    g_array_unref(election->exclusions);
    g_free(election);
}

void leader_election_request_new_epoch(struct leader_election *election, const char *reason)
{
    if (!election->is_new_epoch_requested)
        LOG_INFO("epoch_raise", "why=%s", reason);
    election->is_new_epoch_requested = true;
}

/* ---- exclusions ---- */

void leader_election_exclude_node(struct leader_election *election, const char *label,
                                  int64_t duration_ms)
{
    struct node_exclusion exclusion = {g_strdup(label),
                                       time_add_ms(loop_now(election->setup.loop), duration_ms)};
    g_array_append_val(election->exclusions, exclusion);
    LOG_INFO("node_excluded", "other=%s ms=%" G_GINT64_FORMAT, label, duration_ms);
}

static void expire_exclusions(struct leader_election *election)
{
    mono_time now = loop_now(election->setup.loop);
    GArray *exclusions = election->exclusions;
    for (guint i = 0; i < exclusions->len;)
        if (time_before(g_array_index(exclusions, struct node_exclusion, i).until, now))
            g_array_remove_index_fast(exclusions, i);
        else
            i++;
}

/** Returns whether the node is excluded from the shard map; this node never excludes itself. */
static bool is_excluded(const struct leader_election *election, const char *label)
{
    if (strcmp(label, election->setup.label) == 0)
        return false;
    for (guint i = 0; i < election->exclusions->len; i++) {
        const struct node_exclusion *exclusion =
            &g_array_index(election->exclusions, struct node_exclusion, i);
        if (strcmp(exclusion->label, label) == 0)
            return true;
    }
    return false;
}

/* ---- shard map ---- */

static json_object *encode_process(const char *label, lease_id incarnation)
{
    json_object *process = json_object_new_object();
    json_put_string(process, PROCESS_FIELD_LABEL, label);
    json_put_u64(process, PROCESS_FIELD_INCARNATION, incarnation.value);
    return process;
}

/** Returns whether tokens have serials in the next epoch. Once they have, they keep them: a number
 * without a serial is lower than all with one, and agents would refuse it. */
static bool next_epoch_has_token_serials(const struct leader_election *election,
                                         const struct candidate *self)
{
    return self->may_use_token_serials || election->setup.replica->has_token_serials;
}

/** Encodes the next shard map, which lists all live nodes that are not excluded, by label. */
static json_object *encode_next_shard_map(const struct leader_election *election,
                                          const struct candidate *self)
{
    const struct replica *replica = election->setup.replica;
    json_object *map = json_object_new_object();
    json_object *nodes = json_object_new_array();
    json_put_u64(map, SHARD_MAP_FIELD_EPOCH, replica->shard_map_epoch.value + 1);
    if (next_epoch_has_token_serials(election, self))
        json_put_bool(map, SHARD_MAP_FIELD_TOKEN_SERIALS, true);
    GList *labels = g_list_sort(g_hash_table_get_keys(replica->nodes), (GCompareFunc)strcmp);
    for (GList *link = labels; link; link = link->next) {
        const struct node_record *node = g_hash_table_lookup(replica->nodes, link->data);
        if (!is_excluded(election, node->label))
            json_object_array_add(nodes, encode_process(node->label, node->incarnation));
    }
    g_list_free(labels);
    json_object_object_add(map, SHARD_MAP_FIELD_NODES, nodes);
    return map;
}

/** Returns whether the next shard map would differ from the current one in more than the epoch. */
static bool is_shard_map_stale(const struct leader_election *election, const struct candidate *self)
{
    const struct replica *replica = election->setup.replica;
    if (next_epoch_has_token_serials(election, self) != replica->has_token_serials)
        return true;
    guint expected_len = 0;
    GHashTableIter iter;
    struct node_record *node;
    g_hash_table_iter_init(&iter, replica->nodes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&node)) {
        if (is_excluded(election, node->label))
            continue;
        if (!shard_map_contains(replica, node->label, node->incarnation))
            return true;
        expected_len++;
    }
    return expected_len != replica->shard_map->len;
}

/* ---- transactions ---- */

static void on_write_outcome_known(void *arg, bool ok)
{
    struct leader_election *election = arg;
    (void)ok;
    election->write_in_flight = false;
    election->setup.on_write_outcome_known(election->setup.ctx);
}

static void on_write_done(void *arg, const struct txn_outcome *outcome)
{
    struct leader_election *election = arg;
    if (outcome->status == TXN_LEASE_EXPIRED)
        election->setup.on_lease_refused(election->setup.ctx);
    if (outcome->status == TXN_COMMITTED) {
        election->is_new_epoch_requested = false;
        retry_backoff_reset(&election->write_backoff);
    } else {
        int64_t delay_ms = retry_backoff_next_ms(&election->write_backoff, election->setup.loop);
        timer_start(election->setup.loop, &election->retry_timer, delay_ms);
    }
    replica_await_txn_outcome(election->setup.replica, outcome, on_write_outcome_known, election);
}

static void write_shard_map(struct leader_election *election, const struct candidate *self,
                            bool acquires_leadership)
{
    const struct leader_election_setup *setup = &election->setup;
    const revision no_leader = {0};
    char *node_key = key_node(setup->label);
    struct txn *txn = txn_new();
    txn_compare(txn, node_key, self->mod_revision);
    txn_compare(txn, KEY_LEADER,
                acquires_leadership ? no_leader : setup->replica->leader_mod_revision);
    txn_compare(txn, KEY_SHARD_MAP, setup->replica->shard_map_mod_revision);
    if (acquires_leadership)
        txn_put(txn, KEY_LEADER, encode_process(setup->label, self->incarnation),
                self->incarnation);
    txn_put(txn, KEY_SHARD_MAP, encode_next_shard_map(election, self), (lease_id){0});
    election->write_in_flight = true;
    kv_client_commit(setup->kv, KV_PRIORITY_LEASE, txn, on_write_done, election);
    g_free(node_key);
}

/**
 * Returns how long this node waits without a leader before it becomes a candidate. The delays are
 * staggered by label, so that the first candidate usually wins without competition.
 */
static int64_t election_delay_ms(const struct leader_election *election)
{
    int nodes_ahead = 0;
    GHashTableIter iter;
    char *label;
    g_hash_table_iter_init(&iter, election->setup.replica->nodes);
    while (g_hash_table_iter_next(&iter, (gpointer *)&label, NULL))
        nodes_ahead += strcmp(label, election->setup.label) < 0;
    return (int64_t)nodes_ahead * CANDIDATE_STAGGER_MS;
}

static bool is_election_due(struct leader_election *election)
{
    mono_time now = loop_now(election->setup.loop);
    if (!election->is_leaderless) {
        election->is_leaderless = true;
        election->leaderless_since = now;
    }
    return time_ms_since(now, election->leaderless_since) >= election_delay_ms(election);
}

void leader_election_step(struct leader_election *election, const struct candidate *self)
{
    expire_exclusions(election);
    if (election->write_in_flight || election->retry_timer.queue_position)
        return;
    if (!election->setup.replica->leader_label) {
        if (is_election_due(election))
            write_shard_map(election, self, true);
        return;
    }
    election->is_leaderless = false;
    if (self->is_leader && (election->is_new_epoch_requested || is_shard_map_stale(election, self)))
        write_shard_map(election, self, false);
}
