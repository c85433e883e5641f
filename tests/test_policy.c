/* The expression language and its checker. */
#include "policy.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static double number(const char *expression)
{
    struct policy_value value[POLICY_INPUT_COUNT] = {0};
    value[INPUT_USED_CPUS].number = 10;
    value[INPUT_PEAK_CPUS].number = 40;
    char *text = g_strdup_printf("spare_cpus = %s", expression);
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error->message);
    double x = policy_evaluate_number(policy, POLICY_SPARE_CPUS, value);
    policy_free(policy);
    g_free(text);
    return x;
}

static bool flag(const char *expression)
{
    struct policy_value value[POLICY_INPUT_COUNT] = {0};
    value[INPUT_TEAM].string = "red";
    value[INPUT_PRIORITY].string = "high";
    char *text = g_strdup_printf("# who may\npreempt = %s # end\n", expression);
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error->message);
    bool x = policy_evaluate_boolean(policy, POLICY_PREEMPT, value);
    policy_free(policy);
    g_free(text);
    return x;
}

static void refused(const char *text, const char *why)
{
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    assert_null(policy);
    if (!strstr(error->message, why))
        fail_msg("'%s' does not say '%s'", error->message, why);
    g_error_free(error);
}

static void numbers_are_computed(void **state)
{
    (void)state;
    assert_true(number("1 + 2 * 3") == 7);
    assert_true(number("(1 + 2) * 3") == 9);
    assert_true(number("10 - 4 - 3") == 3);
    assert_true(number("12 / 4 / 3") == 1);
    assert_true(number("-2 + 5") == 3);
    assert_true(number("min(peak_cpus, 30) - max(used_cpus, 12)") == 18);
    assert_true(number("if used_cpus > 5 then 0.5 * peak_cpus else 1") == 20);
}

static void what_cannot_be_is_kept_in_range(void **state)
{
    (void)state;
    assert_true(number("-5") == 0);
    assert_true(number("1 / 0") == 1e6);
    assert_true(number("0 / 0") == 0);
    /* No order is known to a value that is no number: it compares as equal. */
    assert_true(number("if 0 / 0 == 1 then 7 else 8") == 7);
    assert_true(number("if 0 / 0 < 1 then 7 else 8") == 8);
    assert_true(number("min(0 / 0, 7) + max(7, 0 / 0)") == 14);
    /* Of 0 and -0 the first is the lesser as well as the greater. */
    assert_true(number("1 / min(0, -0)") == 1e6 && number("1 / min(-0, 0)") == 0);
    assert_true(number("1 / max(0, -0)") == 1e6 && number("1 / max(-0, 0)") == 0);
}

static void flags_are_computed(void **state)
{
    (void)state;
    assert_true(flag("team == \"red\" and not (priority == \"prod\")"));
    assert_true(flag("false or true"));
    assert_false(flag("true and false or false"));
    assert_false(flag("peak_cpus >= 1"));
    assert_true(flag("team != \"blue\""));
    assert_true(flag("class == \"\"")); /* an input without a value */
    assert_true(flag("true == true"));
    assert_true(flag("true != false"));
    assert_true(flag("1 < 2 and 2 > 1 and 2 <= 2 and 2 >= 2"));
    assert_false(flag("2 < 1 or 1 > 2 or 3 <= 2 or 2 >= 3"));
    assert_true(flag("if team == \"red\" then not false else false"));
    assert_true(flag("true or false and false"));
}

static void what_is_wrong_is_named_with_its_place(void **state)
{
    (void)state;
    refused("spare_cpus = 1 +", "line 1, column 17: expected a value");
    refused("\nidle_s = true", "line 2, column 10: expected a number, found a boolean");
    refused("preempt = team", "expected a boolean, found a string");
    refused("preempt = team == 3", "column 19: expected a string, found a number");
    refused("idle_s = 3 4", "column 12: expected the end of the line");
    refused("idle_s = backlog_s", "the input 'backlog_s' is not available in this setting");
    refused("idle_s = colour", "expected a value, found the unknown name 'colour'");
    refused("idle = 3",
            "line 1, column 1: expected the name of a setting, found the unknown name 'idle'");
    refused("idle_s = 3\nidle_s = 4",
            "line 2, column 1: expected each setting at most once, found 'idle_s' again");
    refused("idle_s 3", "expected '='");
    refused("idle_s = (3", "expected ')'");
    refused("preempt = team == \"red",
            "expected a closing quotation mark before the end of the line");
    refused("idle_s = if spot then 3", "expected 'else'");
    refused("idle_s = 3x", "expected a finite number");
    char deep[400];
    memset(deep, '(', sizeof deep);
    memcpy(deep, "idle_s = ", 9);
    deep[sizeof deep - 1] = 0;
    refused(deep, "the expression is nested too deeply");
}

