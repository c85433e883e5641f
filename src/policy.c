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

static void node_free(struct node_expr *n)
{
    if (!n)
        return;
    node_free(n->a);
    node_free(n->b);
    node_free(n->c);
    g_free(n->text);
    g_free(n);
}

/* ---- reading ---- */

static void *fail_at(struct reader *r, const char *where, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void *fail_at(struct reader *r, const char *where, const char *format, ...)
{
    if (r->error)
        return NULL;
    va_list ap;
    va_start(ap, format);
    char *what = g_strdup_vprintf(format, ap);
    va_end(ap);
    r->error =
        g_strdup_printf("line %d, column %d: %s", r->line, (int)(where - r->line_start) + 1, what);
    g_free(what);
    return NULL;
}

static void skip_blank(struct reader *r)
{
    while (*r->at == ' ' || *r->at == '\t' || *r->at == '\r')
        r->at++;
    if (*r->at == '#')
        while (*r->at && *r->at != '\n')
            r->at++;
}

static bool take(struct reader *r, const char *sign)
{
    skip_blank(r);
    size_t n = strlen(sign);
    if (strncmp(r->at, sign, n) != 0)
        return false;
    r->at += n;
    return true;
}

static bool name_char(char c)
{
    return g_ascii_isalnum(c) || c == '_';
}

static size_t name_length(struct reader *r)
{
    skip_blank(r);
    size_t n = 0;
    if (g_ascii_isalpha(*r->at))
        while (name_char(r->at[n]))
            n++;
    return n;
}

static bool take_word(struct reader *r, const char *word)
{
    if (name_length(r) != strlen(word) || strncmp(r->at, word, strlen(word)) != 0)
        return false;
    r->at += strlen(word);
    return true;
}

static struct node_expr *read_or(struct reader *r);

static struct node_expr *make(enum op op, enum type type, struct node_expr *a, struct node_expr *b,
                              struct node_expr *c)
{
    struct node_expr *n = g_new0(struct node_expr, 1);
    *n = (struct node_expr){.op = op, .type = type, .a = a, .b = b, .c = c};
    return n;
}

/* Passes n on if it has the type; frees it otherwise. */
static struct node_expr *expect(struct reader *r, const char *where, struct node_expr *n,
                                enum type type)
{
    if (n && n->type != type) {
        fail_at(r, where, "expected %s, found %s", type_names[type], type_names[n->type]);
        node_free(n);
        return NULL;
    }
    return n;
}

static struct node_expr *read_string(struct reader *r)
{
    const char *start = ++r->at;
    while (*r->at && *r->at != '"' && *r->at != '\n')
        r->at++;
    if (*r->at != '"')
        return fail_at(r, start - 1, "expected a closing quotation mark");
    struct node_expr *n = make(OP_TEXT, TEXT, NULL, NULL, NULL);
    n->text = g_strndup(start, r->at - start);
    r->at++;
    return n;
}

static struct node_expr *read_pair(struct reader *r, enum op op)
{
    if (!take(r, "("))
        return fail_at(r, r->at, "expected (");
    const char *where = r->at;
    struct node_expr *a = expect(r, where, read_or(r), NUMBER);
    if (a && !take(r, ",")) {
        node_free(a);
        return fail_at(r, r->at, "expected a comma");
    }
    where = r->at;
    struct node_expr *b = a ? expect(r, where, read_or(r), NUMBER) : NULL;
    if (b && !take(r, ")")) {
        fail_at(r, r->at, "expected )");
        node_free(b);
        b = NULL;
    }
    if (!b) {
        node_free(a);
        return NULL;
    }
    return make(op, NUMBER, a, b, NULL);
}

static struct node_expr *read_input(struct reader *r, size_t n)
{
    for (int i = 0; i < POLICY_INPUTS; i++) {
        if (strlen(inputs_known[i].name) != n || strncmp(inputs_known[i].name, r->at, n) != 0)
            continue;
        if (!(r->allowed & BIT(i)))
            return fail_at(r, r->at, "%s is not known in this setting", inputs_known[i].name);
        struct node_expr *x = make(OP_INPUT, inputs_known[i].type, NULL, NULL, NULL);
        x->input = (enum policy_input)i;
        r->at += n;
        return x;
    }
    return fail_at(r, r->at, "expected a value; %.*s is no input", (int)n, r->at);
}

static struct node_expr *read_if(struct reader *r)
{
    const char *where = r->at;
    struct node_expr *c = expect(r, where, read_or(r), FLAG), *a = NULL, *b = NULL;
    if (c && !take_word(r, "then"))
        fail_at(r, r->at, "expected then");
    if (!r->error)
        a = read_or(r);
    if (a && !take_word(r, "else"))
        fail_at(r, r->at, "expected else");
    skip_blank(r);
    where = r->at;
    if (!r->error)
        b = expect(r, where, read_or(r), a->type);
    if (!b) {
        node_free(a);
        node_free(c);
        return NULL;
    }
    return make(OP_IF, a->type, a, b, c);
}

static struct node_expr *read_value(struct reader *r)
{
    skip_blank(r);
    const char *where = r->at;
    if (g_ascii_isdigit(*r->at) || *r->at == '.') {
        char *end;
        struct node_expr *n = make(OP_NUMBER, NUMBER, NULL, NULL, NULL);
        n->number = g_ascii_strtod(r->at, &end);
        if (end == r->at || name_char(*end) || !isfinite(n->number)) {
            node_free(n);
            return fail_at(r, where, "expected a number");
        }
        r->at = end;
        return n;
    }
    if (*r->at == '"')
        return read_string(r);
    if (take(r, "(")) {
        struct node_expr *n = read_or(r);
        if (n && !take(r, ")")) {
            node_free(n);
            return fail_at(r, r->at, "expected )");
        }
        return n;
    }
    if (take_word(r, "true") || take_word(r, "false")) {
        struct node_expr *n = make(OP_FLAG, FLAG, NULL, NULL, NULL);
        n->flag = r->at[-1] == 'e' && r->at[-2] == 'u';
        return n;
    }
    if (take_word(r, "if"))
        return read_if(r);
    if (take_word(r, "min"))
        return read_pair(r, OP_MIN);
    if (take_word(r, "max"))
        return read_pair(r, OP_MAX);
    size_t n = name_length(r);
    if (n)
        return read_input(r, n);
    return fail_at(r, where, "expected a value");
}

static struct node_expr *read_unary(struct reader *r)
{
    skip_blank(r);
    const char *where = r->at;
    if (++r->depth > MOST_DEPTH)
        return fail_at(r, where, "nested too deep");
    struct node_expr *n;
    if (take(r, "-")) {
        n = expect(r, where, read_unary(r), NUMBER);
        n = n ? make(OP_NEGATE, NUMBER, n, NULL, NULL) : NULL;
    } else if (take_word(r, "not")) {
        n = expect(r, where, read_unary(r), FLAG);
        n = n ? make(OP_NOT, FLAG, n, NULL, NULL) : NULL;
    } else {
        n = read_value(r);
    }
    r->depth--;
    return n;
}

struct binary {
    const char *sign;
    enum op op;
};

typedef struct node_expr *(*read_fn)(struct reader *r);

/* a sign b sign c ..., with operands of one type. */
static struct node_expr *read_chain(struct reader *r, read_fn operand, const struct binary *signs,
                                    int n_signs, enum type type)
{
    skip_blank(r);
    const char *where = r->at;
    struct node_expr *a = operand(r);
    while (a) {
        int i = 0;
        bool word = type == FLAG;
        while (i < n_signs && !(word ? take_word(r, signs[i].sign) : take(r, signs[i].sign)))
            i++;
        if (i == n_signs)
            return a;
        a = expect(r, where, a, type);
        skip_blank(r);
        where = r->at;
        struct node_expr *b = a ? expect(r, where, operand(r), type) : NULL;
        if (!b) {
            node_free(a);
            return NULL;
        }
        a = make(signs[i].op, type, a, b, NULL);
    }
    return NULL;
}

static struct node_expr *read_product(struct reader *r)
{
    static const struct binary signs[] = {{"*", OP_MULTIPLY}, {"/", OP_DIVIDE}};
    return read_chain(r, read_unary, signs, 2, NUMBER);
}

static struct node_expr *read_sum(struct reader *r)
{
    static const struct binary signs[] = {{"+", OP_ADD}, {"-", OP_SUBTRACT}};
    return read_chain(r, read_product, signs, 2, NUMBER);
}

static struct node_expr *read_comparison(struct reader *r)
{
    static const struct binary signs[] = {{"==", OP_EQUAL},   {"!=", OP_UNEQUAL},
                                          {"<=", OP_AT_MOST}, {">=", OP_AT_LEAST},
                                          {"<", OP_LESS},     {">", OP_MORE}};
    skip_blank(r);
    const char *where = r->at;
    struct node_expr *a = read_sum(r);
    for (size_t i = 0; a && i < G_N_ELEMENTS(signs); i++) {
        if (!take(r, signs[i].sign))
            continue;
        if (signs[i].op != OP_EQUAL && signs[i].op != OP_UNEQUAL)
            a = expect(r, where, a, NUMBER);
        skip_blank(r);
        where = r->at;
        struct node_expr *b = a ? expect(r, where, read_sum(r), a->type) : NULL;
        if (!b) {
            node_free(a);
            return NULL;
        }
        return make(signs[i].op, FLAG, a, b, NULL);
    }
    return a;
}

static struct node_expr *read_and(struct reader *r)
{
    static const struct binary signs[] = {{"and", OP_AND}};
    return read_chain(r, read_comparison, signs, 1, FLAG);
}

static struct node_expr *read_or(struct reader *r)
{
    static const struct binary signs[] = {{"or", OP_OR}};
    return read_chain(r, read_and, signs, 1, FLAG);
}

static int setting_named(const char *name, size_t n)
{
    for (int i = 0; i < POLICY_SETTINGS; i++)
        if (strlen(settings_known[i].name) == n && strncmp(settings_known[i].name, name, n) == 0)
            return i;
    return -1;
}

static void read_line(struct reader *r, struct policy *p)
{
    size_t n = name_length(r);
    const char *name = r->at;
    if (n == 0) {
        fail_at(r, r->at, "expected the name of a setting");
        return;
    }
    int s = setting_named(name, n);
    if (s < 0) {
        fail_at(r, name, "%.*s is no setting", (int)n, name);
        return;
    }
    if (p->settings[s]) {
        fail_at(r, name, "%s is set twice", settings_known[s].name);
        return;
    }
    r->at += n;
    if (!take(r, "=") || *r->at == '=') {
        fail_at(r, r->at, "expected =");
        return;
    }
    skip_blank(r);
    const char *where = r->at;
    r->allowed = settings_known[s].inputs;
    p->settings[s] = expect(r, where, read_or(r), settings_known[s].type);
    skip_blank(r);
    if (!r->error && *r->at && *r->at != '\n')
        fail_at(r, r->at, "expected the end of the line");
}

static struct policy *read_text(const char *text, char **error)
{
    struct reader r = {.at = text, .line_start = text, .line = 1};
    struct policy *p = g_new0(struct policy, 1);
    while (!r.error) {
        skip_blank(&r);
        if (*r.at == '\n') {
            r.line_start = ++r.at;
            r.line++;
        } else if (!*r.at) {
            return p;
        } else {
            read_line(&r, p);
        }
    }
    *error = r.error;
    policy_free(p);
    return NULL;
}

struct policy *policy_default(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < POLICY_SETTINGS; i++)
        g_string_append_printf(text, "%s = %s\n", settings_known[i].name, settings_known[i].usual);
    char *error = NULL;
    struct policy *p = read_text(text->str, &error);
    g_assert(p); /* the texts above are ours */
    g_string_free(text, TRUE);
    return p;
}

