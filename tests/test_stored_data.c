/**
 * @file
 * Tests that this version reads the data and the messages of version 0.4.0 (commit 2e591e3).
 *
 * The stored values were written by nodes of that version in the test world: jobs of all kinds,
 * machines, an inventory, record pages, the shard map, role holders, the features switch, and an
 * intent that its holder had recorded and not settled. The messages were sent between its nodes.
 */
#include "stored_fixtures.h"
#include "world.h"

#include <string.h>

/* Keys that are not attached to a lease. */
static const struct stored_key persistent_keys[] = {
    {"ll/a/mast-1/0",
     "{\"a\":\"@host-000002 =10.1.0.2:9000,g8,a,1 @host-000004 =10.1.0.4:9000,g8,a,1 \"}"},
    {"ll/a/mast-2/0", "{\"a\":\"@host-000005 =10.1.0.5:9000,g8,a,1 \"}"},
    {"ll/features", "{\"duties\":true}"},
    {"ll/h/host-000001", "{\"a\":\"10.1.0.1:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000002", "{\"a\":\"10.1.0.2:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000003", "{\"a\":\"10.1.0.3:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000004", "{\"a\":\"10.1.0.4:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000005", "{\"a\":\"10.1.0.5:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000006", "{\"a\":\"10.1.0.6:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/j/wk-array",
     "{\"t\":1700000006000,\"w\":{\"Id\":\"wk-array\",\"Lot\":\"lot\",\"Crew\":\"blue\",\"Mould\":"
     "\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":6,\"Vcpus\":2.0,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0}}"},
    {"ll/j/wk-cancelled", "{\"f\":\"cancelled\",\"n\":3,\"e\":1700000017093}"},
    {"ll/j/wk-deadline",
     "{\"t\":1700000006050,\"w\":{\"Id\":\"wk-deadline\",\"Lot\":\"lot\",\"Crew\":\"red\","
     "\"Mould\":\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":20,\"Vcpus\":0.5,"
     "\"Cards\":0.0,\"MemoryGb\":1.0,\"ImageGb\":1.0,\"Builds\":[\"g8\"],\"Yard\":\"a\","
     "\"OneZone\":false,\"Apart\":false,\"Loaners\":true,\"ExpectedS\":10.0,\"MarkEveryS\":0.0,"
     "\"StowS\":0.0,\"DueS\":900.0}}"},
    {"ll/j/wk-done", "{\"f\":\"done\",\"n\":2,\"e\":1700000008230}"},
    {"ll/j/wk-gang",
     "{\"t\":1700000006010,\"w\":{\"Id\":\"wk-gang\",\"Lot\":\"lot\",\"Crew\":\"blue\",\"Mould\":"
     "\"img-1\",\"Form\":\"gang\",\"Urgency\":\"high\",\"Pieces\":4,\"Vcpus\":2.0,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0}}"},
    {"ll/j/wk-large",
     "{\"t\":1700000029090,\"w\":{\"Id\":\"wk-large\",\"Lot\":\"lot\",\"Crew\":\"blue\",\"Mould\":"
     "\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":12,\"Vcpus\":4.0,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0}}"},
    {"ll/j/wk-needs",
     "{\"t\":1700000006060,\"w\":{\"Id\":\"wk-needs\",\"Lot\":\"lot\",\"Crew\":\"red\",\"Mould\":"
     "\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":2,\"Vcpus\":0.5,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0,\"Awaits\":[\"wk-array\"]}}"},
    {"ll/j/wk-saves",
     "{\"t\":1700000006070,\"w\":{\"Id\":\"wk-saves\",\"Lot\":\"lot\",\"Crew\":\"blue\",\"Mould\":"
     "\"img-1\",\"Form\":\"gang\",\"Urgency\":\"high\",\"Pieces\":2,\"Vcpus\":1.0,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":5.0,\"StowS\":1.0}}"},
    {"ll/j/wk-service",
     "{\"t\":1700000006020,\"w\":{\"Id\":\"wk-service\",\"Lot\":\"lot\",\"Crew\":\"blue\","
     "\"Mould\":\"img-1\",\"Form\":\"daemon\",\"Urgency\":\"high\",\"Pieces\":3,\"Vcpus\":2.0,"
     "\"Cards\":0.0,\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":"
     "true,\"ExpectedS\":0.0,\"MarkEveryS\":0.0,\"StowS\":0.0}}"},
    {"ll/map", "{\"e\":1,\"n\":[{\"n\":\"mast-0\",\"i\":1},{\"n\":\"mast-1\",\"i\":2},{\"n\":"
               "\"mast-2\",\"i\":3}]}"},
    {"ll/p/mast-1/0",
     "{\"t\":\"^host-000 @001 #wk-deadline *1048611 8 9 *1048613 10 11 *1048615 12 13 *1048616 14 "
     "15 *1048621 16 17 *1048623 18 19 @002 #wk-deadline *1048605 0 1 *1048607 2 3 *1048608 4 5 "
     "*1048610 6 7 #wk-saves *1048614 0 1 #wk-service *1048612 2 @004 #wk-gang *1048624 0 1 "
     "#wk-service *1048606 0 *1048609 1 @006 #wk-array *1048627 2 *1048628 3 *1048629 4 *1048630 5 "
     "\",\"d\":\"\"}"},
    {"ll/p/mast-2/0", "{\"t\":\"^host-000 #wk-array *1048626 @003 1 #wk-gang *1048624 @005 2 3 "
                      "#wk-large *1048631 @005 0 *1048632 @003 1 \",\"d\":\"#wk-array 0:01 \"}"},
    {"ll/pending/fleet/0",
     "{\"t\":6,\"return\":[],\"rent\":[[\"mast-0-1-9\",\"g8\",\"a\",true,2]]}"},
    {"ll/types", "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8.0,\"Cards\":0.0,\"MemoryGb\":32.0,"
                 "\"LocalGb\":100.0,\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0."
                 "40000000000000002,\"ReadyS\":5.0,\"Yards\":[\"a\",\"b\"]}]}"},
    {"ll/v/mast-0", "{\"v\":2}"},
    {"ll/v/mast-1", "{\"v\":2}"},
    {"ll/v/mast-2", "{\"v\":2}"},
};

