/**
 * The watch: a long-polling request that the store answers with all changes after a revision, as
 * soon as there is at least one. The replica applies them and sends the next request.
 *
 * A response contains all changes since the revision, whatever their number. After a pause they may
 * exceed the memory of the process. The replica therefore first requests the newest revision and,
 * if that is far ahead, reloads all keys, which are read in ranges of limited size.
 */
#include "kv_codec.h"
#include "log.h"
#include "replica_internal.h"

enum {
    /** How long the store waits for a change before it responds. */
    WATCH_BLOCK_MS = 2000,
    /** How long to wait for the response beyond WATCH_BLOCK_MS. */
    WATCH_RESPONSE_GRACE_MS = 1500,
    /** After this time without a response, the newest revision is requested first. */
    BACKLOG_CHECK_AFTER_MS = 8000,
    /** Up to this many revisions are always requested with a watch. */
    MIN_WATCH_BACKLOG_REVISIONS = 100,
    /** The maximum number of values of the maximum size that one revision writes. */
    MAX_VALUES_PER_REVISION = 6,
};

/** The fraction of the rate limit that the watches of all nodes together may use. */
static const double WATCH_RATE_SHARE = 0.5;
/** The capacity of the watch's token bucket, in seconds of its refill rate. */
static const double WATCH_BURST_S = 0.25;

static void send_watch(struct replica *replica);

void replica_send_request(struct replica *replica, const char *path, int response_timeout_ms,
                          http_response_callback callback)
{
    struct kv_request request = {
        .priority = KV_PRIORITY_WATCH,
        .method = "GET",
        .path = path,
        .response_timeout_ms = response_timeout_ms,
        .queue_timeout_ms = QUEUE_TIMEOUT_MS,
    };
    kv_client_send(replica->kv, &request, callback, replica);
}

void replica_schedule_watch_retry(struct replica *replica)
{
    struct replica_watch *watch = &replica->internal->watch;
    int64_t delay_ms = retry_backoff_next_ms(&watch->retry_backoff, replica->loop);
    timer_start(replica->loop, &watch->timer, delay_ms);
}

void replica_mark_fresh(struct replica *replica)
{
    retry_backoff_reset(&replica->internal->watch.retry_backoff);
    replica->previous_fresh_at = replica->fresh_at;
    replica->fresh_at = replica->internal->watch.requested_at;
}

uint64_t replica_max_watch_backlog(const struct replica *replica)
{
    const struct kv_limits *limits = kv_client_limits(replica->kv);
    size_t revision_bytes = MAX_VALUES_PER_REVISION * MAX(limits->max_value_bytes, 1);
    return MAX(limits->max_response_bytes / revision_bytes, MIN_WATCH_BACKLOG_REVISIONS);
}

static void backlog_check_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    json_object *body = kv_parse_response(response);
    revision newest;
    bool ok = kv_decode_revision(body, &newest);
    json_object_put(body);
    if (!ok) {
        replica_schedule_watch_retry(replica);
    } else if (newest.value >
               replica->applied_revision.value + replica_max_watch_backlog(replica)) {
        LOG_INFO("watch_behind", "revision=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
                 replica->applied_revision.value, newest.value);
        replica_reload(replica);
    } else {
        send_watch(replica);
    }
}

static void apply_changes(struct replica *replica, const GArray *changes, revision at_revision)
{
    for (guint i = 0; i < changes->len; i++) {
        const struct kv_item *item = &g_array_index(changes, struct kv_item, i);
        replica_apply(replica, item->key, item->value, item->mod_revision);
    }
    replica->applied_revision.value = MAX(replica->applied_revision.value, at_revision.value);
    replica_mark_fresh(replica);
}

bool replica_receive_changes(struct replica *replica, const struct http_response *response,
                             replica_changes_handler handle)
{
    json_object *body = kv_parse_response(response);
    GArray *changes;
    revision at_revision;
    bool is_valid = kv_decode_watch(body, &changes, &at_revision);
    if (is_valid) {
        handle(replica, changes, at_revision);
        g_array_unref(changes);
    } else {
        replica_schedule_watch_retry(replica);
    }
    json_object_put(body);
    return is_valid;
}

static void watch_on_response(void *arg, const struct http_response *response)
{
    struct replica *replica = arg;
    if (response->status == HTTP_STATUS_GONE) {
        LOG_INFO("watch_compacted", "revision=%" G_GUINT64_FORMAT, replica->applied_revision.value);
        replica_reload(replica);
        return;
    }
    if (!replica_receive_changes(replica, response, apply_changes))
        return;
    replica_publish_events(replica);
    replica_watch(replica);
}

/**
 * Takes a token of the watch's own rate limit. If there is none, schedules replica_watch and
 * returns false. Each response requires a request for the next watch. This limit makes a response
 * collect several changes when there are many, so that the watches of all nodes leave most of the
 * rate limit to the writes.
 */
static bool take_watch_token(struct replica *replica)
{
    const struct kv_limits *limits = kv_client_limits(replica->kv);
    struct replica_watch *watch = &replica->internal->watch;
    struct token_bucket *bucket = &watch->bucket;
    bucket->refill_per_s = limits->rate_limit_rps * WATCH_RATE_SHARE / MAX(limits->node_count, 1);
    bucket->capacity = bucket->refill_per_s * WATCH_BURST_S;
    token_bucket_refill(bucket, loop_now(replica->loop));
    if (!token_bucket_has_token(bucket)) {
        timer_start(replica->loop, &watch->timer, token_bucket_wait_ms(bucket));
        return false;
    }
    token_bucket_take(bucket, 1);
    return true;
}

void replica_watch(void *arg)
{
    struct replica *replica = arg;
    if (!replica->is_ready || replica_is_reloading(replica)) {
        replica_reload(replica);
        return;
    }
    if (!take_watch_token(replica))
        return;
    if (time_ms_since(loop_now(replica->loop), replica->fresh_at) > BACKLOG_CHECK_AFTER_MS)
        replica_send_request(replica, "/keys?Starts=" KEY_SHARD_MAP "&Page=1", RESPONSE_TIMEOUT_MS,
                             backlog_check_on_response);
    else
        send_watch(replica);
}

static void send_watch(struct replica *replica)
{
    replica->internal->watch.requested_at = loop_now(replica->loop);
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 replica->applied_revision.value, WATCH_BLOCK_MS);
    replica_send_request(replica, path, WATCH_BLOCK_MS + WATCH_RESPONSE_GRACE_MS,
                         watch_on_response);
    g_free(path);
}
