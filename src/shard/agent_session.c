#include "agent_session_internal.h"

#include "log.h"
#include "task_placement_internal.h"

enum {
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_INTERVAL_MS = 1500,
    RESEND_INTERVAL_MS = 1500,
    REDIRECT_INTERVAL_MS = 45000, /* a worker is sent to the owner again only so often */
};

/* ---- orders ---- */

/* clear makes the worker forget the attempt, after which a copy of its run command that is still on
 * its way would start the task once more. So it is only sent when there can be none. */
bool shard_can_clear_attempt(const struct machine *machine, const struct task_run *run)
{
    /* Commands of earlier owners are not counted in unsettled: their tokens were lower than ours.
     */
    return (run->start.in_flight == 0 &&
            machine->heartbeat.fencing_token >= machine->lease.owner_epoch.value) ||
           machine->heartbeat.fencing_token > run->start.fencing_token.value;
}

static void add_run_command(struct shard *shard, struct machine *machine, struct task_run *run,
                            bool is_push, GArray *commands)
{
    mono_time now = loop_now(shard->loop);
    struct agent_command command = {
        .job = run->job, .task_index = run->index, .attempt = run->attempt};
    if (run->phase == TASK_RUN_RELEASED && !is_push && run->reported.visibility == RUN_REPORTED &&
        run->reported.state == TASK_EXITED && shard_can_clear_attempt(machine, run)) {
        command.verb = COMMAND_CLEAR;
        g_array_append_val(commands, command);
    }
    if (run->phase != TASK_RUN_RECORDED)
        return;
    if (run->stop.is_requested) {
        if (run->reported.visibility != RUN_REPORTED || run->reported.state == TASK_EXITED)
            return;
        int64_t since_stop_ms = run->stop.sent_at.us ? time_ms_since(now, run->stop.sent_at) : -1;
        if (is_push && since_stop_ms >= 0 && since_stop_ms < RESEND_INTERVAL_MS)
            return;
        bool grace_is_over = since_stop_ms > (int64_t)(run->stop.grace_s * 1000);
        if (!run->stop.sent_at.us)
            run->stop.sent_at = now;
        command.verb = COMMAND_STOP;
        command.grace_period_s = grace_is_over ? 0 : run->stop.grace_s;
        g_array_append_val(commands, command);
        return;
    }
    if (run->reported.visibility == RUN_REPORTED ||
        (run->start.sent_at.us && time_ms_since(now, run->start.sent_at) < RESEND_INTERVAL_MS))
        return;
    command.verb = COMMAND_RUN;
    run->start.fencing_token = shard->epoch;
    run->start.sent_at = now;
    /* Only a later session proves that it is gone: sent once more, it may have been started in this
     * one, and a report from before may still come. */
    run->start.agent_epoch = machine->heartbeat.agent_epoch;
    if (is_push)
        run->start.in_flight++;
    g_array_append_val(commands, command);
}

/* A node that may not act may still end what is cancelled: that is final, whoever owns the machine
 * by now. */
static GArray *collect_commands(struct shard *shard, struct machine *machine, bool is_push)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct agent_command));
    bool is_member = membership_has_valid_lease(shard->membership);
    for (guint i = 0; i < machine->runs->len && commands->len < 300; i++) {
        struct task_run *run = machine->runs->pdata[i];
        if (is_member || (run->stop.is_requested && shard_job_is_over(shard, run->job)))
            add_run_command(shard, machine, run, is_push, commands);
    }
    if (is_push || !is_member)
        return commands;
    for (guint i = 0; i < machine->unknown_tasks->len && commands->len < 300; i++) {
        const struct heartbeat_task *task =
            &g_array_index(machine->unknown_tasks, struct heartbeat_task, i);
        struct agent_command command = {
            .job = task->job, .task_index = task->task_index, .attempt = task->attempt};
        if (task->state == TASK_EXITED) {
            /* Earlier owners' commands carried lower tokens than ours. */
            if (machine->heartbeat.fencing_token < machine->lease.owner_epoch.value)
                continue;
            command.verb = COMMAND_CLEAR;
        } else {
            LOG_INFO("stray_task", "job=%s task=%u machine=%s", task->job.text, task->task_index,
                     machine->id.text);
            command.verb = COMMAND_STOP;
        }
        g_array_append_val(commands, command);
    }
    return commands;
}

struct agent_call {
    struct shard *shard;
    machine_id machine;
    GArray *commands; /* of a push */
};

