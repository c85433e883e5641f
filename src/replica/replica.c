/** The replica: its creation, its events, and the dispatch of changed keys. */
#include "replica_internal.h"

enum {
    DEFAULT_MAX_FINISHED_JOBS = 20000,
    /** Delay before a failed watch or read of the reload is repeated. */
    READ_RETRY_MIN_DELAY_MS = 100,
    READ_RETRY_MAX_DELAY_MS = 300,
    EXPIRY_CHECK_INTERVAL_MS = 200,
};

/** Timer callback: expires waiters and reads the evicted jobs that others depend on. */
static void replica_on_expiry_timer(void *arg)
{
    struct replica *replica = arg;
    replica_expire_waiters(replica);
    replica_lookup_missing_jobs(replica);
    timer_start(replica->loop, &replica->internal->expiry_timer, EXPIRY_CHECK_INTERVAL_MS);
}

static struct replica_internal *internal_new(struct replica *replica)
{
    struct replica_internal *internal = g_new0(struct replica_internal, 1);
    internal->mod_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    internal->superseded_records = g_hash_table_new(NULL, NULL);
    internal->record_copies =
        g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
    internal->listeners = g_ptr_array_new();
    internal->pending_events = g_array_new(FALSE, TRUE, sizeof(struct replica_event));
    internal->machine_type_parts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, machine_type_part_free);
    internal->waiters = replica_waiters_new();
    internal->watch.bucket.refilled_at = loop_now(replica->loop);
    internal->watch.retry_backoff =
        retry_backoff_make(READ_RETRY_MIN_DELAY_MS, READ_RETRY_MAX_DELAY_MS);
    g_queue_init(&internal->finished_job_ids);
    timer_init(&internal->watch.timer, replica_watch, replica);
    timer_init(&internal->expiry_timer, replica_on_expiry_timer, replica);
    return internal;
}

static void internal_free(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    timer_stop(replica->loop, &internal->watch.timer);
    timer_stop(replica->loop, &internal->expiry_timer);
    g_hash_table_unref(internal->mod_revisions);
    g_hash_table_unref(internal->machine_type_parts);
    g_hash_table_unref(internal->superseded_records);
    g_hash_table_unref(internal->record_copies);
    g_ptr_array_unref(internal->listeners);
    g_array_unref(internal->pending_events);
    g_array_unref(internal->waiters);
    g_queue_clear_full(&internal->finished_job_ids, g_free);
    replica_reload_clear(&internal->reload);
    g_free(internal);
}

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
    replica->announced_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    replica->singleton_roles = role_records_new();
    replica->job_dag = job_dag_new(replica_on_job_dag_change, replica);
    replica->shard_map = g_array_new(FALSE, FALSE, sizeof(struct shard_map_entry));
    g_array_set_clear_func(replica->shard_map, shard_map_entry_clear);
    replica->max_finished_jobs = DEFAULT_MAX_FINISHED_JOBS;
    replica->internal = internal_new(replica);
    return replica;
}

void replica_free(struct replica *replica)
{
    internal_free(replica);
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
    g_free(replica->leader_label);
    g_free(replica);
}

void replica_add_listener(struct replica *replica, struct actor *listener)
{
    g_ptr_array_add(replica->internal->listeners, listener);
}

struct decision_basis replica_get_decision_basis(const struct replica *replica, uint64_t token)
{
    mono_time now = loop_now(replica->loop);
    return (struct decision_basis){
        .now = now,
        .leader = replica->leader_label,
        .token = token,
        .at_revision = replica->applied_revision,
        .age_ms = time_ms_since(now, replica->fresh_at),
    };
}

void replica_start(struct replica *replica)
{
    timer_start(replica->loop, &replica->internal->expiry_timer, EXPIRY_CHECK_INTERVAL_MS);
    replica_reload(replica);
}

struct job *replica_get_job(struct replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->jobs, id);
}

bool replica_shows_job_with_records(const struct replica *replica, const struct job *job)
{
    return job->mod_revision.value <= replica->applied_revision.value;
}

struct machine_record *replica_get_machine(struct replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->machines, id);
}

void replica_copy_string(json_object *value, const char *field, char *out, size_t size)
{
    const char *text;
    if (json_get_string(value, field, &text))
        g_strlcpy(out, text, size);
}

/* ---- events ---- */

void replica_add_event(struct replica *replica, struct replica_event event)
{
    g_array_append_val(replica->internal->pending_events, event);
}

