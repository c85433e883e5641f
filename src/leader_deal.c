#include "leader_state.h"

#include "images.h"
#include "log.h"
#include "score.h"
#include "shard.h"

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

bool leader_host_takes(struct leader *leader, struct leader_host *host)
{
    mono_time now = loop_now(leader->loop);
    struct fleet_machine *machine = g_hash_table_lookup(fleet_machines(leader->fleet), host->id.s);
    return host->told && !time_before(now, host->sick_until) && !leader_host_slow(leader, host) &&
           (host->flags & HOST_KNOWN) &&
           !(host->flags & (HOST_LOST | HOST_RECLAIMED | HOST_QUIET)) &&
           !fleet_gone(leader->fleet, host->id.s) && !(machine && machine->returning) &&
           !time_before(now, host->avoid_until);
}

struct room leader_host_free_room(const struct leader_host *host)
{
    return room_left(room_left(room_left(host->total, host->booked), host->dealt), host->held);
}

/* How many of a job's tasks are in a zone, or are about to be. */
uint32_t leader_in_zone(struct leader *leader, struct leader_job *job, const char *zone)
{
    uint32_t n = 0;
    GHashTableIter it;
    struct entry *entry;
    struct deal *deal;
    g_hash_table_iter_init(&it, job->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        struct leader_host *host = leader_host_get(leader, entry->host.s);
        struct host_record *rec = view_host(leader->view, entry->host.s);
        const char *y = host && host->zone[0] ? host->zone : rec && rec->zone[0] ? rec->zone : NULL;
        /* Where it is cannot be told: it counts everywhere. */
        n += !y || strcmp(y, zone) == 0;
    }
    g_hash_table_iter_init(&it, job->deals);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&deal))
        n += strcmp(deal->zone, zone) == 0;
    return n;
}

/* OneZone and Apart are decided here, on records and deals; the zone is part of the deal. */
static bool zone_bound(const struct spec *spec)
{
    return spec->one_zone || spec->apart;
}

static void count_zones(struct leader *leader, struct leader_job *job, const struct spec *spec)
{
    for (guint i = 0; zone_bound(spec) && i < leader->settings->zones->len; i++)
        leader->zone_tasks[i] = leader_in_zone(leader, job, leader->settings->zones->pdata[i]);
}

/* By the last count. */
static bool zone_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         int zone_index)
{
    if (!zone_bound(spec))
        return true;
    if (zone_index < 0)
        return false;
    uint32_t there = leader->zone_tasks[zone_index];
    if (spec->one_zone && there != g_hash_table_size(job->entries) + g_hash_table_size(job->deals))
        return false;
    return !spec->apart || there < (spec->tasks + 1) / 2;
}

/* Whether a task of the job may be dealt to the machine, if there is room. */
static bool host_allowed(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         struct leader_host *host)
{
    return spec_allows(spec, host->type_name, host->zone, host->spot) &&
           zone_allowed(leader, job, spec, host->zone_index);
}

void leader_survey(struct leader *leader)
{
    memset(leader->zone_cpus, 0, sizeof *leader->zone_cpus * leader->settings->zones->len);
    g_ptr_array_set_size(leader->open, 0);
    g_array_set_size(leader->full, 0);
    leader->holding = 0;
    loop_work(leader->loop, g_hash_table_size(leader->hosts));
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        host->held = (struct room){0};
        host->wanted = false;
        if (host->told && !host->spot && host->zone_index >= 0)
            leader->zone_cpus[host->zone_index] += (double)host->total.cpus.milli / 1000;
        if (leader_host_takes(leader, host))
            g_ptr_array_add(leader->open, host);
    }
}

/* The processors of a zone's ordinary machines beside those of the largest zone. */
static double zone_roomy(struct leader *leader, int zone_index)
{
    double most = 0;
    for (guint i = 0; i < leader->settings->zones->len; i++)
        most = MAX(most, leader->zone_cpus[i]);
    return most > 0 && zone_index >= 0 ? leader->zone_cpus[zone_index] / most : 1;
}

