/**
 * @file
 * Sessions with the agents on the machines: heartbeats, commands and probes.
 */
#ifndef LL_AGENT_SESSION_INTERNAL_H
#define LL_AGENT_SESSION_INTERNAL_H

#include "shard_internal.h"

/** Sends the agent its commands directly, without waiting for its next heartbeat. */
void shard_push_commands(struct shard *shard, struct machine *machine);
/** Whether the agent may be told to forget an attempt: a copy of the run command that arrives after
 * that would start the task again. */
bool shard_can_clear_attempt(const struct machine *machine, const struct task_run *run);
/** How long a node without contact to the state service may go on renewing leases: a job may have
 * been cancelled meanwhile, and its tasks must be gone within the time allowed for that. */
int64_t shard_max_renewal_ms(const struct shard *shard);
/** Asks the agent for its state, unless a probe is in flight or was sent a moment ago. */
void shard_probe_agent(struct shard *shard, struct machine *machine);

#endif
