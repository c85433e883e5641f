#include "feature_switch.h"

#include "log.h"

static void on_switch_written(void *arg, const struct txn_outcome *outcome)
{
    (void)outcome; /* the view tells */
    ((struct leader *)arg)->is_switching_features = false;
}

static void submit_switch(struct leader *leader, struct txn *txn)
{
    leader->is_switching_features = true;
    kv_client_commit(leader->kv, KV_LANE_NORMAL, txn, on_switch_written, leader);
}

static struct txn *new_leader_txn(const struct leader *leader)
{
    struct txn *txn = txn_new();
    txn_compare(txn, KEY_LEADER, leader->replica->leader_mod_revision);
    txn_compare(txn, KEY_FEATURES, leader->replica->features_mod_revision);
    return txn;
}

static void enable_singleton_roles(struct leader *leader)
{
    struct txn *txn = new_leader_txn(leader);
    json_object *value = json_object_new_object();
    json_put_bool(value, "duties", true);
    txn_put(txn, KEY_FEATURES, value, (lease_id){0});
    LOG_INFO("duties_on", "nodes=%u", g_hash_table_size(leader->replica->nodes));
    submit_switch(leader, txn);
}

/* The pages of intents are empty by now; what is left of them goes with the switch. */
static void remove_intent_pages(struct leader *leader, struct txn *txn)
{
    GPtrArray *pages = role_records_list_pages(leader->replica->singleton_roles, ROLE_AUTOSCALER);
    int most = kv_client_limits(leader->kv)->max_txn_operations;
    for (guint i = 0; i < pages->len && (int)txn_write_count(txn) < most; i++) {
        const struct intent_page *page = pages->pdata[i];
        char *key = key_intent_page(page->role, page->number);
        txn_compare(txn, key, page->mod_revision);
        txn_delete(txn, key);
        g_free(key);
    }
    g_ptr_array_unref(pages);
}

/* Under the token of the fleet: nothing can be recorded by anybody once the switch is off. The
 * record of the duty goes, too, so that what its holder sent to the pages is refused from now on.
 */
static void disable_singleton_roles(struct leader *leader)
{
    struct txn *txn = new_leader_txn(leader);
    role_manager_add_guard(leader->role_manager, ROLE_AUTOSCALER, txn);
    txn_delete(txn, KEY_FEATURES);
    char *key = key_role(ROLE_AUTOSCALER);
    txn_delete(txn, key);
    g_free(key);
    remove_intent_pages(leader, txn);
    LOG_INFO("duties_off", "nodes=%u", g_hash_table_size(leader->replica->nodes));
    submit_switch(leader, txn);
}

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

void feature_switch_update(struct leader *leader)
{
    bool is_enabled = leader->replica->singleton_roles_enabled,
         is_requested = is_requested_by_any_node(leader);
    cloud_provider_pause_recording(leader->cloud, is_enabled && !is_requested);
    /* Machines that were closed to be returned are open again in a new epoch. */
    if (leader->had_singleton_roles && !is_enabled)
        membership_raise_epoch(leader->membership, "duties are off");
    leader->had_singleton_roles = is_enabled;
    if (leader->is_switching_features || !membership_is_leader(leader->membership))
        return;
    if (!is_enabled && leader->features->singleton_roles.is_enabled &&
        membership_all_nodes_support(leader->membership, NODE_VERSION_SINGLETON_ROLES))
        enable_singleton_roles(leader);
    else if (is_enabled && !is_requested &&
             role_manager_may_act(leader->role_manager, ROLE_AUTOSCALER) &&
             cloud_provider_is_settled(leader->cloud))
        disable_singleton_roles(leader);
}
