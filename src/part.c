#include "part.h"

#include "arq.h"
#include "log.h"
#include "room.h"
#include "score.h"

#include <math.h>
#include <stdlib.h>

enum {
    TICK_MS = 250,
    SWITCH_MS = 2000,
    FLUSH_MS = 4,
    RETRY_MS = 120,
    PUSH_TIMEOUT_MS = 2500,
    PROBE_TIMEOUT_MS = 1500,
    PROBE_EVERY_MS = 1500,
    DIGEST_MS = 1000,
    RESEND_MS = 1500,
    GIVE_BACK_MS = 3000,
    LAPSED_MS = 20000,
    SLOW_AFTER = 4,
    REDIRECT_MS = 45000, /* a worker is sent to the owner again only so often */
    MOST_REDIRECTS = 5000,
    IMAGES_KEPT = 12,
};

/* A machine is slow when it takes so many times as long as the others. */
static const double SLOW_PACE = 1.8;

enum run_phase {
    RUN_NEW,      /* placed here, not on record yet */
    RUN_RECORDED, /* on record */
    RUN_FREEING,  /* proven over; the record does not say so yet */
    RUN_GONE,     /* off the record; kept until the worker has forgotten it */
};

/* One task on one of our machines. */
struct run {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct room room;
    bool service;
    enum run_phase phase;
    bool in_txn;
    bool seen;
    enum task_state state;
    bool done;           /* with RUN_FREEING: it completed */
    epoch_no sent_helm;  /* the highest token that a run command for it may have carried */
    uint64_t sent_shift; /* 0: not known */
    int unsettled;       /* direct run commands of which nobody knows what became */
    mono_time sent_at;   /* 0: never, by us */
    mono_time placed_at, running_at;
    int pool; /* that its machine was in when it was placed */
    bool stop;
    double wind_down_s;
    mono_time halt_at;
};

struct host {
    host_id id;
    char addr[24], build[48], yard[48];
    bool loaners;
    struct room total, booked, pinned; /* pinned: by services */
    epoch_no owned_since;
    mono_time owned_at;
    bool known;
    uint64_t shift, tally, helm;
    mono_time heard, answered;
    mono_time helm_seen; /* when its worker first showed a token that only we can give */
    bool recalled;
    revision stamp;
    bool dirty, in_txn;
    bool removing; /* the transaction under way removes its record */
    bool gone;     /* the cloud has taken it: a proof for all that ran on it */
    GPtrArray *runs;
    GArray *strays; /* struct report_task: reported, not ours */
    GPtrArray *images;
    double pace; /* of what it did lately: time taken by time expected */
    int paced;   /* tasks that went into it */
    bool push_out, push_wanted, probe_out;
    mono_time probed;
    int probe_fails;
};

/* A task that the leader dealt to this part and that has no machine yet. */
struct dealt {
    job_id job;
    uint32_t index;
    attempt_no attempt;
    char yard[48]; /* "": any */
    char at[48];   /* "": any machine */
    int class;     /* 0: the job is not in view yet */
    int queue;     /* the class whose queue it is in */
    mono_time since, queue_since;
};

struct part {
    struct actor actor;
    struct loop *loop;
    struct net *net;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct bus *bus;
    struct peers *peers;
    GHashTable *redirects; /* machine -> struct redirect */
    const struct settings *settings;
    epoch_no epoch;
    uint64_t generation, last_deal;
    GHashTable *hosts;
    GQueue queues[ARQ_CLASSES + 1]; /* [0]: jobs not in view yet */
    struct arq_busy busy[ARQ_CLASSES + 1];
    double pace;       /* the same over all machines: owners' estimates are wrong together */
    GArray *back;      /* struct dealt: given back to the leader */
    GPtrArray *faults; /* cJSON: what went wrong, for the leader */
    GHashTable *marks; /* key -> GByteArray: what this node has marked done there */
    bool txn_out;
    bool digest_out, digest_soon, want_raise;
    struct timer tick, flush, digest;
    mono_time last_switch;
};

static void part_view(struct part *p, const GArray *changes);
static void flush(void *arg);
static void flush_soon(struct part *p);
static void digest(void *arg);
static void place_all(struct part *p);
static void push(struct part *p, struct host *h);
static void tick(void *arg);
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer);

static void receive(struct actor *self, const struct message *m)
{
    if (m->kind == MSG_VIEW)
        part_view((struct part *)self, m->body);
}

static void host_free(gpointer q)
{
    struct host *h = q;
    g_ptr_array_unref(h->runs);
    g_ptr_array_unref(h->images);
    g_array_unref(h->strays);
    g_free(h);
}

static void unref_bytes(gpointer q)
{
    g_byte_array_unref(q);
}

static void delete_json(gpointer q)
{
    cJSON_Delete(q);
}

struct part *part_new(struct loop *loop, struct net *net, struct store *store, struct view *view,
                      struct membership *members, struct bus *bus, struct peers *peers,
                      const struct settings *settings)
{
    struct part *p = g_new0(struct part, 1);
    p->actor = (struct actor){"part", receive};
    p->loop = loop;
    p->net = net;
    p->store = store;
    p->view = view;
    p->members = members;
    p->bus = bus;
    p->peers = peers;
    p->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->settings = settings;
    p->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    for (int i = 0; i <= ARQ_CLASSES; i++)
        g_queue_init(&p->queues[i]);
    p->back = g_array_new(FALSE, FALSE, sizeof(struct dealt));
    p->faults = g_ptr_array_new_with_free_func(delete_json);
    p->marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_bytes);
    timer_init(&p->tick, tick, p);
    timer_init(&p->flush, flush, p);
    timer_init(&p->digest, digest, p);
    view_listen(view, &p->actor);
    bus_handle(bus, "deal", on_deal, p);
    return p;
}

static void drop_queues(struct part *p)
{
    for (int i = 0; i <= ARQ_CLASSES; i++)
        while (p->queues[i].head)
            g_free(g_queue_pop_head(&p->queues[i]));
    g_array_set_size(p->back, 0);
}

void part_free(struct part *p)
{
    timer_stop(p->loop, &p->tick);
    timer_stop(p->loop, &p->flush);
    timer_stop(p->loop, &p->digest);
    drop_queues(p);
    g_hash_table_unref(p->hosts);
    g_hash_table_unref(p->marks);
    g_hash_table_unref(p->redirects);
    g_array_unref(p->back);
    g_ptr_array_unref(p->faults);
    g_free(p);
}

void part_start(struct part *p)
{
    timer_start(p->loop, &p->tick, TICK_MS);
    timer_start(p->loop, &p->digest, DIGEST_MS);
}

static void digest_soon(struct part *p)
{
    p->digest_soon = true;
    if (!p->digest_out)
        timer_start(p->loop, &p->digest, 15);
}

