/* Single-holder duties: nodes that stand still at every step of an act, and go on after their lease
 * or their successor's. Judged from what the state service and the cloud carried out. */
#include "delay_histogram.h"
#include "duty_history.h"
#include "scheduler_internal.h"
#include "world.h"

#include <stdio.h>

enum {
    SEEDS = 60,
    SEED_MS = 70000,
    SETTLE_MS = 45000,
    LEAST_PAUSES = 2000,
    TASK_MS = 800,
    MACHINES = 24,
    MOST_PAUSED = 2, /* of three nodes */
};

static const char quick_returns[] = "idle_s = 1\nspare_cpus = 0\nservice_spare = 0\n";

static struct world_plan plan_of_duties(void)
{
    struct world_plan plan = world_usual();
    plan.duties = plan.pausable = true;
    plan.workers = MACHINES;
    plan.cloud_rps = 10;
    return plan;
}

/* What the driver plays. */
struct play {
    struct world *world;
    struct duty_history *history;
    struct world_observer observer;
    GRand *random;
    GHashTable *closed_under; /* machine -> the map under which its owner last closed it */
    char *closing_fault; /* an intent to return that was recorded under another map; NULL: none */
    mono_time resume_at[WORLD_MOST_NODES], next_kill, start_at[WORLD_MOST_NODES];
    mono_time deliver_at, raise_at;
    int capacity; /* of the cloud, at any moment */
    unsigned pauses, jobs;
    bool troubles;
    const struct stop *stop; /* NULL: none is played */
    int stops;
    int acts[WORLD_MOST_NODES]; /* requests to rent and to return, by node */
};

static struct play *play_of(struct world *world)
{
    return world->step_ctx;
}

static void each_step(struct world *world);

/* ---- closing before recording ---- */

/* Sees the answer in which an owner names the machines on which it places nothing more. */
static char *note_closed(struct world *world, int node, const char *path, const char *body)
{
    (void)node;
    (void)path;
    json_object *answer = json_parse(body, strlen(body)),
                *closed = json_get_array(answer, "closed");
    const char *map = world_key(world, "ll/map");
    for (size_t i = 0; closed && i < json_object_array_length(closed); i++)
        g_hash_table_replace(play_of(world)->closed_under,
                             g_strdup(json_object_get_string(json_object_array_get_idx(closed, i))),
                             g_strdup(map));
    json_object_put(answer);
    return NULL;
}

/* A key's value, new; NULL: there is none. */
static json_object *parse_key(struct world *world, const char *key)
{
    const char *text = world_key(world, key);
    return text ? json_tokener_parse(text) : NULL;
}

/* A node whose view has the newest map, or NULL. */
static const struct node *node_with_map(struct world *world)
{
    json_object *map = parse_key(world, "ll/map");
    uint64_t epoch = 0;
    json_get_u64(map, "e", &epoch);
    json_object_put(map);
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && world->nodes[i]->replica->shard_map_epoch.value == epoch)
            return world->nodes[i];
    return NULL;
}

/* Whether the leader's own node owns the machine, or that cannot be told: its messages to itself
 * are not seen here. */
static bool owned_by_leader(struct world *world, const char *machine)
{
    const struct node *node = node_with_map(world);
    json_object *leader = parse_key(world, "ll/leader");
    const char *label = "", *owner = node ? shard_map_get_owner(node->replica, machine) : NULL;
    json_get_text(leader, "n", &label);
    bool own = !owner || strcmp(owner, label) == 0;
    json_object_put(leader);
    return own;
}

/* An intent to return a machine comes on record only under the map under which its owner closed it.
 */
static void expect_closed(struct play *play, const char *text)
{
    json_object *value = json_parse(text, strlen(text)), *returns = json_get_array(value, "return");
    const char *map = world_key(play->world, "ll/map");
    for (size_t i = 0; returns && i < json_object_array_length(returns); i++) {
        const char *machine = json_object_get_string(json_object_array_get_idx(returns, i));
        if (duty_history_return_known(play->history, machine) ||
            owned_by_leader(play->world, machine))
            continue;
        const char *closed = g_hash_table_lookup(play->closed_under, machine);
        if (!play->closing_fault && g_strcmp0(closed, map) != 0)
            play->closing_fault = g_strdup_printf("%s is to be returned under %s, closed under %s",
                                                  machine, map, closed);
    }
    json_object_put(value);
}

