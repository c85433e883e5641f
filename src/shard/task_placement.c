#include "run_records_internal.h"

#include "image_cache.h"
#include "log.h"
#include "placement_score.h"

enum {
    SWITCH_MS = 2000,
    GIVE_BACK_MS = 3000,
    PLACE_MS = 5,
    MOST_KEPT_LOOKS = 16,
    KEPT_MS = 1000, /* a command that was not answered by then may come late */
};

bool shard_host_open(struct shard *shard, struct host *host)
{
    return host->known && host->hears && !host->gone && !host->reclaimed &&
           host->probe_fails == 0 && host->total.cpus.milli > 0 &&
           time_ms_since(loop_now(shard->loop), host->heard) <
               (int64_t)(shard->settings->report_s * 1250) + 1500 &&
           !host->closed && !host->returning;
}

static double host_booked(const struct host *host)
{
    return room_share(host->booked, host->total);
}

static bool host_suits(struct shard *shard, struct host *host, const struct dealt *dealt,
                       const struct spec *spec)
{
    if (dealt->at[0] && strcmp(dealt->at, host->id.s) != 0)
        return false;
    if (dealt->zone[0] && strcmp(dealt->zone, host->zone) != 0)
        return false;
    if (!room_holds(room_left(host->total, host->booked), room_of_spec(spec)) ||
        !spec_allows(spec, host->type_name, host->zone, host->spot) ||
        !shard_record_has_room(shard, host, dealt->job))
        return false;
    /* An attempt that its worker still shows would have the new one refused. */
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (run->index == dealt->index && job_eq(run->job, dealt->job))
            return false;
    }
    for (guint i = 0; i < host->unknown_tasks->len; i++) {
        struct report_task *task = &g_array_index(host->unknown_tasks, struct report_task, i);
        if (task->index == dealt->index && job_eq(task->job, dealt->job))
            return false;
    }
    return true;
}

/* A machine that would do; host NULL: none. */
struct pick {
    struct host *host;
    double score;
};

/* The best of the machines that suit, by pool, and the best of those that have the image. */
struct survey {
    struct pick any[ARQ_CLASSES + 1], image;
    bool none;
};

static void pick_better(struct pick *best, struct pick other)
{
    if (other.host &&
        (!best->host || other.score > best->score ||
         (other.score == best->score && strcmp(other.host->id.s, best->host->id.s) < 0)))
        *best = other;
}

static void survey(struct shard *shard, const struct dealt *dealt, const struct spec *spec,
                   struct survey *out)
{
    memset(out, 0, sizeof *out);
    out->none = true;
    loop_work(shard->loop, shard->roomy->len);
    for (guint i = 0; i < shard->roomy->len; i++) {
        struct host *host = shard->roomy->pdata[i];
        if (!host_suits(shard, host, dealt, spec))
            continue;
        out->none = false;
        double booked = host_booked(host);
        bool image = images_hold(host->images, spec->image);
        struct score_facts facts = {image, host->spot, booked,
                                    room_share(host->pinned, host->total), 1};
        struct pick pick = {host, score_host(spec, &facts)};
        pick_better(&out->any[arq_pool(booked)], pick);
        if (image)
            pick_better(&out->image, pick);
    }
}

/* The machines that take work and have any room left. While the queues are gone through, room only
 * shrinks. */
static void find_roomy(struct shard *shard)
{
    GHashTableIter it;
    struct host *host;
    g_ptr_array_set_size(shard->roomy, 0);
    loop_work(shard->loop, g_hash_table_size(shard->hosts));
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (host->booked.cpus.milli < host->total.cpus.milli && shard_host_open(shard, host))
            g_ptr_array_add(shard->roomy, host);
}

/* The best in the pools up to one. */
static struct host *best_below(const struct survey *survey, int high)
{
    struct pick best = {0};
    for (int pool = 1; pool <= high; pool++)
        pick_better(&best, survey->any[pool]);
    return best.host;
}

