#include "duty_history.h"

#include "record_page_codec.h"
#include "role_codec.h"

struct duty_history {
    uint64_t current[ROLE_COUNT], highest[ROLE_COUNT]; /* tokens; current 0: nobody holds it */
    GHashTable *rent_intents, *return_intents;         /* names ever recorded */
    GHashTable *placed;                                /* "JOB/INDEX ATTEMPT MACHINE" */
    GHashTable *rented;                                /* machines, until they are returned */
    unsigned holders, effects;
    char *wrong;
};

static GHashTable *set_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct duty_history *duty_history_new(void)
{
    struct duty_history *history = g_new0(struct duty_history, 1);
    history->rent_intents = set_new();
    history->return_intents = set_new();
    history->placed = set_new();
    history->rented = set_new();
    return history;
}

void duty_history_free(struct duty_history *history)
{
    g_hash_table_unref(history->rent_intents);
    g_hash_table_unref(history->return_intents);
    g_hash_table_unref(history->placed);
    g_hash_table_unref(history->rented);
    g_free(history->wrong);
    g_free(history);
}

static void G_GNUC_PRINTF(2, 3) note_wrong(struct duty_history *history, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    if (!history->wrong)
        history->wrong = g_strdup_vprintf(format, args);
    va_end(args);
}

static void record_changed(struct duty_history *history, enum singleton_role role, const char *text,
                           uint64_t mod_revision)
{
    history->current[role] = text ? mod_revision : 0;
    if (!text)
        return;
    if (mod_revision <= history->highest[role])
        note_wrong(history, "the token of %s fell to %" G_GUINT64_FORMAT, singleton_role_name(role),
                   mod_revision);
    history->highest[role] = mod_revision;
    history->holders++;
}

static void intents_changed(struct duty_history *history, enum singleton_role role,
                            const char *text)
{
    json_object *value = json_parse(text, strlen(text));
    GPtrArray *intents = g_ptr_array_new_with_free_func(g_free);
    fencing_token token = {0};
    if (!intents_decode(value, &token, intents))
        note_wrong(history, "intents that cannot be read: %s", text);
    if (!token.value || token.value != history->current[role])
        note_wrong(history,
                   "intents under token %" G_GUINT64_FORMAT " while %" G_GUINT64_FORMAT
                   " is current",
                   token.value, history->current[role]);
    for (guint i = 0; i < intents->len; i++) {
        const struct intent *intent = intents->pdata[i];
        g_hash_table_add(intent->kind == INTENT_SCALE_OUT ? history->rent_intents
                                                          : history->return_intents,
                         g_strdup(intent->name));
    }
    g_ptr_array_unref(intents);
    json_object_put(value);
}

/* Records go from page to page; a new one is a task that is placed. */
static void record_seen(void *ctx, const struct record_page_entry *record)
{
    struct duty_history *history = ctx;
    char *name = g_strdup_printf("%s/%u %" G_GUINT64_FORMAT " %s", record->job.text,
                                 record->task_index, record->attempt.value, record->machine.text);
    if (g_hash_table_add(history->placed, g_strdup(name)) &&
        g_hash_table_contains(history->return_intents, record->machine.text))
        note_wrong(history, "placed on a machine that is to be returned: %s", name);
    g_free(name);
}

static void page_changed(struct duty_history *history, const char *text)
{
    json_object *value = json_parse(text, strlen(text));
    const char *records;
    if (json_get_string(value, "t", &records))
        record_page_decode(records, record_seen, history);
    json_object_put(value);
}

void duty_history_key(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct duty_history *history = ctx;
    enum singleton_role role;
    int page;
    if (key_role_parse(key, &role))
        record_changed(history, role, text, mod_revision);
    else if (text && key_intent_page_parse(key, &role, &page))
        intents_changed(history, role, text);
    else if (text && g_str_has_prefix(key, "ll/p/"))
        page_changed(history, text);
}

void duty_history_rented(void *ctx, const char *request, const char *machine)
{
    struct duty_history *history = ctx;
    history->effects++;
    g_hash_table_add(history->rented, g_strdup(machine));
    if (!g_hash_table_contains(history->rent_intents, request))
        note_wrong(history, "rented %s for %s, which is on no record", machine, request);
}

void duty_history_rented_by_hand(struct duty_history *history, const char *machine)
{
    g_hash_table_add(history->rented, g_strdup(machine));
}

void duty_history_returned(void *ctx, const char *machine)
{
    struct duty_history *history = ctx;
    history->effects++;
    g_hash_table_remove(history->rented, machine);
    if (!g_hash_table_contains(history->return_intents, machine))
        note_wrong(history, "returned %s, which is on no record", machine);
}

bool duty_history_return_known(const struct duty_history *history, const char *machine)
{
    return g_hash_table_contains(history->return_intents, machine);
}

unsigned duty_history_holders(const struct duty_history *history)
{
    return history->holders;
}

unsigned duty_history_effects(const struct duty_history *history)
{
    return history->effects;
}

GPtrArray *duty_history_rented_still(const struct duty_history *history)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    char *name;
    g_hash_table_iter_init(&it, history->rented);
    while (g_hash_table_iter_next(&it, (gpointer *)&name, NULL))
        g_ptr_array_add(names, g_strdup(name));
    return names;
}

const char *duty_history_wrong(const struct duty_history *history)
{
    return history->wrong;
}
