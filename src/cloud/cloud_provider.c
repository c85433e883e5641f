#include "cloud_provider_internal.h"

#include "log.h"

enum { CALL_TIMEOUT_MS = 4000 };

/* The part of the cloud's rate that calls use, and the burst in seconds' worth of it. */
static const double RATE_SHARE = 0.9, BURST_S = 1.5, BURST_MORE = 0.5;

/* ---- the intent log's view of the node ---- */

static revision get_map_revision(void *ctx)
{
    return ((struct cloud_provider *)ctx)->replica->shard_map_mod_revision;
}

static void await_replica_revision(void *ctx, revision at, role_await_callback done, void *arg)
{
    struct cloud_provider *cloud = ctx;
    if (at.value)
        replica_await_revision(cloud->replica, at, done, arg);
    else
        replica_read_barrier(cloud->replica, done, arg);
}

/* Intents take the place of run records: all that this node writes keeps within its share. */
static void on_intents_written(void *ctx, guint writes)
{
    shard_charge_writes(((struct cloud_provider *)ctx)->shard, writes);
}

static void on_intents_changed(void *ctx)
{
    cloud_provider_step(ctx);
}

/* The duty was gained: what earlier holders recorded and did not settle is done first. */
static void recover_open_intents(struct cloud_provider *cloud)
{
    intent_log_open(cloud->intents);
    GPtrArray *open = intent_log_list_open(cloud->intents);
    for (guint i = 0; i < open->len; i++) {
        const struct intent *intent = open->pdata[i];
        LOG_INFO("intent_taken_over", "what=%s name=%s",
                 intent->kind == INTENT_SCALE_OUT ? "rent" : "return", intent->name);
        if (intent->kind == INTENT_SCALE_OUT)
            scale_out_recover(cloud, intent);
        else
            scale_in_recover(cloud, intent);
    }
    g_ptr_array_unref(open);
    cloud_provider_step(cloud);
}

static void on_message(struct actor *self, const struct message *message)
{
    struct cloud_provider *cloud =
        (struct cloud_provider *)((char *)self - G_STRUCT_OFFSET(struct cloud_provider, actor));
    const struct role_change *change = message->body;
    if (message->kind != MSG_ROLE_CHANGE || change->role != ROLE_AUTOSCALER)
        return;
    /* What was queued under an earlier token is dropped, also if the duty has come back since. */
    intent_log_close(cloud->intents);
    cloud_provider_reset(cloud);
    if (change->is_gained && role_manager_holds(cloud->role_manager, ROLE_AUTOSCALER) &&
        role_manager_get_token(cloud->role_manager, ROLE_AUTOSCALER).value == change->token.value)
        recover_open_intents(cloud);
}

struct cloud_provider *cloud_provider_new(const struct fleet_setup *setup)
{
    struct cloud_provider *cloud = g_new0(struct cloud_provider, 1);
    cloud->loop = setup->loop;
    cloud->net = setup->net;
    cloud->kv = setup->store;
    cloud->replica = setup->view;
    cloud->membership = setup->members;
    cloud->role_manager = setup->duties;
    cloud->shard = setup->shard;
    cloud->settings = setup->settings;
    cloud->features = setup->features;
    cloud->listener = setup->listener;
    cloud->actor = (struct actor){"fleet", on_message};
    cloud->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    cloud->gone_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cloud->refused_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cloud->scale_in_requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    g_queue_init(&cloud->scale_out_requests);
    cloud->call_tokens = cloud->settings->cloud_requests_per_s;
    cloud->call_tokens_at = cloud->delays_logged_at = loop_now(cloud->loop);
    cloud->scale_out_delays = delay_histogram_new();
    cloud->scale_in_delays = delay_histogram_new();
    const struct intent_log_config log_setup = {.loop = setup->loop,
                                                .kv = setup->store,
                                                .role_manager = setup->duties,
                                                .records = setup->view->singleton_roles,
                                                .role = ROLE_AUTOSCALER,
                                                .guard_key = KEY_MAP,
                                                .ctx = cloud,
                                                .get_guard_revision = get_map_revision,
                                                .await_revision = await_replica_revision,
                                                .on_write = on_intents_written,
                                                .on_change = on_intents_changed};
    cloud->intents = intent_log_new(&log_setup);
    role_manager_add_listener(setup->duties, &cloud->actor);
    return cloud;
}

void cloud_provider_reset(struct cloud_provider *cloud)
{
    cloud->generation++;
    g_hash_table_remove_all(cloud->machines);
    g_hash_table_remove_all(cloud->refused_until);
    while (cloud->scale_out_requests.head)
        scale_out_request_free(g_queue_pop_head(&cloud->scale_out_requests));
    g_hash_table_remove_all(cloud->scale_in_requests);
    cloud->types_read_at = (mono_time){0};
    cloud->list_read_at = (mono_time){0};
    cloud->is_listed = cloud->list_call_in_flight = cloud->types_call_in_flight =
        cloud->scale_in_call_in_flight = false;
    g_clear_pointer(&cloud->list_cursor, g_free);
    g_clear_pointer(&cloud->listed_ids, g_hash_table_unref);
}

