#include "shard_state.h"

#include "log.h"

#include <math.h>

enum {
    FLUSH_MS = 4,
    RETRY_MS = 120,
    VALUE_BYTES = 32, /* of a page's value besides its texts */
    TXN_BYTES = 48 * 1024,
    DESCRIBE_MS = 30000, /* a machine's images are written again no sooner */
    BURST = 6,           /* writes that may be made at once after a pause */
    NEW_WEIGHT = 1, /* a start that waits for a page, beside an end that has waited a second less */
    MARK_WEIGHT = 1,  /* and a mark */
    MOST_SOURCES = 4, /* pages of others that one transaction takes machines over from */
};

/* Of the writes that the state service allows, as much as all nodes' records may use. */
static const double RECORDS_SHARE = 0.8;

void shard_flush_soon(struct shard *shard)
{
    if (!shard->txn_out && !shard->flush.place)
        timer_start(shard->loop, &shard->flush, FLUSH_MS);
}

gsize shard_text_bytes(const struct shard *shard)
{
    return store_limits(shard->store)->value_bytes - VALUE_BYTES;
}

bool shard_page_long(const struct shard *shard, const struct page *page)
{
    return page->bytes > shard_text_bytes(shard);
}

/* Nodes of version 0 know of one page a machine, and of marks that begin with their chunk. */
bool shard_plain(const struct shard *shard)
{
    return !membership_all_understand(shard->members);
}

/* ---- pages ---- */

void shard_page_free(gpointer q)
{
    struct own_page *page = q;
    g_array_unref(page->leftover);
    g_free(page);
}

static struct own_page *page_at(struct shard *shard, int number)
{
    while ((int)shard->pages->len <= number) {
        struct own_page *page = g_new0(struct own_page, 1);
        page->leftover = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
        g_ptr_array_add(shard->pages, page);
    }
    return shard->pages->pdata[number];
}

static struct page *page_seen(struct shard *shard, int number)
{
    char *key = key_page(shard->settings->label, number);
    struct page *page = g_hash_table_lookup(shard->view->pages, key);
    g_free(key);
    return page;
}

/* A page from when more was allowed: it is split before it can be written again. */
static bool own_long(struct shard *shard, int number)
{
    struct page *page = page_seen(shard, number);
    return page && shard_page_long(shard, page);
}

void shard_dirty(struct shard *shard)
{
    shard->dirty = true;
    shard_flush_soon(shard);
}

/* The page of ours that a machine's records are on; -1: none. */
static int page_of_host(const struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        if (run->phase != RUN_GONE && run->page >= 0)
            return run->page;
    }
    return -1;
}

/* What a page says of a machine that has no record of its own yet. */
static const char *about_host(struct host *host)
{
    if (host->stamp.v || host->described || host->inventory >= 0)
        return NULL;
    if (!host->about)
        host->about = machine_about(host->addr, host->type_name, host->zone, host->spot);
    return host->about;
}

static struct page_rec rec_of(struct host *host, const struct run *run)
{
    return (struct page_rec){host->id, run->job, run->attempt, run->index, about_host(host)};
}

/* Whether one more task can be recorded on the machine. Any page will do, unless a node that knows
 * of one page a machine may come to read it. */
bool shard_record_has_room(struct shard *shard, struct host *host, job_id job)
{
    if (!shard_plain(shard))
        return true;
    for (guint i = 0; i < host->runs->len; i++)
        if (((struct run *)host->runs->pdata[i])->foreign)
            return false;
    int page = page_of_host(host);
    if (page < 0)
        return true;
    struct page_rec record = {host->id, job, {UINT64_MAX}, 99999, about_host(host)};
    return !own_long(shard, page) &&
           page_at(shard, page)->bytes + page_cost(&record, false, false) <=
               shard_text_bytes(shard);
}

void shard_record_new(struct shard *shard, struct host *host, job_id job)
{
    int page = page_of_host(host);
    struct page_rec record = {host->id, job, {UINT64_MAX}, 99999, about_host(host)};
    if (page >= 0)
        page_at(shard, page)->bytes += page_cost(&record, false, false);
    shard_dirty(shard);
}

/* ---- agreement with the view ---- */

