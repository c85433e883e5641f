/** Tests of ARQ, comparing its results with numbers computed by hand. */
#include "arq.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/** Fails unless two numbers differ by at most 1e-6. */
static void assert_near(double actual, double expected)
{
    if (fabs(actual - expected) > 1e-6)
        fail_msg("%.9f is not %.9f", actual, expected);
}

/**
 * The class of a task follows its share of a machine, and the pool of a machine follows the share
 * that is still free.
 */
static void resource_shares_map_to_ten_classes(void **state)
{
    (void)state;
    assert_int_equal(arq_class(0.01), 1);
    assert_int_equal(arq_class(0.1), 1);
    assert_int_equal(arq_class(0.11), 2);
    assert_int_equal(arq_class(0.5), 5);
    assert_int_equal(arq_class(1.0), 10);
    assert_int_equal(arq_class(0), 1);
    /* The pool of a machine is determined by its free share. */
    assert_int_equal(arq_pool(0), 10);
    assert_int_equal(arq_pool(0.05), 10);
    assert_int_equal(arq_pool(0.5), 5);
    assert_int_equal(arq_pool(1), 1);
}

/**
 * The switch rule compares the slack that is left in the own and in the next class, weighted with
 * quality and probability. CT = 100 and P = 0, so S = 105, and a task may wait 5 s in all:
 *
 *     own class 3, waited 2 s there, probability 0.5:  (105 - 2) * 3 * 0.5 = 154.5
 *     next class 4, probability 0.3:                   (105 - 0) * 4 * 0.3 = 126.0, stays
 *     next class 4, probability 0.4:                   (105 - 0) * 4 * 0.4 = 168.0, switches
 */
static void switch_rule_compares_weighted_remaining_slack(void **state)
{
    (void)state;
    struct arq_switch_inputs inputs = {.expected_run_s = 100,
                                       .wait_own_s = 2,
                                       .quality_own = 3,
                                       .quality_next = 4,
                                       .probability_own = 0.5,
                                       .probability_next = 0.3};
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_STAY);
    inputs.probability_next = 0.4;
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_SWITCH);
    /* If both values are equal, the task stays in its own class. */
    inputs.probability_own = inputs.probability_next = 0;
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_STAY);
}

/**
 * With CT = 100, a task may wait less than 0.05 * 100 = 5 s in all. Waits of 2 s + 2.9 s are within
 * this limit, 2 s + 3 s are not. With P = 1, neither are 2 s + 2 s.
 */
static void total_wait_is_bounded_by_the_tolerated_slowdown(void **state)
{
    (void)state;
    struct arq_switch_inputs inputs = {.expected_run_s = 100,
                                       .wait_own_s = 2,
                                       .wait_next_s = 2.9,
                                       .quality_own = 1,
                                       .quality_next = 1};
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_STAY);
    inputs.wait_next_s = 3;
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_TAKE_ANY);
    inputs.wait_next_s = 2;
    inputs.classification_s = 1;
    assert_int_equal(arq_apply_switch_rule(&inputs), ARQ_TAKE_ANY);
    assert_near(arq_max_wait_s(100, 1), 4);
    assert_near(arq_max_wait_s(10, 1), 0);
}

/**
 * Without samples, busy periods are assumed to be exponentially distributed with the given mean.
 * Two machines, mean 10, within 5 s: each stays busy with probability exp(-0.5) = 0.606531, so one
 * of them becomes free with probability 1 - 0.367879 = 0.632121.
 */
static void free_probability_is_the_complement_of_all_machines_staying_busy(void **state)
{
    (void)state;
    struct arq_busy_history history = {0};
    double ages[] = {3, 8};
    assert_near(arq_stay_busy_probability(&history, 3, 5, 10), 0.60653066);
    assert_near(arq_free_probability(&history, ages, 2, 5, 10), 0.63212056);
    assert_near(arq_free_probability(&history, ages, 0, 5, 10), 0);
}

/**
 * Half of the samples are e^2 s and half e^4 s, so the mean of their logarithms is 3 and the
 * standard deviation (n = 8) is sqrt(8/7). The median of the fitted log-normal distribution is e^3,
 * so half of the busy periods are longer than that.
 */
static void busy_periods_are_fitted_to_a_log_normal_distribution(void **state)
{
    (void)state;
    struct arq_busy_history history = {0};
    for (int i = 0; i < 8; i++)
        arq_busy_history_add(&history, exp(i % 2 ? 2 : 4));
    assert_near(history.log_mean, 3);
    assert_near(history.log_deviation, sqrt(8.0 / 7));
    assert_near(arq_stay_busy_probability(&history, 0, exp(3), 1), 0.5);
    /* The longer a machine has been busy, the more likely it is to stay busy. */
    double first = arq_stay_busy_probability(&history, 0, 20, 1),
           later = arq_stay_busy_probability(&history, 20, 20, 1);
    assert_true(first < 0.6 && later > first);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(resource_shares_map_to_ten_classes),
        cmocka_unit_test(switch_rule_compares_weighted_remaining_slack),
        cmocka_unit_test(total_wait_is_bounded_by_the_tolerated_slowdown),
        cmocka_unit_test(free_probability_is_the_complement_of_all_machines_staying_busy),
        cmocka_unit_test(busy_periods_are_fitted_to_a_log_normal_distribution),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
