#include "log.h"
#include "replica_internal.h"

void view_node_free(gpointer p)
{
    struct node_record *node_record = p;
    g_free(node_record->label);
    g_free(node_record);
}

void view_map_entry_clear(gpointer p)
{
    g_free(((struct map_entry *)p)->label);
}

void view_apply_node(struct view *view, const char *label, json_object *value, revision stamp)
{
    view->node_changes++;
    if (!value) {
        g_hash_table_remove(view->nodes, label);
    } else {
        struct node_record *node_record = g_new0(struct node_record, 1);
        node_record->label = g_strdup(label);
        node_record->stamp = stamp;
        json_u64(value, "i", &node_record->incarnation.v);
        view_copy_text(value, "b", node_record->back, sizeof node_record->back);
        json_u64(value, "v", &node_record->version);
        json_flag(value, "duties", &node_record->wants_duties);
        g_hash_table_replace(view->nodes, node_record->label, node_record);
    }
    view_note_change(view, (struct change){.kind = CHANGE_NODES});
}

void view_apply_version(struct view *view, const char *label, json_object *value)
{
    uint64_t version = 0;
    view->node_changes++;
    if (json_u64(value, "v", &version))
        g_hash_table_replace(view->spoken, g_strdup(label), GUINT_TO_POINTER((guint)version));
    else
        g_hash_table_remove(view->spoken, label);
    view_note_change(view, (struct change){.kind = CHANGE_NODES});
}

void view_apply_leader(struct view *view, json_object *value, revision stamp)
{
    const char *label = NULL;
    g_free(view->leader);
    view->leader = NULL;
    view->leader_incarnation.v = 0;
    view->leader_stamp = value ? stamp : (revision){0};
    if (value && json_text(value, "n", &label)) {
        view->leader = g_strdup(label);
        json_u64(value, "i", &view->leader_incarnation.v);
    }
    view_note_change(view, (struct change){.kind = CHANGE_LEADER});
}

void view_apply_map(struct view *view, json_object *value, revision stamp)
{
    json_object *list = json_list(value, "n");
    uint64_t epoch = 0;
    if (!list || !json_u64(value, "e", &epoch)) {
        LOG_ERROR("map_unreadable", "stamp=%" G_GUINT64_FORMAT, stamp.v);
        return;
    }
    view->epoch.v = epoch;
    view->map_stamp = stamp;
    g_array_set_size(view->map, 0);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *object = json_object_array_get_idx(list, i);
        const char *label;
        struct map_entry entry = {0};
        if (!json_text(object, "n", &label) || !json_u64(object, "i", &entry.incarnation.v))
            continue;
        entry.label = g_strdup(label);
        g_array_append_val(view->map, entry);
    }
    log_set_epoch(epoch);
    view_note_change(view, (struct change){.kind = CHANGE_MAP});
}

void view_apply_features(struct view *view, json_object *value, revision stamp)
{
    view->duties_on = false;
    json_flag(value, "duties", &view->duties_on);
    view->features_stamp = value ? stamp : (revision){0};
    view_note_change(view, (struct change){.kind = CHANGE_DUTIES});
}

void view_apply_duty(struct view *view, const char *key, json_object *value, revision stamp)
{
    GPtrArray *machines = g_ptr_array_new_with_free_func(g_free);
    if (duty_table_apply(view->duties, key, value, stamp, machines))
        view_note_change(view, (struct change){.kind = CHANGE_DUTIES});
    for (guint i = 0; i < machines->len; i++) {
        struct change change = {.kind = CHANGE_RETURNING};
        if (host_id_from(&change.host, machines->pdata[i]))
            view_note_change(view, change);
    }
    g_ptr_array_unref(machines);
}

struct type_part {
    json_object *value;
    revision stamp;
};

void view_type_part_free(gpointer q)
{
    struct type_part *part = q;
    json_object_put(part->value);
    g_free(part);
}

/* The parts of a list that is too long for one value are written together: those that were not
 * belong to an earlier one. */
void view_apply_types(struct view *view, const char *key, json_object *value, revision stamp)
{
    if (!value) {
        g_hash_table_remove(view->type_parts, key);
        return;
    }
    struct type_part *part = g_new(struct type_part, 1);
    *part = (struct type_part){json_object_get(value), stamp};
    g_hash_table_replace(view->type_parts, g_strdup(key), part);
    struct type_part *first = g_hash_table_lookup(view->type_parts, KEY_TYPES);
    uint64_t more = 0;
    json_u64(first ? first->value : NULL, "more", &more);
    json_object *whole = json_object_new_object(), *list = json_object_new_array();
    bool all = first != NULL;
    for (uint64_t i = 0; all && i <= more; i++) {
        char *name = i ? g_strdup_printf(KEY_TYPES "/%" G_GUINT64_FORMAT, i) : g_strdup(KEY_TYPES);
        struct type_part *x = g_hash_table_lookup(view->type_parts, name);
        json_object *some = x ? json_list(x->value, "Builds") : NULL;
        all = some && x->stamp.v == first->stamp.v;
        for (size_t k = 0; all && k < json_object_array_length(some); k++)
            json_object_array_add(list, json_object_get(json_object_array_get_idx(some, k)));
        g_free(name);
    }
    json_object_object_add(whole, "Builds", list);
    GArray *types = all ? codec_types_read(whole) : NULL;
    json_object_put(whole);
    if (!types)
        return;
    if (view->types)
        g_array_unref(view->types);
    view->types = types;
    view_note_change(view, (struct change){.kind = CHANGE_TYPES});
}
