/* Makes the transaction: new records find room on the pages that it writes. */
#include "record_batch_internal.h"

enum {
    TXN_CONDITIONS = 4, /* that a transaction may have, for each write that it may */
    MARKS_SHARE = 8,    /* of a page: that part is left free of new records, for marks */
};

struct batch *shard_batch_new(struct shard *shard)
{
    struct batch *batch = g_new0(struct batch, 1);
    *batch = (struct batch){.shard = shard,
                            .generation = shard->generation,
                            .plain = shard_plain(shard),
                            .hosts = g_ptr_array_new_with_free_func(g_free),
                            .txn = shard_txn(shard),
                            .jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                            .drafts = g_ptr_array_new_with_free_func(shard_draft_free),
                            .sources = g_ptr_array_new()};
    return batch;
}

void shard_batch_free(struct batch *batch)
{
    g_ptr_array_unref(batch->hosts);
    g_hash_table_unref(batch->jobs);
    g_ptr_array_unref(batch->drafts);
    g_ptr_array_unref(batch->sources);
    g_free(batch);
}

/* A start may be recorded while its job is as it was seen. */
static bool batch_job(struct batch *batch, const struct job *job)
{
    if (job->waits)
        return false; /* nothing starts before what it needs is durably done */
    if (g_hash_table_contains(batch->jobs, job->id.s))
        return true;
    guint most = TXN_CONDITIONS * (guint)store_limits(batch->shard->store)->txn_ops;
    /* Conditions on pages, and on machines that may be described or forgotten. */
    guint to_come = batch->drafts->len + batch->sources->len +
                    (guint)MAX(batch->spare - (int)txn_writes(batch->txn), 0);
    if (txn_conditions(batch->txn) + to_come + 1 > most)
        return false;
    char *key = key_job(job->id);
    txn_when(batch->txn, key, job->stamp);
    g_free(key);
    g_hash_table_add(batch->jobs, g_strdup(job->id.s));
    return true;
}

/* Drafts with what has to stay. */
static void keep_all(struct batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct draft *draft = batch->drafts->pdata[i];
        g_array_set_size(draft->records, 0);
        g_hash_table_remove_all(draft->jobs);
        shard_draft_keep(batch, draft);
    }
}

/* A page is not written with this transaction: some marks are to leave it first. */
static void withdraw_draft(struct batch *batch, guint at)
{
    int number = ((struct draft *)batch->drafts->pdata[at])->number;
    shard_marks_move(batch->shard, number);
    batch->rest = true;
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, batch->shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *run = host->runs->pdata[i];
            if (run->record.page == number)
                run->record.in_txn = false;
        }
    g_ptr_array_remove_index(batch->drafts, at);
}

/* Withdraws the first draft that is too long already; false: there is none. */
static bool withdraw_long(struct batch *batch)
{
    for (guint i = 0; i < batch->drafts->len; i++)
        if (((struct draft *)batch->drafts->pdata[i])->over) {
            withdraw_draft(batch, i);
            return true;
        }
    return false;
}

/* Fills the drafts with what has to stay. Without one that was withdrawn, other pages may have to
 * keep records of tasks that are over: so all are filled once more. */
static void build_drafts(struct batch *batch)
{
    do
        keep_all(batch);
    while (withdraw_long(batch));
}

/* Finds room for a record on a page that is written, best where its job is already. */
static struct draft *draft_for(struct batch *batch, const struct page_rec *record, gsize most)
{
    for (int with_job = 1; with_job >= 0; with_job--)
        for (guint i = 0; i < batch->drafts->len; i++) {
            struct draft *draft = batch->drafts->pdata[i];
            if ((with_job == 0 || shard_draft_has_job(draft, record->job)) &&
                shard_draft_take(draft, record, most))
                return draft;
        }
    return NULL;
}

/* The page on which a machine's records are, or come to be with this transaction; -1: any. */
static int page_bound(const struct batch *batch, const struct host *host)
{
    if (!batch->plain)
        return -1;
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        if (run->record.in_txn && run->record.next_page >= 0)
            return run->record.next_page;
    }
    return shard_page_of_host(host);
}

bool shard_batch_put(struct batch *batch, struct host *host, struct run *run, gsize most)
{
    struct page_rec record = shard_record_of(host, run);
    int bound = page_bound(batch, host);
    struct draft *draft = bound >= 0 ? shard_draft_of(batch, bound) : NULL;
    if (bound >= 0 && (!draft || !shard_draft_take(draft, &record, most)))
        return false;
    if (bound < 0)
        draft = draft_for(batch, &record, most);
    if (!draft)
        return false;
    run->record.next_page = draft->number;
    run->record.in_txn = host->in_txn = draft->changed = true;
    return true;
}

/* Records a machine's new tasks, as far as there is room. */
static void batch_news(struct batch *batch, struct host *host)
{
    struct shard *shard = batch->shard;
    gsize most = shard_text_bytes(shard) - shard_text_bytes(shard) / MARKS_SHARE;
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        struct job *job = run->phase == RUN_NEW ? shard_live_job(shard, run->job) : NULL;
        if (!job)
            continue;
        shard_batch_describe(batch, host);
        if ((host->stamp.v || host->described || host->inventory >= 0 || shard_host_about(host)) &&
            batch_job(batch, job) && shard_batch_put(batch, host, run, most))
            run->record.tried = true;
        else
            batch->rest = true;
    }
}

static void each_host(struct batch *batch, void (*step)(struct batch *batch, struct host *host))
{
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, batch->shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        step(batch, host);
}

/* Machines that the transaction is about. */
static void batch_list(struct batch *batch, struct host *host)
{
    if (host->in_txn)
        g_ptr_array_add(batch->hosts, g_strdup(host->id.s));
}

void shard_batch_fill(struct batch *batch)
{
    shard_batch_choose(batch);
    int drafted[batch->drafts->len + 1];
    for (guint i = 0; i < batch->drafts->len; i++)
        drafted[i] = ((struct draft *)batch->drafts->pdata[i])->number;
    batch->rest = !shard_marks_place(batch->shard, drafted, batch->drafts->len) || batch->rest;
    build_drafts(batch);
    each_host(batch, shard_batch_adopt);
    each_host(batch, batch_news);
    each_host(batch, shard_batch_finish_host);
    each_host(batch, batch_list);
    for (guint i = 0; i < batch->drafts->len; i++)
        if (((struct draft *)batch->drafts->pdata[i])->changed)
            shard_draft_write(batch, batch->drafts->pdata[i]);
    for (guint i = 0; i < batch->sources->len; i++)
        shard_source_write(batch, batch->sources->pdata[i]);
}
