/** Removes the keys of departed nodes from the key-value store, one at a time. */
#include "garbage_collector.h"

#include "record_page_codec.h"

enum { COLLECTION_INTERVAL_MS = 5000 };

struct garbage_collector {
    struct loop *loop;
    struct kv_client *kv;
    struct replica *replica;
    struct membership *membership;
    struct role_manager *role_manager;
    struct timer tick_timer;
    /** The removal of a key is in flight. No other removal is started until it has completed. */
    bool removal_in_flight;
};

static void on_key_removed(void *arg, const struct txn_outcome *outcome)
{
    struct garbage_collector *collector = arg;
    (void)outcome; /* after a failure, a later tick finds the key again */
    collector->removal_in_flight = false;
}

/** The state of a search for completions of jobs whose end is not recorded yet. */
struct unfinished_job_search {
    struct replica *replica;
    bool found;
};

static void visit_completion(void *arg, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct unfinished_job_search *search = arg;
    (void)unit;
    (void)bits;
    const struct job *job_record = replica_get_job(search->replica, job.text);
    if (job_record && job_record->spec)
        search->found = true;
}

/**
 * Removes a key. The transaction fails if this node is no longer the collector, if the key has
 * changed, or if the shard map has changed, as it may contain the departed node again.
 */
static void remove_key(struct garbage_collector *collector, const char *key, revision mod_revision)
{
    struct txn *txn = txn_new();
    if (collector->replica->singleton_roles_enabled)
        role_manager_add_guard(collector->role_manager, ROLE_GARBAGE_COLLECTOR, txn);
    else
        txn_compare(txn, KEY_LEADER, collector->replica->leader_mod_revision);
    txn_compare(txn, KEY_SHARD_MAP, collector->replica->shard_map_mod_revision);
    txn_compare(txn, key, mod_revision);
    txn_delete(txn, key);
    collector->removal_in_flight = true;
    kv_client_commit(collector->kv, KV_PRIORITY_NORMAL, txn, on_key_removed, collector);
}

/** Returns whether the page contains completions of jobs whose end is not recorded yet. */
static bool has_completions_of_unfinished_jobs(const struct garbage_collector *collector,
                                               const struct record_page *page)
{
    struct unfinished_job_search search = {collector->replica, false};
    completions_decode(page->encoded_completions ? page->encoded_completions : "", visit_completion,
                       &search);
    return search.found;
}

/**
 * Removes a record page of a departed node that contains neither run records nor completions of
 * jobs whose end is not recorded yet.
 */
static void collect_record_pages(struct garbage_collector *collector)
{
    GHashTableIter it;
    struct record_page *page;
    g_hash_table_iter_init(&it, collector->replica->pages);
    while (!collector->removal_in_flight && g_hash_table_iter_next(&it, NULL, (gpointer *)&page)) {
        if (!page->run_records->len && !shard_map_has_label(collector->replica, page->label) &&
            !has_completions_of_unfinished_jobs(collector, page))
            remove_key(collector, page->key, page->mod_revision);
    }
}

/** Returns whether any machine of the inventory has run records. */
static bool has_run_records(const struct machine_inventory *inventory)
{
    for (guint i = 0; i < inventory->machines->len; i++) {
        const struct machine_record *machine = inventory->machines->pdata[i];
        if (machine->run_records->len)
            return true;
    }
    return false;
}

/**
 * Removes a machine inventory of a departed node if none of its machines has run records. The new
 * owners of the machines list them in their own inventories.
 */
static void collect_inventories(struct garbage_collector *collector)
{
    GHashTableIter it;
    struct machine_inventory *inventory;
    g_hash_table_iter_init(&it, collector->replica->inventories);
    while (!collector->removal_in_flight &&
           g_hash_table_iter_next(&it, NULL, (gpointer *)&inventory)) {
        if (!has_run_records(inventory) &&
            !shard_map_has_label(collector->replica, inventory->label))
            remove_key(collector, inventory->key, inventory->mod_revision);
    }
}

/** Returns whether this node is the active collector and the key-value store is available. */
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
    timer_start(collector->loop, &collector->tick_timer, COLLECTION_INTERVAL_MS);
    if (collector->removal_in_flight || !may_collect(collector))
        return;
    collect_record_pages(collector);
    collect_inventories(collector);
}

struct garbage_collector *garbage_collector_new(struct loop *loop, struct kv_client *kv,
                                                struct replica *replica,
                                                struct membership *membership,
                                                struct role_manager *role_manager)
{
    struct garbage_collector *collector = g_new0(struct garbage_collector, 1);
    collector->loop = loop;
    collector->kv = kv;
    collector->replica = replica;
    collector->membership = membership;
    collector->role_manager = role_manager;
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
    timer_start(collector->loop, &collector->tick_timer, COLLECTION_INTERVAL_MS);
}
