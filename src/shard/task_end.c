/**
 * @file
 * Proofs that a run has ended: by what its agent reports, by what the agent does not report any
 * more, by the end of its lease, or by the return of its machine. docs/safety.md argues why each is
 * one.
 */
#include "task_end_internal.h"

#include "agent_session_internal.h"
#include "completions_internal.h"
#include "log.h"
#include "run_records_internal.h"
#include "shard_messages.h"

enum {
    /** Events that wait for the next status. Above the first number, run times are dropped; above
     * the second, failures are, too. */
    MAX_TASK_TIME_EVENTS = 200,
    MAX_FAULT_EVENTS = 2 * MAX_TRACKED_MACHINES,
    /** How long a missing run may still be on its way to the agent before a new epoch is asked for
     * to prove its end. */
    MISSING_RUN_GRACE_MS = 1000,
    /** Added to the lease, and to the time within which cancelled tasks stop, when their end is
     * concluded from the clock. */
    LEASE_MARGIN_MS = 500,
    CANCEL_MARGIN_MS = 1000,
};

/** Milliseconds for each second of another node's clock, which may be slower by 0.2 %. */
static const double DRIFTED_MS_PER_S = 1002;

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

/** Takes a recorded run as ended; its record and, if it completed, its completion are to be
 * written.
 */
static void end_run(struct shard *shard, struct task_run *run, enum run_end_proof proof)
{
    if (run->phase != TASK_RUN_RECORDED)
        return;
    mono_time now = loop_now(shard->loop);
    run->phase = TASK_RUN_ENDED;
    run->end = (struct run_end){proof, now};
    if (proof == RUN_END_COMPLETED)
        shard_add_completion(shard, run);
    shard_mark_dirty(shard);
    double busy_s = (double)time_ms_since(now, run->placed_at) / 1000;
    if (run->placement_pool > 0)
        arq_busy_add(&shard->placement.busy_history[run->placement_pool], busy_s);
}

/** The same for a run whose task is lost. */
static void lose_run(struct shard *shard, const struct machine *machine, struct task_run *run,
                     enum run_end_proof proof)
{
    LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", run->job.text, run->index,
             machine->id.text, proof_name(proof));
    end_run(shard, run, proof);
}

void shard_end_all_runs(struct shard *shard, struct machine *machine, enum run_end_proof proof)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED)
            lose_run(shard, machine, run, proof);
    }
}

bool shard_lease_has_expired(struct shard *shard, struct machine *machine)
{
    const struct settings *settings = shard->settings;
    const struct machine_lease *lease = &machine->lease;
    mono_time now = loop_now(shard->loop);
    int64_t lease_ms = (int64_t)(settings->lease_s * DRIFTED_MS_PER_S) + LEASE_MARGIN_MS;
    int64_t max_renewal_ms = shard_max_renewal_ms(shard) * (int64_t)DRIFTED_MS_PER_S / 1000;
    /* Until the agent shows a token of this owner, an earlier owner that is cut off may still renew
     * its lease, for as long as shard_max_renewal_ms() allows. */
    if (machine->heartbeat.fencing_token < lease->owner_epoch.value) {
        int64_t cancel_ms =
            (int64_t)(settings->cancel_timeout_s * DRIFTED_MS_PER_S) + CANCEL_MARGIN_MS;
        return time_ms_since(now, lease->owned_at) > cancel_ms &&
               lease_proxy_have_renewals_expired(shard->lease_proxy, lease->owned_at, lease_ms,
                                                 max_renewal_ms);
    }
    mono_time last_renewal_at = time_before(lease->last_answered_at, lease->token_seen_at)
                                    ? lease->token_seen_at
                                    : lease->last_answered_at;
    return time_ms_since(now, last_renewal_at) > lease_ms &&
           lease_proxy_have_renewals_expired(shard->lease_proxy, last_renewal_at, lease_ms,
                                             max_renewal_ms);
}

/** Adds an event about a task to the next status, unless there are too many.
 * @param value the cause or the seconds, by the kind */
static void add_leader_event(struct shard *shard, const struct machine *machine,
                             const struct task_run *run, enum task_event_kind kind, double value,
                             guint max_events)
{
    if (shard->status.events->len >= max_events)
        return;
    struct task_event event = {kind, machine->id, run->job, value};
    g_array_append_val(shard->status.events, event);
}

/** The leader counts failures: too many quarantine the machine, or pause the job. */
static void report_failure(struct shard *shard, const struct machine *machine,
                           const struct task_run *run, enum exit_cause cause)
{
    LOG_INFO("task_exited", "job=%s task=%u machine=%s cause=%d", run->job.text, run->index,
             machine->id.text, cause);
    if (cause == CAUSE_GANG_PEERS_LOST)
        return;
    add_leader_event(shard, machine, run, TASK_EVENT_FAILED, cause, MAX_FAULT_EVENTS);
    shard_request_status(shard);
}

/** The leader compares the run times of a job's tasks to find slow machines. */
static void report_run_time(struct shard *shard, const struct machine *machine,
                            const struct task_run *run)
{
    if (!run->reported.running_at.us)
        return;
    int64_t ran_ms = time_ms_since(loop_now(shard->loop), run->reported.running_at);
    add_leader_event(shard, machine, run, TASK_EVENT_COMPLETED, (double)ran_ms / 1000,
                     MAX_TASK_TIME_EVENTS);
}

/** Applies that a recorded run is reported as exited. */
static void handle_exited_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              enum exit_cause cause)
{
    if (cause != CAUSE_DONE) {
        if (cause != CAUSE_STOPPED)
            report_failure(shard, machine, run, cause);
        end_run(shard, run, RUN_END_EXITED);
        return;
    }
    if (shard_find_live_job(shard, run->job) && !shard_can_record_completion(shard, run))
        return; /* tried again with the next heartbeat, which reports it again */
    report_run_time(shard, machine, run);
    end_run(shard, run, RUN_END_COMPLETED);
}

/** A task that runs, or ran to its end, has had its image fetched. */
static void note_image(struct shard *shard, struct machine *machine, const struct task_run *run,
                       const struct heartbeat_task *task)
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
        note_image(shard, machine, run, task);
    if (task->state == TASK_EXITED && run->phase == TASK_RUN_RECORDED)
        handle_exited_run(shard, machine, run, task->cause);
}

void shard_handle_missing_run(struct shard *shard, struct machine *machine, struct task_run *run,
                              const struct heartbeat *heartbeat)
{
    enum run_visibility before = run->reported.visibility;
    if (before == RUN_REPORTED)
        run->reported.visibility = RUN_NOT_REPORTED;
    if (run->phase != TASK_RUN_RECORDED)
        return;
    if (run->start.agent_epoch && heartbeat->agent_epoch > run->start.agent_epoch) {
        lose_run(shard, machine, run, RUN_END_AGENT_RESTARTED);
        return;
    }
    if (!run->stop.is_requested && before == RUN_NOT_REPORTED)
        return; /* it may not have been started yet */
    if (before != RUN_NOT_REPORTED)
        run->reported.visibility = RUN_VANISHED;
    /* Never sent by this owner, or with a lower token than the agent has seen since: no copy of the
     * command can start it any more. */
    if (heartbeat->fencing_token > run->start.fencing_token.value)
        end_run(shard, run, RUN_END_FENCED);
    else if (time_ms_since(loop_now(shard->loop), run->start.sent_at) > MISSING_RUN_GRACE_MS)
        shard->status.wants_epoch_raise = true;
}
