/** Validation of a features file against its JSON Schema.
 *
 * The implementation is in C++ because the valijson library is. The schema is compiled into the
 * program. */
#ifndef LL_FEATURE_CHECK_H
#define LL_FEATURE_CHECK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Returns whether a JSON document conforms to the schema. If it does not, writes a message that
 * names the first invalid field to `error`, truncated to `error_size` bytes including the
 * terminating NUL. */
bool feature_check(const char *json, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
