/* Marks: the tasks that this node saw done, and the pages that say so. They only add up: a view
 * joins what all pages say. */
#include "part_state.h"

#include "log.h"

static void unit_free(gpointer q)
{
    struct done_unit *d = q;
    g_byte_array_unref(d->bits);
    g_free(d);
}

void part_done_free(gpointer q)
{
    g_ptr_array_unref(q);
}

static char *unit_key(job_id job, uint32_t unit)
{
    return g_strdup_printf("%s %u", job.s, unit);
}

static GPtrArray *units_of(struct part *p, job_id job, uint32_t unit)
{
    char *key = unit_key(job, unit);
    GPtrArray *all = g_hash_table_lookup(p->done, key);
    g_free(key);
    return all;
}

/* The bytes of a unit's bits when all its tasks are done. */
guint part_unit_size(const struct job *j, uint32_t unit)
{
    return MIN((guint)MARK_TASKS, j->tasks - unit * MARK_TASKS) / 8 + 1;
}

/* Room on its page that it may still come to take. */
static gsize unit_growth(const struct done_unit *d, const struct job *j)
{
    guint most = part_unit_size(j, d->unit);
    return !d->leaving && most > d->bits->len ? 2 * (gsize)(most - d->bits->len) : 0;
}

static struct done_unit *unit_find(struct part *p, job_id job, uint32_t unit, int page)
{
    GPtrArray *all = units_of(p, job, unit);
    for (guint i = 0; all && i < all->len; i++) {
        struct done_unit *d = all->pdata[i];
        if (d->page == page)
            return d;
    }
    return NULL;
}

