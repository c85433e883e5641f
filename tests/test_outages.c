/* Zones that are cut off, processes that are back at once, outages, and pages that change hands. */
#include "run_records_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

/* ---- a zone that is cut off with a node in it ---- */

/* Zone b and one node are cut off from all else, longer than a lease. The node keeps the machines
 * of that zone, whoever owns them, and nobody takes their tasks for free meanwhile. */
static void cut_zone(struct world *world, int64_t ms)
{
    world->fate = world_only_workers;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].only = strcmp(world->workers[i].zone, "b") == 0 ? world->lone : -1;
    /* those in zone a do not reach the node that is cut off */
    for (int t = 0; t < ms / 100; t++) {
        for (int i = 0; i < WORLD_WORKERS; i++)
            if (world->workers[i].up && world->workers[i].only < 0 &&
                world->workers[i].node == world->lone)
                world->workers[i].node = (world->lone + 1) % 3;
        world_run(world, 100);
    }
}

static void end_cut(struct world *world)
{
    world->fate = NULL;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].only = -1;
}

static void spread_service(struct world *world, const char *id)
{
    char *body = world_job(id, "daemon", 8, "blue", 2.0, ""),
         *apart = world_swapped(body, "\"Apart\":false", "\"Apart\":true"),
         *ordinary = world_swapped(apart, "\"Loaners\":true", "\"Loaners\":false");
    assert_int_equal(world_ask(world, 0, "POST", "/work", ordinary).status, 201);
    g_free(body);
    g_free(apart);
    g_free(ordinary);
    world_run(world, 12000);
    assert_int_equal(world_on_machines(world, id), 8);
}

/* A node that does not own all the machines in zone b. */
static int not_owner(struct world *world)
{
    for (int i = 0; i < WORLD_WORKERS; i++) {
        struct worker *worker = &world->workers[i];
        if (worker->up && strcmp(worker->zone, "b") == 0 && worker->tasks->len)
            return (shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0' + 1) % 3;
    }
    fail();
    return -1;
}

static void a_zone_that_is_cut_off_keeps_its_tasks(void **state)
{
    struct world *world = *state;
    spread_service(world, "wk-1");
    world->lone = not_owner(world);
    int starts = world_starts(world);
    cut_zone(world, 22000); /* a lease of 10 s, of which the node renews for under 20 s */
    assert_int_equal(world_on_machines(world, "wk-1"), 8);
    end_cut(world);
    world_run(world, 10000);
    assert_int_equal(world_on_machines(world, "wk-1"), 8);
    assert_int_equal(world_starts(world), starts);
    world_expect_stage(world, 0, "wk-1", "running");
}

/* For long: the leases end all the same, in time for what was cancelled, and only then do the tasks
 * run elsewhere (a task that runs twice fails any of these tests). */
static void a_zone_that_stays_cut_off_is_given_up(void **state)
{
    struct world *world = *state;
    spread_service(world, "wk-1");
    spread_service(world, "wk-2");
    world->lone = not_owner(world);
    int other = (world->lone + 1) % 3;
    world->capacity = 4;
    cut_zone(world, 1000);
    assert_int_equal(world_ask(world, other, "POST", "/work/wk-2/abort", NULL).status, 200);
    cut_zone(world, 30000);
    assert_int_equal(world_on_machines(world, "wk-2"), 0);
    cut_zone(world, 30000);
    end_cut(world);
    world_run(world, 20000);
    assert_int_equal(world_on_machines(world, "wk-1"), 8);
    assert_int_equal(world_on_machines(world, "wk-2"), 0);
}

/* ---- a task that is started again where it was lost ---- */

static bool refuse_pages;
static enum fate refuse_pages_lose_answers(struct world *world, int node,
                                           const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (refuse_pages && strcmp(request->path, "/txn") == 0 &&
        strstr(request->body, "\"Set\":\"ll\\/p"))
        return FATE_REFUSED;
    return strcmp(request->path, "/commands") == 0 ? FATE_ANSWER_LOST : FATE_NORMAL;
}

/* A worker has a new session, and before the end of its task is on record there is a new epoch: the
 * task is on record still, and its command goes out once more, in that session. A report from
 * before, which lacks the task, is no proof that it is gone. */
static void a_report_from_before_the_second_start_frees_nothing(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    struct worker *worker = world_worker(world, 2, "a", true);
    world_run(world, 2500);
    world_submit(world, 0, "wk-1", "daemon", 1);
    world_run(world, 4000);
    assert_int_equal(worker->tasks->len, 1);
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    refuse_pages = true;
    world->fate = refuse_pages_lose_answers;
    worker_new_session(worker, false);
    worker_report(worker);
    worker->quiet_until = time_add_ms(loop_now(world->loop), 2000);
    char *before = g_strdup(worker->said->pdata[worker->said->len - 1]);
    uint64_t sequence = worker->sequence;
    world_run(world, 50);
    membership_raise_epoch(world_leader(world)->membership, "test");
    world_run(world, 50);
    refuse_pages = false;
    uint64_t late_sequence = ++worker->sequence; /* of a report that is on its way now */
    world_submit(world, 0, "wk-2", "daemon", 1); /* with its command goes that of the first one */
    world_run(world, 800);
    assert_non_null(worker_task(worker, "wk-1", 0));
    char was[32], is[32];
    g_snprintf(was, sizeof was, "\"Tally\":%" G_GUINT64_FORMAT, sequence);
    g_snprintf(is, sizeof is, "\"Tally\":%" G_GUINT64_FORMAT, late_sequence);
    char *late = world_swapped(before, was, is);
    world_worker(world, 3, "a", true); /* where it would be started too */
    world_say_again(world, owner, late);
    world_run(world, 8000);
    assert_int_equal(world_on_machines(world, "wk-1"), 1);
    g_free(late);
    g_free(before);
}

/* ---- answers in time ---- */

static enum fate lose_state(struct world *world, int node,
                            const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->address, "10.2.0.1:2379") == 0 ? FATE_LOST : FATE_NORMAL;
}

