/** A recursive descent parser of expressions, which checks types while it builds the syntax tree.
 *
 *     disjunction = conjunction { "or" conjunction }
 *     conjunction = comparison { "and" comparison }
 *     comparison  = sum [ ( "==" | "!=" | "<=" | ">=" | "<" | ">" ) sum ]
 *     sum         = product { ( "+" | "-" ) product }
 *     product     = unary { ( "*" | "/" ) unary }
 *     unary       = "-" unary | "not" unary | primary
 *     primary     = number | string | "true" | "false" | input | "(" disjunction ")"
 *                 | "if" disjunction "then" disjunction "else" disjunction
 *                 | ( "min" | "max" ) "(" disjunction "," disjunction ")"
 *
 * Each function that parses a part of an expression returns a tree that the caller owns, or records
 * an error in the lexer and returns NULL. */
#include "policy_expression_parser.h"

/** Limits the depth of recursion in the parser and the evaluator. */
enum { MAX_NESTING = 64 };

/** The state of the parser while it parses one expression. */
struct expression_parser {
    struct policy_lexer *lexer;
    /** The number of calls of parse_unary that have not returned. */
    int nesting;
    /** The setting whose expression is being parsed. */
    const struct policy_setting_definition *setting;
};

/** Parses a part of an expression. */
typedef struct policy_expression *(*parse_function)(struct expression_parser *parser);

/** Consumes a symbol or a word if it is the next token, and returns whether it was. */
typedef bool (*accept_function)(struct policy_lexer *lexer, const char *token);

/** The symbol or word of a binary operator, and the operation that it stands for. */
struct operator_token {
    const char *token;
    enum policy_operation operation;
};

/** Left-associative binary operators of the same precedence. Their operands and their result all
 * have the type `operand_type`. */
struct precedence_level {
    parse_function parse_operand;
    accept_function accept_operator;
    const struct operator_token *operators;
    size_t operator_count;
    enum policy_type operand_type;
};

static struct policy_expression *parse_disjunction(struct expression_parser *parser);

/** Returns the expression if it has the given type. Otherwise frees it, records an error at `where`
 * and returns NULL. Also returns NULL if `expression` is NULL. */
static struct policy_expression *require_type(struct expression_parser *parser, const char *where,
                                              struct policy_expression *expression,
                                              enum policy_type type)
{
    if (!expression || expression->type == type)
        return expression;
    policy_lexer_fail(parser->lexer, where, POLICY_ERROR_TYPE, "expected %s, found %s",
                      policy_type_name(type), policy_type_name(expression->type));
    policy_expression_free(expression);
    return NULL;
}

static bool expect_symbol(struct expression_parser *parser, const char *symbol,
                          const char *symbol_name)
{
    if (policy_lexer_accept_symbol(parser->lexer, symbol))
        return true;
    policy_lexer_fail(parser->lexer, parser->lexer->position, POLICY_ERROR_SYNTAX, "expected %s",
                      symbol_name);
    return false;
}

static bool expect_word(struct expression_parser *parser, const char *word)
{
    if (policy_lexer_accept_word(parser->lexer, word))
        return true;
    policy_lexer_fail(parser->lexer, parser->lexer->position, POLICY_ERROR_SYNTAX, "expected '%s'",
                      word);
    return false;
}

/* ---- primary expressions ---- */

static struct policy_expression *parse_number_literal(struct expression_parser *parser)
{
    double number;
    if (!policy_lexer_read_number(parser->lexer, &number))
        return NULL;
    return policy_expression_new_number(number);
}

static struct policy_expression *parse_string_literal(struct expression_parser *parser)
{
    char *string = policy_lexer_read_string(parser->lexer);
    return string ? policy_expression_new_string(string) : NULL;
}

/** Parses the part of "(" disjunction ")" that follows the opening parenthesis. */
static struct policy_expression *parse_parentheses(struct expression_parser *parser)
{
    struct policy_expression *expression = parse_disjunction(parser);
    if (expression && !expect_symbol(parser, ")", "')'")) {
        policy_expression_free(expression);
        return NULL;
    }
    return expression;
}

/** Parses an argument of min or max. A type error is reported at the end of the preceding token. */
static struct policy_expression *parse_number_argument(struct expression_parser *parser)
{
    const char *where = parser->lexer->position;
    return require_type(parser, where, parse_disjunction(parser), POLICY_TYPE_NUMBER);
}

/** Parses the part of min(left, right) or max(left, right) that follows "min" or "max". */
static struct policy_expression *parse_min_max(struct expression_parser *parser,
                                               enum policy_operation operation)
{
    if (!expect_symbol(parser, "(", "'('"))
        return NULL;
    struct policy_expression *left = parse_number_argument(parser), *right = NULL;
    if (left && expect_symbol(parser, ",", "','"))
        right = parse_number_argument(parser);
    if (!right || !expect_symbol(parser, ")", "')'")) {
        policy_expression_free(left);
        policy_expression_free(right);
        return NULL;
    }
    return policy_expression_new_binary(operation, POLICY_TYPE_NUMBER, left, right);
}