static void key_changed(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct play *play = ctx;
    if (text && g_str_has_prefix(key, KEY_INTENT_PREFIX))
        expect_closed(play, text);
    duty_history_key(play->history, key, text, mod_revision);
}

static void rented(void *ctx, const char *request, const char *machine)
{
    duty_history_rented(((struct play *)ctx)->history, request, machine);
}

static void returned(void *ctx, const char *machine)
{
    duty_history_returned(((struct play *)ctx)->history, machine);
}

/* fate: what becomes of requests from the first one on; NULL: nothing special. */
static struct play *play_new_with(unsigned seed, fate_fn fate, const struct stop *stop)
{
    struct play *play = g_new0(struct play, 1);
    struct world_plan plan = plan_of_duties();
    GError *error = NULL;
    play->history = duty_history_new();
    play->random = g_rand_new_with_seed(seed);
    play->world = world_new_sized(&plan);
    play->world->step_ctx = play;
    play->world->each_step = each_step;
    play->world->fate = fate;
    play->stop = stop;
    play->observer = (struct world_observer){play, key_changed, rented, returned};
    play->closed_under = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    play->world->between = note_closed;
    play->world->observer = &play->observer;
    play->world->list_lag_ms = 4000;
    play->world->capacity = play->capacity = MACHINES;
    policy_free(play->world->policy);
    play->world->policy = policy_parse(quick_returns, &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(play->world, i);
    /* No job is accepted before the machine types are known. */
    for (int s = 0; s < 40 && (s < 3 || !world_key(play->world, "ll/types")); s++)
        world_run(play->world, 1000);
    return play;
}

static struct play *play_new(unsigned seed)
{
    return play_new_with(seed, NULL, NULL);
}

static void expect_right(struct play *play)
{
    if (duty_history_wrong(play->history))
        fail_msg("%s", duty_history_wrong(play->history));
    if (play->closing_fault)
        fail_msg("%s", play->closing_fault);
}

static void play_end(struct play *play)
{
    expect_right(play);
    world_end(play->world);
    g_hash_table_unref(play->closed_under);
    duty_history_free(play->history);
    g_rand_free(play->random);
    g_free(play);
}

/* Tasks run for a moment; then they are done. */
static void finish_tasks(struct world *world)
{
    for (int i = 0; i < world->plan.workers; i++) {
        struct worker *worker = &world->workers[i];
        bool any = false;
        for (guint k = 0; worker->up && k < worker->tasks->len; k++) {
            struct wtask *task = &g_array_index(worker->tasks, struct wtask, k);
            if (strcmp(task->stage, "running") != 0 ||
                time_ms_since(loop_now(world->loop), task->since) < TASK_MS)
                continue;
            worker_exit(worker, task->job.text, task->index, "done");
            any = true;
        }
        if (any)
            worker_report(worker);
    }
}

/* ---- the driver ---- */

static bool chance(struct play *play, double share)
{
    return g_rand_double(play->random) < share;
}

/* Short ones, some of about a lease of the state service (4 s), some longer than two. */
static int64_t pause_ms(struct play *play)
{
    if (chance(play, 0.55))
        return g_rand_int_range(play->random, 20, 300);
    return chance(play, 0.7) ? g_rand_int_range(play->random, 3000, 5500)
                             : g_rand_int_range(play->random, 8500, 13000);
}

static int paused_nodes(const struct world *world)
{
    int n = 0;
    for (int i = 0; i < world->plan.nodes; i++)
        n += world->paused[i];
    return n;
}

static void pause_node(struct play *play, int node, bool after_send)
{
    struct world *world = play->world;
    if (world->paused[node] || paused_nodes(world) >= MOST_PAUSED)
        return;
    play->pauses++;
    play->resume_at[node] = time_add_ms(loop_now(world->loop), pause_ms(play));
    if (after_send)
        world->pause_after_send[node] = true;
    else
        world_pause(world, node);
}

static bool to_cloud(const struct http_client_request *request)
{
    return g_str_has_suffix(request->address, ":8443");
}

/* How likely a node stands still just as it sends this. */
static double pause_share(const struct http_client_request *request)
{
    if (to_cloud(request))
        return strcmp(request->method, "POST") == 0 ? 0.6 : 0.1;
    if (strcmp(request->path, "/txn") != 0 || !request->body)
        return 0.01;
    if (strstr(request->body, "\"Set\":\"ll\\/duty\\/") || strstr(request->body, "ll\\/features"))
        return 0.5;
    return strstr(request->body, "ll\\/pending\\/") ? 0.6 : 0.05;
}

static bool is_record(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/p\\/");
}

static bool is_return_intent(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"return\":[\"");
}

