/**
 * @file
 * Tests of the duty history, which checks what holders of singleton roles did: it must report each
 * kind of violation and accept valid histories. A violation that it misses would stay hidden in all
 * tests of singleton roles.
 */
#include "duty_history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const char holder_value[] = "{\"n\":\"mast-0\",\"i\":1}";

/** One event of a history; each event has the next revision unless it states its own. */
struct event {
    enum { END_OF_EVENTS, KEY_CHANGED, RENTED, RETURNED } kind;
    const char *name, *value;
    uint64_t revision; /* 0: one after the previous event's */
};

#define ROLE_KEY "ll/duty/fleet"
#define INTENT_KEY "ll/pending/fleet/0"
#define RENT_INTENT "{\"t\":1,\"return\":[],\"rent\":[[\"r-1\",\"g8\",\"a\",true,2]]}"
#define RETURN_INTENT "{\"t\":1,\"return\":[\"host-000001\"],\"rent\":[]}"
#define PLACED(attempt) "{\"t\":\"@host-000001 #wk-1 *" attempt " 0 \",\"d\":\"\"}"

/** A history and the violation that must be reported for it. */
struct history_case {
    const char *expected_violation; /* part of the message; NULL: the history is valid */
    struct event events[6];
};

static const struct history_case cases[] = {
    {NULL,
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, INTENT_KEY, RENT_INTENT, 0},
      {RENTED, "r-1", "host-1", 0}}},
    {NULL,
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, INTENT_KEY, RETURN_INTENT, 0},
      {RETURNED, "host-000001", "", 0}}},
    /* A return carried out after the role changed hands: its intent was recorded under the token
       valid at that time. */
    {NULL,
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, INTENT_KEY, RETURN_INTENT, 0},
      {KEY_CHANGED, ROLE_KEY, NULL, 0},
      {KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {RETURNED, "host-000001", "", 0}}},
    /* A task placed before the return intent may keep running, also when its run record moves to
       another page. */
    {NULL,
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, "ll/p/mast-0/0", PLACED("7"), 0},
      {KEY_CHANGED, INTENT_KEY, RETURN_INTENT, 0},
      {KEY_CHANGED, "ll/p/mast-1/0", PLACED("7"), 0}}},
    {"fell", {{KEY_CHANGED, ROLE_KEY, holder_value, 0}, {KEY_CHANGED, ROLE_KEY, holder_value, 1}}},
    {"fell",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 5},
      {KEY_CHANGED, ROLE_KEY, NULL, 6},
      {KEY_CHANGED, ROLE_KEY, holder_value, 3}}},
    {"under token 1 while 0", {{KEY_CHANGED, INTENT_KEY, RENT_INTENT, 0}}},
    {"under token 1 while 2",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 2}, {KEY_CHANGED, INTENT_KEY, RENT_INTENT, 0}}},
    {"under token 1 while 0",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 1},
      {KEY_CHANGED, ROLE_KEY, NULL, 0},
      {KEY_CHANGED, INTENT_KEY, RENT_INTENT, 0}}},
    {"cannot be read",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0}, {KEY_CHANGED, INTENT_KEY, "{\"t\":1}", 0}}},
    {"rented host-1 for r-2",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0}, {RENTED, "r-2", "host-1", 0}}},
    /* The intent must be recorded before the machine is rented. */
    {"rented host-1 for r-1",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {RENTED, "r-1", "host-1", 0},
      {KEY_CHANGED, INTENT_KEY, RENT_INTENT, 0}}},
    {"returned host-000001",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0}, {RETURNED, "host-000001", "", 0}}},
    {"placed on a machine",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, INTENT_KEY, RETURN_INTENT, 0},
      {KEY_CHANGED, "ll/p/mast-0/0", PLACED("7"), 0}}},
    {"placed on a machine",
     {{KEY_CHANGED, ROLE_KEY, holder_value, 0},
      {KEY_CHANGED, "ll/p/mast-0/0", PLACED("7"), 0},
      {KEY_CHANGED, INTENT_KEY, RETURN_INTENT, 0},
      {KEY_CHANGED, "ll/p/mast-0/0", PLACED("8"), 0}}},
};

static void run_case(const struct history_case *history_case)
{
    struct duty_history *history = duty_history_new();
    uint64_t revision = 0;
    for (const struct event *event = history_case->events; event->kind != END_OF_EVENTS; event++) {
        revision = event->revision ? event->revision : revision + 1;
        if (event->kind == KEY_CHANGED)
            duty_history_key_changed(history, event->name, event->value, revision);
        else if (event->kind == RENTED)
            duty_history_rented(history, event->name, event->value);
        else
            duty_history_returned(history, event->name);
    }
    const char *violation = duty_history_get_violation(history);
    if (history_case->expected_violation &&
        (!violation || !strstr(violation, history_case->expected_violation)))
        fail_msg("not reported: %s (got %s)", history_case->expected_violation,
                 violation ? violation : "nothing");
    if (!history_case->expected_violation && violation)
        fail_msg("a valid history was reported: %s", violation);
    duty_history_free(history);
}

static void valid_histories_pass_and_each_violation_is_reported(void **state)
{
    (void)state;
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
        run_case(&cases[i]);
}

static void rented_machines_not_returned_are_listed(void **state)
{
    (void)state;
    struct duty_history *history = duty_history_new();
    duty_history_key_changed(history, ROLE_KEY, holder_value, 1);
    duty_history_key_changed(history, INTENT_KEY, RENT_INTENT, 2);
    duty_history_rented(history, "r-1", "host-000001");
    duty_history_rented(history, "r-1", "host-000002");
    duty_history_key_changed(history, INTENT_KEY, RETURN_INTENT, 3);
    duty_history_returned(history, "host-000001");
    assert_null(duty_history_get_violation(history));
    GPtrArray *remaining = duty_history_list_rented_machines(history);
    assert_int_equal(remaining->len, 1);
    assert_string_equal(remaining->pdata[0], "host-000002");
    g_ptr_array_unref(remaining);
    duty_history_free(history);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_histories_pass_and_each_violation_is_reported),
        cmocka_unit_test(rented_machines_not_returned_are_listed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
