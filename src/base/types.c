#include "types.h"

static bool id_from(char *out, size_t size, const char *text)
{
    size_t n = strlen(text);
    if (n == 0 || n >= size)
        return false;
    for (size_t i = 0; i < n; i++)
        if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
            return false;
    memcpy(out, text, n + 1);
    return true;
}

bool job_id_from(job_id *out, const char *text)
{
    return id_from(out->s, sizeof out->s, text);
}

bool host_id_from(host_id *out, const char *text)
{
    return id_from(out->s, sizeof out->s, text);
}
