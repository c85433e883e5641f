/** Features that operators switch on with a file of their own (TOML).
 *
 * The file is checked against schemas/features.schema.json. Without a file all features are off. */
#ifndef LL_FEATURE_SET_H
#define LL_FEATURE_SET_H

#include <glib.h>
#include <stdbool.h>

struct feature_set {
    /** Scaling and clean-up under singleton roles with recorded intents; "duties" in the file. */
    struct {
        bool is_enabled;
        /** Between two log lines of the delays that roles cost. */
        double delay_report_interval_s;
    } singleton_roles;
};

/** The domain of errors in the text of a features file. Files that cannot be read are in
 * G_FILE_ERROR. */
#define FEATURE_SET_ERROR feature_set_error_quark()
GQuark feature_set_error_quark(void);

enum feature_set_error {
    /** The text is not TOML. */
    FEATURE_SET_ERROR_SYNTAX,
    /** The text does not conform to the schema. */
    FEATURE_SET_ERROR_SCHEMA,
};

/** The features without a file: all are off. */
struct feature_set feature_set_default(void);

/** Parses the text of a features file. Returns false with a FEATURE_SET_ERROR, whose message names
 * the first wrong field, or the line and column; `features` then has the defaults. */
bool feature_set_parse(const char *toml, struct feature_set *features, GError **error);

/** The same for a file; the message of a FEATURE_SET_ERROR begins with its path. `features` is
 * unchanged if the file cannot be read. */
bool feature_set_load(const char *path, struct feature_set *features, GError **error);

#endif