static bool is_newer_heartbeat(const struct machine *machine, const struct heartbeat *heartbeat)
{
    return heartbeat->agent_epoch > machine->heartbeat.agent_epoch ||
           (heartbeat->agent_epoch == machine->heartbeat.agent_epoch &&
            heartbeat->sequence > machine->heartbeat.sequence);
}

/* A machine keeps its type, its zone and its kind, and both are known here. What says otherwise
 * counts for nothing. */
static bool is_consistent_heartbeat(struct shard *shard, const struct machine *machine,
                                    const struct heartbeat *heartbeat)
{
    bool zone_is_known = g_ptr_array_find_with_equal_func(shard->settings->zones, heartbeat->zone,
                                                          g_str_equal, NULL);
    bool type_is_known =
        !shard->replica->machine_types ||
        machine_type_find(shard->replica->machine_types, heartbeat->machine_type_name);
    bool same_machine =
        !machine || !machine->type_name[0] ||
        (strcmp(machine->type_name, heartbeat->machine_type_name) == 0 &&
         strcmp(machine->zone, heartbeat->zone) == 0 && machine->is_spot == heartbeat->is_spot);
    bool same_sequence_differs = machine && machine->heartbeat.has_reported &&
                                 heartbeat->agent_epoch == machine->heartbeat.agent_epoch &&
                                 heartbeat->sequence == machine->heartbeat.sequence &&
                                 shard_heartbeat_hash(heartbeat) != machine->heartbeat.tasks_hash;
    if (zone_is_known && type_is_known && same_machine && !same_sequence_differs)
        return true;
    LOG_ERROR("report_contradicts",
              "machine=%s type=%s zone=%s session=%" G_GUINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT,
              heartbeat->machine.text, heartbeat->machine_type_name, heartbeat->zone,
              heartbeat->agent_epoch, heartbeat->sequence);
    return false;
}

static bool handle_agent_answer(struct shard *shard, struct machine *machine,
                                const struct http_response *response, bool is_probe)
{
    if (response->status != 200 && response->status != 409)
        return false;
    struct heartbeat heartbeat;
    json_object *object = json_parse(response->body, response->body_bytes);
    bool ok = heartbeat_decode(object, &heartbeat);
    json_object_put(object);
    if (!ok)
        return false;
    ok = machine_id_equal(heartbeat.machine, machine->id) &&
         is_consistent_heartbeat(shard, machine, &heartbeat);
    /* An answer is no copy. If it counts less than what was known when it was asked for, the worker
     * has begun anew: what it lacks is gone, though its session may have the same number. */
    bool agent_restarted = ok && machine->heartbeat.has_reported && is_probe &&
                           (heartbeat.agent_epoch < machine->reachability.probed_agent_epoch ||
                            (heartbeat.agent_epoch == machine->reachability.probed_agent_epoch &&
                             heartbeat.sequence <= machine->reachability.probed_sequence));
    if (agent_restarted)
        LOG_INFO("worker_anew", "machine=%s", machine->id.text);
    if (agent_restarted ||
        (ok && (!machine->heartbeat.has_reported || is_newer_heartbeat(machine, &heartbeat))))
        shard_machine_apply_heartbeat(shard, machine, &heartbeat);
    if (ok) {
        shard_machine_reached(shard, machine);
        shard_request_placement(shard);
    }
    heartbeat_clear(&heartbeat);
    return ok;
}

static void handle_push_answer(void *arg, const struct http_response *response)
{
    struct agent_call *call = arg;
    struct shard *shard = call->shard;
    struct machine *machine = shard_find_machine(shard, call->machine.text);
    if (machine) {
        bool push_again = machine->push == PUSH_IN_FLIGHT_AGAIN;
        machine->push = PUSH_IDLE;
        bool outcome_known = response->status > 0 || response->status == HTTP_NOT_SENT;
        for (guint i = 0; i < call->commands->len; i++) {
            struct agent_command *command = &g_array_index(call->commands, struct agent_command, i);
            struct task_run *run =
                shard_run_find(machine, command->job, command->task_index, command->attempt);
            if (run && command->verb == COMMAND_RUN && outcome_known) {
                run->start.in_flight--;
                if (response->status != 200)
                    run->start.sent_at = (mono_time){0};
            }
        }
        handle_agent_answer(shard, machine, response, false);
        if (push_again)
            shard_push_commands(shard, machine);
    }
    g_array_unref(call->commands);
    g_free(call);
}

