/**
 * @file
 * Splitting oversized pages, which were written when the state service accepted longer values. They
 * can be read but not written any more, so their contents are moved to pages within the size limit
 * before this node writes anything else.
 *
 * If the writes fit into one transaction, it writes the page with the contents that stay on it, and
 * all new pages. Otherwise the page is split by copies: transactions that only add new pages with
 * copies of records, until the rest can be written by one transaction. docs/safety.md, "Pages that
 * exceed today's limits", argues why each step is safe by itself.
 */
#include "page_split_internal.h"
#include "page_split_plan.h"
#include "record_txn.h"

#include "log.h"

enum {
    /** The time until the next attempt if a page could not be split. */
    SPLIT_RETRY_DELAY_MS = 200,
};

/** How a page can be split. */
enum split_method {
    /** The page cannot be split until all nodes support the current format. */
    SPLIT_IMPOSSIBLE,
    /** One transaction writes the page and all new pages. */
    SPLIT_IN_ONE_TXN,
    /** The next transaction adds some new pages with copies. */
    SPLIT_BY_COPYING,
};

/* ---- which pages this node splits ---- */

bool shard_node_has_oversized_page(const struct shard *shard, const char *label)
{
    GHashTableIter iter;
    struct record_page *page;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_oversized(shard, page) && strcmp(page->label, label) == 0)
            return true;
    return false;
}

/** Whether this node has to split the page. A node splits its own pages. The pages of a node that
 * is not in the shard map are split by the first node in the map that supports records of one
 * machine on several pages. */
static bool is_split_by_this_node(const struct shard *shard, const struct record_page *page)
{
    const GArray *shard_map = shard->replica->shard_map;
    const char *first_capable = NULL;
    for (guint i = 0; i < shard_map->len; i++) {
        const char *label = g_array_index(shard_map, struct shard_map_entry, i).label;
        if (strcmp(label, page->label) == 0)
            return strcmp(label, shard->settings->label) == 0;
        if (!first_capable && node_supports_machine_on_multiple_pages(shard, label))
            first_capable = label;
    }
    return first_capable && strcmp(first_capable, shard->settings->label) == 0;
}

/** Returns the first oversized page, by key, that this node has to split, or NULL. */
static struct record_page *next_oversized_page(const struct shard *shard)
{
    GHashTableIter iter;
    struct record_page *page, *found = NULL;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_page_is_oversized(shard, page) && is_split_by_this_node(shard, page) &&
            (!found || strcmp(page->key, found->key) < 0))
            found = page;
    return found;
}

bool shard_split_is_due(struct shard *shard)
{
    return !time_before(loop_now(shard->loop), shard->records.split_retry_at) &&
           next_oversized_page(shard);
}

/* ---- transactions ---- */

/** Handles the outcome of a split; a txn_callback. Whatever the outcome, all pages are read again
 * from the replica. */
static void handle_split_outcome(void *arg, const struct txn_outcome *outcome)
{
    struct pending_write *write = arg;
    record_txn_await_outcome(write->shard, outcome, shard_finish_write, write);
}

/** Returns the maximum number of writes of the transaction. In the legacy format pages cannot be
 * split by copies. A split may then use as many writes as the present limits of the state service
 * allow, unless the service has lowered them already. */
static guint max_split_writes(const struct shard *shard, bool legacy_format)
{
    const struct kv_limits *limits = kv_client_limits(shard->kv);
    guint max_writes = (guint)limits->max_txn_operations;
    if (legacy_format && !limits->is_lowered)
        max_writes = MAX(max_writes, (guint)shard->settings->kv_limits.max_txn_operations);
    return max_writes;
}

/** Chooses how a page is split.
 * @param pages the plan; NULL if there is none. */
static enum split_method choose_split_method(const GPtrArray *pages, guint max_writes,
                                             bool legacy_format)
{
    if (!pages)
        return SPLIT_IMPOSSIBLE;
    if (pages->len <= max_writes)
        return SPLIT_IN_ONE_TXN;
    return legacy_format ? SPLIT_IMPOSSIBLE : SPLIT_BY_COPYING;
}

/** Returns the key of a page of the same node that does not exist yet. The caller frees it. The key
 * of a copy has to sort after that of the oversized page: a node that has just started reads keys
 * in this order, and has to find each record last on the page where it will stay.
 * @param page_number the first number to try; set to the next one. */
static char *unused_page_key(struct shard *shard, const struct record_page *page, int *page_number,
                             enum split_method method)
{
    for (;;) {
        char *key = key_record_page(page->label, *page_number);
        ++*page_number;
        bool is_behind = strcmp(key, page->key) > 0;
        if (!g_hash_table_contains(shard->replica->pages, key) &&
            (method != SPLIT_BY_COPYING || is_behind))
            return key;
        g_free(key);
    }
}

static void put_planned_page(struct txn *txn, const char *key, revision mod_revision,
                             struct planned_page *planned_page)
{
    GString *text = record_page_encode(planned_page->records, planned_page->legacy_format);
    record_txn_put_page(txn, key, mod_revision, text->str, planned_page->completions->str);
    g_string_free(text, TRUE);
}

/** Creates the transaction of a split. It writes as many of the new pages as it may, and either
 * writes the page itself with the contents that stay on it, or only compares it if it is left
 * unchanged for now. */
static struct txn *make_split_txn(struct shard *shard, const struct record_page *page,
                                  const GPtrArray *pages, guint max_writes,
                                  enum split_method method)
{
    struct txn *txn = record_txn_new(shard);
    guint end = method == SPLIT_BY_COPYING ? max_writes + 1 : max_writes;
    int page_number = 0;
    for (guint i = 1; i < MIN(pages->len, end); i++) {
        char *key = unused_page_key(shard, page, &page_number, method);
        put_planned_page(txn, key, (revision){0}, pages->pdata[i]);
        g_free(key);
    }
    if (method == SPLIT_BY_COPYING)
        record_txn_compare_page(txn, page);
    else
        put_planned_page(txn, page->key, page->mod_revision, pages->pdata[0]);
    return txn;
}

bool shard_split_page(struct shard *shard)
{
    struct record_page *page = next_oversized_page(shard);
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
             pages->len, method == SPLIT_BY_COPYING);
    record_txn_commit(shard, txn, handle_split_outcome, shard_pending_write_new(shard));
    g_ptr_array_unref(pages);
    return true;
}
