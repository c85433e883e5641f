/**
 * @file
 * Tests of upgrades from version 0.3.0, which is in production and is called version 0 here, and of
 * reductions of the state service's limits. Both versions must work on each other's data, and no
 * record may be lost when pages are split to fit lower limits. The stored values were written by
 * nodes of version 0.3.0 in the test world.
 */
#include "run_records_internal.h"
#include "stored_fixtures.h"
#include "world.h"

#include <string.h>

static const struct stored_key version_0_3_keys[] = {
    {"ll/h/host-000001", "{\"a\":\"10.1.0.1:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000002", "{\"a\":\"10.1.0.2:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000003", "{\"a\":\"10.1.0.3:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000004", "{\"a\":\"10.1.0.4:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/h/host-000005", "{\"a\":\"10.1.0.5:9000\",\"b\":\"g8\",\"y\":\"a\",\"l\":true,\"i\":[]}"},
    {"ll/j/wk-000001",
     "{\"t\":1700000003000,\"w\":{\"Id\":\"wk-000001\",\"Lot\":\"lot\",\"Crew\":\"blue\",\"Mould\":"
     "\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":6,\"Vcpus\":2.0,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0}}"},
    {"ll/j/wk-000002", "{\"f\":\"cancelled\",\"n\":3}"},
    {"ll/j/wk-000003",
     "{\"t\":1700000003020,\"w\":{\"Id\":\"wk-000003\",\"Lot\":\"lot\",\"Crew\":\"red\",\"Mould\":"
     "\"img-1\",\"Form\":\"sweep\",\"Urgency\":\"high\",\"Pieces\":40,\"Vcpus\":0.5,\"Cards\":0.0,"
     "\"MemoryGb\":1.0,\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,"
     "\"ExpectedS\":10.0,\"MarkEveryS\":0.0,\"StowS\":0.0,\"DueS\":90.0}}"},
    {"ll/j/wk-000004", "{\"f\":\"done\",\"n\":2}"},
    {"ll/map", "{\"e\":1,\"n\":[{\"n\":\"mast-0\",\"i\":1},{\"n\":\"mast-1\",\"i\":2},{\"n\":"
               "\"mast-2\",\"i\":3}]}"},
    {"ll/p/mast-1/0",
     "{\"t\":\"@host-000002 #wk-000003 *1048592 0 1 *1048593 2 3 *1048595 4 5 *1048596 6 *1048598 "
     "8 "
     "9 *1048599 10 11 *1048601 12 13 *1048602 14 15 *1048619 32 @host-000004 #wk-000001 *1048610 "
     "3 *1048613 4 #wk-000003 *1048608 16 17 *1048609 18 19 *1048611 20 21 *1048612 22 23 "
     "\",\"d\":\"#wk-000003 0:80 \"}"},
    {"ll/p/mast-2/0",
     "{\"t\":\"@host-000003 #wk-000001 *1048605 0 #wk-000003 *1048614 24 25 *1048615 26 27 "
     "*1048617 28 29 *1048618 30 31 @host-000005 #wk-000001 *1048607 2 *1048616 5 \",\"d\":"
     "\"#wk-000001 0:02 #wk-000004 0:02 \"}"},
    {"ll/types",
     "{\"Builds\":[{\"Label\":\"g8\",\"Vcpus\":8.0,\"Cards\":0.0,\"MemoryGb\":32.0,\"LocalGb\":"
     "100.0,\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.40000000000000002,\"ReadyS\":5.0,"
     "\"Yards\":[\"a\",\"b\"]}]}"},
};

/** The default configuration, with lower upcoming limits of the state service. */
static struct world_config config_with_upcoming_limits(double value_kb, int txn_ops)
{
    struct world_config config = world_default_config();
    config.txn_ops = 16;
    config.next_value_kb = value_kb;
    config.next_write_rps = 100;
    config.next_txn_ops = txn_ops;
    return config;
}

