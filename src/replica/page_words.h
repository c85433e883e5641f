/** Scanner for texts that consist of words between blanks; for the codecs in src/replica only. */
#ifndef LL_PAGE_WORDS_H
#define LL_PAGE_WORDS_H

#include "types.h"

/** Longer than any job id or machine id. */
enum { NAME_BUFFER_BYTES = 64 };

/** The next word and its length; moves the position behind it. NULL: there is none. */
const char *page_next_word(const char **position, size_t *length);

/**
 * Copies the name that a word holds behind its first character, with a prefix before it, to a
 * buffer of NAME_BUFFER_BYTES. Returns the buffer; too long a name is cut.
 */
const char *page_copy_name(const char *prefix, const char *word, size_t length, char *name);

#endif
