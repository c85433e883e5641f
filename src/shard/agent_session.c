#include "shard_internal.h"

#include "log.h"

enum {
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_EVERY_MS = 1500,
    RESEND_MS = 1500,
    REDIRECT_MS = 45000, /* a worker is sent to the owner again only so often */
};

/* ---- orders ---- */

/* clear makes the worker forget the attempt, after which a copy of its run command that is still on
 * its way would start the task once more. So it is only sent when there can be none. */
bool shard_may_clear(const struct host *host, const struct run *run)
{
    /* Commands of earlier owners are not counted in unsettled: their tokens were lower than ours.
     */
    return (run->unsettled == 0 && host->token >= host->owned_since.v) ||
           host->token > run->sent_token.v;
}

static void order_for_run(struct shard *shard, struct host *host, struct run *run, bool direct,
                          GArray *out)
{
    mono_time now = loop_now(shard->loop);
    struct command command = {.job = run->job, .index = run->index, .attempt = run->attempt};
    if (run->phase == RUN_GONE && !direct && run->seen && run->state == TASK_EXITED &&
        shard_may_clear(host, run)) {
        command.verb = COMMAND_CLEAR;
        g_array_append_val(out, command);
    }
    if (run->phase != RUN_RECORDED)
        return;
    if (run->stop) {
        if (!run->seen || run->state == TASK_EXITED)
            return;
        int64_t since = run->halt_at.us ? time_ms_since(now, run->halt_at) : -1;
        if (direct && since >= 0 && since < RESEND_MS)
            return;
        bool again = since > (int64_t)(run->grace_s * 1000);
        if (!run->halt_at.us)
            run->halt_at = now;
        command.verb = COMMAND_HALT;
        command.grace_s = again ? 0 : run->grace_s;
        g_array_append_val(out, command);
        return;
    }
    if (run->seen || (run->sent_at.us && time_ms_since(now, run->sent_at) < RESEND_MS))
        return;
    command.verb = COMMAND_RUN;
    run->sent_token = shard->epoch;
    run->sent_at = now;
    /* Only a later session proves that it is gone: sent once more, it may have been started in this
     * one, and a report from before may still come. */
    run->sent_session = host->session;
    if (direct)
        run->unsettled++;
    g_array_append_val(out, command);
}

/* A node that may not act may still end what is cancelled: that is final, whoever owns the machine
 * by now. */
static GArray *host_orders(struct shard *shard, struct host *host, bool direct)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct command));
    bool valid = membership_valid(shard->members);
    for (guint i = 0; i < host->runs->len && out->len < 300; i++) {
        struct run *run = host->runs->pdata[i];
        if (valid || (run->stop && shard_job_over(shard, run->job)))
            order_for_run(shard, host, run, direct, out);
    }
    if (direct || !valid)
        return out;
    for (guint i = 0; i < host->unknown_tasks->len && out->len < 300; i++) {
        const struct report_task *task = &g_array_index(host->unknown_tasks, struct report_task, i);
        struct command command = {.job = task->job, .index = task->index, .attempt = task->attempt};
        if (task->state == TASK_EXITED) {
            /* Earlier owners' commands carried lower tokens than ours. */
            if (host->token < host->owned_since.v)
                continue;
            command.verb = COMMAND_CLEAR;
        } else {
            LOG_INFO("stray_task", "job=%s task=%u machine=%s", task->job.s, task->index,
                     host->id.s);
            command.verb = COMMAND_HALT;
        }
        g_array_append_val(out, command);
    }
    return out;
}

struct pushed {
    struct shard *shard;
    host_id host;
    GArray *commands; /* of a push */
};

static bool newer(const struct host *host, const struct report *report)
{
    return report->session > host->session ||
           (report->session == host->session && report->sequence > host->sequence);
}

/* A machine keeps its type, its zone and its kind, and both are known here. What says otherwise
 * counts for nothing. */
static bool plausible(struct shard *shard, const struct host *host, const struct report *rep)
{
    bool zone =
        g_ptr_array_find_with_equal_func(shard->settings->zones, rep->zone, g_str_equal, NULL);
    bool type = !shard->view->types || type_named(shard->view->types, rep->type_name);
    bool same = !host || !host->type_name[0] ||
                (strcmp(host->type_name, rep->type_name) == 0 &&
                 strcmp(host->zone, rep->zone) == 0 && host->spot == rep->spot);
    bool other = host && host->known && rep->session == host->session &&
                 rep->sequence == host->sequence && shard_report_hash(rep) != host->report_hash;
    if (zone && type && same && !other)
        return true;
    LOG_ERROR("report_contradicts",
              "machine=%s type=%s zone=%s session=%" G_GUINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT,
              rep->host.s, rep->type_name, rep->zone, rep->session, rep->sequence);
    return false;
}

