/**
 * @file
 * Task placement by ARQ admission control: the queues of dispatched tasks, and the choice of
 * machines for them.
 */
#ifndef LL_TASK_PLACEMENT_INTERNAL_H
#define LL_TASK_PLACEMENT_INTERNAL_H

#include "shard_internal.h"

/** A task that the leader has dispatched to this shard and that has not been placed on a machine
 * yet. */
struct dispatch {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    /** Number of the dispatch, assigned by the leader. */
    uint64_t number;
    /** Zone in which the task has to run; empty: any. */
    char zone[48];
    /** Machine on which the task has to run; empty: any. */
    char bound_machine[48];
    /** ARQ class of the task; 0: unknown, as its job is not in the replica yet. */
    int task_class;
    /** Class of the queue that the task is in; raised by the switch rule. */
    int queue_class;
    mono_time dispatched_at;
    /** When the task entered its current queue. */
    mono_time queued_at;
};

/** Result of shard_choose_machine(). */
enum placement_result {
    PLACEMENT_FOUND,
    /** There are candidates, but the task waits for a better machine. */
    PLACEMENT_WAITS,
    /** No machine can hold the task now. */
    PLACEMENT_NO_CANDIDATE,
};

/* task_placement.c: choice of machines */

/** Returns whether tasks may be placed on the machine. */
bool shard_machine_is_available(struct shard *shard, struct machine *machine);
/** Returns the allocated share of the machine's scarcest resource. */
double shard_machine_allocated_share(const struct machine *machine);
/** Chooses a machine for a task from shard->placement.available_machines.
 * @param decision result of the switch rule for the task
 * @param out the machine, with PLACEMENT_FOUND; otherwise NULL */
enum placement_result shard_choose_machine(struct shard *shard, const struct dispatch *dispatch,
                                           const struct job *job, enum arq_decision decision,
                                           struct machine **out);
/** Remembers that no machine can hold the task now, so that the current pass does not search again
 * for requests that are at least as large. */
void shard_remember_unschedulable(struct shard *shard, const struct dispatch *dispatch,
                                  const struct job_spec *spec);
/** Applies the switch rule to a waiting task.
 * @param is_switch_rule_due the rule is due; otherwise the function only checks whether the task
 *     has waited for the maximum time */
enum arq_decision shard_apply_switch_rule(struct shard *shard, const struct dispatch *dispatch,
                                          const struct job_spec *spec, bool is_switch_rule_due);

/* dispatch_queue.c: queues of dispatched tasks */

/** Adds a dispatch to the queue of tasks that have not been classified yet. */
void shard_enqueue_dispatch(struct shard *shard, const struct dispatch *dispatch);
/** Runs a placement pass over the queues, if something has changed or the switch rule is due.
 * @param arg the struct shard. */
void shard_place_tasks(void *arg);
/** Schedules a placement pass after a short delay, so that one pass serves several heartbeats. */
void shard_request_placement(struct shard *shard);
/** Rejects a dispatch: returns it to the leader with the next status message. Its task must not
 * have a record and never get one.
 * @param reason its name in the log. */
void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch,
                           const char *reason);
/** Frees all queued dispatches, and discards the rejected ones that were not reported yet. */
void shard_clear_dispatches(struct shard *shard);

#endif
