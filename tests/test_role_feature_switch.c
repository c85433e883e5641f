/**
 * @file
 * Tests of the switch for singleton roles: they are enabled once every node supports them, and
 * disabled once no node's features file enables them.
 */
#include "role_scenario.h"

static void restart_node(struct role_scenario *scenario, int node)
{
    world_kill(scenario->world, node);
    world_run(scenario->world, 500);
    world_start(scenario->world, node);
    world_run(scenario->world, 3000);
}

/** Checks that a new job completes and that machines are returned to the cloud. */
static void expect_job_completes(struct role_scenario *scenario)
{
    int returned_before = scenario->world->returned_count;
    role_scenario_add_job(scenario);
    world_run(scenario->world, 15000);
    char id[24];
    g_snprintf(id, sizeof id, "wk-%05u", scenario->job_count);
    world_expect_stage(scenario->world, 0, id, "done");
    assert_true(scenario->world->returned_count > returned_before);
}

/**
 * Restarts the last node that still enables singleton roles, now with the roles disabled, while a
 * rental request has no response and machines are to be returned. The roles must stay enabled until
 * these intents are settled.
 */
static void expect_unsettled_intents_keep_roles_enabled(struct role_scenario *scenario)
{
    struct world *world = scenario->world;
    role_scenario_add_job(scenario);
    world_run(world, 3000); /* its machines are up and soon idle */
    world->cloud_down = true;
    role_scenario_add_job(scenario);
    world_run(world, 1000);
    restart_node(scenario, WORLD_NODES - 1);
    world_run(world, 10000);
    assert_non_null(world_get_key(world, "ll/features"));
    world->cloud_down = false;
    world_run(world, 30000);
    assert_null(world_get_key(world, "ll/features"));
    for (int i = 0; i < world->config.worker_count; i++)
        assert_false(world->workers[i].up);
}

/* Nodes are upgraded one after the other to a version with singleton roles, which are enabled only
 * after the last one. Then one node after the other restarts with the roles disabled in its
 * features; they stay enabled until the last one has. */
static void singleton_roles_are_switched_once_all_nodes_agree(void **state)
{
    (void)state;
    struct role_scenario *scenario = role_scenario_new(1);
    struct world *world = scenario->world;
    world->observer = NULL; /* while roles are disabled, no intents are recorded */
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    world_run(world, 6000);
    world_remove_key(world, "ll/features");
    for (int i = 0; i < WORLD_NODES; i++) {
        char *version = g_strdup_printf("ll/v/mast-%d", i);
        world_put_key(world, version, "{\"v\":1}");
        g_free(version);
        world->runs_old_version[i] = true;
        world_start(world, i);
    }
    world_run(world, 4000);
    for (int i = 0; i < WORLD_NODES; i++) {
        expect_job_completes(scenario);
        assert_null(world_get_key(world, "ll/features"));
        assert_null(world_get_key(world, "ll/duty/fleet"));
        world->runs_old_version[i] = false;
        restart_node(scenario, i);
    }
    assert_string_equal(world_get_key(world, "ll/features"), "{\"duties\":true}");
    assert_non_null(world_get_key(world, "ll/duty/fleet"));
    expect_job_completes(scenario);
    world->features.singleton_roles.is_enabled = false;
    for (int i = 0; i < WORLD_NODES; i++) {
        assert_non_null(world_get_key(world, "ll/features"));
        if (i == WORLD_NODES - 1)
            expect_unsettled_intents_keep_roles_enabled(scenario);
        else
            restart_node(scenario, i);
        expect_job_completes(scenario);
    }
    assert_null(world_get_key(world, "ll/features"));
    assert_null(world_get_key(world, "ll/duty/fleet"));
    assert_null(world_get_key(world, "ll/duty/cleanup"));
    assert_null(world_get_key(world, "ll/pending/fleet/0"));
    expect_job_completes(scenario);
    role_scenario_end(scenario);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(singleton_roles_are_switched_once_all_nodes_agree),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
