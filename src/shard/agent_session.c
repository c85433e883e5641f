/**
 * @file
 * Handling of heartbeats from agents. The owner of the machine applies a heartbeat and responds
 * with commands. Any other node redirects the agent to the owner, forwards the heartbeat, or renews
 * the lease on the owner's behalf.
 */
#include "agent_session_internal.h"

#include "agent_fencing_internal.h"

#include "held_response.h"
#include "json_fields.h"
#include "log.h"
#include "machine_returns_internal.h"
#include "task_placement_internal.h"

enum {
    FORWARD_TIMEOUT_MS = 1500,
    /** An agent that reports to this node again within this time after a redirect could not reach
     * the owner. */
    REDIRECT_INTERVAL_MS = 45000,
};

/** A decoded heartbeat and the HTTP request that carried it. */
struct heartbeat_request {
    struct shard *shard;
    struct http_responder *responder;
    connection_ref connection;
    const struct http_request *http;
    const struct heartbeat *heartbeat;
};

/** The node to which an agent was last redirected. */
struct redirect {
    char owner[64];
    mono_time redirected_at;
};

/** A heartbeat that was forwarded to the owner of the machine and awaits the owner's response. */
struct forwarded_heartbeat {
    struct http_responder *responder;
    connection_ref connection;
};

/** Sends a JSON response. Takes ownership of the string. */
static void respond_json(struct http_responder *responder, connection_ref connection,
                         enum http_status status, char *body)
{
    responder->respond(responder, connection, (int)status, NULL, body, strlen(body));
    g_free(body);
}

static void respond_empty(const struct heartbeat_request *request, enum http_status status)
{
    respond_json(request->responder, request->connection, status, g_strdup("{}"));
}

/** Responds with commands, which renews the agent's lease. Takes ownership of the array. */
static void respond_commands(const struct heartbeat_request *request, agent_token token,
                             GArray *commands)
{
    char *body = shard_encode_commands(request->shard, token, 0, commands);
    respond_json(request->responder, request->connection, HTTP_STATUS_OK, body);
    g_array_unref(commands);
}

/* ---- heartbeats of machines that other nodes own ---- */

static void handle_owner_response(void *arg, const struct http_response *response)
{
    struct forwarded_heartbeat *forwarded = arg;
    bool has_response = response->status > 0;
    respond_json(forwarded->responder, forwarded->connection,
                 has_response ? (enum http_status)response->status : HTTP_STATUS_UNAVAILABLE,
                 has_response ? g_strndup(response->body, response->body_bytes) : g_strdup("{}"));
    g_free(forwarded);
}

static void forward_heartbeat(const struct heartbeat_request *request, const char *owner)
{
    struct forwarded_heartbeat *forwarded = g_new(struct forwarded_heartbeat, 1);
    *forwarded = (struct forwarded_heartbeat){request->responder, request->connection};
    node_rpc_forward(request->shard->node_rpc, owner, request->http, FORWARD_TIMEOUT_MS,
                     handle_owner_response, forwarded);
}

static void redirect_agent(const struct heartbeat_request *request, const char *owner)
{
    struct shard *shard = request->shard;
    if (g_hash_table_size(shard->redirects) > MAX_TRACKED_MACHINES)
        g_hash_table_remove_all(shard->redirects);
    struct redirect *redirect = g_new0(struct redirect, 1);
    g_strlcpy(redirect->owner, owner, sizeof redirect->owner);
    redirect->redirected_at = loop_now(shard->loop);
    g_hash_table_replace(shard->redirects, g_strdup(request->heartbeat->machine.text), redirect);
    respond_json(request->responder, request->connection, HTTP_STATUS_MISDIRECTED,
                 agent_redirect_encode(owner));
}

/** Logs that the agent's lease is renewed. `reason` names who does so. */
static void log_renewal(const struct shard *shard, machine_id machine, agent_token token,
                        const char *reason)
{
    struct decision_basis basis = replica_get_decision_basis(shard->replica, token.value);
    decision_log_record(DECISION_RENEWAL, &basis, "machine=%s epoch=%" G_GUINT64_FORMAT " why=%s",
                        machine.text, shard->epoch.value, reason);
}

/** Renews the lease on the owner's behalf, unless that could allow a cancelled task to start. */
static void renew_for_owner(const struct heartbeat_request *request)
{
    struct shard *shard = request->shard;
    if (shard_heartbeat_omits_cancelled_task(shard, request->heartbeat)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        return;
    }
    GArray *commands = shard_collect_stop_commands(shard, request->heartbeat);
    lease_proxy_record_renewal(shard->lease_proxy);
    /* The owner may have raised the token, and the agent drops responses with a lower one. */
    agent_token token = agent_token_max(agent_token_first(shard->epoch), request->heartbeat->token);
    log_renewal(shard, request->heartbeat->machine, token, "proxy");
    respond_commands(request, token, commands);
}

