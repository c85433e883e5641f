/** Evaluation of a checked policy expression. */
#ifndef LL_POLICY_EVALUATOR_H
#define LL_POLICY_EVALUATOR_H

#include "policy_expression.h"

/** Evaluates an expression that the parser has checked; it cannot fail.
 *
 * `inputs` has POLICY_INPUT_COUNT entries, of which only those that the setting allows are read. A
 * text in the result is borrowed from the expression or from the inputs. Arithmetic is that of IEEE
 * floating point: a division by zero yields an infinity or NaN, and NaN compares as equal to every
 * number. */
struct policy_value policy_evaluate(const struct policy_expression *expression,
                                    const struct policy_value *inputs);

#endif