static void page_sync(struct shard *shard, int number)
{
    struct own_page *page = page_at(shard, number);
    struct page *v = page_seen(shard, number);
    page->stamp = v ? v->stamp : (revision){0};
    g_array_set_size(page->leftover, 0);
    for (guint i = 0; v && i < v->tasks->len; i++) {
        struct placed *placed = v->tasks->pdata[i];
        if (shard_host_get(shard, placed->host->id.s))
            continue;
        struct page_rec record = {placed->host->id, placed->job->id, placed->attempt, placed->index,
                                  NULL};
        g_array_append_val(page->leftover, record);
    }
    if (v && v->done)
        shard_marks_read(shard, v->done, number);
    page->bytes = v ? v->bytes : 0;
}

static void hosts_sync(struct shard *shard, int page)
{
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        shard_host_sync(shard, host, page);
    shard->dirty = true;
}

void shard_records_sync(struct shard *shard)
{
    GHashTableIter it;
    struct page *page;
    g_hash_table_iter_init(&it, shard->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (strcmp(page->label, shard->settings->label) == 0)
            page_at(shard, page->number);
    for (guint i = 0; i < shard->pages->len; i++)
        page_sync(shard, (int)i);
    shard_inventories_sync(shard);
    hosts_sync(shard, -1);
}

/* Somebody wrote a page of ours: another owner took machines over, or it was us, with an answer
 * that got lost. */
void shard_page_changed(struct shard *shard, const char *key)
{
    struct page *page = g_hash_table_lookup(shard->view->pages, key);
    if (shard->txn_out || !page || strcmp(page->label, shard->settings->label) != 0 ||
        page->stamp.v <= page_at(shard, page->number)->stamp.v)
        return;
    page_sync(shard, page->number);
    hosts_sync(shard, page->number);
}

/* ---- transactions ---- */

/* A page of ours that is being written. */
struct draft {
    int number;
    GArray *records;  /* struct page_rec */
    GHashTable *jobs; /* "JOB" and "JOB ATTEMPT" that it has records of */
    struct marks_on marks;
    gsize used; /* bytes that its texts take at most, with the room that marks may still take */
    bool over;  /* even what has to stay is too long */
    bool changed;
};

struct batch {
    struct shard *shard;
    uint64_t generation;
    bool plain;
    GPtrArray *hosts;   /* char *: ids */
    struct txn *txn;    /* while it is made */
    GHashTable *jobs;   /* that it is conditioned on */
    GPtrArray *drafts;  /* struct draft */
    GPtrArray *sources; /* struct page: of other nodes, from which machines are taken over */
    int spare;          /* writes that are left for what machines are */
    bool rest;          /* something waits for the next one */
};

static void draft_free(gpointer q)
{
    struct draft *draft = q;
    g_array_unref(draft->records);
    g_hash_table_unref(draft->jobs);
    g_string_free(draft->marks.text, TRUE);
    g_free(draft);
}

static void batch_free(struct batch *batch)
{
    g_ptr_array_unref(batch->hosts);
    g_hash_table_unref(batch->jobs);
    g_ptr_array_unref(batch->drafts);
    g_ptr_array_unref(batch->sources);
    g_free(batch);
}

static json_object *host_value(const struct host *host, gsize most)
{
    json_object *object = json_object_new_object(), *images = json_object_new_array();
    json_put_text(object, "a", host->addr);
    json_put_text(object, "b", host->type_name);
    json_put_text(object, "y", host->zone);
    json_object_object_add(object, "l", json_object_new_boolean(host->spot));
    /* The newest images, as far as there is room. */
    guint first = host->images->len;
    for (gsize used = value_size(object) + 16; first > 0; first--) {
        used += 2 * strlen(host->images->pdata[first - 1]) + 4;
        if (used > most)
            break;
    }
    for (guint i = first; i < host->images->len; i++)
        json_object_array_add(images, json_object_new_string(host->images->pdata[i]));
    json_object_object_add(object, "i", images);
    return object;
}

static bool batch_spare(const struct batch *batch)
{
    return (int)txn_writes(batch->txn) < batch->spare;
}

/* Gives the machine a record of its own, or a new one, if there are writes to spare for that; else
 * its pages say what it is. A write for each of many new machines would hold their tasks up. */
static void batch_describe(struct batch *batch, struct host *host)
{
    struct shard *shard = batch->shard;
    mono_time now = loop_now(shard->loop);
    bool due =
        !host->stamp.v || (host->new_images && time_ms_since(now, host->stored) > DESCRIBE_MS);
    if (host->gone || host->described || !host->addr[0] || !due || !batch_spare(batch) ||
        txn_bytes(batch->txn) > TXN_BYTES / 4)
        return;
    bool must = !host->stamp.v && host->inventory < 0 && !about_host(host);
    if (shard->write_level - txn_writes(batch->txn) <= BURST / 2.0 && !must)
        return;
    char *key = key_host(host->id);
    txn_when(batch->txn, key, host->stamp);
    txn_set(batch->txn, key, host_value(host, store_limits(shard->store)->value_bytes),
            (lease_id){0});
    g_free(key);
    host->described = host->in_txn = true;
    host->new_images = false;
    host->stored = now;
}

/* Takes a machine that is gone off the records. Many may go at once, in a wave of returns, so the
 * rest wait for the next transaction: one with too many writes is refused for ever. */
static void batch_forget(struct batch *batch, struct host *host)
{
    if (!batch_spare(batch)) {
        batch->rest = true;
        return;
    }
    char *key = key_host(host->id);
    txn_when(batch->txn, key, host->stamp);
    txn_remove(batch->txn, key);
    g_free(key);
    host->removing = host->in_txn = true;
}

/* A start may be recorded while its job is as it was seen. */
static bool batch_job(struct batch *batch, const struct job *job)
{
    if (job->waits)
        return false; /* nothing starts before what it needs is durably done */
    if (g_hash_table_contains(batch->jobs, job->id.s))
        return true;
    guint most = 4 * (guint)store_limits(batch->shard->store)->txn_ops;
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

/* ---- drafts ---- */

static struct draft *draft_of(const struct batch *batch, int number)
{
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct draft *draft = batch->drafts->pdata[i];
        if (draft->number == number)
            return draft;
    }
    return NULL;
}

static bool is_drafted(const void *batch, int page)
{
    return draft_of(batch, page) != NULL;
}

static struct draft *draft_open(struct batch *batch, int number)
{
    struct draft *draft = g_new0(struct draft, 1);
    draft->number = number;
    draft->records = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    draft->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    draft->marks.text = g_string_new(NULL);
    page_at(batch->shard, number);
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

static bool draft_has_job(const struct draft *draft, job_id job)
{
    return g_hash_table_contains(draft->jobs, job.s);
}

/* Adds a record that was not on the page, if there is room. What is reckoned is never too little.
 */
static bool draft_take(struct draft *draft, const struct page_rec *record, gsize most)
{
    char *attempt = g_strdup_printf("%s %" G_GUINT64_FORMAT, record->job.s, record->attempt.v);
    gsize cost = page_cost(record, draft_has_job(draft, record->job),
                           g_hash_table_contains(draft->jobs, attempt));
    g_free(attempt);
    if (draft->used + cost > most)
        return false;
    draft->used += cost;
    draft_add(draft, record);
    return true;
}

/* What has to stay on a page, whatever else goes there. */
static void draft_keep(struct batch *batch, struct draft *draft)
{
    struct shard *shard = batch->shard;
    struct own_page *page = page_at(shard, draft->number);
    shard_marks_write(shard, draft->number, batch->plain, &draft->marks);
    draft->changed = draft->marks.dirty;
    draft->used = draft->marks.text->len + draft->marks.growth;
    for (guint i = 0; i < page->leftover->len; i++) {
        struct page_rec r = g_array_index(page->leftover, struct page_rec, i);
        r.about = view_about(shard->view, r.host.s);
        draft_add(draft, &r);
    }
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *r = host->runs->pdata[i];
            if (r->page != draft->number || (r->phase != RUN_RECORDED && r->phase != RUN_FREEING))
                continue;
            r->next_page = -1;
            r->in_txn =
                r->phase == RUN_FREEING && shard_mark_written(batch->shard, r, is_drafted, batch);
            host->in_txn = host->in_txn || r->in_txn;
            draft->changed = draft->changed || r->in_txn;
            if (r->in_txn)
                continue;
            struct page_rec rec = rec_of(host, r);
            draft_add(draft, &rec);
        }
    gsize least;
    draft->used += page_length(draft->records, batch->plain, &least);
    draft->over = least + draft->marks.text->len > shard_text_bytes(shard);
}

void shard_page_keep(struct shard *shard, int number, gsize bytes)
{
    page_at(shard, number)->bytes += bytes;
}

gsize shard_page_room(struct shard *shard, int number)
{
    gsize most = shard_text_bytes(shard),
          used = page_at(shard, number)->bytes + shard_marks_growth(shard, number);
    return own_long(shard, number) || used > most ? 0 : most - used;
}

/* A number that no page has, or that of one that is empty. */
static int page_unused(struct shard *shard, const struct batch *batch)
{
    int n = 0;
    while (n < (int)shard->pages->len && (page_at(shard, n)->bytes || page_seen(shard, n) ||
                                          draft_of(batch, n) || own_long(shard, n)))
        n++;
    page_at(shard, n);
    return n;
}

/* The page with the most room; a new one if they are all quite full. */
static int page_for_more(struct shard *shard, const struct batch *batch)
{
    gsize most = shard_text_bytes(shard) / 4;
    int best = -1;
    for (guint i = 0; i < shard->pages->len; i++) {
        gsize room = draft_of(batch, (int)i) ? 0 : shard_page_room(shard, (int)i);
        if (room >= most) {
            most = room + 1;
            best = (int)i;
        }
    }
    return best >= 0 ? best : page_unused(shard, batch);
}

/* ---- what goes into a transaction ---- */

/* Whether machines may be taken over from another node's page as it is. A long page has to be split
 * first, but for one of a node of version 0 that goes on writing it: while nobody has seen that
 * less is allowed, what is left of it is not longer than it was. After that, copies may be on their
 * way from a long page to others of its node: none of these is touched. */
static bool source_fits(struct shard *shard, const struct page *page, bool plain)
{
    const struct store_limits *limits = store_limits(shard->store);
    if (!plain && shard_label_long(shard, page->label))
        return false;
    if (!shard_page_long(shard, page))
        return true;
    const struct node_record *node_record = g_hash_table_lookup(shard->view->nodes, page->label);
    return plain && node_record && node_record->version < NODE_VERSION && !limits->lowered;
}

/* The page of another node that a run's record is on. That is looked up each time: a long page may
 * have been split meanwhile, and taking it off a page where it is no more would leave it on two. */
static struct page *source_of(struct shard *shard, const struct host *host, const struct run *run)
{
    struct job *job =
        run->foreign && run->phase != RUN_GONE ? view_job(shard->view, run->job.s) : NULL;
    struct placed *placed = job ? job_placed(job, run->index) : NULL;
    bool there =
        placed && placed->attempt.v == run->attempt.v && host_eq(placed->host->id, host->id);
    return there && strcmp(placed->page->label, shard->settings->label) != 0 ? placed->page : NULL;
}

/* What there is to be written. */
struct want {
    double *pages; /* by number: how much is waited for them */
    bool unplaced; /* starts, and marks for any page */
    GPtrArray *sources;
};

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
            struct page *source = source_of(shard, host, run);
            if (source && !g_ptr_array_find(want->sources, source, NULL) &&
                source_fits(shard, source, batch->plain))
                g_ptr_array_add(want->sources, source);
            if (run->phase == RUN_FREEING && run->page >= 0)
                want->pages[run->page] += 1 + (double)time_ms_since(now, run->over_at) / 1000;
            if (source && batch->plain && page_of_host(host) >= 0)
                want->pages[page_of_host(host)] += NEW_WEIGHT;
            if (run->phase == RUN_NEW) {
                int page = batch->plain ? page_of_host(host) : -1;
                want->unplaced = want->unplaced || page < 0;
                if (page >= 0)
                    want->pages[page] += NEW_WEIGHT;
            }
        }
    }
    want->unplaced = shard_marks_want(shard, want->pages, MARK_WEIGHT) || want->unplaced;
}

