#include "world_internal.h"

#include "log.h"

#include <stdio.h>
#include <stdlib.h>

/* A killed process takes what it was waiting for with it; here that is left behind. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { SETTLE_MS = 100000 }; /* longer than a job may be left waiting */

static const struct world_plan usual = {.nodes = WORLD_NODES,
                                        .workers = WORLD_WORKERS,
                                        .report_s = 1,
                                        .lease_s = 10,
                                        .cancel_s = 30,
                                        .rps = 400,
                                        .write_rps = 200,
                                        .cloud_rps = 3,
                                        .txn_ops = 6,
                                        .fd_limit = 800,
                                        .boot_ms = 10};

static char *settings_text(const struct world_plan *plan, int node)
{
    GString *s = g_string_new(NULL);
    g_string_append_printf(s,
                           "label = \"mast-%d\"\ndomain = \"%s\"\napi_addr = \"10.0.0.%d:8080\"\n"
                           "back = \"10.0.0.%d:8081\"\n",
                           node, node == 1 ? "b" : "a", node + 1, node + 1);
    for (int i = 0; i < plan->nodes; i++)
        if (i != node)
            g_string_append_printf(s,
                                   "[[siblings]]\nlabel = \"mast-%d\"\ndomain = \"a\"\nendpoint = "
                                   "\"10.0.0.%d:8081\"\n",
                                   i, i + 1);
    g_string_append_printf(s,
                           "[outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n"
                           "[deployment]\nsize = %d\nzones = [\"a\", \"b\"]\n"
                           "clock_error_ms = 25.0\n",
                           plan->nodes);
    for (int i = 0; i < plan->teams; i++)
        g_string_append_printf(s,
                               "[[deployment.teams]]\nname = \"team-%02d\"\ncpus = %.1f\n"
                               "cpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n",
                               i, plan->cpus, plan->cpus_max);
    if (!plan->teams)
        g_string_append(s, "[[deployment.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n"
                           "gpus = 0.0\ngpus_max = 0.0\n"
                           "[[deployment.teams]]\nname = \"blue\"\ncpus = 16.0\ncpus_max = 64.0\n"
                           "gpus = 0.0\ngpus_max = 0.0\n");
    g_string_append_printf(
        s,
        "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 20.0\n"
        "gang_peer_s = 4.0\ncancel_s = %.1f\n"
        "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 8.0\ntxn_ops = %d\n"
        "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 2.0\n"
        "[deployment.machine_limits]\ncore_share = 0.1\nram_mb = 64.0\nfd_limit = %d\n",
        plan->report_s, plan->lease_s, plan->cancel_s, plan->rps, plan->write_rps, plan->txn_ops,
        plan->cloud_rps, plan->fd_limit);
    if (plan->next_value_kb > 0)
        g_string_append_printf(s,
                               "[deployment.state.next]\nvalue_kb = %.1f\nwrite_rps = %.1f\n"
                               "txn_ops = %d\n",
                               plan->next_value_kb, plan->next_write_rps, plan->next_txn_ops);
    return g_string_free(s, FALSE);
}

void world_limits_fall(struct world *world)
{
    world->state_value_kb = world->plan.next_value_kb;
    world->state_txn_ops = world->plan.next_txn_ops;
}

static void world_tick(void *arg)
{
    struct world *world = arg;
    timer_start(world->loop, &world->tick, TICK_MS);
    if (world->play_gangs)
        play_gangs(world);
    if (world->state_down) {
        /* When an outage is over, every lease has its full time again. */
        GHashTableIter it;
        struct wlease *wlease;
        g_hash_table_iter_init(&it, world->leases);
        while (g_hash_table_iter_next(&it, NULL, (gpointer *)&wlease))
            wlease->end = time_add_ms(loop_now(world->loop), wlease->ttl_ms);
        return;
    }
    end_leases(world);
    serve_watches(world);
}

static int compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

struct world_plan world_usual(void)
{
    return usual;
}

struct world *world_new(void)
{
    return world_new_sized(&usual);
}

