/**
 * @file
 * Proofs that a run has ended. A record is removed, and its task started again, only after a proof
 * that no copy of the run command can start the attempt any more: docs/safety.md argues each.
 */
#ifndef LL_TASK_END_INTERNAL_H
#define LL_TASK_END_INTERNAL_H

#include "shard_internal.h"

/** Applies what a heartbeat says of a run that it names. */
void shard_handle_reported_run(struct shard *shard, struct machine *machine, struct task_run *run,
                               const struct heartbeat_task *task);
/** Applies that a heartbeat does not name a run. */
void shard_handle_missing_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              const struct heartbeat *heartbeat);
/** Whether the lease of a machine's agent has expired for sure: no node can have renewed it for
 * long enough. May ask other nodes, so that the answer can be no at first. */
bool shard_lease_has_expired(struct shard *shard, struct machine *machine);
/** Ends all recorded runs of a machine.
 * @param proof RUN_END_LEASE_EXPIRED or RUN_END_MACHINE_RETURNED. */
void shard_end_all_runs(struct shard *shard, struct machine *machine, enum run_end_proof proof);

#endif
