/* What the part's files share: its state, and what they ask of one another. */
#ifndef LL_PART_STATE_H
#define LL_PART_STATE_H

#include "arq.h"
#include "part.h"
#include "room.h"

enum run_phase {
    RUN_NEW,      /* placed here, not on record yet */
    RUN_RECORDED, /* on record */
    RUN_FREEING,  /* proven over; the record does not say so yet */
    RUN_GONE,     /* off the record; kept until the worker has forgotten it */
};

/* One task on one of our machines. */
struct run {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct room room;
    bool service;
    enum run_phase phase;
    int page;     /* of ours, that its record is on; -1: none */
    bool foreign; /* it is on a page of another node still; which one the view knows */
    int put;      /* with in_txn, the page that it comes to; -1: it leaves the records */
    bool in_txn;
    bool tried;    /* it was in a transaction, of which nobody may know what became */
    uint64_t deal; /* its number; 0: not dealt to this process */
    bool listed;   /* in the report at hand */
    bool seen;
    bool vanished; /* it was seen, and is not any more, with no proof that it is over */
    enum task_state state;
    bool done;           /* with RUN_FREEING: it completed */
    epoch_no sent_helm;  /* the highest token that a run command for it may have carried */
    uint64_t sent_shift; /* 0: not known */
    int unsettled;       /* direct run commands of which nobody knows what became */
    mono_time sent_at;   /* 0: never, by us */
    mono_time placed_at, running_at, over_at;
    int pool; /* that its machine was in when it was placed */
    bool stop;
    double wind_down_s;
    mono_time halt_at;
    mono_time over_since; /* its job may have been called cancelled since then; 0: it was not */
};

struct host {
    host_id id;
    char addr[24], build[48], yard[48];
    bool loaners;
    struct room total, booked, pinned; /* pinned: by services */
    epoch_no owned_since;
    mono_time owned_at;
    bool known;
    uint64_t shift, tally, helm;
    uint32_t print; /* of the tasks that its newest report named */
    char via[64];   /* the node that its newest report came through; "": none */
    mono_time heard, answered;
    /* Its newest report shows that our answers and commands reach it. That it reports is no sign of
     * that: the way back may be cut. */
    bool hears;
    mono_time reached;   /* when it last did */
    mono_time helm_seen; /* when its worker first showed a token that only we can give */
    bool recalled;
    revision stamp;   /* of the record that says what it is */
    mono_time stored; /* when that was last written here */
    char *about;      /* what pages say of it, or NULL */
    int roll;         /* of ours, that says it; -1: none */
    bool on_roll;     /* the transaction under way puts it on one */
    bool in_txn;
    bool described; /* the transaction under way writes what it is */
    bool removing;  /* or removes that */
    bool gone;      /* the cloud has taken it: a proof for all that ran on it */
    GPtrArray *runs;
    GArray *strays;    /* struct report_task: reported, not ours */
    GPtrArray *images; /* interned names, the newest last */
    bool new_images;   /* its record does not name them all */
    int told_flags;    /* in the last digest; -1: not in it */
    bool told_images;  /* and what it has fetched */
    bool shut;         /* the leader wants nothing more placed there: it is slow, or sick */
    bool push_out, push_wanted, probe_out;
    mono_time probed;
    uint64_t probed_shift, probed_tally; /* known when the probe went out */
    int probe_fails;
};

/* A task that the leader dealt to this part and that has no machine yet. */
struct dealt {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    uint64_t number; /* of the deal, as the leader counts them */
    char yard[48];   /* "": any */
    char at[48];     /* "": any machine */
    int class;       /* 0: the job is not in view yet */
    int queue;       /* the class whose queue it is in */
    mono_time since, queue_since;
};

/* One of this node's pages: see page.h. */
struct own_page {
    revision stamp;
    gsize bytes;      /* of its texts, as they were last written or seen, and what waits for it */
    GArray *leftover; /* struct page_rec, of machines that are another node's now */
};

