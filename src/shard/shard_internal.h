/**
 * @file
 * The state of a shard, and the functions that its modules share. A module with its own types has
 * its own header, which either is included here or includes this one.
 */
#ifndef LL_SHARD_INTERNAL_H
#define LL_SHARD_INTERNAL_H

#include "arq.h"
#include "machine_internal.h"
#include "retry_backoff.h"
#include "token_bucket.h"

/** Machines that were returned to the cloud or are about to be. */
struct shard_returns {
    /** Names of machines that were returned; their heartbeats are ignored. The older set is
     * discarded when the newer one is full. */
    GHashTable *returned, *older_returned;
    /** Names of machines that the leader of this epoch is about to return, including machines that
     * are not known here yet. */
    GHashTable *cordoned;
};

/** State of the status messages to the leader, and the contents of the next one. */
struct shard_status {
    /** Sequence number of the newest message, counted by this process. */
    uint64_t sequence;
    /** Number of messages sent, without those for which next_is_full was set; tells when a full one
     * is due. */
    guint sent_count;
    bool in_flight;
    /** A message is to be sent as soon as none is in flight. */
    bool is_requested;
    /** The next message lists all machines, not only those that changed. */
    bool next_is_full;
    /** The next message requests a new epoch, as only that proves the end of some run. */
    bool wants_epoch_raise;
    /** Dispatches that could not be placed here (struct rejected_dispatch), for the leader to
     * dispatch again. */
    GArray *rejected_dispatches;
    /** Events for the leader (struct task_event). */
    GArray *events;
    struct timer timer;
};

/** The queues of dispatched tasks, and the state of placement. */
struct shard_placement {
    /** Queued dispatches (struct dispatch) by ARQ class; [0] holds those whose job is not in the
     * replica yet. */
    GQueue queues[ARQ_CLASSES + 1];
    /** History of busy periods by ARQ pool. */
    struct arq_busy_history busy_history[ARQ_CLASSES + 1];
    /** Resources were released or a machine was added, so that a queued task may fit now. */
    bool capacity_changed;
    mono_time switch_rule_applied_at;
    struct timer timer;
    /** The following fields belong to the current placement pass, during which free resources only
     * decrease. */
    /** Machines that may have free resources (struct machine). */
    GPtrArray *available_machines;
    /** Requests that no machine can hold (struct unschedulable_request). */
    GArray *unschedulable;
    /** Number of searches for attempts that keep a task off a machine. */
    int blocked_attempt_searches;
};

/** The time that starts and ends of runs waited for their records to be written, since the last
 * log entry. */
struct write_waits {
    guint start_count, end_count, write_count;
    double start_wait_ms, end_wait_ms;
};

/** The stored records of a shard, and the schedule for writing them. */
struct shard_records {
    /** Own pages (struct own_page), by number. */
    GPtrArray *pages;
    /** Own inventories (struct own_inventory), by number; see machine_inventory.c. */
    GPtrArray *inventories;
    /** Maps "JOB UNIT" to a GPtrArray of struct completion_unit, one for each page. */
    GHashTable *completion_units;
    /** Index of the first page to adopt records from, among the usable pages of other nodes; it
     * advances with each batch. */
    guint first_source_page;
    /** A transaction of records is in flight. There is at most one. */
    bool txn_in_flight;
    /** The outcome of a transaction of this epoch is unknown, and it may still be carried out. No
     * other transaction is sent before this one is fenced off, see record_txn_fence(). */
    bool needs_fence;
    /** There are changes to write. */
    bool is_dirty;
    struct write_waits write_waits;
    mono_time inventory_written_at;
    /** When to retry a page that could not be split. */
    mono_time split_retry_at;
    /** Limits the writes of records to this node's share of the write rate. */
    struct token_bucket write_bucket;
    struct timer flush_timer;
    /** Delays after a transaction that was refused, or whose outcome could not be determined. */
    struct retry_backoff retry_backoff;
};

/** A node's shard: the machines that it owns according to the shard map. */
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

    /** Epoch of the shard map that determines which machines this node owns. */
    epoch_no epoch;
    /** In this epoch the fencing tokens of agents contain a serial. */
    bool has_token_serials;
    /** Number of epochs seen by this process. Operations begun in an earlier generation are void.
     */
    uint64_t generation;
    /** Sequence number of the newest dispatch message in this epoch. */
    uint64_t last_dispatch_sequence;
    /** Maps the name of a machine to its struct machine. */
    GHashTable *machines;
    /** Maps the name of a machine that another node owns, but that reports here, to its struct
     * redirect. */
    GHashTable *redirects;
    struct shard_returns returns;
    struct shard_status status;
    struct shard_placement placement;
    struct shard_records records;
    struct timer tick_timer;
};

/* shard_epoch.c */

/** Returns whether the newest shard map names this process. A process that has just joined, also
 * one of a node that has restarted, is named from the next epoch on. */
bool shard_is_in_map(const struct shard *shard);
/** Returns whether this process may act for its shard: its lease is valid, the newest shard map
 * names it, and the shard has applied that map. Everything that the shard does in its epoch rests
 * on this: it accepts and rejects dispatches, reports to the leader, places tasks, writes records,
 * and tells agents to start, stop and clear tasks. */
bool shard_may_act(const struct shard *shard);

/* shard_status.c */

/** Sends the leader a status message after a short delay, ahead of the regular one. */
void shard_request_status(struct shard *shard);

/* task_runs.c */

/** Returns the job if it is in the replica and neither done nor cancelled, or NULL. */
struct job *shard_find_active_job(struct shard *shard, job_id id);
/** Returns whether a job is finished as far as this node knows, from its replica or from other
 * nodes. The runs of a finished job are to be stopped. */
bool shard_job_is_finished(struct shard *shard, job_id id);

#endif
