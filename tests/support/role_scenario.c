#include "role_scenario.h"

#include "role_failures.h"
#include "scheduler_internal.h"

enum {
    SETTLE_MS = 45000,
    TASK_MS = 800,
};

static const char quick_return_policy[] = "idle_s = 1\nspare_cpus = 0\nservice_spare = 0\n";

struct world_config role_scenario_config(void)
{
    struct world_config config = world_default_config();
    config.enable_roles = config.pausable = true;
    config.worker_count = CLOUD_MACHINES;
    config.cloud_rps = 10;
    return config;
}

struct role_scenario *role_scenario_of(struct world *world)
{
    return world->step_ctx;
}

/* ---- machines are closed before their return is recorded ---- */

/* Reads the responses in which an owner names the machines that it has closed to placements. */
static char *record_closed_machines(struct world *world, int node, const char *path,
                                    const char *body)
{
    (void)node;
    (void)path;
    json_object *response = json_parse(body, strlen(body)),
                *closed = json_get_array(response, "closed");
    const char *map = world_get_key(world, "ll/map");
    for (size_t i = 0; closed && i < json_object_array_length(closed); i++)
        g_hash_table_replace(role_scenario_of(world)->closed_under_map,
                             g_strdup(json_object_get_string(json_object_array_get_idx(closed, i))),
                             g_strdup(map));
    json_object_put(response);
    return NULL;
}

/* Returns the parsed value of a key, or NULL if there is none. The caller releases it. */
static json_object *parse_key(struct world *world, const char *key)
{
    const char *text = world_get_key(world, key);
    return text ? json_tokener_parse(text) : NULL;
}

/* Returns a node whose replica has the newest shard map, or NULL. */
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

/* Returns whether the leader's own node owns the machine, or the owner is unknown. A node's
 * messages to itself do not pass through the world, so its closed machines are not recorded. */
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

/* Checks that an intent to return a machine is recorded under the same shard map under which the
 * machine's owner closed it. */
static void check_closed_before_return(struct role_scenario *scenario, const char *text)
{
    json_object *value = json_parse(text, strlen(text)), *returns = json_get_array(value, "return");
    const char *map = world_get_key(scenario->world, "ll/map");
    for (size_t i = 0; returns && i < json_object_array_length(returns); i++) {
        const char *machine = json_object_get_string(json_object_array_get_idx(returns, i));
        if (duty_history_has_return_intent(scenario->history, machine) ||
            owned_by_leader(scenario->world, machine))
            continue;
        const char *closed = g_hash_table_lookup(scenario->closed_under_map, machine);
        if (!scenario->closing_violation && g_strcmp0(closed, map) != 0)
            scenario->closing_violation =
                g_strdup_printf("return of %s recorded under map %s, but it was closed under %s",
                                machine, map, closed);
    }
    json_object_put(value);
}

/* ---- setup and teardown ---- */

static void key_changed(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct role_scenario *scenario = ctx;
    if (text && g_str_has_prefix(key, KEY_INTENT_PREFIX))
        check_closed_before_return(scenario, text);
    duty_history_key_changed(scenario->history, key, text, mod_revision);
}

static void rented(void *ctx, const char *request, const char *machine)
{
    duty_history_rented(((struct role_scenario *)ctx)->history, request, machine);
}

static void returned(void *ctx, const char *machine)
{
    duty_history_returned(((struct role_scenario *)ctx)->history, machine);
}

struct role_scenario *role_scenario_new_with_faults(unsigned seed, request_fault_fn choose_fault,
                                                    const struct pause_point *pause_point)
{
    struct role_scenario *scenario = g_new0(struct role_scenario, 1);
    struct world_config config = role_scenario_config();
    GError *error = NULL;
    scenario->history = duty_history_new();
    scenario->random = g_rand_new_with_seed(seed);
    scenario->world = world_new_with_config(&config);
    scenario->world->step_ctx = scenario;
    scenario->world->each_step = role_failures_step;
    scenario->world->inject_fault = choose_fault;
    scenario->pause_point = pause_point;
    scenario->observer = (struct world_observer){scenario, key_changed, rented, returned};
    scenario->closed_under_map = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    scenario->world->rewrite_rpc_response = record_closed_machines;
    scenario->world->observer = &scenario->observer;
    scenario->world->cloud_list_lag_ms = 4000;
    scenario->world->cloud_capacity = scenario->cloud_capacity = CLOUD_MACHINES;
    policy_free(scenario->world->policy);
    scenario->world->policy = policy_parse(quick_return_policy, &error);
    assert_null(error);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start(scenario->world, i);
    /* Jobs are accepted only once the machine types are known. */
    for (int s = 0; s < 40 && (s < 3 || !world_get_key(scenario->world, "ll/types")); s++)
        world_run(scenario->world, 1000);
    return scenario;
}

