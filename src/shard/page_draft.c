/* Drafts: pages of this node that a transaction is to write, and the texts that come of them. */
#include "record_batch_internal.h"

#include "log.h"

void shard_draft_free(gpointer q)
{
    struct draft *draft = q;
    g_array_unref(draft->records);
    g_hash_table_unref(draft->jobs);
    g_string_free(draft->marks.text, TRUE);
    g_free(draft);
}

struct draft *shard_draft_of(const struct batch *batch, int number)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct draft *draft = batch->drafts->pdata[i];
        if (draft->number == number)
            return draft;
    }
    return NULL;
}

bool shard_is_drafted(const void *batch, int page)
{
    return shard_draft_of(batch, page) != NULL;
}

struct draft *shard_draft_open(struct batch *batch, int number)
{
    struct draft *draft = g_new0(struct draft, 1);
    draft->number = number;
    draft->records = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    draft->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    draft->marks.text = g_string_new(NULL);
    shard_own_page(batch->shard, number);
    g_ptr_array_add(batch->drafts, draft);
    return draft;
}

static void draft_add(struct draft *draft, const struct page_rec *record)
{
    g_hash_table_add(draft->jobs, g_strdup(record->job.s));
    g_hash_table_add(draft->jobs,
                     g_strdup_printf("%s %" G_GUINT64_FORMAT, record->job.s, record->attempt.v));
    g_array_append_val(draft->records, *record);
}

bool shard_draft_has_job(const struct draft *draft, job_id job)
{
    return g_hash_table_contains(draft->jobs, job.s);
}

bool shard_draft_take(struct draft *draft, const struct page_rec *record, gsize most)
{
    char *attempt = g_strdup_printf("%s %" G_GUINT64_FORMAT, record->job.s, record->attempt.v);
    gsize cost = page_cost(record, shard_draft_has_job(draft, record->job),
                           g_hash_table_contains(draft->jobs, attempt));
    g_free(attempt);
    if (draft->used + cost > most)
        return false;
    draft->used += cost;
    draft_add(draft, record);
    return true;
}

/* Records of machines that are another node's now: it takes them off itself. */
static void keep_leftover(struct shard *shard, struct draft *draft)
{
    const struct own_page *page = shard_own_page(shard, draft->number);
    for (guint i = 0; i < page->leftover->len; i++) {
        struct page_rec record = g_array_index(page->leftover, struct page_rec, i);
        record.about = view_about(shard->view, record.host.s);
        draft_add(draft, &record);
    }
}

/* The record of a task stays, unless it is over and that is said with this transaction. */
static void keep_run(struct batch *batch, struct draft *draft, struct host *host, struct run *run)
{
    run->record.next_page = -1;
    run->record.in_txn =
        run->phase == RUN_FREEING && shard_mark_written(batch->shard, run, shard_is_drafted, batch);
    if (run->record.in_txn) {
        host->in_txn = draft->changed = true;
        return;
    }
    struct page_rec record = shard_record_of(host, run);
    draft_add(draft, &record);
}

static void keep_runs(struct batch *batch, struct draft *draft, struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        if (run->record.page == draft->number &&
            (run->phase == RUN_RECORDED || run->phase == RUN_FREEING))
            keep_run(batch, draft, host, run);
    }
}

void shard_draft_keep(struct batch *batch, struct draft *draft)
{
    struct shard *shard = batch->shard;
    shard_marks_write(shard, draft->number, batch->plain, &draft->marks);
    draft->changed = draft->marks.dirty;
    draft->used = draft->marks.text->len + draft->marks.growth;
    keep_leftover(shard, draft);
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        keep_runs(batch, draft, host);
    gsize least;
    draft->used += page_length(draft->records, batch->plain, &least);
    draft->over = least + draft->marks.text->len > shard_text_bytes(shard);
}

/* The value of a page in the state service. */
static json_object *page_value(const char *tasks, const char *done)
{
    json_object *object = json_object_new_object();
    json_put_text(object, "t", tasks);
    json_put_text(object, "d", done);
    return object;
}

void shard_page_set(struct txn *txn, const char *key, revision stamp, const char *tasks,
                    const char *done)
{
    txn_when(txn, key, stamp);
    txn_set(txn, key, page_value(tasks, done), (lease_id){0});
}

void shard_draft_write(struct batch *batch, struct draft *draft)
{
    struct shard *shard = batch->shard;
    struct own_page *page = shard_own_page(shard, draft->number);
    GString *text = page_write(draft->records, batch->plain);
    char *key = key_page(shard->settings->label, draft->number);
    gsize bytes = text->len + draft->marks.text->len;
    if (bytes > shard_text_bytes(shard))
        LOG_ERROR("page_too_long", "page=%s bytes=%zu", key, bytes);
    shard_page_set(batch->txn, key, page->stamp, text->str, draft->marks.text->str);
    page->bytes = bytes;
    g_free(key);
    g_string_free(text, TRUE);
}