/** Handles a heartbeat for a machine that another node owns. An agent that comes back soon after a
 * redirect could not reach the owner, so its heartbeat is forwarded: its lease is then renewed
 * although the agent cannot reach the owner directly. A heartbeat that another node forwarded here
 * by mistake is always redirected. */
static void handle_heartbeat_for_other_owner(const struct heartbeat_request *request,
                                             const char *owner)
{
    struct shard *shard = request->shard;
    bool is_direct = !request->http->forwarded_by;
    if (is_direct && shard_may_renew_for_owner(shard, owner)) {
        renew_for_owner(request);
        return;
    }
    const struct redirect *last_redirect =
        g_hash_table_lookup(shard->redirects, request->heartbeat->machine.text);
    bool was_just_redirected =
        last_redirect && strcmp(last_redirect->owner, owner) == 0 &&
        time_ms_since(loop_now(shard->loop), last_redirect->redirected_at) < REDIRECT_INTERVAL_MS;
    if (is_direct && was_just_redirected)
        forward_heartbeat(request, owner);
    else
        redirect_agent(request, owner);
}

/* ---- heartbeats of machines that this node owns ---- */

/** Returns the machine that sent the heartbeat, and adds it if it is unknown. The first heartbeat
 * sets the machine's address, type and zone. */
static struct machine *machine_for_heartbeat(struct shard *shard, const struct heartbeat *heartbeat)
{
    struct machine *machine = shard_find_machine(shard, heartbeat->machine.text);
    if (!machine) {
        machine = shard_add_machine(shard, heartbeat->machine);
        shard_machine_reconcile(shard, machine, -1);
        LOG_INFO("machine_up", "machine=%s type=%s zone=%s spot=%d", machine->id.text,
                 heartbeat->machine_type_name, heartbeat->zone, heartbeat->is_spot);
    } else if (machine->heartbeat.has_reported) {
        return machine;
    }
    g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
    g_strlcpy(machine->type_name, heartbeat->machine_type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, heartbeat->zone, sizeof machine->zone);
    machine->is_spot = heartbeat->is_spot;
    shard_machine_update_capacity(shard, machine);
    return machine;
}

/** Returns whether a heartbeat proves that the agent received this node's responses. An agent
 * reports to the same node as long as it gets responses, and numbers all of its heartbeats. So
 * after a response, the next heartbeat arrives by the same route with the next sequence number. */
static bool confirms_reachability(const struct machine *machine, const struct heartbeat *heartbeat,
                                  const char *via_node)
{
    const struct machine_heartbeat *newest = &machine->heartbeat;
    return (heartbeat->agent_epoch == newest->agent_epoch &&
            heartbeat->sequence == newest->sequence + 1 &&
            strcmp(via_node, newest->via_node) == 0) ||
           agent_token_lower(newest->token, heartbeat->token);
}

/** Returns whether a heartbeat that is newer by its counters shows a lower token than an earlier
 * one. The tokens that an agent shows never fall, so that the agent was restarted between the two,
 * whichever was sent first. */
static bool contradicts_token(const struct machine *machine, const struct heartbeat *heartbeat)
{
    return machine->heartbeat.has_reported &&
           agent_token_lower(heartbeat->token, machine->heartbeat.token);
}

/** Applies a heartbeat if it cannot be a delayed copy, and returns whether it was applied. A copy
 * from before a restart, or the first heartbeat of a machine, cannot be compared by its counters.
 * So a heartbeat is applied only if it shows a trusted fencing token; otherwise the agent is
 * probed. */
static bool accept_heartbeat(struct shard *shard, struct machine *machine,
                             const struct heartbeat *heartbeat, const char *via_node)
{
    bool is_first = !machine->heartbeat.has_reported;
    if (contradicts_token(machine, heartbeat)) {
        LOG_INFO("heartbeat_untrusted",
                 "machine=%s agent_epoch=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT,
                 machine->id.text, heartbeat->agent_epoch, heartbeat->sequence);
        shard_fence_distrust(shard, machine);
    }
    bool is_accepted = shard_fence_is_trusted(machine, heartbeat->token);
    if (is_accepted) {
        bool is_reachable = is_first || confirms_reachability(machine, heartbeat, via_node);
        shard_machine_apply_heartbeat(shard, machine, heartbeat);
        if (is_reachable)
            shard_machine_mark_reachable(shard, machine);
        else
            machine->reachability.is_confirmed = false;
    }
    g_strlcpy(machine->heartbeat.via_node, via_node, sizeof machine->heartbeat.via_node);
    if (!is_accepted || !machine->reachability.is_confirmed)
        shard_probe_agent(shard, machine);
    shard_request_placement(shard);
    return is_accepted;
}

