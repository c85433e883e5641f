/**
 * A job as the leader's quota ledger accounts for it: its tasks by state, its place in its team's
 * queue, and what preemption, gang scheduling and failures have left behind.
 *
 * Fields marked "per pass" are recomputed by each scheduling pass and mean nothing outside it.
 */
#ifndef LL_LEDGER_JOB_H
#define LL_LEDGER_JOB_H

#include "replica.h"
#include "resources.h"

struct ledger_machine;

/** A task that has a run record, as the ledger accounts for it. Owned by ledger_job.allocations. */
struct allocation {
    attempt_no attempt;
    machine_id machine;
    mono_time allocated_at;
    /** The shard that owns the machine was asked to stop the task. */
    bool is_stopping;
    /** The job for which the task was preempted; empty when it was not. */
    job_id preemptor_job;
};

/** A task dispatched to a shard, without a run record yet. Owned by ledger_job.dispatches. */
struct pending_dispatch {
    attempt_no attempt;
    /** The machine whose resources are booked; the shard may choose another one of its own. */
    struct ledger_machine *machine;
    /** Sequence number among all dispatches of this leader; tells repeated answers apart. */
    uint64_t number;
    mono_time dispatched_at;
    char zone[48];
};

/** What only gangs need: jobs whose tasks start together or not at all. */
struct gang_state {
    /** The attempt under which this leader dispatched the whole gang; 0 when it has not. */
    attempt_no attempt;
    /** A task had a run record and lost it, so the gang may already have begun to run. */
    bool has_lost_task;
    /** Since when only some tasks have run records and none is dispatched; 0 when not so. */
    mono_time partially_allocated_since;
    /** The epoch in which the remaining tasks were last stopped; 0 when they never were. */
    epoch_no stopped_in_epoch;
    /** When the remaining tasks were last stopped. */
    mono_time stopped_at;
    /** Since when there are not enough resources for all tasks; 0 when there are. */
    mono_time unschedulable_since;
    /** Per pass: number of tasks for which resources are reserved. */
    uint32_t reserved_task_count;
    /** Per pass: zone of the first reserved machine; used by gangs that need a single zone. */
    int reserved_zone_index;
    /** Zone in which tasks were last preempted for a gang that needs a single zone. */
    int preemption_zone_index;
};

/** How a job's waiting time compares with the objective of its class, from worst to best. */
enum wait_stage {
    /** The objective is already missed; also the value before the job is first queued. */
    WAIT_LATE,
    /** The objective can still be met. */
    WAIT_ON_TIME,
    /** It has waited so long that lateness no longer pushes it back. */
    WAIT_AGED,
    /** It has waited so long that it precedes all borrowed work and is preempted by services only.
     */
    WAIT_OVERDUE,
};

/** A job's place in its team's queue. */
struct queue_entry {
    /** Per pass: the replica's record of the job. */
    struct job *job_record;
    /** As of the last pass in which the job was ready; preemption reads it in later ones, too. */
    enum wait_stage wait_stage;
    /** Per pass: no machine has enough free resources, so the job is skipped. */
    bool is_blocked;
    /** Sort key within the wait stage: time of eligibility plus a penalty for size, in ms. */
    int64_t sort_key_ms;
};

/** Preemption of other jobs' tasks on behalf of this job. */
struct preemption_state {
    /** When preemption was last attempted; 0 when never. */
    mono_time last_attempt_at;
    /** Tasks stopped for this job whose run records still exist. */
    int pending_victim_count;
};

/** Failures that are attributed to the job and not to its machines. */
struct job_failures {
    /** Nothing is dispatched before then. */
    mono_time retry_at;
    /** Consecutive failures, which double the delay up to a maximum. */
    int count;
    /** Set of names of machines on which tasks of the job failed; NULL while empty. */
    GHashTable *failed_machines;
};

/** A job in the quota ledger. Owned by quota_ledger.jobs. */
struct ledger_job {
    job_id id;
    /** Index into quota_ledger.teams. */
    int team_index;
    /** Resources of one task. */
    struct resources task_resources;
    bool is_service;
    /** The job's own priority or an inherited one, whichever is higher. */
    enum job_priority priority;
    /** How long the job may wait without missing the objective of its class. */
    double patience_s;
    /** Task to struct allocation; quota_ledger_task_index() gives a key's task. */
    GHashTable *allocations;
    /** Task to struct pending_dispatch; keys of the same kind. */
    GHashTable *dispatches;
    /** No task with a lower index is waiting. */
    uint32_t first_waiting_index;
    /** The transaction that records the end of the job is in flight. */
    bool is_end_in_flight;
    struct queue_entry queue;
    struct preemption_state preemption;
    struct job_failures failures;
    struct gang_state gang;
};

#endif