/** The number of run records in a node's replica. */
static int count_recorded_runs(struct world *world, int node)
{
    GHashTableIter it;
    struct record_page *page;
    int count = 0;
    g_hash_table_iter_init(&it, world->nodes[node]->replica->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        count += (int)page->run_records->len;
    return count;
}

/** Checks that no page exceeds the reduced size limit of values. */
static void expect_pages_within_limit(struct world *world, int node)
{
    GHashTableIter it;
    struct record_page *page;
    g_hash_table_iter_init(&it, world->nodes[node]->replica->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (page->size_bytes > (gsize)(world->config.next_value_kb * 1024))
            fail_msg("%s: %zu", page->key, page->size_bytes);
}

/** A world with running machines and an exhausted cloud, whose nodes are not started. */
static struct world *create_world_with_machines(struct world_config config, int machines)
{
    struct world *world = world_new_with_config(&config);
    world->cloud_capacity = 0;
    for (int i = 0; i < machines; i++)
        world_add_worker(world, i, "a", true);
    return world;
}

/* All nodes ran version 0.3.0 and have stopped; nodes of this version start on their data. */
static void data_of_version_0_3_is_served(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(2, 5), 6);
    stored_put_all(world, version_0_3_keys, G_N_ELEMENTS(version_0_3_keys));
    rules_task_completed(world->rules, "wk-000001", 1); /* recorded as completed */
    rules_task_completed(world->rules, "wk-000003", 7);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 8000);
    /* No running task is started again; only the completed task is on no machine. */
    assert_int_equal(world_count_active_tasks(world, "wk-000001"), 5);
    assert_int_equal(world_count_active_tasks(world, "wk-000003"),
                     32); /* 32 tasks of 0.5 CPUs: the team's quota of 16 */
    world_expect_stage(world, 0, "wk-000002", "cancelled");
    world_expect_stage(world, 1, "wk-000004", "done");
    for (int round = 0; round < 6; round++) {
        world_exit_tasks_of_job(world, "wk-000001", "done");
        world_exit_tasks_of_job(world, "wk-000003", "done");
        world_run(world, 4000);
    }
    world_expect_stage(world, 2, "wk-000001", "done");
    world_expect_stage(world, 0, "wk-000003", "done");
    assert_int_equal(world_count_task_starts(world),
                     7); /* tasks 33 to 39, which had waited for quota */
    world_end(world);
}

enum { LONG_PAGE_JOBS = 132 };

/**
 * Stores two record pages of the old version at their largest: jobs of one task each, with long
 * names, on six machines.
 */
static void store_long_pages(struct world *world, const char *first, const char *second)
{
    world_put_key(world, "ll/types", version_0_3_keys[G_N_ELEMENTS(version_0_3_keys) - 1].value);
    world_put_key(world, "ll/map", "{\"e\":1,\"n\":[{\"n\":\"mast-0\",\"i\":901}]}");
    GString *text[2] = {g_string_new("{\"t\":\""), g_string_new("{\"t\":\"")};
    for (int i = 0; i < LONG_PAGE_JOBS; i++) {
        char id[48];
        g_snprintf(id, sizeof id, "wk-%03d-a-long-name-that-takes-much-of-the-page", i);
        char *spec = world_format_job(id, "sweep", 1, "blue", 0.2, "");
        char *value = g_strdup_printf("{\"t\":1700000000000,\"w\":%s}", spec);
        world_put_job(world, id, value);
        int host = i * 6 / LONG_PAGE_JOBS; /* three machines per page */
        GString *page = text[host / 3];
        if (i == 0 || host != (i - 1) * 6 / LONG_PAGE_JOBS)
            g_string_append_printf(page, "@host-00000%d =10.1.0.%d:9000,g8,a,1 ", host + 1,
                                   host + 1);
        g_string_append_printf(page, "#%s *%d 0 ", id, 1048576 + i);
        g_free(spec);
        g_free(value);
    }
    /* Completions of finished jobs also take space until the page is rewritten. */
    for (int k = 0; k < 2; k++) {
        g_string_append(text[k], "\",\"d\":\"");
        for (int i = 0; text[k]->len < 8100 && i < 2000; i++)
            g_string_append_printf(text[k], "#wk-%06d 0:ff ", i);
        g_string_append(text[k], "\"}");
        assert_in_range(text[k]->len, 4000, 8192);
        stored_put_page(world, k ? second : first, text[k]->str);
        g_string_free(text[k], TRUE);
    }
}

/** Completes all tasks and checks that every job is done. */
static void complete_long_page_jobs(struct world *world)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint t = 0; worker->up && t < worker->tasks->len; t++)
            worker_exit_task(worker, g_array_index(worker->tasks, struct worker_task, t).job.text,
                             g_array_index(worker->tasks, struct worker_task, t).index, "done");
    }
    world_run(world, 25000);
    for (int i = 0; i < LONG_PAGE_JOBS; i++) {
        char id[48];
        g_snprintf(id, sizeof id, "wk-%03d-a-long-name-that-takes-much-of-the-page", i);
        world_expect_stage(world, i % world->config.node_count, id, "done");
    }
}

