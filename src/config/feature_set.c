#include "feature_set.h"

#include "feature_check.h"
#include "json_fields.h"
#include "toml_reader.h"

#include <stdlib.h>

enum { ERROR_SIZE = 400 };

static const double DEFAULT_REPORT_S = 60;

struct feature_set feature_set_default(void)
{
    return (struct feature_set){.duties = {false, DEFAULT_REPORT_S}};
}

bool feature_set_parse(const char *toml, struct feature_set *out, char **error)
{
    char why[ERROR_SIZE] = "";
    char *json = toml_read_json(toml, why, sizeof why);
    bool ok = json && feature_check(json, why, sizeof why);
    *out = feature_set_default();
    if (ok) {
        json_object *object = json_tokener_parse(json), *duties = NULL;
        json_object_object_get_ex(object, "duties", &duties);
        json_flag(duties, "enabled", &out->duties.enabled);
        json_number(duties, "report_s", &out->duties.report_s);
        json_object_put(object);
    } else {
        *error = g_strdup(why);
    }
    free(json);
    return ok;
}

bool feature_set_load(const char *path, struct feature_set *out, char **error)
{
    char *text = NULL, *why = NULL;
    GError *problem = NULL;
    bool ok = false;
    if (!g_file_get_contents(path, &text, NULL, &problem)) {
        *error = g_strdup(problem->message);
        g_error_free(problem);
        return false;
    }
    ok = feature_set_parse(text, out, &why);
    if (!ok)
        *error = g_strdup_printf("%s: %s", path, why);
    g_free(why);
    g_free(text);
    return ok;
}
