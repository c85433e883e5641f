#include "leader_gang.h"

#include "leader_ledger.h"
#include "leader_placement.h"
#include "leader_preempt.h"
#include "leader_shards.h"
#include "log.h"

enum {
    MOST_HOLDING = 4, /* gangs that hold whole machines, in a pass */
    MOST_HOPE_MS = 60000,
    COMPLETE_WITHIN_MS = 2000, /* for a task that was given back to find another machine */
};

/* The best machines for so many tasks of a job, in one zone or (-1) in any; a machine stands there
 * once for each task. */
static GPtrArray *places(struct leader *leader, struct leader_job *job, const struct spec *spec,
                         uint32_t most, int zone_index)
{
    GPtrArray *out = g_ptr_array_new();
    leader_count_zones(leader, job, spec);
    GArray *hosts = leader_choose_hosts(leader, job, spec, false);
    for (guint i = 0; i < hosts->len && out->len < most; i++) {
        struct leader_host *host = g_array_index(hosts, struct host_choice, i).host;
        int64_t holds = room_times(leader_host_free_room(host), job->room);
        for (int64_t k = 0;
             k < holds && out->len < most && (zone_index < 0 || host->zone_index == zone_index) &&
             leader_zone_allowed(leader, job, spec, host->zone_index);
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
        bool clears = job->pending_preemptions && (int)z == job->gang.preempt_zone;
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

/* Stops what is left of a gang. Tasks that were told to in this epoch are not told again: their
 * owners repeat a halt until its end is on record, but forget it when the epoch changes. */
static void stop_gang(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    bool told_before = job->gang.stopped_in.v == leader->epoch.v;
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

/* Tasks that a part could not place are dealt once more, under the attempt of the others: as they
 * were never on record, the gang has not begun, and waits for them. */
static void gang_complete(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    if (!job->gang.attempt.v || job->gang.lost_task)
        return;
    for (uint32_t i = 0; i < job_view->tasks; i++) {
        if (!leader_task_waits(job, job_view, i) ||
            !room_holds(leader_limit_left(&leader->teams[job->team]), job->room))
            continue;
        GPtrArray *place = places(leader, job, job_view->spec, 1, -1);
        if (place->len) {
            leader_book_deal(leader, job, i, job->gang.attempt, place->pdata[0]);
            leader_send_deal(leader, job, i, true);
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
    loop_work(leader->loop, leader->open_hosts->len);
    leader_count_zones(leader, job, spec);
    for (guint z = 0; z < zones && !whole; z++) {
        int64_t n = 0;
        for (guint i = 0; i < leader->open_hosts->len; i++) {
            struct leader_host *host = leader->open_hosts->pdata[i];
            if (leader_host_allowed(leader, job, spec, host) &&
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
    GArray *more = g_array_new(FALSE, FALSE, sizeof(struct host_choice));
    int64_t holds = -(int64_t)held->len;
    loop_work(leader->loop, leader->open_hosts->len);
    leader_count_zones(leader, job, spec);
    for (guint i = 0; i < leader->open_hosts->len; i++) {
        struct leader_host *host = leader->open_hosts->pdata[i];
        struct host_choice choice = {host, -room_share(host->booked, host->total)};
        int64_t n = room_times(room_left(host->total, host->pinned), job->room);
        if (!n || !leader_host_allowed(leader, job, spec, host) ||
            (spec->one_zone && zone_index >= 0 && host->zone_index != zone_index))
            continue;
        if (spec->one_zone)
            zone_index = host->zone_index;
        g_array_append_val(more, choice);
        holds += n;
    }
    g_array_sort(more, leader_compare_choices);
    for (guint i = 0; i < more->len && lacks > 0 && holds >= lacks; i++) {
        struct leader_host *host = g_array_index(more, struct host_choice, i).host;
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
    GPtrArray *hosts = leader_known_unplaceable(leader, job_view->spec)
                           ? g_ptr_array_new()
                           : gang_places(leader, job, job_view->spec, left);
    bool whole = hosts->len == left;
    if (whole) {
        job->gang.attempt = leader_next_attempt(leader);
        job->gang.lost_task = false;
        job->gang.short_since = job->gang.incomplete_since = (mono_time){0};
        for (uint32_t i = 0, k = 0; i < job_view->tasks; i++) {
            if (job_task_done(job_view, i))
                continue;
            leader_book_deal(leader, job, i, job->gang.attempt, hosts->pdata[k++]);
            leader_send_deal(leader, job, i, true);
        }
    } else {
        job->gang.held_tasks = hosts->len;
        job->gang.held_zone = hosts->len ? ((struct leader_host *)hosts->pdata[0])->zone_index : -1;
        job->blocked = true;
        mono_time now = loop_now(leader->loop);
        if (!job->gang.short_since.us)
            job->gang.short_since = now;
        bool hope = (double)time_ms_since(now, job->gang.short_since) < hope_ms(leader) ||
                    could_be_whole(leader, job, job_view->spec, left);
        for (guint i = 0; i < hosts->len; i++) {
            struct leader_host *host = hosts->pdata[i];
            host->wanted = true;
            if (hope)
                room_add(&host->held, job->room);
        }
        if (hope || !hosts->len)
            leader_note_unplaceable(leader, job_view->spec);
        if (hope)
            leader_preempt(leader, job, job_view, false);
        if (job->aged && leader->holding_gangs++ < MOST_HOLDING)
            hold_machines(leader, job, job_view->spec, hosts, (int64_t)left - hosts->len);
    }
    g_ptr_array_unref(hosts);
    return whole;
}
