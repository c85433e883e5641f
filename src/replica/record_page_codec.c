#include "record_page_codec.h"

#include <stdlib.h>

enum {
    CHUNK_BYTES = 1024, /* of bits: 8,192 tasks */
    CHUNK_UNITS = CHUNK_BYTES / COMPLETION_UNIT_BYTES,
    MAX_CHUNKS = 100000 / (8 * CHUNK_BYTES) + 1,
    MAX_NUMBER_BYTES = 22,     /* of a number and the characters beside it */
    NAME_BUFFER_BYTES = 64,    /* more than any name has */
    UNSHARED_SUFFIX_CHARS = 3, /* of a name, at its end, that are not taken for its beginning */
};

char *machine_description_encode(const char *address, const char *machine_type_name,
                                 const char *zone, bool is_spot)
{
    static const char forbidden_characters[] =
        " ,\"\\/"; /* these end a word, or take more room as JSON */
    if (!*address || strpbrk(address, forbidden_characters) ||
        strpbrk(machine_type_name, forbidden_characters) || strpbrk(zone, forbidden_characters))
        return NULL;
    return g_strdup_printf("%s,%s,%s,%d", address, machine_type_name, zone, is_spot);
}

/* ---- run records ---- */

static int compare_attempts(const struct record_page_entry *left,
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
    int order = compare_attempts(left, right);
    if (order == 0)
        order = strcmp(left->machine.text, right->machine.text);
    return order ? order : compare_task_indexes(left, right);
}

static gint compare_by_machine(gconstpointer a, gconstpointer b)
{
    const struct record_page_entry *left = a, *right = b;
    int order = strcmp(left->machine.text, right->machine.text);
    if (order == 0)
        order = compare_attempts(left, right);
    return order ? order : compare_task_indexes(left, right);
}

/* What names begin with: all but the end of the first one in their order. While any that begins so
 * is left it stays the same, and after that all others had to be said whole. */
static char *shared_name_prefix(GArray *entries)
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

/* Each word once until another of its kind is needed. With the job first a machine is named anew
 * for each attempt, so that what a record adds does not hang on those beside it. */
static GString *encode_in_order(GArray *entries, bool job_first, bool is_legacy)
{
    GString *text = g_string_new(NULL);
    char *prefix = is_legacy ? g_strdup("") : shared_name_prefix(entries);
    if (*prefix)
        g_string_append_printf(text, "^%s ", prefix);
    GHashTable *described_machines = g_hash_table_new(g_str_hash, g_str_equal);
    const struct record_page_entry *previous = NULL;
    for (guint i = 0; i < entries->len; i++) {
        const struct record_page_entry *entry =
            &g_array_index(entries, struct record_page_entry, i);
        bool same_attempt = previous && compare_attempts(previous, entry) == 0;
        bool same_job = previous && job_id_equal(previous->job, entry->job);
        bool same_machine = previous && machine_id_equal(previous->machine, entry->machine) &&
                            (same_attempt || !job_first);
        same_attempt = same_attempt && (same_machine || job_first);
        same_job = same_job && (same_machine || job_first);
        GString *machine_text = g_string_new(NULL);
        if (!same_machine) {
            bool is_unprefixed = !g_str_has_prefix(entry->machine.text, prefix);
            g_string_append_printf(machine_text, "%c%s ", is_unprefixed ? '&' : '@',
                                   entry->machine.text + (is_unprefixed ? 0 : strlen(prefix)));
            if (entry->description &&
                g_hash_table_add(described_machines, (gpointer)entry->machine.text))
                g_string_append_printf(machine_text, "=%s ", entry->description);
        }
        if (!job_first)
            g_string_append(text, machine_text->str);
        if (!same_job)
            g_string_append_printf(text, "#%s ", entry->job.text);
        if (!same_attempt)
            g_string_append_printf(text, "*%" G_GUINT64_FORMAT " ", entry->attempt.value);
        if (job_first)
            g_string_append(text, machine_text->str);
        g_string_append_printf(text, "%u ", entry->task_index);
        g_string_free(machine_text, TRUE);
        previous = entry;
    }
    g_hash_table_unref(described_machines);
    g_free(prefix);
    return text;
}