static double host_score(struct leader *leader, const struct leader_host *host,
                         const struct spec *spec)
{
    struct room taken = host->booked;
    room_add(&taken, host->dealt);
    struct score_facts facts = {
        images_hold(host->images, spec->image), host->spot, room_share(taken, host->total),
        room_share(host->pinned, host->total), zone_roomy(leader, host->zone_index)};
    return score_host(spec, &facts);
}

struct choice {
    struct leader_host *host;
    double score;
};

static gint by_score(gconstpointer a, gconstpointer b)
{
    const struct choice *choice = a, *y = b;
    if (choice->score != y->score)
        return choice->score > y->score ? -1 : 1;
    return strcmp(choice->host->id.s, y->host->id.s);
}

/* The machines that could take a task of the job, the best first. What a machine takes makes it
 * only better, so the order holds while it is being filled. */
static GArray *choices(struct leader *leader, struct leader_job *job, const struct spec *spec,
                       bool image)
{
    loop_work(leader->loop, leader->open->len);
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct choice));
    for (guint i = 0; i < leader->open->len; i++) {
        struct leader_host *host = leader->open->pdata[i];
        if (!room_holds(leader_host_free_room(host), job->room) ||
            !host_allowed(leader, job, spec, host) ||
            (image && !images_hold(host->images, spec->image)))
            continue;
        struct choice choice = {host, host_score(leader, host, spec)};
        g_array_append_val(out, choice);
    }
    g_array_sort(out, by_score);
    return out;
}

/* Room only shrinks in a pass. */
static bool is_full(struct leader *leader, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, "");
    return lacks_cover(leader->full, &lack);
}

static void note_full(struct leader *leader, const struct spec *spec)
{
    struct lack lack = lack_of_spec(spec, "");
    if (!zone_bound(spec) && !spec->type_names && !spec->zone)
        g_array_append_val(leader->full, lack);
}

static attempt_no next_attempt(struct leader *leader)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++leader->attempts >> ATTEMPT_BITS)
        membership_raise(leader->members, "attempts used up");
    return (attempt_no){leader->epoch.v << ATTEMPT_BITS |
                        (leader->attempts & ((1 << ATTEMPT_BITS) - 1))};
}

/* Counts a task as dealt. */
static void book(struct leader *leader, struct leader_job *job, uint32_t index, attempt_no attempt,
                 struct leader_host *host)
{
    struct deal *deal = g_new0(struct deal, 1);
    deal->attempt = attempt;
    deal->host = host;
    deal->number = ++leader->deals;
    deal->since = loop_now(leader->loop);
    g_strlcpy(deal->zone, host->zone, sizeof deal->zone);
    g_hash_table_insert(job->deals, leader_key_of(index), deal);
    room_add(&host->dealt, job->room);
    room_add(&leader->teams[job->team].used, job->room);
}

/* Tells the part of what was booked; bound: to that machine and no other. */
static void deal_to(struct leader *leader, struct leader_job *job, uint32_t index, bool bound)
{
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    struct job *job_view = view_job(leader->view, job->id.s);
    cJSON *x = bus_task(job->id, index, deal->attempt);
    bus_put_u64(x, "n", deal->number);
    if (job_view->spec->one_zone || job_view->spec->apart)
        cJSON_AddStringToObject(x, "y", deal->zone);
    if (bound)
        cJSON_AddStringToObject(x, "h", deal->host->id.s);
    leader_shard_add(&leader_shard_get(leader, deal->host->owner)->deal, x);
}

static bool task_waits(const struct leader_job *job, const struct job *job_view, uint32_t index)
{
    return !job_task_done(job_view, index) && !job_placed(job_view, index) &&
           !g_hash_table_contains(job->entries, leader_key_of(index)) &&
           !g_hash_table_contains(job->deals, leader_key_of(index));
}

/* The next task that waits, or the job's size. */
static uint32_t next_waiting(struct leader_job *job, const struct job *job_view)
{
    while (job->cursor < job_view->tasks && !task_waits(job, job_view, job->cursor))
        job->cursor++;
    return job->cursor;
}

static uint32_t count_waiting(struct leader_job *job, const struct job *job_view)
{
    uint32_t busy =
        g_hash_table_size(job->entries) + g_hash_table_size(job->deals) + job_view->n_done;
    return busy >= job_view->tasks ? 0 : job_view->tasks - busy;
}

