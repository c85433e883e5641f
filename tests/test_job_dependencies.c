/** Tests of jobs that depend on other jobs: the dependency graph by itself, then whole nodes. */
#include "world.h"

#include <string.h>

/* ---- dependency graph ---- */

/** What the graph has reported to its listener. */
struct dag_updates {
    GHashTable *states; /* maps job ids to struct job_dag_state */
    int call_count, upstream_cancelled_count;
};

/**
 * The listener of the graph: stores the new state of a job, and counts the reports and the jobs
 * whose dependencies were cancelled.
 */
static void record_dag_update(void *ctx, const char *id, const struct job_dag_state *dag_state)
{
    struct dag_updates *updates = ctx;
    struct job_dag_state *old = g_hash_table_lookup(updates->states, id);
    updates->call_count++;
    updates->upstream_cancelled_count +=
        dag_state->upstream_cancelled && !(old && old->upstream_cancelled);
    g_hash_table_replace(updates->states, g_strdup(id), g_memdup2(dag_state, sizeof *dag_state));
}

/** Returns an empty record of updates. The caller frees its table of states. */
static struct dag_updates dag_updates_new(void)
{
    return (struct dag_updates){g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free), 0,
                                0};
}

/** Returns the state that was reported last for a job; fails if there is none. */
static struct job_dag_state get_dag_state(struct dag_updates *updates, const char *id)
{
    struct job_dag_state *dag_state = g_hash_table_lookup(updates->states, id);
    assert_non_null(dag_state);
    return *dag_state;
}

/** Returns the id in a string; fails if it is not valid. */
static job_id parse_job_id(const char *text)
{
    job_id id;
    assert_true(job_id_parse(&id, text));
    return id;
}

/**
 * Adds a job that depends on no job, on one or on two (NULL: none), and then these dependencies.
 * deadline_ms 0: the job has no deadline.
 */
static void add_job(struct job_dag *dag, const char *id, int priority, int64_t deadline_ms,
                    int64_t run_ms, const char *first_dependency, const char *second_dependency)
{
    job_id dependencies[2];
    guint n = 0;
    if (first_dependency)
        dependencies[n++] = parse_job_id(first_dependency);
    if (second_dependency)
        dependencies[n++] = parse_job_id(second_dependency);
    struct job_dag_attributes attributes = {
        priority, deadline_ms ? (wall_time){deadline_ms} : NO_DEADLINE, run_ms};
    job_dag_add_job(dag, parse_job_id(id), &attributes, dependencies, n);
    for (guint i = 0; i < n; i++) { /* the dependencies are existing, older jobs */
        struct job_dag_attributes other = {3, NO_DEADLINE, 1000};
        job_dag_add_job(dag, dependencies[i], &other, NULL, 0);
    }
}

/**
 * A job waits until each of its dependencies is done, and counts one that is reported twice only
 * once. It becomes ready when the last of them ended, in whatever order these are reported.
 */
static void job_waits_for_all_its_dependencies(void **state)
{
    (void)state;
    struct dag_updates updates = dag_updates_new();
    struct job_dag *dag = job_dag_new(record_dag_update, &updates);
    add_job(dag, "wk-c", 3, 0, 1000, "wk-a", "wk-b");
    add_job(dag, "wk-d", 3, 0, 1000, "wk-c", NULL);
    assert_int_equal(get_dag_state(&updates, "wk-c").pending_dependencies, 2);
    job_dag_mark_done(dag, parse_job_id("wk-b"), (wall_time){7000});
    job_dag_mark_done(dag, parse_job_id("wk-b"), (wall_time){9000}); /* reported twice */
    assert_int_equal(get_dag_state(&updates, "wk-c").pending_dependencies, 1);
    job_dag_mark_done(dag, parse_job_id("wk-a"), (wall_time){5000});
    assert_int_equal(get_dag_state(&updates, "wk-c").pending_dependencies, 0);
    assert_int_equal(get_dag_state(&updates, "wk-c").dependencies_done_at.ms,
                     7000); /* the last end, not the last report */
    assert_int_equal(get_dag_state(&updates, "wk-d").pending_dependencies, 1);
    job_dag_mark_done(dag, parse_job_id("wk-c"), (wall_time){8000});
    assert_int_equal(get_dag_state(&updates, "wk-d").pending_dependencies, 0);
    assert_int_equal(job_dag_size(dag), 0); /* settled jobs are not kept */
    job_dag_free(dag);
    g_hash_table_unref(updates.states);
}