static struct done_unit *unit_make(struct part *p, job_id job, uint32_t unit, int page)
{
    struct done_unit *d = unit_find(p, job, unit, page);
    if (d)
        return d;
    GPtrArray *all = units_of(p, job, unit);
    if (!all) {
        all = g_ptr_array_new_with_free_func(unit_free);
        g_hash_table_insert(p->done, unit_key(job, unit), all);
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
static void unit_clear(struct done_unit *d)
{
    g_byte_array_set_size(d->bits, 0);
    d->dirty = d->leaving = false;
}

typedef void (*unit_fn)(struct part *p, struct done_unit *d, void *ctx);

static void each_unit(struct part *p, unit_fn f, void *ctx)
{
    GHashTableIter it;
    GPtrArray *all;
    g_hash_table_iter_init(&it, p->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&all))
        for (guint i = 0; i < all->len; i++)
            f(p, all->pdata[i], ctx);
}

static bool unit_says(const struct done_unit *d, uint32_t bit)
{
    return bit / 8 < d->bits->len && (d->bits->data[bit / 8] >> (bit % 8) & 1);
}

/* A mark far within a long job takes a long word while nodes of version 0 may read it; if that is
 * too long the task stays on record until they cannot. */
bool part_may_mark(struct part *p, const struct run *r)
{
    gsize cost = page_done_cost(r->job, r->index / MARK_TASKS, MARK_BYTES, true);
    return cost <= part_text_bytes(p) / 2 || !part_plain(p);
}

static gsize unit_cost(struct part *p, const struct job *j, uint32_t unit)
{
    return page_done_cost(j->id, unit, part_unit_size(j, unit), part_plain(p));
}

/* The mark goes on the page that loses the task's record, if there is room: one write does both. */
void part_mark_done(struct part *p, struct run *r)
{
    struct job *j = part_live_job(p, r->job);
    if (!j)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t unit = r->index / MARK_TASKS, bit = r->index % MARK_TASKS;
    int page = r->page;
    struct done_unit *there = page >= 0 ? unit_find(p, j->id, unit, page) : NULL;
    if (there && there->leaving) {
        page = -1;
    } else if (page >= 0 && !there) {
        gsize cost = unit_cost(p, j, unit);
        if (part_page_room(p, page) < cost)
            page = -1;
        else
            part_page_keep(p, page, cost);
    }
    struct done_unit *d = unit_make(p, j->id, unit, page);
    bits_grow(d->bits, bit / 8 + 1);
    d->bits->data[bit / 8] |= (guint8)(1 << (bit % 8));
    d->dirty = d->more = true;
    p->dirty = true;
}

struct reading {
    struct part *part;
    int page;
};

/* What an earlier process of this label wrote stays on its page. */
static void read_unit(void *ctx, job_id job, uint32_t unit, const GByteArray *bits)
{
    struct reading *r = ctx;
    struct job *j = part_live_job(r->part, job);
    if (!j || unit * MARK_TASKS >= j->tasks)
        return;
    struct done_unit *d = unit_make(r->part, j->id, unit, r->page);
    bits_merge(d->bits, bits);
}

void part_marks_read(struct part *p, const char *text, int page)
{
    struct reading r = {p, page};
    page_read_done(text, read_unit, &r);
}

/* Whether other pages say for good all that this one does. */
static bool said_elsewhere(struct part *p, const struct done_unit *d)
{
    GPtrArray *all = units_of(p, d->job, d->unit);
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

static void write_unit(struct part *p, struct done_unit *d, void *ctx)
{
    struct writing *w = ctx;
    struct job *j = d->page == w->page ? part_live_job(p, d->job) : NULL;
    if (!j || (d->leaving && said_elsewhere(p, d)))
        return;
    page_write_done(w->on->text, d->job, d->unit, d->bits, w->plain);
    w->on->dirty = w->on->dirty || d->dirty;
    w->on->growth += unit_growth(d, j);
}

void part_marks_write(struct part *p, int page, bool plain, struct marks_on *on)
{
    g_string_truncate(on->text, 0);
    on->growth = 0;
    on->dirty = false;
    struct writing w = {on, page, plain};
    each_unit(p, write_unit, &w);
}

/* Marks that are too much for their page go to others. They stay on the first until these say so.
 */
static void move_mark(struct part *p, struct done_unit *d, void *ctx)
{
    int *page = ctx;
    if (d->page != *page || d->leaving)
        return;
    LOG_INFO("marks_move", "page=%d job=%s", d->page, d->job.s);
    d->leaving = true;
    *page = -2; /* one at a time */
    struct done_unit *other = unit_make(p, d->job, d->unit, -1);
    bits_merge(other->bits, d->bits);
    other->dirty = true;
}

struct growth {
    int page;
    gsize bytes;
};

static void add_growth(struct part *p, struct done_unit *d, void *ctx)
{
    struct growth *g = ctx;
    struct job *j = d->page == g->page ? part_live_job(p, d->job) : NULL;
    if (j)
        g->bytes += unit_growth(d, j);
}

/* Room that marks on a page may still take. */
gsize part_marks_growth(struct part *p, int number)
{
    struct growth g = {number, 0};
    each_unit(p, add_growth, &g);
    return g.bytes;
}

void part_marks_move(struct part *p, int page)
{
    each_unit(p, move_mark, &page);
}

struct placing {
    const int *pages;
    guint n;
    bool rest;
};

static void place_unit(struct part *p, struct done_unit *d, void *ctx)
{
    struct placing *x = ctx;
    struct job *j = part_live_job(p, d->job);
    if (d->page >= 0 || !d->dirty || !j)
        return;
    gsize cost = unit_cost(p, j, d->unit);
    for (guint i = 0; i < x->n; i++) {
        int page = x->pages[i];
        struct done_unit *there = unit_find(p, d->job, d->unit, page);
        if (there ? there->leaving : part_page_room(p, page) < cost)
            continue;
        if (there) {
            bits_merge(there->bits, d->bits);
            there->dirty = true;
            unit_clear(d);
        } else {
            part_page_keep(p, page, cost);
            d->page = page;
        }
        return;
    }
    x->rest = true;
}

bool part_marks_place(struct part *p, const int *pages, guint n)
{
    struct placing x = {pages, n, false};
    each_unit(p, place_unit, &x);
    return !x.rest;
}

bool part_mark_written(struct part *p, const struct run *r, page_test written, const void *ctx)
{
    if (!r->done || !part_live_job(p, r->job))
        return true;
    GPtrArray *all = units_of(p, r->job, r->index / MARK_TASKS);
    for (guint i = 0; all && i < all->len; i++) {
        struct done_unit *d = all->pdata[i];
        if (unit_says(d, r->index % MARK_TASKS) && !d->leaving &&
            (!d->dirty || (d->page >= 0 && written(ctx, d->page))))
            return true;
    }
    return false;
}

struct durable {
    page_test written;
    const void *ctx;
};

static void unit_durable(struct part *p, struct done_unit *d, void *ctx)
{
    struct durable *x = ctx;
    if (d->page < 0 || !x->written(x->ctx, d->page))
        return;
    if (d->leaving && said_elsewhere(p, d))
        unit_clear(d);
    else if (!d->more)
        d->dirty = false;
}

void part_marks_durable(struct part *p, page_test written, const void *ctx)
{
    struct durable x = {written, ctx};
    each_unit(p, unit_durable, &x);
}

bool part_marks_want(struct part *p, double *pages, double weight)
{
    bool homeless = false;
    GHashTableIter it;
    GPtrArray *units;
    g_hash_table_iter_init(&it, p->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&units)) {
        if (!part_live_job(p, ((struct done_unit *)units->pdata[0])->job)) {
            g_hash_table_iter_remove(&it); /* over: it goes with the next write of its page */
            continue;
        }
        for (guint i = 0; i < units->len; i++) {
            struct done_unit *d = units->pdata[i];
            d->more = false;
            if (d->dirty && d->page >= 0)
                pages[d->page] += weight;
            homeless = homeless || (d->dirty && d->page < 0);
        }
    }
    return homeless;
}
