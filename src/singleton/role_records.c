#include "role_records.h"

#include "log.h"

struct duty_table {
    struct duty_record records[DUTIES];
    GHashTable *pages;     /* key -> struct intent_page */
    GHashTable *returning; /* machine -> number of pages that say so */
};

static void page_free(gpointer p)
{
    struct intent_page *page = p;
    g_ptr_array_unref(page->intents);
    g_free(page);
}

struct duty_table *duty_table_new(void)
{
    struct duty_table *table = g_new0(struct duty_table, 1);
    table->pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, page_free);
    table->returning = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return table;
}

void duty_table_free(struct duty_table *table)
{
    g_hash_table_unref(table->pages);
    g_hash_table_unref(table->returning);
    g_free(table);
}

static void apply_record(struct duty_table *table, enum duty duty, json_object *value,
                         revision stamp)
{
    struct duty_record record = {0};
    if (value && !duty_holder_read(value, &record.holder))
        LOG_ERROR("duty_unreadable", "duty=%s", duty_name(duty));
    /* A record that cannot be read still is one: nobody may act or claim beside its holder. */
    if (value)
        record.token.v = stamp.v;
    table->records[duty] = record;
}

/* Counts a machine's return in (by 1) or out (by -1). */
static void count_return(struct duty_table *table, const char *machine, int by, GPtrArray *changed)
{
    int count = GPOINTER_TO_INT(g_hash_table_lookup(table->returning, machine)) + by;
    if (count > 0)
        g_hash_table_replace(table->returning, g_strdup(machine), GINT_TO_POINTER(count));
    else
        g_hash_table_remove(table->returning, machine);
    g_ptr_array_add(changed, g_strdup(machine));
}

static void count_page(struct duty_table *table, const struct intent_page *page, int by,
                       GPtrArray *changed)
{
    for (guint i = 0; i < page->intents->len; i++) {
        const struct intent *intent = page->intents->pdata[i];
        if (intent->kind == INTENT_RETURN)
            count_return(table, intent->name, by, changed);
    }
}

static void apply_page(struct duty_table *table, const char *key, struct intent_page place,
                       json_object *value, GPtrArray *changed)
{
    struct intent_page *old = g_hash_table_lookup(table->pages, key);
    if (old)
        count_page(table, old, -1, changed);
    g_hash_table_remove(table->pages, key);
    if (!value)
        return;
    struct intent_page *page = g_memdup2(&place, sizeof place);
    duty_token token;
    page->intents = g_ptr_array_new_with_free_func(g_free);
    if (!intents_read(value, &token, page->intents))
        LOG_ERROR("intents_unreadable", "key=%s", key);
    g_hash_table_replace(table->pages, g_strdup(key), page);
    count_page(table, page, 1, changed);
}

bool duty_table_apply(struct duty_table *table, const char *key, json_object *value, revision stamp,
                      GPtrArray *changed)
{
    enum duty duty;
    int number;
    if (key_duty_read(key, &duty))
        apply_record(table, duty, value, stamp);
    else if (key_intents_read(key, &duty, &number))
        apply_page(table, key, (struct intent_page){duty, number, stamp, NULL}, value, changed);
    else
        return false;
    return true;
}

const struct duty_record *duty_table_record(const struct duty_table *table, enum duty duty)
{
    return &table->records[duty];
}

const struct intent_page *duty_table_page(const struct duty_table *table, enum duty duty,
                                          int number)
{
    char *key = key_intents(duty, number);
    const struct intent_page *page = g_hash_table_lookup(table->pages, key);
    g_free(key);
    return page;
}

GPtrArray *duty_table_pages(const struct duty_table *table, enum duty duty)
{
    GPtrArray *pages = g_ptr_array_new();
    GHashTableIter it;
    struct intent_page *page;
    g_hash_table_iter_init(&it, table->pages);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&page))
        if (page->duty == duty)
            g_ptr_array_add(pages, page);
    return pages;
}

bool duty_table_returning(const struct duty_table *table, const char *machine)
{
    return g_hash_table_size(table->returning) && g_hash_table_contains(table->returning, machine);
}