/**
 * Each job of a long chain also depends on the first one, so that there are many paths. The
 * cancellation of the first job has to reach each of the others exactly once.
 */
static void cancellation_propagates_along_a_long_chain_at_once(void **state)
{
    (void)state;
    enum { CHAIN_LENGTH = 20000 };
    struct dag_updates updates = dag_updates_new();
    struct job_dag *dag = job_dag_new(record_dag_update, &updates);
    char before[24] = "wk-0";
    for (int i = 1; i <= CHAIN_LENGTH; i++) {
        char id[24];
        g_snprintf(id, sizeof id, "wk-%d", i);
        /* Each job also depends on the first one: many successors, and many paths. */
        add_job(dag, id, 3, 0, 1000, before, i > 1 ? "wk-0" : NULL);
        g_strlcpy(before, id, sizeof before);
    }
    job_dag_mark_cancelled(dag, parse_job_id("wk-0"), (revision){42});
    assert_int_equal(updates.upstream_cancelled_count, CHAIN_LENGTH);
    assert_int_equal(get_dag_state(&updates, "wk-20000").upstream_cancel_revision.value, 42);
    assert_int_equal(job_dag_size(dag), 0);
    job_dag_mark_cancelled(dag, parse_job_id("wk-5"),
                           (revision){43}); /* reported for each of them, too */
    job_dag_free(dag);
    g_hash_table_unref(updates.states);
}

/**
 * A job inherits the highest priority of the jobs that depend on it, and the earliest deadline
 * minus the run times along the longest path.
 */
static void priority_and_deadline_are_inherited_along_the_longest_path(void **state)
{
    (void)state;
    struct dag_updates updates = dag_updates_new();
    struct job_dag *dag = job_dag_new(record_dag_update, &updates);
    add_job(dag, "wk-long", 3, 0, 30000, "wk-a", NULL);
    add_job(dag, "wk-short", 2, 0, 5000, "wk-a", NULL);
    add_job(dag, "wk-last", 1, 100000, 8000, "wk-long", "wk-short");
    assert_int_equal(get_dag_state(&updates, "wk-long").inherited_priority, 1);
    assert_int_equal(get_dag_state(&updates, "wk-long").inherited_deadline.ms, 92000);
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_priority, 1);
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_deadline.ms, 62000);
    /* A job that is cancelled no longer passes on its priority and deadline; those of the other
     * jobs apply again. */
    add_job(dag, "wk-soon", 0, 50000, 1000, "wk-a", NULL);
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_priority, 0);
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_deadline.ms, 49000);
    job_dag_mark_cancelled(dag, parse_job_id("wk-soon"), (revision){9});
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_priority, 1);
    assert_int_equal(get_dag_state(&updates, "wk-a").inherited_deadline.ms, 62000);
    job_dag_free(dag);
    g_hash_table_unref(updates.states);
}

/* ---- whole nodes ---- */

/** Submits an array of team blue whose list of dependencies is the given JSON. */
static struct user_response submit_with_dependencies(struct world *world, int node, const char *id,
                                                     int tasks, const char *dependencies_json)
{
    char *more = g_strdup_printf(",\"Awaits\":%s", dependencies_json);
    char *body = world_format_job(id, "sweep", tasks, "blue", 2.0, more);
    struct user_response response = world_send_user_request(world, node, "POST", "/work", body);
    g_free(body);
    g_free(more);
    return response;
}

/** Completes the running tasks of a job, and fails unless the job is done then. */
static void complete_job(struct world *world, const char *job)
{
    assert_true(world_count_active_tasks(world, job) > 0);
    world_exit_tasks_of_job(world, job, "done");
    world_run(world, 2500);
    world_expect_stage(world, 0, job, "done");
}

