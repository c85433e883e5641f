/** Parser and type checker of policy expressions. */
#ifndef LL_POLICY_EXPRESSION_PARSER_H
#define LL_POLICY_EXPRESSION_PARSER_H

#include "policy_expression.h"
#include "policy_lexer.h"

/** Parses the expression of a setting, which must have the setting's type and may read only its
 * inputs. Stops before the first token that does not belong to it. The caller owns the result;
 * NULL with an error in the lexer. */
struct policy_expression *policy_expression_parse(struct policy_lexer *lexer,
                                                  const struct policy_setting_definition *setting);

#endif