/** Times at which limits are reduced and nodes are started are multiples of this step. */
enum { LONG_PAGES_STEP_MS = 50 };

static void restart_node(struct world *world, int node)
{
    assert_non_null(world->nodes[node]);
    world_kill(world, node);
    world_start(world, node);
}

/**
 * Reduces the limits after `reduction_ms` while nodes take over pages and split them, and restarts
 * a node after `kill_ms`. Checks that every record is kept and that no task is started again; the
 * simulated state service fails the test if a value or a transaction exceeds its limits.
 */
static void run_long_pages(struct world_config config, int reduction_ms, int kill_ms)
{
    struct world *world = create_world_with_machines(config, 6);
    store_long_pages(world, "ll/p/mast-0/0", "ll/p/mast-2/3");
    if (reduction_ms == 0)
        world_lower_state_limits(world);
    for (int ms = 0; ms < 14000; ms += LONG_PAGES_STEP_MS) {
        if (ms == reduction_ms)
            world_lower_state_limits(world);
        if (ms == 0 || ms == 1000 || ms == 2500)
            world_start(world, ms == 0 ? 1 : ms == 1000 ? 0 : 2);
        bool kills = ms <= kill_ms && kill_ms < ms + LONG_PAGES_STEP_MS;
        int before_kill_ms = kills ? kill_ms - ms : LONG_PAGES_STEP_MS;
        world_run(world, before_kill_ms);
        if (kills)
            restart_node(world, kill_ms % 2);
        world_run(world, LONG_PAGES_STEP_MS - before_kill_ms);
    }
    for (int i = 0; i < config.node_count; i++) {
        assert_int_equal(count_recorded_runs(world, i), LONG_PAGE_JOBS);
        expect_pages_within_limit(world, i);
    }
    assert_int_equal(world_count_task_starts(world), 0);
    complete_long_page_jobs(world);
    world_end(world);
}

static void long_pages_are_split_when_limits_are_reduced(void **state)
{
    (void)state;
    const int reductions_ms[] = {0, 950, 1050, 1150, 2450, 2600, 2750, 6000};
    for (guint i = 0; i < G_N_ELEMENTS(reductions_ms); i++)
        run_long_pages(config_with_upcoming_limits(2, 5), reductions_ms[i],
                       i % 2 ? 1100 + 50 * (int)i : 2651);
}

/* Jobs and timeline of the runs with mixed versions, in seconds from the start of submissions. */
enum { MAX_MIXED_JOBS = 40, MIXED_VERSIONS_S = 60, ALL_UPGRADED_S = 40, LIMITS_REDUCED_S = 45 };

static void complete_random_tasks(struct world *world, GRand *random)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        for (guint t = 0; worker->up && t < worker->tasks->len; t++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, t);
            if (strcmp(task->stage, "running") == 0 && g_rand_int_range(random, 0, 3) == 0)
                worker_exit_task(worker, task->job.text, task->index, "done");
        }
    }
}

/** Kills nodes at random; some of them are upgraded, and some are restarted at once. */
static void kill_random_nodes(struct world *world, GRand *random)
{
    for (int turn = 0; turn < 2; turn++) {
        int node = g_rand_int_range(random, 0, 4 * WORLD_NODES);
        if (node >= WORLD_NODES || !world->nodes[node])
            continue;
        world_kill(world, node);
        /* One kill in three upgrades the node; upgrades are final. */
        world->runs_old_version[node] =
            world->runs_old_version[node] && g_rand_int_range(random, 0, 3) > 0;
        if (g_rand_boolean(random))
            world_start(world, node);
    }
}

/** Starts all stopped nodes, or some of them at random. */
static void start_stopped_nodes(struct world *world, GRand *random, bool all)
{
    for (int i = 0; i < WORLD_NODES; i++)
        if (!world->nodes[i] && (all || g_rand_boolean(random)))
            world_start(world, i);
}

/** Restarts every node of the old version as the new one. */
static void upgrade_remaining(struct world *world)
{
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->runs_old_version[i]) {
            world_kill(world, i);
            world->runs_old_version[i] = false;
            world_start(world, i);
        }
}

static void format_mixed_id(char *id, size_t size, int number)
{
    g_snprintf(id, size, "wk-%03d-a-long-name-that-takes-much-of-the-page", number);
}

