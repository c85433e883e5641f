/** Records of the cluster: live nodes, the leader, the shard map, features and singleton roles. */
#include "invariant.h"
#include "log.h"
#include "replica_internal.h"
#include "stored_fields.h"

static void add_event(struct replica *replica, enum replica_event_kind kind)
{
    replica_add_event(replica, (struct replica_event){.kind = kind});
}

/* ---- nodes ---- */

void replica_node_free(gpointer pointer)
{
    struct node_record *node = pointer;
    g_free(node->label);
    g_free(node);
}

static struct node_record *decode_node(const struct key_update *update)
{
    struct node_record *node = g_new0(struct node_record, 1);
    node->label = g_strdup(update->name);
    node->mod_revision = update->mod_revision;
    json_get_u64(update->value, NODE_FIELD_INCARNATION, &node->incarnation.value);
    replica_copy_string(update->value, NODE_FIELD_RPC_ADDRESS, node->rpc_address,
                        sizeof node->rpc_address);
    json_get_u64(update->value, NODE_FIELD_VERSION, &node->supported_version);
    json_get_bool(update->value, NODE_FIELD_SINGLETON_ROLES, &node->wants_singleton_roles);
    return node;
}

void replica_apply_node(struct replica *replica, const struct key_update *update)
{
    replica->node_change_count++;
    if (update->value) {
        struct node_record *node = decode_node(update);
        g_hash_table_replace(replica->nodes, node->label, node);
    } else {
        g_hash_table_remove(replica->nodes, update->name);
    }
    add_event(replica, REPLICA_EVENT_NODES);
}

void replica_apply_version(struct replica *replica, const struct key_update *update)
{
    uint64_t version = 0;
    replica->node_change_count++;
    if (json_get_u64(update->value, NODE_FIELD_VERSION, &version))
        g_hash_table_replace(replica->announced_versions, g_strdup(update->name),
                             GUINT_TO_POINTER((guint)version));
    else
        g_hash_table_remove(replica->announced_versions, update->name);
    add_event(replica, REPLICA_EVENT_NODES);
}

/* ---- the leader and the shard map ---- */

void replica_apply_leader(struct replica *replica, const struct key_update *update)
{
    const char *label = NULL;
    g_clear_pointer(&replica->leader_label, g_free);
    replica->leader_incarnation.value = 0;
    replica->leader_mod_revision = update->value ? update->mod_revision : (revision){0};
    if (json_get_string(update->value, PROCESS_FIELD_LABEL, &label)) {
        replica->leader_label = g_strdup(label);
        json_get_u64(update->value, PROCESS_FIELD_INCARNATION, &replica->leader_incarnation.value);
    }
    add_event(replica, REPLICA_EVENT_LEADER);
}

void shard_map_entry_clear(gpointer pointer)
{
    struct shard_map_entry *entry = pointer;
    g_free(entry->label);
}

/** Decodes the nodes of the shard map; skips malformed entries. */
static void decode_shard_map_nodes(GArray *shard_map, json_object *nodes)
{
    g_array_set_size(shard_map, 0);
    for (size_t i = 0; i < json_object_array_length(nodes); i++) {
        json_object *node = json_object_array_get_idx(nodes, i);
        const char *label;
        struct shard_map_entry entry = {0};
        if (!json_get_string(node, PROCESS_FIELD_LABEL, &label) ||
            !json_get_u64(node, PROCESS_FIELD_INCARNATION, &entry.incarnation.value))
            continue;
        entry.label = g_strdup(label);
        g_array_append_val(shard_map, entry);
    }
}

void replica_apply_shard_map(struct replica *replica, const struct key_update *update)
{
    json_object *nodes = json_get_array(update->value, SHARD_MAP_FIELD_NODES);
    uint64_t epoch = 0;
    if (!nodes || !json_get_u64(update->value, SHARD_MAP_FIELD_EPOCH, &epoch)) {
        LOG_ERROR("shard_map_malformed", "mod_revision=%" G_GUINT64_FORMAT,
                  update->mod_revision.value);
        return;
    }
    if (!invariant_check(INVARIANT_TOKEN_ORDER, epoch >= replica->shard_map_epoch.value,
                         "epoch=%" G_GUINT64_FORMAT " earlier=%" G_GUINT64_FORMAT, epoch,
                         replica->shard_map_epoch.value))
        return;
    replica->shard_map_epoch.value = epoch;
    replica->shard_map_mod_revision = update->mod_revision;
    replica->has_token_serials = false;
    json_get_bool(update->value, SHARD_MAP_FIELD_TOKEN_SERIALS, &replica->has_token_serials);
    decode_shard_map_nodes(replica->shard_map, nodes);
    log_set_epoch(epoch);
    add_event(replica, REPLICA_EVENT_SHARD_MAP);
}

/* ---- features and singleton roles ---- */

void replica_apply_features(struct replica *replica, const struct key_update *update)
{
    replica->singleton_roles_enabled = false;
    json_get_bool(update->value, FEATURES_FIELD_SINGLETON_ROLES, &replica->singleton_roles_enabled);
    replica->features_mod_revision = update->value ? update->mod_revision : (revision){0};
    add_event(replica, REPLICA_EVENT_SINGLETON_ROLES);
}

void replica_apply_singleton_role(struct replica *replica, const struct key_update *update)
{
    GPtrArray *machines = g_ptr_array_new_with_free_func(g_free);
    if (role_records_apply(replica->singleton_roles, update->key, update->value,
                           update->mod_revision, machines))
        add_event(replica, REPLICA_EVENT_SINGLETON_ROLES);
    for (guint i = 0; i < machines->len; i++) {
        struct replica_event event = {.kind = REPLICA_EVENT_MACHINE_RETURN};
        if (machine_id_parse(&event.machine, machines->pdata[i]))
            replica_add_event(replica, event);
    }
    g_ptr_array_unref(machines);
}
