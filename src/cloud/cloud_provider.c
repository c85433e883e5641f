#include "cloud_provider_internal.h"

#include "log.h"

enum { CALL_TIMEOUT_MS = 4000 };

/* The part of the cloud's rate that calls use, and the burst in seconds' worth of it. */
static const double RATE_SHARE = 0.9, BURST_S = 1.5, BURST_MORE = 0.5;

/* ---- the intent log's view of the node ---- */

static revision map_version(void *ctx)
{
    return ((struct fleet *)ctx)->view->map_stamp;
}

static void await_view(void *ctx, revision at, duty_seen done, void *arg)
{
    struct fleet *fleet = ctx;
    if (at.v)
        view_await(fleet->view, at, done, arg);
    else
        view_barrier(fleet->view, done, arg);
}

/* Intents take the place of run records: all that this node writes keeps within its share. */
static void intents_wrote(void *ctx, guint writes)
{
    shard_charge_writes(((struct fleet *)ctx)->shard, writes);
}

static void intents_changed(void *ctx)
{
    fleet_step(ctx);
}

/* The duty was gained: what earlier holders recorded and did not settle is done first. */
static void take_over(struct fleet *fleet)
{
    intent_log_open(fleet->intents);
    GPtrArray *open = intent_log_all(fleet->intents);
    for (guint i = 0; i < open->len; i++) {
        const struct intent *intent = open->pdata[i];
        LOG_INFO("intent_taken_over", "what=%s name=%s",
                 intent->kind == INTENT_RENT ? "rent" : "return", intent->name);
        if (intent->kind == INTENT_RENT)
            fleet_rent_recover(fleet, intent);
        else
            fleet_return_recover(fleet, intent);
    }
    g_ptr_array_unref(open);
    fleet_step(fleet);
}

static void receive(struct actor *self, const struct message *message)
{
    struct fleet *fleet = (struct fleet *)((char *)self - G_STRUCT_OFFSET(struct fleet, actor));
    const struct duty_change *change = message->body;
    if (message->kind != MSG_DUTY || change->duty != DUTY_FLEET)
        return;
    /* What was queued under an earlier token is dropped, also if the duty has come back since. */
    intent_log_close(fleet->intents);
    fleet_reset(fleet);
    if (change->gained && duties_holds(fleet->duties, DUTY_FLEET) &&
        duties_token(fleet->duties, DUTY_FLEET).v == change->token.v)
        take_over(fleet);
}

struct fleet *fleet_new(const struct fleet_setup *setup)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->loop = setup->loop;
    fleet->net = setup->net;
    fleet->store = setup->store;
    fleet->view = setup->view;
    fleet->members = setup->members;
    fleet->duties = setup->duties;
    fleet->shard = setup->shard;
    fleet->settings = setup->settings;
    fleet->features = setup->features;
    fleet->listener = setup->listener;
    fleet->actor = (struct actor){"fleet", receive};
    fleet->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    fleet->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->returns = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    g_queue_init(&fleet->requests);
    fleet->level = fleet->settings->cloud_rps;
    fleet->level_at = fleet->delays_at = loop_now(fleet->loop);
    fleet->rent_delays = delay_histogram_new();
    fleet->return_delays = delay_histogram_new();
    const struct intent_log_setup log_setup = {.loop = setup->loop,
                                               .store = setup->store,
                                               .duties = setup->duties,
                                               .table = setup->view->duties,
                                               .duty = DUTY_FLEET,
                                               .condition_key = KEY_MAP,
                                               .ctx = fleet,
                                               .condition_stamp = map_version,
                                               .await = await_view,
                                               .wrote = intents_wrote,
                                               .changed = intents_changed};
    fleet->intents = intent_log_new(&log_setup);
    duties_listen(setup->duties, &fleet->actor);
    return fleet;
}

void fleet_reset(struct fleet *fleet)
{
    fleet->generation++;
    g_hash_table_remove_all(fleet->machines);
    g_hash_table_remove_all(fleet->refused);
    while (fleet->requests.head)
        fleet_request_free(g_queue_pop_head(&fleet->requests));
    g_hash_table_remove_all(fleet->returns);
    fleet->types_at = (mono_time){0};
    fleet->list_at = (mono_time){0};
    fleet->listed = fleet->list_out = fleet->types_out = fleet->return_out = false;
    g_clear_pointer(&fleet->list_from, g_free);
    g_clear_pointer(&fleet->list_seen, g_hash_table_unref);
}

