/**
 * Reload: reads all keys, one range at a time, in the order of the keys. The ranges are read at
 * different revisions; the watch continues from the revision of the first range, and so repeats
 * changes that later ranges already contained.
 */
#include "kv_codec.h"
#include "log.h"
#include "replica_internal.h"

/** The maximum number of keys in one response. */
enum { MAX_KEYS_PER_RESPONSE = 500 };

static void request_key_range(struct replica *replica);

bool replica_is_reloading(const struct replica *replica)
{
    return replica->internal->reload.seen_keys != NULL;
}

void replica_reload_clear(struct replica_reload *reload)
{
    g_clear_pointer(&reload->seen_keys, g_hash_table_unref);
    g_clear_pointer(&reload->last_key, g_free);
}

static void apply_key_range(struct replica *replica, const GArray *items)
{
    struct replica_reload *reload = &replica->internal->reload;
    const char *last_key = NULL;
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = &g_array_index(items, struct kv_item, i);
        if (!key_is_job(item->key)) /* jobs are never deleted */
            g_hash_table_add(reload->seen_keys, g_strdup(item->key));
        replica_apply(replica, item->key, item->value, item->mod_revision);
        last_key = item->key;
    }
    g_free(reload->last_key);
    reload->last_key = g_strdup(last_key);
    replica_evict_finished_jobs(replica);
}

/** Applies the deletion of all known keys that this reload did not find. */
static void remove_unseen_keys(struct replica *replica)
{
    GHashTable *mod_revisions = replica->internal->mod_revisions;
    GHashTable *seen_keys = replica->internal->reload.seen_keys;
    GPtrArray *removed_keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    char *key;
    g_hash_table_iter_init(&iterator, mod_revisions);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&key, NULL))
        if (!key_is_job(key) && !g_hash_table_contains(seen_keys, key))
            g_ptr_array_add(removed_keys, g_strdup(key));
    for (guint i = 0; i < removed_keys->len; i++) {
        const revision *known = g_hash_table_lookup(mod_revisions, removed_keys->pdata[i]);
        replica_apply(replica, removed_keys->pdata[i], NULL, *known);
    }
    g_ptr_array_unref(removed_keys);
}

/** Publishes the records when all ranges were read, and starts the watch. */
static void finish_reload(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    remove_unseen_keys(replica);
    replica_reload_clear(&internal->reload);
    replica->applied_revision = internal->reload.base_revision;
    replica_mark_fresh(replica);
    /* Working without the run records in the legacy format would start their tasks a second time.
     */
    if (internal->has_legacy_records)
        LOG_ERROR("legacy_records",
                  "keys below ll/m/ are of an earlier version; see operations.md");
    replica->is_ready = !internal->has_legacy_records;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_RELOADED});
    LOG_INFO("replica_loaded", "revision=%" G_GUINT64_FORMAT " keys=%u",
             replica->applied_revision.value, g_hash_table_size(internal->mod_revisions));
    replica_publish_events(replica);
    replica_watch(replica);
}

static void key_range_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    struct replica_reload *reload = &replica->internal->reload;
    json_object *body = kv_parse_response(response);
    GArray *items;
    revision at_revision;
    bool has_more;
    if (!kv_decode_range(body, &items, &at_revision, &has_more)) {
        json_object_put(body);
        replica_schedule_watch_retry(replica);
        return;
    }
    if (!reload->last_key) /* the first range */
        reload->base_revision = at_revision;
    apply_key_range(replica, items);
    g_array_unref(items);
    json_object_put(body);
    if (has_more && reload->last_key)
        request_key_range(replica);
    else
        finish_reload(replica);
}

static void request_key_range(struct replica *replica)
{
    const char *last_key = replica->internal->reload.last_key;
    char *path = last_key
                     ? g_strdup_printf("/keys?Starts=" KEY_ROOT "&From=%s&Page=%d", last_key,
                                       MAX_KEYS_PER_RESPONSE)
                     : g_strdup_printf("/keys?Starts=" KEY_ROOT "&Page=%d", MAX_KEYS_PER_RESPONSE);
    replica_send_request(replica, path, RESPONSE_TIMEOUT_MS, key_range_on_response);
    g_free(path);
}

void replica_reload(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    if (!replica_is_reloading(replica)) {
        internal->reload.seen_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        internal->watch.requested_at = loop_now(replica->loop);
    }
    request_key_range(replica);
}
