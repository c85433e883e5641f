/** Reads tokens of a policy file and records errors with their line and column. */
#include "policy_lexer.h"

#include <math.h>
#include <string.h>

void policy_lexer_init(struct policy_lexer *lexer, const char *text)
{
    *lexer = (struct policy_lexer){.position = text, .line_start = text, .line = 1};
}

void policy_lexer_fail(struct policy_lexer *lexer, const char *where, enum policy_error code,
                       const char *format, ...)
{
    if (lexer->error)
        return;
    va_list arguments;
    va_start(arguments, format);
    char *message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    int column = (int)(where - lexer->line_start) + 1;
    g_set_error(&lexer->error, POLICY_ERROR, code, "line %d, column %d: %s", lexer->line, column,
                message);
    g_free(message);
}

static bool is_whitespace(char c)
{
    return c == ' ' || c == '\t' || c == '\r';
}

const char *policy_lexer_next_token(struct policy_lexer *lexer)
{
    while (is_whitespace(*lexer->position))
        lexer->position++;
    if (*lexer->position == '#')
        lexer->position += strcspn(lexer->position, "\n");
    return lexer->position;
}

bool policy_lexer_is_at_end(struct policy_lexer *lexer)
{
    return *policy_lexer_next_token(lexer) == '\0';
}

bool policy_lexer_is_at_line_end(struct policy_lexer *lexer)
{
    return policy_lexer_is_at_end(lexer) || *lexer->position == '\n';
}

bool policy_lexer_accept_line_end(struct policy_lexer *lexer)
{
    if (*policy_lexer_next_token(lexer) != '\n')
        return false;
    lexer->position++;
    lexer->line_start = lexer->position;
    lexer->line++;
    return true;
}

bool policy_lexer_accept_symbol(struct policy_lexer *lexer, const char *symbol)
{
    if (!g_str_has_prefix(policy_lexer_next_token(lexer), symbol))
        return false;
    lexer->position += strlen(symbol);
    return true;
}

static bool is_name_char(char c)
{
    return g_ascii_isalnum(c) || c == '_';
}

size_t policy_lexer_peek_name(struct policy_lexer *lexer)
{
    const char *name = policy_lexer_next_token(lexer);
    if (!g_ascii_isalpha(*name))
        return 0;
    size_t length = 1;
    while (is_name_char(name[length]))
        length++;
    return length;
}

bool policy_lexer_accept_word(struct policy_lexer *lexer, const char *word)
{
    size_t length = policy_lexer_peek_name(lexer);
    if (length != strlen(word) || strncmp(lexer->position, word, length) != 0)
        return false;
    lexer->position += length;
    return true;
}

bool policy_lexer_is_at_number(struct policy_lexer *lexer)
{
    const char *token = policy_lexer_next_token(lexer);
    return g_ascii_isdigit(*token) || *token == '.';
}

bool policy_lexer_is_at_string(struct policy_lexer *lexer)
{
    return *policy_lexer_next_token(lexer) == '"';
}

bool policy_lexer_read_number(struct policy_lexer *lexer, double *number)
{
    const char *start = policy_lexer_next_token(lexer);
    char *end = NULL;
    *number = g_ascii_strtod(start, &end);
    if (end == start || is_name_char(*end) || !isfinite(*number)) {
        policy_lexer_fail(lexer, start, POLICY_ERROR_SYNTAX, "expected a finite number");
        return false;
    }
    lexer->position = end;
    return true;
}

char *policy_lexer_read_string(struct policy_lexer *lexer)
{
    const char *opening_quote = policy_lexer_next_token(lexer);
    const char *start = opening_quote + 1;
    const char *end = start + strcspn(start, "\"\n");
    if (*end != '"') {
        policy_lexer_fail(lexer, opening_quote, POLICY_ERROR_SYNTAX,
                          "expected a closing quotation mark before the end of the line");
        return NULL;
    }
    lexer->position = end + 1;
    return g_strndup(start, end - start);
}