/* The page for which most is waited, and that is not among those to be written; -1: none. */
static int most_wanted(struct batch *batch, const struct want *want, guint n)
{
    int best = -1;
    for (guint i = 0; i < n; i++)
        if (want->pages[i] > 0 && (best < 0 || want->pages[i] > want->pages[best]) &&
            !draft_of(batch, (int)i) && !own_long(batch->shard, (int)i))
            best = (int)i;
    return best;
}

/* Which pages are written: those for which most is waited, and one with room for what is new if
 * they have none. */
static void choose(struct batch *batch, const struct want *want)
{
    struct shard *shard = batch->shard;
    const struct store_limits *limits = store_limits(shard->store);
    guint n = shard->pages->len, most = (guint)MAX(limits->txn_ops / 2, 1);
    most = MIN(most, (guint)MAX(TXN_BYTES / limits->value_bytes, 1));
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
        draft_open(batch, i);
        room += shard_page_room(shard, i);
    }
    batch->rest = batch->rest || most_wanted(batch, want, n) >= 0;
    if (more && room < enough)
        draft_open(batch, page_for_more(shard, batch));
    batch->spare = limits->txn_ops - (int)(batch->drafts->len + batch->sources->len);
}

/* Drafts with what has to stay. One that is too long already is not written now. */
static void batch_build(struct batch *batch)
{
    bool again = true;
    while (again) {
        again = false;
        for (guint i = 0; i < batch->drafts->len; i++) {
            struct draft *draft = batch->drafts->pdata[i];
            g_array_set_size(draft->records, 0);
            g_hash_table_remove_all(draft->jobs);
            draft_keep(batch, draft);
        }
        for (guint i = 0; i < batch->drafts->len && !again; i++) {
            struct draft *draft = batch->drafts->pdata[i];
            if (!draft->over)
                continue;
            shard_marks_move(batch->shard, draft->number);
            batch->rest = true;
            GHashTableIter it;
            struct host *host;
            g_hash_table_iter_init(&it, batch->shard->hosts);
            while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
                for (guint k = 0; k < host->runs->len; k++) {
                    struct run *run = host->runs->pdata[k];
                    run->in_txn = run->in_txn && run->page != draft->number;
                }
            g_ptr_array_remove_index(batch->drafts, i);
            again = true;
        }
    }
}

