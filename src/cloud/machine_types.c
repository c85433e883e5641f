/* Machine types: asked of the cloud, and stored for the nodes that do not ask. */
#include "cloud_provider_internal.h"

#include "log.h"

enum {
    TYPES_MS = 60000,
    VALUE_BYTES = 32, /* of a part of the types besides these */
    STORE_EVERY_MS = 1000,
};

static bool same_types(const GArray *a, const GArray *b)
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

static void types_stored(void *arg, const struct txn_outcome *outcome)
{
    struct fleet *fleet = arg;
    fleet->types_written = outcome->result == TXN_DONE;
}

/* So many of the types, from one on, as one value takes. */
static GArray *types_part(struct fleet *fleet, guint from)
{
    GArray *part = g_array_new(FALSE, FALSE, sizeof(struct machine_type));
    gsize most = store_limits(fleet->store)->value_bytes - VALUE_BYTES;
    for (guint i = from; i < fleet->types->len; i++) {
        g_array_append_val(part, g_array_index(fleet->types, struct machine_type, i));
        json_object *value = codec_types_write(part);
        bool fits = value_size(value) <= most;
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
void fleet_types_store(struct fleet *fleet)
{
    mono_time now = loop_now(fleet->loop);
    if (!fleet->types || fleet->types_written || same_types(fleet->view->types, fleet->types) ||
        !fleet_may_act(fleet) || time_ms_since(now, fleet->store_at) < STORE_EVERY_MS)
        return;
    fleet->store_at = now;
    struct txn *txn = txn_new();
    if (fleet_records(fleet))
        duties_guard(fleet->duties, DUTY_FLEET, txn);
    else
        txn_when(txn, KEY_LEADER, fleet->view->leader_stamp);
    json_object *first = NULL;
    guint parts = 0, at = 0;
    do {
        GArray *part = types_part(fleet, at);
        json_object *value = codec_types_write(part);
        at += part->len;
        char *key = g_strdup_printf(KEY_TYPES "/%u", parts);
        if (!parts++)
            first = value;
        else
            txn_set(txn, key, value, (lease_id){0});
        g_free(key);
        if (!part->len)
            at = fleet->types->len + 1; /* one that no value takes */
        g_array_unref(part);
    } while (at < fleet->types->len);
    if (parts > 1)
        json_put_u64(first, "more", parts - 1);
    txn_set(txn, KEY_TYPES, first, (lease_id){0});
    if (at > fleet->types->len || (int)parts > store_limits(fleet->store)->txn_ops ||
        (parts > 1 && !membership_all_understand(fleet->members, NODE_VERSION_PIPELINES))) {
        LOG_INFO("types_not_stored", "types=%u parts=%u", fleet->types->len, parts);
        txn_free(txn);
        return;
    }
    fleet->types_written = true;
    store_txn(fleet->store, LANE_NORMAL, txn, types_stored, fleet);
}

static void types_answered(void *arg, const struct net_answer *answer)
{
    struct fleet_call *call = arg;
    struct fleet *fleet = call->fleet;
    bool mine = call->generation == fleet->generation;
    g_free(call);
    if (!mine)
        return;
    fleet->types_out = false;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    GArray *types = codec_types_read(object);
    json_object_put(object);
    fleet->types_at = loop_now(fleet->loop);
    if (!types) {
        fleet->types_at.us -= (TYPES_MS - 1000) * 1000LL;
        return;
    }
    if (fleet->types)
        g_array_unref(fleet->types);
    fleet->types = types;
    fleet->types_written = false;
    fleet_types_store(fleet);
    fleet_tell(fleet);
}

bool fleet_types_due(const struct fleet *fleet)
{
    return !fleet->types_at.us || time_ms_since(loop_now(fleet->loop), fleet->types_at) > TYPES_MS;
}

void fleet_types_ask(struct fleet *fleet)
{
    fleet->types_out = true;
    fleet_call(fleet, "GET", "/machine_types", NULL, types_answered, fleet_call_new(fleet));
}
