/* When the leader rents and returns machines. */
#include "autoscaler.h"

#include "autoscaler_scale_in.h"
#include "autoscaler_scale_out.h"
#include "log.h"
#include "machine_health.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"

enum { SCALE_INTERVAL_MS = 500 };

/* One line that tells what the fleet holds and what it is used for, in processors. */
static void log_capacity(struct leader *leader)
{
    double total[2] = {0}, used[2] = {0}, idle[2] = {0}, pending_cpus[2] = {0};
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        if (!machine->is_reported || !(machine->flags & MACHINE_KNOWN))
            continue;
        total[machine->is_spot] += (double)machine->capacity.cpus.milli / 1000;
        used[machine->is_spot] +=
            (double)(machine->usage.allocated.cpus.milli + machine->usage.dispatched.cpus.milli) /
            1000;
        idle[machine->is_spot] +=
            autoscaler_is_machine_idle(machine) ? (double)machine->capacity.cpus.milli / 1000 : 0;
    }
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct pending_capacity));
    autoscaler_list_pending_capacity(leader, pending);
    for (guint i = 0; i < pending->len; i++) {
        struct pending_capacity *capacity = &g_array_index(pending, struct pending_capacity, i);
        pending_cpus[capacity->is_spot] += (double)capacity->available.cpus.milli / 1000;
    }
    g_array_unref(pending);
    LOG_DEBUG("fleet",
              "ordinary=%.0f used=%.0f idle=%.0f coming=%.0f spot=%.0f used=%.0f idle=%.0f "
              "coming=%.0f peak=%.0f",
              total[0], used[0], idle[0], pending_cpus[0], total[1], used[1], idle[1],
              pending_cpus[1], leader->autoscaler.peak_cpus);
}

void autoscaler_run(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    if (time_ms_since(now, leader->autoscaler.last_run_at) < SCALE_INTERVAL_MS)
        return;
    double elapsed_s = leader->autoscaler.last_run_at.us
                           ? (double)time_ms_since(now, leader->autoscaler.last_run_at) / 1000
                           : 1;
    leader->autoscaler.last_run_at = now;
    double used_cpus = scheduling_policy_used_cpus(leader);
    leader->autoscaler.peak_cpus =
        MAX(used_cpus, leader->autoscaler.peak_cpus +
                           (used_cpus - leader->autoscaler.peak_cpus) * MIN(elapsed_s / 60, 1));
    if (log_debug_enabled())
        log_capacity(leader);
    machine_health_update_median_slowdown(leader);
    autoscaler_scale_out(leader);
    autoscaler_scale_in(leader);
}