struct world *world_new_sized(const struct world_plan *plan)
{
    struct world *world = g_new0(struct world, 1);
    world->plan = *plan;
    world->types = world_types_text;
    world->workers = g_new0(struct worker, plan->workers);
    world->worker_addrs = g_hash_table_new(g_str_hash, g_str_equal);
    world->last_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, gang_free);
    log_setup(g_getenv("LOG_LEVEL") ? g_getenv("LOG_LEVEL") : "error", "test");
    world_task_twice = false;
    world->loop = loop_new_fake();
    world->keys = g_tree_new_full(compare_keys, NULL, g_free, wkey_free);
    world->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    world->events = g_array_new(FALSE, TRUE, sizeof(struct wevent));
    g_array_set_clear_func(world->events, event_clear);
    world->watches = g_array_new(FALSE, TRUE, sizeof(struct flight *));
    world->held = g_ptr_array_new();
    world->charters = g_ptr_array_new_with_free_func(g_free);
    world->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    world->policy = policy_default();
    world->features = feature_set_default();
    /* The suites are played once with duties and once without. */
    world->features.singleton_roles.is_enabled = plan->duties || g_getenv("LL_TEST_DUTIES");
    world->deaf_node = -1;
    world->replier.respond = world_reply;
    for (int i = 0; i < plan->workers; i++) {
        world->workers[i].tasks = g_array_new(FALSE, TRUE, sizeof(struct wtask));
        world->workers[i].said = g_ptr_array_new_with_free_func(g_free);
    }
    for (int i = 0; i < plan->nodes; i++) {
        char *text = settings_text(plan, i);
        GError *error = NULL;
        world->inboxes[i] = g_ptr_array_new();
        world->settings[i] = settings_parse(text, &error);
        if (error)
            fail_msg("%s", error->message);
        g_free(text);
        world->nets[i] = (struct wnet){{net_request_fn}, world, i};
    }
    world->rules = rules_new(world->settings[0]);
    world->state_value_kb = world->settings[0]->kv_limits.max_value_kb;
    world->state_txn_ops = world->settings[0]->kv_limits.max_txn_operations;
    timer_init(&world->tick, world_tick, world);
    world_tick(world);
    return world;
}

void world_free(struct world *world)
{
    rules_free(world->rules);
    for (int i = 0; i < world->plan.nodes; i++) {
        world_kill(world, i);
        settings_free(world->settings[i]);
        g_ptr_array_unref(world->inboxes[i]);
    }
    for (int i = 0; i < world->plan.workers; i++) {
        if (world->workers[i].up)
            timer_stop(world->loop, &world->workers[i].report);
        g_array_unref(world->workers[i].tasks);
        g_ptr_array_unref(world->workers[i].said);
    }
    g_tree_unref(world->keys);
    g_free(world->workers);
    g_hash_table_unref(world->worker_addrs);
    g_hash_table_unref(world->last_on);
    g_hash_table_unref(world->gangs);
    g_array_unref(world->events);
    g_hash_table_unref(world->leases);
    g_hash_table_unref(world->answers);
    g_ptr_array_unref(world->charters);
    policy_free(world->policy);
    loop_free(world->loop);
    g_free(world);
}

/* The node's clock stands where the world's is. */
static void catch_up(struct world *world, int node)
{
    loop_stall(world->node_loops[node],
               time_ms_since(loop_now(world->loop), loop_now(world->node_loops[node])));
}

static GPtrArray *take_inbox(struct world *world, int node)
{
    GPtrArray *waiting = world->inboxes[node];
    world->inboxes[node] = g_ptr_array_new();
    return waiting;
}

static void leave_inbox(struct flight *flight)
{
    int waited = flight->waits;
    flight->waits = WAITS_NOT;
    if (waited == WAITS_TO_LEAVE) {
        timer_start(flight->world->loop, &flight->timer, LATENCY_MS);
    } else if (waited == WAITS_TO_ARRIVE) {
        carry_out(flight);
    } else {
        char *text = g_steal_pointer(&flight->late_text);
        flight_answer(flight, flight->late_status, text);
        g_free(text);
    }
}

void world_start(struct world *world, int node)
{
    assert_null(world->nodes[node]);
    world->process[node]++;
    if (world->plan.pausable) {
        world->node_loops[node] = loop_new_fake();
        catch_up(world, node);
    }
    struct loop *loop = world->plan.pausable ? world->node_loops[node] : world->loop;
    world->nodes[node] = node_new(loop, &world->nets[node].net, world->settings[node],
                                  world->policy, &world->features);
    node_start(world->nodes[node]);
}

void world_kill(struct world *world, int node)
{
    struct node *n = world->nodes[node];
    world->nodes[node] = NULL;
    world->paused[node] = world->pause_after_send[node] = false;
    if (n)
        node_free(n);
    if (world->node_loops[node])
        loop_free(world->node_loops[node]);
    world->node_loops[node] = NULL;
    GPtrArray *waiting = take_inbox(world, node);
    for (guint i = 0; i < waiting->len; i++)
        flight_free(waiting->pdata[i]);
    g_ptr_array_unref(waiting);
}

