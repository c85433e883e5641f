/**
 * In-memory replica of the keys below ll/ (kv_keys.h). Each node has one; it holds the records at
 * one revision and follows the store with a watch.
 *
 * Listeners receive the changes as events, which contain ids. A read that must not return stale
 * data has to call replica_read_barrier first.
 */
#ifndef LL_REPLICA_H
#define LL_REPLICA_H

#include "decision_log.h"
#include "job_dag.h"
#include "kv_client.h"
#include "kv_keys.h"
#include "record_page_codec.h"
#include "replica_records.h"
#include "role_records.h"

/** The kinds of changes that the replica reports. */
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
    /** The holders of the singleton roles, or whether the roles are enabled. */
    REPLICA_EVENT_SINGLETON_ROLES,
    /** An intent to return the machine was recorded or resolved. */
    REPLICA_EVENT_MACHINE_RETURN,
    /** All keys were read again; changes in between may have no events of their own. */
    REPLICA_EVENT_RELOADED,
};

/** A change of a record. Fields that its kind does not use are zero. */
struct replica_event {
    enum replica_event_kind kind;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    machine_id machine;
    /** The key of the changed record page or inventory. */
    char page_key[72];
};

/**
 * The kind of the message that listeners receive. Its body is a GArray of struct replica_event in
 * the order of the changes.
 */
enum { MSG_REPLICA_EVENTS = 100 };

/** The replica. Other modules only read it, except for max_finished_jobs. */
struct replica {
    struct loop *loop;
    struct kv_client *kv;
    /** All keys were read at least once. */
    bool is_ready;
    /** The revision that the records reflect. */
    revision applied_revision;
    /**
     * The last and the previous time for which the records are known to be current. The changes
     * applied by the last update were made after previous_fresh_at.
     */
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
    /** Label -> version that some process of the node has supported, also while it is not live. */
    GHashTable *announced_versions;
    /** The number of changes of nodes and announced_versions. */
    uint64_t node_change_count;
    struct job_dag *job_dag;
    /** NULL if there is no leader. */
    char *leader_label;
    lease_id leader_incarnation;
    revision leader_mod_revision;
    epoch_no shard_map_epoch;
    revision shard_map_mod_revision;
    /** In this epoch the fencing tokens of agents contain a serial. */
    bool has_token_serials;
    /** Array of struct shard_map_entry. */
    GArray *shard_map;
    /** Array of struct machine_type; NULL if none are stored yet. */
    GArray *machine_types;
    /** The revision of the key with the first part of the machine types; 0: there is none. */
    revision machine_types_mod_revision;
    struct role_records *singleton_roles;
    /** Singleton roles are enabled for all nodes (ll/features). */
    bool singleton_roles_enabled;
    revision features_mod_revision;
    /**
     * The maximum number of finished jobs in memory; the oldest ones beyond it are evicted. To
     * answer a query for a job that is not in memory, a caller has to read its key.
     */
    guint max_finished_jobs;
    /** At least one finished job was evicted. */
    bool has_evicted_jobs;
    /** Private state: see replica_internal.h. */
    struct replica_internal *internal;
};

/** Creates an empty replica. The event loop and the client must outlive it. */
struct replica *replica_new(struct loop *loop, struct kv_client *kv);
/** Frees the replica and all records without calling the callbacks of waiting callers. */
void replica_free(struct replica *replica);
/** Sends MSG_REPLICA_EVENTS to the listener from now on. */
void replica_add_listener(struct replica *replica, struct actor *listener);
/**
 * Returns what a decision rests on that is made now under a fencing token: the leader, the revision
 * and the age of the replica.
 */
struct decision_basis replica_get_decision_basis(const struct replica *replica, uint64_t token);
/** Starts to read all keys and then watches them. */
void replica_start(struct replica *replica);

/**
 * Returns the job, or NULL if it is not in memory. Check is_loaded: the job may be known only from
 * record pages that refer to it.
 */
struct job *replica_get_job(struct replica *replica, const char *id);
/**
 * Returns whether the replica shows the job as of the revision that it shows of everything else. A
 * decision about a job's tasks must not rest on a job that is newer than their records.
 */
bool replica_shows_job_with_records(const struct replica *replica, const struct job *job);
/** Returns the machine, or NULL if no stored key refers to it. */
struct machine_record *replica_get_machine(struct replica *replica, const char *id);
/**
 * Returns the description of the machine that a record page has to contain. NULL if the machine is
 * unknown, or described by its own key or an inventory. Valid until the machine changes.
 */
const char *replica_get_machine_description(struct replica *replica, const char *machine_name);

/** Returns the run record of an attempt on a machine, or NULL. */
struct run_record *replica_find_run_record(const struct replica *replica, const struct job *job,
                                           uint32_t task_index, attempt_no attempt,
                                           machine_id machine);
/** Returns whether any task has records of several attempts. */
bool replica_has_superseded_records(const struct replica *replica);
/** Returns whether the task of the record has one of a newer attempt, too. False for NULL. */
bool replica_is_superseded(const struct replica *replica, const struct run_record *run_record);
/** Returns a page that holds the record besides the page that lists it, or NULL. */
struct record_page *replica_find_record_copy(const struct replica *replica,
                                             const struct run_record *run_record);
/** Returns whether the page holds a record that another page lists. False for NULL. */
bool replica_page_holds_copy(const struct replica *replica, const struct record_page *page);
/** Returns whether any page holds a record that another page lists. */
bool replica_has_record_copies(const struct replica *replica);

/**
 * Returns whether the task has run records on two machines. No revision of the store should show
 * that; no machine may start the task then.
 */
bool replica_has_conflicting_records(const struct replica *replica, job_id job,
                                     uint32_t task_index);

/** Receives the result of a wait; ok is false if it failed or timed out. */
typedef void (*replica_callback)(void *arg, bool ok);
/**
 * Calls back when the replica reflects a revision that was the newest one in the store at some time
 * after this call.
 */
void replica_read_barrier(struct replica *replica, replica_callback callback, void *callback_arg);
/** Calls back when the replica reflects the revision; immediately if it already does. */
void replica_await_revision(struct replica *replica, revision revision_needed,
                            replica_callback callback, void *callback_arg);
/** Calls replica_await_revision or, if the revision is 0, replica_read_barrier. */
void replica_await_revision_or_newest(struct replica *replica, revision revision_needed,
                                      replica_callback callback, void *callback_arg);
/**
 * Calls back when the replica reflects the outcome of a transaction: its revision or, if the
 * outcome has none, a revision as for replica_read_barrier.
 */
void replica_await_txn_outcome(struct replica *replica, const struct txn_outcome *outcome,
                               replica_callback callback, void *callback_arg);

#endif
