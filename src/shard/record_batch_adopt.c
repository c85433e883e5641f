/* Takes run records over from pages of other nodes, for machines that have come to this one. */
#include "record_batch_internal.h"

bool shard_source_fits(struct shard *shard, const struct page *page, bool plain)
{
    const struct store_limits *limits = store_limits(shard->store);
    if (!plain && shard_label_long(shard, page->label))
        return false;
    if (!shard_page_long(shard, page))
        return true;
    const struct node_record *node_record = g_hash_table_lookup(shard->view->nodes, page->label);
    return plain && node_record && node_record->version < NODE_VERSION_PIPELINES &&
           !limits->lowered;
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

/* Takes the record of a task out of its draft again. */
static void draft_withdraw(struct draft *draft, const struct host *host, const struct run *run)
{
    for (guint i = 0; i < draft->records->len; i++) {
        const struct page_rec *record = &g_array_index(draft->records, struct page_rec, i);
        if (host_eq(record->host, host->id) && job_eq(record->job, run->job) &&
            record->index == run->index) {
            g_array_remove_index(draft->records, i);
            return;
        }
    }
}

/* None of a machine's records is taken over with this transaction. */
static void adopt_none(struct batch *batch, struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (!run->record.foreign)
            continue;
        struct draft *draft =
            run->record.in_txn ? shard_draft_of(batch, run->record.next_page) : NULL;
        if (draft)
            draft_withdraw(draft, host, run);
        run->record.in_txn = false;
    }
}

/* Takes the record of one task over; false: no page that is written has room for it. */
static bool adopt_run(struct batch *batch, struct host *host, struct run *run)
{
    run->record.next_page = -1;
    if (run->phase == RUN_FREEING &&
        shard_mark_written(batch->shard, run, shard_is_drafted, batch)) {
        run->record.in_txn = host->in_txn = true;
        return true;
    }
    return shard_batch_put(batch, host, run, shard_text_bytes(batch->shard));
}

void shard_batch_adopt(struct batch *batch, struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        struct page *source = shard_source_of(batch->shard, host, run);
        if (!source || !g_ptr_array_find(batch->sources, source, NULL))
            continue;
        bool taken = adopt_run(batch, host, run);
        batch->rest = batch->rest || !run->record.in_txn;
        if (!taken && batch->plain) {
            adopt_none(batch, host);
            return;
        }
    }
}

/* Whether the transaction takes the record of a task over. */
static bool is_taken(struct shard *shard, const struct placed *placed)
{
    struct host *host = shard_host_get(shard, placed->host->id.s);
    const struct run *run =
        host ? shard_run_find(host, placed->job->id, placed->index, placed->attempt) : NULL;
    return run && run->record.in_txn && run->record.foreign;
}

void shard_source_write(struct batch *batch, struct page *page)
{
    struct shard *shard = batch->shard;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    for (guint i = 0; i < page->tasks->len; i++) {
        struct placed *placed = page->tasks->pdata[i];
        if (is_taken(shard, placed))
            continue;
        struct page_rec record = {placed->host->id, placed->job->id, placed->attempt, placed->index,
                                  view_about(shard->view, placed->host->id.s)};
        g_array_append_val(left, record);
    }
    if (left->len < page->tasks->len) {
        GString *text = page_write(left, batch->plain);
        shard_page_set(batch->txn, page->key, page->stamp, text->str, page->done ? page->done : "");
        g_string_free(text, TRUE);
    }
    g_array_unref(left);
}
