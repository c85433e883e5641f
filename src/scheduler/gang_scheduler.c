#include "gang_scheduler.h"

#include "log.h"
#include "placement.h"
#include "preemption.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

enum {
    ANY_ZONE = -1,
    MOST_HOLDING = 4, /* gangs that hold whole machines, in a pass */
    MOST_HOPE_MS = 60000,
    STOP_AGAIN_MS = 10000,
    COMPLETE_WITHIN_MS = 2000, /* for a task that was given back to find another machine */
};

/* Picks machines for so many tasks out of a job's choices, in one zone or in any; a machine stands
 * in the list once for each task that it is to take. */
static GPtrArray *pick_places(struct leader *leader, struct leader_job *job,
                              const struct spec *spec, const GArray *choices, uint32_t most,
                              int zone_index)
{
    GPtrArray *places = g_ptr_array_new();
    leader_count_zones(leader, job, spec);
    for (guint i = 0; i < choices->len && places->len < most; i++) {
        struct leader_host *host = g_array_index(choices, struct host_choice, i).host;
        if (zone_index != ANY_ZONE && host->zone_index != zone_index)
            continue;
        int64_t holds = room_times(leader_host_free_room(host), job->room);
        for (int64_t k = 0; k < holds && places->len < most &&
                            leader_zone_allowed(leader, job, spec, host->zone_index);
             k++) {
            g_ptr_array_add(places, host);
            if (host->zone_index >= 0 && spec->apart) /* one zone is for the caller to settle */
                leader->zone_tasks[host->zone_index]++;
        }
    }
    return places;
}

/* The same in one zone: that which has room for all tasks; else that where room is being made for
 * the gang, or where most of it finds some. */
static GPtrArray *pick_places_in_one_zone(struct leader *leader, struct leader_job *job,
                                          const struct spec *spec, const GArray *choices,
                                          uint32_t most)
{
    GPtrArray *best = g_ptr_array_new();
    guint best_worth = 0;
    for (guint zone = 0; zone < leader->settings->zones->len && best->len < most; zone++) {
        GPtrArray *here = pick_places(leader, job, spec, choices, most, (int)zone);
        bool room_is_made = job->pending_preemptions && (int)zone == job->gang.preempt_zone;
        guint worth = here->len == most ? 2 * most : here->len + (room_is_made ? most : 0);
        if (worth > best_worth) {
            g_ptr_array_unref(best);
            best = g_ptr_array_ref(here);
            best_worth = worth;
        }
        g_ptr_array_unref(here);
    }
    return best;
}

/* The best machines for so many tasks of a gang, or for as many as find room. */
static GPtrArray *gang_places(struct leader *leader, struct leader_job *job,
                              const struct spec *spec, uint32_t most)
{
    GArray *choices = leader_choose_hosts(leader, job, spec, false);
    GPtrArray *places = spec->one_zone ? pick_places_in_one_zone(leader, job, spec, choices, most)
                                       : pick_places(leader, job, spec, choices, most, ANY_ZONE);
    g_array_unref(choices);
    return places;
}

/* Stops what is left of a gang. Tasks that were told to in this epoch are not told again for a
 * while: their owners repeat a halt until its end is on record. They forget it when the epoch
 * changes, and pass over one that comes before they know of the task. */
static void stop_gang(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    mono_time now = loop_now(leader->loop);
    bool told_before = job->gang.stopped_in.v == leader->epoch.v &&
                       time_ms_since(now, job->gang.stopped_at) < STOP_AGAIN_MS;
    guint told = 0;
    GHashTableIter it;
    gpointer key;
    struct entry *entry;
    g_hash_table_iter_init(&it, job->entries);
    while (g_hash_table_iter_next(&it, &key, (gpointer *)&entry)) {
        if (told_before && entry->halted)
            continue;
        leader_send_halt(leader, job, GPOINTER_TO_UINT(key) - 1, entry, job_view->spec->save_s);
        told += entry->halted;
    }
    if (!told_before)
        job->gang.stopped_at = now;
    job->gang.stopped_in = leader->epoch;
    if (told)
        LOG_INFO("gang_broken", "job=%s stopped=%u placed=%u of=%u", job->id.s, told,
                 g_hash_table_size(job->entries), job_view->tasks);
}

