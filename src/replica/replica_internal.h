/**
 * Internal declarations of the replica, for src/replica only.
 *
 * replica.c owns the struct, publishes the events and dispatches each key to the file that decodes
 * its value: jobs.c, machines.c, inventories.c, run_records.c (record pages), cluster_records.c
 * (nodes, leader, shard map, features, roles) and machine_types.c. reload.c reads all keys, which
 * staged_keys.c holds until they are complete, and watch.c follows their changes; job_lookup.c
 * reads jobs that were evicted; read_barrier.c manages the callers that wait for a revision.
 */
#ifndef LL_REPLICA_INTERNAL_H
#define LL_REPLICA_INTERNAL_H

#include "replica.h"
#include "retry_backoff.h"
#include "token_bucket.h"

/** Timeouts of the replica's requests; see struct kv_request. */
enum {
    RESPONSE_TIMEOUT_MS = 2500,
    QUEUE_TIMEOUT_MS = 10000,
};

/** The watch (watch.c). */
struct replica_watch {
    /** Expires when the next watch is due or a failed request is retried. */
    struct timer timer;
    struct token_bucket bucket;
    /** Delays of failed requests, including those of a reload. */
    struct retry_backoff retry_backoff;
    /** When the outstanding request of the watch or the reload was sent. */
    mono_time requested_at;
};

/** State of a reload, which reads all keys, one range at a time (reload.c). */
struct replica_reload {
    /** The keys that were read, except those of jobs; NULL if no reload is in progress. */
    struct staged_keys *staged;
    mono_time started_at;
    /** The last key of the last range; NULL if none was read yet. */
    char *last_key;
    guint range_count;
    bool has_all_ranges;
    /** The revisions at which the first range was read, and the newest one. */
    revision first_revision, newest_range;
    /** All changes up to this revision have been applied to the keys that were read. */
    revision complete_until;
};

/** State of the reads of evicted jobs (job_lookup.c). */
struct replica_lookup {
    mono_time started_at;
    guint in_flight;
};

/** Private state of the replica. */
struct replica_internal {
    /** There are records of an early version, which this version does not support. */
    bool has_legacy_records;
    /** Ids of jobs whose final state is stored, the oldest first. */
    GQueue finished_job_ids;
    /** Key -> revision of its last change, for all keys. */
    GHashTable *mod_revisions;
    /** Array of struct actor. */
    GPtrArray *listeners;
    /** Array of struct replica_event: the events that are not published yet. */
    GArray *pending_events;
    /** Key -> struct machine_type_part. */
    GHashTable *machine_type_parts;
    /** Set of struct run_record: records whose task has one of a newer attempt, too. */
    GHashTable *superseded_records;
    /** struct run_record -> GPtrArray of struct record_page: the pages that hold the record besides
     * the one that lists it. */
    GHashTable *record_copies;
    /** Array of struct revision_waiter (read_barrier.c). */
    GArray *waiters;
    /** Calls replica_on_expiry_timer. */
    struct timer expiry_timer;
    struct replica_watch watch;
    struct replica_reload reload;
    struct replica_lookup lookup;
};

/** A change of a key. */
struct key_update {
    const char *key;
    /** The part of the key after its prefix. */
    const char *name;
    /** The new value; NULL if the key was deleted. */
    json_object *value;
    revision mod_revision;
};

/* ---- replica.c ---- */

/** Copies a string field if it exists; truncates a string that is too long. */
void replica_copy_string(json_object *value, const char *field, char *out, size_t size);
/** Adds an event to those that will be published next. */
void replica_add_event(struct replica *replica, struct replica_event event);
/** Adds an event for a record page or an inventory. */
void replica_add_page_event(struct replica *replica, enum replica_event_kind kind, const char *key);
/** Evicts the oldest finished jobs beyond max_finished_jobs. */
void replica_evict_finished_jobs(struct replica *replica);
/** Sends the pending events to the listeners and calls back the waiters for this revision. */
void replica_publish_events(struct replica *replica);
/** Applies the value of a key unless a newer one is known; value NULL means a deletion. */
void replica_apply(struct replica *replica, const char *key, json_object *value,
                   revision mod_revision);

/* ---- jobs.c ---- */

/** Returns whether a key that was read at a later revision than the replica shows may be applied at
 * once: nobody uses the replica yet, or it is the end of a job that the replica does not show,
 * which is final and has no run records. */
bool replica_may_apply_early(struct replica *replica, const char *key, json_object *value);

/** Returns a job; creates one that is not loaded if there is none. NULL if the id is invalid. */
struct job *replica_get_or_create_job(struct replica *replica, const char *id);
/** Frees a struct job; a GDestroyNotify. */
void replica_job_free(gpointer job);
/** Applies a change of ll/j/JOB. */
void replica_apply_job(struct replica *replica, const struct key_update *update);
/** Merges completions into a job; a completions_callback whose context is the replica. */
void replica_merge_completions(void *context, job_id id, uint32_t unit, const GByteArray *bits);
/** Updates a job from the job DAG; a job_dag_observer whose context is the replica. */
void replica_on_job_dag_change(void *context, const char *id,
                               const struct job_dag_state *dag_state);

/* ---- machines.c ---- */

