#include "part_state.h"

#include "log.h"

#include <math.h>

enum {
    FLUSH_MS = 4,
    RETRY_MS = 120,
    PAGE_MARGIN = 400, /* bytes of a page's value besides its texts, and a little to spare */
    VALUE_BYTES = 64,  /* and without that */
    NUMBER_BYTES = 30, /* of an attempt and an index */
    TXN_BYTES = 48 * 1024,
    DESCRIBE_MS = 30000, /* a machine's images are written again no sooner */
    BURST = 6,           /* writes that may be made at once after a pause */
};

/* Of the writes that the state service allows, as much as all nodes' records may use. */
static const double RECORDS_SHARE = 0.8;

void part_flush_soon(struct part *p)
{
    if (!p->txn_out && !p->flush.place)
        timer_start(p->loop, &p->flush, FLUSH_MS);
}

/* ---- pages ---- */

void part_page_free(gpointer q)
{
    struct own_page *g = q;
    g_array_unref(g->leftover);
    g_free(g);
}

void part_done_free(gpointer q)
{
    struct done_chunk *d = q;
    g_byte_array_unref(d->bits);
    g_free(d);
}

static struct own_page *page_at(struct part *p, int number)
{
    while ((int)p->pages->len <= number) {
        struct own_page *g = g_new0(struct own_page, 1);
        g->bytes = PAGE_MARGIN;
        g->leftover = g_array_new(FALSE, FALSE, sizeof(struct leftover));
        g_ptr_array_add(p->pages, g);
    }
    return p->pages->pdata[number];
}

static bool page_has_room(struct part *p, const struct own_page *g, gsize more)
{
    return g->bytes + more <= store_limits(p->store)->value_bytes;
}

/* A page with room for so much more, and some to grow, if there is one; else a new one. */
static int page_with_room(struct part *p, gsize more)
{
    for (guint i = 0; i < p->pages->len; i++)
        if (page_has_room(p, p->pages->pdata[i], more + store_limits(p->store)->value_bytes / 4))
            return (int)i;
    for (guint i = 0; i < p->pages->len; i++)
        if (page_has_room(p, p->pages->pdata[i], more))
            return (int)i;
    page_at(p, (int)p->pages->len);
    return (int)p->pages->len - 1;
}

/* What its page has to say of a machine that has no record of its own yet, or NULL. */
static char *about_host(const struct host *h)
{
    return h->stamp.v ? NULL : machine_about(h->addr, h->build, h->yard, h->loaners);
}

/* What the first task of a job on a machine takes on a page, at most. */
static gsize first_bytes(const struct host *h, job_id job)
{
    gsize about = h->stamp.v ? 0 : strlen(h->addr) + strlen(h->build) + strlen(h->yard) + 8;
    return strlen(h->id.s) + about + strlen(job.s) + 4 + NUMBER_BYTES;
}

/* What one more task of a job takes. */
static gsize task_bytes(const struct host *h, job_id job)
{
    for (guint i = 0; i < h->runs->len; i++)
        if (job_eq(((struct run *)h->runs->pdata[i])->job, job))
            return NUMBER_BYTES;
    return first_bytes(h, job);
}

/* What a machine's tasks take at most, or those of them that are not on record. */
static gsize host_bytes(const struct host *h, bool only_new)
{
    gsize n = 0;
    for (guint i = 0; i < h->runs->len; i++) {
        const struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_GONE || (r->phase != RUN_NEW && only_new))
            continue;
        bool first = true;
        for (guint k = 0; k < i && first; k++) {
            const struct run *other = h->runs->pdata[k];
            first = other->phase == RUN_GONE || !job_eq(other->job, r->job);
        }
        n += first ? first_bytes(h, r->job) : NUMBER_BYTES;
    }
    return n;
}

void part_host_dirty(struct part *p, struct host *h)
{
    if (h->page < 0) {
        h->page = page_with_room(p, host_bytes(h, false));
        page_at(p, h->page)->bytes += host_bytes(h, false);
    }
    page_at(p, h->page)->dirty = true;
    if (h->page_from >= 0)
        page_at(p, h->page_from)->dirty = true;
    part_flush_soon(p);
}

/* Room for one more task on the machine's page, or on another that it can move to. */
bool part_record_has_room(struct part *p, struct host *h, job_id job)
{
    gsize more = task_bytes(h, job);
    return h->page < 0 || page_has_room(p, page_at(p, h->page), more) ||
           (h->page_from < 0 &&
            PAGE_MARGIN + host_bytes(h, false) + more <= store_limits(p->store)->value_bytes);
}