/* Keys attached to the leases of processes that have ended. */
static const struct stored_key leased_keys[] = {
    {"ll/duty/cleanup", "{\"n\":\"mast-1\",\"i\":2}"},
    {"ll/duty/fleet", "{\"n\":\"mast-0\",\"i\":1}"},
    {"ll/leader", "{\"n\":\"mast-0\",\"i\":1}"},
    {"ll/n/mast-0", "{\"i\":1,\"b\":\"10.0.0.1:8081\",\"v\":2,\"duties\":true}"},
    {"ll/n/mast-1", "{\"i\":2,\"b\":\"10.0.0.2:8081\",\"v\":2,\"duties\":true}"},
    {"ll/n/mast-2", "{\"i\":3,\"b\":\"10.0.0.3:8081\",\"v\":2,\"duties\":true}"},
};

enum { MACHINE_COUNT = 6, LEASE_MS = 4000, DEADLINE_JOB_TASKS = 20 };

/** A world whose nodes of the old version have stopped and whose machines run the recorded tasks.
 */
static struct world *create_world_with_stored_data(void)
{
    struct world_config config = world_default_config();
    config.enable_roles = true;
    config.txn_ops = 16;
    struct world *world = world_new_with_config(&config);
    world->cloud_capacity = config.worker_count - MACHINE_COUNT;
    for (int i = 0; i < MACHINE_COUNT; i++)
        world_add_worker(world, i, "a", true);
    stored_put_all(world, persistent_keys, G_N_ELEMENTS(persistent_keys));
    stored_put_all(world, leased_keys, G_N_ELEMENTS(leased_keys));
    rules_task_completed(world->rules, "wk-array", 0); /* recorded as completed */
    return world;
}

static void expire_leases_of_stored_processes(struct world *world)
{
    for (guint i = 0; i < G_N_ELEMENTS(leased_keys); i++)
        if (world_get_key(world, leased_keys[i].key) &&
            strcmp(world_get_key(world, leased_keys[i].key), leased_keys[i].value) == 0)
            world_remove_key(world, leased_keys[i].key);
}

static void start_all_nodes(struct world *world)
{
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
}

static void stored_jobs_continue_and_complete(void **state)
{
    (void)state;
    struct world *world = create_world_with_stored_data();
    start_all_nodes(world);
    world_run(world, LEASE_MS);
    expire_leases_of_stored_processes(world);
    world_run(world, 3000);

    assert_int_equal(world_count_active_tasks(world, "wk-array"), 5);
    assert_int_equal(world_count_active_tasks(world, "wk-gang"), 4);
    assert_int_equal(world_count_active_tasks(world, "wk-service"), 3);
    assert_int_equal(world_count_active_tasks(world, "wk-saves"), 2);
    assert_int_equal(world_count_active_tasks(world, "wk-deadline"), DEADLINE_JOB_TASKS);
    assert_int_equal(world_count_active_tasks(world, "wk-needs"), 0); /* depends on wk-array */
    world_expect_stage(world, 0, "wk-needs", "queued");
    world_expect_stage(world, 1, "wk-cancelled", "cancelled");
    world_expect_stage(world, 2, "wk-done", "done");

    static const char *const job_ids[] = {"wk-array", "wk-gang",  "wk-saves",
                                          "wk-large", "wk-needs", "wk-deadline"};
    for (int round = 0; round < 12; round++) {
        for (guint i = 0; i < G_N_ELEMENTS(job_ids); i++)
            world_exit_tasks_of_job(world, job_ids[i], "done");
        world_run(world, 4000);
    }
    for (guint i = 0; i < G_N_ELEMENTS(job_ids); i++)
        world_expect_stage(world, (int)i % WORLD_NODES, job_ids[i], "done");
    assert_int_equal(world_count_active_tasks(world, "wk-service"), 3);
    world_end(world);
}

