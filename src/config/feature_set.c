/** Loads and validates the features file. */
#include "feature_set.h"

#include "feature_check.h"
#include "json_fields.h"
#include "toml_reader.h"

#include <stdlib.h>

/** Longer messages of the TOML parser and of the schema validator are truncated. */
enum { MAX_MESSAGE_BYTES = 400 };

static const double DEFAULT_DELAY_REPORT_INTERVAL_S = 60;

G_DEFINE_QUARK(linenlanding_feature_set_error, feature_set_error)

struct feature_set feature_set_default(void)
{
    return (struct feature_set){
        .singleton_roles = {.is_enabled = false,
                            .delay_report_interval_s = DEFAULT_DELAY_REPORT_INTERVAL_S}};
}

/** Reads the fields of a JSON document that conforms to the schema. Fields that are missing from
 * the document keep their values in `features`. */
static void decode_features(const char *json, struct feature_set *features)
{
    json_object *root = json_tokener_parse(json), *roles = NULL;
    json_object_object_get_ex(root, "duties", &roles);
    json_get_bool(roles, "enabled", &features->singleton_roles.is_enabled);
    json_get_number(roles, "report_s", &features->singleton_roles.delay_report_interval_s);
    json_object_put(root);
}

bool feature_set_parse(const char *toml, struct feature_set *features, GError **error)
{
    char message[MAX_MESSAGE_BYTES] = "";
    *features = feature_set_default();
    char *json = toml_read_json(toml, message, sizeof message);
    if (!json) {
        g_set_error_literal(error, FEATURE_SET_ERROR, FEATURE_SET_ERROR_SYNTAX, message);
        return false;
    }
    bool is_valid = feature_check(json, message, sizeof message);
    if (is_valid)
        decode_features(json, features);
    else
        g_set_error_literal(error, FEATURE_SET_ERROR, FEATURE_SET_ERROR_SCHEMA, message);
    free(json);
    return is_valid;
}

bool feature_set_load(const char *path, struct feature_set *features, GError **error)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error))
        return false;
    bool is_valid = feature_set_parse(text, features, error);
    if (!is_valid)
        g_prefix_error(error, "%s: ", path);
    g_free(text);
    return is_valid;
}
