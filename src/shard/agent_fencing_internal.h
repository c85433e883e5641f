/**
 * @file
 * The fencing tokens that the owner of a machine gives to its agent (agent_token.h). A copy of a
 * pushed command may be carried out at any later time, as long as its token and agent epoch match.
 * Before the agent forgets an attempt, the token is raised, so that no copy can start it again.
 */
#ifndef LL_AGENT_FENCING_INTERNAL_H
#define LL_AGENT_FENCING_INTERNAL_H

#include "shard_internal.h"

/** Sets the token of a machine for an epoch in which this node has pushed no commands yet. */
void shard_fence_begin_epoch(struct shard *shard, struct machine *machine);

/** Takes over a higher token of this epoch that the agent has seen. Only this node can have issued
 * it, before it last forgot the machine. */
void shard_fence_adopt_token(struct shard *shard, struct machine *machine, agent_token seen);

/** Raises the token above that of all run commands that this node may have pushed. Returns false,
 * and requests a new epoch, if that is not possible in this one. */
bool shard_fence_pushed_runs(struct shard *shard, struct machine *machine);

/** Raises the token above the given one, or requests a new epoch. */
void shard_fence_raise_above(struct shard *shard, struct machine *machine, agent_token token);

/** Encodes the commands for an agent under a token, see agent_commands_encode(). */
char *shard_encode_commands(const struct shard *shard, agent_token token, uint64_t agent_epoch,
                            const GArray *commands);

#endif
