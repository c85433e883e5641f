/* Every node's replica of our keys (kv_keys.h), at a revision, kept up by one watch.
 *
 * A node's changes go to one page or a few, however many machines they are on: writes are what the
 * state service has least of. The view owns all records below;
 * listeners are told ids, not pointers. */
#ifndef LL_VIEW_H
#define LL_VIEW_H

#include "codec.h"
#include "job_dag.h"
#include "kv_client.h"
#include "kv_keys.h"
#include "record_page_codec.h"
#include "role_records.h"

/* What a node understands, as it says in its own key. */
enum node_version {
    NODE_VERSION_FIRST = 0, /* nothing is said */
    /* Jobs may need others, a machine's records may be on several pages, and marks may begin within
     * a chunk. */
    NODE_VERSION_JOB_DAG = 1,
    /* Nothing is placed on machines that are on record to be returned. */
    NODE_VERSION_SINGLETON_ROLES = 2,
    NODE_VERSION_CURRENT = NODE_VERSION_SINGLETON_ROLES, /* of this program */
};

/* What became of a job. */
enum job_state { JOB_ACTIVE, JOB_CANCELLED, JOB_DONE };

/* A job, as far as keys name it. */
struct job {
    job_id id;
    bool is_known;    /* its key was seen, not only what hangs on it */
    bool is_finished; /* its key will not change any more */
    enum job_state state;
    revision mod_revision;
    struct job_spec *spec; /* NULL once it is over for good */
    wall_time submitted_at;
    wall_time eligible_at; /* when it could first have begun: the last job that it needs was done */
    wall_time ended_at;    /* 0: not over, or not known */
    wall_time inherited_deadline;  /* by which it has to be done, also for those that need it */
    int inherited_priority;        /* the highest of its own and of those that need it */
    bool has_pending_dependencies; /* for jobs that it needs: no task of it may start */
    bool is_upstream_cancelled;    /* a job that it needs is cancelled, and so it is */
    revision cancelled_at;
    GByteArray *completion_bits; /* a bit a task; NULL when none is */
    uint32_t task_count, completed_count;
    GHashTable *run_records; /* index + 1 -> struct record_state; NULL when none is */
};

/* A recorded task: it is on its machine, or may be, until a proof frees it. */
struct run_record {
    struct job *job;
    uint32_t task_index;
    attempt_no attempt;
    struct machine_record *machine;
    struct record_page *page;
    uint64_t page_generation; /* counts readings of its page */
};

/* A machine that some key names. */
struct machine_record {
    machine_id id;
    char address[24], machine_type_name[48], zone[48];
    bool is_spot;
    revision mod_revision;    /* 0: only pages name it */
    GPtrArray *run_records;   /* struct record_state */
    GPtrArray *cached_images; /* interned names of what was fetched before, the newest last */
    char *description;        /* see replica_get_machine_description */
    struct machine_inventory *inventory; /* that says what it is; NULL: none does */
};

/* A list of machines and what they are, of one node: as long as it stands, pages need not say it.
 */
struct machine_inventory {
    char *key, *label;
    int number;
    revision mod_revision;
    GPtrArray *machines; /* struct machine_record */
};

/* Part of the run records: of the machines of one node, as that node wrote it. After a change of
 * owners it may hold records of machines that others own, until these have taken them over. */
struct record_page {
    char *key, *label;
    int number;
    revision mod_revision;
    GPtrArray *run_records; /* struct record_state */
    char *completions_text; /* tasks that are done, as they are written */
    gsize size_bytes;       /* of its texts */
    uint64_t generation;
};

/* A live node, as its key says. */
struct node_record {
    char *label;
    char rpc_address[24];
    lease_id incarnation;
    revision mod_revision;
    uint64_t understood_version; /* of what it understands: see enum node_version */
    bool wants_singleton_roles;  /* its operators have switched them on */
};

/* A node in the map, as the process that it was then. */
struct shard_map_entry {
    char *label;
    lease_id incarnation;
};

/* What a struct replica_event is about. */
enum replica_event_kind {
    REPLICA_EVENT_JOB,
    REPLICA_EVENT_RUN_RECORDED,
    REPLICA_EVENT_RUN_REMOVED,
    REPLICA_EVENT_MACHINE,
    REPLICA_EVENT_PAGE,
    REPLICA_EVENT_INVENTORY,
    REPLICA_EVENT_NODES,
    REPLICA_EVENT_LEADER,
    REPLICA_EVENT_SHARD_MAP,
    REPLICA_EVENT_MACHINE_TYPES,
    REPLICA_EVENT_SINGLETON_ROLES, /* who holds them, or whether they are on */
    REPLICA_EVENT_MACHINE_RETURN,  /* it came on record, or left it, that the machine is to be
                                      returned */
    REPLICA_EVENT_RELOADED,        /* changes in between were lost */
};

