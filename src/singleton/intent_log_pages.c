/**
 * @file
 * Assigns the entries of the intent log to pages.
 */
#include "intent_log_internal.h"

enum {
    /** Size of a page without intents, with a margin. */
    EMPTY_PAGE_BYTES = 48,
    /** Brackets, commas, the kind and the number of machines of a scale-out intent. */
    SCALE_OUT_OVERHEAD_BYTES = 24,
};

/* ---- sizes ---- */

/** Returns the size of a string in JSON with its quotes, including escaped characters. */
static gsize json_string_size_bytes(const char *string)
{
    gsize size_bytes = 2;
    for (; *string; string++)
        size_bytes += strchr("/\"\\", *string) ? 2 : 1;
    return size_bytes;
}

gsize intent_log_entry_size_bytes(const struct intent *intent)
{
    gsize size_bytes = json_string_size_bytes(intent->name) + 1;
    if (intent->kind == INTENT_SCALE_OUT)
        size_bytes += json_string_size_bytes(intent->type_name) +
                      json_string_size_bytes(intent->zone) + SCALE_OUT_OVERHEAD_BYTES;
    return size_bytes;
}

/* ---- synchronization with the replica ---- */

struct intent_log_page *intent_log_get_page(struct intent_log *log, int page_number)
{
    if ((int)log->pages->len <= page_number)
        g_array_set_size(log->pages, (guint)page_number + 1);
    return &g_array_index(log->pages, struct intent_log_page, page_number);
}

/**
 * Clears the page assignments of all entries. An entry that the replica then shows on no page
 * counts as not recorded: either it was settled and its removal was committed, or the transaction
 * that added it was not committed.
 */
static void reset_page_assignments(struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
        entry->write_in_flight = false;
        entry->is_recorded = false;
        entry->page_number = NO_PAGE;
    }
    g_array_set_size(log->pages, 0);
}

static void read_page(struct intent_log *log, const struct intent_page *stored_page)
{
    struct intent_log_page *page = intent_log_get_page(log, stored_page->number);
    page->mod_revision = stored_page->mod_revision;
    page->size_bytes = EMPTY_PAGE_BYTES;
    for (guint i = 0; i < stored_page->intents->len; i++) {
        const struct intent *intent = stored_page->intents->pdata[i];
        struct intent_entry *entry = intent_log_get_entry(log, intent->kind, intent->name);
        if (!entry)
            entry = intent_log_add_entry(log, intent);
        entry->is_recorded = true;
        entry->page_number = stored_page->number;
        if (entry->is_settled)
            page->is_dirty = true;
        else
            page->size_bytes += entry->size_bytes;
    }
}

static gboolean is_settled_and_unrecorded(gpointer key, gpointer value, gpointer ctx)
{
    const struct intent_entry *entry = value;
    (void)key;
    (void)ctx;
    return entry->is_settled && !entry->is_recorded;
}

void intent_log_read_pages(struct intent_log *log)
{
    reset_page_assignments(log);
    GPtrArray *pages = role_records_list_pages(log->config.records, log->config.role);
    for (guint i = 0; i < pages->len; i++)
        read_page(log, pages->pdata[i]);
    g_ptr_array_unref(pages);
    g_hash_table_foreach_remove(log->entries, is_settled_and_unrecorded, NULL);
}

/* ---- assignment to pages ---- */

bool intent_log_has_dirty_page(const struct intent_log *log)
{
    for (guint i = 0; i < log->pages->len; i++)
        if (g_array_index(log->pages, struct intent_log_page, i).is_dirty)
            return true;
    return false;
}

static bool page_fits(struct intent_log *log, int page_number, gsize size_bytes)
{
    gsize max_bytes = kv_client_limits(log->config.kv)->max_value_bytes;
    gsize used_bytes = intent_log_get_page(log, page_number)->size_bytes;
    return MAX(used_bytes, EMPTY_PAGE_BYTES) + size_bytes <= max_bytes;
}

/**
 * Returns the number of the page for a new entry. Pages that must be written anyway come first,
 * then other pages with enough space, then a new page.
 */
static int choose_page(struct intent_log *log, gsize size_bytes)
{
    int page_count = (int)log->pages->len;
    for (int i = 0; i < page_count; i++)
        if (intent_log_get_page(log, i)->is_dirty && page_fits(log, i, size_bytes))
            return i;
    for (int i = 0; i < page_count; i++)
        if (page_fits(log, i, size_bytes))
            return i;
    return page_count;
}

void intent_log_assign_pages(struct intent_log *log)
{
    GHashTableIter iter;
    struct intent_entry *entry;
    g_hash_table_iter_init(&iter, log->entries);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
        if (entry->is_recorded || entry->page_number != NO_PAGE)
            continue;
        entry->page_number = choose_page(log, entry->size_bytes);
        struct intent_log_page *page = intent_log_get_page(log, entry->page_number);
        page->size_bytes = MAX(page->size_bytes, EMPTY_PAGE_BYTES) + entry->size_bytes;
        page->is_dirty = true;
    }
}
