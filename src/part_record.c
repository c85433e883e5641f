#include "part_state.h"

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

void part_flush_soon(struct part *p)
{
    if (!p->txn_out && !p->flush.place)
        timer_start(p->loop, &p->flush, FLUSH_MS);
}

gsize part_text_bytes(const struct part *p)
{
    return store_limits(p->store)->value_bytes - VALUE_BYTES;
}

bool part_page_long(const struct part *p, const struct page *g)
{
    return g->bytes > part_text_bytes(p);
}

/* Nodes of version 0 know of one page a machine, and of marks that begin with their chunk. */
bool part_plain(const struct part *p)
{
    return !membership_all_understand(p->members);
}

/* ---- pages ---- */

void part_page_free(gpointer q)
{
    struct own_page *g = q;
    g_array_unref(g->leftover);
    g_free(g);
}

static struct own_page *page_at(struct part *p, int number)
{
    while ((int)p->pages->len <= number) {
        struct own_page *g = g_new0(struct own_page, 1);
        g->leftover = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
        g_ptr_array_add(p->pages, g);
    }
    return p->pages->pdata[number];
}

static struct page *page_seen(struct part *p, int number)
{
    char *key = key_page(p->settings->label, number);
    struct page *v = g_hash_table_lookup(p->view->pages, key);
    g_free(key);
    return v;
}

/* A page from when more was allowed: it is split before it can be written again. */
static bool own_long(struct part *p, int number)
{
    struct page *v = page_seen(p, number);
    return v && part_page_long(p, v);
}

void part_dirty(struct part *p)
{
    p->dirty = true;
    part_flush_soon(p);
}

/* The page of ours that a machine's records are on; -1: none. */
static int page_of_host(const struct host *h)
{
    for (guint i = 0; i < h->runs->len; i++) {
        const struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_GONE && r->page >= 0)
            return r->page;
    }
    return -1;
}

/* What a page says of a machine that has no record of its own yet. */
static const char *about_host(struct host *h)
{
    if (h->stamp.v || h->described || h->roll >= 0)
        return NULL;
    if (!h->about)
        h->about = machine_about(h->addr, h->build, h->yard, h->loaners);
    return h->about;
}

static struct page_rec rec_of(struct host *h, const struct run *r)
{
    return (struct page_rec){h->id, r->job, r->attempt, r->index, about_host(h)};
}

/* Whether one more task can be recorded on the machine. Any page will do, unless a node that knows
 * of one page a machine may come to read it. */
bool part_record_has_room(struct part *p, struct host *h, job_id job)
{
    if (!part_plain(p))
        return true;
    for (guint i = 0; i < h->runs->len; i++)
        if (((struct run *)h->runs->pdata[i])->foreign)
            return false;
    int page = page_of_host(h);
    if (page < 0)
        return true;
    struct page_rec r = {h->id, job, {UINT64_MAX}, 99999, about_host(h)};
    return !own_long(p, page) &&
           page_at(p, page)->bytes + page_cost(&r, false, false) <= part_text_bytes(p);
}

void part_record_new(struct part *p, struct host *h, job_id job)
{
    int page = page_of_host(h);
    struct page_rec r = {h->id, job, {UINT64_MAX}, 99999, about_host(h)};
    if (page >= 0)
        page_at(p, page)->bytes += page_cost(&r, false, false);
    part_dirty(p);
}

/* ---- agreement with the view ---- */

static void page_sync(struct part *p, int number)
{
    struct own_page *g = page_at(p, number);
    struct page *v = page_seen(p, number);
    g->stamp = v ? v->stamp : (revision){0};
    g_array_set_size(g->leftover, 0);
    for (guint i = 0; v && i < v->tasks->len; i++) {
        struct placed *t = v->tasks->pdata[i];
        if (part_host_get(p, t->host->id.s))
            continue;
        struct page_rec x = {t->host->id, t->job->id, t->attempt, t->index, NULL};
        g_array_append_val(g->leftover, x);
    }
    if (v && v->done)
        part_marks_read(p, v->done, number);
    g->bytes = v ? v->bytes : 0;
}

static void hosts_sync(struct part *p, int page)
{
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        part_host_sync(p, h, page);
    p->dirty = true;
}

