/**
 * Reload: reads all keys, one range at a time, in the order of the keys. The ranges are read at
 * different revisions, and a record may move from a range that is read later to one that was read
 * before. So the ranges together show a state that never existed. Nor may the changes since the
 * first range be applied to records that are newer: an old value of one page takes over a record
 * whose present page does not change again, and the record is lost for good.
 *
 * A reload therefore does not change what the replica shows until it is complete. The keys are
 * staged, and a watch without waiting ("catch-up") brings them to one revision, after the last
 * range and, if there are many changes, between ranges. That includes jobs: a cancelled job that is
 * newer than the run records seems to have no tasks left.
 *
 * There may be many more finished jobs than the replica keeps. The end of one that it does not show
 * is applied at once (replica_may_apply_early), so that those beyond the limit take no memory.
 */
#include "kv_codec.h"
#include "log.h"
#include "replica_internal.h"
#include "staged_keys.h"

/** The maximum number of keys in one response. */
enum { MAX_KEYS_PER_RESPONSE = 500 };

static void take_next_step(struct replica *replica);

bool replica_is_reloading(const struct replica *replica)
{
    return replica->internal->reload.staged != NULL;
}

void replica_reload_clear(struct replica_reload *reload)
{
    g_clear_pointer(&reload->staged, staged_keys_free);
    g_clear_pointer(&reload->last_key, g_free);
    *reload = (struct replica_reload){0};
}

/** Applies a key that was read, or its deletion (value NULL). */
static void apply_key(struct replica *replica, const struct kv_item *item)
{
    struct staged_keys *staged = replica->internal->reload.staged;
    if (replica_may_apply_early(replica, item->key, item->value))
        replica_apply(replica, item->key, item->value, item->mod_revision);
    else if (item->value)
        staged_keys_put(staged, item->key, item->value, item->mod_revision);
    else
        staged_keys_delete(staged, item->key, item->mod_revision);
}

static void apply_keys(struct replica *replica, const GArray *items)
{
    for (guint i = 0; i < items->len; i++)
        apply_key(replica, &g_array_index(items, struct kv_item, i));
    replica_evict_finished_jobs(replica);
}

/** Publishes the records of one revision, and starts the watch. */
static void finish_reload(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    struct replica_reload *reload = &internal->reload;
    staged_keys_apply(reload->staged);
    replica->applied_revision = reload->complete_until;
    LOG_INFO("replica_loaded",
             "revision=%" G_GUINT64_FORMAT " keys=%u ranges=%u first_revision=%" G_GUINT64_FORMAT
             " ms=%" G_GINT64_FORMAT,
             replica->applied_revision.value, g_hash_table_size(internal->mod_revisions),
             reload->range_count, reload->first_revision.value,
             time_ms_since(loop_now(replica->loop), reload->started_at));
    replica_reload_clear(reload);
    replica_mark_fresh(replica);
    /* Working without the run records in the legacy format would start their tasks a second time.
     */
    if (internal->has_legacy_records)
        LOG_ERROR("legacy_records",
                  "keys below ll/m/ are of an earlier version; see operations.md");
    replica->is_ready = !internal->has_legacy_records;
    replica_add_event(replica, (struct replica_event){.kind = REPLICA_EVENT_RELOADED});
    replica_publish_events(replica);
    replica_watch(replica);
}

/* ---- ranges ---- */

/** Adds the keys of a range, and notes the revision at which it was read. */
static void add_range(struct replica *replica, const GArray *items, revision at_revision)
{
    struct replica_reload *reload = &replica->internal->reload;
    if (!reload->range_count++)
        reload->first_revision = reload->complete_until = at_revision;
    reload->newest_range.value = MAX(reload->newest_range.value, at_revision.value);
    apply_keys(replica, items);
    if (!items->len)
        return;
    g_free(reload->last_key);
    reload->last_key = g_strdup(g_array_index(items, struct kv_item, items->len - 1).key);
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
    add_range(replica, items, at_revision);
    reload->has_all_ranges = !has_more || !reload->last_key;
    g_array_unref(items);
    json_object_put(body);
    take_next_step(replica);
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

/* ---- catch-up ---- */

/** Starts over, as the changes since an earlier range are no longer stored or too many. */
static void restart_reload(struct replica *replica, const char *reason)
{
    struct replica_reload *reload = &replica->internal->reload;
    LOG_INFO("reload_restarted",
             "why=%s complete_until=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT, reason,
             reload->complete_until.value, reload->newest_range.value);
    replica_reload_clear(reload);
    replica_schedule_watch_retry(replica);
}

static void apply_catch_up(struct replica *replica, const GArray *changes, revision at_revision)
{
    struct replica_reload *reload = &replica->internal->reload;
    apply_keys(replica, changes);
    reload->complete_until.value = MAX(reload->complete_until.value, at_revision.value);
}

static void catch_up_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    if (response->status == HTTP_STATUS_GONE) {
        restart_reload(replica, "compacted");
        return;
    }
    if (replica_receive_changes(replica, response, apply_catch_up))
        take_next_step(replica);
}

static void request_catch_up(struct replica *replica)
{
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=0",
                                 replica->internal->reload.complete_until.value);
    replica_send_request(replica, path, RESPONSE_TIMEOUT_MS, catch_up_on_response);
    g_free(path);
}

/* ---- steps ---- */

/** Sends the next request, or ends the reload when all keys are known as of one revision. */
static void take_next_step(struct replica *replica)
{
    struct replica_reload *reload = &replica->internal->reload;
    uint64_t max_backlog = replica_max_watch_backlog(replica);
    uint64_t backlog =
        reload->newest_range.value - MIN(reload->complete_until.value, reload->newest_range.value);
    if (reload->has_all_ranges && !backlog) {
        finish_reload(replica);
        return;
    }
    if (backlog > max_backlog) {
        restart_reload(replica, "behind");
        return;
    }
    replica->internal->watch.requested_at = loop_now(replica->loop);
    /* Half of the limit, as changes go on while the next range is read. */
    if (reload->has_all_ranges || backlog > max_backlog / 2)
        request_catch_up(replica);
    else
        request_key_range(replica);
}

void replica_reload(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    if (!replica_is_reloading(replica)) {
        internal->reload.staged = staged_keys_new(replica);
        internal->reload.started_at = loop_now(replica->loop);
    }
    take_next_step(replica);
}
