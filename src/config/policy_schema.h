/** The settings that a policy file can set, and the inputs that their expressions can read. */
#ifndef LL_POLICY_SCHEMA_H
#define LL_POLICY_SCHEMA_H

#include "policy.h"

#include <stddef.h>

/** The types of the expression language. */
enum policy_type { POLICY_TYPE_NUMBER, POLICY_TYPE_STRING, POLICY_TYPE_BOOLEAN };

/** The name and type of an input: a value that the scheduler supplies when it evaluates an
 * expression. */
struct policy_input_definition {
    const char *name;
    enum policy_type type;
};

/** A setting of the policy file: its type, default, range, and the inputs that it may read. */
struct policy_setting_definition {
    const char *name;
    /** The expression that applies if the policy file does not contain the setting. */
    const char *default_expression;
    /** The type that the expression must have. */
    enum policy_type type;
    /** Bit i is set if the expression may read the input i of enum policy_input. */
    unsigned input_mask;
    /** The range to which a number is clamped. Not used for other types. */
    double min, max;
};

/** Returns the name of a type with its article, such as "a number", for messages. */
const char *policy_type_name(enum policy_type type);

/** Returns the definition of an input. */
const struct policy_input_definition *policy_schema_get_input(enum policy_input input);

/** Returns the definition of a setting. */
const struct policy_setting_definition *policy_schema_get_setting(enum policy_setting setting);

/** Returns whether the expression of a setting may read an input. */
bool policy_setting_allows_input(const struct policy_setting_definition *setting,
                                 enum policy_input input);

/** Finds the input whose name is the first `length` bytes of `name`. Returns false if there is
 * none. */
bool policy_schema_find_input(const char *name, size_t length, enum policy_input *input);

/** Finds the setting whose name is the first `length` bytes of `name`. Returns false if there is
 * none. */
bool policy_schema_find_setting(const char *name, size_t length, enum policy_setting *setting);

#endif