static bool within(struct room used, struct room more, amount cpus, amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

/* Whether what the job's class is expected to do can still be done. One that has waited for very
 * long has its place back, so that none waits for ever. */
static bool still_in_time(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    double waited = (double)(loop_wall(leader->loop).ms - job_view->since.ms) / 1000;
    job->aged = waited > AGED_S;
    job->overdue = waited > OVERDUE_S;
    return waited < job->patience_s || job->aged;
}

/* Classes of precedence: services first, as people wait on them; then what a team was promised;
 * then what it borrows. */
int leader_rank_of(struct leader *leader, struct leader_job *job)
{
    struct leader_team *team = &leader->teams[job->team];
    if (job->urgency == URGENCY_PROD)
        return 0;
    if (within(team->used, job->room, team->team->cpus, team->team->gpus))
        return job->urgency;
    /* What is overdue goes before all that is borrowed, or urgent work would hold it back for ever.
     */
    return job->overdue ? 4 : (job->in_time ? 4 : 8) + job->urgency;
}

struct room leader_limit_left(const struct leader_team *team)
{
    return room_left((struct room){team->team->cpus_max, team->team->gpus_max, {INT64_MAX / 4}},
                     team->used);
}

/* Tasks that wait and that the team's limit leaves room for. */
int64_t leader_count_allowed(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    struct room left = leader_limit_left(&leader->teams[job->team]);
    return MIN((int64_t)count_waiting(job, job_view), room_times(left, job->room));
}

static void halt(struct leader *leader, struct leader_job *job, uint32_t index, struct entry *e,
                 double grace_s)
{
    struct leader_host *host = leader_host_get(leader, e->host.s);
    if (!host || !host->owner)
        return;
    if (!e->halted)
        room_add(&leader->teams[job->team].halting, job->room);
    e->halted = true;
    cJSON *x = bus_task(job->id, index, e->attempt);
    cJSON_AddStringToObject(x, "h", e->host.s);
    cJSON_AddNumberToObject(x, "g", grace_s);
    leader_shard_add(&leader_shard_get(leader, host->owner)->halt, x);
}

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
    int64_t n = count_waiting(job, job_view);
    struct room all = {{job->room.cpus.milli * n}, {job->room.gpus.milli * n}, {0}};
    return within(team->used, all, team->team->cpus, team->team->gpus);
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
    count_zones(leader, job, spec);
    loop_work(leader->loop, leader->open->len);
    for (guint i = 0; i < leader->open->len; i++) {
        struct leader_host *host = leader->open->pdata[i];
        if (host->zone_index != zone_index && room_holds(leader_host_free_room(host), job->room) &&
            host_allowed(leader, job, spec, host))
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
        halt(leader, other, placed->index, entry, placed->job->spec->save_s);
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
        struct no_way *way = &leader->no_way[zone_index];
        count_zones(leader, job, job_view->spec);
        if (!zone_allowed(leader, job, job_view->spec, (int)zone_index) ||
            (time_before(now, way->until) && room_holds(job->room, way->room)))
            continue;
        GHashTable *stays = g_hash_table_new(NULL, NULL);
        bool moved = false;
        for (guint k = 0; k < leader->open->len && !moved; k++) {
            struct leader_host *host = leader->open->pdata[k];
            if (host->zone_index == (int)zone_index && host->pinned.cpus.milli &&
                spec_allows(job_view->spec, host->type_name, host->zone, host->spot))
                moved = move_one(leader, host, job, stays);
        }
        g_hash_table_unref(stays);
        if (moved)
            return;
        *way = (struct no_way){time_add_ms(now, NO_WAY_MS), job->room};
    }
}

/* A machine on which room for a task could be made, and what that would cost. */
struct clearing {
    struct leader_host *host;
    struct room more; /* made already, and not used yet */
    double loss;      /* < 0: there is no more to be had */
};