static enum fate refuse_state(struct world *world, int node,
                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->address, "10.2.0.1:2379") == 0 ? FATE_REFUSED : FATE_NORMAL;
}

/* Whatever the state service does, a user who cannot be served is told so while it is of use, with
 * when to come back; and at once, when it is known that nobody is served. */
static void who_cannot_be_served_is_told_at_once(void **state)
{
    struct world *world = *state;
    static const fate_fn troubles[] = {lose_state, refuse_state};
    world_submit(world, 0, "wk-1", "sweep", 1);
    for (guint t = 0; t < G_N_ELEMENTS(troubles); t++) {
        world->fate = troubles[t];
        int64_t most[] = {1700, 20};
        for (int round = 0; round < 2; round++) {
            struct user_answer answer[] = {
                world_submit(world, 0, "wk-2", "sweep", 1),
                world_ask(world, 1, "GET", "/work/wk-1", NULL),
                world_ask(world, 2, "POST", "/work/wk-1/abort", NULL),
                world_ask(world, 0, "GET", "/work/wk-404", NULL),
            };
            for (guint i = 0; i < G_N_ELEMENTS(answer); i++) {
                assert_int_equal(answer[i].status, 503);
                assert_non_null(strstr(answer[i].fields, "Retry-After: 1"));
                assert_in_range(answer[i].took_ms, 0, most[round]);
            }
            world_run(world, 2500);
        }
        world->fate = NULL;
        world_run(world, 6000);
        assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 1).status, t ? 200 : 201);
        world_expect_stage(world, 1, "wk-1",
                           "running"); /* no cancel was told, and none is in force */
    }
}

/* ---- back at once ---- */

static int old_node;
static bool holding;
static enum fate hold_all_of_old(struct world *world, int node,
                                 const struct http_client_request *request)
{
    (void)world;
    return holding && node == old_node && !g_str_has_prefix(request->path, "/watch") ? FATE_HELD
                                                                                     : FATE_NORMAL;
}

/* The leader dies with everything it sent still on its way, is back within a moment, dies again and
 * is back again; then all that its earlier processes sent arrives. */
