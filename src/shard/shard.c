#include "run_records_internal.h"

#include "log.h"

enum {
    TICK_MS = 250,
    DIGEST_MS = 1000,
    LAPSED_MS = 20000,
    WHOLE_EVERY = 15, /* digests: one that names all machines */
};

static void shard_view(struct shard *shard, const GArray *changes);
static void apply_job_change(struct shard *shard, job_id id);
static void digest(void *arg);
static void tick(void *arg);
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer);

static void receive(struct actor *self, const struct message *message)
{
    if (message->kind == MSG_VIEW)
        shard_view((struct shard *)self, message->body);
    if (message->kind == MSG_CANCELLED)
        apply_job_change((struct shard *)self, *(job_id *)message->body);
}

static void host_free(gpointer q)
{
    struct host *host = q;
    g_ptr_array_unref(host->runs);
    g_ptr_array_unref(host->images);
    g_array_unref(host->unknown_tasks);
    g_free(host->about);
    g_free(host);
}

static void delete_json(gpointer q)
{
    cJSON_Delete(q);
}

struct shard *shard_new(const struct shard_setup *setup)
{
    struct shard *shard = g_new0(struct shard, 1);
    shard->actor = (struct actor){"part", receive};
    shard->loop = setup->loop;
    shard->net = setup->net;
    shard->store = setup->store;
    shard->view = setup->view;
    shard->members = setup->members;
    shard->bus = setup->bus;
    shard->peers = setup->peers;
    shard->settings = setup->settings;
    shard->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    shard->returned_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->returned_machines_before = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->closed_for_return = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    shard->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
    for (int i = 0; i <= ARQ_CLASSES; i++)
        g_queue_init(&shard->queues[i]);
    shard->back = g_array_new(FALSE, FALSE, sizeof(struct dealt));
    shard->events = g_ptr_array_new_with_free_func(delete_json);
    shard->pages = g_ptr_array_new_with_free_func(shard_page_free);
    shard->inventories = g_ptr_array_new_with_free_func(g_free);
    shard->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, shard_done_free);
    shard->roomy = g_ptr_array_new();
    shard->nones = g_array_new(FALSE, FALSE, sizeof(struct lack));
    shard->write_at = loop_now(shard->loop);
    timer_init(&shard->tick, tick, shard);
    timer_init(&shard->flush, shard_flush, shard);
    timer_init(&shard->digest, digest, shard);
    timer_init(&shard->place, shard_place_all, shard);
    view_listen(shard->view, &shard->actor);
    peers_listen(shard->peers, &shard->actor);
    bus_handle(shard->bus, "deal", on_deal, shard);
    return shard;
}

static void drop_queues(struct shard *shard)
{
    for (int i = 0; i <= ARQ_CLASSES; i++)
        while (shard->queues[i].head)
            g_free(g_queue_pop_head(&shard->queues[i]));
    g_array_set_size(shard->back, 0);
}

void shard_free(struct shard *shard)
{
    timer_stop(shard->loop, &shard->tick);
    timer_stop(shard->loop, &shard->flush);
    timer_stop(shard->loop, &shard->digest);
    timer_stop(shard->loop, &shard->place);
    drop_queues(shard);
    g_hash_table_unref(shard->hosts);
    g_hash_table_unref(shard->done);
    g_ptr_array_unref(shard->pages);
    g_ptr_array_unref(shard->inventories);
    g_hash_table_unref(shard->redirects);
    g_hash_table_unref(shard->returned_machines);
    g_hash_table_unref(shard->returned_machines_before);
    g_hash_table_unref(shard->closed_for_return);
    g_array_unref(shard->back);
    g_ptr_array_unref(shard->events);
    g_ptr_array_unref(shard->roomy);
    g_array_unref(shard->nones);
    g_free(shard);
}

void shard_start(struct shard *shard)
{
    timer_start(shard->loop, &shard->tick, TICK_MS);
    timer_start(shard->loop, &shard->digest, DIGEST_MS);
}

void shard_digest_soon(struct shard *shard)
{
    shard->digest_soon = true;
    if (!shard->digest_out)
        timer_start(shard->loop, &shard->digest, 15);
}

/* ---- the leader ---- */

