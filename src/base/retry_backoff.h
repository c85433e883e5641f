/**
 * Delays between the attempts of a request that keeps failing: exponential backoff with jitter.
 *
 * The delay doubles with each failure, up to a maximum. Half of it is random, so that nodes whose
 * requests failed at the same moment do not repeat them at the same moment.
 */
#ifndef LL_RETRY_BACKOFF_H
#define LL_RETRY_BACKOFF_H

#include "event_loop.h"

/** The state of a backoff. */
struct retry_backoff {
    /** Bounds of the delay, in milliseconds, before jitter shortens it by up to a half. */
    int min_delay_ms, max_delay_ms;
    /** Number of failures since the last success. */
    int failures;
};

/** Returns a backoff without failures. */
struct retry_backoff retry_backoff_make(int min_delay_ms, int max_delay_ms);

/** Counts a failure and returns after how many milliseconds to repeat the request. */
int64_t retry_backoff_next_ms(struct retry_backoff *backoff, struct loop *loop);

/** Forgets the failures, because a request has succeeded. */
void retry_backoff_reset(struct retry_backoff *backoff);

#endif
