/** Messages between nodes as tests compare them: byte for byte. */
#ifndef LL_TEST_JSON_MESSAGES_H
#define LL_TEST_JSON_MESSAGES_H

#include <cjson/cJSON.h>

/** Parses a message; the test fails if it is malformed. The caller owns the message. */
cJSON *json_message_parse(const char *text);
/** The test fails if the message is not this text, without spaces. Frees the message. */
void assert_json_message(cJSON *message, const char *expected);

#endif
