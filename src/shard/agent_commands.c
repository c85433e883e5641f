/**
 * @file
 * Selects the commands that are due for the agent of a machine.
 */
#include "agent_session_internal.h"

#include "agent_fencing_internal.h"
#include "invariant.h"
#include "log.h"
#include "run_records_internal.h"

enum {
    /** Limit for one request to an agent or one response to a heartbeat. */
    MAX_COMMANDS_PER_MESSAGE = 300,
    /** A command is sent again if the agent does not report its effect within this time. */
    RESEND_INTERVAL_MS = 1500,
    /** A new epoch is requested if an agent reports more exited attempts that wait for one. */
    MAX_UNCLEARED_ATTEMPTS = 200,
};

/** Returns whether a response with the machine's token makes the agent refuse all run commands that
 * were pushed to it before. */
static bool is_pushed_run_fenced(const struct shard *shard, const struct machine *machine)
{
    return shard->has_token_serials && !machine->fence.covers_pushed_runs;
}

bool shard_can_clear_attempt(const struct shard *shard, const struct machine *machine,
                             const struct task_run *run)
{
    return is_pushed_run_fenced(shard, machine) ||
           agent_token_lower(run->start.token, machine->heartbeat.token);
}

bool shard_clear_needs_new_epoch(const struct shard *shard, const struct machine *machine,
                                 const struct task_run *run)
{
    return !shard->has_token_serials &&
           !agent_token_lower(run->start.token, machine->heartbeat.token);
}

/** Returns whether the agent may be told to forget an exited attempt that matches no run. Run
 * commands of earlier owners have lower tokens than this owner's. */
static bool can_clear_unknown_attempt(const struct shard *shard, const struct machine *machine)
{
    agent_token owner_token = agent_token_first(machine->lease.owned_since_epoch);
    return !machine->fence.covers_pushed_runs &&
           (shard->has_token_serials || !agent_token_lower(machine->heartbeat.token, owner_token));
}

static GArray *commands_new(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct agent_command));
}

/** Adds a command for a run and returns it; it is valid until the next one is added. */
static const struct agent_command *add_command(GArray *commands, const struct task_run *run,
                                               enum agent_command_verb verb, double grace_period_s)
{
    struct agent_command command = {.verb = verb,
                                    .job = run->job,
                                    .task_index = run->index,
                                    .attempt = run->attempt,
                                    .grace_period_s = grace_period_s};
    g_array_append_val(commands, command);
    return &g_array_index(commands, struct agent_command, commands->len - 1);
}

/** Logs a command for a task. `why` names the reason that allows it. */
static void log_command(const struct shard *shard, const struct machine *machine,
                        enum decision decision, const struct agent_command *command,
                        const char *why)
{
    struct decision_basis basis =
        replica_get_decision_basis(shard->replica, machine->fence.token.value);
    decision_log_record(decision, &basis,
                        "job=%s task=%u attempt=%" G_GUINT64_FORMAT
                        " machine=%s agent_epoch=%" G_GUINT64_FORMAT " why=%s",
                        command->job.text, command->task_index, command->attempt.value,
                        machine->id.text, machine->heartbeat.agent_epoch, why);
}

/** Adds a command for a task named in a heartbeat. A stop command has no grace period. */
static const struct agent_command *
add_task_command(GArray *commands, const struct heartbeat_task *task, enum agent_command_verb verb)
{
    struct agent_command command = {
        .verb = verb, .job = task->job, .task_index = task->task_index, .attempt = task->attempt};
    g_array_append_val(commands, command);
    return &g_array_index(commands, struct agent_command, commands->len - 1);
}

/** Returns whether the agent reports an exited attempt whose record has been removed. */
static bool is_clear_due(const struct task_run *run)
{
    return run->phase == TASK_RUN_RELEASED && run->reported.visibility == RUN_REPORTED &&
           run->reported.state == TASK_EXITED;
}

/** Tells the agent to forget an exited attempt whose record has been removed. */
static void add_clear_command(const struct shard *shard, const struct machine *machine,
                              const struct task_run *run, GArray *commands)
{
    if (is_clear_due(run) && shard_can_clear_attempt(shard, machine, run))
        log_command(shard, machine, DECISION_CLEAR, add_command(commands, run, COMMAND_CLEAR, 0),
                    "record_removed");
}

