#include "duty_history.h"

#include "record_page_codec.h"
#include "role_codec.h"

/* The state of the checker, and the first violation. */
struct duty_history {
    uint64_t current_token[ROLE_COUNT],
        highest_token[ROLE_COUNT];             /* fencing tokens; current_token 0: no holder */
    GHashTable *rent_intents, *return_intents; /* names of all intents ever recorded */
    GHashTable *placements;                    /* "JOB/INDEX ATTEMPT MACHINE" */
    GHashTable *rented_machines;               /* machines that were not returned yet */
    unsigned holder_count, cloud_effect_count;
    char *violation;
};

static GHashTable *new_string_set(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct duty_history *duty_history_new(void)
{
    struct duty_history *history = g_new0(struct duty_history, 1);
    history->rent_intents = new_string_set();
    history->return_intents = new_string_set();
    history->placements = new_string_set();
    history->rented_machines = new_string_set();
    return history;
}

void duty_history_free(struct duty_history *history)
{
    g_hash_table_unref(history->rent_intents);
    g_hash_table_unref(history->return_intents);
    g_hash_table_unref(history->placements);
    g_hash_table_unref(history->rented_machines);
    g_free(history->violation);
    g_free(history);
}

static void G_GNUC_PRINTF(2, 3)
    report_violation(struct duty_history *history, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    if (!history->violation)
        history->violation = g_strdup_vprintf(format, args);
    va_end(args);
}

static void role_record_changed(struct duty_history *history, enum singleton_role role,
                                const char *text, uint64_t mod_revision)
{
    history->current_token[role] = text ? mod_revision : 0;
    if (!text)
        return;
    if (mod_revision <= history->highest_token[role])
        report_violation(history, "the token of %s fell to %" G_GUINT64_FORMAT,
                         singleton_role_name(role), mod_revision);
    history->highest_token[role] = mod_revision;
    history->holder_count++;
}

static void intent_page_changed(struct duty_history *history, enum singleton_role role,
                                const char *text)
{
    json_object *value = json_parse(text, strlen(text));
    GPtrArray *intents = g_ptr_array_new_with_free_func(g_free);
    fencing_token token = {0};
    if (!intents_decode(value, &token, intents))
        report_violation(history, "intents that cannot be read: %s", text);
    if (!token.value || token.value != history->current_token[role])
        report_violation(history,
                         "intents under token %" G_GUINT64_FORMAT " while %" G_GUINT64_FORMAT
                         " is current",
                         token.value, history->current_token[role]);
    for (guint i = 0; i < intents->len; i++) {
        const struct intent *intent = intents->pdata[i];
        g_hash_table_add(intent->kind == INTENT_SCALE_OUT ? history->rent_intents
                                                          : history->return_intents,
                         g_strdup(intent->name));
    }
    g_ptr_array_unref(intents);
    json_object_put(value);
}

/* Records may move from page to page; only a record that was never seen before is a placement. */
static void on_run_record(void *ctx, const struct record_page_entry *record)
{
    struct duty_history *history = ctx;
    char *name = g_strdup_printf("%s/%u %" G_GUINT64_FORMAT " %s", record->job.text,
                                 record->task_index, record->attempt.value, record->machine.text);
    if (g_hash_table_add(history->placements, g_strdup(name)) &&
        g_hash_table_contains(history->return_intents, record->machine.text))
        report_violation(history, "placed on a machine that is to be returned: %s", name);
    g_free(name);
}

static void record_page_changed(struct duty_history *history, const char *text)
{
    json_object *object = json_parse(text, strlen(text));
    const char *records;
    if (json_get_string(object, "t", &records))
        record_page_decode(records, on_run_record, history);
    json_object_put(object);
}

void duty_history_key_changed(void *ctx, const char *key, const char *text, uint64_t mod_revision)
{
    struct duty_history *history = ctx;
    enum singleton_role role;
    int page;
    if (key_role_parse(key, &role))
        role_record_changed(history, role, text, mod_revision);
    else if (text && key_intent_page_parse(key, &role, &page))
        intent_page_changed(history, role, text);
    else if (text && g_str_has_prefix(key, "ll/p/"))
        record_page_changed(history, text);
}

void duty_history_rented(void *ctx, const char *request, const char *machine)
{
    struct duty_history *history = ctx;
    history->cloud_effect_count++;
    g_hash_table_add(history->rented_machines, g_strdup(machine));
    if (!g_hash_table_contains(history->rent_intents, request))
        report_violation(history, "rented %s for %s, for which no intent was recorded", machine,
                         request);
}

void duty_history_add_rented_machine(struct duty_history *history, const char *machine)
{
    g_hash_table_add(history->rented_machines, g_strdup(machine));
}

void duty_history_returned(void *ctx, const char *machine)
{
    struct duty_history *history = ctx;
    history->cloud_effect_count++;
    g_hash_table_remove(history->rented_machines, machine);
    if (!g_hash_table_contains(history->return_intents, machine))
        report_violation(history, "returned %s, for which no intent was recorded", machine);
}

bool duty_history_has_return_intent(const struct duty_history *history, const char *machine)
{
    return g_hash_table_contains(history->return_intents, machine);
}

unsigned duty_history_count_holders(const struct duty_history *history)
{
    return history->holder_count;
}

unsigned duty_history_count_cloud_effects(const struct duty_history *history)
{
    return history->cloud_effect_count;
}

GPtrArray *duty_history_list_rented_machines(const struct duty_history *history)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    char *name;
    g_hash_table_iter_init(&it, history->rented_machines);
    while (g_hash_table_iter_next(&it, (gpointer *)&name, NULL))
        g_ptr_array_add(names, g_strdup(name));
    return names;
}

const char *duty_history_get_violation(const struct duty_history *history)
{
    return history->violation;
}
