/**
 * @file
 * Machines that go back to the cloud.
 */
#ifndef LL_MACHINE_RETURNS_INTERNAL_H
#define LL_MACHINE_RETURNS_INTERNAL_H

#include "shard_internal.h"

/** Whether the machine was returned to the cloud, as far as this process remembers. */
bool shard_machine_was_returned(const struct shard *shard, const char *machine_name);
/** Whether the machine is to be returned: nothing is placed on it any more. */
bool shard_machine_is_returning(const struct shard *shard, const char *machine_name);
/** The machine was returned to the cloud: ends its runs and removes its records. */
void shard_handle_machine_returned(struct shard *shard, const char *machine_name);
/** The leader is about to record that the machine is returned. Returns whether nothing can be
 * placed on it any more; if not, the leader asks again. */
bool shard_cordon_for_return(struct shard *shard, const char *machine_name);
/** Hands runs that are placed and not recorded back to the leader.
 * @param keep_undecided keeps those that a transaction with an unknown outcome may have recorded;
 *     else a new epoch is asked for, which decides it. */
void shard_reject_unrecorded_runs(struct shard *shard, struct machine *machine,
                                  bool keep_possibly_recorded);

#endif