static void what_a_dead_process_sent_comes_late(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_run(world, 8000);
    for (int round = 0; round < 3; round++) {
        old_node = world_leader_index(world);
        world->fate = hold_all_of_old;
        holding = true;
        char id[16];
        g_snprintf(id, sizeof id, "wk-2%d", round);
        assert_int_equal(world_submit(world, (old_node + 1) % 3, id, "sweep", 3).status, 201);
        world_run(world, 700);
        for (int again = 0; again < 2; again++) {
            world_kill(world, old_node);
            world_run(world, 150);
            holding = false;
            world_start(world, old_node);
            world_run(world, again ? 5000 : 900); /* the second time in the middle of an election */
        }
        world_deliver_held(world);
        world_run(world, 9000);
        assert_int_equal(world_on_machines(world, "wk-1"), 4);
        assert_int_equal(world_on_machines(world, id), 3);
    }
    assert_true(world->rented <= 6);
}

static enum fate hold_records_of_old(struct world *world, int node,
                                     const struct http_client_request *request)
{
    (void)world;
    return holding && node == old_node && strcmp(request->path, "/txn") == 0 ? FATE_HELD
                                                                             : FATE_NORMAL;
}

/* Run records that a dead process wrote arrive when its successor has long written others under the
 * same keys: they are conditioned on its node key, on the map and on the pages as they were. */
static void late_records_of_a_dead_process_are_refused(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    for (int i = 3; i < WORLD_WORKERS; i++)
        world_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 4000);
    world_submit(world, 0, "wk-0", "sweep", 20); /* the machines' own records are there already */
    world_run(world, 4000);
    assert_int_equal(world_on_machines(world, "wk-0"), 20);
    worker_exit_all(world, "wk-0", "done");
    world_run(world, 4000);
    old_node = shard_map_get_owner(world->nodes[0]->replica, world->workers[4].id)[5] - '0';
    world->fate = hold_records_of_old;
    holding = true;
    assert_int_equal(world_submit(world, (old_node + 1) % 3, "wk-1", "sweep", 20).status, 201);
    world_run(world, 1500); /* the switch rule keeps them back for a moment */
    assert_true(world->held->len > 0);
    world_kill(world, old_node);
    world_run(world, 150);
    holding = false;
    world_start(world, old_node);
    world_run(world, 9000);
    assert_int_equal(world_on_machines(world, "wk-1"), 20);
    int starts = world_starts(world);
    world_deliver_held(world);
    world_run(world, 9000);
    assert_int_equal(world_on_machines(world, "wk-1"), 20);
    assert_int_equal(world_starts(world), starts);
    worker_exit_all(world, "wk-1", "done");
    world_run(world, 4000);
    for (int i = 0; i < WORLD_NODES; i++)
        world_expect_stage(world, i, "wk-1", "done");
}

static void all_nodes_back_at_once_go_on(void **state)
{
    struct world *world = *state;
    world_submit(world, 0, "wk-1", "daemon", 4);
    world_submit(world, 0, "wk-2", "sweep", 4);
    world_run(world, 8000);
    int starts = world_starts(world);
    for (int round = 0; round < 4; round++) {
        for (int i = 0; i < WORLD_NODES; i++)
            world_kill(world, i);
        world_run(world, INT64_C(100) * round);
        for (int i = 0; i < WORLD_NODES; i++)
            world_start(world, i);
        world_run(world, 500 + 900 * round);
    }
    world_run(world, 4000);
    assert_int_equal(world_starts(world), starts);
    for (int i = 0; i < WORLD_NODES; i++) {
        world_expect_stage(world, i, "wk-1", "running");
        world_expect_stage(world, i, "wk-2", "running");
    }
}

static enum fate lose_renewals(struct world *world, int node,
                               const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return g_str_has_suffix(request->path, "/renew") ? FATE_LOST : FATE_NORMAL;
}

/* The leader cannot act during an outage, and leads on in the same epoch: it deals on from where it
 * was. It used to begin its messages anew, which the parts took for copies. */
static void a_leader_goes_on_after_an_outage(void **state)
{
    struct world *world = *state;
    two_ordinary_machines(world);
    for (int i = 0; i < 12; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "wk-1%d", i);
        assert_int_equal(world_submit(world, i % 3, id, "sweep", 4).status, 201);
        for (int k = 0; k < 4; k++) {
            world_run(world, 700);
            worker_exit_all(world, id, "done");
        }
    }
    uint64_t epoch = world->nodes[0]->replica->shard_map_epoch.value;
    world->state_down = true;
    world_run(world, 9000);
    world->state_down = false;
    world->fate = lose_renewals; /* it hears of a change before its lease is renewed */
    assert_int_equal(
        world_submit(world, (world_leader_index(world) + 1) % 3, "wk-3", "sweep", 1).status, 503);
    world_run(world, 300);
    world_submit(world, 0, "wk-3", "sweep", 1);
    world_submit(world, 1, "wk-3", "sweep", 1);
    world_run(world, 1000);
    world->fate = NULL;
    world_run(world, 4000);
    assert_true(world->nodes[0]->replica->shard_map_epoch.value == epoch);
    assert_int_equal(world_submit(world, 0, "wk-2", "sweep", 3).status, 201);
    world_run(world, 5000);
    assert_int_equal(world_on_machines(world, "wk-2"), 3);
}

