/** Parser of policy files, whose lines each assign an expression to a setting. */
#ifndef LL_POLICY_PARSER_H
#define LL_POLICY_PARSER_H

#include "policy_expression.h"

/** Parses the contents of a policy file.
 *
 * `settings` has POLICY_SETTING_COUNT entries, which the caller initializes to NULL. The expression
 * of each setting in the file is stored at the index of the setting. Every expression has the type
 * of its setting and reads only inputs that the setting allows. If the contents are invalid,
 * returns false with a POLICY_ERROR whose message names the line and column. The caller owns the
 * expressions, including those that were stored before an error. */
bool policy_parser_read(const char *text, struct policy_expression **settings, GError **error);

#endif
