#include "record_page_codec.h"

#include <stdlib.h>

enum {
    CHUNK_BYTES = 1024, /* of bits: 8,192 tasks */
    CHUNK_UNITS = CHUNK_BYTES / MARK_BYTES,
    MOST_CHUNKS = 100000 / (8 * CHUNK_BYTES) + 1,
    NUMBER_BYTES = 22, /* of a number and the characters beside it */
    NAME_SIZE = 64,    /* more than any name has */
    OWN_CHARS = 3,     /* of a name, at its end, that are not taken for its beginning */
};

char *machine_about(const char *addr, const char *type_name, const char *zone, bool spot)
{
    static const char foreign[] = " ,\"\\/"; /* these end a word, or take more room as JSON */
    if (!*addr || strpbrk(addr, foreign) || strpbrk(type_name, foreign) || strpbrk(zone, foreign))
        return NULL;
    return g_strdup_printf("%s,%s,%s,%d", addr, type_name, zone, spot);
}

/* ---- run records ---- */

static int by_attempt(const struct page_rec *x, const struct page_rec *y)
{
    int job = strcmp(x->job.s, y->job.s);
    if (job != 0)
        return job;
    return x->attempt.v == y->attempt.v ? 0 : x->attempt.v < y->attempt.v ? -1 : 1;
}

static int by_index(const struct page_rec *x, const struct page_rec *y)
{
    return x->index < y->index ? -1 : x->index > y->index;
}

static gint by_job_first(gconstpointer a, gconstpointer b)
{
    const struct page_rec *record = a, *y = b;
    int c = by_attempt(record, y);
    if (c == 0)
        c = strcmp(record->host.s, y->host.s);
    return c ? c : by_index(record, y);
}

static gint by_host_first(gconstpointer a, gconstpointer b)
{
    const struct page_rec *record = a, *y = b;
    int c = strcmp(record->host.s, y->host.s);
    if (c == 0)
        c = by_attempt(record, y);
    return c ? c : by_index(record, y);
}

/* What names begin with: all but the end of the first one in their order. While any that begins so
 * is left it stays the same, and after that all others had to be said whole. */
static char *beginning_of(GArray *records)
{
    const char *first = NULL;
    for (guint i = 0; i < records->len; i++) {
        const char *name = g_array_index(records, struct page_rec, i).host.s;
        if (!first || strcmp(name, first) < 0)
            first = name;
    }
    size_t n = first ? strlen(first) : 0;
    return g_strndup(first ? first : "", n > OWN_CHARS ? n - OWN_CHARS : 0);
}

/* Each word once until another of its kind is needed. With the job first a machine is named anew
 * for each attempt, so that what a record adds does not hang on those beside it. */
static GString *write_in_order(GArray *records, bool job_first, bool plain)
{
    GString *s = g_string_new(NULL);
    char *beginning = plain ? g_strdup("") : beginning_of(records);
    if (*beginning)
        g_string_append_printf(s, "^%s ", beginning);
    GHashTable *said = g_hash_table_new(g_str_hash, g_str_equal);
    const struct page_rec *last = NULL;
    for (guint i = 0; i < records->len; i++) {
        const struct page_rec *record = &g_array_index(records, struct page_rec, i);
        bool same_attempt = last && by_attempt(last, record) == 0;
        bool same_job = last && job_eq(last->job, record->job);
        bool same_host = last && host_eq(last->host, record->host) && (same_attempt || !job_first);
        same_attempt = same_attempt && (same_host || job_first);
        same_job = same_job && (same_host || job_first);
        GString *host = g_string_new(NULL);
        if (!same_host) {
            bool whole = !g_str_has_prefix(record->host.s, beginning);
            g_string_append_printf(host, "%c%s ", whole ? '&' : '@',
                                   record->host.s + (whole ? 0 : strlen(beginning)));
            if (record->about && g_hash_table_add(said, (gpointer)record->host.s))
                g_string_append_printf(host, "=%s ", record->about);
        }
        if (!job_first)
            g_string_append(s, host->str);
        if (!same_job)
            g_string_append_printf(s, "#%s ", record->job.s);
        if (!same_attempt)
            g_string_append_printf(s, "*%" G_GUINT64_FORMAT " ", record->attempt.v);
        if (job_first)
            g_string_append(s, host->str);
        g_string_append_printf(s, "%u ", record->index);
        g_string_free(host, TRUE);
        last = record;
    }
    g_hash_table_unref(said);
    g_free(beginning);
    return s;
}

