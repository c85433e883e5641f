#include "intent_log.h"

#include "log.h"

enum {
    RENT_MS = 3,        /* others may be added within a moment */
    RETURN_MS = 1000,   /* a return is not that urgent */
    SETTLE_MS = 10000,  /* settled intents wait so long for a write that is made anyway */
    RETRY_MS = 200,     /* after a transaction that was not carried out */
    MOST_BYTES = 40000, /* of values in a transaction */
    PAGE_BYTES = 48,    /* of a page without intents */
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
struct log_page {
    revision stamp; /* 0: it does not exist */
    gsize bytes;    /* with all its entries that are not settled */
    bool dirty;     /* it is to be written */
    bool writing;   /* the transaction under way writes it */
};

struct intent_log {
    struct intent_log_setup setup;
    bool open, out;
    uint64_t generation; /* of holdings: answers to an earlier one are void */
    GHashTable *entries; /* kind and name -> struct entry */
    GArray *pages;       /* struct log_page */
    struct timer flush;
    /* What became of a transaction is told by the replica at a revision. */
    revision reread_at;
    bool reread_due; /* it was not there in time, and is waited for again */
};

static void flush(void *arg);

static char *entry_key(enum intent_kind kind, const char *name)
{
    return g_strdup_printf("%d %s", kind, name);
}

static struct entry *entry_get(const struct intent_log *log, enum intent_kind kind,
                               const char *name)
{
    char *key = entry_key(kind, name);
    struct entry *entry = g_hash_table_lookup(log->entries, key);
    g_free(key);
    return entry;
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
    if (intent->kind == INTENT_RENT)
        bytes += text_bytes(intent->type_name) + text_bytes(intent->zone) + RENT_SIGNS;
    return bytes;
}

static struct entry *entry_make(struct intent_log *log, const struct intent *intent)
{
    struct entry *entry = g_new0(struct entry, 1);
    entry->intent = *intent;
    entry->page = NO_PAGE;
    entry->bytes = intent_bytes(intent);
    g_hash_table_replace(log->entries, entry_key(intent->kind, intent->name), entry);
    return entry;
}

struct intent_log *intent_log_new(const struct intent_log_setup *setup)
{
    struct intent_log *log = g_new0(struct intent_log, 1);
    log->setup = *setup;
    log->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    log->pages = g_array_new(FALSE, TRUE, sizeof(struct log_page));
    timer_init(&log->flush, flush, log);
    return log;
}

void intent_log_free(struct intent_log *log)
{
    timer_stop(log->setup.loop, &log->flush);
    g_hash_table_unref(log->entries);
    g_array_unref(log->pages);
    g_free(log);
}

static struct log_page *page_at(struct intent_log *log, int number)
{
    if ((int)log->pages->len <= number)
        g_array_set_size(log->pages, (guint)number + 1);
    return &g_array_index(log->pages, struct log_page, number);
}

static void schedule(struct intent_log *log, int64_t ms)
{
    if (log->flush.place && time_before(log->flush.at, time_add_ms(loop_now(log->setup.loop), ms)))
        return;
    timer_stop(log->setup.loop, &log->flush);
    timer_start(log->setup.loop, &log->flush, ms);
}

/* ---- agreement with the replica ---- */

/* Entries that stood on a page which does not name them any more were settled, and the
 * transaction that took them off was carried out; those that were to be added were not. */
static void forget_places(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        entry->writing = false;
        entry->recorded = false;
        entry->page = NO_PAGE;
    }
    g_array_set_size(log->pages, 0);
}

static void read_page(struct intent_log *log, const struct intent_page *page)
{
    struct log_page *own = page_at(log, page->number);
    own->stamp = page->stamp;
    own->bytes = PAGE_BYTES;
    for (guint i = 0; i < page->intents->len; i++) {
        const struct intent *intent = page->intents->pdata[i];
        struct entry *entry = entry_get(log, intent->kind, intent->name);
        if (!entry)
            entry = entry_make(log, intent);
        entry->recorded = true;
        entry->page = page->number;
        own->bytes += entry->settled ? 0 : entry->bytes;
        own->dirty = own->dirty || entry->settled;
    }
}

static gboolean is_settled_and_gone(gpointer key, gpointer value, gpointer ctx)
{
    const struct entry *entry = value;
    (void)key;
    (void)ctx;
    return entry->settled && !entry->recorded;
}

static void read_pages(struct intent_log *log)
{
    forget_places(log);
    GPtrArray *pages = duty_table_pages(log->setup.table, log->setup.duty);
    for (guint i = 0; i < pages->len; i++)
        read_page(log, pages->pdata[i]);
    g_ptr_array_unref(pages);
    g_hash_table_foreach_remove(log->entries, is_settled_and_gone, NULL);
}

