#include "intent_log.h"

#include "log.h"

enum {
    SCALE_OUT_FLUSH_DELAY_MS = 3,   /* others may be added within a moment */
    SCALE_IN_FLUSH_DELAY_MS = 1000, /* a return is not that urgent */
    SETTLE_MS = 10000,           /* settled intents wait so long for a write that is made anyway */
    RETRY_DELAY_MS = 200,        /* after a transaction that was not carried out */
    MAX_TXN_VALUE_BYTES = 40000, /* of values in a transaction */
    EMPTY_PAGE_BYTES = 48,       /* of a page without intents */
    NO_PAGE = -1,
};

/* An intent that is open, or settled and still on its page. */
struct entry {
    struct intent intent;
    revision condition; /* the version of the key on which it depends; 0: none */
    bool recorded, settled;
    bool writing; /* the transaction under way changes where it stands */
    int page;     /* NO_PAGE: none was chosen yet */
    gsize bytes;
};

/* A page, as the last transaction left it and as the next one is to write it. */
struct intent_log_page {
    revision mod_revision; /* 0: it does not exist */
    gsize bytes;           /* with all its entries that are not settled */
    bool is_dirty;         /* it is to be written */
    bool write_in_flight;  /* the transaction under way writes it */
};

struct intent_log {
    struct intent_log_config config;
    bool is_open, txn_in_flight;
    uint64_t generation; /* of holdings: answers to an earlier one are void */
    GHashTable *entries; /* kind and name -> struct allocation */
    GArray *pages;       /* struct intent_log_page */
    struct timer flush_timer;
    /* What became of a transaction is told by the replica at a revision. */
    revision reread_revision;
    bool reread_timed_out; /* it was not there in time, and is waited for again */
};

static void on_flush_timer(void *arg);

static char *entry_key(enum intent_kind kind, const char *name)
{
    return g_strdup_printf("%d %s", kind, name);
}

static struct entry *entry_get(const struct intent_log *log, enum intent_kind kind,
                               const char *name)
{
    char *key = entry_key(kind, name);
    struct entry *allocation = g_hash_table_lookup(log->entries, key);
    g_free(key);
    return allocation;
}

/* What a text takes in JSON, with its quotes: some characters are written as two. */
static gsize text_bytes(const char *text)
{
    gsize bytes = 2;
    for (; *text; text++)
        bytes += strchr("/\"\\", *text) ? 2 : 1;
    return bytes;
}

/* What an intent takes on a page at most. */
static gsize intent_bytes(const struct intent *intent)
{
    enum { RENT_SIGNS = 24 }; /* brackets, commas, the kind and the number */
    gsize bytes = text_bytes(intent->name) + 1;
    if (intent->kind == INTENT_SCALE_OUT)
        bytes += text_bytes(intent->type_name) + text_bytes(intent->zone) + RENT_SIGNS;
    return bytes;
}

static struct entry *entry_make(struct intent_log *log, const struct intent *intent)
{
    struct entry *allocation = g_new0(struct entry, 1);
    allocation->intent = *intent;
    allocation->page = NO_PAGE;
    allocation->bytes = intent_bytes(intent);
    g_hash_table_replace(log->entries, entry_key(intent->kind, intent->name), allocation);
    return allocation;
}

struct intent_log *intent_log_new(const struct intent_log_config *setup)
{
    struct intent_log *log = g_new0(struct intent_log, 1);
    log->config = *setup;
    log->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    log->pages = g_array_new(FALSE, TRUE, sizeof(struct intent_log_page));
    timer_init(&log->flush_timer, on_flush_timer, log);
    return log;
}

void intent_log_free(struct intent_log *log)
{
    timer_stop(log->config.loop, &log->flush_timer);
    g_hash_table_unref(log->entries);
    g_array_unref(log->pages);
    g_free(log);
}

static struct intent_log_page *page_at(struct intent_log *log, int number)
{
    if ((int)log->pages->len <= number)
        g_array_set_size(log->pages, (guint)number + 1);
    return &g_array_index(log->pages, struct intent_log_page, number);
}

