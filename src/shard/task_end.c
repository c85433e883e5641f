/**
 * @file
 * Proofs that a run has ended: the agent reports its exit or no longer reports it, the agent's
 * lease has expired, or the machine was returned. docs/safety.md explains why each of these is a
 * proof.
 */
#include "task_end_internal.h"

#include "agent_fencing_internal.h"
#include "agent_session_internal.h"
#include "completions_internal.h"
#include "invariant.h"
#include "log.h"
#include "run_records_internal.h"
#include "shard_messages.h"

enum {
    /** Limits on the events that wait for the next status message. Run times are dropped beyond the
     * first limit, failures beyond the second. */
    MAX_RUN_TIME_EVENTS = 200,
    MAX_FAILURE_EVENTS = 2 * MAX_TRACKED_MACHINES,
    /** How long the command for a missing run may still be in transit before the fencing token is
     * raised to prove the end of the run. */
    MISSING_RUN_GRACE_MS = 1000,
    /** Safety margins added to the lease duration and to the time limit for stopping cancelled
     * tasks, when their end is inferred from the clock. */
    LEASE_MARGIN_MS = 500,
    CANCEL_MARGIN_MS = 1000,
};

/** Milliseconds on this node's clock in which one second passes on the clock of another node, which
 * may be slower by 0.2 %. */
static const double LENGTHENED_MS_PER_S = 1002;

static const char *proof_name(enum run_end_proof proof)
{
    switch (proof) {
    case RUN_END_COMPLETED:
        return "completed";
    case RUN_END_EXITED:
        return "exited";
    case RUN_END_AGENT_RESTARTED:
        return "agent_restarted";
    case RUN_END_FENCED:
        return "fenced";
    case RUN_END_LEASE_EXPIRED:
        return "lease_expired";
    case RUN_END_MACHINE_RETURNED:
        return "machine_returned";
    case RUN_END_UNPROVEN:
        break;
    }
    return "unproven";
}

/** Checks that no response of this node can have kept the lease alive, if the proof is its end. */
static bool is_lease_proof_certain(const struct shard *shard, const struct machine *machine,
                                   enum run_end_proof proof)
{
    if (proof != RUN_END_LEASE_EXPIRED)
        return true;
    int64_t since_renewal_ms = time_ms_since(loop_now(shard->loop), machine->lease.last_renewed_at);
    return invariant_check(
        INVARIANT_LEASE_EXPIRED, since_renewal_ms > (int64_t)(shard->settings->lease_s * 1000),
        "machine=%s since_renewal_ms=%" G_GINT64_FORMAT, machine->id.text, since_renewal_ms);
}

static void log_run_end(const struct shard *shard, const struct machine *machine,
                        const struct task_run *run, enum run_end_proof proof)
{
    struct decision_basis basis =
        replica_get_decision_basis(shard->replica, machine->fence.token.value);
    decision_log_record(DECISION_RUN_END, &basis,
                        "job=%s task=%u attempt=%" G_GUINT64_FORMAT
                        " machine=%s agent_epoch=%" G_GUINT64_FORMAT " why=%s",
                        run->job.text, run->index, run->attempt.value, machine->id.text,
                        machine->heartbeat.agent_epoch, proof_name(proof));
}

/** Marks a recorded run as ended. Its record will be removed, and its completion recorded if it
 * completed. */
static void end_run(struct shard *shard, const struct machine *machine, struct task_run *run,
                    enum run_end_proof proof)
{
    if (run->phase != TASK_RUN_RECORDED || !is_lease_proof_certain(shard, machine, proof))
        return;
    log_run_end(shard, machine, run, proof);
    mono_time now = loop_now(shard->loop);
    run->phase = TASK_RUN_ENDED;
    run->end = (struct run_end){proof, now};
    if (proof == RUN_END_COMPLETED)
        shard_add_completion(shard, run);
    shard_mark_dirty(shard);
    double busy_s = (double)time_ms_since(now, run->placed_at) / 1000;
    if (run->placement_pool > 0)
        arq_busy_history_add(&shard->placement.busy_history[run->placement_pool], busy_s);
}

/** Logs the loss of a task and marks its run as ended. */
static void end_lost_run(struct shard *shard, const struct machine *machine, struct task_run *run,
                         enum run_end_proof proof)
{
    LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", run->job.text, run->index,
             machine->id.text, proof_name(proof));
    end_run(shard, machine, run, proof);
}

void shard_end_all_runs(struct shard *shard, struct machine *machine, enum run_end_proof proof)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED)
            end_lost_run(shard, machine, run, proof);
    }
}

bool shard_lease_has_expired(struct shard *shard, struct machine *machine)
{
    const struct settings *settings = shard->settings;
    const struct machine_lease *lease = &machine->lease;
    mono_time now = loop_now(shard->loop);
    int64_t lease_ms = (int64_t)(settings->lease_s * LENGTHENED_MS_PER_S) + LEASE_MARGIN_MS;
    if (lease->last_renewed_at.us && time_ms_since(now, lease->last_renewed_at) <= lease_ms)
        return false; /* also if the agent has not shown a token of this owner since */
    int64_t max_renewal_ms = shard_max_renewal_ms(shard) * (int64_t)LENGTHENED_MS_PER_S / 1000;
    /* Until the agent shows a fencing token of this owner, an earlier owner that is cut off may
     * still renew the lease, for as long as shard_max_renewal_ms() allows. */
    if (agent_token_lower(machine->heartbeat.token, agent_token_first(lease->owned_since_epoch))) {
        int64_t cancel_ms =
            (int64_t)(settings->cancel_timeout_s * LENGTHENED_MS_PER_S) + CANCEL_MARGIN_MS;
        return time_ms_since(now, lease->owned_since) > cancel_ms &&
               lease_proxy_have_renewals_expired(shard->lease_proxy, lease->owned_since, lease_ms,
                                                 max_renewal_ms);
    }
    mono_time last_renewal_at = time_before(lease->last_renewed_at, lease->owner_token_seen_at)
                                    ? lease->owner_token_seen_at
                                    : lease->last_renewed_at;
    return time_ms_since(now, last_renewal_at) > lease_ms &&
           lease_proxy_have_renewals_expired(shard->lease_proxy, last_renewal_at, lease_ms,
                                             max_renewal_ms);
}