static enum fate troubled(struct world *world, int node, const struct http_client_request *request)
{
    struct play *play = play_of(world);
    if (!play->troubles || world->paused[node])
        return FATE_NORMAL;
    /* An intent waits while the epoch changes, and comes as something is placed. */
    if (is_return_intent(request) && chance(play, 0.3)) {
        membership_raise_epoch(world->nodes[node]->membership, "by the driver");
        return FATE_HELD;
    }
    if (is_record(request) && chance(play, 0.3))
        play->deliver_at = loop_now(world->loop);
    if (chance(play, pause_share(request)))
        pause_node(play, node, chance(play, 0.5));
    if (strcmp(request->path, "/txn") != 0 && !to_cloud(request))
        return FATE_NORMAL;
    static const enum fate fates[] = {FATE_LOST, FATE_ANSWER_LOST, FATE_HELD, FATE_LATE,
                                      FATE_REFUSED};
    return chance(play, 0.08) ? fates[g_rand_int_range(play->random, 0, G_N_ELEMENTS(fates))]
                              : FATE_NORMAL;
}

static bool due(struct play *play, mono_time *at, int32_t least_ms, int32_t most_ms)
{
    mono_time now = loop_now(play->world->loop);
    if (time_before(now, *at))
        return false;
    *at = time_add_ms(now, g_rand_int_range(play->random, least_ms, most_ms));
    return true;
}

/* Processes end, and are back after some time or at once. */
static void kill_and_start(struct play *play)
{
    struct world *world = play->world;
    int node = g_rand_int_range(play->random, 0, WORLD_NODES);
    if (due(play, &play->next_kill, 9000, 20000) && world->nodes[node]) {
        world_kill(world, node);
        play->start_at[node] = time_add_ms(loop_now(world->loop), chance(play, 0.5) ? 50 : 3000);
    }
    for (int i = 0; i < WORLD_NODES; i++)
        if (!world->nodes[i] && !time_before(loop_now(world->loop), play->start_at[i]))
            world_start(world, i);
}

static void each_step(struct world *world)
{
    enum { EVERY_MS = 20 };
    struct play *play = play_of(world);
    mono_time now = loop_now(world->loop);
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->paused[i] && !time_before(now, play->resume_at[i]))
            world_resume(world, i);
    if (now.us / 1000 % EVERY_MS)
        return;
    finish_tasks(world);
    world->capacity = play->capacity;
    if (!play->troubles)
        return;
    kill_and_start(play);
    if (due(play, &play->deliver_at, 1000, 9000))
        world_deliver_held(world);
    struct node *leader = world_leader(world);
    if (due(play, &play->raise_at, 800, 5000) && leader)
        membership_raise_epoch(leader->membership, "by the driver");
}

/* No node need be awake for that. */
static void add_job(struct play *play)
{
    char id[24];
    g_snprintf(id, sizeof id, "wk-%05u", ++play->jobs);
    world_put_accepted(play->world, id, g_rand_int_range(play->random, 4, 20),
                       loop_wall_time(play->world->loop));
}

static void settle(struct play *play)
{
    struct world *world = play->world;
    play->troubles = false;
    for (int i = 0; i < WORLD_NODES; i++) {
        world_resume(world, i);
        if (!world->nodes[i])
            world_start(world, i);
    }
    world_deliver_held(world);
    world_run(world, SETTLE_MS);
}

/* No page of intents names any. */
static void expect_settled(struct world *world)
{
    for (int page = 0; page < 10; page++) {
        char *key = key_intent_page(ROLE_AUTOSCALER, page);
        const char *text = world_key(world, key);
        if (text && !strstr(text, "\"return\":[],\"rent\":[]"))
            fail_msg("not settled: %s", text);
        g_free(key);
    }
}

