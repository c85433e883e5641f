#include "policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { MOST_DEPTH = 64, MOST_TEXT = 65536 };

enum type { NUMBER, TEXT, FLAG };
static const char *const type_names[] = {"a number", "a text", "true or false"};

static const struct {
    const char *name;
    enum type type;
} inputs_known[POLICY_INPUTS] = {
    {"team", TEXT},        {"class", TEXT},       {"priority", TEXT},    {"type", TEXT},
    {"zone", TEXT},        {"spot", FLAG},        {"cpus", NUMBER},      {"used_cpus", NUMBER},
    {"peak_cpus", NUMBER}, {"backlog_s", NUMBER}, {"patience_s", NUMBER}};

#define BIT(input) (1u << (input))

static const unsigned job_inputs = BIT(INPUT_TEAM) | BIT(INPUT_CLASS) | BIT(INPUT_PRIORITY);
static const unsigned load_inputs = BIT(INPUT_USED_CPUS) | BIT(INPUT_PEAK_CPUS);

static const struct {
    const char *name, *usual;
    enum type type;
    unsigned inputs;
    double low, high;
} settings_known[POLICY_SETTINGS] = {
    {"spare_cpus", "0.12 * peak_cpus", NUMBER, load_inputs, 0, 1e6},
    {"service_spare", "1.0", NUMBER, load_inputs, 0, 100},
    {"idle_s", "if spot then 40 else 15", NUMBER,
     load_inputs | BIT(INPUT_TYPE) | BIT(INPUT_ZONE) | BIT(INPUT_SPOT) | BIT(INPUT_CPUS), 1, 86400},
    {"rent_ordinary", "backlog_s > 1.5 * patience_s", FLAG,
     job_inputs | load_inputs | BIT(INPUT_BACKLOG_S) | BIT(INPUT_PATIENCE_S), 0, 0},
    {"preempt", "priority == \"prod\" or priority == \"high\"", FLAG, job_inputs | load_inputs, 0,
     0},
};

enum op {
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
    OP_AT_MOST,
    OP_MORE,
    OP_AT_LEAST,
    OP_AND,
    OP_OR,
    OP_IF,
};

struct node_expr {
    enum op op;
    enum type type;
    double number;
    char *text;
    bool flag;
    enum policy_input input;
    struct node_expr *a, *b, *c;
};

struct policy {
    struct node_expr *settings[POLICY_SETTINGS];
};

struct reader {
    const char *at, *line_start;
    int line, depth;
    unsigned allowed;
    char *error;
};

static void node_free(struct node_expr *expr)
{
    if (!expr)
        return;
    node_free(expr->a);
    node_free(expr->b);
    node_free(expr->c);
    g_free(expr->text);
    g_free(expr);
}

/* ---- reading ---- */

