#include "run_records_internal.h"

#include "image_cache.h"
#include "log.h"

/* How long tasks took may be left out when there is much to tell; what went wrong may not, so soon.
 */
enum { MAX_EVENTS = 200, MOST_FAULTS = 2 * REMEMBERED_MACHINES };

enum {
    IMAGES_KEPT = 12,
};

struct job *shard_live_job(struct shard *shard, job_id id)
{
    struct job *job = view_job(shard->view, id.s);
    return job && job->known && job->state == JOB_LIVE && job->spec ? job : NULL;
}

void shard_run_unbook(struct shard *shard, struct host *host, struct run *run)
{
    if (run->phase == RUN_GONE)
        return;
    room_sub(&host->booked, run->room);
    if (run->service)
        room_sub(&host->pinned, run->room);
    shard->room_changed = true;
}

void shard_run_remove(struct shard *shard, struct host *host, guint at)
{
    shard_run_unbook(shard, host, host->runs->pdata[at]);
    g_ptr_array_remove_index_fast(host->runs, at);
}

struct run *shard_run_add(struct host *host, job_id job, uint32_t index, attempt_no attempt,
                          const struct spec *spec)
{
    struct run *run = g_new0(struct run, 1);
    run->job = job;
    run->index = index;
    run->attempt = attempt;
    run->record.page = run->record.next_page = -1;
    if (spec) {
        run->room = room_of_spec(spec);
        run->service = spec->form == FORM_SERVICE;
    }
    room_add(&host->booked, run->room);
    if (run->service)
        room_add(&host->pinned, run->room);
    g_ptr_array_add(host->runs, run);
    return run;
}

struct run *shard_run_find(struct host *host, job_id job, uint32_t index, attempt_no attempt)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (run->attempt.v == attempt.v && run->index == index && job_eq(run->job, job))
            return run;
    }
    return NULL;
}

struct host *shard_host_get(struct shard *shard, const char *id)
{
    return g_hash_table_lookup(shard->hosts, id);
}

struct host *shard_host_make(struct shard *shard, host_id id)
{
    struct host *host = g_new0(struct host, 1);
    host->id = id;
    host->runs = g_ptr_array_new_with_free_func(g_free);
    host->images = images_new();
    host->told_flags = host->inventory = -1;
    host->unknown_tasks = g_array_new(FALSE, FALSE, sizeof(struct report_task));
    host->owned_since = shard->epoch;
    host->owned_at = host->heard = host->reached = loop_now(shard->loop);
    host->returning = shard_machine_returning(shard, id.s);
    g_hash_table_insert(shard->hosts, host->id.s, host);
    return host;
}

void shard_host_typed(struct shard *shard, struct host *host)
{
    const struct machine_type *type = type_named(shard->view->types, host->type_name);
    if (type)
        host->total = room_of_type(type);
}

/* image: interned. */
static void host_image(struct host *host, char *image)
{
    for (guint i = 0; i < host->images->len; i++)
        if (host->images->pdata[i] == image) {
            g_ptr_array_add(host->images, g_ptr_array_steal_index(host->images, i));
            return;
        }
    g_ptr_array_add(host->images, g_ref_string_acquire(image));
    host->new_images = true;
    host->told_images = false;
    if (host->images->len > IMAGES_KEPT)
        g_ptr_array_remove_index(host->images, 0);
}

bool shard_host_has_run(const struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++)
        if (((struct run *)host->runs->pdata[i])->phase != RUN_GONE)
            return true;
    return false;
}

void shard_run_stop(struct run *run, double grace_s)
{
    if (!run->stop) {
        run->stop = true;
        run->grace_s = grace_s;
        run->halt_at = (mono_time){0};
    }
}

/* A cancellation that may hold counts only while this node can do nothing about it but wait: else
 * the view will tell soon, and the task would be stopped and started in turns. */
bool shard_job_over(struct shard *shard, job_id id)
{
    struct job *job = view_job(shard->view, id.s);
    if (job && job->known && job->state != JOB_LIVE)
        return true;
    enum cancel_knowledge changed = peers_cancelled(shard->peers, id);
    return changed == CANCEL_SURE || (changed == CANCEL_MAY && !membership_valid(shard->members));
}

