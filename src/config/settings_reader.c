/** Reads fields of the settings file and validates them. */
#include "settings_reader.h"

#include "address.h"

#include <math.h>

void settings_reader_fail(struct settings_reader *reader, enum settings_error code,
                          const char *field, const char *format, ...)
{
    if (reader->error)
        return;
    va_list arguments;
    va_start(arguments, format);
    char *problem = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_set_error(&reader->error, SETTINGS_ERROR, code, "%s: %s", field, problem);
    g_free(problem);
}

json_object *settings_reader_find(json_object *object, const char *path)
{
    char **names = g_strsplit(path, ".", -1);
    for (int i = 0; names[i] && object; i++) {
        json_object *member = NULL;
        if (json_object_is_type(object, json_type_object))
            json_object_object_get_ex(object, names[i], &member);
        object = member;
    }
    g_strfreev(names);
    return object;
}

char *settings_reader_get_string(struct settings_reader *reader, json_object *object,
                                 const char *path)
{
    json_object *value = settings_reader_find(object, path);
    if (!value) {
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, path, "is required but missing");
        return g_strdup("");
    }
    if (!json_object_is_type(value, json_type_string) || json_object_get_string_len(value) == 0) {
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path, "must be a non-empty string");
        return g_strdup("");
    }
    return g_strdup(json_object_get_string(value));
}

char *settings_reader_get_address(struct settings_reader *reader, json_object *object,
                                  const char *path)
{
    char *address = settings_reader_get_string(reader, object, path);
    uint32_t ip_be;
    uint16_t port;
    if (*address && !address_parse(address, &ip_be, &port))
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path,
                             "must be an address such as 10.0.0.1:8080");
    return address;
}

double settings_reader_get_number(struct settings_reader *reader, json_object *object,
                                  const char *path, const struct number_rule *rule)
{
    json_object *value = settings_reader_find(object, path);
    if (!value) {
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, path, "is required but missing");
        return rule->min;
    }
    if (!json_object_is_type(value, json_type_double) &&
        !json_object_is_type(value, json_type_int)) {
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path, "must be a number");
        return rule->min;
    }
    double number = json_object_get_double(value);
    if (!isfinite(number) || number < rule->min || number > rule->max) {
        settings_reader_fail(reader, SETTINGS_ERROR_RANGE, path,
                             "must be a number between %g and %g", rule->min, rule->max);
        return rule->min;
    }
    if (rule->must_be_integer && number != floor(number)) {
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path, "must be an integer");
        return rule->min;
    }
    return number;
}

json_object *settings_reader_get_list(struct settings_reader *reader, json_object *object,
                                      const char *path)
{
    json_object *value = settings_reader_find(object, path);
    if (value && !json_object_is_type(value, json_type_array)) {
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path, "must be an array");
        return NULL;
    }
    return value;
}

bool settings_reader_has_table(struct settings_reader *reader, json_object *object,
                               const char *path)
{
    json_object *value = settings_reader_find(object, path);
    if (value && !json_object_is_type(value, json_type_object))
        settings_reader_fail(reader, SETTINGS_ERROR_TYPE, path, "must be a table");
    return value != NULL;
}
