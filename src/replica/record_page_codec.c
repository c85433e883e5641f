/** Codec of record pages and inventories: see record_page_codec.h. */
#include "record_page_codec.h"

#include "page_words.h"

#include <stdlib.h>

enum {
    /** The last characters of a machine's name, which are never part of the shared prefix. */
    UNSHARED_SUFFIX_CHARS = 3,
    /** The fields are the address, machine type, zone, and whether it is a spot machine. */
    DESCRIPTION_FIELD_COUNT = 4,
};

char *machine_description_encode(const char *address, const char *machine_type_name,
                                 const char *zone, bool is_spot)
{
    /* Blanks and commas are separators; the others may need several bytes in JSON. */
    static const char forbidden_characters[] = " ,\"\\/";
    if (!*address || strpbrk(address, forbidden_characters) ||
        strpbrk(machine_type_name, forbidden_characters) || strpbrk(zone, forbidden_characters))
        return NULL;
    return g_strdup_printf("%s,%s,%s,%d", address, machine_type_name, zone, is_spot);
}

bool machine_description_decode(const char *text, struct machine_description *description)
{
    char **fields = g_strsplit(text, ",", -1);
    bool is_valid = g_strv_length(fields) == DESCRIPTION_FIELD_COUNT;
    if (is_valid) {
        g_strlcpy(description->address, fields[0], sizeof description->address);
        g_strlcpy(description->machine_type_name, fields[1], sizeof description->machine_type_name);
        g_strlcpy(description->zone, fields[2], sizeof description->zone);
        description->is_spot = strcmp(fields[3], "1") == 0;
    }
    g_strfreev(fields);
    return is_valid;
}

/* ---- run records ---- */

/** Compares by job, then by attempt. */
static int compare_jobs_and_attempts(const struct record_page_entry *left,
                                     const struct record_page_entry *right)
{
    int job_order = strcmp(left->job.text, right->job.text);
    if (job_order != 0)
        return job_order;
    return left->attempt.value == right->attempt.value  ? 0
           : left->attempt.value < right->attempt.value ? -1
                                                        : 1;
}

static int compare_task_indexes(const struct record_page_entry *left,
                                const struct record_page_entry *right)
{
    return left->task_index < right->task_index ? -1 : left->task_index > right->task_index;
}

static gint compare_by_job(gconstpointer a, gconstpointer b)
{
    const struct record_page_entry *left = a, *right = b;
    int order = compare_jobs_and_attempts(left, right);
    if (order == 0)
        order = strcmp(left->machine.text, right->machine.text);
    return order ? order : compare_task_indexes(left, right);
}

static gint compare_by_machine(gconstpointer a, gconstpointer b)
{
    const struct record_page_entry *left = a, *right = b;
    int order = strcmp(left->machine.text, right->machine.text);
    if (order == 0)
        order = compare_jobs_and_attempts(left, right);
    return order ? order : compare_task_indexes(left, right);
}

/**
 * Returns the prefix shared by machine names on a page: the first name in sorted order without its
 * last characters. Removing entries changes the prefix only when no name with it is left on the
 * page, and all remaining names were then already written in full. So removing entries never makes
 * the page longer.
 */
static char *find_shared_name_prefix(const GArray *entries)
{
    const char *first = NULL;
    for (guint i = 0; i < entries->len; i++) {
        const char *name = g_array_index(entries, struct record_page_entry, i).machine.text;
        if (!first || strcmp(name, first) < 0)
            first = name;
    }
    size_t length = first ? strlen(first) : 0;
    return g_strndup(first ? first : "",
                     length > UNSHARED_SUFFIX_CHARS ? length - UNSHARED_SUFFIX_CHARS : 0);
}

/** The state of the encoding of a page in one order. */
struct page_writer {
    GString *text;
    char *prefix;
    /** The names of the machines whose description was written. */
    GHashTable *described_machines;
    const struct record_page_entry *previous;
    bool job_first;
};

static void write_machine(struct page_writer *writer, const struct record_page_entry *entry)
{
    const char *name = entry->machine.text;
    if (g_str_has_prefix(name, writer->prefix))
        g_string_append_printf(writer->text, "@%s ", name + strlen(writer->prefix));
    else
        g_string_append_printf(writer->text, "&%s ", name);
    if (entry->description && g_hash_table_add(writer->described_machines, (gpointer)name))
        g_string_append_printf(writer->text, "=%s ", entry->description);
}

/**
 * Writes an entry, omitting words that still apply from the previous entry. When sorted by job, the
 * machine is repeated for each attempt, so that the length of an entry does not depend on its
 * neighbours.
 */
static void write_entry(struct page_writer *writer, const struct record_page_entry *entry)
{
    const struct record_page_entry *previous = writer->previous;
    bool job_first = writer->job_first;
    bool same_attempt = previous && compare_jobs_and_attempts(previous, entry) == 0;
    bool same_job = previous && job_id_equal(previous->job, entry->job);
    bool same_machine = previous && machine_id_equal(previous->machine, entry->machine) &&
                        (same_attempt || !job_first);
    bool keeps_job_words = same_machine || job_first;
    if (!same_machine && !job_first)
        write_machine(writer, entry);
    if (!same_job || !keeps_job_words)
        g_string_append_printf(writer->text, "#%s ", entry->job.text);
    if (!same_attempt || !keeps_job_words)
        g_string_append_printf(writer->text, "*%" G_GUINT64_FORMAT " ", entry->attempt.value);
    if (!same_machine && job_first)
        write_machine(writer, entry);
    g_string_append_printf(writer->text, "%u ", entry->task_index);
    writer->previous = entry;
}

