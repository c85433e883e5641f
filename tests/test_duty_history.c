/* The checker of histories finds each thing that can be wrong, and nothing in what is right. */
#include "duty_history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const char holder[] = "{\"n\":\"mast-0\",\"i\":1}";

/* What a history has happen, one after the other; the revision counts up. */
struct event {
    enum { END, KEY, RENTED, RETURNED } kind;
    const char *name, *value;
    uint64_t revision; /* 0: the next */
};

#define FLEET "ll/duty/fleet"
#define PENDING "ll/pending/fleet/0"
#define RENT_INTENT "{\"t\":1,\"return\":[],\"rent\":[[\"r-1\",\"g8\",\"a\",true,2]]}"
#define RETURN_INTENT "{\"t\":1,\"return\":[\"host-000001\"],\"rent\":[]}"
#define PLACED(attempt) "{\"t\":\"@host-000001 #wk-1 *" attempt " 0 \",\"d\":\"\"}"

struct history_case {
    const char *about; /* of what is wrong; NULL: nothing is */
    struct event events[6];
};

static const struct history_case cases[] = {
    {NULL, {{KEY, FLEET, holder, 0}, {KEY, PENDING, RENT_INTENT, 0}, {RENTED, "r-1", "host-1", 0}}},
    {NULL,
     {{KEY, FLEET, holder, 0}, {KEY, PENDING, RETURN_INTENT, 0}, {RETURNED, "host-000001", "", 0}}},
    /* Late, after another holder came: it was on record under the token of then. */
    {NULL,
     {{KEY, FLEET, holder, 0},
      {KEY, PENDING, RETURN_INTENT, 0},
      {KEY, FLEET, NULL, 0},
      {KEY, FLEET, holder, 0},
      {RETURNED, "host-000001", "", 0}}},
    /* What was placed before may run on, also when its record goes to another page. */
    {NULL,
     {{KEY, FLEET, holder, 0},
      {KEY, "ll/p/mast-0/0", PLACED("7"), 0},
      {KEY, PENDING, RETURN_INTENT, 0},
      {KEY, "ll/p/mast-1/0", PLACED("7"), 0}}},
    {"fell", {{KEY, FLEET, holder, 0}, {KEY, FLEET, holder, 1}}},
    {"fell", {{KEY, FLEET, holder, 5}, {KEY, FLEET, NULL, 6}, {KEY, FLEET, holder, 3}}},
    {"under token 1 while 0", {{KEY, PENDING, RENT_INTENT, 0}}},
    {"under token 1 while 2", {{KEY, FLEET, holder, 2}, {KEY, PENDING, RENT_INTENT, 0}}},
    {"under token 1 while 0",
     {{KEY, FLEET, holder, 1}, {KEY, FLEET, NULL, 0}, {KEY, PENDING, RENT_INTENT, 0}}},
    {"cannot be read", {{KEY, FLEET, holder, 0}, {KEY, PENDING, "{\"t\":1}", 0}}},
    {"rented host-1 for r-2", {{KEY, FLEET, holder, 0}, {RENTED, "r-2", "host-1", 0}}},
    /* The record has to come first. */
    {"rented host-1 for r-1",
     {{KEY, FLEET, holder, 0}, {RENTED, "r-1", "host-1", 0}, {KEY, PENDING, RENT_INTENT, 0}}},
    {"returned host-000001", {{KEY, FLEET, holder, 0}, {RETURNED, "host-000001", "", 0}}},
    {"placed on a machine",
     {{KEY, FLEET, holder, 0},
      {KEY, PENDING, RETURN_INTENT, 0},
      {KEY, "ll/p/mast-0/0", PLACED("7"), 0}}},
    {"placed on a machine",
     {{KEY, FLEET, holder, 0},
      {KEY, "ll/p/mast-0/0", PLACED("7"), 0},
      {KEY, PENDING, RETURN_INTENT, 0},
      {KEY, "ll/p/mast-0/0", PLACED("8"), 0}}},
};

static void play_case(const struct history_case *history_case)
{
    struct duty_history *history = duty_history_new();
    uint64_t revision = 0;
    for (const struct event *event = history_case->events; event->kind != END; event++) {
        revision = event->revision ? event->revision : revision + 1;
        if (event->kind == KEY)
            duty_history_key_changed(history, event->name, event->value, revision);
        else if (event->kind == RENTED)
            duty_history_rented(history, event->name, event->value);
        else
            duty_history_returned(history, event->name);
    }
    const char *wrong = duty_history_get_violation(history);
    if (history_case->about && (!wrong || !strstr(wrong, history_case->about)))
        fail_msg("not found: %s (%s)", history_case->about, wrong ? wrong : "nothing");
    if (!history_case->about && wrong)
        fail_msg("nothing is wrong: %s", wrong);
    duty_history_free(history);
}

static void each_wrong_is_found(void **state)
{
    (void)state;
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
        play_case(&cases[i]);
}

static void machines_that_nobody_returned_are_named(void **state)
{
    (void)state;
    struct duty_history *history = duty_history_new();
    duty_history_key_changed(history, FLEET, holder, 1);
    duty_history_key_changed(history, PENDING, RENT_INTENT, 2);
    duty_history_rented(history, "r-1", "host-000001");
    duty_history_rented(history, "r-1", "host-000002");
    duty_history_key_changed(history, PENDING, RETURN_INTENT, 3);
    duty_history_returned(history, "host-000001");
    assert_null(duty_history_get_violation(history));
    GPtrArray *left = duty_history_list_rented_machines(history);
    assert_int_equal(left->len, 1);
    assert_string_equal(left->pdata[0], "host-000002");
    g_ptr_array_unref(left);
    duty_history_free(history);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_wrong_is_found),
        cmocka_unit_test(machines_that_nobody_returned_are_named),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
