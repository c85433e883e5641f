#include "policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_DEPTH = 64, MAX_POLICY_BYTES = 65536 };

enum value_type { TYPE_NUMBER, TYPE_TEXT, TYPE_FLAG };
static const char *const type_names[] = {"a number", "a text", "true or false"};

static const struct {
    const char *name;
    enum value_type type;
} input_table[POLICY_INPUTS] = {
    {"team", TYPE_TEXT},        {"class", TYPE_TEXT},       {"priority", TYPE_TEXT},
    {"type", TYPE_TEXT},        {"zone", TYPE_TEXT},        {"spot", TYPE_FLAG},
    {"cpus", TYPE_NUMBER},      {"used_cpus", TYPE_NUMBER}, {"peak_cpus", TYPE_NUMBER},
    {"backlog_s", TYPE_NUMBER}, {"patience_s", TYPE_NUMBER}};

#define BIT(input) (1u << (input))

static const unsigned job_inputs = BIT(INPUT_TEAM) | BIT(INPUT_CLASS) | BIT(INPUT_PRIORITY);
static const unsigned load_inputs = BIT(INPUT_USED_CPUS) | BIT(INPUT_PEAK_CPUS);

static const struct {
    const char *name, *usual;
    enum value_type type;
    unsigned inputs;
    double low, high;
} setting_table[POLICY_SETTINGS] = {
    {"spare_cpus", "0.12 * peak_cpus", TYPE_NUMBER, load_inputs, 0, 1e6},
    {"service_spare", "1.0", TYPE_NUMBER, load_inputs, 0, 100},
    {"idle_s", "if spot then 40 else 15", TYPE_NUMBER,
     load_inputs | BIT(INPUT_TYPE) | BIT(INPUT_ZONE) | BIT(INPUT_SPOT) | BIT(INPUT_CPUS), 1, 86400},
    {"rent_ordinary", "backlog_s > 1.5 * patience_s", TYPE_FLAG,
     job_inputs | load_inputs | BIT(INPUT_BACKLOG_S) | BIT(INPUT_PATIENCE_S), 0, 0},
    {"preempt", "priority == \"prod\" or priority == \"high\"", TYPE_FLAG, job_inputs | load_inputs,
     0, 0},
};

enum operation {
    OP_NUMBER,
    OP_TEXT,
    OP_FLAG,
    OP_INPUT,
    OP_NEGATE,
    OP_NOT,
    OP_ADD,
    OP_SUBTRACT,
    OP_MULTIPLY,
    OP_DIVIDE,
    OP_MIN,
    OP_MAX,
    OP_EQUAL,
    OP_UNEQUAL,
    OP_LESS,
    OP_LESS_EQUAL,
    OP_GREATER,
    OP_GREATER_EQUAL,
    OP_AND,
    OP_OR,
    OP_IF,
};

struct expression {
    enum operation op;
    enum value_type type;
    double number;
    char *text;
    bool flag;
    enum policy_input input;
    struct expression *left, *right, *condition;
};

struct policy {
    struct expression *settings[POLICY_SETTINGS];
};

struct policy_parser {
    const char *position, *line_start;
    int line, depth;
    unsigned allowed_inputs;
    char *error;
};

static void expression_free(struct expression *expr)
{
    if (!expr)
        return;
    expression_free(expr->left);
    expression_free(expr->right);
    expression_free(expr->condition);
    g_free(expr->text);
    g_free(expr);
}

/* ---- reading ---- */