/* ---- machines and their runs ---- */

static struct job *live_job(struct part *p, job_id id)
{
    struct job *j = view_job(p->view, id.s);
    return j && j->known && j->state == JOB_LIVE && j->spec ? j : NULL;
}

static void run_unbook(struct host *h, struct run *r)
{
    if (r->phase == RUN_GONE)
        return;
    room_sub(&h->booked, r->room);
    if (r->service)
        room_sub(&h->pinned, r->room);
}

static void run_remove(struct host *h, guint at)
{
    run_unbook(h, h->runs->pdata[at]);
    g_ptr_array_remove_index_fast(h->runs, at);
}

static struct run *run_add(struct host *h, job_id job, uint32_t index, attempt_no attempt,
                           const struct spec *s)
{
    struct run *r = g_new0(struct run, 1);
    r->job = job;
    r->index = index;
    r->attempt = attempt;
    if (s) {
        r->room = room_of_spec(s);
        r->service = s->form == FORM_SERVICE;
    }
    room_add(&h->booked, r->room);
    if (r->service)
        room_add(&h->pinned, r->room);
    g_ptr_array_add(h->runs, r);
    return r;
}

static struct run *run_find(struct host *h, job_id job, uint32_t index, attempt_no attempt)
{
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->attempt.v == attempt.v && r->index == index && job_eq(r->job, job))
            return r;
    }
    return NULL;
}

static struct host *host_get(struct part *p, const char *id)
{
    return g_hash_table_lookup(p->hosts, id);
}

static struct host *host_make(struct part *p, host_id id)
{
    struct host *h = g_new0(struct host, 1);
    h->id = id;
    h->runs = g_ptr_array_new_with_free_func(g_free);
    h->images = g_ptr_array_new_with_free_func(g_free);
    h->strays = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    h->owned_since = p->epoch;
    h->owned_at = h->heard = loop_now(p->loop);
    g_hash_table_insert(p->hosts, h->id.s, h);
    return h;
}

static void host_typed(struct part *p, struct host *h)
{
    const struct machine_type *t = type_named(p->view->types, h->build);
    if (t)
        h->total = room_of_type(t);
}

static void host_image(struct host *h, const char *image)
{
    for (guint i = 0; i < h->images->len; i++)
        if (strcmp(h->images->pdata[i], image) == 0) {
            g_ptr_array_add(h->images, g_ptr_array_steal_index(h->images, i));
            return;
        }
    g_ptr_array_add(h->images, g_strdup(image));
    if (h->images->len > IMAGES_KEPT)
        g_ptr_array_remove_index(h->images, 0);
}

static bool host_has_image(const struct host *h, const char *image)
{
    for (guint i = 0; i < h->images->len; i++)
        if (strcmp(h->images->pdata[i], image) == 0)
            return true;
    return false;
}

static bool host_has_run(const struct host *h)
{
    for (guint i = 0; i < h->runs->len; i++)
        if (((struct run *)h->runs->pdata[i])->phase != RUN_GONE)
            return true;
    return false;
}

static void run_stop(struct run *r, double wind_down_s)
{
    if (!r->stop) {
        r->stop = true;
        r->wind_down_s = wind_down_s;
        r->halt_at = (mono_time){0};
    }
}

/* Takes a run for what its job has become. */
static void run_heed_job(struct part *p, struct run *r)
{
    struct job *j = view_job(p->view, r->job.s);
    if (j && j->known && j->state != JOB_LIVE)
        run_stop(r, 0);
}

/* Makes what we hold of a machine agree with its record, which is the truth. Only called when the
 * view is not older than our own last write of it. */
static void host_sync(struct part *p, struct host *h)
{
    struct host_record *rec = view_host(p->view, h->id.s);
    if (rec && !h->addr[0]) {
        g_strlcpy(h->addr, rec->addr, sizeof h->addr);
        g_strlcpy(h->build, rec->build, sizeof h->build);
        g_strlcpy(h->yard, rec->yard, sizeof h->yard);
        h->loaners = rec->loaners;
        host_typed(p, h);
        for (int i = 0; rec->images && rec->images[i]; i++)
            host_image(h, rec->images[i]);
    }
    h->stamp = rec ? rec->stamp : (revision){0};
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *t = rec->tasks->pdata[i];
        struct run *r = run_find(h, t->job->id, t->index, t->attempt);
        if (!r) {
            r = run_add(h, t->job->id, t->index, t->attempt, t->job->spec);
            /* Whoever recorded it may have sent it with any token below ours. */
            r->sent_helm.v = h->owned_since.v - 1;
            r->placed_at = loop_now(p->loop);
        }
        if (r->phase == RUN_NEW)
            r->phase = RUN_RECORDED;
        run_heed_job(p, r);
    }
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        struct job *j = view_job(p->view, r->job.s);
        struct placed *t = j ? job_placed(j, r->index) : NULL;
        bool on_record = t && t->attempt.v == r->attempt.v && host_eq(t->host->id, h->id);
        if (!on_record && (r->phase == RUN_RECORDED || r->phase == RUN_FREEING)) {
            run_unbook(h, r);
            r->phase = RUN_GONE;
        }
    }
}

/* ---- proofs ---- */

static void run_over(struct part *p, struct host *h, struct run *r, bool done)
{
    if (r->phase != RUN_RECORDED)
        return;
    r->phase = RUN_FREEING;
    r->done = done;
    h->dirty = true;
    double busy = (double)time_ms_since(loop_now(p->loop), r->placed_at) / 1000;
    if (r->pool > 0)
        arq_busy_add(&p->busy[r->pool], busy);
    flush_soon(p);
}

static void fault(struct part *p, struct host *h, struct run *r, enum cause why)
{
    if (p->faults->len >= 200)
        return;
    cJSON *f = cJSON_CreateObject();
    cJSON_AddStringToObject(f, "h", h->id.s);
    cJSON_AddStringToObject(f, "j", r->job.s);
    cJSON_AddNumberToObject(f, "c", why);
    g_ptr_array_add(p->faults, f);
    digest_soon(p);
}

/* The lease surely ran out: nobody can have renewed it after the moments below. */
static bool lease_surely_over(struct part *p, struct host *h)
{
    const struct settings *s = p->settings;
    mono_time now = loop_now(p->loop);
    /* Until its worker shows a token that only we give, an earlier owner that is cut off may still
     * answer it, as long as keeping_bound_ms() lets it. */
    if (h->helm < h->owned_since.v)
        return time_ms_since(now, h->owned_at) > (int64_t)(s->cancel_s * 1002) + 1000;
    mono_time last = time_before(h->answered, h->helm_seen) ? h->helm_seen : h->answered;
    return time_ms_since(now, last) > (int64_t)(s->lease_s * 1002) + 500;
}

