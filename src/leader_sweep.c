#include "leader_sweep.h"

#include "log.h"
#include "page.h"

enum {
    SWEEP_MS = 5000,
    STUCK_S = 20, /* a deal that is neither on record nor given back */
};

/* The part of a task's expected time that a deal may wait beyond STUCK_S. */
static const double STUCK_SHARE = 0.1;

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
        double most =
            STUCK_S + (job_view && job_view->spec ? job_view->spec->expected_s * STUCK_SHARE : 0);
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

/* Looks for jobs that are not over yet. */
struct live_search {
    struct view *view;
    bool found;
};

static void search_live(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct live_search *search = ctx;
    (void)unit;
    (void)bits;
    struct job *job_view = view_job(search->view, job.s);
    search->found = search->found || (job_view && job_view->spec);
}

/* Removes a key of the state service, as long as this node leads and the key has not changed. */
static void sweep_key(struct leader *leader, const char *key, revision stamp)
{
    struct txn *txn = txn_new();
    txn_when(txn, KEY_LEADER, leader->view->leader_stamp);
    txn_when(txn, key, stamp);
    txn_remove(txn, key);
    leader->sweeping = true;
    store_txn(leader->store, LANE_NORMAL, txn, swept, leader);
}

/* Whether the node of that name is not on the map. */
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
        if (page->tasks->len || !node_away(leader, page->label))
            continue;
        struct live_search search = {leader->view, false};
        page_read_done(page->done ? page->done : "", search_live, &search);
        if (!search.found)
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

void leader_sweep(struct leader *leader)
{
    if (time_ms_since(loop_now(leader->loop), leader->swept_at) <= SWEEP_MS)
        return;
    leader->swept_at = loop_now(leader->loop);
    sweep_pages(leader);
    sweep_inventories(leader);
    raise_for_stuck_deals(leader);
}