/**
 * Submits a graph of four jobs, with one dependency named twice, and a job with an empty list of
 * dependencies. No job may start before all tasks of its dependencies are done.
 */
static void no_job_starts_before_its_dependencies_are_done(void **state)
{
    struct world *world = *state;
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 2).status, 201);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 2, "[\"wk-1\",\"wk-1\"]").status,
                     201);
    assert_int_equal(submit_with_dependencies(world, 2, "wk-3", 2, "[\"wk-1\"]").status, 201);
    assert_int_equal(submit_with_dependencies(world, 0, "wk-4", 2, "[\"wk-2\",\"wk-3\"]").status,
                     201);
    assert_int_equal(submit_with_dependencies(world, 0, "wk-5", 1, "[]").status, 201);
    world_run(world, 8000);
    assert_int_equal(world_count_active_tasks(world, "wk-5"), 1); /* empty list: no dependencies */
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
    for (int i = 2; i < 5; i++) {
        char id[8];
        g_snprintf(id, sizeof id, "wk-%d", i);
        assert_int_equal(world_count_active_tasks(world, id), 0);
        world_expect_stage(world, i % 3, id, "queued");
    }
    /* One of two tasks is done, so the job is not. */
    world_exit_tasks_of_job(world, "wk-5", "done");
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up && worker_find_task(&world->workers[i], "wk-1", 0))
            worker_exit_task(&world->workers[i], "wk-1", 0, "done");
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
    complete_job(world, "wk-1");
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 2);
    complete_job(world, "wk-2");
    assert_int_equal(world_count_active_tasks(world, "wk-4"), 0);
    complete_job(world, "wk-3");
    world_run(world, 3000);
    complete_job(world, "wk-4");
    /* A repeated submission after the job is done is recognized as the same job. */
    assert_int_equal(submit_with_dependencies(world, 1, "wk-4", 2, "[\"wk-2\",\"wk-3\"]").status,
                     200);
}

/** The leader dies between the end of a job and the start of the job that depends on it. */
static void new_leader_starts_jobs_whose_dependencies_are_done(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    submit_with_dependencies(world, 1, "wk-2", 2, "[\"wk-1\"]");
    world_run(world, 6000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (world->workers[i].up)
            worker_send_heartbeat(&world->workers[i]);
    const char *value;
    for (int i = 0; i < 400; i++) {
        value = world_get_key(world, "ll/j/wk-1");
        if (value && strstr(value, "\"f\""))
            break;
        assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
        world_run(world, 5);
    }
    world_kill(world, world_get_leader_index(world));
    world_run(world, 9000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
}

/**
 * Unknown jobs, a job itself, wrong types and too many dependencies are rejected. If the
 * dependencies cannot be read because the state service is down, the submission fails only
 * temporarily.
 */
static void invalid_dependencies_are_rejected(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 1);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[\"wk-1\",\"wk-9\"]").status,
                     422);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[\"wk-2\"]").status, 422);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "\"wk-1\"").status, 422);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[1]").status, 422);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[\"no such form\"]").status,
                     422);
    GString *too_many = g_string_new("[\"wk-1\"");
    for (int i = 0; i < 200; i++)
        g_string_append(too_many, ",\"wk-1\"");
    g_string_append_c(too_many, ']');
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, too_many->str).status, 422);
    g_string_free(too_many, TRUE);
    assert_int_equal(world_send_user_request(world, 0, "GET", "/work/wk-2", NULL).status, 404);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "null").status, 201);
    /* Dependencies that cannot be read now are not rejected for good. */
    world->state_down = true;
    world_run(world, 1000);
    struct user_response response = submit_with_dependencies(world, 1, "wk-3", 1, "[\"wk-9\"]");
    assert_int_equal(response.status, 503);
    assert_non_null(strstr(response.headers, "Retry-After"));
    world->state_down = false;
}

/**
 * A cancellation also cancels the jobs that depend on the job, directly or not, on every node and
 * after all nodes have restarted.
 */
