/* What the leader's files share: its state, and what they ask of one another. */
#ifndef LL_LEADER_STATE_H
#define LL_LEADER_STATE_H

#include "feature_set.h"
#include "leader.h"
#include "resources.h"
#include "role_manager.h"

enum { RANK_COUNT = 12 }; /* of precedence: see job_queue_rank */

/* A task that is on record, as the ledger counts it. */
struct allocation {
    attempt_no attempt;
    machine_id machine;
    mono_time allocated_at;
    bool is_stopping;
    job_id preemptor_job; /* the job that it was stopped for; "": none */
};

/* A task dealt to a shard and not on record yet. */
struct pending_dispatch {
    attempt_no attempt;
    struct ledger_machine *machine; /* with room; the shard may choose another of its machines */
    uint64_t number;                /* of all deals of this leader */
    mono_time dispatched_at;
    char zone[48];
};

/* What only gangs use of struct ledger_job. */
struct gang_state {
    /* Under which its tasks were dealt together, by this leader; 0: none. */
    attempt_no attempt;
    bool
        has_lost_task; /* one of them was on record and is not any more: it may have begun to run */
    mono_time incomplete_since; /* it is on record in part, and nothing of it dealt; 0: it is not */
    epoch_no stopped_in_epoch;  /* what is left of it was told to stop in that epoch; 0: never */
    mono_time stopped_at;       /* and then */
    mono_time
        unschedulable_since;      /* it has found no room for all its tasks since then; 0: it has */
    uint32_t reserved_task_count; /* in this pass: tasks for which room is held */
    int reserved_zone_index;      /* where that is, for one that has to be in one zone */
    int preemption_zone_index;    /* where room was made for it last; the same */
};

/* A job as the ledger counts it. "In this pass" marks what each pass works out anew. */
struct ledger_job {
    job_id id;
    int team_index;
    struct resources task_resources; /* of one task */
    bool is_service;
    enum job_priority priority;
    double patience_s;      /* how long it may wait, by what its class is expected to do */
    struct job *job_record; /* in this pass */
    GHashTable *allocations, *dispatches; /* index + 1 -> */
    uint32_t first_waiting_index;         /* no task below it waits */
    bool is_end_in_flight;                /* its end is being stored */
    bool is_blocked;                      /* in this pass: no machine has room */
    bool can_meet_objective; /* in this pass: what its class is expected to do can still be done */
    bool is_aged;    /* in this pass: it has waited for so long that it has its place again */
    bool is_overdue; /* and for longer still */
    int64_t queue_position_ms;    /* its place in its team's queue: by arrival and size */
    mono_time retry_at;           /* it fails everywhere, and pauses until then */
    mono_time last_preemption_at; /* work was last stopped for it */
    int pending_preemptions;      /* tasks that were stopped for it and are on record still */
    int failure_count;            /* of the job itself, on one machine after the other */
    GHashTable *failed_machines;  /* set of machines */
    struct gang_state gang;
};

/* How long the tasks of a job took. It outlives the job, as the slowest are told of last. */
struct job_run_time {
    int task_count;
    double mean_s;
};

/* A machine as the ledger counts it. */
struct ledger_machine {
    machine_id id;
    char type_name[48], zone[48];
    bool is_spot;
    char *owner_label;      /* the shard that tells of it; NULL: none yet */
    int flags;              /* HOST_..., by its owner */
    GPtrArray *image_cache; /* interned */
    int zone_index;         /* in settings->zones, or -1 */
    struct resources capacity;
    struct resources allocated;         /* on record */
    struct resources dispatched;        /* and not on record yet */
    struct resources service_resources; /* on record, by services */
    struct resources reserved;          /* in this pass: for gangs that lack more room still */
    bool is_wanted_by_gang;      /* in this pass: by a gang that it is not held for, as others are
                                    missing */
    mono_time idle_since;        /* nothing has left it since then */
    mono_time avoid_until;       /* nothing is dealt to it */
    bool is_reported;            /* in its owner's last digest */
    mono_time quarantined_until; /* it failed the tasks of several jobs */
    double slowdown;             /* of its tasks lately: time taken by what the job's others took */
    int slowdown_sample_count;   /* tasks that went into it */
    GHashTable *failed_jobs;     /* set of jobs, until it is sick */
};

/* A team's use of its quota, and its queue. */
struct ledger_team {
    const struct team *quota;
    struct resources used;     /* on record or dealt */
    struct resources stopping; /* of that, told to stop */
    struct resources demand;   /* beyond that, by what waits, while it is worked out what to rent */
    double deficit_milli_cpus; /* of deficit round robin, in thousandths of a cpu */
    GPtrArray *ready_jobs;     /* struct ledger_job, in this pass */
    guint next_ready_index;    /* in ready: those before it are through with this rank */
};

/* The shard of one node: what goes to it, one message after the other, and what it said last. */
struct shard_channel {
    char *label;
    uint64_t message_sequence;            /* of the last message */
    cJSON *dispatches, *stops, *departed; /* lists for the next message; NULL: empty */
    cJSON *cordons;                       /* and machines on which nothing more is to be placed */
    cJSON *unacknowledged;                /* until it is acknowledged */
    bool is_request_in_flight;            /* a request is on its way */
    mono_time unanswered_since;           /* 0: the last request was answered */
    bool has_full_status;                 /* a whole digest came in this epoch */
    uint64_t status_sequence;             /* of the last one */
};

