#include "quota_ledger.h"

#include "image_cache.h"
#include "log.h"
#include "shard_dispatcher.h"

/* Of an attempt number: the low bits count, those above are the epoch. */
enum { ATTEMPT_BITS = 20 };

static void job_free(gpointer q)
{
    struct leader_job *job = q;
    g_hash_table_unref(job->entries);
    g_hash_table_unref(job->deals);
    if (job->failed_on)
        g_hash_table_unref(job->failed_on);
    g_free(job);
}

static void host_free(gpointer q)
{
    struct leader_host *host = q;
    g_free(host->owner);
    g_ptr_array_unref(host->images);
    if (host->failed_jobs)
        g_hash_table_unref(host->failed_jobs);
    g_free(host);
}

void leader_ledger_init(struct leader *leader)
{
    leader->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    leader->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
}

struct leader_job *leader_job_get(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->jobs, id);
}

struct leader_job *leader_job_make(struct leader *leader, job_id id)
{
    struct leader_job *job = leader_job_get(leader, id.s);
    if (job)
        return job;
    struct job *job_view = view_job(leader->view, id.s);
    int team = job_view && job_view->spec
                   ? settings_team(leader->settings, job_view->spec->team_name)
                   : -1;
    if (team < 0)
        return NULL;
    job = g_new0(struct leader_job, 1);
    job->id = id;
    job->team = team;
    job->room = room_of_spec(job_view->spec);
    job->service = job_view->spec->form == FORM_SERVICE;
    job->urgency = (enum urgency)job_view->urgency;
    job->patience_s = leader_patience_s(leader, job_view);
    job->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    job->deals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_hash_table_insert(leader->jobs, job->id.s, job);
    return job;
}

void leader_job_take_lent(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    if (!job)
        return;
    int recorded = (int)g_hash_table_size(job->entries);
    leader->running[job->urgency] -= recorded;
    job->urgency = (enum urgency)job_view->urgency;
    leader->running[job->urgency] += recorded;
    job->patience_s = leader_patience_s(leader, job_view);
}

gpointer leader_key_of(uint32_t index)
{
    return GUINT_TO_POINTER(index + 1);
}

struct leader_host *leader_host_get(struct leader *leader, const char *id)
{
    return g_hash_table_lookup(leader->hosts, id);
}

struct leader_host *leader_host_make(struct leader *leader, host_id id, const char *type_name,
                                     const char *zone, bool spot)
{
    struct leader_host *host = leader_host_get(leader, id.s);
    if (!host) {
        host = g_new0(struct leader_host, 1);
        host->id = id;
        host->idle_since = loop_now(leader->loop);
        host->images = images_new();
        g_hash_table_insert(leader->hosts, host->id.s, host);
    }
    guint zone_index;
    bool known =
        g_ptr_array_find_with_equal_func(leader->settings->zones, zone, g_str_equal, &zone_index);
    host->zone_index = known ? (int)zone_index : -1;
    g_strlcpy(host->type_name, type_name, sizeof host->type_name);
    g_strlcpy(host->zone, zone, sizeof host->zone);
    host->spot = spot;
    const struct machine_type *type = type_named(leader->view->types, type_name);
    if (type)
        host->total = room_of_type(type);
    return host;
}

void leader_deal_drop(struct leader *leader, struct leader_job *job, uint32_t index)
{
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    if (!deal)
        return;
    if (deal->host)
        room_sub(&deal->host->dealt, job->room);
    room_sub(&leader->teams[job->team].used, job->room);
    g_hash_table_remove(job->deals, leader_key_of(index));
    job->cursor = MIN(job->cursor, index);
}

void leader_entry_add(struct leader *leader, job_id id, uint32_t index, attempt_no attempt,
                      host_id where)
{
    struct leader_job *job = leader_job_make(leader, id);
    if (!job || g_hash_table_contains(job->entries, leader_key_of(index)))
        return;
    struct deal *deal = g_hash_table_lookup(job->deals, leader_key_of(index));
    if (deal && deal->attempt.v == attempt.v)
        leader_deal_drop(leader, job, index);
    struct entry *entry = g_new(struct entry, 1);
    *entry = (struct entry){.attempt = attempt, .host = where, .since = loop_now(leader->loop)};
    g_hash_table_insert(job->entries, leader_key_of(index), entry);
    room_add(&leader->teams[job->team].used, job->room);
    leader->running[job->urgency]++;
    struct host_record *rec = view_host(leader->view, where.s);
    struct leader_host *host = leader_host_get(leader, where.s);
    if (!host && rec)
        host = leader_host_make(leader, where, rec->type_name, rec->zone, rec->spot);
    if (host)
        room_add(&host->booked, job->room);
    if (host && job->service)
        room_add(&host->pinned, job->room);
}

void leader_entry_remove(struct leader *leader, job_id id, uint32_t index, attempt_no attempt)
{
    struct leader_job *job = leader_job_get(leader, id.s);
    struct entry *entry = job ? g_hash_table_lookup(job->entries, leader_key_of(index)) : NULL;
    if (!entry || entry->attempt.v != attempt.v)
        return;
    struct leader_host *host = leader_host_get(leader, entry->host.s);
    job->gang.lost_task = true;
    if (host) {
        room_sub(&host->booked, job->room);
        if (job->service)
            room_sub(&host->pinned, job->room);
        host->idle_since = loop_now(leader->loop);
    }
    room_sub(&leader->teams[job->team].used, job->room);
    leader->running[job->urgency]--;
    if (entry->halted)
        room_sub(&leader->teams[job->team].halting, job->room);
    struct leader_job *preemptor =
        entry->preempted_for.s[0] ? leader_job_get(leader, entry->preempted_for.s) : NULL;
    if (preemptor)
        preemptor->pending_preemptions--;
    g_hash_table_remove(job->entries, leader_key_of(index));
    job->cursor = MIN(job->cursor, index);
}

