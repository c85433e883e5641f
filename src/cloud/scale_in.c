/* Returns of machines. */
#include "cloud_provider_internal.h"

#include "log.h"

enum {
    MAX_MACHINES_PER_SCALE_IN = 100, /* by one request */
    MAX_MACHINES_PER_NOTICE = 500,   /* to owners at a time */
};

bool cloud_provider_is_gone(const struct cloud_provider *cloud, const char *id)
{
    return g_hash_table_contains(cloud->gone_machines, id);
}

bool cloud_provider_is_scaling_in(const struct cloud_provider *cloud, const char *id)
{
    return (g_hash_table_size(cloud->scale_in_requests) &&
            g_hash_table_contains(cloud->scale_in_requests, id)) ||
           role_records_is_scaling_in(cloud->replica->singleton_roles, id);
}

static struct scale_in_request *scale_in_request_add(struct cloud_provider *cloud, machine_id id,
                                                     enum scale_in_phase phase)
{
    struct scale_in_request *entry = g_new0(struct scale_in_request, 1);
    entry->id = id;
    entry->phase = phase;
    entry->decided_at = loop_now(cloud->loop);
    g_hash_table_replace(cloud->scale_in_requests, entry->id.text, entry);
    return entry;
}

void cloud_provider_scale_in(struct cloud_provider *cloud, machine_id id, const char *why)
{
    if (cloud_provider_is_gone(cloud, id.text) ||
        g_hash_table_contains(cloud->scale_in_requests, id.text))
        return;
    LOG_INFO("return", "machine=%s why=%s", id.text, why);
    scale_in_request_add(cloud, id,
                         cloud_provider_records_intents(cloud) ? SCALE_IN_WANTED : SCALE_IN_READY);
}

void scale_in_recover(struct cloud_provider *cloud, const struct intent *intent)
{
    machine_id id;
    if (machine_id_parse(&id, intent->name))
        scale_in_request_add(cloud, id, SCALE_IN_READY)->was_sent = true; /* perhaps */
}

/* ---- closing ---- */

static GPtrArray *list_machines_in_phase(struct cloud_provider *cloud, enum scale_in_phase phase)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    struct scale_in_request *entry;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (names->len < MAX_MACHINES_PER_NOTICE &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (entry->phase == phase)
            g_ptr_array_add(names, g_strdup(entry->id.text));
    return names;
}

GPtrArray *cloud_provider_list_to_cordon(struct cloud_provider *cloud)
{
    /* What was decided before the duty was gained is forgotten then. A machine that was closed for
     * it would stay closed, and never be idle. */
    return role_manager_holds(cloud->role_manager, ROLE_AUTOSCALER)
               ? list_machines_in_phase(cloud, SCALE_IN_WANTED)
               : g_ptr_array_new_with_free_func(g_free);
}

GPtrArray *cloud_provider_list_to_announce(struct cloud_provider *cloud)
{
    return list_machines_in_phase(cloud, SCALE_IN_CONFIRMED);
}

void cloud_provider_note_cordoned(struct cloud_provider *cloud, const char *id, epoch_no epoch)
{
    struct scale_in_request *entry = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (!entry || entry->phase != SCALE_IN_WANTED)
        return;
    entry->phase = SCALE_IN_CORDONED;
    entry->cordoned_in = epoch;
}

/* ---- recording ---- */

/* A machine that was closed in an earlier epoch may have an owner by now who does not know of it.
 * The intent is conditioned on the map, so that it cannot be recorded later either. */
static void record_scale_in(struct cloud_provider *cloud, struct scale_in_request *entry)
{
    struct intent intent = {.kind = INTENT_SCALE_IN};
    g_strlcpy(intent.name, entry->id.text, sizeof intent.name);
    intent_log_add(cloud->intents, &intent, cloud->replica->shard_map_mod_revision);
    entry->phase = SCALE_IN_RECORDING;
}

/* Whether a return has to begin anew: it was sent before duties were on, its intent was dropped as
 * the map has changed, or the epoch in which it was closed is over. */
static bool is_void(const struct cloud_provider *cloud, const struct scale_in_request *entry,
                    enum intent_state state)
{
    switch (entry->phase) {
    case SCALE_IN_READY:
        return true;
    case SCALE_IN_RECORDING:
        return state == INTENT_UNKNOWN;
    case SCALE_IN_CORDONED:
        return entry->cordoned_in.value != cloud->replica->shard_map_epoch.value;
    default:
        return false;
    }
}

