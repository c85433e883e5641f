/** Reads the tokens of a policy file.
 *
 * The parser asks for the token that it expects next, so there is no separate token list: each
 * function skips blanks and comments and then consumes one token, or nothing if it is a different
 * one. Line ends are significant and are not skipped. The lexer also keeps the first error, with
 * its line and column. */
#ifndef LL_POLICY_LEXER_H
#define LL_POLICY_LEXER_H

#include "policy.h"

#include <stddef.h>

struct policy_lexer {
    /** What is read next; the text is borrowed and ends with a NUL. */
    const char *position;
    const char *line_start;
    /** The current line, from 1. */
    int line;
    /** The first error, or NULL. Owned by the lexer until the caller takes it. */
    GError *error;
};

void policy_lexer_init(struct policy_lexer *lexer, const char *text);

/** Records an error at the place `where` on the current line. Later errors are ignored, as they
 * follow from the first. */
void policy_lexer_fail(struct policy_lexer *lexer, const char *where, enum policy_error code,
                       const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Skips blanks and a comment. Returns where the next token begins. */
const char *policy_lexer_next_token(struct policy_lexer *lexer);

/** Whether nothing is left on this line, or in the whole text. */
bool policy_lexer_is_at_line_end(struct policy_lexer *lexer);
bool policy_lexer_is_at_end(struct policy_lexer *lexer);

/** Goes to the next line if nothing is left on this one. Returns false otherwise, and at the end
 * of the text. */
bool policy_lexer_accept_line_end(struct policy_lexer *lexer);

/** Consume the symbol, such as "<=", or the whole word, such as "then", if it is next. */
bool policy_lexer_accept_symbol(struct policy_lexer *lexer, const char *symbol);
bool policy_lexer_accept_word(struct policy_lexer *lexer, const char *word);

/** The length of the name that begins at the next token; 0 if no name does. Consumes nothing. */
size_t policy_lexer_peek_name(struct policy_lexer *lexer);

/** Whether the next token begins a number, or a text in quotation marks. */
bool policy_lexer_is_at_number(struct policy_lexer *lexer);
bool policy_lexer_is_at_string(struct policy_lexer *lexer);

/** Reads a finite number. Returns false with an error if it is malformed. */
bool policy_lexer_read_number(struct policy_lexer *lexer, double *number);

/** Reads a text, which has no escapes and ends on the same line. Returns what stands between the
 * quotation marks, to be freed with g_free, or NULL with an error. */
char *policy_lexer_read_string(struct policy_lexer *lexer);

#endif
