/** Helpers for tests that compare messages between nodes byte for byte. */
#ifndef LL_TEST_JSON_MESSAGES_H
#define LL_TEST_JSON_MESSAGES_H

#include <cjson/cJSON.h>

/** Parses a message; fails the test if it is malformed. The caller owns the message. */
cJSON *json_message_parse(const char *text);
/** Fails the test unless the message, printed without spaces, is the expected string. Frees the
 * message. */
void assert_json_message(cJSON *message, const char *expected);

#endif
