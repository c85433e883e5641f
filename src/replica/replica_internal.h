/* What the modules of the view share; nobody else includes this.
 *
 * replica.c owns the struct, its listeners and the dispatch of a key to the module that reads its
 * value: jobs.c jobs and the pipeline's facts, machines.c machines and lists of them,
 * run_records.c pages and the run records on them, cluster_records.c nodes, leader, map and machine
 * types. watch.c owns the watch and the reading of everything, job_lookup.c reads of jobs that
 * are needed and not in memory, read_barrier.c the read barrier and those who wait for a revision.
 */
#ifndef LL_VIEW_STATE_H
#define LL_VIEW_STATE_H

#include "kv_keys.h"
#include "replica.h"

/* How often those are looked for who have waited too long, and jobs that are needed. */
enum { EXPIRY_CHECK_INTERVAL_MS = 200 };

/* ---- replica.c ---- */

/* Copies a text field if it is there; a longer one is cut. */
void replica_copy_text(json_object *value, const char *field, char *out, size_t size);
/* Adds to what listeners are told next. */
void replica_add_event(struct replica *replica, struct replica_event event);
/* Forgets the oldest jobs that are over, beyond view->max_finished_jobs. */
void replica_evict_finished_jobs(struct replica *replica);
/* Tells the listeners what changed, and those who wait for a revision that it is here. */
void replica_publish_events(struct replica *replica);
/* Takes a key's value at a revision, unless a newer one is known; value NULL: it was removed. */
void replica_apply(struct replica *replica, const char *key, json_object *value,
                   revision mod_revision);

/* ---- jobs.c ---- */

/* Finds a job or makes one that only other keys name; NULL: that is no id. */
struct job *replica_get_or_create_job(struct replica *replica, const char *id);
/* GDestroyNotify of struct job. */
void replica_job_free(gpointer p);
/* Takes the value of ll/j/ID. */
void replica_apply_job(struct replica *replica, const char *id, json_object *value,
                       revision mod_revision);
/* completions_callback: adds the tasks that a page says are done; ctx is the view. */
void replica_merge_completions(void *context, job_id id, uint32_t unit, const GByteArray *bits);
/* job_dag_new's callback: what a job gets from those that it needs and that need it. */
void replica_on_job_dag_change(void *context, const char *id,
                               const struct job_dag_state *dag_state);

/* ---- machines.c ---- */

/* Finds a machine or makes one that is named for the first time; NULL: that is no id. */
struct machine_record *replica_get_or_create_machine(struct replica *replica, const char *id);
/* Forgets a machine that nothing names any more. */
void replica_remove_unused_machine(struct replica *replica, struct machine_record *machine);
/* Takes what a page or a list says of a machine, unless its own key says it. */
void machine_apply_description(struct machine_record *machine, const char *description);
/* GDestroyNotify of struct machine_record. */
void replica_machine_free(gpointer p);
/* GDestroyNotify of struct machine_inventory. */
void replica_inventory_free(gpointer p);
/* Takes the value of ll/h/ID. */
void replica_apply_machine(struct replica *replica, const char *id, json_object *value,
                           revision mod_revision);
/* Takes the value of ll/a/LABEL/N. */
void replica_apply_inventory(struct replica *replica, const char *key, json_object *value,
                             revision mod_revision);

/* ---- run_records.c ---- */

/* GDestroyNotify of struct record_page. */
void replica_page_free(gpointer p);
/* Takes the value of ll/p/LABEL/N. */
void replica_apply_page(struct replica *replica, const char *key, json_object *value,
                        revision mod_revision);

/* ---- cluster_records.c ---- */

/* GDestroyNotify of struct node_record. */
void replica_node_free(gpointer p);
/* Frees what a struct shard_map_entry holds. */
void shard_map_entry_clear(gpointer p);
/* GDestroyNotify of the values of view->machine_type_parts. */
void machine_type_part_free(gpointer p);
/* Takes the value of ll/n/LABEL. */
void replica_apply_node(struct replica *replica, const char *label, json_object *value,
                        revision mod_revision);
/* Takes the value of ll/v/LABEL. */
void replica_apply_version(struct replica *replica, const char *label, json_object *value);
/* Takes the value of ll/leader. */
void replica_apply_leader(struct replica *replica, json_object *value, revision mod_revision);
/* Takes the value of ll/map. */
void replica_apply_shard_map(struct replica *replica, json_object *value, revision mod_revision);
/* Takes the value of ll/features. */
void replica_apply_features(struct replica *replica, json_object *value, revision mod_revision);
/* Takes the value of a key of the duties, if it is one. */
void replica_apply_singleton_role(struct replica *replica, const char *key, json_object *value,
                                  revision mod_revision);
/* Takes the value of ll/types or one of its continuations. */
void replica_apply_machine_types(struct replica *replica, const char *key, json_object *value,
                                 revision mod_revision);

/* ---- watch.c ---- */

/* Reads all keys, then watches. */
void replica_reload(struct replica *replica);
/* Timer's callback: sends the next watch once there is budget for it. */
void replica_watch(void *arg);

/* ---- job_lookup.c ---- */

/* Reads jobs that another one needs and that have been over for so long that they were not kept. */
void replica_lookup_unknown_jobs(struct replica *replica);

/* ---- read_barrier.c ---- */

/* Makes the list of those who wait for a revision. */
GArray *replica_waiters_new(void);
/* Calls those back whose revision is here. */
void replica_notify_waiters(struct replica *replica);
/* Timer's callback: calls those back who have waited too long. */
void replica_expire_waiters(void *arg);

#endif