void part_record_new(struct part *p, struct host *h, job_id job)
{
    gsize more = task_bytes(h, job);
    if (h->page >= 0 && !page_has_room(p, page_at(p, h->page), more)) {
        h->page_from = *h->foreign ? -1 : h->page;
        h->page = -1;
    }
    part_host_dirty(p, h);
    page_at(p, h->page)->bytes += more;
}

/* ---- what is done ---- */

static char *chunk_key(job_id job, uint32_t chunk)
{
    return g_strdup_printf("%s %u", job.s, chunk);
}

/* The bytes of a chunk's bits when all its tasks are done. */
static guint chunk_size(const struct job *j, uint32_t chunk)
{
    return MIN((guint)DONE_CHUNK, j->tasks - chunk * DONE_CHUNK) / 8 + 1;
}

/* The room that a chunk may come to take on its page is kept from the start. page -1: any. */
static struct done_chunk *done_make(struct part *p, const struct job *j, uint32_t chunk, int page)
{
    char *key = chunk_key(j->id, chunk);
    struct done_chunk *d = g_hash_table_lookup(p->done, key);
    if (d) {
        g_free(key);
        return d;
    }
    gsize bytes = sizeof j->id.s + 16 + 2 * (gsize)chunk_size(j, chunk);
    d = g_new0(struct done_chunk, 1);
    d->job = j->id;
    d->chunk = chunk;
    d->bits = g_byte_array_new();
    d->page = page < 0 ? page_with_room(p, bytes) : page;
    page_at(p, d->page)->bytes += bytes;
    g_hash_table_insert(p->done, key, d);
    return d;
}

static void bits_merge(GByteArray *to, const guint8 *from, guint len)
{
    bits_grow(to, len);
    for (guint i = 0; i < len; i++)
        to->data[i] |= from[i];
}

void part_mark_done(struct part *p, struct run *r)
{
    struct job *j = part_live_job(p, r->job);
    if (!j)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t chunk = r->index / DONE_CHUNK, bit = r->index % DONE_CHUNK;
    struct done_chunk *d = done_make(p, j, chunk, -1);
    bits_grow(d->bits, bit / 8 + 1);
    d->bits->data[bit / 8] |= (guint8)(1 << (bit % 8));
    page_at(p, d->page)->dirty = true;
}

/* The page that says that a task is done; -1: none does. */
static int page_of_mark(struct part *p, const struct run *r)
{
    char *key = chunk_key(r->job, r->index / DONE_CHUNK);
    struct done_chunk *d = g_hash_table_lookup(p->done, key);
    g_free(key);
    return d ? d->page : -1;
}

struct done_reader {
    struct part *part;
    int page;
};

/* What an earlier process of this label wrote stays on its page. */
static void read_chunk(void *ctx, job_id job, uint32_t chunk, const GByteArray *bits)
{
    struct done_reader *r = ctx;
    struct job *j = part_live_job(r->part, job);
    if (!j || chunk * DONE_CHUNK >= j->tasks)
        return;
    struct done_chunk *d = done_make(r->part, j, chunk, r->page);
    bits_merge(d->bits, bits->data, bits->len);
}

/* ---- agreement with the view ---- */

/* What stays kept for chunks that may still grow. */
static gsize done_growth(struct part *p, int number)
{
    gsize n = 0;
    GHashTableIter it;
    struct done_chunk *d;
    g_hash_table_iter_init(&it, p->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&d)) {
        struct job *j = part_live_job(p, d->job);
        if (d->page == number && j)
            n += 2 * (chunk_size(j, d->chunk) - MIN(d->bits->len, DONE_CHUNK / 8));
    }
    return n;
}

static void page_sync(struct part *p, int number)
{
    struct own_page *g = page_at(p, number);
    char *key = key_page(p->settings->label, number);
    struct page *v = g_hash_table_lookup(p->view->pages, key);
    g_free(key);
    g->stamp = v ? v->stamp : (revision){0};
    g_array_set_size(g->leftover, 0);
    for (guint i = 0; v && i < v->tasks->len; i++) {
        struct placed *t = v->tasks->pdata[i];
        if (part_host_get(p, t->host->id.s))
            continue;
        struct leftover x = {t->host->id, t->job->id, t->attempt, t->index};
        g_array_append_val(g->leftover, x);
    }
    if (v && v->done) {
        struct done_reader r = {p, number};
        page_read_done(v->done, read_chunk, &r);
    }
    g->bytes = PAGE_MARGIN + (v ? v->bytes : 0) + done_growth(p, number);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (h->page == number)
            g->bytes += host_bytes(h, h->page_from < 0);
}