static const struct {
    const char *text, *message;
} fault_cases[] = {
    {"spare_cpus = 1 +", "line 1, column 17: expected a value"},
    {"\nidle_s = true", "line 2, column 10: expected a number, found a boolean"},
    {"preempt = team", "line 1, column 11: expected a boolean, found a string"},
    {"preempt = team == 3", "line 1, column 19: expected a string, found a number"},
    {"idle_s = 3 4", "line 1, column 12: expected the end of the line"},
    {"idle_s = backlog_s",
     "line 1, column 10: the input 'backlog_s' is not available in this setting"},
    {"idle_s = colour", "line 1, column 10: expected a value, found the unknown name 'colour'"},
    {"idle = 3", "line 1, column 1: expected the name of a setting, found the unknown name 'idle'"},
    {"idle_s = 3\nidle_s = 4",
     "line 2, column 1: expected each setting at most once, found 'idle_s' again"},
    {"idle_s 3", "line 1, column 8: expected '='"},
    {"idle_s == 3", "line 1, column 9: expected '='"},
    {"idle_s = (3", "line 1, column 12: expected ')'"},
    {"preempt = team == \"red",
     "line 1, column 19: expected a closing quotation mark before the end of the line"},
    {"preempt = team == \"red\n\"",
     "line 1, column 19: expected a closing quotation mark before the end of the line"},
    {"idle_s = if spot then 3", "line 1, column 24: expected 'else'"},
    {"idle_s = if spot 3", "line 1, column 18: expected 'then'"},
    {"idle_s = if 3 then 3 else 4", "line 1, column 12: expected a boolean, found a number"},
    {"idle_s = if  3 then 3 else 4", "line 1, column 12: expected a boolean, found a number"},
    {"idle_s = if spot then 3 else true", "line 1, column 30: expected a number, found a boolean"},
    {"idle_s = if spot then 3 else   \"a\"",
     "line 1, column 32: expected a number, found a string"},
    {"idle_s = if spot then true else 3", "line 1, column 33: expected a boolean, found a number"},
    {"idle_s = 3x", "line 1, column 10: expected a finite number"},
    {"idle_s = 1e400", "line 1, column 10: expected a finite number"},
    {"idle_s = .", "line 1, column 10: expected a finite number"},
    {"idle_s = min 3", "line 1, column 14: expected '('"},
    {"idle_s = min(3", "line 1, column 15: expected ','"},
    {"idle_s = min(3)", "line 1, column 15: expected ','"},
    {"idle_s = min(3, 4", "line 1, column 18: expected ')'"},
    {"idle_s = min(true, 4)", "line 1, column 14: expected a number, found a boolean"},
    {"idle_s = min(3,  true)", "line 1, column 16: expected a number, found a boolean"},
    {"idle_s = max(\"a\", 4)", "line 1, column 14: expected a number, found a string"},
    {"idle_s = max(3, 4,5)", "line 1, column 18: expected ')'"},
    {"idle_s = - true", "line 1, column 10: expected a number, found a boolean"},
    {"idle_s = -", "line 1, column 11: expected a value"},
    {"preempt = not 3", "line 1, column 11: expected a boolean, found a number"},
    {"preempt = not  3", "line 1, column 11: expected a boolean, found a number"},
    {"preempt = not", "line 1, column 14: expected a value"},
    {"preempt = 1 and true", "line 1, column 11: expected a boolean, found a number"},
    {"preempt = true and 1", "line 1, column 20: expected a boolean, found a number"},
    {"preempt = true and  1", "line 1, column 21: expected a boolean, found a number"},
    {"preempt = true or 1", "line 1, column 19: expected a boolean, found a number"},
    {"preempt = 1 or true", "line 1, column 11: expected a boolean, found a number"},
    {"preempt = true or", "line 1, column 18: expected a value"},
    {"preempt = team < \"a\"", "line 1, column 11: expected a number, found a string"},
    {"preempt = true < false", "line 1, column 11: expected a number, found a boolean"},
    {"preempt = true == 3", "line 1, column 19: expected a boolean, found a number"},
    {"preempt = 1 < true", "line 1, column 15: expected a number, found a boolean"},
    {"preempt = 1 <  true", "line 1, column 16: expected a number, found a boolean"},
    {"preempt = 1 < 2 < 3", "line 1, column 17: expected the end of the line"},
    {"preempt = 1 == 2 == 3", "line 1, column 18: expected the end of the line"},
    {"spare_cpus = true + 1", "line 1, column 14: expected a number, found a boolean"},
    {"spare_cpus = 1 + true", "line 1, column 18: expected a number, found a boolean"},
    {"spare_cpus = 1 * \"x\"", "line 1, column 18: expected a number, found a string"},
    {"spare_cpus = 1 / ", "line 1, column 18: expected a value"},
    {"spare_cpus = 1 * team",
     "line 1, column 18: the input 'team' is not available in this setting"},
    {"spare_cpus = spot", "line 1, column 14: the input 'spot' is not available in this setting"},
    {"spare_cpus = _x", "line 1, column 14: expected a value"},
    {"3 = 4", "line 1, column 1: expected the name of a setting"},
    {"= 4", "line 1, column 1: expected the name of a setting"},
    {"_idle = 3", "line 1, column 1: expected the name of a setting"},
    {"idle_s", "line 1, column 7: expected '='"},
    {"idle_s =", "line 1, column 9: expected a value"},
    {"idle_s = # nothing", "line 1, column 19: expected a value"},
    {"idle_s = 3;", "line 1, column 11: expected the end of the line"},
    {"idle_s = 3)", "line 1, column 11: expected the end of the line"},
    {"preempt = truex", "line 1, column 11: expected a value, found the unknown name 'truex'"},
    {"preempt = iffy", "line 1, column 11: expected a value, found the unknown name 'iffy'"},
    {"idle_s = minimum(3)",
     "line 1, column 10: expected a value, found the unknown name 'minimum'"},
    {"idle_s = if spot then\n3 else 4", "line 1, column 22: expected a value"},
    {"rent_ordinary = cpus > 3",
     "line 1, column 17: the input 'cpus' is not available in this setting"},
    {"rent_ordinary = backlog_s > 3 and zone == \"a\"",
     "line 1, column 35: the input 'zone' is not available in this setting"},
    {"preempt = class == \"x\" or not team != \"y\" and 1 + 2 >= 3 * 4 / -5",
     "line 1, column 27: expected a boolean, found a string"},
    {"preempt = ((true)", "line 1, column 18: expected ')'"},
    {"preempt = (true", "line 1, column 16: expected ')'"},
    {"preempt = ()", "line 1, column 12: expected a value"},
    {"preempt = !true", "line 1, column 11: expected a value"},
    {"preempt = true && true", "line 1, column 16: expected the end of the line"},
    {"preempt = 1 = 1", "line 1, column 11: expected a boolean, found a number"},
    {"idle_s = min(3 4)", "line 1, column 16: expected ','"},
    {"idle_s = min(,4)", "line 1, column 14: expected a value"},
    {"idle_s = min( 3 , )", "line 1, column 19: expected a value"},
    {"idle_s = + 3", "line 1, column 10: expected a value"},
    {"preempt = \"a\"", "line 1, column 11: expected a boolean, found a string"},
    {"idle_s = 3 + \"\"", "line 1, column 14: expected a number, found a string"},
    {"preempt = team == \"a\" b", "line 1, column 23: expected the end of the line"},
    {"preempt = spot", "line 1, column 11: the input 'spot' is not available in this setting"},
    {"preempt = not spot == true",
     "line 1, column 15: the input 'spot' is not available in this setting"},
    {"idle_s = type", "line 1, column 10: expected a number, found a string"},
};