static void cancellation_cancels_all_dependent_jobs(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    submit_with_dependencies(world, 1, "wk-2", 2, "[\"wk-1\"]");
    submit_with_dependencies(world, 2, "wk-3", 2, "[\"wk-2\"]");
    world_run(world, 6000);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    for (int i = 0; i < WORLD_NODES; i++) { /* on every node, at once */
        world_expect_stage(world, i, "wk-2", "cancelled");
        world_expect_stage(world, i, "wk-3", "cancelled");
    }
    /* A job that depends on a cancelled job is accepted, and cancelled. */
    assert_int_equal(submit_with_dependencies(world, 2, "wk-4", 2, "[\"wk-3\"]").status, 201);
    world_expect_stage(world, 0, "wk-4", "cancelled");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work/wk-4/abort", NULL).status,
                     200);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 8000);
    for (int i = 1; i < 5; i++) {
        char id[8];
        g_snprintf(id, sizeof id, "wk-%d", i);
        world_expect_stage(world, i % 3, id, "cancelled");
        assert_int_equal(world_count_active_tasks(world, id), 0);
        char *key = g_strconcat("ll/j/", id, NULL);
        assert_non_null(
            strstr(world_get_key(world, key), "\"f\":\"cancelled\"")); /* the end has been stored */
        g_free(key);
    }
    assert_int_equal(world_count_task_starts(world), 2);
}

/**
 * Hundreds of jobs depend on a job that is cancelled. Every node reports all of them as cancelled
 * at once, but their ends are stored gradually, so that they do not delay jobs that users submit
 * meanwhile.
 */
static void cancelling_hundreds_of_dependents_does_not_delay_users(void **state)
{
    struct world *world = *state;
    enum { DEPENDENT_COUNT = 300 };
    world_submit(world, 0, "wk-1", "sweep", 1);
    for (int i = 0; i < DEPENDENT_COUNT; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-a%d", i);
        assert_int_equal(submit_with_dependencies(world, i % 3, id, 1, "[\"wk-1\"]").status, 201);
    }
    world_run(world, 2000);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    int before = world->state_write_count;
    world_run(world, 200);
    assert_in_range(world->state_write_count - before, 0, 60);
    world_expect_stage(world, 2, "wk-a299", "cancelled");
    struct user_response response = world_submit(world, 0, "wk-2", "sweep", 1);
    assert_int_equal(response.status, 201);
    assert_in_range(response.latency_ms, 0, 200);
    world_run(world, 20000);
    for (int i = 0; i < DEPENDENT_COUNT; i++) {
        char *key = g_strdup_printf("ll/j/wk-a%d", i);
        assert_non_null(strstr(world_get_key(world, key), "\"f\":\"cancelled\""));
        g_free(key);
    }
}

/** Both dependencies of a job are cancelled at different nodes, and then the job itself. */
static void job_with_two_cancelled_dependencies_is_cancelled_once(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_submit(world, 0, "wk-2", "sweep", 2);
    submit_with_dependencies(world, 1, "wk-3", 2, "[\"wk-1\",\"wk-2\"]");
    world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL);
    world_send_user_request(world, 2, "POST", "/work/wk-2/abort", NULL);
    world_send_user_request(world, 0, "POST", "/work/wk-3/abort", NULL);
    world_run(world, 4000);
    world_expect_stage(world, 0, "wk-3", "cancelled");
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 0);
}

/** A job is cancelled when it is done already. The jobs that depend on it run. */
static void cancelling_a_done_job_does_not_cancel_its_dependents(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 1);
    submit_with_dependencies(world, 1, "wk-2", 2, "[\"wk-1\"]");
    world_run(world, 6000);
    complete_job(world, "wk-1");
    struct user_response response =
        world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL);
    assert_non_null(strstr(response.body, "done"));
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 2);
}

