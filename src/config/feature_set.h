/** Optional features, which operators enable in a TOML file of their own.
 *
 * The file is validated against schemas/features.schema.json. Without a file, all features are
 * disabled. */
#ifndef LL_FEATURE_SET_H
#define LL_FEATURE_SET_H

#include <glib.h>
#include <stdbool.h>

/** The features that are enabled, and their parameters. */
struct feature_set {
    /** Scaling and garbage collection are done by holders of singleton roles, which record their
     * intents. The table in the file is named "duties". */
    struct {
        bool is_enabled;
        /** The time between two log lines that report the delays caused by the roles. */
        double delay_report_interval_s;
    } singleton_roles;
};

/** The GError domain of errors in the contents of a features file. A file that cannot be read is
 * reported in the domain G_FILE_ERROR. */
#define FEATURE_SET_ERROR feature_set_error_quark()
GQuark feature_set_error_quark(void);

/** The error codes of FEATURE_SET_ERROR. */
enum feature_set_error {
    /** The contents are not valid TOML. */
    FEATURE_SET_ERROR_SYNTAX,
    /** The contents do not conform to the schema. */
    FEATURE_SET_ERROR_SCHEMA,
};

/** Returns the features that apply without a file: all are disabled. */
struct feature_set feature_set_default(void);

/** Parses the contents of a features file. If they are invalid, returns false with a
 * FEATURE_SET_ERROR whose message names the first invalid field, or the line and column of a syntax
 * error; `features` then has the defaults. */
bool feature_set_parse(const char *toml, struct feature_set *features, GError **error);

/** Reads a features file and parses it as feature_set_parse does. The message of a
 * FEATURE_SET_ERROR begins with the path. `features` is unchanged if the file cannot be read. */
bool feature_set_load(const char *path, struct feature_set *features, GError **error);

#endif
