/**
 * @file
 * Reconciling this node's state with the replica: the contents of its pages, and the records of its
 * machines.
 */
#include "completions_internal.h"
#include "machine_inventory_internal.h"
#include "run_records_internal.h"

/** Collects the records on a page whose machines belong to other nodes. They stay on the page until
 * their owners adopt them. */
static void collect_foreign_records(struct shard *shard, const struct record_page *replica_page,
                                    GArray *foreign_records)
{
    for (guint i = 0; i < replica_page->run_records->len; i++) {
        struct run_record *run_record = replica_page->run_records->pdata[i];
        if (shard_find_machine(shard, run_record->machine->id.text))
            continue;
        struct record_page_entry record = {run_record->machine->id, run_record->job->id,
                                           run_record->attempt, run_record->task_index, NULL};
        g_array_append_val(foreign_records, record);
    }
}

/** Updates one own page to match the replica. */
static void reconcile_page(struct shard *shard, int page_number)
{
    struct own_page *page = shard_get_own_page(shard, page_number);
    struct record_page *replica_page = shard_find_replica_page(shard, page_number);
    g_array_set_size(page->foreign_records, 0);
    if (!replica_page) {
        page->mod_revision = (revision){0};
        page->used_bytes = 0;
        return;
    }
    page->mod_revision = replica_page->mod_revision;
    collect_foreign_records(shard, replica_page, page->foreign_records);
    if (replica_page->encoded_completions)
        shard_completions_read(shard, replica_page->encoded_completions, page_number);
    page->used_bytes = replica_page->size_bytes;
}

/** Updates the machines' runs to match the records on one own page.
 * @param page_number -1: the records of all pages. */
static void reconcile_machines(struct shard *shard, int page_number)
{
    GHashTableIter iter;
    struct machine *machine;
    g_hash_table_iter_init(&iter, shard->machines);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
        shard_machine_reconcile(shard, machine, page_number);
    shard->records.is_dirty = true;
}

void shard_records_reconcile(struct shard *shard)
{
    GHashTableIter iter;
    struct record_page *page;
    g_hash_table_iter_init(&iter, shard->replica->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (shard_is_own_page(shard, page))
            shard_get_own_page(shard, page->number);
    for (guint i = 0; i < shard->records.pages->len; i++)
        reconcile_page(shard, (int)i);
    shard_inventories_reconcile(shard);
    reconcile_machines(shard, -1);
}

void shard_handle_page_changed(struct shard *shard, const char *key)
{
    struct record_page *page = g_hash_table_lookup(shard->replica->pages, key);
    bool is_own = page && shard_is_own_page(shard, page);
    /* Changes that are missed while a transaction is in flight show up as a conflict when the page
     * is next written. */
    if (shard->records.txn_in_flight || !is_own)
        return;
    revision known = shard_get_own_page(shard, page->number)->mod_revision;
    if (page->mod_revision.value <= known.value)
        return;
    reconcile_page(shard, page->number);
    /* Only this page: the replica may be older than this node's state of the other pages. */
    reconcile_machines(shard, page->number);
}
