/**
 * @file
 * Writes the pages of the intent log, one transaction at a time.
 */
#include "intent_log_internal.h"

enum {
    /** Delay after a transaction was rejected, and while the node may not act. */
    RETRY_DELAY_MS = 200,
    /** Limit for the values in one transaction, in bytes; the last page may exceed it. */
    MAX_TXN_VALUE_BYTES = 40000,
};

/** A transaction in flight, or the wait until the replica shows its outcome. */
struct pending_write {
    struct intent_log *log;
    /** The generation of the log when the write was sent. */
    uint64_t generation;
};

static struct pending_write *pending_write_new(struct intent_log *log)
{
    struct pending_write *write = g_new(struct pending_write, 1);
    *write = (struct pending_write){log, log->generation};
    return write;
}

/** Frees the write. Returns its log, or NULL if the log has been closed or reopened since. */
static struct intent_log *pending_write_end(struct pending_write *write)
{
    struct intent_log *log = write->log;
    bool is_current = write->generation == log->generation;
    g_free(write);
    return is_current ? log : NULL;
}

/* ---- outcomes ---- */

static bool has_unrecorded_entry(const struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry))
        if (!entry->is_recorded)
            return true;
    return false;
}

static bool has_unrecorded_scale_out(const struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry))
        if (!entry->is_recorded && entry->intent.kind == INTENT_SCALE_OUT)
            return true;
    return false;
}

/** Ends a write after its outcome is known and has been applied to entries and pages. */
static void finish_write(struct intent_log *log)
{
    log->txn_in_flight = false;
    log->config.on_change(log->config.ctx);
    if (has_unrecorded_scale_out(log))
        intent_log_schedule_flush(log, SCALE_OUT_FLUSH_DELAY_MS);
    else if (has_unrecorded_entry(log))
        intent_log_schedule_flush(log, SCALE_IN_FLUSH_DELAY_MS);
    else if (intent_log_has_dirty_page(log))
        intent_log_schedule_flush(log, SETTLE_FLUSH_DELAY_MS);
}

static void mark_pages_written(struct intent_log *log, revision at_revision)
{
    for (guint i = 0; i < log->pages->len; i++) {
        struct intent_log_page *page = intent_log_get_page(log, (int)i);
        if (!page->write_in_flight)
            continue;
        page->write_in_flight = false;
        page->mod_revision = at_revision;
    }
}

/**
 * Updates the entries that the committed transaction changed. Those that were recorded before were
 * settled, and the transaction removed them from their pages.
 */
static void mark_entries_written(struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
        if (!entry->write_in_flight)
            continue;
        entry->write_in_flight = false;
        if (entry->is_recorded)
            g_hash_table_iter_remove(&iter);
        else
            entry->is_recorded = true;
    }
}

static void on_txn_rejected(struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry))
        entry->write_in_flight = false;
    for (guint i = 0; i < log->pages->len; i++) {
        struct intent_log_page *page = intent_log_get_page(log, (int)i);
        page->is_dirty = page->is_dirty || page->write_in_flight;
        page->write_in_flight = false;
    }
    log->txn_in_flight = false;
    intent_log_schedule_flush(log, RETRY_DELAY_MS);
}

static void on_replica_caught_up(void *arg, bool ok)
{
    struct intent_log *log = pending_write_end(arg);
    if (!log)
        return;
    if (ok) {
        intent_log_read_pages(log);
        finish_write(log);
    } else { /* The replica lags. If that continues, this node loses the role. */
        log->reread_timed_out = true;
        intent_log_schedule_flush(log, RETRY_DELAY_MS);
    }
}

static void await_replica(struct intent_log *log)
{
    log->reread_timed_out = false;
    log->config.await_revision(log->config.ctx, log->reread_revision, on_replica_caught_up,
                               pending_write_new(log));
}

/**
 * Handles the outcome of a transaction. If the outcome is unknown, the pages in the replica show
 * whether the transaction was committed. If it is committed even later, the next write of its pages
 * fails, because their revisions have changed, and the pages are read again.
 */
static void on_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct intent_log *log = pending_write_end(arg);
    if (!log)
        return;
    if (outcome->status == TXN_COMMITTED) {
        mark_pages_written(log, outcome->at_revision);
        mark_entries_written(log);
        finish_write(log);
    } else if (outcome->status == TXN_REJECTED) {
        on_txn_rejected(log);
    } else {
        bool is_conflict = outcome->status == TXN_CONFLICT;
        log->reread_revision = is_conflict ? outcome->at_revision : (revision){0};
        await_replica(log);
    }
}

