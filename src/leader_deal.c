#include "leader_state.h"

#include "images.h"
#include "log.h"
#include "part.h"
#include "score.h"

enum {
    SETTLE_MS = 1500,      /* after a new epoch: for the digests to come in */
    MOVE_AFTER_MS = 35000, /* a start counts once it has run for a while */
    PREEMPT_TASKS = 32,
    PREEMPT_MS = 1000, /* for what was stopped to be off the record */
    HOLD_OUT_MS = 1200,
    NO_WAY_MS = 1000, /* a zone in which nothing can be moved is let be */
    ATTEMPT_BITS = 20,
    MOST_DEFICIT = 10000000,
    MOST_HOLDING = 4, /* gangs that hold whole machines, in a pass */
    MOST_HOPE_MS = 60000,
};

/* A job that has waited for so long has its place in the queue again, late or not: the largest,
 * too, have to begin within a few minutes. */
static const double AGED_S = 150;

/* And after so long it goes before urgent work, and is not stopped for it. */
static const double OVERDUE_S = 190;

/* A job stands behind those that came up to so many times as long after it as it would keep its
 * team's whole limit busy: small jobs pass large ones, but none passes for ever. */
static const double SIZE_COUNTS = 4;

bool leader_host_takes(struct leader *l, struct lhost *h)
{
    mono_time now = loop_now(l->loop);
    struct fleet_machine *m = g_hash_table_lookup(fleet_machines(l->fleet), h->id.s);
    return h->told && !time_before(now, h->sick_until) && !leader_host_slow(l, h) &&
           (h->flags & HOST_KNOWN) && !(h->flags & (HOST_LOST | HOST_RECALLED | HOST_QUIET)) &&
           !fleet_gone(l->fleet, h->id.s) && !(m && m->returning) &&
           !time_before(now, h->avoid_until);
}

struct room leader_host_free_room(const struct lhost *h)
{
    return room_left(room_left(room_left(h->total, h->booked), h->dealt), h->held);
}

/* How many of a job's tasks are in a zone, or are about to be. */
uint32_t leader_in_zone(struct leader *l, struct ljob *j, const char *yard)
{
    uint32_t n = 0;
    GHashTableIter it;
    struct entry *e;
    struct deal *d;
    g_hash_table_iter_init(&it, j->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
        struct lhost *h = lhost_get(l, e->host.s);
        struct host_record *rec = view_host(l->view, e->host.s);
        const char *y = h && h->yard[0] ? h->yard : rec && rec->yard[0] ? rec->yard : NULL;
        /* Where it is cannot be told: it counts everywhere. */
        n += !y || strcmp(y, yard) == 0;
    }
    g_hash_table_iter_init(&it, j->deals);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&d))
        n += strcmp(d->yard, yard) == 0;
    return n;
}

/* OneZone and Apart are decided here, on records and deals; the zone is part of the deal. */
static bool zone_bound(const struct spec *s)
{
    return s->one_zone || s->apart;
}

static void count_zones(struct leader *l, struct ljob *j, const struct spec *s)
{
    for (guint i = 0; zone_bound(s) && i < l->settings->zones->len; i++)
        l->zone_tasks[i] = leader_in_zone(l, j, l->settings->zones->pdata[i]);
}

/* By the last count. */
static bool zone_allowed(struct leader *l, struct ljob *j, const struct spec *s, int zone)
{
    if (!zone_bound(s))
        return true;
    if (zone < 0)
        return false;
    uint32_t there = l->zone_tasks[zone];
    if (s->one_zone && there != g_hash_table_size(j->entries) + g_hash_table_size(j->deals))
        return false;
    return !s->apart || there < (s->tasks + 1) / 2;
}

/* Whether a task of the job may be dealt to the machine, if there is room. */
static bool host_allowed(struct leader *l, struct ljob *j, const struct spec *s, struct lhost *h)
{
    return spec_allows(s, h->build, h->yard, h->loaners) && zone_allowed(l, j, s, h->zone);
}

void leader_survey(struct leader *l)
{
    memset(l->zone_cpus, 0, sizeof *l->zone_cpus * l->settings->zones->len);
    g_ptr_array_set_size(l->open, 0);
    g_array_set_size(l->full, 0);
    l->holding = 0;
    loop_work(l->loop, g_hash_table_size(l->hosts));
    GHashTableIter it;
    struct lhost *h;
    g_hash_table_iter_init(&it, l->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        h->held = (struct room){0};
        h->wanted = false;
        if (h->told && !h->loaners && h->zone >= 0)
            l->zone_cpus[h->zone] += (double)h->total.cpus.milli / 1000;
        if (leader_host_takes(l, h))
            g_ptr_array_add(l->open, h);
    }
}

/* The processors of a zone's ordinary machines beside those of the largest zone. */
static double zone_roomy(struct leader *l, int zone)
{
    double most = 0;
    for (guint i = 0; i < l->settings->zones->len; i++)
        most = MAX(most, l->zone_cpus[i]);
    return most > 0 && zone >= 0 ? l->zone_cpus[zone] / most : 1;
}