static double pool_chance(struct shard *shard, int pool, double t, double run_s)
{
    GArray *ages = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct host *host;
    mono_time now = loop_now(shard->loop);
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!shard_host_open(shard, host) || arq_pool(host_booked(host)) != pool)
            continue;
        double oldest = -1;
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *run = host->runs->pdata[i];
            if (run->phase != RUN_GONE)
                oldest = MAX(oldest, (double)time_ms_since(now, run->placed_at) / 1000);
        }
        if (oldest >= 0)
            g_array_append_val(ages, oldest);
    }
    double c = arq_free_chance(&shard->busy[pool], (double *)ages->data, (int)ages->len, t, run_s);
    g_array_unref(ages);
    return c;
}

/* The switch rule for a task that waits, every SWITCH_MS. */
static enum arq_move consult(struct shard *shard, struct dealt *dealt, const struct spec *spec,
                             bool rule_time)
{
    mono_time now = loop_now(shard->loop);
    double waited = (double)time_ms_since(now, dealt->since) / 1000;
    double left = arq_patience(spec->expected_s, 0) - waited;
    if (left <= 0)
        return ARQ_TAKE;
    if (!rule_time || dealt->queue >= ARQ_CLASSES)
        return ARQ_STAY;
    double here = (double)time_ms_since(now, dealt->queue_since) / 1000;
    struct arq_terms terms = {
        .run_s = spec->expected_s,
        .wait_own = here,
        .wait_next = waited - here,
        .quality_own = dealt->queue,
        .quality_next = dealt->queue + 1,
        .chance_own = pool_chance(shard, dealt->queue, left, spec->expected_s),
        .chance_next = pool_chance(shard, dealt->queue + 1, left, spec->expected_s),
    };
    return arq_switch(&terms);
}

/* The order that docs/design.md gives: the own pool; one class up while nobody waits there; then
 * the busiest machine that fits, at once unless it belongs to an emptier pool. */
static struct host *place(struct shard *shard, const struct dealt *dealt, const struct spec *spec,
                          const struct survey *survey, enum arq_move move, int urgency)
{
    bool at_once = spec->form == FORM_SERVICE || dealt->at[0] || move == ARQ_TAKE;
    /* Who is in a hurry goes where the image is, whatever the pool: a fetch takes longer than most
     * waits that the switch rule weighs. */
    if (urgency <= URGENCY_HIGH && !dealt->at[0] && survey->image.host)
        return survey->image.host;
    if (at_once)
        return best_below(survey, ARQ_CLASSES);
    if (survey->any[dealt->queue].host)
        return survey->any[dealt->queue].host;
    if (dealt->queue < ARQ_CLASSES && g_queue_is_empty(&shard->queues[dealt->queue + 1]) &&
        survey->any[dealt->queue + 1].host)
        return survey->any[dealt->queue + 1].host;
    return best_below(survey, dealt->queue);
}

static void take_host(struct shard *shard, struct dealt *dealt, struct host *host,
                      const struct spec *spec)
{
    int pool = arq_pool(host_booked(host));
    shard_record_new(shard, host, dealt->job);
    struct run *run = shard_run_add(host, dealt->job, dealt->index, dealt->attempt, spec);
    run->phase = RUN_NEW;
    run->deal = dealt->number;
    run->placed_at = loop_now(shard->loop);
    run->pool = pool;
    LOG_DEBUG("placed", "job=%s task=%u machine=%s class=%d pool=%d image=%d", dealt->job.s,
              dealt->index, host->id.s, dealt->class, pool, images_hold(host->images, spec->image));
}

/* An earlier attempt that its machine shows still, and that cannot be cleared while a command for
 * it may be on its way: only a new epoch ends that. */
static bool kept_by_old(struct shard *shard, const struct dealt *dealt, const struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (run->index == dealt->index && job_eq(run->job, dealt->job) && run->phase == RUN_GONE &&
            !shard_may_clear(host, run) &&
            time_ms_since(loop_now(shard->loop), run->sent_at) > KEPT_MS)
            return true;
    }
    return false;
}

