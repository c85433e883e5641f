/** Parser of policy files: lines that each give one setting an expression. */
#ifndef LL_POLICY_PARSER_H
#define LL_POLICY_PARSER_H

#include "policy_expression.h"

/** Parses the text of a policy file.
 *
 * Stores the expression of each setting in the text at its index in `settings`, which has
 * POLICY_SETTING_COUNT entries that are NULL at first; the caller owns the expressions, also those
 * read before an error. Every expression has the type of its setting and reads only inputs that the
 * setting allows. Returns false with a POLICY_ERROR whose message names line and column. */
bool policy_parser_read(const char *text, struct policy_expression **settings, GError **error);

#endif
