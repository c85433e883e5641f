#include "part_state.h"

#include "log.h"

enum {
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_EVERY_MS = 1500,
    RESEND_MS = 1500,
    REDIRECT_MS = 45000, /* a worker is sent to the owner again only so often */
    MOST_REDIRECTS = 5000,
};

/* ---- orders ---- */

/* clear makes the worker forget the attempt, after which a copy of its run command that is still on
 * its way would start the task once more. So it is only sent when there can be none. */
bool part_may_clear(const struct host *h, const struct run *r)
{
    /* Commands of earlier owners are not counted in unsettled: their tokens were lower than ours.
     */
    return (r->unsettled == 0 && h->helm >= h->owned_since.v) || h->helm > r->sent_helm.v;
}

static void order_for_run(struct part *p, struct host *h, struct run *r, bool direct, GArray *out)
{
    mono_time now = loop_now(p->loop);
    struct order o = {.job = r->job, .index = r->index, .attempt = r->attempt};
    if (r->phase == RUN_GONE && !direct && r->seen && r->state == TASK_EXITED &&
        part_may_clear(h, r)) {
        o.verb = ORDER_CLEAR;
        g_array_append_val(out, o);
    }
    if (r->phase != RUN_RECORDED)
        return;
    if (r->stop) {
        if (!r->seen || r->state == TASK_EXITED)
            return;
        int64_t since = r->halt_at.us ? time_ms_since(now, r->halt_at) : -1;
        if (direct && since >= 0 && since < RESEND_MS)
            return;
        bool again = since > (int64_t)(r->wind_down_s * 1000);
        if (!r->halt_at.us)
            r->halt_at = now;
        o.verb = ORDER_HALT;
        o.wind_down_s = again ? 0 : r->wind_down_s;
        g_array_append_val(out, o);
        return;
    }
    if (r->seen || (r->sent_at.us && time_ms_since(now, r->sent_at) < RESEND_MS))
        return;
    o.verb = ORDER_RUN;
    r->sent_helm = p->epoch;
    r->sent_at = now;
    /* Only a later session proves that it is gone: sent once more, it may have been started in this
     * one, and a report from before may still come. */
    r->sent_shift = h->shift;
    if (direct)
        r->unsettled++;
    g_array_append_val(out, o);
}

/* A node that may not act may still end what is cancelled: that is final, whoever owns the machine
 * by now. */
static GArray *host_orders(struct part *p, struct host *h, bool direct)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct order));
    bool valid = membership_valid(p->members);
    for (guint i = 0; i < h->runs->len && out->len < 300; i++) {
        struct run *r = h->runs->pdata[i];
        if (valid || (r->stop && part_job_over(p, r->job)))
            order_for_run(p, h, r, direct, out);
    }
    if (direct || !valid)
        return out;
    for (guint i = 0; i < h->strays->len && out->len < 300; i++) {
        const struct report_task *t = &g_array_index(h->strays, struct report_task, i);
        struct order o = {.job = t->job, .index = t->index, .attempt = t->attempt};
        if (t->state == TASK_EXITED) {
            /* Earlier owners' commands carried lower tokens than ours. */
            if (h->helm < h->owned_since.v)
                continue;
            o.verb = ORDER_CLEAR;
        } else {
            LOG_INFO("stray_task", "job=%s task=%u machine=%s", t->job.s, t->index, h->id.s);
            o.verb = ORDER_HALT;
        }
        g_array_append_val(out, o);
    }
    return out;
}

struct pushed {
    struct part *part;
    host_id host;
    GArray *orders; /* of a push */
};

static bool newer(const struct host *h, const struct report *r)
{
    return r->shift > h->shift || (r->shift == h->shift && r->tally > h->tally);
}

/* A machine keeps its type, its zone and its kind, and both are known here. What says otherwise
 * counts for nothing. */
static bool plausible(struct part *p, const struct host *h, const struct report *rep)
{
    bool zone = g_ptr_array_find_with_equal_func(p->settings->zones, rep->yard, g_str_equal, NULL);
    bool type = !p->view->types || type_named(p->view->types, rep->build);
    bool same = !h || !h->build[0] ||
                (strcmp(h->build, rep->build) == 0 && strcmp(h->yard, rep->yard) == 0 &&
                 h->loaners == rep->loaners);
    bool other = h && h->known && rep->shift == h->shift && rep->tally == h->tally &&
                 part_report_print(rep) != h->print;
    if (zone && type && same && !other)
        return true;
    LOG_ERROR("report_contradicts",
              "machine=%s type=%s zone=%s shift=%" G_GUINT64_FORMAT " tally=%" G_GUINT64_FORMAT,
              rep->host.s, rep->build, rep->yard, rep->shift, rep->tally);
    return false;
}