/* The whole message, so that neither its words nor its place can change unseen. */
static void each_fault_has_its_whole_message(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        GError *error = NULL;
        assert_null(policy_parse(fault_cases[i].text, &error));
        if (strcmp(error->message, fault_cases[i].message) != 0)
            fail_msg("'%s': '%s' in place of '%s'", fault_cases[i].text, error->message,
                     fault_cases[i].message);
        g_error_free(error);
    }
}

static void each_kind_of_fault_has_its_code(void **state)
{
    (void)state;
    char *deep = g_strnfill(100, '(');
    char *deep_text = g_strconcat("idle_s = ", deep, NULL);
    const struct {
        const char *text;
        enum policy_error code;
    } cases[] = {
        {"idle_s 3", POLICY_ERROR_SYNTAX},
        {"idle_s = true", POLICY_ERROR_TYPE},
        {"idle = 3", POLICY_ERROR_UNKNOWN_NAME},
        {"idle_s = colour", POLICY_ERROR_UNKNOWN_NAME},
        {"idle_s = 3\nidle_s = 4", POLICY_ERROR_DUPLICATE_SETTING},
        {deep_text, POLICY_ERROR_NESTING},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        assert_null(policy_parse(cases[i].text, &error));
        if (!g_error_matches(error, POLICY_ERROR, (int)cases[i].code))
            fail_msg("'%s': code %d", cases[i].text, error->code);
        g_error_free(error);
    }
    assert_null(policy_parse("idle = 3", NULL)); /* the error need not be wanted */
    g_free(deep_text);
    g_free(deep);
}

