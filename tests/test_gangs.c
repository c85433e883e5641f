/**
 * Tests of how gangs start: rejected dispatches, resources reserved for gangs that cannot start
 * yet, and which tasks a gang may preempt.
 */
#include "gang_fixtures.h"

#include <stdio.h>

/* ---- rejected dispatches and reservations ---- */

/**
 * A shard rejects the dispatch of one task because its machine is being reclaimed. The task is
 * dispatched again with the attempt of the other tasks, which wait for it and are not stopped.
 */
static void rejected_task_is_dispatched_again_with_the_same_attempt(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 0; i < 5; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    reclaimed_worker = NULL;
    world->inject_fault = reclaim_during_dispatch;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 8000);
    assert_non_null(reclaimed_worker);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4); /* each task started once */
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    assert_int_equal(reclaimed_worker->start_count, 0);
    complete_gang(world, "wk-1");
}

/**
 * rejection_message_count: status messages that reject a dispatch. lost_dispatch_count: dispatch
 * messages lost while the rejection is not repeated yet.
 */
static int rejection_message_count, lost_dispatch_count;

/**
 * Reclaims a machine as reclaim_during_dispatch() does. Then the response to the message that
 * rejects the dispatch is lost, and so are later dispatches until that message is repeated.
 */
static enum request_fault lose_first_rejection_response(struct world *world, int node,
                                                        const struct http_client_request *request)
{
    bool has_rejections = strcmp(request->path, "/bus/digest") == 0 && request->body &&
                          strstr(request->body, "\"back\":[{");
    if (has_rejections)
        return ++rejection_message_count == 1 ? FAULT_RESPONSE_LOST : FAULT_NONE;
    if (rejection_message_count == 1 && strcmp(request->path, "/bus/deal") == 0) {
        lost_dispatch_count++;
        return FAULT_REQUEST_LOST;
    }
    return rejection_message_count ? FAULT_NONE : reclaim_during_dispatch(world, node, request);
}

/**
 * A rejection is sent twice because its response was lost, the second time after the task was
 * dispatched again with the same attempt. The repetition must not revoke the later dispatch.
 */
static void repeated_rejection_does_not_revoke_the_next_dispatch(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 0; i < 7; i++)
        add_machine_not_owned_by_leader(world, i, i % 2 ? "a" : "b");
    world_run(world, 4000);
    reclaimed_worker = NULL;
    rejection_message_count = lost_dispatch_count = 0;
    world->inject_fault = lose_first_rejection_response;
    submit_job(world, "wk-1", "gang", "high", 4, 8.0);
    world_run(world, 15000);
    assert_int_equal(rejection_message_count, 2);
    assert_true(lost_dispatch_count > 0);
    expect_gang_running(world, "wk-1", 4);
    assert_int_equal(world_count_task_starts(world), 4);
    assert_int_equal(world_count_gang_starts(world, "wk-1"), 1);
    complete_gang(world, "wk-1");
}

/** Submits the gang wk-2 for run_arrays_while_gang_waits(). */
typedef void (*submit_gang_fn)(struct world *world);

/**
 * Submits an array of the given size every second, more than can run; its tasks take TASK_RUN_MS.
 * The gang wk-2 is submitted after ten seconds.
 */
static void run_arrays_while_gang_waits(struct world *world, submit_gang_fn submit_gang, int tasks,
                                        double cpus, int duration_s)
{
    enum { TASK_RUN_MS = 8000 };
    world_run(world, 3000);
    for (int s = 0; s < duration_s; s++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-1%03d", s);
        submit_job(world, id, "sweep", "high", tasks, cpus);
        if (s == 10)
            submit_gang(world);
        world_run(world, 1000);
        for (int i = 0; i < WORLD_WORKERS; i++)
            for (guint n = 0; world->workers[i].up && n < world->workers[i].tasks->len; n++) {
                struct worker_task *task =
                    &g_array_index(world->workers[i].tasks, struct worker_task, n);
                if (strcmp(task->stage, "running") == 0 && strcmp(task->job.text, "wk-2") != 0 &&
                    time_ms_since(loop_now(world->loop), task->stage_since) >= TASK_RUN_MS)
                    worker_exit_task(&world->workers[i], task->job.text, task->index, "done");
            }
    }
}

/** Submits the gang wk-2 of four tasks with four CPUs each. */
static void submit_four_task_gang(struct world *world)
{
    submit_job(world, "wk-2", "gang", "high", 4, 4.0);
}

/**
 * Calls run_arrays_while_gang_waits() with two machines and a gang of four tasks with four CPUs
 * each, which needs both machines.
 */
static void run_arrays_while_four_task_gang_waits(struct world *world, int tasks, double cpus,
                                                  int duration_s)
{
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "a", true);
    run_arrays_while_gang_waits(world, submit_four_task_gang, tasks, cpus, duration_s);
}

/**
 * Arrays of the same team and priority keep coming, twice as many as can run. Unless resources for
 * some of a gang's tasks are reserved, the arrays take them forever.
 */
