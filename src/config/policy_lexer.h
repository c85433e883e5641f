/** Lexer of policy files.
 *
 * The parser asks for the token that it expects next, so there is no list of tokens. A function
 * that consumes a token skips whitespace and comments before it, and consumes nothing if the next
 * token is a different one. Line ends are significant and are not skipped. The lexer also keeps the
 * first error, with its line and column. */
#ifndef LL_POLICY_LEXER_H
#define LL_POLICY_LEXER_H

#include "policy.h"

#include <stddef.h>

/** The position of the lexer in a policy file, and the first error. */
struct policy_lexer {
    /** The next character to read, in a NUL-terminated string that the lexer does not own. */
    const char *position;
    /** The first character of the current line. */
    const char *line_start;
    /** The number of the current line, counted from 1. */
    int line;
    /** The first error, or NULL. The caller takes ownership of it when parsing has ended. */
    GError *error;
};

/** Initializes the lexer at the start of `text`, which must outlive it. */
void policy_lexer_init(struct policy_lexer *lexer, const char *text);

/** Records an error at `where`, a position on the current line. Errors after the first one are
 * ignored, because they may be consequences of it. */
void policy_lexer_fail(struct policy_lexer *lexer, const char *where, enum policy_error code,
                       const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Skips whitespace and a comment. Returns the start of the next token. */
const char *policy_lexer_next_token(struct policy_lexer *lexer);

/** Returns whether no token is left on the current line. */
bool policy_lexer_is_at_line_end(struct policy_lexer *lexer);

/** Returns whether no token is left in the file. */
bool policy_lexer_is_at_end(struct policy_lexer *lexer);

/** Advances to the next line if no token is left on the current one. Returns false if a token is
 * left, or at the end of the file. */
bool policy_lexer_accept_line_end(struct policy_lexer *lexer);

/** Consumes a symbol, such as "<=", if it is next. Returns whether it was. */
bool policy_lexer_accept_symbol(struct policy_lexer *lexer, const char *symbol);

/** Consumes a whole word, such as "then", if it is next. Returns whether it was. */
bool policy_lexer_accept_word(struct policy_lexer *lexer, const char *word);

/** Returns the length of the name that is the next token, or 0 if the next token is not a name.
 * Consumes nothing but whitespace and comments. */
size_t policy_lexer_peek_name(struct policy_lexer *lexer);

/** Returns whether the next token is a number, judged by its first character. */
bool policy_lexer_is_at_number(struct policy_lexer *lexer);

/** Returns whether the next token is a string in quotation marks, judged by its first character. */
bool policy_lexer_is_at_string(struct policy_lexer *lexer);

/** Reads a finite number. Records an error and returns false if the token is malformed. */
bool policy_lexer_read_number(struct policy_lexer *lexer, double *number);

/** Reads a string in quotation marks, which has no escape sequences and ends on the same line.
 * Returns its contents, which the caller frees with g_free. Records an error and returns NULL if
 * the closing quotation mark is missing. */
char *policy_lexer_read_string(struct policy_lexer *lexer);

#endif
