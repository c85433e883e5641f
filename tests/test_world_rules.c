/**
 * @file
 * Tests of the rules that the test world checks. Each case reports a sequence of events to the
 * rules and compares the rule that is reported as broken. A violation that the rules miss would
 * stay hidden in all tests that use the test world.
 */
#include "world.h"

#include <stdio.h>

/**
 * A sequence of events, one a line, and the rule that it breaks. Events:
 *   submit ID FIELDS STATUS STAGE   FIELDS: replace those of the default job; "-" for none
 *   poll ID STATUS STAGE, abort ID STATUS STAGE
 *   start TASK MACHINE SENT_S, exit TASK MACHINE, done TASK MACHINE
 *   wait SECONDS
 *   look                            checks for jobs that wait although there is room for them
 *   shares                          checks the shares of jobs started
 * STATUS and STAGE are those of the response; SENT_S is the time at which the start command was
 * sent.
 */
struct rule_case {
    const char *name, *events;
    const char *rule; /* NULL: no rule is broken */
};

static const struct rules_machine machines[] = {
    {"a1", "g8", "a", false},  {"a2", "g8", "a", false}, {"b1", "g8", "b", false},
    {"spot", "g8", "a", true}, {"x1", "x9", "a", false},
};

static const char machine_types_json[] =
    "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,"
    "\"Yards\":[\"a\",\"b\"]},"
    "{\"Label\":\"x9\",\"Vcpus\":4,\"Cards\":0,\"MemoryGb\":8,\"Yards\":[\"a\"]}]}";