/* Takes a run for what its job has become. */
void shard_run_apply_job(struct shard *shard, struct run *run)
{
    if (!shard_job_over(shard, run->job))
        return;
    shard_run_stop(run, 0);
    run->grace_s = 0; /* what it would save is of no use any more */
    if (run->over_since.us)
        return;
    run->over_since = peers_cancelled(shard->peers, run->job)
                          ? peers_cancelled_since(shard->peers, run->job)
                          : shard->view->before;
    if (!run->over_since.us)
        run->over_since = loop_now(shard->loop);
}

static bool is_own(const struct shard *shard, const struct page *page)
{
    return strcmp(page->label, shard->settings->label) == 0;
}

static void run_at(const struct shard *shard, struct run *run, const struct page *page)
{
    run->record.foreign = !is_own(shard, page);
    run->record.page = run->record.foreign ? -1 : page->number;
}

/* Makes what we hold of a machine agree with its records, which are the truth: all of them, or
 * those on one page of ours. Only called when the view is not older than our own last write of
 * these. Of the others it may be: taken for the truth then, it would free what was recorded just
 * now. */
void shard_host_sync(struct shard *shard, struct host *host, int page)
{
    struct host_record *rec = view_host(shard->view, host->id.s);
    if (rec && rec->addr[0] && !host->addr[0]) {
        g_strlcpy(host->addr, rec->addr, sizeof host->addr);
        g_strlcpy(host->type_name, rec->type_name, sizeof host->type_name);
        g_strlcpy(host->zone, rec->zone, sizeof host->zone);
        host->spot = rec->spot;
        shard_host_typed(shard, host);
        for (guint i = 0; i < rec->images->len; i++)
            host_image(host, rec->images->pdata[i]);
        host->new_images = false;
    }
    if (page < 0)
        host->stamp = rec ? rec->stamp : (revision){0};
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *placed = rec->tasks->pdata[i];
        if (page >= 0 && (!is_own(shard, placed->page) || placed->page->number != page))
            continue;
        struct run *run = shard_run_find(host, placed->job->id, placed->index, placed->attempt);
        if (!run) {
            run = shard_run_add(host, placed->job->id, placed->index, placed->attempt,
                                placed->job->spec);
            /* Whoever recorded it may have sent it with any token below ours. */
            run->sent_token.v = host->owned_since.v - 1;
            run->placed_at = loop_now(shard->loop);
        }
        run_at(shard, run, placed->page);
        if (run->phase == RUN_NEW)
            run->phase = RUN_RECORDED;
        shard_run_apply_job(shard, run);
    }
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (page >= 0 && run->record.page != page)
            continue;
        struct job *job = view_job(shard->view, run->job.s);
        struct placed *placed = job ? job_placed(job, run->index) : NULL;
        bool on_record =
            placed && placed->attempt.v == run->attempt.v && host_eq(placed->host->id, host->id);
        if (!on_record && (run->phase == RUN_RECORDED || run->phase == RUN_FREEING)) {
            shard_run_unbook(shard, host, run);
            run->phase = RUN_GONE;
        }
        if (on_record) {
            run_at(shard, run, placed->page);
        } else {
            run->record.page = -1;
            run->record.foreign = false;
        }
    }
}

/* ---- proofs ---- */

static void run_over(struct shard *shard, struct run *run, bool done)
{
    if (run->phase != RUN_RECORDED)
        return;
    run->phase = RUN_FREEING;
    run->over_at = loop_now(shard->loop);
    run->done = done;
    if (done)
        shard_mark_done(shard, run);
    shard_dirty(shard);
    double busy = (double)time_ms_since(loop_now(shard->loop), run->placed_at) / 1000;
    if (run->pool > 0)
        arq_busy_add(&shard->busy[run->pool], busy);
}

