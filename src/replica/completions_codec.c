/** Codec of completions: see completions_codec.h. */
#include "completions_codec.h"

#include "page_words.h"

#include <stdlib.h>

enum {
    /** The bitmap size of a chunk, which has 8,192 tasks. */
    CHUNK_BYTES = 1024,
    UNITS_PER_CHUNK = CHUNK_BYTES / COMPLETION_UNIT_BYTES,
    /** The chunks of the largest job, which has 100,000 tasks. */
    MAX_CHUNKS = 100000 / (8 * CHUNK_BYTES) + 1,
    /** An upper limit of the numbers and separators in the encoding of a unit. */
    MAX_UNIT_OVERHEAD_BYTES = 22,
};

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
    guint leading_bytes = is_legacy ? unit % UNITS_PER_CHUNK * COMPLETION_UNIT_BYTES : 0;
    return strlen(job.text) + MAX_UNIT_OVERHEAD_BYTES + 2 * (gsize)(leading_bytes + bitmap_bytes);
}

void completions_encode(GString *text, job_id job, uint32_t unit, const GByteArray *bits,
                        bool is_legacy)
{
    static const char digits[] = "0123456789abcdef";
    guint used_bytes = bits->len, offset = unit % UNITS_PER_CHUNK * COMPLETION_UNIT_BYTES;
    while (used_bytes && !bits->data[used_bytes - 1])
        used_bytes--;
    g_string_append_printf(text, "#%s %u", job.text, unit / UNITS_PER_CHUNK);
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

/** Decodes a byte from two hexadecimal digits. Returns 0 if either character is not a digit. */
static guint8 decode_byte(const char *hex_digits)
{
    int high = g_ascii_xdigit_value(hex_digits[0]), low = g_ascii_xdigit_value(hex_digits[1]);
    return high < 0 || low < 0 ? 0 : (guint8)(high << 4 | low);
}

/** Calls back for each unit in a word, which may contain several. */
static void decode_units(job_id job, uint32_t unit, const char *hex_digits, size_t length,
                         completions_callback callback, void *context)
{
    for (size_t position = 0; position < length; unit++) {
        GByteArray *bytes = g_byte_array_new();
        bool has_bits = false;
        for (guint i = 0; i < COMPLETION_UNIT_BYTES && position + 1 < length; i++, position += 2) {
            guint8 byte = decode_byte(hex_digits + position);
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

/**
 * Decodes "CHUNK:" or "CHUNK+BYTES:" to the first unit and the position of the digits. Returns
 * false if the word is malformed.
 */
static bool decode_chunk_position(const char *word, uint32_t *unit, const char **hex_digits)
{
    char *rest;
    unsigned long chunk = strtoul(word, &rest, 10), offset = 0;
    if (*rest == '+')
        offset = strtoul(rest + 1, &rest, 10);
    if (*rest != ':' || chunk >= MAX_CHUNKS || offset >= CHUNK_BYTES ||
        offset % COMPLETION_UNIT_BYTES)
        return false;
    *unit = (uint32_t)(chunk * UNITS_PER_CHUNK + offset / COMPLETION_UNIT_BYTES);
    *hex_digits = rest + 1;
    return true;
}

void completions_decode(const char *text, completions_callback callback, void *context)
{
    job_id job;
    bool has_job = false;
    size_t length;
    char name[NAME_BUFFER_BYTES];
    for (const char *position = text, *word; (word = page_next_word(&position, &length));) {
        uint32_t unit;
        const char *hex_digits;
        if (*word == '#')
            has_job = job_id_parse(&job, page_copy_name("", word, length, name));
        else if (has_job && g_ascii_isdigit(*word) &&
                 decode_chunk_position(word, &unit, &hex_digits))
            decode_units(job, unit, hex_digits, (size_t)(position - hex_digits), callback, context);
    }
}