/* Tasks that were started together are mostly of one job and on many machines, but a machine with
 * many jobs is said in less the other way round. */
GString *page_write(GArray *records, bool plain)
{
    g_array_sort(records, by_host_first);
    GString *by_host = write_in_order(records, false, plain);
    g_array_sort(records, by_job_first);
    GString *by_job = write_in_order(records, true, plain);
    GString *longer = by_job->len <= by_host->len ? by_host : by_job;
    g_string_free(longer, TRUE);
    return longer == by_host ? by_job : by_host;
}

gsize page_length(GArray *records, bool plain, gsize *least)
{
    g_array_sort(records, by_host_first);
    GString *by_host = write_in_order(records, false, plain);
    g_array_sort(records, by_job_first);
    GString *by_job = write_in_order(records, true, plain);
    gsize length = by_job->len;
    *least = MIN(length, by_host->len);
    g_string_free(by_host, TRUE);
    g_string_free(by_job, TRUE);
    return length;
}

static gsize digits(uint64_t v)
{
    gsize n = 1;
    while (v >= 10) {
        v /= 10;
        n++;
    }
    return n;
}

gsize page_cost(const struct page_rec *record, bool with_job, bool with_attempt)
{
    return strlen(record->host.s) + 2 + (record->about ? strlen(record->about) + 2 : 0) +
           digits(record->index) + 1 + (with_job ? 0 : strlen(record->job.s) + 2) +
           (with_job && with_attempt ? 0 : digits(record->attempt.v) + 2);
}

/* The next word of a page's text, which ends at a blank; NULL when there is none. */
static const char *next_word(const char **at, size_t *len)
{
    const char *word = *at + strspn(*at, " ");
    *len = strcspn(word, " ");
    *at = word + *len;
    return *len ? word : NULL;
}

/* The name that a word holds behind its mark. */
static const char *word_name(const char *beginning, const char *word, size_t len, char *name)
{
    g_strlcpy(name, beginning, NAME_SIZE);
    strncat(name, word + 1, MIN(len - 1, NAME_SIZE - 1 - strlen(name)));
    return name;
}

void page_read(const char *text, page_take take, void *ctx)
{
    struct page_rec record = {0};
    bool host = false, job = false;
    size_t n;
    char name[NAME_SIZE], beginning[NAME_SIZE] = "", *about = NULL;
    for (const char *at = text, *word; (word = next_word(&at, &n));) {
        if (*word == '^') {
            word_name("", word, n, beginning);
        } else if (*word == '@' || *word == '&') {
            host =
                host_id_from(&record.host, word_name(*word == '@' ? beginning : "", word, n, name));
            g_clear_pointer(&about, g_free);
        } else if (*word == '=') {
            g_free(about);
            about = g_strndup(word + 1, n - 1);
        } else if (*word == '#') {
            job = job_id_from(&record.job, word_name("", word, n, name));
        } else if (*word == '*') {
            record.attempt.v = g_ascii_strtoull(word + 1, NULL, 10);
        } else if (host && job) {
            record.index = (uint32_t)strtoul(word, NULL, 10);
            record.about = about;
            take(ctx, &record);
        }
    }
    g_free(about);
}

/* ---- what machines are ---- */

void page_write_about(GString *text, host_id host, const char *about)
{
    g_string_append_printf(text, "@%s =%s ", host.s, about);
}

