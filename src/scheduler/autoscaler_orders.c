/** Carries out the autoscaler's decisions. */
#include "autoscaler_orders.h"

#include "autoscaler_scale_in.h"
#include "shard_dispatcher.h"

/** Bounds the list of departed machines in one message to a shard; the rest follows later. */
enum { MAX_DEPARTED_PER_MESSAGE = 100 };

static void order_planned_machines(struct cloud_provider *cloud,
                                   const struct planned_machines *planned)
{
    const struct machine_offer *offer = &planned->offer;
    for (int remaining = planned->machine_count; remaining > 0;
         remaining -= MAX_MACHINES_PER_SCALE_OUT)
        cloud_provider_scale_out(cloud, offer->type->name, offer->zone, offer->is_spot,
                                 MIN(remaining, MAX_MACHINES_PER_SCALE_OUT));
}

void autoscaler_order_scale_out(struct cloud_provider *cloud, const struct scale_out_plan *plan)
{
    for (guint i = 0; i < plan->offers->len; i++)
        order_planned_machines(cloud, &g_array_index(plan->offers, struct planned_machines, i));
}

void autoscaler_order_scale_in(struct cloud_provider *cloud, const GArray *decisions)
{
    for (guint i = 0; i < decisions->len; i++) {
        const struct scale_in_decision *decision =
            &g_array_index(decisions, struct scale_in_decision, i);
        cloud_provider_scale_in(cloud, decision->machine, scale_in_reason_name(decision->reason));
    }
}

/** Whether the machine's owner may still believe that it exists. */
static bool is_known_to_owner(struct leader *leader, const struct ledger_machine *machine)
{
    return machine->is_reported || replica_get_machine(leader->replica, machine->id.text);
}

static void announce_to_owner(struct leader *leader, struct ledger_machine *machine)
{
    const char *owner = shard_map_get_owner(leader->replica, machine->id.text);
    if (!owner || !is_known_to_owner(leader, machine))
        return;
    struct shard_channel *channel = shard_dispatcher_channel(leader, owner);
    if (channel->departed && cJSON_GetArraySize(channel->departed) > MAX_DEPARTED_PER_MESSAGE)
        return;
    shard_dispatcher_append(&channel->departed, cJSON_CreateString(machine->id.text));
    machine->is_reported = false;
}

void autoscaler_announce_departed(struct leader *leader)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (cloud_provider_is_returned(leader->cloud, machine->id.text))
            announce_to_owner(leader, machine);
}