static void *fail_at(struct policy_parser *parser, const char *where, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void *fail_at(struct policy_parser *parser, const char *where, const char *format, ...)
{
    if (parser->error)
        return NULL;
    va_list ap;
    va_start(ap, format);
    char *what = g_strdup_vprintf(format, ap);
    va_end(ap);
    parser->error = g_strdup_printf("line %d, column %d: %s", parser->line,
                                    (int)(where - parser->line_start) + 1, what);
    g_free(what);
    return NULL;
}

static void skip_blank(struct policy_parser *parser)
{
    while (*parser->position == ' ' || *parser->position == '\t' || *parser->position == '\r')
        parser->position++;
    if (*parser->position == '#')
        while (*parser->position && *parser->position != '\n')
            parser->position++;
}

static bool accept_token(struct policy_parser *parser, const char *sign)
{
    skip_blank(parser);
    size_t n = strlen(sign);
    if (strncmp(parser->position, sign, n) != 0)
        return false;
    parser->position += n;
    return true;
}

static bool is_name_char(char c)
{
    return g_ascii_isalnum(c) || c == '_';
}

static size_t name_length(struct policy_parser *parser)
{
    skip_blank(parser);
    size_t n = 0;
    if (g_ascii_isalpha(*parser->position))
        while (is_name_char(parser->position[n]))
            n++;
    return n;
}

static bool accept_word(struct policy_parser *parser, const char *word)
{
    if (name_length(parser) != strlen(word) || strncmp(parser->position, word, strlen(word)) != 0)
        return false;
    parser->position += strlen(word);
    return true;
}

static struct expression *parse_or(struct policy_parser *parser);

static struct expression *new_expression(enum operation op, enum value_type type,
                                         struct expression *a, struct expression *b,
                                         struct expression *c)
{
    struct expression *n = g_new0(struct expression, 1);
    *n = (struct expression){.op = op, .type = type, .left = a, .right = b, .condition = c};
    return n;
}

/* Passes n on if it has the type; frees it otherwise. */
static struct expression *require_type(struct policy_parser *parser, const char *where,
                                       struct expression *n, enum value_type type)
{
    if (n && n->type != type) {
        fail_at(parser, where, "expected %s, found %s", type_names[type], type_names[n->type]);
        expression_free(n);
        return NULL;
    }
    return n;
}

static struct expression *parse_string(struct policy_parser *parser)
{
    const char *start = ++parser->position;
    while (*parser->position && *parser->position != '"' && *parser->position != '\n')
        parser->position++;
    if (*parser->position != '"')
        return fail_at(parser, start - 1, "expected a closing quotation mark");
    struct expression *expr = new_expression(OP_TEXT, TYPE_TEXT, NULL, NULL, NULL);
    expr->text = g_strndup(start, parser->position - start);
    parser->position++;
    return expr;
}

static struct expression *parse_pair(struct policy_parser *parser, enum operation op)
{
    if (!accept_token(parser, "("))
        return fail_at(parser, parser->position, "expected (");
    const char *where = parser->position;
    struct expression *a = require_type(parser, where, parse_or(parser), TYPE_NUMBER);
    if (a && !accept_token(parser, ",")) {
        expression_free(a);
        return fail_at(parser, parser->position, "expected a comma");
    }
    where = parser->position;
    struct expression *b = a ? require_type(parser, where, parse_or(parser), TYPE_NUMBER) : NULL;
    if (b && !accept_token(parser, ")")) {
        fail_at(parser, parser->position, "expected )");
        expression_free(b);
        b = NULL;
    }
    if (!b) {
        expression_free(a);
        return NULL;
    }
    return new_expression(op, TYPE_NUMBER, a, b, NULL);
}

static struct expression *parse_input(struct policy_parser *parser, size_t n)
{
    for (int i = 0; i < POLICY_INPUTS; i++) {
        if (strlen(input_table[i].name) != n ||
            strncmp(input_table[i].name, parser->position, n) != 0)
            continue;
        if (!(parser->allowed_inputs & BIT(i)))
            return fail_at(parser, parser->position, "%s is not known in this setting",
                           input_table[i].name);
        struct expression *expr = new_expression(OP_INPUT, input_table[i].type, NULL, NULL, NULL);
        expr->input = (enum policy_input)i;
        parser->position += n;
        return expr;
    }
    return fail_at(parser, parser->position, "expected a value; %.*s is no input", (int)n,
                   parser->position);
}

static struct expression *parse_if(struct policy_parser *parser)
{
    const char *where = parser->position;
    struct expression *expr = require_type(parser, where, parse_or(parser), TYPE_FLAG), *a = NULL,
                      *b = NULL;
    if (expr && !accept_word(parser, "then"))
        fail_at(parser, parser->position, "expected then");
    if (!parser->error)
        a = parse_or(parser);
    if (a && !accept_word(parser, "else"))
        fail_at(parser, parser->position, "expected else");
    skip_blank(parser);
    where = parser->position;
    if (!parser->error)
        b = require_type(parser, where, parse_or(parser), a->type);
    if (!b) {
        expression_free(a);
        expression_free(expr);
        return NULL;
    }
    return new_expression(OP_IF, a->type, a, b, expr);
}

static struct expression *parse_value(struct policy_parser *parser)
{
    skip_blank(parser);
    const char *where = parser->position;
    if (g_ascii_isdigit(*parser->position) || *parser->position == '.') {
        char *end;
        struct expression *expr = new_expression(OP_NUMBER, TYPE_NUMBER, NULL, NULL, NULL);
        expr->number = g_ascii_strtod(parser->position, &end);
        if (end == parser->position || is_name_char(*end) || !isfinite(expr->number)) {
            expression_free(expr);
            return fail_at(parser, where, "expected a number");
        }
        parser->position = end;
        return expr;
    }
    if (*parser->position == '"')
        return parse_string(parser);
    if (accept_token(parser, "(")) {
        struct expression *expr = parse_or(parser);
        if (expr && !accept_token(parser, ")")) {
            expression_free(expr);
            return fail_at(parser, parser->position, "expected )");
        }
        return expr;
    }
    if (accept_word(parser, "true") || accept_word(parser, "false")) {
        struct expression *expr = new_expression(OP_FLAG, TYPE_FLAG, NULL, NULL, NULL);
        expr->flag = parser->position[-1] == 'e' && parser->position[-2] == 'u';
        return expr;
    }
    if (accept_word(parser, "if"))
        return parse_if(parser);
    if (accept_word(parser, "min"))
        return parse_pair(parser, OP_MIN);
    if (accept_word(parser, "max"))
        return parse_pair(parser, OP_MAX);
    size_t expr = name_length(parser);
    if (expr)
        return parse_input(parser, expr);
    return fail_at(parser, where, "expected a value");
}

static struct expression *parse_unary(struct policy_parser *parser)
{
    skip_blank(parser);
    const char *where = parser->position;
    if (++parser->depth > MAX_DEPTH)
        return fail_at(parser, where, "nested too deep");
    struct expression *expr;
    if (accept_token(parser, "-")) {
        expr = require_type(parser, where, parse_unary(parser), TYPE_NUMBER);
        expr = expr ? new_expression(OP_NEGATE, TYPE_NUMBER, expr, NULL, NULL) : NULL;
    } else if (accept_word(parser, "not")) {
        expr = require_type(parser, where, parse_unary(parser), TYPE_FLAG);
        expr = expr ? new_expression(OP_NOT, TYPE_FLAG, expr, NULL, NULL) : NULL;
    } else {
        expr = parse_value(parser);
    }
    parser->depth--;
    return expr;
}

struct binary_operator {
    const char *sign;
    enum operation op;
};

typedef struct expression *(*parse_function)(struct policy_parser *parser);

/* a sign b sign c ..., with operands of one type. */
static struct expression *parse_chain(struct policy_parser *parser, parse_function operand,
                                      const struct binary_operator *signs, int n_signs,
                                      enum value_type type)
{
    skip_blank(parser);
    const char *where = parser->position;
    struct expression *a = operand(parser);
    while (a) {
        int i = 0;
        bool word = type == TYPE_FLAG;
        while (i < n_signs &&
               !(word ? accept_word(parser, signs[i].sign) : accept_token(parser, signs[i].sign)))
            i++;
        if (i == n_signs)
            return a;
        a = require_type(parser, where, a, type);
        skip_blank(parser);
        where = parser->position;
        struct expression *b = a ? require_type(parser, where, operand(parser), type) : NULL;
        if (!b) {
            expression_free(a);
            return NULL;
        }
        a = new_expression(signs[i].op, type, a, b, NULL);
    }
    return NULL;
}

static struct expression *parse_product(struct policy_parser *parser)
{
    static const struct binary_operator signs[] = {{"*", OP_MULTIPLY}, {"/", OP_DIVIDE}};
    return parse_chain(parser, parse_unary, signs, 2, TYPE_NUMBER);
}

static struct expression *parse_sum(struct policy_parser *parser)
{
    static const struct binary_operator signs[] = {{"+", OP_ADD}, {"-", OP_SUBTRACT}};
    return parse_chain(parser, parse_product, signs, 2, TYPE_NUMBER);
}

static struct expression *parse_comparison(struct policy_parser *parser)
{
    static const struct binary_operator signs[] = {{"==", OP_EQUAL},      {"!=", OP_UNEQUAL},
                                                   {"<=", OP_LESS_EQUAL}, {">=", OP_GREATER_EQUAL},
                                                   {"<", OP_LESS},        {">", OP_GREATER}};
    skip_blank(parser);
    const char *where = parser->position;
    struct expression *a = parse_sum(parser);
    for (size_t i = 0; a && i < G_N_ELEMENTS(signs); i++) {
        if (!accept_token(parser, signs[i].sign))
            continue;
        if (signs[i].op != OP_EQUAL && signs[i].op != OP_UNEQUAL)
            a = require_type(parser, where, a, TYPE_NUMBER);
        skip_blank(parser);
        where = parser->position;
        struct expression *b = a ? require_type(parser, where, parse_sum(parser), a->type) : NULL;
        if (!b) {
            expression_free(a);
            return NULL;
        }
        return new_expression(signs[i].op, TYPE_FLAG, a, b, NULL);
    }
    return a;
}

static struct expression *parse_and(struct policy_parser *parser)
{
    static const struct binary_operator signs[] = {{"and", OP_AND}};
    return parse_chain(parser, parse_comparison, signs, 1, TYPE_FLAG);
}

static struct expression *parse_or(struct policy_parser *parser)
{
    static const struct binary_operator signs[] = {{"or", OP_OR}};
    return parse_chain(parser, parse_and, signs, 1, TYPE_FLAG);
}

static int find_setting(const char *name, size_t n)
{
    for (int i = 0; i < POLICY_SETTINGS; i++)
        if (strlen(setting_table[i].name) == n && strncmp(setting_table[i].name, name, n) == 0)
            return i;
    return -1;
}

static void parse_line(struct policy_parser *parser, struct policy *policy)
{
    size_t n = name_length(parser);
    const char *name = parser->position;
    if (n == 0) {
        fail_at(parser, parser->position, "expected the name of a setting");
        return;
    }
    int s = find_setting(name, n);
    if (s < 0) {
        fail_at(parser, name, "%.*s is no setting", (int)n, name);
        return;
    }
    if (policy->settings[s]) {
        fail_at(parser, name, "%s is set twice", setting_table[s].name);
        return;
    }
    parser->position += n;
    if (!accept_token(parser, "=") || *parser->position == '=') {
        fail_at(parser, parser->position, "expected =");
        return;
    }
    skip_blank(parser);
    const char *where = parser->position;
    parser->allowed_inputs = setting_table[s].inputs;
    policy->settings[s] = require_type(parser, where, parse_or(parser), setting_table[s].type);
    skip_blank(parser);
    if (!parser->error && *parser->position && *parser->position != '\n')
        fail_at(parser, parser->position, "expected the end of the line");
}

static struct policy *parse_text(const char *text, char **error)
{
    struct policy_parser parser = {.position = text, .line_start = text, .line = 1};
    struct policy *policy = g_new0(struct policy, 1);
    while (!parser.error) {
        skip_blank(&parser);
        if (*parser.position == '\n') {
            parser.line_start = ++parser.position;
            parser.line++;
        } else if (!*parser.position) {
            return policy;
        } else {
            parse_line(&parser, policy);
        }
    }
    *error = parser.error;
    policy_free(policy);
    return NULL;
}

struct policy *policy_default(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < POLICY_SETTINGS; i++)
        g_string_append_printf(text, "%s = %s\n", setting_table[i].name, setting_table[i].usual);
    char *error = NULL;
    struct policy *policy = parse_text(text->str, &error);
    g_assert(policy); /* the texts above are ours */
    g_string_free(text, TRUE);
    return policy;
}

