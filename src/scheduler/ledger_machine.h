/** The quota ledger's entry for a machine: its usage, and its health as the leader observes it. */
#ifndef LL_LEDGER_MACHINE_H
#define LL_LEDGER_MACHINE_H

#include "resources.h"

/**
 * Breakdown of a machine's capacity by use. A task is counted as either dispatched or allocated,
 * never as both.
 */
struct machine_usage {
    /** Resources of tasks that have a run record. */
    struct resources allocated;
    /** Resources of tasks that were dispatched to the shard and have no run record yet. */
    struct resources dispatched;
    /** The part of `allocated` that belongs to services. */
    struct resources services;
    /** Per pass: resources reserved for gangs that cannot start yet. */
    struct resources reserved;
    /**
     * Per pass: whether a gang could use the machine. Set even if the gang may not reserve it, so
     * that the machine is not returned to the cloud.
     */
    bool is_wanted_by_gang;
};

/** Health of a machine, as derived from task failures and run times. */
struct machine_health {
    /** The time until which nothing is dispatched to the machine. */
    mono_time avoid_until;
    /**
     * The time until which the machine is quarantined because tasks of several jobs failed on it.
     */
    mono_time quarantined_until;
    /**
     * Moving average of task run times on this machine, relative to the run times of the same jobs
     * on all machines; 1 is normal.
     */
    double slowdown;
    int slowdown_sample_count;
    /** Set of ids of jobs that failed on this machine since its last quarantine; NULL if empty. */
    GHashTable *failed_jobs;
};

/** Entry for a machine in the quota ledger. Owned by quota_ledger.machines. */
struct ledger_machine {
    machine_id id;
    char type_name[48];
    char zone[48];
    /** Index into settings->zones; -1 if the zone is not configured. */
    int zone_index;
    bool is_spot;
    /** Total resources as given by the machine type; zero until the type is known. */
    struct resources capacity;
    /** Interned names of the images that are cached on the machine. */
    GPtrArray *image_cache;
    /** Label of the node whose shard last reported the machine; NULL before the first report. */
    char *owner_label;
    /** Flags (enum machine_flag) from the owner's last report. */
    int flags;
    /**
     * Whether the owning shard has reported the machine in this epoch and has not omitted it from a
     * later full report.
     */
    bool is_reported;
    /** When a task last ended on the machine, or when the machine became known if none has. */
    mono_time idle_since;
    struct machine_usage usage;
    struct machine_health health;
};

#endif
