/**
 * @file
 * Placement by ARQ: the queues of dispatched tasks, and which machine takes which.
 */
#ifndef LL_TASK_PLACEMENT_INTERNAL_H
#define LL_TASK_PLACEMENT_INTERNAL_H

#include "shard_internal.h"

/** A task that the leader dispatched to this shard and that has no machine yet. */
struct dispatch {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    /** Counted by the leader. */
    uint64_t number;
    /** Where it has to run; "": anywhere. */
    char zone[48];
    /** The machine that it has to run on; "": any. */
    char bound_machine[48];
    /** ARQ class; 0: not known, as the job is not in the replica yet. */
    int task_class;
    /** The class whose queue it is in; the switch rule raises it. */
    int queue_class;
    mono_time dispatched_at;
    /** When it came into its present queue. */
    mono_time queued_at;
};

/** What shard_choose_machine() found. */
enum placement_result {
    PLACEMENT_FOUND,
    /** There are candidates, but the task waits for a better one. */
    PLACEMENT_WAITS,
    /** No machine can hold it now. */
    PLACEMENT_NO_CANDIDATE,
};

/* task_placement.c: the choice of a machine */

/** Whether tasks may be placed on the machine. */
bool shard_machine_is_available(struct shard *shard, struct machine *machine);
/** The share of its scarcest resource that is allocated. */
double shard_machine_allocated_share(const struct machine *machine);
/** Chooses a machine for a task among shard->placement.available_machines.
 * @param move what the switch rule says
 * @param out the machine, with PLACEMENT_FOUND; else NULL */
enum placement_result shard_choose_machine(struct shard *shard, const struct dispatch *dispatch,
                                           const struct job *job, enum arq_decision decision,
                                           struct machine **out);
/** Notes that no machine can hold the task now, so that the pass need not look again for what asks
 * for as much. */
void shard_remember_unschedulable(struct shard *shard, const struct dispatch *dispatch,
                                  const struct job_spec *spec);
/** The switch rule for a task that waits.
 * @param is_rule_time the rule is due; else it only tells whether the task's patience is used up */
enum arq_decision shard_apply_switch_rule(struct shard *shard, const struct dispatch *dispatch,
                                          const struct job_spec *spec, bool is_switch_rule_due);

/* dispatch_queue.c: the queues */

/** Adds a dispatch to the queue of those that have no class yet. */
void shard_enqueue_dispatch(struct shard *shard, const struct dispatch *dispatch);
/** Goes through the queues, if something has changed or the switch rule is due.
 * @param arg the struct shard. */
void shard_place_tasks(void *arg);
/** The same in a moment, once for several heartbeats. */
void shard_request_placement(struct shard *shard);
/** Hands a dispatch back to the leader, with the next status. */
void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch);
/** Frees all queued dispatches, and forgets those to be handed back. */
void shard_clear_dispatches(struct shard *shard);

#endif