static void expect_nothing_left(struct play *play)
{
    expect_right(play);
    GPtrArray *left = duty_history_rented_still(play->history);
    if (left->len)
        fail_msg("%u machines belong to nobody, as %s", left->len, (char *)left->pdata[0]);
    g_ptr_array_unref(left);
    assert_string_equal(world_key(play->world, "ll/features"), "{\"duties\":true}");
    expect_settled(play->world);
}

/* Thousands of times a holder stands still as it claims, records, rents, returns or waits for the
 * answer, and goes on later, at times under another's token. */
static void holders_stand_still_at_every_step(void **state)
{
    (void)state;
    unsigned pauses = 0, holders = 0, effects = 0;
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        struct play *play = play_new(seed);
        play->world->fate = troubled;
        play->troubles = true;
        mono_time end = time_add_ms(loop_now(play->world->loop), SEED_MS);
        while (time_before(loop_now(play->world->loop), end)) {
            add_job(play);
            world_run(play->world, g_rand_int_range(play->random, 500, 4000));
            expect_right(play);
        }
        settle(play);
        expect_nothing_left(play);
        pauses += play->pauses;
        holders += duty_history_holders(play->history);
        effects += duty_history_effects(play->history);
        play_end(play);
    }
    print_message("%u pauses, %u holders, %u effects\n", pauses, holders, effects);
    assert_true(pauses >= LEAST_PAUSES);
    assert_true(holders > SEEDS * 4 && effects > SEEDS * 20);
}

/* ---- one step at a time ---- */

/* Where the holder stands still, once: as it sends what contains the text, before or after. */
struct stop {
    const char *path, *text;
    bool after_send;
    int64_t ms;
    bool successor_too; /* the next holder stands still at the same step */
    enum fate fate;
};

static bool is_act(const struct http_client_request *request)
{
    return to_cloud(request) && strcmp(request->method, "POST") == 0;
}

static enum fate stopped_once(struct world *world, int node,
                              const struct http_client_request *request)
{
    struct play *play = play_of(world);
    const struct stop *stop = play->stop;
    play->acts[node] += is_act(request);
    if (!stop || play->stops > stop->successor_too || paused_nodes(world) >= MOST_PAUSED ||
        strcmp(request->path, stop->path) != 0 ||
        (stop->text && !strstr(request->body, stop->text)))
        return FATE_NORMAL;
    play->stops++;
    play->resume_at[node] = time_add_ms(loop_now(world->loop), stop->ms);
    if (stop->ms && stop->after_send)
        world->pause_after_send[node] = true;
    else if (stop->ms)
        world_pause(world, node);
    return stop->fate;
}

/* A job needs machines, ends, and they are returned. */
static void play_stop(const struct stop *stop)
{
    struct play *play = play_new_with(1, stopped_once, stop);
    for (int i = 0; i < 3; i++) {
        add_job(play);
        world_run(play->world, 4000);
    }
    world_run(play->world, 2 * stop->ms + 25000);
    play->stop = NULL;
    settle(play);
    expect_nothing_left(play);
    if (!play->stops)
        fail_msg("never sent: %s %s", stop->path, stop->text);
    for (int i = 0; i < 3; i++) {
        char id[24];
        g_snprintf(id, sizeof id, "wk-%05d", i + 1);
        world_expect_stage(play->world, i, id, "done");
    }
    play_end(play);
}

static void each_step_alone(void **state)
{
    (void)state;
    static const struct stop steps[] = {
        {.path = "/txn", .text = "\"Set\":\"ll\\/duty\\/fleet"},
        {.path = "/txn", .text = "\"rent\":[["},
        {.path = "/txn", .text = "\"return\":[\""},
        {.path = "/txn", .text = "\"return\":[],\"rent\":[]"},
        {.path = "/rentals"},
        {.path = "/rentals/return"},
    };
    static const int64_t lengths_ms[] = {1000, 6000, 13000};
    for (guint i = 0; i < G_N_ELEMENTS(steps); i++)
        for (guint k = 0; k < G_N_ELEMENTS(lengths_ms); k++)
            for (int how = 0; how < 4; how++) {
                struct stop stop = steps[i];
                stop.ms = lengths_ms[k];
                stop.after_send = how & 1;
                stop.successor_too = how & 2;
                play_stop(&stop);
            }
}

