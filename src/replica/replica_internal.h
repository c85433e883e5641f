/**
 * What the files of the replica share; for src/replica only.
 *
 * replica.c owns the struct, the events and the dispatch of a key to the file that decodes its
 * value: jobs.c, machines.c, inventories.c, run_records.c (pages), cluster_records.c (nodes,
 * leader, shard map, features, roles) and machine_types.c. reload.c reads all keys and watch.c
 * follows their changes; job_lookup.c reads jobs that were evicted; read_barrier.c has the callers
 * that wait for a revision.
 */
#ifndef LL_REPLICA_INTERNAL_H
#define LL_REPLICA_INTERNAL_H

#include "replica.h"
#include "token_bucket.h"

/** Times of requests of the replica; see struct kv_request. */
enum {
    RESPONSE_TIMEOUT_MS = 2500,
    QUEUE_TIMEOUT_MS = 10000,
};

/** The watch (watch.c). */
struct replica_watch {
    /** Runs until the next watch, or until a failed request is repeated. */
    struct timer timer;
    struct token_bucket bucket;
    /** When the request that is answered next was sent: of the watch, or the first of a reload. */
    mono_time requested_at;
};

/** Reading all keys, page by page (reload.c). */
struct replica_reload {
    /** The keys that were read, jobs excepted; NULL: no reload is under way. */
    GHashTable *seen_keys;
    /** The last key of the last page; NULL: none was read yet. */
    char *last_key;
    /** The revision of the first page, from which the watch goes on. */
    revision base_revision;
};

/** Reads of evicted jobs (job_lookup.c). */
struct replica_lookup {
    mono_time started_at;
    guint in_flight;
};

struct replica_internal {
    /** There are records of a version that this one does not understand. */
    bool has_legacy_records;
    /** Ids of finished jobs, the oldest first. */
    GQueue finished_job_ids;
    /** Key -> revision, of every key. */
    GHashTable *mod_revisions;
    /** Array of struct actor. */
    GPtrArray *listeners;
    /** Array of struct replica_event that are not published yet. */
    GArray *pending_events;
    /** Key -> struct machine_type_part. */
    GHashTable *machine_type_parts;
    /** Array of struct revision_waiter (read_barrier.c). */
    GArray *waiters;
    /** Runs replica_on_expiry_timer. */
    struct timer expiry_timer;
    struct replica_watch watch;
    struct replica_reload reload;
    struct replica_lookup lookup;
};

/** A key's new value. */
struct key_update {
    const char *key;
    /** The part of the key behind its prefix. */
    const char *name;
    /** NULL: the key was deleted. */
    json_object *value;
    revision mod_revision;
};

/* ---- replica.c ---- */

/** Copies a text field if it is there; a longer one is cut. */
void replica_copy_string(json_object *value, const char *field, char *out, size_t size);
/** Adds an event to those that are published next. */
void replica_add_event(struct replica *replica, struct replica_event event);
/** Adds an event about a page or an inventory. */
void replica_add_page_event(struct replica *replica, enum replica_event_kind kind, const char *key);
/** Drops the oldest finished jobs beyond max_finished_jobs. */
void replica_evict_finished_jobs(struct replica *replica);
/** Sends the pending events to the listeners, and calls back those who wait for this revision. */
void replica_publish_events(struct replica *replica);
/** Applies a key's value, unless a newer one is known; value NULL: the key was deleted. */
void replica_apply(struct replica *replica, const char *key, json_object *value,
                   revision mod_revision);

/* ---- jobs.c ---- */

/** Finds a job or creates one that only pages name; NULL: not a valid id. */
struct job *replica_get_or_create_job(struct replica *replica, const char *id);
/** GDestroyNotify of struct job. */
void replica_job_free(gpointer job);
void replica_apply_job(struct replica *replica, const struct key_update *update);
/** completions_callback with the replica as its context. */
void replica_merge_completions(void *context, job_id id, uint32_t unit, const GByteArray *bits);
/** job_dag_observer with the replica as its context. */
void replica_on_job_dag_change(void *context, const char *id,
                               const struct job_dag_state *dag_state);

/* ---- machines.c ---- */

/** Finds a machine or creates it; NULL: not a valid id. */
struct machine_record *replica_get_or_create_machine(struct replica *replica, const char *id);
/** Removes a machine that nothing names any more. */
void replica_remove_unused_machine(struct replica *replica, struct machine_record *machine);
/** Takes over what a page or an inventory says of a machine, unless the machine has its own key. */
void machine_apply_description(struct machine_record *machine, const char *text);
/** GDestroyNotify of struct machine_record. */
void replica_machine_free(gpointer machine);
void replica_apply_machine(struct replica *replica, const struct key_update *update);

/* ---- inventories.c ---- */

/** GDestroyNotify of struct machine_inventory. */
void replica_inventory_free(gpointer inventory);
void replica_apply_inventory(struct replica *replica, const struct key_update *update);

/* ---- run_records.c ---- */

/** GDestroyNotify of struct record_page. */
void replica_page_free(gpointer page);
void replica_apply_page(struct replica *replica, const struct key_update *update);

/* ---- cluster_records.c ---- */

/** GDestroyNotify of struct node_record. */
void replica_node_free(gpointer node);
/** Frees what a struct shard_map_entry holds. */
void shard_map_entry_clear(gpointer entry);
void replica_apply_node(struct replica *replica, const struct key_update *update);
void replica_apply_version(struct replica *replica, const struct key_update *update);
void replica_apply_leader(struct replica *replica, const struct key_update *update);
void replica_apply_shard_map(struct replica *replica, const struct key_update *update);
void replica_apply_features(struct replica *replica, const struct key_update *update);
/** Applies the update if the key belongs to a singleton role or its intents. */
void replica_apply_singleton_role(struct replica *replica, const struct key_update *update);

/* ---- machine_types.c ---- */

/** GDestroyNotify of struct machine_type_part. */
void machine_type_part_free(gpointer part);
void replica_apply_machine_types(struct replica *replica, const struct key_update *update);

/* ---- watch.c ---- */

/** Timer callback: sends the next watch once its rate limit allows, or starts a reload. */
void replica_watch(void *arg);
/** Sends a GET in the lane of the watch; the callback gets the replica. */
void replica_send_request(struct replica *replica, const char *path, int response_timeout_ms,
                          http_response_callback callback);
/** Repeats a failed request after a pause. */
void replica_schedule_watch_retry(struct replica *replica);
/** Notes that the records reflect all that was stored when the last request was sent. */
void replica_mark_fresh(struct replica *replica);

/* ---- reload.c ---- */

/** Reads all keys, or goes on with it, and then watches. */
void replica_reload(struct replica *replica);
bool replica_is_reloading(const struct replica *replica);
/** Frees the state of a reload that is under way. */
void replica_reload_clear(struct replica_reload *reload);

/* ---- job_lookup.c ---- */

/** Reads jobs that others depend on and that are not in memory. */
void replica_lookup_missing_jobs(struct replica *replica);

/* ---- read_barrier.c ---- */

/** The array of those who wait for a revision. */
GArray *replica_waiters_new(void);
/** Calls back those whose revision is reflected now. */
void replica_notify_waiters(struct replica *replica);
/** Calls back those who have waited too long. */
void replica_expire_waiters(struct replica *replica);

#endif
