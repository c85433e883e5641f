/**
 * @file
 * Tests of the policy language: evaluation of its expressions, and the errors that its checker
 * reports for policies that are not valid.
 */
#include "policy.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/** The value of a numeric expression, where used_cpus is 10 and peak_cpus is 40. */
static double evaluate_number(const char *expression)
{
    struct policy_value value[POLICY_INPUT_COUNT] = {0};
    value[INPUT_USED_CPUS].number = 10;
    value[INPUT_PEAK_CPUS].number = 40;
    char *text = g_strdup_printf("spare_cpus = %s", expression);
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error->message);
    double result = policy_evaluate_number(policy, POLICY_SPARE_CPUS, value);
    policy_free(policy);
    g_free(text);
    return result;
}

/** The value of a boolean expression, where team is "red" and priority is "high". */
static bool evaluate_flag(const char *expression)
{
    struct policy_value value[POLICY_INPUT_COUNT] = {0};
    value[INPUT_TEAM].string = "red";
    value[INPUT_PRIORITY].string = "high";
    char *text = g_strdup_printf("# who may\npreempt = %s # end\n", expression);
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error->message);
    bool result = policy_evaluate_boolean(policy, POLICY_PREEMPT, value);
    policy_free(policy);
    g_free(text);
    return result;
}

/** Checks that a policy is rejected with a message that contains `message_part`. */
static void expect_error(const char *text, const char *message_part)
{
    GError *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    assert_null(policy);
    if (!strstr(error->message, message_part))
        fail_msg("'%s' does not say '%s'", error->message, message_part);
    g_error_free(error);
}

static void numeric_expressions_are_evaluated(void **state)
{
    (void)state;
    assert_true(evaluate_number("1 + 2 * 3") == 7);
    assert_true(evaluate_number("(1 + 2) * 3") == 9);
    assert_true(evaluate_number("10 - 4 - 3") == 3);
    assert_true(evaluate_number("12 / 4 / 3") == 1);
    assert_true(evaluate_number("-2 + 5") == 3);
    assert_true(evaluate_number("min(peak_cpus, 30) - max(used_cpus, 12)") == 18);
    assert_true(evaluate_number("if used_cpus > 5 then 0.5 * peak_cpus else 1") == 20);
}

static void out_of_range_results_are_clamped(void **state)
{
    (void)state;
    assert_true(evaluate_number("-5") == 0);
    assert_true(evaluate_number("1 / 0") == 1e6);
    assert_true(evaluate_number("0 / 0") == 0);
    /* NaN has no order: comparisons treat it as equal to any number. */
    assert_true(evaluate_number("if 0 / 0 == 1 then 7 else 8") == 7);
    assert_true(evaluate_number("if 0 / 0 < 1 then 7 else 8") == 8);
    assert_true(evaluate_number("min(0 / 0, 7) + max(7, 0 / 0)") == 14);
    /* Of 0 and -0, both min and max return the first argument. */
    assert_true(evaluate_number("1 / min(0, -0)") == 1e6 && evaluate_number("1 / min(-0, 0)") == 0);
    assert_true(evaluate_number("1 / max(0, -0)") == 1e6 && evaluate_number("1 / max(-0, 0)") == 0);
}

static void boolean_expressions_are_evaluated(void **state)
{
    (void)state;
    assert_true(evaluate_flag("team == \"red\" and not (priority == \"prod\")"));
    assert_true(evaluate_flag("false or true"));
    assert_false(evaluate_flag("true and false or false"));
    assert_false(evaluate_flag("peak_cpus >= 1"));
    assert_true(evaluate_flag("team != \"blue\""));
    assert_true(evaluate_flag("class == \"\"")); /* an input without a value */
    assert_true(evaluate_flag("true == true"));
    assert_true(evaluate_flag("true != false"));
    assert_true(evaluate_flag("1 < 2 and 2 > 1 and 2 <= 2 and 2 >= 2"));
    assert_false(evaluate_flag("2 < 1 or 1 > 2 or 3 <= 2 or 2 >= 3"));
    assert_true(evaluate_flag("if team == \"red\" then not false else false"));
    assert_true(evaluate_flag("true or false and false"));
}

static void errors_state_their_line_and_column(void **state)
{
    (void)state;
    expect_error("spare_cpus = 1 +", "line 1, column 17: expected a value");
    expect_error("\nidle_s = true", "line 2, column 10: expected a number, found a boolean");
    expect_error("preempt = team", "expected a boolean, found a string");
    expect_error("preempt = team == 3", "column 19: expected a string, found a number");
    expect_error("idle_s = 3 4", "column 12: expected the end of the line");
    expect_error("idle_s = backlog_s", "the input 'backlog_s' is not available in this setting");
    expect_error("idle_s = colour", "expected a value, found the unknown name 'colour'");
    expect_error("idle = 3",
                 "line 1, column 1: expected the name of a setting, found the unknown name 'idle'");
    expect_error("idle_s = 3\nidle_s = 4",
                 "line 2, column 1: expected each setting at most once, found 'idle_s' again");
    expect_error("idle_s 3", "expected '='");
    expect_error("idle_s = (3", "expected ')'");
    expect_error("preempt = team == \"red",
                 "expected a closing quotation mark before the end of the line");
    expect_error("idle_s = if spot then 3", "expected 'else'");
    expect_error("idle_s = 3x", "expected a finite number");
    char deep[400];
    memset(deep, '(', sizeof deep);
    memcpy(deep, "idle_s = ", 9);
    deep[sizeof deep - 1] = 0;
    expect_error(deep, "the expression is nested too deeply");
}

static const struct {
    const char *text, *message;
} error_cases[] = {
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

/* Compares whole messages, so that a change of their wording or position is noticed. */
static void each_error_has_its_exact_message(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
        GError *error = NULL;
        assert_null(policy_parse(error_cases[i].text, &error));
        if (strcmp(error->message, error_cases[i].message) != 0)
            fail_msg("'%s': '%s' in place of '%s'", error_cases[i].text, error->message,
                     error_cases[i].message);
        g_error_free(error);
    }
}

static void each_kind_of_error_has_its_code(void **state)
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
    assert_null(policy_parse("idle = 3", NULL)); /* the error argument is optional */
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

static void nesting_depth_is_limited(void **state)
{
    (void)state;
    static const struct {
        const char *before, *part, *after;
        int times;
        const char *message; /* NULL: the policy is valid */
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

static void file_errors_name_the_file(void **state)
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
        const char *message; /* after the path of the file; NULL: the policy is valid */
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

static void unset_settings_have_their_defaults(void **state)
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
        cmocka_unit_test(numeric_expressions_are_evaluated),
        cmocka_unit_test(out_of_range_results_are_clamped),
        cmocka_unit_test(boolean_expressions_are_evaluated),
        cmocka_unit_test(errors_state_their_line_and_column),
        cmocka_unit_test(each_error_has_its_exact_message),
        cmocka_unit_test(each_kind_of_error_has_its_code),
        cmocka_unit_test(nesting_depth_is_limited),
        cmocka_unit_test(file_errors_name_the_file),
        cmocka_unit_test(unset_settings_have_their_defaults),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
