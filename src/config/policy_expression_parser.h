/** Parser and type checker of policy expressions. */
#ifndef LL_POLICY_EXPRESSION_PARSER_H
#define LL_POLICY_EXPRESSION_PARSER_H

#include "policy_expression.h"
#include "policy_lexer.h"

/** Parses the expression of a setting. The expression must have the type of the setting and may
 * read only inputs that the setting allows. The lexer stops before the first token that is not part
 * of the expression. The caller owns the result. Returns NULL after an error, which the lexer
 * keeps. */
struct policy_expression *policy_expression_parse(struct policy_lexer *lexer,
                                                  const struct policy_setting_definition *setting);

#endif
