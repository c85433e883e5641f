/**
 * @file
 * Proofs that a run has ended. A record is removed and its task started again only after a proof
 * that no copy of the run command can start the attempt any more. docs/safety.md explains each
 * proof.
 */
#ifndef LL_TASK_END_INTERNAL_H
#define LL_TASK_END_INTERNAL_H

#include "shard_internal.h"

/** Handles a run that a heartbeat names. */
void shard_handle_reported_run(struct shard *shard, struct machine *machine, struct task_run *run,
                               const struct heartbeat_task *task);
/** Handles a run that a heartbeat does not name. */
void shard_handle_missing_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              const struct heartbeat *heartbeat);
/** Returns whether the lease of a machine's agent has certainly expired, as no node can have
 * renewed it for long enough. May query other nodes; it returns false until they have responded. */
bool shard_lease_has_expired(struct shard *shard, struct machine *machine);
/** Ends the runs of a machine that has been silent for so long that its lease has certainly
 * expired. */
void shard_end_runs_if_lease_expired(struct shard *shard, struct machine *machine);
/** Ends all recorded runs of a machine.
 * @param proof RUN_END_LEASE_EXPIRED or RUN_END_MACHINE_RETURNED. */
void shard_end_all_runs(struct shard *shard, struct machine *machine, enum run_end_proof proof);

#endif