void part_records_sync(struct part *p)
{
    GHashTableIter it;
    struct page *v;
    g_hash_table_iter_init(&it, p->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&v))
        if (strcmp(v->label, p->settings->label) == 0)
            page_at(p, v->number);
    for (guint i = 0; i < p->pages->len; i++)
        page_sync(p, (int)i);
    part_rolls_sync(p);
    hosts_sync(p, -1);
}

/* Somebody wrote a page of ours: another owner took machines over, or it was us, with an answer
 * that got lost. */
void part_page_changed(struct part *p, const char *key)
{
    struct page *v = g_hash_table_lookup(p->view->pages, key);
    if (p->txn_out || !v || strcmp(v->label, p->settings->label) != 0 ||
        v->stamp.v <= page_at(p, v->number)->stamp.v)
        return;
    page_sync(p, v->number);
    hosts_sync(p, v->number);
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
    struct part *part;
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
    struct draft *x = q;
    g_array_unref(x->records);
    g_hash_table_unref(x->jobs);
    g_string_free(x->marks.text, TRUE);
    g_free(x);
}

static void batch_free(struct batch *b)
{
    g_ptr_array_unref(b->hosts);
    g_hash_table_unref(b->jobs);
    g_ptr_array_unref(b->drafts);
    g_ptr_array_unref(b->sources);
    g_free(b);
}

static json_object *host_value(const struct host *h, gsize most)
{
    json_object *o = json_object_new_object(), *images = json_object_new_array();
    json_put_text(o, "a", h->addr);
    json_put_text(o, "b", h->build);
    json_put_text(o, "y", h->yard);
    json_object_object_add(o, "l", json_object_new_boolean(h->loaners));
    /* The newest images, as far as there is room. */
    guint first = h->images->len;
    for (gsize used = value_size(o) + 16; first > 0; first--) {
        used += 2 * strlen(h->images->pdata[first - 1]) + 4;
        if (used > most)
            break;
    }
    for (guint i = first; i < h->images->len; i++)
        json_object_array_add(images, json_object_new_string(h->images->pdata[i]));
    json_object_object_add(o, "i", images);
    return o;
}

static bool batch_spare(const struct batch *b)
{
    return (int)txn_writes(b->txn) < b->spare;
}

/* Gives the machine a record of its own, or a new one, if there are writes to spare for that; else
 * its pages say what it is. A write for each of many new machines would hold their tasks up. */
static void batch_describe(struct batch *b, struct host *h)
{
    struct part *p = b->part;
    mono_time now = loop_now(p->loop);
    bool due = !h->stamp.v || (h->new_images && time_ms_since(now, h->stored) > DESCRIBE_MS);
    if (h->gone || h->described || !h->addr[0] || !due || !batch_spare(b) ||
        txn_bytes(b->txn) > TXN_BYTES / 4)
        return;
    bool must = !h->stamp.v && h->roll < 0 && !about_host(h);
    if (p->write_level - txn_writes(b->txn) <= BURST / 2 && !must)
        return;
    char *key = key_host(h->id);
    txn_when(b->txn, key, h->stamp);
    txn_set(b->txn, key, host_value(h, store_limits(p->store)->value_bytes), (lease_id){0});
    g_free(key);
    h->described = h->in_txn = true;
    h->new_images = false;
    h->stored = now;
}

/* Takes a machine that is gone off the records. Many may go at once, in a wave of returns, so the
 * rest wait for the next transaction: one with too many writes is refused for ever. */
static void batch_forget(struct batch *b, struct host *h)
{
    if (!batch_spare(b)) {
        b->rest = true;
        return;
    }
    char *key = key_host(h->id);
    txn_when(b->txn, key, h->stamp);
    txn_remove(b->txn, key);
    g_free(key);
    h->removing = h->in_txn = true;
}

/* A start may be recorded while its job is as it was seen. */
static bool batch_job(struct batch *b, const struct job *j)
{
    if (j->waits)
        return false; /* nothing starts before what it needs is durably done */
    if (g_hash_table_contains(b->jobs, j->id.s))
        return true;
    guint most = 4 * (guint)store_limits(b->part->store)->txn_ops;
    /* Conditions on pages, and on machines that may be described or forgotten. */
    guint to_come =
        b->drafts->len + b->sources->len + (guint)MAX(b->spare - (int)txn_writes(b->txn), 0);
    if (txn_conditions(b->txn) + to_come + 1 > most)
        return false;
    char *key = key_job(j->id);
    txn_when(b->txn, key, j->stamp);
    g_free(key);
    g_hash_table_add(b->jobs, g_strdup(j->id.s));
    return true;
}

