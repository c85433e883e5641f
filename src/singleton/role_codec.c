#include "role_codec.h"

#include <stdlib.h>

static const char *const names[ROLE_COUNT] = {"fleet", "cleanup"};

/* Of the array that describes a request to rent. */
enum scale_out_field {
    SCALE_OUT_REQUEST_ID,
    SCALE_OUT_MACHINE_TYPE,
    SCALE_OUT_ZONE,
    SCALE_OUT_IS_SPOT,
    SCALE_OUT_MACHINE_COUNT,
    SCALE_OUT_FIELD_COUNT
};

const char *singleton_role_name(enum singleton_role role)
{
    return names[role];
}

char *key_role(enum singleton_role role)
{
    return g_strconcat(KEY_ROLE_PREFIX, names[role], NULL);
}

char *key_intent_page(enum singleton_role role, int page)
{
    return g_strdup_printf(KEY_INTENT_PREFIX "%s/%d", names[role], page);
}

static bool find_role_by_name(const char *name, size_t len, enum singleton_role *role)
{
    for (int i = 0; i < ROLE_COUNT; i++)
        if (strlen(names[i]) == len && strncmp(names[i], name, len) == 0) {
            *role = (enum singleton_role)i;
            return true;
        }
    return false;
}

bool key_role_parse(const char *key, enum singleton_role *role)
{
    if (!g_str_has_prefix(key, KEY_ROLE_PREFIX))
        return false;
    const char *name = key + strlen(KEY_ROLE_PREFIX);
    return find_role_by_name(name, strlen(name), role);
}

bool key_intent_page_parse(const char *key, enum singleton_role *role, int *page)
{
    if (!g_str_has_prefix(key, KEY_INTENT_PREFIX))
        return false;
    const char *name = key + strlen(KEY_INTENT_PREFIX), *slash = strchr(name, '/');
    if (!slash || !find_role_by_name(name, (size_t)(slash - name), role))
        return false;
    *page = (int)strtol(slash + 1, NULL, 10);
    return *page >= 0;
}

json_object *role_holder_encode(const struct role_holder *holder)
{
    json_object *value = json_object_new_object();
    json_put_text(value, "n", holder->label);
    json_put_u64(value, "i", holder->incarnation.value);
    return value;
}

bool role_holder_decode(json_object *value, struct role_holder *out)
{
    return json_copy_text(value, "n", out->label, sizeof out->label) &&
           json_get_u64(value, "i", &out->incarnation.value);
}

static json_object *encode_scale_out(const struct intent *intent)
{
    json_object *fields = json_object_new_array();
    json_object_array_add(fields, json_object_new_string(intent->name));
    json_object_array_add(fields, json_object_new_string(intent->type_name));
    json_object_array_add(fields, json_object_new_string(intent->zone));
    json_object_array_add(fields, json_object_new_boolean(intent->is_spot));
    json_object_array_add(fields, json_object_new_int(intent->machine_count));
    return fields;
}

json_object *intents_encode(fencing_token token, const GPtrArray *intents)
{
    json_object *value = json_object_new_object();
    json_object *returns = json_object_new_array(), *rents = json_object_new_array();
    for (guint i = 0; i < intents->len; i++) {
        const struct intent *intent = intents->pdata[i];
        if (intent->kind == INTENT_SCALE_IN)
            json_object_array_add(returns, json_object_new_string(intent->name));
        else
            json_object_array_add(rents, encode_scale_out(intent));
    }
    json_put_u64(value, "t", token.v);
    json_object_object_add(value, "return", returns);
    json_object_object_add(value, "rent", rents);
    return value;
}

static bool copy_text(json_object *text, char *out, size_t size)
{
    return json_object_is_type(text, json_type_string) &&
           g_strlcpy(out, json_object_get_string(text), size) < size;
}

static bool decode_scale_out(json_object *fields, struct intent *out)
{
    if (!json_object_is_type(fields, json_type_array) ||
        json_object_array_length(fields) != SCALE_OUT_FIELD_COUNT)
        return false;
    json_object *spot = json_object_array_get_idx(fields, SCALE_OUT_IS_SPOT);
    json_object *number = json_object_array_get_idx(fields, SCALE_OUT_MACHINE_COUNT);
    out->kind = INTENT_SCALE_OUT;
    out->is_spot = json_object_get_boolean(spot);
    out->machine_count = json_object_get_int(number);
    return copy_text(json_object_array_get_idx(fields, SCALE_OUT_REQUEST_ID), out->name,
                     sizeof out->name) &&
           copy_text(json_object_array_get_idx(fields, SCALE_OUT_MACHINE_TYPE), out->type_name,
                     sizeof out->type_name) &&
           copy_text(json_object_array_get_idx(fields, SCALE_OUT_ZONE), out->zone,
                     sizeof out->zone) &&
           json_object_is_type(spot, json_type_boolean) &&
           json_object_is_type(number, json_type_int) && out->machine_count > 0;
}

bool intents_decode(json_object *value, fencing_token *token, GPtrArray *out)
{
    json_object *returns = json_get_array(value, "return"), *rents = json_get_array(value, "rent");
    bool ok = returns && rents && json_get_u64(value, "t", &token->v);
    for (size_t i = 0; ok && i < json_object_array_length(returns); i++) {
        struct intent intent = {.kind = INTENT_SCALE_IN};
        ok = copy_text(json_object_array_get_idx(returns, i), intent.name, sizeof intent.name);
        if (ok)
            g_ptr_array_add(out, g_memdup2(&intent, sizeof intent));
    }
    for (size_t i = 0; ok && i < json_object_array_length(rents); i++) {
        struct intent intent = {0};
        ok = decode_scale_out(json_object_array_get_idx(rents, i), &intent);
        if (ok)
            g_ptr_array_add(out, g_memdup2(&intent, sizeof intent));
    }
    return ok;
}