static void deal_one(struct shard *shard, const cJSON *x)
{
    const char *zone = bus_text(x, "y"), *at = bus_text(x, "h");
    struct dealt dealt = {0};
    if (!bus_task_read(x, &dealt.job, &dealt.index, &dealt.attempt)) {
        LOG_ERROR("deal_malformed", "at=%s", at ? at : "");
        return;
    }
    bus_u64(x, "n", &dealt.number);
    g_strlcpy(dealt.zone, zone ? zone : "", sizeof dealt.zone);
    g_strlcpy(dealt.at, at ? at : "", sizeof dealt.at);
    dealt.since = dealt.queue_since = loop_now(shard->loop);
    shard->room_changed = true;
    g_queue_push_tail(&shard->queues[0], g_memdup2(&dealt, sizeof dealt));
}

static void halt_one(struct shard *shard, const cJSON *x)
{
    const char *host = bus_text(x, "h");
    const cJSON *grace = cJSON_GetObjectItemCaseSensitive(x, "g");
    job_id job;
    uint32_t index;
    attempt_no attempt;
    struct host *h = host ? shard_host_get(shard, host) : NULL;
    if (!h || !bus_task_read(x, &job, &index, &attempt))
        return;
    struct run *run = shard_run_find(h, job, index, attempt);
    if (run) {
        shard_run_stop(run, cJSON_IsNumber(grace) ? grace->valuedouble : 0);
        shard_push(shard, h);
    }
}

/* What was placed and is in no transaction has not been started, and never will be: it goes back to
 * the leader, which would take it for dealt for ever. If it may be recorded by a transaction that
 * nobody knows the end of, only a new epoch settles it; keep_tried: it stays until that is known.
 */
static void drop_news(struct shard *shard, struct host *host, bool keep_tried)
{
    for (guint i = 0; i < host->runs->len;) {
        struct run *run = host->runs->pdata[i];
        if (run->phase != RUN_NEW || run->record.in_txn || (keep_tried && run->record.tried)) {
            i++;
            continue;
        }
        struct dealt dealt = {
            .job = run->job, .index = run->index, .attempt = run->attempt, .number = run->deal};
        if (run->record.tried)
            shard->want_raise = true;
        else
            shard_give_back(shard, &dealt);
        shard_run_remove(shard, host, i);
    }
}

/* Late copies of its reports must not make it a machine again. The oldest of very many are
 * forgotten. */
static void bury(struct shard *shard, const char *id)
{
    if (g_hash_table_size(shard->returned_machines) >= REMEMBERED_MACHINES) {
        GHashTable *older = shard->returned_machines_before;
        shard->returned_machines_before = shard->returned_machines;
        shard->returned_machines = older;
        g_hash_table_remove_all(shard->returned_machines);
    }
    g_hash_table_add(shard->returned_machines, g_strdup(id));
}

bool shard_machine_was_returned(const struct shard *shard, const char *id)
{
    return g_hash_table_contains(shard->returned_machines, id) ||
           g_hash_table_contains(shard->returned_machines_before, id);
}

static void host_is_gone(struct shard *shard, const char *id)
{
    struct host *host = shard_host_get(shard, id);
    bury(shard, id);
    if (!host || host->gone)
        return;
    LOG_INFO("machine_gone", "machine=%s", id);
    host->gone = true;
    shard_inventory_lost(shard, host);
    drop_news(shard, host, false);
    shard_free_all_runs(shard, host, "returned");
    if (host->stamp.v || host->in_txn || shard_host_has_run(host)) {
        shard_dirty(shard);
    } else {
        g_hash_table_remove(shard->hosts, id);
    }
}

/* Whether a machine is to be returned: nothing is placed on it any more. */
bool shard_machine_returning(const struct shard *shard, const char *id)
{
    return g_hash_table_contains(shard->closed_for_return, id) ||
           duty_table_returning(shard->view->duties, id);
}

static bool has_unrecorded_run(const struct host *host)
{
    for (guint i = 0; i < host->runs->len; i++)
        if (((const struct run *)host->runs->pdata[i])->phase == RUN_NEW)
            return true;
    return false;
}

