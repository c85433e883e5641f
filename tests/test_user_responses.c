/**
 * Tests of the responses to users: old jobs, rejected submissions, and nodes with lagging replicas.
 */
#include "trouble_fixtures.h"

#include <string.h>

/* Finished jobs must stay known for good. A job that was evicted from the replicas is read from the
 * state service, and is neither accepted nor cancelled again. */
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
        char *job = world_format_job(path, "sweep", 4, "nobody", 2.0, ""); /* 422 if unknown */
        assert_int_equal(world_send_user_request(world, i % 3, "POST", "/work", job).status, 200);
        g_free(job);
        g_snprintf(path, sizeof path, "/work/wk-%02d/abort", i);
        response = world_send_user_request(world, i % 3, "POST", path, NULL);
        assert_true(response.status == 200 && strstr(response.body, stage));
    }
    assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-404", NULL).status, 404);
    assert_int_equal(world_submit(world, 0, "wk-new", "sweep", 1).status, 201);
    world->watches_to_reject = 3; /* makes the replicas read everything again */
    world_submit(world, 1, "wk-new2", "sweep", 1);
    world_run(world, 5000);
    world_expect_stage(world, 2, "wk-01", "done");
}

/* Expects a status for the submission with each of its required fields removed in turn. */
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

/* Expects a status for submissions with the id wk-1 that can never run. */
static void expect_status_of_infeasible_jobs(struct world *world, int status)
{
    char *infeasible[] = {
        world_format_job("wk-1", "gang", 2, "nobody", 2.0, ""), /* no such team */
        world_format_job("wk-1", "gang", 2, "blue", 9.0, ""),   /* fits no machine */
        world_format_job("wk-1", "gang", 9, "blue", 8.0, ""), /* the whole gang exceeds the limit */
        world_format_job("wk-1", "daemon", 9, "blue", 8.0, ""),
    };
    for (guint i = 0; i < G_N_ELEMENTS(infeasible); i++) {
        for (int n = 0; n < WORLD_NODES; n++)
            assert_int_equal(
                world_send_user_request(world, n, "POST", "/work", infeasible[i]).status, status);
        g_free(infeasible[i]);
    }
}

/* Completes the job wk-1 and makes the first node evict it from its replica. */
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

/* A submission without a required field must get 400 and one that can never run 422, from all nodes
 * and however often it is repeated, and neither is ever accepted. A submission with the id of an
 * accepted job must get the state of that job, whatever else it contains. */
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
    char *array = world_format_job("wk-2", "sweep", 9, "blue", 8.0, ""); /* each task fits alone */
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", array).status, 201);
    g_free(array);
    /* Whether the job was accepted is unknown during an outage, so the response is 503. */
    char *incomplete_body = world_replace_string(valid_body, "\"Vcpus\":2.0,", "");
    world->state_down = true;
    world_run(world, 500);
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", incomplete_body).status,
                     503);
    world->state_down = false;
    world_run(world, 3000);
    /* The same holds for a finished job that was evicted. */
    evict_finished_job(world);
    struct user_response response =
        world_send_user_request(world, 0, "POST", "/work", incomplete_body);
    assert_true(response.status == 200 && strstr(response.body, "done"));
    g_free(incomplete_body);
    g_free(valid_body);
}

/* Asks all nodes for the status of a job and repeats its submission. Any state is accepted if stage
 * is NULL; the world itself fails the test if a response is older than an earlier one. */
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

/* The replicas lag by half a second, and yet no node may return an older state than another node
 * has returned before. */
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

/* Jobs are cancelled at many moments between their submission and the start of their tasks, while
 * the replicas lag by half a second. No task may be started by a command that was sent after the
 * cancellation was confirmed. */
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