/* Something about a task that the leader should know. */
static void tell_leader(struct shard *shard, struct host *host, struct run *run, const char *field,
                        double value, bool fault)
{
    if (shard->events->len >= (fault ? MOST_FAULTS : MAX_EVENTS))
        return;
    cJSON *n = cJSON_CreateObject();
    cJSON_AddStringToObject(n, "h", host->id.s);
    cJSON_AddStringToObject(n, "j", run->job.s);
    cJSON_AddNumberToObject(n, field, value);
    g_ptr_array_add(shard->events, n);
}

/* The lease surely ran out: nobody can have renewed it after the moments below, neither this node
 * nor, as far as it goes by itself, an earlier owner; and other nodes say that they did not, or
 * cannot have for long enough. */
bool shard_lease_surely_over(struct shard *shard, struct host *host)
{
    const struct settings *settings = shard->settings;
    mono_time now = loop_now(shard->loop);
    int64_t lease = (int64_t)(settings->lease_s * 1002) + 500,
            keep = shard_keeping_ms(shard) * 1002 / 1000;
    /* Until its worker shows a token that only we give, an earlier owner that is cut off may still
     * answer it, as long as shard_keeping_ms() lets it. */
    if (host->token < host->owned_since.v)
        return time_ms_since(now, host->owned_at) > (int64_t)(settings->cancel_s * 1002) + 1000 &&
               peers_leases_over(shard->peers, host->owned_at, lease, keep);
    mono_time last =
        time_before(host->answered, host->token_seen) ? host->token_seen : host->answered;
    return time_ms_since(now, last) > lease && peers_leases_over(shard->peers, last, lease, keep);
}

void shard_free_all_runs(struct shard *shard, struct host *host, const char *why)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (run->phase == RUN_RECORDED) {
            LOG_INFO("task_lost", "job=%s task=%u machine=%s why=%s", run->job.s, run->index,
                     host->id.s, why);
            run_over(shard, run, false);
        }
    }
}

/* The cloud takes the machine back. What can save its work, or be replaced before it is missed, is
 * stopped now; so is what could not end in time. */
static void leave_in_time(struct shard *shard, struct host *host, double left_s)
{
    mono_time now = loop_now(shard->loop);
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        struct job *job = shard_live_job(shard, run->job);
        if (!job || run->phase != RUN_RECORDED || job->spec->form == FORM_GANG)
            continue;
        const struct spec *spec = job->spec;
        double ran = run->running_at.us ? (double)time_ms_since(now, run->running_at) / 1000 : 0;
        if (spec->form == FORM_SERVICE || spec->checkpoint_s > 0 ||
            ran + left_s < spec->expected_s * 0.8)
            shard_run_stop(run, spec->checkpoint_s > 0 ? MIN(spec->save_s, MAX(left_s, 0)) : 0);
    }
}

static void run_reported(struct shard *shard, struct host *host, struct run *run,
                         const struct report_task *task)
{
    bool first = !run->seen || run->state != task->state;
    if (task->state == TASK_RUNNING && !run->running_at.us)
        run->running_at = loop_now(shard->loop);
    run->seen = true;
    run->vanished = false;
    run->state = task->state;
    if (task->state == TASK_RUNNING || (task->state == TASK_EXITED && task->cause == CAUSE_DONE)) {
        struct job *job = view_job(shard->view, run->job.s);
        if (first && job && job->spec)
            host_image(host, job->spec->image);
    }
    if (task->state != TASK_EXITED || run->phase != RUN_RECORDED)
        return;
    if (task->cause != CAUSE_DONE && task->cause != CAUSE_HALTED)
        LOG_INFO("task_exited", "job=%s task=%u machine=%s cause=%d", run->job.s, run->index,
                 host->id.s, task->cause);
    if (task->cause != CAUSE_DONE && task->cause != CAUSE_HALTED && task->cause != CAUSE_PEERS) {
        tell_leader(shard, host, run, "c", task->cause, true);
        shard_digest_soon(shard);
    }
    if (task->cause == CAUSE_DONE && shard_live_job(shard, run->job) && !shard_may_mark(shard, run))
        return; /* the next report says so again */
    /* Beside the others of its job, it shows slow machines. */
    if (task->cause == CAUSE_DONE && run->running_at.us)
        tell_leader(shard, host, run, "took",
                    (double)time_ms_since(loop_now(shard->loop), run->running_at) / 1000, false);
    run_over(shard, run, task->cause == CAUSE_DONE);
}

