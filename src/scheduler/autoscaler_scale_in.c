/** The decision which machines to return, and why. */
#include "autoscaler_scale_in.h"

#include "autoscaler.h"
#include "autoscaler_services.h"
#include "machine_health.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"

enum {
    /** A rented machine is given up after this many times its type's boot time, ... */
    BOOT_TIMEOUT_FACTOR = 3,
    /** ... and this much longer. */
    BOOT_TIMEOUT_MARGIN_MS = 10000,
    /** Boot time of a machine whose type is not known any more. */
    UNKNOWN_TYPE_BOOT_MS = 60000,
    /** After this many heartbeat intervals, all machines that are up have reported to their owner
     * in a new epoch. */
    REPORTING_HEARTBEATS = 3,
};

const char *scale_in_reason_name(enum scale_in_reason reason)
{
    static const char *const reason_names[] = {
        [SCALE_IN_REASON_IDLE] = "idle",
        [SCALE_IN_REASON_UNREACHABLE] = "unreachable",
        [SCALE_IN_REASON_QUARANTINED] = "quarantined",
        [SCALE_IN_REASON_RECLAIMED] = "reclaimed",
        [SCALE_IN_REASON_SLOW] = "slow",
        [SCALE_IN_REASON_FAILED] = "failed",
        [SCALE_IN_REASON_BOOT_TIMEOUT] = "boot_timeout",
    };
    return reason_names[reason];
}

static void add_decision(GArray *decisions, machine_id machine, enum scale_in_reason reason)
{
    struct scale_in_decision decision = {machine, reason};
    g_array_append_val(decisions, decision);
}

bool autoscaler_is_machine_idle(const struct ledger_machine *machine)
{
    const struct machine_usage *usage = &machine->usage;
    return !usage->allocated.cpus.milli && !usage->allocated.memory.milli &&
           !usage->dispatched.cpus.milli && !usage->dispatched.memory.milli &&
           !usage->reserved.cpus.milli && !usage->reserved.memory.milli &&
           !usage->is_wanted_by_gang;
}

/**
 * Whether an unreachable machine is to be returned. Spot machines are mostly gone by then, and a
 * return proves it at once. Others are mostly only cut off: their tasks go on running until the
 * machine's lease has expired.
 */
static bool is_lost(const struct ledger_machine *machine)
{
    return (machine->flags & MACHINE_UNREACHABLE) &&
           (machine->is_spot || (machine->flags & MACHINE_LEASE_EXPIRED));
}

/** Whether a machine that has reported is of no use; sets the reason if so. */
static bool is_unusable(struct leader *leader, const struct ledger_machine *machine,
                        enum scale_in_reason *reason)
{
    if (is_lost(machine)) {
        *reason = SCALE_IN_REASON_UNREACHABLE;
        return true;
    }
    /* On a quarantined machine only new tasks fail; services that run on it already are well. */
    if (!autoscaler_is_machine_idle(machine))
        return false;
    if (time_before(loop_now(leader->loop), machine->health.quarantined_until))
        *reason = SCALE_IN_REASON_QUARANTINED;
    else if (machine->flags & MACHINE_BEING_RECLAIMED)
        *reason = SCALE_IN_REASON_RECLAIMED;
    else if (machine_health_is_slow(leader, machine))
        *reason = SCALE_IN_REASON_SLOW;
    else
        return false;
    return true;
}

static void find_unusable_reported(struct leader *leader, GArray *decisions)
{
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        enum scale_in_reason reason;
        if (machine->is_reported && is_unusable(leader, machine, &reason))
            add_decision(decisions, machine->id, reason);
    }
}

/** Whether any owner has ever heard of the machine. */
static bool has_reported(struct leader *leader, machine_id id)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    return (machine && machine->is_reported && (machine->flags & MACHINE_REPORTED)) ||
           replica_get_machine(leader->replica, id.text);
}

/** Whether a rented machine should have reported long ago. */
static bool has_boot_timed_out(struct leader *leader, const struct cloud_machine *rented)
{
    mono_time now = loop_now(leader->loop);
    const struct machine_type *type =
        machine_type_find(scheduling_policy_machine_types(leader), rented->type_name);
    int64_t boot_ms = type ? (int64_t)(type->boot_time_s * 1000) : UNKNOWN_TYPE_BOOT_MS;
    int64_t reporting_ms =
        (int64_t)(leader->settings->heartbeat_interval_s * (REPORTING_HEARTBEATS * 1000));
    return time_ms_since(now, rented->requested_at) >
               boot_ms * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_MS &&
           time_ms_since(now, leader->epoch_began_at) > reporting_ms;
}

static void find_unusable_rented(struct leader *leader, GArray *decisions)
{
    GHashTableIter it;
    struct cloud_machine *rented;
    g_hash_table_iter_init(&it, cloud_provider_get_machines(leader->cloud));
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rented)) {
        if (rented->stage == CLOUD_MACHINE_FAILED)
            add_decision(decisions, rented->id, SCALE_IN_REASON_FAILED);
        else if (!has_reported(leader, rented->id) && has_boot_timed_out(leader, rented))
            add_decision(decisions, rented->id, SCALE_IN_REASON_BOOT_TIMEOUT);
    }
}

GArray *autoscaler_find_unusable(struct leader *leader)
{
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(struct scale_in_decision));
    find_unusable_reported(leader, decisions);
    find_unusable_rented(leader, decisions);
    return decisions;
}

/** Whether the machine takes tasks and has been idle for longer than operators want. */
static bool is_idle_timed_out(struct leader *leader, struct ledger_machine *machine)
{
    return placement_is_schedulable(leader, machine) && autoscaler_is_machine_idle(machine) &&
           (double)time_ms_since(loop_now(leader->loop), machine->idle_since) >=
               scheduling_policy_idle_timeout_ms(leader, machine);
}

GArray *autoscaler_find_idle(struct leader *leader)
{
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(struct scale_in_decision));
    double surplus_cpus =
        resources_cpus(autoscaler_total_free(leader)) - scheduling_policy_spare_cpus(leader);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        double cpus = resources_cpus(machine->capacity);
        if (!is_idle_timed_out(leader, machine) || cpus > surplus_cpus ||
            !autoscaler_release_service_capacity(leader, machine))
            continue;
        surplus_cpus -= cpus;
        add_decision(decisions, machine->id, SCALE_IN_REASON_IDLE);
    }
    return decisions;
}
