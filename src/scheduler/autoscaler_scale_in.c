/** Finds the machines to return: unusable machines, and idle ones that are not needed. */
#include "autoscaler_scale_in.h"

#include "autoscaler.h"
#include "autoscaler_services.h"
#include "machine_health.h"
#include "placement.h"
#include "quota_ledger.h"
#include "scheduling_policy.h"
#include "shard.h"

enum {
    /** The boot timeout is this multiple of the machine type's boot time, plus a margin. */
    BOOT_TIMEOUT_FACTOR = 3,
    /** The margin that is added to the boot timeout. */
    BOOT_TIMEOUT_MARGIN_MS = 10000,
    /** The boot time that is assumed for a machine type that is no longer known. */
    DEFAULT_BOOT_TIME_MS = 60000,
    /** Heartbeat intervals within which all live machines report to their owners in a new epoch. */
    EPOCH_REPORTING_HEARTBEATS = 3,
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
 * Returns whether the machine is unreachable and should be returned. An unreachable spot machine
 * usually does not exist any more, and returning it proves that at once. An unreachable on-demand
 * machine is usually only partitioned from the cluster: its tasks keep running until its lease
 * expires.
 */
static bool must_return_unreachable(const struct ledger_machine *machine)
{
    return (machine->flags & MACHINE_UNREACHABLE) &&
           (machine->is_spot || (machine->flags & MACHINE_LEASE_EXPIRED));
}

/** Returns whether a machine that has reported is unusable, and sets the reason if it is. */
static bool find_unusable_reason(struct leader *leader, const struct ledger_machine *machine,
                                 enum scale_in_reason *reason)
{
    if (must_return_unreachable(machine)) {
        *reason = SCALE_IN_REASON_UNREACHABLE;
        return true;
    }
    /* A quarantined machine fails new tasks, while services already running on it are healthy. */
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
        if (machine->is_reported && find_unusable_reason(leader, machine, &reason))
            add_decision(decisions, machine->id, reason);
    }
}

/** Returns whether the machine has ever reported to an owner. */
static bool has_reported(struct leader *leader, machine_id id)
{
    const struct ledger_machine *machine = quota_ledger_find_machine(leader, id.text);
    return (machine && machine->is_reported && (machine->flags & MACHINE_REPORTED)) ||
           replica_get_machine(leader->replica, id.text);
}

/**
 * Returns whether the boot timeout of a rented machine has expired. In a new epoch the result is
 * false until all machines have had time to report.
 */
static bool has_boot_timed_out(struct leader *leader, const struct cloud_machine *rented)
{
    mono_time now = loop_now(leader->loop);
    const struct machine_type *type =
        machine_type_find(scheduling_policy_machine_types(leader), rented->type_name);
    int64_t boot_ms = type ? (int64_t)(type->boot_time_s * 1000) : DEFAULT_BOOT_TIME_MS;
    int64_t reporting_ms =
        (int64_t)(leader->settings->heartbeat_interval_s * (EPOCH_REPORTING_HEARTBEATS * 1000));
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

/**
 * Returns whether the machine accepts tasks and has been idle for longer than the operators' policy
 * allows.
 */
static bool has_exceeded_idle_timeout(struct leader *leader, struct ledger_machine *machine)
{
    return placement_is_schedulable(leader, machine) && autoscaler_is_machine_idle(machine) &&
           (double)time_ms_since(loop_now(leader->loop), machine->idle_since) >=
               scheduling_policy_idle_timeout_ms(leader, machine);
}

GArray *autoscaler_find_idle(struct leader *leader)
{
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(struct scale_in_decision));
    double surplus_cpus = resources_cpus(autoscaler_total_free_resources(leader)) -
                          scheduling_policy_spare_cpus(leader);
    GHashTableIter it;
    struct ledger_machine *machine;
    g_hash_table_iter_init(&it, leader->ledger.machines);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&machine)) {
        double cpus = resources_cpus(machine->capacity);
        if (!has_exceeded_idle_timeout(leader, machine) || cpus > surplus_cpus ||
            !autoscaler_release_service_headroom(leader, machine))
            continue;
        surplus_cpus -= cpus;
        add_decision(decisions, machine->id, SCALE_IN_REASON_IDLE);
    }
    return decisions;
}
