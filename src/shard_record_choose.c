/* Chooses which pages a transaction writes: a survey of what waits to be written, and what of it
 * comes first. */
#include "shard_batch.h"

enum {
    NEW_WEIGHT = 1, /* a start that waits for a page, beside an end that has waited a second less */
    MARK_WEIGHT = 1,  /* and a mark */
    MOST_SOURCES = 4, /* pages of others that one transaction takes machines over from */
};

/* What there is to be written. */
struct want {
    double *pages; /* by number: how much is waited for them */
    bool unplaced; /* starts, and marks for any page */
    GPtrArray *sources;
};

/* Runs of jobs that were cancelled before their record was written: nothing was started. */
static void drop_dead_news(struct shard *shard, struct host *host)
{
    for (guint i = 0; i < host->runs->len;) {
        struct run *run = host->runs->pdata[i];
        if (run->phase == RUN_NEW && !shard_live_job(shard, run->job))
            shard_run_remove(shard, host, i);
        else
            i++;
    }
}

static void survey(struct batch *batch, struct want *want)
{
    struct shard *shard = batch->shard;
    GHashTableIter it;
    struct host *host;
    mono_time now = loop_now(shard->loop);
    want->pages = g_new0(double, shard->pages->len + 1);
    want->sources = g_ptr_array_new();
    want->unplaced = false;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        drop_dead_news(shard, host);
        for (guint i = 0; i < host->runs->len; i++) {
            const struct run *run = host->runs->pdata[i];
            struct page *source = shard_source_of(shard, host, run);
            if (source && !g_ptr_array_find(want->sources, source, NULL) &&
                shard_source_fits(shard, source, batch->plain))
                g_ptr_array_add(want->sources, source);
            if (run->phase == RUN_FREEING && run->record.page >= 0)
                want->pages[run->record.page] +=
                    1 + (double)time_ms_since(now, run->over_at) / 1000;
            if (source && batch->plain && shard_page_of_host(host) >= 0)
                want->pages[shard_page_of_host(host)] += NEW_WEIGHT;
            if (run->phase == RUN_NEW) {
                int page = batch->plain ? shard_page_of_host(host) : -1;
                want->unplaced = want->unplaced || page < 0;
                if (page >= 0)
                    want->pages[page] += NEW_WEIGHT;
            }
        }
    }
    want->unplaced = shard_marks_want(shard, want->pages, MARK_WEIGHT) || want->unplaced;
}

/* A number that no page has, or that of one that is empty. */
static int page_unused(struct shard *shard, const struct batch *batch)
{
    int n = 0;
    while (n < (int)shard->pages->len &&
           (!shard_own_page_empty(shard, n) || shard_draft_of(batch, n)))
        n++;
    shard_own_page(shard, n);
    return n;
}

/* The page with the most room; a new one if they are all quite full. */
static int page_for_more(struct shard *shard, const struct batch *batch)
{
    gsize most = shard_text_bytes(shard) / 4;
    int best = -1;
    for (guint i = 0; i < shard->pages->len; i++) {
        gsize room = shard_draft_of(batch, (int)i) ? 0 : shard_page_room(shard, (int)i);
        if (room >= most) {
            most = room + 1;
            best = (int)i;
        }
    }
    return best >= 0 ? best : page_unused(shard, batch);
}

/* The page for which most is waited, and that is not among those to be written; -1: none. */
static int most_wanted(struct batch *batch, const struct want *want, guint n)
{
    int best = -1;
    for (guint i = 0; i < n; i++)
        if (want->pages[i] > 0 && (best < 0 || want->pages[i] > want->pages[best]) &&
            !shard_draft_of(batch, (int)i) && !shard_own_page_long(batch->shard, (int)i))
            best = (int)i;
    return best;
}

/* Which pages are written, and from which of other nodes machines are taken over. */
static void choose_pages(struct batch *batch, const struct want *want)
{
    struct shard *shard = batch->shard;
    const struct store_limits *limits = store_limits(shard->store);
    guint n = shard->pages->len, most = (guint)MAX(limits->txn_ops / 2, 1);
    most = MIN(most, (guint)MAX(BATCH_BYTES / limits->value_bytes, 1));
    guint sources = MIN(MIN(want->sources->len, MOST_SOURCES), (guint)limits->txn_ops - most - 1);
    for (guint i = 0; i < sources; i++)
        g_ptr_array_add(batch->sources,
                        want->sources->pdata[(i + shard->first_source) % want->sources->len]);
    batch->rest = sources < want->sources->len;
    shard->first_source++;
    gsize room = 0, enough = shard_text_bytes(shard) / (sources ? 2 : 5);
    bool more = want->unplaced || sources;
    for (int i; batch->drafts->len < most - (more && room < enough) &&
                (i = most_wanted(batch, want, n)) >= 0;) {
        shard_draft_open(batch, i);
        room += shard_page_room(shard, i);
    }
    batch->rest = batch->rest || most_wanted(batch, want, n) >= 0;
    if (more && room < enough)
        shard_draft_open(batch, page_for_more(shard, batch));
    batch->spare = limits->txn_ops - (int)(batch->drafts->len + batch->sources->len);
}

void shard_batch_choose(struct batch *batch)
{
    struct want want;
    survey(batch, &want);
    choose_pages(batch, &want);
    g_free(want.pages);
    g_ptr_array_unref(want.sources);
}