void part_records_sync(struct part *p)
{
    GHashTableIter it;
    struct page *v;
    struct host *h;
    g_hash_table_iter_init(&it, p->view->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&v))
        if (strcmp(v->label, p->settings->label) == 0)
            page_at(p, v->number);
    for (guint i = 0; i < p->pages->len; i++)
        page_sync(p, (int)i);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        part_host_sync(p, h);
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
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if ((h->page_from < 0 ? h->page : h->page_from) == v->number && !*h->foreign)
            part_host_sync(p, h);
}

/* ---- transactions ---- */

/* A page that is being written. */
struct draft {
    GString *tasks;
    char *done;
    gsize kept; /* bytes of the value for anything but tasks */
};

struct batch {
    struct part *part;
    uint64_t generation;
    GPtrArray *hosts; /* char *: ids */
    struct txn *txn;  /* while it is made */
    GHashTable *jobs; /* that it is conditioned on */
    char *about;      /* what the page says of the machine at hand; NULL: nothing */
    GString *foreign; /* key of the page that machines are taken over from; empty: none */
    GPtrArray
        *drafts; /* struct draft, of the pages that it writes, by number; NULL: not that one */
};

static void batch_free(struct batch *b)
{
    g_ptr_array_unref(b->hosts);
    g_hash_table_unref(b->jobs);
    g_string_free(b->foreign, TRUE);
    g_free(b->about);
    g_ptr_array_unref(b->drafts);
    g_free(b);
}

static json_object *host_value(const struct host *h)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "a", h->addr);
    json_put_text(o, "b", h->build);
    json_put_text(o, "y", h->yard);
    json_object_object_add(o, "l", json_object_new_boolean(h->loaners));
    json_object *images = json_object_new_array();
    for (guint i = 0; i < h->images->len; i++)
        json_object_array_add(images, json_object_new_string(h->images->pdata[i]));
    json_object_object_add(o, "i", images);
    return o;
}

/* Gives the machine a record of its own, or a new one, if there are writes to spare for that; else
 * its page says what it is. A write for each of many new machines would hold their tasks up. */
static void batch_describe(struct batch *b, struct host *h)
{
    struct part *p = b->part;
    mono_time now = loop_now(p->loop);
    bool due = !h->stamp.v || (h->new_images && time_ms_since(now, h->stored) > DESCRIBE_MS);
    /* Half of the writes are kept for pages. */
    const struct store_limits *l = store_limits(p->store);
    guint written = txn_writes(b->txn);
    bool fits = (int)written < l->txn_ops / 2 - 1 && txn_bytes(b->txn) < TXN_BYTES / 4;
    bool spare = p->write_level - written > BURST / 2 || (!h->stamp.v && !b->about);
    if (h->gone || h->described || !h->addr[0] || !due || !fits || !spare)
        return;
    char *key = key_host(h->id);
    txn_when(b->txn, key, h->stamp);
    txn_set(b->txn, key, host_value(h), (lease_id){0});
    g_free(key);
    h->described = true;
    h->new_images = false;
    h->stored = now;
}

/* Takes a machine that is gone off the records. Many may go at once, in a wave of returns, so the
 * rest wait for the next transaction: one with too many writes is refused for ever. */
static void batch_forget(struct batch *b, struct host *h)
{
    guint pages = b->foreign->len > 0;
    for (guint i = 0; i < b->drafts->len; i++)
        pages += b->drafts->pdata[i] != NULL;
    if (txn_writes(b->txn) + pages + 1 > (guint)store_limits(b->part->store)->txn_ops) {
        part_host_dirty(b->part, h);
        return;
    }
    char *key = key_host(h->id);
    txn_when(b->txn, key, h->stamp);
    txn_remove(b->txn, key);
    g_free(key);
    h->removing = true;
}