static double host_score(struct leader *l, const struct lhost *h, const struct spec *s)
{
    struct room taken = h->booked;
    room_add(&taken, h->dealt);
    struct score_facts facts = {images_hold(h->images, s->image), h->loaners,
                                room_share(taken, h->total), room_share(h->pinned, h->total),
                                zone_roomy(l, h->zone)};
    return score_host(s, &facts);
}

struct choice {
    struct lhost *host;
    double score;
};

static gint by_score(gconstpointer a, gconstpointer b)
{
    const struct choice *x = a, *y = b;
    if (x->score != y->score)
        return x->score > y->score ? -1 : 1;
    return strcmp(x->host->id.s, y->host->id.s);
}

/* The machines that could take a task of the job, the best first. What a machine takes makes it
 * only better, so the order holds while it is being filled. */
static GArray *choices(struct leader *l, struct ljob *j, const struct spec *s, bool image)
{
    loop_work(l->loop, l->open->len);
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct choice));
    for (guint i = 0; i < l->open->len; i++) {
        struct lhost *h = l->open->pdata[i];
        if (!room_holds(leader_host_free_room(h), j->room) || !host_allowed(l, j, s, h) ||
            (image && !images_hold(h->images, s->image)))
            continue;
        struct choice c = {h, host_score(l, h, s)};
        g_array_append_val(out, c);
    }
    g_array_sort(out, by_score);
    return out;
}

/* Room only shrinks in a pass. */
static bool is_full(struct leader *l, const struct spec *s)
{
    struct lack a = lack_of_spec(s, "");
    return lacks_cover(l->full, &a);
}

static void note_full(struct leader *l, const struct spec *s)
{
    struct lack a = lack_of_spec(s, "");
    if (!zone_bound(s) && !s->builds && !s->yard)
        g_array_append_val(l->full, a);
}

static attempt_no next_attempt(struct leader *l)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++l->attempts >> ATTEMPT_BITS)
        membership_raise(l->members, "attempts used up");
    return (attempt_no){l->epoch.v << ATTEMPT_BITS | (l->attempts & ((1 << ATTEMPT_BITS) - 1))};
}

/* Counts a task as dealt. */
static void book(struct leader *l, struct ljob *j, uint32_t index, attempt_no attempt,
                 struct lhost *h)
{
    struct deal *d = g_new0(struct deal, 1);
    d->attempt = attempt;
    d->host = h;
    d->number = ++l->deals;
    d->since = loop_now(l->loop);
    g_strlcpy(d->yard, h->yard, sizeof d->yard);
    g_hash_table_insert(j->deals, leader_key_of(index), d);
    room_add(&h->dealt, j->room);
    room_add(&l->teams[j->team].used, j->room);
}

/* Tells the part of what was booked; bound: to that machine and no other. */
static void deal_to(struct leader *l, struct ljob *j, uint32_t index, bool bound)
{
    struct deal *d = g_hash_table_lookup(j->deals, leader_key_of(index));
    struct job *v = view_job(l->view, j->id.s);
    cJSON *x = bus_task(j->id, index, d->attempt);
    bus_put_u64(x, "n", d->number);
    if (v->spec->one_zone || v->spec->apart)
        cJSON_AddStringToObject(x, "y", d->yard);
    if (bound)
        cJSON_AddStringToObject(x, "h", d->host->id.s);
    lpart_put(&lpart_make(l, d->host->owner)->deal, x);
}

static bool task_waits(const struct ljob *j, const struct job *v, uint32_t index)
{
    return !job_task_done(v, index) && !job_placed(v, index) &&
           !g_hash_table_contains(j->entries, leader_key_of(index)) &&
           !g_hash_table_contains(j->deals, leader_key_of(index));
}

/* The next task that waits, or the job's size. */
static uint32_t next_waiting(struct ljob *j, const struct job *v)
{
    while (j->cursor < v->tasks && !task_waits(j, v, j->cursor))
        j->cursor++;
    return j->cursor;
}

static uint32_t count_waiting(struct ljob *j, const struct job *v)
{
    uint32_t busy = g_hash_table_size(j->entries) + g_hash_table_size(j->deals) + v->n_done;
    return busy >= v->tasks ? 0 : v->tasks - busy;
}