static void weigh(struct leader *leader, const struct claim *claim, struct clearing *clearing)
{
    struct leader_job *job = claim->job;
    struct leader_host *host = clearing->host;
    mono_time now = loop_now(leader->loop);
    struct room free = leader_host_free_room(host);
    room_add(&free, clearing->more);
    clearing->loss = -1;
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
        clearing->loss = loss * (1.2 - room_share(host->pinned, host->total) +
                                 (images_hold(host->images, claim->view->spec->image) ? 0 : 1));
}

/* Every machine where room could be made. */
static GArray *clearings(struct leader *leader, const struct claim *claim)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct clearing));
    loop_work(leader->loop, leader->open->len);
    for (guint i = 0; i < leader->open->len; i++) {
        struct leader_host *host = leader->open->pdata[i];
        if (!room_holds(room_left(host->total, host->pinned), claim->job->room) ||
            !host_allowed(leader, claim->job, claim->view->spec, host) ||
            (claim->image && !images_hold(host->images, claim->view->spec->image)))
            continue;
        struct clearing clearing = {.host = host};
        weigh(leader, claim, &clearing);
        if (clearing.loss >= 0)
            g_array_append_val(out, clearing);
    }
    return out;
}

static struct clearing *cheapest(struct leader *leader, const struct claim *claim, GArray *all)
{
    struct clearing *best = NULL;
    for (guint i = 0; i < all->len; i++) {
        struct clearing *clearing = &g_array_index(all, struct clearing, i);
        if (clearing->loss >= 0 && (!best || clearing->loss < best->loss) &&
            zone_allowed(leader, claim->job, claim->view->spec, clearing->host->zone_index))
            best = clearing;
    }
    return best;
}

/* Stops what has to be stopped on a machine for one task. */
static void clear_room(struct leader *leader, const struct claim *claim, struct clearing *clearing)
{
    GArray *victims = victims_on(leader, clearing->host, claim);
    struct room free = leader_host_free_room(clearing->host);
    room_add(&free, clearing->more);
    for (guint i = 0; i < victims->len && !room_holds(free, claim->job->room); i++) {
        struct victim *victim = &g_array_index(victims, struct victim, i);
        struct job *job = view_job(leader->view, victim->job->id.s);
        LOG_INFO("preempt", "job=%s task=%u machine=%s for=%s why=%s", victim->job->id.s,
                 victim->index, clearing->host->id.s, claim->job->id.s,
                 victim->job->urgency > claim->job->urgency ? "priority" : "guarantee");
        room_add(&free, victim->job->room);
        room_add(&clearing->more, victim->job->room);
        victim->entry->cleared_for = claim->job->id;
        claim->job->clearing++;
        halt(leader, victim->job, victim->index, victim->entry,
             job && job->spec ? job->spec->save_s : 0);
    }
    room_sub(&clearing->more, claim->job->room);
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
        int64_t need = one_zone && (int)z != job->held_zone ? lacks + job->held : lacks, holds = 0;
        for (guint i = 0; i < all->len; i++) {
            struct leader_host *host = g_array_index(all, struct clearing, i).host;
            if (!one_zone || host->zone_index == (int)z)
                holds += would_hold(leader, claim, host);
        }
        if (holds >= need && (best < 0 || need < least)) {
            best = (int)z;
            least = need;
        }
    }
    for (guint i = 0; one_zone && i < all->len; i++) {
        struct clearing *clearing = &g_array_index(all, struct clearing, i);
        if (clearing->host->zone_index != best)
            clearing->loss = -1;
    }
    if (best >= 0)
        job->clear_zone = best;
    return least;
}

/* Makes room for tasks that fit nowhere, by stopping work of lower priority where that loses the
 * least. What is stopped is off the record a moment later, and ranks behind. */
