/**
 * Tests of transactions that get no answer and are carried out late, after newer ones of the same
 * node.
 */
#include "run_records_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

enum {
    /** Longer than a node waits for the answer to a transaction, and then sends it again. */
    UNKNOWN_OUTCOME_MS = 4500,
    /** Time in which a small job starts, and in which a finished task's record is removed. */
    STEP_MS = 3000,
};

/** Number of the page in the held transaction; -1: none was held yet. */
static int held_page;
/** What happens to the next attempts to fence off the held transaction, and how many. */
static enum request_fault fence_fault;
static int faulty_fences;

static bool is_record_txn_of(const struct http_client_request *request, const char *job)
{
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/p\\/") &&
           strstr(request->body, job);
}

/* A request_fault_fn: the first transaction that records tasks of wk-3 gets no answer. */
static enum request_fault hold_first_records(struct world *world, int node,
                                             const struct http_client_request *request)
{
    (void)world;
    (void)node;
    if (held_page < 0 && is_record_txn_of(request, "ll\\/j\\/wk-3")) {
        held_page = strstr(request->body, "\"Set\":\"ll\\/p\\/mast-0\\/0\"") ? 0 : 1;
        return FAULT_REQUEST_HELD;
    }
    bool is_fence =
        strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/n\\/mast-0\"");
    if (held_page >= 0 && is_fence && faulty_fences > 0) {
        faulty_fences--;
        return fence_fault;
    }
    return FAULT_NONE;
}

static struct own_page *own_page_of(struct world *world, int number)
{
    return shard_get_own_page(world->nodes[0]->shard, number);
}

static bool page_has_job(struct world *world, int page, const char *job)
{
    char *key = key_record_page("mast-0", page), *name = g_strconcat("#", job, " ", NULL);
    const char *value = world_get_key(world, key);
    bool found = value && strstr(value, name);
    g_free(key);
    g_free(name);
    return found;
}

/* Leaves one node, with the tasks of wk-1 on its page 0 and those of wk-2 on page 1. */
static void arrange_two_pages(struct world *world)
{
    held_page = -1;
    faulty_fences = 0;
    world->cloud_capacity = 0;
    world_kill(world, 1);
    world_kill(world, 2);
    world_add_worker(world, 0, "a", false);
    world_run(world, 8000);
    world_submit(world, 0, "wk-1", "sweep", 1);
    world_run(world, STEP_MS);
    own_page_of(world, 0)->used_bytes = shard_max_page_bytes(world->nodes[0]->shard);
    world_submit(world, 0, "wk-2", "sweep", 1);
    world_run(world, STEP_MS);
    own_page_of(world, 0)->used_bytes = own_page_of(world, 1)->used_bytes;
    assert_true(page_has_job(world, 0, "wk-1"));
    assert_true(page_has_job(world, 1, "wk-2"));
}

/* Records wk-3 on the second page, as a task whose record is there ends while the node waits for
 * the answer to the transaction that records wk-3 on the first one. */
static void record_on_other_page(struct world *world)
{
    world->inject_fault = hold_first_records;
    world_submit(world, 0, "wk-3", "sweep", 1);
    world_run(world, 500);
    assert_true(held_page >= 0);
    worker_exit_task(&world->workers[0], held_page == 0 ? "wk-2" : "wk-1", 0, "done");
    worker_send_heartbeat(&world->workers[0]);
    world_run(world, UNKNOWN_OUTCOME_MS);
}

/* Fails the running attempt of wk-3, which then starts on another machine, and restarts the node:
 * it must not find a record of the failed attempt. */
static void fail_attempt_and_restart(struct world *world)
{
    worker_exit_task(&world->workers[0], "wk-3", 0, "error");
    worker_send_heartbeat(&world->workers[0]);
    world_add_worker(world, 1, "b", false);
    world_run(world, 10000);
    world_kill(world, 0);
    world_start(world, 0);
    world_run(world, 30000);
    assert_false(world_has_duplicate_task(world));
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 1);
}

/* The records of a task were stored on two pages: a transaction of unknown outcome was carried out
 * late, after another one had recorded the task on another page. A node that restarted later
 * started the old attempt, while the task ran on another machine. */
static void late_run_records_are_not_stored_on_a_second_page(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    record_on_other_page(world);
    assert_true(page_has_job(world, 1 - held_page, "wk-3"));
    world_deliver_held_requests(world);
    assert_false(page_has_job(world, held_page, "wk-3"));
    fail_attempt_and_restart(world);
}

/* The same, and the attempts to fence off the transaction get no answer either. The last of them
 * is carried out late as well. */
static void fences_without_an_answer_are_repeated(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    fence_fault = FAULT_REQUEST_HELD;
    faulty_fences = 2;
    record_on_other_page(world);
    world_run(world, 2L * UNKNOWN_OUTCOME_MS);
    assert_int_equal(faulty_fences, 0);
    assert_true(page_has_job(world, 1 - held_page, "wk-3"));
    world_deliver_held_requests(world);
    assert_false(page_has_job(world, held_page, "wk-3"));
    fail_attempt_and_restart(world);
}

/* Nothing is recorded while no fence holds, as the transaction may still be carried out; then that
 * is what counts. */
static void records_carried_out_before_the_fence_are_used(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    fence_fault = FAULT_REQUEST_LOST;
    faulty_fences = 2;
    record_on_other_page(world);
    assert_false(page_has_job(world, 1 - held_page, "wk-3"));
    world_deliver_held_requests(world);
    assert_true(page_has_job(world, held_page, "wk-3"));
    world_run(world, 2L * UNKNOWN_OUTCOME_MS);
    assert_false(page_has_job(world, 1 - held_page, "wk-3"));
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 1);
    fail_attempt_and_restart(world);
}