/* Finds room for a record on a page that is written, best where its job is already. */
static struct draft *draft_for(struct batch *batch, const struct page_rec *rec, gsize most)
{
    for (int with_job = 1; with_job >= 0; with_job--)
        for (guint i = 0; i < batch->drafts->len; i++) {
            struct draft *draft = batch->drafts->pdata[i];
            if ((with_job == 0 || draft_has_job(draft, rec->job)) && draft_take(draft, rec, most))
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
        if (run->in_txn && run->next_page >= 0)
            return run->next_page;
    }
    return page_of_host(host);
}

/* A record comes to a page that is written. */
static bool batch_put(struct batch *batch, struct host *host, struct run *run, gsize most)
{
    struct page_rec rec = rec_of(host, run);
    int bound = page_bound(batch, host);
    struct draft *draft = bound >= 0 ? draft_of(batch, bound) : NULL;
    if (bound >= 0 && (!draft || !draft_take(draft, &rec, most)))
        return false;
    if (bound < 0)
        draft = draft_for(batch, &rec, most);
    if (!draft)
        return false;
    run->next_page = draft->number;
    run->in_txn = host->in_txn = draft->changed = true;
    return true;
}

/* Takes a machine's records over from other nodes' pages, each in the transaction that takes it off
 * there. Where a machine may have one page only, all of them or none. */
