/** What users are answered: old jobs, refused submissions, and nodes whose replicas lag. */
#include "trouble_fixtures.h"

#include <string.h>

/* Jobs that are over stay known for good, also those that are not kept in memory any more. */
static void evicted_finished_jobs_are_read_from_the_state_service(void **state)
{
    struct world *world = *state;
    for (int n = 0; n < WORLD_NODES; n++)
        world->nodes[n]->replica->max_finished_jobs = 3;
    char path[32], body[48];
    for (int i = 0; i < 12; i++) {
        g_snprintf(path, sizeof path, "wk-%02d", i);
        g_snprintf(body, sizeof body, "{\"f\":\"%s\",\"n\":4}", i % 2 ? "done" : "cancelled");
        world_put_job(world, path, body);
        world_run(world, 200);
    }
    assert_null(replica_get_job(world->nodes[0]->replica, "wk-00"));
    for (int i = 0; i < 12; i++) {
        const char *stage = i % 2 ? "done" : "cancelled";
        g_snprintf(path, sizeof path, "wk-%02d", i);
        world_expect_stage(world, i % 3, path, stage);
        struct user_response response = world_submit(world, (i + 1) % 3, path, "sweep", 4);
        assert_int_equal(response.status, 200);
        assert_non_null(strstr(response.body, stage));
        char *job =
            world_format_job(path, "sweep", 4, "nobody", 2.0, ""); /* 422, were it not known */
        assert_int_equal(world_send_user_request(world, i % 3, "POST", "/work", job).status, 200);
        g_free(job);
        g_snprintf(path, sizeof path, "/work/wk-%02d/abort", i);
        response = world_send_user_request(world, i % 3, "POST", path, NULL);
        assert_true(response.status == 200 && strstr(response.body, stage));
    }
    assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-404", NULL).status, 404);
    assert_int_equal(world_submit(world, 0, "wk-new", "sweep", 1).status, 201);
    world->watches_to_reject = 3; /* everything is read again */
    world_submit(world, 1, "wk-new2", "sweep", 1);
    world_run(world, 5000);
    world_expect_stage(world, 2, "wk-01", "done");
}

/* The job with each mandatory field taken out in turn. */
static void expect_status_without_each_field(struct world *world, const char *valid_body,
                                             int status)
{
    static const char *const fields[] = {
        "\"Lot\":\"lot\",",      "\"Crew\":\"blue\",",  "\"Form\":\"gang\",",
        "\"Urgency\":\"high\",", "\"Pieces\":2,",       "\"Vcpus\":2.0,",
        "\"Cards\":0.0,",        "\"MemoryGb\":1.0,",   "\"Mould\":\"img-1\",",
        "\"ImageGb\":1.0,",      "\"OneZone\":false,",  "\"Apart\":false,",
        "\"Loaners\":true,",     "\"ExpectedS\":10.0,", "\"MarkEveryS\":0.0,",
        ",\"StowS\":0.0",
    };
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
        char *incomplete_body = world_replace_string(valid_body, fields[i], "");
        for (int n = 0; n < WORLD_NODES; n++)
            assert_int_equal(
                world_send_user_request(world, n, "POST", "/work", incomplete_body).status, status);
        g_free(incomplete_body);
    }
}

/* Jobs with the same id that can never run. */
static void expect_status_of_infeasible_jobs(struct world *world, int status)
{
    char *infeasible[] = {
        world_format_job("wk-1", "gang", 2, "nobody", 2.0, ""), /* no such team */
        world_format_job("wk-1", "gang", 2, "blue", 9.0, ""),   /* fits no machine */
        world_format_job("wk-1", "gang", 9, "blue", 8.0, ""),   /* all of it passes the limit */
        world_format_job("wk-1", "daemon", 9, "blue", 8.0, ""),
    };
    for (guint i = 0; i < G_N_ELEMENTS(infeasible); i++) {
        for (int n = 0; n < WORLD_NODES; n++)
            assert_int_equal(
                world_send_user_request(world, n, "POST", "/work", infeasible[i]).status, status);
        g_free(infeasible[i]);
    }
}

/* The job wk-1 completes and leaves the memory of the first node. */
static void evict_finished_job(struct world *world)
{
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_run(world, 3000);
    world_expect_stage(world, 0, "wk-1", "done");
    world->nodes[0]->replica->max_finished_jobs = 0;
    world_submit(world, 0, "wk-3", "sweep", 1);
    assert_int_equal(world_cancel_job(world, 0, "wk-3"), 200);
    world_run(world, 3000);
    assert_null(replica_get_job(world->nodes[0]->replica, "wk-1"));
}

/* A submission that lacks a field gets 400 and one that can never run 422, whoever is asked and
 * however often; neither is ever accepted. One of an accepted job gets that job's state, whatever
 * it says. */
