#include "garbage_collector.h"

#include "record_page_codec.h"

enum { EVERY_MS = 5000 };

struct garbage_collector {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    struct timer tick_timer;
    bool removal_in_flight; /* a key is being removed */
};

static void on_key_removed(void *arg, const struct txn_outcome *outcome)
{
    (void)outcome;
    ((struct garbage_collector *)arg)->removal_in_flight = false;
}

/* Looks for jobs that are not over yet. */
struct live_search {
    struct replica *replica;
    bool found;
};

static void visit_completion(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct live_search *search = ctx;
    (void)unit;
    (void)bits;
    struct job *job_record = replica_get_job(search->replica, job.text);
    search->found = search->found || (job_record && job_record->spec);
}

/* Removes a key of the state service, as long as it is this node's duty, the key has not changed,
 * and its node is not back on the map. */
static void remove_key(struct garbage_collector *collector, const char *key, revision mod_revision)
{
    struct txn *txn = txn_new();
    if (collector->replica->singleton_roles_enabled)
        role_manager_add_guard(collector->role_manager, ROLE_GARBAGE_COLLECTOR, txn);
    else
        txn_compare(txn, KEY_LEADER, collector->replica->leader_mod_revision);
    txn_compare(txn, KEY_MAP, collector->replica->shard_map_mod_revision);
    txn_compare(txn, key, mod_revision);
    txn_delete(txn, key);
    collector->removal_in_flight = true;
    kv_client_commit(collector->kv, KV_LANE_NORMAL, txn, on_key_removed, collector);
}

/* Whether the node of that name is not on the map. */
static bool node_is_departed(const struct garbage_collector *collector, const char *label)
{
    for (guint i = 0; i < collector->replica->shard_map->len; i++)
        if (strcmp(g_array_index(collector->replica->shard_map, struct shard_map_entry, i).label,
                   label) == 0)
            return false;
    return true;
}

/* A page of a node that is away is removed once others have taken its machines over and the jobs
 * are over of which it says what is done. */
static void collect_record_pages(struct garbage_collector *collector)
{
    GHashTableIter it;
    struct record_page *page;
    g_hash_table_iter_init(&it, collector->replica->pages);
    while (!collector->removal_in_flight && g_hash_table_iter_next(&it, NULL, (gpointer *)&page)) {
        if (page->run_records->len || !node_is_departed(collector, page->label))
            continue;
        struct live_search search = {collector->replica, false};
        completions_decode(page->completions_text ? page->completions_text : "", visit_completion,
                           &search);
        if (!search.found)
            remove_key(collector, page->key, page->mod_revision);
    }
}

/* A list of machines of a node that is away is removed once it says nothing of a machine on which
 * anything is on record: those that own them now list them, too. */
static void collect_inventories(struct garbage_collector *collector)
{
    GHashTableIter it;
    struct machine_inventory *inventory;
    g_hash_table_iter_init(&it, collector->replica->inventories);
    while (!collector->removal_in_flight &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&inventory)) {
        bool needed = false;
        for (guint i = 0; i < inventory->machines->len; i++)
            needed = needed ||
                     ((struct machine_record *)inventory->machines->pdata[i])->run_records->len;
        if (!needed && node_is_departed(collector, inventory->label))
            remove_key(collector, inventory->key, inventory->mod_revision);
    }
}

static bool may_collect(struct garbage_collector *collector)
{
    if (kv_client_is_unavailable(collector->kv))
        return false;
    return collector->replica->singleton_roles_enabled
               ? role_manager_may_act(collector->role_manager, ROLE_GARBAGE_COLLECTOR)
               : membership_is_leader(collector->membership);
}

static void on_tick(void *arg)
{
    struct garbage_collector *collector = arg;
    timer_start(collector->loop, &collector->tick_timer, EVERY_MS);
    if (collector->removal_in_flight || !may_collect(collector))
        return;
    collect_record_pages(collector);
    collect_inventories(collector);
}

struct garbage_collector *garbage_collector_new(struct loop *loop, struct kv_client *kv,
                                                struct replica *replica,
                                                struct membership *membership,
                                                struct role_manager *manager)
{
    struct garbage_collector *collector = g_new0(struct garbage_collector, 1);
    collector->loop = loop;
    collector->kv = kv;
    collector->replica = replica;
    collector->membership = membership;
    collector->role_manager = manager;
    timer_init(&collector->tick_timer, on_tick, collector);
    return collector;
}

void garbage_collector_free(struct garbage_collector *collector)
{
    timer_stop(collector->loop, &collector->tick_timer);
    g_free(collector);
}

void garbage_collector_start(struct garbage_collector *collector)
{
    timer_start(collector->loop, &collector->tick_timer, EVERY_MS);
}
