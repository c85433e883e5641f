/* Agreement with the view: takes what the pages of this node say, and which records its machines
 * have, from what was read of the state service. */
#include "run_records_internal.h"

/* One page of ours as the view shows it. */
static void reconcile_page(struct shard *shard, int page_number)
{
    struct own_page *page = shard_get_own_page(shard, page_number);
    struct record_page *replica_page = shard_find_replica_page(shard, page_number);
    page->mod_revision = replica_page ? replica_page->mod_revision : (revision){0};
    g_array_set_size(page->foreign_records, 0);
    for (guint i = 0; replica_page && i < replica_page->run_records->len; i++) {
        struct run_record *run_record = replica_page->run_records->pdata[i];
        if (shard_find_machine(shard, run_record->machine->id.text))
            continue;
        struct record_page_entry record = {run_record->machine->id, run_record->job->id,
                                           run_record->attempt, run_record->task_index, NULL};
        g_array_append_val(page->foreign_records, record);
    }
    if (replica_page && replica_page->completions_text)
        shard_completions_read(shard, replica_page->completions_text, page_number);
    page->bytes = replica_page ? replica_page->size_bytes : 0;
}

/* Records of our machines as the view shows them, on one page or (-1) on all. */
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
        if (strcmp(page->label, shard->settings->label) == 0)
            shard_get_own_page(shard, page->number);
    for (guint i = 0; i < shard->records.pages->len; i++)
        reconcile_page(shard, (int)i);
    shard_inventories_reconcile(shard);
    reconcile_machines(shard, -1);
}

void shard_handle_page_changed(struct shard *shard, const char *key)
{
    struct record_page *page = g_hash_table_lookup(shard->replica->pages, key);
    if (shard->records.txn_in_flight || !page || strcmp(page->label, shard->settings->label) != 0 ||
        page->mod_revision.value <= shard_get_own_page(shard, page->number)->mod_revision.value)
        return;
    reconcile_page(shard, page->number);
    reconcile_machines(shard, page->number);
}