static void *fail_at(struct reader *reader, const char *where, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void *fail_at(struct reader *reader, const char *where, const char *format, ...)
{
    if (reader->error)
        return NULL;
    va_list ap;
    va_start(ap, format);
    char *what = g_strdup_vprintf(format, ap);
    va_end(ap);
    reader->error = g_strdup_printf("line %d, column %d: %s", reader->line,
                                    (int)(where - reader->line_start) + 1, what);
    g_free(what);
    return NULL;
}

static void skip_blank(struct reader *reader)
{
    while (*reader->at == ' ' || *reader->at == '\t' || *reader->at == '\r')
        reader->at++;
    if (*reader->at == '#')
        while (*reader->at && *reader->at != '\n')
            reader->at++;
}

static bool take(struct reader *reader, const char *sign)
{
    skip_blank(reader);
    size_t n = strlen(sign);
    if (strncmp(reader->at, sign, n) != 0)
        return false;
    reader->at += n;
    return true;
}

static bool name_char(char c)
{
    return g_ascii_isalnum(c) || c == '_';
}

static size_t name_length(struct reader *reader)
{
    skip_blank(reader);
    size_t n = 0;
    if (g_ascii_isalpha(*reader->at))
        while (name_char(reader->at[n]))
            n++;
    return n;
}

static bool take_word(struct reader *reader, const char *word)
{
    if (name_length(reader) != strlen(word) || strncmp(reader->at, word, strlen(word)) != 0)
        return false;
    reader->at += strlen(word);
    return true;
}

static struct node_expr *read_or(struct reader *reader);

static struct node_expr *make(enum op op, enum type type, struct node_expr *a, struct node_expr *b,
                              struct node_expr *c)
{
    struct node_expr *n = g_new0(struct node_expr, 1);
    *n = (struct node_expr){.op = op, .type = type, .a = a, .b = b, .c = c};
    return n;
}

/* Passes n on if it has the type; frees it otherwise. */
static struct node_expr *expect(struct reader *reader, const char *where, struct node_expr *n,
                                enum type type)
{
    if (n && n->type != type) {
        fail_at(reader, where, "expected %s, found %s", type_names[type], type_names[n->type]);
        node_free(n);
        return NULL;
    }
    return n;
}

static struct node_expr *read_string(struct reader *reader)
{
    const char *start = ++reader->at;
    while (*reader->at && *reader->at != '"' && *reader->at != '\n')
        reader->at++;
    if (*reader->at != '"')
        return fail_at(reader, start - 1, "expected a closing quotation mark");
    struct node_expr *expr = make(OP_TEXT, TEXT, NULL, NULL, NULL);
    expr->text = g_strndup(start, reader->at - start);
    reader->at++;
    return expr;
}

static struct node_expr *read_pair(struct reader *reader, enum op op)
{
    if (!take(reader, "("))
        return fail_at(reader, reader->at, "expected (");
    const char *where = reader->at;
    struct node_expr *a = expect(reader, where, read_or(reader), NUMBER);
    if (a && !take(reader, ",")) {
        node_free(a);
        return fail_at(reader, reader->at, "expected a comma");
    }
    where = reader->at;
    struct node_expr *b = a ? expect(reader, where, read_or(reader), NUMBER) : NULL;
    if (b && !take(reader, ")")) {
        fail_at(reader, reader->at, "expected )");
        node_free(b);
        b = NULL;
    }
    if (!b) {
        node_free(a);
        return NULL;
    }
    return make(op, NUMBER, a, b, NULL);
}

static struct node_expr *read_input(struct reader *reader, size_t n)
{
    for (int i = 0; i < POLICY_INPUTS; i++) {
        if (strlen(inputs_known[i].name) != n || strncmp(inputs_known[i].name, reader->at, n) != 0)
            continue;
        if (!(reader->allowed & BIT(i)))
            return fail_at(reader, reader->at, "%s is not known in this setting",
                           inputs_known[i].name);
        struct node_expr *expr = make(OP_INPUT, inputs_known[i].type, NULL, NULL, NULL);
        expr->input = (enum policy_input)i;
        reader->at += n;
        return expr;
    }
    return fail_at(reader, reader->at, "expected a value; %.*s is no input", (int)n, reader->at);
}

static struct node_expr *read_if(struct reader *reader)
{
    const char *where = reader->at;
    struct node_expr *expr = expect(reader, where, read_or(reader), FLAG), *a = NULL, *b = NULL;
    if (expr && !take_word(reader, "then"))
        fail_at(reader, reader->at, "expected then");
    if (!reader->error)
        a = read_or(reader);
    if (a && !take_word(reader, "else"))
        fail_at(reader, reader->at, "expected else");
    skip_blank(reader);
    where = reader->at;
    if (!reader->error)
        b = expect(reader, where, read_or(reader), a->type);
    if (!b) {
        node_free(a);
        node_free(expr);
        return NULL;
    }
    return make(OP_IF, a->type, a, b, expr);
}

static struct node_expr *read_value(struct reader *reader)
{
    skip_blank(reader);
    const char *where = reader->at;
    if (g_ascii_isdigit(*reader->at) || *reader->at == '.') {
        char *end;
        struct node_expr *expr = make(OP_NUMBER, NUMBER, NULL, NULL, NULL);
        expr->number = g_ascii_strtod(reader->at, &end);
        if (end == reader->at || name_char(*end) || !isfinite(expr->number)) {
            node_free(expr);
            return fail_at(reader, where, "expected a number");
        }
        reader->at = end;
        return expr;
    }
    if (*reader->at == '"')
        return read_string(reader);
    if (take(reader, "(")) {
        struct node_expr *expr = read_or(reader);
        if (expr && !take(reader, ")")) {
            node_free(expr);
            return fail_at(reader, reader->at, "expected )");
        }
        return expr;
    }
    if (take_word(reader, "true") || take_word(reader, "false")) {
        struct node_expr *expr = make(OP_FLAG, FLAG, NULL, NULL, NULL);
        expr->flag = reader->at[-1] == 'e' && reader->at[-2] == 'u';
        return expr;
    }
    if (take_word(reader, "if"))
        return read_if(reader);
    if (take_word(reader, "min"))
        return read_pair(reader, OP_MIN);
    if (take_word(reader, "max"))
        return read_pair(reader, OP_MAX);
    size_t expr = name_length(reader);
    if (expr)
        return read_input(reader, expr);
    return fail_at(reader, where, "expected a value");
}

static struct node_expr *read_unary(struct reader *reader)
{
    skip_blank(reader);
    const char *where = reader->at;
    if (++reader->depth > MOST_DEPTH)
        return fail_at(reader, where, "nested too deep");
    struct node_expr *expr;
    if (take(reader, "-")) {
        expr = expect(reader, where, read_unary(reader), NUMBER);
        expr = expr ? make(OP_NEGATE, NUMBER, expr, NULL, NULL) : NULL;
    } else if (take_word(reader, "not")) {
        expr = expect(reader, where, read_unary(reader), FLAG);
        expr = expr ? make(OP_NOT, FLAG, expr, NULL, NULL) : NULL;
    } else {
        expr = read_value(reader);
    }
    reader->depth--;
    return expr;
}

struct binary {
    const char *sign;
    enum op op;
};

typedef struct node_expr *(*read_fn)(struct reader *reader);

/* a sign b sign c ..., with operands of one type. */
static struct node_expr *read_chain(struct reader *reader, read_fn operand,
                                    const struct binary *signs, int n_signs, enum type type)
{
    skip_blank(reader);
    const char *where = reader->at;
    struct node_expr *a = operand(reader);
    while (a) {
        int i = 0;
        bool word = type == FLAG;
        while (i < n_signs &&
               !(word ? take_word(reader, signs[i].sign) : take(reader, signs[i].sign)))
            i++;
        if (i == n_signs)
            return a;
        a = expect(reader, where, a, type);
        skip_blank(reader);
        where = reader->at;
        struct node_expr *b = a ? expect(reader, where, operand(reader), type) : NULL;
        if (!b) {
            node_free(a);
            return NULL;
        }
        a = make(signs[i].op, type, a, b, NULL);
    }
    return NULL;
}

static struct node_expr *read_product(struct reader *reader)
{
    static const struct binary signs[] = {{"*", OP_MULTIPLY}, {"/", OP_DIVIDE}};
    return read_chain(reader, read_unary, signs, 2, NUMBER);
}

static struct node_expr *read_sum(struct reader *reader)
{
    static const struct binary signs[] = {{"+", OP_ADD}, {"-", OP_SUBTRACT}};
    return read_chain(reader, read_product, signs, 2, NUMBER);
}

static struct node_expr *read_comparison(struct reader *reader)
{
    static const struct binary signs[] = {{"==", OP_EQUAL},   {"!=", OP_UNEQUAL},
                                          {"<=", OP_AT_MOST}, {">=", OP_AT_LEAST},
                                          {"<", OP_LESS},     {">", OP_MORE}};
    skip_blank(reader);
    const char *where = reader->at;
    struct node_expr *a = read_sum(reader);
    for (size_t i = 0; a && i < G_N_ELEMENTS(signs); i++) {
        if (!take(reader, signs[i].sign))
            continue;
        if (signs[i].op != OP_EQUAL && signs[i].op != OP_UNEQUAL)
            a = expect(reader, where, a, NUMBER);
        skip_blank(reader);
        where = reader->at;
        struct node_expr *b = a ? expect(reader, where, read_sum(reader), a->type) : NULL;
        if (!b) {
            node_free(a);
            return NULL;
        }
        return make(signs[i].op, FLAG, a, b, NULL);
    }
    return a;
}

static struct node_expr *read_and(struct reader *reader)
{
    static const struct binary signs[] = {{"and", OP_AND}};
    return read_chain(reader, read_comparison, signs, 1, FLAG);
}

static struct node_expr *read_or(struct reader *reader)
{
    static const struct binary signs[] = {{"or", OP_OR}};
    return read_chain(reader, read_and, signs, 1, FLAG);
}

static int setting_named(const char *name, size_t n)
{
    for (int i = 0; i < POLICY_SETTINGS; i++)
        if (strlen(settings_known[i].name) == n && strncmp(settings_known[i].name, name, n) == 0)
            return i;
    return -1;
}

static void read_line(struct reader *reader, struct policy *policy)
{
    size_t n = name_length(reader);
    const char *name = reader->at;
    if (n == 0) {
        fail_at(reader, reader->at, "expected the name of a setting");
        return;
    }
    int s = setting_named(name, n);
    if (s < 0) {
        fail_at(reader, name, "%.*s is no setting", (int)n, name);
        return;
    }
    if (policy->settings[s]) {
        fail_at(reader, name, "%s is set twice", settings_known[s].name);
        return;
    }
    reader->at += n;
    if (!take(reader, "=") || *reader->at == '=') {
        fail_at(reader, reader->at, "expected =");
        return;
    }
    skip_blank(reader);
    const char *where = reader->at;
    reader->allowed = settings_known[s].inputs;
    policy->settings[s] = expect(reader, where, read_or(reader), settings_known[s].type);
    skip_blank(reader);
    if (!reader->error && *reader->at && *reader->at != '\n')
        fail_at(reader, reader->at, "expected the end of the line");
}

static struct policy *read_text(const char *text, char **error)
{
    struct reader reader = {.at = text, .line_start = text, .line = 1};
    struct policy *policy = g_new0(struct policy, 1);
    while (!reader.error) {
        skip_blank(&reader);
        if (*reader.at == '\n') {
            reader.line_start = ++reader.at;
            reader.line++;
        } else if (!*reader.at) {
            return policy;
        } else {
            read_line(&reader, policy);
        }
    }
    *error = reader.error;
    policy_free(policy);
    return NULL;
}

struct policy *policy_default(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < POLICY_SETTINGS; i++)
        g_string_append_printf(text, "%s = %s\n", settings_known[i].name, settings_known[i].usual);
    char *error = NULL;
    struct policy *policy = read_text(text->str, &error);
    g_assert(policy); /* the texts above are ours */
    g_string_free(text, TRUE);
    return policy;
}