static bool answer_report(struct shard *shard, struct host *host, const struct net_answer *answer,
                          bool probe)
{
    if (answer->status != 200 && answer->status != 409)
        return false;
    struct report rep;
    json_object *object = json_read(answer->body, answer->len);
    bool ok = codec_report_read(object, &rep);
    json_object_put(object);
    if (!ok)
        return false;
    ok = host_eq(rep.host, host->id) && plausible(shard, host, &rep);
    /* An answer is no copy. If it counts less than what was known when it was asked for, the worker
     * has begun anew: what it lacks is gone, though its session may have the same number. */
    bool anew = ok && host->known && probe &&
                (rep.session < host->probed_session ||
                 (rep.session == host->probed_session && rep.sequence <= host->probed_sequence));
    if (anew)
        LOG_INFO("worker_anew", "machine=%s", host->id.s);
    if (anew || (ok && (!host->known || newer(host, &rep))))
        shard_host_reported(shard, host, &rep);
    if (ok) {
        shard_host_reached(shard, host);
        shard_place_soon(shard);
    }
    report_clear(&rep);
    return ok;
}

static void push_answered(void *arg, const struct net_answer *answer)
{
    struct pushed *pushed = arg;
    struct shard *shard = pushed->shard;
    struct host *host = shard_host_get(shard, pushed->host.s);
    if (host) {
        host->push_out = false;
        bool settled = answer->status > 0 || answer->status == NET_NOT_SENT;
        for (guint i = 0; i < pushed->commands->len; i++) {
            struct command *command = &g_array_index(pushed->commands, struct command, i);
            struct run *run = shard_run_find(host, command->job, command->index, command->attempt);
            if (run && command->verb == COMMAND_RUN && settled) {
                run->unsettled--;
                if (answer->status != 200)
                    run->sent_at = (mono_time){0};
            }
        }
        answer_report(shard, host, answer, false);
        if (host->push_wanted) {
            host->push_wanted = false;
            shard_push(shard, host);
        }
    }
    g_array_unref(pushed->commands);
    g_free(pushed);
}

/* Sends straight to the worker what it should do now. */
void shard_push(struct shard *shard, struct host *host)
{
    if (host->push_out) {
        host->push_wanted = true;
        return;
    }
    if (!host->known || host->gone)
        return;
    if (!host->hears) { /* once it answers, it gets its orders */
        shard_probe(shard, host);
        return;
    }
    GArray *commands = host_orders(shard, host, true);
    if (commands->len == 0) {
        g_array_unref(commands);
        return;
    }
    struct pushed *pushed = g_new(struct pushed, 1);
    *pushed = (struct pushed){shard, host->id, commands};
    char *body = codec_commands_write(shard->epoch, host->session, (struct command *)commands->data,
                                      commands->len);
    struct net_request request = {host->addr, "POST",       "/commands",
                                  body,       strlen(body), PUSH_TIMEOUT_MS};
    host->push_out = true;
    shard->net->request(shard->net, &request, push_answered, pushed);
    g_free(body);
}

static void probe_answered(void *arg, const struct net_answer *answer)
{
    struct pushed *pushed = arg;
    struct shard *shard = pushed->shard;
    struct host *host = shard_host_get(shard, pushed->host.s);
    if (host) {
        host->probe_out = false;
        if (!answer_report(shard, host, answer, true))
            host->probe_fails++;
        else
            shard_push(shard, host);
        if (host->probe_fails == 2)
            shard_digest_soon(shard);
    }
    g_free(pushed);
}

void shard_probe(struct shard *shard, struct host *host)
{
    mono_time now = loop_now(shard->loop);
    int64_t pause = (int64_t)PROBE_EVERY_MS * (1 + MIN(host->probe_fails / 3, 3));
    if (host->probe_out || !host->addr[0] ||
        (host->probed.us && time_ms_since(now, host->probed) < pause))
        return;
    struct pushed *pushed = g_new0(struct pushed, 1);
    pushed->shard = shard;
    pushed->host = host->id;
    host->probe_out = true;
    host->probed = now;
    host->probed_session = host->session;
    host->probed_sequence = host->sequence;
    struct net_request request = {host->addr, "GET", "/status", NULL, 0, PROBE_TIMEOUT_MS};
    shard->net->request(shard->net, &request, probe_answered, pushed);
}

/* ---- reports ---- */

