/**
 * @file
 * The state of the cloud client, the checks that decide whether it may call the cloud, and the
 * order in which it sends calls.
 */
#include "cloud_provider_internal.h"

#include "log.h"

/** The values of `action=` in log lines. */
static const char ACTION_SCALE_OUT[] = "scale_out", ACTION_SCALE_IN[] = "scale_in";

/* ---- callbacks of the intent log ---- */

static revision get_shard_map_revision(void *ctx)
{
    return ((struct cloud_provider *)ctx)->replica->shard_map_mod_revision;
}

static void await_replica_revision(void *ctx, revision revision_needed,
                                   role_revision_callback callback, void *callback_arg)
{
    struct cloud_provider *cloud = ctx;
    replica_await_revision_or_newest(cloud->replica, revision_needed, callback, callback_arg);
}

/** Charges writes of intents to the same limit as run records: the node's share of all writes. */
static void on_intents_written(void *ctx, guint write_count)
{
    shard_charge_writes(((struct cloud_provider *)ctx)->shard, write_count);
}

static void on_intents_changed(void *ctx)
{
    cloud_provider_step(ctx);
}

/* ---- changes of the autoscaler role ---- */

/** Resumes the intents that earlier holders of the role recorded and did not settle. */
static void recover_open_intents(struct cloud_provider *cloud)
{
    intent_log_open(cloud->intents);
    GPtrArray *open_intents = intent_log_list_unsettled(cloud->intents);
    for (guint i = 0; i < open_intents->len; i++) {
        const struct intent *intent = open_intents->pdata[i];
        bool is_scale_out = intent->kind == INTENT_SCALE_OUT;
        LOG_INFO("intent_recovered", "action=%s name=%s",
                 is_scale_out ? ACTION_SCALE_OUT : ACTION_SCALE_IN, intent->name);
        if (is_scale_out)
            scale_out_recover(cloud, intent);
        else
            scale_in_recover(cloud, intent);
    }
    g_ptr_array_unref(open_intents);
    cloud_provider_step(cloud);
}

static void on_message(struct actor *self, const struct message *message)
{
    struct cloud_provider *cloud = (struct cloud_provider *)self;
    const struct role_change *change = message->body;
    if (message->kind != MSG_ROLE_CHANGE || change->role != ROLE_AUTOSCALER)
        return;
    /* Drops what was queued under an earlier fencing token, even if this node has regained the
     * role since. */
    intent_log_close(cloud->intents);
    cloud_provider_reset(cloud);
    if (change->is_gained && role_manager_holds(cloud->role_manager, ROLE_AUTOSCALER) &&
        role_manager_get_token(cloud->role_manager, ROLE_AUTOSCALER).value == change->token.value)
        recover_open_intents(cloud);
}

/* ---- creation, reset and destruction ---- */

static struct intent_log *new_intent_log(struct cloud_provider *cloud)
{
    const struct intent_log_config config = {
        .loop = cloud->loop,
        .kv = cloud->kv,
        .role_manager = cloud->role_manager,
        .records = cloud->replica->singleton_roles,
        .role = ROLE_AUTOSCALER,
        .guard_key = KEY_SHARD_MAP,
        .ctx = cloud,
        .get_guard_revision = get_shard_map_revision,
        .await_revision = await_replica_revision,
        .on_write = on_intents_written,
        .on_change = on_intents_changed,
    };
    return intent_log_new(&config);
}

struct cloud_provider *cloud_provider_new(const struct cloud_provider_setup *setup)
{
    struct cloud_provider *cloud = g_new0(struct cloud_provider, 1);
    cloud->actor = (struct actor){"cloud_provider", on_message};
    cloud->loop = setup->loop;
    cloud->http_client = setup->http_client;
    cloud->kv = setup->kv;
    cloud->replica = setup->replica;
    cloud->membership = setup->membership;
    cloud->role_manager = setup->role_manager;
    cloud->shard = setup->shard;
    cloud->settings = setup->settings;
    cloud->features = setup->features;
    cloud->listener = setup->listener;
    cloud->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    cloud->returned_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cloud->offers_refused_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cloud->scale_in_requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    g_queue_init(&cloud->scale_out_requests);
    cloud_call_bucket_init(cloud);
    cloud->delays_logged_at = loop_now(cloud->loop);
    cloud->scale_out_delays = delay_histogram_new();
    cloud->scale_in_delays = delay_histogram_new();
    cloud->intents = new_intent_log(cloud);
    role_manager_add_listener(cloud->role_manager, &cloud->actor);
    return cloud;
}

void cloud_provider_reset(struct cloud_provider *cloud)
{
    cloud->generation++;
    g_hash_table_remove_all(cloud->machines);
    g_hash_table_remove_all(cloud->offers_refused_until);
    while (cloud->scale_out_requests.head)
        scale_out_request_free(g_queue_pop_head(&cloud->scale_out_requests));
    g_hash_table_remove_all(cloud->scale_in_requests);
    cloud->scale_in_call_in_flight = false;
    machine_list_reset(cloud);
    /* The types themselves are kept: they stay valid when the role moves to another node. */
    cloud->machine_types.read_at = (mono_time){0};
    cloud->machine_types.call_in_flight = false;
}

