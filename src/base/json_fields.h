/**
 * Access to the fields of JSON objects, over json-c.
 *
 * Readers return false unless the field exists and has the expected type. They accept NULL and
 * values other than objects, and treat these as objects without fields.
 */
#ifndef LL_JSON_FIELDS_H
#define LL_JSON_FIELDS_H

#include "types.h"

#include <json-c/json.h>

/** Parses one JSON value, nested at most 16 levels deep. Returns NULL if the input is malformed or
 * if anything but white space follows the value. */
json_object *json_parse(const char *text, size_t length);
/** Serializes an object into a new string and releases the reference to the object. */
char *json_to_string_and_free(json_object *object);

/** Returns whether the field is missing or null. */
bool json_is_absent(json_object *object, const char *field);
/** Reads a string that contains no NUL bytes. The string is valid as long as the object. */
bool json_get_string(json_object *object, const char *field, const char **out);
/** Copies a string into a buffer. Also returns false if the string does not fit. */
bool json_copy_string(json_object *object, const char *field, char *out, size_t size);
/** Reads a non-negative integer. */
bool json_get_u64(json_object *object, const char *field, uint64_t *out);
/** Reads a finite number. */
bool json_get_number(json_object *object, const char *field, double *out);
/** Reads a boolean. */
bool json_get_bool(json_object *object, const char *field, bool *out);
/** Reads a string as its index in an array of names. Also returns false if the array does not
 * contain it. */
bool json_get_enum(json_object *object, const char *field, const char *const *names, int name_count,
                   int *index);
/** Calls json_get_enum with an array whose length the compiler knows. */
#define JSON_GET_ENUM(object, field, names, index)                                                 \
    json_get_enum(object, field, names, G_N_ELEMENTS(names), index)
/** Returns the array in a field, or NULL. The object keeps ownership of the array. */
json_object *json_get_array(json_object *object, const char *field);
/** Reads a number from 0 to 10^9 and rounds it up to thousandths. Requests are rounded up because
 * limits are rounded down. */
bool json_get_amount(json_object *object, const char *field, amount *out);

/* The functions below add a field or replace its value. */

/** Writes a string. */
void json_put_string(json_object *object, const char *field, const char *value);
/** Writes a non-negative integer. */
void json_put_u64(json_object *object, const char *field, uint64_t value);
/** Writes a floating-point number. */
void json_put_number(json_object *object, const char *field, double value);
/** Writes a boolean. */
void json_put_bool(json_object *object, const char *field, bool value);
/** Writes an amount in whole units (CPUs, gigabytes), as json_get_amount reads it. */
void json_put_amount(json_object *object, const char *field, amount value);
/** Writes an array of strings; `strings` is NULL-terminated. */
void json_put_strings(json_object *object, const char *field, char *const *strings);

#endif
