/**
 * @file
 * Reads the machine types from the cloud, and stores them for the nodes that do not call it.
 */
#include "cloud_provider_internal.h"

#include "log.h"
#include "stored_fields.h"

enum {
    TYPES_REFRESH_INTERVAL_MS = 60000,
    /** The delay between a response that could not be used and the next request. */
    TYPES_RETRY_MS = 1000,
    TYPES_STORE_INTERVAL_MS = 1000,
    /** The bytes of a stored value that are reserved for its content other than the types. */
    VALUE_OVERHEAD_BYTES = 32,
};

/* ---- storing ---- */

static bool type_is_equal(const struct machine_type *left, const struct machine_type *right)
{
    return strcmp(left->name, right->name) == 0 && left->cpus.milli == right->cpus.milli &&
           left->gpus.milli == right->gpus.milli && left->memory.milli == right->memory.milli &&
           g_strv_equal((const char *const *)left->zones, (const char *const *)right->zones);
}

/**
 * Compares the fields that are worth a write. Prices, boot times and image caches are left out: a
 * change of these alone is not stored.
 */
static bool types_are_equal(const GArray *left, const GArray *right)
{
    if (!left || left->len != right->len)
        return false;
    for (guint i = 0; i < left->len; i++)
        if (!type_is_equal(&g_array_index(left, struct machine_type, i),
                           &g_array_index(right, struct machine_type, i)))
            return false;
    return true;
}

static void on_types_stored(void *arg, const struct txn_outcome *outcome)
{
    struct cloud_provider *cloud = arg;
    cloud->machine_types.is_stored = outcome->status == TXN_COMMITTED;
}

/** Returns a new array of the types from `first_index` on, as many as fit into one stored value. */
static GArray *new_types_part(struct cloud_provider *cloud, guint first_index)
{
    const GArray *types = cloud->machine_types.types;
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize max_bytes = kv_client_limits(cloud->kv)->max_value_bytes - VALUE_OVERHEAD_BYTES;
    for (guint i = first_index; i < types->len; i++) {
        g_array_append_val(part, g_array_index(types, struct machine_type, i));
        json_object *value = machine_types_encode(part);
        bool fits = kv_value_size_bytes(value) <= max_bytes;
        json_object_put(value);
        if (!fits) {
            g_array_set_size(part, part->len - 1);
            break;
        }
    }
    return part;
}

/** The result of splitting the machine types into parts, each stored under its own key. */
struct types_parts {
    guint count;
    /** False: there are no types, or one of them is too large for a value. */
    bool is_complete;
};

/**
 * Adds the writes of all parts to a transaction: the continuations, and then the first part, which
 * holds their number if there are any.
 */
static struct types_parts put_types_parts(struct cloud_provider *cloud, struct txn *txn)
{
    struct types_parts parts = {.is_complete = true};
    json_object *first_value = NULL;
    guint type_count = 0;
    do {
        GArray *part = new_types_part(cloud, type_count);
        json_object *value = machine_types_encode(part);
        if (parts.count == 0) {
            first_value = value;
        } else {
            char *key = g_strdup_printf(KEY_MACHINE_TYPES "/%u", parts.count);
            txn_put(txn, key, value, (lease_id){0});
            g_free(key);
        }
        parts.count++;
        type_count += part->len;
        parts.is_complete = part->len > 0;
        g_array_unref(part);
    } while (parts.is_complete && type_count < cloud->machine_types.types->len);
    if (parts.count > 1)
        json_put_u64(first_value, MACHINE_TYPES_FIELD_CONTINUATIONS, parts.count - 1);
    txn_put(txn, KEY_MACHINE_TYPES, first_value, (lease_id){0});
    return parts;
}

/**
 * Returns whether the parts can be stored. Nodes older than NODE_VERSION_JOB_DAG read the first
 * part only, so several parts are stored only once no such node is left.
 */
static bool can_store_parts(struct cloud_provider *cloud, const struct types_parts *parts)
{
    if (!parts->is_complete || (int)parts->count > kv_client_limits(cloud->kv)->max_txn_operations)
        return false;
    return parts->count == 1 ||
           membership_all_nodes_support(cloud->membership, NODE_VERSION_JOB_DAG);
}

static bool store_is_due(struct cloud_provider *cloud)
{
    const struct machine_types_state *state = &cloud->machine_types;
    if (!state->types || state->is_stored ||
        types_are_equal(cloud->replica->machine_types, state->types) ||
        !cloud_provider_may_act(cloud))
        return false;
    return time_ms_since(loop_now(cloud->loop), state->stored_at) >= TYPES_STORE_INTERVAL_MS;
}

void machine_types_store(struct cloud_provider *cloud)
{
    if (!store_is_due(cloud))
        return;
    cloud->machine_types.stored_at = loop_now(cloud->loop);
    struct txn *txn = txn_new();
    if (cloud_provider_records_intents(cloud))
        role_manager_add_guard(cloud->role_manager, ROLE_AUTOSCALER, txn);
    else
        txn_compare(txn, KEY_LEADER, cloud->replica->leader_mod_revision);
    const struct types_parts parts = put_types_parts(cloud, txn);
    if (!can_store_parts(cloud, &parts)) {
        LOG_INFO("machine_types_not_stored", "types=%u parts=%u", cloud->machine_types.types->len,
                 parts.count);
        txn_free(txn);
        return;
    }
    cloud->machine_types.is_stored = true;
    kv_client_commit(cloud->kv, KV_PRIORITY_NORMAL, txn, on_types_stored, cloud);
}

/* ---- reading ---- */

static void on_types_response(void *arg, const struct http_response *response)
{
    struct cloud_call *call = arg;
    struct cloud_provider *cloud = call->cloud;
    struct machine_types_state *state = &cloud->machine_types;
    bool is_current = cloud_call_is_current(call);
    g_free(call);
    if (!is_current)
        return;
    state->call_in_flight = false;
    json_object *body = cloud_response_parse(response);
    GArray *types = machine_types_decode(body);
    json_object_put(body);
    state->read_at = loop_now(cloud->loop);
    if (!types) {
        state->read_at =
            time_add_ms(state->read_at, -(int64_t)(TYPES_REFRESH_INTERVAL_MS - TYPES_RETRY_MS));
        return;
    }
    if (state->types)
        g_array_unref(state->types);
    state->types = types;
    state->is_stored = false;
    machine_types_store(cloud);
    cloud_provider_notify(cloud);
}

bool machine_types_are_due(const struct cloud_provider *cloud)
{
    const struct machine_types_state *state = &cloud->machine_types;
    if (state->call_in_flight)
        return false;
    return !state->read_at.us ||
           time_ms_since(loop_now(cloud->loop), state->read_at) > TYPES_REFRESH_INTERVAL_MS;
}

void machine_types_request(struct cloud_provider *cloud)
{
    cloud->machine_types.call_in_flight = true;
    cloud_call_send(cloud_call_new(cloud), "GET", CLOUD_PATH_MACHINE_TYPES, NULL,
                    on_types_response);
}
