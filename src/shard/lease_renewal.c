/**
 * @file
 * Conditions under which this node renews the leases of agents. An agent whose lease is not renewed
 * stops all of its tasks. That is how cancelled tasks are stopped when no node can reach the
 * machine, so a node must not renew leases if it may have missed a cancellation for too long.
 */
#include "agent_session_internal.h"

enum {
    /** Subtracted from the time limit, as the agent needs this time to stop its tasks. */
    RENEWAL_MARGIN_MS = 1000,
};

/** Milliseconds counted per second of a time limit: 0.5 % less than 1000, as this node's clock and
 * the clocks of other nodes may run at different rates. */
static const double SHORTENED_MS_PER_S = 995;

int64_t shard_max_renewal_ms(const struct shard *shard)
{
    const struct settings *settings = shard->settings;
    return (int64_t)((settings->cancel_timeout_s - settings->lease_s) * SHORTENED_MS_PER_S) -
           RENEWAL_MARGIN_MS;
}

/** Returns whether no cancellation can have been missed for too long. */
static bool may_renew_leases(struct shard *shard)
{
    mono_time complete_until = shard->replica->fresh_at;
    mono_time cancels_complete_until = cancel_broadcast_get_complete_until(shard->cancel_broadcast);
    if (time_before(complete_until, cancels_complete_until))
        complete_until = cancels_complete_until;
    return time_ms_since(loop_now(shard->loop), complete_until) < shard_max_renewal_ms(shard);
}

bool shard_may_answer_agent(struct shard *shard, agent_token shown)
{
    return may_renew_leases(shard) && agent_token_get_epoch(shown).value <= shard->epoch.value;
}

/* Neither the owner nor the key-value store can be reached from here, for example because this node
 * and the machine are in a zone that is cut off. The owner's proofs that a lease has expired take
 * this into account, see docs/safety.md. */
bool shard_may_renew_for_owner(struct shard *shard, const char *owner)
{
    mono_time fresh_at = shard->replica->fresh_at;
    return !membership_has_valid_lease(shard->membership) &&
           membership_is_visible(shard->membership) &&
           failure_detector_is_unreachable(shard->failure_detector, owner) &&
           time_ms_since(loop_now(shard->loop), fresh_at) < shard_max_renewal_ms(shard);
}

static bool heartbeat_has_attempt(const struct heartbeat *heartbeat,
                                  const struct run_record *record)
{
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        if (task->attempt.value == record->attempt.value &&
            task->task_index == record->task_index && job_id_equal(task->job, record->job->id))
            return true;
    }
    return false;
}

bool shard_heartbeat_omits_cancelled_task(struct shard *shard, const struct heartbeat *heartbeat)
{
    const struct machine_record *stored =
        replica_get_machine(shard->replica, heartbeat->machine.text);
    for (guint i = 0; stored && i < stored->run_records->len; i++) {
        const struct run_record *record = stored->run_records->pdata[i];
        if (shard_job_is_finished(shard, record->job->id) &&
            !heartbeat_has_attempt(heartbeat, record))
            return true;
    }
    return false;
}

bool shard_must_not_renew_lease(struct shard *shard, const struct machine *machine)
{
    if (membership_has_valid_lease(shard->membership))
        return false;
    mono_time now = loop_now(shard->loop);
    int64_t max_ms = shard_max_renewal_ms(shard);
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        mono_time finished_since = run->stop.job_finished_since;
        if (run->phase == TASK_RUN_RECORDED && run->reported.visibility != RUN_REPORTED &&
            finished_since.us && time_ms_since(now, finished_since) >= max_ms)
            return true;
    }
    return false;
}