static void free_all_runs(struct part *p, struct host *h, const char *why)
{
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_RECORDED) {
            LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", r->job.s, r->index, h->id.s,
                     why);
            run_over(p, h, r, false);
        }
    }
}

/* How long a task took beside its estimate, for its machine and for all. */
static void learn_pace(struct part *p, struct host *h, struct run *r)
{
    struct job *j = view_job(p->view, r->job.s);
    if (!j || !j->spec || j->spec->expected_s < 1 || !r->running_at.us)
        return;
    double took = (double)time_ms_since(loop_now(p->loop), r->running_at) / 1000;
    double pace = took / j->spec->expected_s;
    h->pace = h->paced++ ? h->pace + (pace - h->pace) * 0.3 : pace;
    p->pace = p->pace > 0 ? p->pace + (pace - p->pace) * 0.03 : pace;
}

static bool host_slow(struct part *p, const struct host *h)
{
    return h->paced >= SLOW_AFTER && h->pace > SLOW_PACE * p->pace;
}

/* The cloud takes the machine back. What can save its work, or be replaced before it is missed, is
 * stopped now; so is what could not end in time. */
static void leave_in_time(struct part *p, struct host *h, double left_s)
{
    mono_time now = loop_now(p->loop);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        struct job *j = live_job(p, r->job);
        if (!j || r->phase != RUN_RECORDED || j->spec->form == FORM_GANG)
            continue;
        const struct spec *s = j->spec;
        double ran = r->running_at.us ? (double)time_ms_since(now, r->running_at) / 1000 : 0;
        if (s->form == FORM_SERVICE || s->mark_every_s > 0 || ran + left_s < s->expected_s * 0.8)
            run_stop(r, s->mark_every_s > 0 ? MIN(s->stow_s, MAX(left_s, 0)) : 0);
    }
}

static void run_reported(struct part *p, struct host *h, struct run *r, const struct report_task *t)
{
    bool first = !r->seen || r->state != t->state;
    if (t->state == TASK_RUNNING && !r->running_at.us)
        r->running_at = loop_now(p->loop);
    r->seen = true;
    r->state = t->state;
    if (t->state == TASK_RUNNING || (t->state == TASK_EXITED && t->cause == CAUSE_DONE)) {
        struct job *j = view_job(p->view, r->job.s);
        if (first && j && j->spec)
            host_image(h, j->spec->image);
    }
    if (t->state != TASK_EXITED || r->phase != RUN_RECORDED)
        return;
    if (t->cause != CAUSE_DONE && t->cause != CAUSE_HALTED)
        LOG_INFO("task_exited", "job=%s task=%u machine=%s cause=%d", r->job.s, r->index, h->id.s,
                 t->cause);
    if (t->cause != CAUSE_DONE && t->cause != CAUSE_HALTED && t->cause != CAUSE_PEERS)
        fault(p, h, r, t->cause);
    if (t->cause == CAUSE_DONE)
        learn_pace(p, h, r);
    run_over(p, h, r, t->cause == CAUSE_DONE);
}

static void run_missing(struct part *p, struct host *h, struct run *r, const struct report *rep)
{
    bool was_seen = r->seen;
    r->seen = false;
    if (r->phase == RUN_GONE)
        return;
    if (r->phase != RUN_RECORDED)
        return;
    if (r->sent_shift && rep->shift > r->sent_shift) {
        LOG_INFO("task_lost", "job=%s task=%u machine=%s why=session", r->job.s, r->index, h->id.s);
        run_over(p, h, r, false);
        return;
    }
    /* Never sent by us, or sent with a lower token than the worker has seen since: no copy of the
     * command can start it any more. */
    bool proven = rep->helm > r->sent_helm.v;
    if (r->stop || was_seen) {
        if (proven)
            run_over(p, h, r, false);
        else if (r->stop && time_ms_since(loop_now(p->loop), r->sent_at) > 1000)
            p->want_raise = true;
    }
}

/* Takes in a report, or a worker's answer to a direct command. */
static void host_reported(struct part *p, struct host *h, const struct report *rep)
{
    mono_time now = loop_now(p->loop);
    bool news = !h->known || h->probe_fails;
    h->known = true;
    h->heard = now;
    h->probe_fails = 0;
    h->shift = rep->shift;
    h->tally = rep->tally;
    if (h->helm < h->owned_since.v && rep->helm >= h->owned_since.v)
        h->helm_seen = now;
    h->helm = rep->helm;
    if ((rep->recall_s >= 0) != h->recalled) {
        h->recalled = rep->recall_s >= 0;
        news = true;
        if (h->recalled)
            LOG_INFO("machine_recalled", "machine=%s in_s=%.1f", h->id.s, rep->recall_s);
        if (h->recalled)
            leave_in_time(p, h, rep->recall_s);
    }
    g_array_set_size(h->strays, 0);
    GArray *missing = g_array_new(FALSE, TRUE, 1);
    for (guint k = 0; k < h->runs->len; k++)
        g_array_append_val(missing, (guint8){1});
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *t = &g_array_index(rep->tasks, struct report_task, i);
        struct run *r = NULL;
        for (guint k = 0; k < h->runs->len && !r; k++) {
            struct run *x = h->runs->pdata[k];
            if (x->attempt.v == t->attempt.v && x->index == t->index && job_eq(x->job, t->job)) {
                r = x;
                missing->data[k] = 0;
            }
        }
        if (r)
            run_reported(p, h, r, t);
        else
            g_array_append_val(h->strays, *t);
    }
    for (guint k = missing->len; k-- > 0;) {
        struct run *r = h->runs->pdata[k];
        if (!missing->data[k])
            continue;
        run_missing(p, h, r, rep);
        if (r->phase == RUN_GONE)
            run_remove(h, k);
    }
    g_array_unref(missing);
    if (news)
        digest_soon(p);
    place_all(p);
}

/* ---- orders ---- */

/* clear makes the worker forget the attempt, after which a copy of its run command that is still on
 * its way would start the task once more. So it is only sent when there can be none. */
static bool may_clear(struct host *h, const struct run *r)
{
    /* Commands of earlier owners are not counted in unsettled: their tokens were lower than ours.
     */
    return (r->unsettled == 0 && h->helm >= h->owned_since.v) || h->helm > r->sent_helm.v;
}

static void order_for_run(struct part *p, struct host *h, struct run *r, bool direct, GArray *out)
{
    mono_time now = loop_now(p->loop);
    struct order o = {.job = r->job, .index = r->index, .attempt = r->attempt};
    if (r->phase == RUN_GONE && !direct && r->seen && r->state == TASK_EXITED && may_clear(h, r)) {
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
    if (!r->sent_shift)
        r->sent_shift = h->shift;
    if (direct)
        r->unsettled++;
    g_array_append_val(out, o);
}

static GArray *host_orders(struct part *p, struct host *h, bool direct)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct order));
    if (!membership_valid(p->members))
        return out;
    for (guint i = 0; i < h->runs->len && out->len < 300; i++)
        order_for_run(p, h, h->runs->pdata[i], direct, out);
    if (direct)
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
    uint64_t generation;
    GArray *orders;
};

