#include "feature_switch.h"

#include "log.h"

static void switched(void *arg, const struct txn_outcome *outcome)
{
    (void)outcome; /* the view tells */
    ((struct leader *)arg)->switching = false;
}

static void send(struct leader *leader, struct txn *txn)
{
    leader->switching = true;
    store_txn(leader->store, LANE_NORMAL, txn, switched, leader);
}

static struct txn *txn_of_leader(const struct leader *leader)
{
    struct txn *txn = txn_new();
    txn_when(txn, KEY_LEADER, leader->view->leader_stamp);
    txn_when(txn, KEY_FEATURES, leader->view->features_stamp);
    return txn;
}

static void switch_on(struct leader *leader)
{
    struct txn *txn = txn_of_leader(leader);
    json_object *value = json_object_new_object();
    json_put_flag(value, "duties", true);
    txn_set(txn, KEY_FEATURES, value, (lease_id){0});
    LOG_INFO("duties_on", "nodes=%u", g_hash_table_size(leader->view->nodes));
    send(leader, txn);
}

/* The pages of intents are empty by now; what is left of them goes with the switch. */
static void remove_pages(struct leader *leader, struct txn *txn)
{
    GPtrArray *pages = duty_table_pages(leader->view->duties, DUTY_FLEET);
    int most = store_limits(leader->store)->txn_ops;
    for (guint i = 0; i < pages->len && (int)txn_writes(txn) < most; i++) {
        const struct intent_page *page = pages->pdata[i];
        char *key = key_intents(page->duty, page->number);
        txn_when(txn, key, page->stamp);
        txn_remove(txn, key);
        g_free(key);
    }
    g_ptr_array_unref(pages);
}

/* Under the token of the fleet: nothing can be recorded by anybody once the switch is off. The
 * record of the duty goes, too, so that what its holder sent to the pages is refused from now on.
 */
static void switch_off(struct leader *leader)
{
    struct txn *txn = txn_of_leader(leader);
    duties_guard(leader->duties, DUTY_FLEET, txn);
    txn_remove(txn, KEY_FEATURES);
    char *key = key_duty(DUTY_FLEET);
    txn_remove(txn, key);
    g_free(key);
    remove_pages(leader, txn);
    LOG_INFO("duties_off", "nodes=%u", g_hash_table_size(leader->view->nodes));
    send(leader, txn);
}

static bool anybody_wants(const struct leader *leader)
{
    GHashTableIter it;
    struct node_record *node;
    g_hash_table_iter_init(&it, leader->view->nodes);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&node))
        if (node->wants_duties)
            return true;
    return false;
}

void leader_switch(struct leader *leader)
{
    bool on = leader->view->duties_on, wanted = anybody_wants(leader);
    fleet_hold(leader->fleet, on && !wanted);
    /* Machines that were closed to be returned are open again in a new epoch. */
    if (leader->duties_seen_on && !on)
        membership_raise(leader->members, "duties are off");
    leader->duties_seen_on = on;
    if (leader->switching || !membership_leads(leader->members))
        return;
    if (!on && leader->features->duties.enabled &&
        membership_all_understand(leader->members, NODE_VERSION_DUTIES))
        switch_on(leader);
    else if (on && !wanted && duties_may_act(leader->duties, DUTY_FLEET) &&
             fleet_settled(leader->fleet))
        switch_off(leader);
}