/* Runs of jobs that were cancelled before their record was written: nothing was started. */
static void drop_dead_news(struct part *p, struct host *h)
{
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_NEW && !part_live_job(p, r->job))
            part_run_remove(p, h, i);
        else
            i++;
    }
}

/* ---- drafts ---- */

static struct draft *draft_of(const struct batch *b, int number)
{
    for (guint i = 0; i < b->drafts->len; i++) {
        struct draft *x = b->drafts->pdata[i];
        if (x->number == number)
            return x;
    }
    return NULL;
}

static bool is_drafted(const void *batch, int page)
{
    return draft_of(batch, page) != NULL;
}

static struct draft *draft_open(struct batch *b, int number)
{
    struct draft *x = g_new0(struct draft, 1);
    x->number = number;
    x->records = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    x->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    x->marks.text = g_string_new(NULL);
    page_at(b->part, number);
    g_ptr_array_add(b->drafts, x);
    return x;
}

static void draft_add(struct draft *x, const struct page_rec *r)
{
    g_hash_table_add(x->jobs, g_strdup(r->job.s));
    g_hash_table_add(x->jobs, g_strdup_printf("%s %" G_GUINT64_FORMAT, r->job.s, r->attempt.v));
    g_array_append_val(x->records, *r);
}

static bool draft_has_job(const struct draft *x, job_id job)
{
    return g_hash_table_contains(x->jobs, job.s);
}

/* Adds a record that was not on the page, if there is room. What is reckoned is never too little.
 */
static bool draft_take(struct draft *x, const struct page_rec *r, gsize most)
{
    char *attempt = g_strdup_printf("%s %" G_GUINT64_FORMAT, r->job.s, r->attempt.v);
    gsize cost = page_cost(r, draft_has_job(x, r->job), g_hash_table_contains(x->jobs, attempt));
    g_free(attempt);
    if (x->used + cost > most)
        return false;
    x->used += cost;
    draft_add(x, r);
    return true;
}

/* What has to stay on a page, whatever else goes there. */
static void draft_keep(struct batch *b, struct draft *x)
{
    struct part *p = b->part;
    struct own_page *g = page_at(p, x->number);
    part_marks_write(p, x->number, b->plain, &x->marks);
    x->changed = x->marks.dirty;
    x->used = x->marks.text->len + x->marks.growth;
    for (guint i = 0; i < g->leftover->len; i++) {
        struct page_rec r = g_array_index(g->leftover, struct page_rec, i);
        r.about = view_about(p->view, r.host.s);
        draft_add(x, &r);
    }
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (r->page != x->number || (r->phase != RUN_RECORDED && r->phase != RUN_FREEING))
                continue;
            r->put = -1;
            r->in_txn = r->phase == RUN_FREEING && part_mark_written(b->part, r, is_drafted, b);
            h->in_txn = h->in_txn || r->in_txn;
            x->changed = x->changed || r->in_txn;
            if (r->in_txn)
                continue;
            struct page_rec rec = rec_of(h, r);
            draft_add(x, &rec);
        }
    gsize least;
    x->used += page_length(x->records, b->plain, &least);
    x->over = least + x->marks.text->len > part_text_bytes(p);
}

void part_page_keep(struct part *p, int number, gsize bytes)
{
    page_at(p, number)->bytes += bytes;
}

gsize part_page_room(struct part *p, int number)
{
    gsize most = part_text_bytes(p),
          used = page_at(p, number)->bytes + part_marks_growth(p, number);
    return own_long(p, number) || used > most ? 0 : most - used;
}

/* A number that no page has, or that of one that is empty. */
static int page_unused(struct part *p, const struct batch *b)
{
    int n = 0;
    while (n < (int)p->pages->len &&
           (page_at(p, n)->bytes || page_seen(p, n) || draft_of(b, n) || own_long(p, n)))
        n++;
    page_at(p, n);
    return n;
}

