/* What the modules of the view share; nobody else includes this.
 *
 * view.c owns the struct, its listeners and the dispatch of a key to the module that reads its
 * value: view_job.c jobs and the pipeline's facts, view_host.c machines and lists of them,
 * view_page.c pages and the run records on them, view_cluster.c nodes, leader, map and machine
 * types. view_sync.c owns the watch and the reading of everything, view_seek.c reads of jobs that
 * are needed and not in memory, view_wait.c the read barrier and those who wait for a revision. */
#ifndef LL_VIEW_STATE_H
#define LL_VIEW_STATE_H

#include "kv_keys.h"
#include "replica.h"

/* How often those are looked for who have waited too long, and jobs that are needed. */
enum { VIEW_EXPIRE_EVERY_MS = 200 };

/* ---- view.c ---- */

/* Copies a text field if it is there; a longer one is cut. */
void view_copy_text(json_object *value, const char *field, char *out, size_t size);
/* Adds to what listeners are told next. */
void view_note_change(struct view *view, struct change change);
/* Forgets the oldest jobs that are over, beyond view->most_over. */
void view_forget_finished(struct view *view);
/* Tells the listeners what changed, and those who wait for a revision that it is here. */
void view_publish(struct view *view);
/* Takes a key's value at a revision, unless a newer one is known; value NULL: it was removed. */
void view_apply(struct view *view, const char *key, json_object *value, revision stamp);

/* ---- view_job.c ---- */

/* Finds a job or makes one that only other keys name; NULL: that is no id. */
struct job *view_job_make(struct view *view, const char *id);
/* GDestroyNotify of struct job. */
void view_job_free(gpointer p);
/* Takes the value of ll/j/ID. */
void view_apply_job(struct view *view, const char *id, json_object *value, revision stamp);
/* page_unit: adds the tasks that a page says are done; ctx is the view. */
void view_merge_done(void *ctx, job_id id, uint32_t unit, const GByteArray *bits);
/* pipeline_new's callback: what a job gets from those that it needs and that need it. */
void view_pipeline_changed(void *ctx, const char *id, const struct pipe_facts *facts);

/* ---- view_host.c ---- */

/* Finds a machine or makes one that is named for the first time; NULL: that is no id. */
struct host_record *view_host_make(struct view *view, const char *id);
/* Forgets a machine that nothing names any more. */
void view_host_leave(struct view *view, struct host_record *record);
/* Takes what a page or a list says of a machine, unless its own key says it. */
void view_host_read_about(struct host_record *record, const char *about);
/* GDestroyNotify of struct host_record. */
void view_host_free(gpointer p);
/* GDestroyNotify of struct inventory. */
void view_inventory_free(gpointer p);
/* Takes the value of ll/h/ID. */
void view_apply_host(struct view *view, const char *id, json_object *value, revision stamp);
/* Takes the value of ll/a/LABEL/N. */
void view_apply_inventory(struct view *view, const char *key, json_object *value, revision stamp);

/* ---- view_page.c ---- */

/* GDestroyNotify of struct page. */
void view_page_free(gpointer p);
/* Takes the value of ll/p/LABEL/N. */
void view_apply_page(struct view *view, const char *key, json_object *value, revision stamp);

/* ---- view_cluster.c ---- */

/* GDestroyNotify of struct node_record. */
void view_node_free(gpointer p);
/* Frees what a struct map_entry holds. */
void view_map_entry_clear(gpointer p);
/* GDestroyNotify of the values of view->type_parts. */
void view_type_part_free(gpointer p);
/* Takes the value of ll/n/LABEL. */
void view_apply_node(struct view *view, const char *label, json_object *value, revision stamp);
/* Takes the value of ll/v/LABEL. */
void view_apply_version(struct view *view, const char *label, json_object *value);
/* Takes the value of ll/leader. */
void view_apply_leader(struct view *view, json_object *value, revision stamp);
/* Takes the value of ll/map. */
void view_apply_map(struct view *view, json_object *value, revision stamp);
/* Takes the value of ll/features. */
void view_apply_features(struct view *view, json_object *value, revision stamp);
/* Takes the value of a key of the duties, if it is one. */
void view_apply_duty(struct view *view, const char *key, json_object *value, revision stamp);
/* Takes the value of ll/types or one of its continuations. */
void view_apply_types(struct view *view, const char *key, json_object *value, revision stamp);

/* ---- view_sync.c ---- */

/* Reads all keys, then watches. */
void view_reload(struct view *view);
/* Timer's callback: sends the next watch once there is budget for it. */
void view_watch(void *arg);

/* ---- view_seek.c ---- */

/* Reads jobs that another one needs and that have been over for so long that they were not kept. */
void view_seek_unknown(struct view *view);

/* ---- view_wait.c ---- */

/* Makes the list of those who wait for a revision. */
GArray *view_waiters_new(void);
/* Calls those back whose revision is here. */
void view_tell_waiters(struct view *view);
/* Timer's callback: calls those back who have waited too long. */
void view_expire(void *arg);

#endif
