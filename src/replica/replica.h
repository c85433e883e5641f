/**
 * Every node's replica of the keys below ll/ (kv_keys.h): the records at one revision, kept up to
 * date by a watch.
 *
 * Listeners receive the changes as events, which carry ids. A read that must not be stale goes
 * through replica_read_barrier.
 */
#ifndef LL_REPLICA_H
#define LL_REPLICA_H

#include "job_dag.h"
#include "kv_client.h"
#include "kv_keys.h"
#include "record_page_codec.h"
#include "replica_records.h"
#include "role_records.h"

/** What an event is about. */
enum replica_event_kind {
    REPLICA_EVENT_JOB,
    REPLICA_EVENT_RUN_RECORD_ADDED,
    REPLICA_EVENT_RUN_RECORD_REMOVED,
    REPLICA_EVENT_MACHINE,
    REPLICA_EVENT_PAGE,
    REPLICA_EVENT_INVENTORY,
    REPLICA_EVENT_NODES,
    REPLICA_EVENT_LEADER,
    REPLICA_EVENT_SHARD_MAP,
    REPLICA_EVENT_MACHINE_TYPES,
    /** Who holds the roles, or whether they are on. */
    REPLICA_EVENT_SINGLETON_ROLES,
    /** An intent to return the machine was recorded, or settled. */
    REPLICA_EVENT_MACHINE_RETURN,
    /** All keys were read again; changes in between have no events. */
    REPLICA_EVENT_RELOADED,
};

/** A change; fields that its kind does not use are zero. */
struct replica_event {
    enum replica_event_kind kind;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    machine_id machine;
    /** Of a page or an inventory. */
    char page_key[72];
};

/** The message that listeners get; its body is a GArray of struct replica_event, in their order. */
enum { MSG_REPLICA_EVENTS = 100 };

/** The replica. Others only read it, except for max_finished_jobs. */
struct replica {
    struct loop *loop;
    struct kv_client *kv;
    /** All keys were read at least once. */
    bool is_ready;
    /** The revision that the records reflect. */
    revision applied_revision;
    /** The records were the newest at this moment, and at the one before: any change that is new
     * here was made after that. */
    mono_time fresh_at, previous_fresh_at;
    /** Id -> struct job. */
    GHashTable *jobs;
    /** Id -> struct machine_record. */
    GHashTable *machines;
    /** Key -> struct record_page. */
    GHashTable *pages;
    /** Key -> struct machine_inventory. */
    GHashTable *inventories;
    /** Label -> struct node_record. */
    GHashTable *nodes;
    /** Label -> version that some process of that label has understood. */
    GHashTable *announced_versions;
    /** Counts changes of nodes and announced_versions. */
    uint64_t node_change_count;
    struct job_dag *job_dag;
    /** NULL: nobody leads. */
    char *leader_label;
    lease_id leader_incarnation;
    revision leader_mod_revision;
    epoch_no shard_map_epoch;
    revision shard_map_mod_revision;
    /** Array of struct shard_map_entry. */
    GArray *shard_map;
    /** Array of struct machine_type; NULL: not stored yet. */
    GArray *machine_types;
    struct role_records *singleton_roles;
    /** Roles are on for all nodes, as ll/features says. */
    bool singleton_roles_enabled;
    revision features_mod_revision;
    /**
     * How many finished jobs are kept in memory. The oldest are evicted beyond that; whoever is
     * asked for a job that is not in memory has to read its key.
     */
    guint max_finished_jobs;
    /** Some were evicted. */
    bool has_evicted_jobs;
    /** Private: see replica_internal.h. */
    struct replica_internal *internal;
};

/** Creates an empty replica. The loop and the client must outlive it. */
struct replica *replica_new(struct loop *loop, struct kv_client *kv);
/** Frees the replica with all records; waiting callers are not called back. */
void replica_free(struct replica *replica);
/** Sends MSG_REPLICA_EVENTS to the listener from now on. */
void replica_add_listener(struct replica *replica, struct actor *listener);
/** Starts reading all keys, and then watches them. */
void replica_start(struct replica *replica);

/** The job, or NULL. Check is_known: it may be one that only pages name. */
struct job *replica_get_job(struct replica *replica, const char *id);
/** The machine, or NULL. */
struct machine_record *replica_get_machine(struct replica *replica, const char *id);
/**
 * How a page has to describe the machine: NULL if its own key or an inventory does, or if it is not
 * known. Valid until the machine changes.
 */
const char *replica_get_machine_description(struct replica *replica, const char *machine_name);

/** ok is false when it took too long. */
typedef void (*replica_callback)(void *arg, bool ok);
/** Calls back once the replica reflects a revision that was the newest after this call. */
void replica_read_barrier(struct replica *replica, replica_callback callback, void *callback_arg);
/** Calls back once the replica reflects a revision; at once, if it does already. */
void replica_await_revision(struct replica *replica, revision revision_needed,
                            replica_callback callback, void *callback_arg);
/** As replica_await_revision; for revision 0, as replica_read_barrier. */
void replica_await_revision_or_newest(struct replica *replica, revision revision_needed,
                                      replica_callback callback, void *callback_arg);
/**
 * Calls back once the replica shows what became of a transaction: at the revision of its outcome;
 * without one, as replica_read_barrier.
 */
void replica_await_txn_outcome(struct replica *replica, const struct txn_outcome *outcome,
                               replica_callback callback, void *callback_arg);

#endif
