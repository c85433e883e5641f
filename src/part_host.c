#include "part_state.h"

#include "images.h"
#include "log.h"

/* How long tasks took may be left out when there is much to tell; what went wrong may not, so soon.
 */
enum { MOST_NEWS = 200, MOST_FAULTS = 5000 };

enum {
    IMAGES_KEPT = 12,
};

struct job *part_live_job(struct part *p, job_id id)
{
    struct job *j = view_job(p->view, id.s);
    return j && j->known && j->state == JOB_LIVE && j->spec ? j : NULL;
}

void part_run_unbook(struct part *p, struct host *h, struct run *r)
{
    if (r->phase == RUN_GONE)
        return;
    room_sub(&h->booked, r->room);
    if (r->service)
        room_sub(&h->pinned, r->room);
    p->room_news = true;
}

void part_run_remove(struct part *p, struct host *h, guint at)
{
    part_run_unbook(p, h, h->runs->pdata[at]);
    g_ptr_array_remove_index_fast(h->runs, at);
}

struct run *part_run_add(struct host *h, job_id job, uint32_t index, attempt_no attempt,
                         const struct spec *s)
{
    struct run *r = g_new0(struct run, 1);
    r->job = job;
    r->index = index;
    r->attempt = attempt;
    r->page = r->put = -1;
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

struct run *part_run_find(struct host *h, job_id job, uint32_t index, attempt_no attempt)
{
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->attempt.v == attempt.v && r->index == index && job_eq(r->job, job))
            return r;
    }
    return NULL;
}

struct host *part_host_get(struct part *p, const char *id)
{
    return g_hash_table_lookup(p->hosts, id);
}

struct host *part_host_make(struct part *p, host_id id)
{
    struct host *h = g_new0(struct host, 1);
    h->id = id;
    h->runs = g_ptr_array_new_with_free_func(g_free);
    h->images = images_new();
    h->told_flags = h->roll = -1;
    h->strays = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    h->owned_since = p->epoch;
    h->owned_at = h->heard = h->reached = loop_now(p->loop);
    g_hash_table_insert(p->hosts, h->id.s, h);
    return h;
}

void part_host_typed(struct part *p, struct host *h)
{
    const struct machine_type *t = type_named(p->view->types, h->build);
    if (t)
        h->total = room_of_type(t);
}

/* image: interned. */
static void host_image(struct host *h, char *image)
{
    for (guint i = 0; i < h->images->len; i++)
        if (h->images->pdata[i] == image) {
            g_ptr_array_add(h->images, g_ptr_array_steal_index(h->images, i));
            return;
        }
    g_ptr_array_add(h->images, g_ref_string_acquire(image));
    h->new_images = true;
    h->told_images = false;
    if (h->images->len > IMAGES_KEPT)
        g_ptr_array_remove_index(h->images, 0);
}

bool part_host_has_run(const struct host *h)
{
    for (guint i = 0; i < h->runs->len; i++)
        if (((struct run *)h->runs->pdata[i])->phase != RUN_GONE)
            return true;
    return false;
}

void part_run_stop(struct run *r, double wind_down_s)
{
    if (!r->stop) {
        r->stop = true;
        r->wind_down_s = wind_down_s;
        r->halt_at = (mono_time){0};
    }
}

/* A cancellation that may hold counts only while this node can do nothing about it but wait: else
 * the view will tell soon, and the task would be stopped and started in turns. */
bool part_job_over(struct part *p, job_id id)
{
    struct job *j = view_job(p->view, id.s);
    if (j && j->known && j->state != JOB_LIVE)
        return true;
    enum cancel_news news = peers_cancelled(p->peers, id);
    return news == CANCEL_SURE || (news == CANCEL_MAY && !membership_valid(p->members));
}

/* Takes a run for what its job has become. */
void part_run_heed_job(struct part *p, struct run *r)
{
    if (!part_job_over(p, r->job))
        return;
    part_run_stop(r, 0);
    r->wind_down_s = 0; /* what it would save is of no use any more */
    if (r->over_since.us)
        return;
    r->over_since = peers_cancelled(p->peers, r->job) ? peers_cancelled_since(p->peers, r->job)
                                                      : p->view->before;
    if (!r->over_since.us)
        r->over_since = loop_now(p->loop);
}

static bool is_own(const struct part *p, const struct page *g)
{
    return strcmp(g->label, p->settings->label) == 0;
}