struct policy *policy_parse(const char *text, char **error)
{
    struct policy *p = read_text(text, error);
    if (!p)
        return NULL;
    struct policy *usual = policy_default();
    for (int i = 0; i < POLICY_SETTINGS; i++)
        if (!p->settings[i])
            p->settings[i] = g_steal_pointer(&usual->settings[i]);
    policy_free(usual);
    return p;
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
    struct policy *p = NULL;
    if (len > MOST_TEXT)
        why = g_strdup("is larger than 64 KiB");
    else
        p = policy_parse(text, &why);
    g_free(text);
    if (!p)
        *error = g_strdup_printf("%s: %s", path, why);
    g_free(why);
    return p;
}

void policy_free(struct policy *p)
{
    for (int i = 0; i < POLICY_SETTINGS; i++)
        node_free(p->settings[i]);
    g_free(p);
}

/* ---- evaluation ---- */

static struct policy_value evaluate(const struct node_expr *n, const struct policy_value *in);

static int order(const struct node_expr *n, const struct policy_value *in)
{
    struct policy_value a = evaluate(n->a, in), b = evaluate(n->b, in);
    if (n->a->type == TEXT)
        return strcmp(a.text ? a.text : "", b.text ? b.text : "");
    if (n->a->type == FLAG)
        return (int)a.flag - (int)b.flag;
    return a.number < b.number ? -1 : a.number > b.number;
}

