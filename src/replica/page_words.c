/** Scanner for space-separated words: see page_words.h. */
#include "page_words.h"

const char *page_next_word(const char **position, size_t *length)
{
    const char *word = *position + strspn(*position, " ");
    *length = strcspn(word, " ");
    *position = word + *length;
    return *length ? word : NULL;
}

const char *page_copy_name(const char *prefix, const char *word, size_t length, char *name)
{
    g_strlcpy(name, prefix, NAME_BUFFER_BYTES);
    strncat(name, word + 1, MIN(length - 1, NAME_BUFFER_BYTES - 1 - strlen(name)));
    return name;
}
