/* Machine types: asked of the cloud, and stored for the nodes that do not ask. */
#include "cloud_provider_internal.h"

#include "log.h"

enum {
    TYPES_REFRESH_INTERVAL_MS = 60000,
    VALUE_BYTES = 32, /* of a part of the types besides these */
    TYPES_STORE_INTERVAL_MS = 1000,
};

static bool types_are_equal(const GArray *a, const GArray *b)
{
    if (!a || a->len != b->len)
        return false;
    for (guint i = 0; i < a->len; i++) {
        const struct machine_type *x = &g_array_index(a, struct machine_type, i);
        const struct machine_type *y = &g_array_index(b, struct machine_type, i);
        if (strcmp(x->name, y->name) != 0 || x->cpus.milli != y->cpus.milli ||
            x->gpus.milli != y->gpus.milli || x->memory.milli != y->memory.milli ||
            !g_strv_equal((const char *const *)x->zones, (const char *const *)y->zones))
            return false;
    }
    return true;
}

static void on_types_stored(void *arg, const struct txn_outcome *outcome)
{
    struct cloud_provider *cloud = arg;
    cloud->types_are_stored = outcome->status == TXN_COMMITTED;
}

/* So many of the types, from one on, as one value takes. */
static GArray *take_types_part(struct cloud_provider *cloud, guint from)
{
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize most = kv_client_limits(cloud->kv)->max_value_bytes - VALUE_BYTES;
    for (guint i = from; i < cloud->types->len; i++) {
        g_array_append_val(part, g_array_index(cloud->types, struct machine_type, i));
        json_object *value = machine_types_encode(part);
        bool fits = kv_value_size_bytes(value) <= most;
        json_object_put(value);
        if (!fits) {
            g_array_set_size(part, part->len - 1);
            break;
        }
    }
    return part;
}

/* Nodes that do not lead learn the types from the state service. A list that is too long for one
 * value is written in parts, which nodes of version 0 do not know of. */
void machine_types_store(struct cloud_provider *cloud)
{
    mono_time now = loop_now(cloud->loop);
    if (!cloud->types || cloud->types_are_stored ||
        types_are_equal(cloud->replica->machine_types, cloud->types) ||
        !cloud_provider_may_act(cloud) ||
        time_ms_since(now, cloud->types_stored_at) < TYPES_STORE_INTERVAL_MS)
        return;
    cloud->types_stored_at = now;
    struct txn *txn = txn_new();
    if (cloud_provider_records_intents(cloud))
        role_manager_add_guard(cloud->role_manager, ROLE_AUTOSCALER, txn);
    else
        txn_compare(txn, KEY_LEADER, cloud->replica->leader_mod_revision);
    json_object *first = NULL;
    guint parts = 0, at = 0;
    do {
        GArray *part = take_types_part(cloud, at);
        json_object *value = machine_types_encode(part);
        at += part->len;
        char *key = g_strdup_printf(KEY_TYPES "/%u", parts);
        if (!parts++)
            first = value;
        else
            txn_put(txn, key, value, (lease_id){0});
        g_free(key);
        if (!part->len)
            at = cloud->types->len + 1; /* one that no value takes */
        g_array_unref(part);
    } while (at < cloud->types->len);
    if (parts > 1)
        json_put_u64(first, "more", parts - 1);
    txn_put(txn, KEY_TYPES, first, (lease_id){0});
    if (at > cloud->types->len || (int)parts > kv_client_limits(cloud->kv)->max_txn_operations ||
        (parts > 1 && !membership_all_nodes_support(cloud->membership, NODE_VERSION_JOB_DAG))) {
        LOG_INFO("types_not_stored", "types=%u parts=%u", cloud->types->len, parts);
        txn_free(txn);
        return;
    }
    cloud->types_are_stored = true;
    kv_client_commit(cloud->kv, KV_LANE_NORMAL, txn, on_types_stored, cloud);
}

static void on_types_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    bool mine = call->generation == cloud->generation;
    g_free(call);
    if (!mine)
        return;
    cloud->types_call_in_flight = false;
    json_object *object = response->status == HTTP_STATUS_OK
                              ? json_parse(response->body, response->body_bytes)
                              : NULL;
    GArray *types = machine_types_decode(object);
    json_object_put(object);
    cloud->types_read_at = loop_now(cloud->loop);
    if (!types) {
        cloud->types_read_at.us -= (TYPES_REFRESH_INTERVAL_MS - 1000) * 1000LL;
        return;
    }
    if (cloud->types)
        g_array_unref(cloud->types);
    cloud->types = types;
    cloud->types_are_stored = false;
    machine_types_store(cloud);
    cloud_provider_notify(cloud);
}

bool machine_types_are_due(const struct cloud_provider *cloud)
{
    return !cloud->types_read_at.us ||
           time_ms_since(loop_now(cloud->loop), cloud->types_read_at) > TYPES_REFRESH_INTERVAL_MS;
}

void machine_types_request(struct cloud_provider *cloud)
{
    cloud->types_call_in_flight = true;
    cloud_call_send(cloud, "GET", "/machine_types", NULL, on_types_response, cloud_call_new(cloud));
}
