/**
 * @file
 * The state of a shard, and what its modules offer one another. A module with types of its own has
 * a header of its own, which this one includes or which includes this one.
 */
#ifndef LL_SHARD_INTERNAL_H
#define LL_SHARD_INTERNAL_H

#include "arq.h"
#include "machine_internal.h"

/** Machines that go back to the cloud. */
struct shard_returns {
    /** Names of machines that were returned: heartbeats that still come from them are ignored. The
     * older half is forgotten when the newer one is full. */
    GHashTable *returned, *older_returned;
    /** Names of machines that the leader of this epoch is going to return, also of those that are
     * not known here yet. */
    GHashTable *cordoned;
};

/** The status messages to the leader, and what the next one has to say. */
struct shard_status {
    /** Of the newest message, counted within this process. */
    uint64_t sequence;
    /** Messages sent, to tell when a full one is due. */
    guint sent_count;
    bool in_flight;
    /** One is to be sent as soon as none is in flight. */
    bool is_requested;
    /** The next one names all machines, not only those that changed. */
    bool next_is_full;
    /** The next one asks for a new epoch: only that proves the end of some run. */
    bool wants_epoch_raise;
    /** struct dispatch: not placed here, to be dispatched again by the leader. */
    GArray *rejected_dispatches;
    /** struct task_event */
    GArray *events;
    struct timer timer;
};

/** The queues of dispatched tasks, and the state of placement. */
struct shard_placement {
    /** struct dispatch, by ARQ class; [0]: the job is not in the replica yet. */
    GQueue queues[ARQ_CLASSES + 1];
    /** By ARQ pool. */
    struct arq_busy_history busy_history[ARQ_CLASSES + 1];
    /** Resources were released or a machine came: a task in the queues may fit now. */
    bool capacity_changed;
    mono_time switch_rule_applied_at;
    struct timer timer;
    /** Of the pass through the queues under way, in which free resources only shrink: */
    /** struct machine: those that may have free resources. */
    GPtrArray *available_machines;
    /** struct unschedulable: requests that no machine could hold. */
    GArray *unschedulable;
    /** Searches for attempts that keep a task from its machine. */
    int blocked_attempt_searches;
};

/** How long starts and ends waited for their records since it was last logged. */
struct write_waits {
    guint start_count, end_count, write_count;
    double start_wait_ms, end_wait_ms;
};

/** The stored records of a shard, and when they are written. */
struct shard_records {
    /** struct own_page, by number. */
    GPtrArray *pages;
    /** struct own_inventory, by number; see machine_inventory.c. */
    GPtrArray *inventories;
    /** "JOB UNIT" -> GPtrArray of struct completion_unit, one a page. */
    GHashTable *completion_units;
    /** Of the other nodes' pages that records are taken over from, the one to begin with: another
     * one each time. */
    guint first_source_page;
    /** A transaction of records is in flight; there is one at a time. */
    bool txn_in_flight;
    /** There is something to be written. */
    bool is_dirty;
    struct write_waits write_waits;
    mono_time inventory_written_at;
    /** When a page that could not be split is tried again. */
    mono_time split_retry_at;
    /** Writes that this node may make now, by its share of the write rate; refilled over time since
     * write_budget_at. */
    double write_budget;
    mono_time write_budget_at;
    struct timer flush_timer;
};

/** A node's shard: the machines that it owns by the shard map. */
struct shard {
    struct actor actor;
    struct loop *loop;
    struct http_client *http_client;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *node_rpc;
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
    struct failure_detector *failure_detector;
    const struct settings *settings;

    /** Of the shard map that the machines are owned by. */
    epoch_no epoch;
    /** Counts the epochs seen by this process; what was begun in an earlier one is void. */
    uint64_t generation;
    /** The newest dispatch message of this epoch. */
    uint64_t last_dispatch_sequence;
    /** Name -> struct machine. */
    GHashTable *machines;
    /** Name -> struct redirect, of machines that report here and belong to other nodes. */
    GHashTable *redirects;
    struct shard_returns returns;
    struct shard_status status;
    struct shard_placement placement;
    struct shard_records records;
    struct timer tick_timer;
};

/* shard_status.c */

/** Sends the leader a status in a moment, before the regular one. */
void shard_request_status(struct shard *shard);

/* task_runs.c */

/** The job if it is in the replica and neither done nor cancelled, or NULL. */
struct job *shard_find_active_job(struct shard *shard, job_id id);
/** Whether a job is over for all that this node knows, from its replica or from other nodes: its
 * runs are to be stopped. */
bool shard_job_is_finished(struct shard *shard, job_id id);

#endif