/** Encodes entries that are sorted by job (job_first) or by machine. */
static GString *encode_in_order(const GArray *entries, bool job_first, bool is_legacy)
{
    struct page_writer writer = {
        .text = g_string_new(NULL),
        .prefix = is_legacy ? g_strdup("") : find_shared_name_prefix(entries),
        .described_machines = g_hash_table_new(g_str_hash, g_str_equal),
        .job_first = job_first,
    };
    if (*writer.prefix)
        g_string_append_printf(writer.text, "^%s ", writer.prefix);
    for (guint i = 0; i < entries->len; i++)
        write_entry(&writer, &g_array_index(entries, struct record_page_entry, i));
    g_hash_table_unref(writer.described_machines);
    g_free(writer.prefix);
    return writer.text;
}

/** The encodings of the same entries in both orders. */
struct page_texts {
    GString *by_machine, *by_job;
};

static struct page_texts encode_both_orders(GArray *entries, bool is_legacy)
{
    struct page_texts texts;
    g_array_sort(entries, compare_by_machine);
    texts.by_machine = encode_in_order(entries, false, is_legacy);
    g_array_sort(entries, compare_by_job);
    texts.by_job = encode_in_order(entries, true, is_legacy);
    return texts;
}

GString *record_page_encode(GArray *entries, bool is_legacy)
{
    struct page_texts texts = encode_both_orders(entries, is_legacy);
    bool job_first_is_shorter = texts.by_job->len <= texts.by_machine->len;
    g_string_free(job_first_is_shorter ? texts.by_machine : texts.by_job, TRUE);
    return job_first_is_shorter ? texts.by_job : texts.by_machine;
}

gsize record_page_encoded_bytes(GArray *entries, bool is_legacy, gsize *shortest_bytes)
{
    struct page_texts texts = encode_both_orders(entries, is_legacy);
    gsize length = texts.by_job->len;
    *shortest_bytes = MIN(length, texts.by_machine->len);
    g_string_free(texts.by_machine, TRUE);
    g_string_free(texts.by_job, TRUE);
    return length;
}

static gsize count_digits(uint64_t value)
{
    gsize count = 1;
    while (value >= 10) {
        value /= 10;
        count++;
    }
    return count;
}

gsize record_page_entry_max_bytes(const struct record_page_entry *entry, bool has_job,
                                  bool has_attempt)
{
    return strlen(entry->machine.text) + 2 +
           (entry->description ? strlen(entry->description) + 2 : 0) +
           count_digits(entry->task_index) + 1 + (has_job ? 0 : strlen(entry->job.text) + 2) +
           (has_job && has_attempt ? 0 : count_digits(entry->attempt.value) + 2);
}

void record_page_decode(const char *text, record_page_entry_callback callback, void *context)
{
    struct record_page_entry entry = {0};
    bool has_machine = false, has_job = false;
    size_t length;
    char name[NAME_BUFFER_BYTES], prefix[NAME_BUFFER_BYTES] = "", *description = NULL;
    for (const char *position = text, *word; (word = page_next_word(&position, &length));) {
        if (*word == '^') {
            page_copy_name("", word, length, prefix);
        } else if (*word == '@' || *word == '&') {
            has_machine = machine_id_parse(
                &entry.machine, page_copy_name(*word == '@' ? prefix : "", word, length, name));
            g_clear_pointer(&description, g_free);
        } else if (*word == '=') {
            g_free(description);
            description = g_strndup(word + 1, length - 1);
        } else if (*word == '#') {
            has_job = job_id_parse(&entry.job, page_copy_name("", word, length, name));
        } else if (*word == '*') {
            entry.attempt.value = g_ascii_strtoull(word + 1, NULL, 10);
        } else if (has_machine && has_job) {
            entry.task_index = (uint32_t)strtoul(word, NULL, 10);
            entry.description = description;
            callback(context, &entry);
        }
    }
    g_free(description);
}

/* ---- inventories ---- */

void inventory_encode_machine(GString *text, machine_id machine, const char *description)
{
    g_string_append_printf(text, "@%s =%s ", machine.text, description);
}

void inventory_decode(const char *text, inventory_machine_callback callback, void *context)
{
    machine_id machine;
    bool has_machine = false;
    size_t length;
    char name[NAME_BUFFER_BYTES];
    for (const char *position = text, *word; (word = page_next_word(&position, &length));) {
        if (*word == '@') {
            has_machine = machine_id_parse(&machine, page_copy_name("", word, length, name));
        } else if (*word == '=' && has_machine) {
            char *description = g_strndup(word + 1, length - 1);
            callback(context, machine, description);
            g_free(description);
        }
    }
}
