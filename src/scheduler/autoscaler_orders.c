/** Sends the autoscaler's decisions to the cloud provider and to the owners of machines. */
#include "autoscaler_orders.h"

#include "autoscaler_scale_in.h"
#include "shard_dispatcher.h"

/** Limits the returned machines in one message to a shard; the next message lists the others. */
enum { MAX_RETURNED_PER_MESSAGE = 100 };

static void request_planned_machines(struct cloud_provider *cloud,
                                     const struct planned_machines *planned)
{
    const struct machine_offer *offer = &planned->offer;
    for (int remaining = planned->machine_count; remaining > 0;
         remaining -= MAX_MACHINES_PER_SCALE_OUT)
        cloud_provider_scale_out(cloud, offer->type->name, offer->zone, offer->is_spot,
                                 MIN(remaining, MAX_MACHINES_PER_SCALE_OUT));
}

void autoscaler_request_scale_out(struct cloud_provider *cloud, const struct scale_out_plan *plan)
{
    for (guint i = 0; i < plan->planned_machines->len; i++)
        request_planned_machines(
            cloud, &g_array_index(plan->planned_machines, struct planned_machines, i));
}

void autoscaler_request_scale_in(struct cloud_provider *cloud, const GArray *decisions)
{
    for (guint i = 0; i < decisions->len; i++) {
        const struct scale_in_decision *decision =
            &g_array_index(decisions, struct scale_in_decision, i);
        cloud_provider_scale_in(cloud, decision->machine, scale_in_reason_name(decision->reason));
    }
}

/** Returns whether the machine's owner may not know yet that the machine was returned. */
static bool may_be_known_to_owner(struct leader *leader, const struct ledger_machine *machine)
{
    return machine->is_reported || replica_get_machine(leader->replica, machine->id.text);
}

static void notify_owner(struct leader *leader, struct ledger_machine *machine)
{
    const char *owner = shard_map_get_owner(leader->replica, machine->id.text);
    if (!owner || !may_be_known_to_owner(leader, machine))
        return;
    struct shard_channel *channel = shard_dispatcher_ensure_channel(leader, owner);
    if (channel->returned && cJSON_GetArraySize(channel->returned) > MAX_RETURNED_PER_MESSAGE)
        return;
    shard_dispatcher_append(&channel->returned, cJSON_CreateString(machine->id.text));
    machine->is_reported = false;
}

void autoscaler_notify_owners_of_returns(struct leader *leader)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (cloud_provider_is_returned(leader->cloud, machine->id.text))
            notify_owner(leader, machine);
}