/* Nothing is booked on machines, and nothing used by teams; whose machines they are is not known.
 */
static void clear_counts(struct leader *leader)
{
    memset(leader->running, 0, sizeof leader->running);
    for (int i = 0; i < leader->n_teams; i++)
        leader->teams[i].used = leader->teams[i].halting = (struct room){0};
    GHashTableIter it;
    struct leader_host *host;
    g_hash_table_iter_init(&it, leader->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        host->booked = host->dealt = host->pinned = (struct room){0};
        host->told = false;
        host->flags = 0;
    }
}

/* One shard for each node on the map, of which nothing is known yet. */
static void reset_shards(struct leader *leader)
{
    g_hash_table_remove_all(leader->shards);
    for (guint i = 0; i < leader->view->map->len; i++)
        leader_shard_get(leader, g_array_index(leader->view->map, struct map_entry, i).label);
}

/* Takes a machine from the view, and what is on record there. */
static void enter_record(struct leader *leader, const struct host_record *rec)
{
    struct leader_host *host =
        leader_host_make(leader, rec->id, rec->type_name, rec->zone, rec->spot);
    for (guint i = 0; i < rec->images->len && !host->told; i++)
        images_add(host->images, rec->images->pdata[i]);
    for (guint i = 0; i < rec->tasks->len; i++) {
        struct placed *placed = rec->tasks->pdata[i];
        leader_entry_add(leader, placed->job->id, placed->index, placed->attempt, rec->id);
    }
}

/* Takes a job from the view. What was learnt of it stays; old: the jobs of the last epoch. */
static void enter_job(struct leader *leader, const struct job *job_view, GHashTable *old)
{
    if (!job_view->known || (job_view->state != JOB_LIVE && !job_view->spec))
        return;
    struct leader_job *job = leader_job_make(leader, job_view->id);
    struct leader_job *before = g_hash_table_lookup(old, job_view->id.s);
    if (!job || !before)
        return;
    job->failures = before->failures;
    job->not_before = before->not_before;
    job->failed_on = g_steal_pointer(&before->failed_on);
}

void leader_ledger_rebuild(struct leader *leader)
{
    leader->epoch = leader->view->epoch;
    leader->epoch_at = loop_now(leader->loop);
    leader->generation++;
    leader->attempts = 0;
    GHashTable *old = leader->jobs;
    leader->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    clear_counts(leader);
    reset_shards(leader);
    GHashTableIter it;
    struct host_record *rec;
    g_hash_table_iter_init(&it, leader->view->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rec))
        enter_record(leader, rec);
    struct job *job_view;
    g_hash_table_iter_init(&it, leader->view->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job_view))
        enter_job(leader, job_view, old);
    g_hash_table_unref(old);
    LOG_INFO("leading", "jobs=%u machines=%u", g_hash_table_size(leader->jobs),
             g_hash_table_size(leader->hosts));
}

attempt_no leader_next_attempt(struct leader *leader)
{
    /* The epoch makes it unique for good, without asking what was used before. */
    if (++leader->attempts >> ATTEMPT_BITS)
        membership_raise(leader->members, "attempts used up");
    return (attempt_no){leader->epoch.v << ATTEMPT_BITS |
                        (leader->attempts & ((1 << ATTEMPT_BITS) - 1))};
}

void leader_book_deal(struct leader *leader, struct leader_job *job, uint32_t index,
                      attempt_no attempt, struct leader_host *host)
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

bool leader_task_waits(const struct leader_job *job, const struct job *job_view, uint32_t index)
{
    return !job_task_done(job_view, index) && !job_placed(job_view, index) &&
           !g_hash_table_contains(job->entries, leader_key_of(index)) &&
           !g_hash_table_contains(job->deals, leader_key_of(index));
}

uint32_t leader_next_waiting(struct leader_job *job, const struct job *job_view)
{
    while (job->cursor < job_view->tasks && !leader_task_waits(job, job_view, job->cursor))
        job->cursor++;
    return job->cursor;
}

uint32_t leader_count_waiting(struct leader_job *job, const struct job *job_view)
{
    uint32_t busy =
        g_hash_table_size(job->entries) + g_hash_table_size(job->deals) + job_view->n_done;
    return busy >= job_view->tasks ? 0 : job_view->tasks - busy;
}

bool leader_within_limits(struct room used, struct room more, amount cpus, amount gpus)
{
    return used.cpus.milli + more.cpus.milli <= cpus.milli &&
           used.gpus.milli + more.gpus.milli <= gpus.milli;
}

struct room leader_limit_left(const struct leader_team *team)
{
    return room_left((struct room){team->team->cpus_max, team->team->gpus_max, {INT64_MAX / 4}},
                     team->used);
}

int64_t leader_count_allowed(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    struct room left = leader_limit_left(&leader->teams[job->team]);
    return MIN((int64_t)leader_count_waiting(job, job_view), room_times(left, job->room));
}
