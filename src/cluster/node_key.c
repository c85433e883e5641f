/**
 * @file
 * The transactions that write this node's own key.
 */
#include "node_key.h"

#include "json_fields.h"
#include "stored_fields.h"
#include "version_support.h"

/** Encodes the value of the key of the process with the given lease. */
static json_object *encode_node_record(const struct node_key *key, lease_id incarnation)
{
    json_object *record = json_object_new_object();
    json_put_u64(record, NODE_FIELD_INCARNATION, incarnation.value);
    json_put_string(record, NODE_FIELD_RPC_ADDRESS, key->settings->rpc_address);
    json_put_u64(record, NODE_FIELD_VERSION, NODE_VERSION_CURRENT);
    if (key->wants_singleton_roles)
        json_put_bool(record, NODE_FIELD_SINGLETON_ROLES, true);
    return record;
}

/** Adds the release of the leadership, if an earlier process of this node holds it. */
static void add_leader_release(const struct node_key *key, struct txn *txn)
{
    const struct replica *replica = key->replica;
    if (!replica->leader_label || strcmp(replica->leader_label, key->settings->label) != 0)
        return;
    txn_compare(txn, KEY_LEADER, replica->leader_mod_revision);
    txn_delete(txn, KEY_LEADER);
}

/** Adds the release of singleton roles that an earlier process of this node holds. */
static void add_role_releases(const struct node_key *key, struct txn *txn)
{
    for (int i = 0; i < ROLE_COUNT; i++) {
        enum singleton_role role = (enum singleton_role)i;
        const struct role_record *record = role_records_get(key->replica->singleton_roles, role);
        if (!record->token.value || strcmp(record->holder.label, key->settings->label) != 0 ||
            txn_write_count(txn) >= (guint)key->max_txn_operations)
            continue;
        char *role_key = key_role(role);
        txn_compare(txn, role_key, (revision){record->token.value});
        txn_delete(txn, role_key);
        g_free(role_key);
    }
}

/**
 * Adds an announcement of the version that this program supports. The key is not attached to a
 * lease and outlives the process, because later processes of the node support this version too.
 */
static void add_version_announcement(const struct node_key *key, struct txn *txn)
{
    const char *label = key->settings->label;
    if (version_support_get_announced(key->replica, label) >= NODE_VERSION_CURRENT)
        return;
    char *version_key = key_node_version(label);
    json_object *value = json_object_new_object();
    json_put_u64(value, NODE_FIELD_VERSION, NODE_VERSION_CURRENT);
    txn_put(txn, version_key, value, (lease_id){0});
    g_free(version_key);
}

/** Adds the write of the key, if it still has the given revision. */
static void add_key_write(const struct node_key *key, struct txn *txn, lease_id incarnation,
                          revision mod_revision)
{
    char *name = key_node(key->settings->label);
    txn_compare(txn, name, mod_revision);
    txn_put(txn, name, encode_node_record(key, incarnation), incarnation);
    g_free(name);
}

struct txn *node_key_new_join_txn(const struct node_key *key, lease_id incarnation,
                                  revision mod_revision)
{
    struct txn *txn = txn_new();
    add_key_write(key, txn, incarnation, mod_revision);
    add_leader_release(key, txn);
    add_role_releases(key, txn);
    add_version_announcement(key, txn);
    return txn;
}

struct txn *node_key_new_rewrite_txn(const struct node_key *key, lease_id incarnation,
                                     revision mod_revision)
{
    struct txn *txn = txn_new();
    add_key_write(key, txn, incarnation, mod_revision);
    return txn;
}