/* Where else there is no room, such an attempt would keep its task from starting for ever. */
static void raise_if_kept(struct shard *shard, const struct dealt *dealt)
{
    GHashTableIter it;
    struct host *host;
    if (shard->kept_looks++ >= MOST_KEPT_LOOKS) /* it is dealt again, and looked for then */
        return;
    loop_work(shard->loop, g_hash_table_size(shard->hosts));
    g_hash_table_iter_init(&it, shard->hosts);
    while (!shard->want_raise && g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        if (!dealt->at[0] || strcmp(dealt->at, host->id.s) == 0)
            shard->want_raise = kept_by_old(shard, dealt, host);
}

void shard_give_back(struct shard *shard, const struct dealt *dealt)
{
    g_array_append_val(shard->back, *dealt);
    shard_digest_soon(shard);
}

/* While the queues are gone through, room only shrinks. */
static bool finds_none(struct shard *shard, const struct dealt *dealt, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, dealt->zone);
    return lacks_cover(shard->nones, &lack);
}

static void note_none(struct shard *shard, const struct dealt *dealt, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, dealt->zone);
    if (!dealt->at[0] && !spec->type_names && !spec->zone && !lacks_cover(shard->nones, &lack))
        g_array_append_val(shard->nones, lack);
}

/* Returns true when the task has left its queue. */
static bool settle_dealt(struct shard *shard, struct dealt *dealt, bool rule_time)
{
    struct job *job = shard_live_job(shard, dealt->job);
    mono_time now = loop_now(shard->loop);
    if (!job || job->waits) {
        struct job *any = view_job(shard->view, dealt->job.s);
        if (!job && any && any->known) /* over */
            return true;
        /* The leader may have seen more than this node: the job, or the end of what it needs. */
        if (time_ms_since(now, dealt->since) < GIVE_BACK_MS)
            return false;
        shard_give_back(shard, dealt);
        return true;
    }
    const struct spec *spec = job->spec;
    if (dealt->class == 0) {
        const struct machine_type *type = type_smallest(shard->view->types, spec);
        dealt->class =
            type ? arq_class(room_share(room_of_spec(spec), room_of_type(type))) : ARQ_CLASSES;
        dealt->queue = dealt->class;
        /* What is bound to a machine chooses first: of the others none needs just that one. */
        if (!dealt->at[0]) {
            g_queue_push_tail(&shard->queues[dealt->queue], g_memdup2(dealt, sizeof *dealt));
            return true;
        }
    }
    enum arq_move move = consult(shard, dealt, spec, rule_time);
    struct survey v = {.none = true};
    if (!finds_none(shard, dealt, spec))
        survey(shard, dealt, spec, &v);
    struct host *host = v.none ? NULL : place(shard, dealt, spec, &v, move, job->urgency);
    if (host) {
        take_host(shard, dealt, host, spec);
        return true;
    }
    if (move == ARQ_SWITCH) {
        dealt->queue++;
        dealt->queue_since = now;
        g_queue_push_tail(&shard->queues[dealt->queue], g_memdup2(dealt, sizeof *dealt));
        return true;
    }
    if (v.none)
        note_none(shard, dealt, spec);
    if (v.none && (time_ms_since(now, dealt->since) > GIVE_BACK_MS || dealt->at[0])) {
        raise_if_kept(shard, dealt);
        shard_give_back(shard, dealt);
        return true;
    }
    return false;
}

void shard_place_soon(struct shard *shard)
{
    if (shard->room_changed && !shard->place.place)
        timer_start(shard->loop, &shard->place, PLACE_MS);
}

void shard_place_all(void *arg)
{
    struct shard *shard = arg;
    if (!membership_valid(shard->members))
        return;
    mono_time now = loop_now(shard->loop);
    shard->kept_looks = 0;
    bool rule_time = time_ms_since(now, shard->last_switch) >= SWITCH_MS;
    if (!rule_time && !shard->room_changed)
        return;
    shard->room_changed = false;
    if (rule_time)
        shard->last_switch = now;
    guint waiting = 0;
    for (int q = 0; q <= ARQ_CLASSES; q++)
        waiting += shard->queues[q].length;
    if (!waiting)
        return;
    find_roomy(shard);
    g_array_set_size(shard->nones, 0);
    for (int q = 0; q <= ARQ_CLASSES; q++) {
        guint n = shard->queues[q].length;
        for (guint i = 0; i < n; i++) {
            struct dealt *dealt = g_queue_pop_head(&shard->queues[q]);
            if (settle_dealt(shard, dealt, rule_time))
                g_free(dealt);
            else
                g_queue_push_tail(&shard->queues[q], dealt);
        }
    }
}
