/**
 * @file
 * Implements a write-ahead log of actions that the holder of a singleton role takes outside the
 * key-value store.
 */
#include "intent_log_internal.h"

struct intent_log *intent_log_new(const struct intent_log_config *config)
{
    struct intent_log *log = g_new0(struct intent_log, 1);
    log->config = *config;
    log->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    log->pages = g_array_new(FALSE, TRUE, sizeof(struct intent_log_page));
    timer_init(&log->flush_timer, intent_log_on_flush_timer, log);
    return log;
}

void intent_log_free(struct intent_log *log)
{
    timer_stop(log->config.loop, &log->flush_timer);
    g_hash_table_unref(log->entries);
    g_array_unref(log->pages);
    g_free(log);
}

void intent_log_schedule_flush(struct intent_log *log, int64_t delay_ms)
{
    mono_time due = time_add_ms(loop_now(log->config.loop), delay_ms);
    if (log->flush_timer.queue_position && time_before(log->flush_timer.fires_at, due))
        return;
    timer_stop(log->config.loop, &log->flush_timer);
    timer_start(log->config.loop, &log->flush_timer, delay_ms);
}

void intent_log_open(struct intent_log *log)
{
    intent_log_close(log);
    log->is_open = true;
    intent_log_read_pages(log);
    intent_log_schedule_flush(log, SETTLE_FLUSH_DELAY_MS);
}

void intent_log_close(struct intent_log *log)
{
    log->is_open = false;
    log->txn_in_flight = false;
    log->reread_timed_out = false;
    log->generation++;
    g_hash_table_remove_all(log->entries);
    g_array_set_size(log->pages, 0);
    timer_stop(log->config.loop, &log->flush_timer);
}

/* ---- entries ---- */

static char *entry_key(enum intent_kind kind, const char *name)
{
    return g_strdup_printf("%d %s", kind, name);
}

struct intent_entry *intent_log_get_entry(const struct intent_log *log, enum intent_kind kind,
                                          const char *name)
{
    char *key = entry_key(kind, name);
    struct intent_entry *entry = g_hash_table_lookup(log->entries, key);
    g_free(key);
    return entry;
}

struct intent_entry *intent_log_add_entry(struct intent_log *log, const struct intent *intent)
{
    struct intent_entry *entry = g_new0(struct intent_entry, 1);
    entry->intent = *intent;
    entry->page_number = NO_PAGE;
    entry->size_bytes = intent_log_entry_size_bytes(intent);
    g_hash_table_replace(log->entries, entry_key(intent->kind, intent->name), entry);
    return entry;
}

/* ---- operations of the role holder ---- */

void intent_log_add(struct intent_log *log, const struct intent *intent, revision guard_revision)
{
    if (!log->is_open || intent_log_get_entry(log, intent->kind, intent->name))
        return;
    intent_log_add_entry(log, intent)->guard_revision = guard_revision;
    intent_log_schedule_flush(log, intent->kind == INTENT_SCALE_OUT ? SCALE_OUT_FLUSH_DELAY_MS
                                                                    : SCALE_IN_FLUSH_DELAY_MS);
}

enum intent_state intent_log_get_state(const struct intent_log *log, enum intent_kind kind,
                                       const char *name)
{
    const struct intent_entry *entry = intent_log_get_entry(log, kind, name);
    if (!entry || entry->is_settled)
        return INTENT_UNKNOWN;
    return entry->is_recorded ? INTENT_RECORDED : INTENT_QUEUED;
}

void intent_log_settle(struct intent_log *log, enum intent_kind kind, const char *name)
{
    struct intent_entry *entry = intent_log_get_entry(log, kind, name);
    if (!entry || entry->is_settled)
        return;
    entry->is_settled = true;
    if (entry->page_number == NO_PAGE)
        return; /* The entry is never written. */
    struct intent_log_page *page = intent_log_get_page(log, entry->page_number);
    page->size_bytes -= entry->size_bytes;
    page->is_dirty = true;
    intent_log_schedule_flush(log, SETTLE_FLUSH_DELAY_MS);
}

GPtrArray *intent_log_list_unsettled(const struct intent_log *log)
{
    GPtrArray *intents = g_ptr_array_new();
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry))
        if (!entry->is_settled)
            g_ptr_array_add(intents, &entry->intent);
    return intents;
}

bool intent_log_is_empty(const struct intent_log *log)
{
    return log->is_open && !g_hash_table_size(log->entries) && !log->txn_in_flight;
}