static void schedule_flush(struct intent_log *log, int64_t ms)
{
    if (log->flush_timer.queue_position &&
        time_before(log->flush_timer.fires_at, time_add_ms(loop_now(log->config.loop), ms)))
        return;
    timer_stop(log->config.loop, &log->flush_timer);
    timer_start(log->config.loop, &log->flush_timer, ms);
}

/* ---- agreement with the replica ---- */

/* Entries that stood on a page which does not name them any more were settled, and the
 * transaction that took them off was carried out; those that were to be added were not. */
static void reset_placement(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        allocation->writing = false;
        allocation->recorded = false;
        allocation->page = NO_PAGE;
    }
    g_array_set_size(log->pages, 0);
}

static void read_page(struct intent_log *log, const struct intent_page *page)
{
    struct intent_log_page *own = page_at(log, page->number);
    own->mod_revision = page->mod_revision;
    own->bytes = EMPTY_PAGE_BYTES;
    for (guint i = 0; i < page->intents->len; i++) {
        const struct intent *intent = page->intents->pdata[i];
        struct entry *allocation = entry_get(log, intent->kind, intent->name);
        if (!allocation)
            allocation = entry_make(log, intent);
        allocation->recorded = true;
        allocation->page = page->number;
        own->bytes += allocation->settled ? 0 : allocation->bytes;
        own->is_dirty = own->is_dirty || allocation->settled;
    }
}

static gboolean is_settled_and_unrecorded(gpointer key, gpointer value, gpointer ctx)
{
    const struct entry *allocation = value;
    (void)key;
    (void)ctx;
    return allocation->settled && !allocation->recorded;
}

static void read_pages(struct intent_log *log)
{
    reset_placement(log);
    GPtrArray *pages = role_records_list_pages(log->config.records, log->config.role);
    for (guint i = 0; i < pages->len; i++)
        read_page(log, pages->pdata[i]);
    g_ptr_array_unref(pages);
    g_hash_table_foreach_remove(log->entries, is_settled_and_unrecorded, NULL);
}

void intent_log_open(struct intent_log *log)
{
    intent_log_close(log);
    log->is_open = true;
    read_pages(log);
    schedule_flush(log, SETTLE_MS);
}

void intent_log_close(struct intent_log *log)
{
    log->is_open = log->txn_in_flight = log->reread_timed_out = false;
    log->generation++;
    g_hash_table_remove_all(log->entries);
    g_array_set_size(log->pages, 0);
    timer_stop(log->config.loop, &log->flush_timer);
}

/* ---- what the holder asks ---- */

void intent_log_add(struct intent_log *log, const struct intent *intent, revision guard_revision)
{
    if (!log->is_open || entry_get(log, intent->kind, intent->name))
        return;
    entry_make(log, intent)->condition = guard_revision;
    schedule_flush(log, intent->kind == INTENT_SCALE_OUT ? SCALE_OUT_FLUSH_DELAY_MS
                                                         : SCALE_IN_FLUSH_DELAY_MS);
}

enum intent_state intent_log_get_state(const struct intent_log *log, enum intent_kind kind,
                                       const char *name)
{
    const struct entry *allocation = entry_get(log, kind, name);
    if (!allocation || allocation->settled)
        return INTENT_UNKNOWN;
    return allocation->recorded ? INTENT_RECORDED : INTENT_QUEUED;
}

void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name)
{
    struct entry *allocation = entry_get(log, kind, name);
    if (!allocation || allocation->settled)
        return;
    allocation->settled = true;
    if (allocation->page == NO_PAGE)
        return; /* it is never written */
    struct intent_log_page *page = page_at(log, allocation->page);
    page->bytes -= allocation->bytes;
    page->is_dirty = true;
    schedule_flush(log, SETTLE_MS);
}

GPtrArray *intent_log_list_open(const struct intent_log *log)
{
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation))
        if (!allocation->settled)
            g_ptr_array_add(all, &allocation->intent);
    return all;
}

bool intent_log_is_empty(const struct intent_log *log)
{
    return log->is_open && !g_hash_table_size(log->entries) && !log->txn_in_flight;
}

/* ---- writing ---- */

/* Drops entries that were settled before they were written, and those whose condition is over.
 * Returns whether there were any. */