static void batch_adopt(struct batch *batch, struct host *host)
{
    gsize most = shard_text_bytes(batch->shard);
    bool whole = true;
    for (guint i = 0; i < host->runs->len && whole; i++) {
        struct run *run = host->runs->pdata[i];
        struct page *source = source_of(batch->shard, host, run);
        if (!source || !g_ptr_array_find(batch->sources, source, NULL))
            continue;
        run->next_page = -1;
        if (run->phase == RUN_FREEING && shard_mark_written(batch->shard, run, is_drafted, batch))
            run->in_txn = host->in_txn = true;
        else if (!batch_put(batch, host, run, most))
            whole = !batch->plain;
        batch->rest = batch->rest || !run->in_txn;
    }
    for (guint i = 0; i < host->runs->len && !whole; i++) {
        struct run *run = host->runs->pdata[i];
        struct draft *draft = run->foreign && run->in_txn ? draft_of(batch, run->next_page) : NULL;
        for (guint k = 0; draft && k < draft->records->len; k++) {
            const struct page_rec *rec = &g_array_index(draft->records, struct page_rec, k);
            if (host_eq(rec->host, host->id) && job_eq(rec->job, run->job) &&
                rec->index == run->index) {
                g_array_remove_index(draft->records, k);
                break;
            }
        }
        if (run->foreign)
            run->in_txn = false;
    }
}

