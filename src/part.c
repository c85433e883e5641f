#include "part_state.h"

#include "log.h"
#include "node.h"

enum {
    TICK_MS = 250,
    DIGEST_MS = 1000,
    LAPSED_MS = 20000,
    MOST_BURIED = 5000,
    WHOLE_EVERY = 15, /* digests: one that names all machines */
};

static void part_view(struct part *p, const GArray *changes);
static void heed_job(struct part *p, job_id id);
static void digest(void *arg);
static void tick(void *arg);
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer);

static void receive(struct actor *self, const struct message *m)
{
    if (m->kind == MSG_VIEW)
        part_view((struct part *)self, m->body);
    if (m->kind == MSG_CANCELLED)
        heed_job((struct part *)self, *(job_id *)m->body);
}

static void host_free(gpointer q)
{
    struct host *h = q;
    g_ptr_array_unref(h->runs);
    g_ptr_array_unref(h->images);
    g_array_unref(h->strays);
    g_free(h->about);
    g_free(h);
}

static void delete_json(gpointer q)
{
    cJSON_Delete(q);
}

struct part *part_new(const struct node *n)
{
    struct part *p = g_new0(struct part, 1);
    p->actor = (struct actor){"part", receive};
    p->loop = n->loop;
    p->net = n->net;
    p->store = n->store;
    p->view = n->view;
    p->members = n->members;
    p->bus = n->bus;
    p->peers = n->peers;
    p->settings = n->settings;
    p->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->buried = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->buried_before = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    for (int i = 0; i <= ARQ_CLASSES; i++)
        g_queue_init(&p->queues[i]);
    p->back = g_array_new(FALSE, FALSE, sizeof(struct dealt));
    p->news = g_ptr_array_new_with_free_func(delete_json);
    p->pages = g_ptr_array_new_with_free_func(part_page_free);
    p->rolls = g_ptr_array_new_with_free_func(g_free);
    p->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, part_done_free);
    p->roomy = g_ptr_array_new();
    p->nones = g_array_new(FALSE, FALSE, sizeof(struct lack));
    p->write_at = loop_now(p->loop);
    timer_init(&p->tick, tick, p);
    timer_init(&p->flush, part_flush, p);
    timer_init(&p->digest, digest, p);
    timer_init(&p->place, part_place_all, p);
    view_listen(p->view, &p->actor);
    peers_listen(p->peers, &p->actor);
    bus_handle(p->bus, "deal", on_deal, p);
    return p;
}

static void drop_queues(struct part *p)
{
    for (int i = 0; i <= ARQ_CLASSES; i++)
        while (p->queues[i].head)
            g_free(g_queue_pop_head(&p->queues[i]));
    g_array_set_size(p->back, 0);
}

void part_free(struct part *p)
{
    timer_stop(p->loop, &p->tick);
    timer_stop(p->loop, &p->flush);
    timer_stop(p->loop, &p->digest);
    timer_stop(p->loop, &p->place);
    drop_queues(p);
    g_hash_table_unref(p->hosts);
    g_hash_table_unref(p->done);
    g_ptr_array_unref(p->pages);
    g_ptr_array_unref(p->rolls);
    g_hash_table_unref(p->redirects);
    g_hash_table_unref(p->buried);
    g_hash_table_unref(p->buried_before);
    g_array_unref(p->back);
    g_ptr_array_unref(p->news);
    g_ptr_array_unref(p->roomy);
    g_array_unref(p->nones);
    g_free(p);
}

void part_start(struct part *p)
{
    timer_start(p->loop, &p->tick, TICK_MS);
    timer_start(p->loop, &p->digest, DIGEST_MS);
}

void part_digest_soon(struct part *p)
{
    p->digest_soon = true;
    if (!p->digest_out)
        timer_start(p->loop, &p->digest, 15);
}

/* ---- the leader ---- */

static void deal_one(struct part *p, const cJSON *x)
{
    const char *yard = bus_text(x, "y"), *at = bus_text(x, "h");
    struct dealt d = {0};
    if (!bus_task_read(x, &d.job, &d.index, &d.attempt)) {
        LOG_ERROR("deal_malformed", "at=%s", at ? at : "");
        return;
    }
    bus_u64(x, "n", &d.number);
    g_strlcpy(d.yard, yard ? yard : "", sizeof d.yard);
    g_strlcpy(d.at, at ? at : "", sizeof d.at);
    d.since = d.queue_since = loop_now(p->loop);
    p->room_news = true;
    g_queue_push_tail(&p->queues[0], g_memdup2(&d, sizeof d));
}

