/**
 * @file
 * Heartbeats of agents. The owner of the machine applies them and responds with commands; another
 * node redirects the agent to the owner, forwards the heartbeat, or renews the lease in the owner's
 * place.
 */
#include "agent_session_internal.h"

#include "json_fields.h"
#include "log.h"
#include "machine_returns_internal.h"
#include "task_placement_internal.h"

enum {
    FORWARD_TIMEOUT_MS = 1500,
    /** An agent that reports here again so soon after a redirect could not reach the owner. */
    REDIRECT_INTERVAL_MS = 45000,
};

/** A heartbeat with the request that it came in. */
struct heartbeat_request {
    struct shard *shard;
    struct http_responder *responder;
    connection_ref connection;
    const struct http_request *http;
    const struct heartbeat *heartbeat;
};

/** Where an agent was redirected to. */
struct redirect {
    char owner[64];
    mono_time at;
};

/** A heartbeat that was forwarded to the owner, whose response is awaited. */
struct forwarded_heartbeat {
    struct http_responder *responder;
    connection_ref connection;
};

/** Takes the text. */
static void respond_json(struct http_responder *responder, connection_ref connection,
                         enum http_status status, char *text)
{
    responder->respond(responder, connection, (int)status, NULL, text, strlen(text));
    g_free(text);
}

static void respond_empty(const struct heartbeat_request *request, enum http_status status)
{
    respond_json(request->responder, request->connection, status, g_strdup("{}"));
}

/** Renews the agent's lease. Takes the array of commands. */
static void respond_commands(const struct heartbeat_request *request, GArray *commands)
{
    char *text = agent_commands_encode(request->shard->epoch, 0,
                                       (struct agent_command *)commands->data, commands->len);
    respond_json(request->responder, request->connection, HTTP_STATUS_OK, text);
    g_array_unref(commands);
}

/* ---- heartbeats of other owners' machines ---- */

static void handle_owner_answer(void *arg, const struct http_response *response)
{
    struct forwarded_heartbeat *forwarded = arg;
    bool was_answered = response->status > 0;
    respond_json(forwarded->responder, forwarded->connection,
                 was_answered ? (enum http_status)response->status : HTTP_STATUS_UNAVAILABLE,
                 was_answered ? g_strndup(response->body, response->body_bytes) : g_strdup("{}"));
    g_free(forwarded);
}

static void forward_heartbeat(const struct heartbeat_request *request, const char *owner)
{
    struct forwarded_heartbeat *forwarded = g_new(struct forwarded_heartbeat, 1);
    *forwarded = (struct forwarded_heartbeat){request->responder, request->connection};
    node_rpc_forward(request->shard->node_rpc, owner, request->http, FORWARD_TIMEOUT_MS,
                     handle_owner_answer, forwarded);
}

static void redirect_agent(const struct heartbeat_request *request, const char *owner)
{
    struct shard *shard = request->shard;
    if (g_hash_table_size(shard->redirects) > MAX_TRACKED_MACHINES)
        g_hash_table_remove_all(shard->redirects);
    struct redirect *redirect = g_new0(struct redirect, 1);
    g_strlcpy(redirect->owner, owner, sizeof redirect->owner);
    redirect->at = loop_now(shard->loop);
    g_hash_table_replace(shard->redirects, g_strdup(request->heartbeat->machine.text), redirect);
    respond_json(request->responder, request->connection, HTTP_STATUS_MISDIRECTED,
                 agent_redirect_encode(owner));
}

/** Renews the lease in the owner's place, unless that could let a cancelled task be started. */
static void renew_for_owner(const struct heartbeat_request *request)
{
    struct shard *shard = request->shard;
    if (shard_lacks_cancelled_task(shard, request->heartbeat)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        return;
    }
    GArray *commands = shard_collect_stop_commands(shard, request->heartbeat);
    lease_proxy_record_renewal(shard->lease_proxy);
    respond_commands(request, commands);
}

/** An agent that is back soon after a redirect could not reach the owner: its heartbeat is
 * forwarded, so that its lease is renewed although the owner cannot hear it. A heartbeat that was
 * forwarded to this node in error is redirected in any case. */