static void batch_news(struct batch *batch, struct host *host)
{
    struct shard *shard = batch->shard;
    /* Some room is left on a page for marks. */
    gsize most = shard_text_bytes(shard) - shard_text_bytes(shard) / 8;
    for (guint i = 0; i < host->runs->len; i++) {
        struct run *run = host->runs->pdata[i];
        struct job *job = run->phase == RUN_NEW ? shard_live_job(shard, run->job) : NULL;
        if (!job)
            continue;
        batch_describe(batch, host);
        if ((host->stamp.v || host->described || host->inventory >= 0 || about_host(host)) &&
            batch_job(batch, job) && batch_put(batch, host, run, most))
            run->tried = true;
        else
            batch->rest = true;
    }
}

/* Its record goes with its last task, as the pages would have to say what it is again. */
static void batch_last(struct batch *batch, struct host *host)
{
    bool stays = false;
    for (guint i = 0; i < host->runs->len; i++) {
        const struct run *run = host->runs->pdata[i];
        stays = stays || (run->phase != RUN_GONE &&
                          !(run->phase == RUN_FREEING && run->in_txn && run->next_page < 0));
    }
    if (host->gone && host->stamp.v && !stays)
        batch_forget(batch, host);
    host->in_txn = host->in_txn || (host->gone && !stays);
    if (!host->gone && shard_host_has_run(host))
        batch_describe(batch, host);
}

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