static void run_at(const struct part *p, struct run *r, const struct page *g)
{
    r->foreign = !is_own(p, g);
    r->page = r->foreign ? -1 : g->number;
}

/* Makes what we hold of a machine agree with its records, which are the truth: all of them, or
 * those on one page of ours. Only called when the view is not older than our own last write of
 * these. Of the others it may be: taken for the truth then, it would free what was recorded just
 * now. */
void part_host_sync(struct part *p, struct host *h, int page)
{
    struct host_record *rec = view_host(p->view, h->id.s);
    if (rec && rec->addr[0] && !h->addr[0]) {
        g_strlcpy(h->addr, rec->addr, sizeof h->addr);
        g_strlcpy(h->build, rec->build, sizeof h->build);
        g_strlcpy(h->yard, rec->yard, sizeof h->yard);
        h->loaners = rec->loaners;
        part_host_typed(p, h);
        for (guint i = 0; i < rec->images->len; i++)
            host_image(h, rec->images->pdata[i]);
        h->new_images = false;
    }
    if (page < 0)
        h->stamp = rec ? rec->stamp : (revision){0};
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *t = rec->tasks->pdata[i];
        if (page >= 0 && (!is_own(p, t->page) || t->page->number != page))
            continue;
        struct run *r = part_run_find(h, t->job->id, t->index, t->attempt);
        if (!r) {
            r = part_run_add(h, t->job->id, t->index, t->attempt, t->job->spec);
            /* Whoever recorded it may have sent it with any token below ours. */
            r->sent_helm.v = h->owned_since.v - 1;
            r->placed_at = loop_now(p->loop);
        }
        run_at(p, r, t->page);
        if (r->phase == RUN_NEW)
            r->phase = RUN_RECORDED;
        part_run_heed_job(p, r);
    }
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (page >= 0 && r->page != page)
            continue;
        struct job *j = view_job(p->view, r->job.s);
        struct placed *t = j ? job_placed(j, r->index) : NULL;
        bool on_record = t && t->attempt.v == r->attempt.v && host_eq(t->host->id, h->id);
        if (!on_record && (r->phase == RUN_RECORDED || r->phase == RUN_FREEING)) {
            part_run_unbook(p, h, r);
            r->phase = RUN_GONE;
        }
        if (on_record) {
            run_at(p, r, t->page);
        } else {
            r->page = -1;
            r->foreign = false;
        }
    }
}

/* ---- proofs ---- */

static void run_over(struct part *p, struct run *r, bool done)
{
    if (r->phase != RUN_RECORDED)
        return;
    r->phase = RUN_FREEING;
    r->over_at = loop_now(p->loop);
    r->done = done;
    if (done)
        part_mark_done(p, r);
    part_dirty(p);
    double busy = (double)time_ms_since(loop_now(p->loop), r->placed_at) / 1000;
    if (r->pool > 0)
        arq_busy_add(&p->busy[r->pool], busy);
}

/* Something about a task that the leader should know. */
static void tell_leader(struct part *p, struct host *h, struct run *r, const char *field,
                        double value, bool fault)
{
    if (p->news->len >= (fault ? MOST_FAULTS : MOST_NEWS))
        return;
    cJSON *n = cJSON_CreateObject();
    cJSON_AddStringToObject(n, "h", h->id.s);
    cJSON_AddStringToObject(n, "j", r->job.s);
    cJSON_AddNumberToObject(n, field, value);
    g_ptr_array_add(p->news, n);
}

/* The lease surely ran out: nobody can have renewed it after the moments below, neither this node
 * nor, as far as it goes by itself, an earlier owner; and other nodes say that they did not, or
 * cannot have for long enough. */
bool part_lease_surely_over(struct part *p, struct host *h)
{
    const struct settings *s = p->settings;
    mono_time now = loop_now(p->loop);
    int64_t lease = (int64_t)(s->lease_s * 1002) + 500, keep = part_keeping_ms(p) * 1002 / 1000;
    /* Until its worker shows a token that only we give, an earlier owner that is cut off may still
     * answer it, as long as part_keeping_ms() lets it. */
    if (h->helm < h->owned_since.v)
        return time_ms_since(now, h->owned_at) > (int64_t)(s->cancel_s * 1002) + 1000 &&
               peers_leases_over(p->peers, h->owned_at, lease, keep);
    mono_time last = time_before(h->answered, h->helm_seen) ? h->helm_seen : h->answered;
    return time_ms_since(now, last) > lease && peers_leases_over(p->peers, last, lease, keep);
}