/* The answer is lost, or comes late, or what was sent is carried out much later. */
static void each_answer_is_lost(void **state)
{
    (void)state;
    static const struct stop steps[] = {
        {.path = "/txn", .text = "\"Set\":\"ll\\/duty\\/fleet"},
        {.path = "/txn", .text = "ll\\/features"},
        {.path = "/txn", .text = "ll\\/pending\\/"},
        {.path = "/rentals"},
        {.path = "/rentals/return"},
    };
    static const enum fate fates[] = {FATE_ANSWER_LOST, FATE_HELD, FATE_LOST, FATE_LATE};
    for (guint i = 0; i < G_N_ELEMENTS(steps); i++)
        for (guint k = 0; k < G_N_ELEMENTS(fates); k++) {
            struct stop stop = steps[i];
            stop.fate = fates[k];
            play_stop(&stop);
        }
}

/* ---- who holds what ---- */

static int holder_of(struct world *world, enum singleton_role role)
{
    int holder = -1;
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && role_manager_may_act(world->nodes[i]->role_manager, role)) {
            assert_int_equal(holder, -1);
            holder = i;
        }
    return holder;
}

static uint64_t token_of(struct world *world, enum singleton_role role)
{
    return role_records_get(world->nodes[0]->replica->singleton_roles, role)->token.value;
}

static void all_claim_in_the_same_instant(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    for (int round = 0; round < 20; round++) {
        world_remove(world, "ll/duty/cleanup");
        for (int i = 0; i < WORLD_NODES; i++)
            role_manager_claim(world->nodes[i]->role_manager, ROLE_GARBAGE_COLLECTOR);
        /* All claims are answered by the time that the first holder is known. */
        unsigned holders = duty_history_holders(play->history);
        while (duty_history_holders(play->history) == holders)
            world_run(world, 1);
        world_run(world, 1);
        assert_int_equal(duty_history_holders(play->history), holders + 1);
        for (int ms = 0; ms < 900; ms++) {
            world_run(world, 1);
            holder_of(world, ROLE_GARBAGE_COLLECTOR);
        }
        assert_true(holder_of(world, ROLE_GARBAGE_COLLECTOR) >= 0);
    }
    play_end(play);
}

static void clean_up_is_handed_over_to_a_named_node(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    int leader = world_leader_index(world), before = holder_of(world, ROLE_GARBAGE_COLLECTOR);
    assert_true(before >= 0 && before != leader);
    assert_int_equal(holder_of(world, ROLE_AUTOSCALER), leader);
    uint64_t token = token_of(world, ROLE_GARBAGE_COLLECTOR);
    int to = 3 - leader - before; /* the third node */
    const struct node_record *node =
        g_hash_table_lookup(world->nodes[before]->replica->nodes, world->settings[to]->label);
    struct role_holder successor = {.incarnation = node->incarnation};
    g_strlcpy(successor.label, node->label, sizeof successor.label);
    role_manager_claim(world->nodes[to]->role_manager, ROLE_GARBAGE_COLLECTOR);
    assert_true(role_manager_hand_over(world->nodes[before]->role_manager, ROLE_GARBAGE_COLLECTOR,
                                       &successor));
    assert_int_equal(holder_of(world, ROLE_GARBAGE_COLLECTOR), -1); /* it stops at once */
    world_run(world, 20);
    assert_true(token_of(world, ROLE_GARBAGE_COLLECTOR) > token);
    /* The keeper of the third node gives it back to the one that is chosen. */
    world_run(world, 2000);
    assert_int_equal(holder_of(world, ROLE_GARBAGE_COLLECTOR), before);
    play_end(play);
}

/* A duty is not handed to a process that is no more: the holder goes on. */
static void nothing_is_handed_to_a_dead_process(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    int holder = holder_of(world, ROLE_GARBAGE_COLLECTOR);
    struct role_holder dead = {"mast-9", {999}};
    assert_true(
        role_manager_hand_over(world->nodes[holder]->role_manager, ROLE_GARBAGE_COLLECTOR, &dead));
    world_run(world, 2000);
    assert_int_equal(holder_of(world, ROLE_GARBAGE_COLLECTOR), holder);
    play_end(play);
}