/* Tasks that were started together are mostly of one job and on many machines, but a machine with
 * many jobs is said in less the other way round. */
GString *record_page_encode(GArray *entries, bool is_legacy)
{
    g_array_sort(entries, compare_by_machine);
    GString *by_machine = encode_in_order(entries, false, is_legacy);
    g_array_sort(entries, compare_by_job);
    GString *by_job = encode_in_order(entries, true, is_legacy);
    GString *longer = by_job->len <= by_machine->len ? by_machine : by_job;
    g_string_free(longer, TRUE);
    return longer == by_machine ? by_job : by_machine;
}

gsize record_page_encoded_bytes(GArray *entries, bool is_legacy, gsize *shortest_bytes)
{
    g_array_sort(entries, compare_by_machine);
    GString *by_machine = encode_in_order(entries, false, is_legacy);
    g_array_sort(entries, compare_by_job);
    GString *by_job = encode_in_order(entries, true, is_legacy);
    gsize length = by_job->len;
    *shortest_bytes = MIN(length, by_machine->len);
    g_string_free(by_machine, TRUE);
    g_string_free(by_job, TRUE);
    return length;
}

static gsize count_digits(uint64_t value)
{
    gsize n = 1;
    while (value >= 10) {
        value /= 10;
        n++;
    }
    return n;
}

gsize record_page_entry_max_bytes(const struct record_page_entry *entry, bool has_job,
                                  bool has_attempt)
{
    return strlen(entry->machine.text) + 2 +
           (entry->description ? strlen(entry->description) + 2 : 0) +
           count_digits(entry->task_index) + 1 + (has_job ? 0 : strlen(entry->job.text) + 2) +
           (has_job && has_attempt ? 0 : count_digits(entry->attempt.value) + 2);
}

/* The next word of a page's text, which ends at a blank; NULL when there is none. */
static const char *next_word(const char **position, size_t *length)
{
    const char *word = *position + strspn(*position, " ");
    *length = strcspn(word, " ");
    *position = word + *length;
    return *length ? word : NULL;
}

/* The name that a word holds behind its mark. */
static const char *copy_word_name(const char *prefix, const char *word, size_t length, char *name)
{
    g_strlcpy(name, prefix, NAME_BUFFER_BYTES);
    strncat(name, word + 1, MIN(length - 1, NAME_BUFFER_BYTES - 1 - strlen(name)));
    return name;
}

