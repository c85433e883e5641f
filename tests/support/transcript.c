#include "transcript.h"

#include <stdio.h>
#include <stdlib.h>

/* Returns the transcript file of this process, opened at the first call, or NULL if none is
 * requested. */
static FILE *transcript_file(void)
{
    static FILE *file;
    static bool opened;
    if (!opened) {
        opened = true;
        const char *path = g_getenv("LL_TRANSCRIPT");
        file = path ? fopen(path, "w") : NULL;
        if (path && !file)
            g_error("cannot write the transcript to %s", path);
    }
    return file;
}

void transcript_write(mono_time now, const char *from, const char *to, const char *message,
                      const char *body)
{
    FILE *file = transcript_file();
    if (file && fprintf(file, "%" G_GINT64_FORMAT " %s > %s %s %s\n", now.us, from, to, message,
                        body ? body : "") < 0)
        g_error("cannot write the transcript");
}
