#include "image_cache.h"
#include "replica_internal.h"

void view_host_free(gpointer p)
{
    struct host_record *record = p;
    g_ptr_array_unref(record->tasks);
    g_ptr_array_unref(record->images);
    g_free(record->about);
    g_free(record);
}

void view_inventory_free(gpointer p)
{
    struct inventory *inventory = p;
    g_ptr_array_unref(inventory->hosts);
    g_free(inventory->key);
    g_free(inventory->label);
    g_free(inventory);
}

struct host_record *view_host_make(struct view *view, const char *id)
{
    struct host_record *record = view_host(view, id);
    if (record)
        return record;
    host_id hid;
    if (!host_id_from(&hid, id))
        return NULL;
    record = g_new0(struct host_record, 1);
    record->id = hid;
    record->tasks = g_ptr_array_new_with_free_func(g_free);
    record->images = images_new();
    g_hash_table_insert(view->hosts, record->id.s, record);
    return record;
}

void view_host_leave(struct view *view, struct host_record *record)
{
    if (!record->tasks->len && !record->stamp.v && !record->inventory)
        g_hash_table_remove(view->hosts, record->id.s);
}

/* {"a":ADDRESS,"b":TYPE,"y":ZONE,"l":SPOT,"i":[IMAGE...]} */
void view_apply_host(struct view *view, const char *id, json_object *value, revision stamp)
{
    struct host_record *record = value ? view_host_make(view, id) : view_host(view, id);
    if (!record)
        return;
    view_note_change(view, (struct change){.kind = CHANGE_HOST, .host = record->id});
    record->stamp = value ? stamp : (revision){0};
    if (!value) {
        view_host_leave(view, record);
        return;
    }
    view_copy_text(value, "a", record->addr, sizeof record->addr);
    view_copy_text(value, "b", record->type_name, sizeof record->type_name);
    view_copy_text(value, "y", record->zone, sizeof record->zone);
    json_flag(value, "l", &record->spot);
    g_clear_pointer(&record->about, g_free);
    json_object *list = json_list(value, "i");
    g_ptr_array_set_size(record->images, 0);
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        images_add(record->images, json_object_get_string(json_object_array_get_idx(list, i)));
}

const char *view_about(struct view *view, const char *host)
{
    struct host_record *record = view_host(view, host);
    if (!record || record->stamp.v || record->inventory)
        return NULL;
    if (!record->about)
        record->about = machine_about(record->addr, record->type_name, record->zone, record->spot);
    return record->about;
}

void view_host_read_about(struct host_record *record, const char *about)
{
    char **part = g_strsplit(about, ",", -1);
    if (!record->stamp.v && g_strv_length(part) == 4) {
        g_strlcpy(record->addr, part[0], sizeof record->addr);
        g_strlcpy(record->type_name, part[1], sizeof record->type_name);
        g_strlcpy(record->zone, part[2], sizeof record->zone);
        record->spot = strcmp(part[3], "1") == 0;
        g_clear_pointer(&record->about, g_free);
    }
    g_strfreev(part);
}

struct inventory_reading {
    struct view *view;
    struct inventory *inventory;
};

static void read_inventory(void *ctx, host_id host, const char *about)
{
    struct inventory_reading *reading = ctx;
    struct host_record *record = view_host_make(reading->view, host.s);
    if (!record || record->inventory == reading->inventory)
        return;
    view_host_read_about(record, about);
    if (record->inventory)
        g_ptr_array_remove_fast(record->inventory->hosts, record);
    record->inventory = reading->inventory;
    g_ptr_array_add(reading->inventory->hosts, record);
}

void view_apply_inventory(struct view *view, const char *key, json_object *value, revision stamp)
{
    struct inventory *inventory = g_hash_table_lookup(view->inventories, key);
    const char *text = "";
    if (!inventory) {
        char *label;
        int number;
        if (!value || !key_page_parts(key, &label, &number))
            return;
        inventory = g_new0(struct inventory, 1);
        inventory->key = g_strdup(key);
        inventory->label = label;
        inventory->number = number;
        inventory->hosts = g_ptr_array_new();
        g_hash_table_insert(view->inventories, inventory->key, inventory);
    }
    inventory->stamp = stamp;
    GPtrArray *before = inventory->hosts;
    inventory->hosts = g_ptr_array_new();
    for (guint i = 0; i < before->len; i++)
        ((struct host_record *)before->pdata[i])->inventory = NULL;
    struct inventory_reading reading = {view, inventory};
    json_text(value, "a", &text);
    page_read_about(text, read_inventory, &reading);
    for (guint i = 0; i < before->len; i++)
        view_host_leave(view, before->pdata[i]);
    g_ptr_array_unref(before);
    struct change change = {.kind = CHANGE_INVENTORY};
    g_strlcpy(change.page, key, sizeof change.page);
    view_note_change(view, change);
    if (!value)
        g_hash_table_remove(view->inventories, key);
}
