#include "part_state.h"

#include "images.h"
#include "log.h"
#include "score.h"

enum {
    SWITCH_MS = 2000,
    GIVE_BACK_MS = 3000,
    PLACE_MS = 5,
    MOST_KEPT_LOOKS = 16,
    KEPT_MS = 1000, /* a command that was not answered by then may come late */
};

bool part_host_open(struct part *p, struct host *h)
{
    return h->known && h->hears && !h->gone && !h->recalled && h->probe_fails == 0 &&
           h->total.cpus.milli > 0 &&
           time_ms_since(loop_now(p->loop), h->heard) <
               (int64_t)(p->settings->report_s * 1250) + 1500 &&
           !h->shut;
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
    if (!room_holds(room_left(h->total, h->booked), room_of_spec(s)) ||
        !spec_allows(s, h->build, h->yard, h->loaners) || !part_record_has_room(p, h, d->job))
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

static void survey(struct part *p, const struct dealt *d, const struct spec *s, struct survey *out)
{
    memset(out, 0, sizeof *out);
    out->none = true;
    loop_work(p->loop, p->roomy->len);
    for (guint i = 0; i < p->roomy->len; i++) {
        struct host *h = p->roomy->pdata[i];
        if (!host_suits(p, h, d, s))
            continue;
        out->none = false;
        double booked = host_booked(h);
        bool image = images_hold(h->images, s->image);
        struct score_facts facts = {image, h->loaners, booked, room_share(h->pinned, h->total), 1};
        struct pick pick = {h, score_host(s, &facts)};
        pick_better(&out->any[arq_pool(booked)], pick);
        if (image)
            pick_better(&out->image, pick);
    }
}

/* The machines that take work and have any room left. While the queues are gone through, room only
 * shrinks. */
static void find_roomy(struct part *p)
{
    GHashTableIter it;
    struct host *h;
    g_ptr_array_set_size(p->roomy, 0);
    loop_work(p->loop, g_hash_table_size(p->hosts));
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->booked.cpus.milli < h->total.cpus.milli && part_host_open(p, h))
            g_ptr_array_add(p->roomy, h);
}

/* The best in the pools up to one. */
static struct host *best_below(const struct survey *v, int high)
{
    struct pick best = {0};
    for (int pool = 1; pool <= high; pool++)
        pick_better(&best, v->any[pool]);
    return best.host;
}

static double pool_chance(struct part *p, int pool, double t, double run_s)
{
    GArray *ages = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter it;
    struct host *h;
    mono_time now = loop_now(p->loop);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!part_host_open(p, h) || arq_pool(host_booked(h)) != pool)
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
static struct host *place(struct part *p, const struct dealt *d, const struct spec *s,
                          const struct survey *v, enum arq_move move, int urgency)
{
    bool at_once = s->form == FORM_SERVICE || d->at[0] || move == ARQ_TAKE;
    /* Who is in a hurry goes where the image is, whatever the pool: a fetch takes longer than most
     * waits that the switch rule weighs. */
    if (urgency <= URGENCY_HIGH && !d->at[0] && v->image.host)
        return v->image.host;
    if (at_once)
        return best_below(v, ARQ_CLASSES);
    if (v->any[d->queue].host)
        return v->any[d->queue].host;
    if (d->queue < ARQ_CLASSES && g_queue_is_empty(&p->queues[d->queue + 1]) &&
        v->any[d->queue + 1].host)
        return v->any[d->queue + 1].host;
    return best_below(v, d->queue);
}

static void take_host(struct part *p, struct dealt *d, struct host *h, const struct spec *s)
{
    int pool = arq_pool(host_booked(h));
    part_record_new(p, h, d->job);
    struct run *r = part_run_add(h, d->job, d->index, d->attempt, s);
    r->phase = RUN_NEW;
    r->deal = d->number;
    r->placed_at = loop_now(p->loop);
    r->pool = pool;
    LOG_DEBUG("placed", "job=%s task=%u machine=%s class=%d pool=%d image=%d", d->job.s, d->index,
              h->id.s, d->class, pool, images_hold(h->images, s->image));
}