/** Returns whether to ignore a heartbeat: its machine was returned, it is inconsistent, or it is
 * not newer than the last one. */
static bool should_ignore_heartbeat(struct shard *shard, const struct machine *machine,
                                    const struct heartbeat *heartbeat)
{
    if (shard_machine_was_returned(shard, heartbeat->machine.text) ||
        !shard_heartbeat_is_consistent(shard, machine, heartbeat))
        return true;
    return machine &&
           (machine->is_returned || (machine->heartbeat.has_reported &&
                                     !shard_heartbeat_is_newer(&machine->heartbeat, heartbeat)));
}

static void handle_heartbeat_as_owner(const struct heartbeat_request *request)
{
    struct shard *shard = request->shard;
    const struct heartbeat *heartbeat = request->heartbeat;
    const char *via_node = request->http->forwarded_by ? request->http->forwarded_by : "";
    struct machine *machine = shard_find_machine(shard, heartbeat->machine.text);
    if (should_ignore_heartbeat(shard, machine, heartbeat)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        /* This is a delayed copy, whose sender no longer waits for a response, or the agent was
         * restarted. The response to a probe shows which. */
        if (machine && !machine->is_returned)
            shard_probe_agent(shard, machine);
        return;
    }
    machine = machine_for_heartbeat(shard, heartbeat);
    bool is_accepted = accept_heartbeat(shard, machine, heartbeat, via_node);
    if (shard_must_not_renew_lease(shard, machine)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        return;
    }
    machine->lease.last_renewed_at = loop_now(shard->loop);
    bool may_command = is_accepted && shard_may_act(shard);
    GArray *commands = may_command ? shard_collect_commands(shard, machine, false)
                                   : shard_collect_stop_commands(shard, heartbeat);
    if (may_command && !commands->len && !request->http->forwarded_by &&
        shard_machine_is_available(shard, machine)) {
        g_array_unref(commands);
        shard_hold_response(shard, machine, request->responder, request->connection);
        return;
    }
    /* In the epoch of an earlier process of this node, the agent may have seen a higher token. */
    agent_token token = agent_token_max(machine->fence.token, heartbeat->token);
    log_renewal(shard, machine->id, token, "owner");
    respond_commands(request, token, commands);
}

void shard_respond_after_hold(struct shard *shard, struct machine *machine,
                              struct http_responder *responder, connection_ref connection)
{
    if (!shard_may_answer_agent(shard, machine->heartbeat.token) ||
        shard_must_not_renew_lease(shard, machine)) {
        respond_json(responder, connection, HTTP_STATUS_UNAVAILABLE, g_strdup("{}"));
        return;
    }
    machine->lease.last_renewed_at = loop_now(shard->loop);
    GArray *commands = shard_may_act(shard) ? shard_collect_commands(shard, machine, false)
                                            : shard_collect_known_stop_commands(shard, machine);
    agent_token token = agent_token_max(machine->fence.token, machine->heartbeat.token);
    log_renewal(shard, machine->id, token, "held");
    respond_json(responder, connection, HTTP_STATUS_OK,
                 shard_encode_commands(shard, token, 0, commands));
    g_array_unref(commands);
}

/* ---- all heartbeats ---- */

static void handle_heartbeat(const struct heartbeat_request *request)
{
    struct shard *shard = request->shard;
    const struct replica *replica = shard->replica;
    const char *owner = NULL;
    if (replica->is_ready)
        owner = shard_map_get_owner(replica, request->heartbeat->machine.text);
    if (!owner || shard->epoch.value != replica->shard_map_epoch.value ||
        !shard_may_answer_agent(shard, request->heartbeat->token))
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
    else if (strcmp(owner, shard->settings->label) != 0)
        handle_heartbeat_for_other_owner(request, owner);
    else
        handle_heartbeat_as_owner(request);
}

void shard_handle_heartbeat(struct shard *shard, struct http_responder *responder,
                            connection_ref from, const struct http_request *http)
{
    struct heartbeat heartbeat;
    struct heartbeat_request request = {shard, responder, from, http, &heartbeat};
    json_object *object = json_parse(http->body, http->body_bytes);
    bool is_valid = heartbeat_decode(object, &heartbeat);
    json_object_put(object);
    if (!is_valid) {
        LOG_ERROR("heartbeat_malformed", "bytes=%zu", http->body_bytes);
        respond_empty(&request, HTTP_STATUS_BAD_REQUEST);
        return;
    }
    handle_heartbeat(&request);
    heartbeat_clear(&heartbeat);
}
