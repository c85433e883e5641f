#include "role_scenario.h"

#include "role_failures.h"
#include "scheduler_internal.h"

enum {
    SETTLE_MS = 45000,
    TASK_MS = 800,
};

static const char quick_returns[] = "idle_s = 1\nspare_cpus = 0\nservice_spare = 0\n";

struct world_plan role_scenario_plan(void)
{
    struct world_plan plan = world_usual();
    plan.duties = plan.pausable = true;
    plan.workers = MACHINES;
    plan.cloud_rps = 10;
    return plan;
}

struct role_scenario *role_scenario_of(struct world *world)
{
    return world->step_ctx;
}

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
        g_hash_table_replace(role_scenario_of(world)->closed_under,
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
    json_get_string(leader, "n", &label);
    bool own = !owner || strcmp(owner, label) == 0;
    json_object_put(leader);
    return own;
}

/* An intent to return a machine comes on record only under the map under which its owner closed it.
 */
static void expect_closed(struct role_scenario *scenario, const char *text)
{
    json_object *value = json_parse(text, strlen(text)), *returns = json_get_array(value, "return");
    const char *map = world_key(scenario->world, "ll/map");
    for (size_t i = 0; returns && i < json_object_array_length(returns); i++) {
        const char *machine = json_object_get_string(json_object_array_get_idx(returns, i));
        if (duty_history_return_known(scenario->history, machine) ||
            owned_by_leader(scenario->world, machine))
            continue;
        const char *closed = g_hash_table_lookup(scenario->closed_under, machine);
        if (!scenario->closing_fault && g_strcmp0(closed, map) != 0)
            scenario->closing_fault = g_strdup_printf(
                "%s is to be returned under %s, closed under %s", machine, map, closed);
    }
    json_object_put(value);
}

/* ---- beginning and end ---- */

static void key_changed(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct role_scenario *scenario = ctx;
    if (text && g_str_has_prefix(key, KEY_INTENT_PREFIX))
        expect_closed(scenario, text);
    duty_history_key(scenario->history, key, text, mod_revision);
}

static void rented(void *ctx, const char *request, const char *machine)
{
    duty_history_rented(((struct role_scenario *)ctx)->history, request, machine);
}

static void returned(void *ctx, const char *machine)
{
    duty_history_returned(((struct role_scenario *)ctx)->history, machine);
}

