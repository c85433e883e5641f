/* Agreement with the view: takes what the pages of this node say, and which records its machines
 * have, from what was read of the state service. */
#include "run_records_internal.h"

/* One page of ours as the view shows it. */
static void page_sync(struct shard *shard, int number)
{
    struct own_page *page = shard_own_page(shard, number);
    struct page *seen = shard_page_seen(shard, number);
    page->stamp = seen ? seen->stamp : (revision){0};
    g_array_set_size(page->leftover, 0);
    for (guint i = 0; seen && i < seen->tasks->len; i++) {
        struct placed *placed = seen->tasks->pdata[i];
        if (shard_host_get(shard, placed->host->id.s))
            continue;
        struct page_rec record = {placed->host->id, placed->job->id, placed->attempt, placed->index,
                                  NULL};
        g_array_append_val(page->leftover, record);
    }
    if (seen && seen->done)
        shard_marks_read(shard, seen->done, number);
    page->bytes = seen ? seen->bytes : 0;
}

/* Records of our machines as the view shows them, on one page or (-1) on all. */
static void hosts_sync(struct shard *shard, int page)
{
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        shard_host_sync(shard, host, page);
    shard->dirty = true;
}

void shard_records_sync(struct shard *shard)
{
    GHashTableIter it;
    struct page *page;
    g_hash_table_iter_init(&it, shard->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (strcmp(page->label, shard->settings->label) == 0)
            shard_own_page(shard, page->number);
    for (guint i = 0; i < shard->pages->len; i++)
        page_sync(shard, (int)i);
    shard_inventories_sync(shard);
    hosts_sync(shard, -1);
}

void shard_page_changed(struct shard *shard, const char *key)
{
    struct page *page = g_hash_table_lookup(shard->view->pages, key);
    if (shard->txn_out || !page || strcmp(page->label, shard->settings->label) != 0 ||
        page->stamp.v <= shard_own_page(shard, page->number)->stamp.v)
        return;
    page_sync(shard, page->number);
    hosts_sync(shard, page->number);
}
