/* Chooses which pages a transaction writes: a survey of what waits to be written, and what of it
 * comes first. */
#include "record_batch_internal.h"

enum {
    NEW_WEIGHT = 1, /* a start that waits for a page, beside an end that has waited a second less */
    MARK_WEIGHT = 1,  /* and a mark */
    MOST_SOURCES = 4, /* pages of others that one transaction takes machines over from */
};

/* Parts of a page's length: */
enum {
    MORE_ROOM_SHARE = 4,  /* a page with so much room may take what is new */
    NEW_ROOM_SHARE = 5,   /* pages that are written anyway with so much room are enough for that */
    ADOPT_ROOM_SHARE = 2, /* and with so much, when machines are taken over as well */
};

/* What there is to be written. */
struct want {
    mono_time now;
    double *pages;      /* by number: how much is waited for them */
    bool unplaced;      /* starts, and marks for any page */
    GPtrArray *sources; /* struct page: of other nodes, that records are to be taken over from */
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

/* What one task waits for. */
static void survey_run(struct batch *batch, struct want *want, struct host *host,
                       const struct run *run)
{
    struct shard *shard = batch->shard;
    struct page *source = shard_source_of(shard, host, run);
    int bound = batch->plain ? shard_page_of_host(host) : -1;
    if (source && !g_ptr_array_find(want->sources, source, NULL) &&
        shard_source_fits(shard, source, batch->plain))
        g_ptr_array_add(want->sources, source);
    if (run->phase == RUN_FREEING && run->record.page >= 0)
        want->pages[run->record.page] += 1 + (double)time_ms_since(want->now, run->over_at) / 1000;
    if (source && bound >= 0)
        want->pages[bound] += NEW_WEIGHT;
    if (run->phase == RUN_NEW && bound >= 0)
        want->pages[bound] += NEW_WEIGHT;
    want->unplaced = want->unplaced || (run->phase == RUN_NEW && bound < 0);
}

/* What all tasks and marks wait for. */
static void survey(struct batch *batch, struct want *want)
{
    struct shard *shard = batch->shard;
    GHashTableIter it;
    struct host *host;
    want->now = loop_now(shard->loop);
    want->pages = g_new0(double, shard->pages->len + 1);
    want->sources = g_ptr_array_new();
    want->unplaced = false;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        drop_dead_news(shard, host);
        for (guint i = 0; i < host->runs->len; i++)
            survey_run(batch, want, host, host->runs->pdata[i]);
    }
    want->unplaced = shard_marks_want(shard, want->pages, MARK_WEIGHT) || want->unplaced;
}

/* A number that no page has, or that of one that is empty. */
static int page_unused(struct shard *shard, const struct batch *batch)
{
    int number = 0;
    while (number < (int)shard->pages->len &&
           (!shard_own_page_empty(shard, number) || shard_draft_of(batch, number)))
        number++;
    shard_own_page(shard, number);
    return number;
}

/* The page with the most room; a new one if they are all quite full. */
static int page_for_more(struct shard *shard, const struct batch *batch)
{
    gsize most = shard_text_bytes(shard) / MORE_ROOM_SHARE;
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
static int most_wanted(struct batch *batch, const struct want *want, guint pages)
{
    int best = -1;
    for (guint i = 0; i < pages; i++)
        if (want->pages[i] > 0 && (best < 0 || want->pages[i] > want->pages[best]) &&
            !shard_draft_of(batch, (int)i) && !shard_own_page_long(batch->shard, (int)i))
            best = (int)i;
    return best;
}

/* From which pages of other nodes machines are taken over: most of them, another first each time.
 */
static void choose_sources(struct batch *batch, const struct want *want, guint most)
{
    struct shard *shard = batch->shard;
    guint all = want->sources->len;
    guint chosen = MIN(MIN(all, MOST_SOURCES), most);
    for (guint i = 0; i < chosen; i++)
        g_ptr_array_add(batch->sources, want->sources->pdata[(i + shard->first_source) % all]);
    batch->rest = chosen < all;
    shard->first_source++;
}

/* Which pages are written: most of them. */
static void choose_drafts(struct batch *batch, const struct want *want, guint most)
{
    struct shard *shard = batch->shard;
    guint pages = shard->pages->len;
    bool adopts = batch->sources->len > 0;
    bool more = want->unplaced || adopts;
    gsize room = 0;
    gsize enough = shard_text_bytes(shard) / (adopts ? ADOPT_ROOM_SHARE : NEW_ROOM_SHARE);
    int number;
    while (batch->drafts->len < most - (more && room < enough) &&
           (number = most_wanted(batch, want, pages)) >= 0) {
        shard_draft_open(batch, number);
        room += shard_page_room(shard, number);
    }
    batch->rest = batch->rest || most_wanted(batch, want, pages) >= 0;
    if (more && room < enough)
        shard_draft_open(batch, page_for_more(shard, batch));
}

void shard_batch_choose(struct batch *batch)
{
    const struct store_limits *limits = store_limits(batch->shard->store);
    guint operations = (guint)limits->txn_ops;
    guint drafts = (guint)MAX(limits->txn_ops / 2, 1);
    drafts = MIN(drafts, (guint)MAX(BATCH_BYTES / limits->value_bytes, 1));
    struct want want;
    survey(batch, &want);
    choose_sources(batch, &want, operations - drafts - 1);
    choose_drafts(batch, &want, drafts);
    batch->spare = limits->txn_ops - (int)(batch->drafts->len + batch->sources->len);
    g_free(want.pages);
    g_ptr_array_unref(want.sources);
}
