/* Takes run records over from pages of other nodes, for machines that have come to this one. */
#include "shard_batch.h"

bool shard_source_fits(struct shard *shard, const struct page *page, bool plain)
{
    const struct store_limits *limits = store_limits(shard->store);
    if (!plain && shard_label_long(shard, page->label))
        return false;
    if (!shard_page_long(shard, page))
        return true;
    const struct node_record *node_record = g_hash_table_lookup(shard->view->nodes, page->label);
    return plain && node_record && node_record->version < NODE_VERSION && !limits->lowered;
}

struct page *shard_source_of(struct shard *shard, const struct host *host, const struct run *run)
{
    struct job *job =
        run->record.foreign && run->phase != RUN_GONE ? view_job(shard->view, run->job.s) : NULL;
    struct placed *placed = job ? job_placed(job, run->index) : NULL;
    bool there =
        placed && placed->attempt.v == run->attempt.v && host_eq(placed->host->id, host->id);
    return there && strcmp(placed->page->label, shard->settings->label) != 0 ? placed->page : NULL;
}

void shard_batch_adopt(struct batch *batch, struct host *host)
{
    gsize most = shard_text_bytes(batch->shard);
    bool whole = true;
    for (guint i = 0; i < host->runs->len && whole; i++) {
        struct run *run = host->runs->pdata[i];
        struct page *source = shard_source_of(batch->shard, host, run);
        if (!source || !g_ptr_array_find(batch->sources, source, NULL))
            continue;
        run->record.next_page = -1;
        if (run->phase == RUN_FREEING &&
            shard_mark_written(batch->shard, run, shard_is_drafted, batch))
            run->record.in_txn = host->in_txn = true;
        else if (!shard_batch_put(batch, host, run, most))
            whole = !batch->plain;
        batch->rest = batch->rest || !run->record.in_txn;
    }
    for (guint i = 0; i < host->runs->len && !whole; i++) {
        struct run *run = host->runs->pdata[i];
        struct draft *draft = run->record.foreign && run->record.in_txn
                                  ? shard_draft_of(batch, run->record.next_page)
                                  : NULL;
        for (guint k = 0; draft && k < draft->records->len; k++) {
            const struct page_rec *rec = &g_array_index(draft->records, struct page_rec, k);
            if (host_eq(rec->host, host->id) && job_eq(rec->job, run->job) &&
                rec->index == run->index) {
                g_array_remove_index(draft->records, k);
                break;
            }
        }
        if (run->record.foreign)
            run->record.in_txn = false;
    }
}

void shard_source_write(struct batch *batch, struct page *page)
{
    struct shard *shard = batch->shard;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    guint taken = 0;
    for (guint i = 0; i < page->tasks->len; i++) {
        struct placed *placed = page->tasks->pdata[i];
        struct host *host = shard_host_get(shard, placed->host->id.s);
        struct run *run =
            host ? shard_run_find(host, placed->job->id, placed->index, placed->attempt) : NULL;
        if (run && run->record.in_txn && run->record.foreign) {
            taken++;
            continue;
        }
        struct page_rec record = {placed->host->id, placed->job->id, placed->attempt, placed->index,
                                  view_about(shard->view, placed->host->id.s)};
        g_array_append_val(left, record);
    }
    if (taken) {
        GString *text = page_write(left, batch->plain);
        shard_page_set(batch->txn, page->key, page->stamp, text->str, page->done ? page->done : "");
        g_string_free(text, TRUE);
    }
    g_array_unref(left);
}