/* The page with the most room; a new one if they are all quite full. */
static int page_for_more(struct part *p, const struct batch *b)
{
    gsize most = part_text_bytes(p) / 4;
    int best = -1;
    for (guint i = 0; i < p->pages->len; i++) {
        gsize room = draft_of(b, (int)i) ? 0 : part_page_room(p, (int)i);
        if (room >= most) {
            most = room + 1;
            best = (int)i;
        }
    }
    return best >= 0 ? best : page_unused(p, b);
}

/* ---- what goes into a transaction ---- */

/* Whether machines may be taken over from another node's page as it is. A long page has to be split
 * first, but for one of a node of version 0 that goes on writing it: while nobody has seen that
 * less is allowed, what is left of it is not longer than it was. After that, copies may be on their
 * way from a long page to others of its node: none of these is touched. */
static bool source_fits(struct part *p, const struct page *g, bool plain)
{
    const struct store_limits *l = store_limits(p->store);
    if (!plain && part_label_long(p, g->label))
        return false;
    if (!part_page_long(p, g))
        return true;
    const struct node_record *n = g_hash_table_lookup(p->view->nodes, g->label);
    return plain && n && n->version < NODE_VERSION && !l->lowered;
}

/* The page of another node that a run's record is on. That is looked up each time: a long page may
 * have been split meanwhile, and taking it off a page where it is no more would leave it on two. */
static struct page *source_of(struct part *p, const struct host *h, const struct run *r)
{
    struct job *j = r->foreign && r->phase != RUN_GONE ? view_job(p->view, r->job.s) : NULL;
    struct placed *t = j ? job_placed(j, r->index) : NULL;
    bool there = t && t->attempt.v == r->attempt.v && host_eq(t->host->id, h->id);
    return there && strcmp(t->page->label, p->settings->label) != 0 ? t->page : NULL;
}

/* What there is to be written. */
struct want {
    double *pages; /* by number: how much is waited for them */
    bool news;     /* starts, and marks for any page */
    GPtrArray *sources;
};

static void survey(struct batch *b, struct want *w)
{
    struct part *p = b->part;
    GHashTableIter it;
    struct host *h;
    mono_time now = loop_now(p->loop);
    w->pages = g_new0(double, p->pages->len + 1);
    w->sources = g_ptr_array_new();
    w->news = false;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        drop_dead_news(p, h);
        for (guint i = 0; i < h->runs->len; i++) {
            const struct run *r = h->runs->pdata[i];
            struct page *source = source_of(p, h, r);
            if (source && !g_ptr_array_find(w->sources, source, NULL) &&
                source_fits(p, source, b->plain))
                g_ptr_array_add(w->sources, source);
            if (r->phase == RUN_FREEING && r->page >= 0)
                w->pages[r->page] += 1 + (double)time_ms_since(now, r->over_at) / 1000;
            if (source && b->plain && page_of_host(h) >= 0)
                w->pages[page_of_host(h)] += NEW_WEIGHT;
            if (r->phase == RUN_NEW) {
                int page = b->plain ? page_of_host(h) : -1;
                w->news = w->news || page < 0;
                if (page >= 0)
                    w->pages[page] += NEW_WEIGHT;
            }
        }
    }
    w->news = part_marks_want(p, w->pages, MARK_WEIGHT) || w->news;
}

/* The page for which most is waited, and that is not among those to be written; -1: none. */
static int most_wanted(struct batch *b, const struct want *w, guint n)
{
    int best = -1;
    for (guint i = 0; i < n; i++)
        if (w->pages[i] > 0 && (best < 0 || w->pages[i] > w->pages[best]) && !draft_of(b, (int)i) &&
            !own_long(b->part, (int)i))
            best = (int)i;
    return best;
}

/* Which pages are written: those for which most is waited, and one with room for what is new if
 * they have none. */
