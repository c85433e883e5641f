/**
 * @file
 * Agreement with the replica: takes from it what this node's pages hold, and which records its
 * machines have.
 */
#include "completions_internal.h"
#include "machine_inventory_internal.h"
#include "run_records_internal.h"

/** Takes over the records on the page whose machines other nodes own: they stay there until those
 * adopt them. */
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

/** Makes one own page agree with the replica. */
static void reconcile_page(struct shard *shard, int page_number)
{
    struct own_page *page = shard_get_own_page(shard, page_number);
    struct record_page *replica_page = shard_find_replica_page(shard, page_number);
    g_array_set_size(page->foreign_records, 0);
    if (!replica_page) {
        page->mod_revision = (revision){0};
        page->bytes = 0;
        return;
    }
    page->mod_revision = replica_page->mod_revision;
    collect_foreign_records(shard, replica_page, page->foreign_records);
    if (replica_page->encoded_completions)
        shard_completions_read(shard, replica_page->encoded_completions, page_number);
    page->bytes = replica_page->size_bytes;
}

/** Makes the machines' runs agree with the records on one own page or (-1) with all records. */
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
    /* What is missed while a transaction is in flight shows as a conflict when the page is next
     * written. */
    if (shard->records.txn_in_flight || !is_own)
        return;
    revision known = shard_get_own_page(shard, page->number)->mod_revision;
    if (page->mod_revision.value <= known.value)
        return;
    reconcile_page(shard, page->number);
    /* Only this page: of the others the replica may be older than what is known here. */
    reconcile_machines(shard, page->number);
}