void cloud_provider_free(struct cloud_provider *cloud)
{
    cloud_provider_reset(cloud);
    intent_log_free(cloud->intents);
    if (cloud->machine_types.types)
        g_array_unref(cloud->machine_types.types);
    g_hash_table_unref(cloud->machines);
    g_hash_table_unref(cloud->returned_machines);
    g_hash_table_unref(cloud->offers_refused_until);
    g_hash_table_unref(cloud->scale_in_requests);
    delay_histogram_free(cloud->scale_out_delays);
    delay_histogram_free(cloud->scale_in_delays);
    g_free(cloud);
}

/* ---- state ---- */

bool cloud_provider_has_complete_list(const struct cloud_provider *cloud)
{
    return cloud->machine_list.is_complete;
}

GHashTable *cloud_provider_get_machines(struct cloud_provider *cloud)
{
    return cloud->machines;
}

const GArray *cloud_provider_get_types(const struct cloud_provider *cloud)
{
    return cloud->machine_types.types;
}

char *cloud_offer_key(const char *type_name, const char *zone, bool is_spot)
{
    return g_strdup_printf("%s %s %d", type_name, zone, is_spot);
}

struct cloud_machine *cloud_machine_add(struct cloud_provider *cloud, machine_id id,
                                        const char *type_name, const char *zone, bool is_spot)
{
    struct cloud_machine *machine = g_new0(struct cloud_machine, 1);
    machine->id = id;
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->is_spot = is_spot;
    machine->stage = CLOUD_MACHINE_BOOTING;
    machine->requested_at = loop_now(cloud->loop);
    g_hash_table_replace(cloud->machines, machine->id.text, machine);
    return machine;
}

void cloud_provider_notify(struct cloud_provider *cloud)
{
    actor_send(cloud->loop, cloud->listener, MSG_CLOUD_PROVIDER, NULL, NULL);
}

/* ---- permission to call the cloud ---- */

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

struct decision_basis cloud_provider_get_decision_basis(const struct cloud_provider *cloud)
{
    fencing_token token = role_manager_get_token(cloud->role_manager, ROLE_AUTOSCALER);
    return replica_get_decision_basis(cloud->replica, token.value);
}

void cloud_provider_pause_recording(struct cloud_provider *cloud, bool is_paused)
{
    cloud->recording_paused = is_paused;
}

bool cloud_provider_has_no_intents(const struct cloud_provider *cloud)
{
    return intent_log_is_empty(cloud->intents);
}

/* ---- logging of delays ---- */

/** Logs the delays measured since the previous log line, if any, and clears them. */
static void log_delays(struct delay_histogram *delays, const char *action)
{
    if (!delay_histogram_count(delays))
        return;
    LOG_INFO("cloud_request_delays",
             "action=%s count=%" G_GUINT64_FORMAT " p50_ms=%.0f p90_ms=%.0f p99_ms=%.0f", action,
             delay_histogram_count(delays), delay_histogram_quantile(delays, 0.5),
             delay_histogram_quantile(delays, 0.9), delay_histogram_quantile(delays, 0.99));
    delay_histogram_clear(delays);
}

static void log_delays_when_due(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    double interval_ms = cloud->features->singleton_roles.delay_report_interval_s * 1000;
    if ((double)time_ms_since(now, cloud->delays_logged_at) < interval_ms)
        return;
    cloud->delays_logged_at = now;
    log_delays(cloud->scale_out_delays, ACTION_SCALE_OUT);
    log_delays(cloud->scale_in_delays, ACTION_SCALE_IN);
}

/* ---- the order of calls ---- */

static void request_types_if_due(struct cloud_provider *cloud)
{
    if (machine_types_are_due(cloud) && cloud_provider_may_call(cloud))
        machine_types_request(cloud);
}

static void request_list_if_due(struct cloud_provider *cloud)
{
    if (machine_list_is_due(cloud) && cloud_provider_may_call(cloud))
        machine_list_request(cloud);
}

/**
 * The order decides which calls get the tokens of the call budget. Scale-ins come first. The
 * machine types and the machine list each come before scale-outs until they are known, as nothing
 * can be planned without them. After that they are only refreshed, and come last.
 */
void cloud_provider_step(struct cloud_provider *cloud)
{
    if (!cloud_provider_may_act(cloud))
        return;
    scale_in_step(cloud);
    machine_types_store(cloud);
    if (!cloud->machine_types.types)
        request_types_if_due(cloud);
    if (!cloud->machine_list.is_complete)
        request_list_if_due(cloud);
    scale_out_step(cloud);
    request_list_if_due(cloud);
    request_types_if_due(cloud);
    log_delays_when_due(cloud);
}