/* A gang that lost a task cannot go on: what is left of it is stopped, and it starts whole again
 * once nothing of it is on record. One that has not begun may still be completed for a moment. */
static void gang_mend(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    mono_time now = loop_now(leader->loop);
    guint placed = g_hash_table_size(job->entries);
    if (!placed || g_hash_table_size(job->deals) || placed + job_view->n_done >= job_view->tasks) {
        job->gang.incomplete_since = (mono_time){0};
        return;
    }
    if (!job->gang.incomplete_since.us)
        job->gang.incomplete_since = now;
    bool may_be_completed = job->gang.attempt.v && !job->gang.lost_task;
    if (!may_be_completed || time_ms_since(now, job->gang.incomplete_since) >= COMPLETE_WITHIN_MS)
        stop_gang(leader, job, job_view);
}

/* Tasks that a shard could not place are dealt once more, under the attempt of the others: as they
 * were never on record, the gang has not begun, and waits for them. */
static void gang_complete(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    int64_t waiting = leader_count_allowed(leader, job, job_view);
    if (!job->gang.attempt.v || job->gang.lost_task || waiting <= 0)
        return;
    GPtrArray *places = gang_places(leader, job, job_view->spec, (uint32_t)waiting);
    for (uint32_t i = 0, used = 0; i < job_view->tasks && used < places->len; i++) {
        if (!leader_task_waits(job, job_view, i))
            continue;
        leader_book_deal(leader, job, i, job->gang.attempt, places->pdata[used++]);
        leader_send_deal(leader, job, i, true);
    }
    g_ptr_array_unref(places);
}

/* How many tasks of a gang the machine could take if nothing but services ran on it. */
static int64_t capacity_of(const struct leader_host *host, const struct leader_job *job)
{
    return room_times(room_left(host->total, host->pinned), job->room);
}

/* The same for all machines that take work, in one zone or in any. */
static int64_t capacity_in(struct leader *leader, struct leader_job *job, const struct spec *spec,
                           int zone_index)
{
    int64_t tasks = 0;
    loop_work(leader->loop, leader->open_hosts->len);
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        if (leader_host_allowed(leader, job, spec, host) &&
            (zone_index == ANY_ZONE || host->zone_index == zone_index))
            tasks += capacity_of(host, job);
    }
    return tasks;
}

/* Whether a gang would find room if nothing but services ran on the machines that there are, and in
 * which zone, if it has to be in one: rather where room is held for it already. */
static bool could_be_whole(struct leader *leader, struct leader_job *job, const struct spec *spec,
                           uint32_t left, int *zone_index)
{
    *zone_index = ANY_ZONE;
    leader_count_zones(leader, job, spec);
    if (!spec->one_zone)
        return capacity_in(leader, job, spec, ANY_ZONE) >= left;
    int zones = (int)leader->settings->zones->len;
    int first = MAX(job->gang.held_zone, 0);
    for (int i = 0; i < zones; i++) {
        *zone_index = (first + i) % zones;
        if (capacity_in(leader, job, spec, *zone_index) >= left)
            return true;
    }
    return false;
}

/* Machines that could take tasks of a gang if they ran empty, those first that run the least. */
static GArray *machines_to_run_empty(struct leader *leader, struct leader_job *job,
                                     const struct spec *spec, int zone_index)
{
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(struct host_choice));
    loop_work(leader->loop, leader->open_hosts->len);
    leader_count_zones(leader, job, spec);
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        struct host_choice choice = {host, -room_share(host->booked, host->total)};
        if (capacity_of(host, job) && leader_host_allowed(leader, job, spec, host) &&
            (zone_index == ANY_ZONE || host->zone_index == zone_index))
            g_array_append_val(machines, choice);
    }
    g_array_sort(machines, leader_compare_choices);
    return machines;
}

/* Smaller tasks would take what becomes free on a machine before it is enough for a task of the
 * gang. One that has waited for long holds all that is free on further machines, until they would
 * have room for what it lacks. held: the places for which room is held already. */
