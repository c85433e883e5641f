#include "job_queue.h"

#include "gang_scheduler.h"
#include "placement.h"
#include "preemption.h"
#include "quota_ledger.h"
#include "shard_dispatcher.h"

/* Of cpus, in thousandths. */
enum {
    MOST_DEFICIT = 10000000,
    LEAST_QUANTUM = 1000,
    QUANTUM_DIVISOR = 16, /* a team's quantum is its guarantee divided by that */
};

/* Ranks below RANK_BORROWED are for what a team was promised; each has one place by urgency. */
enum {
    RANK_SERVICES = 0,
    RANK_BORROWED = 4,
    RANK_BORROWED_LATE = 8,
};

/* A job that has waited for so long has its place in the queue again, late or not: the largest,
 * too, have to begin within a few minutes. */
static const double AGED_S = 150;

/* And after so long it goes before urgent work, and is not stopped for it. */
static const double OVERDUE_S = 190;

/* A job stands behind those that came up to so many times as long after it as it would keep its
 * team's whole limit busy: small jobs pass large ones, but none passes for ever. */
static const double SIZE_COUNTS = 4;

/* Whether what the job's class is expected to do can still be done. One that has waited for very
 * long has its place back, so that none waits for ever. */
static bool still_in_time(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    double waited = (double)(loop_wall(leader->loop).ms - job_view->since.ms) / 1000;
    job->aged = waited > AGED_S;
    job->overdue = waited > OVERDUE_S;
    return waited < job->patience_s || job->aged;
}

int leader_rank_of(struct leader *leader, struct leader_job *job)
{
    struct leader_team *team = &leader->teams[job->team];
    if (job->urgency == URGENCY_PROD)
        return RANK_SERVICES;
    if (leader_within_limits(team->used, job->room, team->team->cpus, team->team->gpus))
        return job->urgency;
    /* What is overdue goes before all that is borrowed, or urgent work would hold it back for ever.
     */
    if (job->overdue)
        return RANK_BORROWED;
    return (job->in_time ? RANK_BORROWED : RANK_BORROWED_LATE) + job->urgency;
}

/* Deals so many tasks at most to one machine; tells how many. */
static int fill_host(struct leader *leader, struct leader_job *job, struct job *job_view,
                     struct leader_host *host, attempt_no attempt, int most)
{
    int dealt = 0;
    while (dealt < most && room_holds(leader_host_free_room(host), job->room) &&
           leader_zone_allowed(leader, job, job_view->spec, host->zone_index)) {
        uint32_t index = leader_next_waiting(job, job_view);
        if (index >= job_view->tasks)
            break; /* more is on record than the count says */
        leader_book_deal(leader, job, index, attempt, host);
        leader_send_deal(leader, job, index, false);
        if (host->zone_index >= 0)
            leader->zone_tasks[host->zone_index]++;
        dealt++;
    }
    return dealt;
}

/* Deals so many tasks at most, to the best machines; tells how many. image: only to machines that
 * have the job's image. */
static int deal_to_best(struct leader *leader, struct leader_job *job, struct job *job_view,
                        int most, bool image)
{
    if (leader_known_unplaceable(leader, job_view->spec))
        return 0;
    GArray *hosts = leader_choose_hosts(leader, job, job_view->spec, image);
    attempt_no attempt = leader_next_attempt(leader);
    int dealt = 0;
    for (guint i = 0; i < hosts->len && dealt < most; i++) {
        struct leader_host *host = g_array_index(hosts, struct host_choice, i).host;
        dealt += fill_host(leader, job, job_view, host, attempt, most - dealt);
    }
    if (!hosts->len && !image)
        leader_note_unplaceable(leader, job_view->spec);
    g_array_unref(hosts);
    return dealt;
}

/* Deals so many tasks at most, or has room made for some if none finds any; tells how many. */
static int deal_some(struct leader *leader, struct leader_job *job, struct job *job_view, int most)
{
    int allowed = (int)MIN(most, leader_count_allowed(leader, job, job_view));
    if (allowed <= 0)
        return 0;
    leader_count_zones(leader, job, job_view->spec);
    bool image = leader_holds_out_for_image(leader, job, job_view);
    int dealt = deal_to_best(leader, job, job_view, allowed, image);
    if (!dealt) {
        job->blocked = true;
        leader_preempt(leader, job, job_view, image);
    }
    return dealt;
}

