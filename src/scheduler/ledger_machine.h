/** A machine as the leader's quota ledger accounts for it, and its health as the leader sees it. */
#ifndef LL_LEDGER_MACHINE_H
#define LL_LEDGER_MACHINE_H

#include "resources.h"

/** How a machine's capacity is used. A task counts as dispatched or as allocated, never as both. */
struct machine_usage {
    /** By tasks with a run record. */
    struct resources allocated;
    /** By tasks dispatched to the shard, without a run record yet. */
    struct resources dispatched;
    /** The part of `allocated` that services use. */
    struct resources services;
    /** Per pass: set aside for gangs that are still short of resources. */
    struct resources reserved;
    /** Per pass: a gang could use the machine but may not reserve it; it must not be returned. */
    bool is_wanted_by_gang;
};

/** What failures and run times have shown about a machine. */
struct machine_health {
    /** Nothing is dispatched to it before then. */
    mono_time avoid_until;
    /** Tasks of several jobs failed on it: it is quarantined until then. */
    mono_time quarantined_until;
    /** Moving average of run times, relative to those of the same jobs elsewhere; 1 is normal. */
    double slowdown;
    int slowdown_sample_count;
    /** Set of job names with failures here since the last quarantine; NULL while empty. */
    GHashTable *failed_jobs;
};

/** A machine in the quota ledger. Owned by quota_ledger.machines. */
struct ledger_machine {
    machine_id id;
    char type_name[48];
    char zone[48];
    /** Index into settings->zones, or -1 when the zone is not configured. */
    int zone_index;
    bool is_spot;
    /** Total resources by machine type; zero until the type is known. */
    struct resources capacity;
    /** Interned names of the cached images. */
    GPtrArray *image_cache;
    /** Label of the node whose shard last reported the machine; NULL before the first report. */
    char *owner_label;
    /** MACHINE_... flags (enum machine_flag) from the owner's last report. */
    int flags;
    /** Its owner has reported it in this epoch, and did not omit it from a later full report. */
    bool is_reported;
    /** When a task last ended here, or when the machine became known. */
    mono_time idle_since;
    struct machine_usage usage;
    struct machine_health health;
};

#endif