void world_run(struct world *world, int64_t ms)
{
    if (!world->plan.pausable) {
        loop_advance(world->loop, ms);
        return;
    }
    for (; ms > 0; ms--) {
        loop_advance(world->loop, 1);
        for (int i = 0; i < world->plan.nodes; i++)
            if (world->nodes[i] && !world->paused[i])
                loop_advance(world->node_loops[i], 1);
        if (world->each_step)
            world->each_step(world);
    }
}

void world_pause(struct world *world, int node)
{
    assert_true(world->plan.pausable);
    world->paused[node] = world->nodes[node] != NULL;
}

void world_resume(struct world *world, int node)
{
    if (!world->paused[node])
        return;
    world->paused[node] = false;
    catch_up(world, node);
    GPtrArray *waiting = take_inbox(world, node);
    for (guint i = 0; i < waiting->len; i++) {
        struct flight *flight = waiting->pdata[i];
        if (world->paused[node]) /* again, by what came first */
            g_ptr_array_add(world->inboxes[node], flight);
        else
            leave_inbox(flight);
    }
    g_ptr_array_unref(waiting);
}

void world_deliver_held(struct world *world)
{
    for (guint i = 0; i < world->held->len; i++) {
        struct flight *flight = world->held->pdata[i];
        flight->fate = FATE_NORMAL;
        flight->process = 0; /* nobody waits for the answer any more */
        carry_out(flight);
    }
    g_ptr_array_set_size(world->held, 0);
}

struct user_answer world_ask(struct world *world, int node, const char *method, const char *path,
                             const char *body)
{
    struct user_answer answer = {0};
    connection_ref ref;
    struct wconn *wconn = conn_new(world, &ref);
    wconn->answer = &answer;
    wconn->method = method;
    wconn->path = path;
    wconn->body = body ? body : "";
    rules_types(world->rules, world->types);
    rules_asked(world->rules, wconn->sent, method, path, wconn->body);
    if (world->play_gangs && strcmp(path, "/work") == 0)
        gang_submitted(world, wconn->body);
    struct http_request request = {method, path, "", body ? body : "", body ? strlen(body) : 0,
                                   NULL};
    assert_non_null(world->nodes[node]);
    node_receives(world, node, "user", ref, &request);
    for (int i = 0; i < 500 && !answer.status; i++)
        world_run(world, 10);
    g_hash_table_remove(world->answers, &ref.value);
    return answer;
}

char *world_job(const char *id, const char *form, int tasks, const char *team_name, double cpus,
                const char *more)
{
    return g_strdup_printf(
        "{\"Id\":\"%s\",\"Lot\":\"lot\",\"Crew\":\"%s\",\"Form\":\"%s\",\"Urgency\":\"high\","
        "\"Pieces\":%d,\"Vcpus\":%.1f,\"Cards\":0.0,\"MemoryGb\":1.0,\"Mould\":\"img-1\","
        "\"ImageGb\":1.0,\"OneZone\":false,\"Apart\":false,\"Loaners\":true,\"ExpectedS\":%s,"
        "\"MarkEveryS\":0.0,\"StowS\":0.0%s}",
        id, team_name, form, tasks, cpus, strcmp(form, "daemon") == 0 ? "0.0" : "10.0", more);
}

void world_put_accepted(struct world *world, const char *id, int tasks, wall_time submitted)
{
    char *job = world_job(id, "sweep", tasks, "blue", 2, "");
    char *value = g_strdup_printf("{\"t\":%" G_GINT64_FORMAT ",\"w\":%s}", submitted.ms, job);
    world_put_job(world, id, value);
    g_free(value);
    g_free(job);
}

char *world_swapped(const char *text, const char *what, const char *by)
{
    char **shards = g_strsplit(text, what, 2);
    assert_int_equal(g_strv_length(shards), 2);
    char *out = g_strjoinv(by, shards);
    g_strfreev(shards);
    return out;
}

struct user_answer world_submit(struct world *world, int node, const char *id, const char *form,
                                int tasks)
{
    char *body = world_job(id, form, tasks, "blue", 2.0, "");
    struct user_answer answer = world_ask(world, node, "POST", "/work", body);
    g_free(body);
    return answer;
}