/** The dependencies of a job ended so long ago that no replica keeps them in memory. */
static void dependencies_evicted_from_memory_are_read_from_the_state_service(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "sweep", 1);
    world_submit(world, 0, "wk-2", "sweep", 1);
    world_run(world, 6000);
    complete_job(world, "wk-1");
    world_send_user_request(world, 0, "POST", "/work/wk-2/abort", NULL);
    world_run(world, 3000);
    for (int i = 0; i < WORLD_NODES; i++)
        world->nodes[i]->replica->max_finished_jobs = 0;
    world_submit(world, 0, "wk-3", "sweep", 1);
    world_send_user_request(world, 0, "POST", "/work/wk-3/abort", NULL);
    world_run(world, 3000);
    assert_null(replica_get_job(world->nodes[1]->replica, "wk-1"));
    assert_int_equal(submit_with_dependencies(world, 1, "wk-4", 1, "[\"wk-1\"]").status, 201);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-5", 1, "[\"wk-1\",\"wk-2\"]").status,
                     201);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-6", 1, "[\"wk-7\"]").status, 422);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-4"), 1);
    world_expect_stage(world, 2, "wk-5", "cancelled");
    /* As after a restart of all nodes: the job is read from the state service, and the job on
     * which it depends is done already. */
    world_put_job(world, "wk-0", "{\"f\":\"done\",\"n\":1}");
    char *spec = world_format_job("wk-8", "sweep", 1, "blue", 2.0, ",\"Awaits\":[\"wk-0\"]");
    char *value = g_strdup_printf("{\"t\":%" G_GINT64_FORMAT ",\"w\":%s}",
                                  loop_wall_time(world->loop).ms, spec);
    world_put_job(world, "wk-8", value);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-8"), 1);
    g_free(spec);
    g_free(value);
}

/**
 * A node of an older version ignores dependencies and would start such a job at once. Jobs with
 * dependencies are therefore refused until every node has run a version that supports them.
 */
static void jobs_with_dependencies_are_refused_until_all_nodes_support_them(void **state)
{
    (void)state;
    struct world *world = world_new();
    world->cloud_capacity = 6;
    world_start(world, 0);
    world_start(world, 1);
    world_run(world, 3000);
    world_submit(world, 0, "wk-1", "sweep", 1);
    struct user_response response = submit_with_dependencies(world, 0, "wk-2", 1, "[\"wk-1\"]");
    assert_int_equal(response.status, 503); /* mast-2 may start with its old version */
    assert_non_null(strstr(response.headers, "Retry-After"));
    world_put_key(world, "ll/n/mast-2", "{\"i\":77,\"b\":\"10.0.0.3:8081\"}"); /* and it does so */
    world_run(world, 1000);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[\"wk-1\"]").status, 503);
    world_remove_key(world, "ll/n/mast-2");
    world_start(world, 2);
    world_run(world, 2000);
    assert_int_equal(submit_with_dependencies(world, 1, "wk-2", 1, "[\"wk-1\"]").status, 201);
    world_kill(world, 2); /* it will start with its new version again */
    world_run(world, 6000);
    assert_int_equal(submit_with_dependencies(world, 0, "wk-3", 1, "[\"wk-1\"]").status, 201);
    world_end(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_waits_for_all_its_dependencies),
        cmocka_unit_test(cancellation_propagates_along_a_long_chain_at_once),
        cmocka_unit_test(priority_and_deadline_are_inherited_along_the_longest_path),
        WORLD_TEST(no_job_starts_before_its_dependencies_are_done),
        WORLD_TEST_SETTLED(new_leader_starts_jobs_whose_dependencies_are_done),
        WORLD_TEST_SETTLED(invalid_dependencies_are_rejected),
        WORLD_TEST(cancellation_cancels_all_dependent_jobs),
        WORLD_TEST(cancelling_hundreds_of_dependents_does_not_delay_users),
        WORLD_TEST(job_with_two_cancelled_dependencies_is_cancelled_once),
        WORLD_TEST_SETTLED(cancelling_a_done_job_does_not_cancel_its_dependents),
        WORLD_TEST(dependencies_evicted_from_memory_are_read_from_the_state_service),
        cmocka_unit_test(jobs_with_dependencies_are_refused_until_all_nodes_support_them),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