void intent_log_open(struct intent_log *log)
{
    intent_log_close(log);
    log->open = true;
    read_pages(log);
    schedule(log, SETTLE_MS);
}

void intent_log_close(struct intent_log *log)
{
    log->open = log->out = log->reread_due = false;
    log->generation++;
    g_hash_table_remove_all(log->entries);
    g_array_set_size(log->pages, 0);
    timer_stop(log->setup.loop, &log->flush);
}

/* ---- what the holder asks ---- */

void intent_log_add(struct intent_log *log, const struct intent *intent, revision condition)
{
    if (!log->open || entry_get(log, intent->kind, intent->name))
        return;
    entry_make(log, intent)->condition = condition;
    schedule(log, intent->kind == INTENT_RENT ? RENT_MS : RETURN_MS);
}

enum intent_state intent_log_state(const struct intent_log *log, enum intent_kind kind,
                                   const char *name)
{
    const struct entry *entry = entry_get(log, kind, name);
    if (!entry || entry->settled)
        return INTENT_UNKNOWN;
    return entry->recorded ? INTENT_RECORDED : INTENT_QUEUED;
}

void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name)
{
    struct entry *entry = entry_get(log, kind, name);
    if (!entry || entry->settled)
        return;
    entry->settled = true;
    if (entry->page == NO_PAGE)
        return; /* it is never written */
    struct log_page *page = page_at(log, entry->page);
    page->bytes -= entry->bytes;
    page->dirty = true;
    schedule(log, SETTLE_MS);
}

GPtrArray *intent_log_all(const struct intent_log *log)
{
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (!entry->settled)
            g_ptr_array_add(all, &entry->intent);
    return all;
}

bool intent_log_empty(const struct intent_log *log)
{
    return log->open && !g_hash_table_size(log->entries) && !log->out;
}

/* ---- writing ---- */

/* Drops entries that were settled before they were written, and those whose condition is over.
 * Returns whether there were any. */
static bool drop_void(struct intent_log *log, revision condition)
{
    bool any = false;
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        bool over = entry->condition.v && entry->condition.v != condition.v;
        if (entry->recorded || !(entry->settled || over))
            continue;
        if (entry->page != NO_PAGE)
            page_at(log, entry->page)->bytes -= entry->settled ? 0 : entry->bytes;
        g_hash_table_iter_remove(&it);
        any = true;
    }
    return any;
}

static bool page_takes(struct intent_log *log, int number, gsize bytes)
{
    gsize most = store_limits(log->setup.store)->value_bytes;
    return MAX(page_at(log, number)->bytes, PAGE_BYTES) + bytes <= most;
}

/* The page for one more intent: one that is written anyway, or the first with room. */
static int page_for(struct intent_log *log, gsize bytes)
{
    int pages = (int)log->pages->len;
    for (int i = 0; i < pages; i++)
        if (page_at(log, i)->dirty && page_takes(log, i, bytes))
            return i;
    for (int i = 0; i < pages; i++)
        if (page_takes(log, i, bytes))
            return i;
    return pages;
}

static void place_queued(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        if (entry->recorded || entry->page != NO_PAGE)
            continue;
        entry->page = page_for(log, entry->bytes);
        struct log_page *page = page_at(log, entry->page);
        page->bytes = MAX(page->bytes, PAGE_BYTES) + entry->bytes;
        page->dirty = true;
    }
}

/* What the page holds after this write; its entries are marked as being written. */
static GPtrArray *page_members(struct intent_log *log, int number)
{
    GPtrArray *members = g_ptr_array_new();
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        if (entry->page != number)
            continue;
        entry->writing = entry->settled || !entry->recorded;
        if (!entry->settled)
            g_ptr_array_add(members, &entry->intent);
    }
    return members;
}

/* An empty page is written, not removed: a transaction that made it and got no answer would
 * otherwise find no page again, be carried out late, and bring settled intents back. */
static void write_page(struct intent_log *log, struct txn *txn, int number)
{
    struct log_page *page = page_at(log, number);
    char *key = key_intents(log->setup.duty, number);
    GPtrArray *members = page_members(log, number);
    txn_when(txn, key, page->stamp);
    txn_set(txn, key, intents_write(duties_token(log->setup.duties, log->setup.duty), members),
            (lease_id){0});
    page->writing = true;
    page->dirty = false;
    g_ptr_array_unref(members);
    g_free(key);
}

/* A transaction on its way. */
struct written {
    struct intent_log *log;
    uint64_t generation;
};

static void entries_written(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry)) {
        if (!entry->writing)
            continue;
        entry->writing = false;
        if (entry->recorded) /* it was settled, and has left */
            g_hash_table_iter_remove(&it);
        else
            entry->recorded = true;
    }
}

