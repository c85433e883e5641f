/**
 * @file
 * Returning machines to the cloud provider.
 */
#ifndef LL_MACHINE_RETURNS_INTERNAL_H
#define LL_MACHINE_RETURNS_INTERNAL_H

#include "shard_internal.h"

/** Returns whether the machine was returned to the cloud provider, as far as this process
 * remembers. */
bool shard_machine_was_returned(const struct shard *shard, const char *machine_name);
/** Returns whether the machine is going to be returned, so that no tasks may be placed on it. */
bool shard_machine_is_returning(const struct shard *shard, const char *machine_name);
/** Handles the return of a machine to the cloud provider: ends its runs and removes its records. */
void shard_handle_machine_returned(struct shard *shard, const char *machine_name);
/** Prepares a machine for its return, before the leader records the intent to return it: stops
 * placement on the machine, and rejects the placed runs that are not recorded. Returns false if a
 * transaction may still record some of them; the leader then asks again. */
bool shard_cordon_for_return(struct shard *shard, const char *machine_name);
/** Hands placed runs that are not recorded back to the leader, as rejected dispatches.
 * @param keep_possibly_recorded keep runs that a transaction with an unknown outcome may have
 *     recorded. If false, they are removed and a new epoch is requested, which settles whether they
 *     are recorded. */
void shard_reject_unrecorded_runs(struct shard *shard, struct machine *machine,
                                  bool keep_possibly_recorded);

#endif
