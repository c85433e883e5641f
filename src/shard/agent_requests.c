/**
 * @file
 * Requests to agents: pushed commands and probes. An agent responds to both with its state, encoded
 * as a heartbeat.
 */
#include "agent_session_internal.h"

#include "agent_fencing_internal.h"

#include "json_fields.h"
#include "task_placement_internal.h"

#include "log.h"

enum {
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_INTERVAL_MS = 1500,
    /** The probe interval grows by PROBE_INTERVAL_MS after each such number of failures, at most
     * MAX_BACKOFF times. */
    FAILURES_PER_BACKOFF = 3,
    MAX_BACKOFF = 3,
};

/** A request to an agent that awaits its response. */
struct agent_request {
    struct shard *shard;
    machine_id machine;
    /** The pushed commands (struct agent_command); NULL for a probe. */
    GArray *commands;
    /** The token of the pushed commands. */
    agent_token token;
};

/** Returns whether the response to a probe shows that the agent was restarted: its counters are not
 * past those known when the probe was sent. The response cannot be a delayed copy, so the agent has
 * lost all of its state, even if its epoch has the same number as before. */
static bool indicates_restart(const struct machine *machine, const struct heartbeat *heartbeat)
{
    const struct machine_reachability *probe = &machine->reachability;
    return machine->heartbeat.has_reported &&
           (heartbeat->agent_epoch < probe->probed_agent_epoch ||
            (heartbeat->agent_epoch == probe->probed_agent_epoch &&
             heartbeat->sequence <= probe->probed_sequence));
}

/** Applies the state in an agent's response. Returns false if the state belongs to another machine
 * or is inconsistent. */
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

/** Decodes and applies an agent's response. Returns whether it was valid. */
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

/** Makes the run commands of a push that was refused or never sent due again. */
static void reset_refused_run_commands(struct machine *machine, const GArray *commands, int status)
{
    if (status == HTTP_STATUS_OK || (status <= 0 && status != HTTP_NOT_SENT))
        return; /* the commands were carried out, or may still be */
    for (guint i = 0; i < commands->len; i++) {
        const struct agent_command *command = &g_array_index(commands, struct agent_command, i);
        struct task_run *run =
            shard_run_find(machine, command->job, command->task_index, command->attempt);
        if (run && command->verb == COMMAND_RUN)
            run->start.sent_at = (mono_time){0};
    }
}

static void handle_push_response(void *arg, const struct http_response *response)
{
    struct agent_request *request = arg;
    struct shard *shard = request->shard;
    struct machine *machine = shard_find_machine(shard, request->machine.text);
    if (machine) {
        /* Commands are refused if the token was raised while they were on their way. */
        bool was_fenced = response->status == HTTP_STATUS_CONFLICT &&
                          agent_token_lower(request->token, machine->fence.token);
        bool push_again = machine->push_state == PUSH_IN_FLIGHT_AGAIN || was_fenced;
        machine->push_state = PUSH_IDLE;
        reset_refused_run_commands(machine, request->commands, response->status);
        handle_agent_response(shard, machine, response, false);
        if (push_again)
            shard_push_commands(shard, machine);
    }
    g_array_unref(request->commands);
    g_free(request);
}

/** Pushes commands to the agent. Takes ownership of the array. */
static void send_push(struct shard *shard, struct machine *machine, GArray *commands)
{
    struct agent_request *request = g_new(struct agent_request, 1);
    *request = (struct agent_request){shard, machine->id, commands, machine->fence.token};
    char *body = shard_encode_commands(shard, machine->fence.token, machine->heartbeat.agent_epoch,
                                       commands);
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
    if (!machine->reachability.is_confirmed) { /* pushed once the agent responds */
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