static void halt_one(struct part *p, const cJSON *x)
{
    const char *host = bus_text(x, "h");
    const cJSON *grace = cJSON_GetObjectItemCaseSensitive(x, "g");
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct host *h = host ? part_host_get(p, host) : NULL;
    if (!h || !bus_task_read(x, &job, &index, &attempt))
        return;
    struct run *r = part_run_find(h, job, index, attempt);
    if (r) {
        part_run_stop(r, cJSON_IsNumber(grace) ? grace->valuedouble : 0);
        part_push(p, h);
    }
}

/* What was placed and is in no transaction has not been started, and never will be: it goes back to
 * the leader, which would take it for dealt for ever. If it may be recorded by a transaction that
 * nobody knows the end of, only a new epoch settles it. */
static void drop_news(struct part *p, struct host *h)
{
    for (guint i = 0; i < h->runs->len;) {
        struct run *r = h->runs->pdata[i];
        if (r->phase != RUN_NEW || r->in_txn) {
            i++;
            continue;
        }
        struct dealt d = {
            .job = r->job, .index = r->index, .attempt = r->attempt, .number = r->deal};
        if (r->tried)
            p->want_raise = true;
        else
            part_give_back(p, &d);
        part_run_remove(p, h, i);
    }
}

/* Late copies of its reports must not make it a machine again. The oldest of very many are
 * forgotten. */
static void bury(struct part *p, const char *id)
{
    if (g_hash_table_size(p->buried) >= MOST_BURIED) {
        GHashTable *older = p->buried_before;
        p->buried_before = p->buried;
        p->buried = older;
        g_hash_table_remove_all(p->buried);
    }
    g_hash_table_add(p->buried, g_strdup(id));
}

bool part_is_buried(const struct part *p, const char *id)
{
    return g_hash_table_contains(p->buried, id) || g_hash_table_contains(p->buried_before, id);
}

static void host_is_gone(struct part *p, const char *id)
{
    struct host *h = part_host_get(p, id);
    if (!h || h->gone)
        return;
    LOG_INFO("machine_gone", "machine=%s", id);
    bury(p, id);
    h->gone = true;
    part_roll_lost(p, h);
    drop_news(p, h);
    part_free_all_runs(p, h, "returned");
    if (h->stamp.v || h->in_txn || part_host_has_run(h)) {
        part_dirty(p);
    } else {
        g_hash_table_remove(p->hosts, id);
    }
}

/* Messages come in an order, counted within an epoch. A copy that was held back must not deal a
 * task once more after it was given back. */
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    (void)answer;
    struct part *p = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(m, "e", &epoch) || !bus_u64(m, "s", &seq))
        return 400;
    if (epoch != p->epoch.v || !membership_valid(p->members) || !p->view->leader ||
        strcmp(p->view->leader, from) != 0)
        return 409;
    if (seq <= p->last_deal)
        return 200;
    p->last_deal = seq;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "gone"))
    {
        if (cJSON_IsString(x))
            host_is_gone(p, x->valuestring);
    }
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "halt")) halt_one(p, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "deal")) deal_one(p, x);
    part_place_all(p);
    return 200;
}

struct digest_sent {
    struct part *part;
    uint64_t generation;
    guint back, news;
};

/* The leader names the machines that are to get nothing more. */
static void heed_shut(struct part *p, const cJSON *names)
{
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
        h->shut = false;
    const cJSON *x;
    cJSON_ArrayForEach(x, names)
    {
        h = cJSON_IsString(x) ? part_host_get(p, x->valuestring) : NULL;
        if (h)
            h->shut = true;
    }
    p->room_news = true;
}

static void digest_answered(void *arg, int status, const cJSON *answer)
{
    struct digest_sent *s = arg;
    struct part *p = s->part;
    p->digest_out = false;
    if (status == 200 && s->generation == p->generation) {
        g_array_remove_range(p->back, 0, s->back);
        g_ptr_array_remove_range(p->news, 0, s->news);
        p->want_raise = false;
        heed_shut(p, cJSON_GetObjectItemCaseSensitive(answer, "shut"));
    } else {
        p->digest_whole = true;
    }
    timer_start(p->loop, &p->digest, p->digest_soon ? 15 : status == 200 ? DIGEST_MS : 250);
    g_free(s);
}