static bool newer(const struct host *h, const struct report *r)
{
    return r->shift > h->shift || (r->shift == h->shift && r->tally > h->tally);
}

static bool answer_report(struct part *p, struct host *h, const struct net_answer *a)
{
    if (a->status != 200 && a->status != 409)
        return false;
    struct report rep;
    json_object *o = json_read(a->body, a->len);
    bool ok = codec_report_read(o, &rep);
    json_object_put(o);
    if (!ok)
        return false;
    if (host_eq(rep.host, h->id) && newer(h, &rep))
        host_reported(p, h, &rep);
    report_clear(&rep);
    return true;
}

static void push_answered(void *arg, const struct net_answer *a)
{
    struct pushed *c = arg;
    struct part *p = c->part;
    struct host *h = host_get(p, c->host.s);
    if (h) {
        h->push_out = false;
        bool settled = a->status > 0 || a->status == NET_NOT_SENT;
        for (guint i = 0; i < c->orders->len; i++) {
            struct order *o = &g_array_index(c->orders, struct order, i);
            struct run *r = run_find(h, o->job, o->index, o->attempt);
            if (r && o->verb == ORDER_RUN && settled) {
                r->unsettled--;
                if (a->status != 200)
                    r->sent_at = (mono_time){0};
            }
        }
        answer_report(p, h, a);
        if (h->push_wanted) {
            h->push_wanted = false;
            push(p, h);
        }
    }
    g_array_unref(c->orders);
    g_free(c);
}

/* Sends straight to the worker what it should do now. */
static void push(struct part *p, struct host *h)
{
    if (h->push_out) {
        h->push_wanted = true;
        return;
    }
    if (!h->known || h->gone)
        return;
    GArray *orders = host_orders(p, h, true);
    if (orders->len == 0) {
        g_array_unref(orders);
        return;
    }
    struct pushed *c = g_new(struct pushed, 1);
    *c = (struct pushed){p, h->id, p->generation, orders};
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
    struct host *h = host_get(p, c->host.s);
    if (h) {
        h->probe_out = false;
        if (!answer_report(p, h, a))
            h->probe_fails++;
        else
            push(p, h);
        if (h->probe_fails == 2)
            digest_soon(p);
    }
    g_free(c);
}

static void probe(struct part *p, struct host *h)
{
    mono_time now = loop_now(p->loop);
    if (h->probe_out || !h->addr[0] ||
        (h->probed.us && time_ms_since(now, h->probed) < PROBE_EVERY_MS))
        return;
    struct pushed *c = g_new0(struct pushed, 1);
    c->part = p;
    c->host = h->id;
    h->probe_out = true;
    h->probed = now;
    struct net_request q = {h->addr, "GET", "/status", NULL, 0, PROBE_TIMEOUT_MS};
    p->net->request(p->net, &q, probe_answered, c);
}

/* ---- reports ---- */

static void reply_text(struct http_replier *replier, conn_ref to, int status, char *text)
{
    replier->reply(replier, to, status, NULL, text, strlen(text));
    g_free(text);
}

/* How long a node that hears nothing from the state service may go on renewing workers' leases: a
 * job may have been cancelled meanwhile, and its tasks must be gone within cancel_s. */
static int64_t keeping_bound_ms(const struct settings *s)
{
    return (int64_t)((s->cancel_s - s->lease_s) * 995) - 2000;
}

static bool may_keep_leases(struct part *p)
{
    mono_time known = p->view->fresh, quiet = peers_quiet_until(p->peers);
    if (time_before(known, quiet))
        known = quiet;
    return time_ms_since(loop_now(p->loop), known) < keeping_bound_ms(p->settings);
}

/* Where a worker was sent that reported to the wrong node. */
struct redirect {
    char owner[64];
    mono_time at;
};

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
static void redirect(struct part *p, struct http_replier *replier, conn_ref from, const char *host,
                     const char *owner, const struct http_request *q)
{
    mono_time now = loop_now(p->loop);
    struct redirect *r = g_hash_table_lookup(p->redirects, host);
    if (r && strcmp(r->owner, owner) == 0 && time_ms_since(now, r->at) < REDIRECT_MS && q) {
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
    struct host *h = host_get(p, rep->host.s);
    if (!h) {
        h = host_make(p, rep->host);
        host_sync(p, h);
        LOG_INFO("machine_up", "machine=%s type=%s zone=%s spot=%d", h->id.s, rep->build, rep->yard,
                 rep->loaners);
    }
    g_strlcpy(h->addr, rep->addr, sizeof h->addr);
    g_strlcpy(h->build, rep->build, sizeof h->build);
    g_strlcpy(h->yard, rep->yard, sizeof h->yard);
    h->loaners = rep->loaners;
    host_typed(p, h);
    return h;
}

static void report_owned(struct part *p, struct http_replier *replier, conn_ref from,
                         const struct report *rep)
{
    struct host *h = host_of_report(p, rep);
    if (h->gone || (h->known && !newer(h, rep))) {
        /* Held back on its way: whoever sent it has long given up. */
        reply_text(replier, from, 503, g_strdup("{}"));
        return;
    }
    host_reported(p, h, rep);
    h->answered = loop_now(p->loop);
    GArray *orders = host_orders(p, h, false);
    reply_text(replier, from, 200,
               codec_orders_write(p->epoch, 0, (struct order *)orders->data, orders->len));
    g_array_unref(orders);
}

void part_report(struct part *p, struct http_replier *replier, conn_ref from,
                 const struct http_request *q, bool relayed)
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
        redirect(p, replier, from, rep.host.s, owner, relayed ? NULL : q);
    else
        report_owned(p, replier, from, &rep);
    report_clear(&rep);
}

/* ---- run records ---- */

static void flush_soon(struct part *p)
{
    if (!p->txn_out && !p->flush.place)
        timer_start(p->loop, &p->flush, FLUSH_MS);
}

static json_object *record_value(struct host *h)
{
    json_object *o = json_object_new_object(), *jobs = json_object_new_object();
    json_put_text(o, "a", h->addr);
    json_put_text(o, "b", h->build);
    json_put_text(o, "y", h->yard);
    json_object_object_add(o, "l", json_object_new_boolean(h->loaners));
    json_object *images = json_object_new_array();
    for (guint i = 0; i < h->images->len; i++)
        json_object_array_add(images, json_object_new_string(h->images->pdata[i]));
    json_object_object_add(o, "i", images);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_NEW && r->phase != RUN_RECORDED)
            continue;
        json_object *list = NULL;
        if (!json_object_object_get_ex(jobs, r->job.s, &list)) {
            list = json_object_new_array();
            json_object_object_add(jobs, r->job.s, list);
        }
        json_object_array_add(list, json_object_new_uint64(r->index));
        json_object_array_add(list, json_object_new_uint64(r->attempt.v));
    }
    json_object_object_add(o, "t", jobs);
    return o;
}