/* Jobs that are over stay known for good, also those that are not kept in memory any more. */
static void old_jobs_are_read_when_asked_for(void **state)
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
        struct user_answer answer = world_submit(world, (i + 1) % 3, path, "sweep", 4);
        assert_int_equal(answer.status, 200);
        assert_non_null(strstr(answer.body, stage));
        char *job = world_job(path, "sweep", 4, "nobody", 2.0, ""); /* 422, were it not known */
        assert_int_equal(world_ask(world, i % 3, "POST", "/work", job).status, 200);
        g_free(job);
        g_snprintf(path, sizeof path, "/work/wk-%02d/abort", i);
        answer = world_ask(world, i % 3, "POST", path, NULL);
        assert_true(answer.status == 200 && strstr(answer.body, stage));
    }
    assert_int_equal(world_ask(world, 0, "GET", "/work/wk-404", NULL).status, 404);
    assert_int_equal(world_submit(world, 0, "wk-new", "sweep", 1).status, 201);
    world->too_old = 3; /* everything is read again */
    world_submit(world, 1, "wk-new2", "sweep", 1);
    world_run(world, 5000);
    world_expect_stage(world, 2, "wk-01", "done");
}

/* A submission that lacks a field gets 400 and one that can never run 422, whoever is asked and
 * however often; neither is ever accepted. One of an accepted job gets that job's state, whatever
 * it says. */
static void what_cannot_be_taken_is_told_so(void **state)
{
    struct world *world = *state;
    static const char *const fields[] = {
        "\"Lot\":\"lot\",",      "\"Crew\":\"blue\",",  "\"Form\":\"gang\",",
        "\"Urgency\":\"high\",", "\"Pieces\":2,",       "\"Vcpus\":2.0,",
        "\"Cards\":0.0,",        "\"MemoryGb\":1.0,",   "\"Mould\":\"img-1\",",
        "\"ImageGb\":1.0,",      "\"OneZone\":false,",  "\"Apart\":false,",
        "\"Loaners\":true,",     "\"ExpectedS\":10.0,", "\"MarkEveryS\":0.0,",
        ",\"StowS\":0.0",
    };
    char *good = world_job("wk-1", "gang", 2, "blue", 2.0, "");
    for (int round = 0; round < 2; round++) {
        for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
            char *bad = world_swapped(good, fields[i], "");
            for (int n = 0; n < WORLD_NODES; n++)
                assert_int_equal(world_ask(world, n, "POST", "/work", bad).status,
                                 round ? 200 : 400);
            g_free(bad);
        }
        char *never[] = {
            world_job("wk-1", "gang", 2, "nobody", 2.0, ""), /* no such team */
            world_job("wk-1", "gang", 2, "blue", 9.0, ""),   /* fits no machine */
            world_job("wk-1", "gang", 9, "blue", 8.0, ""),   /* all of it passes the limit */
            world_job("wk-1", "daemon", 9, "blue", 8.0, ""),
        };
        for (guint i = 0; i < G_N_ELEMENTS(never); i++) {
            for (int n = 0; n < WORLD_NODES; n++)
                assert_int_equal(world_ask(world, n, "POST", "/work", never[i]).status,
                                 round ? 200 : 422);
            g_free(never[i]);
        }
        if (!round) {
            assert_int_equal(world_ask(world, 0, "GET", "/work/wk-1", NULL).status, 404);
            assert_int_equal(world_ask(world, 1, "POST", "/work", good).status, 201);
        }
    }
    char *array = world_job("wk-2", "sweep", 9, "blue", 8.0, ""); /* one task is within it */
    assert_int_equal(world_ask(world, 0, "POST", "/work", array).status, 201);
    g_free(array);
    /* Whether it was accepted cannot be told now. */
    char *bad = world_swapped(good, "\"Vcpus\":2.0,", "");
    world->state_down = true;
    world_run(world, 500);
    assert_int_equal(world_ask(world, 0, "POST", "/work", bad).status, 503);
    world->state_down = false;
    world_run(world, 3000);
    /* Nor is it forgotten once it is over and left memory. */
    worker_exit_all(world, "wk-1", "done");
    world_run(world, 3000);
    world_expect_stage(world, 0, "wk-1", "done");
    world->nodes[0]->replica->max_finished_jobs = 0;
    world_submit(world, 0, "wk-3", "sweep", 1);
    assert_int_equal(world_cancel(world, 0, "wk-3"), 200);
    world_run(world, 3000);
    assert_null(replica_get_job(world->nodes[0]->replica, "wk-1"));
    struct user_answer answer = world_ask(world, 0, "POST", "/work", bad);
    assert_true(answer.status == 200 && strstr(answer.body, "done"));
    g_free(bad);
    g_free(good);
}

