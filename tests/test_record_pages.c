/**
 * Tests of run record pages: machines that are lost before a record is written, and pages that are
 * taken over by another node.
 */
#include "machine_inventory_internal.h"
#include "run_records_internal.h"
#include "trouble_fixtures.h"

#include <string.h>

/* All machines are lost at once, with more records to delete than one transaction may write (the
 * simulated state service fails the test if a transaction is oversized). */
static void records_of_many_lost_machines_fit_into_transactions(void **state)
{
    struct world *world = *state;
    world_kill(world, 1);
    world_kill(world, 2);
    world->cloud_capacity = 0;
    for (int i = 0; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 6000);
    world_submit(world, 0, "wk-1", "daemon", 32);
    world_run(world, 4000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 32);
    for (int i = 0; i < WORLD_WORKERS; i++)
        world->workers[i].unreachable = true;
    world_run(world, 12000);
    assert_int_equal(world->returned_count, WORLD_WORKERS);
    assert_int_equal(g_hash_table_size(world->nodes[0]->replica->machines), 0);
    world_add_worker(world, 3, "a", true);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 4);
}

/* Sets whether the nodes have exhausted their budget of writes. */
static void set_write_budget_exhausted(struct world *world, bool exhausted)
{
    for (int i = 0; i < WORLD_NODES; i++) {
        world->nodes[i]->shard->records.write_bucket.tokens = exhausted ? -2000 : 1;
        timer_start(world->loop, &world->nodes[i]->shard->records.flush_timer, 1);
    }
}

/* A task is placed on a machine that is lost before the start of the task is on record. The leader
 * used to keep the task as placed in its ledger, so that it never ran. */
static void tasks_without_a_record_on_a_lost_machine_are_placed_again(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *lost_worker = world_add_worker(world, 7, "a", true);
    world_run(world, 3000);
    set_write_budget_exhausted(world, true);
    world_submit(world, 0, "wk-1", "sweep", 2);
    world_run(world, 1000);
    lost_worker->unreachable = true;
    world_run(world, 9000);
    assert_false(lost_worker->up);
    set_write_budget_exhausted(world, false);
    world_add_worker(world, 6, "b", true);
    world_run(world, 6000);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 2);
}

/* Submits jobs whose ids are long enough that few records fill a page. */
static void submit_jobs_with_long_names(struct world *world, int from, int to)
{
    for (int i = from; i < to; i++) {
        char id[48];
        g_snprintf(id, sizeof id, "wk-%03d-a-long-name-that-takes-much-of-the-page", i);
        char *job = world_format_job(id, "daemon", 1, "blue", 0.2, "");
        assert_int_equal(world_send_user_request(world, i % 2, "POST", "/work", job).status, 201);
        g_free(job);
    }
}

/* Owners with several full pages of run records restart, so that other nodes take the pages over.
 * The state service rejects oversized values, so a page whose size is underestimated would block
 * all further writes (the simulated state service fails the test if a value is oversized). */