static void a_holder_back_at_once_is_another_process(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    for (int round = 0; round < 5; round++) {
        int leader = world_leader_index(world);
        uint64_t token = token_of(world, ROLE_AUTOSCALER);
        world_kill(world, leader);
        world_run(world, 50);
        world_start(world, leader);
        world_run(world, 1500); /* less than the lease of the process before */
        assert_true(holder_of(world, ROLE_AUTOSCALER) >= 0);
        assert_true(token_of(world, ROLE_AUTOSCALER) > token);
    }
    play_end(play);
}

/* The holder cannot reach the state service, nor does the cloud serve it: it asks again, but no
 * more once its lease has run out. */
static void expect_no_acts(struct play *play, int node, int64_t ms)
{
    int first = play->acts[node];
    world_run(play->world, 5000);
    assert_true(play->acts[node] > first);
    int before = play->acts[node];
    world_run(play->world, ms);
    assert_int_equal(play->acts[node], before);
}

/* The state service is away for that long for the holder alone, or for all. */
static void play_absence(bool for_all)
{
    struct play *play = play_new(1);
    struct world *world = play->world;
    world->fate = stopped_once;
    int leader = world_leader_index(world);
    world->cloud_down = true;
    add_job(play);
    world_run(world, 2000);
    world->state_down = for_all;
    world->refused[leader] = !for_all;
    expect_no_acts(play, leader, 15000);
    assert_true(holder_of(world, ROLE_AUTOSCALER) != leader);
    world->state_down = world->refused[leader] = world->cloud_down = false;
    settle(play);
    expect_nothing_left(play);
    play_end(play);
}

static void a_holder_that_is_refused_does_nothing(void **state)
{
    (void)state;
    play_absence(false);
}

static void in_an_outage_nobody_acts(void **state)
{
    (void)state;
    play_absence(true);
}

/* ---- the switch ---- */

static void restart_node(struct play *play, int node)
{
    world_kill(play->world, node);
    world_run(play->world, 500);
    world_start(play->world, node);
    world_run(play->world, 3000);
}

static void expect_job_served(struct play *play)
{
    int returned = play->world->returned;
    add_job(play);
    world_run(play->world, 15000);
    char id[24];
    g_snprintf(id, sizeof id, "wk-%05u", play->jobs);
    world_expect_stage(play->world, 0, id, "done");
    assert_true(play->world->returned > returned);
}

/* The last node that wants duties goes away while a request to rent has no answer and machines are
 * to be returned: they stay on until that is settled. */
static void expect_open_intents_keep_it_on(struct play *play)
{
    struct world *world = play->world;
    add_job(play);
    world_run(world, 3000); /* its machines are up and idle soon */
    world->cloud_down = true;
    add_job(play);
    world_run(world, 1000);
    restart_node(play, WORLD_NODES - 1);
    world_run(world, 10000);
    assert_non_null(world_key(world, "ll/features"));
    world->cloud_down = false;
    world_run(world, 30000);
    assert_null(world_key(world, "ll/features"));
    for (int i = 0; i < world->plan.workers; i++)
        assert_false(world->workers[i].up);
}

/* A fleet in which one node after the other learns of duties: they begin when all have. They end
 * once no node's operators want them. */
static void the_switch_waits_for_all_nodes(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    world->observer = NULL; /* without duties acts are on no record */
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(world, i);
    world_run(world, 6000);
    world_remove(world, "ll/features");
    for (int i = 0; i < WORLD_NODES; i++) {
        char *version = g_strdup_printf("ll/v/mast-%d", i);
        world_put(world, version, "{\"v\":1}");
        g_free(version);
        world->old[i] = true;
        world_start(world, i);
    }
    world_run(world, 4000);
    for (int i = 0; i < WORLD_NODES; i++) {
        expect_job_served(play);
        assert_null(world_key(world, "ll/features"));
        assert_null(world_key(world, "ll/duty/fleet"));
        world->old[i] = false;
        restart_node(play, i);
    }
    assert_string_equal(world_key(world, "ll/features"), "{\"duties\":true}");
    assert_non_null(world_key(world, "ll/duty/fleet"));
    expect_job_served(play);
    world->features.singleton_roles.is_enabled = false;
    for (int i = 0; i < WORLD_NODES; i++) {
        assert_non_null(world_key(world, "ll/features"));
        if (i == WORLD_NODES - 1)
            expect_open_intents_keep_it_on(play);
        else
            restart_node(play, i);
        expect_job_served(play);
    }
    assert_null(world_key(world, "ll/features"));
    assert_null(world_key(world, "ll/duty/fleet"));
    assert_null(world_key(world, "ll/duty/cleanup"));
    assert_null(world_key(world, "ll/pending/fleet/0"));
    expect_job_served(play);
    play_end(play);
}