static const struct rule_case cases[] = {
    {"no rule is broken",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nstart wk-1/1 b1 0\npoll wk-1 200 running\n"
     "done wk-1/0 a1\ndone wk-1/1 b1\npoll wk-1 200 done\nwait 100\npoll wk-1 200 done",
     NULL},
    {"a start by a command sent after the cancellation",
     "submit wk-1 - 201 queued\nabort wk-1 200 cancelled\nwait 1\nstart wk-1/0 a1 1",
     "ran_cancelled"},
    {"a start by a command sent before the cancellation",
     "submit wk-1 - 201 queued\nwait 1\nabort wk-1 200 cancelled\nwait 20\nstart wk-1/0 a1 0\n"
     "wait 9\nexit wk-1/0 a1",
     NULL},
    {"a start by an earlier command, too long after the cancellation",
     "submit wk-1 - 201 queued\nwait 1\nabort wk-1 200 cancelled\nwait 31\nstart wk-1/0 a1 0",
     "ran_cancelled"},
    {"a task that exits too long after the cancellation",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nabort wk-1 200 cancelled\nwait 31\n"
     "exit wk-1/0 a1",
     "ran_cancelled"},
    {"a task of a cancelled job that still runs at the end",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nabort wk-1 200 cancelled\nwait 31",
     "ran_cancelled"},
    {"a task that exits in time after the cancellation",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nabort wk-1 200 cancelled\nwait 29\n"
     "exit wk-1/0 a1\nwait 10",
     NULL},
    {"a cancellation reported only by a poll",
     "submit wk-1 - 201 queued\nabort wk-1 503 -\nwait 1\npoll wk-1 200 cancelled\nwait 1\n"
     "start wk-1/0 a1 2",
     "ran_cancelled"},
    {"a cancellation that no response has reported",
     "submit wk-1 - 201 queued\nabort wk-1 503 -\nwait 1\nstart wk-1/0 a1 1", NULL},
    {"cancelled together with a job that it depends on",
     "submit wk-0 - 201 queued\nsubmit wk-1 \"Awaits\":[\"wk-0\"] 201 queued\n"
     "abort wk-0 200 cancelled\npoll wk-1 200 cancelled",
     NULL},
    {"cancelled, then queued",
     "submit wk-1 - 201 queued\nabort wk-1 200 cancelled\nwait 1\npoll wk-1 200 queued",
     "went_back"},
    {"cancelled, then done",
     "submit wk-1 \"Pieces\":1 201 queued\nstart wk-1/0 a1 0\ndone wk-1/0 a1\n"
     "abort wk-1 200 cancelled\npoll wk-1 200 done",
     "went_back"},
    {"done, then cancelled",
     "submit wk-1 \"Pieces\":1 201 queued\nstart wk-1/0 a1 0\ndone wk-1/0 a1\n"
     "poll wk-1 200 done\nabort wk-1 200 cancelled",
     "went_back"},
    {"done, then running",
     "submit wk-1 \"Pieces\":1 201 queued\nstart wk-1/0 a1 0\ndone wk-1/0 a1\npoll wk-1 200 done\n"
     "wait 1\npoll wk-1 200 running",
     "went_back"},
    {"done, then submitted as if it were new",
     "submit wk-1 \"Pieces\":1 201 queued\nstart wk-1/0 a1 0\ndone wk-1/0 a1\npoll wk-1 200 done\n"
     "wait 1\nsubmit wk-1 \"Pieces\":1 201 queued",
     "went_back"},
    {"cancelled without a request", "submit wk-1 - 201 queued\npoll wk-1 200 cancelled",
     "went_back"},
    {"cancelled together with a job that it does not depend on",
     "submit wk-0 - 201 queued\nsubmit wk-1 - 201 queued\nabort wk-0 200 cancelled\n"
     "poll wk-1 200 cancelled",
     "went_back"},
    {"accepted, then 404", "submit wk-1 - 201 queued\nwait 1\npoll wk-1 404 -", "forgotten"},
    {"accepted, then an abort gets 404", "submit wk-1 - 201 queued\nwait 1\nabort wk-1 404 -",
     "forgotten"},
    {"accepted, then 422", "submit wk-1 - 201 queued\nwait 1\nsubmit wk-1 - 422 -", "forgotten"},
    {"accepted, then 400", "submit wk-1 - 201 queued\nwait 1\nsubmit wk-1 - 400 -", "forgotten"},
    {"accepted, then 503", "submit wk-1 - 201 queued\nwait 1\nsubmit wk-1 - 503 -", NULL},
    {"404 while the outcome of the submission was unknown",
     "submit wk-1 - 503 -\npoll wk-1 404 -\npoll wk-1 200 queued", NULL},
    {"never submitted", "poll wk-1 200 queued", "invented"},
    {"never submitted, and cancelled", "abort wk-1 200 cancelled", "invented"},
    {"rejected, then reported as queued", "submit wk-1 - 422 -\npoll wk-1 200 queued", "invented"},
    {"a task that nobody submitted", "start wk-1/0 a1 0", "invented"},
    {"a task beyond the last one", "submit wk-1 - 201 queued\nstart wk-1/2 a1 0", "invented"},
    {"done too early",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nstart wk-1/1 a1 0\ndone wk-1/0 a1\n"
     "exit wk-1/1 a1\npoll wk-1 200 done",
     "not_done"},
    {"a task done twice counts once",
     "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\ndone wk-1/0 a1\nstart wk-1/0 a2 0\n"
     "done wk-1/0 a2\npoll wk-1 200 done",
     "not_done"},
    {"accepted without a field", "submit wk-1 \"Mould\":null 201 queued", "accepted"},
    {"accepted with a string for a number", "submit wk-1 \"Vcpus\":\"2\" 201 queued", "accepted"},
    {"accepted with no task", "submit wk-1 \"Pieces\":0 201 queued", "accepted"},
    {"accepted with an unknown form", "submit wk-1 \"Form\":\"pile\" 201 queued", "accepted"},
    {"accepted of an unknown team", "submit wk-1 \"Crew\":\"green\" 201 queued", "accepted"},
    {"accepted though it fits no type", "submit wk-1 \"Vcpus\":9.0 201 queued", "accepted"},
    {"accepted though it fits no allowed type",
     "submit wk-1 \"Vcpus\":6.0,\"Builds\":[\"x9\"] 201 queued", "accepted"},
    {"accepted though it fits no type of its zone",
     "submit wk-1 \"Builds\":[\"x9\"],\"Yard\":\"b\" 201 queued", "accepted"},
    {"accepted, a gang beyond the limit",
     "submit wk-1 \"Crew\":\"red\",\"Form\":\"gang\",\"Pieces\":9 201 queued", "accepted"},
    {"accepted, a service beyond the limit",
     "submit wk-1 \"Crew\":\"red\",\"Form\":\"daemon\",\"Pieces\":9 201 queued", "accepted"},
    {"an array may be longer than the limit",
     "submit wk-1 \"Crew\":\"red\",\"Pieces\":9 201 queued", NULL},
    {"over the limit",
     "submit wk-1 \"Crew\":\"red\",\"Vcpus\":8.0,\"Pieces\":3 201 queued\nstart wk-1/0 a1 0\n"
     "start wk-1/1 a2 0\nstart wk-1/2 b1 0",
     "quota"},
    {"over the limit with another job",
     "submit wk-1 \"Crew\":\"red\",\"Vcpus\":8.0 201 queued\nsubmit wk-2 \"Crew\":\"red\" 201 "
     "queued\n"
     "start wk-1/0 a1 0\nstart wk-1/1 a2 0\nstart wk-2/0 b1 0",
     "quota"},
    {"one task exits before the next one starts",
     "submit wk-1 \"Crew\":\"red\",\"Vcpus\":8.0,\"Pieces\":3 201 queued\nstart wk-1/0 a1 0\n"
     "start wk-1/1 a2 0\nexit wk-1/0 a1\nstart wk-1/2 b1 0",
     NULL},
    {"a type that is not allowed", "submit wk-1 \"Builds\":[\"g8\"] 201 queued\nstart wk-1/0 x1 0",
     "wrong_place"},
    {"a zone that is not allowed", "submit wk-1 \"Yard\":\"a\" 201 queued\nstart wk-1/0 b1 0",
     "wrong_place"},
    {"a kind that is not allowed", "submit wk-1 \"Loaners\":false 201 queued\nstart wk-1/0 spot 0",
     "wrong_place"},
    {"two zones instead of one",
     "submit wk-1 \"OneZone\":true 201 queued\nstart wk-1/0 a1 0\nstart wk-1/1 b1 0",
     "wrong_place"},
    {"two zones, but one after the other",
     "submit wk-1 \"OneZone\":true 201 queued\nstart wk-1/0 a1 0\nexit wk-1/0 a1\n"
     "start wk-1/1 b1 0",
     NULL},
    {"more than half in one zone",
     "submit wk-1 \"Apart\":true,\"Pieces\":3 201 queued\nstart wk-1/0 a1 0\nstart wk-1/1 a2 0\n"
     "start wk-1/2 a1 0",
     "wrong_place"},
    {"half, rounded up, in one zone",
     "submit wk-1 \"Apart\":true,\"Pieces\":3 201 queued\nstart wk-1/0 a1 0\nstart wk-1/1 a2 0\n"
     "start wk-1/2 b1 0",
     NULL},
    {"on two machines", "submit wk-1 - 201 queued\nstart wk-1/0 a1 0\nstart wk-1/0 b1 0",
     "ran_twice"},
    {"started before the job that it depends on",
     "submit wk-0 - 201 queued\nsubmit wk-1 \"Awaits\":[\"wk-0\"] 201 queued\nstart wk-1/0 a1 0",
     "too_early"},
    {"waits although there is room", "submit wk-1 - 201 queued\nlook\nwait 90\nlook", "waits"},
    {"a gang waits although there is room",
     "submit wk-1 \"Form\":\"gang\" 201 queued\nlook\nwait 90\nlook", "waits"},
    {"waits for less than the limit", "submit wk-1 - 201 queued\nlook\nwait 89\nlook", NULL},
    {"waits while there is no room",
     "submit wk-1 \"Vcpus\":8.0,\"Builds\":[\"g8\"],\"Loaners\":false,\"Pieces\":4 201 queued\n"
     "start wk-1/0 a1 0\nstart wk-1/1 a2 0\nstart wk-1/2 b1 0\nlook\nwait 90\nlook",
     NULL},
    {"waits at its team's quota",
     "submit wk-1 \"Crew\":\"red\",\"Vcpus\":8.0,\"Pieces\":3 201 queued\nstart wk-1/0 a1 0\n"
     "start wk-1/1 a2 0\nlook\nwait 90\nlook",
     NULL},
    {"a gang waits while there is room for only a part of it",
     "submit wk-1 \"Form\":\"gang\",\"Vcpus\":8.0,\"Yard\":\"b\" 201 queued\nlook\nwait 90\nlook",
     NULL},
    {"a third of a class served",
     "submit wk-1 \"Pieces\":1 201 queued\nsubmit wk-2 \"Crew\":\"red\",\"Pieces\":1 201 queued\n"
     "submit wk-3 \"Crew\":\"red\",\"Pieces\":1 201 queued\nstart wk-1/0 a1 0\nshares",
     "shares"},
    {"no job of a team served",
     "submit wk-1 \"Pieces\":1 201 queued\nsubmit wk-2 \"Lot\":\"b\",\"Pieces\":1 201 queued\n"
     "submit wk-3 \"Crew\":\"red\",\"Pieces\":1 201 queued\nstart wk-1/0 a1 0\n"
     "start wk-2/0 a1 0\nshares",
     "shares"},
    {"the largest of a class late",
     "submit wk-1 \"Pieces\":1 201 queued\nsubmit wk-2 - 201 queued\nstart wk-1/0 a1 0\n"
     "wait 241\nstart wk-2/0 a1 241\nstart wk-2/1 a1 241\nshares",
     "shares"},
    {"half of each served, the largest in time",
     "submit wk-1 \"Pieces\":1 201 queued\nsubmit wk-2 - 201 queued\nwait 239\n"
     "start wk-2/0 a1 239\nstart wk-2/1 a1 239\nshares",
     NULL},
};