/** Parses the part of a conditional that follows "if". A condition of the wrong type is reported at
 * the end of "if". */
static struct policy_expression *parse_conditional(struct expression_parser *parser)
{
    const char *where = parser->lexer->position;
    struct policy_expression *condition =
        require_type(parser, where, parse_disjunction(parser), POLICY_TYPE_BOOLEAN);
    struct policy_expression *if_true = NULL, *if_false = NULL;
    if (condition && expect_word(parser, "then"))
        if_true = parse_disjunction(parser);
    if (if_true && expect_word(parser, "else")) {
        where = policy_lexer_next_token(parser->lexer);
        if_false = require_type(parser, where, parse_disjunction(parser), if_true->type);
    }
    if (!if_false) {
        policy_expression_free(condition);
        policy_expression_free(if_true);
        return NULL;
    }
    return policy_expression_new_conditional(condition, if_true, if_false);
}

static struct policy_expression *parse_input(struct expression_parser *parser, size_t name_length)
{
    struct policy_lexer *lexer = parser->lexer;
    const char *name = lexer->position;
    enum policy_input input;
    if (!policy_schema_find_input(name, name_length, &input)) {
        policy_lexer_fail(lexer, name, POLICY_ERROR_UNKNOWN_NAME,
                          "expected a value, found the unknown name '%.*s'", (int)name_length,
                          name);
        return NULL;
    }
    if (!policy_setting_allows_input(parser->setting, input)) {
        policy_lexer_fail(lexer, name, POLICY_ERROR_UNKNOWN_NAME,
                          "the input '%s' is not available in this setting",
                          policy_schema_get_input(input)->name);
        return NULL;
    }
    lexer->position += name_length;
    return policy_expression_new_input(input);
}

static struct policy_expression *parse_primary(struct expression_parser *parser)
{
    struct policy_lexer *lexer = parser->lexer;
    if (policy_lexer_is_at_number(lexer))
        return parse_number_literal(parser);
    if (policy_lexer_is_at_string(lexer))
        return parse_string_literal(parser);
    if (policy_lexer_accept_symbol(lexer, "("))
        return parse_parentheses(parser);
    if (policy_lexer_accept_word(lexer, "true"))
        return policy_expression_new_boolean(true);
    if (policy_lexer_accept_word(lexer, "false"))
        return policy_expression_new_boolean(false);
    if (policy_lexer_accept_word(lexer, "if"))
        return parse_conditional(parser);
    if (policy_lexer_accept_word(lexer, "min"))
        return parse_min_max(parser, POLICY_OP_MIN);
    if (policy_lexer_accept_word(lexer, "max"))
        return parse_min_max(parser, POLICY_OP_MAX);
    size_t name_length = policy_lexer_peek_name(lexer);
    if (name_length > 0)
        return parse_input(parser, name_length);
    policy_lexer_fail(lexer, lexer->position, POLICY_ERROR_SYNTAX, "expected a value");
    return NULL;
}

/* ---- operators, from the highest precedence to the lowest ---- */

static struct policy_expression *parse_unary(struct expression_parser *parser);

/** Parses the operand of "-" or "not". A type error is reported at `where`, the start of the
 * operator. */
static struct policy_expression *parse_unary_operand(struct expression_parser *parser,
                                                     const char *where,
                                                     enum policy_operation operation,
                                                     enum policy_type type)
{
    struct policy_expression *operand = require_type(parser, where, parse_unary(parser), type);
    return operand ? policy_expression_new_unary(operation, type, operand) : NULL;
}

static struct policy_expression *parse_unary(struct expression_parser *parser)
{
    struct policy_lexer *lexer = parser->lexer;
    const char *where = policy_lexer_next_token(lexer);
    if (parser->nesting == MAX_NESTING) {
        policy_lexer_fail(lexer, where, POLICY_ERROR_NESTING,
                          "the expression is nested too deeply");
        return NULL;
    }
    parser->nesting++;
    struct policy_expression *expression;
    if (policy_lexer_accept_symbol(lexer, "-"))
        expression = parse_unary_operand(parser, where, POLICY_OP_NEGATE, POLICY_TYPE_NUMBER);
    else if (policy_lexer_accept_word(lexer, "not"))
        expression = parse_unary_operand(parser, where, POLICY_OP_NOT, POLICY_TYPE_BOOLEAN);
    else
        expression = parse_primary(parser);
    parser->nesting--;
    return expression;
}

/** Consumes the next token if it is one of the operators and returns that operator. Otherwise
 * returns NULL. */
static const struct operator_token *accept_operator(struct policy_lexer *lexer,
                                                    accept_function accept,
                                                    const struct operator_token *operators,
                                                    size_t operator_count)
{
    for (size_t i = 0; i < operator_count; i++)
        if (accept(lexer, operators[i].token))
            return &operators[i];
    return NULL;
}

