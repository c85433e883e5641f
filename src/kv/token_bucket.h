/**
 * A token bucket: a budget of operations that refills at a steady rate.
 *
 * The level may go below zero; it is the caller that waits until a token is available.
 */
#ifndef LL_TOKEN_BUCKET_H
#define LL_TOKEN_BUCKET_H

#include "types.h"

struct token_bucket {
    double refill_per_s, capacity, tokens;
    mono_time refilled_at;
};

/** A bucket that holds one second's refill and is full now. */
struct token_bucket token_bucket_make_full(double refill_per_s, mono_time now);

/** Adds what has accrued since the last refill, up to the capacity. */
void token_bucket_refill(struct token_bucket *bucket, mono_time now);

/** Changes the rate and the capacity to one second's refill at that rate; drops what exceeds it. */
void token_bucket_set_rate(struct token_bucket *bucket, double refill_per_s);

/** Takes away all tokens that are left, as the server has granted too many. */
void token_bucket_drain(struct token_bucket *bucket);

bool token_bucket_has_token(const struct token_bucket *bucket);

/** Milliseconds until a token is available, at least 1; only for a bucket that has none. */
int64_t token_bucket_wait_ms(const struct token_bucket *bucket);

#endif