/** Returns a machine and creates it if there is none. NULL if the id is invalid. */
struct machine_record *replica_get_or_create_machine(struct replica *replica, const char *id);
/** Removes the machine if no stored key refers to it. */
void replica_remove_unused_machine(struct replica *replica, struct machine_record *machine);
/** Applies the description on a page or in an inventory unless the machine has its own key. */
void machine_apply_description(struct machine_record *machine, const char *text);
/** Frees a struct machine_record; a GDestroyNotify. */
void replica_machine_free(gpointer machine);
/** Applies a change of ll/h/MACHINE. */
void replica_apply_machine(struct replica *replica, const struct key_update *update);

/* ---- inventories.c ---- */

/** Frees a struct machine_inventory; a GDestroyNotify. */
void replica_inventory_free(gpointer inventory);
/** Applies a change of ll/a/LABEL/N. */
void replica_apply_inventory(struct replica *replica, const struct key_update *update);

/* ---- run_records.c ---- */

/** Frees a struct record_page; a GDestroyNotify. */
void replica_page_free(gpointer page);
/** Applies a change of ll/p/LABEL/N. */
void replica_apply_page(struct replica *replica, const struct key_update *update);

/* ---- record_copies.c ---- */

/** Notes that a page holds the record besides the page that lists it. */
void replica_add_record_copy(struct replica *replica, struct run_record *run_record,
                             struct record_page *page);
/** Notes that the page does not hold the record any more, or lists it. */
void replica_drop_record_copy(struct replica *replica, struct run_record *run_record,
                              struct record_page *page);
/** Notes that the page holds no record that another page lists. */
void replica_drop_copies_on_page(struct replica *replica, struct record_page *page);

/* ---- superseded_records.c ---- */

/** Makes the record the one of its task, unless the task has one of a newer attempt. */
void replica_add_record_to_task(struct replica *replica, struct run_record *run_record);
/** Removes a record from its task, whose newest remaining record takes its place. */
void replica_remove_record_from_task(struct replica *replica, struct run_record *run_record);
/** Checks that no task has run records on two machines, once all changes of a revision are applied.
 */
void replica_check_run_records(const struct replica *replica);

/* ---- cluster_records.c ---- */

/** Frees a struct node_record; a GDestroyNotify. */
void replica_node_free(gpointer node);
/** Frees the contents of a struct shard_map_entry; a GDestroyNotify. */
void shard_map_entry_clear(gpointer entry);
/** Applies a change of ll/n/LABEL. */
void replica_apply_node(struct replica *replica, const struct key_update *update);
/** Applies a change of ll/v/LABEL. */
void replica_apply_version(struct replica *replica, const struct key_update *update);
/** Applies a change of ll/leader. */
void replica_apply_leader(struct replica *replica, const struct key_update *update);
/** Applies a change of ll/map. */
void replica_apply_shard_map(struct replica *replica, const struct key_update *update);
/** Applies a change of ll/features. */
void replica_apply_features(struct replica *replica, const struct key_update *update);
/** Applies a change if the key belongs to a singleton role or its intents. */
void replica_apply_singleton_role(struct replica *replica, const struct key_update *update);

/* ---- machine_types.c ---- */

/** Frees a struct machine_type_part; a GDestroyNotify. */
void machine_type_part_free(gpointer part);
/** Applies a change of ll/types or ll/types/N. */
void replica_apply_machine_types(struct replica *replica, const struct key_update *update);

/* ---- watch.c ---- */

/**
 * Sends the next watch when its rate limit allows, or starts or continues a reload if the keys are
 * not read yet. A timer callback; `arg` is the replica.
 */
void replica_watch(void *arg);
/** Sends a GET request with the priority of the watch; the callback receives the replica. */
void replica_send_request(struct replica *replica, const char *path, int response_timeout_ms,
                          http_response_callback callback);
/** Receives the changes (struct kv_item) in a response to a watch, and its revision. */
typedef void (*replica_changes_handler)(struct replica *replica, const GArray *changes,
                                        revision at_revision);
/**
 * Passes the changes in a response to a watch to the handler. If the response contains none,
 * because the request failed, schedules a retry and returns false.
 */
bool replica_receive_changes(struct replica *replica, const struct http_response *response,
                             replica_changes_handler handle);
/** Schedules the retry of a failed request. */
void replica_schedule_watch_retry(struct replica *replica);
/** Returns how many revisions fit into one response even if all values have the maximum size. */
uint64_t replica_max_watch_backlog(const struct replica *replica);
/** Records that the replica reflects everything stored at the time of the last request. */
void replica_mark_fresh(struct replica *replica);

/* ---- reload.c ---- */

/** Starts or continues to read all keys, and then watches them. */
void replica_reload(struct replica *replica);
/** Returns true while a reload is in progress. */
bool replica_is_reloading(const struct replica *replica);
/** Frees the state of a reload that is in progress. */
void replica_reload_clear(struct replica_reload *reload);

/* ---- job_lookup.c ---- */

/** Reads the jobs that other jobs depend on and that are not in memory. */
void replica_lookup_missing_jobs(struct replica *replica);

/* ---- read_barrier.c ---- */

/** Creates the array of the callers that wait for a revision. */
GArray *replica_waiters_new(void);
/** Calls back the waiters whose revision is now reflected. */
void replica_notify_waiters(struct replica *replica);
/** Calls back the waiters that have timed out. */
void replica_expire_waiters(struct replica *replica);

#endif