static void preempt(struct leader *leader, struct leader_job *job, struct job *job_view, bool image)
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
    GArray *all = clearings(leader, &claim);
    /* What was stopped for it before and is not off the record yet is room that is on its way:
     * while few writes are allowed that takes several seconds, and all would be stopped over and
     * over. */
    int64_t n = leader_count_allowed(leader, job, job_view) - job->held - job->clearing;
    bool gang = job_view->spec->form == FORM_GANG;
    if (gang && n > 0)
        n = gang_lacks(leader, &claim, all, n);
    n = MIN(n, PREEMPT_TASKS);
    for (int64_t k = 0; k < n; k++) {
        struct clearing *best = cheapest(leader, &claim, all);
        if (!best) {
            if (k == 0 && moves)
                make_way(leader, job, job_view);
            break;
        }
        clear_room(leader, &claim, best);
        weigh(leader, &claim, best);
        if (job_view->spec->one_zone && !gang)
            break; /* the zone is settled once this one is placed */
        if (best->host->zone_index >= 0 && job_view->spec->apart)
            leader->zone_tasks[best->host->zone_index]++;
    }
    g_array_unref(all);
}

/* People wait on a service, and a fetch takes longer than to stop other work where the image is:
 * for a moment only such machines will do, if there are any. */
static bool holds_out_for_image(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    const struct spec *spec = job_view->spec;
    if (spec->urgency != URGENCY_PROD ||
        loop_wall(leader->loop).ms - job_view->since.ms > HOLD_OUT_MS ||
        !leader_may_preempt(leader, job, spec))
        return false;
    for (guint i = 0; i < leader->open->len; i++) {
        struct leader_host *host = leader->open->pdata[i];
        if (images_hold(host->images, spec->image) &&
            room_holds(room_left(host->total, host->pinned), job->room) &&
            host_allowed(leader, job, spec, host))
            return true;
    }
    return false;
}

/* Deals so many tasks at most, to the best machines; tells how many. */
static int deal_some(struct leader *leader, struct leader_job *job, struct job *job_view, int most)
{
    int n = (int)MIN(most, leader_count_allowed(leader, job, job_view)), dealt = 0;
    if (n <= 0)
        return 0;
    count_zones(leader, job, job_view->spec);
    bool image = holds_out_for_image(leader, job, job_view);
    if (!is_full(leader, job_view->spec)) {
        GArray *hosts = choices(leader, job, job_view->spec, image);
        attempt_no attempt = next_attempt(leader);
        for (guint i = 0; i < hosts->len && dealt < n; i++) {
            struct leader_host *host = g_array_index(hosts, struct choice, i).host;
            while (dealt < n && room_holds(leader_host_free_room(host), job->room) &&
                   zone_allowed(leader, job, job_view->spec, host->zone_index)) {
                uint32_t index = next_waiting(job, job_view);
                if (index >= job_view->tasks)
                    n = dealt; /* more is on record than the count says */
                else {
                    book(leader, job, index, attempt, host);
                    deal_to(leader, job, index, false);
                    if (host->zone_index >= 0)
                        leader->zone_tasks[host->zone_index]++;
                    dealt++;
                }
            }
        }
        if (!hosts->len && !image)
            note_full(leader, job_view->spec);
        g_array_unref(hosts);
    }
    if (!dealt) {
        job->blocked = true;
        preempt(leader, job, job_view, image);
    }
    return dealt;
}

/* The best machines for so many tasks of a job, in one zone or (-1) in any; a machine stands there
 * once for each task. */
static GPtrArray *places(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         uint32_t most, int zone_index)
{
    GPtrArray *out = g_ptr_array_new();
    count_zones(leader, job, spec);
    GArray *hosts = choices(leader, job, spec, false);
    for (guint i = 0; i < hosts->len && out->len < most; i++) {
        struct leader_host *host = g_array_index(hosts, struct choice, i).host;
        int64_t holds = room_times(leader_host_free_room(host), job->room);
        for (int64_t k = 0;
             k < holds && out->len < most && (zone_index < 0 || host->zone_index == zone_index) &&
             zone_allowed(leader, job, spec, host->zone_index);
             k++) {
            g_ptr_array_add(out, host);
            if (host->zone_index >= 0 && spec->apart) /* one zone is for the caller to settle */
                leader->zone_tasks[host->zone_index]++;
        }
    }
    g_array_unref(hosts);
    return out;
}

/* The same for a whole gang, or as much of it as finds room. One that has to be in one zone goes
 * where all of it does; else to where room is being made for it, or where most of it finds some. */
