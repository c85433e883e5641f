/* A transaction of run records while it is made and until its outcome is known; shared by the files
 * shard_record_*.c only. */
#ifndef LL_SHARD_BATCH_H
#define LL_SHARD_BATCH_H

#include "run_records_internal.h"

enum {
    BATCH_BYTES = 48 * 1024, /* of all values in one transaction */
    WRITE_BURST = 6,         /* writes that may be made at once after a pause */
};

/* A page of ours that is being written. */
struct draft {
    int number;
    GArray *records;  /* struct page_rec */
    GHashTable *jobs; /* "JOB" and "JOB ATTEMPT" that it has records of */
    struct marks_on marks;
    gsize used; /* bytes that its texts take at most, with the room that marks may still take */
    bool over;  /* even what has to stay is too long */
    bool changed;
};

/* A transaction of run records. */
struct batch {
    struct shard *shard;
    uint64_t generation;
    bool plain;
    GPtrArray *hosts;   /* char *: ids */
    struct txn *txn;    /* while it is made */
    GHashTable *jobs;   /* that it is conditioned on */
    GPtrArray *drafts;  /* struct draft */
    GPtrArray *sources; /* struct page: of other nodes, from which machines are taken over */
    int spare;          /* writes that are left for what machines are */
    bool rest;          /* something waits for the next one */
};

/* shard_record_batch.c: makes the transaction */

/* An empty one, with the conditions of all that this node writes of records. */
struct batch *shard_batch_new(struct shard *shard);
/* Frees it, but for its transaction. */
void shard_batch_free(struct batch *batch);
/* Puts what has changed into the transaction: what machines are, then pages, then the pages of
 * other nodes without what was taken over from them. In this order whoever reads it never misses a
 * task. */
void shard_batch_fill(struct batch *batch);
/* A record comes to a page that is written; false: none has room for it within most bytes. */
bool shard_batch_put(struct batch *batch, struct host *host, struct run *run, gsize most);

/* shard_record_choose.c: what goes into the transaction */

/* Chooses which pages are written: those for which most is waited, and one with room for what is
 * new if they have none. Opens their drafts. */
void shard_batch_choose(struct batch *batch);

/* shard_record_draft.c: the pages that are written */

/* The draft of the page with that number, or NULL. */
struct draft *shard_draft_of(const struct batch *batch, int number);
/* The same as a page_test; batch: a struct batch. */
bool shard_is_drafted(const void *batch, int page);
/* A new draft, empty. */
struct draft *shard_draft_open(struct batch *batch, int number);
/* Frees a struct draft. */
void shard_draft_free(gpointer draft);
/* Whether it has records of the job. */
bool shard_draft_has_job(const struct draft *draft, job_id job);
/* Adds a record that was not on the page, if there is room. What is reckoned is never too little.
 */
bool shard_draft_take(struct draft *draft, const struct page_rec *record, gsize most);
/* Fills it with what has to stay on its page, whatever else goes there. */
void shard_draft_keep(struct batch *batch, struct draft *draft);
/* Puts the page's new texts into the transaction. */
void shard_draft_write(struct batch *batch, struct draft *draft);

/* shard_record_adopt.c: taking records over from other nodes' pages */

/* Whether machines may be taken over from another node's page as it is. A long page has to be split
 * first, but for one of a node of version 0 that goes on writing it: while nobody has seen that
 * less is allowed, what is left of it is not longer than it was. After that, copies may be on their
 * way from a long page to others of its node: none of these is touched. */
bool shard_source_fits(struct shard *shard, const struct page *page, bool plain);
/* The page of another node that a run's record is on. That is looked up each time: a long page may
 * have been split meanwhile, and taking it off a page where it is no more would leave it on two. */
struct page *shard_source_of(struct shard *shard, const struct host *host, const struct run *run);
/* Takes a machine's records over from other nodes' pages, each in the transaction that takes it off
 * there. Where a machine may have one page only, all of them or none. */
void shard_batch_adopt(struct batch *batch, struct host *host);
/* Writes the page of another node without the records that this transaction takes over. */
void shard_source_write(struct batch *batch, struct page *page);

/* shard_record_machine.c: records of what machines are */

/* Gives the machine a record of its own, or a new one, if there are writes to spare for that; else
 * its pages say what it is. A write for each of many new machines would hold their tasks up. */
void shard_batch_describe(struct batch *batch, struct host *host);
/* Once its tasks are in the transaction: the record of a machine that is gone goes with its last
 * task, as the pages would have to say what it is again; one that has tasks is described. */
void shard_batch_finish_host(struct batch *batch, struct host *host);

/* shard_record_outcome.c: what became of the transaction */

/* The answer of the state service; arg: the struct batch, which is freed. */
void shard_batch_answered(void *arg, const struct txn_outcome *outcome);
/* The transaction is over, or was not sent: the next one may be made. */
void shard_batch_over(struct batch *batch);

/* shard_record_flush.c: when records are written */

/* The next transaction is made in a moment; ok: false when this one could not be written, and a
 * pause is due. */
void shard_flush_again(struct shard *shard, bool ok);

#endif