struct role_scenario *role_scenario_new(unsigned seed)
{
    return role_scenario_new_with_faults(seed, NULL, NULL);
}

void role_scenario_expect_no_violation(struct role_scenario *scenario)
{
    if (duty_history_get_violation(scenario->history))
        fail_msg("%s", duty_history_get_violation(scenario->history));
    if (scenario->closing_violation)
        fail_msg("%s", scenario->closing_violation);
}

void role_scenario_end(struct role_scenario *scenario)
{
    role_scenario_expect_no_violation(scenario);
    world_end(scenario->world);
    g_hash_table_unref(scenario->closed_under_map);
    duty_history_free(scenario->history);
    g_rand_free(scenario->random);
    g_free(scenario);
}

void role_scenario_complete_tasks(struct world *world)
{
    for (int i = 0; i < world->config.worker_count; i++) {
        struct worker *worker = &world->workers[i];
        bool any_completed = false;
        for (guint k = 0; worker->up && k < worker->tasks->len; k++) {
            struct worker_task *task = &g_array_index(worker->tasks, struct worker_task, k);
            if (strcmp(task->stage, "running") != 0 ||
                time_ms_since(loop_now(world->loop), task->stage_since) < TASK_MS)
                continue;
            worker_exit_task(worker, task->job.text, task->index, "done");
            any_completed = true;
        }
        if (any_completed)
            worker_send_heartbeat(worker);
    }
}

void role_scenario_add_job(struct role_scenario *scenario)
{
    char id[24];
    g_snprintf(id, sizeof id, "wk-%05u", ++scenario->job_count);
    world_put_accepted_job(scenario->world, id, g_rand_int_range(scenario->random, 4, 20),
                           loop_wall_time(scenario->world->loop));
}

void role_scenario_settle(struct role_scenario *scenario)
{
    struct world *world = scenario->world;
    scenario->inject_failures = false;
    for (int i = 0; i < WORLD_NODES; i++) {
        world_resume(world, i);
        if (!world->nodes[i])
            world_start(world, i);
    }
    world_deliver_held_requests(world);
    world_run(world, SETTLE_MS);
}

void role_scenario_expect_no_intents(struct world *world)
{
    for (int page = 0; page < 10; page++) {
        char *key = key_intent_page(ROLE_AUTOSCALER, page);
        const char *text = world_get_key(world, key);
        if (text && !strstr(text, "\"return\":[],\"rent\":[]"))
            fail_msg("intents are still recorded: %s", text);
        g_free(key);
    }
}

void role_scenario_expect_settled(struct role_scenario *scenario)
{
    role_scenario_expect_no_violation(scenario);
    GPtrArray *left = duty_history_list_rented_machines(scenario->history);
    if (left->len)
        fail_msg("%u machines were not returned, for example %s", left->len,
                 (char *)left->pdata[0]);
    g_ptr_array_unref(left);
    assert_string_equal(world_get_key(scenario->world, "ll/features"), "{\"duties\":true}");
    role_scenario_expect_no_intents(scenario->world);
}

/* ---- faults at a single request ---- */

int role_scenario_count_paused(const struct world *world)
{
    int n = 0;
    for (int i = 0; i < world->config.node_count; i++)
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

static bool is_cloud_post(const struct http_client_request *request)
{
    return request_is_to_cloud(request) && strcmp(request->method, "POST") == 0;
}

enum request_fault role_scenario_pause_at_point(struct world *world, int node,
                                                const struct http_client_request *request)
{
    struct role_scenario *scenario = role_scenario_of(world);
    const struct pause_point *pause_point = scenario->pause_point;
    scenario->cloud_requests[node] += is_cloud_post(request);
    if (!pause_point || scenario->pause_points_reached > pause_point->successor_too ||
        role_scenario_count_paused(world) >= MAX_PAUSED_NODES ||
        strcmp(request->path, pause_point->path) != 0 ||
        (pause_point->body_substring && !strstr(request->body, pause_point->body_substring)))
        return FAULT_NONE;
    scenario->pause_points_reached++;
    scenario->resume_at[node] = time_add_ms(loop_now(world->loop), pause_point->pause_ms);
    if (pause_point->pause_ms && pause_point->after_send)
        world->pause_after_send[node] = true;
    else if (pause_point->pause_ms)
        world_pause(world, node);
    return pause_point->fault;
}

/* ---- holders of roles ---- */

int role_scenario_get_holder(struct world *world, enum singleton_role role)
{
    int holder = -1;
    for (int i = 0; i < WORLD_NODES; i++)
        if (world->nodes[i] && role_manager_may_act(world->nodes[i]->role_manager, role)) {
            assert_int_equal(holder, -1);
            holder = i;
        }
    return holder;
}

uint64_t role_scenario_get_token(struct world *world, enum singleton_role role)
{
    return role_records_get(world->nodes[0]->replica->singleton_roles, role)->token.value;
}
