/**
 * @file
 * The machines that this node owns according to the shard map, and their state.
 */
#ifndef LL_MACHINE_INTERNAL_H
#define LL_MACHINE_INTERNAL_H

#include "task_run_internal.h"

/** A machine counts as unreachable after this number of consecutive failed probes. */
enum { UNREACHABLE_PROBE_FAILURES = 2 };

/** Contents of the newest heartbeat of a machine's agent. */
struct machine_heartbeat {
    /** A heartbeat was received since this node became the owner, so that the other fields are
     * valid. */
    bool has_reported;
    /** Number of times that the agent has been started. */
    uint64_t agent_epoch;
    /** Number of the heartbeat within the agent epoch. */
    uint64_t sequence;
    /** The highest fencing token that the agent has seen. */
    agent_token token;
    /** Hash of the reported tasks, see shard_heartbeat_tasks_hash(). */
    uint32_t tasks_hash;
    /** Label of the node that forwarded the heartbeat; empty if it came directly. */
    char via_node[64];
    /** When the heartbeat was received; before the first one, when ownership began. */
    mono_time received_at;
};

/** The fencing token that this node gives to the agent (agent_fencing.c). */
struct machine_fence {
    /** The token of all commands and responses from now on. */
    agent_token token;
    /** Run commands with this token may have been pushed. A copy of such a command can start its
     * attempt again until the agent has seen a higher token. */
    bool covers_pushed_runs;
    /** Only this owner can have issued this token, and only to the agent that runs now. A message
     * that shows a lower one may come from the agent that ran before a restart. */
    agent_token trusted;
};

/** Facts that bound the time until which the agent's lease can have been renewed. */
struct machine_lease {
    /** The shard map epoch since which this process has owned the machine without interruption. The
     * next epoch, if the map still names an earlier process of this node. */
    epoch_no owned_since_epoch;
    /** When that epoch began; before that, when the machine was added. */
    mono_time owned_since;
    /** When this node last renewed the lease by responding to a heartbeat; 0: never. */
    mono_time last_renewed_at;
    /** When the agent first showed a fencing token that only this owner can have issued. Since then
     * it has refused responses of earlier owners. 0: not yet. */
    mono_time owner_token_seen_at;
};

/** The evidence that this node's responses and commands reach the agent. Heartbeats alone do not
 * prove that, as a connection may fail in one direction only. */
struct machine_reachability {
    /** The newest heartbeat or response of the agent proves that the agent can be reached. */
    bool is_confirmed;
    /** When reachability was last confirmed; before that, when ownership began. */
    mono_time confirmed_at;
    bool probe_in_flight;
    /** When the last probe was sent; 0: never. */
    mono_time last_probe_at;
    /** Number of consecutive probes without a valid response. */
    int probe_failures;
};

/** The change that the transaction in flight makes to the stored record of a machine. */
enum machine_record_change {
    MACHINE_RECORD_UNCHANGED,
    /** The transaction writes the record. */
    MACHINE_RECORD_WRITTEN,
    /** The transaction removes the record. */
    MACHINE_RECORD_REMOVED,
};

/** State of a machine's stored data other than its run records. The machine's type, zone and
 * address are stored in one of three places: its own record, an inventory, or the pages that hold
 * its run records. */
struct machine_record_state {
    /** Revision of the machine's own record; 0: it has none. */
    revision mod_revision;
    /** When this process last wrote the machine's own record. */
    mono_time written_at;
    /** The machine's own record does not list all of its cached images. */
    bool has_unrecorded_images;
    /** How pages describe the machine, see shard_machine_page_description(); NULL: not needed yet.
     */
    char *page_description;
    /** Number of this node's inventory that lists the machine; -1: none does. */
    int inventory_number;
    /** The inventory that is being written lists the machine. */
    bool is_in_pending_inventory;
    /** The transaction in flight changes a record of the machine or of one of its runs. */
    bool is_in_txn;
    enum machine_record_change pending_change;
};

