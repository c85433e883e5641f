#include "kv_codec.h"
#include "log.h"
#include "replica_internal.h"

enum {
    BLOCK_MS = 2000,      /* a watch waits so long for a change */
    ANSWER_MS = 2500,     /* for an answer to any other request */
    RETRY_MS = 250,       /* before a request that failed is sent again */
    LANE_WAIT_MS = 10000, /* for a request's turn within the budget */
    PAGE = 500,           /* keys in one answer */
    PAUSE_MS = 8000,      /* without an answer */
    FEW_MISSED = 100,     /* revisions that may always be asked for in one answer after that */
    VALUES = 6,           /* that a revision holds, at most, when all are as long as allowed */
};

static void reload_page(struct view *view);

/* Takes over a page of keys; the last key of it goes to reload_from. */
static void apply_page(struct view *view, const GArray *items)
{
    const char *last = NULL;
    for (guint i = 0; i < items->len; i++) {
        const struct state_item *item = &g_array_index(items, struct state_item, i);
        if (!key_is_job(item->key))
            g_hash_table_add(view->reload_seen, g_strdup(item->key));
        view_apply(view, item->key, item->value, item->stamp);
        last = item->key;
    }
    g_free(view->reload_from);
    view->reload_from = g_strdup(last);
    view_forget_finished(view);
}

/* What was there before and was not read is gone. */
static void remove_unread(struct view *view)
{
    GHashTableIter it;
    char *old;
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&it, view->stamps);
    while (g_hash_table_iter_next(&it, (gpointer *)&old, NULL))
        if (!key_is_job(old) && !g_hash_table_contains(view->reload_seen, old))
            g_ptr_array_add(gone, g_strdup(old));
    for (guint i = 0; i < gone->len; i++) {
        revision *have = g_hash_table_lookup(view->stamps, gone->pdata[i]);
        view_apply(view, gone->pdata[i], NULL, *have);
    }
    g_ptr_array_unref(gone);
}

/* All pages are read. */
static void reload_finished(struct view *view)
{
    remove_unread(view);
    g_hash_table_unref(view->reload_seen);
    view->reload_seen = NULL;
    g_clear_pointer(&view->reload_from, g_free);
    view->at = view->reload_base;
    view->before = view->fresh;
    view->fresh = view->asked;
    /* Run records of a version that wrote them otherwise: acting without them would start tasks
     * twice. */
    if (view->older)
        LOG_ERROR("older_records", "keys below ll/m/ are of an earlier version; see operations.md");
    view->ready = !view->older;
    view_note_change(view, (struct change){.kind = CHANGE_RELOADED});
    LOG_INFO("view_read", "revision=%" G_GUINT64_FORMAT " keys=%u", view->at.v,
             g_hash_table_size(view->stamps));
    view_publish(view);
    view_watch(view);
}

static void reload_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    json_object *body = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    GArray *items;
    revision at;
    bool more;
    if (!codec_state_read_page(body, &items, &at, &more)) {
        json_object_put(body);
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
        return;
    }
    if (!view->reload_from)
        view->reload_base = at; /* the watch starts where the first page stood */
    apply_page(view, items);
    g_array_unref(items);
    json_object_put(body);
    if (more && view->reload_from)
        reload_page(view);
    else
        reload_finished(view);
}

static void reload_page(struct view *view)
{
    char *path = view->reload_from ? g_strdup_printf("/keys?Starts=" KEY_ROOT "&From=%s&Page=%d",
                                                     view->reload_from, PAGE)
                                   : g_strdup_printf("/keys?Starts=" KEY_ROOT "&Page=%d", PAGE);
    store_request(view->store, LANE_WATCH, "GET", path, NULL, ANSWER_MS, LANE_WAIT_MS, 0,
                  reload_answered, view);
    g_free(path);
}

void view_reload(struct view *view)
{
    if (!view->reload_seen) {
        view->reload_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        view->asked = loop_now(view->loop);
    }
    reload_page(view);
}

static void watch_send(struct view *view);

/* An answer to a watch holds all that has changed, however much that is. After a pause it may be
 * more than the process has memory for, while the keys themselves come in pages. */
static uint64_t most_missed(const struct view *view)
{
    const struct store_limits *limits = store_limits(view->store);
    return MAX(limits->answer_bytes / (VALUES * MAX(limits->value_bytes, 1)), FEW_MISSED);
}

static void gap_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    json_object *object = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    revision newest;
    bool ok = codec_state_read_revision(object, &newest);
    json_object_put(object);
    if (!ok) {
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
    } else if (newest.v > view->at.v + most_missed(view)) {
        LOG_INFO("watch_behind", "revision=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT,
                 view->at.v, newest.v);
        view_reload(view);
    } else {
        watch_send(view);
    }
}

static void watch_answered(void *arg, const struct net_answer *answer)
{
    struct view *view = arg;
    if (answer->status == 410) {
        LOG_INFO("watch_too_old", "revision=%" G_GUINT64_FORMAT, view->at.v);
        view_reload(view);
        return;
    }
    json_object *body = answer->status == 200 ? json_read(answer->body, answer->len) : NULL;
    GArray *changes;
    revision at;
    if (!codec_state_read_changes(body, &changes, &at)) {
        json_object_put(body);
        timer_start(view->loop, &view->watch_timer, RETRY_MS);
        return;
    }
    for (guint i = 0; i < changes->len; i++) {
        const struct state_item *item = &g_array_index(changes, struct state_item, i);
        view_apply(view, item->key, item->value, item->stamp);
    }
    g_array_unref(changes);
    view->at.v = MAX(view->at.v, at.v);
    view->before = view->fresh;
    view->fresh = view->asked;
    json_object_put(body);
    view_publish(view);
    view_watch(view);
}

/* Each answer to a watch costs a request to open the next. Under many changes they are let gather
 * a little, so that three nodes' watches leave most of the budget to the writes. */
void view_watch(void *arg)
{
    struct view *view = arg;
    if (!view->ready || view->reload_seen) {
        view_reload(view);
        return;
    }
    const struct store_limits *limits = store_limits(view->store);
    mono_time now = loop_now(view->loop);
    double rate = limits->rps * 0.5 / MAX(limits->nodes, 1);
    view->watch_level =
        MIN(rate / 4, view->watch_level + rate * (double)(now.us - view->watch_at.us) / 1e6);
    view->watch_at = now;
    if (view->watch_level < 1) {
        timer_start(view->loop, &view->watch_timer,
                    (int64_t)((1 - view->watch_level) / rate * 1000) + 1);
        return;
    }
    view->watch_level -= 1;
    if (time_ms_since(now, view->fresh) > PAUSE_MS)
        store_request(view->store, LANE_WATCH, "GET", "/keys?Starts=" KEY_MAP "&Page=1", NULL,
                      ANSWER_MS, LANE_WAIT_MS, 0, gap_answered, view);
    else
        watch_send(view);
}

static void watch_send(struct view *view)
{
    view->asked = loop_now(view->loop);
    char *path = g_strdup_printf("/watch?Starts=" KEY_ROOT "&From=%" G_GUINT64_FORMAT "&BlockMs=%d",
                                 view->at.v, BLOCK_MS);
    store_request(view->store, LANE_WATCH, "GET", path, NULL, BLOCK_MS + 1500, LANE_WAIT_MS, 0,
                  watch_answered, view);
    g_free(path);
}
