/** Validation of a features file against its JSON Schema, by valijson. */
#ifndef LL_FEATURE_CHECK_H
#define LL_FEATURE_CHECK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Validates a JSON text; false, with a message that names the first field that is wrong. */
bool feature_check(const char *json, char *error, unsigned error_size);

#ifdef __cplusplus
}
#endif

#endif
