/**
 * @file
 * The fencing tokens that the owner of a machine gives to its agent (agent_token.h). A copy of a
 * pushed command may be carried out at any later time, as long as its token and agent epoch match.
 * Before the agent forgets an attempt, the token is raised, so that no copy can start it again.
 */
#ifndef LL_AGENT_FENCING_INTERNAL_H
#define LL_AGENT_FENCING_INTERNAL_H

#include "shard_internal.h"

/** Initializes the token of a machine that this process owns from lease.owned_since_epoch on. */
void shard_fence_begin_ownership(struct shard *shard, struct machine *machine);

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

/** Raises the token because the agent may have been restarted. It has forgotten its tasks, its
 * counters and the tokens that it had seen, so that late messages from before the restart cannot be
 * told from present ones by their counters, and commands from before it match again. Messages that
 * show a token from before this call are not trusted any more. */
void shard_fence_distrust(struct shard *shard, struct machine *machine);

/** Returns whether a token proves that the message that shows it comes from the present agent. */
bool shard_fence_is_trusted(const struct machine *machine, agent_token token);

/** Returns whether no message can be trusted before the next epoch, as tokens have no serials in
 * this one. */
bool shard_fence_needs_new_epoch(const struct machine *machine);

/** Encodes the commands for an agent under a token, see agent_commands_encode(). */
char *shard_encode_commands(const struct shard *shard, agent_token token, uint64_t agent_epoch,
                            const GArray *commands);

/** Raises the token of a machine, or requests a new epoch if tokens have no serials. Returns
 * whether the token was raised. */
bool shard_fence_raise_token(struct shard *shard, struct machine *machine);

#endif
