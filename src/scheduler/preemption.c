#include "preemption.h"

#include "image_cache.h"
#include "log.h"
#include "placement.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

enum {
    MOVE_AFTER_MS = 35000,  /* a start counts once it has run for a while */
    PREEMPT_TASKS = 32,     /* at a time, for one job */
    PREEMPT_MS = 1000,      /* for what was stopped to be off the record */
    HOLD_OUT_MS = 1200,     /* for a machine that has the image */
    MOVE_BACKOFF_MS = 1000, /* a zone in which nothing can be moved is let be */
};

/* A task on record that may be stopped. */
struct victim {
    struct leader_job *job;
    uint32_t index;
    struct entry *entry;
};

/* The youngest first: the least is lost with them. */
static gint by_youth(gconstpointer a, gconstpointer b)
{
    const struct victim *victim = a, *y = b;
    return victim->entry->since.us > y->entry->since.us
               ? -1
               : victim->entry->since.us < y->entry->since.us;
}

/* Whether all that waits of a job lies within its team's guarantee. */
static bool guaranteed(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    struct leader_team *team = &leader->teams[job->team];
    int64_t n = leader_count_waiting(job, job_view);
    struct room all = {{job->room.cpus.milli * n}, {job->room.gpus.milli * n}, {0}};
    return leader_within_limits(team->used, all, team->team->cpus, team->team->gpus);
}

/* A job that finds no room, and what it may have stopped: work of lower priority, and what other
 * teams run above their guarantee while its own lacks it. */
struct claim {
    struct leader_job *job;
    struct job *view;
    bool over_lower, over_borrowed;
    bool image; /* on machines with its image only */
};

/* Services are not stopped for a guarantee. */
static bool may_stop(struct leader *leader, struct leader_job *victim, const struct claim *claim)
{
    /* What waited for long is not stopped again and again, but for services. */
    if (victim->urgency > claim->job->urgency)
        return claim->over_lower && (!victim->overdue || claim->job->service);
    const struct leader_team *team = &leader->teams[victim->team];
    return victim->team != claim->job->team && !victim->service && claim->over_borrowed &&
           (team->used.cpus.milli - team->halting.cpus.milli - victim->room.cpus.milli >=
                team->team->cpus.milli &&
            team->used.gpus.milli - team->halting.gpus.milli - victim->room.gpus.milli >=
                team->team->gpus.milli);
}

/* Tasks on a machine that may be stopped for a job, youngest first. Gangs are let be: one task
 * stopped stops them all. */
static GArray *victims_on(struct leader *leader, struct leader_host *host,
                          const struct claim *claim)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct victim));
    struct host_record *rec = view_host(leader->view, host->id.s);
    loop_work(leader->loop, rec ? rec->tasks->len : 0);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *placed = rec->tasks->pdata[i];
        struct leader_job *job = leader_job_get(leader, placed->job->id.s);
        struct entry *entry =
            job ? g_hash_table_lookup(job->entries, leader_key_of(placed->index)) : NULL;
        if (!entry || entry->attempt.v != placed->attempt.v || !host_eq(entry->host, host->id) ||
            entry->halted || !placed->job->spec || placed->job->spec->form == FORM_GANG ||
            !may_stop(leader, job, claim))
            continue;
        struct victim victim = {job, placed->index, entry};
        g_array_append_val(out, victim);
    }
    g_array_sort(out, by_youth);
    return out;
}

/* Whether a task of a service could go to another machine that is not in the zone. */
static bool could_leave(struct leader *leader, struct leader_job *job, const struct spec *spec,
                        int zone_index)
{
    leader_count_zones(leader, job, spec);
    loop_work(leader->loop, leader->open_hosts->len);
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        if (host->zone_index != zone_index && room_holds(leader_host_free_room(host), job->room) &&
            leader_host_allowed(leader, job, spec, host))
            return true;
    }
    return false;
}