static void resources_for_part_of_a_gang_are_reserved(void **state)
{
    struct world *world = prepare_gang_world(state);
    run_arrays_while_four_task_gang_waits(world, 1, 4.0, 80);
    expect_gang_running(world, "wk-2", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-2"), 1);
}

/** Resources are also reserved for a gang when the tasks of the arrays are smaller than its own. */
static void resources_for_part_of_a_gang_are_reserved_against_smaller_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    run_arrays_while_four_task_gang_waits(world, 2, 2.0, 80);
    expect_gang_running(world, "wk-2", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-2"), 1);
}

/**
 * The resources that become free at once are never enough for one task of the gang. It nevertheless
 * has to start within the time limit of the largest jobs.
 */
static void gang_is_not_starved_by_smaller_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    run_arrays_while_four_task_gang_waits(world, 1, 2.0, 10 + RULES_START_LIMIT_MS / 1000);
    expect_gang_running(world, "wk-2", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-2"), 1);
}

/** Submits the gang wk-2 of four tasks with four CPUs each, all in one zone. */
static void submit_four_task_one_zone_gang(struct world *world)
{
    submit_one_zone_gang(world, "wk-2", 4, 4.0);
}

/**
 * Machines have to be reserved in the zone in which all of the gang fits, even if the least loaded
 * machine is in another zone.
 */
static void one_zone_gang_is_not_starved_by_smaller_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    for (int i = 3; i < 6; i++)
        world_add_worker(world, i, i == 5 ? "a" : "b", true);
    run_arrays_while_gang_waits(world, submit_four_task_one_zone_gang, 2, 2.0,
                                10 + RULES_START_LIMIT_MS / 1000);
    expect_gang_running(world, "wk-2", 4);
    assert_int_equal(world_count_gang_starts(world, "wk-2"), 1);
}

/**
 * The other machines that a gang needs may still be booting. Resources that are available already
 * stay reserved for it.
 */
static void resources_stay_reserved_for_a_gang_while_machines_boot(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "gang", "high", 2, 8.0);
    world_run(world, 6000); /* otherwise a smaller job would be ahead of it in the queue */
    submit_job(world, "wk-2", "sweep", "high", 4, 2.0);
    for (int t = 0; t < 90; t++) { /* 15 s in all, three times the boot time of 5 s */
        world_run(world, 100);
        assert_int_equal(world_count_active_tasks(world, "wk-2"), 0);
    }
    world_add_worker(world, 6, "b", true);
    world_run(world, 5000);
    expect_gang_running(world, "wk-1", 2);
}

/**
 * A gang needs more than all machines, and no more machines can be rented. It must not keep other
 * jobs from using the machines.
 */
static void gang_that_cannot_fit_does_not_block_other_jobs(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 6, "b", false);
    world_add_worker(world, 7, "a", false);
    world_run(world, 3000);
    submit_job(world, "wk-1", "gang", "high", 3, 8.0);
    world_run(world, 3000);
    submit_job(world, "wk-2", "sweep", "high", 4, 2.0);
    world_run(world, 80000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    world_exit_tasks_of_job(world, "wk-2", "done");
    world_run(world, 80000); /* the gang has waited long enough to be ahead of other jobs */
    submit_job(world, "wk-3", "sweep", "high", 4, 2.0);
    world_run(world, 80000);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 4);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
}

/* ---- preemption by gangs ---- */

/** A gang preempts just as many tasks of lower priority as it needs to start. */
static void gang_preempts_lower_priority_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "normal", 8, 2.0);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    submit_job(world, "wk-2", "gang", "high", 2, 4.0);
    world_run(world, 6000);
    expect_gang_running(world, "wk-2", 2);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
}

/** Preemption also makes room for a gang of which several tasks share a machine. */
static void gang_with_several_tasks_per_machine_preempts_lower_priority_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "normal", 8, 2.0);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    submit_job(world, "wk-2", "gang", "high", 6, 2.0);
    world_run(world, 10000);
    expect_gang_running(world, "wk-2", 6);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
}

/**
 * Preemption could make room for only one of two tasks of a gang, as the other machine runs tasks
 * of the gang's own priority. Nothing is preempted then.
 */
static void nothing_is_preempted_for_part_of_a_gang(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "high", 4, 2.0); /* the same priority as the gang */
    world_run(world, 3000);
    world_add_worker(world, 6, "b", true);
    world_run(world, 3000);
    submit_job(world, "wk-2", "sweep", "normal", 4, 2.0);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    submit_job(world, "wk-3", "gang", "high", 2, 8.0);
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    assert_int_equal(world_count_task_starts(world), 8);
}

/**
 * Preemption could make room for a whole gang, but half of it in another zone, where a gang that
 * has to run in one zone cannot use it. Nothing is preempted then.
 */
static void nothing_is_preempted_for_a_gang_that_fits_no_zone(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 6, "b", true);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "normal", 8, 2.0);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    submit_one_zone_gang(world, "wk-2", 2, 8.0);
    world_run(world, 10000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    assert_int_equal(world_count_task_starts(world), 8);
}

/** The worker to which delay_commands_to_worker() delays commands. */
static struct worker *delayed_worker;