static void handle_other_heartbeat(const struct heartbeat_request *request, const char *owner)
{
    struct shard *shard = request->shard;
    bool is_direct = !request->http->forwarded_by;
    if (is_direct && shard_may_renew_for_owner(shard, owner)) {
        renew_for_owner(request);
        return;
    }
    const struct redirect *last =
        g_hash_table_lookup(shard->redirects, request->heartbeat->machine.text);
    bool is_back = last && strcmp(last->owner, owner) == 0 &&
                   time_ms_since(loop_now(shard->loop), last->at) < REDIRECT_INTERVAL_MS;
    if (is_direct && is_back)
        forward_heartbeat(request, owner);
    else
        redirect_agent(request, owner);
}

/* ---- heartbeats of own machines ---- */

/** The machine of a heartbeat; adds it if it is not known. Its first heartbeat describes it. */
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

/** Whether a heartbeat shows that the agent received this node's responses. An agent stays with a
 * node as long as it gets responses, and counts every heartbeat: so the next one comes the same way
 * with the next number. */
static bool shows_reachability(const struct machine *machine, const struct heartbeat *heartbeat,
                               const char *via_node)
{
    const struct machine_heartbeat *newest = &machine->heartbeat;
    return (heartbeat->agent_epoch == newest->agent_epoch &&
            heartbeat->sequence == newest->sequence + 1 &&
            strcmp(via_node, newest->via_node) == 0) ||
           heartbeat->fencing_token > newest->fencing_token;
}

/** Applies a heartbeat, if it is certain that it is no old copy. The first one of a machine may be
 * one, as nothing newer is known: it is applied only if it shows a token that only this owner can
 * have given; else the agent is probed. Returns whether it was applied. */
static bool accept_heartbeat(struct shard *shard, struct machine *machine,
                             const struct heartbeat *heartbeat, const char *via_node)
{
    bool is_first = !machine->heartbeat.has_reported;
    bool is_accepted = !is_first || heartbeat->fencing_token >= machine->lease.owner_epoch.value;
    if (is_accepted) {
        bool is_reachable = is_first || shows_reachability(machine, heartbeat, via_node);
        shard_machine_apply_heartbeat(shard, machine, heartbeat);
        if (is_reachable)
            shard_machine_reached(shard, machine);
        else
            machine->reachability.is_confirmed = false;
    }
    g_strlcpy(machine->heartbeat.via_node, via_node, sizeof machine->heartbeat.via_node);
    if (!is_accepted || !machine->reachability.is_confirmed)
        shard_probe_agent(shard, machine);
    shard_request_placement(shard);
    return is_accepted;
}

/** Whether a heartbeat is to be ignored: its machine was returned, it is inconsistent, or it is
 * older than another. */
static bool is_ignored(struct shard *shard, const struct machine *machine,
                       const struct heartbeat *heartbeat)
{
    if (shard_machine_was_returned(shard, heartbeat->machine.text) ||
        !shard_heartbeat_is_consistent(shard, machine, heartbeat))
        return true;
    return machine && (machine->is_gone || (machine->heartbeat.has_reported &&
                                            !shard_heartbeat_is_newer(machine, heartbeat)));
}

static void handle_own_heartbeat(const struct heartbeat_request *request)
{
    struct shard *shard = request->shard;
    const struct heartbeat *heartbeat = request->heartbeat;
    const char *via_node = request->http->forwarded_by ? request->http->forwarded_by : "";
    struct machine *machine = shard_find_machine(shard, heartbeat->machine.text);
    if (is_ignored(shard, machine, heartbeat)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        /* A copy that was delayed, whose sender has given up; or the agent has been restarted,
         * which its answer to a probe shows. */
        if (machine && !machine->is_gone)
            shard_probe_agent(shard, machine);
        return;
    }
    machine = machine_for_heartbeat(shard, heartbeat);
    bool is_accepted = accept_heartbeat(shard, machine, heartbeat, via_node);
    if (shard_must_not_renew_lease(shard, machine)) {
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
        return;
    }
    machine->lease.last_answered_at = loop_now(shard->loop);
    bool may_command = is_accepted && membership_has_valid_lease(shard->membership);
    respond_commands(request, may_command ? shard_collect_commands(shard, machine, false)
                                          : shard_collect_stop_commands(shard, heartbeat));
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
        !shard_may_renew_leases(shard) || request->heartbeat->fencing_token > shard->epoch.value)
        respond_empty(request, HTTP_STATUS_UNAVAILABLE);
    else if (strcmp(owner, shard->settings->label) != 0)
        handle_other_heartbeat(request, owner);
    else
        handle_own_heartbeat(request);
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