/* A replica on a machine that may be moved away, so that there is room for another. */
static bool may_move(struct leader *leader, struct leader_host *host, struct placed *placed,
                     struct leader_job *for_job, struct leader_job **owner, struct entry **entry)
{
    struct leader_job *job = leader_job_get(leader, placed->job->id.s);
    if (!job || !job->service || job == for_job || !placed->job->spec)
        return false;
    struct entry *e = g_hash_table_lookup(job->entries, leader_key_of(placed->index));
    struct room free = leader_host_free_room(host);
    room_add(&free, job->room);
    if (!e || e->halted || time_ms_since(loop_now(leader->loop), e->since) < MOVE_AFTER_MS ||
        !room_holds(free, for_job->room))
        return false;
    *owner = job;
    *entry = e;
    return true;
}

/* Moves one replica away from a machine, if one could be elsewhere. stays: services that could not
 * leave the zone, whatever machine they are on. */
static bool move_one(struct leader *leader, struct leader_host *host, struct leader_job *job,
                     GHashTable *stays)
{
    struct host_record *rec = view_host(leader->view, host->id.s);
    for (guint i = 0; rec && i < rec->tasks->len; i++) {
        struct placed *placed = rec->tasks->pdata[i];
        struct leader_job *other;
        struct entry *entry;
        loop_work(leader->loop, 1);
        if (g_hash_table_contains(stays, placed->job) ||
            !may_move(leader, host, placed, job, &other, &entry))
            continue;
        if (!could_leave(leader, other, placed->job->spec, host->zone_index)) {
            g_hash_table_add(stays, placed->job);
            continue;
        }
        LOG_INFO("move", "job=%s task=%u machine=%s for=%s", placed->job->id.s, placed->index,
                 host->id.s, job->id.s);
        leader_send_halt(leader, other, placed->index, entry, placed->job->spec->save_s);
        return true;
    }
    return false;
}

/* A replica that has to be in one zone finds it full, of others that could as well be elsewhere:
 * one of these is moved, which costs it a moment. All machines of a zone are looked through, so
 * when that was in vain it is not done again for a while, whoever asks for as much. */
static void make_way(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    mono_time now = loop_now(leader->loop);
    for (guint zone_index = 0; zone_index < leader->settings->zones->len; zone_index++) {
        struct move_backoff *backoff = &leader->move_backoffs[zone_index];
        leader_count_zones(leader, job, job_view->spec);
        if (!leader_zone_allowed(leader, job, job_view->spec, (int)zone_index) ||
            (time_before(now, backoff->until) && room_holds(job->room, backoff->room)))
            continue;
        GHashTable *stays = g_hash_table_new(NULL, NULL);
        bool moved = false;
        for (guint k = 0; k < leader->open_hosts->len && !moved; k++) {
            struct leader_host *host = leader->open_hosts->pdata[k];
            if (host->zone_index == (int)zone_index && host->pinned.cpus.milli &&
                spec_allows(job_view->spec, host->type_name, host->zone, host->spot))
                moved = move_one(leader, host, job, stays);
        }
        g_hash_table_unref(stays);
        if (moved)
            return;
        *backoff = (struct move_backoff){time_add_ms(now, MOVE_BACKOFF_MS), job->room};
    }
}

/* A machine on which room for a task could be made, and what that would cost. */
struct preempt_site {
    struct leader_host *host;
    struct room freed; /* made already, and not used yet */
    double loss;       /* < 0: there is no more to be had */
};

/* What stopping enough on the machine for one more task would lose. */
static void estimate_loss(struct leader *leader, const struct claim *claim,
                          struct preempt_site *site)
{
    struct leader_job *job = claim->job;
    struct leader_host *host = site->host;
    mono_time now = loop_now(leader->loop);
    struct room free = leader_host_free_room(host);
    room_add(&free, site->freed);
    site->loss = -1;
    GArray *victims = victims_on(leader, host, claim);
    double loss = 0;
    for (guint i = 0; i < victims->len && !room_holds(free, job->room); i++) {
        struct victim *victim = &g_array_index(victims, struct victim, i);
        room_add(&free, victim->job->room);
        loss += (double)victim->job->room.cpus.milli *
                (double)(1 + time_ms_since(now, victim->entry->since));
    }
    g_array_unref(victims);
    /* A machine that services hold already is kept anyway, and one without the image is late. */
    if (room_holds(free, job->room))
        site->loss = loss * (1.2 - room_share(host->pinned, host->total) +
                             (images_hold(host->images, claim->view->spec->image) ? 0 : 1));
}

