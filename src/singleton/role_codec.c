#include "role_codec.h"

#include <stdlib.h>

static const char *const names[DUTIES] = {"fleet", "cleanup"};

/* Of the array that describes a request to rent. */
enum rent_field { RENT_NAME, RENT_TYPE, RENT_ZONE, RENT_SPOT, RENT_NUMBER, RENT_FIELDS };

const char *duty_name(enum duty duty)
{
    return names[duty];
}

char *key_duty(enum duty duty)
{
    return g_strconcat(KEY_DUTIES, names[duty], NULL);
}

char *key_intents(enum duty duty, int page)
{
    return g_strdup_printf(KEY_INTENTS "%s/%d", names[duty], page);
}

static bool duty_named(const char *name, size_t len, enum duty *duty)
{
    for (int i = 0; i < DUTIES; i++)
        if (strlen(names[i]) == len && strncmp(names[i], name, len) == 0) {
            *duty = (enum duty)i;
            return true;
        }
    return false;
}

bool key_duty_read(const char *key, enum duty *duty)
{
    if (!g_str_has_prefix(key, KEY_DUTIES))
        return false;
    const char *name = key + strlen(KEY_DUTIES);
    return duty_named(name, strlen(name), duty);
}

bool key_intents_read(const char *key, enum duty *duty, int *page)
{
    if (!g_str_has_prefix(key, KEY_INTENTS))
        return false;
    const char *name = key + strlen(KEY_INTENTS), *slash = strchr(name, '/');
    if (!slash || !duty_named(name, (size_t)(slash - name), duty))
        return false;
    *page = (int)strtol(slash + 1, NULL, 10);
    return *page >= 0;
}

json_object *duty_holder_write(const struct duty_holder *holder)
{
    json_object *value = json_object_new_object();
    json_put_text(value, "n", holder->label);
    json_put_u64(value, "i", holder->incarnation.v);
    return value;
}

bool duty_holder_read(json_object *value, struct duty_holder *out)
{
    return json_copy_text(value, "n", out->label, sizeof out->label) &&
           json_u64(value, "i", &out->incarnation.v);
}

static json_object *rent_write(const struct intent *intent)
{
    json_object *fields = json_object_new_array();
    json_object_array_add(fields, json_object_new_string(intent->name));
    json_object_array_add(fields, json_object_new_string(intent->type_name));
    json_object_array_add(fields, json_object_new_string(intent->zone));
    json_object_array_add(fields, json_object_new_boolean(intent->spot));
    json_object_array_add(fields, json_object_new_int(intent->number));
    return fields;
}

json_object *intents_write(duty_token token, const GPtrArray *intents)
{
    json_object *value = json_object_new_object();
    json_object *returns = json_object_new_array(), *rents = json_object_new_array();
    for (guint i = 0; i < intents->len; i++) {
        const struct intent *intent = intents->pdata[i];
        if (intent->kind == INTENT_RETURN)
            json_object_array_add(returns, json_object_new_string(intent->name));
        else
            json_object_array_add(rents, rent_write(intent));
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

static bool rent_read(json_object *fields, struct intent *out)
{
    if (!json_object_is_type(fields, json_type_array) ||
        json_object_array_length(fields) != RENT_FIELDS)
        return false;
    json_object *spot = json_object_array_get_idx(fields, RENT_SPOT);
    json_object *number = json_object_array_get_idx(fields, RENT_NUMBER);
    out->kind = INTENT_RENT;
    out->spot = json_object_get_boolean(spot);
    out->number = json_object_get_int(number);
    return copy_text(json_object_array_get_idx(fields, RENT_NAME), out->name, sizeof out->name) &&
           copy_text(json_object_array_get_idx(fields, RENT_TYPE), out->type_name,
                     sizeof out->type_name) &&
           copy_text(json_object_array_get_idx(fields, RENT_ZONE), out->zone, sizeof out->zone) &&
           json_object_is_type(spot, json_type_boolean) &&
           json_object_is_type(number, json_type_int) && out->number > 0;
}

bool intents_read(json_object *value, duty_token *token, GPtrArray *out)
{
    json_object *returns = json_list(value, "return"), *rents = json_list(value, "rent");
    bool ok = returns && rents && json_u64(value, "t", &token->v);
    for (size_t i = 0; ok && i < json_object_array_length(returns); i++) {
        struct intent intent = {.kind = INTENT_RETURN};
        ok = copy_text(json_object_array_get_idx(returns, i), intent.name, sizeof intent.name);
        if (ok)
            g_ptr_array_add(out, g_memdup2(&intent, sizeof intent));
    }
    for (size_t i = 0; ok && i < json_object_array_length(rents); i++) {
        struct intent intent = {0};
        ok = rent_read(json_object_array_get_idx(rents, i), &intent);
        if (ok)
            g_ptr_array_add(out, g_memdup2(&intent, sizeof intent));
    }
    return ok;
}