static void hold_machines(struct leader *leader, struct leader_job *job, const struct spec *spec,
                          const GPtrArray *held, int64_t lacks, int zone_index)
{
    GArray *machines = machines_to_run_empty(leader, job, spec, zone_index);
    for (guint i = 0; i < machines->len && lacks > 0; i++) {
        struct leader_host *host = g_array_index(machines, struct host_choice, i).host;
        int64_t more = capacity_of(host, job);
        for (guint k = 0; k < held->len; k++)
            more -= held->pdata[k] == host;
        room_add(&host->held, leader_host_free_room(host));
        lacks -= more;
    }
    g_array_unref(machines);
}

/* How long a gang may hope for machines that are on their way: as long as slow ones take to boot
 * and report, but less than others may be kept waiting beside free room. */
static double hope_ms(struct leader *leader)
{
    return MIN((leader_slowest_boot(leader) * 3 + leader->settings->report_s * 1.25) * 1000,
               MOST_HOPE_MS);
}

/* Whether it has found no room for all its tasks for longer than it may hope for new machines. */
static bool hopes_for_machines(struct leader *leader, struct leader_job *job)
{
    mono_time now = loop_now(leader->loop);
    if (!job->gang.short_since.us)
        job->gang.short_since = now;
    return (double)time_ms_since(now, job->gang.short_since) < hope_ms(leader);
}

/* Deals all tasks of a gang that are not done, one to each place, under a new attempt. */
static void start_gang(struct leader *leader, struct leader_job *job, struct job *job_view,
                       const GPtrArray *places)
{
    job->gang.attempt = leader_next_attempt(leader);
    job->gang.lost_task = false;
    job->gang.short_since = job->gang.incomplete_since = (mono_time){0};
    for (uint32_t i = 0, used = 0; i < job_view->tasks; i++) {
        if (job_task_done(job_view, i))
            continue;
        leader_book_deal(leader, job, i, job->gang.attempt, places->pdata[used++]);
        leader_send_deal(leader, job, i, true);
    }
}

/* A gang of which only a part finds room: holds that, and has more made, unless it could not be
 * whole on the machines that there are and has waited for new ones in vain. */
static void hold_for_gang(struct leader *leader, struct leader_job *job, struct job *job_view,
                          const GPtrArray *places, uint32_t left)
{
    const struct spec *spec = job_view->spec;
    job->gang.held_tasks = places->len;
    job->gang.held_zone =
        places->len ? ((struct leader_host *)places->pdata[0])->zone_index : ANY_ZONE;
    job->blocked = true;
    bool hope = hopes_for_machines(leader, job);
    bool may_hold = job->aged && leader->holding_gangs < MOST_HOLDING;
    int zone_index = ANY_ZONE;
    bool fits = (!hope || may_hold) && could_be_whole(leader, job, spec, left, &zone_index);
    hope = hope || fits;
    for (guint i = 0; i < places->len; i++) {
        struct leader_host *host = places->pdata[i];
        host->wanted = true;
        if (hope)
            room_add(&host->held, job->room);
    }
    if (hope || !places->len)
        leader_note_unplaceable(leader, spec);
    if (hope)
        leader_preempt(leader, job, job_view, false);
    if (fits && may_hold) {
        leader->holding_gangs++;
        hold_machines(leader, job, spec, places, (int64_t)left - places->len, zone_index);
    }
}

bool leader_deal_gang(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    if (g_hash_table_size(job->entries) || g_hash_table_size(job->deals) || job_view->placed) {
        gang_complete(leader, job, job_view);
        gang_mend(leader, job, job_view);
        return false;
    }
    struct leader_team *team = &leader->teams[job->team];
    uint32_t left = job_view->tasks - job_view->n_done;
    struct room all = {{job->room.cpus.milli * left}, {job->room.gpus.milli * left}, {0}};
    if (!left || !leader_within_limits(team->used, all, team->team->cpus_max, team->team->gpus_max))
        return false;
    GPtrArray *places = leader_known_unplaceable(leader, job_view->spec)
                            ? g_ptr_array_new()
                            : gang_places(leader, job, job_view->spec, left);
    bool whole = places->len == left;
    if (whole)
        start_gang(leader, job, job_view, places);
    else
        hold_for_gang(leader, job, job_view, places, left);
    g_ptr_array_unref(places);
    return whole;
}
