/**
 * The quota ledger's entry for a job: its tasks by state, its position in its team's queue, and its
 * state for preemption, gang scheduling and failure handling.
 *
 * Fields marked "per pass" are recomputed by each scheduling pass and are not valid outside it.
 */
#ifndef LL_LEDGER_JOB_H
#define LL_LEDGER_JOB_H

#include "replica.h"
#include "resources.h"

struct ledger_machine;

/**
 * A run record of a task. Owned by ledger_job.allocations or ledger_job.other_allocations. There
 * may be 100,000 of them for one job.
 */
struct allocation {
    attempt_no attempt;
    mono_time allocated_at;
    /** Id of the machine, an interned reference-counted string. */
    char *machine;
    /**
     * Id of the job for which the task was preempted, an interned reference-counted string; NULL if
     * the task was not preempted.
     */
    char *preemptor_job;
    /** Index of the task. */
    uint32_t index;
    /** Whether the shard that owns the machine was asked to stop the task. */
    bool is_stopping;
};

/**
 * A task that was dispatched to a shard and has no run record yet. Owned by ledger_job.dispatches.
 */
struct pending_dispatch {
    attempt_no attempt;
    /**
     * Machine to which the task's resources are charged. Unless the dispatch is bound to it, the
     * shard may place the task on another of its machines.
     */
    struct ledger_machine *machine;
    /**
     * Sequence number among all dispatches of this leader, by which outdated responses to an
     * earlier dispatch of the task are recognized.
     */
    uint64_t number;
    mono_time dispatched_at;
};

/** Scheduling state of a gang, a job whose tasks are started all together or not at all. */
struct gang_state {
    /** Attempt under which this leader dispatched the whole gang; 0 if it has not. */
    attempt_no attempt;
    /** Whether a task's run record was removed, so that the gang may already have begun to run. */
    bool has_lost_task;
    /**
     * The time since which only some of the tasks have had run records with none dispatched; 0 if
     * that is not the case.
     */
    mono_time partially_allocated_since;
    /** Epoch in which the remaining tasks were last stopped; 0 if they never were. */
    epoch_no stopped_in_epoch;
    /** When the remaining tasks were last stopped. */
    mono_time stopped_at;
    /** The time since which there are too few resources for all tasks; 0 if there are enough. */
    mono_time unschedulable_since;
    /** Per pass: number of tasks for which resources are reserved. */
    uint32_t reserved_task_count;
    /** Per pass: zone of the first reserved machine; used by gangs that need a single zone. */
    int reserved_zone_index;
    /** Zone in which tasks were last preempted for a gang that needs a single zone. */
    int preemption_zone_index;
};

/**
 * Compares a job's waiting time with the objective of its class. The stages are in ascending order
 * of precedence.
 */
enum wait_stage {
    /** The objective is already missed. Also the initial value, before the job is first queued. */
    WAIT_LATE,
    /** The objective can still be met. */
    WAIT_ON_TIME,
    /**
     * The job has waited so long that it is no longer placed behind others for having missed its
     * objective.
     */
    WAIT_AGED,
    /**
     * The job has waited so long that it precedes all jobs that borrow resources and is preempted
     * only by services.
     */
    WAIT_OVERDUE,
};

/** Position of a job in its team's queue. */
struct queue_entry {
    /** Per pass: the replica's record of the job. */
    struct job *job_record;
    /**
     * Wait stage as of the last pass in which the job was ready. Unlike the "per pass" fields it is
     * also read in later passes, by preemption.
     */
    enum wait_stage wait_stage;
    /** Per pass: whether no machine has enough free resources, so that the job is skipped. */
    bool is_blocked;
    /**
     * Sort key within the wait stage, in milliseconds: the time at which the job became eligible
     * plus a penalty for its size.
     */
    int64_t sort_key_ms;
};

/** State of preemption on behalf of this job. */
struct preemption_state {
    /** When preemption was last attempted for this job; 0 if never. */
    mono_time last_attempt_at;
    /** Number of tasks that were stopped for this job and whose run records still exist. */
    int pending_victim_count;
};

/** Failures that are attributed to the job rather than to its machines. */
struct job_failures {
    /** The time until which no task of the job is dispatched. */
    mono_time retry_at;
    /** Number of consecutive failures. Each doubles the retry delay, up to a maximum. */
    int count;
    /** Set of ids of machines on which tasks of the job failed; NULL if empty. */
    GHashTable *failed_machines;
};

/** Entry for a job in the quota ledger. Owned by quota_ledger.jobs. */
struct ledger_job {
    job_id id;
    /** Index into quota_ledger.teams. */
    int team_index;
    /** Resources requested by one task. */
    struct resources task_resources;
    bool is_service;
    /** The higher one of the job's own and its inherited priority. */
    enum job_priority priority;
    /**
     * How long the job may wait without missing the objective of its class; policy expressions read
     * it as patience_s.
     */
    double patience_s;
    /**
     * Maps a task key to struct allocation; quota_ledger_task_index() converts a key to the task's
     * index.
     */
    GHashTable *allocations;
    /**
     * Further records of tasks that have an allocation already (struct allocation). Each record
     * counts, as its task may run. Normally there are none; NULL then.
     */
    GPtrArray *other_allocations;
    /** Maps a task key to struct pending_dispatch; keys are the same as in allocations. */
    GHashTable *dispatches;
    /**
     * Lower bound for the index of the first waiting task: no task with a lower index is waiting.
     */
    uint32_t first_waiting_index;
    /** Whether the transaction that records the end of the job is in flight. */
    bool is_end_in_flight;
    struct queue_entry queue;
    struct preemption_state preemption;
    struct job_failures failures;
    struct gang_state gang;
};

#endif
