/** The syntax tree of a policy expression, which the parser builds and the evaluator reads. */
#ifndef LL_POLICY_EXPRESSION_H
#define LL_POLICY_EXPRESSION_H

#include "policy_schema.h"

enum policy_operation {
    /** Literals and inputs: leaves of the tree. */
    POLICY_OP_NUMBER,
    POLICY_OP_STRING,
    POLICY_OP_BOOLEAN,
    POLICY_OP_INPUT,
    /** Operations with one operand, `left`. */
    POLICY_OP_NEGATE,
    POLICY_OP_NOT,
    /** Numbers to a number. */
    POLICY_OP_ADD,
    POLICY_OP_SUBTRACT,
    POLICY_OP_MULTIPLY,
    POLICY_OP_DIVIDE,
    POLICY_OP_MIN,
    POLICY_OP_MAX,
    /** Two operands of one type to a flag. */
    POLICY_OP_EQUAL,
    POLICY_OP_UNEQUAL,
    POLICY_OP_LESS,
    POLICY_OP_LESS_EQUAL,
    POLICY_OP_GREATER,
    POLICY_OP_GREATER_EQUAL,
    /** Flags to a flag. */
    POLICY_OP_AND,
    POLICY_OP_OR,
    /** `left` if `condition` is true, otherwise `right`. */
    POLICY_OP_CONDITIONAL,
};

/** A node of the tree. It owns its operands. */
struct policy_expression {
    enum policy_operation operation;
    /** The type of the value that the whole expression has. */
    enum policy_type type;
    /** What a leaf holds: the member of its operation. */
    union {
        double number;
        char *string;
        bool boolean;
        enum policy_input input;
    };
    /** Operands; NULL where the operation has none. */
    struct policy_expression *left, *right, *condition;
};

/** Leaves. policy_expression_new_string takes the text over. */
struct policy_expression *policy_expression_new_number(double number);
struct policy_expression *policy_expression_new_string(char *string);
struct policy_expression *policy_expression_new_boolean(bool boolean);
struct policy_expression *policy_expression_new_input(enum policy_input input);

/** Operations, which take their operands over. `type` is that of the result. */
struct policy_expression *policy_expression_new_unary(enum policy_operation operation,
                                                      enum policy_type type,
                                                      struct policy_expression *operand);
struct policy_expression *policy_expression_new_binary(enum policy_operation operation,
                                                       enum policy_type type,
                                                       struct policy_expression *left,
                                                       struct policy_expression *right);
struct policy_expression *policy_expression_new_conditional(struct policy_expression *condition,
                                                            struct policy_expression *if_true,
                                                            struct policy_expression *if_false);

/** Frees the whole tree; NULL is allowed. */
void policy_expression_free(struct policy_expression *expression);

#endif
