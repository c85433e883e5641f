#include "replica_internal.h"

enum {
    MAX_FINISHED_JOBS = 20000, /* jobs that are over and kept in memory */
};

struct replica *replica_new(struct loop *loop, struct kv_client *kv)
{
    struct replica *replica = g_new0(struct replica, 1);
    replica->loop = loop;
    replica->kv = kv;
    replica->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_job_free);
    replica->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_machine_free);
    replica->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_page_free);
    replica->inventories =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_inventory_free);
    replica->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, replica_node_free);
    replica->machine_type_parts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, machine_type_part_free);
    replica->singleton_roles = role_records_new();
    replica->announced_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    replica->job_dag = job_dag_new(replica_on_job_dag_change, replica);
    replica->shard_map = g_array_new(FALSE, FALSE, sizeof(struct shard_map_entry));
    g_array_set_clear_func(replica->shard_map, shard_map_entry_clear);
    replica->mod_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    replica->listeners = g_ptr_array_new();
    replica->pending_events = g_array_new(FALSE, TRUE, sizeof(struct replica_event));
    replica->waiters = replica_waiters_new();
    replica->watch_refilled_at = loop_now(loop);
    replica->max_finished_jobs = MAX_FINISHED_JOBS;
    g_queue_init(&replica->finished_job_ids);
    timer_init(&replica->watch_timer, replica_watch, replica);
    timer_init(&replica->expire_timer, replica_expire_waiters, replica);
    return replica;
}

void replica_free(struct replica *replica)
{
    timer_stop(replica->loop, &replica->watch_timer);
    timer_stop(replica->loop, &replica->expire_timer);
    g_hash_table_unref(replica->pages);
    g_hash_table_unref(replica->inventories);
    g_hash_table_unref(replica->machines);
    g_hash_table_unref(replica->jobs);
    g_hash_table_unref(replica->nodes);
    g_hash_table_unref(replica->announced_versions);
    role_records_free(replica->singleton_roles);
    job_dag_free(replica->job_dag);
    g_array_unref(replica->shard_map);
    if (replica->machine_types)
        g_array_unref(replica->machine_types);
    g_hash_table_unref(replica->machine_type_parts);
    g_hash_table_unref(replica->mod_revisions);
    if (replica->reload_seen_keys)
        g_hash_table_unref(replica->reload_seen_keys);
    g_free(replica->reload_last_key);
    g_ptr_array_unref(replica->listeners);
    g_array_unref(replica->pending_events);
    g_array_unref(replica->waiters);
    g_queue_clear_full(&replica->finished_job_ids, g_free);
    g_free(replica->leader_label);
    g_free(replica);
}

void replica_add_listener(struct replica *replica, struct actor *listener)
{
    g_ptr_array_add(replica->listeners, listener);
}

void replica_start(struct replica *replica)
{
    timer_start(replica->loop, &replica->expire_timer, EXPIRY_CHECK_INTERVAL_MS);
    replica_reload(replica);
}

struct job *replica_get_job(struct replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->jobs, id);
}

struct machine_record *replica_get_machine(struct replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->machines, id);
}

void replica_copy_text(json_object *value, const char *field, char *out, size_t size)
{
    const char *text;
    if (json_get_text(value, field, &text))
        g_strlcpy(out, text, size);
}

void replica_add_event(struct replica *replica, struct replica_event event)
{
    g_array_append_val(replica->pending_events, event);
}

static void unref_events(gpointer p)
{
    g_array_unref(p);
}

void replica_evict_finished_jobs(struct replica *replica)
{
    for (guint n = replica->finished_job_ids.length; n > replica->max_finished_jobs; n--) {
        char *id = g_queue_pop_head(&replica->finished_job_ids);
        struct job *job = replica_get_job(replica, id);
        if (job && job->run_records) { /* a page still names it */
            g_queue_push_tail(&replica->finished_job_ids, id);
            continue;
        }
        if (job) {
            char *key = key_job(job->id);
            g_hash_table_remove(replica->mod_revisions, key);
            g_free(key);
            g_hash_table_remove(replica->jobs, id);
            replica->has_evicted_jobs = true;
        }
        g_free(id);
    }
}

void replica_publish_events(struct replica *replica)
{
    replica_evict_finished_jobs(replica);
    if (replica->pending_events->len && replica->is_ready) {
        for (guint i = 0; i < replica->listeners->len; i++)
            actor_send(replica->loop, replica->listeners->pdata[i], MSG_REPLICA,
                       g_array_ref(replica->pending_events), unref_events);
        g_array_unref(replica->pending_events);
        replica->pending_events = g_array_new(FALSE, TRUE, sizeof(struct replica_event));
    }
    replica_notify_waiters(replica);
}

void replica_apply(struct replica *replica, const char *key, json_object *value,
                   revision mod_revision)
{
    revision *known_revision = g_hash_table_lookup(replica->mod_revisions, key);
    if (known_revision && known_revision->value >= mod_revision.value && value)
        return; /* read already, in a page that was newer than the watch */
    if (known_revision && known_revision->value > mod_revision.value)
        return;
    if (value)
        g_hash_table_replace(replica->mod_revisions, g_strdup(key),
                             g_memdup2(&mod_revision, sizeof mod_revision));
    else
        g_hash_table_remove(replica->mod_revisions, key);
    if (g_str_has_prefix(key, "ll/j/"))
        replica_apply_job(replica, key + 5, value, mod_revision);
    else if (g_str_has_prefix(key, "ll/h/"))
        replica_apply_machine(replica, key + 5, value, mod_revision);
    else if (g_str_has_prefix(key, "ll/p/"))
        replica_apply_page(replica, key, value, mod_revision);
    else if (g_str_has_prefix(key, "ll/m/") && value)
        replica->has_legacy_records = true;
    else if (g_str_has_prefix(key, "ll/n/"))
        replica_apply_node(replica, key + 5, value, mod_revision);
    else if (g_str_has_prefix(key, "ll/a/"))
        replica_apply_inventory(replica, key, value, mod_revision);
    else if (g_str_has_prefix(key, "ll/v/"))
        replica_apply_version(replica, key + 5, value);
    else if (strcmp(key, KEY_LEADER) == 0)
        replica_apply_leader(replica, value, mod_revision);
    else if (strcmp(key, KEY_MAP) == 0)
        replica_apply_shard_map(replica, value, mod_revision);
    else if (strcmp(key, KEY_FEATURES) == 0)
        replica_apply_features(replica, value, mod_revision);
    else if (g_str_has_prefix(key, KEY_TYPES))
        replica_apply_machine_types(replica, key, value, mod_revision);
    else
        replica_apply_singleton_role(replica, key, value, mod_revision);
}