static bool answer_report(struct part *p, struct host *h, const struct net_answer *a, bool probe)
{
    if (a->status != 200 && a->status != 409)
        return false;
    struct report rep;
    json_object *o = json_read(a->body, a->len);
    bool ok = codec_report_read(o, &rep);
    json_object_put(o);
    if (!ok)
        return false;
    ok = host_eq(rep.host, h->id) && plausible(p, h, &rep);
    /* An answer is no copy. If it counts less than what was known when it was asked for, the worker
     * has begun anew: what it lacks is gone, though its session may have the same number. */
    bool anew = ok && h->known && probe &&
                (rep.shift < h->probed_shift ||
                 (rep.shift == h->probed_shift && rep.tally <= h->probed_tally));
    if (anew)
        LOG_INFO("worker_anew", "machine=%s", h->id.s);
    if (anew || (ok && (!h->known || newer(h, &rep))))
        part_host_reported(p, h, &rep);
    if (ok) {
        part_host_reached(p, h);
        part_place_soon(p);
    }
    report_clear(&rep);
    return ok;
}

static void push_answered(void *arg, const struct net_answer *a)
{
    struct pushed *c = arg;
    struct part *p = c->part;
    struct host *h = part_host_get(p, c->host.s);
    if (h) {
        h->push_out = false;
        bool settled = a->status > 0 || a->status == NET_NOT_SENT;
        for (guint i = 0; i < c->orders->len; i++) {
            struct order *o = &g_array_index(c->orders, struct order, i);
            struct run *r = part_run_find(h, o->job, o->index, o->attempt);
            if (r && o->verb == ORDER_RUN && settled) {
                r->unsettled--;
                if (a->status != 200)
                    r->sent_at = (mono_time){0};
            }
        }
        answer_report(p, h, a, false);
        if (h->push_wanted) {
            h->push_wanted = false;
            part_push(p, h);
        }
    }
    g_array_unref(c->orders);
    g_free(c);
}

/* Sends straight to the worker what it should do now. */
void part_push(struct part *p, struct host *h)
{
    if (h->push_out) {
        h->push_wanted = true;
        return;
    }
    if (!h->known || h->gone)
        return;
    if (!h->hears) { /* once it answers, it gets its orders */
        part_probe(p, h);
        return;
    }
    GArray *orders = host_orders(p, h, true);
    if (orders->len == 0) {
        g_array_unref(orders);
        return;
    }
    struct pushed *c = g_new(struct pushed, 1);
    *c = (struct pushed){p, h->id, orders};
    char *body = codec_orders_write(p->epoch, h->shift, (struct order *)orders->data, orders->len);
    struct net_request q = {h->addr, "POST", "/commands", body, strlen(body), PUSH_TIMEOUT_MS};
    h->push_out = true;
    p->net->request(p->net, &q, push_answered, c);
    g_free(body);
}

static void probe_answered(void *arg, const struct net_answer *a)
{
    struct pushed *c = arg;
    struct part *p = c->part;
    struct host *h = part_host_get(p, c->host.s);
    if (h) {
        h->probe_out = false;
        if (!answer_report(p, h, a, true))
            h->probe_fails++;
        else
            part_push(p, h);
        if (h->probe_fails == 2)
            part_digest_soon(p);
    }
    g_free(c);
}

void part_probe(struct part *p, struct host *h)
{
    mono_time now = loop_now(p->loop);
    int64_t pause = PROBE_EVERY_MS * (1 + MIN(h->probe_fails / 3, 3));
    if (h->probe_out || !h->addr[0] || (h->probed.us && time_ms_since(now, h->probed) < pause))
        return;
    struct pushed *c = g_new0(struct pushed, 1);
    c->part = p;
    c->host = h->id;
    h->probe_out = true;
    h->probed = now;
    h->probed_shift = h->shift;
    h->probed_tally = h->tally;
    struct net_request q = {h->addr, "GET", "/status", NULL, 0, PROBE_TIMEOUT_MS};
    p->net->request(p->net, &q, probe_answered, c);
}

/* ---- reports ---- */

static void reply_text(struct http_replier *replier, conn_ref to, int status, char *text)
{
    replier->reply(replier, to, status, NULL, text, strlen(text));
    g_free(text);
}