/* Sends straight to the worker what it should do now. */
void shard_push_commands(struct shard *shard, struct machine *machine)
{
    if (machine->push != PUSH_IDLE) {
        machine->push = PUSH_IN_FLIGHT_AGAIN;
        return;
    }
    if (!machine->heartbeat.has_reported || machine->is_gone)
        return;
    if (!machine->reachability.is_confirmed) { /* once it answers, it gets its orders */
        shard_probe_agent(shard, machine);
        return;
    }
    GArray *commands = collect_commands(shard, machine, true);
    if (commands->len == 0) {
        g_array_unref(commands);
        return;
    }
    struct agent_call *call = g_new(struct agent_call, 1);
    *call = (struct agent_call){shard, machine->id, commands};
    char *body = agent_commands_encode(shard->epoch, machine->heartbeat.agent_epoch,
                                       (struct agent_command *)commands->data, commands->len);
    struct http_client_request request = {machine->address, "POST",         "/commands", body,
                                          strlen(body),     PUSH_TIMEOUT_MS};
    machine->push = PUSH_IN_FLIGHT;
    shard->net->request(shard->net, &request, handle_push_answer, call);
    g_free(body);
}

static void handle_probe_answer(void *arg, const struct http_response *response)
{
    struct agent_call *call = arg;
    struct shard *shard = call->shard;
    struct machine *machine = shard_find_machine(shard, call->machine.text);
    if (machine) {
        machine->reachability.probe_in_flight = false;
        if (!handle_agent_answer(shard, machine, response, true))
            machine->reachability.probe_failures++;
        else
            shard_push_commands(shard, machine);
        if (machine->reachability.probe_failures == 2)
            shard_request_status(shard);
    }
    g_free(call);
}

void shard_probe_agent(struct shard *shard, struct machine *machine)
{
    mono_time now = loop_now(shard->loop);
    int64_t pause_ms =
        (int64_t)PROBE_INTERVAL_MS * (1 + MIN(machine->reachability.probe_failures / 3, 3));
    if (machine->reachability.probe_in_flight || !machine->address[0] ||
        (machine->reachability.last_probe_at.us &&
         time_ms_since(now, machine->reachability.last_probe_at) < pause_ms))
        return;
    struct agent_call *call = g_new0(struct agent_call, 1);
    call->shard = shard;
    call->machine = machine->id;
    machine->reachability.probe_in_flight = true;
    machine->reachability.last_probe_at = now;
    machine->reachability.probed_agent_epoch = machine->heartbeat.agent_epoch;
    machine->reachability.probed_sequence = machine->heartbeat.sequence;
    struct http_client_request request = {machine->address, "GET", "/status", NULL, 0,
                                          PROBE_TIMEOUT_MS};
    shard->net->request(shard->net, &request, handle_probe_answer, call);
}

/* ---- reports ---- */

static void reply_json(struct http_responder *responder, connection_ref to, int status, char *text)
{
    responder->respond(responder, to, status, NULL, text, strlen(text));
    g_free(text);
}

/* A job may have been cancelled meanwhile, and its tasks must be gone within cancel_timeout_s. */
int64_t shard_max_renewal_ms(const struct shard *shard)
{
    return (int64_t)((shard->settings->cancel_timeout_s - shard->settings->lease_s) * 995) - 1000;
}

static bool may_renew_leases(struct shard *shard)
{
    mono_time known_until = shard->replica->fresh_at,
              no_cancellation_until = cancel_broadcast_known_until(shard->peers);
    if (time_before(known_until, no_cancellation_until))
        known_until = no_cancellation_until;
    return time_ms_since(loop_now(shard->loop), known_until) < shard_max_renewal_ms(shard);
}

/* Where a worker was sent that reported to the wrong node. */
struct redirect {
    char owner[64];
    mono_time at;
};

/* Whether this node renews the lease of a machine whose owner cannot: neither it nor the state
 * service can be reached from here, as when a zone is cut off that this node and the machine are
 * in. The proofs of its owner count with that: see "Sheltered machines" in docs/safety.md. */
static bool may_renew_for_peer(struct shard *shard, const char *owner)
{
    return !membership_has_valid_lease(shard->membership) &&
           membership_is_visible(shard->membership) &&
           failure_detector_is_unreachable(shard->peers, owner) &&
           time_ms_since(loop_now(shard->loop), shard->replica->fresh_at) <
               shard_max_renewal_ms(shard);
}

/* Halts for all that a report names of jobs that are over. */
static GArray *stop_commands_for_over_jobs(struct shard *shard, const struct heartbeat *heartbeat)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct agent_command));
    for (guint i = 0; i < heartbeat->tasks->len && commands->len < 300; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        if (task->state == TASK_EXITED || !shard_job_is_over(shard, task->job))
            continue;
        struct agent_command command = {.verb = COMMAND_STOP,
                                        .job = task->job,
                                        .task_index = task->task_index,
                                        .attempt = task->attempt};
        g_array_append_val(commands, command);
    }
    return commands;
}

