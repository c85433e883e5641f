#include "autoscaler_scale_in.h"

#include "autoscaler.h"
#include "autoscaler_scale_out.h"
#include "machine_health.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"
#include "shard_dispatcher.h"

bool autoscaler_is_machine_idle(const struct ledger_machine *machine)
{
    return !machine->usage.allocated.cpus.milli && !machine->usage.allocated.memory.milli &&
           !machine->usage.dispatched.cpus.milli && !machine->usage.dispatched.memory.milli &&
           !machine->usage.reserved.cpus.milli && !machine->usage.reserved.memory.milli &&
           !machine->usage.is_wanted_by_gang;
}

/* Whether the next services would miss the machine. */
static bool is_kept_for_services(struct leader *leader, struct ledger_machine *machine)
{
    if (machine->is_spot || !leader->autoscaler.has_services || machine->zone_index < 0)
        return false;
    int64_t service_tasks =
        resources_fit_count(resources_remaining(machine->capacity, machine->usage.services),
                            leader->autoscaler.mean_service_request);
    if (leader->autoscaler.service_shortfall_tasks[machine->zone_index] + service_tasks > 0)
        return true;
    leader->autoscaler.service_shortfall_tasks[machine->zone_index] += service_tasks;
    return false;
}

static void return_idle(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    double spare_cpus = (double)autoscaler_total_free(leader).cpus.milli / 1000 -
                        scheduling_policy_spare_cpus(leader);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        double cpus = (double)machine->capacity.cpus.milli / 1000;
        if (!placement_is_schedulable(leader, machine) || !autoscaler_is_machine_idle(machine) ||
            (double)time_ms_since(now, machine->idle_since) <
                scheduling_policy_idle_timeout_ms(leader, machine) ||
            cpus > spare_cpus || is_kept_for_services(leader, machine))
            continue;
        spare_cpus -= cpus;
        cloud_provider_scale_in(leader->cloud, machine->id, "idle");
    }
}

/* Machines that are no use: silent, taken back, never up, failed, sick. */
static void return_unusable(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        if (!machine->is_reported)
            continue;
        /* Spot machines that fall silent are mostly gone, and a return proves it at once. Others
         * are mostly only cut off: their tasks go on, until the lease is the proof. */
        if ((machine->flags & MACHINE_UNREACHABLE) &&
            (machine->is_spot || (machine->flags & MACHINE_LEASE_EXPIRED)))
            cloud_provider_scale_in(leader->cloud, machine->id, "lost");
        /* What fails is what starts there; services that run on it already are well. */
        else if (time_before(now, machine->health.quarantined_until) &&
                 autoscaler_is_machine_idle(machine))
            cloud_provider_scale_in(leader->cloud, machine->id, "sick");
        else if ((machine->flags & MACHINE_RECLAIMED) && autoscaler_is_machine_idle(machine))
            cloud_provider_scale_in(leader->cloud, machine->id, "reclaimed");
        else if (machine_health_is_slow(leader, machine) && autoscaler_is_machine_idle(machine))
            cloud_provider_scale_in(leader->cloud, machine->id, "slow");
    }
    struct cloud_machine *rental;
    g_hash_table_iter_init(&it, cloud_provider_get_machines(leader->cloud));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rental)) {
        const struct machine_type *type =
            machine_type_find(scheduling_policy_machine_types(leader), rental->type_name);
        int64_t age_ms = time_ms_since(now, rental->requested_at);
        int64_t boot_ms = type ? (int64_t)(type->boot_time_s * 1000) : 60000;
        machine = quota_ledger_find_machine(leader, rental->id.text);
        bool is_up = machine && machine->is_reported && (machine->flags & MACHINE_KNOWN);
        if (rental->stage == CLOUD_MACHINE_FAILED)
            cloud_provider_scale_in(leader->cloud, rental->id, "failed");
        else if (!is_up && !replica_get_machine(leader->replica, rental->id.text) &&
                 age_ms > boot_ms * 3 + 10000 &&
                 time_ms_since(now, leader->epoch_began_at) >
                     (int64_t)(leader->settings->heartbeat_interval_s * 3000))
            cloud_provider_scale_in(leader->cloud, rental->id, "never up");
    }
}

static void announce_departed(struct leader *leader)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        if (!cloud_provider_is_gone(leader->cloud, machine->id.text))
            continue;
        const char *owner = shard_map_get_owner(leader->replica, machine->id.text);
        if (owner &&
            (machine->is_reported || replica_get_machine(leader->replica, machine->id.text))) {
            struct shard_channel *channel = shard_dispatcher_channel(leader, owner);
            if (channel->departed && cJSON_GetArraySize(channel->departed) > 100)
                continue;
            shard_dispatcher_append(&channel->departed, cJSON_CreateString(machine->id.text));
            machine->is_reported = false;
        }
    }
}

void autoscaler_scale_in(struct leader *leader)
{
    return_unusable(leader);
    return_idle(leader);
    announce_departed(leader);
}