static bool within(struct room used, struct room more, amount cpus, amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

/* Whether what the job's class is expected to do can still be done. One that has waited for very
 * long has its place back, so that none waits for ever. */
static bool still_in_time(struct leader *l, struct ljob *j, const struct job *v)
{
    double waited = (double)(loop_wall(l->loop).ms - v->since.ms) / 1000;
    j->aged = waited > AGED_S;
    j->overdue = waited > OVERDUE_S;
    return waited < j->patience_s || j->aged;
}

/* Classes of precedence: services first, as people wait on them; then what a team was promised;
 * then what it borrows. */
int leader_rank_of(struct leader *l, struct ljob *j)
{
    struct lteam *t = &l->teams[j->team];
    if (j->urgency == URGENCY_PROD)
        return 0;
    if (within(t->used, j->room, t->team->cpus, t->team->gpus))
        return j->urgency;
    /* What is overdue goes before all that is borrowed, or urgent work would hold it back for ever.
     */
    return j->overdue ? 4 : (j->in_time ? 4 : 8) + j->urgency;
}

struct room leader_limit_left(const struct lteam *t)
{
    return room_left((struct room){t->team->cpus_max, t->team->gpus_max, {INT64_MAX / 4}}, t->used);
}

/* Tasks that wait and that the team's limit leaves room for. */
int64_t leader_count_allowed(struct leader *l, struct ljob *j, struct job *v)
{
    struct room left = leader_limit_left(&l->teams[j->team]);
    return MIN((int64_t)count_waiting(j, v), room_times(left, j->room));
}

static void halt(struct leader *l, struct ljob *j, uint32_t index, struct entry *e, double grace_s)
{
    struct lhost *h = lhost_get(l, e->host.s);
    if (!h || !h->owner)
        return;
    if (!e->halted)
        room_add(&l->teams[j->team].halting, j->room);
    e->halted = true;
    cJSON *x = bus_task(j->id, index, e->attempt);
    cJSON_AddStringToObject(x, "h", e->host.s);
    cJSON_AddNumberToObject(x, "g", grace_s);
    lpart_put(&lpart_make(l, h->owner)->halt, x);
}

struct victim {
    struct ljob *job;
    uint32_t index;
    struct entry *entry;
};

/* The youngest first: the least is lost with them. */
static gint by_youth(gconstpointer a, gconstpointer b)
{
    const struct victim *x = a, *y = b;
    return x->entry->since.us > y->entry->since.us ? -1 : x->entry->since.us < y->entry->since.us;
}

/* Whether all that waits of a job lies within its team's guarantee. */
static bool guaranteed(struct leader *l, struct ljob *j, struct job *v)
{
    struct lteam *t = &l->teams[j->team];
    int64_t n = count_waiting(j, v);
    struct room all = {{j->room.cpus.milli * n}, {j->room.gpus.milli * n}, {0}};
    return within(t->used, all, t->team->cpus, t->team->gpus);
}

/* A job that finds no room, and what it may have stopped: work of lower priority, and what other
 * teams run above their guarantee while its own lacks it. */
struct claim {
    struct ljob *job;
    struct job *view;
    bool over_lower, over_borrowed;
    bool image; /* on machines with its image only */
};

/* Services are not stopped for a guarantee. */
static bool may_stop(struct leader *l, struct ljob *victim, const struct claim *c)
{
    /* What waited for long is not stopped again and again, but for services. */
    if (victim->urgency > c->job->urgency)
        return c->over_lower && (!victim->overdue || c->job->service);
    const struct lteam *t = &l->teams[victim->team];
    return victim->team != c->job->team && !victim->service && c->over_borrowed &&
           (t->used.cpus.milli - t->halting.cpus.milli - victim->room.cpus.milli >=
                t->team->cpus.milli &&
            t->used.gpus.milli - t->halting.gpus.milli - victim->room.gpus.milli >=
                t->team->gpus.milli);
}

/* Tasks on a machine that may be stopped for a job, youngest first. Gangs are let be: one task
 * stopped stops them all. */
static GArray *victims_on(struct leader *l, struct lhost *h, const struct claim *c)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct victim));
    struct host_record *rec = view_host(l->view, h->id.s);
    loop_work(l->loop, rec ? rec->tasks->len : 0);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *t = rec->tasks->pdata[i];
        struct ljob *j = ljob_get(l, t->job->id.s);
        struct entry *e = j ? g_hash_table_lookup(j->entries, leader_key_of(t->index)) : NULL;
        if (!e || e->attempt.v != t->attempt.v || !host_eq(e->host, h->id) || e->halted ||
            !t->job->spec || t->job->spec->form == FORM_GANG || !may_stop(l, j, c))
            continue;
        struct victim v = {j, t->index, e};
        g_array_append_val(out, v);
    }
    g_array_sort(out, by_youth);
    return out;
}

/* Whether a task of a service could go to another machine that is not in the zone. */
static bool could_leave(struct leader *l, struct ljob *j, const struct spec *s, int zone)
{
    count_zones(l, j, s);
    loop_work(l->loop, l->open->len);
    for (guint i = 0; i < l->open->len; i++) {
        struct lhost *h = l->open->pdata[i];
        if (h->zone != zone && room_holds(leader_host_free_room(h), j->room) &&
            host_allowed(l, j, s, h))
            return true;
    }
    return false;
}

/* A replica on a machine that may be moved away, so that there is room for another. */
static bool may_move(struct leader *l, struct lhost *h, struct placed *t, struct ljob *for_job,
                     struct ljob **owner, struct entry **entry)
{
    struct ljob *j = ljob_get(l, t->job->id.s);
    if (!j || !j->service || j == for_job || !t->job->spec)
        return false;
    struct entry *e = g_hash_table_lookup(j->entries, leader_key_of(t->index));
    struct room free = leader_host_free_room(h);
    room_add(&free, j->room);
    if (!e || e->halted || time_ms_since(loop_now(l->loop), e->since) < MOVE_AFTER_MS ||
        !room_holds(free, for_job->room))
        return false;
    *owner = j;
    *entry = e;
    return true;
}

/* Moves one replica away from a machine, if one could be elsewhere. stays: services that could not
 * leave the zone, whatever machine they are on. */
