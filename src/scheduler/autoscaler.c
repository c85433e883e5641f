/**
 * Runs the autoscaler periodically: measures the load, decides which machines to rent and to
 * return, and sends the decisions to the cloud provider.
 */
#include "autoscaler.h"

#include "autoscaler_orders.h"
#include "autoscaler_scale_in.h"
#include "autoscaler_scale_out.h"
#include "autoscaler_services.h"
#include "log.h"
#include "machine_health.h"
#include "scheduling_policy.h"
#include "shard.h"

enum { SCALE_INTERVAL_MS = 500 };

/** Time constant of the decay of the peak of used CPUs. */
static const double PEAK_DECAY_S = 60;

/** CPUs of all spot machines or of all on-demand machines, for the log. */
struct capacity_summary {
    double total;
    double used;
    double idle;
    double pending;
};

static void add_machine_to_summary(struct capacity_summary *summary,
                                   const struct ledger_machine *machine)
{
    double cpus = resources_cpus(machine->capacity);
    summary->total += cpus;
    summary->used += resources_cpus(machine->usage.allocated);
    summary->used += resources_cpus(machine->usage.dispatched);
    summary->idle += autoscaler_is_machine_idle(machine) ? cpus : 0;
}

static void log_capacity_summary(struct leader *leader)
{
    struct capacity_summary on_demand = {0};
    struct capacity_summary spot = {0};
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine))
        if (machine->is_reported && (machine->flags & MACHINE_REPORTED))
            add_machine_to_summary(machine->is_spot ? &spot : &on_demand, machine);
    GArray *pending = pending_capacity_list(leader);
    for (guint i = 0; i < pending->len; i++) {
        const struct pending_capacity *capacity =
            &g_array_index(pending, struct pending_capacity, i);
        (capacity->is_spot ? &spot : &on_demand)->pending += resources_cpus(capacity->available);
    }
    g_array_unref(pending);
    LOG_DEBUG("capacity",
              "on_demand_cpus=%.0f on_demand_used=%.0f on_demand_idle=%.0f "
              "on_demand_pending=%.0f spot_cpus=%.0f spot_used=%.0f spot_idle=%.0f "
              "spot_pending=%.0f peak_cpus=%.0f",
              on_demand.total, on_demand.used, on_demand.idle, on_demand.pending, spot.total,
              spot.used, spot.idle, spot.pending, leader->autoscaler.peak_cpus);
}

/** Raises the peak to the CPUs in use, or lets it decay exponentially towards them. */
static void update_peak_cpus(struct leader *leader, double elapsed_s)
{
    double used_cpus = scheduling_policy_used_cpus(leader);
    double peak_cpus = leader->autoscaler.peak_cpus;
    leader->autoscaler.peak_cpus =
        MAX(used_cpus, peak_cpus + (used_cpus - peak_cpus) * MIN(elapsed_s / PEAK_DECAY_S, 1));
}

static void scale_out(struct leader *leader)
{
    autoscaler_update_service_statistics(leader);
    if (!scheduling_policy_machine_types(leader) ||
        !cloud_provider_has_complete_list(leader->cloud))
        return;
    /* Each run replaces the plan of the previous one. The cloud limits the rate of calls, so
     * outdated requests would delay the ones that are needed now. */
    cloud_provider_drop_unsent(leader->cloud);
    struct scale_out_plan *plan = autoscaler_plan_scale_out(leader);
    autoscaler_request_scale_out(leader->cloud, plan);
    scale_out_plan_free(plan);
}

static void scale_in(struct leader *leader)
{
    GArray *unusable = autoscaler_find_unusable(leader);
    autoscaler_request_scale_in(leader->cloud, unusable);
    g_array_unref(unusable);
    /* Idle machines are determined only now: the requests above exclude the unusable machines from
     * the free resources, which determine how many idle machines can be spared. */
    GArray *idle = autoscaler_find_idle(leader);
    autoscaler_request_scale_in(leader->cloud, idle);
    g_array_unref(idle);
    autoscaler_notify_owners_of_returns(leader);
}

void autoscaler_run(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    mono_time last_run_at = leader->autoscaler.last_run_at;
    int64_t elapsed_ms = time_ms_since(now, last_run_at);
    if (elapsed_ms < SCALE_INTERVAL_MS)
        return;
    leader->autoscaler.last_run_at = now;
    update_peak_cpus(leader, last_run_at.us ? (double)elapsed_ms / 1000 : 1);
    if (log_debug_enabled())
        log_capacity_summary(leader);
    machine_health_update_median_slowdown(leader);
    scale_out(leader);
    scale_in(leader);
}
