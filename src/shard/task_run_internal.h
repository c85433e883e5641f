/**
 * @file
 * Runs of tasks on the node's machines. A run is one attempt of a task on one machine, from its
 * placement until its record is removed and its agent has forgotten it.
 */
#ifndef LL_TASK_RUN_INTERNAL_H
#define LL_TASK_RUN_INTERNAL_H

#include "resources.h"
#include "shard.h"

struct machine;

/** Phases in the life of a run. A run keeps its resources in all phases but the last. */
enum task_run_phase {
    /** The run was placed by this node; its record is not written yet, and no command was sent. */
    TASK_RUN_PLACED,
    /** The record of the run is written, and the task may be running. */
    TASK_RUN_RECORDED,
    /** It is proven that the run has ended; its record is not removed yet. */
    TASK_RUN_ENDED,
    /** The record of the run is removed. The run is kept until the agent no longer reports the
     * attempt. */
    TASK_RUN_RELEASED,
};

/** The place where the record of a run is stored. */
struct run_record_state {
    /** Number of this node's page that holds the record; -1: none of them does. */
    int page;
    /** The record is still on a page of an earlier owner of the machine; the replica knows which.
     */
    bool is_foreign;
    /** The transaction in flight adds, moves or removes the record. */
    bool is_in_txn;
    /** If is_in_txn, the page that will hold the record; -1: the record is removed. */
    int next_page;
    /** The record was in a transaction whose outcome may be unknown, so that it may be stored. */
    bool may_be_recorded;
};

/** The run commands that this node has sent for a run. An agent executes a command only if its
 * fencing token is not lower than the highest one that the agent has seen. That makes it possible
 * to prove that no copy of a command can start the task any more. */
struct run_start {
    /** The highest fencing token that a run command for this attempt may have carried, including
     * commands of earlier owners. */
    agent_token token;
    /** The agent epoch known when the last command was sent; 0: unknown. */
    uint64_t agent_epoch;
    /** When the last command was sent; 0: never by this node. */
    mono_time sent_at;
};

/** States whether the agent's heartbeats name a run. */
enum run_visibility {
    /** No heartbeat has named the run, or it has ended since. */
    RUN_NOT_REPORTED,
    /** The newest heartbeat names the run. */
    RUN_REPORTED,
    /** An earlier heartbeat named the run, the newest one does not, and nothing proves yet that the
     * run has ended. */
    RUN_DISAPPEARED,
};

/** What the agent's heartbeats report about a run. */
struct run_report {
    enum run_visibility visibility;
    /** Temporary mark of shard_machine_apply_heartbeat(): the heartbeat being applied names the
     * run. */
    bool in_current_heartbeat;
    /** State in the newest heartbeat; valid with RUN_REPORTED. */
    enum task_state state;
    /** When the run was first reported as running; 0: never. */
    mono_time running_at;
};

/** A request to stop a run. */
struct run_stop {
    bool is_requested;
    /** Grace period in which the task may save its state, in seconds. */
    double grace_s;
    /** When the first stop command was sent; 0: not yet. */
    mono_time sent_at;
    /** The earliest time at which the cancellation of the job can have been confirmed to a user; 0:
     * the job is not finished. */
    mono_time job_finished_since;
};

/** What proves that a run has ended and that no command can start its attempt again. */
enum run_end_proof {
    RUN_END_UNPROVEN,
    /** The agent reports that the task exited successfully. */
    RUN_END_COMPLETED,
    /** The agent reports that the task exited in any other way. */
    RUN_END_EXITED,
    /** The agent was restarted after the command was sent, and does not report the attempt. */
    RUN_END_AGENT_RESTARTED,
    /** The agent does not report the attempt, and has seen a higher fencing token than any command
     * for the attempt can have carried. */
    RUN_END_FENCED,
    /** The agent's lease has expired, so that the agent has stopped all tasks. */
    RUN_END_LEASE_EXPIRED,
    /** The machine was returned to the cloud. */
    RUN_END_MACHINE_RETURNED,
};

/** The end of a run, valid from TASK_RUN_ENDED on. A new epoch of the shard map sets the run back
 * to TASK_RUN_RECORDED until its end is proven again. */
struct run_end {
    enum run_end_proof proof;
    mono_time ended_at;
};

/** One attempt of a task on one of this node's machines. */
struct task_run {
    job_id job;
    /** Index of the task within its job. */
    uint32_t index;
    attempt_no attempt;
    /** Number of the leader's dispatch; 0: the task was not dispatched to this process. */
    uint64_t dispatch_number;
    /** Resources that the run has allocated on its machine. */
    struct resources resources;
    /** The run belongs to a service, and counts towards the machine's service_resources. */
    bool is_service;
    /** ARQ pool of the machine when the run was placed; 0: not placed by this process. */
    int placement_pool;
    /** When this process placed the run or took it over. */
    mono_time placed_at;

    enum task_run_phase phase;
    struct run_record_state record;
    struct run_start start;
    struct run_report reported;
    struct run_stop stop;
    struct run_end end;
};

/** Adds a run to a machine and allocates its resources there. The machine owns the run.
 * @param spec the job's specification; NULL: unknown, so that the run allocates nothing. */
struct task_run *shard_run_add(struct machine *machine, job_id job, uint32_t index,
                               attempt_no attempt, const struct job_spec *spec);
/** Returns the run of an attempt on a machine, or NULL. */
struct task_run *shard_run_find(struct machine *machine, job_id job, uint32_t index,
                                attempt_no attempt);
/** Releases the resources of a run, unless they were released before. The caller sets the phase. */
void shard_run_release_resources(struct shard *shard, struct machine *machine,
                                 struct task_run *run);
/** Releases the resources of the run at an index of machine->runs and frees the run. The last run
 * is moved to its index. */
void shard_run_remove(struct shard *shard, struct machine *machine, guint position);
/** Requests that a run be stopped; further requests have no effect. The command is sent with the
 * next push or heartbeat response. */
void shard_run_request_stop(struct task_run *run, double grace_s);
/** Requests that a run be stopped at once, without a grace period, if its job is finished. */
void shard_run_request_stop_if_job_finished(struct shard *shard, struct task_run *run);

#endif
