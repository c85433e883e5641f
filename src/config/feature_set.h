/**
 * Features that operators switch on in a file of their own (TOML), which is checked against
 * schemas/features.schema.json. Without a file all are off.
 */
#ifndef LL_FEATURE_SET_H
#define LL_FEATURE_SET_H

#include <glib.h>
#include <stdbool.h>

struct feature_set {
    /** [duties] in the file. */
    struct {
        bool is_enabled;
        /** From one log line of delays to the next. */
        double delay_report_interval_s;
    } singleton_roles;
};

/** All off. */
struct feature_set feature_set_default(void);
/** Reads a text; false, with a message that names the field, if it cannot be used. */
bool feature_set_parse(const char *toml, struct feature_set *out, char **error);
/** The same of a file; the message names it, too. */
bool feature_set_load(const char *path, struct feature_set *out, char **error);

#endif
