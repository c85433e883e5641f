/**
 * Machine types: the values of ll/types and of its continuations ll/types/1 and so on.
 *
 * All parts of the list are written in one transaction, so parts that belong together have the same
 * revision.
 */
#include "replica_internal.h"
#include "stored_fields.h"

/** A part of the list: the value of one of the keys. */
struct machine_type_part {
    json_object *value;
    revision mod_revision;
};

void machine_type_part_free(gpointer pointer)
{
    struct machine_type_part *part = pointer;
    json_object_put(part->value);
    g_free(part);
}

/** Returns a part of the list, or NULL if it was not read yet. Part 0 is the value of ll/types. */
static const struct machine_type_part *find_part(struct replica *replica, uint64_t number)
{
    char *key = number ? g_strdup_printf(KEY_MACHINE_TYPES "/%" G_GUINT64_FORMAT, number)
                       : g_strdup(KEY_MACHINE_TYPES);
    const struct machine_type_part *part =
        g_hash_table_lookup(replica->internal->machine_type_parts, key);
    g_free(key);
    return part;
}

/**
 * Appends the types of all parts to an array. Returns false if a part is missing or has another
 * revision than the first.
 */
static bool append_types_of_all_parts(struct replica *replica, json_object *types)
{
    const struct machine_type_part *first = find_part(replica, 0);
    uint64_t continuation_count = 0;
    if (!first)
        return false;
    json_get_u64(first->value, MACHINE_TYPES_FIELD_CONTINUATIONS, &continuation_count);
    for (uint64_t number = 0; number <= continuation_count; number++) {
        const struct machine_type_part *part = find_part(replica, number);
        json_object *part_types =
            part ? json_get_array(part->value, MACHINE_TYPES_FIELD_TYPES) : NULL;
        if (!part_types || part->mod_revision.value != first->mod_revision.value)
            return false;
        for (size_t i = 0; i < json_object_array_length(part_types); i++)
            json_object_array_add(types, json_object_get(json_object_array_get_idx(part_types, i)));
    }
    return true;
}

/** Decodes the complete list. Returns NULL if it is incomplete or malformed. */
static GArray *decode_complete_list(struct replica *replica)
{
    json_object *list = json_object_new_object(), *types = json_object_new_array();
    bool is_complete = append_types_of_all_parts(replica, types);
    json_object_object_add(list, MACHINE_TYPES_FIELD_TYPES, types);
    GArray *machine_types = is_complete ? machine_types_decode(list) : NULL;
    json_object_put(list);
    return machine_types;
}

void replica_apply_machine_types(struct replica *replica, const struct key_update *update)
{
    if (strcmp(update->key, KEY_MACHINE_TYPES) == 0)
        replica->machine_types_mod_revision = update->value ? update->mod_revision : (revision){0};
    GHashTable *parts = replica->internal->machine_type_parts;
    if (!update->value) {
        g_hash_table_remove(parts, update->key);
        return;
    }
    struct machine_type_part *part = g_new(struct machine_type_part, 1);
    *part = (struct machine_type_part){json_object_get(update->value), update->mod_revision};
    g_hash_table_replace(parts, g_strdup(update->key), part);
    GArray *machine_types = decode_complete_list(replica);
    if (!machine_types)
        return;
    if (replica->machine_types)
        g_array_unref(replica->machine_types);
    replica->machine_types = machine_types;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_MACHINE_TYPES});
}
