#include "kv_codec.h"
#include "log.h"
#include "replica_internal.h"

enum {
    WATCH_BLOCK_MS = 2000,     /* a watch waits so long for a change */
    ANSWER_MS = 2500,          /* for an answer to any other request */
    RETRY_DELAY_MS = 250,      /* before a request that failed is sent again */
    LANE_WAIT_MS = 10000,      /* for a request's turn within the budget */
    RELOAD_PAGE_KEYS = 500,    /* keys in one answer */
    GAP_CHECK_AFTER_MS = 8000, /* without an answer */
    MIN_WATCH_BACKLOG = 100,   /* revisions that may always be asked for in one answer after that */
    MAX_VALUES_PER_REVISION =
        6, /* that a revision holds, at most, when all are as long as allowed */
};

static void request_reload_page(struct replica *replica);

/* Takes over a page of keys; the last key of it goes to reload_last_key. */
static void apply_reload_page(struct replica *replica, const GArray *items)
{
    const char *last_key = NULL;
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = &g_array_index(items, struct kv_item, i);
        if (!key_is_job(item->key))
            g_hash_table_add(replica->reload_seen_keys, g_strdup(item->key));
        replica_apply(replica, item->key, item->value, item->mod_revision);
        last_key = item->key;
    }
    g_free(replica->reload_last_key);
    replica->reload_last_key = g_strdup(last_key);
    replica_evict_finished_jobs(replica);
}

/* What was there before and was not read is gone. */
static void remove_unseen_keys(struct replica *replica)
{
    GHashTableIter it;
    char *key;
    GPtrArray *removed_keys = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, replica->mod_revisions);
    while (g_hash_table_iter_next(&it, (gpointer *)&key, NULL))
        if (!key_is_job(key) && !g_hash_table_contains(replica->reload_seen_keys, key))
            g_ptr_array_add(removed_keys, g_strdup(key));
    for (guint i = 0; i < removed_keys->len; i++) {
        revision *known_revision =
            g_hash_table_lookup(replica->mod_revisions, removed_keys->pdata[i]);
        replica_apply(replica, removed_keys->pdata[i], NULL, *known_revision);
    }
    g_ptr_array_unref(removed_keys);
}

/* All pages are read. */
static void finish_reload(struct replica *replica)
{
    remove_unseen_keys(replica);
    g_hash_table_unref(replica->reload_seen_keys);
    replica->reload_seen_keys = NULL;
    g_clear_pointer(&replica->reload_last_key, g_free);
    replica->applied_revision = replica->reload_base_revision;
    replica->previous_fresh_at = replica->fresh_at;
    replica->fresh_at = replica->requested_at;
    /* Run records of a version that wrote them otherwise: acting without them would start tasks
     * twice. */
    if (replica->has_legacy_records)
        LOG_ERROR("older_records", "keys below ll/m/ are of an earlier version; see operations.md");
    replica->is_ready = !replica->has_legacy_records;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_RELOADED});
    LOG_INFO("view_read", "revision=%" G_GUINT64_FORMAT " keys=%u", replica->applied_revision.value,
             g_hash_table_size(replica->mod_revisions));
    replica_publish_events(replica);
    replica_watch(replica);
}

static void reload_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    json_object *body =
        response->status == 200 ? json_parse(response->body, response->body_bytes) : NULL;
    GArray *items;
    revision at_revision;
    bool more;
    if (!kv_decode_range(body, &items, &at_revision, &more)) {
        json_object_put(body);
        timer_start(replica->loop, &replica->watch_timer, RETRY_DELAY_MS);
        return;
    }
    if (!replica->reload_last_key)
        replica->reload_base_revision =
            at_revision; /* the watch starts where the first page stood */
    apply_reload_page(replica, items);
    g_array_unref(items);
    json_object_put(body);
    if (more && replica->reload_last_key)
        request_reload_page(replica);
    else
        finish_reload(replica);
}

static void request_reload_page(struct replica *replica)
{
    char *path = replica->reload_last_key
                     ? g_strdup_printf("/keys?Starts=" KEY_ROOT "&From=%s&Page=%d",
                                       replica->reload_last_key, RELOAD_PAGE_KEYS)
                     : g_strdup_printf("/keys?Starts=" KEY_ROOT "&Page=%d", RELOAD_PAGE_KEYS);
    kv_client_request(replica->kv, KV_LANE_WATCH, "GET", path, NULL, ANSWER_MS, LANE_WAIT_MS, 0,
                      reload_on_response, replica);
    g_free(path);
}

