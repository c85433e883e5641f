/**
 * @file
 * The state of a shard, and what its modules offer one another. A module with types of its own has
 * a header of its own, which this one includes or which includes this one.
 */
#ifndef LL_SHARD_INTERNAL_H
#define LL_SHARD_INTERNAL_H

#include "arq.h"
#include "machine_internal.h"

/* A list of our machines and what they are. */
struct own_inventory {
    revision mod_revision;
    bool is_stale; /* it names machines that are not ours */
};

/* Tasks of a job that this node saw done: those of a unit of COMPLETION_UNIT_TASKS that one page
 * says. */
struct completion_unit {
    job_id job;
    uint32_t number;
    GByteArray *bits;
    int page;            /* -1: none was chosen yet */
    bool is_unwritten;   /* its page does not say all of it yet */
    bool changed_in_txn; /* some came since the transaction under way was made */
    bool is_moving;      /* its page is to say it no more, once others do */
};

/** Machines that go back to the cloud. */
struct shard_returns {
    /** Names of machines that were returned: heartbeats that still come from them are ignored. The
     * older half is forgotten when the newer one is full. */
    GHashTable *returned, *older_returned;
    /** Names of machines that the leader of this epoch is going to return, also of those that are
     * not known here yet. */
    GHashTable *cordoned;
};

/** The status messages to the leader, and what the next one has to say. */
struct shard_status {
    /** Of the newest message, counted within this process. */
    uint64_t sequence;
    /** Messages sent, to tell when a full one is due. */
    guint count;
    bool in_flight;
    /** One is to be sent as soon as none is in flight. */
    bool is_requested;
    /** The next one names all machines, not only those that changed. */
    bool next_is_full;
    /** The next one asks for a new epoch: only that proves the end of some run. */
    bool wants_epoch_raise;
    /** struct dispatch: not placed here, to be dispatched again by the leader. */
    GArray *rejected_dispatches;
    /** struct task_event */
    GArray *events;
    struct timer timer;
};

/** The queues of dispatched tasks, and the state of placement. */
struct shard_placement {
    /** struct dispatch, by ARQ class; [0]: the job is not in the replica yet. */
    GQueue queues[ARQ_CLASSES + 1];
    /** By ARQ pool. */
    struct arq_busy_history busy_history[ARQ_CLASSES + 1];
    /** Resources were released or a machine came: a task in the queues may fit now. */
    bool capacity_changed;
    mono_time last_switch_rule_at;
    struct timer timer;
    /** Of the pass through the queues under way, in which free resources only shrink: */
    /** struct machine: those that may have free resources. */
    GPtrArray *available_machines;
    /** struct unschedulable: requests that no machine could hold. */
    GArray *unschedulable;
    /** Searches for attempts that keep a task from its machine. */
    int blocked_attempt_searches;
};

/** How long starts and ends waited for their records since it was last logged. */
struct write_waits {
    guint starts, ends, writes;
    double start_wait_ms, end_wait_ms;
};

/** The stored records of a shard, and when they are written. */
struct shard_records {
    /** struct own_page, by number. */
    GPtrArray *pages;
    /** struct own_inventory, by number. */
    GPtrArray *inventories;
    /** "JOB UNIT" -> GPtrArray of struct completion_unit, one a page. */
    GHashTable *completion_units;
    /** Of the other nodes' pages that records are taken over from, the one to begin with: another
     * one each time. */
    guint first_source_page;
    /** A transaction of records is in flight; there is one at a time. */
    bool txn_in_flight;
    /** There is something to be written. */
    bool is_dirty;
    struct write_waits write_waits;
    mono_time inventory_written_at;
    /** When a page that could not be split is tried again. */
    mono_time split_retry_at;
    /** Writes that this node may make now, by its share of the write rate; refilled over time since
     * write_budget_at. */
    double write_budget;
    mono_time write_budget_at;
    struct timer flush_timer;
};

/** A node's shard: the machines that it owns by the shard map. */
struct shard {
    struct actor actor;
    struct loop *loop;
    struct http_client *net;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *node_rpc;
    struct cancel_broadcast *cancel_broadcast;
    struct lease_proxy *lease_proxy;
    struct failure_detector *failure_detector;
    const struct settings *settings;

    /** Of the shard map that the machines are owned by. */
    epoch_no epoch;
    /** Counts the epochs seen by this process; what was begun in an earlier one is void. */
    uint64_t generation;
    /** The newest dispatch message of this epoch. */
    uint64_t last_dispatch_sequence;
    /** Name -> struct machine. */
    GHashTable *machines;
    /** Name -> struct redirect, of machines that report here and belong to other nodes. */
    GHashTable *redirects;
    struct shard_returns returns;
    struct shard_status status;
    struct shard_placement placement;
    struct shard_records records;
    struct timer tick_timer;
};

/* shard_status.c */

/** Sends the leader a status in a moment, before the regular one. */
void shard_request_status(struct shard *shard);

/* task_runs.c */

/** The job if it is in the replica and neither done nor cancelled, or NULL. */
struct job *shard_find_live_job(struct shard *shard, job_id id);
/** Whether a job is over for all that this node knows, from its replica or from other nodes: its
 * runs are to be stopped. */
bool shard_job_is_over(struct shard *shard, job_id id);

/* completions.c: what is done */
typedef bool (*page_predicate)(const void *ctx, int page);
/* What a page says of tasks that are done, and the room that this may come to take besides. */
struct page_completions {
    GString *text;
    gsize reserved_bytes;
    bool has_unwritten; /* it did not say all of that before */
};
/* Whether a mark for it may be written now. */
bool shard_can_record_completion(struct shard *shard, const struct task_run *run);
/* A task is done: to be recorded, in the same transaction as its end or before. */
void shard_add_completion(struct shard *shard, struct task_run *run);
/* Whether that is said for good, or will be with the pages that are written now. */
bool shard_completion_is_written(struct shard *shard, const struct task_run *run,
                                 page_predicate is_written, const void *ctx);
guint shard_completion_unit_bytes(const struct job *job, uint32_t unit_number);
void shard_completions_read(struct shard *shard, const char *text, int page_number);
void shard_completions_write(struct shard *shard, int page_number, bool legacy_format,
                             struct page_completions *out);
gsize shard_completions_reserved_bytes(struct shard *shard, int page);
/* Some marks are to leave the page. */
void shard_completions_move(struct shard *shard, int page_number);
/* Marks that are on no page yet go to one of these; false when some find no room. */
bool shard_completions_place(struct shard *shard, const int *pages, guint page_count);
/* Those pages were written. */
void shard_completions_mark_durable(struct shard *shard, page_predicate is_written,
                                    const void *ctx);
/* Adds to what is waited for by page; true when some marks are on none. A batch begins with that.
 */
bool shard_completions_add_demand(struct shard *shard, double *page_weights, double weight);

/* machine_inventory.c: lists of machines */
void shard_inventories_reconcile(struct shard *shard);
bool shard_inventory_due(struct shard *shard);
/* A machine is not to be listed any more. */
void shard_inventory_drop_machine(struct shard *shard, const struct machine *machine);
void shard_inventory_write(struct shard *shard);

/* page_split.c: pages that are too long by now */
bool shard_label_has_long_page(const struct shard *shard, const char *label);
bool shard_split_due(struct shard *shard);
/* False when nothing can be done about it yet, and other work may go on. */
bool shard_split(struct shard *shard);
void shard_completion_units_free(gpointer data); /* completions.c */

#endif
