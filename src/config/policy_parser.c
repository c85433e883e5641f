/** Parses the lines of a policy file.
 *
 *     file = { [ setting "=" expression ] end of line } */
#include "policy_parser.h"

#include "policy_expression_parser.h"

/** Parses the name of a setting, which must not have an expression yet. Returns false after an
 * error. */
static bool parse_setting_name(struct policy_lexer *lexer, struct policy_expression **settings,
                               enum policy_setting *setting)
{
    size_t name_length = policy_lexer_peek_name(lexer);
    const char *name = lexer->position;
    if (name_length == 0)
        policy_lexer_fail(lexer, name, POLICY_ERROR_SYNTAX, "expected the name of a setting");
    else if (!policy_schema_find_setting(name, name_length, setting))
        policy_lexer_fail(lexer, name, POLICY_ERROR_UNKNOWN_NAME,
                          "expected the name of a setting, found the unknown name '%.*s'",
                          (int)name_length, name);
    else if (settings[*setting])
        policy_lexer_fail(lexer, name, POLICY_ERROR_DUPLICATE_SETTING,
                          "expected each setting at most once, found '%s' again",
                          policy_schema_get_setting(*setting)->name);
    lexer->position += name_length;
    return !lexer->error;
}

/** Parses a line of the form setting "=" expression, without its line end. */
static void parse_line(struct policy_lexer *lexer, struct policy_expression **settings)
{
    enum policy_setting setting = POLICY_SETTING_COUNT;
    if (!parse_setting_name(lexer, settings, &setting))
        return;
    /* For "==" the error is reported at the second "=". */
    if (!policy_lexer_accept_symbol(lexer, "=") || *lexer->position == '=') {
        policy_lexer_fail(lexer, lexer->position, POLICY_ERROR_SYNTAX, "expected '='");
        return;
    }
    settings[setting] = policy_expression_parse(lexer, policy_schema_get_setting(setting));
    if (!policy_lexer_is_at_line_end(lexer))
        policy_lexer_fail(lexer, lexer->position, POLICY_ERROR_SYNTAX,
                          "expected the end of the line");
}

bool policy_parser_read(const char *text, struct policy_expression **settings, GError **error)
{
    struct policy_lexer lexer;
    policy_lexer_init(&lexer, text);
    while (!lexer.error && !policy_lexer_is_at_end(&lexer))
        if (!policy_lexer_accept_line_end(&lexer))
            parse_line(&lexer, settings);
    if (!lexer.error)
        return true;
    g_propagate_error(error, lexer.error);
    return false;
}
