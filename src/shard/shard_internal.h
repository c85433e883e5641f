/* What the shard's files share: its state, and what they ask of one another. */
#ifndef LL_SHARD_STATE_H
#define LL_SHARD_STATE_H

#include "arq.h"
#include "resources.h"
#include "shard.h"

enum task_run_phase {
    TASK_RUN_PLACED,   /* placed here, not on record yet */
    TASK_RUN_RECORDED, /* on record */
    TASK_RUN_ENDED,    /* proven over; the record does not say so yet */
    TASK_RUN_RELEASED, /* off the record; kept until the worker has forgotten it */
};

/* Where the record of a task is. */
struct record_state {
    int page;             /* of ours, that it is on; -1: none */
    bool is_foreign;      /* it is on a page of another node still; which one the view knows */
    bool is_in_txn;       /* the transaction under way changes it */
    int next_page;        /* with is_in_txn, the page that it comes to; -1: it leaves the records */
    bool may_be_recorded; /* it was in a transaction, of which nobody may know what became */
};

/* One task on one of our machines. */
struct task_run {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct resources resources;
    bool is_service;
    enum task_run_phase phase;
    struct record_state record;
    uint64_t dispatch_number; /* its number; 0: not dealt to this process */
    bool in_heartbeat;        /* in the report at hand */
    bool is_reported;
    bool has_vanished; /* it was seen, and is not any more, with no proof that it is over */
    enum task_state reported_state;
    bool is_completed;           /* with TASK_RUN_ENDED: it completed */
    epoch_no sent_fencing_token; /* the highest token that a run command for it may have carried */
    uint64_t sent_agent_epoch;   /* 0: not known */
    int run_commands_in_flight;  /* direct run commands of which nobody knows what became */
    mono_time run_sent_at;       /* 0: never, by us */
    mono_time placed_at, running_at, ended_at;
    int placement_pool; /* that its machine was in when it was placed */
    bool is_stopping;
    double grace_s;
    mono_time stop_sent_at;
    mono_time job_over_since; /* its job may have been called cancelled since then; 0: it was not */
};

struct machine {
    machine_id id;
    char address[24], type_name[48], zone[48];
    bool is_spot;
    struct resources capacity, allocated, service_resources; /* pinned: by services */
    epoch_no owner_epoch;
    mono_time owned_at;
    bool has_reported;
    uint64_t agent_epoch, heartbeat_sequence, fencing_token;
    uint32_t heartbeat_hash; /* of the tasks that its newest report named */
    char via_node[64];       /* the node that its newest report came through; "": none */
    mono_time last_heartbeat_at, last_answered_at;
    /* Its newest report shows that our answers and commands reach it. That it reports is no sign of
     * that: the way back may be cut. */
    bool is_reachable;
    mono_time last_reached_at; /* when it last did */
    mono_time token_seen_at;   /* when its worker first showed a token that only we can give */
    bool is_reclaimed;
    revision mod_revision;  /* of the record that says what it is */
    mono_time described_at; /* when that was last written here */
    char *description;      /* what pages say of it, or NULL */
    int inventory_number;   /* of ours, that says it; -1: none */
    bool joins_inventory;   /* the transaction under way puts it on one */
    bool is_in_txn;
    bool is_being_described; /* the transaction under way writes what it is */
    bool is_being_removed;   /* or removes that */
    bool is_gone;            /* the cloud has taken it: a proof for all that ran on it */
    GPtrArray *runs;
    GArray *unknown_tasks;      /* struct heartbeat_task: reported, not ours */
    GPtrArray *image_cache;     /* interned names, the newest last */
    bool has_unrecorded_images; /* its record does not name them all */
    int sent_status_flags;      /* in the last digest; -1: not in it */
    bool has_sent_images;       /* and what it has fetched */
    bool is_cordoned;  /* the leader wants nothing more placed there: it is slow, or sick */
    bool is_returning; /* nor here, as it is to be returned, or that is on record */
    bool push_in_flight, push_pending, probe_in_flight;
    mono_time last_probe_at;
    uint64_t probed_agent_epoch, probed_sequence; /* known when the probe went out */
    int probe_failures;
};