static void stored_intent_is_carried_out_once(void **state)
{
    (void)state;
    struct world *world = create_world_with_stored_data();
    start_all_nodes(world);
    world_run(world, LEASE_MS);
    expire_leases_of_stored_processes(world);
    world_run(world, 6000);
    /* The two machines of that intent are rented under its own request id, and no others: the cloud
     * has no more. */
    assert_int_equal(world->cloud_capacity, 0);
    assert_true(world->rental_requests->len >= 2);
    assert_string_equal(world->rental_requests->pdata[0], "mast-0-1-9");
    assert_null(strstr(world_get_key(world, "ll/pending/fleet/0"), "mast-0-1-9"));
    world_end(world);
}

/** A message between nodes, and a part of the response that the old version gave. */
struct stored_message {
    const char *kind, *body, *expected_response;
};

static const struct stored_message messages[] = {
    {"health", "{\"q\":\"2\",\"at\":\"22\",\"from\":\"mast-0\"}", "\"q\":\"2\""},
    {"kept", "{\"q\":\"238\",\"at\":\"28\",\"from\":\"mast-2\"}", "\"ago_ms\":"},
    {"cancelled", "{\"j\":\"wk-10\",\"r\":\"20\",\"from\":\"mast-1\"}", "{}"},
    {"deal",
     "{\"e\":\"1\",\"s\":\"2\",\"close\":[\"host-000001\",\"host-000002\"],\"from\":\"mast-0\"}",
     ""},
    {"deal",
     "{\"e\":\"1\",\"s\":\"1\",\"deal\":[{\"j\":\"wk-1\",\"i\":0,\"a\":\"1048577\",\"n\":\"1\","
     "\"h\":\"host-000001\"}],\"from\":\"mast-0\"}",
     ""},
    {"digest",
     "{\"e\":\"1\",\"s\":\"11\",\"hosts\":[[\"host-000006\",\"g8\",\"a\",true,9]],\"back\":[],"
     "\"news\":"
     "[{\"h\":\"host-000004\",\"j\":\"wk-00002\",\"took\":0.805}],\"from\":\"mast-1\"}",
     "\"shut\""},
};

struct received_response {
    int status;
    char body[512];
};

static void store_response(void *arg, const struct http_response *response)
{
    struct received_response *received = arg;
    received->status = response->status;
    g_snprintf(received->body, sizeof received->body, "%.*s", (int)response->body_bytes,
               response->body);
}

/** Sends a message to a node as a peer would. Returns its response. */
static struct received_response send_message(struct world *world, int node, const char *kind,
                                             const char *body)
{
    struct received_response received = {0};
    char *path = g_strconcat("/bus/", kind, NULL);
    char *address = g_strdup_printf("10.0.0.%d:8081", node + 1);
    world_serve_external_request(world,
                                 &(struct http_client_request){.address = address,
                                                               .method = "POST",
                                                               .path = path,
                                                               .body = body,
                                                               .body_bytes = strlen(body)},
                                 store_response, &received);
    for (int i = 0; i < 500 && !received.status; i++)
        world_run(world, 10);
    g_free(path);
    g_free(address);
    return received;
}

static void stored_messages_between_nodes_are_accepted(void **state)
{
    struct world *world = *state;
    assert_int_equal(world_get_leader_index(world), 0); /* gets the messages that are not its own */
    for (guint i = 0; i < G_N_ELEMENTS(messages); i++) {
        struct received_response received = send_message(
            world, strstr(messages[i].body, "mast-0") ? 1 : 0, messages[i].kind, messages[i].body);
        if (received.status != 200 || !strstr(received.body, messages[i].expected_response))
            fail_msg("%s: %d %s", messages[i].kind, received.status, received.body);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(stored_jobs_continue_and_complete),
        cmocka_unit_test(stored_intent_is_carried_out_once),
        WORLD_TEST(stored_messages_between_nodes_are_accepted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
