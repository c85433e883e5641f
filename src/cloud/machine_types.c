/**
 * @file
 * Reads the list of machine types from the cloud, and stores it in the key-value store for the
 * other nodes, as only one node calls the cloud.
 *
 * A list that is too large for one value is split into parts. The first part has the key
 * KEY_MACHINE_TYPES; the others, the continuations, have the keys KEY_MACHINE_TYPES/1 and so on.
 * All parts are written in one transaction.
 */
#include "cloud_provider_internal.h"

#include "log.h"
#include "stored_fields.h"

enum {
    /** The delay between a valid response and the next request. */
    TYPES_REFRESH_INTERVAL_MS = 60000,
    /** The delay between a response that could not be used and the next request. */
    TYPES_RETRY_DELAY_MS = 1000,
    /** The minimum delay between two attempts to store the types. */
    TYPES_MIN_STORE_INTERVAL_MS = 1000,
    /**
     * Reserved in each part for the field with the number of continuations, which is added to the
     * first part after the split.
     */
    CONTINUATIONS_FIELD_BYTES = 32,
};

/* ---- storing ---- */

static bool type_matches_stored(const struct machine_type *stored,
                                const struct machine_type *current)
{
    return strcmp(stored->name, current->name) == 0 && stored->cpus.milli == current->cpus.milli &&
           stored->gpus.milli == current->gpus.milli &&
           stored->memory.milli == current->memory.milli &&
           g_strv_equal((const char *const *)stored->zones, (const char *const *)current->zones);
}

/**
 * Returns whether the stored list needs no update: its types have the current names, resources and
 * zones. Prices, boot times and image caches are not compared, as a change of these alone is not
 * worth a write. `stored` is NULL if the replica has no list.
 */
static bool types_match_stored(const GArray *stored, const GArray *current)
{
    if (!stored || stored->len != current->len)
        return false;
    for (guint i = 0; i < stored->len; i++)
        if (!type_matches_stored(&g_array_index(stored, struct machine_type, i),
                                 &g_array_index(current, struct machine_type, i)))
            return false;
    return true;
}

static void on_store_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct cloud_provider *cloud = arg;
    /* After any other outcome machine_types_store() tries again. */
    cloud->machine_types.is_stored = outcome->status == TXN_COMMITTED;
}

/**
 * Returns a new array of the types from `first_index` on, as many as fit into one stored value. It
 * is empty if not even the first one fits.
 */
static GArray *new_part_from(struct cloud_provider *cloud, guint first_index)
{
    const GArray *types = cloud->machine_types.types;
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize max_bytes = kv_client_limits(cloud->kv)->max_value_bytes - CONTINUATIONS_FIELD_BYTES;
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

/** The result of splitting the list into parts that fit into one stored value each. */
struct list_split {
    guint part_count;
    /**
     * The parts contain all types. False if there are no types, or if a type is too large for a
     * value; the parts must then not be stored.
     */
    bool is_complete;
};

/**
 * Splits the list and adds the writes of all parts to a transaction. The first part is added last:
 * it contains the number of continuations, which is known only then.
 */
static struct list_split put_all_parts(struct cloud_provider *cloud, struct txn *txn)
{
    struct list_split split = {.is_complete = true};
    json_object *first_value = NULL;
    guint types_in_parts = 0;
    do {
        GArray *part = new_part_from(cloud, types_in_parts);
        json_object *value = machine_types_encode(part);
        if (split.part_count == 0) {
            first_value = value;
        } else {
            char *key = g_strdup_printf(KEY_MACHINE_TYPES "/%u", split.part_count);
            txn_put(txn, key, value, (lease_id){0});
            g_free(key);
        }
        split.part_count++;
        types_in_parts += part->len;
        split.is_complete = part->len > 0;
        g_array_unref(part);
    } while (split.is_complete && types_in_parts < cloud->machine_types.types->len);
    if (split.part_count > 1)
        json_put_u64(first_value, MACHINE_TYPES_FIELD_CONTINUATIONS, split.part_count - 1);
    txn_put(txn, KEY_MACHINE_TYPES, first_value, (lease_id){0});
    return split;
}

/**
 * Returns whether the parts may be stored: the list is complete, one transaction can hold all
 * parts, and all nodes can read them. Nodes older than NODE_VERSION_JOB_DAG ignore continuations,
 * so a list with continuations is stored only once no such node is left.
 */
static bool may_store_parts(struct cloud_provider *cloud, const struct list_split *split)
{
    if (!split->is_complete ||
        (int)split->part_count > kv_client_limits(cloud->kv)->max_txn_operations)
        return false;
    return split->part_count == 1 ||
           membership_all_nodes_support(cloud->membership, NODE_VERSION_JOB_DAG);
}

/** Returns whether an attempt to store the types has to be made now, by this node. */
static bool store_is_due(struct cloud_provider *cloud)
{
    const struct machine_types_state *state = &cloud->machine_types;
    if (!state->types || state->is_stored ||
        types_match_stored(cloud->replica->machine_types, state->types) ||
        !cloud_provider_may_act(cloud))
        return false;
    return time_ms_since(loop_now(cloud->loop), state->stored_at) >= TYPES_MIN_STORE_INTERVAL_MS;
}

void machine_types_store(struct cloud_provider *cloud)
{
    if (!store_is_due(cloud))
        return;
    cloud->machine_types.stored_at = loop_now(cloud->loop);
    struct txn *txn = txn_new();
    /* The guard fails if this node has lost the role or, without singleton roles, is no longer the
     * leader. */
    if (cloud_provider_records_intents(cloud))
        role_manager_add_guard(cloud->role_manager, ROLE_AUTOSCALER, txn);
    else
        txn_compare(txn, KEY_LEADER, cloud->replica->leader_mod_revision);
    /* An earlier list that is written late must not replace this one. */
    txn_compare(txn, KEY_MACHINE_TYPES, cloud->replica->machine_types_mod_revision);
    const struct list_split split = put_all_parts(cloud, txn);
    if (!may_store_parts(cloud, &split)) {
        LOG_INFO("machine_types_not_stored", "types=%u parts=%u", cloud->machine_types.types->len,
                 split.part_count);
        txn_free(txn);
        return;
    }
    cloud->machine_types.is_stored = true;
    kv_client_commit(cloud->kv, KV_PRIORITY_NORMAL, txn, on_store_outcome, cloud);
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
        /* An earlier read time makes the next request due after TYPES_RETRY_DELAY_MS. */
        state->read_at = time_add_ms(state->read_at,
                                     -(int64_t)(TYPES_REFRESH_INTERVAL_MS - TYPES_RETRY_DELAY_MS));
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
    return !state->read_at.us || /* no response since the last reset */
           time_ms_since(loop_now(cloud->loop), state->read_at) > TYPES_REFRESH_INTERVAL_MS;
}

void machine_types_request(struct cloud_provider *cloud)
{
    cloud->machine_types.call_in_flight = true;
    cloud_call_send(cloud_call_new(cloud), "GET", CLOUD_PATH_MACHINE_TYPES, NULL,
                    on_types_response);
}
