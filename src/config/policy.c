/** Creation, evaluation and release of a policy. The expression language is implemented in the
 * policy_*.c files. */
#include "policy.h"

#include "policy_evaluator.h"
#include "policy_parser.h"

#include <math.h>

enum { MAX_POLICY_KIB = 64, MAX_POLICY_BYTES = MAX_POLICY_KIB * 1024 };

struct policy {
    /** The expression of each setting. Entries are NULL only while the policy is being parsed. */
    struct policy_expression *settings[POLICY_SETTING_COUNT];
};

G_DEFINE_QUARK(linenlanding_policy_error, policy_error)

/** Parses the contents of a policy file. Settings that it does not contain stay NULL. */
static struct policy *parse_settings(const char *text, GError **error)
{
    struct policy *policy = g_new0(struct policy, 1);
    if (!policy_parser_read(text, policy->settings, error)) {
        policy_free(policy);
        return NULL;
    }
    return policy;
}

struct policy *policy_default(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < POLICY_SETTING_COUNT; i++) {
        const struct policy_setting_definition *setting =
            policy_schema_get_setting((enum policy_setting)i);
        g_string_append_printf(text, "%s = %s\n", setting->name, setting->default_expression);
    }
    struct policy *policy = parse_settings(text->str, NULL);
    /* The default expressions are compiled in, so they always parse. */
    g_assert(policy);
    g_string_free(text, TRUE);
    return policy;
}

struct policy *policy_parse(const char *text, GError **error)
{
    struct policy *policy = parse_settings(text, error);
    if (!policy)
        return NULL;
    struct policy *defaults = policy_default();
    for (int i = 0; i < POLICY_SETTING_COUNT; i++)
        if (!policy->settings[i])
            policy->settings[i] = g_steal_pointer(&defaults->settings[i]);
    policy_free(defaults);
    return policy;
}

struct policy *policy_load(const char *path, GError **error)
{
    char *text = NULL;
    gsize length_bytes = 0;
    struct policy *policy = NULL;
    if (g_file_get_contents(path, &text, &length_bytes, error)) {
        if (length_bytes > MAX_POLICY_BYTES)
            g_set_error(error, POLICY_ERROR, POLICY_ERROR_SIZE,
                        "the file is larger than the maximum of %d KiB", MAX_POLICY_KIB);
        else
            policy = policy_parse(text, error);
    }
    g_free(text);
    if (!policy)
        g_prefix_error(error, "%s: ", path);
    return policy;
}

void policy_free(struct policy *policy)
{
    for (int i = 0; i < POLICY_SETTING_COUNT; i++)
        policy_expression_free(policy->settings[i]);
    g_free(policy);
}

double policy_evaluate_number(const struct policy *policy, enum policy_setting setting,
                              const struct policy_value *inputs)
{
    const struct policy_setting_definition *definition = policy_schema_get_setting(setting);
    double number = policy_evaluate(policy->settings[setting], inputs).number;
    if (isnan(number))
        return definition->min;
    return CLAMP(number, definition->min, definition->max);
}

bool policy_evaluate_boolean(const struct policy *policy, enum policy_setting setting,
                             const struct policy_value *inputs)
{
    return policy_evaluate(policy->settings[setting], inputs).boolean;
}