void part_free_all_runs(struct part *p, struct host *h, const char *why)
{
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_RECORDED) {
            LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", r->job.s, r->index, h->id.s,
                     why);
            run_over(p, r, false);
        }
    }
}

/* The cloud takes the machine back. What can save its work, or be replaced before it is missed, is
 * stopped now; so is what could not end in time. */
static void leave_in_time(struct part *p, struct host *h, double left_s)
{
    mono_time now = loop_now(p->loop);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        struct job *j = part_live_job(p, r->job);
        if (!j || r->phase != RUN_RECORDED || j->spec->form == FORM_GANG)
            continue;
        const struct spec *s = j->spec;
        double ran = r->running_at.us ? (double)time_ms_since(now, r->running_at) / 1000 : 0;
        if (s->form == FORM_SERVICE || s->mark_every_s > 0 || ran + left_s < s->expected_s * 0.8)
            part_run_stop(r, s->mark_every_s > 0 ? MIN(s->stow_s, MAX(left_s, 0)) : 0);
    }
}

static void run_reported(struct part *p, struct host *h, struct run *r, const struct report_task *t)
{
    bool first = !r->seen || r->state != t->state;
    if (t->state == TASK_RUNNING && !r->running_at.us)
        r->running_at = loop_now(p->loop);
    r->seen = true;
    r->vanished = false;
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
    if (t->cause != CAUSE_DONE && t->cause != CAUSE_HALTED && t->cause != CAUSE_PEERS) {
        tell_leader(p, h, r, "c", t->cause, true);
        part_digest_soon(p);
    }
    if (t->cause == CAUSE_DONE && part_live_job(p, r->job) && !part_may_mark(p, r))
        return; /* the next report says so again */
    /* Beside the others of its job, it shows slow machines. */
    if (t->cause == CAUSE_DONE && r->running_at.us)
        tell_leader(p, h, r, "took", (double)time_ms_since(loop_now(p->loop), r->running_at) / 1000,
                    false);
    run_over(p, r, t->cause == CAUSE_DONE);
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
        run_over(p, r, false);
        return;
    }
    /* Never sent by us, or sent with a lower token than the worker has seen since: no copy of the
     * command can start it any more. */
    bool proven = rep->helm > r->sent_helm.v;
    if (r->stop || was_seen || r->vanished) {
        r->vanished = r->vanished || was_seen;
        if (proven)
            run_over(p, r, false);
        else if (time_ms_since(loop_now(p->loop), r->sent_at) > 1000)
            p->want_raise = true;
    }
}

void part_host_reached(struct part *p, struct host *h)
{
    if (h->probe_fails >= 2)
        part_digest_soon(p);
    if (!h->hears || h->probe_fails)
        p->room_news = true;
    h->hears = true;
    h->reached = loop_now(p->loop);
    h->probe_fails = 0;
}

/* Tells two lists of tasks apart. */
uint32_t part_report_print(const struct report *rep)
{
    uint32_t print = 1;
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *t = &g_array_index(rep->tasks, struct report_task, i);
        uint32_t one = g_str_hash(t->job.s) * 31 + t->index;
        one =
            (one * 31 + (uint32_t)t->attempt.v) * 31 + (uint32_t)t->state * 16 + (uint32_t)t->cause;
        print += one * 2654435761u;
    }
    return print;
}

/* Takes in a report, or a worker's answer to a direct command. */
void part_host_reported(struct part *p, struct host *h, const struct report *rep)
{
    mono_time now = loop_now(p->loop);
    bool news = !h->known;
    p->room_news = p->room_news || news;
    h->known = true;
    h->heard = now;
    h->print = part_report_print(rep);
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
    for (guint k = 0; k < h->runs->len; k++)
        ((struct run *)h->runs->pdata[k])->listed = false;
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *t = &g_array_index(rep->tasks, struct report_task, i);
        struct run *r = part_run_find(h, t->job, t->index, t->attempt);
        if (r) {
            r->listed = true;
            run_reported(p, h, r, t);
        } else {
            g_array_append_val(h->strays, *t);
        }
    }
    for (guint k = h->runs->len; k-- > 0;) {
        struct run *r = h->runs->pdata[k];
        if (r->listed)
            continue;
        run_missing(p, h, r, rep);
        if (r->phase == RUN_GONE)
            part_run_remove(p, h, k);
    }
    if (news)
        part_digest_soon(p);
}
