/* Marks: the tasks that this node saw done, and the pages that say so. They only add up: a view
 * joins what all pages say. */
#include "run_records_internal.h"

#include "log.h"

static void unit_free(gpointer q)
{
    struct done_unit *unit = q;
    g_byte_array_unref(unit->bits);
    g_free(unit);
}

void shard_done_free(gpointer q)
{
    g_ptr_array_unref(q);
}

static char *unit_key(job_id job, uint32_t unit)
{
    return g_strdup_printf("%s %u", job.s, unit);
}

static GPtrArray *units_of(struct shard *shard, job_id job, uint32_t unit)
{
    char *key = unit_key(job, unit);
    GPtrArray *all = g_hash_table_lookup(shard->done, key);
    g_free(key);
    return all;
}

/* The bytes of a unit's bits when all its tasks are done. */
guint shard_unit_size(const struct job *job, uint32_t unit)
{
    return MIN((guint)MARK_TASKS, job->tasks - unit * MARK_TASKS) / 8 + 1;
}

/* Room on its page that it may still come to take. */
static gsize unit_growth(const struct done_unit *unit, const struct job *job)
{
    guint most = shard_unit_size(job, unit->unit);
    return !unit->leaving && most > unit->bits->len ? 2 * (gsize)(most - unit->bits->len) : 0;
}

static struct done_unit *unit_find(struct shard *shard, job_id job, uint32_t unit, int page)
{
    GPtrArray *all = units_of(shard, job, unit);
    for (guint i = 0; all && i < all->len; i++) {
        struct done_unit *d = all->pdata[i];
        if (d->page == page)
            return d;
    }
    return NULL;
}

static struct done_unit *unit_make(struct shard *shard, job_id job, uint32_t unit, int page)
{
    struct done_unit *d = unit_find(shard, job, unit, page);
    if (d)
        return d;
    GPtrArray *all = units_of(shard, job, unit);
    if (!all) {
        all = g_ptr_array_new_with_free_func(unit_free);
        g_hash_table_insert(shard->done, unit_key(job, unit), all);
    }
    d = g_new0(struct done_unit, 1);
    d->job = job;
    d->unit = unit;
    d->bits = g_byte_array_new();
    d->page = page;
    g_ptr_array_add(all, d);
    return d;
}

/* It says nothing any more. */
static void unit_clear(struct done_unit *unit)
{
    g_byte_array_set_size(unit->bits, 0);
    unit->dirty = unit->leaving = false;
}

typedef void (*unit_fn)(struct shard *shard, struct done_unit *unit, void *ctx);

static void each_unit(struct shard *shard, unit_fn f, void *ctx)
{
    GHashTableIter it;
    GPtrArray *all;
    g_hash_table_iter_init(&it, shard->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&all))
        for (guint i = 0; i < all->len; i++)
            f(shard, all->pdata[i], ctx);
}

static bool unit_says(const struct done_unit *unit, uint32_t bit)
{
    return bit / 8 < unit->bits->len && (unit->bits->data[bit / 8] >> (bit % 8) & 1);
}

/* A mark far within a long job takes a long word while nodes of version 0 may read it; if that is
 * too long the task stays on record until they cannot. */
bool shard_may_mark(struct shard *shard, const struct run *run)
{
    gsize cost = page_done_cost(run->job, run->index / MARK_TASKS, MARK_BYTES, true);
    return cost <= shard_text_bytes(shard) / 2 || !shard_plain(shard);
}

static gsize unit_cost(struct shard *shard, const struct job *job, uint32_t unit)
{
    return page_done_cost(job->id, unit, shard_unit_size(job, unit), shard_plain(shard));
}

/* The mark goes on the page that loses the task's record, if there is room: one write does both. */
void shard_mark_done(struct shard *shard, struct run *run)
{
    struct job *job = shard_live_job(shard, run->job);
    if (!job)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t unit = run->index / MARK_TASKS, bit = run->index % MARK_TASKS;
    int page = run->record.page;
    struct done_unit *there = page >= 0 ? unit_find(shard, job->id, unit, page) : NULL;
    if (there && there->leaving) {
        page = -1;
    } else if (page >= 0 && !there) {
        gsize cost = unit_cost(shard, job, unit);
        if (shard_page_room(shard, page) < cost)
            page = -1;
        else
            shard_page_keep(shard, page, cost);
    }
    struct done_unit *d = unit_make(shard, job->id, unit, page);
    bits_grow(d->bits, bit / 8 + 1);
    d->bits->data[bit / 8] |= (guint8)(1 << (bit % 8));
    d->dirty = d->more = true;
    shard->dirty = true;
}

struct reading {
    struct shard *shard;
    int page;
};

/* What an earlier process of this label wrote stays on its page. */
static void read_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct reading *reading = ctx;
    struct job *j = shard_live_job(reading->shard, job);
    if (!j || unit * MARK_TASKS >= j->tasks)
        return;
    struct done_unit *d = unit_make(reading->shard, j->id, unit, reading->page);
    bits_merge(d->bits, bits);
}

void shard_marks_read(struct shard *shard, const char *text, int page)
{
    struct reading reading = {shard, page};
    page_read_done(text, read_unit, &reading);
}