static struct policy_value number(double x)
{
    return (struct policy_value){.number = x};
}

static struct policy_value flag(bool x)
{
    return (struct policy_value){.flag = x};
}

static struct policy_value evaluate(const struct node_expr *n, const struct policy_value *in)
{
    switch (n->op) {
    case OP_NUMBER:
        return number(n->number);
    case OP_TEXT:
        return (struct policy_value){.text = n->text};
    case OP_FLAG:
        return flag(n->flag);
    case OP_INPUT:
        return in[n->input];
    case OP_NEGATE:
        return number(-evaluate(n->a, in).number);
    case OP_NOT:
        return flag(!evaluate(n->a, in).flag);
    case OP_ADD:
        return number(evaluate(n->a, in).number + evaluate(n->b, in).number);
    case OP_SUBTRACT:
        return number(evaluate(n->a, in).number - evaluate(n->b, in).number);
    case OP_MULTIPLY:
        return number(evaluate(n->a, in).number * evaluate(n->b, in).number);
    case OP_DIVIDE:
        return number(evaluate(n->a, in).number / evaluate(n->b, in).number);
    case OP_MIN:
        return number(fmin(evaluate(n->a, in).number, evaluate(n->b, in).number));
    case OP_MAX:
        return number(fmax(evaluate(n->a, in).number, evaluate(n->b, in).number));
    case OP_EQUAL:
        return flag(order(n, in) == 0);
    case OP_UNEQUAL:
        return flag(order(n, in) != 0);
    case OP_LESS:
        return flag(order(n, in) < 0);
    case OP_AT_MOST:
        return flag(order(n, in) <= 0);
    case OP_MORE:
        return flag(order(n, in) > 0);
    case OP_AT_LEAST:
        return flag(order(n, in) >= 0);
    case OP_AND:
        return flag(evaluate(n->a, in).flag && evaluate(n->b, in).flag);
    case OP_OR:
        return flag(evaluate(n->a, in).flag || evaluate(n->b, in).flag);
    case OP_IF:
        return evaluate(evaluate(n->c, in).flag ? n->a : n->b, in);
    }
    return number(0);
}

double policy_number(const struct policy *p, enum policy_setting s,
                     const struct policy_value *inputs)
{
    double x = evaluate(p->settings[s], inputs).number;
    if (isnan(x)) /* nothing divided by nothing */
        return settings_known[s].low;
    return CLAMP(x, settings_known[s].low, settings_known[s].high);
}

bool policy_flag(const struct policy *p, enum policy_setting s, const struct policy_value *inputs)
{
    return evaluate(p->settings[s], inputs).flag;
}