struct role_scenario *role_scenario_new_with(unsigned seed, fate_fn fate, const struct stop *stop)
{
    struct role_scenario *scenario = g_new0(struct role_scenario, 1);
    struct world_plan plan = role_scenario_plan();
    GError *error = NULL;
    scenario->history = duty_history_new();
    scenario->random = g_rand_new_with_seed(seed);
    scenario->world = world_new_sized(&plan);
    scenario->world->step_ctx = scenario;
    scenario->world->each_step = role_failures_step;
    scenario->world->fate = fate;
    scenario->stop = stop;
    scenario->observer = (struct world_observer){scenario, key_changed, rented, returned};
    scenario->closed_under = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    scenario->world->between = note_closed;
    scenario->world->observer = &scenario->observer;
    scenario->world->list_lag_ms = 4000;
    scenario->world->capacity = scenario->capacity = MACHINES;
    policy_free(scenario->world->policy);
    scenario->world->policy = policy_parse(quick_returns, &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(scenario->world, i);
    /* No job is accepted before the machine types are known. */
    for (int s = 0; s < 40 && (s < 3 || !world_key(scenario->world, "ll/types")); s++)
        world_run(scenario->world, 1000);
    return scenario;
}

struct role_scenario *role_scenario_new(unsigned seed)
{
    return role_scenario_new_with(seed, NULL, NULL);
}

void role_scenario_expect_right(struct role_scenario *scenario)
{
    if (duty_history_wrong(scenario->history))
        fail_msg("%s", duty_history_wrong(scenario->history));
    if (scenario->closing_fault)
        fail_msg("%s", scenario->closing_fault);
}

void role_scenario_end(struct role_scenario *scenario)
{
    role_scenario_expect_right(scenario);
    world_end(scenario->world);
    g_hash_table_unref(scenario->closed_under);
    duty_history_free(scenario->history);
    g_rand_free(scenario->random);
    g_free(scenario);
}

void role_scenario_finish_tasks(struct world *world)
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

void role_scenario_add_job(struct role_scenario *scenario)
{
    char id[24];
    g_snprintf(id, sizeof id, "wk-%05u", ++scenario->jobs);
    world_put_accepted(scenario->world, id, g_rand_int_range(scenario->random, 4, 20),
                       loop_wall_time(scenario->world->loop));
}

void role_scenario_settle(struct role_scenario *scenario)
{
    struct world *world = scenario->world;
    scenario->troubles = false;
    for (int i = 0; i < WORLD_NODES; i++) {
        world_resume(world, i);
        if (!world->nodes[i])
            world_start(world, i);
    }
    world_deliver_held(world);
    world_run(world, SETTLE_MS);
}

void role_scenario_expect_no_intents(struct world *world)
{
    for (int page = 0; page < 10; page++) {
        char *key = key_intent_page(ROLE_AUTOSCALER, page);
        const char *text = world_key(world, key);
        if (text && !strstr(text, "\"return\":[],\"rent\":[]"))
            fail_msg("not settled: %s", text);
        g_free(key);
    }
}

void role_scenario_expect_settled(struct role_scenario *scenario)
{
    role_scenario_expect_right(scenario);
    GPtrArray *left = duty_history_rented_still(scenario->history);
    if (left->len)
        fail_msg("%u machines belong to nobody, as %s", left->len, (char *)left->pdata[0]);
    g_ptr_array_unref(left);
    assert_string_equal(world_key(scenario->world, "ll/features"), "{\"duties\":true}");
    role_scenario_expect_no_intents(scenario->world);
}

/* ---- one step at a time ---- */

int role_scenario_count_paused(const struct world *world)
{
    int n = 0;
    for (int i = 0; i < world->plan.nodes; i++)
        n += world->paused[i];
    return n;
}

bool request_is_to_cloud(const struct http_client_request *request)
{
    return g_str_has_suffix(request->address, ":8443");
}

bool request_writes_records(const struct http_client_request *request)
{
    return strcmp(request->path, "/txn") == 0 && strstr(request->body, "\"Set\":\"ll\\/p\\/");
}

static bool is_act(const struct http_client_request *request)
{
    return request_is_to_cloud(request) && strcmp(request->method, "POST") == 0;
}

enum fate role_scenario_stop_once(struct world *world, int node,
                                  const struct http_client_request *request)
{
    struct role_scenario *scenario = role_scenario_of(world);
    const struct stop *stop = scenario->stop;
    scenario->acts[node] += is_act(request);
    if (!stop || scenario->stops > stop->successor_too ||
        role_scenario_count_paused(world) >= MOST_PAUSED ||
        strcmp(request->path, stop->path) != 0 ||
        (stop->text && !strstr(request->body, stop->text)))
        return FATE_NORMAL;
    scenario->stops++;
    scenario->resume_at[node] = time_add_ms(loop_now(world->loop), stop->ms);
    if (stop->ms && stop->after_send)
        world->pause_after_send[node] = true;
    else if (stop->ms)
        world_pause(world, node);
    return stop->fate;
}

/* ---- who holds what ---- */

int role_scenario_holder(struct world *world, enum singleton_role role)
{
    int holder = -1;
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && role_manager_may_act(world->nodes[i]->role_manager, role)) {
            assert_int_equal(holder, -1);
            holder = i;
        }
    return holder;
}

uint64_t role_scenario_token(struct world *world, enum singleton_role role)
{
    return role_records_get(world->nodes[0]->replica->singleton_roles, role)->token.value;
}
