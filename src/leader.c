#include "leader_queue.h"

#include "leader_digest.h"
#include "leader_ledger.h"
#include "leader_placement.h"
#include "leader_shards.h"
#include "log.h"
#include "node.h"

enum {
    SETTLE_MS = 1500, /* after a new epoch: for the digests to come in */
    TICK_MS = 200,
    PASS_MS = 8,
    DEALS_A_PASS = 64,
    SWEEP_MS = 5000,
    STUCK_S = 20,
    MOST_CANCELLING = 4,
};

static void on_view(struct leader *leader, const GArray *changes);
static void tick(void *arg);
static void pass(void *arg);

void leader_pass_soon(struct leader *leader)
{
    if (!leader->pass.place)
        timer_start(leader->loop, &leader->pass, PASS_MS);
}

static void receive(struct actor *self, const struct message *message)
{
    struct leader *leader = (struct leader *)self;
    if (message->kind == MSG_VIEW)
        on_view(leader, message->body);
    else if (message->kind == MSG_FLEET)
        leader_pass_soon(leader);
}

struct leader *leader_new(const struct node *node, const struct policy *policy)
{
    const struct settings *settings = node->settings;
    struct leader *leader = g_new0(struct leader, 1);
    leader->actor = (struct actor){"leader", receive};
    leader->loop = node->loop;
    leader->store = node->store;
    leader->view = node->view;
    leader->members = node->members;
    leader->bus = node->bus;
    leader->settings = settings;
    leader->policy = policy;
    leader->fleet = fleet_new(node, &leader->actor);
    leader_ledger_init(leader);
    leader->run_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader_shards_init(leader);
    leader->service_lack = g_new0(int64_t, settings->zones->len);
    leader->zone_cpus = g_new0(double, settings->zones->len);
    leader->zone_tasks = g_new0(uint32_t, settings->zones->len);
    leader->move_backoffs = g_new0(struct move_backoff, settings->zones->len);
    leader->open_hosts = g_ptr_array_new();
    leader->unplaceable = g_array_new(FALSE, FALSE, sizeof(struct lack));
    leader->n_teams = (int)settings->teams->len;
    leader->teams = g_new0(struct leader_team, leader->n_teams);
    for (int i = 0; i < leader->n_teams; i++) {
        leader->teams[i].team = &g_array_index(settings->teams, struct team, i);
        leader->teams[i].ready = g_ptr_array_new();
    }
    timer_init(&leader->tick, tick, leader);
    timer_init(&leader->pass, pass, leader);
    view_listen(leader->view, &leader->actor);
    bus_handle(leader->bus, "digest", leader_on_digest, leader);
    return leader;
}

void leader_free(struct leader *leader)
{
    timer_stop(leader->loop, &leader->tick);
    timer_stop(leader->loop, &leader->pass);
    fleet_free(leader->fleet);
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->hosts);
    g_hash_table_unref(leader->shards);
    g_hash_table_unref(leader->run_times);
    for (int i = 0; i < leader->n_teams; i++)
        g_ptr_array_unref(leader->teams[i].ready);
    g_free(leader->teams);
    g_free(leader->service_lack);
    g_free(leader->zone_cpus);
    g_free(leader->zone_tasks);
    g_free(leader->move_backoffs);
    g_ptr_array_unref(leader->open_hosts);
    g_array_unref(leader->unplaceable);
    g_free(leader);
}

void leader_start(struct leader *leader)
{
    timer_start(leader->loop, &leader->tick, TICK_MS);
}

/* ---- ends of jobs ---- */

struct finish {
    struct leader *leader;
    job_id job;
    bool cancelled;
};

static void finish_seen(void *arg, bool ok)
{
    struct finish *finish = arg;
    (void)ok;
    finish->leader->cancelling -= finish->cancelled;
    struct leader_job *job = leader_job_get(finish->leader, finish->job.s);
    if (job)
        job->finishing = false;
    leader_pass_soon(finish->leader);
    g_free(finish);
}

static void finish_answered(void *arg, const struct txn_outcome *outcome)
{
    struct finish *finish = arg;
    if (outcome->result == TXN_DONE || outcome->result == TXN_CONFLICT)
        view_await(finish->leader->view, outcome->at, finish_seen, finish);
    else
        view_barrier(finish->leader->view, finish_seen, finish);
}