/** The default job as JSON, with some of its fields replaced. */
static char *format_job_with(const char *id, const char *replaced_fields)
{
    char *default_job = world_format_job(id, "sweep", 2, "blue", 2.0, "");
    json_object *object = json_tokener_parse(default_job);
    char *text = g_strdup_printf("{%s}", strcmp(replaced_fields, "-") == 0 ? "" : replaced_fields);
    json_object *replacements = json_tokener_parse(text);
    assert_non_null(replacements);
    json_object_object_foreach(replacements, name, value)
        json_object_object_add(object, name, json_object_get(value));
    char *job = g_strdup(json_object_to_json_string(object));
    json_object_put(object);
    json_object_put(replacements);
    g_free(default_job);
    g_free(text);
    return job;
}

/** Reports a user's request and its response, whose status and stage are given as two words. */
static void report_request_and_response(struct rules *rules, mono_time now, const char *method,
                                        const char *path, const char *body, char **status_and_stage)
{
    char *response = g_strdup_printf("{\"Stage\":\"%s\"}", status_and_stage[1]);
    rules_user_request_sent(rules, now, method, path, body);
    rules_user_request_answered(rules, now, now, method, path, body,
                                (int)strtol(status_and_stage[0], NULL, 10), response);
    g_free(response);
}

