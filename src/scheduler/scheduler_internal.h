/**
 * State of the leader, shared by the modules of the scheduler. Each part of the state is maintained
 * by the module that its comment names; other modules only read it.
 */
#ifndef LL_SCHEDULER_INTERNAL_H
#define LL_SCHEDULER_INTERNAL_H

#include "feature_set.h"
#include "leader.h"
#include "ledger_job.h"
#include "ledger_machine.h"
#include "role_manager.h"

enum {
    /** Number of dispatch ranks; see job_queue_rank. */
    RANK_COUNT = 12,
    /** Number of values of enum job_priority. */
    PRIORITY_COUNT = PRIORITY_BEST_EFFORT + 1,
};

/** Tracks a team's use of its quota and its queue of jobs. */
struct ledger_team {
    /** The team's guarantee and limit, as configured in the settings. */
    const struct team *quota;
    /** Resources of the team's allocated and dispatched tasks. */
    struct resources used;
    /** The part of `used` that belongs to tasks that were asked to stop. */
    struct resources stopping;
    /**
     * Resources that the autoscaler has so far planned for the team's waiting tasks, in the current
     * run.
     */
    struct resources demand;
    /**
     * The team's deficit counter in the deficit round robin between teams, in thousandths of a CPU.
     */
    double deficit_milli_cpus;
    /**
     * Per pass: array of struct ledger_job with tasks to dispatch, in queue order. Does not own the
     * jobs.
     */
    GPtrArray *ready_jobs;
    /** Index into ready_jobs. Jobs before it have nothing more to dispatch in the current rank. */
    guint next_ready_index;
};

/** Accounts for the resources of jobs, machines and teams. Maintained by quota_ledger.c. */
struct quota_ledger {
    /** Maps job id to struct ledger_job. */
    GHashTable *jobs;
    /** Maps machine id to struct ledger_machine. */
    GHashTable *machines;
    /** Array with one element per team, in the order of the settings. */
    struct ledger_team *teams;
    int team_count;
    /** Number of allocated tasks, indexed by enum job_priority. */
    int allocated_by_priority[PRIORITY_COUNT];
    /** Number of attempt numbers issued in the current epoch. */
    uint64_t attempts_issued;
    /** Number of dispatches issued by this leader; pending_dispatch.number is taken from it. */
    uint64_t dispatches_issued;
    /** The replica was read again in this epoch, so that the ledger may have missed changes. */
    bool is_outdated;
};

/** Holds the working data of a scheduling pass. Maintained by placement.c unless noted. */
struct scheduling_pass {
    /** Index of the team that is served first; advances with each pass. Maintained by leader.c. */
    int first_team_index;
    /** Array of struct ledger_machine that accept new tasks. Does not own the machines. */
    GPtrArray *schedulable_machines;
    /**
     * Array of struct unschedulable_request: requests that no machine could satisfy in this pass.
     */
    GArray *unschedulable_requests;
    /** Total CPUs of the on-demand machines, indexed by zone. */
    double *zone_cpus;
    /** Number of tasks per zone of the job that is being placed; see placement_count_zone_tasks. */
    uint32_t *zone_task_counts;
    /**
     * Number of gangs that reserve machines while these are still in use. Maintained by
     * gang_scheduler.c.
     */
    int draining_gang_count;
};

/** Run time statistics by which slow machines are detected. Maintained by machine_health.c. */
struct run_time_statistics {
    /** Maps job id to struct job_run_time. */
    GHashTable *by_job;
    /** Median slowdown of all machines that have enough samples; 1 if there are none. */
    double median_slowdown;
};

/**
 * Mean run time of a job's tasks. The entry outlives the job, because its slowest tasks are
 * reported last.
 */
struct job_run_time {
    int task_count;
    double mean_s;
};

/** Load measurements that are kept between runs of the autoscaler. Maintained by autoscaler*.c. */
struct autoscaler_state {
    mono_time last_run_at;
    /** Slowly decaying peak of the CPUs in use. */
    double peak_cpus;
    /** Whether any services exist, so that the next two fields are valid. */
    bool has_services;
    /** Mean resource request of a service task. */
    struct resources mean_service_request;
    /** Arrival rate of service tasks. */
    double service_tasks_per_s;
    /**
     * Number of service tasks for which a zone lacks capacity, indexed by zone; negative if the
     * zone has spare capacity.
     */
    int64_t *service_shortfall_tasks;
    /**
     * The time until which a zone is avoided because most of its machines are, or recently were,
     * unreachable; indexed by zone.
     */
    mono_time *zone_avoid_until;
};

/**
 * Records that no replica in a zone could be relocated for a service that requested these
 * resources.
 */
struct relocation_backoff {
    mono_time until;
    struct resources request;
};

/** State of the leader actor. */
struct leader {
    /** Must be the first member, so that the actor callback can cast its argument to the leader. */
    struct actor actor;

    /* Dependencies. All but `cloud` belong to the node and outlive the leader. */
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
    /** Epoch for which the ledger was last rebuilt. */
    epoch_no epoch;
    mono_time epoch_began_at;
    /**
     * Incremented by each rebuild and when leadership ends, so that responses to earlier requests
     * can be recognized and ignored.
     */
    uint64_t generation;

    struct quota_ledger ledger;
    struct scheduling_pass pass;
    struct run_time_statistics run_times;
    struct autoscaler_state autoscaler;
    /** Maps node label to struct shard_channel. Maintained by shard_dispatcher.c. */
    GHashTable *shard_channels;
    /** Array indexed by zone. Maintained by service_relocation.c. */
    struct relocation_backoff *relocation_backoffs;

    struct timer tick_timer;
    struct timer pass_timer;
    /** When dispatch_timeout.c last searched for timed-out dispatches. */
    mono_time last_dispatch_check_at;
    /**
     * When the leader was last unable to act, because it held no lease or the key-value store did
     * not answer.
     */
    mono_time last_outage_at;
    /** Whether a transaction of feature_switch.c is in flight. */
    bool is_switching_features;
    /** Whether singleton roles were enabled when feature_switch.c last checked. */
    bool had_singleton_roles;
    /**
     * Number of in-flight transactions of job_completion.c that record the end of cancelled jobs.
     */
    int cancelled_ends_in_flight;
};

/** Schedules a scheduling pass after a short delay, unless one is already scheduled. */
void leader_request_pass(struct leader *leader);

#endif
