/**
 * @file
 * Scale-in: returns rented machines to the cloud.
 *
 * With singleton roles, the machine's owner cordons it, the intent to return it is recorded, the
 * request is sent, and the intent is settled once the owner knows that the machine was returned.
 */
#include "cloud_provider_internal.h"

#include "log.h"

enum {
    MAX_MACHINES_PER_SCALE_IN = 100,
    /** The limit of cloud_provider_list_to_cordon() and cloud_provider_list_to_announce(). */
    MAX_MACHINES_PER_LISTING = 500,
};

bool cloud_provider_is_returned(const struct cloud_provider *cloud, const char *id)
{
    return g_hash_table_contains(cloud->returned_machines, id);
}

bool cloud_provider_is_scaling_in(const struct cloud_provider *cloud, const char *id)
{
    return (g_hash_table_size(cloud->scale_in_requests) &&
            g_hash_table_contains(cloud->scale_in_requests, id)) ||
           role_records_is_scaling_in(cloud->replica->singleton_roles, id);
}

static struct scale_in_request *add_request(struct cloud_provider *cloud, machine_id id,
                                            enum scale_in_phase phase)
{
    struct scale_in_request *request = g_new0(struct scale_in_request, 1);
    request->id = id;
    request->phase = phase;
    request->decided_at = loop_now(cloud->loop);
    g_hash_table_replace(cloud->scale_in_requests, request->id.text, request);
    return request;
}

void cloud_provider_scale_in(struct cloud_provider *cloud, machine_id id, const char *reason)
{
    if (cloud_provider_is_returned(cloud, id.text) ||
        g_hash_table_contains(cloud->scale_in_requests, id.text))
        return;
    LOG_INFO("scale_in_requested", "machine=%s reason=%s", id.text, reason);
    add_request(cloud, id,
                cloud_provider_records_intents(cloud) ? SCALE_IN_AWAITING_CORDON : SCALE_IN_READY);
}

void scale_in_recover(struct cloud_provider *cloud, const struct intent *intent)
{
    machine_id id;
    /* The earlier holder may have sent the request, so its delay is not measured. */
    if (machine_id_parse(&id, intent->name))
        add_request(cloud, id, SCALE_IN_READY)->send_state = CLOUD_UNANSWERED;
}

/* ---- notices to the machines' owners ---- */

static GPtrArray *list_machines_in_phase(struct cloud_provider *cloud, enum scale_in_phase phase)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    struct scale_in_request *request;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (ids->len < MAX_MACHINES_PER_LISTING &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&request))
        if (request->phase == phase)
            g_ptr_array_add(ids, g_strdup(request->id.text));
    return ids;
}

GPtrArray *cloud_provider_list_to_cordon(struct cloud_provider *cloud)
{
    /* Requests are dropped when this node gains the role. A machine cordoned before that for a
     * dropped request would stay cordoned, and never count as idle. */
    return role_manager_holds(cloud->role_manager, ROLE_AUTOSCALER)
               ? list_machines_in_phase(cloud, SCALE_IN_AWAITING_CORDON)
               : g_ptr_array_new_with_free_func(g_free);
}

void cloud_provider_mark_cordoned(struct cloud_provider *cloud, const char *id, epoch_no epoch)
{
    struct scale_in_request *request = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (!request || request->phase != SCALE_IN_AWAITING_CORDON)
        return;
    request->phase = SCALE_IN_CORDONED;
    request->cordoned_in_epoch = epoch;
}

GPtrArray *cloud_provider_list_to_announce(struct cloud_provider *cloud)
{
    return list_machines_in_phase(cloud, SCALE_IN_CONFIRMED);
}

/**
 * The intent stays recorded until the owner knows of the return. A new epoch uncordons machines
 * without a recorded intent, and the owner would place tasks on a machine that no longer exists.
 */
void cloud_provider_mark_announced(struct cloud_provider *cloud, const char *id)
{
    const struct scale_in_request *request = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (!request || request->phase != SCALE_IN_CONFIRMED)
        return;
    intent_log_settle(cloud->intents, INTENT_SCALE_IN, id);
    g_hash_table_remove(cloud->scale_in_requests, id);
}

/* ---- recording of intents ---- */

/**
 * Queues the intent to return a machine. A machine that was cordoned in an earlier epoch may have a
 * new owner that does not know of the cordon. The intent therefore depends on the revision of the
 * shard map, and cannot be recorded after the map has changed.
 */
static void record_intent(struct cloud_provider *cloud, struct scale_in_request *request)
{
    struct intent intent = {.kind = INTENT_SCALE_IN};
    g_strlcpy(intent.name, request->id.text, sizeof intent.name);
    intent_log_add(cloud->intents, &intent, cloud->replica->shard_map_mod_revision);
    request->phase = SCALE_IN_RECORDING;
}

/**
 * Returns whether a scale-in without a recorded intent must start over: it began before singleton
 * roles were enabled, its intent was dropped because the shard map changed, or the epoch in which
 * the machine was cordoned has ended.
 */
static bool must_start_over(const struct cloud_provider *cloud,
                            const struct scale_in_request *request, enum intent_state state)
{
    switch (request->phase) {
    case SCALE_IN_READY:
        return true;
    case SCALE_IN_RECORDING:
        return state == INTENT_UNKNOWN;
    case SCALE_IN_CORDONED:
        return request->cordoned_in_epoch.value != cloud->replica->shard_map_epoch.value;
    default:
        return false;
    }
}