static int host_flags(struct part *p, struct host *h)
{
    int64_t age = time_ms_since(loop_now(p->loop), h->reached);
    int f = 0;
    if (h->known)
        f |= HOST_KNOWN;
    if (h->recalled)
        f |= HOST_RECALLED;
    if (!part_host_open(p, h))
        f |= HOST_QUIET;
    if (h->probe_fails >= 2 && age > (int64_t)(p->settings->report_s * 2500))
        f |= HOST_LOST;
    if ((f & HOST_LOST) && age > (int64_t)(p->settings->lease_s * 1000) + LAPSED_MS &&
        (time_ms_since(loop_now(p->loop), h->heard) < (int64_t)(p->settings->lease_s * 1000) ||
         part_lease_surely_over(p, h))) /* else another node may keep it */
        f |= HOST_LAPSED;
    return f;
}

/* [name, type, zone, spot, flags, images]; images only when they changed. */
static cJSON *digest_host(struct host *h, int flags, bool whole)
{
    cJSON *x = cJSON_CreateArray();
    cJSON_AddItemToArray(x, cJSON_CreateString(h->id.s));
    cJSON_AddItemToArray(x, cJSON_CreateString(h->build));
    cJSON_AddItemToArray(x, cJSON_CreateString(h->yard));
    cJSON_AddItemToArray(x, cJSON_CreateBool(h->loaners));
    cJSON_AddItemToArray(x, cJSON_CreateNumber(flags));
    if (whole || !h->told_images) {
        cJSON *images = cJSON_CreateArray();
        for (guint i = 0; i < h->images->len; i++)
            cJSON_AddItemToArray(images, cJSON_CreateString(h->images->pdata[i]));
        cJSON_AddItemToArray(x, images);
    }
    h->told_flags = flags;
    h->told_images = true;
    return x;
}

static void digest_hosts(struct part *p, cJSON *m)
{
    bool whole = p->digest_whole || p->digests++ % WHOLE_EVERY == 0;
    if (whole)
        part_log_waits(p);
    cJSON *hosts = cJSON_AddArrayToObject(m, "hosts");
    if (whole)
        cJSON_AddTrueToObject(m, "whole");
    p->digest_whole = false;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        int flags = host_flags(p, h);
        if (!h->gone && h->build[0] && (whole || flags != h->told_flags || !h->told_images))
            cJSON_AddItemToArray(hosts, digest_host(h, flags, whole));
    }
}

static void digest(void *arg)
{
    struct part *p = arg;
    p->digest_soon = false;
    if (!p->view->leader || !membership_valid(p->members) || p->epoch.v != p->view->epoch.v) {
        timer_start(p->loop, &p->digest, 250);
        return;
    }
    cJSON *m = cJSON_CreateObject();
    bus_put_u64(m, "e", p->epoch.v);
    bus_put_u64(m, "s", ++p->digest_seq);
    digest_hosts(p, m);
    cJSON *back = cJSON_AddArrayToObject(m, "back");
    for (guint i = 0; i < p->back->len; i++) {
        struct dealt *d = &g_array_index(p->back, struct dealt, i);
        cJSON *x = bus_task(d->job, d->index, d->attempt);
        bus_put_u64(x, "n", d->number);
        cJSON_AddItemToArray(back, x);
    }
    cJSON *news = cJSON_AddArrayToObject(m, "news");
    for (guint i = 0; i < p->news->len; i++)
        cJSON_AddItemToArray(news, cJSON_Duplicate(p->news->pdata[i], true));
    if (p->want_raise)
        cJSON_AddBoolToObject(m, "raise", true);
    struct digest_sent *s = g_new(struct digest_sent, 1);
    *s = (struct digest_sent){p, p->generation, p->back->len, p->news->len};
    p->digest_out = true;
    bus_send(p->bus, p->view->leader, "digest", m, 2000, digest_answered, s);
}

/* ---- the view ---- */

static bool owns(struct part *p, const char *host)
{
    const char *owner = map_owner(p->view, host);
    return owner && strcmp(owner, p->settings->label) == 0 &&
           map_names(p->view, p->settings->label, membership_incarnation(p->members));
}