/* The leader is about to record that the machine goes back. Once this node has said that it places
 * nothing more there, nothing may: what was placed and is not on record goes back to the leader,
 * or, if a transaction may record it, is waited for, and the leader asks again. A later owner sees
 * the intent in its view before it owns the machine, as that is conditioned on the map. */
static void close_for_return(struct shard *shard, const char *id, cJSON *closed)
{
    g_hash_table_add(shard->closed_for_return, g_strdup(id));
    struct host *host = shard_host_get(shard, id);
    if (host) {
        host->returning = true;
        drop_news(shard, host, true);
    }
    if (!host || !has_unrecorded_run(host))
        cJSON_AddItemToArray(closed, cJSON_CreateString(id));
}

/* Messages come in an order, counted within an epoch. A copy that was held back must not deal a
 * task once more after it was given back. */
static int on_deal(void *ctx, const char *from, const cJSON *m, cJSON **answer)
{
    struct shard *shard = ctx;
    uint64_t epoch, seq;
    if (!bus_u64(m, "e", &epoch) || !bus_u64(m, "s", &seq))
        return 400;
    if (epoch != shard->epoch.v || !membership_valid(shard->members) || !shard->view->leader ||
        strcmp(shard->view->leader, from) != 0)
        return 409;
    if (seq <= shard->last_deal)
        return 200;
    shard->last_deal = seq;
    const cJSON *x, *close = cJSON_GetObjectItemCaseSensitive(m, "close");
    if (close) {
        *answer = cJSON_CreateObject();
        cJSON *closed = cJSON_AddArrayToObject(*answer, "closed");
        cJSON_ArrayForEach(x, close)
        {
            if (cJSON_IsString(x))
                close_for_return(shard, x->valuestring, closed);
        }
    }
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "gone"))
    {
        if (cJSON_IsString(x))
            host_is_gone(shard, x->valuestring);
    }
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "halt")) halt_one(shard, x);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(m, "deal")) deal_one(shard, x);
    shard_place_all(shard);
    return 200;
}

struct digest_sent {
    struct shard *shard;
    uint64_t generation;
    guint back, events;
};

/* The leader names the machines that are to get nothing more. */
static void apply_closed_machines(struct shard *shard, const cJSON *names)
{
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
        host->closed = false;
    const cJSON *x;
    cJSON_ArrayForEach(x, names)
    {
        host = cJSON_IsString(x) ? shard_host_get(shard, x->valuestring) : NULL;
        if (host)
            host->closed = true;
    }
    shard->room_changed = true;
}

static void digest_answered(void *arg, int status, const cJSON *answer)
{
    struct digest_sent *sent = arg;
    struct shard *shard = sent->shard;
    shard->digest_out = false;
    if (status == 200 && sent->generation == shard->generation) {
        g_array_remove_range(shard->back, 0, sent->back);
        g_ptr_array_remove_range(shard->events, 0, sent->events);
        shard->want_raise = false;
        apply_closed_machines(shard, cJSON_GetObjectItemCaseSensitive(answer, "shut"));
    } else {
        shard->digest_whole = true;
    }
    timer_start(shard->loop, &shard->digest,
                shard->digest_soon ? 15
                : status == 200    ? DIGEST_MS
                                   : 250);
    g_free(sent);
}

static int host_flags(struct shard *shard, struct host *host)
{
    int64_t age = time_ms_since(loop_now(shard->loop), host->reached);
    int f = 0;
    if (host->known)
        f |= HOST_KNOWN;
    if (host->reclaimed)
        f |= HOST_RECLAIMED;
    if (!shard_host_open(shard, host))
        f |= HOST_QUIET;
    if (host->probe_fails >= 2 && age > (int64_t)(shard->settings->report_s * 2500))
        f |= HOST_LOST;
    if ((f & HOST_LOST) && age > (int64_t)(shard->settings->lease_s * 1000) + LAPSED_MS &&
        (time_ms_since(loop_now(shard->loop), host->heard) <
             (int64_t)(shard->settings->lease_s * 1000) ||
         shard_lease_surely_over(shard, host))) /* else another node may keep it */
        f |= HOST_LAPSED;
    return f;
}