/* A job may have been cancelled meanwhile, and its tasks must be gone within cancel_s. */
int64_t part_keeping_ms(const struct part *p)
{
    return (int64_t)((p->settings->cancel_s - p->settings->lease_s) * 995) - 1000;
}

static bool may_keep_leases(struct part *p)
{
    mono_time known = p->view->fresh, quiet = peers_quiet_until(p->peers);
    if (time_before(known, quiet))
        known = quiet;
    return time_ms_since(loop_now(p->loop), known) < part_keeping_ms(p);
}

/* Where a worker was sent that reported to the wrong node. */
struct redirect {
    char owner[64];
    mono_time at;
};

/* Whether this node renews the lease of a machine whose owner cannot: neither it nor the state
 * service can be reached from here, as when a zone is cut off that this node and the machine are
 * in. The proofs of its owner count with that: see "Sheltered machines" in docs/safety.md. */
static bool may_shelter(struct part *p, const char *owner)
{
    return !membership_valid(p->members) && membership_seen(p->members) &&
           peers_lost(p->peers, owner) &&
           time_ms_since(loop_now(p->loop), p->view->fresh) < part_keeping_ms(p);
}

/* Halts for all that a report names of jobs that are over. */
static GArray *halts_for(struct part *p, const struct report *rep)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct order));
    for (guint i = 0; i < rep->tasks->len && out->len < 300; i++) {
        const struct report_task *t = &g_array_index(rep->tasks, struct report_task, i);
        if (t->state == TASK_EXITED || !part_job_over(p, t->job))
            continue;
        struct order o = {
            .verb = ORDER_HALT, .job = t->job, .index = t->index, .attempt = t->attempt};
        g_array_append_val(out, o);
    }
    return out;
}

static bool names_attempt(const struct report *rep, const struct placed *x)
{
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *t = &g_array_index(rep->tasks, struct report_task, i);
        if (t->attempt.v == x->attempt.v && t->index == x->index && job_eq(t->job, x->job->id))
            return true;
    }
    return false;
}

/* A task of a job that is over is on record, and the worker does not name it: its command may still
 * be on its way, and no answer can end it. Only another session can, if no epoch can be raised. */
static bool awaits_cancelled(struct part *p, const struct report *rep)
{
    const struct host_record *rec = view_host(p->view, rep->host.s);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        const struct placed *x = rec->tasks->pdata[i];
        if (part_job_over(p, x->job->id) && !names_attempt(rep, x))
            return true;
    }
    return false;
}

/* The same on a machine of this node's own, which knows how long its job may have been called
 * cancelled: the lease is not renewed when that would let the command be carried out after
 * cancel_s. */
static bool lease_has_to_end(struct part *p, const struct host *h)
{
    if (membership_valid(p->members))
        return false;
    for (guint i = 0; i < h->runs->len; i++) {
        const struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_RECORDED && !r->seen && r->over_since.us &&
            time_ms_since(loop_now(p->loop), r->over_since) >= part_keeping_ms(p))
            return true;
    }
    return false;
}

struct handed_on {
    struct http_replier *replier;
    conn_ref from;
};

static void owner_answered(void *arg, const struct net_answer *a)
{
    struct handed_on *x = arg;
    reply_text(x->replier, x->from, a->status > 0 ? a->status : 503,
               a->status > 0 ? g_strndup(a->body, a->len) : g_strdup("{}"));
    g_free(x);
}

/* Sends a worker to its machine's owner. One that is back soon could not reach it: its report is
 * handed on instead, so that its lease is renewed although the owner cannot hear it. */
static void redirect(struct part *p, struct http_replier *replier, conn_ref from,
                     const struct report *rep, const char *owner, const struct http_request *q)
{
    mono_time now = loop_now(p->loop);
    const char *host = rep->host.s;
    if (!q->via && may_shelter(p, owner) && awaits_cancelled(p, rep)) {
        reply_text(replier, from, 503, g_strdup("{}"));
        return;
    }
    if (!q->via && may_shelter(p, owner)) {
        GArray *halts = halts_for(p, rep);
        peers_sheltered(p->peers);
        reply_text(replier, from, 200,
                   codec_orders_write(p->epoch, 0, (struct order *)halts->data, halts->len));
        g_array_unref(halts);
        return;
    }
    struct redirect *r = g_hash_table_lookup(p->redirects, host);
    if (r && strcmp(r->owner, owner) == 0 && time_ms_since(now, r->at) < REDIRECT_MS && !q->via) {
        struct handed_on *x = g_new(struct handed_on, 1);
        *x = (struct handed_on){replier, from};
        bus_relay(p->bus, owner, q, PROBE_TIMEOUT_MS, owner_answered, x);
        return;
    }
    if (g_hash_table_size(p->redirects) > MOST_REDIRECTS)
        g_hash_table_remove_all(p->redirects);
    r = g_new0(struct redirect, 1);
    g_strlcpy(r->owner, owner, sizeof r->owner);
    r->at = now;
    g_hash_table_replace(p->redirects, g_strdup(host), r);
    reply_text(replier, from, 421, codec_harbour_write(owner));
}

