/**
 * @file
 * Sessions with the agents on the machines: their heartbeats, the commands to them, and how long
 * their leases are renewed.
 */
#ifndef LL_AGENT_SESSION_INTERNAL_H
#define LL_AGENT_SESSION_INTERNAL_H

#include "shard_internal.h"

/* heartbeat_check.c: whether heartbeats can be true */

/** Whether a heartbeat is newer than the newest that is known of the machine. */
bool shard_heartbeat_is_newer(const struct machine *machine, const struct heartbeat *heartbeat);
/** Whether a heartbeat agrees with what is known: zone and type exist, the machine's own have not
 * changed, and it does not differ from the newest under the same number. Logs when it does not.
 * @param machine NULL: not known yet. */
bool shard_heartbeat_is_consistent(struct shard *shard, const struct machine *machine,
                                   const struct heartbeat *heartbeat);

/* agent_commands.c: what an agent has to do */

/** Whether the agent may be told to forget an attempt: a copy of the run command that arrives after
 * that would start the task again. */
bool shard_can_clear_attempt(const struct machine *machine, const struct task_run *run);
/** The commands for an agent that are due now, an array of struct agent_command; notes that they
 * are sent. A node without a valid lease only stops what is cancelled: that is final, whoever owns
 * the machine by now.
 * @param is_push they are sent directly, not in the response to a heartbeat: only what has to be
 * run or stopped. */
GArray *shard_collect_commands(struct shard *shard, struct machine *machine, bool is_push);
/** Commands to stop all tasks of a heartbeat whose jobs are over. */
GArray *shard_collect_stop_commands(struct shard *shard, const struct heartbeat *heartbeat);

/* agent_requests.c: requests to agents */

/** Sends the agent its commands directly, without waiting for its next heartbeat. */
void shard_push_commands(struct shard *shard, struct machine *machine);
/** Asks the agent for its state, unless a probe is in flight or was sent a moment ago. */
void shard_probe_agent(struct shard *shard, struct machine *machine);

/* lease_renewal.c: when leases are renewed */

/** How long a node without contact to the state service may go on renewing leases: a job may have
 * been cancelled meanwhile, and its tasks must be gone within the time allowed for that. */
int64_t shard_max_renewal_ms(const struct shard *shard);
/** Whether this node may renew any lease now. */
bool shard_may_renew_leases(struct shard *shard);
/** Whether it may renew the lease of another owner's machine. */
bool shard_may_renew_for_owner(struct shard *shard, const char *owner);
/** Whether some task of a job that is over is on record for the machine and not in its heartbeat:
 * its run command may still be on its way, and no stop command can end it. Only a restart of the
 * agent can, if no new epoch can be begun. */
bool shard_heartbeat_omits_cancelled_task(struct shard *shard, const struct heartbeat *heartbeat);
/** The same for a machine of this node's own, which knows since when the cancellation may be
 * confirmed: whether renewing the lease could let the command be carried out too late. */
bool shard_must_not_renew_lease(struct shard *shard, const struct machine *machine);

#endif
