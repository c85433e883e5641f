/**
 * @file
 * Tests of the features file: valid files are parsed, and an invalid one is rejected with a message
 * of one line that names the field or the position.
 */
#include "feature_set.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void valid_files_are_parsed(void **state)
{
    (void)state;
    struct feature_set features;
    GError *error = NULL;
    assert_true(feature_set_parse("", &features, &error));
    assert_false(features.singleton_roles.is_enabled);
    assert_true(feature_set_parse("[duties]\nenabled = true\nreport_s = 5\n", &features, &error));
    assert_true(features.singleton_roles.is_enabled);
    assert_true(features.singleton_roles.delay_report_interval_s == 5);
    assert_true(feature_set_parse("[duties]\nenabled = false\n", &features, &error));
    assert_false(features.singleton_roles.is_enabled);
    assert_null(error);
}

static void invalid_files_are_rejected_with_the_field_name(void **state)
{
    (void)state;
    static const char *const invalid[][2] = {
        {"[duties]\n", "duties"}, /* enabled is missing */
        {"[duties]\nenabled = 1\n", "duties.enabled"},
        {"[duties]\nenabled = true\nreport_s = 0\n", "duties.report_s"},
        {"[duties]\nenabled = true\nreport_s = \"often\"\n", "duties.report_s"},
        {"[duties]\nenabled = true\nholder = \"mast-0\"\n", "duties"},
        {"[balance]\nenabled = true\n", "balance"},
        {"duties = true\n", "duties"},
        {"[duties\n", "line 1"},
    };
    for (guint i = 0; i < G_N_ELEMENTS(invalid); i++) {
        struct feature_set features;
        GError *error = NULL;
        if (feature_set_parse(invalid[i][0], &features, &error))
            fail_msg("accepted: %s", invalid[i][0]);
        if (!strstr(error->message, invalid[i][1]) || strchr(error->message, '\n'))
            fail_msg("%s: %s", invalid[i][0], error->message);
        assert_false(features.singleton_roles.is_enabled);
        g_error_free(error);
    }
}

static void each_error_has_its_exact_message(void **state)
{
    (void)state;
    static const struct {
        const char *text, *message;
        enum feature_set_error code;
    } cases[] = {
        {"[duties]\n", "duties: Missing required property 'enabled'.", FEATURE_SET_ERROR_SCHEMA},
        {"[duties]\nenabled = 1\n",
         "duties.enabled: Value type not permitted by 'type' constraint.",
         FEATURE_SET_ERROR_SCHEMA},
        {"[duties]\nenabled = true\nreport_s = 0\n",
         "duties.report_s: Expected number greater than or equal to 1.000000",
         FEATURE_SET_ERROR_SCHEMA},
        {"[duties]\nenabled = true\nreport_s = 90000\n",
         "duties.report_s: Expected number less than or equal to 86400.000000",
         FEATURE_SET_ERROR_SCHEMA},
        {"[duties]\nenabled = true\nholder = \"x\"\n",
         "duties: Object contains a property that could not be validated using 'properties' or "
         "'additionalProperties' constraints: 'holder'.",
         FEATURE_SET_ERROR_SCHEMA},
        {"x = 1\n",
         "the file: Object contains a property that could not be validated using 'properties' or "
         "'additionalProperties' constraints: 'x'.",
         FEATURE_SET_ERROR_SCHEMA},
        {"a = ", "line 1, column 5: Error while parsing key-value pair: encountered end-of-file",
         FEATURE_SET_ERROR_SYNTAX},
    };
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct feature_set features;
        GError *error = NULL;
        assert_false(feature_set_parse(cases[i].text, &features, &error));
        assert_string_equal(error->message, cases[i].message);
        assert_true(g_error_matches(error, FEATURE_SET_ERROR, (int)cases[i].code));
        g_error_free(error);
    }
}

/* An unreadable file is named only by GLib's message; a schema error is prefixed with the path. */
static void file_errors_name_the_file(void **state)
{
    (void)state;
    struct feature_set features;
    GError *error = NULL;
    assert_false(feature_set_load("/nowhere/features", &features, &error));
    assert_true(g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT));
    assert_true(g_str_has_prefix(error->message, "Failed to open file"));
    g_clear_error(&error);

    char *path = NULL;
    int fd = g_file_open_tmp("features-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    assert_true(g_close(fd, NULL));
    assert_true(g_file_set_contents(path, "[duties]\n", -1, NULL));
    assert_false(feature_set_load(path, &features, &error));
    char *message = g_strdup_printf("%s: duties: Missing required property 'enabled'.", path);
    assert_string_equal(error->message, message);
    g_free(message);
    g_error_free(error);
    assert_int_equal(g_unlink(path), 0);
    g_free(path);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_files_are_parsed),
        cmocka_unit_test(invalid_files_are_rejected_with_the_field_name),
        cmocka_unit_test(each_error_has_its_exact_message),
        cmocka_unit_test(file_errors_name_the_file),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