static void reply_text(struct http_replier *replier, conn_ref to, int status, char *text)
{
    replier->reply(replier, to, status, NULL, text, strlen(text));
    g_free(text);
}

/* A job may have been cancelled meanwhile, and its tasks must be gone within cancel_s. */
int64_t shard_keeping_ms(const struct shard *shard)
{
    return (int64_t)((shard->settings->cancel_s - shard->settings->lease_s) * 995) - 1000;
}

static bool may_keep_leases(struct shard *shard)
{
    mono_time known = shard->view->fresh, quiet = peers_quiet_until(shard->peers);
    if (time_before(known, quiet))
        known = quiet;
    return time_ms_since(loop_now(shard->loop), known) < shard_keeping_ms(shard);
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
    return !membership_valid(shard->members) && membership_seen(shard->members) &&
           peers_lost(shard->peers, owner) &&
           time_ms_since(loop_now(shard->loop), shard->view->fresh) < shard_keeping_ms(shard);
}

/* Halts for all that a report names of jobs that are over. */
static GArray *halts_for(struct shard *shard, const struct report *rep)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct command));
    for (guint i = 0; i < rep->tasks->len && out->len < 300; i++) {
        const struct report_task *task = &g_array_index(rep->tasks, struct report_task, i);
        if (task->state == TASK_EXITED || !shard_job_over(shard, task->job))
            continue;
        struct command command = {
            .verb = COMMAND_HALT, .job = task->job, .index = task->index, .attempt = task->attempt};
        g_array_append_val(out, command);
    }
    return out;
}

static bool names_attempt(const struct report *rep, const struct placed *placed)
{
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *task = &g_array_index(rep->tasks, struct report_task, i);
        if (task->attempt.v == placed->attempt.v && task->index == placed->index &&
            job_eq(task->job, placed->job->id))
            return true;
    }
    return false;
}

/* A task of a job that is over is on record, and the worker does not name it: its command may still
 * be on its way, and no answer can end it. Only another session can, if no epoch can be raised. */
static bool awaits_cancelled(struct shard *shard, const struct report *rep)
{
    const struct host_record *rec = view_host(shard->view, rep->host.s);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        const struct placed *placed = rec->tasks->pdata[i];
        if (shard_job_over(shard, placed->job->id) && !names_attempt(rep, placed))
            return true;
    }
    return false;
}

/* The same on a machine of this node's own, which knows how long its job may have been called
 * cancelled: the lease is not renewed when that would let the command be carried out after
 * cancel_s. */
static bool lease_has_to_end(struct shard *shard, const struct host *host)
{
    if (membership_valid(shard->members))
        return false;
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        if (run->phase == RUN_RECORDED && !run->seen && run->over_since.us &&
            time_ms_since(loop_now(shard->loop), run->over_since) >= shard_keeping_ms(shard))
            return true;
    }
    return false;
}

struct handed_on {
    struct http_replier *replier;
    conn_ref from;
};

static void owner_answered(void *arg, const struct net_answer *answer)
{
    struct handed_on *x = arg;
    reply_text(x->replier, x->from, answer->status > 0 ? answer->status : 503,
               answer->status > 0 ? g_strndup(answer->body, answer->len) : g_strdup("{}"));
    g_free(x);
}

/* Sends a worker to its machine's owner. One that is back soon could not reach it: its report is
 * handed on instead, so that its lease is renewed although the owner cannot hear it. */
static void redirect(struct shard *shard, struct http_replier *replier, conn_ref from,
                     const struct report *rep, const char *owner,
                     const struct http_request *request)
{
    mono_time now = loop_now(shard->loop);
    const char *host = rep->host.s;
    if (!request->via && may_renew_for_peer(shard, owner) && awaits_cancelled(shard, rep)) {
        reply_text(replier, from, 503, g_strdup("{}"));
        return;
    }
    if (!request->via && may_renew_for_peer(shard, owner)) {
        GArray *halts = halts_for(shard, rep);
        peers_sheltered(shard->peers);
        reply_text(
            replier, from, 200,
            codec_commands_write(shard->epoch, 0, (struct command *)halts->data, halts->len));
        g_array_unref(halts);
        return;
    }
    struct redirect *r = g_hash_table_lookup(shard->redirects, host);
    if (r && strcmp(r->owner, owner) == 0 && time_ms_since(now, r->at) < REDIRECT_MS &&
        !request->via) {
        struct handed_on *x = g_new(struct handed_on, 1);
        *x = (struct handed_on){replier, from};
        bus_relay(shard->bus, owner, request, PROBE_TIMEOUT_MS, owner_answered, x);
        return;
    }
    if (g_hash_table_size(shard->redirects) > REMEMBERED_MACHINES)
        g_hash_table_remove_all(shard->redirects);
    r = g_new0(struct redirect, 1);
    g_strlcpy(r->owner, owner, sizeof r->owner);
    r->at = now;
    g_hash_table_replace(shard->redirects, g_strdup(host), r);
    reply_text(replier, from, 421, codec_redirect_write(owner));
}

