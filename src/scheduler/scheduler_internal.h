/* What the leader's files share: its state, and what they ask of one another. */
#ifndef LL_LEADER_STATE_H
#define LL_LEADER_STATE_H

#include "feature_set.h"
#include "leader.h"
#include "resources.h"
#include "role_manager.h"

enum { RANKS = 12 }; /* of precedence: see leader_rank_of */

/* A task that is on record, as the ledger counts it. */
struct entry {
    attempt_no attempt;
    host_id host;
    mono_time since;
    bool halted;
    job_id preempted_for; /* the job that it was stopped for; "": none */
};

/* A task dealt to a shard and not on record yet. */
struct deal {
    attempt_no attempt;
    struct leader_host *host; /* with room; the shard may choose another of its machines */
    uint64_t number;          /* of all deals of this leader */
    mono_time since;
    char zone[48];
};

/* What only gangs use of struct leader_job. */
struct gang_state {
    /* Under which its tasks were dealt together, by this leader; 0: none. */
    attempt_no attempt;
    bool lost_task; /* one of them was on record and is not any more: it may have begun to run */
    mono_time incomplete_since; /* it is on record in part, and nothing of it dealt; 0: it is not */
    epoch_no stopped_in;        /* what is left of it was told to stop in that epoch; 0: never */
    mono_time stopped_at;       /* and then */
    mono_time short_since;      /* it has found no room for all its tasks since then; 0: it has */
    uint32_t held_tasks;        /* in this pass: tasks for which room is held */
    int held_zone;              /* where that is, for one that has to be in one zone */
    int preempt_zone;           /* where room was made for it last; the same */
};

/* A job as the ledger counts it. "In this pass" marks what each pass works out anew. */
struct leader_job {
    job_id id;
    int team;
    struct room room; /* of one task */
    bool service;
    enum urgency urgency;
    double patience_s;           /* how long it may wait, by what its class is expected to do */
    struct job *view;            /* in this pass */
    GHashTable *entries, *deals; /* index + 1 -> */
    uint32_t cursor;             /* no task below it waits */
    bool finishing;              /* its end is being stored */
    bool blocked;                /* in this pass: no machine has room */
    bool in_time;         /* in this pass: what its class is expected to do can still be done */
    bool aged;            /* in this pass: it has waited for so long that it has its place again */
    bool overdue;         /* and for longer still */
    int64_t queue_ms;     /* its place in its team's queue: by arrival and size */
    mono_time not_before; /* it fails everywhere, and pauses until then */
    mono_time preempted_at;  /* work was last stopped for it */
    int pending_preemptions; /* tasks that were stopped for it and are on record still */
    int failures;            /* of the job itself, on one machine after the other */
    GHashTable *failed_on;   /* set of machines */
    struct gang_state gang;
};

/* How long the tasks of a job took. It outlives the job, as the slowest are told of last. */
struct job_run_time {
    int n;
    double mean_s;
};

/* A machine as the ledger counts it. */
struct leader_host {
    host_id id;
    char type_name[48], zone[48];
    bool spot;
    char *owner;       /* the shard that tells of it; NULL: none yet */
    int flags;         /* HOST_..., by its owner */
    GPtrArray *images; /* interned */
    int zone_index;    /* in settings->zones, or -1 */
    struct room total;
    struct room booked; /* on record */
    struct room dealt;  /* and not on record yet */
    struct room pinned; /* on record, by services */
    struct room held;   /* in this pass: for gangs that lack more room still */
    bool wanted;        /* in this pass: by a gang that it is not held for, as others are missing */
    mono_time idle_since;    /* nothing has left it since then */
    mono_time avoid_until;   /* nothing is dealt to it */
    bool told;               /* in its owner's last digest */
    mono_time sick_until;    /* it failed the tasks of several jobs */
    double slowdown;         /* of its tasks lately: time taken by what the job's others took */
    int slowdown_samples;    /* tasks that went into it */
    GHashTable *failed_jobs; /* set of jobs, until it is sick */
};

/* A team's use of its quota, and its queue. */
struct leader_team {
    const struct team *team;
    struct room used;    /* on record or dealt */
    struct room halting; /* of that, told to stop */
    struct room wanted;  /* beyond that, by what waits, while it is worked out what to rent */
    double deficit;      /* of deficit round robin, in thousandths of a cpu */
    GPtrArray *ready;    /* struct leader_job, in this pass */
    guint next_ready;    /* in ready: those before it are through with this rank */
};

/* The shard of one node: what goes to it, one message after the other, and what it said last. */
struct leader_shard {
    char *label;
    uint64_t seq;              /* of the last message */
    cJSON *deal, *halt, *gone; /* lists for the next message; NULL: empty */
    cJSON *close;              /* and machines on which nothing more is to be placed */
    cJSON *sending;            /* until it is acknowledged */
    bool out;                  /* a request is on its way */
    mono_time failing_since;   /* 0: the last request was answered */
    bool digested;             /* a whole digest came in this epoch */
    uint64_t digest_seq;       /* of the last one */
};

