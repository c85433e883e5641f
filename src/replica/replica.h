/* Every node's replica of our keys (view_keys.h), at a revision, kept up by one watch.
 *
 * A node's changes go to one page or a few, however many machines they are on: writes are what the
 * state service has least of. The view owns all records below;
 * listeners are told ids, not pointers. */
#ifndef LL_VIEW_H
#define LL_VIEW_H

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
    NODE_VERSION_PIPELINES = 1,
    /* Nothing is placed on machines that are on record to be returned. */
    NODE_VERSION_DUTIES = 2,
    NODE_VERSION = NODE_VERSION_DUTIES, /* of this program */
};

/* What became of a job. */
enum job_state { JOB_LIVE, JOB_CANCELLED, JOB_DONE };

/* A job, as far as keys name it. */
struct job {
    job_id id;
    bool known; /* its key was seen, not only what hangs on it */
    bool over;  /* its key will not change any more */
    enum job_state state;
    revision stamp;
    struct spec *spec; /* NULL once it is over for good */
    wall_time submitted;
    wall_time since; /* when it could first have begun: the last job that it needs was done */
    wall_time ended; /* 0: not over, or not known */
    wall_time due;   /* by which it has to be done, also for those that need it */
    int urgency;     /* the highest of its own and of those that need it */
    bool waits;      /* for jobs that it needs: no task of it may start */
    bool upstream_cancelled; /* a job that it needs is cancelled, and so it is */
    revision cancelled_at;
    GByteArray *done; /* a bit a task; NULL when none is */
    uint32_t tasks, n_done;
    GHashTable *placed; /* index + 1 -> struct placed; NULL when none is */
};

/* A recorded task: it is on its machine, or may be, until a proof frees it. */
struct placed {
    struct job *job;
    uint32_t index;
    attempt_no attempt;
    struct host_record *host;
    struct page *page;
    uint64_t read; /* counts readings of its page */
};

/* A machine that some key names. */
struct host_record {
    host_id id;
    char addr[24], type_name[48], zone[48];
    bool spot;
    revision stamp;              /* 0: only pages name it */
    GPtrArray *tasks;            /* struct placed */
    GPtrArray *images;           /* interned names of what was fetched before, the newest last */
    char *about;                 /* see view_about */
    struct inventory *inventory; /* that says what it is; NULL: none does */
};

/* A list of machines and what they are, of one node: as long as it stands, pages need not say it.
 */
struct inventory {
    char *key, *label;
    int number;
    revision stamp;
    GPtrArray *hosts; /* struct host_record */
};

/* Part of the run records: of the machines of one node, as that node wrote it. After a change of
 * owners it may hold records of machines that others own, until these have taken them over. */
struct page {
    char *key, *label;
    int number;
    revision stamp;
    GPtrArray *tasks; /* struct placed */
    char *done;       /* tasks that are done, as they are written */
    gsize bytes;      /* of its texts */
    uint64_t read;
};

/* A live node, as its key says. */
struct node_record {
    char *label;
    char back[24];
    lease_id incarnation;
    revision stamp;
    uint64_t version;  /* of what it understands: see enum node_version */
    bool wants_duties; /* its operators have switched them on */
};

/* A node in the map, as the process that it was then. */
struct map_entry {
    char *label;
    lease_id incarnation;
};

/* What a struct change is about. */
enum change_kind {
    CHANGE_JOB,
    CHANGE_PLACED,
    CHANGE_FREED,
    CHANGE_HOST,
    CHANGE_PAGE,
    CHANGE_INVENTORY,
    CHANGE_NODES,
    CHANGE_LEADER,
    CHANGE_MAP,
    CHANGE_TYPES,
    CHANGE_DUTIES,    /* who holds them, or whether they are on */
    CHANGE_RETURNING, /* it came on record, or left it, that the machine is to be returned */
    CHANGE_RELOADED,  /* changes in between were lost */
};

/* A change that listeners are told; fields that its kind has no use for are zero. */
struct change {
    enum change_kind kind;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    host_id host;
    char page[72]; /* key */
};

/* The replica. Others read it and set most_over only. */
struct view {
    struct loop *loop;
    struct store *store;
    bool ready;
    bool older; /* there are records of an earlier version */
    revision at;
    mono_time fresh;         /* the view was the newest then */
    mono_time before;        /* and the one before then: what is new here came after that */
    GHashTable *jobs;        /* id -> struct job */
    GHashTable *hosts;       /* id -> struct host_record */
    GHashTable *pages;       /* key -> struct page */
    GHashTable *inventories; /* key -> struct inventory */
    GHashTable *nodes;       /* label -> struct node_record */
    GHashTable *spoken;      /* label -> version that a process of it has said it understands */
    uint64_t node_changes;   /* counts changes of these two */
    struct pipeline *pipeline;
    char *leader; /* label, or NULL */
    lease_id leader_incarnation;
    revision leader_stamp;
    epoch_no epoch;
    revision map_stamp;
    GArray *map; /* struct map_entry */
    GArray *types;
    GHashTable *type_parts; /* key -> struct type_part */
    struct duty_table *duties;
    bool duties_on;          /* for all nodes, as ll/features says */
    revision features_stamp; /* of that key */
    /* Jobs that are over stay in the state service; beyond so many the oldest are not kept here,
     * and whoever asks about one that is not known has to read its key. */
    guint most_over;
    bool forgot; /* some were */
    /* private */
    GQueue over;        /* ids, oldest first */
    GHashTable *stamps; /* key -> revision, of every key */
    GPtrArray *listeners;
    GArray *changes;
    GArray *waiters;
    struct timer watch_timer, expire_timer;
    double watch_level;
    mono_time watch_at, asked;
    mono_time sought_at; /* jobs that others need were last asked for */
    guint sought;        /* and are not answered yet */
    GHashTable *reload_seen;
    char *reload_from;
    revision reload_base;
};

/* The message that listeners get: its body is a GArray of struct change, in their order. */
enum { MSG_VIEW = 100 };

/* Makes one that knows nothing yet. */
struct view *view_new(struct loop *loop, struct store *store);
/* Frees it with all records. */
void view_free(struct view *view);
/* Sends MSG_VIEW to the listener from now on. */
void view_listen(struct view *view, struct actor *listener);
/* Begins to read all keys, and then watches. */
void view_start(struct view *view);

/* The job of that id, or NULL; it may be one that only pages name: see known. */
struct job *view_job(struct view *view, const char *id);
/* The machine of that id, or NULL. */
struct host_record *view_host(struct view *view, const char *id);
/* The run record of a task, or NULL. */
struct placed *job_placed(const struct job *job, uint32_t index);
/* Whether a task is marked as done. */
bool job_task_done(const struct job *job, uint32_t index);
/* What is kept of a job that is over; false when the value is of one that is not. */
bool job_read_final(struct job *job, json_object *value);
/* The value of a job that is over. */
json_object *job_final_value(enum job_state final, uint32_t tasks, wall_time ended);

/* Calls back once the view is at or past a revision that was the newest after this call; ok is
 * false when that takes too long. */
typedef void (*view_done)(void *arg, bool ok);
void view_barrier(struct view *view, view_done done, void *arg);
/* The same for a revision that is known. */
void view_await(struct view *view, revision at, view_done done, void *arg);

/* What a page has to say of a machine, as far as the view knows it; NULL: nothing. */
const char *view_about(struct view *view, const char *host);

#endif