/* [name, type, zone, spot, flags, images]; images only when they changed. */
static cJSON *digest_host(struct host *host, int flags, bool whole)
{
    cJSON *x = cJSON_CreateArray();
    cJSON_AddItemToArray(x, cJSON_CreateString(host->id.s));
    cJSON_AddItemToArray(x, cJSON_CreateString(host->type_name));
    cJSON_AddItemToArray(x, cJSON_CreateString(host->zone));
    cJSON_AddItemToArray(x, cJSON_CreateBool(host->spot));
    cJSON_AddItemToArray(x, cJSON_CreateNumber(flags));
    if (whole || !host->told_images) {
        cJSON *images = cJSON_CreateArray();
        for (guint i = 0; i < host->images->len; i++)
            cJSON_AddItemToArray(images, cJSON_CreateString(host->images->pdata[i]));
        cJSON_AddItemToArray(x, images);
    }
    host->told_flags = flags;
    host->told_images = true;
    return x;
}

static void digest_hosts(struct shard *shard, cJSON *message)
{
    bool whole = shard->digest_whole || shard->digests++ % WHOLE_EVERY == 0;
    if (whole)
        shard_log_waits(shard);
    cJSON *hosts = cJSON_AddArrayToObject(message, "hosts");
    if (whole)
        cJSON_AddTrueToObject(message, "whole");
    shard->digest_whole = false;
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        int flags = host_flags(shard, host);
        if (!host->gone && host->type_name[0] &&
            (whole || flags != host->told_flags || !host->told_images))
            cJSON_AddItemToArray(hosts, digest_host(host, flags, whole));
    }
}

static void digest(void *arg)
{
    struct shard *shard = arg;
    shard->digest_soon = false;
    if (!shard->view->leader || !membership_valid(shard->members) ||
        shard->epoch.v != shard->view->epoch.v) {
        timer_start(shard->loop, &shard->digest, 250);
        return;
    }
    cJSON *m = cJSON_CreateObject();
    bus_put_u64(m, "e", shard->epoch.v);
    bus_put_u64(m, "s", ++shard->digest_seq);
    digest_hosts(shard, m);
    cJSON *back = cJSON_AddArrayToObject(m, "back");
    for (guint i = 0; i < shard->back->len; i++) {
        struct dealt *dealt = &g_array_index(shard->back, struct dealt, i);
        cJSON *x = bus_task(dealt->job, dealt->index, dealt->attempt);
        bus_put_u64(x, "n", dealt->number);
        cJSON_AddItemToArray(back, x);
    }
    cJSON *events = cJSON_AddArrayToObject(m, "news");
    for (guint i = 0; i < shard->events->len; i++)
        cJSON_AddItemToArray(events, cJSON_Duplicate(shard->events->pdata[i], true));
    if (shard->want_raise)
        cJSON_AddBoolToObject(m, "raise", true);
    struct digest_sent *sent = g_new(struct digest_sent, 1);
    *sent = (struct digest_sent){shard, shard->generation, shard->back->len, shard->events->len};
    shard->digest_out = true;
    bus_send(shard->bus, shard->view->leader, "digest", m, 2000, digest_answered, sent);
}

/* ---- the view ---- */

static bool owns(struct shard *shard, const char *host)
{
    const char *owner = map_owner(shard->view, host);
    return owner && strcmp(owner, shard->settings->label) == 0 &&
           map_names(shard->view, shard->settings->label, membership_incarnation(shard->members));
}

/* A new epoch: what was dealt under the last one and is not on record is void, and machines may
 * have changed hands. Nothing that was written under the last epoch can come after the map. */
