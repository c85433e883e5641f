/**
 * @file
 * Run records that several pages hold. A split by copies does that on purpose, and a transaction
 * that was carried out late may have done it. A record is listed by the page that was read last;
 * the other pages that hold it are remembered here, and the record exists until all have dropped
 * it.
 */
#include "replica_internal.h"

/** Returns the other pages that hold the record, or NULL. */
static GPtrArray *get_copies(const struct replica *replica, const struct run_record *run_record)
{
    return g_hash_table_lookup(replica->internal->record_copies, run_record);
}

void replica_add_record_copy(struct replica *replica, struct run_record *run_record,
                             struct record_page *page)
{
    GPtrArray *pages = get_copies(replica, run_record);
    if (!pages) {
        pages = g_ptr_array_new();
        g_hash_table_insert(replica->internal->record_copies, run_record, pages);
    }
    if (!g_ptr_array_find(pages, page, NULL))
        g_ptr_array_add(pages, page);
}

void replica_drop_record_copy(struct replica *replica, struct run_record *run_record,
                              struct record_page *page)
{
    GPtrArray *pages = get_copies(replica, run_record);
    if (pages && g_ptr_array_remove_fast(pages, page) && !pages->len)
        g_hash_table_remove(replica->internal->record_copies, run_record);
}

void replica_drop_copies_on_page(struct replica *replica, struct record_page *page)
{
    GHashTableIter iterator;
    GPtrArray *pages;
    g_hash_table_iter_init(&iterator, replica->internal->record_copies);
    while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&pages))
        if (g_ptr_array_remove_fast(pages, page) && !pages->len)
            g_hash_table_iter_remove(&iterator);
}

struct record_page *replica_find_record_copy(const struct replica *replica,
                                             const struct run_record *run_record)
{
    const GPtrArray *pages = get_copies(replica, run_record);
    return pages ? pages->pdata[0] : NULL;
}

bool replica_has_record_copies(const struct replica *replica)
{
    return g_hash_table_size(replica->internal->record_copies) > 0;
}

bool replica_page_holds_copy(const struct replica *replica, const struct record_page *page)
{
    GHashTableIter iterator;
    GPtrArray *pages;
    g_hash_table_iter_init(&iterator, replica->internal->record_copies);
    while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&pages))
        if (g_ptr_array_find(pages, page, NULL))
            return true;
    return false;
}
