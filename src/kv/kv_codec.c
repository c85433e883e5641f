#include "kv_codec.h"

static GArray *items_new(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct state_item));
}

bool codec_state_read_revision(json_object *body, revision *at)
{
    return json_u64(body, "Ledger", &at->v);
}

bool codec_state_read_key(json_object *body, json_object **value, revision *stamp)
{
    *value = NULL;
    json_object_object_get_ex(body, "V", value);
    return *value && json_u64(body, "Stamp", &stamp->v);
}

bool codec_state_read_page(json_object *body, GArray **items, revision *at, bool *more)
{
    json_object *list = json_list(body, "Items");
    if (!list || !codec_state_read_revision(body, at) || !json_flag(body, "More", more))
        return false;
    *items = items_new();
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *entry = json_object_array_get_idx(list, i);
        struct state_item item = {0};
        if (json_text(entry, "K", &item.key) &&
            codec_state_read_key(entry, &item.value, &item.stamp))
            g_array_append_val(*items, item);
    }
    return true;
}

static bool read_change(json_object *change, struct state_item *item)
{
    if (!json_u64(change, "Stamp", &item->stamp.v))
        return false;
    if (!json_text(change, "Set", &item->key))
        return json_text(change, "Remove", &item->key);
    return json_object_object_get_ex(change, "V", &item->value) && item->value;
}

bool codec_state_read_changes(json_object *body, GArray **items, revision *at)
{
    json_object *list = json_list(body, "News");
    if (!list || !codec_state_read_revision(body, at))
        return false;
    *items = items_new();
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct state_item item = {0};
        if (read_change(json_object_array_get_idx(list, i), &item))
            g_array_append_val(*items, item);
    }
    return true;
}

bool codec_state_read_lease(json_object *body, lease_id *lease)
{
    return json_u64(body, "Mooring", &lease->v);
}

GPtrArray *codec_state_read_failed(json_object *body)
{
    GPtrArray *keys = g_ptr_array_new();
    json_object *list = json_list(body, "failed");
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        g_ptr_array_add(keys, (char *)json_object_get_string(json_object_array_get_idx(list, i)));
    return keys;
}

bool codec_state_lease_is_over(json_object *body)
{
    const char *error = "";
    return json_text(body, "error", &error) && strcmp(error, "no such lease") == 0;
}

json_object *codec_state_condition(const char *key, revision stamp)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "K", key);
    json_put_u64(object, "Stamp", stamp.v);
    return object;
}

json_object *codec_state_set(const char *key, json_object *value, lease_id lease)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Set", key);
    json_object_object_add(object, "V", value);
    if (lease.v)
        json_put_u64(object, "Mooring", lease.v);
    return object;
}

json_object *codec_state_remove(const char *key)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "Remove", key);
    return object;
}

json_object *codec_state_txn(json_object *conditions, json_object *writes)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "When", json_object_get(conditions));
    json_object_object_add(object, "Writes", json_object_get(writes));
    return object;
}
