/* Every node's replica of our keys, at a revision, kept up by one watch.
 *
 * Keys: ll/n/LABEL a live node, ll/leader, ll/map, ll/types, ll/j/JOB, ll/h/HOST what a machine is,
 * ll/p/LABEL/N the pages on which LABEL keeps the run records of its machines and the tasks that it
 * saw done. A node's changes go to one page or a few, however many machines they are on: writes are
 * what the state service has least of. */
#ifndef LL_VIEW_H
#define LL_VIEW_H

#include "store.h"

#define KEY_ROOT "ll/"
#define KEY_LEADER "ll/leader"
#define KEY_MAP "ll/map"
#define KEY_TYPES "ll/types"

enum { DONE_CHUNK = 8192 };

enum job_state { JOB_LIVE, JOB_CANCELLED, JOB_DONE };

struct job {
    job_id id;
    bool known; /* its key was seen, not only what hangs on it */
    bool over;  /* its key will not change any more */
    enum job_state state;
    revision stamp;
    struct spec *spec; /* NULL once it is over for good */
    wall_time submitted;
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

struct host_record {
    host_id id;
    char addr[24], build[48], yard[48];
    bool loaners;
    revision stamp;    /* 0: only pages name it */
    GPtrArray *tasks;  /* struct placed */
    GPtrArray *images; /* interned names of what was fetched before, the newest last */
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

struct node_record {
    char *label;
    char back[24];
    lease_id incarnation;
    revision stamp;
};

struct map_entry {
    char *label;
    lease_id incarnation;
};

enum change_kind {
    CHANGE_JOB,
    CHANGE_PLACED,
    CHANGE_FREED,
    CHANGE_HOST,
    CHANGE_PAGE,
    CHANGE_NODES,
    CHANGE_LEADER,
    CHANGE_MAP,
    CHANGE_TYPES,
    CHANGE_RELOADED, /* changes in between were lost */
};

struct change {
    enum change_kind kind;
    job_id job;
    uint32_t index;
    attempt_no attempt;
    host_id host;
    char page[72]; /* key */
};

struct view {
    struct loop *loop;
    struct store *store;
    bool ready;
    bool older; /* there are records of an earlier version */
    revision at;
    mono_time fresh;   /* the view was the newest then */
    GHashTable *jobs;  /* id -> struct job */
    GHashTable *hosts; /* id -> struct host_record */
    GHashTable *pages; /* key -> struct page */
    GHashTable *nodes; /* label -> struct node_record */
    char *leader;      /* label, or NULL */
    lease_id leader_incarnation;
    revision leader_stamp;
    epoch_no epoch;
    revision map_stamp;
    GArray *map; /* struct map_entry */
    GArray *types;
    revision types_stamp;
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
    GHashTable *reload_seen;
    char *reload_from;
    revision reload_base;
};

/* The message that listeners get: its body is a GArray of struct change, in their order. */
enum { MSG_VIEW = 100 };

struct view *view_new(struct loop *loop, struct store *store);
void view_free(struct view *v);
void view_listen(struct view *v, struct actor *listener);
void view_start(struct view *v);

struct job *view_job(struct view *v, const char *id);
struct host_record *view_host(struct view *v, const char *id);
struct placed *job_placed(const struct job *j, uint32_t index);
bool job_task_done(const struct job *j, uint32_t index);
/* What is kept of a job that is over; false when the value is of one that is not. */
bool job_read_final(struct job *j, json_object *value);

/* Calls back once the view is at or past a revision that was the newest after this call; ok is
 * false when that takes too long. */
typedef void (*view_done)(void *arg, bool ok);
void view_barrier(struct view *v, view_done done, void *arg);
/* The same for a revision that is known. */
void view_await(struct view *v, revision at, view_done done, void *arg);

char *key_job(job_id id);
char *key_host(host_id id);
char *key_node(const char *label);
char *key_page(const char *label, int number);

/* ---- the text of a page ----
 *
 * Run records: "@HOST #JOB *ATTEMPT INDEX INDEX ..."; each word holds until the next of its kind.
 * "=ADDRESS,TYPE,ZONE,SPOT" behind "@HOST" says what a machine is that has no record of its own
 * yet: these are written when there are writes to spare.
 * Done: "#JOB CHUNK:BITS ...", the bits of a chunk in hexadecimal, eight tasks to two digits, the
 * first task in the lowest bit; zeros at the end are left out. */
struct page_writer {
    GString *text;
    host_id host;
    job_id job;
    attempt_no attempt;
};

/* Makes an array of bits at least so long, with zeros. */
void bits_grow(GByteArray *bits, guint len);
/* about: of machine_about(), or NULL. */
void page_write_task(struct page_writer *w, host_id host, const char *about, job_id job,
                     attempt_no attempt, uint32_t index);
/* NULL when it cannot be said in one word. */
char *machine_about(const char *addr, const char *build, const char *yard, bool loaners);
/* What a page has to say of a machine, as far as the view knows it; NULL: nothing. */
char *host_record_about(const struct host_record *h);
void page_write_done(struct page_writer *w, job_id job, uint32_t chunk, const GByteArray *bits);
/* Calls back for every chunk of a text of done tasks. */
typedef void (*page_chunk)(void *ctx, job_id job, uint32_t chunk, const GByteArray *bits);
void page_read_done(const char *text, page_chunk take, void *ctx);

#endif