static void invalid_and_infeasible_submissions_are_always_rejected(void **state)
{
    struct world *world = *state;
    char *valid_body = world_format_job("wk-1", "gang", 2, "blue", 2.0, "");
    for (int round = 0; round < 2; round++) {
        expect_status_without_each_field(world, valid_body, round ? 200 : 400);
        expect_status_of_infeasible_jobs(world, round ? 200 : 422);
        if (!round) {
            assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-1", NULL).status,
                             404);
            assert_int_equal(world_send_user_request(world, 1, "POST", "/work", valid_body).status,
                             201);
        }
    }
    char *array = world_format_job("wk-2", "sweep", 9, "blue", 8.0, ""); /* one task is within it */
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", array).status, 201);
    g_free(array);
    /* Whether it was accepted cannot be told now. */
    char *incomplete_body = world_replace_string(valid_body, "\"Vcpus\":2.0,", "");
    world->state_down = true;
    world_run(world, 500);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", incomplete_body).status,
                     503);
    world->state_down = false;
    world_run(world, 3000);
    /* Nor is it forgotten once it is over and left memory. */
    evict_finished_job(world);
    struct user_response response =
        world_send_user_request(world, 0, "POST", "/work", incomplete_body);
    assert_true(response.status == 200 && strstr(response.body, "done"));
    g_free(incomplete_body);
    g_free(valid_body);
}

/* Users ask all nodes, and repeat the submission; the world sees to it that nothing is older.
 * stage NULL: whatever it may be. */
static void expect_status_and_resubmit_at_all_nodes(struct world *world, const char *job,
                                                    const char *stage)
{
    char *path = g_strconcat("/work/", job, NULL);
    for (int i = 0; i < WORLD_NODES; i++) {
        struct user_response response = world_send_user_request(world, i, "GET", path, NULL);
        assert_int_equal(response.status, 200);
        assert_true(!stage || strstr(response.body, stage));
        assert_int_equal(world_submit(world, i, job, "sweep", 2).status, 200);
    }
    g_free(path);
}

/* What the nodes' views show is half a second old, and yet no node tells anything older than what
 * another one has told. */
static void no_node_returns_an_older_state_than_another_node(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    world->inject_fault = delay_watch_responses;
    for (int i = 0; i < WORLD_NODES; i++) {
        char id[16], path[32];
        g_snprintf(id, sizeof id, "wk-%d", i);
        g_snprintf(path, sizeof path, "/work/%s/abort", id);
        assert_int_equal(world_submit(world, i, id, "sweep", 2).status, 201);
        expect_status_and_resubmit_at_all_nodes(world, id, NULL);
        world_run(world, 3000);
        assert_int_equal(world_send_user_request(world, i, "POST", path, NULL).status, 200);
        expect_status_and_resubmit_at_all_nodes(world, id, "\"cancelled\"");
        g_snprintf(id, sizeof id, "wk-1%d", i);
        assert_int_equal(world_submit(world, i, id, "sweep", 2).status, 201);
        world_run(world, 3000);
        world_exit_tasks_of_job(world, id, "done");
        char *job_path = g_strconcat("/work/", id, NULL);
        struct user_response response = {0};
        for (int n = 0; n < 300 && !strstr(response.body, "\"Stage\":\"done\""); n++)
            response = world_send_user_request(world, n % WORLD_NODES, "GET", job_path, NULL);
        g_free(job_path);
        expect_status_and_resubmit_at_all_nodes(world, id, "\"Stage\":\"done\"");
    }
}

/* Jobs are cancelled at every moment between their submission and the start of their tasks, while
 * what the nodes see is half a second old: nothing is started by a command sent after the answer.
 */
static void no_run_command_is_sent_after_a_cancellation_is_confirmed(void **state)
{
    struct world *world = *state;
    add_two_on_demand_machines(world);
    world->inject_fault = delay_watch_responses;
    for (int i = 0; i < 60; i++) {
        char id[16], path[32];
        g_snprintf(id, sizeof id, "wk-%d", i);
        g_snprintf(path, sizeof path, "/work/%s/abort", id);
        assert_int_equal(world_submit(world, i % 3, id, "sweep", 2).status, 201);
        world_run(world, INT64_C(25) * i);
        assert_int_equal(world_send_user_request(world, (i + 1) % 3, "POST", path, NULL).status,
                         200);
        world_run(world, 2500);
        assert_int_equal(world_count_active_tasks(world, id), 0);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(evicted_finished_jobs_are_read_from_the_state_service),
        WORLD_TEST(invalid_and_infeasible_submissions_are_always_rejected),
        WORLD_TEST(no_node_returns_an_older_state_than_another_node),
        WORLD_TEST(no_run_command_is_sent_after_a_cancellation_is_confirmed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