void fleet_free(struct fleet *fleet)
{
    fleet_reset(fleet);
    intent_log_free(fleet->intents);
    if (fleet->types)
        g_array_unref(fleet->types);
    g_hash_table_unref(fleet->machines);
    g_hash_table_unref(fleet->gone);
    g_hash_table_unref(fleet->refused);
    g_hash_table_unref(fleet->returns);
    delay_histogram_free(fleet->rent_delays);
    delay_histogram_free(fleet->return_delays);
    g_free(fleet);
}

/* ---- what is known ---- */

bool fleet_listed(const struct fleet *fleet)
{
    return fleet->listed;
}

GHashTable *fleet_machines(struct fleet *fleet)
{
    return fleet->machines;
}

const GArray *fleet_types(const struct fleet *fleet)
{
    return fleet->types;
}

char *fleet_offer_key(const char *type_name, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %d", type_name, zone, spot);
}

struct fleet_machine *fleet_machine_make(struct fleet *fleet, host_id id, const char *type_name,
                                         const char *zone, bool spot)
{
    struct fleet_machine *machine = g_new0(struct fleet_machine, 1);
    machine->id = id;
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->stage = RENTAL_BOOTING;
    machine->rented = loop_now(fleet->loop);
    g_hash_table_replace(fleet->machines, machine->id.s, machine);
    return machine;
}

void fleet_tell(struct fleet *fleet)
{
    actor_send(fleet->loop, fleet->listener, MSG_FLEET, NULL, NULL);
}

/* ---- the right to act ---- */

bool fleet_records(const struct fleet *fleet)
{
    return fleet->view->duties_on;
}

bool fleet_may_act(struct fleet *fleet)
{
    if (!membership_leads(fleet->members))
        return false;
    return !fleet_records(fleet) || duties_may_act(fleet->duties, DUTY_FLEET);
}

void fleet_hold(struct fleet *fleet, bool hold)
{
    fleet->holding = hold;
}

bool fleet_settled(const struct fleet *fleet)
{
    return intent_log_empty(fleet->intents);
}

/* ---- calls ---- */

bool fleet_may_call(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    double rate = fleet->settings->cloud_rps * RATE_SHARE;
    fleet->level = MIN(fleet->settings->cloud_rps * BURST_S + BURST_MORE,
                       fleet->level + rate * (double)(now.us - fleet->level_at.us) / 1e6);
    fleet->level_at = now;
    return fleet->level >= 1;
}

void fleet_call(struct fleet *fleet, const char *method, const char *path, const char *body,
                net_done done, struct fleet_call *call)
{
    fleet->level -= 1;
    struct net_request request = {fleet->settings->cloud_addr, method,         path, body,
                                  body ? strlen(body) : 0,     CALL_TIMEOUT_MS};
    fleet->net->request(fleet->net, &request, done, call);
}

struct fleet_call *fleet_call_new(struct fleet *fleet)
{
    struct fleet_call *call = g_new0(struct fleet_call, 1);
    call->fleet = fleet;
    call->generation = fleet->generation;
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

static void report_delays(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    if ((double)time_ms_since(now, fleet->delays_at) < fleet->features->duties.report_s * 1000)
        return;
    fleet->delays_at = now;
    log_delays(fleet->rent_delays, "rent");
    log_delays(fleet->return_delays, "return");
}

void fleet_step(struct fleet *fleet)
{
    if (!fleet_may_act(fleet))
        return;
    fleet_return_step(fleet);
    fleet_types_store(fleet);
    if (!fleet->types && fleet_types_due(fleet) && !fleet->types_out && fleet_may_call(fleet))
        fleet_types_ask(fleet);
    if (!fleet->listed && !fleet->list_out && fleet_may_call(fleet))
        fleet_list_ask(fleet);
    fleet_rent_step(fleet);
    int64_t every = (int64_t)(MAX(fleet->settings->cloud_list_lag_s, 4) * 1000);
    mono_time now = loop_now(fleet->loop);
    if (!fleet->list_out && (fleet->list_seen || time_ms_since(now, fleet->list_at) > every) &&
        fleet_may_call(fleet))
        fleet_list_ask(fleet);
    if (fleet_types_due(fleet) && !fleet->types_out && fleet_may_call(fleet))
        fleet_types_ask(fleet);
    report_delays(fleet);
}