static void new_epoch(struct shard *shard)
{
    /* If the view shows several new epochs at once, a machine may have had another owner in
     * between, whose commands may still be on their way: it is as if it were taken over only now.
     */
    bool skipped = shard->view->epoch.v != shard->epoch.v + 1;
    shard->epoch = shard->view->epoch;
    shard->generation++;
    shard->last_deal = 0;
    shard->digest_whole = true;
    shard->want_raise = false;
    drop_queues(shard);
    g_hash_table_remove_all(shard->closed_for_return);
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        if (!owns(shard, host->id.s)) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        host->returning = shard_machine_returning(shard, host->id.s);
        if (skipped) {
            host->owned_since = shard->epoch;
            host->owned_at = loop_now(shard->loop);
        }
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *run = host->runs->pdata[i];
            run->record.in_txn = false;
            if (skipped)
                run->sent_token.v = shard->epoch.v - 1;
            if (run->phase == RUN_FREEING)
                run->phase = RUN_RECORDED; /* proven again by the next report */
        }
        host->in_txn = host->described = host->removing = false;
    }
    struct host_record *rec;
    g_hash_table_iter_init(&it, shard->view->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&rec)) {
        if (!owns(shard, rec->id.s) || shard_host_get(shard, rec->id.s))
            continue;
        shard_host_make(shard, rec->id);
    }
    shard_records_sync(shard);
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        drop_news(shard, host, false);
        shard->want_raise = false; /* the epoch is new */
        if (host->gone)
            g_ptr_array_add(gone, g_strdup(host->id.s));
        else if (!host->known)
            shard_probe(shard, host); /* its answer shows what runs there */
    }
    for (guint i = 0; i < gone->len; i++) {
        shard_host_get(shard, gone->pdata[i])->gone = false;
        host_is_gone(shard, gone->pdata[i]);
    }
    g_ptr_array_unref(gone);
    g_array_set_size(shard->back, 0);
    shard_digest_soon(shard);
}

static void apply_job_change(struct shard *shard, job_id id)
{
    if (!shard_job_over(shard, id))
        return;
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        bool any = false;
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *run = host->runs->pdata[i];
            if (job_eq(run->job, id) && run->phase != RUN_GONE) {
                shard_run_apply_job(shard, run);
                any = true;
            }
        }
        if (any)
            shard_push(shard, host);
    }
}

static void shard_view(struct shard *shard, const GArray *changes)
{
    if (shard->epoch.v != shard->view->epoch.v)
        new_epoch(shard);
    for (guint i = 0; i < changes->len; i++) {
        const struct change *change = &g_array_index(changes, struct change, i);
        struct host *host;
        struct host_record *rec;
        switch (change->kind) {
        case CHANGE_JOB:
            apply_job_change(shard, change->job);
            shard->room_changed = shard->room_changed || shard->queues[0].length;
            break;
        case CHANGE_HOST:
            host = shard_host_get(shard, change->host.s);
            rec = view_host(shard->view, change->host.s);
            if (host && !host->in_txn && rec && rec->stamp.v > host->stamp.v)
                host->stamp = rec->stamp;
            break;
        case CHANGE_RETURNING:
            host = shard_host_get(shard, change->host.s);
            if (host)
                host->returning = shard_machine_returning(shard, host->id.s);
            break;
        case CHANGE_PAGE:
            shard_page_changed(shard, change->page);
            break;
        case CHANGE_TYPES: {
            GHashTableIter it;
            g_hash_table_iter_init(&it, shard->hosts);
            while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host))
                shard_host_typed(shard, host);
            break;
        }
        default:
            break;
        }
    }
    shard_place_all(shard);
    shard_flush_soon(shard);
}

static void tick(void *arg)
{
    struct shard *shard = arg;
    timer_start(shard->loop, &shard->tick, TICK_MS);
    mono_time now = loop_now(shard->loop);
    bool valid = membership_valid(shard->members);
    GHashTableIter it;
    struct host *host;
    g_hash_table_iter_init(&it, shard->hosts);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&host)) {
        int64_t age = time_ms_since(now, host->heard);
        if (host->gone || !valid)
            continue;
        if (!host->known || !host->hears ||
            age > (int64_t)(shard->settings->report_s * 1250) + 1000)
            shard_probe(shard, host);
        if (age > (int64_t)(shard->settings->lease_s * 1000) && shard_host_has_run(host) &&
            shard_lease_surely_over(shard, host))
            shard_free_all_runs(shard, host, "lease");
        for (guint i = 0; i < host->runs->len; i++) {
            struct run *run = host->runs->pdata[i];
            if (run->phase == RUN_RECORDED && !run->sent_at.us && !run->seen && !run->stop) {
                shard_push(shard, host);
                break;
            }
        }
    }
    if (shard->want_raise)
        shard_digest_soon(shard);
    shard->room_changed = true; /* what has waited for too long is given back */
    shard_place_all(shard);
    shard_flush_soon(shard);
}