/** Submits job `number` to the first node that accepts it. Returns whether one did. */
static bool submit_mixed_job(struct world *world, int number)
{
    char id[48];
    format_mixed_id(id, sizeof id, number);
    char *job = world_format_job(id, "sweep", 12, number % 2 ? "red" : "blue", 0.4, "");
    struct user_response response = {0};
    for (int i = 0; i < WORLD_NODES && response.status != 201 && number < MAX_MIXED_JOBS; i++)
        if (world->nodes[i])
            response = world_send_user_request(world, i, "POST", "/work", job);
    g_free(job);
    return response.status == 201 || response.status == 200;
}

/** Checks that all jobs complete. */
static void expect_mixed_jobs_done(struct world *world, GRand *random, int jobs)
{
    for (int s = 0; s < 60; s++) {
        complete_random_tasks(world, random);
        world_run(world, 1000);
    }
    assert_true(jobs > MAX_MIXED_JOBS / 2);
    for (int i = 0; i < jobs; i++) {
        char id[48];
        format_mixed_id(id, sizeof id, i);
        world_expect_stage(world, i % WORLD_NODES, id, "done");
    }
}

/**
 * Kills and starts nodes of both versions in random order, at times two at once or shortly after
 * one another, until all are upgraded; then the limits are reduced. While a node may return as the
 * old version, which does not announce its version, all nodes must write the legacy format. Jobs
 * are submitted throughout: none may be lost, and no task may run twice.
 */
static void run_mixed_versions(guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct world *world = create_world_with_machines(config_with_upcoming_limits(1, 4), 8);
    for (int i = 0; i < WORLD_NODES; i++) {
        world->runs_old_version[i] = true;
        world_start(world, i);
    }
    world_run(world, 3000);
    int jobs = 0;
    for (int s = 0; s < MIXED_VERSIONS_S; s++) {
        if (s < ALL_UPGRADED_S)
            kill_random_nodes(world, random);
        start_stopped_nodes(world, random, s >= ALL_UPGRADED_S);
        if (s == ALL_UPGRADED_S)
            upgrade_remaining(world);
        if (s == LIMITS_REDUCED_S) {
            assert_false(shard_uses_legacy_format(world->nodes[0]->shard));
            world_lower_state_limits(world);
        }
        jobs += submit_mixed_job(world, jobs);
        world_run(world, 1000);
        complete_random_tasks(world, random);
    }
    expect_mixed_jobs_done(world, random, jobs);
    world_end(world);
    g_rand_free(random);
}

static void nodes_are_upgraded_in_any_order(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 6; seed++)
        run_mixed_versions(seed);
}

/* The transaction limit is so low that a page cannot be split in one transaction. */
static void pages_are_copied_when_a_split_exceeds_one_transaction(void **state)
{
    (void)state;
    struct world_config config = config_with_upcoming_limits(1, 4);
    run_long_pages(config, 0, 100000);
    run_long_pages(config, 1050, 2700);
    for (int kill_ms = 2551; kill_ms < 3600; kill_ms += 150) /* while pages are being copied */
        run_long_pages(config, 500, kill_ms);
}

/* One node of the old version is live. It takes its machines over from the page on which it
 * recorded them, so their records must stay there, while those of other owners may move. */
static void machines_of_an_old_version_owner_stay_on_their_page(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(2, 5), 6);
    store_long_pages(world, "ll/p/mast-0/0", "ll/p/mast-0/1");
    world_put_key(world, "ll/n/mast-2", "{\"i\":77,\"b\":\"10.0.0.3:8081\"}");
    world_start(world, 0);
    world_start(world, 1);
    world_run(world, 6000);
    struct replica *replica = world->nodes[0]->replica;
    assert_true(shard_uses_legacy_format(world->nodes[0]->shard));
    GHashTableIter it;
    struct machine_record *machine;
    int old_owner_machines = 0;
    g_hash_table_iter_init(&it, replica->machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        struct record_page *page = NULL;
        for (guint i = 0; i < machine->run_records->len; i++) { /* all on one page */
            struct run_record *run_record = machine->run_records->pdata[i];
            assert_true(!page || page == run_record->page);
            page = run_record->page;
        }
        if (strcmp(shard_map_get_owner(replica, machine->id.text), "mast-2") != 0)
            continue;
        old_owner_machines++;
        assert_true(page && (strcmp(page->key, "ll/p/mast-0/0") == 0 ||
                             strcmp(page->key, "ll/p/mast-0/1") == 0));
    }
    assert_true(old_owner_machines > 0);
    assert_int_equal(count_recorded_runs(world, 1), LONG_PAGE_JOBS);
    /* That node restarts as the new version. */
    world_remove_key(world, "ll/n/mast-2");
    world_start(world, 2);
    world_lower_state_limits(world);
    world_run(world, 9000);
    assert_false(shard_uses_legacy_format(world->nodes[0]->shard));
    expect_pages_within_limit(world, 2);
    assert_int_equal(count_recorded_runs(world, 2), LONG_PAGE_JOBS);
    assert_int_equal(world_count_task_starts(world), 0);
    complete_long_page_jobs(world);
    world_end(world);
}

