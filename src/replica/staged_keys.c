/** Implementation of the keys that a reload has read and the replica does not show yet. */
#include "staged_keys.h"

#include "replica_internal.h"

/** A value that the replica does not show yet, as text, which takes less memory than its object. */
struct staged_value {
    const char *key;
    char *text;
    revision mod_revision;
};

struct staged_keys {
    struct replica *replica;
    /** All keys that exist: key -> struct staged_value, NULL if the replica shows its value. */
    GHashTable *values;
};

static void staged_value_free(gpointer pointer)
{
    struct staged_value *staged_value = pointer;
    if (!staged_value)
        return;
    g_free(staged_value->text);
    g_free(staged_value);
}

struct staged_keys *staged_keys_new(struct replica *replica)
{
    struct staged_keys *staged = g_new(struct staged_keys, 1);
    *staged = (struct staged_keys){
        replica, g_hash_table_new_full(g_str_hash, g_str_equal, g_free, staged_value_free)};
    return staged;
}

void staged_keys_free(struct staged_keys *staged)
{
    g_hash_table_unref(staged->values);
    g_free(staged);
}

/** Returns the newest known revision of a key, staged or in the replica; 0 if there is none. */
static revision known_revision(const struct staged_keys *staged, const char *key)
{
    const struct staged_value *staged_value = g_hash_table_lookup(staged->values, key);
    const revision *applied = g_hash_table_lookup(staged->replica->internal->mod_revisions, key);
    if (staged_value)
        return staged_value->mod_revision;
    return applied ? *applied : (revision){0};
}

/** Notes that a key exists whose newest value is known already. Jobs need no note, as their keys
 * are never deleted. */
static void note_existing(struct staged_keys *staged, const char *key)
{
    if (!key_is_job(key) && !g_hash_table_contains(staged->values, key))
        g_hash_table_insert(staged->values, g_strdup(key), NULL);
}

void staged_keys_put(struct staged_keys *staged, const char *key, json_object *value,
                     revision mod_revision)
{
    if (known_revision(staged, key).value >= mod_revision.value) {
        note_existing(staged, key);
        return;
    }
    char *owned_key = g_strdup(key);
    struct staged_value *staged_value = g_new(struct staged_value, 1);
    const char *text = json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
    *staged_value = (struct staged_value){owned_key, g_strdup(text), mod_revision};
    g_hash_table_replace(staged->values, owned_key, staged_value);
}

void staged_keys_delete(struct staged_keys *staged, const char *key, revision mod_revision)
{
    if (known_revision(staged, key).value <= mod_revision.value)
        g_hash_table_remove(staged->values, key);
}

static gint compare_revisions(gconstpointer first_pointer, gconstpointer second_pointer)
{
    const struct staged_value *first = *(const struct staged_value *const *)first_pointer;
    const struct staged_value *second = *(const struct staged_value *const *)second_pointer;
    if (first->mod_revision.value != second->mod_revision.value)
        return first->mod_revision.value < second->mod_revision.value ? -1 : 1;
    return strcmp(first->key, second->key);
}

static void apply_values(const struct staged_keys *staged)
{
    GPtrArray *changed = g_ptr_array_new();
    GHashTableIter iterator;
    struct staged_value *staged_value;
    g_hash_table_iter_init(&iterator, staged->values);
    while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&staged_value))
        if (staged_value)
            g_ptr_array_add(changed, staged_value);
    g_ptr_array_sort(changed, compare_revisions);
    for (guint i = 0; i < changed->len; i++) {
        staged_value = changed->pdata[i];
        json_object *value = json_parse(staged_value->text, strlen(staged_value->text));
        replica_apply(staged->replica, staged_value->key, value, staged_value->mod_revision);
        json_object_put(value);
    }
    g_ptr_array_unref(changed);
}

static void apply_deletions(const struct staged_keys *staged)
{
    GHashTable *mod_revisions = staged->replica->internal->mod_revisions;
    GPtrArray *deleted_keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    char *key;
    g_hash_table_iter_init(&iterator, mod_revisions);
    while (g_hash_table_iter_next(&iterator, (gpointer *)&key, NULL))
        if (!key_is_job(key) && !g_hash_table_contains(staged->values, key))
            g_ptr_array_add(deleted_keys, g_strdup(key));
    for (guint i = 0; i < deleted_keys->len; i++) {
        const revision *known = g_hash_table_lookup(mod_revisions, deleted_keys->pdata[i]);
        replica_apply(staged->replica, deleted_keys->pdata[i], NULL, *known);
    }
    g_ptr_array_unref(deleted_keys);
}

void staged_keys_apply(struct staged_keys *staged)
{
    apply_values(staged);
    apply_deletions(staged);
}
