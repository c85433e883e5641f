/* What the shard's files share: its state, and what they ask of one another. */
#ifndef LL_SHARD_STATE_H
#define LL_SHARD_STATE_H

#include "arq.h"
#include "resources.h"
#include "shard.h"

enum run_phase {
    RUN_NEW,      /* placed here, not on record yet */
    RUN_RECORDED, /* on record */
    RUN_FREEING,  /* proven over; the record does not say so yet */
    RUN_GONE,     /* off the record; kept until the worker has forgotten it */
};

/* Where the record of a task is. */
struct run_record {
    int page;      /* of ours, that it is on; -1: none */
    bool foreign;  /* it is on a page of another node still; which one the view knows */
    bool in_txn;   /* the transaction under way changes it */
    int next_page; /* with in_txn, the page that it comes to; -1: it leaves the records */
    bool tried;    /* it was in a transaction, of which nobody may know what became */
};

/* One task on one of our machines. */
struct run {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct room room;
    bool service;
    enum run_phase phase;
    struct run_record record;
    uint64_t deal; /* its number; 0: not dealt to this process */
    bool listed;   /* in the report at hand */
    bool seen;
    bool vanished; /* it was seen, and is not any more, with no proof that it is over */
    enum task_state state;
    bool done;             /* with RUN_FREEING: it completed */
    epoch_no sent_token;   /* the highest token that a run command for it may have carried */
    uint64_t sent_session; /* 0: not known */
    int unsettled;         /* direct run commands of which nobody knows what became */
    mono_time sent_at;     /* 0: never, by us */
    mono_time placed_at, running_at, over_at;
    int pool; /* that its machine was in when it was placed */
    bool stop;
    double grace_s;
    mono_time halt_at;
    mono_time over_since; /* its job may have been called cancelled since then; 0: it was not */
};

struct host {
    host_id id;
    char addr[24], type_name[48], zone[48];
    bool spot;
    struct room total, booked, pinned; /* pinned: by services */
    epoch_no owned_since;
    mono_time owned_at;
    bool known;
    uint64_t session, sequence, token;
    uint32_t report_hash; /* of the tasks that its newest report named */
    char via[64];         /* the node that its newest report came through; "": none */
    mono_time heard, answered;
    /* Its newest report shows that our answers and commands reach it. That it reports is no sign of
     * that: the way back may be cut. */
    bool hears;
    mono_time reached;    /* when it last did */
    mono_time token_seen; /* when its worker first showed a token that only we can give */
    bool reclaimed;
    revision stamp;    /* of the record that says what it is */
    mono_time stored;  /* when that was last written here */
    char *about;       /* what pages say of it, or NULL */
    int inventory;     /* of ours, that says it; -1: none */
    bool on_inventory; /* the transaction under way puts it on one */
    bool in_txn;
    bool described; /* the transaction under way writes what it is */
    bool removing;  /* or removes that */
    bool gone;      /* the cloud has taken it: a proof for all that ran on it */
    GPtrArray *runs;
    GArray *unknown_tasks; /* struct report_task: reported, not ours */
    GPtrArray *images;     /* interned names, the newest last */
    bool new_images;       /* its record does not name them all */
    int told_flags;        /* in the last digest; -1: not in it */
    bool told_images;      /* and what it has fetched */
    bool closed;           /* the leader wants nothing more placed there: it is slow, or sick */
    bool returning;        /* nor here, as it is to be returned, or that is on record */
    bool push_out, push_wanted, probe_out;
    mono_time probed;
    uint64_t probed_session, probed_sequence; /* known when the probe went out */
    int probe_fails;
};

/* A task that the leader dealt to this part and that has no machine yet. */
struct dealt {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    uint64_t number; /* of the deal, as the leader counts them */
    char zone[48];   /* "": any */
    char at[48];     /* "": any machine */
    int class;       /* 0: the job is not in view yet */
    int queue;       /* the class whose queue it is in */
    mono_time since, queue_since;
};

/* A list of our machines and what they are. */
struct own_inventory {
    revision stamp;
    bool dirty; /* it names machines that are not ours */
};

/* Tasks of a job that this node saw done: those of a unit of MARK_TASKS that one page says. */
struct done_unit {
    job_id job;
    uint32_t unit;
    GByteArray *bits;
    int page;     /* -1: none was chosen yet */
    bool dirty;   /* its page does not say all of it yet */
    bool more;    /* some came since the transaction under way was made */
    bool leaving; /* its page is to say it no more, once others do */
};

struct shard {
    struct actor actor;
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    struct peers *peers;
    GHashTable *redirects; /* machine -> struct redirect */
    /* Machines that the cloud took back: what still comes from them is old. */
    GHashTable *returned_machines, *returned_machines_before;
    /* Machines that the leader of this epoch returns, also those that are not known yet. */
    GHashTable *closed_for_return;
    const struct settings *settings;
    epoch_no epoch;
    uint64_t generation, last_deal, digest_seq;
    GHashTable *hosts;
    GQueue queues[ARQ_CLASSES + 1]; /* [0]: jobs not in view yet */
    struct arq_busy busy[ARQ_CLASSES + 1];
    GArray *back;       /* struct dealt: given back to the leader */
    GPtrArray *events;  /* cJSON: what went wrong, and how long tasks took, for the leader */
    GPtrArray *pages;   /* struct own_page, by number */
    guint first_source; /* of the pages of others that are taken over from: another one each time */
    GHashTable *done;   /* "JOB UNIT" -> GPtrArray of struct done_unit, one a page */
    bool txn_out;
    bool dirty; /* there is something to be written */
    struct {
        guint starts, ends, writes;
        double starts_ms, ends_ms;
    } waits;                /* for records, since they were last logged */
    GPtrArray *inventories; /* struct own_inventory, by number */
    mono_time inventory_written_at;
    mono_time split_at; /* a page that could not be split is looked at again */
    double write_level; /* of this node's share of the writes */
    mono_time write_at;
    bool digest_out, digest_soon, want_raise;
    bool digest_whole; /* the next one names all machines, not only those that changed */
    guint digests;
    bool room_changed; /* a task that waits may find room now */
    GPtrArray *roomy;  /* struct host: that may have room, while the queues are gone through */
    struct timer tick, flush, digest;
    mono_time last_switch;
    int kept_looks; /* for attempts that keep a task from its machine, in this look */
    GArray *nones;  /* struct lack: what found no machine in this look at the queues */
    struct timer place;
};

