/* A transaction of run records while it is made and until its outcome is known; shared by the files
 * shard_record_*.c only. */
#ifndef LL_SHARD_BATCH_H
#define LL_SHARD_BATCH_H

#include "run_records_internal.h"

enum {
    MAX_BATCH_BYTES = 48 * 1024, /* of all values in one transaction */
    MAX_WRITE_BURST = 6,         /* writes that may be made at once after a pause */
};

/* A page of ours that is being written. */
struct page_draft {
    int number;
    GArray *records;  /* struct record_page_entry */
    GHashTable *jobs; /* "JOB" and "JOB ATTEMPT" that it has records of */
    struct page_completions completions;
    gsize
        used_bytes; /* bytes that its texts take at most, with the room that marks may still take */
    bool is_too_long; /* even what has to stay is too long */
    bool is_changed;
};

/* A transaction of run records. */
struct record_batch {
    struct shard *shard;
    uint64_t generation;
    bool legacy_format;
    GPtrArray *machine_ids;    /* char *: ids */
    struct txn *txn;           /* while it is made */
    GHashTable *compared_jobs; /* that it is conditioned on */
    GPtrArray *drafts;         /* struct page_draft */
    GPtrArray
        *source_pages; /* struct record_page: of other nodes, from which machines are taken over */
    int spare_writes;  /* writes that are left for what machines are */
    bool has_more;     /* something waits for the next one */
};

/* record_batch.c: makes the transaction */

/* An empty one, with the conditions of all that this node writes of records. */
struct record_batch *record_batch_new(struct shard *shard);
/* Frees it, but for its transaction. */
void record_batch_free(struct record_batch *batch);
/* Puts what has changed into the transaction: what machines are, then pages, then the pages of
 * other nodes without what was taken over from them. In this order whoever reads it never misses a
 * task. */
void record_batch_fill(struct record_batch *batch);
/* A record comes to a page that is written; false: none has room for it within most bytes. */
bool record_batch_put_run(struct record_batch *batch, struct machine *machine, struct task_run *run,
                          gsize max_bytes);

/* record_batch_select.c: what goes into the transaction */

/* Chooses which pages are written: those for which most is waited, and one with room for what is
 * new if they have none. Opens their drafts. */
void record_batch_select_pages(struct record_batch *batch);

/* page_draft.c: the pages that are written */

/* The draft of the page with that number, or NULL. */
struct page_draft *record_batch_find_draft(const struct record_batch *batch, int page_number);
/* The same as a page_predicate; batch: a struct record_batch. */
bool record_batch_writes_page(const void *batch, int page_number);
/* A new draft, empty. */
struct page_draft *page_draft_open(struct record_batch *batch, int page_number);
/* Frees a struct page_draft. */
void page_draft_free(gpointer draft);
/* Whether it has records of the job. */
bool page_draft_has_job(const struct page_draft *draft, job_id job);
/* Adds a record that was not on the page, if there is room. What is reckoned is never too little.
 */
bool page_draft_try_add(struct page_draft *draft, const struct record_page_entry *record,
                        gsize max_bytes);
/* Fills it with what has to stay on its page, whatever else goes there. */
void page_draft_keep_existing(struct record_batch *batch, struct page_draft *draft);
/* Puts the page's new texts into the transaction. */
void page_draft_write(struct record_batch *batch, struct page_draft *draft);

/* record_batch_adopt.c: taking records over from other nodes' pages */

/* Whether machines may be taken over from another node's page as it is. A long page has to be split
 * first, but for one of a node of version 0 that goes on writing it: while nobody has seen that
 * less is allowed, what is left of it is not longer than it was. After that, copies may be on their
 * way from a long page to others of its node: none of these is touched. */
bool shard_source_page_is_usable(struct shard *shard, const struct record_page *page,
                                 bool legacy_format);
/* The page of another node that a run's record is on. That is looked up each time: a long page may
 * have been split meanwhile, and taking it off a page where it is no more would leave it on two. */
struct record_page *shard_source_page_of_run(struct shard *shard, const struct machine *machine,
                                             const struct task_run *run);
/* Takes a machine's records over from other nodes' pages, each in the transaction that takes it off
 * there. Where a machine may have one page only, all of them or none. */
void record_batch_adopt_machine(struct record_batch *batch, struct machine *machine);
/* Writes the page of another node without the records that this transaction takes over. */
void record_batch_write_source(struct record_batch *batch, struct record_page *page);

/* record_batch_machine.c: records of what machines are */

/* Gives the machine a record of its own, or a new one, if there are writes to spare for that; else
 * its pages say what it is. A write for each of many new machines would hold their tasks up. */
void record_batch_describe_machine(struct record_batch *batch, struct machine *machine);
/* Once its tasks are in the transaction: the record of a machine that is gone goes with its last
 * task, as the pages would have to say what it is again; one that has tasks is described. */
void record_batch_finish_machine(struct record_batch *batch, struct machine *machine);

/* record_batch_outcome.c: what became of the transaction */

/* The answer of the state service; arg: the struct record_batch, which is freed. */
void record_batch_handle_outcome(void *arg, const struct txn_outcome *outcome);
/* The transaction is over, or was not sent: the next one may be made. */
void record_batch_close(struct record_batch *batch);

/* run_records_flush.c: when records are written */

/* The next transaction is made in a moment; ok: false when this one could not be written, and a
 * pause is due. */
void shard_schedule_flush(struct shard *shard, bool ok);

#endif