/* Whether other pages say for good all that this one does. */
static bool said_elsewhere(struct shard *shard, const struct done_unit *d)
{
    GPtrArray *all = units_of(shard, d->job, d->unit);
    for (uint32_t bit = 0; bit < d->bits->len * 8; bit++) {
        bool said = !unit_says(d, bit);
        for (guint i = 0; i < all->len && !said; i++) {
            const struct done_unit *x = all->pdata[i];
            said = x != d && !x->dirty && !x->leaving && x->page >= 0 && unit_says(x, bit);
        }
        if (!said)
            return false;
    }
    return true;
}

struct writing {
    struct marks_on *on;
    int page;
    bool plain;
};

static void write_unit(struct shard *shard, struct done_unit *unit, void *ctx)
{
    struct writing *writing = ctx;
    struct job *job = unit->page == writing->page ? shard_live_job(shard, unit->job) : NULL;
    if (!job || (unit->leaving && said_elsewhere(shard, unit)))
        return;
    page_write_done(writing->on->text, unit->job, unit->unit, unit->bits, writing->plain);
    writing->on->dirty = writing->on->dirty || unit->dirty;
    writing->on->growth += unit_growth(unit, job);
}

void shard_marks_write(struct shard *shard, int page, bool plain, struct marks_on *on)
{
    g_string_truncate(on->text, 0);
    on->growth = 0;
    on->dirty = false;
    struct writing writing = {on, page, plain};
    each_unit(shard, write_unit, &writing);
}

/* Marks that are too much for their page go to others. They stay on the first until these say so.
 */
static void move_mark(struct shard *shard, struct done_unit *unit, void *ctx)
{
    int *page = ctx;
    if (unit->page != *page || unit->leaving)
        return;
    LOG_INFO("marks_move", "page=%d job=%s", unit->page, unit->job.s);
    unit->leaving = true;
    *page = -2; /* one at a time */
    struct done_unit *other = unit_make(shard, unit->job, unit->unit, -1);
    bits_merge(other->bits, unit->bits);
    other->dirty = true;
}

struct growth {
    int page;
    gsize bytes;
};

static void add_growth(struct shard *shard, struct done_unit *unit, void *ctx)
{
    struct growth *growth = ctx;
    struct job *job = unit->page == growth->page ? shard_live_job(shard, unit->job) : NULL;
    if (job)
        growth->bytes += unit_growth(unit, job);
}

/* Room that marks on a page may still take. */
gsize shard_marks_growth(struct shard *shard, int number)
{
    struct growth growth = {number, 0};
    each_unit(shard, add_growth, &growth);
    return growth.bytes;
}

void shard_marks_move(struct shard *shard, int page)
{
    each_unit(shard, move_mark, &page);
}

struct placing {
    const int *pages;
    guint n;
    bool rest;
};

static void place_unit(struct shard *shard, struct done_unit *unit, void *ctx)
{
    struct placing *placing = ctx;
    struct job *job = shard_live_job(shard, unit->job);
    if (unit->page >= 0 || !unit->dirty || !job)
        return;
    gsize cost = unit_cost(shard, job, unit->unit);
    for (guint i = 0; i < placing->n; i++) {
        int page = placing->pages[i];
        struct done_unit *there = unit_find(shard, unit->job, unit->unit, page);
        if (there ? there->leaving : shard_page_room(shard, page) < cost)
            continue;
        if (there) {
            bits_merge(there->bits, unit->bits);
            there->dirty = true;
            unit_clear(unit);
        } else {
            shard_page_keep(shard, page, cost);
            unit->page = page;
        }
        return;
    }
    placing->rest = true;
}

bool shard_marks_place(struct shard *shard, const int *pages, guint n)
{
    struct placing placing = {pages, n, false};
    each_unit(shard, place_unit, &placing);
    return !placing.rest;
}

bool shard_mark_written(struct shard *shard, const struct run *run, page_test written,
                        const void *ctx)
{
    if (!run->done || !shard_live_job(shard, run->job))
        return true;
    GPtrArray *all = units_of(shard, run->job, run->index / MARK_TASKS);
    for (guint i = 0; all && i < all->len; i++) {
        struct done_unit *unit = all->pdata[i];
        if (unit_says(unit, run->index % MARK_TASKS) && !unit->leaving &&
            (!unit->dirty || (unit->page >= 0 && written(ctx, unit->page))))
            return true;
    }
    return false;
}

struct durable {
    page_test written;
    const void *ctx;
};

static void unit_durable(struct shard *shard, struct done_unit *unit, void *ctx)
{
    struct durable *durable = ctx;
    if (unit->page < 0 || !durable->written(durable->ctx, unit->page))
        return;
    if (unit->leaving && said_elsewhere(shard, unit))
        unit_clear(unit);
    else if (!unit->more)
        unit->dirty = false;
}

void shard_marks_durable(struct shard *shard, page_test written, const void *ctx)
{
    struct durable durable = {written, ctx};
    each_unit(shard, unit_durable, &durable);
}

bool shard_marks_want(struct shard *shard, double *pages, double weight)
{
    bool homeless = false;
    GHashTableIter it;
    GPtrArray *units;
    g_hash_table_iter_init(&it, shard->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&units)) {
        if (!shard_live_job(shard, ((struct done_unit *)units->pdata[0])->job)) {
            g_hash_table_iter_remove(&it); /* over: it goes with the next write of its page */
            continue;
        }
        for (guint i = 0; i < units->len; i++) {
            struct done_unit *unit = units->pdata[i];
            unit->more = false;
            if (unit->dirty && unit->page >= 0)
                pages[unit->page] += weight;
            homeless = homeless || (unit->dirty && unit->page < 0);
        }
    }
    return homeless;
}