static bool drop_void_entries(struct intent_log *log, revision condition)
{
    bool any = false;
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        bool over = allocation->condition.value && allocation->condition.value != condition.value;
        if (allocation->recorded || !(allocation->settled || over))
            continue;
        if (allocation->page != NO_PAGE)
            page_at(log, allocation->page)->bytes -= allocation->settled ? 0 : allocation->bytes;
        g_hash_table_iter_remove(&it);
        any = true;
    }
    return any;
}

static bool page_fits(struct intent_log *log, int number, gsize bytes)
{
    gsize most = kv_client_limits(log->config.kv)->max_value_bytes;
    return MAX(page_at(log, number)->bytes, EMPTY_PAGE_BYTES) + bytes <= most;
}

/* The page for one more intent: one that is written anyway, or the first with room. */
static int choose_page(struct intent_log *log, gsize bytes)
{
    int pages = (int)log->pages->len;
    for (int i = 0; i < pages; i++)
        if (page_at(log, i)->is_dirty && page_fits(log, i, bytes))
            return i;
    for (int i = 0; i < pages; i++)
        if (page_fits(log, i, bytes))
            return i;
    return pages;
}

static void place_queued_entries(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        if (allocation->recorded || allocation->page != NO_PAGE)
            continue;
        allocation->page = choose_page(log, allocation->bytes);
        struct intent_log_page *page = page_at(log, allocation->page);
        page->bytes = MAX(page->bytes, EMPTY_PAGE_BYTES) + allocation->bytes;
        page->is_dirty = true;
    }
}

/* What the page holds after this write; its entries are marked as being written. */
static GPtrArray *collect_page_members(struct intent_log *log, int number)
{
    GPtrArray *members = g_ptr_array_new();
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        if (allocation->page != number)
            continue;
        allocation->writing = allocation->settled || !allocation->recorded;
        if (!allocation->settled)
            g_ptr_array_add(members, &allocation->intent);
    }
    return members;
}

/* An empty page is written, not removed: a transaction that made it and got no answer would
 * otherwise find no page again, be carried out late, and bring settled intents back. */
static void write_page(struct intent_log *log, struct txn *txn, int number)
{
    struct intent_log_page *page = page_at(log, number);
    char *key = key_intent_page(log->config.role, number);
    GPtrArray *members = collect_page_members(log, number);
    txn_compare(txn, key, page->mod_revision);
    txn_put(
        txn, key,
        intents_encode(role_manager_get_token(log->config.role_manager, log->config.role), members),
        (lease_id){0});
    page->write_in_flight = true;
    page->is_dirty = false;
    g_ptr_array_unref(members);
    g_free(key);
}

/* A transaction on its way. */
struct pending_write {
    struct intent_log *log;
    uint64_t generation;
};

static void mark_entries_written(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation)) {
        if (!allocation->writing)
            continue;
        allocation->writing = false;
        if (allocation->recorded) /* it was settled, and has left */
            g_hash_table_iter_remove(&it);
        else
            allocation->recorded = true;
    }
}

static void on_write_committed(struct intent_log *log, revision at)
{
    for (guint i = 0; i < log->pages->len; i++) {
        struct intent_log_page *page = page_at(log, (int)i);
        if (!page->write_in_flight)
            continue;
        page->write_in_flight = false;
        page->mod_revision = at;
    }
    mark_entries_written(log);
}

static bool has_unwritten(const struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation))
        if (!allocation->recorded)
            return true;
    return false;
}

/* Whether a request to rent waits for its record. */
static bool scale_out_is_waiting(const struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation))
        if (!allocation->recorded && allocation->intent.kind == INTENT_SCALE_OUT)
            return true;
    return false;
}

static bool has_dirty(struct intent_log *log)
{
    for (guint i = 0; i < log->pages->len; i++)
        if (page_at(log, (int)i)->is_dirty)
            return true;
    return false;
}

