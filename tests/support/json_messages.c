#include "json_messages.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

cJSON *json_message_parse(const char *text)
{
    cJSON *message = cJSON_Parse(text);
    assert_non_null(message);
    return message;
}

void assert_json_message(cJSON *message, const char *expected)
{
    char *text = cJSON_PrintUnformatted(message);
    assert_string_equal(text, expected);
    free(text);
    cJSON_Delete(message);
}
