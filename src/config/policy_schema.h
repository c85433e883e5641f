/** The settings that a policy file can set and the inputs that their expressions can read. */
#ifndef LL_POLICY_SCHEMA_H
#define LL_POLICY_SCHEMA_H

#include "policy.h"

#include <stddef.h>

/** The types of the expression language. */
enum policy_type { POLICY_TYPE_NUMBER, POLICY_TYPE_STRING, POLICY_TYPE_BOOLEAN };

/** An input: a value that the scheduler supplies when it evaluates an expression. */
struct policy_input_definition {
    const char *name;
    enum policy_type type;
};

/** A setting of the policy file: its type, default, range and the inputs that it may use. */
struct policy_setting_definition {
    const char *name;
    /** The expression that applies if the policy file does not set this one. */
    const char *default_expression;
    /** The type that the expression must have. */
    enum policy_type type;
    /** A bit for each enum policy_input that the expression may read. */
    unsigned input_mask;
    /** The range to which a number is clamped; unused for other types. */
    double min, max;
};

/** The type as messages name it, such as "a number". */
const char *policy_type_name(enum policy_type type);

const struct policy_input_definition *policy_schema_get_input(enum policy_input input);
const struct policy_setting_definition *policy_schema_get_setting(enum policy_setting setting);

/** Whether the expression of a setting may read an input. */
bool policy_setting_allows_input(const struct policy_setting_definition *setting,
                                 enum policy_input input);

/** Look up the first `length` bytes of `name`. Return false if there is no such name. */
bool policy_schema_find_input(const char *name, size_t length, enum policy_input *input);
bool policy_schema_find_setting(const char *name, size_t length, enum policy_setting *setting);

#endif
