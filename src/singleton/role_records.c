/**
 * @file
 * Implements a node's replica of the records of singleton roles and of the pages of intents.
 */
#include "role_records.h"

#include "log.h"

struct role_records {
    struct role_record by_role[ROLE_COUNT];
    /** Maps a key to its struct intent_page. */
    GHashTable *pages;
    /** Maps a machine id to the number of scale-in intents for the machine. */
    GHashTable *scale_in_counts;
};

static void intent_page_free(gpointer data)
{
    struct intent_page *page = data;
    g_ptr_array_unref(page->intents);
    g_free(page);
}

struct role_records *role_records_new(void)
{
    struct role_records *records = g_new0(struct role_records, 1);
    records->pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, intent_page_free);
    records->scale_in_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return records;
}

void role_records_free(struct role_records *records)
{
    g_hash_table_unref(records->pages);
    g_hash_table_unref(records->scale_in_counts);
    g_free(records);
}

static void apply_record(struct role_records *records, enum singleton_role role, json_object *value,
                         revision mod_revision)
{
    struct role_record record = {0};
    if (value && !role_holder_decode(value, &record.holder))
        LOG_ERROR("role_record_malformed", "role=%s", singleton_role_name(role));
    /* A malformed record still means that the role is held, so no process may claim the role or act
     * in it. */
    if (value)
        record.token.value = mod_revision.value;
    records->by_role[role] = record;
}

/** Adds `increment` (1 or -1) to the number of scale-in intents for the machine. */
static void count_scale_in(struct role_records *records, const char *machine, int increment,
                           GPtrArray *changed_machines)
{
    int count = GPOINTER_TO_INT(g_hash_table_lookup(records->scale_in_counts, machine)) + increment;
    if (count > 0)
        g_hash_table_replace(records->scale_in_counts, g_strdup(machine), GINT_TO_POINTER(count));
    else
        g_hash_table_remove(records->scale_in_counts, machine);
    g_ptr_array_add(changed_machines, g_strdup(machine));
}

static void count_page_scale_ins(struct role_records *records, const struct intent_page *page,
                                 int increment, GPtrArray *changed_machines)
{
    for (guint i = 0; i < page->intents->len; i++) {
        const struct intent *intent = page->intents->pdata[i];
        if (intent->kind == INTENT_SCALE_IN)
            count_scale_in(records, intent->name, increment, changed_machines);
    }
}

static struct intent_page *decode_page(const char *key, const struct intent_page *header,
                                       json_object *value)
{
    struct intent_page *page = g_memdup2(header, sizeof *header);
    fencing_token token;
    page->intents = g_ptr_array_new_with_free_func(g_free);
    if (!intents_decode(value, &token, page->intents))
        LOG_ERROR("intent_page_malformed", "key=%s", key);
    return page;
}

/** Replaces a page, or removes it if `value` is NULL; `header` is the new page without intents. */
static void apply_page(struct role_records *records, const char *key,
                       const struct intent_page *header, json_object *value,
                       GPtrArray *changed_machines)
{
    const struct intent_page *old_page = g_hash_table_lookup(records->pages, key);
    if (old_page)
        count_page_scale_ins(records, old_page, -1, changed_machines);
    g_hash_table_remove(records->pages, key);
    if (!value)
        return;
    struct intent_page *page = decode_page(key, header, value);
    g_hash_table_replace(records->pages, g_strdup(key), page);
    count_page_scale_ins(records, page, 1, changed_machines);
}

bool role_records_apply(struct role_records *records, const char *key, json_object *value,
                        revision mod_revision, GPtrArray *changed_machines)
{
    struct intent_page header = {.mod_revision = mod_revision};
    enum singleton_role role;
    if (key_role_parse(key, &role)) {
        apply_record(records, role, value, mod_revision);
        return true;
    }
    if (key_intent_page_parse(key, &header.role, &header.number)) {
        apply_page(records, key, &header, value, changed_machines);
        return true;
    }
    return false;
}

const struct role_record *role_records_get(const struct role_records *records,
                                           enum singleton_role role)
{
    return &records->by_role[role];
}

GPtrArray *role_records_list_pages(const struct role_records *records, enum singleton_role role)
{
    GPtrArray *pages = g_ptr_array_new();
    GHashTableIter iter;
    struct intent_page *page;
    g_hash_table_iter_init(&iter, records->pages);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&page))
        if (page->role == role)
            g_ptr_array_add(pages, page);
    return pages;
}

bool role_records_is_scaling_in(const struct role_records *records, const char *machine)
{
    return g_hash_table_size(records->scale_in_counts) &&
           g_hash_table_contains(records->scale_in_counts, machine);
}