/* An earlier attempt that its machine shows still, and that cannot be cleared while a command for
 * it may be on its way: only a new epoch ends that. */
static bool kept_by_old(struct part *p, const struct dealt *d, const struct host *h)
{
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->index == d->index && job_eq(r->job, d->job) && r->phase == RUN_GONE &&
            !part_may_clear(h, r) && time_ms_since(loop_now(p->loop), r->sent_at) > KEPT_MS)
            return true;
    }
    return false;
}

/* Where else there is no room, such an attempt would keep its task from starting for ever. */
static void raise_if_kept(struct part *p, const struct dealt *d)
{
    GHashTableIter it;
    struct host *h;
    if (p->kept_looks++ >= MOST_KEPT_LOOKS) /* it is dealt again, and looked for then */
        return;
    loop_work(p->loop, g_hash_table_size(p->hosts));
    g_hash_table_iter_init(&it, p->hosts);
    while (!p->want_raise && g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (!d->at[0] || strcmp(d->at, h->id.s) == 0)
            p->want_raise = kept_by_old(p, d, h);
}

void part_give_back(struct part *p, const struct dealt *d)
{
    g_array_append_val(p->back, *d);
    part_digest_soon(p);
}

/* While the queues are gone through, room only shrinks. */
static bool finds_none(struct part *p, const struct dealt *d, const struct spec *s)
{
    struct lack a = lack_of_spec(s, d->yard);
    return lacks_cover(p->nones, &a);
}

static void note_none(struct part *p, const struct dealt *d, const struct spec *s)
{
    struct lack a = lack_of_spec(s, d->yard);
    if (!d->at[0] && !s->builds && !s->yard && !lacks_cover(p->nones, &a))
        g_array_append_val(p->nones, a);
}

/* Returns true when the task has left its queue. */
static bool settle_dealt(struct part *p, struct dealt *d, bool rule_time)
{
    struct job *j = part_live_job(p, d->job);
    mono_time now = loop_now(p->loop);
    if (!j || j->waits) {
        struct job *any = view_job(p->view, d->job.s);
        if (!j && any && any->known) /* over */
            return true;
        /* The leader may have seen more than this node: the job, or the end of what it needs. */
        if (time_ms_since(now, d->since) < GIVE_BACK_MS)
            return false;
        part_give_back(p, d);
        return true;
    }
    const struct spec *s = j->spec;
    if (d->class == 0) {
        const struct machine_type *t = type_smallest(p->view->types, s);
        d->class = t ? arq_class(room_share(room_of_spec(s), room_of_type(t))) : ARQ_CLASSES;
        d->queue = d->class;
        /* What is bound to a machine chooses first: of the others none needs just that one. */
        if (!d->at[0]) {
            g_queue_push_tail(&p->queues[d->queue], g_memdup2(d, sizeof *d));
            return true;
        }
    }
    enum arq_move move = consult(p, d, s, rule_time);
    struct survey v = {.none = true};
    if (!finds_none(p, d, s))
        survey(p, d, s, &v);
    struct host *h = v.none ? NULL : place(p, d, s, &v, move, j->urgency);
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
    if (v.none)
        note_none(p, d, s);
    if (v.none && (time_ms_since(now, d->since) > GIVE_BACK_MS || d->at[0])) {
        raise_if_kept(p, d);
        part_give_back(p, d);
        return true;
    }
    return false;
}

void part_place_soon(struct part *p)
{
    if (p->room_news && !p->place.place)
        timer_start(p->loop, &p->place, PLACE_MS);
}

void part_place_all(void *arg)
{
    struct part *p = arg;
    if (!membership_valid(p->members))
        return;
    mono_time now = loop_now(p->loop);
    p->kept_looks = 0;
    bool rule_time = time_ms_since(now, p->last_switch) >= SWITCH_MS;
    if (!rule_time && !p->room_news)
        return;
    p->room_news = false;
    if (rule_time)
        p->last_switch = now;
    guint waiting = 0;
    for (int q = 0; q <= ARQ_CLASSES; q++)
        waiting += p->queues[q].length;
    if (!waiting)
        return;
    find_roomy(p);
    g_array_set_size(p->nones, 0);
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