void page_read_about(const char *text, page_about take, void *ctx)
{
    host_id host;
    bool named = false;
    size_t n;
    char name[NAME_SIZE];
    for (const char *at = text, *word; (word = next_word(&at, &n));) {
        if (*word == '@') {
            named = host_id_from(&host, word_name("", word, n, name));
        } else if (*word == '=' && named) {
            char *about = g_strndup(word + 1, n - 1);
            take(ctx, host, about);
            g_free(about);
        }
    }
}

/* ---- what is done ---- */

void bits_grow(GByteArray *bits, guint len)
{
    guint old = bits->len;
    if (old >= len)
        return;
    g_byte_array_set_size(bits, len);
    memset(bits->data + old, 0, len - old);
}

void bits_merge(GByteArray *to, const GByteArray *from)
{
    bits_grow(to, from->len);
    for (guint i = 0; i < from->len; i++)
        to->data[i] |= from->data[i];
}

gsize page_done_cost(job_id job, uint32_t unit, guint bytes, bool plain)
{
    guint before = plain ? unit % CHUNK_UNITS * MARK_BYTES : 0;
    return strlen(job.s) + NUMBER_BYTES + 2 * (gsize)(before + bytes);
}

void page_write_done(GString *text, job_id job, uint32_t unit, const GByteArray *bits, bool plain)
{
    static const char digits[] = "0123456789abcdef";
    guint n = bits->len, offset = unit % CHUNK_UNITS * MARK_BYTES;
    while (n && !bits->data[n - 1])
        n--;
    g_string_append_printf(text, "#%s %u", job.s, unit / CHUNK_UNITS);
    if (offset && !plain)
        g_string_append_printf(text, "+%u", offset);
    g_string_append_c(text, ':');
    for (guint i = 0; plain && i < offset; i++)
        g_string_append(text, "00");
    for (guint i = 0; i < n; i++) {
        g_string_append_c(text, digits[bits->data[i] >> 4]);
        g_string_append_c(text, digits[bits->data[i] & 15]);
    }
    g_string_append_c(text, ' ');
}

/* A word may hold the bits of several units. */
static void read_bits(job_id job, uint32_t unit, const char *hex, size_t len, page_unit take,
                      void *ctx)
{
    for (size_t at = 0; at < len; unit++) {
        GByteArray *bytes = g_byte_array_new();
        bool any = false;
        for (guint i = 0; i < MARK_BYTES && at + 1 < len; i++, at += 2) {
            int high = g_ascii_xdigit_value(hex[at]), low = g_ascii_xdigit_value(hex[at + 1]);
            guint8 b = high < 0 || low < 0 ? 0 : (guint8)(high << 4 | low);
            any = any || b;
            g_byte_array_append(bytes, &b, 1);
        }
        if (any)
            take(ctx, job, unit, bytes);
        g_byte_array_unref(bytes);
        if (at + 1 >= len)
            return;
    }
}

void page_read_done(const char *text, page_unit take, void *ctx)
{
    job_id job;
    bool named = false;
    size_t n;
    char name[NAME_SIZE];
    for (const char *at = text, *word; (word = next_word(&at, &n));) {
        if (*word == '#') {
            named = job_id_from(&job, word_name("", word, n, name));
        } else if (named && g_ascii_isdigit(*word)) {
            char *rest;
            unsigned long chunk = strtoul(word, &rest, 10), offset = 0;
            if (*rest == '+')
                offset = strtoul(rest + 1, &rest, 10);
            if (*rest != ':' || chunk >= MOST_CHUNKS || offset >= CHUNK_BYTES ||
                offset % MARK_BYTES)
                continue;
            rest++;
            read_bits(job, (uint32_t)(chunk * CHUNK_UNITS + offset / MARK_BYTES), rest,
                      (size_t)(at - rest), take, ctx);
        }
    }
}