static void choose(struct batch *b, const struct want *w)
{
    struct part *p = b->part;
    const struct store_limits *l = store_limits(p->store);
    guint n = p->pages->len, most = (guint)MAX(l->txn_ops / 2, 1);
    most = MIN(most, (guint)MAX(TXN_BYTES / l->value_bytes, 1));
    guint sources = MIN(MIN(w->sources->len, MOST_SOURCES), (guint)l->txn_ops - most - 1);
    for (guint i = 0; i < sources; i++)
        g_ptr_array_add(b->sources, w->sources->pdata[(i + p->first_source) % w->sources->len]);
    b->rest = sources < w->sources->len;
    p->first_source++;
    gsize room = 0, enough = part_text_bytes(p) / (sources ? 2 : 5);
    bool more = w->news || sources;
    for (int i;
         b->drafts->len < most - (more && room < enough) && (i = most_wanted(b, w, n)) >= 0;) {
        draft_open(b, i);
        room += part_page_room(p, i);
    }
    b->rest = b->rest || most_wanted(b, w, n) >= 0;
    if (more && room < enough)
        draft_open(b, page_for_more(p, b));
    b->spare = l->txn_ops - (int)(b->drafts->len + b->sources->len);
}

/* Drafts with what has to stay. One that is too long already is not written now. */
static void build(struct batch *b)
{
    bool again = true;
    while (again) {
        again = false;
        for (guint i = 0; i < b->drafts->len; i++) {
            struct draft *x = b->drafts->pdata[i];
            g_array_set_size(x->records, 0);
            g_hash_table_remove_all(x->jobs);
            draft_keep(b, x);
        }
        for (guint i = 0; i < b->drafts->len && !again; i++) {
            struct draft *x = b->drafts->pdata[i];
            if (!x->over)
                continue;
            part_marks_move(b->part, x->number);
            b->rest = true;
            GHashTableIter it;
            struct host *h;
            g_hash_table_iter_init(&it, b->part->hosts);
            while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
                for (guint k = 0; k < h->runs->len; k++) {
                    struct run *r = h->runs->pdata[k];
                    r->in_txn = r->in_txn && r->page != x->number;
                }
            g_ptr_array_remove_index(b->drafts, i);
            again = true;
        }
    }
}

/* Finds room for a record on a page that is written, best where its job is already. */
static struct draft *draft_for(struct batch *b, const struct page_rec *rec, gsize most)
{
    for (int with_job = 1; with_job >= 0; with_job--)
        for (guint i = 0; i < b->drafts->len; i++) {
            struct draft *x = b->drafts->pdata[i];
            if ((with_job == 0 || draft_has_job(x, rec->job)) && draft_take(x, rec, most))
                return x;
        }
    return NULL;
}

/* The page on which a machine's records are, or come to be with this transaction; -1: any. */
static int page_bound(const struct batch *b, const struct host *h)
{
    if (!b->plain)
        return -1;
    for (guint i = 0; i < h->runs->len; i++) {
        const struct run *r = h->runs->pdata[i];
        if (r->in_txn && r->put >= 0)
            return r->put;
    }
    return page_of_host(h);
}

/* A record comes to a page that is written. */
static bool batch_put(struct batch *b, struct host *h, struct run *r, gsize most)
{
    struct page_rec rec = rec_of(h, r);
    int bound = page_bound(b, h);
    struct draft *x = bound >= 0 ? draft_of(b, bound) : NULL;
    if (bound >= 0 && (!x || !draft_take(x, &rec, most)))
        return false;
    if (bound < 0)
        x = draft_for(b, &rec, most);
    if (!x)
        return false;
    r->put = x->number;
    r->in_txn = h->in_txn = x->changed = true;
    return true;
}

/* Takes a machine's records over from other nodes' pages, each in the transaction that takes it off
 * there. Where a machine may have one page only, all of them or none. */
static void batch_adopt(struct batch *b, struct host *h)
{
    gsize most = part_text_bytes(b->part);
    bool whole = true;
    for (guint i = 0; i < h->runs->len && whole; i++) {
        struct run *r = h->runs->pdata[i];
        struct page *source = source_of(b->part, h, r);
        if (!source || !g_ptr_array_find(b->sources, source, NULL))
            continue;
        r->put = -1;
        if (r->phase == RUN_FREEING && part_mark_written(b->part, r, is_drafted, b))
            r->in_txn = h->in_txn = true;
        else if (!batch_put(b, h, r, most))
            whole = !b->plain;
        b->rest = b->rest || !r->in_txn;
    }
    for (guint i = 0; i < h->runs->len && !whole; i++) {
        struct run *r = h->runs->pdata[i];
        struct draft *x = r->foreign && r->in_txn ? draft_of(b, r->put) : NULL;
        for (guint k = 0; x && k < x->records->len; k++) {
            const struct page_rec *rec = &g_array_index(x->records, struct page_rec, k);
            if (host_eq(rec->host, h->id) && job_eq(rec->job, r->job) && rec->index == r->index) {
                g_array_remove_index(x->records, k);
                break;
            }
        }
        if (r->foreign)
            r->in_txn = false;
    }
}