/* ---- machines that are to be returned ---- */

static bool is_fleet_claim(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 &&
           strstr(request->body, "\"Set\":\"ll\\/duty\\/fleet");
}

static enum fate claims_refused(struct world *world, int node,
                                const struct http_client_request *request)
{
    (void)world;
    (void)node;
    return is_fleet_claim(request) ? FATE_REFUSED : FATE_NORMAL;
}

/* A machine that is there from the beginning, on which nothing ever ran. */
static struct worker *idle_machine(struct play *play, int i)
{
    struct worker *worker = world_worker(play->world, i, "a", true);
    duty_history_rented_by_hand(play->history, worker->id);
    return worker;
}

/* A new leader decides to return an idle machine before it has the duty. */
static void what_was_decided_before_the_duty_is_done_later(void **state)
{
    (void)state;
    struct play *play = play_new(1);
    struct world *world = play->world;
    world->fate = claims_refused;
    int leader = world_leader_index(world);
    world_kill(world, leader);
    struct worker *worker = idle_machine(play, 0);
    world_run(world, 12000);
    assert_true(worker->up);
    world->fate = NULL;
    world_run(world, 15000);
    assert_false(worker->up);
    world_start(world, leader);
    settle(play);
    expect_nothing_left(play);
    play_end(play);
}

/* Nothing is returned by itself. */
static struct play *play_without_returns(void)
{
    struct play *play = play_new(1);
    GError *error = NULL;
    struct policy *old = play->world->policy;
    play->world->policy = policy_parse("idle_s = 86400\nspare_cpus = 0\n", &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill(play->world, i);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(play->world, i);
    policy_free(old);
    world_run(play->world, 4000);
    return play;
}

static void return_by_hand(struct play *play, const struct worker *worker)
{
    machine_id id;
    assert_true(machine_id_parse(&id, worker->id));
    cloud_provider_scale_in(world_leader(play->world)->leader->cloud, id, "by hand");
}

static enum fate first_record_is_held(struct world *world, int node,
                                      const struct http_client_request *request)
{
    struct play *play = play_of(world);
    (void)node;
    if (play->stops || !is_record(request))
        return FATE_NORMAL;
    play->stops++;
    return FATE_HELD;
}

/* A machine is to be returned while a task is being recorded on it. */
static void a_start_that_is_being_recorded_is_waited_for(void **state)
{
    (void)state;
    struct play *play = play_without_returns();
    struct world *world = play->world;
    struct worker *worker = idle_machine(play, 0);
    play->capacity = 0;
    world_run(world, 3000);
    world->fate = first_record_is_held;
    add_job(play);
    while (!play->stops)
        world_run(world, 1);
    return_by_hand(play, worker);
    world_run(world, 1800); /* longer than a return waits for others */
    world_deliver_held(world);
    world->fate = NULL;
    settle(play);
    assert_false(worker->up);
    expect_right(play);
    play->capacity = MACHINES; /* for the tasks that had none */
    world_run(world, 20000);
    play_end(play);
}

/* ---- many at once ---- */

/* More returns than a page holds, where values are short and transactions small. */
static void many_returns_take_several_pages(void **state)
{
    (void)state;
    enum { MANY = 400 };
    struct world_plan plan = plan_of_duties();
    plan.pausable = false;
    plan.workers = MANY;
    plan.next_value_kb = 2;
    plan.next_write_rps = 18;
    plan.next_txn_ops = 5;
    plan.fd_limit = 4000;
    struct world *world = world_new_sized(&plan);
    world->capacity = 0;
    world_limits_fall(world);
    for (int i = 0; i < MANY; i++)
        world_worker(world, i, i % 2 ? "a" : "b", true);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(world, i);
    bool second_page = false;
    for (int ms = 0; ms < 90000; ms += 50) {
        world_run(world, 50);
        second_page = second_page || world_key(world, "ll/pending/fleet/1");
    }
    assert_true(second_page);
    assert_int_equal(world->returned, MANY);
    world_run(world, 10000);
    expect_settled(world);
    world_end(world);
}

/* ---- a measurement, which is no test ---- */

enum ending { ENDS_BY_CRASH, ENDS_BY_RESTART, ENDS_BY_PAUSE, ENDS_BY_HAND_OVER, ENDINGS };

static void end_holder(struct play *play, enum ending ending, int holder)
{
    struct world *world = play->world;
    struct role_holder successor = {0};
    switch (ending) {
    case ENDS_BY_CRASH:
        world_kill(world, holder);
        break;
    case ENDS_BY_RESTART:
        world_kill(world, holder);
        world_start(world, holder);
        break;
    case ENDS_BY_PAUSE:
        world_pause(world, holder);
        play->resume_at[holder] = time_add_ms(loop_now(world->loop), 20000);
        break;
    default:
        g_strlcpy(successor.label, world->settings[(holder + 1) % WORLD_NODES]->label,
                  sizeof successor.label);
        successor.incarnation = ((struct node_record *)g_hash_table_lookup(
                                     world->nodes[holder]->replica->nodes, successor.label))
                                    ->incarnation;
        role_manager_claim(world->nodes[(holder + 1) % WORLD_NODES]->role_manager,
                           ROLE_GARBAGE_COLLECTOR);
        role_manager_hand_over(world->nodes[holder]->role_manager, ROLE_GARBAGE_COLLECTOR,
                               &successor);
    }
}

static int living_holder(struct world *world, enum singleton_role role)
{
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && !world->paused[i] &&
            role_manager_may_act(world->nodes[i]->role_manager, role))
            return i;
    return -1;
}

