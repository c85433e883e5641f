/** Scanner for strings of space-separated words, for the codecs in src/replica only. */
#ifndef LL_PAGE_WORDS_H
#define LL_PAGE_WORDS_H

#include "types.h"

/** Longer than any job id or machine id. */
enum { NAME_BUFFER_BYTES = 64 };

/** Returns the next word and its length, and advances the position. NULL if no word is left. */
const char *page_next_word(const char **position, size_t *length);

/**
 * Writes the prefix and the word without its first character to a buffer of NAME_BUFFER_BYTES.
 * Truncates a name that is too long. Returns the buffer.
 */
const char *page_copy_name(const char *prefix, const char *word, size_t length, char *name);

#endif
