/** Fields of JSON objects: see json_fields.h. */
#include "json_fields.h"

#include <math.h>

enum { MAX_NESTING_DEPTH = 16 };
static const double MAX_AMOUNT = 1e9;
static const double MILLI_PER_UNIT = 1000;
/** An excess over a whole thousandth that is smaller than this is a rounding error. */
static const double AMOUNT_TOLERANCE_MILLI = 1e-6;

/** Detects 'single' quoted strings, which json-c accepts even in strict mode. */
static bool has_single_quoted_string(const char *text, size_t length)
{
    bool in_string = false;
    for (size_t i = 0; i < length; i++) {
        if (in_string && text[i] == '\\')
            i++;
        else if (text[i] == '"')
            in_string = !in_string;
        else if (text[i] == '\'' && !in_string)
            return true;
    }
    return false;
}

json_object *json_parse(const char *text, size_t length)
{
    if (length > INT32_MAX || has_single_quoted_string(text, length))
        return NULL;
    struct json_tokener *tokener = json_tokener_new_ex(MAX_NESTING_DEPTH);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    json_object *object = json_tokener_parse_ex(tokener, text, (int)length);
    if (json_tokener_get_error(tokener) == json_tokener_continue) /* may end in a number */
        object = json_tokener_parse_ex(tokener, "", 1);
    bool is_complete = json_tokener_get_error(tokener) == json_tokener_success;
    size_t parsed_bytes = json_tokener_get_parse_end(tokener);
    for (; is_complete && parsed_bytes < length; parsed_bytes++)
        is_complete = strchr(" \t\r\n", text[parsed_bytes]) && text[parsed_bytes];
    json_tokener_free(tokener);
    if (!is_complete) {
        json_object_put(object);
        return NULL;
    }
    return object;
}

static json_object *get_field(json_object *object, const char *field)
{
    json_object *value = NULL;
    if (json_object_is_type(object, json_type_object))
        json_object_object_get_ex(object, field, &value);
    return value;
}

bool json_get_string(json_object *object, const char *field, const char **out)
{
    json_object *value = get_field(object, field);
    if (!json_object_is_type(value, json_type_string))
        return false;
    *out = json_object_get_string(value);
    return strlen(*out) == (size_t)json_object_get_string_len(value);
}

bool json_get_u64(json_object *object, const char *field, uint64_t *out)
{
    json_object *value = get_field(object, field);
    if (!json_object_is_type(value, json_type_int))
        return false;
    if (json_object_get_int64(value) < 0)
        return false;
    *out = json_object_get_uint64(value);
    return true;
}

bool json_get_number(json_object *object, const char *field, double *out)
{
    json_object *value = get_field(object, field);
    if (!json_object_is_type(value, json_type_int) && !json_object_is_type(value, json_type_double))
        return false;
    *out = json_object_get_double(value);
    return isfinite(*out);
}

bool json_get_bool(json_object *object, const char *field, bool *out)
{
    json_object *value = get_field(object, field);
    if (!json_object_is_type(value, json_type_boolean))
        return false;
    *out = json_object_get_boolean(value);
    return true;
}

bool json_get_enum(json_object *object, const char *field, const char *const *names, int name_count,
                   int *index)
{
    const char *string;
    if (!json_get_string(object, field, &string))
        return false;
    for (int i = 0; i < name_count; i++)
        if (strcmp(names[i], string) == 0) {
            *index = i;
            return true;
        }
    return false;
}

json_object *json_get_array(json_object *object, const char *field)
{
    json_object *value = get_field(object, field);
    return json_object_is_type(value, json_type_array) ? value : NULL;
}

void json_put_string(json_object *object, const char *field, const char *value)
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

void json_put_bool(json_object *object, const char *field, bool value)
{
    json_object_object_add(object, field, json_object_new_boolean(value));
}

void json_put_amount(json_object *object, const char *field, amount value)
{
    json_put_number(object, field, (double)value.milli / MILLI_PER_UNIT);
}

void json_put_strings(json_object *object, const char *field, char *const *strings)
{
    json_object *list = json_object_new_array();
    for (; *strings; strings++)
        json_object_array_add(list, json_object_new_string(*strings));
    json_object_object_add(object, field, list);
}

bool json_is_absent(json_object *object, const char *field)
{
    return get_field(object, field) == NULL;
}

bool json_copy_string(json_object *object, const char *field, char *out, size_t size)
{
    const char *string;
    if (!json_get_string(object, field, &string) || strlen(string) >= size)
        return false;
    g_strlcpy(out, string, size);
    return true;
}

bool json_get_amount(json_object *object, const char *field, amount *out)
{
    double number;
    if (!json_get_number(object, field, &number) || number < 0 || number > MAX_AMOUNT)
        return false;
    out->milli = (int64_t)ceil(number * MILLI_PER_UNIT - AMOUNT_TOLERANCE_MILLI);
    return true;
}

char *json_to_string_and_free(json_object *object)
{
    char *string = g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
    return string;
}
