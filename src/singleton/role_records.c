#include "role_records.h"

#include "log.h"

struct role_records {
    struct role_record by_role[ROLE_COUNT];
    GHashTable *pages;           /* key -> struct intent_page */
    GHashTable *scale_in_counts; /* machine -> number of pages that say so */
};

static void intent_page_free(gpointer p)
{
    struct intent_page *page = p;
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
        LOG_ERROR("duty_unreadable", "duty=%s", singleton_role_name(role));
    /* A record that cannot be read still is one: nobody may act or claim beside its holder. */
    if (value)
        record.token.v = mod_revision.value;
    records->by_role[role] = record;
}

/* Counts a machine's return in (by 1) or out (by -1). */
static void count_scale_in(struct role_records *records, const char *machine, int by,
                           GPtrArray *changed)
{
    int count = GPOINTER_TO_INT(g_hash_table_lookup(records->scale_in_counts, machine)) + by;
    if (count > 0)
        g_hash_table_replace(records->scale_in_counts, g_strdup(machine), GINT_TO_POINTER(count));
    else
        g_hash_table_remove(records->scale_in_counts, machine);
    g_ptr_array_add(changed, g_strdup(machine));
}

static void count_page_scale_ins(struct role_records *records, const struct intent_page *page,
                                 int by, GPtrArray *changed)
{
    for (guint i = 0; i < page->intents->len; i++) {
        const struct intent *intent = page->intents->pdata[i];
        if (intent->kind == INTENT_SCALE_IN)
            count_scale_in(records, intent->name, by, changed);
    }
}

static void apply_page(struct role_records *records, const char *key, struct intent_page place,
                       json_object *value, GPtrArray *changed)
{
    struct intent_page *old = g_hash_table_lookup(records->pages, key);
    if (old)
        count_page_scale_ins(records, old, -1, changed);
    g_hash_table_remove(records->pages, key);
    if (!value)
        return;
    struct intent_page *page = g_memdup2(&place, sizeof place);
    fencing_token token;
    page->intents = g_ptr_array_new_with_free_func(g_free);
    if (!intents_decode(value, &token, page->intents))
        LOG_ERROR("intents_unreadable", "key=%s", key);
    g_hash_table_replace(records->pages, g_strdup(key), page);
    count_page_scale_ins(records, page, 1, changed);
}

bool role_records_apply(struct role_records *records, const char *key, json_object *value,
                        revision mod_revision, GPtrArray *changed_machines)
{
    enum singleton_role role;
    int number;
    if (key_role_parse(key, &role))
        apply_record(records, role, value, mod_revision);
    else if (key_intent_page_parse(key, &role, &number))
        apply_page(records, key, (struct intent_page){role, number, mod_revision, NULL}, value,
                   changed_machines);
    else
        return false;
    return true;
}

const struct role_record *role_records_get(const struct role_records *records,
                                           enum singleton_role role)
{
    return &records->by_role[role];
}

const struct intent_page *role_records_get_page(const struct role_records *records,
                                                enum singleton_role role, int number)
{
    char *key = key_intent_page(role, number);
    const struct intent_page *page = g_hash_table_lookup(records->pages, key);
    g_free(key);
    return page;
}

GPtrArray *role_records_list_pages(const struct role_records *records, enum singleton_role role)
{
    GPtrArray *pages = g_ptr_array_new();
    GHashTableIter it;
    struct intent_page *page;
    g_hash_table_iter_init(&it, records->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (page->role == role)
            g_ptr_array_add(pages, page);
    return pages;
}

bool role_records_is_scaling_in(const struct role_records *records, const char *machine)
{
    return g_hash_table_size(records->scale_in_counts) &&
           g_hash_table_contains(records->scale_in_counts, machine);
}