static void measure_ending(enum ending ending, const char *name, int rounds)
{
    struct delay_histogram *gaps = delay_histogram_new();
    enum singleton_role role =
        ending == ENDS_BY_HAND_OVER ? ROLE_GARBAGE_COLLECTOR : ROLE_AUTOSCALER;
    for (int round = 0; round < rounds; round++) {
        struct play *play = play_new(1);
        world_run(play->world, 1 + round * 37);
        end_holder(play, ending, living_holder(play->world, role));
        int ms = 0;
        for (; living_holder(play->world, role) < 0; ms++)
            world_run(play->world, 1);
        delay_histogram_add(gaps, ms);
        play_end(play);
    }
    printf("without a holder, %s: %" G_GUINT64_FORMAT " times, p50 %.0f ms, p90 %.0f, p99 %.0f\n",
           name, delay_histogram_count(gaps), delay_histogram_quantile(gaps, 0.5),
           delay_histogram_quantile(gaps, 0.9), delay_histogram_quantile(gaps, 0.99));
    delay_histogram_free(gaps);
}

static int measure(int rounds)
{
    static const char *const names[ENDINGS] = {"crash", "restart at once", "pause", "hand-over"};
    for (int i = 0; i < ENDINGS; i++)
        measure_ending((enum ending)i, names[i], rounds);
    return 0;
}

/* test_duties [ROUNDS]: the tests, or a measurement of so many rounds. */
int main(int argc, char **argv)
{
    if (argc > 1)
        return measure((int)strtol(argv[1], NULL, 10));
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_step_alone),
        cmocka_unit_test(each_answer_is_lost),
        cmocka_unit_test(all_claim_in_the_same_instant),
        cmocka_unit_test(clean_up_is_handed_over_to_a_named_node),
        cmocka_unit_test(nothing_is_handed_to_a_dead_process),
        cmocka_unit_test(a_holder_back_at_once_is_another_process),
        cmocka_unit_test(a_holder_that_is_refused_does_nothing),
        cmocka_unit_test(in_an_outage_nobody_acts),
        cmocka_unit_test(the_switch_waits_for_all_nodes),
        cmocka_unit_test(what_was_decided_before_the_duty_is_done_later),
        cmocka_unit_test(a_start_that_is_being_recorded_is_waited_for),
        cmocka_unit_test(many_returns_take_several_pages),
        cmocka_unit_test(holders_stand_still_at_every_step),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
