#include "json_fields.h"

#include <math.h>

int codec_word_index(const char *const *words, int n, const char *word)
{
    for (int i = 0; i < n; i++)
        if (strcmp(words[i], word) == 0)
            return i;
    return -1;
}

/* json-c takes 'single' quotes for quotes even when it is strict. */
static bool has_foreign_quotes(const char *text, size_t len)
{
    bool inside = false;
    for (size_t i = 0; i < len; i++) {
        if (inside && text[i] == '\\')
            i++;
        else if (text[i] == '"')
            inside = !inside;
        else if (text[i] == '\'' && !inside)
            return true;
    }
    return false;
}

json_object *json_read(const char *text, size_t len)
{
    if (len > INT32_MAX || has_foreign_quotes(text, len))
        return NULL;
    struct json_tokener *tokener = json_tokener_new_ex(16);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    json_object *object = json_tokener_parse_ex(tokener, text, (int)len);
    if (json_tokener_get_error(tokener) == json_tokener_continue) /* a number at the very end */
        object = json_tokener_parse_ex(tokener, "", 1);
    bool whole = json_tokener_get_error(tokener) == json_tokener_success;
    size_t used = json_tokener_get_parse_end(tokener);
    for (; whole && used < len; used++)
        whole = strchr(" \t\r\n", text[used]) && text[used];
    json_tokener_free(tokener);
    if (!whole) {
        json_object_put(object);
        return NULL;
    }
    return object;
}

static json_object *field_of(json_object *o, const char *field)
{
    json_object *v = NULL;
    if (json_object_is_type(o, json_type_object))
        json_object_object_get_ex(o, field, &v);
    return v;
}

bool json_text(json_object *o, const char *field, const char **out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_string))
        return false;
    *out = json_object_get_string(v);
    return strlen(*out) == (size_t)json_object_get_string_len(v);
}

bool json_u64(json_object *o, const char *field, uint64_t *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_int))
        return false;
    if (json_object_get_int64(v) < 0)
        return false;
    *out = json_object_get_uint64(v);
    return true;
}

bool json_number(json_object *o, const char *field, double *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_int) && !json_object_is_type(v, json_type_double))
        return false;
    *out = json_object_get_double(v);
    return isfinite(*out);
}

bool json_flag(json_object *o, const char *field, bool *out)
{
    json_object *v = field_of(o, field);
    if (!json_object_is_type(v, json_type_boolean))
        return false;
    *out = json_object_get_boolean(v);
    return true;
}

json_object *json_list(json_object *o, const char *field)
{
    json_object *v = field_of(o, field);
    return json_object_is_type(v, json_type_array) ? v : NULL;
}

void json_put_text(json_object *object, const char *field, const char *value)
{
    json_object_object_add(object, field, json_object_new_string(value));
}

void json_put_u64(json_object *object, const char *field, uint64_t value)
{
    json_object_object_add(object, field, json_object_new_uint64(value));
}

void json_put_number(json_object *object, const char *field, double value)
{
    json_object_object_add(object, field, json_object_new_double(value));
}

void json_put_flag(json_object *object, const char *field, bool value)
{
    json_object_object_add(object, field, json_object_new_boolean(value));
}

bool json_is_null(json_object *object, const char *field)
{
    return field_of(object, field) == NULL;
}

bool json_copy_text(json_object *object, const char *field, char *out, size_t size)
{
    const char *s;
    if (!json_text(object, field, &s) || strlen(s) >= size)
        return false;
    strcpy(out, s);
    return true;
}

bool codec_amount_field(json_object *object, const char *field, amount *out)
{
    double x;
    if (!json_number(object, field, &x) || x < 0 || x > 1e9)
        return false;
    /* Rounded up, as limits are rounded down. */
    out->milli = (int64_t)ceil(x * 1000 - 1e-6);
    return true;
}

char *json_finish(json_object *object)
{
    char *s = g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
    return s;
}