/* More machines go at once than a transaction may hold writes for, which the world asserts. */
static void many_machines_go_at_once(void **state)
{
    struct world *world = *state;
    world_kill(world, 1);
    world_kill(world, 2);
    world->capacity = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 6000);
    world_submit(world, 0, "wk-1", "daemon", 32);
    world_run(world, 4000);
    assert_int_equal(world_on_machines(world, "wk-1"), 32);
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].silent = true;
    world_run(world, 12000);
    assert_int_equal(world->returned, WORLD_WORKERS);
    assert_int_equal(g_hash_table_size(world->nodes[0]->replica->machines), 0);
    world_worker(world, 3, "a", true);
    world_run(world, 5000);
    assert_int_equal(world_on_machines(world, "wk-1"), 4);
}

/* A node is away from the state service while much changes: one answer with all of it could be more
 * than its memory, so it reads the keys in pages. */
static void a_node_that_was_away_reads_pages(void **state)
{
    struct world *world = *state;
    world->lone = (world_leader_index(world) + 1) % 3;
    world->fate = world_only_workers;
    world_run(world, 3000);
    for (int i = 0; i < 900; i++) {
        world_put_job(world, "wk-1", "{\"f\":\"done\",\"n\":1}");
        world_run(world, 10);
    }
    world->most_news = 0;
    world->fate = NULL;
    world_run(world, 6000);
    assert_in_range(world->most_news, 0, 350);
    world_expect_stage(world, world->lone, "wk-1", "done");
    assert_true(world->nodes[world->lone]->replica->applied_revision.value == world->ledger);
}

/* The same, but its sessions are counted from one again, with lower numbers than before. Its
 * reports cannot be told from old copies; its answer can. */
static void a_worker_that_counts_anew_is_believed(void **state)
{
    struct world *world = *state;
    struct worker *worker = service_on_two_machines(world, 4);
    world_run(world, 5000);
    worker_new_session(worker, true);
    world_run(world, 7000);
    assert_int_equal(world_on_machines(world, "wk-1"), 4);
    assert_true(worker->session == 1); /* its lease did not have to run out first */
}

/* Whether the nodes have used up their share of the writes. */
static void writes_wait(struct world *world, bool wait)
{
    for (int i = 0; i < WORLD_NODES; i++) {
        world->nodes[i]->shard->records.write_budget = wait ? -2000 : 1;
        timer_start(world->loop, &world->nodes[i]->shard->records.flush_timer, 1);
    }
}

/* A task is placed on a machine that goes before its start is on record. It used to stay dealt in
 * the leader's ledger, and so never ran. */
static void what_was_placed_on_a_machine_that_goes_is_dealt_again(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    struct worker *old = world_worker(world, 7, "a", true);
    world_run(world, 3000);
    writes_wait(world, true);
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_run(world, 1000);
    old->silent = true;
    world_run(world, 9000);
    assert_false(old->up);
    writes_wait(world, false);
    world_worker(world, 6, "b", true);
    world_run(world, 6000);
    assert_int_equal(world_on_machines(world, "wk-1"), 2);
}

/* More records than one page holds, on pages that change hands when nodes go and come: the state
 * service takes no value that is too long, which the world asserts, so a page that is reckoned
 * emptier than it is would stop all that is written. */