static void full_record_pages_are_taken_over(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_kill(world, 2); /* fewer nodes have more records each */
    for (int i = 2; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", false);
    world_run(world, 3000);
    submit_jobs_with_long_names(world, 0, 140);
    world_run(world, 6000);
    assert_int_equal(world_count_task_starts(world), 140);
    /* The tasks waiting now are placed all at once, by nodes that have just started. */
    for (int i = 2; i < WORLD_WORKERS; i++)
        world->workers[i].unreachable = true;
    world_run(world, 4500);
    submit_jobs_with_long_names(world, 140, 188);
    for (int i = 0; i < 2; i++) {
        world_kill(world, i);
        world_start(world, i);
    }
    for (int i = 2; i < WORLD_WORKERS; i++)
        world->workers[i].unreachable = false;
    world_run(world, 9000);
    world_start(world, 2);
    assert_int_equal(world_count_task_starts(world), 188);
    for (int round = 0; round < 4; round++) {
        int node = round % 3;
        world_kill(world, node);
        world_run(world, round == 3 ? 200 : 7000);
        world_start(world, node);
        world_run(world, 7000);
    }
    assert_int_equal(world_count_task_starts(world), 188);
    char *last = world_format_job("wk-last", "sweep", 4, "blue", 0.2, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", last).status, 201);
    g_free(last);
    world_run(world, 5000);
    assert_int_equal(world_count_active_tasks(world, "wk-last"), 4);
    assert_true(g_hash_table_size(world->nodes[0]->replica->pages) > 3);
}

/* Returns a page as an absent node may have written it: six machines with tasks of two jobs each,
 * of which every step-th task is included. */
static char *format_page_of_two_jobs(int step)
{
    GString *s = g_string_new("{\"t\":\"");
    for (int host_index = 0; host_index < 6; host_index++) {
        g_string_append_printf(s, "@host-90000%d =10.1.9.%d:9000,g8,a,0 ", host_index, host_index);
        for (int job = 1; job <= 2; job++) {
            g_string_append_printf(s, "#wk-%d *1 ", job);
            for (int i = 0; i < 100; i += step)
                g_string_append_printf(s, "%d ", host_index * 100 + i);
        }
    }
    g_string_append(s, "\",\"d\":\"\"}");
    return g_string_free(s, FALSE);
}

/* After some tasks have gone, the records on a page are no longer sorted by machine and job. The
 * page must still be taken over, in values that are not oversized (which the simulated state
 * service checks). */
static void an_unsorted_record_page_is_taken_over(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_submit(world, 0, "wk-1", "sweep", 600);
    world_submit(world, 0, "wk-2", "sweep", 600);
    char *full_page = format_page_of_two_jobs(1), *half_page = format_page_of_two_jobs(2);
    world_put_key(world, "ll/p/mast-7/0", full_page);
    world_run(world, 500);
    world_put_key(world, "ll/p/mast-7/0", half_page);
    world_run(world, 500);
    membership_raise_epoch(world_get_leader(world)->membership, "test");
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
    g_free(full_page);
    g_free(half_page);
}

/* Delays the transactions that take over records from the page of the absent node mast-7. */
static enum request_fault delay_page_takeover(struct world *world, int node,
                                              const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "mast-7")
               ? FAULT_REQUEST_DELAYED
               : FAULT_NONE;
}

/* While the records of a machine are being taken over to a page, a new task finds no space there
 * and is recorded on another page. The first page must still be written with the records assigned
 * to it. */
static void a_full_page_is_written_with_its_records_during_a_takeover(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    struct worker *worker = world_add_worker(world, 2, "a", true);
    world_run(world, 2500);
    world_submit(world, 0, "wk-1", "sweep", 1);
    world_run(world, 3000);
    assert_int_equal(worker->tasks->len, 1);
    /* Its record is on a page of an absent node, not on one of its owner. */
    int owner = shard_map_get_owner(world->nodes[0]->replica, worker->id)[5] - '0';
    struct shard *shard = world->nodes[owner]->shard;
    char *own_page_key = key_record_page(shard->settings->label, 0),
         *foreign_page = g_strdup_printf(
             "{\"t\":\"@%s #wk-1 *%" G_GUINT64_FORMAT " 0 \",\"d\":\"\"}", worker->id,
             g_array_index(worker->tasks, struct worker_task, 0).attempt);
    world_put_key(world, "ll/p/mast-7/0", foreign_page);
    world->inject_fault = delay_page_takeover;
    world_put_key(world, own_page_key, "{\"t\":\"\",\"d\":\"\"}"); /* triggers the takeover */
    struct machine *machine = NULL;
    struct task_run *run = NULL;
    for (int i = 0; i < 400 && !(run && run->record.is_in_txn && run->record.is_foreign); i++) {
        world_run(world, 1);
        machine = shard_find_machine(shard, worker->id);
        run = machine && machine->runs->len ? machine->runs->pdata[0] : NULL;
    }
    assert_true(run && run->record.is_in_txn && run->record.is_foreign);
    int first_page = run->record.next_page;
    ((struct own_page *)shard->records.pages->pdata[first_page])->used_bytes =
        shard_max_page_bytes(shard);
    world_submit(world, 0, "wk-2", "sweep", 1);
    for (int i = 0; i < 3000 && run->record.is_foreign; i++)
        world_run(world, 1);
    assert_int_equal(run->record.page, first_page);
    world_run(world, 4000);
    assert_int_equal(machine->runs->len, 2); /* the records of the machine are on two pages now */
    assert_int_not_equal(((struct task_run *)machine->runs->pdata[1])->record.page, first_page);
    world_add_worker(world, 3, "a", true); /* where a task would start if its record were missing */
    world_run(world, 6000);
    assert_int_equal(
        world_count_active_tasks(world, "wk-1") + world_count_active_tasks(world, "wk-2"), 2);
    assert_int_equal(world_count_task_starts(world), 2);
    g_free(own_page_key);
    g_free(foreign_page);
}

/* Responses to watches arrive later than those to transactions. A node that learns that another
 * writer changed one of its pages has more recent knowledge of its other pages than its replica:
 * tasks recorded a moment ago were taken for freed, and stopped. */
static void a_lagging_replica_frees_no_recorded_task(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    for (int i = 4; i < WORLD_WORKERS; i++)
        world_add_worker(world, i, i % 2 ? "a" : "b", true);
    world_run(world, 3000);
    world->inject_fault = delay_watch_responses;
    char *job = world_format_job("wk-1", "sweep", 400, "blue", 0.5, "");
    assert_int_equal(world_send_user_request(world, 0, "POST", "/work", job).status, 201);
    g_free(job);
    int completed = 0;
    for (int i = 0; i < 300; i++) {
        for (int k = 4; k < WORLD_WORKERS; k++) {
            struct worker *worker = &world->workers[k];
            if (i % 3 == 0 && worker->tasks->len &&
                strcmp(g_array_index(worker->tasks, struct worker_task, 0).stage, "running") == 0) {
                worker_exit_task(worker, "wk-1",
                                 g_array_index(worker->tasks, struct worker_task, 0).index, "done");
                worker_send_heartbeat(worker);
                completed++;
            }
        }
        for (int node = 0; node < WORLD_NODES; node++) {
            char *page = key_record_page(world->nodes[node]->settings->label, 40);
            world_put_key(world, page, "{\"t\":\"\",\"d\":\"\"}");
            g_free(page);
        }
        world_run(world, 70);
    }
    assert_in_range(completed, 50, 400);
    assert_int_equal(world_count_task_starts(world),
                     completed + world_count_active_tasks(world, "wk-1"));
}

/* Returns the text of a page with one record of the task wk-1/0. The caller frees it. */
static char *format_record(const char *machine, uint64_t attempt)
{
    return g_strdup_printf("{\"t\":\"@%s #wk-1 *%" G_GUINT64_FORMAT " 0 \",\"d\":\"\"}", machine,
                           attempt);
}

/* Refuses all transactions with run records. */
static enum request_fault refuse_record_txns(struct world *world, int node,
                                             const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/p\\/")
               ? FAULT_UNAVAILABLE
               : FAULT_NONE;
}

static bool page_names_job(struct world *world, const char *page, const char *job)
{
    const char *value = world_get_key(world, page);
    return value && strstr(value, job);
}

/* Two pages hold the record of a task, as a late transaction of an earlier version has left them.
 * When one page dropped it, the nodes took the task for gone, and a node that read all keys found
 * the other copy. */
static void record_on_two_pages_exists_until_both_drop_it(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 1);
    char *copy = format_record(worker->id, worker_find_task(worker, "wk-1", 0)->attempt);
    world->inject_fault = refuse_record_txns;
    world_put_key(world, "ll/p/mast-8/0", copy);
    world_put_key(world, "ll/p/mast-9/0", copy);
    world_run(world, 100);
    assert_int_equal(count_recorded_tasks(world, worker), 1);
    for (int node = 0; node < WORLD_NODES; node++) {
        char *page = key_record_page(world->nodes[node]->settings->label, 0);
        if (page_names_job(world, page, "#wk-1"))
            world_put_key(world, page, "{\"t\":\"\",\"d\":\"\"}");
        g_free(page);
    }
    world_remove_key(world, "ll/p/mast-9/0");
    world_run(world, 100);
    assert_int_equal(count_recorded_tasks(world, worker), 1);
    world_remove_key(world, "ll/p/mast-8/0");
    world_run(world, 100);
    assert_int_equal(count_recorded_tasks(world, worker), 0);
    world->inject_fault = NULL;
    g_free(copy);
}