/* A change that listeners are told; fields that its kind has no use for are zero. */
struct replica_event {
    enum replica_event_kind kind;
    job_id job;
    uint32_t task_index;
    attempt_no attempt;
    machine_id machine;
    char page_key[72]; /* key */
};

/* The replica. Others read it and set max_finished_jobs only. */
struct replica {
    struct loop *loop;
    struct kv_client *kv;
    bool is_ready;
    bool has_legacy_records; /* there are records of an earlier version */
    revision applied_revision;
    mono_time fresh_at;          /* the view was the newest then */
    mono_time previous_fresh_at; /* and the one before then: what is new here came after that */
    GHashTable *jobs;            /* id -> struct job */
    GHashTable *machines;        /* id -> struct machine_record */
    GHashTable *pages;           /* key -> struct record_page */
    GHashTable *inventories;     /* key -> struct machine_inventory */
    GHashTable *nodes;           /* label -> struct node_record */
    GHashTable
        *announced_versions;    /* label -> version that a process of it has said it understands */
    uint64_t node_change_count; /* counts changes of these two */
    struct job_dag *job_dag;
    char *leader_label; /* label, or NULL */
    lease_id leader_incarnation;
    revision leader_mod_revision;
    epoch_no shard_map_epoch;
    revision shard_map_mod_revision;
    GArray *shard_map; /* struct shard_map_entry */
    GArray *machine_types;
    GHashTable *machine_type_parts; /* key -> struct machine_type_part */
    struct role_records *singleton_roles;
    bool singleton_roles_enabled;   /* for all nodes, as ll/features says */
    revision features_mod_revision; /* of that key */
    /* Jobs that are over stay in the state service; beyond so many the oldest are not kept here,
     * and whoever asks about one that is not known has to read its key. */
    guint max_finished_jobs;
    bool has_evicted_jobs; /* some were */
    /* private */
    GQueue finished_job_ids;   /* ids, oldest first */
    GHashTable *mod_revisions; /* key -> revision, of every key */
    GPtrArray *listeners;
    GArray *pending_events;
    GArray *waiters;
    struct timer watch_timer, expire_timer;
    double watch_tokens;
    mono_time watch_refilled_at, requested_at;
    mono_time lookup_started_at; /* jobs that others need were last asked for */
    guint lookups_in_flight;     /* and are not answered yet */
    GHashTable *reload_seen_keys;
    char *reload_last_key;
    revision reload_base_revision;
};

/* The message that listeners get: its body is a GArray of struct replica_event, in their order. */
enum { MSG_REPLICA = 100 };

/* Makes one that knows nothing yet. */
struct replica *replica_new(struct loop *loop, struct kv_client *kv);
/* Frees it with all records. */
void replica_free(struct replica *replica);
/* Sends MSG_REPLICA to the listener from now on. */
void replica_add_listener(struct replica *replica, struct actor *listener);
/* Begins to read all keys, and then watches. */
void replica_start(struct replica *replica);

/* The job of that id, or NULL; it may be one that only pages name: see known. */
struct job *replica_get_job(struct replica *replica, const char *id);
/* The machine of that id, or NULL. */
struct machine_record *replica_get_machine(struct replica *replica, const char *id);
/* The run record of a task, or NULL. */
struct run_record *job_get_run_record(const struct job *job, uint32_t task_index);
/* Whether a task is marked as done. */
bool job_is_task_completed(const struct job *job, uint32_t task_index);
/* What is kept of a job that is over; false when the value is of one that is not. */
bool job_decode_final(struct job *job, json_object *value);
/* The value of a job that is over. */
json_object *job_encode_final(enum job_state final_state, uint32_t task_count, wall_time ended_at);

/* Calls back once the view is at or past a revision that was the newest after this call; ok is
 * false when that takes too long. */
typedef void (*replica_callback)(void *arg, bool ok);
void replica_read_barrier(struct replica *replica, replica_callback callback, void *callback_arg);
/* The same for a revision that is known. */
void replica_await_revision(struct replica *replica, revision revision_needed,
                            replica_callback callback, void *callback_arg);

/* What a page has to say of a machine, as far as the view knows it; NULL: nothing. */
const char *replica_get_machine_description(struct replica *replica, const char *machine_name);

#endif
