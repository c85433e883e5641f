/**
 * @file
 * The fencing tokens that this node gives to the agents of its machines.
 */
#include "agent_fencing_internal.h"

#include "invariant.h"
#include "log.h"

/** Sets the token of a machine, which never becomes lower while this process owns the machine. */
static void set_token(struct machine *machine, agent_token token, bool covers_pushed_runs)
{
    if (!invariant_check(INVARIANT_TOKEN_ORDER, !agent_token_lower(token, machine->fence.token),
                         "machine=%s token=%" G_GUINT64_FORMAT " earlier=%" G_GUINT64_FORMAT,
                         machine->id.text, token.value, machine->fence.token.value))
        return;
    machine->fence.token = token;
    machine->fence.covers_pushed_runs = covers_pushed_runs;
}

void shard_fence_begin_ownership(struct shard *shard, struct machine *machine)
{
    shard_fence_begin_epoch(shard, machine);
    machine->fence.trusted = agent_token_first(machine->lease.owned_since_epoch);
}

void shard_fence_begin_epoch(struct shard *shard, struct machine *machine)
{
    set_token(machine, agent_token_first(shard->epoch), false);
}

void shard_fence_adopt_token(struct shard *shard, struct machine *machine, agent_token seen)
{
    if (!agent_token_lower(machine->fence.token, seen) ||
        agent_token_get_epoch(seen).value != shard->epoch.value)
        return;
    set_token(machine, seen, true);
}

/** Raises the token by one, or requests a new epoch. Returns whether the token was raised. */
static bool raise_token(struct shard *shard, struct machine *machine)
{
    agent_token token = machine->fence.token;
    if (!shard->has_token_serials || !agent_token_increment(&token)) {
        shard->status.wants_epoch_raise = true;
        return false;
    }
    set_token(machine, token, false);
    LOG_DEBUG("agent_token_raised", "machine=%s token=%" G_GUINT64_FORMAT, machine->id.text,
              machine->fence.token.value);
    return true;
}

bool shard_fence_raise_token(struct shard *shard, struct machine *machine)
{
    return raise_token(shard, machine);
}

bool shard_fence_pushed_runs(struct shard *shard, struct machine *machine)
{
    return !machine->fence.covers_pushed_runs || raise_token(shard, machine);
}

void shard_fence_raise_above(struct shard *shard, struct machine *machine, agent_token token)
{
    if (!agent_token_lower(token, machine->fence.token))
        raise_token(shard, machine);
}

void shard_fence_distrust(struct shard *shard, struct machine *machine)
{
    const epoch_no next_epoch = {shard->epoch.value + 1};
    machine->fence.trusted =
        raise_token(shard, machine) ? machine->fence.token : agent_token_first(next_epoch);
}

bool shard_fence_is_trusted(const struct machine *machine, agent_token token)
{
    return !agent_token_lower(token, machine->fence.trusted);
}

bool shard_fence_needs_new_epoch(const struct machine *machine)
{
    return !shard_fence_is_trusted(machine, machine->fence.token);
}

char *shard_encode_commands(const struct shard *shard, agent_token token, uint64_t agent_epoch,
                            const GArray *commands)
{
    return agent_commands_encode(agent_token_encode(token, shard->has_token_serials), agent_epoch,
                                 (const struct agent_command *)commands->data, commands->len);
}
