#include "garbage_collector.h"

#include "record_page_codec.h"

enum { EVERY_MS = 5000 };

struct cleanup {
    struct loop *loop;
    struct store *store;
    struct view *view;
    struct membership *members;
    struct duties *duties;
    struct timer tick;
    bool removing; /* a key is being removed */
};

static void removed(void *arg, const struct txn_outcome *outcome)
{
    (void)outcome;
    ((struct cleanup *)arg)->removing = false;
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

/* Removes a key of the state service, as long as it is this node's duty, the key has not changed,
 * and its node is not back on the map. */
static void remove_key(struct cleanup *cleanup, const char *key, revision stamp)
{
    struct txn *txn = txn_new();
    if (cleanup->view->duties_on)
        duties_guard(cleanup->duties, DUTY_CLEANUP, txn);
    else
        txn_when(txn, KEY_LEADER, cleanup->view->leader_stamp);
    txn_when(txn, KEY_MAP, cleanup->view->map_stamp);
    txn_when(txn, key, stamp);
    txn_remove(txn, key);
    cleanup->removing = true;
    store_txn(cleanup->store, LANE_NORMAL, txn, removed, cleanup);
}

/* Whether the node of that name is not on the map. */
static bool node_away(const struct cleanup *cleanup, const char *label)
{
    for (guint i = 0; i < cleanup->view->map->len; i++)
        if (strcmp(g_array_index(cleanup->view->map, struct map_entry, i).label, label) == 0)
            return false;
    return true;
}

/* A page of a node that is away is removed once others have taken its machines over and the jobs
 * are over of which it says what is done. */
static void remove_pages(struct cleanup *cleanup)
{
    GHashTableIter it;
    struct page *page;
    g_hash_table_iter_init(&it, cleanup->view->pages);
    while (!cleanup->removing && g_hash_table_iter_next(&it, NULL, (gpointer *)&page)) {
        if (page->tasks->len || !node_away(cleanup, page->label))
            continue;
        struct live_search search = {cleanup->view, false};
        page_read_done(page->done ? page->done : "", search_live, &search);
        if (!search.found)
            remove_key(cleanup, page->key, page->stamp);
    }
}

/* A list of machines of a node that is away is removed once it says nothing of a machine on which
 * anything is on record: those that own them now list them, too. */
static void remove_inventories(struct cleanup *cleanup)
{
    GHashTableIter it;
    struct inventory *inventory;
    g_hash_table_iter_init(&it, cleanup->view->inventories);
    while (!cleanup->removing && g_hash_table_iter_next(&it, NULL, (gpointer *)&inventory)) {
        bool needed = false;
        for (guint i = 0; i < inventory->hosts->len; i++)
            needed = needed || ((struct host_record *)inventory->hosts->pdata[i])->tasks->len;
        if (!needed && node_away(cleanup, inventory->label))
            remove_key(cleanup, inventory->key, inventory->stamp);
    }
}

static bool may_act(struct cleanup *cleanup)
{
    if (store_troubled(cleanup->store))
        return false;
    return cleanup->view->duties_on ? duties_may_act(cleanup->duties, DUTY_CLEANUP)
                                    : membership_leads(cleanup->members);
}

static void tick(void *arg)
{
    struct cleanup *cleanup = arg;
    timer_start(cleanup->loop, &cleanup->tick, EVERY_MS);
    if (cleanup->removing || !may_act(cleanup))
        return;
    remove_pages(cleanup);
    remove_inventories(cleanup);
}

struct cleanup *cleanup_new(struct loop *loop, struct store *store, struct view *view,
                            struct membership *members, struct duties *duties)
{
    struct cleanup *cleanup = g_new0(struct cleanup, 1);
    cleanup->loop = loop;
    cleanup->store = store;
    cleanup->view = view;
    cleanup->members = members;
    cleanup->duties = duties;
    timer_init(&cleanup->tick, tick, cleanup);
    return cleanup;
}

void cleanup_free(struct cleanup *cleanup)
{
    timer_stop(cleanup->loop, &cleanup->tick);
    g_free(cleanup);
}

void cleanup_start(struct cleanup *cleanup)
{
    timer_start(cleanup->loop, &cleanup->tick, EVERY_MS);
}