struct policy *policy_parse(const char *text, char **error)
{
    struct policy *policy = read_text(text, error);
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
    if (len > MOST_TEXT)
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
        node_free(policy->settings[i]);
    g_free(policy);
}

/* ---- evaluation ---- */

static struct policy_value evaluate(const struct node_expr *expr, const struct policy_value *value);

static int order(const struct node_expr *expr, const struct policy_value *in)
{
    struct policy_value value = evaluate(expr->a, in), b = evaluate(expr->b, in);
    if (expr->a->type == TEXT)
        return strcmp(value.text ? value.text : "", b.text ? b.text : "");
    if (expr->a->type == FLAG)
        return (int)value.flag - (int)b.flag;
    return value.number < b.number ? -1 : value.number > b.number;
}

static struct policy_value number(double x)
{
    return (struct policy_value){.number = x};
}

static struct policy_value flag(bool x)
{
    return (struct policy_value){.flag = x};
}

static struct policy_value evaluate(const struct node_expr *expr, const struct policy_value *value)
{
    switch (expr->op) {
    case OP_NUMBER:
        return number(expr->number);
    case OP_TEXT:
        return (struct policy_value){.text = expr->text};
    case OP_FLAG:
        return flag(expr->flag);
    case OP_INPUT:
        return value[expr->input];
    case OP_NEGATE:
        return number(-evaluate(expr->a, value).number);
    case OP_NOT:
        return flag(!evaluate(expr->a, value).flag);
    case OP_ADD:
        return number(evaluate(expr->a, value).number + evaluate(expr->b, value).number);
    case OP_SUBTRACT:
        return number(evaluate(expr->a, value).number - evaluate(expr->b, value).number);
    case OP_MULTIPLY:
        return number(evaluate(expr->a, value).number * evaluate(expr->b, value).number);
    case OP_DIVIDE:
        return number(evaluate(expr->a, value).number / evaluate(expr->b, value).number);
    case OP_MIN:
        return number(fmin(evaluate(expr->a, value).number, evaluate(expr->b, value).number));
    case OP_MAX:
        return number(fmax(evaluate(expr->a, value).number, evaluate(expr->b, value).number));
    case OP_EQUAL:
        return flag(order(expr, value) == 0);
    case OP_UNEQUAL:
        return flag(order(expr, value) != 0);
    case OP_LESS:
        return flag(order(expr, value) < 0);
    case OP_AT_MOST:
        return flag(order(expr, value) <= 0);
    case OP_MORE:
        return flag(order(expr, value) > 0);
    case OP_AT_LEAST:
        return flag(order(expr, value) >= 0);
    case OP_AND:
        return flag(evaluate(expr->a, value).flag && evaluate(expr->b, value).flag);
    case OP_OR:
        return flag(evaluate(expr->a, value).flag || evaluate(expr->b, value).flag);
    case OP_IF:
        return evaluate(evaluate(expr->c, value).flag ? expr->a : expr->b, value);
    }
    return number(0);
}

double policy_number(const struct policy *policy, enum policy_setting s,
                     const struct policy_value *inputs)
{
    double x = evaluate(policy->settings[s], inputs).number;
    if (isnan(x)) /* nothing divided by nothing */
        return settings_known[s].low;
    return CLAMP(x, settings_known[s].low, settings_known[s].high);
}

bool policy_flag(const struct policy *policy, enum policy_setting s,
                 const struct policy_value *inputs)
{
    return evaluate(policy->settings[s], inputs).flag;
}
