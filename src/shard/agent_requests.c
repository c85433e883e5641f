/**
 * @file
 * Requests to agents: pushed commands and probes. An agent responds to both with its state, encoded
 * as a heartbeat.
 */
#include "agent_session_internal.h"

#include "agent_fencing_internal.h"
#include "held_response.h"

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
    /** An agent reports a higher token at most once in half a lease. */
    PROMPT_MS_PER_LEASE_S = 500,
};

/** A request to an agent that awaits its response. */
struct agent_request {
    struct shard *shard;
    machine_id machine;
    /** The machine's token when the request was sent. */
    agent_token token;
    /** The newest state of the agent that was known when the request was sent. */
    struct machine_heartbeat known;
};

/** Returns whether a response shows that the agent was restarted: its counters are not past those
 * known when the request was sent, or it has forgotten a token. The response cannot be a delayed
 * copy, so the agent has lost all of its state, even if its epoch has the same number as before. */
static bool indicates_restart(const struct agent_request *request,
                              const struct heartbeat *heartbeat)
{
    const struct machine_heartbeat *known = &request->known;
    return known->has_reported && (!shard_heartbeat_is_newer(known, heartbeat) ||
                                   agent_token_lower(heartbeat->token, known->token));
}

/** Decides whether to apply the state in a response, and handles a restart of the agent. If a
 * restart was noticed after the request had been sent, the response may come from the agent that
 * ran before; it is then used only if something proves the contrary. */
static bool accept_agent_state(struct shard *shard, struct machine *machine,
                               const struct heartbeat *heartbeat,
                               const struct agent_request *request)
{
    bool is_restart_known = !shard_fence_is_trusted(machine, request->token);
    bool was_restarted = indicates_restart(request, heartbeat);
    if (was_restarted && !is_restart_known) {
        LOG_INFO("agent_restarted", "machine=%s", machine->id.text);
        shard_fence_distrust(shard, machine);
        machine->lease.owner_token_seen_at = loop_now(shard->loop);
        return true;
    }
    if (is_restart_known && !was_restarted && !shard_fence_is_trusted(machine, heartbeat->token))
        return false;
    return !machine->heartbeat.has_reported ||
           shard_heartbeat_is_newer(&machine->heartbeat, heartbeat);
}

/** Applies the state in an agent's response. Returns false if the state belongs to another machine
 * or is inconsistent. */
static bool apply_agent_state(struct shard *shard, struct machine *machine,
                              const struct heartbeat *heartbeat,
                              const struct agent_request *request)
{
    if (!machine_id_equal(heartbeat->machine, machine->id) ||
        !shard_heartbeat_is_consistent(shard, machine, heartbeat))
        return false;
    if (accept_agent_state(shard, machine, heartbeat, request))
        shard_machine_apply_heartbeat(shard, machine, heartbeat);
    shard_machine_mark_reachable(shard, machine);
    shard_request_placement(shard);
    return true;
}

/** Decodes and applies an agent's response. Returns whether it was valid. */
static bool handle_agent_response(struct shard *shard, struct machine *machine,
                                  const struct http_response *response,
                                  const struct agent_request *request)
{
    if (response->status != HTTP_STATUS_OK && response->status != HTTP_STATUS_CONFLICT)
        return false;
    struct heartbeat heartbeat;
    json_object *object = json_parse(response->body, response->body_bytes);
    bool is_valid = heartbeat_decode(object, &heartbeat);
    json_object_put(object);
    if (!is_valid)
        return false;
    is_valid = apply_agent_state(shard, machine, &heartbeat, request);
    heartbeat_clear(&heartbeat);
    return is_valid;
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
        handle_agent_response(shard, machine, response, request);
        if (push_again)
            shard_push_commands(shard, machine);
    }
    g_free(request);
}

/** Returns a new request to the agent. */
static struct agent_request *agent_request_new(struct shard *shard, const struct machine *machine)
{
    struct agent_request *request = g_new(struct agent_request, 1);
    *request = (struct agent_request){.shard = shard,
                                      .machine = machine->id,
                                      .token = machine->fence.token,
                                      .known = machine->heartbeat};
    return request;
}

/** Pushes commands to the agent. Takes ownership of the array. */
static void send_push(struct shard *shard, struct machine *machine, GArray *commands)
{
    struct agent_request *request = agent_request_new(shard, machine);
    char *body = shard_encode_commands(shard, machine->fence.token, machine->heartbeat.agent_epoch,
                                       commands);
    struct http_client_request http_request = {machine->address, "POST",         "/commands", body,
                                               strlen(body),     PUSH_TIMEOUT_MS};
    machine->push_state = PUSH_IN_FLIGHT;
    shard->http_client->request(shard->http_client, &http_request, handle_push_response, request);
    g_free(body);
    g_array_unref(commands);
}

/** Returns whether the agent has to be told the token, even without a command: it was restarted,
 * and accepts old commands until it has seen the token. */
static bool must_push_token(const struct machine *machine)
{
    agent_token owner_token = agent_token_first(machine->lease.owned_since_epoch);
    bool was_restarted = agent_token_lower(owner_token, machine->fence.trusted);
    return was_restarted && !shard_fence_is_trusted(machine, machine->heartbeat.token) &&
           !shard_fence_needs_new_epoch(machine);
}

/** Raises the token if a task is to be started: an agent that sees a higher token sends a
 * heartbeat, whose response starts the task. That counts once in half a lease; otherwise the task
 * waits for the next heartbeat. Returns whether the token was raised. */
static bool prompt_heartbeat(struct shard *shard, struct machine *machine)
{
    mono_time now = loop_now(shard->loop);
    int64_t interval_ms = (int64_t)(shard->settings->lease_s * PROMPT_MS_PER_LEASE_S);
    bool was_prompted =
        machine->prompted_at.us && time_ms_since(now, machine->prompted_at) < interval_ms;
    if (was_prompted || machine->held_response || !shard->has_token_serials ||
        !shard_may_act(shard) || !shard_will_start_task(machine))
        return false;
    machine->prompted_at = now;
    return shard_fence_raise_token(shard, machine);
}

void shard_push_commands(struct shard *shard, struct machine *machine)
{
    if (machine->held_response && shard_has_due_start(machine))
        shard_release_response(shard, machine);
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
    bool is_prompted = prompt_heartbeat(shard, machine);
    if (commands->len || is_prompted || must_push_token(machine))
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
        if (!handle_agent_response(shard, machine, response, request))
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
    struct agent_request *agent_request = agent_request_new(shard, machine);
    probe->probe_in_flight = true;
    probe->last_probe_at = now;
    struct http_client_request http_request = {machine->address, "GET", "/status", NULL, 0,
                                               PROBE_TIMEOUT_MS};
    shard->http_client->request(shard->http_client, &http_request, handle_probe_response,
                                agent_request);
}
