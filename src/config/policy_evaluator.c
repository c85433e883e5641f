/** Evaluates syntax trees recursively. The parser limits their depth. */
#include "policy_evaluator.h"

#include <math.h>
#include <string.h>

static struct policy_value number_value(double number)
{
    return (struct policy_value){.number = number};
}

static struct policy_value string_value(const char *string)
{
    return (struct policy_value){.string = string};
}

static struct policy_value boolean_value(bool boolean)
{
    return (struct policy_value){.boolean = boolean};
}

static double evaluate_number(const struct policy_expression *expression,
                              const struct policy_value *inputs)
{
    return policy_evaluate(expression, inputs).number;
}

static bool evaluate_boolean(const struct policy_expression *expression,
                             const struct policy_value *inputs)
{
    return policy_evaluate(expression, inputs).boolean;
}

/** Returns the smaller operand, as fmin does; an operand that is NaN is ignored. Of operands that
 * compare as equal the left one is returned, whereas C leaves the choice between 0 and -0 open. */
static double min_number(double left, double right)
{
    return isnan(right) || left <= right ? left : right;
}

/** Returns the larger operand, as fmax does, with the same rules as min_number. */
static double max_number(double left, double right)
{
    return isnan(right) || left >= right ? left : right;
}

static double evaluate_arithmetic(const struct policy_expression *expression,
                                  const struct policy_value *inputs)
{
    double left = evaluate_number(expression->left, inputs);
    double right = evaluate_number(expression->right, inputs);
    switch (expression->operation) {
    case POLICY_OP_ADD:
        return left + right;
    case POLICY_OP_SUBTRACT:
        return left - right;
    case POLICY_OP_MULTIPLY:
        return left * right;
    case POLICY_OP_DIVIDE:
        return left / right;
    case POLICY_OP_MIN:
        return min_number(left, right);
    case POLICY_OP_MAX:
        return max_number(left, right);
    default:
        g_return_val_if_reached(0);
    }
}

/** Compares two operands of the same type. Returns a negative number, 0 or a positive number, as
 * strcmp does. A string input that is NULL compares as the empty string. */
static int compare_operands(const struct policy_expression *expression,
                            const struct policy_value *inputs)
{
    struct policy_value left = policy_evaluate(expression->left, inputs);
    struct policy_value right = policy_evaluate(expression->right, inputs);
    switch (expression->left->type) {
    case POLICY_TYPE_STRING:
        return strcmp(left.string ? left.string : "", right.string ? right.string : "");
    case POLICY_TYPE_BOOLEAN:
        return (int)left.boolean - (int)right.boolean;
    case POLICY_TYPE_NUMBER:
        break;
    }
    return (left.number > right.number) - (left.number < right.number);
}

static bool evaluate_comparison(const struct policy_expression *expression,
                                const struct policy_value *inputs)
{
    int order = compare_operands(expression, inputs);
    switch (expression->operation) {
    case POLICY_OP_EQUAL:
        return order == 0;
    case POLICY_OP_UNEQUAL:
        return order != 0;
    case POLICY_OP_LESS:
        return order < 0;
    case POLICY_OP_LESS_EQUAL:
        return order <= 0;
    case POLICY_OP_GREATER:
        return order > 0;
    case POLICY_OP_GREATER_EQUAL:
        return order >= 0;
    default:
        g_return_val_if_reached(false);
    }
}

struct policy_value policy_evaluate(const struct policy_expression *expression,
                                    const struct policy_value *inputs)
{
    const struct policy_expression *left = expression->left, *right = expression->right;
    switch (expression->operation) {
    case POLICY_OP_NUMBER:
        return number_value(expression->number);
    case POLICY_OP_STRING:
        return string_value(expression->string);
    case POLICY_OP_BOOLEAN:
        return boolean_value(expression->boolean);
    case POLICY_OP_INPUT:
        return inputs[expression->input];
    case POLICY_OP_NEGATE:
        return number_value(-evaluate_number(left, inputs));
    case POLICY_OP_NOT:
        return boolean_value(!evaluate_boolean(left, inputs));
    case POLICY_OP_ADD:
    case POLICY_OP_SUBTRACT:
    case POLICY_OP_MULTIPLY:
    case POLICY_OP_DIVIDE:
    case POLICY_OP_MIN:
    case POLICY_OP_MAX:
        return number_value(evaluate_arithmetic(expression, inputs));
    case POLICY_OP_EQUAL:
    case POLICY_OP_UNEQUAL:
    case POLICY_OP_LESS:
    case POLICY_OP_LESS_EQUAL:
    case POLICY_OP_GREATER:
    case POLICY_OP_GREATER_EQUAL:
        return boolean_value(evaluate_comparison(expression, inputs));
    case POLICY_OP_AND:
        return boolean_value(evaluate_boolean(left, inputs) && evaluate_boolean(right, inputs));
    case POLICY_OP_OR:
        return boolean_value(evaluate_boolean(left, inputs) || evaluate_boolean(right, inputs));
    case POLICY_OP_CONDITIONAL:
        return policy_evaluate(evaluate_boolean(expression->condition, inputs) ? left : right,
                               inputs);
    }
    g_return_val_if_reached(number_value(0));
}