static char *repeat(const char *before, const char *part, int times, const char *after)
{
    GString *text = g_string_new(before);
    for (int i = 0; i < times; i++)
        g_string_append(text, part);
    g_string_append(text, after);
    return g_string_free(text, FALSE);
}

static void nesting_is_bounded(void **state)
{
    (void)state;
    static const struct {
        const char *before, *part, *after;
        int times;
        const char *message; /* NULL: nothing is wrong there */
    } cases[] = {
        {"idle_s = ", "(", "", 391, "line 1, column 74: the expression is nested too deeply"},
        {"idle_s = ", "-", "1", 63, NULL},
        {"idle_s = ", "-", "1", 64, "line 1, column 74: the expression is nested too deeply"},
        {"idle_s = ", "if true then 1 else ", "1", 70,
         "line 1, column 1273: the expression is nested too deeply"},
        {"preempt = ", "not ", "true", 80,
         "line 1, column 267: the expression is nested too deeply"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = repeat(cases[i].before, cases[i].part, cases[i].times, cases[i].after);
        GError *error = NULL;
        struct policy *policy = policy_parse(text, &error);
        if (cases[i].message) {
            assert_null(policy);
            assert_string_equal(error->message, cases[i].message);
        } else {
            assert_non_null(policy);
            policy_free(policy);
        }
        g_clear_error(&error);
        g_free(text);
    }
}

static void files_are_named_in_messages(void **state)
{
    (void)state;
    GError *error = NULL;
    assert_null(policy_load("/nowhere/policy", &error));
    assert_true(g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT));
    assert_true(g_str_has_prefix(error->message, "/nowhere/policy: Failed to open file"));
    g_clear_error(&error);

    char *path = NULL;
    int fd = g_file_open_tmp("policy-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    assert_true(g_close(fd, NULL));
    static const struct {
        const char *before, *part;
        int times;
        const char *message; /* after the file's name; NULL: nothing is wrong there */
    } cases[] = {
        {"idle_s = 3", "", 0, NULL},
        {"idle = 3", "", 0,
         "line 1, column 1: expected the name of a setting, found the unknown name 'idle'"},
        {"", "#", 65536, NULL},
        {"", "#", 65537, "the file is larger than the maximum of 64 KiB"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = repeat(cases[i].before, cases[i].part, cases[i].times, "");
        assert_true(g_file_set_contents(path, text, -1, NULL));
        struct policy *policy = policy_load(path, &error);
        char *message = cases[i].message ? g_strdup_printf("%s: %s", path, cases[i].message) : NULL;
        assert_int_equal(policy == NULL, message != NULL);
        if (message)
            assert_string_equal(error->message, message);
        if (policy)
            policy_free(policy);
        g_clear_error(&error);
        g_free(message);
        g_free(text);
    }
    assert_int_equal(g_unlink(path), 0);
    g_free(path);
}

static void what_is_not_set_has_its_default(void **state)
{
    (void)state;
    GError *error = NULL;
    struct policy *policy = policy_parse("idle_s = if spot then 20 else 90\n", &error);
    struct policy_value value[POLICY_INPUT_COUNT] = {0};
    value[INPUT_SPOT].boolean = true;
    value[INPUT_PEAK_CPUS].number = 100;
    assert_true(policy_evaluate_number(policy, POLICY_IDLE_S, value) == 20);
    assert_true(policy_evaluate_number(policy, POLICY_SPARE_CPUS, value) == 12);
    policy_free(policy);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(numbers_are_computed),
        cmocka_unit_test(what_cannot_be_is_kept_in_range),
        cmocka_unit_test(flags_are_computed),
        cmocka_unit_test(what_is_wrong_is_named_with_its_place),
        cmocka_unit_test(each_fault_has_its_whole_message),
        cmocka_unit_test(each_kind_of_fault_has_its_code),
        cmocka_unit_test(nesting_is_bounded),
        cmocka_unit_test(files_are_named_in_messages),
        cmocka_unit_test(what_is_not_set_has_its_default),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
