/* ARQ against numbers worked by hand. */
#include "arq.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void near(double a, double b)
{
    if (fabs(a - b) > 1e-6)
        fail_msg("%.9f is not %.9f", a, b);
}

static void shares_fall_into_ten_classes(void **state)
{
    (void)state;
    assert_int_equal(arq_class(0.01), 1);
    assert_int_equal(arq_class(0.1), 1);
    assert_int_equal(arq_class(0.11), 2);
    assert_int_equal(arq_class(0.5), 5);
    assert_int_equal(arq_class(1.0), 10);
    assert_int_equal(arq_class(0), 1);
    /* A machine's pool goes by what is left of it. */
    assert_int_equal(arq_pool(0), 10);
    assert_int_equal(arq_pool(0.05), 10);
    assert_int_equal(arq_pool(0.5), 5);
    assert_int_equal(arq_pool(1), 1);
}

/* CT 100, P 0: S = 105, and a task may wait 5 s in all.
 * Own class 3, waited 2 s there, chance 0.5:  (105 - 2) * 3 * 0.5 = 154.5
 * next class 4, chance 0.3:                   (105 - 0) * 4 * 0.3 = 126.0    stays
 * chance 0.4:                                 (105 - 0) * 4 * 0.4 = 168.0    switches */
static void the_switch_rule_compares_what_is_left_of_the_slack(void **state)
{
    (void)state;
    struct arq_switch_inputs terms = {.expected_run_s = 100,
                                      .wait_own_s = 2,
                                      .quality_own = 3,
                                      .quality_next = 4,
                                      .probability_own = 0.5,
                                      .probability_next = 0.3};
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_STAY);
    terms.probability_next = 0.4;
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_SWITCH);
    /* Equal terms favour the own class. */
    terms.probability_own = terms.probability_next = 0;
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_STAY);
}

/* 0.05 * 100 = 5: 2 + 2.9 is within it, 2 + 3 is not; with P = 1 neither is 2 + 2. */
static void the_wait_is_bounded_by_the_tolerated_slowdown(void **state)
{
    (void)state;
    struct arq_switch_inputs terms = {.expected_run_s = 100,
                                      .wait_own_s = 2,
                                      .wait_next_s = 2.9,
                                      .quality_own = 1,
                                      .quality_next = 1};
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_STAY);
    terms.wait_next_s = 3;
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_TAKE_ANY);
    terms.wait_next_s = 2;
    terms.classification_s = 1;
    assert_int_equal(arq_apply_switch_rule(&terms), ARQ_TAKE_ANY);
    near(arq_max_wait_s(100, 1), 4);
    near(arq_max_wait_s(10, 1), 0);
}

/* Without samples, busy periods are exponential with the mean: two machines, mean 10, t 5:
 * each stays with exp(-0.5) = 0.606531, so one of them is free with 1 - 0.367879 = 0.632121. */
static void the_free_chance_is_one_minus_all_stay_busy(void **state)
{
    (void)state;
    struct arq_busy_history history = {0};
    double ages[] = {3, 8};
    near(arq_stay_busy_probability(&history, 3, 5, 10), 0.60653066);
    near(arq_free_probability(&history, ages, 2, 5, 10), 0.63212056);
    near(arq_free_probability(&history, ages, 0, 5, 10), 0);
}

/* Half of the samples e^2 s, half e^4 s: the logs' mean is 3, their deviation (n = 8) sqrt(8/7).
 * The median of the fitted log-normal is e^3, so that half stay busy past it. */
static void busy_periods_are_fitted(void **state)
{
    (void)state;
    struct arq_busy_history history = {0};
    for (int i = 0; i < 8; i++)
        arq_busy_history_add(&history, exp(i % 2 ? 2 : 4));
    near(history.log_mean, 3);
    near(history.log_deviation, sqrt(8.0 / 7));
    near(arq_stay_busy_probability(&history, 0, exp(3), 1), 0.5);
    /* The longer it has been busy, the rarer it is still busy at all. */
    double first = arq_stay_busy_probability(&history, 0, 20, 1),
           later = arq_stay_busy_probability(&history, 20, 20, 1);
    assert_true(first < 0.6 && later > first);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(shares_fall_into_ten_classes),
        cmocka_unit_test(the_switch_rule_compares_what_is_left_of_the_slack),
        cmocka_unit_test(the_wait_is_bounded_by_the_tolerated_slowdown),
        cmocka_unit_test(the_free_chance_is_one_minus_all_stay_busy),
        cmocka_unit_test(busy_periods_are_fitted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
