/**
 * @file
 * Sessions with the agents on the machines: heartbeats, commands, and lease renewal.
 */
#ifndef LL_AGENT_SESSION_INTERNAL_H
#define LL_AGENT_SESSION_INTERNAL_H

#include "shard_internal.h"

/* heartbeat_check.c: validation of heartbeats */

/** Returns whether a heartbeat is newer than a known one, by the counters of the agent. */
bool shard_heartbeat_is_newer(const struct machine_heartbeat *known,
                              const struct heartbeat *heartbeat);
/** Returns whether a heartbeat is consistent with what is known: its zone and machine type exist,
 * the machine's type, zone and spot flag have not changed, and its tasks do not differ from those
 * of the newest heartbeat with the same sequence number. Logs an error otherwise.
 * @param machine NULL if the machine is not known yet. */
bool shard_heartbeat_is_consistent(struct shard *shard, const struct machine *machine,
                                   const struct heartbeat *heartbeat);

/* agent_commands.c: selection of commands */

/** Returns whether the next response may instruct the agent to forget an attempt. This is not
 * allowed while a copy of the run command may be carried out afterwards, as that copy would start
 * the task again: the response must have a higher token than the command, or the agent must have
 * seen one. */
bool shard_can_clear_attempt(const struct shard *shard, const struct machine *machine,
                             const struct task_run *run);
/** Returns whether the agent cannot forget an attempt before the next epoch, as tokens have no
 * serials in this one. */
bool shard_clear_needs_new_epoch(const struct shard *shard, const struct machine *machine,
                                 const struct task_run *run);
/** Returns the commands that are due for an agent, as an array of struct agent_command, and records
 * them as sent. A node without a valid lease only stops tasks of finished jobs: a cancellation is
 * final, even if the machine has another owner by now.
 * @param is_push the commands are pushed rather than returned in a heartbeat response. A copy of a
 *     push may be carried out at any later time, so that only stop commands are pushed. */
GArray *shard_collect_commands(struct shard *shard, struct machine *machine, bool is_push);
/** Returns commands to stop all tasks in a heartbeat whose jobs are finished. */
GArray *shard_collect_stop_commands(struct shard *shard, const struct heartbeat *heartbeat);

/** Returns whether a task waits for its start on the machine: it is recorded, and no response has
 * started it yet. */
bool shard_has_due_start(const struct machine *machine);
/** Returns whether a task is placed on the machine and was not started yet. */
bool shard_will_start_task(const struct machine *machine);

/* agent_requests.c: requests to agents */

/** Sends the agent what is due without waiting for its next heartbeat: starts in the response that
 * is held back, stops in a request. If a task is to be started and no response is held back,
 * prompts a heartbeat. */
void shard_push_commands(struct shard *shard, struct machine *machine);
/** Requests the agent's state, unless a probe is in flight or was sent a short time ago. */
void shard_probe_agent(struct shard *shard, struct machine *machine);

/* lease_renewal.c: conditions for renewing leases */

/** Returns for how long a node that has lost contact with the key-value store may go on renewing
 * leases. Jobs may have been cancelled meanwhile, and their tasks must stop within the time allowed
 * for cancellations. */
int64_t shard_max_renewal_ms(const struct shard *shard);
/** Returns whether this node may answer an agent that has shown a token, which renews its lease.
 * Not if it may have missed a cancellation for too long, or if the token is of a later epoch: the
 * agent may have another owner then, and would take this node's commands for that owner's. */
bool shard_may_answer_agent(struct shard *shard, agent_token shown);
/** Returns whether this node may renew the lease of a machine that another node owns. */
bool shard_may_renew_for_owner(struct shard *shard, const char *owner);
/** Returns whether the replica has a record of a task of a finished job on the machine, and the
 * heartbeat does not name that task. Its run command may still be in transit, and no stop command
 * can end it. If no new epoch can be begun, only a restart of the agent can. */
bool shard_heartbeat_omits_cancelled_task(struct shard *shard, const struct heartbeat *heartbeat);
/** Returns whether renewing the lease of an owned machine could allow the run command of a
 * cancelled task to be executed too late. Unlike shard_heartbeat_omits_cancelled_task(), it takes
 * into account since when the cancellation may have been confirmed to a user. */
bool shard_must_not_renew_lease(struct shard *shard, const struct machine *machine);

/** Sends a response that was held back, with the commands that are due, or refuses the heartbeat if
 * the lease must not be renewed any more. */
void shard_respond_after_hold(struct shard *shard, struct machine *machine,
                              struct http_responder *responder, connection_ref connection);
/** Returns commands to stop all tasks in the newest heartbeat whose jobs are finished. */
GArray *shard_collect_known_stop_commands(struct shard *shard, const struct machine *machine);

#endif
