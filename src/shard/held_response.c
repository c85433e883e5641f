/**
 * @file
 * Responses to heartbeats that are held back for a short time. A task can only be started by a
 * response (agent_commands.c), and an agent that has just reported sends its next heartbeat half a
 * second later at the earliest. If there is nothing to tell it, the response waits for a start that
 * may be recorded meanwhile.
 */
#include "held_response.h"

#include "agent_fencing_internal.h"
#include "agent_session_internal.h"

enum {
    /** An agent reports a change at the earliest half a second after its last heartbeat. A response
     * that is held for less delays no report. */
    HOLD_MS = 400,
    /** The same after the end of a task, whose resources the next task will use once two records
     * are written. */
    REUSE_HOLD_MS = 1200,
    /** The longest time for which a response is held. Agents wait 4 s for it. */
    MAX_HOLD_MS = 2500,
    /** While no task on the machine is expected to end, its agent has hardly anything to report.
     * Its response is held for this part of the heartbeat interval, so that a response that is lost
     * brings the end of the lease no nearer than a heartbeat that is lost. */
    QUIET_HOLD_MS_PER_INTERVAL_S = 500,
};

/** A response that waits; the machine owns it. */
struct held_response {
    struct shard *shard;
    struct http_responder *responder;
    connection_ref connection;
    machine_id machine;
    struct timer timer;
};

static void on_hold_over(void *arg)
{
    struct held_response *held = arg;
    struct machine *machine = shard_find_machine(held->shard, held->machine.text);
    if (machine && machine->held_response == held)
        shard_release_response(held->shard, machine);
}

/** Returns whether a task on the machine is expected to end by itself. */
static bool has_task_that_ends(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (!run->is_service || run->stop.is_requested || run->phase != TASK_RUN_RECORDED)
            return true;
    }
    return machine->unknown_tasks->len > 0;
}

/** Returns whether the resources of a run that has ended are about to be released. */
static bool has_ended_run(const struct machine *machine)
{
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_ENDED)
            return true;
    }
    return false;
}

static int64_t hold_duration_ms(const struct shard *shard, const struct machine *machine)
{
    if (shard_will_start_task(machine))
        return MAX_HOLD_MS; /* its record is being written */
    if (has_ended_run(machine))
        return REUSE_HOLD_MS;
    if (has_task_that_ends(machine))
        return HOLD_MS;
    return MIN((int64_t)(shard->settings->heartbeat_interval_s * QUIET_HOLD_MS_PER_INTERVAL_S),
               MAX_HOLD_MS);
}

void shard_hold_response(struct shard *shard, struct machine *machine,
                         struct http_responder *responder, connection_ref connection)
{
    struct held_response *held = g_new0(struct held_response, 1);
    held->shard = shard;
    held->responder = responder;
    held->connection = connection;
    held->machine = machine->id;
    timer_init(&held->timer, on_hold_over, held);
    timer_start(shard->loop, &held->timer, hold_duration_ms(shard, machine));
    shard_drop_held_response(machine);
    machine->held_response = held;
}

void shard_drop_held_response(struct machine *machine)
{
    struct held_response *held = g_steal_pointer(&machine->held_response);
    if (!held)
        return;
    timer_stop(held->shard->loop, &held->timer);
    g_free(held);
}

void shard_release_response(struct shard *shard, struct machine *machine)
{
    struct held_response *held = machine->held_response;
    if (!held)
        return;
    struct http_responder *responder = held->responder;
    connection_ref connection = held->connection;
    shard_drop_held_response(machine);
    shard_respond_after_hold(shard, machine, responder, connection);
}

void shard_release_all_responses(struct shard *shard)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        shard_release_response(shard, machine);
}
