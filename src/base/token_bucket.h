/**
 * A token bucket: limits the rate of operations to a constant rate of refill.
 *
 * The number of tokens may become negative. The bucket does not block: the caller has to wait until
 * a token is available.
 */
#ifndef LL_TOKEN_BUCKET_H
#define LL_TOKEN_BUCKET_H

#include "types.h"

/** The state of a token bucket. */
struct token_bucket {
    double refill_per_s, capacity, tokens;
    mono_time refilled_at;
};

/** Returns a bucket that contains a number of tokens. */
struct token_bucket token_bucket_make(double refill_per_s, double capacity, double tokens,
                                      mono_time now);

/** Returns a full bucket with a capacity of one second's refill. */
struct token_bucket token_bucket_make_full(double refill_per_s, mono_time now);

/** Adds the tokens accrued since the last refill, up to the capacity. */
void token_bucket_refill(struct token_bucket *bucket, mono_time now);

/** Removes tokens for an operation that has waited for at least one. */
void token_bucket_take(struct token_bucket *bucket, double count);

/**
 * Changes the rate, and the capacity to one second's refill at that rate. Discards tokens beyond
 * the new capacity.
 */
void token_bucket_set_rate(struct token_bucket *bucket, double refill_per_s);

/**
 * Removes tokens for an operation that does not wait for them. The debt is limited to one second's
 * refill, so that such operations cannot block those that wait for longer than that.
 */
void token_bucket_borrow(struct token_bucket *bucket, double count);

/** Removes all remaining tokens, because the server has signalled that the rate was exceeded. */
void token_bucket_drain(struct token_bucket *bucket);

/** Returns true if a token is available. */
bool token_bucket_has_token(const struct token_bucket *bucket);

/**
 * Returns the milliseconds until a token is available, at least 1. Call it only if
 * token_bucket_has_token returns false.
 */
int64_t token_bucket_wait_ms(const struct token_bucket *bucket);

#endif