static bool heartbeat_has_attempt(const struct heartbeat *heartbeat,
                                  const struct run_record *run_record)
{
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct heartbeat_task *task =
            &g_array_index(heartbeat->tasks, struct heartbeat_task, i);
        if (task->attempt.value == run_record->attempt.value &&
            task->task_index == run_record->task_index &&
            job_id_equal(task->job, run_record->job->id))
            return true;
    }
    return false;
}

/* A task of a job that is over is on record, and the worker does not name it: its command may still
 * be on its way, and no answer can end it. Only another session can, if no epoch can be raised. */
static bool lacks_cancelled_task(struct shard *shard, const struct heartbeat *heartbeat)
{
    const struct machine_record *machine_record =
        replica_get_machine(shard->replica, heartbeat->machine.text);
    for (guint i = 0; machine_record && i < machine_record->run_records->len; i++) {
        const struct run_record *run_record = machine_record->run_records->pdata[i];
        if (shard_job_is_over(shard, run_record->job->id) &&
            !heartbeat_has_attempt(heartbeat, run_record))
            return true;
    }
    return false;
}

/* The same on a machine of this node's own, which knows how long its job may have been called
 * cancelled: the lease is not renewed when that would let the command be carried out after
 * cancel_timeout_s. */
static bool must_not_renew_lease(struct shard *shard, const struct machine *machine)
{
    if (membership_has_valid_lease(shard->membership))
        return false;
    for (guint i = 0; i < machine->runs->len; i++) {
        const struct task_run *run = machine->runs->pdata[i];
        if (run->phase == TASK_RUN_RECORDED && run->reported.visibility != RUN_REPORTED &&
            run->stop.job_over_since.us &&
            time_ms_since(loop_now(shard->loop), run->stop.job_over_since) >=
                shard_max_renewal_ms(shard))
            return true;
    }
    return false;
}

struct forwarded_heartbeat {
    struct http_responder *replier;
    connection_ref from;
};

static void handle_owner_answer(void *arg, const struct http_response *response)
{
    struct forwarded_heartbeat *forwarded = arg;
    reply_json(forwarded->replier, forwarded->from, response->status > 0 ? response->status : 503,
               response->status > 0 ? g_strndup(response->body, response->body_bytes)
                                    : g_strdup("{}"));
    g_free(forwarded);
}

/* Sends a worker to its machine's owner. One that is back soon could not reach it: its report is
 * handed on instead, so that its lease is renewed although the owner cannot hear it. */
static void redirect_heartbeat(struct shard *shard, struct http_responder *responder,
                               connection_ref from, const struct heartbeat *heartbeat,
                               const char *owner, const struct http_request *request)
{
    mono_time now = loop_now(shard->loop);
    const char *machine_name = heartbeat->machine.text;
    if (!request->forwarded_by && may_renew_for_peer(shard, owner) &&
        lacks_cancelled_task(shard, heartbeat)) {
        reply_json(responder, from, 503, g_strdup("{}"));
        return;
    }
    if (!request->forwarded_by && may_renew_for_peer(shard, owner)) {
        GArray *stop_commands = stop_commands_for_over_jobs(shard, heartbeat);
        lease_proxy_note_renewal(shard->peers);
        reply_json(responder, from, 200,
                   agent_commands_encode(shard->epoch, 0,
                                         (struct agent_command *)stop_commands->data,
                                         stop_commands->len));
        g_array_unref(stop_commands);
        return;
    }
    struct redirect *last_redirect = g_hash_table_lookup(shard->redirects, machine_name);
    if (last_redirect && strcmp(last_redirect->owner, owner) == 0 &&
        time_ms_since(now, last_redirect->at) < REDIRECT_INTERVAL_MS && !request->forwarded_by) {
        struct forwarded_heartbeat *forwarded = g_new(struct forwarded_heartbeat, 1);
        *forwarded = (struct forwarded_heartbeat){responder, from};
        node_rpc_forward(shard->node_rpc, owner, request, PROBE_TIMEOUT_MS, handle_owner_answer,
                         forwarded);
        return;
    }
    if (g_hash_table_size(shard->redirects) > MAX_TRACKED_MACHINES)
        g_hash_table_remove_all(shard->redirects);
    last_redirect = g_new0(struct redirect, 1);
    g_strlcpy(last_redirect->owner, owner, sizeof last_redirect->owner);
    last_redirect->at = now;
    g_hash_table_replace(shard->redirects, g_strdup(machine_name), last_redirect);
    reply_json(responder, from, 421, agent_redirect_encode(owner));
}

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