/** Adds a stop command for a run. Once the grace period is over, the command is sent again without
 * one. */
static void add_stop_command(struct shard *shard, const struct machine *machine,
                             struct task_run *run, bool is_push, GArray *commands)
{
    if (run->reported.visibility != RUN_REPORTED || run->reported.state == TASK_EXITED)
        return;
    mono_time now = loop_now(shard->loop);
    bool was_sent = run->stop.sent_at.us != 0;
    int64_t since_stop_ms = was_sent ? time_ms_since(now, run->stop.sent_at) : -1;
    if (is_push && was_sent && since_stop_ms < RESEND_INTERVAL_MS)
        return;
    bool grace_is_over = since_stop_ms > (int64_t)(run->stop.grace_s * 1000);
    if (!was_sent)
        run->stop.sent_at = now;
    log_command(shard, machine, DECISION_STOP,
                add_command(commands, run, COMMAND_STOP, grace_is_over ? 0 : run->stop.grace_s),
                run->stop.job_finished_since.us ? "job_finished" : "requested");
}

static void add_run_command(struct shard *shard, struct machine *machine, struct task_run *run,
                            GArray *commands)
{
    mono_time now = loop_now(shard->loop);
    struct run_start *start = &run->start;
    if (run->reported.visibility == RUN_REPORTED ||
        (start->sent_at.us && time_ms_since(now, start->sent_at) < RESEND_INTERVAL_MS))
        return;
    start->token = machine->fence.token;
    start->sent_at = now;
    /* Only an agent epoch later than that of the newest command proves that the task is gone. An
     * older command may have been executed in this agent epoch, and the agent may yet report its
     * task. */
    start->agent_epoch = machine->heartbeat.agent_epoch;
    /* A copy is not carried out as long as every node starts tasks in responses only. Nodes of
     * earlier versions push this command with the same token. */
    machine->fence.covers_pushed_runs = true;
    log_command(shard, machine, DECISION_START, add_command(commands, run, COMMAND_RUN, 0),
                "recorded");
}

/** Returns whether the agent may be told to start the run: its record is stored, nobody wants it
 * stopped, and the task has no record on another machine. */
static bool may_start_run(const struct shard *shard, const struct machine *machine,
                          const struct task_run *run)
{
    return run->phase == TASK_RUN_RECORDED && !run->stop.is_requested && shard_may_act(shard) &&
           invariant_check(INVARIANT_ONE_MACHINE,
                           !replica_has_conflicting_records(shard->replica, run->job, run->index),
                           "job=%s task=%u machine=%s attempt=%" G_GUINT64_FORMAT " action=start",
                           run->job.text, run->index, machine->id.text, run->attempt.value);
}

/** Adds the command that is due for a run, if any. */
static void add_due_command(struct shard *shard, struct machine *machine, struct task_run *run,
                            bool is_push, GArray *commands)
{
    if (run->phase == TASK_RUN_RELEASED && !is_push)
        add_clear_command(shard, machine, run, commands);
    else if (run->phase == TASK_RUN_RECORDED && run->stop.is_requested)
        add_stop_command(shard, machine, run, is_push, commands);
    else if (!is_push && may_start_run(shard, machine, run))
        add_run_command(shard, machine, run, commands);
}

/** Adds commands to stop tasks that have no record, and to clear them once they have exited. */
static void add_unknown_task_commands(const struct shard *shard, const struct machine *machine,
                                      GArray *commands)
{
    bool can_clear = can_clear_unknown_attempt(shard, machine);
    for (guint i = 0; i < machine->unknown_tasks->len && commands->len < MAX_COMMANDS_PER_MESSAGE;
         i++) {
        const struct heartbeat_task *task =
            &g_array_index(machine->unknown_tasks, struct heartbeat_task, i);
        if (task->state != TASK_EXITED) {
            LOG_INFO("unknown_task", "job=%s task=%u machine=%s", task->job.text, task->task_index,
                     machine->id.text);
            log_command(shard, machine, DECISION_STOP,
                        add_task_command(commands, task, COMMAND_STOP), "no_record");
        } else if (can_clear) {
            log_command(shard, machine, DECISION_CLEAR,
                        add_task_command(commands, task, COMMAND_CLEAR), "no_record");
        } /* else a copy of its run command may still start it again */
    }
}