/** A request_fault_fn: commands to delayed_worker arrive late. */
static enum request_fault delay_commands_to_worker(struct world *world, int node,
                                                   const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool to_delayed_worker = strcmp(request->path, "/commands") == 0 &&
                             strcmp(request->address, delayed_worker->address) == 0;
    return to_delayed_worker ? FAULT_REQUEST_DELAYED : FAULT_NONE;
}

/**
 * Room is made in the only zone where all of the gang can fit, on one machine later than on the
 * other. The other zone has one idle machine, which is too little for the gang.
 */
static void one_zone_gang_preempts_lower_priority_tasks_in_its_zone(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 5, "b", true);
    world_add_worker(world, 6, "b", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "normal", 8, 2.0);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    delayed_worker = &world->workers[6];
    world->inject_fault = delay_commands_to_worker;
    int starts = world_count_task_starts(world);
    submit_one_zone_gang(world, "wk-2", 2, 8.0);
    world_run(world, 8000);
    expect_gang_running(world, "wk-2", 2);
    assert_null(worker_find_task(&world->workers[7], "wk-2", 0));
    assert_null(worker_find_task(&world->workers[7], "wk-2", 1));
    /* No preempted task was started again only to be preempted once more. */
    assert_int_equal(world_count_task_starts(world) - starts,
                     2 + world_count_active_tasks(world, "wk-1"));
}

/**
 * Preemption in the other zone would stop fewer tasks, but the gang would not fit there as a whole.
 */
static void one_zone_gang_preempts_nothing_in_other_zones(void **state)
{
    struct world *world = prepare_gang_world(state);
    world_add_worker(world, 5, "b", true);
    world_add_worker(world, 6, "b", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "normal", 8, 2.0);
    world_run(world, 5000);
    world_add_worker(world, 7, "a", true);
    world_run(world, 2000);
    submit_job(world, "wk-2", "sweep", "normal", 4, 2.0);
    world_run(world, 3000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 8);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    submit_one_zone_gang(world, "wk-3", 2, 8.0);
    world_run(world, 8000);
    expect_gang_running(world, "wk-3", 2);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 4);
    assert_int_equal(world_count_task_starts(world), 14);
}

/** Adds a machine that has the image in zone a, and two without it in zone b. Returns the first. */
static struct worker *add_machine_with_image_and_two_in_other_zone(struct world *world)
{
    struct worker *machine_with_image = world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    submit_job(world, "wk-1", "sweep", "high", 1, 2.0);
    world_run(world, 3000);
    world_exit_tasks_of_job(world, "wk-1", "done");
    world_add_worker(world, 5, "b", true);
    world_add_worker(world, 6, "b", true);
    world_run(world, 4000);
    return machine_with_image;
}

/**
 * The other zone has the better machine, which has the image already, but no room for all tasks.
 */
static void one_zone_gang_starts_in_the_zone_that_fits_all_tasks(void **state)
{
    struct world *world = prepare_gang_world(state);
    struct worker *machine_with_image = add_machine_with_image_and_two_in_other_zone(world);
    submit_one_zone_gang(world, "wk-2", 2, 8.0);
    world_run(world, 6000);
    expect_gang_running(world, "wk-2", 2);
    assert_null(worker_find_task(machine_with_image, "wk-2", 0));
    assert_null(worker_find_task(machine_with_image, "wk-2", 1));
}

/** A gang that may be spread over zones does not wait for a zone that fits all its tasks. */
static void gang_too_large_for_one_zone_is_spread_over_zones(void **state)
{
    struct world *world = prepare_gang_world(state);
    add_machine_with_image_and_two_in_other_zone(world);
    submit_job(world, "wk-2", "gang", "high", 3, 8.0);
    world_run(world, 6000);
    expect_gang_running(world, "wk-2", 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(rejected_task_is_dispatched_again_with_the_same_attempt),
        WORLD_TEST_SETTLED(repeated_rejection_does_not_revoke_the_next_dispatch),
        WORLD_TEST(resources_for_part_of_a_gang_are_reserved),
        WORLD_TEST(resources_for_part_of_a_gang_are_reserved_against_smaller_tasks),
        WORLD_TEST(gang_is_not_starved_by_smaller_tasks),
        WORLD_TEST(one_zone_gang_is_not_starved_by_smaller_tasks),
        WORLD_TEST(resources_stay_reserved_for_a_gang_while_machines_boot),
        WORLD_TEST(gang_that_cannot_fit_does_not_block_other_jobs),
        WORLD_TEST(gang_preempts_lower_priority_tasks),
        WORLD_TEST(gang_with_several_tasks_per_machine_preempts_lower_priority_tasks),
        WORLD_TEST(nothing_is_preempted_for_part_of_a_gang),
        WORLD_TEST(nothing_is_preempted_for_a_gang_that_fits_no_zone),
        WORLD_TEST(one_zone_gang_preempts_lower_priority_tasks_in_its_zone),
        WORLD_TEST(one_zone_gang_preempts_nothing_in_other_zones),
        WORLD_TEST(one_zone_gang_starts_in_the_zone_that_fits_all_tasks),
        WORLD_TEST(gang_too_large_for_one_zone_is_spread_over_zones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
