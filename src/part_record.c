#include "part_state.h"

#include "log.h"

enum {
    FLUSH_MS = 4,
    RETRY_MS = 120,
};

void part_flush_soon(struct part *p)
{
    if (!p->txn_out && !p->flush.place)
        timer_start(p->loop, &p->flush, FLUSH_MS);
}

static json_object *record_value(struct host *h)
{
    json_object *o = json_object_new_object(), *jobs = json_object_new_object();
    json_put_text(o, "a", h->addr);
    json_put_text(o, "b", h->build);
    json_put_text(o, "y", h->yard);
    json_object_object_add(o, "l", json_object_new_boolean(h->loaners));
    json_object *images = json_object_new_array();
    for (guint i = 0; i < h->images->len; i++)
        json_object_array_add(images, json_object_new_string(h->images->pdata[i]));
    json_object_object_add(o, "i", images);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_NEW && r->phase != RUN_RECORDED)
            continue;
        json_object *list = NULL;
        if (!json_object_object_get_ex(jobs, r->job.s, &list)) {
            list = json_object_new_array();
            json_object_object_add(jobs, r->job.s, list);
        }
        json_object_array_add(list, json_object_new_uint64(r->index));
        json_object_array_add(list, json_object_new_uint64(r->attempt.v));
    }
    json_object_object_add(o, "t", jobs);
    return o;
}

/* Room for one more task in the record's value. */
bool part_record_has_room(struct part *p, struct host *h)
{
    size_t size = 200 + h->images->len * 30, n = 0;
    for (guint i = 0; i < h->runs->len; i++)
        n += ((struct run *)h->runs->pdata[i])->phase != RUN_GONE;
    return size + n * 40 + 100 < store_limits(p->store)->value_bytes;
}

static void mark_done(struct part *p, GHashTable *marks, struct run *r)
{
    struct job *j = part_live_job(p, r->job);
    if (!j)
        return; /* cancelled: nobody has any use for what its tasks did */
    uint32_t chunk = r->index / DONE_CHUNK, bit = r->index % DONE_CHUNK;
    char *key = key_done(r->job, chunk, p->settings->label);
    GByteArray *bits = g_hash_table_lookup(p->marks, key);
    if (!bits) {
        bits = g_byte_array_new();
        g_hash_table_insert(p->marks, g_strdup(key), bits);
    }
    /* Everything known to be done goes in, so that what an earlier process of this label wrote
     * under the same key is not lost. */
    size_t base = (size_t)chunk * DONE_CHUNK / 8, total = (j->tasks + 7) / 8;
    size_t size = MIN((size_t)DONE_CHUNK / 8, total - base), old = bits->len;
    if (old < size) {
        g_byte_array_set_size(bits, size);
        memset(bits->data + old, 0, size - old);
    }
    for (size_t i = 0; j->done && i < size; i++)
        bits->data[i] |= j->done[base + i];
    bits->data[bit / 8] |= (uint8_t)(1 << (bit % 8));
    g_hash_table_add(marks, key);
}

static json_object *mark_value(const GByteArray *bits)
{
    GString *s = g_string_new(NULL);
    guint n = bits->len;
    while (n && !bits->data[n - 1])
        n--;
    for (guint i = 0; i < n; i++)
        g_string_append_printf(s, "%02x", bits->data[i]);
    json_object *o = json_object_new_object();
    json_put_text(o, "d", s->str);
    g_string_free(s, TRUE);
    return o;
}

struct batch {
    struct part *part;
    uint64_t generation;
    GPtrArray *hosts; /* char *: ids */
};

static void batch_free(struct batch *b)
{
    g_ptr_array_unref(b->hosts);
    g_free(b);
}

/* Runs of jobs that were cancelled before their record was written: nothing was started. */
static void drop_dead_news(struct part *p, struct host *h)
{
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (r->phase == RUN_NEW && !part_live_job(p, r->job))
            part_run_remove(h, i);
        else
            i++;
    }
}