int world_on_machines(struct world *world, const char *job)
{
    int n = 0;
    for (int i = 0; i < world->plan.workers; i++)
        for (guint k = 0; world->workers[i].up && k < world->workers[i].tasks->len; k++) {
            struct wtask *wtask = &g_array_index(world->workers[i].tasks, struct wtask, k);
            n += strcmp(wtask->job.text, job) == 0 && strcmp(wtask->stage, "exited") != 0;
        }
    return n;
}

bool world_ran_twice(struct world *world)
{
    (void)world;
    return world_task_twice;
}

struct node *world_leader(struct world *world)
{
    for (int i = 0; i < world->plan.nodes; i++)
        if (world->nodes[i] && membership_is_leader(world->nodes[i]->membership))
            return world->nodes[i];
    return NULL;
}

int world_leader_index(struct world *world)
{
    for (int i = 0; i < world->plan.nodes; i++)
        if (world->nodes[i] && world->nodes[i] == world_leader(world))
            return i;
    return -1;
}

int world_cancel(struct world *world, int node, const char *job)
{
    char *path = g_strdup_printf("/work/%s/abort", job);
    int status = world_ask(world, node, "POST", path, NULL).status;
    g_free(path);
    return status;
}

enum fate world_only_workers(struct world *world, int node,
                             const struct http_client_request *request)
{
    bool state = strcmp(request->address, "10.2.0.1:2379") == 0,
         back = g_str_has_suffix(request->address, ":8081");
    char lone[32];
    g_snprintf(lone, sizeof lone, "10.0.0.%d:8081", world->lone + 1);
    return (node == world->lone && (state || back)) || strcmp(request->address, lone) == 0
               ? FATE_LOST
               : FATE_NORMAL;
}

void world_expect_stage(struct world *world, int node, const char *job, const char *stage)
{
    char *path = g_strconcat("/work/", job, NULL),
         *want = g_strdup_printf("\"Stage\":\"%s\"", stage);
    struct user_answer answer = world_ask(world, node, "GET", path, NULL);
    if (answer.status != 200 || !strstr(answer.body, want))
        fail_msg("%s: %d %s, wanted %s", path, answer.status, answer.body, stage);
    g_free(path);
    g_free(want);
}

int world_open(void **state)
{
    struct world *world = world_new();
    world->capacity = 6;
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    world_run(world, 3000);
    assert_non_null(world_leader(world));
    *state = world;
    return 0;
}

/* Nothing is in the way of any node or worker any more. */
static void end_troubles(struct world *world)
{
    world->fate = NULL;
    world->state_down = world->cloud_down = false;
    world->deaf_node = -1;
    for (int i = 0; i < world->plan.workers; i++) {
        world->workers[i].silent = world->workers[i].deaf = false;
        world->workers[i].only = -1;
    }
    for (int i = 0; i < world->plan.nodes; i++)
        if (!world->nodes[i])
            world_start(world, i);
}

void world_look(struct world *world)
{
    struct rules_machine *machine = g_new0(struct rules_machine, world->plan.workers);
    guint n = 0;
    for (int i = 0; i < world->plan.workers; i++)
        if (world->workers[i].up && world->workers[i].reclaim_notice_s < 0)
            machine[n++] = machine_of(&world->workers[i]);
    rules_types(world->rules, world->types);
    rules_look(world->rules, loop_now(world->loop), machine, n);
    g_free(machine);
}

void world_settle(struct world *world, int64_t ms)
{
    end_troubles(world);
    for (int64_t t = 0; t < ms; t += 1000) {
        world_run(world, 1000);
        world_look(world);
    }
    GPtrArray *paths = rules_kept_jobs(world->rules);
    for (guint i = 0; i < paths->len; i++)
        for (int node = 0; node < world->plan.nodes; node++)
            assert_int_equal(world_ask(world, node, "GET", paths->pdata[i], NULL).status, 200);
    g_ptr_array_unref(paths);
}

void world_end(struct world *world)
{
    bool ran_twice = world_ran_twice(world);
    char *broken = g_strdup(rules_end(world->rules, loop_now(world->loop)));
    world_free(world);
    if (ran_twice)
        fail_msg("a task ran twice");
    if (broken)
        fail_msg("%s", broken);
}

int world_close(void **state)
{
    world_end(*state);
    return 0;
}

int world_close_settled(void **state)
{
    world_settle(*state, SETTLE_MS);
    return world_close(state);
}
