#include "autoscaler_scale_in.h"

#include "autoscaler_scale_out.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard.h"

bool leader_host_idle(const struct leader_host *host)
{
    return !host->booked.cpus.milli && !host->booked.memory.milli && !host->dealt.cpus.milli &&
           !host->dealt.memory.milli && !host->held.cpus.milli && !host->held.memory.milli &&
           !host->wanted;
}

/* Whether the next services would miss the machine. */
static bool kept_for_services(struct leader *leader, struct leader_host *host)
{
    if (host->spot || !leader->services || host->zone_index < 0)
        return false;
    int64_t holds = room_times(room_left(host->total, host->pinned), leader->service_usual);
    if (leader->service_lack[host->zone_index] + holds > 0)
        return true;
    leader->service_lack[host->zone_index] += holds;
    return false;
}

static void return_idle(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    double spare =
        (double)leader_free_everywhere(leader).cpus.milli / 1000 - leader_spare_cpus(leader);
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        double cpus = (double)host->total.cpus.milli / 1000;
        if (!leader_host_takes(leader, host) || !leader_host_idle(host) ||
            (double)time_ms_since(now, host->idle_since) < leader_idle_ms(leader, host) ||
            cpus > spare || kept_for_services(leader, host))
            continue;
        spare -= cpus;
        fleet_return(leader->fleet, host->id, "idle");
    }
}

/* Machines that are no use: silent, taken back, never up, failed, sick. */
static void return_useless(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!host->told)
            continue;
        /* Spot machines that fall silent are mostly gone, and a return proves it at once. Others
         * are mostly only cut off: their tasks go on, until the lease is the proof. */
        if ((host->flags & HOST_LOST) && (host->spot || (host->flags & HOST_LAPSED)))
            fleet_return(leader->fleet, host->id, "lost");
        /* What fails is what starts there; services that run on it already are well. */
        else if (time_before(now, host->sick_until) && leader_host_idle(host))
            fleet_return(leader->fleet, host->id, "sick");
        else if ((host->flags & HOST_RECLAIMED) && leader_host_idle(host))
            fleet_return(leader->fleet, host->id, "reclaimed");
        else if (leader_host_slow(leader, host) && leader_host_idle(host))
            fleet_return(leader->fleet, host->id, "slow");
    }
    struct fleet_machine *machine;
    g_hash_table_iter_init(&it, fleet_machines(leader->fleet));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        const struct machine_type *type = type_named(leader_types_now(leader), machine->type_name);
        int64_t age = time_ms_since(now, machine->rented);
        int64_t boot = type ? (int64_t)(type->boot_s * 1000) : 60000;
        host = leader_host_get(leader, machine->id.s);
        bool up = host && host->told && (host->flags & HOST_KNOWN);
        if (machine->stage == RENTAL_FAILED)
            fleet_return(leader->fleet, machine->id, "failed");
        else if (!up && !view_host(leader->view, machine->id.s) && age > boot * 3 + 10000 &&
                 time_ms_since(now, leader->epoch_at) >
                     (int64_t)(leader->settings->report_s * 3000))
            fleet_return(leader->fleet, machine->id, "never up");
    }
}

static void tell_gone(struct leader *leader)
{
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!fleet_gone(leader->fleet, host->id.s))
            continue;
        const char *owner = map_owner(leader->view, host->id.s);
        if (owner && (host->told || view_host(leader->view, host->id.s))) {
            struct leader_shard *shard = leader_shard_get(leader, owner);
            if (shard->gone && cJSON_GetArraySize(shard->gone) > 100)
                continue;
            leader_shard_add(&shard->gone, cJSON_CreateString(host->id.s));
            host->told = false;
        }
    }
}

void leader_return_machines(struct leader *leader)
{
    return_useless(leader);
    return_idle(leader);
    tell_gone(leader);
}
