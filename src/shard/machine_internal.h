/**
 * @file
 * The machines that this node owns by the shard map, and what it knows of each.
 */
#ifndef LL_MACHINE_INTERNAL_H
#define LL_MACHINE_INTERNAL_H

#include "task_run_internal.h"

/** Probes that fail in a row until a machine counts as unreachable. */
enum { UNREACHABLE_PROBE_FAILURES = 2 };

/** The newest heartbeat of a machine's agent. */
struct machine_heartbeat {
    /** One was received since this node became the owner; the other fields are valid. */
    bool has_reported;
    /** Counts the agent's restarts. */
    uint64_t agent_epoch;
    /** Counts the heartbeats within an agent epoch. */
    uint64_t sequence;
    /** The highest fencing token that the agent has seen. */
    uint64_t fencing_token;
    /** Of the tasks that it named, see shard_heartbeat_tasks_hash(). */
    uint32_t tasks_hash;
    /** The node that forwarded it; "": it came directly. */
    char via_node[64];
    /** When it was received, or ownership began. */
    mono_time received_at;
};

/** What bounds the time until which the agent's lease can have been renewed. */
struct machine_lease {
    /** The epoch of the shard map since which this node has owned the machine without a break. */
    epoch_no owned_since_epoch;
    mono_time owned_since;
    /** When this node last renewed the lease by responding to a heartbeat; 0: never. */
    mono_time last_renewed_at;
    /** When the agent first showed a fencing token that only this owner can have given: since then
     * it has refused responses of earlier owners. 0: not yet. */
    mono_time owner_token_seen_at;
};

/** Whether responses and commands of this node reach the agent. Heartbeats do not show that: the
 * connection may be interrupted in one direction. */
struct machine_reachability {
    /** The newest heartbeat or response of the agent shows it. */
    bool is_confirmed;
    /** When that was last so, or ownership began. */
    mono_time confirmed_at;
    bool probe_in_flight;
    /** When the last probe was sent; 0: never. */
    mono_time last_probe_at;
    /** The newest heartbeat known when that probe was sent. */
    uint64_t probed_agent_epoch, probed_sequence;
    /** Probes in a row without a valid response. */
    int probe_failures;
};

/** How the transaction in flight changes the stored record of a machine. */
enum machine_record_change {
    MACHINE_RECORD_UNCHANGED,
    /** It is written. */
    MACHINE_RECORD_WRITTEN,
    /** It is removed. */
    MACHINE_RECORD_REMOVED,
};

/** What is stored about a machine besides its run records. Its type, zone and address are stored in
 * one place of three: its own record, an inventory, or the pages with its run records. */
struct machine_record_state {
    /** Of its own record; 0: there is none. */
    revision mod_revision;
    /** When this process last wrote its own record. */
    mono_time written_at;
    /** Its record does not name all of its cached images. */
    bool has_unrecorded_images;
    /** What the pages say of it, see shard_machine_page_description(); NULL: not needed yet. */
    char *page_description;
    /** Number of this node's inventory that lists it; -1: none does. */
    int inventory_number;
    /** The inventory being written lists it. */
    bool is_in_pending_inventory;
    /** The transaction in flight changes a record of the machine or of one of its runs. */
    bool is_in_txn;
    enum machine_record_change pending_change;
};

/** What the newest status to the leader said of a machine. */
struct machine_sent_status {
    /** enum machine_flag; -1: it was not in any. */
    int flags;
    /** It named all cached images. */
    bool has_images;
};

/** Commands that are sent directly to the agent: one request at a time. */
enum push_state {
    PUSH_IDLE,
    PUSH_IN_FLIGHT,
    /** In flight, and there are new commands to be sent after it. */
    PUSH_IN_FLIGHT_AGAIN,
};

/** A machine that this node owns. */
struct machine {
    machine_id id;
    /** Empty until a heartbeat or a stored record says them. */
    char address[24], type_name[48], zone[48];
    bool is_spot;
    /** What its type has; zero until the type is known. */
    struct resources capacity;
    /** What its runs take, and the part of that which services take. */
    struct resources allocated, service_resources;
    /** struct task_run */
    GPtrArray *runs;
    /** struct heartbeat_task: in the newest heartbeat, but not among the runs. */
    GArray *unknown_tasks;
    /** Interned names of the images it has fetched, the most recently used last. */
    GPtrArray *image_cache;

    struct machine_heartbeat heartbeat;
    struct machine_lease lease;
    struct machine_reachability reachability;
    struct machine_record_state record;
    struct machine_sent_status sent_status;
    enum push_state push_state;

    /** The cloud has announced that it takes the machine back. */
    bool is_being_reclaimed;
    /** The leader wants no more tasks placed on it, as it is slow or quarantined. */
    bool is_cordoned;
    /** Nor are they here: the leader is going to return it, or has recorded that. */
    bool is_returning;
    /** It was returned to the cloud, which proves the end of all its runs. It is kept until its
     * records are removed. */
    bool is_returned;
};

/** The machine of that name, or NULL when this node does not own it. */
struct machine *shard_find_machine(struct shard *shard, const char *machine_name);
/** Adds a machine of which nothing but the name is known yet. The shard owns it. */
struct machine *shard_add_machine(struct shard *shard, machine_id id);
/** Frees a struct machine and its runs. */
void shard_machine_free(gpointer data);
/** Sets the capacity by the type's, if that is known. */
void shard_machine_update_capacity(struct shard *shard, struct machine *machine);
/** Notes that the machine has fetched an image, or used it again.
 * @param image interned. */
void shard_machine_add_image(struct machine *machine, char *image);
/** Whether any of its runs has a record, or may come to have one. */
bool shard_machine_has_runs(const struct machine *machine);
/** Whether a run of it is placed and not recorded yet. */
bool shard_machine_has_unrecorded_run(const struct machine *machine);
/** Makes the machine and its runs agree with the replica.
 *
 * It must only be called when the replica is not older than this node's last write of the records
 * in question. Of the other records the replica may be older: taken for the truth, it would release
 * runs that were recorded a moment ago.
 * @param page the number of the own page whose records count; -1: all records. */
void shard_machine_reconcile(struct shard *shard, struct machine *machine, int page);
/** Notes that a response of this node has reached the agent. */
void shard_machine_mark_reachable(struct shard *shard, struct machine *machine);
/** Applies a heartbeat that was accepted, or an agent's response to a command or probe. */
void shard_machine_apply_heartbeat(struct shard *shard, struct machine *machine,
                                   const struct heartbeat *heartbeat);
/** A hash of a heartbeat's tasks and their states, in whatever order. */
uint32_t shard_heartbeat_tasks_hash(const struct heartbeat *heartbeat);

#endif