static void run_missing(struct shard *shard, struct host *host, struct run *run,
                        const struct report *rep)
{
    bool was_seen = run->seen;
    run->seen = false;
    if (run->phase == RUN_GONE)
        return;
    if (run->phase != RUN_RECORDED)
        return;
    if (run->sent_session && rep->session > run->sent_session) {
        LOG_INFO("task_lost", "job=%s task=%u machine=%s why=session", run->job.s, run->index,
                 host->id.s);
        run_over(shard, run, false);
        return;
    }
    /* Never sent by us, or sent with a lower token than the worker has seen since: no copy of the
     * command can start it any more. */
    bool proven = rep->token > run->sent_token.v;
    if (run->stop || was_seen || run->vanished) {
        run->vanished = run->vanished || was_seen;
        if (proven)
            run_over(shard, run, false);
        else if (time_ms_since(loop_now(shard->loop), run->sent_at) > 1000)
            shard->want_raise = true;
    }
}

void shard_host_reached(struct shard *shard, struct host *host)
{
    if (host->probe_fails >= 2)
        shard_digest_soon(shard);
    if (!host->hears || host->probe_fails)
        shard->room_changed = true;
    host->hears = true;
    host->reached = loop_now(shard->loop);
    host->probe_fails = 0;
}

/* Tells two lists of tasks apart. */
uint32_t shard_report_hash(const struct report *rep)
{
    uint32_t report_hash = 1;
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *task = &g_array_index(rep->tasks, struct report_task, i);
        uint32_t one = g_str_hash(task->job.s) * 31 + task->index;
        one = (one * 31 + (uint32_t)task->attempt.v) * 31 + (uint32_t)task->state * 16 +
              (uint32_t)task->cause;
        report_hash += one * 2654435761u;
    }
    return report_hash;
}

/* Takes in a report, or a worker's answer to a direct command. */
void shard_host_reported(struct shard *shard, struct host *host, const struct report *rep)
{
    mono_time now = loop_now(shard->loop);
    bool changed = !host->known;
    shard->room_changed = shard->room_changed || changed;
    host->known = true;
    host->heard = now;
    host->report_hash = shard_report_hash(rep);
    host->session = rep->session;
    host->sequence = rep->sequence;
    if (host->token < host->owned_since.v && rep->token >= host->owned_since.v)
        host->token_seen = now;
    host->token = rep->token;
    if ((rep->reclaim_notice_s >= 0) != host->reclaimed) {
        host->reclaimed = rep->reclaim_notice_s >= 0;
        changed = true;
        if (host->reclaimed)
            LOG_INFO("machine_reclaimed", "machine=%s in_s=%.1f", host->id.s,
                     rep->reclaim_notice_s);
        if (host->reclaimed)
            leave_in_time(shard, host, rep->reclaim_notice_s);
    }
    g_array_set_size(host->unknown_tasks, 0);
    for (guint k = 0; k < host->runs->len; k++)
        ((struct run *)host->runs->pdata[k])->listed = false;
    for (guint i = 0; i < rep->tasks->len; i++) {
        const struct report_task *task = &g_array_index(rep->tasks, struct report_task, i);
        struct run *run = shard_run_find(host, task->job, task->index, task->attempt);
        if (run) {
            run->listed = true;
            run_reported(shard, host, run, task);
        } else {
            g_array_append_val(host->unknown_tasks, *task);
        }
    }
    for (guint k = host->runs->len; k-- > 0;) {
        struct run *run = host->runs->pdata[k];
        if (run->listed)
            continue;
        run_missing(shard, host, run, rep);
        if (run->phase == RUN_GONE)
            shard_run_remove(shard, host, k);
    }
    if (changed)
        shard_digest_soon(shard);
}
