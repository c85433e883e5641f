/** Check of a features file against its JSON Schema.
 *
 * It is in C++ for the library valijson. The schema is part of the program. */
#ifndef LL_FEATURE_CHECK_H
#define LL_FEATURE_CHECK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Whether a JSON text conforms to the schema. Otherwise writes a message that names the first
 * wrong field to `error`, cut off to `error_size` bytes with its NUL. */
bool feature_check(const char *json, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