static enum request_fault delay_page_split(struct world *world, int node,
                                           const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 &&
                   strstr(request->body, "\"Set\":\"ll\\/p\\/mast-2\\/0\"")
               ? FAULT_REQUEST_DELAYED
               : FAULT_NONE;
}

/* A node takes over machines from a large page while another node is splitting that page. It must
 * look up the location of their records when it takes over, as they may have moved. */
static void page_is_split_while_its_machines_are_taken_over(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(2, 5), 6);
    store_long_pages(world, "ll/p/mast-2/3", "ll/p/mast-2/4");
    world->inject_fault = delay_page_split;
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 5000);
    world_kill(world, 2);
    world_run(world, 9000);
    assert_int_equal(count_recorded_runs(world, 0), LONG_PAGE_JOBS);
    world_start(world, 2);
    world_run(world, 6000);
    assert_int_equal(count_recorded_runs(world, 1), LONG_PAGE_JOBS);
    complete_long_page_jobs(world);
    assert_int_equal(world_count_task_starts(world), 0);
    world_end(world);
}

/* A job description that was stored under higher limits exceeds the current ones. The value stored
 * for the cancelled job is shorter and still holds the number of its tasks. */
static void job_with_an_oversized_description_can_be_cancelled(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(2, 5), 4);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 3000);
    GString *type_names = g_string_new(",\"Builds\":[\"g8\"");
    for (int i = 0; i < 60; i++)
        g_string_append_printf(type_names,
                               ",\"a-type-of-machine-with-a-long-name-that-no-cloud-has-%d\"", i);
    g_string_append_c(type_names, ']');
    char *spec = world_format_job("wk-1", "daemon", 4, "blue", 2.0, type_names->str);
    char *value = g_strdup_printf("{\"t\":1700000000000,\"w\":%s}", spec);
    assert_true(strlen(value) > 2048);
    /* A new job of this size is rejected. */
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", spec).status, 422);
    world_put_job(world, "wk-1", value);
    world_lower_state_limits(world);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work/wk-1/abort", NULL).status,
                     200);
    assert_true(strlen(world_get_key(world, "ll/j/wk-1")) < 2048);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 0);
    world_expect_stage(world, 2, "wk-1", "cancelled");
    assert_non_null(strstr(world_get_key(world, "ll/j/wk-1"), "\"f\""));
    g_free(spec);
    g_free(value);
    g_string_free(type_names, TRUE);
    world_end(world);
}

/* More machine types than fit into one value: all nodes must read all of them. */
static void many_machine_types_are_stored_in_parts(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(1, 5), 4);
    GString *types = g_string_new("{\"Builds\":[");
    for (int i = 0; i < 12; i++)
        g_string_append_printf(
            types,
            "%s{\"Label\":\"%s%d\",\"Vcpus\":8,\"Cards\":0,\"MemoryGb\":32,\"LocalGb\":100,"
            "\"FetchGbPerS\":1.0,\"Price\":1.0,\"MarketPrice\":0.4,\"ReadyS\":5,"
            "\"Yards\":[\"a\",\"b\"]}",
            i ? "," : "", i ? "other-" : "g", i ? i : 8);
    g_string_append(types, "]}");
    world->machine_types = types->str;
    world_lower_state_limits(world);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 5000);
    for (int i = 0; i < WORLD_NODES; i++) {
        assert_non_null(world->nodes[i]->replica->machine_types);
        assert_int_equal(world->nodes[i]->replica->machine_types->len, 12);
    }
    assert_non_null(world_get_key(world, "ll/types/1"));
    world_kill(world, 1); /* a restarted node reads all types again */
    world_start(world, 1);
    world_run(world, 2000);
    char *job = world_format_job("wk-1", "sweep", 1, "blue", 1.0, ",\"Builds\":[\"other-11\"]");
    assert_int_equal(world_send_user_request(world, 1, "POST", "/work", job).status, 201);
    g_free(job);
    world_end(world);
    g_string_free(types, TRUE);
}