/* Room for one more task in the record's value. */
static bool record_has_room(struct part *p, struct host *h)
{
    size_t size = 200 + h->images->len * 30, n = 0;
    for (guint i = 0; i < h->runs->len; i++)
        n += ((struct run *)h->runs->pdata[i])->phase != RUN_GONE;
    return size + n * 40 + 100 < store_limits(p->store)->value_bytes;
}

static void mark_done(struct part *p, GHashTable *marks, struct run *r)
{
    struct job *j = live_job(p, r->job);
    if (!j)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t chunk = r->index / DONE_CHUNK, bit = r->index % DONE_CHUNK;
    char *key = key_done(r->job, chunk, p->settings->label);
    GByteArray *bits = g_hash_table_lookup(p->marks, key);
    if (!bits) {
        bits = g_byte_array_new();
        g_hash_table_insert(p->marks, g_strdup(key), bits);
    }
    /* Everything known to be done goes in, so that what an earlier process of this label wrote
     * under the same key is not lost. */
    size_t base = (size_t)chunk * DONE_CHUNK / 8, total = (j->tasks + 7) / 8;
    size_t size = MIN((size_t)DONE_CHUNK / 8, total - base), old = bits->len;
    if (old < size) {
        g_byte_array_set_size(bits, size);
        memset(bits->data + old, 0, size - old);
    }
    for (size_t i = 0; j->done && i < size; i++)
        bits->data[i] |= j->done[base + i];
    bits->data[bit / 8] |= (uint8_t)(1 << (bit % 8));
    g_hash_table_add(marks, key);
}

static json_object *mark_value(const GByteArray *bits)
{
    GString *s = g_string_new(NULL);
    guint n = bits->len;
    while (n && !bits->data[n - 1])
        n--;
    for (guint i = 0; i < n; i++)
        g_string_append_printf(s, "%02x", bits->data[i]);
    json_object *o = json_object_new_object();
    json_put_text(o, "d", s->str);
    g_string_free(s, TRUE);
    return o;
}

struct batch {
    struct part *part;
    uint64_t generation;
    GPtrArray *hosts; /* char *: ids */
};

static void batch_free(struct batch *b)
{
    g_ptr_array_unref(b->hosts);
    g_free(b);
}

/* Runs of jobs that were cancelled before their record was written: nothing was started. */
static void drop_dead_news(struct part *p, struct host *h)
{
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_NEW && !live_job(p, r->job))
            run_remove(h, i);
        else
            i++;
    }
}

/* Puts a machine's changes into the transaction; false when they no longer fit. */
static bool batch_host(struct part *p, struct txn *t, struct host *h, GHashTable *jobs,
                       GHashTable *marks)
{
    const struct store_limits *l = store_limits(p->store);
    drop_dead_news(p, h);
    guint new_jobs = 0, new_marks = 0;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_GONE && g_hash_table_add(seen, r->job.s)) {
            new_jobs += !g_hash_table_contains(jobs, r->job.s);
            new_marks++;
        }
    }
    g_hash_table_unref(seen);
    guint writes = txn_writes(t) + g_hash_table_size(marks) + new_marks + 1;
    if (txn_writes(t) &&
        (writes > (guint)l->txn_ops || txn_conditions(t) + new_jobs + 1 > 4 * (guint)l->txn_ops ||
         txn_bytes(t) + l->value_bytes > 48 * 1024))
        return false;
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        r->in_txn = r->phase == RUN_NEW || r->phase == RUN_FREEING;
        if (r->phase == RUN_NEW && !g_hash_table_contains(jobs, r->job.s)) {
            struct job *j = live_job(p, r->job);
            char *key = key_job(r->job);
            txn_when(t, key, j->stamp);
            g_free(key);
            g_hash_table_add(jobs, r->job.s);
        }
        if (r->phase == RUN_FREEING && r->done)
            mark_done(p, marks, r);
    }
    char *key = key_host(h->id);
    txn_when(t, key, h->stamp);
    h->removing = h->gone;
    if (h->gone)
        txn_remove(t, key);
    else
        txn_set(t, key, record_value(h), (lease_id){0});
    g_free(key);
    h->dirty = false;
    h->in_txn = true;
    return true;
}

static void batch_settled(struct part *p, struct host *h, const struct txn_outcome *o)
{
    h->stamp = h->removing ? (revision){0} : o->at;
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        bool in = r->in_txn;
        r->in_txn = false;
        if (in && r->phase == RUN_NEW) {
            r->phase = RUN_RECORDED;
            run_heed_job(p, r);
        } else if (in && r->phase == RUN_FREEING) {
            run_unbook(h, r);
            r->phase = RUN_GONE;
            if (!r->seen) {
                g_ptr_array_remove_index_fast(h->runs, i);
                continue;
            }
        }
        i++;
    }
    if (h->removing) {
        g_hash_table_remove(p->hosts, h->id.s);
    } else if (h->gone) {
        /* It went while this was being written; what was just recorded went with it. */
        free_all_runs(p, h, "returned");
        h->dirty = true;
    } else {
        push(p, h);
    }
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void batch_resync(void *arg, bool ok)
{
    struct batch *b = arg;
    struct part *p = b->part;
    if (b->generation == p->generation) {
        for (guint i = 0; i < b->hosts->len; i++) {
            struct host *h = host_get(p, b->hosts->pdata[i]);
            if (!h)
                continue;
            h->in_txn = false;
            h->dirty = true;
            for (guint k = 0; k < h->runs->len; k++)
                ((struct run *)h->runs->pdata[k])->in_txn = false;
            struct host_record *rec = view_host(p->view, h->id.s);
            if (ok && (rec ? rec->stamp.v : 0) >= h->stamp.v)
                host_sync(p, h);
            push(p, h);
        }
        p->txn_out = false;
        timer_start(p->loop, &p->flush, ok ? FLUSH_MS : RETRY_MS);
    } else {
        p->txn_out = false;
        flush_soon(p);
    }
    batch_free(b);
}