static void submit_long_names(struct world *world, int from, int to)
{
    for (int i = from; i < to; i++) {
        char id[48];
        g_snprintf(id, sizeof id, "wk-%03d-a-long-name-that-takes-much-of-the-page", i);
        char *job = world_job(id, "daemon", 1, "blue", 0.2, "");
        assert_int_equal(world_ask(world, i % 2, "POST", "/work", job).status, 201);
        g_free(job);
    }
}

static void full_pages_change_hands(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    world_kill(world, 2); /* two nodes have more to write each */
    for (int i = 2; i < WORLD_WORKERS; i++)
        world_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 3000);
    submit_long_names(world, 0, 140);
    world_run(world, 6000);
    assert_int_equal(world_starts(world), 140);
    /* What waits now is dealt all at once, when the nodes have just been started. */
    for (int i = 2; i < WORLD_WORKERS; i++)
        world->workers[i].silent = true;
    world_run(world, 4500);
    submit_long_names(world, 140, 188);
    for (int i = 0; i < 2; i++) {
        world_kill(world, i);
        world_start(world, i);
    }
    for (int i = 2; i < WORLD_WORKERS; i++)
        world->workers[i].silent = false;
    world_run(world, 9000);
    world_start(world, 2);
    assert_int_equal(world_starts(world), 188);
    for (int round = 0; round < 4; round++) {
        int node = round % 3;
        world_kill(world, node);
        world_run(world, round == 3 ? 200 : 7000);
        world_start(world, node);
        world_run(world, 7000);
    }
    assert_int_equal(world_starts(world), 188);
    char *last = world_job("wk-last", "sweep", 4, "blue", 0.2, "");
    assert_int_equal(world_ask(world, 0, "POST", "/work", last).status, 201);
    g_free(last);
    world_run(world, 5000);
    assert_int_equal(world_on_machines(world, "wk-last"), 4);
    assert_true(g_hash_table_size(world->nodes[0]->replica->pages) > 3);
}

/* A machine that hung is back with its next session before anybody missed it: what ran is gone, and
 * starts again at once. */
/* A page of a node that is away, as it may have been written: six machines with tasks of two jobs
 * each, or every step-th of them. */
static char *page_of_two_jobs(int step)
{
    GString *s = g_string_new("{\"t\":\"");
    for (int host = 0; host < 6; host++) {
        g_string_append_printf(s, "@host-90000%d =10.1.9.%d:9000,g8,a,0 ", host, host);
        for (int job = 1; job <= 2; job++) {
            g_string_append_printf(s, "#wk-%d *1 ", job);
            for (int i = 0; i < 100; i += step)
                g_string_append_printf(s, "%d ", host * 100 + i);
        }
    }
    g_string_append(s, "\",\"d\":\"\"}");
    return g_string_free(s, FALSE);
}

/* What is left on a page once tasks have gone is no longer in the order of machines and jobs. It is
 * taken over all the same, in texts that are not too long (the state service's stand-in sees to
 * that). */
static void a_page_in_disorder_changes_hands(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    world_submit(world, 0, "wk-1", "sweep", 600);
    world_submit(world, 0, "wk-2", "sweep", 600);
    char *whole = page_of_two_jobs(1), *half = page_of_two_jobs(2);
    world_put(world, "ll/p/mast-7/0", whole);
    world_run(world, 500);
    world_put(world, "ll/p/mast-7/0", half);
    world_run(world, 500);
    membership_raise_epoch(world_leader(world)->membership, "test");
    world_run(world, 8000);
    GHashTableIter it;
    struct record_page *page;
    guint tasks = 0;
    g_hash_table_iter_init(&it, world->nodes[0]->replica->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page)) {
        tasks += page->run_records->len;
        assert_true(strcmp(page->label, "mast-7") != 0 || page->run_records->len == 0);
    }
    assert_int_equal(tasks, 600);
    g_free(whole);
    g_free(half);
}

static enum fate slow_to_take_over(struct world *world, int node,
                                   const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "mast-7") ? FATE_SLOW
                                                                                 : FATE_NORMAL;
}

/* While a machine's records are being taken over to a page, a new task finds no room there and goes
 * to another one. The first one may not be written without what was put on it. */