/* Every machine where room could be made. */
static GArray *preempt_sites(struct leader *leader, const struct claim *claim)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct preempt_site));
    loop_work(leader->loop, leader->open_hosts->len);
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        if (!room_holds(room_left(host->total, host->pinned), claim->job->room) ||
            !leader_host_allowed(leader, claim->job, claim->view->spec, host) ||
            (claim->image && !images_hold(host->images, claim->view->spec->image)))
            continue;
        struct preempt_site site = {.host = host};
        estimate_loss(leader, claim, &site);
        if (site.loss >= 0)
            g_array_append_val(out, site);
    }
    return out;
}

/* Where the least is lost, in a zone that may take one more task; NULL: nowhere. */
static struct preempt_site *cheapest(struct leader *leader, const struct claim *claim, GArray *all)
{
    struct preempt_site *best = NULL;
    for (guint i = 0; i < all->len; i++) {
        struct preempt_site *site = &g_array_index(all, struct preempt_site, i);
        if (site->loss >= 0 && (!best || site->loss < best->loss) &&
            leader_zone_allowed(leader, claim->job, claim->view->spec, site->host->zone_index))
            best = site;
    }
    return best;
}

/* Stops what has to be stopped on a machine for one task. */
static void preempt_at(struct leader *leader, const struct claim *claim, struct preempt_site *site)
{
    GArray *victims = victims_on(leader, site->host, claim);
    struct room free = leader_host_free_room(site->host);
    room_add(&free, site->freed);
    for (guint i = 0; i < victims->len && !room_holds(free, claim->job->room); i++) {
        struct victim *victim = &g_array_index(victims, struct victim, i);
        struct job *job = view_job(leader->view, victim->job->id.s);
        LOG_INFO("preempt", "job=%s task=%u machine=%s for=%s why=%s", victim->job->id.s,
                 victim->index, site->host->id.s, claim->job->id.s,
                 victim->job->urgency > claim->job->urgency ? "priority" : "guarantee");
        room_add(&free, victim->job->room);
        room_add(&site->freed, victim->job->room);
        victim->entry->preempted_for = claim->job->id;
        claim->job->pending_preemptions++;
        leader_send_halt(leader, victim->job, victim->index, victim->entry,
                         job && job->spec ? job->spec->save_s : 0);
    }
    room_sub(&site->freed, claim->job->room);
    g_array_unref(victims);
}

/* Whether anything runs that the claim might stop. */
static bool claim_has_hope(struct leader *leader, const struct claim *claim)
{
    for (int u = claim->job->urgency + 1;
         claim->over_lower && u < (int)G_N_ELEMENTS(leader->running); u++)
        if (leader->running[u])
            return true;
    for (int i = 0; claim->over_borrowed && i < leader->n_teams; i++) {
        struct leader_team *team = &leader->teams[i];
        if (i != claim->job->team &&
            (team->used.cpus.milli - team->halting.cpus.milli > team->team->cpus.milli ||
             team->used.gpus.milli - team->halting.gpus.milli > team->team->gpus.milli))
            return true;
    }
    return false;
}

/* How many tasks there would be room for on a machine if all that may be stopped was. */
static int64_t would_hold(struct leader *leader, const struct claim *claim,
                          struct leader_host *host)
{
    struct room free = leader_host_free_room(host);
    GArray *victims = victims_on(leader, host, claim);
    for (guint i = 0; i < victims->len; i++)
        room_add(&free, g_array_index(victims, struct victim, i).job->room);
    g_array_unref(victims);
    return room_times(free, claim->job->room);
}

