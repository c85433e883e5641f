/**
 * @file
 * Pages from when the state service accepted longer values: they can be read, but not written any
 * more. Their contents go to pages that are short enough, before this node writes anything else.
 *
 * Either in one transaction, which writes the page with what stays on it and all new pages; or, if
 * that would be more writes than a transaction may have, by copies: transactions that only add new
 * pages with copies of records, until what is not copied can be written in one. docs/safety.md,
 * "Pages that exceed today's limits", argues why each step by itself is safe.
 */
#include "page_split_internal.h"
#include "page_split_plan.h"
#include "record_txn.h"

#include "log.h"

enum {
    /** Until a page that could not be split is tried again. */
    SPLIT_RETRY_DELAY_MS = 200,
};

/** How a page can be split. */
enum split_method {
    /** Not yet: it waits until all nodes support the other two. */
    SPLIT_IMPOSSIBLE,
    /** By one transaction. */
    SPLIT_AT_ONCE,
    /** By copies, of which the next transaction writes some. */
    SPLIT_BY_COPIES,
};

/* ---- which page is split, and by whom ---- */

bool shard_label_has_long_page(const struct shard *shard, const char *label)
{
    GHashTableIter iter;
    struct record_page *page;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_too_long(shard, page) && strcmp(page->label, label) == 0)
            return true;
    return false;
}

/** Whether this node is to split the page. A node splits its own pages. For one that is not in the
 * shard map, the first of the map does it that supports records of a machine on several pages. */
static bool is_split_by_this_node(const struct shard *shard, const struct record_page *page)
{
    const GArray *shard_map = shard->replica->shard_map;
    const char *first_capable = NULL;
    for (guint i = 0; i < shard_map->len; i++) {
        const char *label = g_array_index(shard_map, struct shard_map_entry, i).label;
        if (strcmp(label, page->label) == 0)
            return strcmp(label, shard->settings->label) == 0;
        if (!first_capable && node_supports_multi_page(shard, label))
            first_capable = label;
    }
    return first_capable && strcmp(first_capable, shard->settings->label) == 0;
}

/** The first page by key that is too long and that this node is to split, or NULL. */
static struct record_page *next_long_page(const struct shard *shard)
{
    GHashTableIter iter;
    struct record_page *page, *found = NULL;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_too_long(shard, page) && is_split_by_this_node(shard, page) &&
            (!found || strcmp(page->key, found->key) < 0))
            found = page;
    return found;
}

bool shard_split_due(struct shard *shard)
{
    return !time_before(loop_now(shard->loop), shard->records.split_retry_at) &&
           next_long_page(shard);
}

/* ---- its transactions ---- */

static void finish_split(void *arg, bool ok)
{
    struct pending_write *write = arg;
    shard_finish_write(write, ok);
    g_free(write);
}

/** A txn_callback. Whatever the outcome, all pages are read anew from the replica. */
static void handle_split_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct pending_write *write = arg;
    record_txn_await_outcome(write->shard, outcome, finish_split, write);
}

/** The writes that the transaction may have. While nodes of version 0 may read the pages they
 * cannot be split by copies: then as many as the present limits allow, unless those have been
 * lowered. */
static guint max_split_writes(const struct shard *shard, bool legacy_format)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    guint max_writes = (guint)limits->max_txn_operations;
    if (legacy_format && !limits->is_lowered)
        max_writes = MAX(max_writes, (guint)shard->settings->kv_limits.max_txn_operations);
    return max_writes;
}

/** @param pages the plan, or NULL. */
static enum split_method choose_split_method(const GPtrArray *pages, guint max_writes,
                                             bool legacy_format)
{
    if (!pages)
        return SPLIT_IMPOSSIBLE;
    if (pages->len <= max_writes)
        return SPLIT_AT_ONCE;
    return legacy_format ? SPLIT_IMPOSSIBLE : SPLIT_BY_COPIES;
}

/** The key of a page of the same node that does not exist. A copy gets one behind the long page in
 * the order of keys: a node that has just been started reads keys in that order, and has to find
 * each record last where it is going to stay.
 * @param page_number the first number to be tried; set to the next one. */
static char *unused_page_key(struct shard *shard, const struct record_page *page, int *page_number,
                             enum split_method method)
{
    for (;;) {
        char *key = key_record_page(page->label, *page_number);
        ++*page_number;
        bool is_behind = strcmp(key, page->key) > 0;
        if (!g_hash_table_contains(shard->replica->pages, key) &&
            (method != SPLIT_BY_COPIES || is_behind))
            return key;
        g_free(key);
    }
}

static void put_split_page(struct txn *txn, const char *key, revision mod_revision,
                           struct split_page *split_page)
{
    GString *text = record_page_encode(split_page->records, split_page->legacy_format);
    record_txn_put_page(txn, key, mod_revision, text->str, split_page->completions->str);
    g_string_free(text, TRUE);
}

/** Puts the new pages into a transaction, as many as it may write, and the page itself: with what
 * stays on it, or only as a condition if it is left as it is for now. */
static struct txn *make_split_txn(struct shard *shard, const struct record_page *page,
                                  const GPtrArray *pages, guint max_writes,
                                  enum split_method method)
{
    struct txn *txn = record_txn_new(shard);
    guint end = method == SPLIT_BY_COPIES ? max_writes + 1 : max_writes;
    int page_number = 0;
    for (guint i = 1; i < MIN(pages->len, end); i++) {
        char *key = unused_page_key(shard, page, &page_number, method);
        put_split_page(txn, key, (revision){0}, pages->pdata[i]);
        g_free(key);
    }
    if (method == SPLIT_BY_COPIES)
        record_txn_compare_page(txn, page);
    else
        put_split_page(txn, page->key, page->mod_revision, pages->pdata[0]);
    return txn;
}

bool shard_split(struct shard *shard)
{
    struct record_page *page = next_long_page(shard);
    bool legacy_format = shard_uses_legacy_format(shard);
    guint max_writes = max_split_writes(shard, legacy_format);
    GPtrArray *pages = page_split_plan(shard, page, legacy_format);
    enum split_method method = choose_split_method(pages, max_writes, legacy_format);
    if (method == SPLIT_IMPOSSIBLE) {
        g_clear_pointer(&pages, g_ptr_array_unref);
        shard->records.split_retry_at = time_add_ms(loop_now(shard->loop), SPLIT_RETRY_DELAY_MS);
        return false;
    }
    struct txn *txn = make_split_txn(shard, page, pages, max_writes, method);
    LOG_INFO("page_split", "page=%s bytes=%zu pages=%u copies=%d", page->key, page->size_bytes,
             pages->len, method == SPLIT_BY_COPIES);
    struct pending_write *write = g_new(struct pending_write, 1);
    *write = (struct pending_write){shard, shard->generation};
    record_txn_commit(shard, txn, handle_split_outcome, write);
    g_ptr_array_unref(pages);
    return true;
}
