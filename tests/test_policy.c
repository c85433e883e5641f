/* The expression language and its checker. */
#include "policy.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static double number(const char *expression)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    value[INPUT_USED_CPUS].number = 10;
    value[INPUT_PEAK_CPUS].number = 40;
    char *text = g_strdup_printf("spare_cpus = %s", expression), *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error);
    double x = policy_number(policy, POLICY_SPARE_CPUS, value);
    policy_free(policy);
    g_free(text);
    return x;
}

static bool flag(const char *expression)
{
    struct policy_value value[POLICY_INPUTS] = {0};
    value[INPUT_TEAM].text = "red";
    value[INPUT_PRIORITY].text = "high";
    char *text = g_strdup_printf("# who may\npreempt = %s # end\n", expression), *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    if (!policy)
        fail_msg("%s", error);
    bool x = policy_flag(policy, POLICY_PREEMPT, value);
    policy_free(policy);
    g_free(text);
    return x;
}

static void refused(const char *text, const char *why)
{
    char *error = NULL;
    struct policy *policy = policy_parse(text, &error);
    assert_null(policy);
    if (!strstr(error, why))
        fail_msg("'%s' does not say '%s'", error, why);
    g_free(error);
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
}

static void flags_are_computed(void **state)
{
    (void)state;
    assert_true(flag("team == \"red\" and not (priority == \"prod\")"));
    assert_true(flag("false or true"));
    assert_false(flag("true and false or false"));
    assert_false(flag("peak_cpus >= 1"));
    assert_true(flag("team != \"blue\""));
}

static void what_is_wrong_is_named_with_its_place(void **state)
{
    (void)state;
    refused("spare_cpus = 1 +", "line 1, column 17: expected a value");
    refused("\nidle_s = true", "line 2, column 10: expected a number, found true or false");
    refused("preempt = team", "expected true or false, found a text");
    refused("preempt = team == 3", "column 19: expected a text, found a number");
    refused("idle_s = 3 4", "column 12: expected the end of the line");
    refused("idle_s = backlog_s", "backlog_s is not known in this setting");
    refused("idle_s = colour", "colour is no input");
    refused("idle = 3", "line 1, column 1: idle is no setting");
    refused("idle_s = 3\nidle_s = 4", "line 2, column 1: idle_s is set twice");
    refused("idle_s 3", "expected =");
    refused("idle_s = (3", "expected )");
    refused("preempt = team == \"red", "expected a closing quotation mark");
    refused("idle_s = if spot then 3", "expected else");
    refused("idle_s = 3x", "expected a number");
    char deep[400];
    memset(deep, '(', sizeof deep);
    memcpy(deep, "idle_s = ", 9);
    deep[sizeof deep - 1] = 0;
    refused(deep, "nested too deep");
}

static void what_is_not_set_has_its_default(void **state)
{
    (void)state;
    char *error = NULL;
    struct policy *policy = policy_parse("idle_s = if spot then 20 else 90\n", &error);
    struct policy_value value[POLICY_INPUTS] = {0};
    value[INPUT_SPOT].flag = true;
    value[INPUT_PEAK_CPUS].number = 100;
    assert_true(policy_number(policy, POLICY_IDLE_S, value) == 20);
    assert_true(policy_number(policy, POLICY_SPARE_CPUS, value) == 12);
    policy_free(policy);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(numbers_are_computed),
        cmocka_unit_test(what_cannot_be_is_kept_in_range),
        cmocka_unit_test(flags_are_computed),
        cmocka_unit_test(what_is_wrong_is_named_with_its_place),
        cmocka_unit_test(what_is_not_set_has_its_default),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