static void finish(struct leader *leader, struct leader_job *job, struct job *job_view,
                   enum job_state final)
{
    struct txn *txn = txn_new();
    char *key = key_job(job->id);
    txn_when(txn, key, job_view->stamp);
    txn_when(txn, KEY_LEADER, leader->view->leader_stamp);
    txn_set(txn, key, job_final_value(final, job_view->tasks, loop_wall(leader->loop)),
            (lease_id){0});
    g_free(key);
    job->finishing = true;
    struct finish *f = g_new(struct finish, 1);
    *f = (struct finish){leader, job->id, job_view->state == JOB_CANCELLED};
    leader->cancelling += f->cancelled;
    store_txn(leader->store, f->cancelled ? LANE_NORMAL : LANE_URGENT, txn, finish_answered, f);
}

static void consider_end(struct leader *leader, struct leader_job *job)
{
    struct job *job_view = view_job(leader->view, job->id.s);
    if (!job_view || !job_view->known || job->finishing || !job_view->spec ||
        !membership_leads(leader->members))
        return;
    if (job_view->state == JOB_LIVE && job_view->n_done == job_view->tasks)
        finish(leader, job, job_view, JOB_DONE);
    /* Many may be cancelled with one. All nodes know that already: it can wait behind other writes.
     */
    else if (job_view->state == JOB_CANCELLED && !job_view->placed &&
             !g_hash_table_size(job->entries) && leader->cancelling < MOST_CANCELLING)
        finish(leader, job, job_view, JOB_CANCELLED);
}

static bool over(struct leader *leader, struct leader_job *job)
{
    struct job *job_view = view_job(leader->view, job->id.s);
    return (!job_view || !job_view->spec) && !g_hash_table_size(job->entries) && !job->finishing;
}

/* A task that is neither recorded nor given back for long would wait for ever, whatever became of
 * it: a new epoch makes all that was dealt void. */
static void raise_for_stuck_deals(struct leader *leader)
{
    mono_time now = loop_now(leader->loop);
    GHashTableIter it, deals;
    struct leader_job *job;
    struct deal *deal;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
        struct job *job_view = view_job(leader->view, job->id.s);
        /* The switch rule may keep a task back for a twentieth of its time. */
        double most = STUCK_S + (job_view && job_view->spec ? job_view->spec->expected_s * 0.1 : 0);
        g_hash_table_iter_init(&deals, job->deals);
        while (g_hash_table_iter_next(&deals, NULL, (gpointer *)&deal))
            if ((double)time_ms_since(now, deal->since) > most * 1000 &&
                (double)time_ms_since(now, leader->idle_at) > most * 1000) {
                LOG_INFO("deal_stuck", "job=%s machine=%s", job->id.s, deal->host->id.s);
                membership_raise(leader->members, "a deal is stuck");
                return;
            }
    }
}

static void swept(void *arg, const struct txn_outcome *outcome)
{
    (void)outcome;
    ((struct leader *)arg)->sweeping = false;
}

static void still_live(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    void **c = ctx;
    (void)unit;
    (void)bits;
    struct job *j = view_job(c[0], job.s);
    *(bool *)c[1] = *(bool *)c[1] || (j && j->spec);
}

static void sweep_key(struct leader *leader, const char *key, revision stamp)
{
    struct txn *txn = txn_new();
    txn_when(txn, KEY_LEADER, leader->view->leader_stamp);
    txn_when(txn, key, stamp);
    txn_remove(txn, key);
    leader->sweeping = true;
    store_txn(leader->store, LANE_NORMAL, txn, swept, leader);
}

static bool node_away(const struct leader *leader, const char *label)
{
    for (guint i = 0; i < leader->view->map->len; i++)
        if (strcmp(g_array_index(leader->view->map, struct map_entry, i).label, label) == 0)
            return false;
    return true;
}

/* A page of a node that is away is removed once others have taken its machines over and the jobs
 * are over of which it says what is done. */
static void sweep_pages(struct leader *leader)
{
    GHashTableIter it;
    struct page *page;
    g_hash_table_iter_init(&it, leader->view->pages);
    while (!leader->sweeping && g_hash_table_iter_next(&it, NULL, (gpointer *)&page)) {
        bool live = false;
        void *ctx[] = {leader->view, &live};
        if (page->tasks->len || !node_away(leader, page->label))
            continue;
        page_read_done(page->done ? page->done : "", still_live, ctx);
        if (!live)
            sweep_key(leader, page->key, page->stamp);
    }
}

/* A list of machines of a node that is away is removed once it says nothing of a machine on which
 * anything is on record: those that own them now list them, too. */