static bool move_one(struct leader *l, struct lhost *h, struct ljob *j, GHashTable *stays)
{
    struct host_record *rec = view_host(l->view, h->id.s);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *t = rec->tasks->pdata[i];
        struct ljob *other;
        struct entry *e;
        loop_work(l->loop, 1);
        if (g_hash_table_contains(stays, t->job) || !may_move(l, h, t, j, &other, &e))
            continue;
        if (!could_leave(l, other, t->job->spec, h->zone)) {
            g_hash_table_add(stays, t->job);
            continue;
        }
        LOG_INFO("move", "job=%s task=%u machine=%s for=%s", t->job->id.s, t->index, h->id.s,
                 j->id.s);
        halt(l, other, t->index, e, t->job->spec->stow_s);
        return true;
    }
    return false;
}

/* A replica that has to be in one zone finds it full, of others that could as well be elsewhere:
 * one of these is moved, which costs it a moment. All machines of a zone are looked through, so
 * when that was in vain it is not done again for a while, whoever asks for as much. */
static void make_way(struct leader *l, struct ljob *j, struct job *v)
{
    mono_time now = loop_now(l->loop);
    for (guint zone = 0; zone < l->settings->zones->len; zone++) {
        struct no_way *n = &l->no_way[zone];
        count_zones(l, j, v->spec);
        if (!zone_allowed(l, j, v->spec, (int)zone) ||
            (time_before(now, n->until) && room_holds(j->room, n->room)))
            continue;
        GHashTable *stays = g_hash_table_new(NULL, NULL);
        bool moved = false;
        for (guint k = 0; k < l->open->len && !moved; k++) {
            struct lhost *h = l->open->pdata[k];
            if (h->zone == (int)zone && h->pinned.cpus.milli &&
                spec_allows(v->spec, h->build, h->yard, h->loaners))
                moved = move_one(l, h, j, stays);
        }
        g_hash_table_unref(stays);
        if (moved)
            return;
        *n = (struct no_way){time_add_ms(now, NO_WAY_MS), j->room};
    }
}

/* A machine on which room for a task could be made, and what that would cost. */
struct clearing {
    struct lhost *host;
    struct room more; /* made already, and not used yet */
    double loss;      /* < 0: there is no more to be had */
};

static void weigh(struct leader *l, const struct claim *c, struct clearing *x)
{
    struct ljob *j = c->job;
    struct lhost *h = x->host;
    mono_time now = loop_now(l->loop);
    struct room free = leader_host_free_room(h);
    room_add(&free, x->more);
    x->loss = -1;
    GArray *victims = victims_on(l, h, c);
    double loss = 0;
    for (guint i = 0; i < victims->len && !room_holds(free, j->room); i++) {
        struct victim *v = &g_array_index(victims, struct victim, i);
        room_add(&free, v->job->room);
        loss += (double)v->job->room.cpus.milli * (double)(1 + time_ms_since(now, v->entry->since));
    }
    g_array_unref(victims);
    /* A machine that services hold already is kept anyway, and one without the image is late. */
    if (room_holds(free, j->room))
        x->loss = loss * (1.2 - room_share(h->pinned, h->total) +
                          (images_hold(h->images, c->view->spec->image) ? 0 : 1));
}

/* Every machine where room could be made. */
static GArray *clearings(struct leader *l, const struct claim *c)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct clearing));
    loop_work(l->loop, l->open->len);
    for (guint i = 0; i < l->open->len; i++) {
        struct lhost *h = l->open->pdata[i];
        if (!room_holds(room_left(h->total, h->pinned), c->job->room) ||
            !host_allowed(l, c->job, c->view->spec, h) ||
            (c->image && !images_hold(h->images, c->view->spec->image)))
            continue;
        struct clearing x = {.host = h};
        weigh(l, c, &x);
        if (x.loss >= 0)
            g_array_append_val(out, x);
    }
    return out;
}

static struct clearing *cheapest(struct leader *l, const struct claim *c, GArray *all)
{
    struct clearing *best = NULL;
    for (guint i = 0; i < all->len; i++) {
        struct clearing *x = &g_array_index(all, struct clearing, i);
        if (x->loss >= 0 && (!best || x->loss < best->loss) &&
            zone_allowed(l, c->job, c->view->spec, x->host->zone))
            best = x;
    }
    return best;
}

/* Stops what has to be stopped on a machine for one task. */
static void clear_room(struct leader *l, const struct claim *c, struct clearing *x)
{
    GArray *victims = victims_on(l, x->host, c);
    struct room free = leader_host_free_room(x->host);
    room_add(&free, x->more);
    for (guint i = 0; i < victims->len && !room_holds(free, c->job->room); i++) {
        struct victim *v = &g_array_index(victims, struct victim, i);
        struct job *vx = view_job(l->view, v->job->id.s);
        LOG_INFO("preempt", "job=%s task=%u machine=%s for=%s why=%s", v->job->id.s, v->index,
                 x->host->id.s, c->job->id.s,
                 v->job->urgency > c->job->urgency ? "priority" : "guarantee");
        room_add(&free, v->job->room);
        room_add(&x->more, v->job->room);
        v->entry->cleared_for = c->job->id;
        c->job->clearing++;
        halt(l, v->job, v->index, v->entry, vx && vx->spec ? vx->spec->stow_s : 0);
    }
    room_sub(&x->more, c->job->room);
    g_array_unref(victims);
}