static void batch_news(struct batch *b, struct host *h)
{
    struct part *p = b->part;
    /* Some room is left on a page for marks. */
    gsize most = part_text_bytes(p) - part_text_bytes(p) / 8;
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        struct job *j = r->phase == RUN_NEW ? part_live_job(p, r->job) : NULL;
        if (!j)
            continue;
        batch_describe(b, h);
        if ((h->stamp.v || h->described || h->roll >= 0 || about_host(h)) && batch_job(b, j) &&
            batch_put(b, h, r, most))
            r->tried = true;
        else
            b->rest = true;
    }
}

/* Its record goes with its last task, as the pages would have to say what it is again. */
static void batch_last(struct batch *b, struct host *h)
{
    bool stays = false;
    for (guint i = 0; i < h->runs->len; i++) {
        const struct run *r = h->runs->pdata[i];
        stays = stays ||
                (r->phase != RUN_GONE && !(r->phase == RUN_FREEING && r->in_txn && r->put < 0));
    }
    if (h->gone && h->stamp.v && !stays)
        batch_forget(b, h);
    h->in_txn = h->in_txn || (h->gone && !stays);
    if (!h->gone && part_host_has_run(h))
        batch_describe(b, h);
}

static json_object *page_value(const char *tasks, const char *done)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "t", tasks);
    json_put_text(o, "d", done);
    return o;
}

void part_page_set(struct txn *t, const char *key, revision stamp, const char *tasks,
                   const char *done)
{
    txn_when(t, key, stamp);
    txn_set(t, key, page_value(tasks, done), (lease_id){0});
}

/* The page of another node without the records that this transaction takes over. */
static void batch_source(struct batch *b, struct page *v)
{
    struct part *p = b->part;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(struct page_rec));
    guint taken = 0;
    for (guint i = 0; i < v->tasks->len; i++) {
        struct placed *t = v->tasks->pdata[i];
        struct host *h = part_host_get(p, t->host->id.s);
        struct run *r = h ? part_run_find(h, t->job->id, t->index, t->attempt) : NULL;
        if (r && r->in_txn && r->foreign) {
            taken++;
            continue;
        }
        struct page_rec x = {t->host->id, t->job->id, t->attempt, t->index,
                             view_about(p->view, t->host->id.s)};
        g_array_append_val(left, x);
    }
    if (taken) {
        GString *text = page_write(left, b->plain);
        part_page_set(b->txn, v->key, v->stamp, text->str, v->done ? v->done : "");
        g_string_free(text, TRUE);
    }
    g_array_unref(left);
}

static void batch_write(struct batch *b, struct draft *x)
{
    struct part *p = b->part;
    struct own_page *g = page_at(p, x->number);
    GString *text = page_write(x->records, b->plain);
    char *key = key_page(p->settings->label, x->number);
    if (text->len + x->marks.text->len > part_text_bytes(p))
        LOG_ERROR("page_too_long", "page=%s bytes=%zu", key, text->len + x->marks.text->len);
    part_page_set(b->txn, key, g->stamp, text->str, x->marks.text->str);
    g->bytes = text->len + x->marks.text->len;
    g_free(key);
    g_string_free(text, TRUE);
}

static void each_host(struct batch *b, void (*f)(struct batch *b, struct host *h))
{
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, b->part->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        f(b, h);
}

static void batch_list(struct batch *b, struct host *h)
{
    if (h->in_txn)
        g_ptr_array_add(b->hosts, g_strdup(h->id.s));
}

/* Puts what has changed into a transaction: what machines are, then pages, then the pages of other
 * nodes without what was taken over from them. In this order whoever reads it never misses a task.
 */