static void carried_out(struct intent_log *log, revision at)
{
    for (guint i = 0; i < log->pages->len; i++) {
        struct log_page *page = page_at(log, (int)i);
        if (!page->writing)
            continue;
        page->writing = false;
        page->stamp = at;
    }
    entries_written(log);
}

static bool has_unwritten(const struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (!entry->recorded)
            return true;
    return false;
}

/* Whether a request to rent waits for its record. */
static bool rent_waits(const struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        if (!entry->recorded && entry->intent.kind == INTENT_RENT)
            return true;
    return false;
}

static bool has_dirty(struct intent_log *log)
{
    for (guint i = 0; i < log->pages->len; i++)
        if (page_at(log, (int)i)->dirty)
            return true;
    return false;
}

/* The transaction under way is settled. */
static void finish(struct intent_log *log)
{
    log->out = false;
    log->setup.changed(log->setup.ctx);
    if (has_unwritten(log))
        schedule(log, rent_waits(log) ? RENT_MS : RETURN_MS);
    else if (has_dirty(log))
        schedule(log, SETTLE_MS);
}

static void reread(void *arg, bool ok)
{
    struct written *written = arg;
    struct intent_log *log = written->log;
    bool ours = written->generation == log->generation;
    g_free(written);
    if (!ours)
        return;
    if (ok) {
        read_pages(log);
        finish(log);
    } else { /* the replica lags; the duty is lost if that lasts */
        log->reread_due = true;
        schedule(log, RETRY_MS);
    }
}

static struct written *written_new(struct intent_log *log)
{
    struct written *written = g_new(struct written, 1);
    *written = (struct written){log, log->generation};
    return written;
}

static void await_replica(struct intent_log *log)
{
    log->reread_due = false;
    log->setup.await(log->setup.ctx, log->reread_at, reread, written_new(log));
}

static void not_carried_out(struct intent_log *log)
{
    GHashTableIter it;
    struct entry *entry;
    g_hash_table_iter_init(&it, log->entries);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&entry))
        entry->writing = false;
    for (guint i = 0; i < log->pages->len; i++) {
        struct log_page *page = page_at(log, (int)i);
        page->dirty = page->dirty || page->writing;
        page->writing = false;
    }
    log->out = false;
    schedule(log, RETRY_MS);
}

/* Whether a transaction that got no answer was carried out is told by the pages as they stand. If
 * it is carried out later still, the next write of its pages is refused, as their versions have
 * changed, and they are read again. */
static void write_answered(void *arg, const struct txn_outcome *outcome)
{
    struct written *written = arg;
    struct intent_log *log = written->log;
    bool ours = written->generation == log->generation;
    g_free(written);
    if (!ours)
        return;
    if (outcome->result == TXN_DONE) {
        carried_out(log, outcome->at);
        finish(log);
    } else if (outcome->result == TXN_REFUSED) {
        not_carried_out(log);
    } else {
        log->reread_at = outcome->result == TXN_CONFLICT ? outcome->at : (revision){0};
        await_replica(log);
    }
}

static void send(struct intent_log *log, struct txn *txn, enum store_lane lane)
{
    log->out = true;
    log->setup.wrote(log->setup.ctx, txn_writes(txn));
    store_txn(log->setup.store, lane, txn, write_answered, written_new(log));
}

/* Adds the pages that are to be written, as far as one transaction holds them. */
static void write_pages(struct intent_log *log, struct txn *txn)
{
    int most = store_limits(log->setup.store)->txn_ops, pages = 0;
    for (guint i = 0; i < log->pages->len && pages < most && txn_bytes(txn) < MOST_BYTES; i++)
        if (page_at(log, (int)i)->dirty) {
            write_page(log, txn, (int)i);
            pages++;
        }
}

static void flush(void *arg)
{
    struct intent_log *log = arg;
    if (!log->open)
        return;
    if (log->reread_due)
        await_replica(log);
    if (log->out)
        return;
    if (!duties_may_act(log->setup.duties, log->setup.duty)) {
        schedule(log, RETRY_MS);
        return;
    }
    revision condition = log->setup.condition_stamp(log->setup.ctx);
    bool dropped = drop_void(log, condition);
    place_queued(log);
    if (has_dirty(log)) {
        struct txn *txn = txn_new();
        duties_guard(log->setup.duties, log->setup.duty, txn);
        txn_when(txn, log->setup.condition_key, condition);
        enum store_lane lane = rent_waits(log) ? LANE_URGENT : LANE_NORMAL;
        write_pages(log, txn);
        send(log, txn, lane);
    }
    if (dropped)
        log->setup.changed(log->setup.ctx);
}