void cloud_provider_free(struct cloud_provider *cloud)
{
    cloud_provider_reset(cloud);
    intent_log_free(cloud->intents);
    if (cloud->types)
        g_array_unref(cloud->types);
    g_hash_table_unref(cloud->machines);
    g_hash_table_unref(cloud->gone_machines);
    g_hash_table_unref(cloud->refused_until);
    g_hash_table_unref(cloud->scale_in_requests);
    delay_histogram_free(cloud->scale_out_delays);
    delay_histogram_free(cloud->scale_in_delays);
    g_free(cloud);
}

/* ---- what is known ---- */

bool cloud_provider_is_listed(const struct cloud_provider *cloud)
{
    return cloud->is_listed;
}

GHashTable *cloud_provider_get_machines(struct cloud_provider *cloud)
{
    return cloud->machines;
}

const GArray *cloud_provider_get_types(const struct cloud_provider *cloud)
{
    return cloud->types;
}

char *cloud_offer_key(const char *type_name, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %d", type_name, zone, spot);
}

struct cloud_machine *cloud_machine_add(struct cloud_provider *cloud, machine_id id,
                                        const char *type_name, const char *zone, bool spot)
{
    struct cloud_machine *machine = g_new0(struct cloud_machine, 1);
    machine->id = id;
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->is_spot = spot;
    machine->stage = CLOUD_MACHINE_BOOTING;
    machine->requested_at = loop_now(cloud->loop);
    g_hash_table_replace(cloud->machines, machine->id.text, machine);
    return machine;
}

void cloud_provider_notify(struct cloud_provider *cloud)
{
    actor_send(cloud->loop, cloud->listener, MSG_CLOUD_PROVIDER, NULL, NULL);
}

/* ---- the right to act ---- */

bool cloud_provider_records_intents(const struct cloud_provider *cloud)
{
    return cloud->replica->singleton_roles_enabled;
}

bool cloud_provider_may_act(struct cloud_provider *cloud)
{
    if (!membership_is_leader(cloud->membership))
        return false;
    return !cloud_provider_records_intents(cloud) ||
           role_manager_may_act(cloud->role_manager, ROLE_AUTOSCALER);
}

void cloud_provider_pause_recording(struct cloud_provider *cloud, bool is_paused)
{
    cloud->recording_paused = is_paused;
}

bool cloud_provider_is_settled(const struct cloud_provider *cloud)
{
    return intent_log_is_empty(cloud->intents);
}

/* ---- calls ---- */

bool cloud_provider_may_call(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    double rate = cloud->settings->cloud_requests_per_s * RATE_SHARE;
    cloud->call_tokens =
        MIN(cloud->settings->cloud_requests_per_s * BURST_S + BURST_MORE,
            cloud->call_tokens + rate * (double)(now.us - cloud->call_tokens_at.us) / 1e6);
    cloud->call_tokens_at = now;
    return cloud->call_tokens >= 1;
}

void cloud_call_send(struct cloud_provider *cloud, const char *method, const char *path,
                     const char *body, http_response_callback done, struct cloud_call *call)
{
    cloud->call_tokens -= 1;
    struct http_client_request request = {
        cloud->settings->cloud_address, method,         path, body,
        body ? strlen(body) : 0,        CALL_TIMEOUT_MS};
    cloud->net->request(cloud->net, &request, done, call);
}

struct cloud_call *cloud_call_new(struct cloud_provider *cloud)
{
    struct cloud_call *call = g_new0(struct cloud_call, 1);
    call->cloud = cloud;
    call->generation = cloud->generation;
    return call;
}

static void log_delays(struct delay_histogram *delays, const char *what)
{
    if (!delay_histogram_count(delays))
        return;
    LOG_INFO("act_delays",
             "what=%s number=%" G_GUINT64_FORMAT " p50_ms=%.0f p90_ms=%.0f p99_ms=%.0f", what,
             delay_histogram_count(delays), delay_histogram_quantile(delays, 0.5),
             delay_histogram_quantile(delays, 0.9), delay_histogram_quantile(delays, 0.99));
    delay_histogram_clear(delays);
}

static void log_delays_when_due(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    if ((double)time_ms_since(now, cloud->delays_logged_at) <
        cloud->features->singleton_roles.delay_report_interval_s * 1000)
        return;
    cloud->delays_logged_at = now;
    log_delays(cloud->scale_out_delays, "rent");
    log_delays(cloud->scale_in_delays, "return");
}

void cloud_provider_step(struct cloud_provider *cloud)
{
    if (!cloud_provider_may_act(cloud))
        return;
    scale_in_step(cloud);
    machine_types_store(cloud);
    if (!cloud->types && machine_types_are_due(cloud) && !cloud->types_call_in_flight &&
        cloud_provider_may_call(cloud))
        machine_types_request(cloud);
    if (!cloud->is_listed && !cloud->list_call_in_flight && cloud_provider_may_call(cloud))
        machine_list_request(cloud);
    scale_out_step(cloud);
    int64_t every = (int64_t)(MAX(cloud->settings->cloud_list_lag_s, 4) * 1000);
    mono_time now = loop_now(cloud->loop);
    if (!cloud->list_call_in_flight &&
        (cloud->listed_ids || time_ms_since(now, cloud->list_read_at) > every) &&
        cloud_provider_may_call(cloud))
        machine_list_request(cloud);
    if (machine_types_are_due(cloud) && !cloud->types_call_in_flight &&
        cloud_provider_may_call(cloud))
        machine_types_request(cloud);
    log_delays_when_due(cloud);
}
