#include "log.h"
#include "replica_internal.h"

void replica_node_free(gpointer p)
{
    struct node_record *node = p;
    g_free(node->label);
    g_free(node);
}

void shard_map_entry_clear(gpointer p)
{
    g_free(((struct shard_map_entry *)p)->label);
}

void replica_apply_node(struct replica *replica, const char *label, json_object *value,
                        revision mod_revision)
{
    replica->node_change_count++;
    if (!value) {
        g_hash_table_remove(replica->nodes, label);
    } else {
        struct node_record *node = g_new0(struct node_record, 1);
        node->label = g_strdup(label);
        node->mod_revision = mod_revision;
        json_get_u64(value, "i", &node->incarnation.value);
        replica_copy_text(value, "b", node->rpc_address, sizeof node->rpc_address);
        json_get_u64(value, "v", &node->understood_version);
        json_get_bool(value, "duties", &node->wants_singleton_roles);
        g_hash_table_replace(replica->nodes, node->label, node);
    }
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_NODES});
}

void replica_apply_version(struct replica *replica, const char *label, json_object *value)
{
    uint64_t version = 0;
    replica->node_change_count++;
    if (json_get_u64(value, "v", &version))
        g_hash_table_replace(replica->announced_versions, g_strdup(label),
                             GUINT_TO_POINTER((guint)version));
    else
        g_hash_table_remove(replica->announced_versions, label);
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_NODES});
}

void replica_apply_leader(struct replica *replica, json_object *value, revision mod_revision)
{
    const char *label = NULL;
    g_free(replica->leader_label);
    replica->leader_label = NULL;
    replica->leader_incarnation.value = 0;
    replica->leader_mod_revision = value ? mod_revision : (revision){0};
    if (value && json_get_text(value, "n", &label)) {
        replica->leader_label = g_strdup(label);
        json_get_u64(value, "i", &replica->leader_incarnation.value);
    }
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_LEADER});
}

void replica_apply_shard_map(struct replica *replica, json_object *value, revision mod_revision)
{
    json_object *list = json_get_array(value, "n");
    uint64_t epoch = 0;
    if (!list || !json_get_u64(value, "e", &epoch)) {
        LOG_ERROR("map_unreadable", "stamp=%" G_GUINT64_FORMAT, mod_revision.value);
        return;
    }
    replica->shard_map_epoch.value = epoch;
    replica->shard_map_mod_revision = mod_revision;
    g_array_set_size(replica->shard_map, 0);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        const char *label;
        struct shard_map_entry entry = {0};
        if (!json_get_text(object, "n", &label) ||
            !json_get_u64(object, "i", &entry.incarnation.value))
            continue;
        entry.label = g_strdup(label);
        g_array_append_val(replica->shard_map, entry);
    }
    log_set_epoch(epoch);
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_SHARD_MAP});
}

void replica_apply_features(struct replica *replica, json_object *value, revision mod_revision)
{
    replica->singleton_roles_enabled = false;
    json_get_bool(value, "duties", &replica->singleton_roles_enabled);
    replica->features_mod_revision = value ? mod_revision : (revision){0};
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_SINGLETON_ROLES});
}

void replica_apply_singleton_role(struct replica *replica, const char *key, json_object *value,
                                  revision mod_revision)
{
    GPtrArray *machines = g_ptr_array_new_with_free_func(g_free);
    if (role_records_apply(replica->singleton_roles, key, value, mod_revision, machines))
        replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_SINGLETON_ROLES});
    for (guint i = 0; i < machines->len; i++) {
        struct replica_event event = {.kind = REPLICA_EVENT_MACHINE_RETURN};
        if (machine_id_parse(&event.machine, machines->pdata[i]))
            replica_add_event(replica, event);
    }
    g_ptr_array_unref(machines);
}

struct machine_type_part {
    json_object *value;
    revision mod_revision;
};

void machine_type_part_free(gpointer q)
{
    struct machine_type_part *part = q;
    json_object_put(part->value);
    g_free(part);
}

/* The parts of a list that is too long for one value are written together: those that were not
 * belong to an earlier one. */
void replica_apply_machine_types(struct replica *replica, const char *key, json_object *value,
                                 revision mod_revision)
{
    if (!value) {
        g_hash_table_remove(replica->machine_type_parts, key);
        return;
    }
    struct machine_type_part *part = g_new(struct machine_type_part, 1);
    *part = (struct machine_type_part){json_object_get(value), mod_revision};
    g_hash_table_replace(replica->machine_type_parts, g_strdup(key), part);
    struct machine_type_part *first = g_hash_table_lookup(replica->machine_type_parts, KEY_TYPES);
    uint64_t continuation_count = 0;
    json_get_u64(first ? first->value : NULL, "more", &continuation_count);
    json_object *joined = json_object_new_object(), *joined_types = json_object_new_array();
    bool is_complete = first != NULL;
    for (uint64_t i = 0; is_complete && i <= continuation_count; i++) {
        char *name = i ? g_strdup_printf(KEY_TYPES "/%" G_GUINT64_FORMAT, i) : g_strdup(KEY_TYPES);
        struct machine_type_part *continuation =
            g_hash_table_lookup(replica->machine_type_parts, name);
        json_object *part_types =
            continuation ? json_get_array(continuation->value, "Builds") : NULL;
        is_complete = part_types && continuation->mod_revision.value == first->mod_revision.value;
        for (size_t k = 0; is_complete && k < json_object_array_length(part_types); k++)
            json_object_array_add(joined_types,
                                  json_object_get(json_object_array_get_idx(part_types, k)));
        g_free(name);
    }
    json_object_object_add(joined, "Builds", joined_types);
    GArray *types = is_complete ? machine_types_decode(joined) : NULL;
    json_object_put(joined);
    if (!types)
        return;
    if (replica->machine_types)
        g_array_unref(replica->machine_types);
    replica->machine_types = types;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_MACHINE_TYPES});
}