/* For how many tasks of a gang room has to be made beside what is held for it: all that it lacks,
 * or none when it would still not be whole. One that has to be in one zone has it made in one where
 * that is enough, and where the least is lacking; the machines of others are passed over. */
static int64_t gang_lacks(struct leader *leader, const struct claim *claim, GArray *all,
                          int64_t lacks)
{
    struct leader_job *job = claim->job;
    bool one_zone = claim->view->spec->one_zone;
    guint zones = one_zone ? leader->settings->zones->len : 1;
    int64_t least = 0;
    int best = -1;
    for (guint z = 0; z < zones; z++) {
        int64_t need = one_zone && (int)z != job->gang.held_zone ? lacks + job->gang.held_tasks
                                                                 : lacks,
                holds = 0;
        for (guint i = 0; i < all->len; i++) {
            struct leader_host *host = g_array_index(all, struct preempt_site, i).host;
            if (!one_zone || host->zone_index == (int)z)
                holds += would_hold(leader, claim, host);
        }
        if (holds >= need && (best < 0 || need < least)) {
            best = (int)z;
            least = need;
        }
    }
    for (guint i = 0; one_zone && i < all->len; i++) {
        struct preempt_site *site = &g_array_index(all, struct preempt_site, i);
        if (site->host->zone_index != best)
            site->loss = -1;
    }
    if (best >= 0)
        job->gang.preempt_zone = best;
    return least;
}

void leader_preempt(struct leader *leader, struct leader_job *job, struct job *job_view, bool image)
{
    mono_time now = loop_now(leader->loop);
    /* Just after a change of epoch much of the room is not known yet. */
    if ((job->preempted_at.us && time_ms_since(now, job->preempted_at) < PREEMPT_MS) ||
        time_ms_since(now, leader->epoch_at) < (int64_t)(leader->settings->report_s * 1250))
        return;
    job->preempted_at = now;
    struct claim claim = {job, job_view, leader_may_preempt(leader, job, job_view->spec),
                          guaranteed(leader, job, job_view), image};
    bool moves = job_view->spec->form == FORM_SERVICE && job_view->spec->apart;
    if (!claim_has_hope(leader, &claim) && !moves)
        return;
    GArray *all = preempt_sites(leader, &claim);
    /* What was stopped for it before and is not off the record yet is room that is on its way:
     * while few writes are allowed that takes several seconds, and all would be stopped over and
     * over. */
    int64_t n = leader_count_allowed(leader, job, job_view) - job->gang.held_tasks -
                job->pending_preemptions;
    bool gang = job_view->spec->form == FORM_GANG;
    if (gang && n > 0)
        n = gang_lacks(leader, &claim, all, n);
    n = MIN(n, PREEMPT_TASKS);
    for (int64_t k = 0; k < n; k++) {
        struct preempt_site *best = cheapest(leader, &claim, all);
        if (!best) {
            if (k == 0 && moves)
                make_way(leader, job, job_view);
            break;
        }
        preempt_at(leader, &claim, best);
        estimate_loss(leader, &claim, best);
        if (job_view->spec->one_zone && !gang)
            break; /* the zone is settled once this one is placed */
        if (best->host->zone_index >= 0 && job_view->spec->apart)
            leader->zone_tasks[best->host->zone_index]++;
    }
    g_array_unref(all);
}

bool leader_holds_out_for_image(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    const struct spec *spec = job_view->spec;
    if (spec->urgency != URGENCY_PROD ||
        loop_wall(leader->loop).ms - job_view->since.ms > HOLD_OUT_MS ||
        !leader_may_preempt(leader, job, spec))
        return false;
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        if (images_hold(host->images, spec->image) &&
            room_holds(room_left(host->total, host->pinned), job->room) &&
            leader_host_allowed(leader, job, spec, host))
            return true;
    }
    return false;
}