static const struct rules_machine *find_machine(const char *id)
{
    for (guint i = 0; i < G_N_ELEMENTS(machines); i++)
        if (strcmp(machines[i].id, id) == 0)
            return &machines[i];
    fail_msg("no machine %s", id);
    return NULL;
}

static void report_task_event(struct rules *rules, mono_time now, char **words)
{
    char **task = g_strsplit(words[1], "/", 2);
    const struct rules_machine *machine = find_machine(words[2]);
    uint32_t index = (uint32_t)strtoul(task[1], NULL, 10);
    if (strcmp(words[0], "start") == 0) {
        rules_task_started(rules, now, (mono_time){strtoll(words[3], NULL, 10) * INT64_C(1000000)},
                           machine, task[0], index);
    } else {
        rules_task_left(rules, now, machine->id, task[0], index);
        if (strcmp(words[0], "done") == 0)
            rules_task_completed(rules, task[0], index);
    }
    g_strfreev(task);
}

static void report_event(struct rules *rules, mono_time *now, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    char *path = words[1] ? g_strconcat("/work/", words[1], NULL) : NULL;
    if (strcmp(words[0], "submit") == 0) {
        char *body = format_job_with(words[1], words[2]);
        report_request_and_response(rules, *now, "POST", "/work", body, words + 3);
        g_free(body);
    } else if (strcmp(words[0], "poll") == 0) {
        report_request_and_response(rules, *now, "GET", path, "", words + 2);
    } else if (strcmp(words[0], "abort") == 0) {
        char *abort_path = g_strconcat(path, "/abort", NULL);
        report_request_and_response(rules, *now, "POST", abort_path, "", words + 2);
        g_free(abort_path);
    } else if (strcmp(words[0], "wait") == 0) {
        *now = time_add_ms(*now, 1000 * strtoll(words[1], NULL, 10));
    } else if (strcmp(words[0], "look") == 0) {
        rules_check_waiting_jobs(rules, *now, machines, G_N_ELEMENTS(machines));
    } else if (strcmp(words[0], "shares") == 0) {
        rules_check_start_shares(rules);
    } else {
        report_task_event(rules, *now, words);
    }
    g_free(path);
    g_strfreev(words);
}

/** Whether all violations are of the given rule. */
static bool all_violations_break(const char *violations, const char *rule)
{
    char **lines = g_strsplit(violations, "\n", -1), *prefix = g_strconcat(rule, ": ", NULL);
    bool all = true;
    for (int i = 0; lines[i]; i++)
        all = all && g_str_has_prefix(lines[i], prefix);
    g_strfreev(lines);
    g_free(prefix);
    return all;
}

