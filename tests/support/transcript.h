/**
 * Writes a transcript of all messages that nodes send or receive in a simulated cluster.
 *
 * Two revisions behave alike if the same tests write the same transcript; tests/transcript.sh
 * compares them. A transcript is written only if the environment variable LL_TRANSCRIPT names a
 * file.
 */
#ifndef LL_TEST_TRANSCRIPT_H
#define LL_TEST_TRANSCRIPT_H

#include "types.h"

/**
 * Appends a line with the simulated time, sender, receiver and message. body may be NULL, which is
 * written as an empty string.
 */
void transcript_write(mono_time now, const char *from, const char *to, const char *message,
                      const char *body);

#endif