/* In a zone nothing could be moved for a service that asked for so much. */
struct relocation_backoff {
    mono_time until;
    struct resources request;
};

struct leader {
    struct actor actor;
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *node_rpc;
    const struct settings *settings;
    const struct policy *policy;
    const struct feature_set *features;
    struct role_manager *role_manager;
    struct cloud_provider *cloud;
    bool is_leading;
    epoch_no epoch;           /* that the ledger was built for */
    mono_time epoch_began_at; /* when that was */
    uint64_t generation;      /* of the ledger; answers to an earlier one are void */
    uint64_t attempts_issued; /* in this epoch */
    uint64_t dispatches_issued;
    GHashTable *jobs;           /* struct ledger_job, by its id */
    GHashTable *machines;       /* struct ledger_machine, by its id */
    GHashTable *shard_channels; /* struct shard_channel, by its label */
    GHashTable *job_run_times;  /* job -> struct job_run_time */
    double median_slowdown;     /* of the machines */
    struct ledger_team *teams;
    int team_count;
    int first_team_index;            /* that this pass begins with */
    GPtrArray *schedulable_machines; /* struct ledger_machine: that take work in this pass */
    GArray *unschedulable_requests;  /* struct unschedulable: what found no room in this pass */
    int reserving_gang_count;        /* gangs that hold whole machines in this pass */
    uint32_t *zone_task_counts;      /* of the job that is being dealt, by zone */
    int allocated_by_priority[4];    /* tasks on record, by urgency */
    struct timer tick_timer, pass_timer;
    mono_time last_scaled_at, last_dispatch_check_at;
    mono_time last_outage_at;     /* it last could not act: an outage */
    bool is_switching_features;   /* the switch of features is being written */
    bool had_singleton_roles;     /* when it was last looked at */
    int cancelled_ends_in_flight; /* ends of cancelled jobs that are being stored */
    double peak_cpus;             /* of used cpus, falling off slowly */
    bool has_services;            /* some run; the next two tell of them */
    struct resources mean_service_request;
    double service_tasks_per_s;
    int64_t *service_shortfall_tasks;         /* of tasks, by zone; negative: room to spare */
    mono_time *zone_silent_until;             /* most of its machines are silent, or were lately */
    double *zone_cpus;                        /* of ordinary machines, as in settings->zones */
    struct relocation_backoff *move_backoffs; /* by zone */
};

/* machine_health.c */
/* Finds the slowdown of the machine in the middle. Tasks of a job may take ever longer wherever
 * they run, and where all machines seem slow none is. */
void machine_health_update_median_slowdown(struct leader *leader);
/* Whether tasks take much longer on the machine than on most. */
bool machine_health_is_slow(const struct leader *leader, const struct ledger_machine *machine);

/* shard_dispatcher.c */
/* The shard of that node; there is one from the first time on. */
struct shard_channel *shard_dispatcher_channel(struct leader *leader, const char *label);
/* Adds to one of the lists that go to a shard. */
void shard_dispatcher_append(cJSON **list, cJSON *item);

/* leader.c */
/* Has a pass made in a moment, if none is due already. */
void leader_request_pass(struct leader *leader);

/* scheduling_policy.c: what operators and objectives say */
/* The machine types, as the cloud lists them now or as they were stored last. */
const GArray *scheduling_policy_machine_types(struct leader *leader);
/* The longest boot of all machine types; 0 without any. */
double scheduling_policy_slowest_boot_s(struct leader *leader);
/* How long the job's tasks may wait, by what its class is expected to do. Renting cannot meet a
 * wait shorter than a boot, so such an aim does not count here. */
double scheduling_policy_patience_s(struct leader *leader, const struct job *job_record);
/* Processors on record or dealt. */
double scheduling_policy_used_cpus(struct leader *leader);
/* Sets the policy inputs that tell of the load. */
void scheduling_policy_set_load_inputs(struct leader *leader, struct policy_value *inputs);
/* Processors that are to be free for what comes next. */
double scheduling_policy_spare_cpus(struct leader *leader);
/* Whether ordinary machines may be rented for a job that spot ones could run, once no more of these
 * are to be had. backlog_s: what the machines need for all that goes before it. */
bool scheduling_policy_may_rent_on_demand(struct leader *leader, const struct ledger_job *job,
                                          const struct job_spec *spec, double backlog_s);
/* Whether work of lower priority may be stopped for the job. */
bool scheduling_policy_may_preempt(struct leader *leader, const struct ledger_job *job,
                                   const struct job_spec *spec);
/* How long the machine may be idle before it is returned. */
double scheduling_policy_idle_timeout_ms(struct leader *leader,
                                         const struct ledger_machine *machine);

/* autoscaler.c, autoscaler_scale_out.c, autoscaler_scale_in.c: renting and returning */
/* Whether nothing is on record, dealt, held or wanted on the machine. */
bool autoscaler_is_machine_idle(const struct ledger_machine *machine);
/* Rents what is lacking and returns what is idle or of no use; does so only now and then. */
void autoscaler_run(struct leader *leader);

#endif