static struct host *host_of_report(struct shard *shard, const struct report *rep)
{
    struct host *host = shard_host_get(shard, rep->host.s);
    if (!host) {
        host = shard_host_make(shard, rep->host);
        shard_host_sync(shard, host, -1);
        LOG_INFO("machine_up", "machine=%s type=%s zone=%s spot=%d", host->id.s, rep->type_name,
                 rep->zone, rep->spot);
    } else if (host->known) {
        return host;
    }
    g_strlcpy(host->addr, rep->addr, sizeof host->addr);
    g_strlcpy(host->type_name, rep->type_name, sizeof host->type_name);
    g_strlcpy(host->zone, rep->zone, sizeof host->zone);
    host->spot = rep->spot;
    shard_host_typed(shard, host);
    return host;
}

/* Whether a report shows that its worker had our answers. A worker stays with a node as long as it
 * is answered, and counts every report: so the next one comes the same way with the next number. */
static bool shows_hearing(const struct host *host, const struct report *rep, const char *via)
{
    return (rep->session == host->session && rep->sequence == host->sequence + 1 &&
            strcmp(via, host->via) == 0) ||
           rep->token > host->token;
}

/* A report that is the first from a machine here may be an old copy, as nothing newer is known. It
 * is heeded only if it shows a token that only we give; else its worker is asked. The answer gives
 * no orders, but a token. */
static bool take_report(struct shard *shard, struct host *host, const struct report *rep,
                        const char *via)
{
    bool take = host->known || rep->token >= host->owned_since.v;
    if (take) {
        bool hears = !host->known || shows_hearing(host, rep, via);
        shard_host_reported(shard, host, rep);
        if (hears)
            shard_host_reached(shard, host);
        else
            host->hears = false;
    }
    g_strlcpy(host->via, via, sizeof host->via);
    if (!take || !host->hears)
        shard_probe(shard, host);
    shard_place_soon(shard);
    return take;
}

static void report_owned(struct shard *shard, struct http_replier *replier, conn_ref from,
                         const struct report *rep, const char *via)
{
    struct host *host = shard_host_get(shard, rep->host.s);
    if (shard_machine_was_returned(shard, rep->host.s) || !plausible(shard, host, rep) ||
        (host && (host->gone || (host->known && !newer(host, rep))))) {
        /* Held back on its way: whoever sent it has long given up. Or its worker has begun anew,
         * which only its answer can tell. */
        reply_text(replier, from, 503, g_strdup("{}"));
        if (host && !host->gone)
            shard_probe(shard, host);
        return;
    }
    host = host_of_report(shard, rep);
    bool taken = take_report(shard, host, rep, via);
    if (lease_has_to_end(shard, host)) {
        reply_text(replier, from, 503, g_strdup("{}"));
        return;
    }
    host->answered = loop_now(shard->loop);
    GArray *commands = taken && membership_valid(shard->members) ? host_orders(shard, host, false)
                                                                 : halts_for(shard, rep);
    reply_text(
        replier, from, 200,
        codec_commands_write(shard->epoch, 0, (struct command *)commands->data, commands->len));
    g_array_unref(commands);
}

void shard_report(struct shard *shard, struct http_replier *replier, conn_ref from,
                  const struct http_request *request)
{
    struct report rep;
    json_object *object = json_read(request->body, request->body_len);
    bool ok = codec_report_read(object, &rep);
    json_object_put(object);
    if (!ok) {
        LOG_ERROR("report_malformed", "bytes=%zu", request->body_len);
        reply_text(replier, from, 400, g_strdup("{}"));
        return;
    }
    const char *owner = shard->view->ready ? map_owner(shard->view, rep.host.s) : NULL;
    if (!owner || shard->epoch.v != shard->view->epoch.v || !may_keep_leases(shard) ||
        rep.token > shard->epoch.v)
        reply_text(replier, from, 503, g_strdup("{}"));
    else if (strcmp(owner, shard->settings->label) != 0)
        redirect(shard, replier, from, &rep, owner, request);
    else
        report_owned(shard, replier, from, &rep, request->via ? request->via : "");
    report_clear(&rep);
}
