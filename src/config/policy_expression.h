/** The syntax tree of a policy expression, which the parser builds and the evaluator reads. */
#ifndef LL_POLICY_EXPRESSION_H
#define LL_POLICY_EXPRESSION_H

#include "policy_schema.h"

/** What a node of the syntax tree computes. */
enum policy_operation {
    /** Leaves of the tree: literals and inputs. */
    POLICY_OP_NUMBER,
    POLICY_OP_STRING,
    POLICY_OP_BOOLEAN,
    POLICY_OP_INPUT,
    /** Unary operations. The operand is `left`. */
    POLICY_OP_NEGATE,
    POLICY_OP_NOT,
    /** Binary operations on numbers whose result is a number. */
    POLICY_OP_ADD,
    POLICY_OP_SUBTRACT,
    POLICY_OP_MULTIPLY,
    POLICY_OP_DIVIDE,
    POLICY_OP_MIN,
    POLICY_OP_MAX,
    /** Comparisons of two operands of the same type. The result is a boolean. */
    POLICY_OP_EQUAL,
    POLICY_OP_UNEQUAL,
    POLICY_OP_LESS,
    POLICY_OP_LESS_EQUAL,
    POLICY_OP_GREATER,
    POLICY_OP_GREATER_EQUAL,
    /** Binary operations on booleans whose result is a boolean. */
    POLICY_OP_AND,
    POLICY_OP_OR,
    /** The result is `left` if `condition` is true, otherwise `right`. */
    POLICY_OP_CONDITIONAL,
};

/** A node of the syntax tree. It owns its operands. */
struct policy_expression {
    enum policy_operation operation;
    /** The type of the value of the expression. */
    enum policy_type type;
    /** The value of a leaf. `operation` determines which member is in use. */
    union {
        double number;
        char *string;
        bool boolean;
        enum policy_input input;
    };
    /** The operands. Those that the operation does not have are NULL. */
    struct policy_expression *left, *right, *condition;
};

/** Creates a number literal. */
struct policy_expression *policy_expression_new_number(double number);

/** Creates a string literal, which takes ownership of the string. */
struct policy_expression *policy_expression_new_string(char *string);

/** Creates a boolean literal. */
struct policy_expression *policy_expression_new_boolean(bool boolean);

/** Creates a leaf that reads an input. */
struct policy_expression *policy_expression_new_input(enum policy_input input);

/** Creates a unary operation with a result of type `type`. It takes ownership of its operand. */
struct policy_expression *policy_expression_new_unary(enum policy_operation operation,
                                                      enum policy_type type,
                                                      struct policy_expression *operand);

/** Creates a binary operation with a result of type `type`. It takes ownership of its operands. */
struct policy_expression *policy_expression_new_binary(enum policy_operation operation,
                                                       enum policy_type type,
                                                       struct policy_expression *left,
                                                       struct policy_expression *right);

/** Creates a conditional with the type of `if_true`. It takes ownership of its operands. */
struct policy_expression *policy_expression_new_conditional(struct policy_expression *condition,
                                                            struct policy_expression *if_true,
                                                            struct policy_expression *if_false);

/** Frees an expression with all its operands. NULL is allowed. */
void policy_expression_free(struct policy_expression *expression);

#endif
