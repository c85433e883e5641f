/**
 * @file
 * Encodes and decodes the keys and values of singleton roles in the key-value store.
 */
#include "role_codec.h"

#include <stdlib.h>

/** The names of the roles, which are part of the stored keys. */
static const char *const role_names[ROLE_COUNT] = {"fleet", "cleanup"};

/** Field names in the stored values. */
static const char FIELD_LABEL[] = "n";
static const char FIELD_INCARNATION[] = "i";
static const char FIELD_TOKEN[] = "t";
static const char FIELD_SCALE_INS[] = "return";
static const char FIELD_SCALE_OUTS[] = "rent";

/** Indices in the array that encodes a scale-out intent. */
enum scale_out_element {
    SCALE_OUT_REQUEST_ID,
    SCALE_OUT_MACHINE_TYPE,
    SCALE_OUT_ZONE,
    SCALE_OUT_IS_SPOT,
    SCALE_OUT_MACHINE_COUNT,
    SCALE_OUT_ELEMENT_COUNT,
};

/* ---- keys ---- */

const char *singleton_role_name(enum singleton_role role)
{
    return role_names[role];
}

char *key_role(enum singleton_role role)
{
    return g_strconcat(KEY_ROLE_PREFIX, role_names[role], NULL);
}

char *key_intent_page(enum singleton_role role, int page_number)
{
    return g_strdup_printf(KEY_INTENT_PREFIX "%s/%d", role_names[role], page_number);
}

static bool find_role_by_name(const char *name, size_t name_len, enum singleton_role *role)
{
    for (int i = 0; i < ROLE_COUNT; i++) {
        if (strlen(role_names[i]) == name_len && strncmp(role_names[i], name, name_len) == 0) {
            *role = (enum singleton_role)i;
            return true;
        }
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

bool key_intent_page_parse(const char *key, enum singleton_role *role, int *page_number)
{
    if (!g_str_has_prefix(key, KEY_INTENT_PREFIX))
        return false;
    const char *name = key + strlen(KEY_INTENT_PREFIX);
    const char *slash = strchr(name, '/');
    if (!slash || !find_role_by_name(name, (size_t)(slash - name), role))
        return false;
    *page_number = (int)strtol(slash + 1, NULL, 10);
    return *page_number >= 0;
}

/* ---- holders ---- */

json_object *role_holder_encode(const struct role_holder *holder)
{
    json_object *value = json_object_new_object();
    json_put_string(value, FIELD_LABEL, holder->label);
    json_put_u64(value, FIELD_INCARNATION, holder->incarnation.value);
    return value;
}

bool role_holder_decode(json_object *value, struct role_holder *holder)
{
    return json_copy_string(value, FIELD_LABEL, holder->label, sizeof holder->label) &&
           json_get_u64(value, FIELD_INCARNATION, &holder->incarnation.value);
}

/* ---- intents ---- */

static json_object *encode_scale_out(const struct intent *intent)
{
    json_object *elements = json_object_new_array();
    json_object_array_add(elements, json_object_new_string(intent->name));
    json_object_array_add(elements, json_object_new_string(intent->type_name));
    json_object_array_add(elements, json_object_new_string(intent->zone));
    json_object_array_add(elements, json_object_new_boolean(intent->is_spot));
    json_object_array_add(elements, json_object_new_int(intent->machine_count));
    return elements;
}

json_object *intents_encode(fencing_token token, const GPtrArray *intents)
{
    json_object *value = json_object_new_object();
    json_object *scale_ins = json_object_new_array();
    json_object *scale_outs = json_object_new_array();
    for (guint i = 0; i < intents->len; i++) {
        const struct intent *intent = intents->pdata[i];
        if (intent->kind == INTENT_SCALE_IN)
            json_object_array_add(scale_ins, json_object_new_string(intent->name));
        else
            json_object_array_add(scale_outs, encode_scale_out(intent));
    }
    json_put_u64(value, FIELD_TOKEN, token.value);
    json_object_object_add(value, FIELD_SCALE_INS, scale_ins);
    json_object_object_add(value, FIELD_SCALE_OUTS, scale_outs);
    return value;
}

/** Copies a JSON string to a buffer. Returns false if the item is not a string or is too long. */
static bool copy_json_string(json_object *item, char *out, size_t size)
{
    return json_object_is_type(item, json_type_string) &&
           g_strlcpy(out, json_object_get_string(item), size) < size;
}

static bool decode_scale_in(json_object *item, struct intent *intent)
{
    intent->kind = INTENT_SCALE_IN;
    return copy_json_string(item, intent->name, sizeof intent->name);
}

static bool decode_scale_out(json_object *elements, struct intent *intent)
{
    if (!json_object_is_type(elements, json_type_array) ||
        json_object_array_length(elements) != SCALE_OUT_ELEMENT_COUNT)
        return false;
    json_object *request_id = json_object_array_get_idx(elements, SCALE_OUT_REQUEST_ID);
    json_object *type_name = json_object_array_get_idx(elements, SCALE_OUT_MACHINE_TYPE);
    json_object *zone = json_object_array_get_idx(elements, SCALE_OUT_ZONE);
    json_object *is_spot = json_object_array_get_idx(elements, SCALE_OUT_IS_SPOT);
    json_object *machine_count = json_object_array_get_idx(elements, SCALE_OUT_MACHINE_COUNT);
    intent->kind = INTENT_SCALE_OUT;
    intent->is_spot = json_object_get_boolean(is_spot);
    intent->machine_count = json_object_get_int(machine_count);
    return copy_json_string(request_id, intent->name, sizeof intent->name) &&
           copy_json_string(type_name, intent->type_name, sizeof intent->type_name) &&
           copy_json_string(zone, intent->zone, sizeof intent->zone) &&
           json_object_is_type(is_spot, json_type_boolean) &&
           json_object_is_type(machine_count, json_type_int) && intent->machine_count > 0;
}

typedef bool (*intent_decoder)(json_object *item, struct intent *intent);

static bool decode_list(json_object *list, intent_decoder decode, GPtrArray *intents)
{
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct intent intent = {0};
        if (!decode(json_object_array_get_idx(list, i), &intent))
            return false;
        g_ptr_array_add(intents, g_memdup2(&intent, sizeof intent));
    }
    return true;
}

bool intents_decode(json_object *value, fencing_token *token, GPtrArray *intents)
{
    json_object *scale_ins = json_get_array(value, FIELD_SCALE_INS);
    json_object *scale_outs = json_get_array(value, FIELD_SCALE_OUTS);
    if (!scale_ins || !scale_outs || !json_get_u64(value, FIELD_TOKEN, &token->value))
        return false;
    return decode_list(scale_ins, decode_scale_in, intents) &&
           decode_list(scale_outs, decode_scale_out, intents);
}