/* A new epoch: what was dealt under the last one and is not on record is void, and machines may
 * have changed hands. Nothing that was written under the last epoch can come after the map. */
static void new_epoch(struct part *p)
{
    /* If the view shows several new epochs at once, a machine may have had another owner in
     * between, whose commands may still be on their way: it is as if it were taken over only now.
     */
    bool skipped = p->view->epoch.v != p->epoch.v + 1;
    p->epoch = p->view->epoch;
    p->generation++;
    p->last_deal = 0;
    p->digest_whole = true;
    p->want_raise = false;
    drop_queues(p);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        if (!owns(p, h->id.s)) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (skipped) {
            h->owned_since = p->epoch;
            h->owned_at = loop_now(p->loop);
        }
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            r->in_txn = false;
            if (skipped)
                r->sent_helm.v = p->epoch.v - 1;
            if (r->phase == RUN_FREEING)
                r->phase = RUN_RECORDED; /* proven again by the next report */
        }
        h->in_txn = h->described = h->removing = false;
    }
    struct host_record *rec;
    g_hash_table_iter_init(&it, p->view->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rec)) {
        if (!owns(p, rec->id.s) || part_host_get(p, rec->id.s))
            continue;
        part_host_make(p, rec->id);
    }
    part_records_sync(p);
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        drop_news(p, h);
        p->want_raise = false; /* the epoch is new */
        if (h->gone)
            g_ptr_array_add(gone, g_strdup(h->id.s));
        else if (!h->known)
            part_probe(p, h); /* its answer shows what runs there */
    }
    for (guint i = 0; i < gone->len; i++) {
        part_host_get(p, gone->pdata[i])->gone = false;
        host_is_gone(p, gone->pdata[i]);
    }
    g_ptr_array_unref(gone);
    g_array_set_size(p->back, 0);
    part_digest_soon(p);
}

static void heed_job(struct part *p, job_id id)
{
    if (!part_job_over(p, id))
        return;
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        bool any = false;
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (job_eq(r->job, id) && r->phase != RUN_GONE) {
                part_run_heed_job(p, r);
                any = true;
            }
        }
        if (any)
            part_push(p, h);
    }
}

static void part_view(struct part *p, const GArray *changes)
{
    if (p->epoch.v != p->view->epoch.v)
        new_epoch(p);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *c = &g_array_index(changes, struct change, i);
        struct host *h;
        struct host_record *rec;
        switch (c->kind) {
        case CHANGE_JOB:
            heed_job(p, c->job);
            p->room_news = p->room_news || p->queues[0].length;
            break;
        case CHANGE_HOST:
            h = part_host_get(p, c->host.s);
            rec = view_host(p->view, c->host.s);
            if (h && !h->in_txn && rec && rec->stamp.v > h->stamp.v)
                h->stamp = rec->stamp;
            break;
        case CHANGE_PAGE:
            part_page_changed(p, c->page);
            break;
        case CHANGE_TYPES: {
            GHashTableIter it;
            g_hash_table_iter_init(&it, p->hosts);
            while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h))
                part_host_typed(p, h);
            break;
        }
        default:
            break;
        }
    }
    part_place_all(p);
    part_flush_soon(p);
}

static void tick(void *arg)
{
    struct part *p = arg;
    timer_start(p->loop, &p->tick, TICK_MS);
    mono_time now = loop_now(p->loop);
    bool valid = membership_valid(p->members);
    GHashTableIter it;
    struct host *h;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&h)) {
        int64_t age = time_ms_since(now, h->heard);
        if (h->gone || !valid)
            continue;
        if (!h->known || !h->hears || age > (int64_t)(p->settings->report_s * 1250) + 1000)
            part_probe(p, h);
        if (age > (int64_t)(p->settings->lease_s * 1000) && part_host_has_run(h) &&
            part_lease_surely_over(p, h))
            part_free_all_runs(p, h, "lease");
        for (guint i = 0; i < h->runs->len; i++) {
            struct run *r = h->runs->pdata[i];
            if (r->phase == RUN_RECORDED && !r->sent_at.us && !r->seen && !r->stop) {
                part_push(p, h);
                break;
            }
        }
    }
    if (p->want_raise)
        part_digest_soon(p);
    p->room_news = true; /* what has waited for too long is given back */
    part_place_all(p);
    part_flush_soon(p);
}