static void sweep_inventories(struct leader *leader)
{
    GHashTableIter it;
    struct inventory *inventory;
    g_hash_table_iter_init(&it, leader->view->inventories);
    while (!leader->sweeping && g_hash_table_iter_next(&it, NULL, (gpointer *)&inventory)) {
        bool needed = false;
        for (guint i = 0; i < inventory->hosts->len; i++)
            needed = needed || ((struct host_record *)inventory->hosts->pdata[i])->tasks->len;
        if (!needed && node_away(leader, inventory->label))
            sweep_key(leader, inventory->key, inventory->stamp);
    }
}

/* ---- the pass ---- */

/* Whether the ledger is that of the present epoch, and the digests are in or had their time. */
static bool ready_to_deal(struct leader *leader)
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

static void pass(void *arg)
{
    struct leader *leader = arg;
    if (!ready_to_deal(leader))
        return;
    int budget = DEALS_A_PASS;
    leader->first_team = (leader->first_team + 1) % leader->n_teams;
    leader_survey(leader);
    if (leader_collect_ready(leader))
        for (int rank = 0; rank < RANKS && budget > 0; rank++)
            budget -= leader_deal_rank(leader, rank, budget);
    leader_scale(leader);
    fleet_step(leader->fleet);
    leader_send_all(leader);
    if (budget <= 0)
        leader_pass_soon(leader);
}

/* ---- the view ---- */

static void on_view(struct leader *leader, const GArray *changes)
{
    /* An outage may keep the lead from acting for a while. As long as nobody else takes it, which
     * would raise the epoch, the ledger is kept up: what was dealt is still with the parts. */
    if (!membership_holds_lead(leader->members)) {
        if (leader->leading) {
            LOG_INFO("not_leading", "epoch=%" G_GUINT64_FORMAT, leader->epoch.v);
            leader->leading = false;
            leader->generation++;
        }
        return;
    }
    bool rebuilt = !leader->leading || leader->epoch.v != leader->view->epoch.v;
    if (!leader->leading) {
        leader->leading = true;
        g_hash_table_remove_all(leader->hosts);
        fleet_reset(leader->fleet);
        leader->demand_peak = 0;
    }
    if (rebuilt)
        leader_ledger_rebuild(leader);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *change = &g_array_index(changes, struct change, i);
        struct leader_job *job;
        struct job *v;
        switch (change->kind) {
        case CHANGE_PLACED:
            leader_entry_add(leader, change->job, change->index, change->attempt, change->host);
            break;
        case CHANGE_FREED:
            leader_entry_remove(leader, change->job, change->index, change->attempt);
            break;
        case CHANGE_JOB:
            v = view_job(leader->view, change->job.s);
            if (v && v->known && v->spec)
                leader_job_take_lent(leader, leader_job_make(leader, change->job), v);
            break;
        case CHANGE_RELOADED:
            /* A task may have been placed and freed again unseen, and its deal would stay open. */
            if (!rebuilt)
                membership_raise(leader->members, "changes were lost");
            break;
        default:
            break;
        }
        job = change->kind <= CHANGE_FREED ? leader_job_get(leader, change->job.s) : NULL;
        if (!job)
            continue;
        v = view_job(leader->view, change->job.s);
        /* What was dealt of a job that is over is settled by the parts, which see the same. */
        if (v && v->state != JOB_LIVE)
            for (uint32_t k = 0; g_hash_table_size(job->deals) && k < v->tasks; k++)
                leader_deal_drop(leader, job, k);
        consider_end(leader, job);
        if (over(leader, job))
            g_hash_table_remove(leader->jobs, change->job.s);
    }
    leader_pass_soon(leader);
}

static void tick(void *arg)
{
    struct leader *leader = arg;
    timer_start(leader->loop, &leader->tick, TICK_MS);
    if (!leader->leading || !membership_leads(leader->members) || store_troubled(leader->store)) {
        leader->idle_at = loop_now(leader->loop);
        return;
    }
    GHashTableIter it;
    struct leader_job *job;
    g_hash_table_iter_init(&it, leader->jobs);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job))
        consider_end(leader, job);
    if (time_ms_since(loop_now(leader->loop), leader->swept_at) > SWEEP_MS) {
        leader->swept_at = loop_now(leader->loop);
        sweep_pages(leader);
        sweep_inventories(leader);
        raise_for_stuck_deals(leader);
    }
    if (ready_to_deal(leader))
        pass(leader);
    else
        fleet_step(leader->fleet);
}