void replica_reload(struct replica *replica)
{
    if (!replica->reload_seen_keys) {
        replica->reload_seen_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        replica->requested_at = loop_now(replica->loop);
    }
    request_reload_page(replica);
}

static void send_watch(struct replica *replica);

/* An answer to a watch holds all that has changed, however much that is. After a pause it may be
 * more than the process has memory for, while the keys themselves come in pages. */
static uint64_t max_watch_backlog(const struct replica *replica)
{
    const struct kv_limits *limits = kv_client_limits(replica->kv);
    return MAX(limits->max_response_bytes /
                   (MAX_VALUES_PER_REVISION * MAX(limits->max_value_bytes, 1)),
               MIN_WATCH_BACKLOG);
}

static void gap_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    json_object *object =
        response->status == 200 ? json_parse(response->body, response->body_bytes) : NULL;
    revision newest;
    bool ok = kv_decode_revision(object, &newest);
    json_object_put(object);
    if (!ok) {
        timer_start(replica->loop, &replica->watch_timer, RETRY_DELAY_MS);
    } else if (newest.value > replica->applied_revision.value + max_watch_backlog(replica)) {
        LOG_INFO("watch_behind", "revision=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
                 replica->applied_revision.value, newest.value);
        replica_reload(replica);
    } else {
        send_watch(replica);
    }
}

static void watch_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    if (response->status == 410) {
        LOG_INFO("watch_too_old", "revision=%" G_GUINT64_FORMAT, replica->applied_revision.value);
        replica_reload(replica);
        return;
    }
    json_object *body =
        response->status == 200 ? json_parse(response->body, response->body_bytes) : NULL;
    GArray *changes;
    revision at_revision;
    if (!kv_decode_watch(body, &changes, &at_revision)) {
        json_object_put(body);
        timer_start(replica->loop, &replica->watch_timer, RETRY_DELAY_MS);
        return;
    }
    for (guint i = 0; i < changes->len; i++) {
        const struct kv_item *item = &g_array_index(changes, struct kv_item, i);
        replica_apply(replica, item->key, item->value, item->mod_revision);
    }
    g_array_unref(changes);
    replica->applied_revision.value = MAX(replica->applied_revision.value, at_revision.value);
    replica->previous_fresh_at = replica->fresh_at;
    replica->fresh_at = replica->requested_at;
    json_object_put(body);
    replica_publish_events(replica);
    replica_watch(replica);
}

/* Each answer to a watch costs a request to open the next. Under many changes they are let gather
 * a little, so that three nodes' watches leave most of the budget to the writes. */
void replica_watch(void *arg)
{
    struct replica *replica = arg;
    if (!replica->is_ready || replica->reload_seen_keys) {
        replica_reload(replica);
        return;
    }
    const struct kv_limits *limits = kv_client_limits(replica->kv);
    mono_time now = loop_now(replica->loop);
    double rate = limits->rate_limit_rps * 0.5 / MAX(limits->node_count, 1);
    replica->watch_tokens =
        MIN(rate / 4,
            replica->watch_tokens + rate * (double)(now.us - replica->watch_refilled_at.us) / 1e6);
    replica->watch_refilled_at = now;
    if (replica->watch_tokens < 1) {
        timer_start(replica->loop, &replica->watch_timer,
                    (int64_t)((1 - replica->watch_tokens) / rate * 1000) + 1);
        return;
    }
    replica->watch_tokens -= 1;
    if (time_ms_since(now, replica->fresh_at) > GAP_CHECK_AFTER_MS)
        kv_client_request(replica->kv, KV_LANE_WATCH, "GET", "/keys?Starts=" KEY_MAP "&Page=1",
                          NULL, ANSWER_MS, LANE_WAIT_MS, 0, gap_on_response, replica);
    else
        send_watch(replica);
}

static void send_watch(struct replica *replica)
{
    replica->requested_at = loop_now(replica->loop);
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 replica->applied_revision.value, WATCH_BLOCK_MS);
    kv_client_request(replica->kv, KV_LANE_WATCH, "GET", path, NULL, WATCH_BLOCK_MS + 1500,
                      LANE_WAIT_MS, 0, watch_on_response, replica);
    g_free(path);
}
