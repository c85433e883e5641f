/** Evaluation of type-checked policy expressions. */
#ifndef LL_POLICY_EVALUATOR_H
#define LL_POLICY_EVALUATOR_H

#include "policy_expression.h"

/** Evaluates an expression that the parser has type-checked. The evaluation cannot fail.
 *
 * `inputs` has POLICY_INPUT_COUNT entries, of which only those that the setting allows are read. A
 * string in the result is owned by the expression or by the provider of the inputs. Arithmetic
 * follows IEEE floating point: a division by zero yields an infinity or NaN. Unlike in IEEE, NaN
 * compares as equal to every number. */
struct policy_value policy_evaluate(const struct policy_expression *expression,
                                    const struct policy_value *inputs);

#endif