/* ---- writing ---- */

/**
 * Drops entries that were settled before they were recorded, and unrecorded ones that depend on
 * another revision of the guard key. Returns whether there were any.
 */
static bool drop_obsolete_entries(struct intent_log *log, revision guard_revision)
{
    bool any_dropped = false;
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
        bool is_outdated =
            entry->guard_revision.value && entry->guard_revision.value != guard_revision.value;
        if (entry->is_recorded || !(entry->is_settled || is_outdated))
            continue;
        if (entry->page_number != NO_PAGE && !entry->is_settled)
            intent_log_get_page(log, entry->page_number)->size_bytes -= entry->size_bytes;
        g_hash_table_iter_remove(&iter);
        any_dropped = true;
    }
    return any_dropped;
}

/**
 * Returns the intents (const struct intent *) that the page contains after this write, and marks
 * the entries that the write changes.
 */
static GPtrArray *collect_page_intents(struct intent_log *log, int page_number)
{
    GPtrArray *intents = g_ptr_array_new();
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
        if (entry->page_number != page_number)
            continue;
        entry->write_in_flight = entry->is_settled || !entry->is_recorded;
        if (!entry->is_settled)
            g_ptr_array_add(intents, &entry->intent);
    }
    return intents;
}

/**
 * Adds the write of a page to the transaction. A page without intents is written and not deleted.
 * Otherwise an earlier transaction of unknown outcome, which created the page, could find the page
 * absent again, commit late, and restore settled intents.
 */
static void add_page_write(struct intent_log *log, struct txn *txn, int page_number)
{
    struct intent_log_page *page = intent_log_get_page(log, page_number);
    fencing_token token = role_manager_get_token(log->config.role_manager, log->config.role);
    char *key = key_intent_page(log->config.role, page_number);
    GPtrArray *intents = collect_page_intents(log, page_number);
    txn_compare(txn, key, page->mod_revision);
    txn_put(txn, key, intents_encode(token, intents), (lease_id){0});
    page->write_in_flight = true;
    page->is_dirty = false;
    g_ptr_array_unref(intents);
    g_free(key);
}

/** Adds dirty pages to the transaction, up to its limits. */
static void add_dirty_pages(struct intent_log *log, struct txn *txn)
{
    int max_pages = kv_client_limits(log->config.kv)->max_txn_operations;
    int page_count = 0;
    for (guint i = 0; i < log->pages->len; i++) {
        if (page_count >= max_pages || txn_size_bytes(txn) >= MAX_TXN_VALUE_BYTES)
            return;
        if (!intent_log_get_page(log, (int)i)->is_dirty)
            continue;
        add_page_write(log, txn, (int)i);
        page_count++;
    }
}

static void write_dirty_pages(struct intent_log *log, revision guard_revision)
{
    const struct intent_log_config *config = &log->config;
    struct txn *txn = txn_new();
    role_manager_add_guard(config->role_manager, config->role, txn);
    txn_compare(txn, config->guard_key, guard_revision);
    enum kv_priority priority =
        has_unrecorded_scale_out(log) ? KV_PRIORITY_URGENT : KV_PRIORITY_NORMAL;
    add_dirty_pages(log, txn);
    log->txn_in_flight = true;
    config->on_write(config->ctx, txn_write_count(txn));
    kv_client_commit(config->kv, priority, txn, on_txn_done, pending_write_new(log));
}

void intent_log_on_flush_timer(void *arg)
{
    struct intent_log *log = arg;
    if (!log->is_open)
        return;
    if (log->reread_timed_out)
        await_replica(log);
    if (log->txn_in_flight)
        return;
    if (!role_manager_may_act(log->config.role_manager, log->config.role)) {
        intent_log_schedule_flush(log, RETRY_DELAY_MS);
        return;
    }
    revision guard_revision = log->config.get_guard_revision(log->config.ctx);
    bool any_dropped = drop_obsolete_entries(log, guard_revision);
    intent_log_assign_pages(log);
    if (intent_log_has_dirty_page(log))
        write_dirty_pages(log, guard_revision);
    if (any_dropped)
        log->config.on_change(log->config.ctx);
}