/* A fence that is carried out without an answer changes the key of the node. The node recognizes
 * its own key, keeps its lease and goes on. */
static void node_keeps_its_lease_after_a_fence_without_an_answer(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    lease_id incarnation = membership_get_incarnation(world->nodes[0]->membership);
    fence_fault = FAULT_RESPONSE_LOST;
    faulty_fences = 1;
    record_on_other_page(world);
    world_run(world, UNKNOWN_OUTCOME_MS);
    assert_int_equal(faulty_fences, 0);
    assert_true(membership_get_incarnation(world->nodes[0]->membership).value == incarnation.value);
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 1);
    world_deliver_held_requests(world);
    assert_false(page_has_job(world, held_page, "wk-3"));
    fail_attempt_and_restart(world);
}

/* The state service does not answer any fence until the node has lost its lease. The new epoch
 * excludes the transaction, and the node goes on without a fence. */
static void lost_lease_replaces_the_fence(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    record_on_other_page(world);
    world->state_down = true;
    world_run(world, 8000);
    world->state_down = false;
    world_run(world, 8000);
    world_deliver_held_requests(world);
    assert_false(page_has_job(world, held_page, "wk-3") &&
                 page_has_job(world, 1 - held_page, "wk-3"));
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 1);
    fail_attempt_and_restart(world);
}

/* Changes another key as soon as the key of mast-0 is written, so that the answer to that
 * transaction has a later revision than the key. */
static void change_other_key(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct world *world = ctx;
    (void)mod_revision;
    if (text && strcmp(key, "ll/n/mast-0") == 0)
        world_put_job(world, "wk-9", "{\"f\":\"done\",\"n\":1}");
}

static void ignore_machine(void *ctx, const char *machine)
{
    (void)ctx;
    (void)machine;
}

static void ignore_rental(void *ctx, const char *request, const char *machine)
{
    (void)ctx;
    (void)request;
    (void)machine;
}

/* The answer to a fence may show a later revision than the one at which the key was written. A node
 * that took it for the revision of its key could not write anything more, nor begin an epoch. */
static void answer_of_a_fence_may_show_a_later_revision(void **state)
{
    struct world *world = *state;
    arrange_two_pages(world);
    static struct world_observer observer;
    observer = (struct world_observer){world, change_other_key, ignore_rental, ignore_machine};
    world->observer = &observer;
    record_on_other_page(world);
    assert_true(page_has_job(world, 1 - held_page, "wk-3"));
    assert_int_equal(world_count_active_tasks(world, "wk-3"), 1);
    epoch_no epoch = world->nodes[0]->replica->shard_map_epoch;
    membership_raise_epoch(world->nodes[0]->membership, "test");
    world_run(world, STEP_MS);
    assert_true(world->nodes[0]->replica->shard_map_epoch.value > epoch.value);
    world->observer = NULL;
    world_deliver_held_requests(world);
    fail_attempt_and_restart(world);
}

static bool types_are_held;

/* A request_fault_fn: the first list of machine types gets no answer. */
static enum request_fault hold_first_types(struct world *world, int node,
                                           const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool is_list = strcmp(request->path, "/txn") == 0 &&
                   strstr(request->body, "\"Set\":\"ll\\/types\"") && !types_are_held;
    types_are_held = types_are_held || is_list;
    return is_list ? FAULT_REQUEST_HELD : FAULT_NONE;
}

/* Returns the machine types of the cloud with another number of CPUs. The caller frees them. */
static char *types_with_cpus(struct world *world, int cpus)
{
    char *vcpus = g_strdup_printf("\"Vcpus\":%d", cpus);
    char *types = world_replace_string(world->machine_types, "\"Vcpus\":8", vcpus);
    g_free(vcpus);
    return types;
}

/* An older list of machine types that is written late replaced a newer one, until the list was read
 * again a minute later. */
static void late_machine_types_do_not_replace_newer_ones(void **state)
{
    struct world *world = *state;
    const int refresh_ms = 65000;
    const char *original = world->machine_types;
    char *second = types_with_cpus(world, 16), *third = types_with_cpus(world, 32);
    types_are_held = false;
    world->inject_fault = hold_first_types;
    world->machine_types = second;
    world_run(world, refresh_ms);
    assert_true(types_are_held);
    world->machine_types = third;
    world_run(world, refresh_ms);
    assert_non_null(strstr(world_get_key(world, "ll/types"), "32"));
    world_deliver_held_requests(world);
    world_run(world, 1000);
    const struct machine_type *type =
        machine_type_find(world->nodes[0]->replica->machine_types, "g8");
    assert_int_equal(type->cpus.milli, 32000);
    world->machine_types = original;
    g_free(second);
    g_free(third);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(late_run_records_are_not_stored_on_a_second_page),
        WORLD_TEST_SETTLED(fences_without_an_answer_are_repeated),
        WORLD_TEST_SETTLED(records_carried_out_before_the_fence_are_used),
        WORLD_TEST_SETTLED(node_keeps_its_lease_after_a_fence_without_an_answer),
        WORLD_TEST_SETTLED(lost_lease_replaces_the_fence),
        WORLD_TEST_SETTLED(answer_of_a_fence_may_show_a_later_revision),
        WORLD_TEST(late_machine_types_do_not_replace_newer_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