/* Puts a machine's changes into the transaction; false when they no longer fit. */
static bool batch_host(struct part *p, struct txn *t, struct host *h, GHashTable *jobs,
                       GHashTable *marks)
{
    const struct store_limits *l = store_limits(p->store);
    drop_dead_news(p, h);
    guint new_jobs = 0, new_marks = 0;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_GONE && g_hash_table_add(seen, r->job.s)) {
            new_jobs += !g_hash_table_contains(jobs, r->job.s);
            new_marks++;
        }
    }
    g_hash_table_unref(seen);
    guint writes = txn_writes(t) + g_hash_table_size(marks) + new_marks + 1;
    if (txn_writes(t) &&
        (writes > (guint)l->txn_ops || txn_conditions(t) + new_jobs + 1 > 4 * (guint)l->txn_ops ||
         txn_bytes(t) + l->value_bytes > 48 * 1024))
        return false;
    for (guint i = 0; i < h->runs->len; i++) {
        struct run *r = h->runs->pdata[i];
        r->in_txn = r->phase == RUN_NEW || r->phase == RUN_FREEING;
        if (r->phase == RUN_NEW && !g_hash_table_contains(jobs, r->job.s)) {
            struct job *j = part_live_job(p, r->job);
            char *key = key_job(r->job);
            txn_when(t, key, j->stamp);
            g_free(key);
            g_hash_table_add(jobs, r->job.s);
        }
        if (r->phase == RUN_FREEING && r->done)
            mark_done(p, marks, r);
    }
    char *key = key_host(h->id);
    txn_when(t, key, h->stamp);
    h->removing = h->gone;
    if (h->gone)
        txn_remove(t, key);
    else
        txn_set(t, key, record_value(h), (lease_id){0});
    g_free(key);
    h->dirty = false;
    h->in_txn = true;
    return true;
}

static void batch_settled(struct part *p, struct host *h, const struct txn_outcome *o)
{
    h->stamp = h->removing ? (revision){0} : o->at;
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        bool in = r->in_txn;
        r->in_txn = false;
        if (in && r->phase == RUN_NEW) {
            r->phase = RUN_RECORDED;
            part_run_heed_job(p, r);
        } else if (in && r->phase == RUN_FREEING) {
            part_run_unbook(h, r);
            r->phase = RUN_GONE;
            if (!r->seen) {
                g_ptr_array_remove_index_fast(h->runs, i);
                continue;
            }
        }
        i++;
    }
    if (h->removing) {
        g_hash_table_remove(p->hosts, h->id.s);
    } else if (h->gone) {
        /* It went while this was being written; what was just recorded went with it. */
        part_free_all_runs(p, h, "returned");
        h->dirty = true;
    } else {
        part_push(p, h);
    }
}

/* The view is past the moment of the conflict, or the unknown end: take what is on record. */
static void batch_resync(void *arg, bool ok)
{
    struct batch *b = arg;
    struct part *p = b->part;
    if (b->generation == p->generation) {
        for (guint i = 0; i < b->hosts->len; i++) {
            struct host *h = part_host_get(p, b->hosts->pdata[i]);
            if (!h)
                continue;
            h->in_txn = false;
            h->dirty = true;
            for (guint k = 0; k < h->runs->len; k++)
                ((struct run *)h->runs->pdata[k])->in_txn = false;
            struct host_record *rec = view_host(p->view, h->id.s);
            if (ok && (rec ? rec->stamp.v : 0) >= h->stamp.v)
                part_host_sync(p, h);
            part_push(p, h);
        }
        p->txn_out = false;
        timer_start(p->loop, &p->flush, ok ? FLUSH_MS : RETRY_MS);
    } else {
        p->txn_out = false;
        part_flush_soon(p);
    }
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
        p->txn_out = false;
        for (guint i = 0; i < b->hosts->len; i++) {
            struct host *h = part_host_get(p, b->hosts->pdata[i]);
            if (!h)
                continue;
            h->in_txn = false;
            batch_settled(p, h, o);
        }
        batch_free(b);
        part_place_all(p);
        part_flush_soon(p);
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

void part_flush(void *arg)
{
    struct part *p = arg;
    if (p->txn_out || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v ||
        !map_names(p->view, p->settings->label, membership_incarnation(p->members)))
        return;
    struct txn *t = txn_new();
    char *self = key_node(p->settings->label);
    txn_when(t, self, membership_stamp(p->members));
    txn_when(t, KEY_MAP, p->view->map_stamp);
    g_free(self);
    GHashTable *jobs = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct batch *b = g_new(struct batch, 1);
    *b = (struct batch){p, p->generation, g_ptr_array_new_with_free_func(g_free)};
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!h->dirty)
            continue;
        if (!batch_host(p, t, h, jobs, marks))
            break;
        g_ptr_array_add(b->hosts, g_strdup(h->id.s));
    }
    char *key;
    g_hash_table_iter_init(&it, marks);
    while (g_hash_table_iter_next(&it, (gpointer *)&key, NULL))
        txn_set(t, key, mark_value(g_hash_table_lookup(p->marks, key)), (lease_id){0});
    g_hash_table_unref(jobs);
    g_hash_table_unref(marks);
    if (b->hosts->len == 0) {
        batch_free(b);
        txn_free(t);
        return;
    }
    p->txn_out = true;
    store_txn(p->store, LANE_URGENT, t, batch_answered, b);
}
