/** Typed access to the fields of the settings file. The reader keeps the first error.
 *
 * The caller can continue reading after an error: each function then returns a value that is safe
 * to store, so the caller needs to check for an error only once, at the end. Paths are names joined
 * by dots, such as "deployment.workers.lease_s"; error messages contain them unchanged. */
#ifndef LL_SETTINGS_READER_H
#define LL_SETTINGS_READER_H

#include "settings.h"

#include <json-c/json.h>

/** The error state of the reader. */
struct settings_reader {
    /** The first error, or NULL. The caller takes ownership of it when reading has ended. */
    GError *error;
};

/** The constraints on a number. */
struct number_rule {
    /** The bounds, both inclusive. */
    double min, max;
    bool must_be_integer;
};

/** Records an error in a field. Does nothing if an error has been recorded already. */
void settings_reader_fail(struct settings_reader *reader, enum settings_error code,
                          const char *field, const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Returns the value at a path, or NULL if there is none. `object` keeps ownership of the value. */
json_object *settings_reader_find(json_object *object, const char *path);

/** Reads a non-empty string. Returns the empty string after an error. The caller frees the result
 * with g_free. */
char *settings_reader_get_string(struct settings_reader *reader, json_object *object,
                                 const char *path);

/** Reads an address such as 10.0.0.1:8080, which the caller frees with g_free. A malformed address
 * is an error but is returned unchanged; after other errors the result is the empty string. */
char *settings_reader_get_address(struct settings_reader *reader, json_object *object,
                                  const char *path);

/** Reads a number that conforms to the rule. Returns the rule's minimum after an error. */
double settings_reader_get_number(struct settings_reader *reader, json_object *object,
                                  const char *path, const struct number_rule *rule);

/** Reads an array, which `object` keeps ownership of. Returns NULL if it is missing, which is no
 * error, or if the value is not an array. */
json_object *settings_reader_get_list(struct settings_reader *reader, json_object *object,
                                      const char *path);

/** Returns whether there is a value at a path. Records an error if the value is not a table. */
bool settings_reader_has_table(struct settings_reader *reader, json_object *object,
                               const char *path);

#endif