/* A start may be recorded while its job is as it was seen. */
static bool batch_job(struct batch *b, const struct job *j)
{
    if (g_hash_table_contains(b->jobs, j->id.s))
        return true;
    guint most = 4 * (guint)store_limits(b->part->store)->txn_ops;
    if (txn_conditions(b->txn) + b->part->pages->len + 3 > most)
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

/* The page that a machine's records are on once the transaction is through. They leave one page and
 * come to another in the same transaction, or not yet. */
static int page_after(const struct batch *b, const struct host *h)
{
    if (*h->foreign && strcmp(h->foreign, b->foreign->str) != 0)
        return -1;
    if (h->page_from < 0 || h->page < 0)
        return h->page;
    return b->drafts->pdata[h->page_from] && b->drafts->pdata[h->page] ? h->page : h->page_from;
}

/* Tasks are written by machine, job, attempt and number. In this order a text is as short as it can
 * be, so that what was on a page always fits on it again; in another order the same tasks may take
 * several times as much. */
static gint by_text(job_id a, attempt_no a_try, uint32_t a_index, job_id b, attempt_no b_try,
                    uint32_t b_index)
{
    int job = strcmp(a.s, b.s);
    if (job != 0)
        return job;
    if (a_try.v != b_try.v)
        return a_try.v < b_try.v ? -1 : 1;
    return a_index < b_index ? -1 : a_index > b_index;
}

static gint by_run(gconstpointer a, gconstpointer b)
{
    const struct run *x = *(struct run *const *)a, *y = *(struct run *const *)b;
    return by_text(x->job, x->attempt, x->index, y->job, y->attempt, y->index);
}

static gint by_leftover(gconstpointer a, gconstpointer b)
{
    const struct leftover *x = a, *y = b;
    int host = strcmp(x->host.s, y->host.s);
    return host ? host : by_text(x->job, x->attempt, x->index, y->job, y->attempt, y->index);
}

/* What has to stay on a machine's page, whatever else goes there. */
static void batch_keep(struct batch *b, struct host *h, struct page_writer *w)
{
    drop_dead_news(b->part, h);
    g_ptr_array_sort(h->runs, by_run);
    g_free(b->about);
    b->about = about_host(h);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        /* A task that is done leaves the records together with its mark, or later. */
        int mark = r->phase == RUN_FREEING && r->done ? page_of_mark(b->part, r) : -1;
        r->in_txn = r->phase == RUN_FREEING && (mark < 0 || b->drafts->pdata[mark]);
        if (r->phase == RUN_RECORDED || (r->phase == RUN_FREEING && !r->in_txn))
            page_write_task(w, h->id, b->about, r->job, r->attempt, r->index);
    }
}

/* Puts a machine's run records on its page. The state service takes no value that is too long, so
 * what would not fit beside that which has to stay waits, whatever was reckoned before: a machine
 * that is being taken over goes to another page, and new tasks are not recorded yet. spare: what is
 * left for them. */
static void batch_host(struct batch *b, struct host *h, int number, struct page_writer *w,
                       gsize *spare)
{
    struct part *p = b->part;
    if (*h->foreign && host_bytes(h, false) > *spare) {
        h->page = -1;
        return;
    }
    if (*h->foreign)
        *spare -= host_bytes(h, false);
    batch_keep(b, h, w);
    batch_describe(b, h);
    bool any = false, stays = false, said = h->stamp.v || h->described || b->about;
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        struct job *j = r->phase == RUN_NEW ? part_live_job(p, r->job) : NULL;
        if (said && j && first_bytes(h, r->job) <= *spare && batch_job(b, j)) {
            gsize before = w->text->len;
            page_write_task(w, h->id, b->about, r->job, r->attempt, r->index);
            *spare -= w->text->len - before;
            r->in_txn = true;
        }
        any = any || r->in_txn;
        stays = stays || (r->phase != RUN_GONE && !(r->phase == RUN_FREEING && r->in_txn));
        r->tried = r->tried || r->in_txn;
        if (!r->in_txn && (r->phase == RUN_NEW || r->phase == RUN_FREEING))
            part_host_dirty(p, h); /* with the next one */
    }
    /* Its record goes with its last task, as the page would have to say what it is again. */
    if (h->gone && h->stamp.v && !stays)
        batch_forget(b, h);
    bool moved = h->page_from >= 0 && number == h->page;
    if (any || h->described || h->gone || *h->foreign || moved) {
        h->in_txn = true;
        h->page_put = number;
        g_ptr_array_add(b->hosts, g_strdup(h->id.s));
    }
}

static json_object *page_value(const char *tasks, const char *done)
{
    json_object *o = json_object_new_object();
    json_put_text(o, "t", tasks);
    json_put_text(o, "d", done);
    return o;
}