static void records_leave_the_page_they_were_put_on(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    struct worker *worker = world_worker(world, 2, "a", true);
    world_run(world, 2500);
    world_submit(world, 0, "wk-1", "sweep", 1);
    world_run(world, 3000);
    assert_int_equal(worker->tasks->len, 1);
    /* Its record stands on a page of a node that is away, not on its owner's. */
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    struct shard *shard = world->nodes[owner]->shard;
    char *own = key_record_page(shard->settings->label, 0),
         *text = g_strdup_printf("{\"t\":\"@%s #wk-1 *%" G_GUINT64_FORMAT " 0 \",\"d\":\"\"}",
                                 worker->id, g_array_index(worker->tasks, struct wtask, 0).attempt);
    world_put(world, "ll/p/mast-7/0", text);
    world->fate = slow_to_take_over;
    world_put(world, own, "{\"t\":\"\",\"d\":\"\"}"); /* so it takes the machine over */
    struct machine *machine = NULL;
    struct task_run *run = NULL;
    for (int i = 0; i < 400 && !(run && run->record.is_in_txn && run->record.is_foreign); i++) {
        world_run(world, 1);
        machine = shard_find_machine(shard, worker->id);
        run = machine && machine->runs->len ? machine->runs->pdata[0] : NULL;
    }
    assert_true(run && run->record.is_in_txn && run->record.is_foreign);
    int put = run->record.next_page;
    ((struct own_page *)shard->records.pages->pdata[put])->bytes = shard_max_page_bytes(shard);
    world_submit(world, 0, "wk-2", "sweep", 1);
    for (int i = 0; i < 3000 && run->record.is_foreign; i++)
        world_run(world, 1);
    assert_int_equal(run->record.page, put);
    world_run(world, 4000);
    assert_int_equal(machine->runs->len, 2); /* its records are on two pages now */
    assert_int_not_equal(((struct task_run *)machine->runs->pdata[1])->record.page, put);
    world_worker(world, 3, "a", true); /* where a task that looks free would be started */
    world_run(world, 6000);
    assert_int_equal(world_on_machines(world, "wk-1") + world_on_machines(world, "wk-2"), 2);
    assert_int_equal(world_starts(world), 2);
    g_free(own);
    g_free(text);
}

static enum fate late_watches(struct world *world, int node,
                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return g_str_has_prefix(request->path, "/watch") ? FATE_LATE : FATE_NORMAL;
}

/* Answers to watches come later than those to transactions, so a node that learns that another one
 * has written a page of its own knows newer things of its other pages than its view shows: tasks
 * recorded a moment ago were taken for freed, and stopped. */
