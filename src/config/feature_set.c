#include "feature_set.h"

#include "feature_check.h"
#include "json_fields.h"
#include "toml_reader.h"

#include <stdlib.h>

enum { ERROR_SIZE = 400 };

static const double DEFAULT_REPORT_S = 60;

struct feature_set feature_set_default(void)
{
    return (struct feature_set){.singleton_roles = {false, DEFAULT_REPORT_S}};
}

bool feature_set_parse(const char *toml, struct feature_set *out, char **error)
{
    char reason[ERROR_SIZE] = "";
    char *json = toml_read_json(toml, reason, sizeof reason);
    bool ok = json && feature_check(json, reason, sizeof reason);
    *out = feature_set_default();
    if (ok) {
        json_object *object = json_tokener_parse(json), *singleton_roles = NULL;
        json_object_object_get_ex(object, "duties", &singleton_roles);
        json_get_bool(singleton_roles, "enabled", &out->singleton_roles.is_enabled);
        json_get_number(singleton_roles, "report_s", &out->singleton_roles.delay_report_interval_s);
        json_object_put(object);
    } else {
        *error = g_strdup(reason);
    }
    free(json);
    return ok;
}

bool feature_set_load(const char *path, struct feature_set *out, char **error)
{
    char *text = NULL, *reason = NULL;
    GError *read_error = NULL;
    bool ok = false;
    if (!g_file_get_contents(path, &text, NULL, &read_error)) {
        *error = g_strdup(read_error->message);
        g_error_free(read_error);
        return false;
    }
    ok = feature_set_parse(text, out, &reason);
    if (!ok)
        *error = g_strdup_printf("%s: %s", path, reason);
    g_free(reason);
    g_free(text);
    return ok;
}