/* Whether anything runs that the claim might stop. */
static bool claim_has_hope(struct leader *l, const struct claim *c)
{
    for (int u = c->job->urgency + 1; c->over_lower && u < (int)G_N_ELEMENTS(l->running); u++)
        if (l->running[u])
            return true;
    for (int i = 0; c->over_borrowed && i < l->n_teams; i++) {
        struct lteam *t = &l->teams[i];
        if (i != c->job->team &&
            (t->used.cpus.milli - t->halting.cpus.milli > t->team->cpus.milli ||
             t->used.gpus.milli - t->halting.gpus.milli > t->team->gpus.milli))
            return true;
    }
    return false;
}

/* How many tasks there would be room for on a machine if all that may be stopped was. */
static int64_t would_hold(struct leader *l, const struct claim *c, struct lhost *h)
{
    struct room free = leader_host_free_room(h);
    GArray *victims = victims_on(l, h, c);
    for (guint i = 0; i < victims->len; i++)
        room_add(&free, g_array_index(victims, struct victim, i).job->room);
    g_array_unref(victims);
    return room_times(free, c->job->room);
}

/* For how many tasks of a gang room has to be made beside what is held for it: all that it lacks,
 * or none when it would still not be whole. One that has to be in one zone has it made in one where
 * that is enough, and where the least is lacking; the machines of others are passed over. */
static int64_t gang_lacks(struct leader *l, const struct claim *c, GArray *all, int64_t lacks)
{
    struct ljob *j = c->job;
    bool one_zone = c->view->spec->one_zone;
    guint zones = one_zone ? l->settings->zones->len : 1;
    int64_t least = 0;
    int best = -1;
    for (guint z = 0; z < zones; z++) {
        int64_t need = one_zone && (int)z != j->held_zone ? lacks + j->held : lacks, holds = 0;
        for (guint i = 0; i < all->len; i++) {
            struct lhost *h = g_array_index(all, struct clearing, i).host;
            if (!one_zone || h->zone == (int)z)
                holds += would_hold(l, c, h);
        }
        if (holds >= need && (best < 0 || need < least)) {
            best = (int)z;
            least = need;
        }
    }
    for (guint i = 0; one_zone && i < all->len; i++) {
        struct clearing *x = &g_array_index(all, struct clearing, i);
        if (x->host->zone != best)
            x->loss = -1;
    }
    if (best >= 0)
        j->clear_zone = best;
    return least;
}

/* Makes room for tasks that fit nowhere, by stopping work of lower priority where that loses the
 * least. What is stopped is off the record a moment later, and ranks behind. */
static void preempt(struct leader *l, struct ljob *j, struct job *v, bool image)
{
    mono_time now = loop_now(l->loop);
    /* Just after a change of epoch much of the room is not known yet. */
    if ((j->preempted_at.us && time_ms_since(now, j->preempted_at) < PREEMPT_MS) ||
        time_ms_since(now, l->epoch_at) < (int64_t)(l->settings->report_s * 1250))
        return;
    j->preempted_at = now;
    struct claim c = {j, v, leader_may_preempt(l, j, v->spec), guaranteed(l, j, v), image};
    bool moves = v->spec->form == FORM_SERVICE && v->spec->apart;
    if (!claim_has_hope(l, &c) && !moves)
        return;
    GArray *all = clearings(l, &c);
    /* What was stopped for it before and is not off the record yet is room that is on its way:
     * while few writes are allowed that takes several seconds, and all would be stopped over and
     * over. */
    int64_t n = leader_count_allowed(l, j, v) - j->held - j->clearing;
    bool gang = v->spec->form == FORM_GANG;
    if (gang && n > 0)
        n = gang_lacks(l, &c, all, n);
    n = MIN(n, PREEMPT_TASKS);
    for (int64_t k = 0; k < n; k++) {
        struct clearing *best = cheapest(l, &c, all);
        if (!best) {
            if (k == 0 && moves)
                make_way(l, j, v);
            break;
        }
        clear_room(l, &c, best);
        weigh(l, &c, best);
        if (v->spec->one_zone && !gang)
            break; /* the zone is settled once this one is placed */
        if (best->host->zone >= 0 && v->spec->apart)
            l->zone_tasks[best->host->zone]++;
    }
    g_array_unref(all);
}

/* People wait on a service, and a fetch takes longer than to stop other work where the image is:
 * for a moment only such machines will do, if there are any. */
static bool holds_out_for_image(struct leader *l, struct ljob *j, struct job *v)
{
    const struct spec *s = v->spec;
    if (s->urgency != URGENCY_PROD || loop_wall(l->loop).ms - v->since.ms > HOLD_OUT_MS ||
        !leader_may_preempt(l, j, s))
        return false;
    for (guint i = 0; i < l->open->len; i++) {
        struct lhost *h = l->open->pdata[i];
        if (images_hold(h->images, s->image) &&
            room_holds(room_left(h->total, h->pinned), j->room) && host_allowed(l, j, s, h))
            return true;
    }
    return false;
}