/** Parses the right operand of a binary operator, which must have the type of the left one, and
 * returns the operation on both. Takes ownership of the left operand. */
static struct policy_expression *parse_right_operand(struct expression_parser *parser,
                                                     parse_function parse_operand,
                                                     enum policy_operation operation,
                                                     enum policy_type result_type,
                                                     struct policy_expression *left)
{
    const char *where = policy_lexer_next_token(parser->lexer);
    struct policy_expression *right =
        require_type(parser, where, parse_operand(parser), left->type);
    if (!right) {
        policy_expression_free(left);
        return NULL;
    }
    return policy_expression_new_binary(operation, result_type, left, right);
}

/** Parses operands that are joined by operators of one precedence level. */
static struct policy_expression *parse_precedence_level(struct expression_parser *parser,
                                                        const struct precedence_level *level)
{
    struct policy_lexer *lexer = parser->lexer;
    const char *where = policy_lexer_next_token(lexer);
    struct policy_expression *left = level->parse_operand(parser);
    while (left) {
        const struct operator_token *operator_token =
            accept_operator(lexer, level->accept_operator, level->operators, level->operator_count);
        if (!operator_token)
            return left;
        left = require_type(parser, where, left, level->operand_type);
        if (left)
            left = parse_right_operand(parser, level->parse_operand, operator_token->operation,
                                       level->operand_type, left);
    }
    return NULL;
}

static struct policy_expression *parse_product(struct expression_parser *parser)
{
    static const struct operator_token operators[] = {
        {"*", POLICY_OP_MULTIPLY},
        {"/", POLICY_OP_DIVIDE},
    };
    static const struct precedence_level level = {
        parse_unary,        policy_lexer_accept_symbol, operators, G_N_ELEMENTS(operators),
        POLICY_TYPE_NUMBER,
    };
    return parse_precedence_level(parser, &level);
}

static struct policy_expression *parse_sum(struct expression_parser *parser)
{
    static const struct operator_token operators[] = {
        {"+", POLICY_OP_ADD},
        {"-", POLICY_OP_SUBTRACT},
    };
    static const struct precedence_level level = {
        parse_product,           policy_lexer_accept_symbol, operators,
        G_N_ELEMENTS(operators), POLICY_TYPE_NUMBER,
    };
    return parse_precedence_level(parser, &level);
}

/** Parses an expression with at most one comparison. Values of any type can be compared for
 * equality; only numbers can be ordered. */
static struct policy_expression *parse_comparison(struct expression_parser *parser)
{
    /* "<=" and ">=" precede "<" and ">", which are prefixes of them. */
    static const struct operator_token operators[] = {
        {"==", POLICY_OP_EQUAL},         {"!=", POLICY_OP_UNEQUAL}, {"<=", POLICY_OP_LESS_EQUAL},
        {">=", POLICY_OP_GREATER_EQUAL}, {"<", POLICY_OP_LESS},     {">", POLICY_OP_GREATER},
    };
    struct policy_lexer *lexer = parser->lexer;
    const char *where = policy_lexer_next_token(lexer);
    struct policy_expression *left = parse_sum(parser);
    if (!left)
        return NULL;
    const struct operator_token *operator_token =
        accept_operator(lexer, policy_lexer_accept_symbol, operators, G_N_ELEMENTS(operators));
    if (!operator_token)
        return left;
    enum policy_operation operation = operator_token->operation;
    if (operation != POLICY_OP_EQUAL && operation != POLICY_OP_UNEQUAL)
        left = require_type(parser, where, left, POLICY_TYPE_NUMBER);
    if (!left)
        return NULL;
    return parse_right_operand(parser, parse_sum, operation, POLICY_TYPE_BOOLEAN, left);
}

static struct policy_expression *parse_conjunction(struct expression_parser *parser)
{
    static const struct operator_token operators[] = {{"and", POLICY_OP_AND}};
    static const struct precedence_level level = {
        parse_comparison,        policy_lexer_accept_word, operators,
        G_N_ELEMENTS(operators), POLICY_TYPE_BOOLEAN,
    };
    return parse_precedence_level(parser, &level);
}

static struct policy_expression *parse_disjunction(struct expression_parser *parser)
{
    static const struct operator_token operators[] = {{"or", POLICY_OP_OR}};
    static const struct precedence_level level = {
        parse_conjunction,       policy_lexer_accept_word, operators,
        G_N_ELEMENTS(operators), POLICY_TYPE_BOOLEAN,
    };
    return parse_precedence_level(parser, &level);
}

struct policy_expression *policy_expression_parse(struct policy_lexer *lexer,
                                                  const struct policy_setting_definition *setting)
{
    struct expression_parser parser = {.lexer = lexer, .setting = setting};
    const char *where = policy_lexer_next_token(lexer);
    return require_type(&parser, where, parse_disjunction(&parser), setting->type);
}