/* Whether a report shows that its worker had our answers. A worker stays with a node as long as it
 * is answered, and counts every report: so the next one comes the same way with the next number. */
static bool shows_reachability(const struct machine *machine, const struct heartbeat *heartbeat,
                               const char *via)
{
    return (heartbeat->agent_epoch == machine->heartbeat.agent_epoch &&
            heartbeat->sequence == machine->heartbeat.sequence + 1 &&
            strcmp(via, machine->heartbeat.via_node) == 0) ||
           heartbeat->fencing_token > machine->heartbeat.fencing_token;
}

/* A report that is the first from a machine here may be an old copy, as nothing newer is known. It
 * is heeded only if it shows a token that only we give; else its worker is asked. The answer gives
 * no orders, but a token. */
static bool accept_heartbeat(struct shard *shard, struct machine *machine,
                             const struct heartbeat *heartbeat, const char *via)
{
    bool is_accepted = machine->heartbeat.has_reported ||
                       heartbeat->fencing_token >= machine->lease.owner_epoch.value;
    if (is_accepted) {
        bool is_reachable =
            !machine->heartbeat.has_reported || shows_reachability(machine, heartbeat, via);
        shard_machine_apply_heartbeat(shard, machine, heartbeat);
        if (is_reachable)
            shard_machine_reached(shard, machine);
        else
            machine->reachability.is_confirmed = false;
    }
    g_strlcpy(machine->heartbeat.via_node, via, sizeof machine->heartbeat.via_node);
    if (!is_accepted || !machine->reachability.is_confirmed)
        shard_probe_agent(shard, machine);
    shard_request_placement(shard);
    return is_accepted;
}

static void handle_own_heartbeat(struct shard *shard, struct http_responder *responder,
                                 connection_ref from, const struct heartbeat *heartbeat,
                                 const char *via)
{
    struct machine *machine = shard_find_machine(shard, heartbeat->machine.text);
    if (shard_machine_was_returned(shard, heartbeat->machine.text) ||
        !is_consistent_heartbeat(shard, machine, heartbeat) ||
        (machine && (machine->is_gone || (machine->heartbeat.has_reported &&
                                          !is_newer_heartbeat(machine, heartbeat))))) {
        /* Held back on its way: whoever sent it has long given up. Or its worker has begun anew,
         * which only its answer can tell. */
        reply_json(responder, from, 503, g_strdup("{}"));
        if (machine && !machine->is_gone)
            shard_probe_agent(shard, machine);
        return;
    }
    machine = machine_for_heartbeat(shard, heartbeat);
    bool is_accepted = accept_heartbeat(shard, machine, heartbeat, via);
    if (must_not_renew_lease(shard, machine)) {
        reply_json(responder, from, 503, g_strdup("{}"));
        return;
    }
    machine->lease.last_answered_at = loop_now(shard->loop);
    GArray *commands = is_accepted && membership_has_valid_lease(shard->membership)
                           ? collect_commands(shard, machine, false)
                           : stop_commands_for_over_jobs(shard, heartbeat);
    reply_json(responder, from, 200,
               agent_commands_encode(shard->epoch, 0, (struct agent_command *)commands->data,
                                     commands->len));
    g_array_unref(commands);
}

void shard_handle_heartbeat(struct shard *shard, struct http_responder *responder,
                            connection_ref from, const struct http_request *request)
{
    struct heartbeat heartbeat;
    json_object *object = json_parse(request->body, request->body_bytes);
    bool ok = heartbeat_decode(object, &heartbeat);
    json_object_put(object);
    if (!ok) {
        LOG_ERROR("report_malformed", "bytes=%zu", request->body_bytes);
        reply_json(responder, from, 400, g_strdup("{}"));
        return;
    }
    const char *owner = shard->replica->is_ready
                            ? shard_map_get_owner(shard->replica, heartbeat.machine.text)
                            : NULL;
    if (!owner || shard->epoch.value != shard->replica->shard_map_epoch.value ||
        !may_renew_leases(shard) || heartbeat.fencing_token > shard->epoch.value)
        reply_json(responder, from, 503, g_strdup("{}"));
    else if (strcmp(owner, shard->settings->label) != 0)
        redirect_heartbeat(shard, responder, from, &heartbeat, owner, request);
    else
        handle_own_heartbeat(shard, responder, from, &heartbeat,
                             request->forwarded_by ? request->forwarded_by : "");
    heartbeat_clear(&heartbeat);
}
