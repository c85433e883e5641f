/** Retry backoff: see retry_backoff.h. */
#include "retry_backoff.h"

/** Bounds the shift; the delay reaches its maximum before. */
enum { MAX_DOUBLINGS = 16 };

struct retry_backoff retry_backoff_make(int min_delay_ms, int max_delay_ms)
{
    return (struct retry_backoff){min_delay_ms, max_delay_ms, 0};
}

int64_t retry_backoff_next_ms(struct retry_backoff *backoff, struct loop *loop)
{
    int64_t delay_ms = (int64_t)backoff->min_delay_ms << MIN(backoff->failures, MAX_DOUBLINGS);
    delay_ms = MIN(delay_ms, backoff->max_delay_ms);
    backoff->failures++;
    return delay_ms - loop_random_below(loop, delay_ms / 2 + 1);
}

void retry_backoff_reset(struct retry_backoff *backoff)
{
    backoff->failures = 0;
}