struct policy *policy_parse(const char *text, char **error)
{
    struct policy *policy = parse_text(text, error);
    if (!policy)
        return NULL;
    struct policy *usual = policy_default();
    for (int i = 0; i < POLICY_SETTINGS; i++)
        if (!policy->settings[i])
            policy->settings[i] = g_steal_pointer(&usual->settings[i]);
    policy_free(usual);
    return policy;
}

struct policy *policy_load(const char *path, char **error)
{
    char *text = NULL, *why = NULL;
    gsize len;
    GError *e = NULL;
    if (!g_file_get_contents(path, &text, &len, &e)) {
        *error = g_strdup_printf("%s: %s", path, e->message);
        g_error_free(e);
        return NULL;
    }
    struct policy *policy = NULL;
    if (len > MAX_POLICY_BYTES)
        why = g_strdup("is larger than 64 KiB");
    else
        policy = policy_parse(text, &why);
    g_free(text);
    if (!policy)
        *error = g_strdup_printf("%s: %s", path, why);
    g_free(why);
    return policy;
}

void policy_free(struct policy *policy)
{
    for (int i = 0; i < POLICY_SETTINGS; i++)
        expression_free(policy->settings[i]);
    g_free(policy);
}

/* ---- evaluation ---- */

static struct policy_value evaluate(const struct expression *expr,
                                    const struct policy_value *value);

