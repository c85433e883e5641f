/* The features file: what can be used, and the one message for what cannot. */
#include "feature_set.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void good_files_are_read(void **state)
{
    (void)state;
    struct feature_set features;
    char *error = NULL;
    assert_true(feature_set_parse("", &features, &error));
    assert_false(features.singleton_roles.is_enabled);
    assert_true(feature_set_parse("[duties]\nenabled = true\nreport_s = 5\n", &features, &error));
    assert_true(features.singleton_roles.is_enabled);
    assert_true(features.singleton_roles.delay_report_interval_s == 5);
    assert_true(feature_set_parse("[duties]\nenabled = false\n", &features, &error));
    assert_false(features.singleton_roles.is_enabled);
    assert_null(error);
}

static void bad_files_are_refused_by_field(void **state)
{
    (void)state;
    static const char *const bad[][2] = {
        {"[duties]\n", "duties"}, /* enabled is missing */
        {"[duties]\nenabled = 1\n", "duties.enabled"},
        {"[duties]\nenabled = true\nreport_s = 0\n", "duties.report_s"},
        {"[duties]\nenabled = true\nreport_s = \"often\"\n", "duties.report_s"},
        {"[duties]\nenabled = true\nholder = \"mast-0\"\n", "duties"},
        {"[balance]\nenabled = true\n", "balance"},
        {"duties = true\n", "duties"},
        {"[duties\n", "line 1"},
    };
    for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct feature_set features;
        char *error = NULL;
        if (feature_set_parse(bad[i][0], &features, &error))
            fail_msg("accepted: %s", bad[i][0]);
        if (!strstr(error, bad[i][1]) || strchr(error, '\n'))
            fail_msg("%s: %s", bad[i][0], error);
        assert_false(features.singleton_roles.is_enabled);
        g_free(error);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_files_are_read),
        cmocka_unit_test(bad_files_are_refused_by_field),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