static double share_of(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/* How long the job would keep its team's whole limit busy. */
static double keeps_busy_s(struct leader *leader, const struct leader_job *job,
                           const struct job *job_view)
{
    const struct team *team = leader->teams[job->team].team;
    double cpus = (double)job->room.cpus.milli * job_view->tasks;
    double gpus = (double)job->room.gpus.milli * job_view->tasks;
    double share = MAX(share_of(cpus, (double)team->cpus_max.milli),
                       share_of(gpus, (double)team->gpus_max.milli));
    return share * job_view->spec->expected_s;
}

/* By arrival and size; but jobs that are late whatever is done now stand behind those that may
 * still be in time. */
static gint by_place(gconstpointer a, gconstpointer b)
{
    const struct leader_job *first = *(struct leader_job *const *)a;
    const struct leader_job *second = *(struct leader_job *const *)b;
    if (first->in_time != second->in_time)
        return first->in_time ? -1 : 1;
    if (first->aged != second->aged)
        return first->aged ? -1 : 1;
    if (first->queue_ms != second->queue_ms)
        return first->queue_ms < second->queue_ms ? -1 : 1;
    return strcmp(first->id.s, second->id.s);
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
    while (team->next_ready < team->ready->len && *dealt < budget) {
        struct leader_job *job = team->ready->pdata[team->next_ready];
        struct job *job_view = job->view;
        if (job->blocked || leader_next_waiting(job, job_view) >= job_view->tasks ||
            leader_rank_of(leader, job) != rank) {
            team->next_ready++;
            continue;
        }
        double cost = CLAMP((double)job->room.cpus.milli, 1, MOST_DEFICIT);
        int most = (int)MIN(team->deficit / cost, budget - *dealt);
        if (most < 1)
            return true;
        int n = job_view->spec->form == FORM_GANG ? leader_deal_gang(leader, job, job_view)
                                                  : deal_some(leader, job, job_view, most);
        if (n == 0)
            team->next_ready++;
        team->deficit -= n * cost;
        *dealt += n;
    }
    if (team->next_ready >= team->ready->len)
        team->deficit = 0;
    return team->next_ready < team->ready->len;
}

int leader_deal_rank(struct leader *leader, int rank, int budget)
{
    int dealt = 0;
    bool any = true;
    for (int i = 0; i < leader->n_teams; i++)
        leader->teams[i].next_ready = 0;
    while (any && dealt < budget) {
        any = false;
        for (int i = 0; i < leader->n_teams && dealt < budget; i++) {
            struct leader_team *team = &leader->teams[(leader->first_team + i) % leader->n_teams];
            if (team->next_ready >= team->ready->len)
                continue;
            team->deficit =
                MIN(team->deficit + MAX(team->team->cpus.milli / QUANTUM_DIVISOR, LEAST_QUANTUM),
                    MOST_DEFICIT);
            any = deal_turn(leader, team, rank, budget, &dealt) || any;
        }
    }
    return dealt;
}

/* Whether the job may have something to deal in this pass. */
static bool is_ready(struct leader *leader, struct leader_job *job, const struct job *job_view)
{
    /* What it needs is done once that is durable and seen here, whoever led when it was. */
    if (!job_view || !job_view->known || job_view->state != JOB_LIVE || !job_view->spec ||
        job_view->waits || time_before(loop_now(leader->loop), job->not_before))
        return false;
    return job_view->spec->form == FORM_GANG ||
           leader_next_waiting(job, job_view) < job_view->tasks;
}

/* Adds the job to its team's queue. */
static void enqueue(struct leader *leader, struct leader_job *job, struct job *job_view)
{
    job->in_time = still_in_time(leader, job, job_view);
    job->view = job_view;
    job->queue_ms =
        job_view->since.ms + (int64_t)(SIZE_COUNTS * 1000 * keeps_busy_s(leader, job, job_view));
    g_ptr_array_add(leader->teams[job->team].ready, job);
}

bool leader_collect_ready(struct leader *leader)
{
    bool any = false;
    for (int i = 0; i < leader->n_teams; i++)
        g_ptr_array_set_size(leader->teams[i].ready, 0);
    GHashTableIter it;
    struct leader_job *job;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_view = view_job(leader->view, job->id.s);
        job->blocked = false;
        job->gang.held_tasks = 0;
        if (!is_ready(leader, job, job_view))
            continue;
        enqueue(leader, job, job_view);
        any = true;
    }
    for (int i = 0; i < leader->n_teams; i++) {
        g_ptr_array_sort(leader->teams[i].ready, by_place);
        take_turns(leader->teams[i].ready);
    }
    return any;
}