static void batch_answered(void *arg, const struct txn_outcome *o)
{
    struct batch *b = arg;
    struct part *p = b->part;
    if (b->generation != p->generation) {
        /* The map has changed meanwhile: the records were taken from the view then. */
        batch_resync(b, true);
        return;
    }
    switch (o->result) {
    case TXN_DONE:
        p->txn_out = false;
        for (guint i = 0; i < b->hosts->len; i++) {
            struct host *h = host_get(p, b->hosts->pdata[i]);
            if (!h)
                continue;
            h->in_txn = false;
            batch_settled(p, h, o);
        }
        batch_free(b);
        place_all(p);
        flush_soon(p);
        return;
    case TXN_CONFLICT:
        LOG_DEBUG("record_conflict", "hosts=%u first=%s", b->hosts->len,
                  o->failed->len ? (char *)o->failed->pdata[0] : "");
        view_await(p->view, o->at, batch_resync, b);
        return;
    case TXN_UNKNOWN:
        LOG_INFO("record_unknown", "hosts=%u", b->hosts->len);
        view_barrier(p->view, batch_resync, b);
        return;
    default:
        batch_resync(b, false);
    }
}

static void flush(void *arg)
{
    struct part *p = arg;
    if (p->txn_out || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v ||
        !map_names(p->view, p->settings->label, membership_incarnation(p->members)))
        return;
    struct txn *t = txn_new();
    char *self = key_node(p->settings->label);
    txn_when(t, self, membership_stamp(p->members));
    txn_when(t, KEY_MAP, p->view->map_stamp);
    g_free(self);
    GHashTable *jobs = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct batch *b = g_new(struct batch, 1);
    *b = (struct batch){p, p->generation, g_ptr_array_new_with_free_func(g_free)};
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!h->dirty)
            continue;
        if (!batch_host(p, t, h, jobs, marks))
            break;
        g_ptr_array_add(b->hosts, g_strdup(h->id.s));
    }
    char *key;
    g_hash_table_iter_init(&it, marks);
    while (g_hash_table_iter_next(&it, (gpointer *)&key, NULL))
        txn_set(t, key, mark_value(g_hash_table_lookup(p->marks, key)), (lease_id){0});
    g_hash_table_unref(jobs);
    g_hash_table_unref(marks);
    if (b->hosts->len == 0) {
        batch_free(b);
        txn_free(t);
        return;
    }
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, t, batch_answered, b);
}

/* ---- queues and placement ---- */

static bool host_open(struct part *p, struct host *h)
{
    return h->known && !h->gone && !h->recalled && h->probe_fails == 0 && h->total.cpus.milli > 0 &&
           time_ms_since(loop_now(p->loop), h->heard) <
               (int64_t)(p->settings->report_s * 1250) + 1500 &&
           !host_slow(p, h);
}

static double host_booked(const struct host *h)
{
    return room_share(h->booked, h->total);
}

static bool host_suits(struct part *p, struct host *h, const struct dealt *d, const struct spec *s)
{
    if (d->at[0] && strcmp(d->at, h->id.s) != 0)
        return false;
    if (d->yard[0] && strcmp(d->yard, h->yard) != 0)
        return false;
    if (!spec_allows(s, h->build, h->yard, h->loaners) || !host_open(p, h) ||
        !room_holds(room_left(h->total, h->booked), room_of_spec(s)) || !record_has_room(p, h))
        return false;
    /* An attempt that its worker still shows would have the new one refused. */
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->index == d->index && job_eq(r->job, d->job))
            return false;
    }
    for (guint i = 0; i < h->strays->len; i++) {
        struct report_task *t = &g_array_index(h->strays, struct report_task, i);
        if (t->index == d->index && job_eq(t->job, d->job))
            return false;
    }
    return true;
}

/* The best of the machines that suit, in the pools from low to high. */
static struct host *choose(struct part *p, const struct dealt *d, const struct spec *s, int low,
                           int high, bool image)
{
    struct host *best = NULL, *h;
    double best_score = 0;
    GHashTableIter it;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!host_suits(p, h, d, s))
            continue;
        double booked = host_booked(h);
        int pool = arq_pool(booked);
        if (pool < low || pool > high || (image && !host_has_image(h, s->image)))
            continue;
        struct score_facts facts = {host_has_image(h, s->image), h->loaners, booked,
                                    room_share(h->pinned, h->total), 1};
        double score = score_host(s, &facts);
        if (!best || score > best_score ||
            (score == best_score && strcmp(h->id.s, best->id.s) < 0)) {
            best = h;
            best_score = score;
        }
    }
    return best;
}

static double pool_chance(struct part *p, int pool, double t, double run_s)
{
    GArray *ages = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct host *h;
    mono_time now = loop_now(p->loop);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!host_open(p, h) || arq_pool(host_booked(h)) != pool)
            continue;
        double oldest = -1;
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (r->phase != RUN_GONE)
                oldest = MAX(oldest, (double)time_ms_since(now, r->placed_at) / 1000);
        }
        if (oldest >= 0)
            g_array_append_val(ages, oldest);
    }
    double c = arq_free_chance(&p->busy[pool], (double *)ages->data, (int)ages->len, t, run_s);
    g_array_unref(ages);
    return c;
}

/* The switch rule for a task that waits, every SWITCH_MS. */
static enum arq_move consult(struct part *p, struct dealt *d, const struct spec *s, bool rule_time)
{
    mono_time now = loop_now(p->loop);
    double waited = (double)time_ms_since(now, d->since) / 1000;
    double left = arq_patience(s->expected_s, 0) - waited;
    if (left <= 0)
        return ARQ_TAKE;
    if (!rule_time || d->queue >= ARQ_CLASSES)
        return ARQ_STAY;
    double here = (double)time_ms_since(now, d->queue_since) / 1000;
    struct arq_terms terms = {
        .run_s = s->expected_s,
        .wait_own = here,
        .wait_next = waited - here,
        .quality_own = d->queue,
        .quality_next = d->queue + 1,
        .chance_own = pool_chance(p, d->queue, left, s->expected_s),
        .chance_next = pool_chance(p, d->queue + 1, left, s->expected_s),
    };
    return arq_switch(&terms);
}

/* The order that docs/design.md gives: the own pool; one class up while nobody waits there; then
 * the busiest machine that fits, at once unless it belongs to an emptier pool. */
static struct host *place_among(struct part *p, const struct dealt *d, const struct spec *s,
                                bool at_once, bool image)
{
    if (!at_once) {
        struct host *h = choose(p, d, s, d->queue, d->queue, image);
        if (!h && d->queue < ARQ_CLASSES && g_queue_is_empty(&p->queues[d->queue + 1]))
            h = choose(p, d, s, d->queue + 1, d->queue + 1, image);
        if (h)
            return h;
    }
    return choose(p, d, s, 1, at_once ? ARQ_CLASSES : d->queue, image);
}

static struct host *place(struct part *p, const struct dealt *d, const struct spec *s,
                          enum arq_move move)
{
    bool at_once = s->form == FORM_SERVICE || d->at[0] || move == ARQ_TAKE;
    /* Who is in a hurry goes where the image is, whatever the pool: a fetch takes longer than most
     * waits that the switch rule weighs. */
    struct host *h = NULL;
    if (s->urgency <= URGENCY_HIGH && !d->at[0])
        h = place_among(p, d, s, true, true);
    return h ? h : place_among(p, d, s, at_once, false);
}

