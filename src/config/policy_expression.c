/** Creation and release of syntax trees. */
#include "policy_expression.h"

static struct policy_expression *new_expression(enum policy_operation operation,
                                                enum policy_type type)
{
    struct policy_expression *expression = g_new0(struct policy_expression, 1);
    expression->operation = operation;
    expression->type = type;
    return expression;
}

struct policy_expression *policy_expression_new_number(double number)
{
    struct policy_expression *expression = new_expression(POLICY_OP_NUMBER, POLICY_TYPE_NUMBER);
    expression->number = number;
    return expression;
}

struct policy_expression *policy_expression_new_string(char *string)
{
    struct policy_expression *expression = new_expression(POLICY_OP_STRING, POLICY_TYPE_STRING);
    expression->string = string;
    return expression;
}

struct policy_expression *policy_expression_new_boolean(bool boolean)
{
    struct policy_expression *expression = new_expression(POLICY_OP_BOOLEAN, POLICY_TYPE_BOOLEAN);
    expression->boolean = boolean;
    return expression;
}

struct policy_expression *policy_expression_new_input(enum policy_input input)
{
    enum policy_type type = policy_schema_get_input(input)->type;
    struct policy_expression *expression = new_expression(POLICY_OP_INPUT, type);
    expression->input = input;
    return expression;
}

struct policy_expression *policy_expression_new_unary(enum policy_operation operation,
                                                      enum policy_type type,
                                                      struct policy_expression *operand)
{
    struct policy_expression *expression = new_expression(operation, type);
    expression->left = operand;
    return expression;
}

struct policy_expression *policy_expression_new_binary(enum policy_operation operation,
                                                       enum policy_type type,
                                                       struct policy_expression *left,
                                                       struct policy_expression *right)
{
    struct policy_expression *expression = new_expression(operation, type);
    expression->left = left;
    expression->right = right;
    return expression;
}

struct policy_expression *policy_expression_new_conditional(struct policy_expression *condition,
                                                            struct policy_expression *if_true,
                                                            struct policy_expression *if_false)
{
    struct policy_expression *expression =
        policy_expression_new_binary(POLICY_OP_CONDITIONAL, if_true->type, if_true, if_false);
    expression->condition = condition;
    return expression;
}

void policy_expression_free(struct policy_expression *expression)
{
    if (!expression)
        return;
    policy_expression_free(expression->left);
    policy_expression_free(expression->right);
    policy_expression_free(expression->condition);
    if (expression->operation == POLICY_OP_STRING)
        g_free(expression->string);
    g_free(expression);
}