void shard_end_runs_if_lease_expired(struct shard *shard, struct machine *machine)
{
    int64_t silent_ms = time_ms_since(loop_now(shard->loop), machine->heartbeat.received_at);
    if (silent_ms > (int64_t)(shard->settings->lease_s * 1000) && shard_machine_has_runs(machine) &&
        shard_lease_has_expired(shard, machine))
        shard_end_all_runs(shard, machine, RUN_END_LEASE_EXPIRED);
}

/** Adds a task event to the next status message, unless there are too many.
 * @param value the cause or the run time in seconds, depending on the kind */
static void add_task_event(struct shard *shard, const struct machine *machine,
                           const struct task_run *run, enum task_event_kind kind, double value,
                           guint max_events)
{
    if (shard->status.events->len >= max_events)
        return;
    struct task_event event = {kind, machine->id, run->job, value};
    g_array_append_val(shard->status.events, event);
}

/** Reports a failure to the leader, which quarantines a machine or pauses a job after too many
 * failures. */
static void report_failure(struct shard *shard, const struct machine *machine,
                           const struct task_run *run, enum exit_cause cause)
{
    LOG_INFO("task_exited", "job=%s task=%u machine=%s cause=%d", run->job.text, run->index,
             machine->id.text, cause);
    if (cause == CAUSE_GANG_PEERS_LOST)
        return;
    add_task_event(shard, machine, run, TASK_EVENT_FAILED, cause, MAX_FAILURE_EVENTS);
    shard_request_status(shard);
}

/** Reports a run time to the leader, which compares the run times of a job's tasks to find slow
 * machines. */
static void report_run_time(struct shard *shard, const struct machine *machine,
                            const struct task_run *run)
{
    if (!run->reported.running_at.us)
        return;
    int64_t ran_ms = time_ms_since(loop_now(shard->loop), run->reported.running_at);
    add_task_event(shard, machine, run, TASK_EVENT_COMPLETED, (double)ran_ms / 1000,
                   MAX_RUN_TIME_EVENTS);
}

/** Handles a recorded run that the agent reports as exited. */
static void handle_exited_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              enum exit_cause cause)
{
    if (cause != CAUSE_DONE) {
        if (cause != CAUSE_STOPPED)
            report_failure(shard, machine, run, cause);
        end_run(shard, machine, run, RUN_END_EXITED);
        return;
    }
    if (shard_find_active_job(shard, run->job) && !shard_can_record_completion(shard, run))
        return; /* the next heartbeat reports the run again, and the end is retried */
    report_run_time(shard, machine, run);
    end_run(shard, machine, run, RUN_END_COMPLETED);
}

/** Adds the image of a task to the machine's image cache if the task is running or completed, as
 * the image has been fetched then. */
static void record_fetched_image(struct shard *shard, struct machine *machine,
                                 const struct task_run *run, const struct heartbeat_task *task)
{
    bool has_image =
        task->state == TASK_RUNNING || (task->state == TASK_EXITED && task->cause == CAUSE_DONE);
    const struct job *job = has_image ? replica_get_job(shard->replica, run->job.text) : NULL;
    if (job && job->spec)
        shard_machine_add_image(machine, job->spec->image);
}

void shard_handle_reported_run(struct shard *shard, struct machine *machine, struct task_run *run,
                               const struct heartbeat_task *task)
{
    bool is_new_state =
        run->reported.visibility != RUN_REPORTED || run->reported.state != task->state;
    if (task->state == TASK_RUNNING && !run->reported.running_at.us)
        run->reported.running_at = loop_now(shard->loop);
    run->reported.visibility = RUN_REPORTED;
    run->reported.state = task->state;
    if (is_new_state)
        record_fetched_image(shard, machine, run, task);
    if (task->state == TASK_EXITED && run->phase == TASK_RUN_RECORDED)
        handle_exited_run(shard, machine, run, task->cause);
}

void shard_handle_missing_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              const struct heartbeat *heartbeat)
{
    enum run_visibility previous_visibility = run->reported.visibility;
    if (previous_visibility == RUN_REPORTED)
        run->reported.visibility = RUN_NOT_REPORTED;
    if (run->phase != TASK_RUN_RECORDED)
        return;
    if (run->start.agent_epoch && heartbeat->agent_epoch > run->start.agent_epoch) {
        end_lost_run(shard, machine, run, RUN_END_AGENT_RESTARTED);
        return;
    }
    if (!run->stop.is_requested && previous_visibility == RUN_NOT_REPORTED)
        return; /* the run may not have been started yet */
    if (previous_visibility != RUN_NOT_REPORTED)
        run->reported.visibility = RUN_DISAPPEARED;
    /* Either this owner never sent the command, or it sent it with a lower fencing token than the
     * agent has seen since. In both cases no copy of the command can start the attempt any more. */
    if (agent_token_lower(run->start.token, heartbeat->token))
        end_run(shard, machine, run, RUN_END_FENCED);
    else if (time_ms_since(loop_now(shard->loop), run->start.sent_at) > MISSING_RUN_GRACE_MS)
        shard_fence_raise_above(shard, machine, run->start.token);
}