/* The transaction under way is settled. */
static void finish_write(struct intent_log *log)
{
    log->txn_in_flight = false;
    log->config.on_change(log->config.ctx);
    if (has_unwritten(log))
        schedule_flush(log, scale_out_is_waiting(log) ? SCALE_OUT_FLUSH_DELAY_MS
                                                      : SCALE_IN_FLUSH_DELAY_MS);
    else if (has_dirty(log))
        schedule_flush(log, SETTLE_MS);
}

static void on_reread(void *arg, bool ok)
{
    struct pending_write *written = arg;
    struct intent_log *log = written->log;
    bool ours = written->generation == log->generation;
    g_free(written);
    if (!ours)
        return;
    if (ok) {
        read_pages(log);
        finish_write(log);
    } else { /* the replica lags; the duty is lost if that lasts */
        log->reread_timed_out = true;
        schedule_flush(log, RETRY_DELAY_MS);
    }
}

static struct pending_write *pending_write_new(struct intent_log *log)
{
    struct pending_write *written = g_new(struct pending_write, 1);
    *written = (struct pending_write){log, log->generation};
    return written;
}

static void await_replica(struct intent_log *log)
{
    log->reread_timed_out = false;
    log->config.await_revision(log->config.ctx, log->reread_revision, on_reread,
                               pending_write_new(log));
}

static void on_write_refused(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *allocation;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&allocation))
        allocation->writing = false;
    for (guint i = 0; i < log->pages->len; i++) {
        struct intent_log_page *page = page_at(log, (int)i);
        page->is_dirty = page->is_dirty || page->write_in_flight;
        page->write_in_flight = false;
    }
    log->txn_in_flight = false;
    schedule_flush(log, RETRY_DELAY_MS);
}

/* Whether a transaction that got no answer was carried out is told by the pages as they stand. If
 * it is carried out later still, the next write of its pages is refused, as their versions have
 * changed, and they are read again. */
static void on_txn_done(void *arg, const struct txn_outcome *outcome)
{
    struct pending_write *written = arg;
    struct intent_log *log = written->log;
    bool ours = written->generation == log->generation;
    g_free(written);
    if (!ours)
        return;
    if (outcome->status == TXN_COMMITTED) {
        on_write_committed(log, outcome->at_revision);
        finish_write(log);
    } else if (outcome->status == TXN_REJECTED) {
        on_write_refused(log);
    } else {
        log->reread_revision =
            outcome->status == TXN_CONFLICT ? outcome->at_revision : (revision){0};
        await_replica(log);
    }
}

static void send_txn(struct intent_log *log, struct txn *txn, enum kv_lane lane)
{
    log->txn_in_flight = true;
    log->config.on_write(log->config.ctx, txn_write_count(txn));
    kv_client_commit(log->config.kv, lane, txn, on_txn_done, pending_write_new(log));
}

/* Adds the pages that are to be written, as far as one transaction holds them. */
static void write_pages(struct intent_log *log, struct txn *txn)
{
    int most = kv_client_limits(log->config.kv)->max_txn_operations, pages = 0;
    for (guint i = 0;
         i < log->pages->len && pages < most && txn_size_bytes(txn) < MAX_TXN_VALUE_BYTES; i++)
        if (page_at(log, (int)i)->is_dirty) {
            write_page(log, txn, (int)i);
            pages++;
        }
}

static void on_flush_timer(void *arg)
{
    struct intent_log *log = arg;
    if (!log->is_open)
        return;
    if (log->reread_timed_out)
        await_replica(log);
    if (log->txn_in_flight)
        return;
    if (!role_manager_may_act(log->config.role_manager, log->config.role)) {
        schedule_flush(log, RETRY_DELAY_MS);
        return;
    }
    revision condition = log->config.get_guard_revision(log->config.ctx);
    bool dropped = drop_void_entries(log, condition);
    place_queued_entries(log);
    if (has_dirty(log)) {
        struct txn *txn = txn_new();
        role_manager_add_guard(log->config.role_manager, log->config.role, txn);
        txn_compare(txn, log->config.guard_key, condition);
        enum kv_lane lane = scale_out_is_waiting(log) ? KV_LANE_URGENT : KV_LANE_NORMAL;
        write_pages(log, txn);
        send_txn(log, txn, lane);
    }
    if (dropped)
        log->config.on_change(log->config.ctx);
}