void record_page_decode(const char *text, record_page_entry_callback callback, void *context)
{
    struct record_page_entry entry = {0};
    bool has_machine = false, has_job = false;
    size_t length;
    char name[NAME_BUFFER_BYTES], prefix[NAME_BUFFER_BYTES] = "", *description = NULL;
    for (const char *position = text, *word; (word = next_word(&position, &length));) {
        if (*word == '^') {
            copy_word_name("", word, length, prefix);
        } else if (*word == '@' || *word == '&') {
            has_machine = machine_id_parse(
                &entry.machine, copy_word_name(*word == '@' ? prefix : "", word, length, name));
            g_clear_pointer(&description, g_free);
        } else if (*word == '=') {
            g_free(description);
            description = g_strndup(word + 1, length - 1);
        } else if (*word == '#') {
            has_job = job_id_parse(&entry.job, copy_word_name("", word, length, name));
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

/* ---- what machines are ---- */

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
    for (const char *position = text, *word; (word = next_word(&position, &length));) {
        if (*word == '@') {
            has_machine = machine_id_parse(&machine, copy_word_name("", word, length, name));
        } else if (*word == '=' && has_machine) {
            char *description = g_strndup(word + 1, length - 1);
            callback(context, machine, description);
            g_free(description);
        }
    }
}

/* ---- what is done ---- */

void bitmap_grow(GByteArray *bitmap, guint length_bytes)
{
    guint old_length = bitmap->len;
    if (old_length >= length_bytes)
        return;
    g_byte_array_set_size(bitmap, length_bytes);
    memset(bitmap->data + old_length, 0, length_bytes - old_length);
}

void bitmap_merge(GByteArray *to, const GByteArray *from)
{
    bitmap_grow(to, from->len);
    for (guint i = 0; i < from->len; i++)
        to->data[i] |= from->data[i];
}

gsize completions_max_bytes(job_id job, uint32_t unit, guint bitmap_bytes, bool is_legacy)
{
    guint leading_bytes = is_legacy ? unit % CHUNK_UNITS * COMPLETION_UNIT_BYTES : 0;
    return strlen(job.text) + MAX_NUMBER_BYTES + 2 * (gsize)(leading_bytes + bitmap_bytes);
}

void completions_encode(GString *text, job_id job, uint32_t unit, const GByteArray *bits,
                        bool is_legacy)
{
    static const char digits[] = "0123456789abcdef";
    guint used_bytes = bits->len, offset = unit % CHUNK_UNITS * COMPLETION_UNIT_BYTES;
    while (used_bytes && !bits->data[used_bytes - 1])
        used_bytes--;
    g_string_append_printf(text, "#%s %u", job.text, unit / CHUNK_UNITS);
    if (offset && !is_legacy)
        g_string_append_printf(text, "+%u", offset);
    g_string_append_c(text, ':');
    for (guint i = 0; is_legacy && i < offset; i++)
        g_string_append(text, "00");
    for (guint i = 0; i < used_bytes; i++) {
        g_string_append_c(text, digits[bits->data[i] >> 4]);
        g_string_append_c(text, digits[bits->data[i] & 15]);
    }
    g_string_append_c(text, ' ');
}

/* A word may hold the bits of several units. */
static void decode_bits(job_id job, uint32_t unit, const char *hex_digits, size_t length,
                        completions_callback callback, void *context)
{
    for (size_t position = 0; position < length; unit++) {
        GByteArray *bytes = g_byte_array_new();
        bool has_bits = false;
        for (guint i = 0; i < COMPLETION_UNIT_BYTES && position + 1 < length; i++, position += 2) {
            int high = g_ascii_xdigit_value(hex_digits[position]),
                low = g_ascii_xdigit_value(hex_digits[position + 1]);
            guint8 byte = high < 0 || low < 0 ? 0 : (guint8)(high << 4 | low);
            has_bits = has_bits || byte;
            g_byte_array_append(bytes, &byte, 1);
        }
        if (has_bits)
            callback(context, job, unit, bytes);
        g_byte_array_unref(bytes);
        if (position + 1 >= length)
            return;
    }
}

void completions_decode(const char *text, completions_callback callback, void *context)
{
    job_id job;
    bool has_job = false;
    size_t length;
    char name[NAME_BUFFER_BYTES];
    for (const char *position = text, *word; (word = next_word(&position, &length));) {
        if (*word == '#') {
            has_job = job_id_parse(&job, copy_word_name("", word, length, name));
        } else if (has_job && g_ascii_isdigit(*word)) {
            char *rest;
            unsigned long chunk = strtoul(word, &rest, 10), offset = 0;
            if (*rest == '+')
                offset = strtoul(rest + 1, &rest, 10);
            if (*rest != ':' || chunk >= MAX_CHUNKS || offset >= CHUNK_BYTES ||
                offset % COMPLETION_UNIT_BYTES)
                continue;
            rest++;
            decode_bits(job, (uint32_t)(chunk * CHUNK_UNITS + offset / COMPLETION_UNIT_BYTES), rest,
                        (size_t)(position - rest), callback, context);
        }
    }
}