/* shard.c: the shard's messages with the leader and the view */
void shard_digest_soon(struct shard *shard);
bool shard_machine_was_returned(const struct shard *shard, const char *id);
bool shard_machine_returning(const struct shard *shard, const char *id);

/* shard_host.c: machines, and what proves that a task is over */
struct job *shard_live_job(struct shard *shard, job_id id);
void shard_run_unbook(struct shard *shard, struct host *host, struct run *run);
void shard_run_remove(struct shard *shard, struct host *host, guint at);
struct run *shard_run_add(struct host *host, job_id job, uint32_t index, attempt_no attempt,
                          const struct spec *spec);
struct run *shard_run_find(struct host *host, job_id job, uint32_t index, attempt_no attempt);
struct host *shard_host_get(struct shard *shard, const char *id);
struct host *shard_host_make(struct shard *shard, host_id id);
void shard_host_typed(struct shard *shard, struct host *host);
bool shard_host_has_run(const struct host *host);
void shard_run_stop(struct run *run, double grace_s);
void shard_run_apply_job(struct shard *shard, struct run *run);
/* Whether a job is over for all that this node knows, from its view or from other nodes: what runs
 * of it is to be stopped. */
bool shard_job_over(struct shard *shard, job_id id);
void shard_host_sync(struct shard *shard, struct host *host, int page); /* -1: all */
bool shard_lease_surely_over(struct shard *shard, struct host *host);
void shard_free_all_runs(struct shard *shard, struct host *host, const char *why);
/* Its worker has shown that it hears us. */
void shard_host_reached(struct shard *shard, struct host *host);
void shard_host_reported(struct shard *shard, struct host *host, const struct report *rep);
uint32_t shard_report_hash(const struct report *rep);

/* shard_worker.c: orders and reports */
void shard_push(struct shard *shard, struct host *host);
/* Whether no command may start the attempt once more after it was cleared. */
bool shard_may_clear(const struct host *host, const struct run *run);
/* How long a node that hears nothing from the state service may go on renewing workers' leases. */
int64_t shard_keeping_ms(const struct shard *shard);
void shard_probe(struct shard *shard, struct host *host);

/* shard_mark.c: what is done */
typedef bool (*page_test)(const void *ctx, int page);
/* What a page says of tasks that are done, and the room that this may come to take besides. */
struct marks_on {
    GString *text;
    gsize growth;
    bool dirty; /* it did not say all of that before */
};
/* Whether a mark for it may be written now. */
bool shard_may_mark(struct shard *shard, const struct run *run);
/* A task is done: to be recorded, in the same transaction as its end or before. */
void shard_mark_done(struct shard *shard, struct run *run);
/* Whether that is said for good, or will be with the pages that are written now. */
bool shard_mark_written(struct shard *shard, const struct run *run, page_test written,
                        const void *ctx);
guint shard_unit_size(const struct job *job, uint32_t unit);
void shard_marks_read(struct shard *shard, const char *text, int page);
void shard_marks_write(struct shard *shard, int page, bool plain, struct marks_on *on);
gsize shard_marks_growth(struct shard *shard, int page);
/* Some marks are to leave the page. */
void shard_marks_move(struct shard *shard, int page);
/* Marks that are on no page yet go to one of these; false when some find no room. */
bool shard_marks_place(struct shard *shard, const int *pages, guint n);
/* Those pages were written. */
void shard_marks_durable(struct shard *shard, page_test written, const void *ctx);
/* Adds to what is waited for by page; true when some marks are on none. A batch begins with that.
 */
bool shard_marks_want(struct shard *shard, double *pages, double weight);

/* shard_inventory.c: lists of machines */
void shard_inventories_sync(struct shard *shard);
bool shard_inventory_due(struct shard *shard);
/* A machine is not to be listed any more. */
void shard_inventory_lost(struct shard *shard, const struct host *host);
void shard_inventory(struct shard *shard);

/* shard_split.c: pages that are too long by now */
bool shard_label_long(const struct shard *shard, const char *label);
bool shard_split_due(struct shard *shard);
/* False when nothing can be done about it yet, and other work may go on. */
bool shard_split(struct shard *shard);
void shard_done_free(gpointer q); /* shard_mark.c */

/* shard_place.c: queues and placement */
bool shard_host_open(struct shard *shard, struct host *host);
void shard_place_all(void *arg);
/* The same a moment later, once for many reports. */
void shard_place_soon(struct shard *shard);
/* Back to the leader. */
void shard_give_back(struct shard *shard, const struct dealt *dealt);

#endif