static void each_rule_reports_its_violations(void **state)
{
    (void)state;
    struct world *world = world_new(); /* provides the settings */
    int failed_cases = 0;
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct rule_case *rule_case = &cases[i];
        struct rules *rules = rules_new(world->settings[0]);
        rules_set_machine_types(rules, machine_types_json);
        mono_time now = {0};
        char **lines = g_strsplit(rule_case->events, "\n", -1);
        for (int n = 0; lines[n]; n++)
            report_event(rules, &now, lines[n]);
        const char *violations = rules_finish(rules, now);
        bool is_expected = rule_case->rule
                               ? violations && all_violations_break(violations, rule_case->rule)
                               : !violations;
        failed_cases += !is_expected;
        if (!is_expected)
            print_error("%s: wanted %s, got %s\n", rule_case->name,
                        rule_case->rule ? rule_case->rule : "nothing",
                        violations ? violations : "nothing");
        g_strfreev(lines);
        rules_free(rules);
    }
    assert_int_equal(failed_cases, 0);
    world_free(world);
}

/* Jobs and tasks that a test stores directly, without a request, are known to the rules: they count
 * for quotas, and nothing else is assumed of them. */
static void existing_jobs_and_tasks_are_known(void **state)
{
    (void)state;
    struct world *world = world_new();
    struct rules *rules = rules_new(world->settings[0]);
    mono_time now = {1000};
    rules_set_machine_types(rules, machine_types_json);
    rules_add_existing_job(rules, now, "wk-1", "{\"f\":\"done\",\"n\":1}");
    rules_add_existing_job(rules, now, "wk-2", "{\"f\":\"cancelled\",\"n\":1}");
    char *spec = format_job_with("wk-3", "\"Crew\":\"red\",\"Vcpus\":8.0,\"Pieces\":3");
    char *value = g_strdup_printf("{\"t\":1,\"w\":%s}", spec);
    rules_add_existing_job(rules, now, "wk-3", value);
    report_event(rules, &now, "poll wk-1 200 done");
    report_event(rules, &now, "poll wk-2 200 cancelled");
    rules_add_existing_task(rules, now, find_machine("a1"), "wk-3", 0);
    rules_add_existing_task(rules, now, find_machine("a2"), "wk-3", 1);
    assert_null(rules_finish(rules, now));
    /* The two existing tasks count towards the quota. */
    report_event(rules, &now, "start wk-3/2 b1 0");
    assert_non_null(strstr(rules_finish(rules, now), "quota: "));
    report_event(rules, &now, "poll wk-1 404 -");
    assert_non_null(strstr(rules_finish(rules, now), "forgotten: "));
    report_event(rules, &now, "poll wk-3 200 cancelled");
    assert_non_null(strstr(rules_finish(rules, now), "went_back: "));
    g_free(spec);
    g_free(value);
    rules_free(rules);
    world_free(world);
}

/* The test world reports its events to the rules: false states stored by the test are noticed. */
static void events_of_the_test_world_reach_the_rules(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_submit(world, 0, "wk-2", "daemon", 1);
    world_run(world, 8000);
    assert_null(rules_finish(world->rules, loop_now(world->loop)));
    world_put_key(world, "ll/j/wk-1", "{\"f\":\"done\",\"n\":2}");
    world_run(world, 500);
    world_expect_stage(world, 0, "wk-1", "done");
    assert_non_null(strstr(rules_finish(world->rules, loop_now(world->loop)), "not_done: wk-1"));
    world_put_key(world, "ll/j/wk-9", "{\"f\":\"done\",\"n\":2}");
    world_run(world, 500);
    world_expect_stage(world, 1, "wk-9", "done");
    assert_non_null(strstr(rules_finish(world->rules, loop_now(world->loop)), "invented: wk-9"));
    world_remove_key(world, "ll/j/wk-2");
    world_run(world, 500);
    assert_int_equal(world_send_user_request(world, 2, "GET", "/work/wk-2", NULL).status, 404);
    assert_non_null(strstr(rules_finish(world->rules, loop_now(world->loop)), "forgotten: wk-2"));
    world_free(world);
}

static void settled_world_serves_all_its_jobs(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_submit(world, 1, "wk-2", "daemon", 2);
    world_send_user_request(world, 1, "POST", "/work/wk-2/abort", NULL);
    world->state_down = true;
    world_kill(world, 2);
    world_run(world, 12000);
    world_settle(world, 100000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    GPtrArray *paths = rules_list_uncancelled_job_paths(world->rules);
    assert_int_equal(paths->len, 1);
    assert_string_equal(paths->pdata[0], "/work/wk-1");
    g_ptr_array_unref(paths);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_rule_reports_its_violations),
        cmocka_unit_test(existing_jobs_and_tasks_are_known),
        cmocka_unit_test_setup(events_of_the_test_world_reach_the_rules, world_setup),
        WORLD_TEST(settled_world_serves_all_its_jobs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