/** Returns the number of exited attempts that the agent may forget as far as their records are
 * concerned. */
static guint count_due_clears(const struct machine *machine)
{
    guint count = 0;
    for (guint i = 0; i < machine->runs->len; i++)
        count += is_clear_due(machine->runs->pdata[i]);
    for (guint i = 0; i < machine->unknown_tasks->len; i++)
        count +=
            g_array_index(machine->unknown_tasks, struct heartbeat_task, i).state == TASK_EXITED;
    return count;
}

/** Raises the token before clear commands are added to a response. An agent that accepts the
 * response forgets the attempts and refuses all copies of their run commands at the same moment.
 * Without serials the attempts wait for the next epoch, which is requested if there are many. */
static void fence_cleared_attempts(struct shard *shard, struct machine *machine)
{
    guint due_clears = count_due_clears(machine);
    if (shard->has_token_serials && due_clears)
        shard_fence_pushed_runs(shard, machine);
    else if (due_clears > MAX_UNCLEARED_ATTEMPTS)
        shard->status.wants_epoch_raise = true;
}

/** Requests that a run be stopped if its task has a record of a newer attempt. That is so only if
 * an earlier version stored both. Its record is removed once its end is proven. */
static void stop_if_superseded(struct shard *shard, const struct machine *machine,
                               struct task_run *run)
{
    if (run->phase == TASK_RUN_RECORDED && replica_has_superseded_records(shard->replica) &&
        replica_is_superseded(shard->replica, shard_find_run_record(shard, machine, run)))
        shard_run_request_stop(run, 0);
}

/** Returns whether no response has started the run yet, as far as this node knows. */
static bool is_unstarted(const struct task_run *run)
{
    return !run->stop.is_requested && !run->start.sent_at.us &&
           run->reported.visibility == RUN_NOT_REPORTED;
}

bool shard_has_due_start(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED && is_unstarted(run))
            return true;
    }
    return false;
}

bool shard_will_start_task(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        bool is_coming = run->phase == TASK_RUN_PLACED || run->phase == TASK_RUN_RECORDED;
        if (is_coming && is_unstarted(run))
            return true;
    }
    return false;
}

GArray *shard_collect_commands(struct shard *shard, struct machine *machine, bool is_push)
{
    GArray *commands = commands_new();
    bool may_act = shard_may_act(shard);
    bool may_clear = !is_push && may_act;
    if (may_clear)
        fence_cleared_attempts(shard, machine);
    for (guint i = 0; i < machine->runs->len && commands->len < MAX_COMMANDS_PER_MESSAGE; i++) {
        struct task_run *run = machine->runs->pdata[i];
        stop_if_superseded(shard, machine, run);
        if (may_act || (run->stop.is_requested && shard_job_is_finished(shard, run->job)))
            add_due_command(shard, machine, run, is_push, commands);
    }
    if (may_clear)
        add_unknown_task_commands(shard, machine, commands);
    return commands;
}

GArray *shard_collect_known_stop_commands(struct shard *shard, const struct machine *machine)
{
    GArray *commands = commands_new();
    for (guint i = 0; i < machine->runs->len && commands->len < MAX_COMMANDS_PER_MESSAGE; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->reported.visibility == RUN_REPORTED && run->reported.state != TASK_EXITED &&
            shard_job_is_finished(shard, run->job))
            add_command(commands, run, COMMAND_STOP, 0);
    }
    for (guint i = 0; i < machine->unknown_tasks->len && commands->len < MAX_COMMANDS_PER_MESSAGE;
         i++) {
        const struct heartbeat_task *task =
            &g_array_index(machine->unknown_tasks, struct heartbeat_task, i);
        if (task->state != TASK_EXITED && shard_job_is_finished(shard, task->job))
            add_task_command(commands, task, COMMAND_STOP);
    }
    return commands;
}

GArray *shard_collect_stop_commands(struct shard *shard, const struct heartbeat *heartbeat)
{
    GArray *commands = commands_new();
    for (guint i = 0; i < heartbeat->tasks->len && commands->len < MAX_COMMANDS_PER_MESSAGE; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        if (task->state != TASK_EXITED && shard_job_is_finished(shard, task->job))
            add_task_command(commands, task, COMMAND_STOP);
    }
    return commands;
}