/* A task that the leader dealt to this part and that has no machine yet. */
struct dispatch {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    uint64_t number;        /* of the deal, as the leader counts them */
    char zone[48];          /* "": any */
    char bound_machine[48]; /* "": any machine */
    int task_class;         /* 0: the job is not in view yet */
    int queue_class;        /* the class whose queue it is in */
    mono_time dispatched_at, queued_at;
};

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
    GHashTable *redirects; /* machine -> struct redirect */
    /* Machines that the cloud took back: what still comes from them is old. */
    GHashTable *returned_machines, *older_returned_machines;
    /* Machines that the leader of this epoch returns, also those that are not known yet. */
    GHashTable *cordoned_for_return;
    const struct settings *settings;
    epoch_no epoch;
    uint64_t generation, last_dispatch_sequence, status_sequence;
    GHashTable *machines;
    GQueue queues[ARQ_CLASSES + 1]; /* [0]: jobs not in view yet */
    struct arq_busy_history busy_history[ARQ_CLASSES + 1];
    GArray *rejected_dispatches; /* struct dispatch: given back to the leader */
    GPtrArray *leader_events; /* cJSON: what went wrong, and how long tasks took, for the leader */
    GPtrArray *pages;         /* struct own_page, by number */
    guint first_source_page;  /* of the pages of others that are taken over from: another one each
                                 time */
    GHashTable
        *completion_units; /* "JOB UNIT" -> GPtrArray of struct completion_unit, one a page */
    bool txn_in_flight;
    bool is_dirty; /* there is something to be written */
    struct {
        guint starts, ends, writes;
        double start_wait_ms, end_wait_ms;
    } write_waits;          /* for records, since they were last logged */
    GPtrArray *inventories; /* struct own_inventory, by number */
    mono_time inventory_written_at;
    mono_time split_retry_at; /* a page that could not be split is looked at again */
    double write_budget;      /* of this node's share of the writes */
    mono_time write_budget_at;
    bool status_in_flight, status_requested, wants_epoch_raise;
    bool next_status_is_full; /* the next one names all machines, not only those that changed */
    guint status_count;
    bool capacity_changed;         /* a task that waits may find room now */
    GPtrArray *available_machines; /* struct machine: that may have room, while the queues are gone
                                      through */
    struct timer tick_timer, flush_timer, status_timer;
    mono_time last_switch_rule_at;
    int blocked_attempt_searches; /* for attempts that keep a task from its machine, in this look */
    GArray
        *unschedulable; /* struct unschedulable: what found no machine in this look at the queues */
    struct timer placement_timer;
};

/* shard.c: the shard's messages with the leader and the view */
void shard_request_status(struct shard *shard);
bool shard_machine_was_returned(const struct shard *shard, const char *machine_name);
bool shard_machine_is_returning(const struct shard *shard, const char *machine_name);

/* machines.c: machines, and what proves that a task is over */
struct job *shard_find_live_job(struct shard *shard, job_id id);
void shard_run_release_resources(struct shard *shard, struct machine *machine,
                                 struct task_run *run);
void shard_run_remove(struct shard *shard, struct machine *machine, guint position);
struct task_run *shard_run_add(struct machine *machine, job_id job, uint32_t index,
                               attempt_no attempt, const struct job_spec *spec);
struct task_run *shard_run_find(struct machine *machine, job_id job, uint32_t index,
                                attempt_no attempt);
struct machine *shard_find_machine(struct shard *shard, const char *machine_name);
struct machine *shard_add_machine(struct shard *shard, machine_id id);
void shard_machine_update_capacity(struct shard *shard, struct machine *machine);
bool shard_machine_has_runs(const struct machine *machine);
void shard_run_stop(struct task_run *run, double grace_s);
void shard_run_stop_if_job_over(struct shard *shard, struct task_run *run);
/* Whether a job is over for all that this node knows, from its view or from other nodes: what runs
 * of it is to be stopped. */
bool shard_job_is_over(struct shard *shard, job_id id);
void shard_machine_reconcile(struct shard *shard, struct machine *machine, int page); /* -1: all */
bool shard_lease_has_expired(struct shard *shard, struct machine *machine);
void shard_end_all_runs(struct shard *shard, struct machine *machine, const char *reason);
/* Its worker has shown that it hears us. */
void shard_machine_reached(struct shard *shard, struct machine *machine);
void shard_machine_apply_heartbeat(struct shard *shard, struct machine *machine,
                                   const struct heartbeat *heartbeat);
uint32_t shard_heartbeat_hash(const struct heartbeat *heartbeat);

/* agent_session.c: orders and reports */
void shard_push_commands(struct shard *shard, struct machine *machine);
/* Whether no command may start the attempt once more after it was cleared. */
bool shard_can_clear_attempt(const struct machine *machine, const struct task_run *run);
/* How long a node that hears nothing from the state service may go on renewing workers' leases. */
int64_t shard_max_renewal_ms(const struct shard *shard);
void shard_probe_agent(struct shard *shard, struct machine *machine);

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

/* task_placement.c: queues and placement */
bool shard_machine_is_available(struct shard *shard, struct machine *machine);
void shard_place_tasks(void *arg);
/* The same a moment later, once for many reports. */
void shard_request_placement(struct shard *shard);
/* Back to the leader. */
void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch);

#endif
