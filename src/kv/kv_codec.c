/** Codec of the key-value store's protocol: see kv_codec.h. */
#include "kv_codec.h"

/* Field names and values of the protocol. */
static const char FIELD_REVISION[] = "Ledger";
static const char FIELD_KEY[] = "K";
static const char FIELD_VALUE[] = "V";
static const char FIELD_MOD_REVISION[] = "Stamp";
static const char FIELD_LEASE[] = "Mooring";
static const char FIELD_TTL_MS[] = "TtlMs";
static const char FIELD_ITEMS[] = "Items";
static const char FIELD_MORE[] = "More";
static const char FIELD_EVENTS[] = "News";
static const char FIELD_PUT[] = "Set";
static const char FIELD_DELETE[] = "Remove";
static const char FIELD_COMPARES[] = "When";
static const char FIELD_WRITES[] = "Writes";
static const char FIELD_FAILED_KEYS[] = "failed";
static const char FIELD_ERROR[] = "error";
static const char ERROR_LEASE_EXPIRED[] = "no such lease";

static GArray *items_new(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct kv_item));
}

json_object *kv_parse_response(const struct http_response *response)
{
    return response->status == HTTP_STATUS_OK ? json_parse(response->body, response->body_bytes)
                                              : NULL;
}

bool kv_decode_revision(json_object *body, revision *at_revision)
{
    return json_get_u64(body, FIELD_REVISION, &at_revision->value);
}

bool kv_decode_value(json_object *body, json_object **value, revision *mod_revision)
{
    *value = NULL;
    json_object_object_get_ex(body, FIELD_VALUE, value);
    return *value && json_get_u64(body, FIELD_MOD_REVISION, &mod_revision->value);
}

bool kv_decode_range(json_object *body, GArray **items, revision *at_revision, bool *has_more)
{
    json_object *list = json_get_array(body, FIELD_ITEMS);
    if (!list || !kv_decode_revision(body, at_revision) ||
        !json_get_bool(body, FIELD_MORE, has_more))
        return false;
    *items = items_new();
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *entry = json_object_array_get_idx(list, i);
        struct kv_item item = {0};
        if (json_get_string(entry, FIELD_KEY, &item.key) &&
            kv_decode_value(entry, &item.value, &item.mod_revision))
            g_array_append_val(*items, item);
    }
    return true;
}

static bool decode_event(json_object *event, struct kv_item *item)
{
    if (!json_get_u64(event, FIELD_MOD_REVISION, &item->mod_revision.value))
        return false;
    if (!json_get_string(event, FIELD_PUT, &item->key))
        return json_get_string(event, FIELD_DELETE, &item->key);
    return json_object_object_get_ex(event, FIELD_VALUE, &item->value) && item->value;
}

bool kv_decode_watch(json_object *body, GArray **items, revision *at_revision)
{
    json_object *list = json_get_array(body, FIELD_EVENTS);
    if (!list || !kv_decode_revision(body, at_revision))
        return false;
    *items = items_new();
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct kv_item item = {0};
        if (decode_event(json_object_array_get_idx(list, i), &item))
            g_array_append_val(*items, item);
    }
    return true;
}

char *kv_encode_lease_request(int ttl_ms)
{
    return g_strdup_printf("{\"%s\":%d}", FIELD_TTL_MS, ttl_ms);
}

bool kv_decode_lease(json_object *body, lease_id *lease)
{
    return json_get_u64(body, FIELD_LEASE, &lease->value);
}

GPtrArray *kv_decode_failed_keys(json_object *body)
{
    GPtrArray *keys = g_ptr_array_new();
    json_object *list = json_get_array(body, FIELD_FAILED_KEYS);
    for (size_t i = 0; list && i < json_object_array_length(list); i++)
        g_ptr_array_add(keys, (char *)json_object_get_string(json_object_array_get_idx(list, i)));
    return keys;
}

bool kv_is_lease_expired(json_object *body)
{
    const char *error = "";
    return json_get_string(body, FIELD_ERROR, &error) && strcmp(error, ERROR_LEASE_EXPIRED) == 0;
}

json_object *kv_encode_compare(const char *key, revision mod_revision)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_KEY, key);
    json_put_u64(object, FIELD_MOD_REVISION, mod_revision.value);
    return object;
}

json_object *kv_encode_put(const char *key, json_object *value, lease_id lease)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_PUT, key);
    json_object_object_add(object, FIELD_VALUE, value);
    if (lease.value)
        json_put_u64(object, FIELD_LEASE, lease.value);
    return object;
}

json_object *kv_encode_delete(const char *key)
{
    json_object *object = json_object_new_object();
    json_put_string(object, FIELD_DELETE, key);
    return object;
}

json_object *kv_encode_txn(json_object *compares, json_object *writes)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, FIELD_COMPARES, json_object_get(compares));
    json_object_object_add(object, FIELD_WRITES, json_object_get(writes));
    return object;
}