static int compare_operands(const struct expression *expr, const struct policy_value *in)
{
    struct policy_value value = evaluate(expr->left, in), b = evaluate(expr->right, in);
    if (expr->left->type == TYPE_TEXT)
        return strcmp(value.text ? value.text : "", b.text ? b.text : "");
    if (expr->left->type == TYPE_FLAG)
        return (int)value.flag - (int)b.flag;
    return value.number < b.number ? -1 : value.number > b.number;
}

static struct policy_value number_value(double x)
{
    return (struct policy_value){.number = x};
}

static struct policy_value flag_value(bool x)
{
    return (struct policy_value){.flag = x};
}

static struct policy_value evaluate(const struct expression *expr, const struct policy_value *value)
{
    switch (expr->op) {
    case OP_NUMBER:
        return number_value(expr->number);
    case OP_TEXT:
        return (struct policy_value){.text = expr->text};
    case OP_FLAG:
        return flag_value(expr->flag);
    case OP_INPUT:
        return value[expr->input];
    case OP_NEGATE:
        return number_value(-evaluate(expr->left, value).number);
    case OP_NOT:
        return flag_value(!evaluate(expr->left, value).flag);
    case OP_ADD:
        return number_value(evaluate(expr->left, value).number +
                            evaluate(expr->right, value).number);
    case OP_SUBTRACT:
        return number_value(evaluate(expr->left, value).number -
                            evaluate(expr->right, value).number);
    case OP_MULTIPLY:
        return number_value(evaluate(expr->left, value).number *
                            evaluate(expr->right, value).number);
    case OP_DIVIDE:
        return number_value(evaluate(expr->left, value).number /
                            evaluate(expr->right, value).number);
    case OP_MIN:
        return number_value(
            fmin(evaluate(expr->left, value).number, evaluate(expr->right, value).number));
    case OP_MAX:
        return number_value(
            fmax(evaluate(expr->left, value).number, evaluate(expr->right, value).number));
    case OP_EQUAL:
        return flag_value(compare_operands(expr, value) == 0);
    case OP_UNEQUAL:
        return flag_value(compare_operands(expr, value) != 0);
    case OP_LESS:
        return flag_value(compare_operands(expr, value) < 0);
    case OP_LESS_EQUAL:
        return flag_value(compare_operands(expr, value) <= 0);
    case OP_GREATER:
        return flag_value(compare_operands(expr, value) > 0);
    case OP_GREATER_EQUAL:
        return flag_value(compare_operands(expr, value) >= 0);
    case OP_AND:
        return flag_value(evaluate(expr->left, value).flag && evaluate(expr->right, value).flag);
    case OP_OR:
        return flag_value(evaluate(expr->left, value).flag || evaluate(expr->right, value).flag);
    case OP_IF:
        return evaluate(evaluate(expr->condition, value).flag ? expr->left : expr->right, value);
    }
    return number_value(0);
}

double policy_number(const struct policy *policy, enum policy_setting s,
                     const struct policy_value *inputs)
{
    double x = evaluate(policy->settings[s], inputs).number;
    if (isnan(x)) /* nothing divided by nothing */
        return setting_table[s].low;
    return CLAMP(x, setting_table[s].low, setting_table[s].high);
}

bool policy_flag(const struct policy *policy, enum policy_setting s,
                 const struct policy_value *inputs)
{
    return evaluate(policy->settings[s], inputs).flag;
}