/* In a zone nothing could be moved for a service that asked for so much. */
struct move_backoff {
    mono_time until;
    struct room room;
};

struct leader {
    struct actor actor;
    struct loop *loop;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    const struct settings *settings;
    const struct policy *policy;
    const struct feature_set *features;
    struct duties *duties;
    struct fleet *fleet;
    bool leading;
    epoch_no epoch;      /* that the ledger was built for */
    mono_time epoch_at;  /* when that was */
    uint64_t generation; /* of the ledger; answers to an earlier one are void */
    uint64_t attempts;   /* in this epoch */
    uint64_t deals;
    GHashTable *jobs;       /* struct leader_job, by its id */
    GHashTable *hosts;      /* struct leader_host, by its id */
    GHashTable *shards;     /* struct leader_shard, by its label */
    GHashTable *run_times;  /* job -> struct job_run_time */
    double median_slowdown; /* of the machines */
    struct leader_team *teams;
    int n_teams;
    int first_team;        /* that this pass begins with */
    GPtrArray *open_hosts; /* struct leader_host: that take work in this pass */
    GArray *unplaceable;   /* struct lack: what found no room in this pass */
    int holding_gangs;     /* gangs that hold whole machines in this pass */
    uint32_t *zone_tasks;  /* of the job that is being dealt, by zone */
    int running[4];        /* tasks on record, by urgency */
    struct timer tick, pass;
    mono_time scaled_at, swept_at;
    mono_time idle_at;   /* it last could not act: an outage */
    bool switching;      /* the switch of features is being written */
    bool duties_seen_on; /* when it was last looked at */
    int cancelling;      /* ends of cancelled jobs that are being stored */
    double demand_peak;  /* of used cpus, falling off slowly */
    bool services;       /* some run; the next two tell of them */
    struct room service_usual;
    double service_rate;
    int64_t *service_lack;              /* of tasks, by zone; negative: room to spare */
    mono_time *zone_silent_until;       /* most of its machines are silent, or were lately */
    double *zone_cpus;                  /* of ordinary machines, as in settings->zones */
    struct move_backoff *move_backoffs; /* by zone */
};

/* leader_health.c */
/* Finds the slowdown of the machine in the middle. Tasks of a job may take ever longer wherever
 * they run, and where all machines seem slow none is. */
void leader_measure_slowdowns(struct leader *leader);
/* Whether tasks take much longer on the machine than on most. */
bool leader_host_slow(const struct leader *leader, const struct leader_host *host);

/* leader_shards.c */
/* The shard of that node; there is one from the first time on. */
struct leader_shard *leader_shard_get(struct leader *leader, const char *label);
/* Adds to one of the lists that go to a shard. */
void leader_shard_add(cJSON **list, cJSON *item);

/* leader.c */
/* Has a pass made in a moment, if none is due already. */
void leader_pass_soon(struct leader *leader);

/* leader_policy.c: what operators and objectives say */
/* The machine types, as the cloud lists them now or as they were stored last. */
const GArray *leader_types_now(struct leader *leader);
/* The longest boot of all machine types; 0 without any. */
double leader_slowest_boot(struct leader *leader);
/* How long the job's tasks may wait, by what its class is expected to do. Renting cannot meet a
 * wait shorter than a boot, so such an aim does not count here. */
double leader_patience_s(struct leader *leader, const struct job *job_view);
/* Processors on record or dealt. */
double leader_used_cpus(struct leader *leader);
/* Sets the policy inputs that tell of the load. */
void leader_load_inputs(struct leader *leader, struct policy_value *value);
/* Processors that are to be free for what comes next. */
double leader_spare_cpus(struct leader *leader);
/* Whether ordinary machines may be rented for a job that spot ones could run, once no more of these
 * are to be had. backlog_s: what the machines need for all that goes before it. */
bool leader_may_rent_ordinary(struct leader *leader, const struct leader_job *job,
                              const struct spec *spec, double backlog_s);
/* Whether work of lower priority may be stopped for the job. */
bool leader_may_preempt(struct leader *leader, const struct leader_job *job,
                        const struct spec *spec);
/* How long the machine may be idle before it is returned. */
double leader_idle_ms(struct leader *leader, const struct leader_host *host);

/* leader_scale.c, leader_rent.c, leader_return.c: renting and returning */
/* Whether nothing is on record, dealt, held or wanted on the machine. */
bool leader_host_idle(const struct leader_host *host);
/* Rents what is lacking and returns what is idle or of no use; does so only now and then. */
void leader_scale(struct leader *leader);

#endif