static GPtrArray *gang_places(struct leader *leader, struct leader_job *job,
                              const struct spec *spec, uint32_t most)
{
    if (!spec->one_zone)
        return places(leader, job, spec, most, -1);
    GPtrArray *best = g_ptr_array_new();
    guint best_worth = 0;
    for (guint z = 0; z < leader->settings->zones->len && best->len < most; z++) {
        GPtrArray *here = places(leader, job, spec, most, (int)z);
        bool clears = job->clearing && (int)z == job->clear_zone;
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
static void gang_mend(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    mono_time now = loop_now(leader->loop);
    guint placed = g_hash_table_size(job->entries);
    if (!placed || g_hash_table_size(job->deals) || placed + job_view->n_done >= job_view->tasks) {
        job->gang_since = now;
        return;
    }
    if (time_ms_since(now, job->gang_since) < 2000)
        return;
    job->gang_since = now;
    LOG_INFO("gang_broken", "job=%s placed=%u of=%u", job->id.s, placed, job_view->tasks);
    GHashTableIter it;
    gpointer key;
    struct entry *entry;
    g_hash_table_iter_init(&it, job->entries);
    while (g_hash_table_iter_next(&it, &key, (gpointer *)&entry))
        halt(leader, job, GPOINTER_TO_UINT(key) - 1, entry, job_view->spec->save_s);
}

/* Tasks that a part could not place are dealt once more, under the attempt of the others: as they
 * were never on record, the gang has not begun, and waits for them. */
static void gang_complete(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    if (!job->gang.v || job->gang_broken)
        return;
    for (uint32_t i = 0; i < job_view->tasks; i++) {
        if (!task_waits(job, job_view, i) ||
            !room_holds(leader_limit_left(&leader->teams[job->team]), job->room))
            continue;
        GPtrArray *place = places(leader, job, job_view->spec, 1, -1);
        if (place->len) {
            book(leader, job, i, job->gang, place->pdata[0]);
            deal_to(leader, job, i, true);
        }
        g_ptr_array_unref(place);
    }
}

/* Whether a gang would find room if nothing but services ran on the machines that there are. */
static bool could_be_whole(struct leader *leader, struct leader_job *job, const struct spec *spec,
                           uint32_t left)
{
    guint zones = spec->one_zone ? leader->settings->zones->len : 1;
    bool whole = false;
    loop_work(leader->loop, leader->open->len);
    count_zones(leader, job, spec);
    for (guint z = 0; z < zones && !whole; z++) {
        int64_t n = 0;
        for (guint i = 0; i < leader->open->len; i++) {
            struct leader_host *host = leader->open->pdata[i];
            if (host_allowed(leader, job, spec, host) &&
                (!spec->one_zone || host->zone_index == (int)z))
                n += room_times(room_left(host->total, host->pinned), job->room);
        }
        whole = n >= left;
    }
    return whole;
}

/* Smaller tasks would take what becomes free on a machine before it is enough for a task of the
 * gang. One that has waited for long holds all that is free on further machines, those first that
 * run the least, until they would have room for what it lacks; if there are enough. */
static void hold_machines(struct leader *leader, struct leader_job *job, const struct spec *spec,
                          GPtrArray *held, int64_t lacks)
{
    int zone_index =
        spec->one_zone && held->len ? ((struct leader_host *)held->pdata[0])->zone_index : -1;
    GArray *more = g_array_new(FALSE, FALSE, sizeof(struct choice));
    int64_t holds = -(int64_t)held->len;
    loop_work(leader->loop, leader->open->len);
    count_zones(leader, job, spec);
    for (guint i = 0; i < leader->open->len; i++) {
        struct leader_host *host = leader->open->pdata[i];
        struct choice choice = {host, -room_share(host->booked, host->total)};
        int64_t n = room_times(room_left(host->total, host->pinned), job->room);
        if (!n || !host_allowed(leader, job, spec, host) ||
            (spec->one_zone && zone_index >= 0 && host->zone_index != zone_index))
            continue;
        if (spec->one_zone)
            zone_index = host->zone_index;
        g_array_append_val(more, choice);
        holds += n;
    }
    g_array_sort(more, by_score);
    for (guint i = 0; i < more->len && lacks > 0 && holds >= lacks; i++) {
        struct leader_host *host = g_array_index(more, struct choice, i).host;
        int64_t n = room_times(room_left(host->total, host->pinned), job->room);
        for (guint k = 0; k < held->len; k++)
            n -= held->pdata[k] == host;
        room_add(&host->held, leader_host_free_room(host));
        lacks -= n;
        holds -= n;
    }
    g_array_unref(more);
}

/* How long a gang may hope for machines that are on their way: as long as slow ones take to boot
 * and report, but less than others may be kept waiting beside free room. */
static double hope_ms(struct leader *leader)
{
    return MIN((leader_slowest_boot(leader) * 3 + leader->settings->report_s * 1.25) * 1000,
               MOST_HOPE_MS);
}

/* All tasks of a gang are dealt at once, each to a machine where it has room, or none is. Then what
 * room there is for it is held for this pass, or others would take it as soon as it is free and the
 * gang would never find enough at once. Whoever comes first holds first, so no two gangs hold what
 * the other one needs. */
static bool deal_gang(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    if (g_hash_table_size(job->entries) || g_hash_table_size(job->deals) || job_view->placed) {
        gang_complete(leader, job, job_view);
        gang_mend(leader, job, job_view);
        return false;
    }
    struct leader_team *team = &leader->teams[job->team];
    uint32_t left = job_view->tasks - job_view->n_done;
    struct room all = {{job->room.cpus.milli * left}, {job->room.gpus.milli * left}, {0}};
    if (!left || !within(team->used, all, team->team->cpus_max, team->team->gpus_max))
        return false;
    GPtrArray *hosts = is_full(leader, job_view->spec)
                           ? g_ptr_array_new()
                           : gang_places(leader, job, job_view->spec, left);
    bool whole = hosts->len == left;
    if (whole) {
        job->gang = next_attempt(leader);
        job->gang_broken = false;
        job->lacks_since = (mono_time){0};
        for (uint32_t i = 0, k = 0; i < job_view->tasks; i++) {
            if (job_task_done(job_view, i))
                continue;
            book(leader, job, i, job->gang, hosts->pdata[k++]);
            deal_to(leader, job, i, true);
        }
    } else {
        job->held = hosts->len;
        job->held_zone = hosts->len ? ((struct leader_host *)hosts->pdata[0])->zone_index : -1;
        job->blocked = true;
        mono_time now = loop_now(leader->loop);
        if (!job->lacks_since.us)
            job->lacks_since = now;
        bool hope = (double)time_ms_since(now, job->lacks_since) < hope_ms(leader) ||
                    could_be_whole(leader, job, job_view->spec, left);
        for (guint i = 0; i < hosts->len; i++) {
            struct leader_host *host = hosts->pdata[i];
            host->wanted = true;
            if (hope)
                room_add(&host->held, job->room);
        }
        if (hope || !hosts->len)
            note_full(leader, job_view->spec);
        if (hope)
            preempt(leader, job, job_view, false);
        if (job->aged && leader->holding++ < MOST_HOLDING)
            hold_machines(leader, job, job_view->spec, hosts, (int64_t)left - hosts->len);
    }
    g_ptr_array_unref(hosts);
    return whole;
}

/* How long the job would keep its team's whole limit busy. */
static double keeps_busy_s(struct leader *leader, const struct leader_job *job,
                           const struct job *job_view)
{
    const struct team *team = leader->teams[job->team].team;
    double all = (double)job->room.cpus.milli * job_view->tasks,
           most = (double)team->cpus_max.milli;
    double cards = (double)job->room.gpus.milli * job_view->tasks,
           most_cards = (double)team->gpus_max.milli;
    double share = MAX(most > 0 ? all / most : 0, most_cards > 0 ? cards / most_cards : 0);
    return share * job_view->spec->expected_s;
}

/* By arrival and size; but jobs that are late whatever is done now stand behind those that may
 * still be in time. */
static gint by_place(gconstpointer a, gconstpointer b)
{
    const struct leader_job *job = *(struct leader_job *const *)a,
                            *y = *(struct leader_job *const *)b;
    if (job->in_time != y->in_time)
        return job->in_time ? -1 : 1;
    if (job->aged != y->aged)
        return job->aged ? -1 : 1;
    if (job->place_ms != y->place_ms)
        return job->place_ms < y->place_ms ? -1 : 1;
    return strcmp(job->id.s, y->id.s);
}

/* Aged jobs and those that may be in time take turns: either alone at the front would make all the
 * others late. */
static void take_turns(GPtrArray *ready)
{
    guint aged = 0, timely = 0;
    for (guint i = 0; i < ready->len; i++) {
        struct leader_job *job = ready->pdata[i];
        aged += job->aged;
        timely += !job->aged && job->in_time;
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
static bool deal_turn(struct leader *leader, struct leader_team *team, int rank, int budget,
                      int *dealt)
{
    while (team->at < team->ready->len && *dealt < budget) {
        struct leader_job *job = team->ready->pdata[team->at];
        struct job *job_view = job->view;
        if (job->blocked || next_waiting(job, job_view) >= job_view->tasks ||
            leader_rank_of(leader, job) != rank) {
            team->at++;
            continue;
        }
        double cost = CLAMP((double)job->room.cpus.milli, 1, MOST_DEFICIT);
        int most = (int)MIN(team->deficit / cost, budget - *dealt);
        if (most < 1)
            return true;
        int n = job_view->spec->form == FORM_GANG ? deal_gang(leader, job, job_view)
                                                  : deal_some(leader, job, job_view, most);
        if (n == 0)
            team->at++;
        team->deficit -= n * cost;
        *dealt += n;
    }
    if (team->at >= team->ready->len)
        team->deficit = 0;
    return team->at < team->ready->len;
}

/* Deficit round robin over the teams that have something in this rank: each turn a team may deal as
 * much as its share. */
int leader_deal_rank(struct leader *leader, int rank, int budget)
{
    int dealt = 0;
    bool any = true;
    for (int i = 0; i < leader->n_teams; i++)
        leader->teams[i].at = 0;
    while (any && dealt < budget) {
        any = false;
        for (int i = 0; i < leader->n_teams && dealt < budget; i++) {
            struct leader_team *team = &leader->teams[(leader->first_team + i) % leader->n_teams];
            if (team->at >= team->ready->len)
                continue;
            team->deficit =
                MIN(team->deficit + MAX(team->team->cpus.milli / 16, 1000), MOST_DEFICIT);
            any = deal_turn(leader, team, rank, budget, &dealt) || any;
        }
    }
    return dealt;
}

bool leader_collect_ready(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    bool any = false;
    for (int i = 0; i < leader->n_teams; i++)
        g_ptr_array_set_size(leader->teams[i].ready, 0);
    GHashTableIter it;
    struct leader_job *job;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_view = view_job(leader->view, job->id.s);
        job->blocked = false;
        job->held = 0;
        /* What it needs is done once that is durable and seen here, whoever led when it was. */
        if (!job_view || !job_view->known || job_view->state != JOB_LIVE || !job_view->spec ||
            job_view->waits || time_before(now, job->not_before))
            continue;
        if (job_view->spec->form != FORM_GANG && next_waiting(job, job_view) >= job_view->tasks)
            continue;
        job->in_time = still_in_time(leader, job, job_view);
        job->view = job_view;
        job->place_ms = job_view->since.ms +
                        (int64_t)(SIZE_COUNTS * 1000 * keeps_busy_s(leader, job, job_view));
        g_ptr_array_add(leader->teams[job->team].ready, job);
        any = true;
    }
    for (int i = 0; i < leader->n_teams; i++) {
        g_ptr_array_sort(leader->teams[i].ready, by_place);
        take_turns(leader->teams[i].ready);
    }
    return any;
}

bool leader_ready_to_deal(struct leader *leader)
{
    if (!membership_leads(leader->members) || leader->epoch.v != leader->view->epoch.v ||
        !leader->view->types)
        return false;
    if (time_ms_since(loop_now(leader->loop), leader->epoch_at) > SETTLE_MS)
        return true;
    GHashTableIter it;
    struct leader_shard *shard;
    g_hash_table_iter_init(&it, leader->shards);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&shard))
        if (!shard->digested)
            return false;
    return true;
}