/** Moves a request that is not in flight to the phase that the state of its intent allows. */
static void advance_with_intent(struct cloud_provider *cloud, struct scale_in_request *request)
{
    if (request->phase == SCALE_IN_CONFIRMED)
        return;
    enum intent_state state =
        intent_log_get_state(cloud->intents, INTENT_SCALE_IN, request->id.text);
    if (state == INTENT_RECORDED)
        request->phase = SCALE_IN_READY;
    else if (must_start_over(cloud, request, state))
        request->phase = SCALE_IN_AWAITING_CORDON;
    else if (request->phase == SCALE_IN_CORDONED && !cloud->recording_paused)
        record_intent(cloud, request);
}

/** Advances all requests, and returns whether any of them may be sent. */
static bool advance_all(struct cloud_provider *cloud)
{
    GHashTableIter it;
    struct scale_in_request *request;
    bool any_is_ready = false;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&request)) {
        if (!cloud_provider_records_intents(cloud)) {
            if (request->phase != SCALE_IN_CONFIRMED)
                request->phase = SCALE_IN_READY;
        } else if (request->send_state != CLOUD_IN_FLIGHT) {
            advance_with_intent(cloud, request);
        }
        any_is_ready = any_is_ready || request->phase == SCALE_IN_READY;
    }
    return any_is_ready;
}

/* ---- responses ---- */

static void remove_machine(struct cloud_provider *cloud, const char *id)
{
    struct cloud_machine *machine = g_hash_table_lookup(cloud->machines, id);
    if (!machine)
        return;
    /* The cloud now has capacity for one more machine of this offer. */
    char *offer = cloud_offer_key(machine->type_name, machine->zone, machine->is_spot);
    g_hash_table_remove(cloud->offers_refused_until, offer);
    g_free(offer);
    g_hash_table_remove(cloud->machines, id);
}

static void finish_request(struct cloud_provider *cloud, const char *id)
{
    remove_machine(cloud, id);
    struct scale_in_request *request = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (request && cloud_provider_records_intents(cloud))
        request->phase = SCALE_IN_CONFIRMED;
    else
        g_hash_table_remove(cloud->scale_in_requests, id);
}

/** Handles a response that arrives in the generation in which the call was sent. */
static void handle_response(struct cloud_provider *cloud, const GPtrArray *ids, bool is_confirmed)
{
    for (guint i = 0; i < ids->len; i++) {
        struct scale_in_request *request =
            g_hash_table_lookup(cloud->scale_in_requests, ids->pdata[i]);
        if (request)
            request->send_state = CLOUD_UNANSWERED;
        if (is_confirmed)
            finish_request(cloud, ids->pdata[i]);
    }
    cloud->scale_in_call_in_flight = false;
    cloud->scale_in_not_before =
        time_add_ms(loop_now(cloud->loop), is_confirmed ? 0 : CLOUD_RETRY_MS);
    cloud_provider_notify(cloud);
}

static void on_scale_in_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    bool is_confirmed = response->status == HTTP_STATUS_OK;
    for (guint i = 0; is_confirmed && i < call->ids->len; i++)
        g_hash_table_add(cloud->returned_machines, g_strdup(call->ids->pdata[i]));
    if (cloud_call_is_current(call))
        handle_response(cloud, call->ids, is_confirmed);
    g_ptr_array_unref(call->ids);
    g_free(call);
}

/* ---- sending ---- */

static void add_to_call(struct cloud_provider *cloud, struct cloud_call *call, GArray *machines,
                        struct scale_in_request *request)
{
    mono_time now = loop_now(cloud->loop);
    if (request->send_state == CLOUD_NOT_SENT)
        delay_histogram_add(cloud->scale_in_delays,
                            (double)(now.us - request->decided_at.us) / 1000);
    request->send_state = CLOUD_IN_FLIGHT;
    struct decision_basis basis = cloud_provider_get_decision_basis(cloud);
    decision_log_record(DECISION_SCALE_IN, &basis, "machine=%s cordoned_in=%" G_GUINT64_FORMAT,
                        request->id.text, request->cordoned_in_epoch.value);
    g_array_append_val(machines, request->id);
    g_ptr_array_add(call->ids, g_strdup(request->id.text));
}

static void send_scale_in(struct cloud_provider *cloud)
{
    struct cloud_call *call = cloud_call_new(cloud);
    call->ids = g_ptr_array_new_with_free_func(g_free);
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(machine_id));
    GHashTableIter it;
    struct scale_in_request *request;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (machines->len < MAX_MACHINES_PER_SCALE_IN &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&request))
        if (request->phase == SCALE_IN_READY)
            add_to_call(cloud, call, machines, request);
    char *body = scale_in_request_encode((machine_id *)machines->data, machines->len);
    g_array_unref(machines);
    cloud->scale_in_call_in_flight = true;
    cloud_call_send(call, "POST", CLOUD_PATH_SCALE_IN, body, on_scale_in_response);
    g_free(body);
}

void scale_in_step(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    if (advance_all(cloud) && !cloud->scale_in_call_in_flight &&
        !time_before(now, cloud->scale_in_not_before) && cloud_provider_may_call(cloud))
        send_scale_in(cloud);
}