/* Deals so many tasks at most, to the best machines; tells how many. */
static int deal_some(struct leader *l, struct ljob *j, struct job *v, int most)
{
    int n = (int)MIN(most, leader_count_allowed(l, j, v)), dealt = 0;
    if (n <= 0)
        return 0;
    count_zones(l, j, v->spec);
    bool image = holds_out_for_image(l, j, v);
    if (!is_full(l, v->spec)) {
        GArray *hosts = choices(l, j, v->spec, image);
        attempt_no attempt = next_attempt(l);
        for (guint i = 0; i < hosts->len && dealt < n; i++) {
            struct lhost *h = g_array_index(hosts, struct choice, i).host;
            while (dealt < n && room_holds(leader_host_free_room(h), j->room) &&
                   zone_allowed(l, j, v->spec, h->zone)) {
                uint32_t index = next_waiting(j, v);
                if (index >= v->tasks)
                    n = dealt; /* more is on record than the count says */
                else {
                    book(l, j, index, attempt, h);
                    deal_to(l, j, index, false);
                    if (h->zone >= 0)
                        l->zone_tasks[h->zone]++;
                    dealt++;
                }
            }
        }
        if (!hosts->len && !image)
            note_full(l, v->spec);
        g_array_unref(hosts);
    }
    if (!dealt) {
        j->blocked = true;
        preempt(l, j, v, image);
    }
    return dealt;
}

/* The best machines for so many tasks of a job, in one zone or (-1) in any; a machine stands there
 * once for each task. */
static GPtrArray *places(struct leader *l, struct ljob *j, const struct spec *s, uint32_t most,
                         int zone)
{
    GPtrArray *out = g_ptr_array_new();
    count_zones(l, j, s);
    GArray *hosts = choices(l, j, s, false);
    for (guint i = 0; i < hosts->len && out->len < most; i++) {
        struct lhost *h = g_array_index(hosts, struct choice, i).host;
        int64_t holds = room_times(leader_host_free_room(h), j->room);
        for (int64_t k = 0; k < holds && out->len < most && (zone < 0 || h->zone == zone) &&
                            zone_allowed(l, j, s, h->zone);
             k++) {
            g_ptr_array_add(out, h);
            if (h->zone >= 0 && s->apart) /* one zone is for the caller to settle */
                l->zone_tasks[h->zone]++;
        }
    }
    g_array_unref(hosts);
    return out;
}

/* The same for a whole gang, or as much of it as finds room. One that has to be in one zone goes
 * where all of it does; else to where room is being made for it, or where most of it finds some. */
static GPtrArray *gang_places(struct leader *l, struct ljob *j, const struct spec *s, uint32_t most)
{
    if (!s->one_zone)
        return places(l, j, s, most, -1);
    GPtrArray *best = g_ptr_array_new();
    guint best_worth = 0;
    for (guint z = 0; z < l->settings->zones->len && best->len < most; z++) {
        GPtrArray *here = places(l, j, s, most, (int)z);
        bool clears = j->clearing && (int)z == j->clear_zone;
        guint worth = here->len == most ? 2 * most : here->len + (clears ? most : 0);
        if (worth > best_worth) {
            g_ptr_array_unref(best);
            best = g_ptr_array_ref(here);
            best_worth = worth;
        }
        g_ptr_array_unref(here);
    }
    return best;
}

/* A gang that lost a task cannot go on: what is left of it is stopped, and it starts whole again
 * once nothing of it is on record. */
static void gang_mend(struct leader *l, struct ljob *j, struct job *v)
{
    mono_time now = loop_now(l->loop);
    guint placed = g_hash_table_size(j->entries);
    if (!placed || g_hash_table_size(j->deals) || placed + v->n_done >= v->tasks) {
        j->gang_since = now;
        return;
    }
    if (time_ms_since(now, j->gang_since) < 2000)
        return;
    j->gang_since = now;
    LOG_INFO("gang_broken", "job=%s placed=%u of=%u", j->id.s, placed, v->tasks);
    GHashTableIter it;
    gpointer key;
    struct entry *e;
    g_hash_table_iter_init(&it, j->entries);
    while (g_hash_table_iter_next(&it, &key, (gpointer *)&e))
        halt(l, j, GPOINTER_TO_UINT(key) - 1, e, v->spec->stow_s);
}

/* Tasks that a part could not place are dealt once more, under the attempt of the others: as they
 * were never on record, the gang has not begun, and waits for them. */
static void gang_complete(struct leader *l, struct ljob *j, struct job *v)
{
    if (!j->gang.v || j->gang_broken)
        return;
    for (uint32_t i = 0; i < v->tasks; i++) {
        if (!task_waits(j, v, i) || !room_holds(leader_limit_left(&l->teams[j->team]), j->room))
            continue;
        GPtrArray *place = places(l, j, v->spec, 1, -1);
        if (place->len) {
            book(l, j, i, j->gang, place->pdata[0]);
            deal_to(l, j, i, true);
        }
        g_ptr_array_unref(place);
    }
}

