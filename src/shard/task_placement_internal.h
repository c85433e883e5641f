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

/** Whether tasks may be placed on the machine. */
bool shard_machine_is_available(struct shard *shard, struct machine *machine);
/** Goes through the queues, if something has changed or the switch rule is due.
 * @param arg the struct shard. */
void shard_place_tasks(void *arg);
/** The same in a moment, once for several heartbeats. */
void shard_request_placement(struct shard *shard);
/** Hands a dispatch back to the leader. */
void shard_reject_dispatch(struct shard *shard, const struct dispatch *dispatch);
/** Frees all queued dispatches, and forgets those to be handed back. */
void shard_clear_dispatches(struct shard *shard);

#endif