static char *done_text(struct part *p, int number)
{
    struct page_writer w = {.text = g_string_new(NULL)};
    GHashTableIter it;
    struct done_chunk *d;
    g_hash_table_iter_init(&it, p->done);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&d)) {
        if (d->page != number)
            continue;
        if (part_live_job(p, d->job))
            page_write_done(&w, d->job, d->chunk, d->bits);
        else
            g_hash_table_iter_remove(&it);
    }
    return g_string_free(w.text, FALSE);
}

static void write_leftover(struct part *p, GArray *tasks, struct page_writer *w)
{
    g_array_sort(tasks, by_leftover);
    for (guint i = 0; i < tasks->len; i++) {
        struct leftover *x = &g_array_index(tasks, struct leftover, i);
        char *about = host_record_about(view_host(p->view, x->host.s));
        page_write_task(w, x->host, about, x->job, x->attempt, x->index);
        g_free(about);
    }
}

/* One page as it is to be, with all that lies on it. */
static void batch_page(struct batch *b, int number)
{
    struct part *p = b->part;
    struct own_page *g = page_at(p, number);
    struct draft *draft = b->drafts->pdata[number];
    struct page_writer w = {.text = draft->tasks}, kept = {.text = g_string_new(NULL)};
    GPtrArray *hosts = g_ptr_array_new();
    g->dirty = false;
    write_leftover(p, g->leftover, &w);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        if (page_after(b, h) == number) {
            g_ptr_array_add(hosts, h);
            if (!*h->foreign)
                batch_keep(b, h, &kept);
        }
    /* Reckoned beforehand was a little too much, never too little; so of the margin a part may be
     * used here, and what was promised room gets it. */
    gsize all = store_limits(p->store)->value_bytes + PAGE_MARGIN - VALUE_BYTES;
    gsize used = draft->kept + w.text->len + kept.text->len, spare = all > used ? all - used : 0;
    for (guint i = 0; i < hosts->len; i++)
        batch_host(b, hosts->pdata[i], number, &w, &spare);
    g_ptr_array_unref(hosts);
    g_string_free(kept.text, TRUE);
}

/* The page of another node without the machines that this transaction takes over. */
static void batch_foreign(struct batch *b)
{
    struct part *p = b->part;
    struct page *v = g_hash_table_lookup(p->view->pages, b->foreign->str);
    if (!v)
        return;
    struct page_writer w = {.text = g_string_new(NULL)};
    GArray *left = g_array_new(FALSE, FALSE, sizeof(struct leftover));
    for (guint i = 0; i < v->tasks->len; i++) {
        struct placed *t = v->tasks->pdata[i];
        struct host *h = part_host_get(p, t->host->id.s);
        if (h && h->in_txn && strcmp(h->foreign, v->key) == 0)
            continue;
        struct leftover x = {t->host->id, t->job->id, t->attempt, t->index};
        g_array_append_val(left, x);
    }
    write_leftover(p, left, &w);
    g_array_unref(left);
    txn_when(b->txn, v->key, v->stamp);
    txn_set(b->txn, v->key, page_value(w.text->str, v->done ? v->done : ""), (lease_id){0});
    g_string_free(w.text, TRUE);
}

/* Machines whose records an earlier owner's page still holds come first, all from one page. */
static void batch_adopt(struct batch *b)
{
    struct part *p = b->part;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!*h->foreign)
            continue;
        if (!b->foreign->len)
            g_string_assign(b->foreign, h->foreign);
        if (strcmp(b->foreign->str, h->foreign) == 0)
            part_host_dirty(p, h);
    }
}

static struct draft *draft_new(struct part *p, int number)
{
    struct draft *x = g_new(struct draft, 1);
    x->tasks = g_string_new(NULL);
    x->done = done_text(p, number);
    x->kept = PAGE_MARGIN + strlen(x->done) + done_growth(p, number);
    return x;
}

static void draft_free(gpointer q)
{
    struct draft *x = q;
    if (!x)
        return;
    g_string_free(x->tasks, TRUE);
    g_free(x->done);
    g_free(x);
}

/* Chooses the pages to be written, beginning with another one each time. */
static void batch_choose(struct batch *b)
{
    struct part *p = b->part;
    const struct store_limits *l = store_limits(p->store);
    gsize bytes = b->foreign->len ? l->value_bytes : 0;
    guint n = p->pages->len, most = MAX(l->txn_ops / 2, 1);
    g_ptr_array_set_size(b->drafts, (int)n);
    p->first_page++;
    for (guint k = 0; k < n && most > 0; k++) {
        guint i = (p->first_page + k) % n;
        if (!page_at(p, (int)i)->dirty || bytes + l->value_bytes > TXN_BYTES)
            continue;
        b->drafts->pdata[i] = draft_new(p, (int)i);
        bytes += l->value_bytes;
        most--;
    }
}

