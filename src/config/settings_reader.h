/** Typed access to the fields of the settings file, which keeps the first error.
 *
 * Settings are read to the end also after an error, and each function then returns a value that is
 * safe to store, so that only the end has to ask whether there was one. Paths are names joined by
 * dots, such as "deployment.workers.lease_s", and appear in messages as they are. */
#ifndef LL_SETTINGS_READER_H
#define LL_SETTINGS_READER_H

#include "settings.h"

#include <json-c/json.h>

struct settings_reader {
    /** The first error, or NULL. Owned by the reader until the caller takes it. */
    GError *error;
};

/** What a number must be. */
struct number_rule {
    /** The bounds, which are allowed themselves. */
    double min, max;
    bool must_be_integer;
};

/** Records an error in a field, unless there is one already. */
void settings_reader_fail(struct settings_reader *reader, enum settings_error code,
                          const char *field, const char *format, ...) G_GNUC_PRINTF(4, 5);

/** The member with this path, borrowed, or NULL. */
json_object *settings_reader_find(json_object *object, const char *path);

/** Returns a text that is not empty, or the empty text after an error; free it with g_free. */
char *settings_reader_get_string(struct settings_reader *reader, json_object *object,
                                 const char *path);

/** The same for an address such as 10.0.0.1:8080; one that is malformed is returned as it is. */
char *settings_reader_get_address(struct settings_reader *reader, json_object *object,
                                  const char *path);

/** Returns a number, or the rule's minimum after an error. */
double settings_reader_get_number(struct settings_reader *reader, json_object *object,
                                  const char *path, const struct number_rule *rule);

/** Returns a list, borrowed, or NULL if it is missing or after an error. */
json_object *settings_reader_get_list(struct settings_reader *reader, json_object *object,
                                      const char *path);

/** Whether a table exists. Anything else in its place is an error. */
bool settings_reader_has_table(struct settings_reader *reader, json_object *object,
                               const char *path);

#endif