static void advance_scale_in(struct cloud_provider *cloud, struct scale_in_request *entry)
{
    if (entry->phase == SCALE_IN_CONFIRMED)
        return;
    enum intent_state state = intent_log_get_state(cloud->intents, INTENT_SCALE_IN, entry->id.text);
    if (state == INTENT_RECORDED)
        entry->phase = SCALE_IN_READY;
    else if (is_void(cloud, entry, state))
        entry->phase = SCALE_IN_WANTED;
    else if (entry->phase == SCALE_IN_CORDONED && !cloud->recording_paused)
        record_scale_in(cloud, entry);
}

/* ---- sending ---- */

static void finish_scale_in(struct cloud_provider *cloud, const char *id, bool mine)
{
    g_hash_table_add(cloud->gone_machines, g_strdup(id));
    if (!mine)
        return;
    struct cloud_machine *machine = g_hash_table_lookup(cloud->machines, id);
    if (machine) {
        /* There is room for another of its kind. */
        char *key = cloud_offer_key(machine->type_name, machine->zone, machine->is_spot);
        g_hash_table_remove(cloud->refused_until, key);
        g_free(key);
        g_hash_table_remove(cloud->machines, id);
    }
    struct scale_in_request *entry = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (entry && cloud_provider_records_intents(cloud))
        entry->phase = SCALE_IN_CONFIRMED;
    else
        g_hash_table_remove(cloud->scale_in_requests, id);
}

/* The intent stays on record until then: the owner would go on placing tasks on a machine that is
 * no more once a new epoch has opened what was closed. */
void cloud_provider_note_announced(struct cloud_provider *cloud, const char *id)
{
    const struct scale_in_request *entry = g_hash_table_lookup(cloud->scale_in_requests, id);
    if (!entry || entry->phase != SCALE_IN_CONFIRMED)
        return;
    intent_log_settle(cloud->intents, INTENT_SCALE_IN, id);
    g_hash_table_remove(cloud->scale_in_requests, id);
}

static void on_scale_in_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    bool mine = call->generation == cloud->generation, done = response->status == HTTP_STATUS_OK;
    for (guint i = 0; i < call->ids->len; i++) {
        const char *id = call->ids->pdata[i];
        struct scale_in_request *entry =
            mine ? g_hash_table_lookup(cloud->scale_in_requests, id) : NULL;
        if (entry)
            entry->is_in_flight = false;
        if (done)
            finish_scale_in(cloud, id, mine);
    }
    if (mine) {
        cloud->scale_in_call_in_flight = false;
        cloud->scale_in_not_before = time_add_ms(loop_now(cloud->loop), done ? 0 : CLOUD_RETRY_MS);
        cloud_provider_notify(cloud);
    }
    g_ptr_array_unref(call->ids);
    g_free(call);
}

static void add_to_call(struct cloud_provider *cloud, struct cloud_call *call, GArray *hosts,
                        struct scale_in_request *entry)
{
    mono_time now = loop_now(cloud->loop);
    if (!entry->was_sent)
        delay_histogram_add(cloud->scale_in_delays, (double)(now.us - entry->decided_at.us) / 1000);
    entry->is_in_flight = entry->was_sent = true;
    g_array_append_val(hosts, entry->id);
    g_ptr_array_add(call->ids, g_strdup(entry->id.text));
}

static void send_scale_in(struct cloud_provider *cloud)
{
    struct cloud_call *call = cloud_call_new(cloud);
    call->ids = g_ptr_array_new_with_free_func(g_free);
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(machine_id));
    GHashTableIter it;
    struct scale_in_request *entry;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (hosts->len < MAX_MACHINES_PER_SCALE_IN &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (entry->phase == SCALE_IN_READY)
            add_to_call(cloud, call, hosts, entry);
    char *body = scale_in_request_encode((machine_id *)hosts->data, hosts->len);
    g_array_unref(hosts);
    cloud->scale_in_call_in_flight = true;
    cloud_call_send(cloud, "POST", "/rentals/return", body, on_scale_in_response, call);
    g_free(body);
}

static bool advance_all_scale_ins(struct cloud_provider *cloud)
{
    GHashTableIter it;
    struct scale_in_request *entry;
    bool ready = false;
    g_hash_table_iter_init(&it, cloud->scale_in_requests);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        if (cloud_provider_records_intents(cloud) && !entry->is_in_flight)
            advance_scale_in(cloud, entry);
        else if (!cloud_provider_records_intents(cloud) && entry->phase != SCALE_IN_CONFIRMED)
            entry->phase = SCALE_IN_READY;
        ready = ready || entry->phase == SCALE_IN_READY;
    }
    return ready;
}

void scale_in_step(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    if (advance_all_scale_ins(cloud) && !cloud->scale_in_call_in_flight &&
        !time_before(now, cloud->scale_in_not_before) && cloud_provider_may_call(cloud))
        send_scale_in(cloud);
}
