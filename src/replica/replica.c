#include "replica_internal.h"

enum {
    MOST_OVER = 20000, /* jobs that are over and kept in memory */
};

struct view *view_new(struct loop *loop, struct store *store)
{
    struct view *view = g_new0(struct view, 1);
    view->loop = loop;
    view->store = store;
    view->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_job_free);
    view->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_host_free);
    view->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_page_free);
    view->inventories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_inventory_free);
    view->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_node_free);
    view->type_parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, view_type_part_free);
    view->duties = duty_table_new();
    view->spoken = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    view->pipeline = pipeline_new(view_pipeline_changed, view);
    view->map = g_array_new(FALSE, FALSE, sizeof(struct map_entry));
    g_array_set_clear_func(view->map, view_map_entry_clear);
    view->stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    view->listeners = g_ptr_array_new();
    view->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    view->waiters = view_waiters_new();
    view->watch_at = loop_now(loop);
    view->most_over = MOST_OVER;
    g_queue_init(&view->over);
    timer_init(&view->watch_timer, view_watch, view);
    timer_init(&view->expire_timer, view_expire, view);
    return view;
}

void view_free(struct view *view)
{
    timer_stop(view->loop, &view->watch_timer);
    timer_stop(view->loop, &view->expire_timer);
    g_hash_table_unref(view->pages);
    g_hash_table_unref(view->inventories);
    g_hash_table_unref(view->hosts);
    g_hash_table_unref(view->jobs);
    g_hash_table_unref(view->nodes);
    g_hash_table_unref(view->spoken);
    duty_table_free(view->duties);
    pipeline_free(view->pipeline);
    g_array_unref(view->map);
    if (view->types)
        g_array_unref(view->types);
    g_hash_table_unref(view->type_parts);
    g_hash_table_unref(view->stamps);
    if (view->reload_seen)
        g_hash_table_unref(view->reload_seen);
    g_free(view->reload_from);
    g_ptr_array_unref(view->listeners);
    g_array_unref(view->changes);
    g_array_unref(view->waiters);
    g_queue_clear_full(&view->over, g_free);
    g_free(view->leader);
    g_free(view);
}

void view_listen(struct view *view, struct actor *listener)
{
    g_ptr_array_add(view->listeners, listener);
}

void view_start(struct view *view)
{
    timer_start(view->loop, &view->expire_timer, VIEW_EXPIRE_EVERY_MS);
    view_reload(view);
}

struct job *view_job(struct view *view, const char *id)
{
    return g_hash_table_lookup(view->jobs, id);
}

struct host_record *view_host(struct view *view, const char *id)
{
    return g_hash_table_lookup(view->hosts, id);
}

void view_copy_text(json_object *value, const char *field, char *out, size_t size)
{
    const char *s;
    if (json_text(value, field, &s))
        g_strlcpy(out, s, size);
}

void view_note_change(struct view *view, struct change change)
{
    g_array_append_val(view->changes, change);
}

static void unref_changes(gpointer p)
{
    g_array_unref(p);
}

void view_forget_finished(struct view *view)
{
    for (guint n = view->over.length; n > view->most_over; n--) {
        char *id = g_queue_pop_head(&view->over);
        struct job *job = view_job(view, id);
        if (job && job->placed) { /* a page still names it */
            g_queue_push_tail(&view->over, id);
            continue;
        }
        if (job) {
            char *key = key_job(job->id);
            g_hash_table_remove(view->stamps, key);
            g_free(key);
            g_hash_table_remove(view->jobs, id);
            view->forgot = true;
        }
        g_free(id);
    }
}

void view_publish(struct view *view)
{
    view_forget_finished(view);
    if (view->changes->len && view->ready) {
        for (guint i = 0; i < view->listeners->len; i++)
            actor_send(view->loop, view->listeners->pdata[i], MSG_VIEW, g_array_ref(view->changes),
                       unref_changes);
        g_array_unref(view->changes);
        view->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
    }
    view_tell_waiters(view);
}

void view_apply(struct view *view, const char *key, json_object *value, revision stamp)
{
    revision *have = g_hash_table_lookup(view->stamps, key);
    if (have && have->v >= stamp.v && value)
        return; /* read already, in a page that was newer than the watch */
    if (have && have->v > stamp.v)
        return;
    if (value)
        g_hash_table_replace(view->stamps, g_strdup(key), g_memdup2(&stamp, sizeof stamp));
    else
        g_hash_table_remove(view->stamps, key);
    if (g_str_has_prefix(key, "ll/j/"))
        view_apply_job(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/h/"))
        view_apply_host(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/p/"))
        view_apply_page(view, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/m/") && value)
        view->older = true;
    else if (g_str_has_prefix(key, "ll/n/"))
        view_apply_node(view, key + 5, value, stamp);
    else if (g_str_has_prefix(key, "ll/a/"))
        view_apply_inventory(view, key, value, stamp);
    else if (g_str_has_prefix(key, "ll/v/"))
        view_apply_version(view, key + 5, value);
    else if (strcmp(key, KEY_LEADER) == 0)
        view_apply_leader(view, value, stamp);
    else if (strcmp(key, KEY_MAP) == 0)
        view_apply_map(view, value, stamp);
    else if (strcmp(key, KEY_FEATURES) == 0)
        view_apply_features(view, value, stamp);
    else if (g_str_has_prefix(key, KEY_TYPES))
        view_apply_types(view, key, value, stamp);
    else
        view_apply_duty(view, key, value, stamp);
}