/* Whether a gang would find room if nothing but services ran on the machines that there are. */
static bool could_be_whole(struct leader *l, struct ljob *j, const struct spec *s, uint32_t left)
{
    guint zones = s->one_zone ? l->settings->zones->len : 1;
    bool whole = false;
    loop_work(l->loop, l->open->len);
    count_zones(l, j, s);
    for (guint z = 0; z < zones && !whole; z++) {
        int64_t n = 0;
        for (guint i = 0; i < l->open->len; i++) {
            struct lhost *h = l->open->pdata[i];
            if (host_allowed(l, j, s, h) && (!s->one_zone || h->zone == (int)z))
                n += room_times(room_left(h->total, h->pinned), j->room);
        }
        whole = n >= left;
    }
    return whole;
}

/* Smaller tasks would take what becomes free on a machine before it is enough for a task of the
 * gang. One that has waited for long holds all that is free on further machines, those first that
 * run the least, until they would have room for what it lacks; if there are enough. */
static void hold_machines(struct leader *l, struct ljob *j, const struct spec *s, GPtrArray *held,
                          int64_t lacks)
{
    int zone = s->one_zone && held->len ? ((struct lhost *)held->pdata[0])->zone : -1;
    GArray *more = g_array_new(FALSE, FALSE, sizeof(struct choice));
    int64_t holds = -(int64_t)held->len;
    loop_work(l->loop, l->open->len);
    count_zones(l, j, s);
    for (guint i = 0; i < l->open->len; i++) {
        struct lhost *h = l->open->pdata[i];
        struct choice c = {h, -room_share(h->booked, h->total)};
        int64_t n = room_times(room_left(h->total, h->pinned), j->room);
        if (!n || !host_allowed(l, j, s, h) || (s->one_zone && zone >= 0 && h->zone != zone))
            continue;
        if (s->one_zone)
            zone = h->zone;
        g_array_append_val(more, c);
        holds += n;
    }
    g_array_sort(more, by_score);
    for (guint i = 0; i < more->len && lacks > 0 && holds >= lacks; i++) {
        struct lhost *h = g_array_index(more, struct choice, i).host;
        int64_t n = room_times(room_left(h->total, h->pinned), j->room);
        for (guint k = 0; k < held->len; k++)
            n -= held->pdata[k] == h;
        room_add(&h->held, leader_host_free_room(h));
        lacks -= n;
        holds -= n;
    }
    g_array_unref(more);
}

/* How long a gang may hope for machines that are on their way: as long as slow ones take to boot
 * and report, but less than others may be kept waiting beside free room. */
static double hope_ms(struct leader *l)
{
    return MIN((leader_slowest_boot(l) * 3 + l->settings->report_s * 1.25) * 1000, MOST_HOPE_MS);
}

/* All tasks of a gang are dealt at once, each to a machine where it has room, or none is. Then what
 * room there is for it is held for this pass, or others would take it as soon as it is free and the
 * gang would never find enough at once. Whoever comes first holds first, so no two gangs hold what
 * the other one needs. */
static bool deal_gang(struct leader *l, struct ljob *j, struct job *v)
{
    if (g_hash_table_size(j->entries) || g_hash_table_size(j->deals) || v->placed) {
        gang_complete(l, j, v);
        gang_mend(l, j, v);
        return false;
    }
    struct lteam *t = &l->teams[j->team];
    uint32_t left = v->tasks - v->n_done;
    struct room all = {{j->room.cpus.milli * left}, {j->room.gpus.milli * left}, {0}};
    if (!left || !within(t->used, all, t->team->cpus_max, t->team->gpus_max))
        return false;
    GPtrArray *hosts = is_full(l, v->spec) ? g_ptr_array_new() : gang_places(l, j, v->spec, left);
    bool whole = hosts->len == left;
    if (whole) {
        j->gang = next_attempt(l);
        j->gang_broken = false;
        j->lacks_since = (mono_time){0};
        for (uint32_t i = 0, k = 0; i < v->tasks; i++) {
            if (job_task_done(v, i))
                continue;
            book(l, j, i, j->gang, hosts->pdata[k++]);
            deal_to(l, j, i, true);
        }
    } else {
        j->held = hosts->len;
        j->held_zone = hosts->len ? ((struct lhost *)hosts->pdata[0])->zone : -1;
        j->blocked = true;
        mono_time now = loop_now(l->loop);
        if (!j->lacks_since.us)
            j->lacks_since = now;
        bool hope = (double)time_ms_since(now, j->lacks_since) < hope_ms(l) ||
                    could_be_whole(l, j, v->spec, left);
        for (guint i = 0; i < hosts->len; i++) {
            struct lhost *h = hosts->pdata[i];
            h->wanted = true;
            if (hope)
                room_add(&h->held, j->room);
        }
        if (hope || !hosts->len)
            note_full(l, v->spec);
        if (hope)
            preempt(l, j, v, false);
        if (j->aged && l->holding++ < MOST_HOLDING)
            hold_machines(l, j, v->spec, hosts, (int64_t)left - hosts->len);
    }
    g_ptr_array_unref(hosts);
    return whole;
}

/* How long the job would keep its team's whole limit busy. */
static double keeps_busy_s(struct leader *l, const struct ljob *j, const struct job *v)
{
    const struct team *t = l->teams[j->team].team;
    double all = (double)j->room.cpus.milli * v->tasks, most = (double)t->cpus_max.milli;
    double cards = (double)j->room.gpus.milli * v->tasks, most_cards = (double)t->gpus_max.milli;
    double share = MAX(most > 0 ? all / most : 0, most_cards > 0 ? cards / most_cards : 0);
    return share * v->spec->expected_s;
}