/* The page of another node without the records that this transaction takes over. */
static void batch_source(struct batch *batch, struct page *page)
{
    struct shard *shard = batch->shard;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    guint taken = 0;
    for (guint i = 0; i < page->tasks->len; i++) {
        struct placed *placed = page->tasks->pdata[i];
        struct host *host = shard_host_get(shard, placed->host->id.s);
        struct run *run =
            host ? shard_run_find(host, placed->job->id, placed->index, placed->attempt) : NULL;
        if (run && run->in_txn && run->foreign) {
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

static void batch_write(struct batch *batch, struct draft *draft)
{
    struct shard *shard = batch->shard;
    struct own_page *page = page_at(shard, draft->number);
    GString *text = page_write(draft->records, batch->plain);
    char *key = key_page(shard->settings->label, draft->number);
    if (text->len + draft->marks.text->len > shard_text_bytes(shard))
        LOG_ERROR("page_too_long", "page=%s bytes=%zu", key, text->len + draft->marks.text->len);
    shard_page_set(batch->txn, key, page->stamp, text->str, draft->marks.text->str);
    page->bytes = text->len + draft->marks.text->len;
    g_free(key);
    g_string_free(text, TRUE);
}

static void each_host(struct batch *batch, void (*f)(struct batch *batch, struct host *host))
{
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, batch->shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        f(batch, host);
}

static void batch_list(struct batch *batch, struct host *host)
{
    if (host->in_txn)
        g_ptr_array_add(batch->hosts, g_strdup(host->id.s));
}

/* Puts what has changed into a transaction: what machines are, then pages, then the pages of other
 * nodes without what was taken over from them. In this order whoever reads it never misses a task.
 */
static void batch_fill(struct batch *batch)
{
    struct want want;
    survey(batch, &want);
    choose(batch, &want);
    g_free(want.pages);
    g_ptr_array_unref(want.sources);
    int drafted[batch->drafts->len + 1];
    for (guint i = 0; i < batch->drafts->len; i++)
        drafted[i] = ((struct draft *)batch->drafts->pdata[i])->number;
    batch->rest = !shard_marks_place(batch->shard, drafted, batch->drafts->len) || batch->rest;
    batch_build(batch);
    each_host(batch, batch_adopt);
    each_host(batch, batch_news);
    each_host(batch, batch_last);
    each_host(batch, batch_list);
    for (guint i = 0; i < batch->drafts->len; i++)
        if (((struct draft *)batch->drafts->pdata[i])->changed)
            batch_write(batch, batch->drafts->pdata[i]);
    for (guint i = 0; i < batch->sources->len; i++)
        batch_source(batch, batch->sources->pdata[i]);
}

/* ---- what became of it ---- */

/* How long starts and ends wait for their records: it shows when writes are scarce. */
static void note_wait(struct shard *shard, const struct run *run)
{
    mono_time now = loop_now(shard->loop);
    if (run->phase == RUN_NEW) {
        shard->waits.starts++;
        shard->waits.starts_ms += (double)time_ms_since(now, run->placed_at);
    } else if (run->phase == RUN_FREEING && run->next_page < 0) {
        shard->waits.ends++;
        shard->waits.ends_ms += (double)time_ms_since(now, run->over_at);
    }
}

void shard_log_waits(struct shard *shard)
{
    if (log_debug_on() && shard->waits.writes)
        LOG_DEBUG("records", "writes=%u starts=%u wait_ms=%.0f ends=%u wait_ms=%.0f pages=%u",
                  shard->waits.writes, shard->waits.starts,
                  shard->waits.starts_ms / MAX(shard->waits.starts, 1), shard->waits.ends,
                  shard->waits.ends_ms / MAX(shard->waits.ends, 1), shard->pages->len);
    memset(&shard->waits, 0, sizeof shard->waits);
}

static void batch_settled(struct shard *shard, struct host *host, const struct txn_outcome *outcome)
{
    if (host->removing)
        host->stamp = (revision){0};
    else if (host->described)
        host->stamp = outcome->at;
    host->described = host->removing = false;
    for (guint i = 0; i < host->runs->len;) {
        struct run *run = host->runs->pdata[i];
        if (!run->in_txn) {
            i++;
            continue;
        }
        run->in_txn = false;
        run->page = run->next_page;
        run->foreign = false;
        note_wait(shard, run);
        if (run->phase == RUN_NEW) {
            run->phase = RUN_RECORDED;
            shard_run_apply_job(shard, run);
        } else if (run->phase == RUN_FREEING && run->next_page < 0) {
            shard_run_unbook(shard, host, run);
            run->phase = RUN_GONE;
            if (!run->seen) {
                g_ptr_array_remove_index_fast(host->runs, i);
                continue;
            }
        }
        i++;
    }
    if (host->gone && !host->stamp.v && !shard_host_has_run(host)) {
        g_hash_table_remove(shard->hosts, host->id.s);
    } else if (host->gone) {
        /* It went while this was being written; what was just recorded went with it. */
        shard_free_all_runs(shard, host, "returned");
        shard_dirty(shard);
    } else {
        shard_push(shard, host);
    }
}

static void batch_over(struct batch *batch)
{
    struct shard *shard = batch->shard;
    shard->txn_out = false;
    for (guint i = 0; i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            host->in_txn = false;
    }
}

static void batch_done(struct batch *batch, const struct txn_outcome *outcome)
{
    struct shard *shard = batch->shard;
    for (guint i = 0; i < batch->drafts->len; i++) {
        struct draft *draft = batch->drafts->pdata[i];
        if (draft->changed)
            page_at(shard, draft->number)->stamp = outcome->at;
    }
    shard_marks_durable(shard, is_drafted, batch);
    batch_over(batch);
    for (guint i = 0; i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            batch_settled(shard, host, outcome);
    }
    shard->dirty = shard->dirty || batch->rest;
    batch_free(batch);
    shard_place_all(shard);
    shard_flush_soon(shard);
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void batch_resync(void *arg, bool ok)
{
    struct batch *batch = arg;
    struct shard *shard = batch->shard;
    bool current = batch->generation == shard->generation;
    shard->dirty = true;
    batch_over(batch);
    for (guint i = 0; current && i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (!host)
            continue;
        host->new_images = host->new_images || host->described;
        host->described = host->removing = false;
        for (guint k = 0; k < host->runs->len; k++)
            ((struct run *)host->runs->pdata[k])->in_txn = false;
    }
    if (current && ok)
        shard_records_sync(shard);
    for (guint i = 0; current && i < batch->hosts->len; i++) {
        struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
        if (host)
            shard_push(shard, host);
    }
    timer_start(shard->loop, &shard->flush, ok ? FLUSH_MS : RETRY_MS);
    batch_free(batch);
}

static void batch_answered(void *arg, const struct txn_outcome *outcome)
{
    struct batch *batch = arg;
    struct shard *shard = batch->shard;
    if (batch->generation != shard->generation) {
        /* The map has changed meanwhile: the records were taken from the view then. */
        batch_resync(batch, true);
        return;
    }
    switch (outcome->result) {
    case TXN_DONE:
        batch_done(batch, outcome);
        return;
    case TXN_CONFLICT:
        LOG_DEBUG("record_conflict", "hosts=%u first=%s", batch->hosts->len,
                  outcome->failed->len ? (char *)outcome->failed->pdata[0] : "");
        view_await(shard->view, outcome->at, batch_resync, batch);
        return;
    case TXN_UNKNOWN:
        LOG_INFO("record_unknown", "hosts=%u", batch->hosts->len);
        view_barrier(shard->view, batch_resync, batch);
        return;
    default:
        batch_resync(batch, false);
    }
}

/* The longer writes wait for this node's share of them, the more goes into one. */
static bool write_due(struct shard *shard)
{
    const struct store_limits *limits = store_limits(shard->store);
    /* The nodes that live share the writes, as they share the machines. */
    double rate = limits->write_rps * RECORDS_SHARE / MAX(shard->view->map->len, 1);
    mono_time now = loop_now(shard->loop);
    shard->write_level =
        MIN(BURST, shard->write_level + rate * (double)(now.us - shard->write_at.us) / 1e6);
    shard->write_at = now;
    if (shard->write_level >= 1)
        return true;
    timer_start(shard->loop, &shard->flush, (int64_t)ceil((1 - shard->write_level) / rate * 1000));
    return false;
}

void shard_write_over(struct shard *shard, uint64_t generation, bool ok)
{
    shard->txn_out = false;
    if (ok && generation == shard->generation)
        shard_records_sync(shard);
    shard->dirty = true;
    timer_start(shard->loop, &shard->flush, ok ? FLUSH_MS : RETRY_MS);
}

/* Conditions of all that this node writes of records. */
struct txn *shard_txn(struct shard *shard)
{
    struct txn *txn = txn_new();
    char *self = key_node(shard->settings->label);
    txn_when(txn, self, membership_stamp(shard->members));
    txn_when(txn, KEY_MAP, shard->view->map_stamp);
    g_free(self);
    return txn;
}

void shard_flush(void *arg)
{
    struct shard *shard = arg;
    if (shard->txn_out || !membership_valid(shard->members) ||
        shard->epoch.v != shard->view->epoch.v ||
        !map_names(shard->view, shard->settings->label, membership_incarnation(shard->members)))
        return;
    bool split = shard_split_due(shard);
    bool inventory = shard_inventory_due(shard);
    if ((!shard->dirty && !split && !inventory) || !write_due(shard) ||
        (split && shard_split(shard)))
        return;
    if (inventory) {
        shard_inventory(shard);
        return;
    }
    shard->dirty = false;
    struct batch *batch = g_new0(struct batch, 1);
    *batch = (struct batch){.shard = shard,
                            .generation = shard->generation,
                            .plain = shard_plain(shard),
                            .hosts = g_ptr_array_new_with_free_func(g_free),
                            .txn = shard_txn(shard),
                            .jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                            .drafts = g_ptr_array_new_with_free_func(draft_free),
                            .sources = g_ptr_array_new()};
    batch_fill(batch);
    if (!txn_writes(batch->txn)) {
        /* Nothing can be written as things are; a machine without records may be gone. */
        txn_free(batch->txn);
        shard->dirty = batch->rest;
        batch_over(batch);
        for (guint i = 0; i < batch->hosts->len; i++) {
            struct host *host = shard_host_get(shard, batch->hosts->pdata[i]);
            if (host && host->gone && !host->stamp.v && !shard_host_has_run(host))
                g_hash_table_remove(shard->hosts, host->id.s);
        }
        batch_free(batch);
        if (shard->dirty)
            timer_start(shard->loop, &shard->flush, RETRY_MS);
        return;
    }
    shard->write_level -= txn_writes(batch->txn);
    shard->waits.writes += txn_writes(batch->txn);
    shard->txn_out = true;
    store_txn(shard->store, LANE_URGENT, batch->txn, batch_answered, batch);
}