static void take_host(struct part *p, struct dealt *d, struct host *h, const struct spec *s)
{
    int pool = arq_pool(host_booked(h));
    struct run *r = run_add(h, d->job, d->index, d->attempt, s);
    r->phase = RUN_NEW;
    r->placed_at = loop_now(p->loop);
    r->pool = pool;
    h->dirty = true;
    LOG_DEBUG("placed", "job=%s task=%u machine=%s class=%d pool=%d image=%d", d->job.s, d->index,
              h->id.s, d->class, pool, host_has_image(h, s->image));
    flush_soon(p);
}

static void give_back(struct part *p, struct dealt *d)
{
    g_array_append_val(p->back, *d);
    digest_soon(p);
}

/* Returns true when the task has left its queue. */
static bool settle_dealt(struct part *p, struct dealt *d, bool rule_time)
{
    struct job *j = live_job(p, d->job);
    mono_time now = loop_now(p->loop);
    if (!j) {
        struct job *any = view_job(p->view, d->job.s);
        if (any && any->known) /* over */
            return true;
        if (time_ms_since(now, d->since) < GIVE_BACK_MS)
            return false;
        give_back(p, d);
        return true;
    }
    const struct spec *s = j->spec;
    if (d->class == 0) {
        const struct machine_type *t = type_smallest(p->view->types, s);
        d->class = t ? arq_class(room_share(room_of_spec(s), room_of_type(t))) : ARQ_CLASSES;
        d->queue = d->class;
        g_queue_push_tail(&p->queues[d->queue], g_memdup2(d, sizeof *d));
        return true;
    }
    enum arq_move move = consult(p, d, s, rule_time);
    struct host *h = place(p, d, s, move);
    if (h) {
        take_host(p, d, h, s);
        return true;
    }
    if (move == ARQ_SWITCH) {
        d->queue++;
        d->queue_since = now;
        g_queue_push_tail(&p->queues[d->queue], g_memdup2(d, sizeof *d));
        return true;
    }
    bool hopeless = !choose(p, d, s, 1, ARQ_CLASSES, false);
    if (hopeless && (time_ms_since(now, d->since) > GIVE_BACK_MS || d->at[0])) {
        give_back(p, d);
        return true;
    }
    return false;
}

static void place_all(struct part *p)
{
    if (!membership_valid(p->members))
        return;
    mono_time now = loop_now(p->loop);
    bool rule_time = time_ms_since(now, p->last_switch) >= SWITCH_MS;
    if (rule_time)
        p->last_switch = now;
    for (int q = 0; q <= ARQ_CLASSES; q++) {
        guint n = p->queues[q].length;
        for (guint i = 0; i < n; i++) {
            struct dealt *d = g_queue_pop_head(&p->queues[q]);
            if (settle_dealt(p, d, rule_time))
                g_free(d);
            else
                g_queue_push_tail(&p->queues[q], d);
        }
    }
}

/* ---- the leader ---- */

static void deal_one(struct part *p, const cJSON *x)
{
    const char *job = bus_text(x, "j"), *yard = bus_text(x, "y"), *at = bus_text(x, "h");
    const cJSON *index = cJSON_GetObjectItemCaseSensitive(x, "i");
    struct dealt d = {0};
    if (!job || !job_id_from(&d.job, job) || !cJSON_IsNumber(index) ||
        !bus_u64(x, "a", &d.attempt.v)) {
        LOG_ERROR("deal_malformed", "job=%s", job ? job : "");
        return;
    }
    d.index = (uint32_t)index->valuedouble;
    g_strlcpy(d.yard, yard ? yard : "", sizeof d.yard);
    g_strlcpy(d.at, at ? at : "", sizeof d.at);
    d.since = d.queue_since = loop_now(p->loop);
    g_queue_push_tail(&p->queues[0], g_memdup2(&d, sizeof d));
}

static void halt_one(struct part *p, const cJSON *x)
{
    const char *host = bus_text(x, "h"), *job = bus_text(x, "j");
    const cJSON *index = cJSON_GetObjectItemCaseSensitive(x, "i");
    const cJSON *grace = cJSON_GetObjectItemCaseSensitive(x, "g");
    attempt_no attempt;
    job_id id;
    struct host *h = host ? host_get(p, host) : NULL;
    if (!h || !job || !job_id_from(&id, job) || !cJSON_IsNumber(index) ||
        !bus_u64(x, "a", &attempt.v))
        return;
    struct run *r = run_find(h, id, (uint32_t)index->valuedouble, attempt);
    if (r) {
        run_stop(r, cJSON_IsNumber(grace) ? grace->valuedouble : 0);
        push(p, h);
    }
}

static void host_is_gone(struct part *p, const char *id)
{
    struct host *h = host_get(p, id);
    if (!h || h->gone)
        return;
    LOG_INFO("machine_gone", "machine=%s", id);
    h->gone = true;
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_NEW && !r->in_txn)
            run_remove(h, i);
        else
            i++;
    }
    free_all_runs(p, h, "returned");
    if (h->stamp.v || h->in_txn) {
        h->dirty = true;
        flush_soon(p);
    } else {
        g_hash_table_remove(p->hosts, id);
    }
}

/* Messages come in an order, counted within an epoch. A copy that was held back must not deal a
 * task once more after it was given back. */
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)answer;
    struct part *p = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(m, "e", &epoch) || !bus_u64(m, "s", &seq))
        return 400;
    if (epoch != p->epoch.v || !membership_valid(p->members) || !p->view->leader ||
        strcmp(p->view->leader, from) != 0)
        return 409;
    if (seq <= p->last_deal)
        return 200;
    p->last_deal = seq;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "gone"))
    {
        if (cJSON_IsString(x))
            host_is_gone(p, x->valuestring);
    }
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "halt")) halt_one(p, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "deal")) deal_one(p, x);
    place_all(p);
    return 200;
}

struct digest_sent {
    struct part *part;
    uint64_t generation;
    guint back, faults;
};

static void digest_answered(void *arg, int status, const cJSON *answer)
{
    (void)answer;
    struct digest_sent *s = arg;
    struct part *p = s->part;
    p->digest_out = false;
    if (status == 200 && s->generation == p->generation) {
        g_array_remove_range(p->back, 0, s->back);
        g_ptr_array_remove_range(p->faults, 0, s->faults);
        p->want_raise = false;
    }
    timer_start(p->loop, &p->digest, p->digest_soon ? 15 : status == 200 ? DIGEST_MS : 250);
    g_free(s);
}