static void batch_fill(struct batch *b)
{
    struct want w;
    survey(b, &w);
    choose(b, &w);
    g_free(w.pages);
    g_ptr_array_unref(w.sources);
    int drafted[b->drafts->len + 1];
    for (guint i = 0; i < b->drafts->len; i++)
        drafted[i] = ((struct draft *)b->drafts->pdata[i])->number;
    b->rest = !part_marks_place(b->part, drafted, b->drafts->len) || b->rest;
    build(b);
    each_host(b, batch_adopt);
    each_host(b, batch_news);
    each_host(b, batch_last);
    each_host(b, batch_list);
    for (guint i = 0; i < b->drafts->len; i++)
        if (((struct draft *)b->drafts->pdata[i])->changed)
            batch_write(b, b->drafts->pdata[i]);
    for (guint i = 0; i < b->sources->len; i++)
        batch_source(b, b->sources->pdata[i]);
}

/* ---- what became of it ---- */

/* How long starts and ends wait for their records: it shows when writes are scarce. */
static void note_wait(struct part *p, const struct run *r)
{
    mono_time now = loop_now(p->loop);
    if (r->phase == RUN_NEW) {
        p->waits.starts++;
        p->waits.starts_ms += (double)time_ms_since(now, r->placed_at);
    } else if (r->phase == RUN_FREEING && r->put < 0) {
        p->waits.ends++;
        p->waits.ends_ms += (double)time_ms_since(now, r->over_at);
    }
}

void part_log_waits(struct part *p)
{
    if (log_debug_on() && p->waits.writes)
        LOG_DEBUG("records", "writes=%u starts=%u wait_ms=%.0f ends=%u wait_ms=%.0f pages=%u",
                  p->waits.writes, p->waits.starts, p->waits.starts_ms / MAX(p->waits.starts, 1),
                  p->waits.ends, p->waits.ends_ms / MAX(p->waits.ends, 1), p->pages->len);
    memset(&p->waits, 0, sizeof p->waits);
}

static void batch_settled(struct part *p, struct host *h, const struct txn_outcome *o)
{
    if (h->removing)
        h->stamp = (revision){0};
    else if (h->described)
        h->stamp = o->at;
    h->described = h->removing = false;
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (!r->in_txn) {
            i++;
            continue;
        }
        r->in_txn = false;
        r->page = r->put;
        r->foreign = false;
        note_wait(p, r);
        if (r->phase == RUN_NEW) {
            r->phase = RUN_RECORDED;
            part_run_heed_job(p, r);
        } else if (r->phase == RUN_FREEING && r->put < 0) {
            part_run_unbook(p, h, r);
            r->phase = RUN_GONE;
            if (!r->seen) {
                g_ptr_array_remove_index_fast(h->runs, i);
                continue;
            }
        }
        i++;
    }
    if (h->gone && !h->stamp.v && !part_host_has_run(h)) {
        g_hash_table_remove(p->hosts, h->id.s);
    } else if (h->gone) {
        /* It went while this was being written; what was just recorded went with it. */
        part_free_all_runs(p, h, "returned");
        part_dirty(p);
    } else {
        part_push(p, h);
    }
}

static void batch_over(struct batch *b)
{
    struct part *p = b->part;
    p->txn_out = false;
    for (guint i = 0; i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (h)
            h->in_txn = false;
    }
}

