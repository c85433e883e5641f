/** Parsing of ids: see types.h. */
#include "types.h"

static bool id_parse(char *out, size_t size, const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length >= size)
        return false;
    for (size_t i = 0; i < length; i++)
        if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
            return false;
    memcpy(out, text, length + 1);
    return true;
}

bool job_id_parse(job_id *out, const char *text)
{
    return id_parse(out->text, sizeof out->text, text);
}

bool machine_id_parse(machine_id *out, const char *text)
{
    return id_parse(out->text, sizeof out->text, text);
}
