/**
 * @file
 * Decides which singleton roles this node claims, releases or hands over.
 */
#include "role_assigner.h"

/** The interval at which the role assignment is checked, besides whenever the replica changes. */
enum { TICK_MS = 200 };

struct role_assigner {
    struct actor actor;
    struct loop *loop;
    struct replica *replica;
    struct membership *membership;
    const struct settings *settings;
    struct role_manager *role_manager;
    struct timer tick_timer;
};

static lease_id get_own_lease(void *ctx)
{
    return membership_get_incarnation(((struct role_assigner *)ctx)->membership);
}

static bool lease_is_valid(void *ctx)
{
    return membership_has_valid_lease(((struct role_assigner *)ctx)->membership);
}

static void await_replica_revision(void *ctx, revision revision_needed,
                                   role_revision_callback callback, void *arg)
{
    struct role_assigner *assigner = ctx;
    replica_await_revision_or_newest(assigner->replica, revision_needed, callback, arg);
}

/**
 * Adds the conditions of a claim to its transaction: singleton roles are still enabled and, for the
 * autoscaler role, the leader is still the same.
 */
static void add_claim_compares(void *ctx, enum singleton_role role, struct txn *txn)
{
    struct role_assigner *assigner = ctx;
    txn_compare(txn, KEY_FEATURES, assigner->replica->features_mod_revision);
    if (role == ROLE_AUTOSCALER)
        txn_compare(txn, KEY_LEADER, assigner->replica->leader_mod_revision);
}

/**
 * Returns the label of the node that should hold the garbage collector role: the first live node in
 * the shard map that is not the leader. If there is none, returns the leader, or NULL if there is
 * no leader either.
 */
static const char *choose_garbage_collector(const struct role_assigner *assigner)
{
    const struct replica *replica = assigner->replica;
    for (guint i = 0; i < replica->shard_map->len; i++) {
        const char *label = g_array_index(replica->shard_map, struct shard_map_entry, i).label;
        bool is_leader = replica->leader_label && strcmp(label, replica->leader_label) == 0;
        if (!is_leader && g_hash_table_contains(replica->nodes, label))
            return label;
    }
    return replica->leader_label;
}

static void assign_autoscaler(struct role_assigner *assigner)
{
    if (membership_is_recorded_leader(assigner->membership))
        role_manager_claim(assigner->role_manager, ROLE_AUTOSCALER);
    else
        role_manager_release(assigner->role_manager, ROLE_AUTOSCALER);
}

static void hand_over_garbage_collector(struct role_assigner *assigner, const char *label)
{
    const struct node_record *node = g_hash_table_lookup(assigner->replica->nodes, label);
    struct role_holder successor = {.incarnation = node->incarnation};
    g_strlcpy(successor.label, label, sizeof successor.label);
    role_manager_hand_over(assigner->role_manager, ROLE_GARBAGE_COLLECTOR, &successor);
}

static void assign_garbage_collector(struct role_assigner *assigner)
{
    const char *chosen = choose_garbage_collector(assigner);
    if (chosen && strcmp(chosen, assigner->settings->label) == 0)
        role_manager_claim(assigner->role_manager, ROLE_GARBAGE_COLLECTOR);
    else if (chosen && g_hash_table_contains(assigner->replica->nodes, chosen) &&
             role_manager_holds(assigner->role_manager, ROLE_GARBAGE_COLLECTOR))
        hand_over_garbage_collector(assigner, chosen);
    else
        role_manager_release(assigner->role_manager, ROLE_GARBAGE_COLLECTOR);
}

/** Claims, releases or hands over the roles as the replica requires. */
static void reconcile(struct role_assigner *assigner)
{
    if (assigner->replica->is_ready)
        role_manager_reconcile(assigner->role_manager);
    if (!assigner->replica->singleton_roles_enabled) {
        for (int i = 0; i < ROLE_COUNT; i++)
            role_manager_release(assigner->role_manager, (enum singleton_role)i);
    } else if (membership_is_visible(assigner->membership)) {
        assign_autoscaler(assigner);
        assign_garbage_collector(assigner);
    }
}

static void on_message(struct actor *self, const struct message *message)
{
    if (message->kind == MSG_REPLICA_EVENTS)
        reconcile((struct role_assigner *)self);
}

static void on_tick(void *arg)
{
    struct role_assigner *assigner = arg;
    timer_start(assigner->loop, &assigner->tick_timer, TICK_MS);
    reconcile(assigner);
}

struct role_assigner *role_assigner_new(struct loop *loop, struct kv_client *kv,
                                        struct replica *replica, struct membership *membership,
                                        const struct settings *settings)
{
    struct role_assigner *assigner = g_new0(struct role_assigner, 1);
    assigner->actor = (struct actor){"role_assigner", on_message};
    assigner->loop = loop;
    assigner->replica = replica;
    assigner->membership = membership;
    assigner->settings = settings;
    const struct role_manager_config config = {.loop = loop,
                                               .kv = kv,
                                               .records = replica->singleton_roles,
                                               .label = settings->label,
                                               .ctx = assigner,
                                               .get_lease = get_own_lease,
                                               .lease_is_valid = lease_is_valid,
                                               .await_revision = await_replica_revision,
                                               .add_claim_compares = add_claim_compares};
    assigner->role_manager = role_manager_new(&config);
    timer_init(&assigner->tick_timer, on_tick, assigner);
    replica_add_listener(replica, &assigner->actor);
    return assigner;
}

void role_assigner_free(struct role_assigner *assigner)
{
    timer_stop(assigner->loop, &assigner->tick_timer);
    role_manager_free(assigner->role_manager);
    g_free(assigner);
}

void role_assigner_start(struct role_assigner *assigner)
{
    on_tick(assigner);
}

struct role_manager *role_assigner_get_manager(struct role_assigner *assigner)
{
    return assigner->role_manager;
}