static void batch_done(struct batch *b, const struct txn_outcome *o)
{
    struct part *p = b->part;
    for (guint i = 0; i < b->drafts->len; i++) {
        struct draft *x = b->drafts->pdata[i];
        if (x->changed)
            page_at(p, x->number)->stamp = o->at;
    }
    part_marks_durable(p, is_drafted, b);
    batch_over(b);
    for (guint i = 0; i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (h)
            batch_settled(p, h, o);
    }
    p->dirty = p->dirty || b->rest;
    batch_free(b);
    part_place_all(p);
    part_flush_soon(p);
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void batch_resync(void *arg, bool ok)
{
    struct batch *b = arg;
    struct part *p = b->part;
    bool current = b->generation == p->generation;
    p->dirty = true;
    batch_over(b);
    for (guint i = 0; current && i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (!h)
            continue;
        h->new_images = h->new_images || h->described;
        h->described = h->removing = false;
        for (guint k = 0; k < h->runs->len; k++)
            ((struct run *)h->runs->pdata[k])->in_txn = false;
    }
    if (current && ok)
        part_records_sync(p);
    for (guint i = 0; current && i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (h)
            part_push(p, h);
    }
    timer_start(p->loop, &p->flush, ok ? FLUSH_MS : RETRY_MS);
    batch_free(b);
}

static void batch_answered(void *arg, const struct txn_outcome *o)
{
    struct batch *b = arg;
    struct part *p = b->part;
    if (b->generation != p->generation) {
        /* The map has changed meanwhile: the records were taken from the view then. */
        batch_resync(b, true);
        return;
    }
    switch (o->result) {
    case TXN_DONE:
        batch_done(b, o);
        return;
    case TXN_CONFLICT:
        LOG_DEBUG("record_conflict", "hosts=%u first=%s", b->hosts->len,
                  o->failed->len ? (char *)o->failed->pdata[0] : "");
        view_await(p->view, o->at, batch_resync, b);
        return;
    case TXN_UNKNOWN:
        LOG_INFO("record_unknown", "hosts=%u", b->hosts->len);
        view_barrier(p->view, batch_resync, b);
        return;
    default:
        batch_resync(b, false);
    }
}

/* The longer writes wait for this node's share of them, the more goes into one. */
static bool write_due(struct part *p)
{
    const struct store_limits *l = store_limits(p->store);
    /* The nodes that live share the writes, as they share the machines. */
    double rate = l->write_rps * RECORDS_SHARE / MAX(p->view->map->len, 1);
    mono_time now = loop_now(p->loop);
    p->write_level = MIN(BURST, p->write_level + rate * (double)(now.us - p->write_at.us) / 1e6);
    p->write_at = now;
    if (p->write_level >= 1)
        return true;
    timer_start(p->loop, &p->flush, (int64_t)ceil((1 - p->write_level) / rate * 1000));
    return false;
}

void part_write_over(struct part *p, uint64_t generation, bool ok)
{
    p->txn_out = false;
    if (ok && generation == p->generation)
        part_records_sync(p);
    p->dirty = true;
    timer_start(p->loop, &p->flush, ok ? FLUSH_MS : RETRY_MS);
}

/* Conditions of all that this node writes of records. */
struct txn *part_txn(struct part *p)
{
    struct txn *t = txn_new();
    char *self = key_node(p->settings->label);
    txn_when(t, self, membership_stamp(p->members));
    txn_when(t, KEY_MAP, p->view->map_stamp);
    g_free(self);
    return t;
}

void part_flush(void *arg)
{
    struct part *p = arg;
    if (p->txn_out || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v ||
        !map_names(p->view, p->settings->label, membership_incarnation(p->members)))
        return;
    bool split = part_split_due(p);
    bool roll = part_roll_due(p);
    if ((!p->dirty && !split && !roll) || !write_due(p) || (split && part_split(p)))
        return;
    if (roll) {
        part_roll(p);
        return;
    }
    p->dirty = false;
    struct batch *b = g_new0(struct batch, 1);
    *b = (struct batch){.part = p,
                        .generation = p->generation,
                        .plain = part_plain(p),
                        .hosts = g_ptr_array_new_with_free_func(g_free),
                        .txn = part_txn(p),
                        .jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                        .drafts = g_ptr_array_new_with_free_func(draft_free),
                        .sources = g_ptr_array_new()};
    batch_fill(b);
    if (!txn_writes(b->txn)) {
        /* Nothing can be written as things are; a machine without records may be gone. */
        txn_free(b->txn);
        p->dirty = b->rest;
        batch_over(b);
        for (guint i = 0; i < b->hosts->len; i++) {
            struct host *h = part_host_get(p, b->hosts->pdata[i]);
            if (h && h->gone && !h->stamp.v && !part_host_has_run(h))
                g_hash_table_remove(p->hosts, h->id.s);
        }
        batch_free(b);
        if (p->dirty)
            timer_start(p->loop, &p->flush, RETRY_MS);
        return;
    }
    p->write_level -= txn_writes(b->txn);
    p->waits.writes += txn_writes(b->txn);
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, b->txn, batch_answered, b);
}