/* By arrival and size; but jobs that are late whatever is done now stand behind those that may
 * still be in time. */
static gint by_place(gconstpointer a, gconstpointer b)
{
    const struct ljob *x = *(struct ljob *const *)a, *y = *(struct ljob *const *)b;
    if (x->in_time != y->in_time)
        return x->in_time ? -1 : 1;
    if (x->aged != y->aged)
        return x->aged ? -1 : 1;
    if (x->place_ms != y->place_ms)
        return x->place_ms < y->place_ms ? -1 : 1;
    return strcmp(x->id.s, y->id.s);
}

/* Aged jobs and those that may be in time take turns: either alone at the front would make all the
 * others late. */
static void take_turns(GPtrArray *ready)
{
    guint aged = 0, timely = 0;
    for (guint i = 0; i < ready->len; i++) {
        struct ljob *j = ready->pdata[i];
        aged += j->aged;
        timely += !j->aged && j->in_time;
    }
    if (!aged || !timely)
        return;
    GPtrArray *out = g_ptr_array_sized_new(ready->len);
    for (guint i = 0; i < MAX(aged, timely); i++) {
        if (i < aged)
            g_ptr_array_add(out, ready->pdata[i]);
        if (i < timely)
            g_ptr_array_add(out, ready->pdata[aged + i]);
    }
    memcpy(ready->pdata, out->pdata, out->len * sizeof *out->pdata);
    g_ptr_array_unref(out);
}

/* What a team may deal in its turn. Jobs that have no more to deal in this rank, or no room, are
 * passed over until the next pass; false when the team is through with the rank. */
static bool deal_turn(struct leader *l, struct lteam *t, int rank, int budget, int *dealt)
{
    while (t->at < t->ready->len && *dealt < budget) {
        struct ljob *j = t->ready->pdata[t->at];
        struct job *v = j->view;
        if (j->blocked || next_waiting(j, v) >= v->tasks || leader_rank_of(l, j) != rank) {
            t->at++;
            continue;
        }
        double cost = CLAMP((double)j->room.cpus.milli, 1, MOST_DEFICIT);
        int most = (int)MIN(t->deficit / cost, budget - *dealt);
        if (most < 1)
            return true;
        int n = v->spec->form == FORM_GANG ? deal_gang(l, j, v) : deal_some(l, j, v, most);
        if (n == 0)
            t->at++;
        t->deficit -= n * cost;
        *dealt += n;
    }
    if (t->at >= t->ready->len)
        t->deficit = 0;
    return t->at < t->ready->len;
}

/* Deficit round robin over the teams that have something in this rank: each turn a team may deal as
 * much as its share. */
int leader_deal_rank(struct leader *l, int rank, int budget)
{
    int dealt = 0;
    bool any = true;
    for (int i = 0; i < l->n_teams; i++)
        l->teams[i].at = 0;
    while (any && dealt < budget) {
        any = false;
        for (int i = 0; i < l->n_teams && dealt < budget; i++) {
            struct lteam *t = &l->teams[(l->first_team + i) % l->n_teams];
            if (t->at >= t->ready->len)
                continue;
            t->deficit = MIN(t->deficit + MAX(t->team->cpus.milli / 16, 1000), MOST_DEFICIT);
            any = deal_turn(l, t, rank, budget, &dealt) || any;
        }
    }
    return dealt;
}

bool leader_collect_ready(struct leader *l)
{
    mono_time now = loop_now(l->loop);
    bool any = false;
    for (int i = 0; i < l->n_teams; i++)
        g_ptr_array_set_size(l->teams[i].ready, 0);
    GHashTableIter it;
    struct ljob *j;
    g_hash_table_iter_init(&it, l->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
        struct job *v = view_job(l->view, j->id.s);
        j->blocked = false;
        j->held = 0;
        /* What it needs is done once that is durable and seen here, whoever led when it was. */
        if (!v || !v->known || v->state != JOB_LIVE || !v->spec || v->waits ||
            time_before(now, j->not_before))
            continue;
        if (v->spec->form != FORM_GANG && next_waiting(j, v) >= v->tasks)
            continue;
        j->in_time = still_in_time(l, j, v);
        j->view = v;
        j->place_ms = v->since.ms + (int64_t)(SIZE_COUNTS * 1000 * keeps_busy_s(l, j, v));
        g_ptr_array_add(l->teams[j->team].ready, j);
        any = true;
    }
    for (int i = 0; i < l->n_teams; i++) {
        g_ptr_array_sort(l->teams[i].ready, by_place);
        take_turns(l->teams[i].ready);
    }
    return any;
}

bool leader_ready_to_deal(struct leader *l)
{
    if (!membership_leads(l->members) || l->epoch.v != l->view->epoch.v || !l->view->types)
        return false;
    if (time_ms_since(loop_now(l->loop), l->epoch_at) > SETTLE_MS)
        return true;
    GHashTableIter it;
    struct lpart *p;
    g_hash_table_iter_init(&it, l->parts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
        if (!p->digested)
            return false;
    return true;
}
