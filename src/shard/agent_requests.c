/**
 * @file
 * Requests to agents: commands that are sent directly, and probes. An agent answers both with its
 * state, in the form of a heartbeat.
 */
#include "agent_session_internal.h"

#include "json_fields.h"
#include "task_placement_internal.h"

#include "log.h"

enum {
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_INTERVAL_MS = 1500,
    /** After so many failures the interval grows by one PROBE_INTERVAL_MS, up to a bound. */
    FAILURES_PER_BACKOFF = 3,
    MAX_BACKOFF = 3,
};

/** A request to an agent. */
struct agent_request {
    struct shard *shard;
    machine_id machine;
    /** struct agent_command, with a push; else NULL. */
    GArray *commands;
};

/** Whether the answer to a probe counts less than what was known when the probe was sent. It cannot
 * be an old copy, so the agent has been restarted and has lost everything, though its epoch may
 * have the same number. */
static bool indicates_restart(const struct machine *machine, const struct heartbeat *heartbeat)
{
    const struct machine_reachability *probe = &machine->reachability;
    return machine->heartbeat.has_reported &&
           (heartbeat->agent_epoch < probe->probed_agent_epoch ||
            (heartbeat->agent_epoch == probe->probed_agent_epoch &&
             heartbeat->sequence <= probe->probed_sequence));
}

/** Applies the state that an agent answered with. Returns false if it is not this machine's. */
static bool apply_agent_state(struct shard *shard, struct machine *machine,
                              const struct heartbeat *heartbeat, bool is_probe)
{
    if (!machine_id_equal(heartbeat->machine, machine->id) ||
        !shard_heartbeat_is_consistent(shard, machine, heartbeat))
        return false;
    bool was_restarted = is_probe && indicates_restart(machine, heartbeat);
    if (was_restarted)
        LOG_INFO("agent_restarted", "machine=%s", machine->id.text);
    if (was_restarted || !machine->heartbeat.has_reported ||
        shard_heartbeat_is_newer(machine, heartbeat))
        shard_machine_apply_heartbeat(shard, machine, heartbeat);
    shard_machine_mark_reachable(shard, machine);
    shard_request_placement(shard);
    return true;
}

/** Applies an agent's answer. Returns whether it was a valid one. */
static bool handle_agent_response(struct shard *shard, struct machine *machine,
                                  const struct http_response *response, bool is_probe)
{
    if (response->status != HTTP_STATUS_OK && response->status != HTTP_STATUS_CONFLICT)
        return false;
    struct heartbeat heartbeat;
    json_object *object = json_parse(response->body, response->body_bytes);
    bool is_valid = heartbeat_decode(object, &heartbeat);
    json_object_put(object);
    if (!is_valid)
        return false;
    is_valid = apply_agent_state(shard, machine, &heartbeat, is_probe);
    heartbeat_clear(&heartbeat);
    return is_valid;
}

/** Counts the run commands of a push as no longer in flight. Those that were refused, or never
 * sent, are due again. */
static void finish_pushed_run_commands(struct machine *machine, const GArray *commands, int status)
{
    if (status <= 0 && status != HTTP_NOT_SENT)
        return; /* they may still arrive */
    for (guint i = 0; i < commands->len; i++) {
        const struct agent_command *command = &g_array_index(commands, struct agent_command, i);
        struct task_run *run =
            shard_run_find(machine, command->job, command->task_index, command->attempt);
        if (!run || command->verb != COMMAND_RUN)
            continue;
        run->start.in_flight--;
        if (status != HTTP_STATUS_OK)
            run->start.sent_at = (mono_time){0};
    }
}

static void handle_push_response(void *arg, const struct http_response *response)
{
    struct agent_request *request = arg;
    struct shard *shard = request->shard;
    struct machine *machine = shard_find_machine(shard, request->machine.text);
    if (machine) {
        bool push_again = machine->push_state == PUSH_IN_FLIGHT_AGAIN;
        machine->push_state = PUSH_IDLE;
        finish_pushed_run_commands(machine, request->commands, response->status);
        handle_agent_response(shard, machine, response, false);
        if (push_again)
            shard_push_commands(shard, machine);
    }
    g_array_unref(request->commands);
    g_free(request);
}

/** Sends commands; takes the array. */
static void send_push(struct shard *shard, struct machine *machine, GArray *commands)
{
    struct agent_request *request = g_new(struct agent_request, 1);
    *request = (struct agent_request){shard, machine->id, commands};
    char *body = agent_commands_encode(shard->epoch, machine->heartbeat.agent_epoch,
                                       (struct agent_command *)commands->data, commands->len);
    struct http_client_request http_request = {machine->address, "POST",         "/commands", body,
                                               strlen(body),     PUSH_TIMEOUT_MS};
    machine->push_state = PUSH_IN_FLIGHT;
    shard->http_client->request(shard->http_client, &http_request, handle_push_response, request);
    g_free(body);
}

void shard_push_commands(struct shard *shard, struct machine *machine)
{
    if (machine->push_state != PUSH_IDLE) {
        machine->push_state = PUSH_IN_FLIGHT_AGAIN;
        return;
    }
    if (!machine->heartbeat.has_reported || machine->is_returned)
        return;
    if (!machine->reachability.is_confirmed) { /* it gets its commands once it answers */
        shard_probe_agent(shard, machine);
        return;
    }
    GArray *commands = shard_collect_commands(shard, machine, true);
    if (commands->len)
        send_push(shard, machine, commands);
    else
        g_array_unref(commands);
}

static void handle_probe_response(void *arg, const struct http_response *response)
{
    struct agent_request *request = arg;
    struct shard *shard = request->shard;
    struct machine *machine = shard_find_machine(shard, request->machine.text);
    if (machine) {
        machine->reachability.probe_in_flight = false;
        if (!handle_agent_response(shard, machine, response, true))
            machine->reachability.probe_failures++;
        else
            shard_push_commands(shard, machine);
        if (machine->reachability.probe_failures == UNREACHABLE_PROBE_FAILURES)
            shard_request_status(shard);
    }
    g_free(request);
}

void shard_probe_agent(struct shard *shard, struct machine *machine)
{
    struct machine_reachability *probe = &machine->reachability;
    mono_time now = loop_now(shard->loop);
    int backoff = 1 + MIN(probe->probe_failures / FAILURES_PER_BACKOFF, MAX_BACKOFF);
    if (probe->probe_in_flight || !machine->address[0])
        return;
    if (probe->last_probe_at.us &&
        time_ms_since(now, probe->last_probe_at) < (int64_t)PROBE_INTERVAL_MS * backoff)
        return;
    struct agent_request *agent_request = g_new0(struct agent_request, 1);
    agent_request->shard = shard;
    agent_request->machine = machine->id;
    probe->probe_in_flight = true;
    probe->last_probe_at = now;
    probe->probed_agent_epoch = machine->heartbeat.agent_epoch;
    probe->probed_sequence = machine->heartbeat.sequence;
    struct http_client_request http_request = {machine->address, "GET", "/status", NULL, 0,
                                               PROBE_TIMEOUT_MS};
    shard->http_client->request(shard->http_client, &http_request, handle_probe_response,
                                agent_request);
}