/** The number of writes that the state service still rejects with 429. */
static int remaining_rejections;

static enum request_fault rate_limit_writes(struct world *world, int node,
                                            const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool writes = strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\"");
    return writes && remaining_rejections > 0 && remaining_rejections-- ? FAULT_RATE_LIMITED
                                                                        : FAULT_NONE;
}

/* A single 429 is ignored; several mean that the state service's write limit was reduced, so the
 * client lowers its rate. No write may be lost. */
static void rate_limited_writes_slow_down_the_writer(void **state)
{
    (void)state;
    struct world *world = create_world_with_machines(config_with_upcoming_limits(2, 5), 6);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 3000);
    world->inject_fault = rate_limit_writes;
    remaining_rejections = 1;
    assert_int_equal(world_submit(world, 0, "wk-1", "sweep", 6).status, 201);
    assert_true(kv_client_limits(world->nodes[0]->kv)->rate_limit_write_rps > 150);
    remaining_rejections = 6;
    assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 6).status, 201);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 6);
    assert_int_equal(world_count_active_tasks(world, "wk-2"), 6);
    bool slowed = false;
    for (int i = 0; i < WORLD_NODES; i++)
        slowed = slowed || kv_client_limits(world->nodes[i]->kv)->rate_limit_write_rps <= 100;
    assert_true(slowed);
    world_end(world);
}

/* With a low size limit, the completions of a job's last tasks must not be preceded by a long run
 * of zeros. */
static void completions_of_a_large_job_are_encoded_compactly(void **state)
{
    (void)state;
    GByteArray *bits = g_byte_array_new();
    GString *text = g_string_new(NULL);
    bitmap_grow(bits, 1);
    bits->data[0] = 5;
    job_id job;
    assert_true(job_id_parse(&job, "wk-1"));
    completions_encode(text, job, 7, bits, false);
    assert_string_equal(text->str, "#wk-1 0+896:05 ");
    g_string_truncate(text, 0);
    completions_encode(text, job, 9, bits, true);
    assert_int_equal(text->len, strlen("#wk-1 1:") + (size_t)2 * 128 + strlen("05 "));
    g_string_free(text, TRUE);
    g_byte_array_unref(bits);
}

/* With values of at most 1 KiB, the completions of a job of many tasks are spread over many pages,
 * and the job completes. */
static void large_job_completes_with_small_values(void **state)
{
    (void)state;
    enum { TASKS = 5000 };
    struct world *world = create_world_with_machines(config_with_upcoming_limits(1, 4), 8);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_lower_state_limits(world);
    world_run(world, 3000);
    char *job = world_format_job("wk-1", "sweep", TASKS, "blue", 0.1, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    for (int round = 0; round < 240; round++) {
        if (round == 40 || round == 90)
            world_kill(world, round == 40 ? world_get_leader_index(world) : 1);
        for (int i = 0; i < WORLD_NODES && (round == 50 || round == 100); i++)
            if (!world->nodes[i])
                world_start(world, i);
        world_exit_tasks_of_job(world, "wk-1", "done");
        world_run(world, 500);
    }
    world_expect_stage(world, 0, "wk-1", "done");
    assert_in_range(world_count_task_starts(world), TASKS, TASKS + TASKS / 20);
    world_end(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(data_of_version_0_3_is_served),
        cmocka_unit_test(long_pages_are_split_when_limits_are_reduced),
        cmocka_unit_test(pages_are_copied_when_a_split_exceeds_one_transaction),
        cmocka_unit_test(machines_of_an_old_version_owner_stay_on_their_page),
        cmocka_unit_test(page_is_split_while_its_machines_are_taken_over),
        cmocka_unit_test(nodes_are_upgraded_in_any_order),
        cmocka_unit_test(job_with_an_oversized_description_can_be_cancelled),
        cmocka_unit_test(many_machine_types_are_stored_in_parts),
        cmocka_unit_test(rate_limited_writes_slow_down_the_writer),
        cmocka_unit_test(large_job_completes_with_small_values),
        cmocka_unit_test(completions_of_a_large_job_are_encoded_compactly),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