/* The owner of the machine removes copies of a record from its own pages and from those of nodes
 * that are away. Otherwise they would remain when the task has ended, and be read as a record of a
 * task that runs. */
static void copies_of_a_record_are_removed(void **state)
{
    struct world *world = *state;
    struct worker *worker = start_service_on_two_machines(world, 1);
    const char *owner = shard_map_get_owner(world->nodes[0]->replica, worker->id);
    char *own_page = g_strdup_printf("ll/p/%s/7", owner);
    char *copy = format_record(worker->id, worker_find_task(worker, "wk-1", 0)->attempt);
    world_put_key(world, own_page, copy);
    world_put_key(world, "ll/p/mast-9/0", copy);
    world_run(world, 3000);
    worker_exit_task(worker, "wk-1", 0, "error");
    worker_send_heartbeat(worker);
    world_run(world, 6000);
    int holding_pages = 0;
    GHashTableIter it;
    struct record_page *page;
    g_hash_table_iter_init(&it, world->nodes[0]->replica->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        holding_pages += page_names_job(world, page->key, "#wk-1");
    assert_int_equal(holding_pages, 1);
    assert_int_equal(world_count_task_starts(world), 2);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    for (int node = 0; node < WORLD_NODES; node++) {
        world_kill(world, node);
        world_start(world, node);
    }
    world_run(world, 10000);
    assert_int_equal(world_count_task_starts(world), 2);
    assert_int_equal(world_count_active_tasks(world, "wk-1"), 1);
    g_free(own_page);
    g_free(copy);
}

static int refused_inventory_writes;

/* Refuses the first write of an inventory. */
static enum request_fault refuse_first_inventory_write(struct world *world, int node,
                                                       const struct http_client_request *request)
{
    (void)world;
    (void)node;
    bool is_inventory =
        strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/a\\/");
    return is_inventory && refused_inventory_writes++ == 0 ? FAULT_UNAVAILABLE : FAULT_NONE;
}

/* Stores an inventory of mast-0 that lists a worker's machine. */
static void put_inventory(struct world *world, int number, const struct worker *worker)
{
    char *key = g_strdup_printf("ll/a/mast-0/%d", number);
    char *value =
        g_strdup_printf("{\"a\":\"@%s =%s,g8,%s,0 \"}", worker->id, worker->address, worker->zone);
    world_put_key(world, key, value);
    g_free(key);
    g_free(value);
}

/* Lets the node write an inventory that lists a machine again. */
static void write_inventory_of(struct world *world, const struct worker *worker)
{
    struct shard *shard = world->nodes[0]->shard;
    shard_inventory_mark_stale(shard, shard_find_machine(shard, worker->id));
    world_run(world, 13000); /* two writes are that long apart */
    shard_request_flush(shard);
    world_run(world, 1000);
}

/* A write of an inventory was refused. The next write, of another inventory, was then taken to list
 * the machines of the first one, which no inventory described after that; and the first one was not
 * written again. */
static void refused_inventory_write_is_repeated(void **state)
{
    struct world *world = *state;
    world->cloud_capacity = 0;
    world_kill(world, 1);
    world_kill(world, 2);
    for (int i = 0; i < 2; i++)
        world_add_worker(world, i, "a", false);
    world_run(world, 8000);
    world->cloud_down = true; /* the idle machines cannot be returned */
    for (int i = 0; i < 2; i++)
        put_inventory(world, i, &world->workers[i]);
    membership_raise_epoch(world->nodes[0]->membership, "test");
    world_run(world, 1000);
    refused_inventory_writes = 0;
    world->inject_fault = refuse_first_inventory_write;
    write_inventory_of(world, &world->workers[0]);
    assert_true(refused_inventory_writes > 0);
    for (int i = 0; i < 2; i++)
        write_inventory_of(world, &world->workers[1]);
    struct shard *shard = world->nodes[0]->shard;
    for (int i = 0; i < 2; i++)
        assert_int_equal(shard_find_machine(shard, world->workers[i].id)->record.inventory_number,
                         i);
    assert_true(refused_inventory_writes >= 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST_SETTLED(records_of_many_lost_machines_fit_into_transactions),
        WORLD_TEST(tasks_without_a_record_on_a_lost_machine_are_placed_again),
        WORLD_TEST(full_record_pages_are_taken_over),
        WORLD_TEST(an_unsorted_record_page_is_taken_over),
        WORLD_TEST(a_full_page_is_written_with_its_records_during_a_takeover),
        WORLD_TEST(a_lagging_replica_frees_no_recorded_task),
        WORLD_TEST(record_on_two_pages_exists_until_both_drop_it),
        WORLD_TEST(copies_of_a_record_are_removed),
        WORLD_TEST(refused_inventory_write_is_repeated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