static int host_flags(struct part *p, struct host *h)
{
    int64_t age = time_ms_since(loop_now(p->loop), h->heard);
    int f = 0;
    if (h->known)
        f |= HOST_KNOWN;
    if (h->recalled)
        f |= HOST_RECALLED;
    if (!host_open(p, h))
        f |= HOST_QUIET;
    if (host_slow(p, h))
        f |= HOST_SLOW;
    if (h->probe_fails >= 2 && age > (int64_t)(p->settings->report_s * 2500))
        f |= HOST_LOST;
    if ((f & HOST_LOST) && age > (int64_t)(p->settings->lease_s * 1000) + LAPSED_MS)
        f |= HOST_LAPSED;
    return f;
}

static void digest(void *arg)
{
    struct part *p = arg;
    p->digest_soon = false;
    if (!p->view->leader || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v) {
        timer_start(p->loop, &p->digest, 250);
        return;
    }
    cJSON *m = cJSON_CreateObject(), *hosts = cJSON_AddArrayToObject(m, "hosts");
    bus_put_u64(m, "e", p->epoch.v);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (h->gone)
            continue;
        cJSON *x = cJSON_CreateArray();
        cJSON_AddItemToArray(x, cJSON_CreateString(h->id.s));
        cJSON_AddItemToArray(x, cJSON_CreateString(h->build));
        cJSON_AddItemToArray(x, cJSON_CreateString(h->yard));
        cJSON_AddItemToArray(x, cJSON_CreateBool(h->loaners));
        cJSON_AddItemToArray(x, cJSON_CreateNumber(host_flags(p, h)));
        cJSON_AddItemToArray(hosts, x);
    }
    cJSON *back = cJSON_AddArrayToObject(m, "back");
    for (guint i = 0; i < p->back->len; i++) {
        struct dealt *d = &g_array_index(p->back, struct dealt, i);
        cJSON *x = cJSON_CreateObject();
        cJSON_AddStringToObject(x, "j", d->job.s);
        cJSON_AddNumberToObject(x, "i", d->index);
        bus_put_u64(x, "a", d->attempt.v);
        cJSON_AddItemToArray(back, x);
    }
    cJSON *faults = cJSON_AddArrayToObject(m, "faults");
    for (guint i = 0; i < p->faults->len; i++)
        cJSON_AddItemToArray(faults, cJSON_Duplicate(p->faults->pdata[i], true));
    if (p->want_raise)
        cJSON_AddBoolToObject(m, "raise", true);
    struct digest_sent *s = g_new(struct digest_sent, 1);
    *s = (struct digest_sent){p, p->generation, p->back->len, p->faults->len};
    p->digest_out = true;
    bus_send(p->bus, p->view->leader, "digest", m, 2000, digest_answered, s);
}

/* ---- the view ---- */

static bool owns(struct part *p, const char *host)
{
    const char *owner = map_owner(p->view, host);
    return owner && strcmp(owner, p->settings->label) == 0 &&
           map_names(p->view, p->settings->label, membership_incarnation(p->members));
}

/* A new epoch: what was dealt under the last one and is not on record is void, and machines may
 * have changed hands. Nothing that was written under the last epoch can come after the map. */
static void new_epoch(struct part *p)
{
    /* If the view shows several new epochs at once, a machine may have had another owner in
     * between, whose commands may still be on their way: it is as if it were taken over only now.
     */
    bool skipped = p->view->epoch.v != p->epoch.v + 1;
    p->epoch = p->view->epoch;
    p->generation++;
    p->last_deal = 0;
    p->want_raise = false;
    drop_queues(p);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!owns(p, h->id.s)) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (skipped) {
            h->owned_since = p->epoch;
            h->owned_at = loop_now(p->loop);
        }
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            r->in_txn = false;
            if (skipped)
                r->sent_helm.v = p->epoch.v - 1;
            if (r->phase == RUN_FREEING)
                r->phase = RUN_RECORDED; /* proven again by the next report */
        }
        h->in_txn = false;
        host_sync(p, h);
        for (guint i = 0; i < h->runs->len;) {
            struct run *r = h->runs->pdata[i];
            if (r->phase == RUN_NEW)
                run_remove(h, i);
            else
                i++;
        }
        if (h->gone) {
            h->gone = false;
            host_is_gone(p, h->id.s);
        }
    }
    struct host_record *rec;
    g_hash_table_iter_init(&it, p->view->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rec)) {
        if (!owns(p, rec->id.s) || host_get(p, rec->id.s))
            continue;
        h = host_make(p, rec->id);
        host_sync(p, h);
        probe(p, h); /* its answer shows what runs there */
    }
    digest_soon(p);
}

static void heed_job(struct part *p, job_id id)
{
    struct job *j = view_job(p->view, id.s);
    if (!j || !j->known || j->state == JOB_LIVE)
        return;
    for (uint32_t c = 0; c <= j->tasks / DONE_CHUNK; c++) {
        char *key = key_done(id, c, p->settings->label);
        g_hash_table_remove(p->marks, key);
        g_free(key);
    }
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        bool any = false;
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (job_eq(r->job, id) && r->phase != RUN_GONE) {
                run_stop(r, 0);
                any = true;
            }
        }
        if (any)
            push(p, h);
    }
}

static void part_view(struct part *p, const GArray *changes)
{
    if (p->epoch.v != p->view->epoch.v)
        new_epoch(p);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *c = &g_array_index(changes, struct change, i);
        struct host *h;
        struct host_record *rec;
        switch (c->kind) {
        case CHANGE_JOB:
            heed_job(p, c->job);
            break;
        case CHANGE_HOST:
            /* Somebody wrote the record: it was us, with an answer that got lost. */
            h = host_get(p, c->host.s);
            rec = view_host(p->view, c->host.s);
            if (h && !h->in_txn && rec && rec->stamp.v > h->stamp.v)
                host_sync(p, h);
            break;
        case CHANGE_TYPES: {
            GHashTableIter it;
            g_hash_table_iter_init(&it, p->hosts);
            while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
                host_typed(p, h);
            break;
        }
        default:
            break;
        }
    }
    place_all(p);
    flush_soon(p);
}

static void tick(void *arg)
{
    struct part *p = arg;
    timer_start(p->loop, &p->tick, TICK_MS);
    mono_time now = loop_now(p->loop);
    bool valid = membership_valid(p->members);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        int64_t age = time_ms_since(now, h->heard);
        if (h->gone || !valid)
            continue;
        if (!h->known || age > (int64_t)(p->settings->report_s * 1250) + 1000)
            probe(p, h);
        if (age > (int64_t)(p->settings->lease_s * 1000) && host_has_run(h) &&
            lease_surely_over(p, h))
            free_all_runs(p, h, "lease");
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (r->phase == RUN_RECORDED && !r->sent_at.us && !r->seen && !r->stop) {
                push(p, h);
                break;
            }
        }
    }
    if (p->want_raise)
        digest_soon(p);
    place_all(p);
    flush_soon(p);
}
