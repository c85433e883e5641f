/**
 * The leader's state, shared by the modules of this package. Each part of it belongs to the module
 * named in its comment; the others only read it.
 */
#ifndef LL_SCHEDULER_INTERNAL_H
#define LL_SCHEDULER_INTERNAL_H

#include "feature_set.h"
#include "leader.h"
#include "ledger_job.h"
#include "ledger_machine.h"
#include "role_manager.h"

enum {
    /** Number of precedence ranks; see job_queue_rank. */
    RANK_COUNT = 12,
    /** Number of values of enum job_priority. */
    PRIORITY_COUNT = PRIORITY_BEST_EFFORT + 1,
};

/** A team's use of its quota, and its queue of jobs. */
struct ledger_team {
    /** Guarantee and limit, from the settings. */
    const struct team *quota;
    /** By tasks that are allocated or dispatched. */
    struct resources used;
    /** The part of `used` that belongs to tasks that were asked to stop. */
    struct resources stopping;
    /** Used by the autoscaler while it plans: resources of the team's waiting tasks so far. */
    struct resources demand;
    /** Credit in the deficit round robin between teams, in thousandths of a CPU. */
    double deficit_milli_cpus;
    /** Per pass: struct ledger_job with tasks to dispatch, in queue order. Owns no jobs. */
    GPtrArray *ready_jobs;
    /** Index into ready_jobs: earlier ones have nothing more to dispatch in the current rank. */
    guint next_ready_index;
};

/** The accounts of jobs, machines and teams. Belongs to quota_ledger.c. */
struct quota_ledger {
    /** struct ledger_job by job id. */
    GHashTable *jobs;
    /** struct ledger_machine by machine id. */
    GHashTable *machines;
    /** One for each team of the settings, in the same order. */
    struct ledger_team *teams;
    int team_count;
    /** Number of allocated tasks, by enum job_priority. */
    int allocated_by_priority[PRIORITY_COUNT];
    /** Attempt numbers issued in this epoch. */
    uint64_t attempts_issued;
    /** Dispatches issued by this leader; the source of pending_dispatch.number. */
    uint64_t dispatches_issued;
};

/** What one scheduling pass works with. Belongs to placement.c unless noted. */
struct scheduling_pass {
    /** Index of the team whose turn comes first; advances with each pass. Belongs to leader.c. */
    int first_team_index;
    /** struct ledger_machine that accept new tasks. Owns no machines. */
    GPtrArray *schedulable_machines;
    /** struct unschedulable: requests that no machine could take in this pass. */
    GArray *unschedulable_requests;
    /** CPUs of on-demand machines, by zone. */
    double *zone_cpus;
    /** Tasks of the job that is being placed, by zone; see placement_count_zone_tasks. */
    uint32_t *zone_task_counts;
    /** Gangs that reserve whole machines. Belongs to gang_scheduler.c. */
    int draining_gang_count;
};

/** Statistics from which slow machines are recognized. Belongs to machine_health.c. */
struct run_time_statistics {
    /** Job id to struct job_run_time. */
    GHashTable *by_job;
    /** Median of the slowdown over all machines with enough samples; 1 without any. */
    double median_slowdown;
};

/** Mean run time of a job's tasks. Outlives the job, as its slowest tasks are reported last. */
struct job_run_time {
    int task_count;
    double mean_s;
};

/** Load measurements that outlast one run of the autoscaler. Belongs to autoscaler*.c. */
struct autoscaler_state {
    mono_time last_run_at;
    /** Peak of the CPUs in use, decaying slowly. */
    double peak_cpus;
    /** Services exist; the next two fields are valid. */
    bool has_services;
    /** Mean resources of one service task. */
    struct resources mean_service_request;
    /** Arrival rate of service tasks. */
    double service_tasks_per_s;
    /** Service tasks for which a zone lacks capacity, by zone; negative when it has some spare. */
    int64_t *service_shortfall_tasks;
    /** By zone: most of its machines are unreachable, or were until recently. */
    mono_time *zone_avoid_until;
};

/** In a zone, no replica could be relocated for a service that requested this much. */
struct relocation_backoff {
    mono_time until;
    struct resources request;
};

/** The leader's actor. */
struct leader {
    /** First, so that the actor's callback can be cast back to the leader. */
    struct actor actor;

    /* Collaborators; all but `cloud` belong to the node and outlive the leader. */
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct node_rpc *node_rpc;
    const struct settings *settings;
    const struct policy *policy;
    const struct feature_set *features;
    struct role_manager *role_manager;
    /** Owned by the leader. */
    struct cloud_provider *cloud;

    /* Leadership. */
    bool is_leading;
    /** The epoch for which the ledger was last rebuilt. */
    epoch_no epoch;
    mono_time epoch_began_at;
    /** Changes with each rebuild and when leadership ends; answers to older requests are ignored.
     */
    uint64_t generation;

    struct quota_ledger ledger;
    struct scheduling_pass pass;
    struct run_time_statistics run_times;
    struct autoscaler_state autoscaler;
    /** struct shard_channel by node label. Belongs to shard_dispatcher.c. */
    GHashTable *shard_channels;
    /** By zone. Belongs to preemption.c. */
    struct relocation_backoff *relocation_backoffs;

    struct timer tick_timer;
    struct timer pass_timer;
    /** When dispatch_timeout.c last searched for timed out dispatches. */
    mono_time last_dispatch_check_at;
    /** When the leader was last unable to act: no lease, or no answer from the key-value store. */
    mono_time last_outage_at;
    /** The transaction of feature_switch.c is in flight. */
    bool is_switching_features;
    /** Singleton roles were enabled when feature_switch.c last looked. */
    bool had_singleton_roles;
    /** Transactions of job_completion.c in flight that record the end of cancelled jobs. */
    int cancelled_ends_in_flight;
};

/** Runs a scheduling pass after a short delay, unless one is already scheduled. */
void leader_request_pass(struct leader *leader);

#endif