/* A list of our machines and what they are. */
struct own_roll {
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

struct part {
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
    GHashTable *buried, *buried_before;
    const struct settings *settings;
    epoch_no epoch;
    uint64_t generation, last_deal, digest_seq;
    GHashTable *hosts;
    GQueue queues[ARQ_CLASSES + 1]; /* [0]: jobs not in view yet */
    struct arq_busy busy[ARQ_CLASSES + 1];
    GArray *back;       /* struct dealt: given back to the leader */
    GPtrArray *news;    /* cJSON: what went wrong, and how long tasks took, for the leader */
    GPtrArray *pages;   /* struct own_page, by number */
    guint first_source; /* of the pages of others that are taken over from: another one each time */
    GHashTable *done;   /* "JOB UNIT" -> GPtrArray of struct done_unit, one a page */
    bool txn_out;
    bool dirty; /* there is something to be written */
    struct {
        guint starts, ends, writes;
        double starts_ms, ends_ms;
    } waits;          /* for records, since they were last logged */
    GPtrArray *rolls; /* struct own_roll, by number */
    mono_time rolled_at;
    mono_time split_at; /* a page that could not be split is looked at again */
    double write_level; /* of this node's share of the writes */
    mono_time write_at;
    bool digest_out, digest_soon, want_raise;
    bool digest_whole; /* the next one names all machines, not only those that changed */
    guint digests;
    bool room_news;   /* a task that waits may find room now */
    GPtrArray *roomy; /* struct host: that may have room, while the queues are gone through */
    struct timer tick, flush, digest;
    mono_time last_switch;
    int kept_looks; /* for attempts that keep a task from its machine, in this look */
    GArray *nones;  /* struct lack: what found no machine in this look at the queues */
    struct timer place;
};

/* part.c: the part's messages with the leader and the view */
void part_digest_soon(struct part *p);
bool part_is_buried(const struct part *p, const char *id);

/* part_host.c: machines, and what proves that a task is over */
struct job *part_live_job(struct part *p, job_id id);
void part_run_unbook(struct part *p, struct host *h, struct run *r);
void part_run_remove(struct part *p, struct host *h, guint at);
struct run *part_run_add(struct host *h, job_id job, uint32_t index, attempt_no attempt,
                         const struct spec *s);
struct run *part_run_find(struct host *h, job_id job, uint32_t index, attempt_no attempt);
struct host *part_host_get(struct part *p, const char *id);
struct host *part_host_make(struct part *p, host_id id);
void part_host_typed(struct part *p, struct host *h);
bool part_host_has_run(const struct host *h);
void part_run_stop(struct run *r, double wind_down_s);
void part_run_heed_job(struct part *p, struct run *r);
/* Whether a job is over for all that this node knows, from its view or from other nodes: what runs
 * of it is to be stopped. */
bool part_job_over(struct part *p, job_id id);
void part_host_sync(struct part *p, struct host *h, int page); /* -1: all */
bool part_lease_surely_over(struct part *p, struct host *h);
void part_free_all_runs(struct part *p, struct host *h, const char *why);
/* Its worker has shown that it hears us. */
void part_host_reached(struct part *p, struct host *h);
void part_host_reported(struct part *p, struct host *h, const struct report *rep);
uint32_t part_report_print(const struct report *rep);

/* part_worker.c: orders and reports */
void part_push(struct part *p, struct host *h);
/* Whether no command may start the attempt once more after it was cleared. */
bool part_may_clear(const struct host *h, const struct run *r);
/* How long a node that hears nothing from the state service may go on renewing workers' leases. */
int64_t part_keeping_ms(const struct part *p);
void part_probe(struct part *p, struct host *h);

/* part_record.c: run records */
void part_flush_soon(struct part *p);
/* What is on record, or is to be, has changed. */
void part_dirty(struct part *p);
/* How long the texts of a page may be together, and whether one is longer. */
gsize part_text_bytes(const struct part *p);
bool part_page_long(const struct part *p, const struct page *g);
/* Whether nodes of version 0 may come to read what is written. */
bool part_plain(const struct part *p);
bool part_record_has_room(struct part *p, struct host *h, job_id job);
/* One more task, which is to be recorded. */
void part_record_new(struct part *p, struct host *h, job_id job);
void part_page_changed(struct part *p, const char *key);
/* Makes all pages and machines agree with the view. */
void part_records_sync(struct part *p);
void part_flush(void *arg);
void part_log_waits(struct part *p);
/* A transaction with the conditions of all that this node writes of records. */
struct txn *part_txn(struct part *p);
void part_page_set(struct txn *t, const char *key, revision stamp, const char *tasks,
                   const char *done);

/* Room on a page, for marks that are to come as well; and some of it is taken. */
gsize part_page_room(struct part *p, int number);
void part_page_keep(struct part *p, int number, gsize bytes);

/* part_mark.c: what is done */
typedef bool (*page_test)(const void *ctx, int page);
/* What a page says of tasks that are done, and the room that this may come to take besides. */
struct marks_on {
    GString *text;
    gsize growth;
    bool dirty; /* it did not say all of that before */
};
/* Whether a mark for it may be written now. */
bool part_may_mark(struct part *p, const struct run *r);
/* A task is done: to be recorded, in the same transaction as its end or before. */
void part_mark_done(struct part *p, struct run *r);
/* Whether that is said for good, or will be with the pages that are written now. */
bool part_mark_written(struct part *p, const struct run *r, page_test written, const void *ctx);
guint part_unit_size(const struct job *j, uint32_t unit);
void part_marks_read(struct part *p, const char *text, int page);
void part_marks_write(struct part *p, int page, bool plain, struct marks_on *on);
gsize part_marks_growth(struct part *p, int page);
/* Some marks are to leave the page. */
void part_marks_move(struct part *p, int page);
/* Marks that are on no page yet go to one of these; false when some find no room. */
bool part_marks_place(struct part *p, const int *pages, guint n);
/* Those pages were written. */
void part_marks_durable(struct part *p, page_test written, const void *ctx);
/* Adds to what is waited for by page; true when some marks are on none. A batch begins with that.
 */
bool part_marks_want(struct part *p, double *pages, double weight);

/* A write of ours other than of a batch is over; ok: the view shows what became of it. */
void part_write_over(struct part *p, uint64_t generation, bool ok);

/* part_roll.c: lists of machines */
void part_rolls_sync(struct part *p);
bool part_roll_due(struct part *p);
/* A machine is not to be listed any more. */
void part_roll_lost(struct part *p, const struct host *h);
void part_roll(struct part *p);

/* part_split.c: pages that are too long by now */
bool part_label_long(const struct part *p, const char *label);
bool part_split_due(struct part *p);
/* False when nothing can be done about it yet, and other work may go on. */
bool part_split(struct part *p);
void part_done_free(gpointer q); /* part_mark.c */
void part_page_free(gpointer q);

/* part_place.c: queues and placement */
bool part_host_open(struct part *p, struct host *h);
void part_place_all(void *arg);
/* The same a moment later, once for many reports. */
void part_place_soon(struct part *p);
/* Back to the leader. */
void part_give_back(struct part *p, const struct dealt *d);

#endif
