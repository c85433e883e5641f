/** A record of everything that crosses the boundary of the nodes in the test world.
 *
 * Two revisions behave alike if the same tests write the same transcript; tests/transcript.sh
 * compares them. Nothing is written unless LL_TRANSCRIPT names a file. */
#ifndef LL_TEST_TRANSCRIPT_H
#define LL_TEST_TRANSCRIPT_H

#include "types.h"

/** Appends one line: the simulated time, who sends what to whom, and the message. NULL texts are
 * written as empty ones. */
void transcript_write(mono_time now, const char *from, const char *to, const char *message,
                      const char *body);

#endif