static struct host *host_of_report(struct part *p, const struct report *rep)
{
    struct host *h = part_host_get(p, rep->host.s);
    if (!h) {
        h = part_host_make(p, rep->host);
        part_host_sync(p, h, -1);
        LOG_INFO("machine_up", "machine=%s type=%s zone=%s spot=%d", h->id.s, rep->build, rep->yard,
                 rep->loaners);
    } else if (h->known) {
        return h;
    }
    g_strlcpy(h->addr, rep->addr, sizeof h->addr);
    g_strlcpy(h->build, rep->build, sizeof h->build);
    g_strlcpy(h->yard, rep->yard, sizeof h->yard);
    h->loaners = rep->loaners;
    part_host_typed(p, h);
    return h;
}

/* Whether a report shows that its worker had our answers. A worker stays with a node as long as it
 * is answered, and counts every report: so the next one comes the same way with the next number. */
static bool shows_hearing(const struct host *h, const struct report *rep, const char *via)
{
    return (rep->shift == h->shift && rep->tally == h->tally + 1 && strcmp(via, h->via) == 0) ||
           rep->helm > h->helm;
}

/* A report that is the first from a machine here may be an old copy, as nothing newer is known. It
 * is heeded only if it shows a token that only we give; else its worker is asked. The answer gives
 * no orders, but a token. */
static bool take_report(struct part *p, struct host *h, const struct report *rep, const char *via)
{
    bool take = h->known || rep->helm >= h->owned_since.v;
    if (take) {
        bool hears = !h->known || shows_hearing(h, rep, via);
        part_host_reported(p, h, rep);
        if (hears)
            part_host_reached(p, h);
        else
            h->hears = false;
    }
    g_strlcpy(h->via, via, sizeof h->via);
    if (!take || !h->hears)
        part_probe(p, h);
    part_place_soon(p);
    return take;
}

static void report_owned(struct part *p, struct http_replier *replier, conn_ref from,
                         const struct report *rep, const char *via)
{
    struct host *h = part_host_get(p, rep->host.s);
    if (part_is_buried(p, rep->host.s) || !plausible(p, h, rep) ||
        (h && (h->gone || (h->known && !newer(h, rep))))) {
        /* Held back on its way: whoever sent it has long given up. Or its worker has begun anew,
         * which only its answer can tell. */
        reply_text(replier, from, 503, g_strdup("{}"));
        if (h && !h->gone)
            part_probe(p, h);
        return;
    }
    h = host_of_report(p, rep);
    bool taken = take_report(p, h, rep, via);
    if (lease_has_to_end(p, h)) {
        reply_text(replier, from, 503, g_strdup("{}"));
        return;
    }
    h->answered = loop_now(p->loop);
    GArray *orders =
        taken && membership_valid(p->members) ? host_orders(p, h, false) : halts_for(p, rep);
    reply_text(replier, from, 200,
               codec_orders_write(p->epoch, 0, (struct order *)orders->data, orders->len));
    g_array_unref(orders);
}

void part_report(struct part *p, struct http_replier *replier, conn_ref from,
                 const struct http_request *q)
{
    struct report rep;
    json_object *o = json_read(q->body, q->body_len);
    bool ok = codec_report_read(o, &rep);
    json_object_put(o);
    if (!ok) {
        LOG_ERROR("report_malformed", "bytes=%zu", q->body_len);
        reply_text(replier, from, 400, g_strdup("{}"));
        return;
    }
    const char *owner = p->view->ready ? map_owner(p->view, rep.host.s) : NULL;
    if (!owner || p->epoch.v != p->view->epoch.v || !may_keep_leases(p) || rep.helm > p->epoch.v)
        reply_text(replier, from, 503, g_strdup("{}"));
    else if (strcmp(owner, p->settings->label) != 0)
        redirect(p, replier, from, &rep, owner, q);
    else
        report_owned(p, replier, from, &rep, q->via ? q->via : "");
    report_clear(&rep);
}