/** What the last status message to the leader reported about a machine. */
struct machine_sent_status {
    /** Flags (enum machine_flag) in that message; -1: no message has reported the machine. */
    int flags;
    /** The message listed all cached images. */
    bool has_images;
};

/** State of the commands that are pushed to an agent. One push is in flight at a time. */
enum push_state {
    PUSH_IDLE,
    PUSH_IN_FLIGHT,
    /** A push is in flight, and newer commands are to be pushed after it. */
    PUSH_IN_FLIGHT_AGAIN,
};

/** A machine that this node owns. */
struct machine {
    machine_id id;
    /** Description of the machine; empty until a heartbeat or a stored record provides it. */
    char address[24], type_name[48], zone[48];
    bool is_spot;
    /** Resources of the machine's type; zero until the type is known. */
    struct resources capacity;
    /** Resources allocated to runs, and the part of them that is allocated to services. */
    struct resources allocated, service_resources;
    /** Runs on the machine (struct task_run). */
    GPtrArray *runs;
    /** Tasks in the newest heartbeat that match none of the runs (struct heartbeat_task). */
    GArray *unknown_tasks;
    /** Interned names of the cached images, the most recently used last. */
    GPtrArray *image_cache;

    struct machine_heartbeat heartbeat;
    struct machine_fence fence;
    struct machine_lease lease;
    struct machine_reachability reachability;
    struct machine_record_state record;
    struct machine_sent_status sent_status;
    enum push_state push_state;
    /** When this node last raised the token to prompt a heartbeat; 0: never. */
    mono_time prompted_at;
    /** The response to the newest heartbeat, which waits for a start; NULL: it was sent. */
    struct held_response *held_response;

    /** The cloud has announced that it will reclaim the machine. */
    bool is_being_reclaimed;
    /** The leader wants no more tasks placed on the machine, as it is slow or quarantined. */
    bool is_cordoned;
    /** No tasks are placed on the machine, as the leader is about to return it or has recorded its
     * return. */
    bool is_returning;
    /** The machine was returned to the cloud, which proves that all of its runs have ended. It is
     * kept until its records are removed. */
    bool is_returned;
};

/** Returns the machine of that name, or NULL if this node does not own it. */
struct machine *shard_find_machine(struct shard *shard, const char *machine_name);
/** Adds a machine of which only the name is known. The shard owns it. */
struct machine *shard_add_machine(struct shard *shard, machine_id id);
/** Frees a struct machine and its runs. */
void shard_machine_free(gpointer data);
/** Sets the machine's capacity from its type, if the type is known. */
void shard_machine_update_capacity(struct shard *shard, struct machine *machine);
/** Records that the machine has fetched an image or used it again.
 * @param image an interned string. */
void shard_machine_add_image(struct machine *machine, char *image);
/** Returns whether the machine has a run that is recorded or may yet be recorded. */
bool shard_machine_has_runs(const struct machine *machine);
/** Returns whether the machine has a run that is placed but not recorded yet. */
bool shard_machine_has_unrecorded_run(const struct machine *machine);
/** Updates the machine and its runs to match the replica.
 *
 * Must be called only if the replica is not older than this node's last write of the records that
 * are applied. Other records may be outdated in the replica; applying those would release runs that
 * were recorded a moment ago.
 * @param page number of the own page whose records are applied; -1: all records. */
void shard_machine_reconcile(struct shard *shard, struct machine *machine, int page);
/** Records that a response or command of this node has reached the agent. */
void shard_machine_mark_reachable(struct shard *shard, struct machine *machine);
/** Applies an accepted heartbeat, or an agent's response to commands or a probe. */
void shard_machine_apply_heartbeat(struct shard *shard, struct machine *machine,
                                   const struct heartbeat *heartbeat);
/** Returns a hash of a heartbeat's tasks and their states that does not depend on their order. */
uint32_t shard_heartbeat_tasks_hash(const struct heartbeat *heartbeat);

#endif
