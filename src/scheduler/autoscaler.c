/* When the leader rents and returns machines. */
#include "autoscaler_scale_in.h"
#include "autoscaler_scale_out.h"
#include "log.h"
#include "quota_ledger.h"
#include "shard.h"

enum { SCALE_MS = 500 };

/* One line that tells what the fleet holds and what it is used for, in processors. */
static void log_fleet(struct leader *leader)
{
    double total[2] = {0}, used[2] = {0}, idle[2] = {0}, coming[2] = {0};
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!host->told || !(host->flags & HOST_KNOWN))
            continue;
        total[host->spot] += (double)host->total.cpus.milli / 1000;
        used[host->spot] += (double)(host->booked.cpus.milli + host->dealt.cpus.milli) / 1000;
        idle[host->spot] += leader_host_idle(host) ? (double)host->total.cpus.milli / 1000 : 0;
    }
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct planned));
    leader_rooms_coming(leader, rooms);
    for (guint i = 0; i < rooms->len; i++) {
        struct planned *planned = &g_array_index(rooms, struct planned, i);
        coming[planned->spot] += (double)planned->free.cpus.milli / 1000;
    }
    g_array_unref(rooms);
    LOG_DEBUG("fleet",
              "ordinary=%.0f used=%.0f idle=%.0f coming=%.0f spot=%.0f used=%.0f idle=%.0f "
              "coming=%.0f peak=%.0f",
              total[0], used[0], idle[0], coming[0], total[1], used[1], idle[1], coming[1],
              leader->demand_peak);
}

void leader_scale(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    if (time_ms_since(now, leader->scaled_at) < SCALE_MS)
        return;
    double passed = leader->scaled_at.us ? (double)time_ms_since(now, leader->scaled_at) / 1000 : 1;
    leader->scaled_at = now;
    double used = leader_used_cpus(leader);
    leader->demand_peak =
        MAX(used, leader->demand_peak + (used - leader->demand_peak) * MIN(passed / 60, 1));
    if (log_debug_on())
        log_fleet(leader);
    leader_measure_slowdowns(leader);
    leader_rent_for_demand(leader);
    leader_return_machines(leader);
}
