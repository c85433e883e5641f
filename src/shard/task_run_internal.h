/**
 * @file
 * The runs of tasks on the node's machines: one attempt of one task on one machine, from its
 * placement until its record is removed and its agent has forgotten it.
 */
#ifndef LL_TASK_RUN_INTERNAL_H
#define LL_TASK_RUN_INTERNAL_H

#include "resources.h"
#include "shard.h"

struct machine;

/** Where a run is in its life. A run keeps its resources in every phase but the last. */
enum task_run_phase {
    /** Placed by this node; its record is not written yet, and no command was sent. */
    TASK_RUN_PLACED,
    /** Its record is written: it may be running. */
    TASK_RUN_RECORDED,
    /** It is proven that it does not run any more; its record is not removed yet. */
    TASK_RUN_ENDED,
    /** Its record is removed; it is kept until the agent does not report the attempt any more. */
    TASK_RUN_RELEASED,
};

/** Which stored page the record of a run is on. */
struct run_record_state {
    /** Number of the page among this node's own; -1: it is on none of them. */
    int page;
    /** The record is still on a page of an earlier owner of the machine; the replica knows which.
     */
    bool is_foreign;
    /** The transaction in flight adds, moves or removes the record. */
    bool is_in_txn;
    /** With is_in_txn, the page that the record comes to; -1: it is removed. */
    int next_page;
    /** It was in a transaction whose outcome may be unknown: it may be recorded. */
    bool may_be_recorded;
};

/** The run commands that this node has sent for a run. An agent executes a command only if its
 * fencing token is not lower than the highest that the agent has seen, which is what makes it
 * provable that no copy of a command can start the task any more. */
struct run_start {
    /** The highest fencing token that a run command for this attempt may have carried, also one of
     * an earlier owner. */
    epoch_no fencing_token;
    /** The agent epoch known when the last one was sent; 0: not known. */
    uint64_t agent_epoch;
    /** Commands sent directly (not in the response to a heartbeat) whose outcome is unknown. */
    int in_flight;
    /** When the last one was sent; 0: never by this node. */
    mono_time sent_at;
};

/** Whether the agent's heartbeats name a run. */
enum run_visibility {
    /** No heartbeat has named it, or it has ended since. */
    RUN_NOT_REPORTED,
    /** The newest heartbeat names it. */
    RUN_REPORTED,
    /** An earlier heartbeat named it, the newest does not, and nothing proves yet that it has
     * ended. */
    RUN_DISAPPEARED,
};

/** What the agent's heartbeats say of a run. */
struct run_report {
    enum run_visibility visibility;
    /** Scratch of shard_machine_apply_heartbeat(): the heartbeat being applied names it. */
    bool in_current_heartbeat;
    /** With RUN_REPORTED, as in the newest heartbeat. */
    enum task_state state;
    /** When it was first reported as running; 0: never. */
    mono_time running_at;
};

/** A request to stop a run. */
struct run_stop {
    bool is_requested;
    /** How long the task may take to save its state, in seconds. */
    double grace_s;
    /** When the first stop command was sent; 0: not yet. */
    mono_time sent_at;
    /** The earliest moment at which a user may have had the cancellation of the job confirmed;
     * 0: the job is not over. */
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
    /** The agent does not report the attempt, and has seen a newer fencing token than any command
     * for it can have carried. */
    RUN_END_FENCED,
    /** The agent's lease has expired, so that it has stopped everything. */
    RUN_END_LEASE_EXPIRED,
    /** The machine was returned to the cloud. */
    RUN_END_MACHINE_RETURNED,
};

/** The end of a run, from TASK_RUN_ENDED on. A change of the shard map's epoch takes the run back
 * to TASK_RUN_RECORDED, until the end is proven again. */
struct run_end {
    enum run_end_proof proof;
    mono_time ended_at;
};

/** One attempt of one task on one of this node's machines. */
struct task_run {
    job_id job;
    /** Number of the task within its job. */
    uint32_t index;
    attempt_no attempt;
    /** Number of the leader's dispatch; 0: it was not dispatched to this process. */
    uint64_t dispatch_number;
    /** What it has allocated on its machine. */
    struct resources resources;
    /** It belongs to a service, and counts among the machine's service_resources. */
    bool is_service;
    /** The ARQ pool that its machine was in when it was placed; 0: not placed by this process. */
    int placement_pool;
    /** When this process placed it or took it over. */
    mono_time placed_at;

    enum task_run_phase phase;
    struct run_record_state record;
    struct run_start start;
    struct run_report reported;
    struct run_stop stop;
    struct run_end end;
};

/** Adds a run to a machine and allocates its resources there. The machine owns it.
 * @param spec the job's; NULL: not known, the run allocates nothing. */
struct task_run *shard_run_add(struct machine *machine, job_id job, uint32_t index,
                               attempt_no attempt, const struct job_spec *spec);
/** The run of an attempt on a machine, or NULL. */
struct task_run *shard_run_find(struct machine *machine, job_id job, uint32_t index,
                                attempt_no attempt);
/** Releases a run's resources, unless that was done; the caller sets its phase. */
void shard_run_release_resources(struct shard *shard, struct machine *machine,
                                 struct task_run *run);
/** Releases the resources of the run at a position of machine->runs and frees it. The last run
 * takes its position. */
void shard_run_remove(struct shard *shard, struct machine *machine, guint position);
/** Requests that a run be stopped; a second request changes nothing. The command is sent by the
 * next push or heartbeat response. */
void shard_run_request_stop(struct task_run *run, double grace_s);
/** Requests that a run be stopped at once, without grace, if its job is over. */
void shard_run_request_stop_if_job_finished(struct shard *shard, struct task_run *run);

#endif