/* What is placed and not in this transaction keeps its room on the page. */
static gsize page_waits(struct part *p, int number)
{
    gsize n = 0;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        for (guint i = 0; h->page == number && i < h->runs->len; i++) {
            const struct run *r = h->runs->pdata[i];
            n += r->phase == RUN_NEW && !r->in_txn ? first_bytes(h, r->job) : 0;
        }
    }
    return n;
}

/* Puts what has changed into a transaction: what machines are, then pages, then the page of another
 * node without what was taken over from it. In this order whoever reads it never misses a task. */
static void batch_fill(struct batch *b)
{
    struct part *p = b->part;
    batch_adopt(b);
    batch_choose(b);
    for (guint i = 0; i < b->drafts->len; i++)
        if (b->drafts->pdata[i])
            batch_page(b, (int)i);
    for (guint i = 0; i < b->drafts->len; i++) {
        struct draft *draft = b->drafts->pdata[i];
        if (!draft)
            continue;
        struct own_page *g = page_at(p, (int)i);
        char *key = key_page(p->settings->label, (int)i);
        txn_when(b->txn, key, g->stamp);
        g->bytes = draft->kept + draft->tasks->len + page_waits(p, (int)i);
        txn_set(b->txn, key, page_value(draft->tasks->str, draft->done), (lease_id){0});
        g_free(key);
    }
    if (b->foreign->len)
        batch_foreign(b);
}

static void batch_settled(struct part *p, struct host *h, const struct txn_outcome *o)
{
    if (h->removing)
        h->stamp = (revision){0};
    else if (h->described)
        h->stamp = o->at;
    h->described = h->removing = false;
    *h->foreign = 0;
    /* While that was under way the machine may have been given another page, for a task that found
     * no room on this one. Its records are here until they are moved: taken off here before they
     * are there, what runs would look free. */
    if (h->page_put >= 0)
        h->page_from = h->page == h->page_put ? -1 : h->page_put;
    h->page_put = -1;
    if (h->page_from >= 0)
        part_host_dirty(p, h); /* both pages, or its new tasks would wait for others' */
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        bool in = r->in_txn;
        r->in_txn = false;
        if (in && r->phase == RUN_NEW) {
            r->phase = RUN_RECORDED;
            part_run_heed_job(p, r);
        } else if (in && r->phase == RUN_FREEING) {
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
        part_host_dirty(p, h);
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
    for (guint i = 0; i < b->drafts->len; i++)
        if (b->drafts->pdata[i])
            page_at(p, (int)i)->stamp = o->at;
    batch_over(b);
    for (guint i = 0; i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (h)
            batch_settled(p, h, o);
    }
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
    for (guint i = 0; current && i < b->drafts->len; i++)
        if (b->drafts->pdata[i])
            page_at(p, (int)i)->dirty = true;
    batch_over(b);
    for (guint i = 0; current && i < b->hosts->len; i++) {
        struct host *h = part_host_get(p, b->hosts->pdata[i]);
        if (!h)
            continue;
        h->new_images = h->new_images || h->described;
        h->described = h->removing = false;
        h->page_put = -1;
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

void part_flush(void *arg)
{
    struct part *p = arg;
    if (p->txn_out || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v ||
        !map_names(p->view, p->settings->label, membership_incarnation(p->members)))
        return;
    bool any = false;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (!any && g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        any = *h->foreign;
    for (guint i = 0; i < p->pages->len; i++)
        any = any || page_at(p, (int)i)->dirty;
    if (!any || !write_due(p))
        return;
    struct batch *b = g_new0(struct batch, 1);
    *b = (struct batch){.part = p,
                        .generation = p->generation,
                        .hosts = g_ptr_array_new_with_free_func(g_free),
                        .txn = txn_new(),
                        .jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                        .foreign = g_string_new(NULL),
                        .drafts = g_ptr_array_new_with_free_func(draft_free)};
    char *self = key_node(p->settings->label);
    txn_when(b->txn, self, membership_stamp(p->members));
    txn_when(b->txn, KEY_MAP, p->view->map_stamp);
    g_free(self);
    batch_fill(b);
    p->write_level -= txn_writes(b->txn);
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, b->txn, batch_answered, b);
}
