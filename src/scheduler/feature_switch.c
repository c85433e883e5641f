/** Turns the cluster-wide switch of singleton roles on and off. */
#include "feature_switch.h"

#include "log.h"
#include "stored_fields.h"

static void on_switch_committed(void *arg, const struct txn_outcome *outcome)
{
    struct leader *leader = arg;
    (void)outcome; /* the replica shows whether the switch has changed */
    leader->is_switching_features = false;
}

static void commit_switch(struct leader *leader, struct txn *txn)
{
    leader->is_switching_features = true;
    kv_client_commit(leader->kv, KV_PRIORITY_NORMAL, txn, on_switch_committed, leader);
}

/**
 * Returns a new transaction that fails if this node is no longer the leader or if the switch has
 * changed in the meantime.
 */
static struct txn *new_switch_txn(const struct leader *leader)
{
    struct txn *txn = txn_new();
    txn_compare(txn, KEY_LEADER, leader->replica->leader_mod_revision);
    txn_compare(txn, KEY_FEATURES, leader->replica->features_mod_revision);
    return txn;
}

static void enable_singleton_roles(struct leader *leader)
{
    struct txn *txn = new_switch_txn(leader);
    json_object *value = json_object_new_object();
    json_put_bool(value, FEATURES_FIELD_SINGLETON_ROLES, true);
    txn_put(txn, KEY_FEATURES, value, (lease_id){0});
    LOG_INFO("singleton_roles_enabled", "nodes=%u", g_hash_table_size(leader->replica->nodes));
    commit_switch(leader, txn);
}

/**
 * Adds the removal of the autoscaler's intent pages, which are empty at this point, to the
 * transaction. Pages that exceed the limit of operations in one transaction are left.
 */
static void remove_intent_pages(struct leader *leader, struct txn *txn)
{
    GPtrArray *pages = role_records_list_pages(leader->replica->singleton_roles, ROLE_AUTOSCALER);
    int max_operations = kv_client_limits(leader->kv)->max_txn_operations;
    for (guint i = 0; i < pages->len && (int)txn_write_count(txn) < max_operations; i++) {
        const struct intent_page *page = pages->pdata[i];
        char *key = key_intent_page(page->role, page->number);
        txn_compare(txn, key, page->mod_revision);
        txn_delete(txn, key);
        g_free(key);
    }
    g_ptr_array_unref(pages);
}

/**
 * Turns the switch off in a transaction that is guarded by the fencing token of the autoscaler's
 * role, so it fails if this node has lost the role. The transaction also removes the record of the
 * role, so that nothing can be recorded under the token afterwards: writes to the intent pages that
 * are still in flight are rejected.
 */
static void disable_singleton_roles(struct leader *leader)
{
    struct txn *txn = new_switch_txn(leader);
    role_manager_add_guard(leader->role_manager, ROLE_AUTOSCALER, txn);
    txn_delete(txn, KEY_FEATURES);
    char *key = key_role(ROLE_AUTOSCALER);
    txn_delete(txn, key);
    g_free(key);
    remove_intent_pages(leader, txn);
    LOG_INFO("singleton_roles_disabled", "nodes=%u", g_hash_table_size(leader->replica->nodes));
    commit_switch(leader, txn);
}

/** Returns whether the operators of any live node have enabled singleton roles. */
static bool is_requested_by_any_node(const struct leader *leader)
{
    GHashTableIter it;
    struct node_record *node;
    g_hash_table_iter_init(&it, leader->replica->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node))
        if (node->wants_singleton_roles)
            return true;
    return false;
}

/**
 * Returns whether this node's operators have enabled singleton roles and every node supports them.
 */
static bool may_enable(const struct leader *leader)
{
    return leader->features->singleton_roles.is_enabled &&
           membership_all_nodes_support(leader->membership, NODE_VERSION_SINGLETON_ROLES);
}

/** Returns whether this node may act as the autoscaler and has no queued or recorded intents. */
static bool may_disable(const struct leader *leader)
{
    return role_manager_may_act(leader->role_manager, ROLE_AUTOSCALER) &&
           cloud_provider_has_no_intents(leader->cloud);
}

/** Applies the state of the switch in the replica, whichever node has changed it. */
static void apply_switch(struct leader *leader, bool is_enabled, bool is_requested)
{
    cloud_provider_pause_recording(leader->cloud, is_enabled && !is_requested);
    /* A new epoch uncordons the machines that were cordoned for their return. */
    if (leader->had_singleton_roles && !is_enabled)
        membership_raise_epoch(leader->membership, "singleton roles are disabled");
    leader->had_singleton_roles = is_enabled;
}

void feature_switch_update(struct leader *leader)
{
    bool is_enabled = leader->replica->singleton_roles_enabled;
    bool is_requested = is_requested_by_any_node(leader);
    apply_switch(leader, is_enabled, is_requested);
    if (leader->is_switching_features || !membership_is_leader(leader->membership))
        return;
    if (!is_enabled && may_enable(leader))
        enable_singleton_roles(leader);
    else if (is_enabled && !is_requested && may_disable(leader))
        disable_singleton_roles(leader);
}
