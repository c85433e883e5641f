/**
 * Reading and writing fields of JSON objects, over json-c.
 *
 * Readers are strict: unless the field is there and of its type they return false. They take NULL
 * and values that are no objects, which have no fields.
 */
#ifndef LL_JSON_FIELDS_H
#define LL_JSON_FIELDS_H

#include "types.h"

#include <json-c/json.h>

/** Parses one JSON text, nested 16 deep at most; NULL: malformed, or something follows it. */
json_object *json_parse(const char *text, size_t length);
/** Serializes an object into a new text, and frees the object. */
char *json_to_string_and_free(json_object *object);

/** Whether the field is missing or null. */
bool json_is_absent(json_object *object, const char *field);
/** Reads a text without zero bytes; valid as long as the object. */
bool json_get_string(json_object *object, const char *field, const char **out);
/** Copies a text; false also if it does not fit. */
bool json_copy_string(json_object *object, const char *field, char *out, size_t size);
/** Reads an integer that is not negative. */
bool json_get_u64(json_object *object, const char *field, uint64_t *out);
/** Reads a finite number. */
bool json_get_number(json_object *object, const char *field, double *out);
bool json_get_bool(json_object *object, const char *field, bool *out);
/** Reads a word as its index in an array; false also if it is not one of these. */
bool json_get_enum(json_object *object, const char *field, const char *const *names, int name_count,
                   int *index);
/** The same with an array of known length. */
#define JSON_GET_ENUM(object, field, names, index)                                                 \
    json_get_enum(object, field, names, G_N_ELEMENTS(names), index)
/** The field's array, or NULL; it belongs to the object. */
json_object *json_get_array(json_object *object, const char *field);
/** Reads a number from 0 to 10^9. It is rounded up, as limits are rounded down. */
bool json_get_amount(json_object *object, const char *field, amount *out);

/* Each adds or replaces a field. */
void json_put_string(json_object *object, const char *field, const char *value);
void json_put_u64(json_object *object, const char *field, uint64_t value);
void json_put_number(json_object *object, const char *field, double value);
void json_put_bool(json_object *object, const char *field, bool value);
/** As json_get_amount reads it: CPUs or gigabytes, not thousandths. */
void json_put_amount(json_object *object, const char *field, amount value);
/** An array; the texts end with NULL. */
void json_put_strings(json_object *object, const char *field, char *const *strings);

#endif