static void a_view_that_lags_frees_nothing(void **state)
{
    struct world *world = *state;
    world->capacity = 0;
    for (int i = 4; i < WORLD_WORKERS; i++)
        world_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 3000);
    world->fate = late_watches;
    char *job = world_job("wk-1", "sweep", 400, "blue", 0.5, "");
    assert_int_equal(world_ask(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    int ended = 0;
    for (int i = 0; i < 300; i++) {
        for (int k = 4; k < WORLD_WORKERS; k++) {
            struct worker *worker = &world->workers[k];
            if (i % 3 == 0 && worker->tasks->len &&
                strcmp(g_array_index(worker->tasks, struct wtask, 0).stage, "running") == 0) {
                worker_exit(worker, "wk-1", g_array_index(worker->tasks, struct wtask, 0).index,
                            "done");
                worker_report(worker);
                ended++;
            }
        }
        for (int node = 0; node < WORLD_NODES; node++) {
            char *page = key_record_page(world->nodes[node]->settings->label, 40);
            world_put(world, page, "{\"t\":\"\",\"d\":\"\"}");
            g_free(page);
        }
        world_run(world, 70);
    }
    assert_in_range(ended, 50, 400);
    assert_int_equal(world_starts(world), ended + world_on_machines(world, "wk-1"));
}

/* Users ask all nodes, and repeat the submission; the world sees to it that nothing is older.
 * stage NULL: whatever it may be. */
static void ask_all(struct world *world, const char *job, const char *stage)
{
    char *path = g_strconcat("/work/", job, NULL);
    for (int i = 0; i < WORLD_NODES; i++) {
        struct user_answer answer = world_ask(world, i, "GET", path, NULL);
        assert_int_equal(answer.status, 200);
        assert_true(!stage || strstr(answer.body, stage));
        assert_int_equal(world_submit(world, i, job, "sweep", 2).status, 200);
    }
    g_free(path);
}

/* What the nodes' views show is half a second old, and yet no node tells anything older than what
 * another one has told. */
static void no_node_tells_anything_older(void **state)
{
    struct world *world = *state;
    two_ordinary_machines(world);
    world->fate = late_watches;
    for (int i = 0; i < WORLD_NODES; i++) {
        char id[16], path[32];
        g_snprintf(id, sizeof id, "wk-%d", i);
        g_snprintf(path, sizeof path, "/work/%s/abort", id);
        assert_int_equal(world_submit(world, i, id, "sweep", 2).status, 201);
        ask_all(world, id, NULL);
        world_run(world, 3000);
        assert_int_equal(world_ask(world, i, "POST", path, NULL).status, 200);
        ask_all(world, id, "\"cancelled\"");
        g_snprintf(id, sizeof id, "wk-1%d", i);
        assert_int_equal(world_submit(world, i, id, "sweep", 2).status, 201);
        world_run(world, 3000);
        worker_exit_all(world, id, "done");
        char *all = g_strconcat("/work/", id, NULL);
        struct user_answer answer = {0};
        for (int n = 0; n < 300 && !strstr(answer.body, "\"Stage\":\"done\""); n++)
            answer = world_ask(world, n % WORLD_NODES, "GET", all, NULL);
        g_free(all);
        ask_all(world, id, "\"Stage\":\"done\"");
    }
}

/* Jobs are cancelled at every moment between their submission and the start of their tasks, while
 * what the nodes see is half a second old: nothing is started by a command sent after the answer.
 */
static void a_start_that_meets_its_cancellation_is_not_sent(void **state)
{
    struct world *world = *state;
    two_ordinary_machines(world);
    world->fate = late_watches;
    for (int i = 0; i < 60; i++) {
        char id[16], path[32];
        g_snprintf(id, sizeof id, "wk-%d", i);
        g_snprintf(path, sizeof path, "/work/%s/abort", id);
        assert_int_equal(world_submit(world, i % 3, id, "sweep", 2).status, 201);
        world_run(world, INT64_C(25) * i);
        assert_int_equal(world_ask(world, (i + 1) % 3, "POST", path, NULL).status, 200);
        world_run(world, 2500);
        assert_int_equal(world_on_machines(world, id), 0);
    }
}

static void a_worker_back_with_a_new_session_lost_its_tasks(void **state)
{
    struct world *world = *state;
    struct worker *worker = service_on_two_machines(world, 4);
    worker_new_session(worker, false);
    world_run(world, 4000);
    assert_int_equal(world_on_machines(world, "wk-1"), 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(a_zone_that_is_cut_off_keeps_its_tasks),
        WORLD_TEST_SETTLED(a_zone_that_stays_cut_off_is_given_up),
        WORLD_TEST(a_report_from_before_the_second_start_frees_nothing),
        WORLD_TEST(who_cannot_be_served_is_told_at_once),
        WORLD_TEST_SETTLED(what_a_dead_process_sent_comes_late),
        WORLD_TEST(late_records_of_a_dead_process_are_refused),
        WORLD_TEST_SETTLED(all_nodes_back_at_once_go_on),
        WORLD_TEST_SETTLED(a_leader_goes_on_after_an_outage),
        WORLD_TEST(old_jobs_are_read_when_asked_for),
        WORLD_TEST(what_cannot_be_taken_is_told_so),
        WORLD_TEST_SETTLED(many_machines_go_at_once),
        WORLD_TEST(a_node_that_was_away_reads_pages),
        WORLD_TEST_SETTLED(a_worker_that_counts_anew_is_believed),
        WORLD_TEST(what_was_placed_on_a_machine_that_goes_is_dealt_again),
        WORLD_TEST(full_pages_change_hands),
        WORLD_TEST(a_page_in_disorder_changes_hands),
        WORLD_TEST(records_leave_the_page_they_were_put_on),
        WORLD_TEST(a_view_that_lags_frees_nothing),
        WORLD_TEST(no_node_tells_anything_older),
        WORLD_TEST(a_start_that_meets_its_cancellation_is_not_sent),
        WORLD_TEST_SETTLED(a_worker_back_with_a_new_session_lost_its_tasks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