void replica_add_page_event(struct replica *replica, enum replica_event_kind kind, const char *key)
{
    struct replica_event event = {.kind = kind};
    g_strlcpy(event.page_key, key, sizeof event.page_key);
    replica_add_event(replica, event);
}

static void unref_events(gpointer events)
{
    g_array_unref(events);
}

void replica_publish_events(struct replica *replica)
{
    struct replica_internal *internal = replica->internal;
    replica_evict_finished_jobs(replica);
    replica_check_run_records(replica);
    if (internal->pending_events->len && replica->is_ready) {
        for (guint i = 0; i < internal->listeners->len; i++)
            actor_send(replica->loop, internal->listeners->pdata[i], MSG_REPLICA_EVENTS,
                       g_array_ref(internal->pending_events), unref_events);
        g_array_unref(internal->pending_events);
        internal->pending_events = g_array_new(FALSE, TRUE, sizeof(struct replica_event));
    }
    replica_notify_waiters(replica);
}

/* ---- finished jobs ---- */

static void evict_job(struct replica *replica, job_id id)
{
    char *key = key_job(id);
    g_hash_table_remove(replica->internal->mod_revisions, key);
    g_free(key);
    g_hash_table_remove(replica->jobs, id.text);
    replica->has_evicted_jobs = true;
}

void replica_evict_finished_jobs(struct replica *replica)
{
    GQueue *ids = &replica->internal->finished_job_ids;
    for (guint n = ids->length; n > replica->max_finished_jobs; n--) {
        char *id = g_queue_pop_head(ids);
        struct job *job = replica_get_job(replica, id);
        if (job && job->run_records) { /* a page still refers to it */
            g_queue_push_tail(ids, id);
            continue;
        }
        if (job)
            evict_job(replica, job->id);
        g_free(id);
    }
}

/* ---- dispatch ---- */

static void apply_legacy_records(struct replica *replica, const struct key_update *update)
{
    if (update->value)
        replica->internal->has_legacy_records = true;
}

/** The function that applies changes of one kind of keys. */
struct key_handler {
    const char *prefix;
    /** The prefix is the complete key. */
    bool is_whole_key;
    void (*apply)(struct replica *replica, const struct key_update *update);
};

static const struct key_handler key_handlers[] = {
    {KEY_JOB_PREFIX, false, replica_apply_job},
    {KEY_MACHINE_PREFIX, false, replica_apply_machine},
    {KEY_RECORD_PAGE_PREFIX, false, replica_apply_page},
    {KEY_LEGACY_RECORDS_PREFIX, false, apply_legacy_records},
    {KEY_NODE_PREFIX, false, replica_apply_node},
    {KEY_INVENTORY_PREFIX, false, replica_apply_inventory},
    {KEY_NODE_VERSION_PREFIX, false, replica_apply_version},
    {KEY_LEADER, true, replica_apply_leader},
    {KEY_SHARD_MAP, true, replica_apply_shard_map},
    {KEY_FEATURES, true, replica_apply_features},
    {KEY_MACHINE_TYPES, false, replica_apply_machine_types},
    {KEY_ROOT, false, replica_apply_singleton_role},
};

static bool matches_key(const struct key_handler *handler, const char *key)
{
    return handler->is_whole_key ? strcmp(key, handler->prefix) == 0
                                 : g_str_has_prefix(key, handler->prefix);
}

static void dispatch_update(struct replica *replica, struct key_update update)
{
    for (guint i = 0; i < G_N_ELEMENTS(key_handlers); i++) {
        const struct key_handler *handler = &key_handlers[i];
        if (!matches_key(handler, update.key))
            continue;
        update.name = update.key + strlen(handler->prefix);
        handler->apply(replica, &update);
        return;
    }
}

/**
 * Returns true if the replica already has this value or a newer one, from a range of keys that was
 * read at a revision later than that of the change.
 */
static bool is_outdated(const revision *known, json_object *value, revision mod_revision)
{
    if (!known)
        return false;
    return value ? known->value >= mod_revision.value : known->value > mod_revision.value;
}

void replica_apply(struct replica *replica, const char *key, json_object *value,
                   revision mod_revision)
{
    GHashTable *mod_revisions = replica->internal->mod_revisions;
    if (is_outdated(g_hash_table_lookup(mod_revisions, key), value, mod_revision))
        return;
    if (value)
        g_hash_table_replace(mod_revisions, g_strdup(key),
                             g_memdup2(&mod_revision, sizeof mod_revision));
    else
        g_hash_table_remove(mod_revisions, key);
    dispatch_update(replica,
                    (struct key_update){.key = key, .value = value, .mod_revision = mod_revision});
}
